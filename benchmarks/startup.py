"""Measures the processor time of a start alone; `measures.py` does so among others."""

import typer

from burdocksail.tools import _startup


def main(repetitions: int = 9) -> None:
    """Print the medians of several starts."""
    cost = _startup.measure_startup(repetitions)
    typer.echo(f"until listening  {cost.listening_s:6.3f} s (limit {_startup.LIMIT_S})")
    typer.echo(f"{_startup.SETTLING_S:.0f} s later       {cost.settled_s:6.3f} s")


if __name__ == "__main__":
    typer.run(main)
