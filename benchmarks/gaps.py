"""Measures how long writes fail after the loss of a primary.

The fleet runs on in-memory fakes in virtual time. Each case is repeated at several
offsets relative to the fleet's own timers. In the fakes a promotion takes 0.3 s,
so no gap with a change of primary can be shorter.
"""

import asyncio

import typer

from burdocksail.catalog import ReadPolicy
from burdocksail.core import Run
from burdocksail.fakes import Fleet, run_in_virtual_time, silence_logs

OFFSETS = 20
OFFSET_STEP = 0.1  # seconds between offsets
SETTLE_TIME = 2.0  # seconds between the start and the first offset
WRITE_INTERVAL = 0.02  # seconds between writes


async def lose_nothing_else(fleet: Fleet) -> None:
    """Do nothing; `measure` loses the primary in every case."""


async def lose_leader(fleet: Fleet) -> None:
    """Lose the leader at the same time as the primary."""
    fleet.kill(fleet.leader().board.member.name)


async def lose_leader_earlier(fleet: Fleet) -> None:
    """Lose the leader 1.5 s before the primary."""
    await lose_leader(fleet)
    await asyncio.sleep(1.5)


async def restart_all_instances(fleet: Fleet) -> None:
    """Restart all instances; the primary is lost as soon as they have started."""
    for name in list(fleet.instances):
        fleet.kill(name)
    await asyncio.sleep(1.0)
    for name in list(fleet.clients):
        await fleet.start_instance(name)


CASES = {
    "primary": lose_nothing_else,
    "primary and leader": lose_leader,
    "leader, then primary": lose_leader_earlier,
    "all instances, then primary": restart_all_instances,
}


async def measure(case: str, offset: float) -> float:
    """Return the seconds from the loss of the primary to the first successful write."""
    fleet = Fleet()
    await fleet.start()
    await asyncio.sleep(SETTLE_TIME + offset)
    await CASES[case](fleet)
    fleet.database.servers["server-0"].crash()
    loop = asyncio.get_running_loop()
    lost_at = loop.time()
    name = max(fleet.instances)
    while True:
        session = fleet.session(name, ReadPolicy.PRIMARY)
        reply = await session.execute(Run(f"write-{loop.time()}", "WRITE", True))
        if reply.failure_kind is None:
            fleet.stop()
            return loop.time() - lost_at
        await asyncio.sleep(WRITE_INTERVAL)


def main() -> None:
    """Print the median and the longest gap of each case."""
    silence_logs()
    for case in CASES:
        gaps = sorted(
            run_in_virtual_time(measure(case, n * OFFSET_STEP)) for n in range(OFFSETS)
        )
        print(f"{case}: p50 {gaps[OFFSETS // 2]:.2f} s, max {gaps[-1]:.2f} s")


if __name__ == "__main__":
    typer.run(main)
