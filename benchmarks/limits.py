"""Peak memory and descriptors of each instance while a group of callers misbehaves.

Instances of the line protocol are processes on loopback, with the limits of the
smallest machine. Run it on two versions to compare them. The callers are asyncio tasks
of this process, so a large group takes longer than a small one to get going.
"""

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated

import typer

from burdocksail.standin.misbehaving import CallerGroup, LineDialect, Pattern, Peak

# Before this folder, which has a module `fleet` too.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "review" / "standins"))

from loopback import DATABASE, LARGE_ITEM, LoopbackDeployment  # noqa: E402

LIMITS = {"memory_mb": 160, "max_fds": 4300}
INSTANCES = 3
DIALECT = LineDialect(DATABASE, LARGE_ITEM)


async def measure(pattern: Pattern | None, callers: int, duration: float) -> dict:
    """Return peaks per instance, and whether an ordinary caller was answered."""
    deployment = LoopbackDeployment(LIMITS, INSTANCES)
    try:
        await deployment.start()
        peaks = await asyncio.gather(
            *(
                _misbehave(pattern, callers // INSTANCES, duration, instance)
                for instance in deployment.instances
            )
        )
        is_answered = await deployment.request()
        return {
            "pattern": "no group" if pattern is None else pattern.value,
            "callers": callers,
            "memory_mb": round(max(peak.memory_mb for peak in peaks)),
            "descriptors": max(peak.descriptors for peak in peaks),
            "opened": sum(peak.opened for peak in peaks),
            "answered": is_answered,
            "alive": all(i.returncode is None for i in deployment.instances),
        }
    finally:
        await deployment.stop()


async def _misbehave(
    pattern: Pattern | None, callers: int, duration: float, instance: object
) -> Peak:
    used = Pattern.SILENT_SESSIONS if pattern is None else pattern
    count = 0 if pattern is None else callers
    group = CallerGroup(DIALECT, used, count, duration)
    return await group.run(instance.front, instance.pid)


def main(
    callers: Annotated[int, typer.Option(help="Callers over all instances.")] = 900,
    duration: Annotated[float, typer.Option(help="Seconds of each group.")] = 8.0,
    patterns: Annotated[str, typer.Option(help="Names by commas; all if empty.")] = "",
) -> None:
    """Print one line of JSON for each group."""
    names = [name for name in patterns.split(",") if name]
    chosen = [Pattern[name] for name in names] or [None, *Pattern]
    for pattern in chosen:
        typer.echo(json.dumps(asyncio.run(measure(pattern, callers, duration))))


if __name__ == "__main__":
    typer.run(main)
