"""Helpers for tests that run a whole fleet."""

import asyncio
from collections.abc import Callable, Coroutine

from burdocksail.catalog import ReadPolicy
from burdocksail.core import Run
from burdocksail.fakes._fleet import Fleet
from burdocksail.fakes._virtual_loop import run_in_virtual_time

WRITE_TIMEOUT = 30.0  # seconds; longer than any change of primary may take
WRITE_BACKOFF = 0.02  # seconds between attempts


def run_scenario(
    scenario: Callable[[Fleet], Coroutine], instances: int = 3, settle_time: float = 0.0
) -> None:
    """Run a scenario in virtual time on a fleet that is ready.

    Parameters
    ----------
    settle_time : float
        Seconds to wait between readiness of the fleet and the scenario.
    """

    async def run() -> None:
        fleet = Fleet()
        await fleet.start(instances)
        await asyncio.sleep(settle_time)
        try:
            await scenario(fleet)
        finally:
            fleet.stop()

    run_in_virtual_time(run())


async def write(fleet: Fleet, name: str) -> bool:
    """Send one write to an instance; return whether it was acknowledged."""
    session = fleet.session(name, ReadPolicy.PRIMARY)
    request_id = f"{name}-{asyncio.get_running_loop().time()}"
    reply = await session.execute(Run(request_id, "WRITE", True))
    return reply.failure_kind is None


async def time_until_written(fleet: Fleet, name: str) -> float:
    """Return the seconds until an instance acknowledges a write.

    Raises
    ------
    AssertionError
        If no write is acknowledged within `WRITE_TIMEOUT` seconds.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    while loop.time() < started + WRITE_TIMEOUT:
        if await write(fleet, name):
            return loop.time() - started
        await asyncio.sleep(WRITE_BACKOFF)
    raise AssertionError("no write was acknowledged in time")
