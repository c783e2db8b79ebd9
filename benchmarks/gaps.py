"""Gap in writing after the loss of a primary, on fakes and a virtual clock.

Each case is played at several offsets to the fleet's own timers. Promotion takes
0.3 s there, a change of primary cannot be shorter.
"""

import asyncio

import typer

from burdocksail.catalog import ReadPolicy
from burdocksail.core import Run
from burdocksail.fakes import Fleet, run_virtually, silence_logs

OFFSETS = 20
STEP = 0.1  # seconds between offsets
SETTLED = 2.0  # seconds after the start
PAUSE = 0.02  # seconds between writes


async def lose_nothing_else(fleet: Fleet) -> None:
    """Lose the primary alone."""


async def lose_leader(fleet: Fleet) -> None:
    """Lose the leader at the same moment."""
    fleet.kill(fleet.leader().board.member.name)


async def lose_leader_before(fleet: Fleet) -> None:
    """Lose the leader one and a half seconds earlier."""
    await lose_leader(fleet)
    await asyncio.sleep(1.5)


async def restart_all(fleet: Fleet) -> None:
    """Lose all instances, and the primary as they are back."""
    for name in list(fleet.instances):
        fleet.kill(name)
    await asyncio.sleep(1.0)
    for name in list(fleet.clients):
        await fleet.start_instance(name)


CASES = {
    "primary": lose_nothing_else,
    "primary and leader": lose_leader,
    "leader, then primary": lose_leader_before,
    "all instances, then primary": restart_all,
}


async def measure(case: str, offset: float) -> float:
    """Return the seconds from the loss to the first write that succeeds."""
    fleet = Fleet()
    await fleet.start()
    await asyncio.sleep(SETTLED + offset)
    await CASES[case](fleet)
    fleet.database.servers["server-0"].crash()
    loop = asyncio.get_running_loop()
    lost_at = loop.time()
    name = max(fleet.instances)
    while True:
        session = fleet.session(name, ReadPolicy.PRIMARY)
        reply = await session.execute(Run(f"write-{loop.time()}", "WRITE", True))
        if reply.refusal is None:
            fleet.stop()
            return loop.time() - lost_at
        await asyncio.sleep(PAUSE)


def main() -> None:
    """Print median and longest gap of each case."""
    silence_logs()
    for case in CASES:
        gaps = sorted(run_virtually(measure(case, n * STEP)) for n in range(OFFSETS))
        print(f"{case}: p50 {gaps[OFFSETS // 2]:.2f} s, max {gaps[-1]:.2f} s")


if __name__ == "__main__":
    typer.run(main)
