"""What tests of whole fleets share."""

import asyncio
from collections.abc import Callable, Coroutine

from burdocksail.catalog import ReadPolicy
from burdocksail.core import Run
from burdocksail.fakes._fleet import Fleet
from burdocksail.fakes._virtual_loop import run_virtually

WRITE_PATIENCE = 30.0  # seconds; longer than any change of primary may take
WRITE_PAUSE = 0.02  # seconds between attempts


def play_fleet(
    scenario: Callable[[Fleet], Coroutine], instances: int = 3, settled: float = 0.0
) -> None:
    """Play a scenario on a fleet that serves, in virtual time.

    Parameters
    ----------
    settled : float
        Seconds between the start of the fleet and that of the scenario.
    """

    async def run() -> None:
        fleet = Fleet()
        await fleet.start(instances)
        await asyncio.sleep(settled)
        try:
            await scenario(fleet)
        finally:
            fleet.stop()

    run_virtually(run())


async def write(fleet: Fleet, name: str) -> bool:
    """Write once at an instance; return whether that was acknowledged."""
    session = fleet.session(name, ReadPolicy.PRIMARY)
    request_id = f"{name}-{asyncio.get_running_loop().time()}"
    reply = await session.execute(Run(request_id, "WRITE", True))
    return reply.refusal is None


async def time_until_written(fleet: Fleet, name: str) -> float:
    """Return the seconds until an instance acknowledges a write.

    Raises
    ------
    AssertionError
        If it does not for long.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    while loop.time() < started + WRITE_PATIENCE:
        if await write(fleet, name):
            return loop.time() - started
        await asyncio.sleep(WRITE_PAUSE)
    raise AssertionError("no write succeeds")
