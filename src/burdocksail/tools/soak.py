"""Soak test: runs many seeded simulations with random faults.

Usage: ``python -m burdocksail.tools.soak --seed 1``.
"""

import traceback
from typing import Annotated

import typer

from burdocksail.standin import (
    FAULT_KINDS,
    RESTORATION_FAULT_KINDS,
    run_random_world,
)

STEPS_PER_RUN = 60


def soak(
    seed: Annotated[int, typer.Option(help="Seed of the first simulation.")] = 1,
    steps: Annotated[int, typer.Option(help="Steps over all simulations.")] = 20_000,
    restorations: Annotated[
        bool, typer.Option(help="Also restore the store from copies.")
    ] = False,
) -> None:
    """Run simulations with random faults one after another and report failures."""
    kinds = RESTORATION_FAULT_KINDS if restorations else FAULT_KINDS
    faults: dict[str, int] = {}
    outcomes: dict[str, int] = {}
    failed_seeds = []
    for number in range(max(1, steps // STEPS_PER_RUN)):
        run_seed = seed + number
        try:
            simulation = run_random_world(run_seed, STEPS_PER_RUN, kinds=kinds)
        except Exception as error:
            failed_seeds.append(run_seed)
            traceback.print_exc()
            typer.echo(f"seed {run_seed}: {type(error).__name__}: {error}")
            continue
        for totals, counts in (
            (faults, simulation.tally.faults),
            (outcomes, simulation.tally.outcomes),
        ):
            for name, count in counts.items():
                totals[name] = totals.get(name, 0) + count
    typer.echo(f"faults: {sum(faults.values())} {dict(sorted(faults.items()))}")
    typer.echo(f"writes: {dict(sorted(outcomes.items()))}")
    typer.echo(f"failed seeds: {failed_seeds}")
    if failed_seeds:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(soak)
