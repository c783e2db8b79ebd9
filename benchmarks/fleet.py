"""Measures the messages between instances by size of the fleet.

The fleet runs on in-memory fakes in virtual time. For each size a row shows the
messages per second that the leader and another instance send and receive while
nothing changes, the kilobytes per second that they send, and the CPU time per
instance as a percentage of virtual time.
"""

import asyncio
import time
from collections import Counter

import typer

from burdocksail.fakes import Fleet, run_in_virtual_time, silence_logs

SIZES = (4, 8, 16, 32, 64)
WARM_UP_TIME = 5.0  # seconds of virtual time
MEASURED_TIME = 10.0  # seconds of virtual time


async def measure(size: int) -> str:
    """Return the row of the Markdown table for a fleet of `size` instances."""
    fleet = Fleet()
    await fleet.start(size)
    await asyncio.sleep(WARM_UP_TIME)
    messages: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    deliver = fleet.network.carry

    def count_and_deliver(sender, receiver, payload) -> None:
        messages[sender[0]] += 1
        messages[receiver[0]] += 1
        sent[sender[0]] += len(payload)
        deliver(sender, receiver, payload)

    fleet.network.carry = count_and_deliver
    started = time.process_time()
    await asyncio.sleep(MEASURED_TIME)
    cpu_s = time.process_time() - started
    leader = fleet.leader().board.member.host
    other = next(h for h in fleet.hosts() if h != leader)
    fleet.stop()
    return (
        f"| {size} | {messages[leader] / MEASURED_TIME:.1f} | "
        f"{sent[leader] / MEASURED_TIME / 1000:.2f} | "
        f"{messages[other] / MEASURED_TIME:.1f} | "
        f"{sent[other] / MEASURED_TIME / 1000:.2f} | "
        f"{100 * cpu_s / MEASURED_TIME / size:.2f} |"
    )


def main() -> None:
    """Print the table of all sizes as Markdown."""
    silence_logs()
    print("| instances | leader msg/s | leader KB/s | other msg/s | other KB/s | % |")
    print("| --- | --- | --- | --- | --- | --- |")
    for size in SIZES:
        print(run_in_virtual_time(measure(size)))


if __name__ == "__main__":
    typer.run(main)
