"""Stand-in for the platform's balancer and for its restarts, as PROTOCOL.md says."""

import asyncio
import random
import signal
import time

from fleet import Instance, Record

PROBE_INTERVAL = 1.0  # seconds
MISSES = 2  # in a row, until an instance gets no more new connections
RESTART_DELAY = 0.5  # seconds from the end of a process to its next start


class Balancer:
    """Probes the instances of one zone and selects one for each new connection."""

    def __init__(self, instances: list[Instance], nearest: list[Instance], seed: int):
        self._instances = instances
        self._nearest = nearest
        self._misses = dict.fromkeys((i.name for i in instances), 0)
        self._random = random.Random(seed)

    async def probe(self) -> None:
        """Probe all instances once a second, until cancelled."""
        await asyncio.gather(*(self._probe_one(i) for i in self._instances))

    def select(self) -> Instance:
        """Return the instance that gets the next new connection."""
        rotation = [i for i in self._instances if self._misses[i.name] < MISSES]
        if not rotation:
            return self._random.choice(self._nearest)
        if 2 * len(rotation) < len(self._instances):
            rotation = self._instances
        return self._random.choice(rotation)

    async def _probe_one(self, instance: Instance) -> None:
        await asyncio.sleep(self._random.random() * PROBE_INTERVAL)
        while True:
            asked_at = time.monotonic()
            if await instance.is_ready():
                self._misses[instance.name] = 0
            else:
                self._misses[instance.name] += 1
            left = asked_at + PROBE_INTERVAL - time.monotonic()
            await asyncio.sleep(max(0.0, left))


async def restart(instance: Instance, grace: float, record: Record) -> None:
    """Stop an instance with SIGTERM, SIGKILL after the grace time; start it again."""
    instance.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(instance.wait(), grace)
    except TimeoutError:
        instance.send_signal(signal.SIGKILL)
        await instance.wait()
    record("instance ended", instance=instance.name, status=instance.returncode)
    await asyncio.sleep(RESTART_DELAY)
    await instance.start()
