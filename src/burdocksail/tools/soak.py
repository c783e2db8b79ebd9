"""Long randomised runs: ``python -m burdocksail.tools.soak --seed 1``."""

import traceback
from typing import Annotated

import typer

from burdocksail.standin import run_random_world

STEPS_PER_WORLD = 60


def soak(
    seed: Annotated[int, typer.Option(help="Seed of the first world.")] = 1,
    steps: Annotated[int, typer.Option(help="Steps over all worlds.")] = 20_000,
) -> None:
    """Run worlds of random faults one after another and report failures."""
    faults: dict[str, int] = {}
    outcomes: dict[str, int] = {}
    failed = []
    for number in range(max(1, steps // STEPS_PER_WORLD)):
        world_seed = seed + number
        try:
            world = run_random_world(world_seed, STEPS_PER_WORLD)
        except Exception as error:
            failed.append(world_seed)
            traceback.print_exc()
            typer.echo(f"seed {world_seed}: {type(error).__name__}: {error}")
            continue
        for total, part in (
            (faults, world.tally.faults),
            (outcomes, world.tally.outcomes),
        ):
            for name, count in part.items():
                total[name] = total.get(name, 0) + count
    typer.echo(f"faults: {sum(faults.values())} {dict(sorted(faults.items()))}")
    typer.echo(f"writes: {dict(sorted(outcomes.items()))}")
    typer.echo(f"failed seeds: {failed}")
    if failed:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(soak)
