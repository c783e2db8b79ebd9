"""A transaction of an earlier primary is committed under a later one.

Two primaries are released within some seconds. While the first promotion is under
way, the leading instance is cut off from the store, so that it opens the group but
cannot record that. The instance that takes over gives the next primary's tenure the
same number, so a transaction that is bound to the replaced primary passes for one of
the present primary, and its COMMIT there is acknowledged.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import PRIMARY_ROUTE, Deployment  # noqa: E402
from fleet import Client, run_case  # noqa: E402

CUT_TIME = 5.5  # seconds; core_cut in the site file
SECOND_RELEASE = 3.0  # seconds after the first
CLIENTS = 40
STATEMENTS = 11  # and COMMIT: 12 in a transaction
# Seconds between the statements of a transaction; a client keeps to its own.
PAUSES = (0.45, 0.9)
OBSERVED_TIME = 20.0  # seconds from the first release


async def run_client(record, number: int, instance, until: float) -> None:
    """Run transactions on one instance, one after the other."""
    attempt = 0
    shortest, longest = PAUSES
    pause = shortest + (longest - shortest) * number / CLIENTS
    while time.monotonic() < until:
        attempt += 1
        client = Client(record, f"c{number}")
        try:
            if await client.start(instance.front, PRIMARY_ROUTE):
                await run_transaction(client, f"{number:02x}{attempt:04x}", pause)
        except OSError:
            pass
        client.close()
        await asyncio.sleep(0.1)


async def run_transaction(client: Client, prefix: str, pause: float) -> None:
    """Run BEGIN, a write, reads with pauses, and COMMIT."""
    texts = ["BEGIN", f"WRITE item{prefix} {prefix}"]
    texts += [f"READ item{prefix}"] * (STATEMENTS - 2)
    for index, text in enumerate([*texts, "COMMIT"]):
        answer = await client.query(f"{prefix}{index:02x}", text)
        if answer is None or answer[0] == "ERROR":
            return
        await asyncio.sleep(pause)


def judge(record, undisturbed: set[str]) -> bool:
    """Return whether no commit at a replaced primary was acknowledged.

    Only clients of instances that were not cut off count.
    """
    acknowledged = {
        fields["id"]
        for _, event, fields in record.entries
        if event == "answered"
        and fields["answer"][0] == "COMPLETE"
        and fields["client"] in undisturbed
    }
    held = True
    for _, event, fields in record.entries:
        if event != "committed" or fields["server"] == fields["present_primary"]:
            continue
        if fields["ids"][-1] in acknowledged:
            held = False
            record("BROKEN: ONE", **fields)
    return held


async def main(record, folder, disturbed, instances) -> bool:
    """Play the case and return whether the rule held."""
    deployment = Deployment(record, folder, instances)
    await deployment.start(
        ["piedmont-a", "coastal-a", "wiregrass-a"],
        ["piedmont-a", "coastal-a", "wiregrass-a"],
    )
    await asyncio.sleep(6.0)  # every machine is in touch
    leader = await deployment.find_leader()
    record("leader", instance=leader.name)
    others = [i for i in instances if i is not leader]
    loop = asyncio.get_running_loop()
    store_server = deployment.store_servers[leader.name]

    def cut(service: str, server_id: str, holder: str) -> None:
        if disturbed and holder == leader.name and not store_server.is_cut:
            store_server.is_cut = True
            record("cut off from the store", instance=leader.name)
            loop.call_later(CUT_TIME, heal)
            deployment.on_order = None

    def heal() -> None:
        store_server.is_cut = False
        record("cut healed", instance=leader.name)

    deployment.on_order = cut
    until = time.monotonic() + OBSERVED_TIME + 4.0
    clients = []
    for number in range(CLIENTS):
        instance = others[number % len(others)]
        clients.append(asyncio.create_task(run_client(record, number, instance, until)))
        await asyncio.sleep(0.1)
    for delay in (SECOND_RELEASE, OBSERVED_TIME - SECOND_RELEASE):
        primary = deployment.group.primary
        await deployment.add_server(primary.zone)
        await asyncio.sleep(0.3)
        primary.drain()
        await asyncio.sleep(delay)
    await asyncio.gather(*clients)
    return judge(record, {f"c{n}" for n in range(CLIENTS)})


if __name__ == "__main__":
    run_case(main, HERE)
