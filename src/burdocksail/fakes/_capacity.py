"""Execution slots of an in-memory server, with a bounded queue before them."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class ServerCapacity:
    """What a server can run at a time; statements occupy a slot for their run time.

    Attributes
    ----------
    slots : int
        Statements that run at a time.
    queue : int
        Statements that may wait for a slot; the server rejects more.
    handshake : float
        Seconds for which a new connection occupies a slot.
    slow_factor : float
        Factor on all run times.
    failing_share, silent_share : float
        Shares of the statements that fail, or get no answer, after they have run.
    rejected, arrived, opened : int
        Statements and connections that were rejected, statements that arrived, and
        connections that were opened.
    """

    slots: int = 4
    queue: int = 40
    handshake: float = 0.012
    slow_factor: float = 1.0
    failing_share: float = 0.0
    silent_share: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    rejected: int = 0
    arrived: int = 0
    opened: int = 0
    _busy: int = 0
    _waiting: deque[asyncio.Future] = field(default_factory=deque)

    async def run(self, seconds: float) -> bool:
        """Run a statement; return whether it ran, False if the queue was full."""
        self.arrived += 1
        if self._busy >= self.slots and len(self._waiting) >= self.queue:
            self.rejected += 1
            return False
        await self._occupy(seconds)
        return True

    async def open_connection(self) -> None:
        """Occupy a slot for a handshake."""
        self.opened += 1
        await self._occupy(self.handshake)

    def draws_failure(self) -> bool:
        """Return whether the statement that has just run fails."""
        return self.rng.random() < self.failing_share

    def draws_silence(self) -> bool:
        """Return whether the answer to the statement that has just run is lost."""
        return self.rng.random() < self.silent_share

    async def _occupy(self, seconds: float) -> None:
        if self._busy >= self.slots:
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        else:
            self._busy += 1
        try:
            await asyncio.sleep(seconds * self.slow_factor)
        finally:
            self._release()

    def _release(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)  # The slot passes on.
                return
        self._busy -= 1
