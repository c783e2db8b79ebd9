"""Messages between instances by size of the fleet, on fakes and a virtual clock.

Prints for each size what the leader and another instance send and receive each
second while nothing changes, and what a change of primary adds.
"""

import asyncio
import time
from collections import Counter

import typer

from burdocksail.fakes import Fleet, run_virtually, silence_logs

SIZES = (4, 8, 16, 32, 64)
WARM_UP = 5.0  # seconds of virtual time
MEASURED = 10.0  # seconds of virtual time


async def measure(size: int) -> str:
    """Return a row of the table for a fleet of `size` instances."""
    fleet = Fleet()
    await fleet.start(size)
    await asyncio.sleep(WARM_UP)
    messages: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    carry = fleet.network.carry

    def count(sender, receiver, payload) -> None:
        messages[sender[0]] += 1
        messages[receiver[0]] += 1
        sent[sender[0]] += len(payload)
        carry(sender, receiver, payload)

    fleet.network.carry = count
    started = time.process_time()
    await asyncio.sleep(MEASURED)
    spent = time.process_time() - started
    leader = fleet.leader().board.member.host
    other = next(h for h in fleet.hosts() if h != leader)
    fleet.stop()
    return (
        f"| {size} | {messages[leader] / MEASURED:.1f} | "
        f"{sent[leader] / MEASURED / 1000:.2f} | "
        f"{messages[other] / MEASURED:.1f} | "
        f"{sent[other] / MEASURED / 1000:.2f} | "
        f"{100 * spent / MEASURED / size:.2f} |"
    )


def main() -> None:
    """Print the table."""
    silence_logs()
    print("| instances | leader msg/s | leader KB/s | other msg/s | other KB/s | % |")
    print("| --- | --- | --- | --- | --- | --- |")
    for size in SIZES:
        print(run_virtually(measure(size)))


if __name__ == "__main__":
    typer.run(main)
