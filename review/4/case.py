"""A planned stop exits while sessions that the balancer still sends are served.

Two of the three machines of a zone are stopped 1.3 s apart. Fewer than half of
them are then in rotation, so the platform uses all, also those that are stopping. An
instance without a session exits 2.3 s after SIGTERM at the earliest, and it goes on
accepting sessions while it withdraws from the store. Their requests are passed on to a
server and end with the process.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from balancer import Balancer, restart  # noqa: E402
from deployment import BOUNDED_ROUTE, BOUNDS, Deployment  # noqa: E402
from fleet import Client, Instance, run_case  # noqa: E402

ROUNDS = 10
ROUND_TIME = 7.0  # seconds
GAP = 1.3  # seconds between the two SIGTERMs of a round; gap_s in the site file
SESSIONS_PER_SECOND = 30  # of the zone, each with one read
READ_WORK = 0.047  # seconds; work_ms of stock-lookup
PLANNED_TIME = BOUNDS["grace_s"] + 1.0  # seconds from SIGTERM


async def run_session(record, number: int, instance: Instance, cut: list) -> None:
    """Read once in a session of its own."""
    client = Client(record, f"s{number}")
    request_id = f"{number:08x}"
    try:
        if await client.start(instance.front, BOUNDED_ROUTE):
            sent_at = time.monotonic()
            answer = await client.query(request_id, f"READ item{number}")
            if answer is None:
                cut.append((request_id, instance.name, sent_at))
    except OSError:
        pass
    client.close()


def judge(record, deployment, cut: list, stopped: list) -> bool:
    """Return whether no request was cut off that had been passed on to a server.

    Only requests count that were sent to a machine between its SIGTERM and one
    second after the grace time.
    """
    runs = {r[1] for s in deployment.group.servers.values() for r in s.runs}
    held = True
    for request_id, name, sent_at in cut:
        planned = any(
            name == stopped_name and at <= sent_at <= at + PLANNED_TIME
            for stopped_name, at in stopped
        )
        if planned and request_id in runs:
            held = False
            record("BROKEN: LOST", id=request_id, instance=name)
    return held


async def main(record, folder, disturbed, instances) -> bool:
    """Play the case and return whether the rule held."""
    deployment = Deployment(record, folder, instances)
    await deployment.start(
        ["coastal-a", "coastal-a", "coastal-a", "piedmont-a", "wiregrass-a"],
        ["piedmont-a", "coastal-a", "wiregrass-a"],
    )
    for server in deployment.group.servers.values():
        server.work = READ_WORK
    zone = instances[:3]
    balancer = Balancer(zone, instances[3:], seed=1)
    probes = asyncio.create_task(balancer.probe())
    await asyncio.sleep(6.0)  # every machine is in touch
    sessions: set[asyncio.Task] = set()
    cut, stopped, restarts = [], [], []
    started_at = time.monotonic()
    number = 0
    terms = [
        (started_at + 1.0 + ROUND_TIME * r + GAP * k, zone[(r + k) % 3])
        for r in range(ROUNDS)
        for k in range(2)
    ]
    while time.monotonic() < started_at + ROUNDS * ROUND_TIME + 5.0:
        number += 1
        task = asyncio.create_task(run_session(record, number, balancer.select(), cut))
        sessions.add(task)
        task.add_done_callback(sessions.discard)
        while disturbed and terms and terms[0][0] <= time.monotonic():
            _, instance = terms.pop(0)
            stopped.append((instance.name, time.monotonic()))
            restarts.append(
                asyncio.create_task(restart(instance, BOUNDS["grace_s"], record))
            )
        await asyncio.sleep(1 / SESSIONS_PER_SECOND)
    await asyncio.gather(*sessions, *restarts)
    probes.cancel()
    return judge(record, deployment, cut, stopped)


if __name__ == "__main__":
    run_case(main, HERE)
