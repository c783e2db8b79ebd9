"""Measures the processor time of a start alone; `measures.py` does so among others."""

import startup_cost
import typer


def main(repetitions: int = 9) -> None:
    """Print the medians of several starts."""
    cost = startup_cost.measure_startup(repetitions)
    typer.echo(
        f"until listening  {cost.listening_s:6.3f} s (limit {startup_cost.LIMIT_S})"
    )
    typer.echo(f"{startup_cost.SETTLING_S:.0f} s later       {cost.settled_s:6.3f} s")


if __name__ == "__main__":
    typer.run(main)
