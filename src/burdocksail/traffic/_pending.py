"""What an instance has sent to a server and awaits the answers of.

Load pattern: a server that slows down to a fraction of its speed. Its answers tell so
only when they arrive, while the work that it has not finished in time tells it before.
"""

import itertools
from dataclasses import dataclass, field

# Single run times of one kind of work exceed the usual one by this factor rarely.
OVERDUE_FACTOR = 4.0


@dataclass(slots=True)
class PendingWork:
    """Statements in flight at a server, with the time that they usually take.

    Attributes
    ----------
    seconds : float
        Usual run time of all of them together.
    """

    seconds: float = 0.0
    _statements: dict[int, tuple[float, float]] = field(default_factory=dict)
    _numbers: itertools.count = field(default_factory=itertools.count)

    def __len__(self) -> int:
        return len(self._statements)

    def add(self, usual: float, now: float) -> int:
        """Record that a statement is sent; return the number to remove it with."""
        number = next(self._numbers)
        self._statements[number] = (now, usual)
        self.seconds += usual
        return number

    def remove(self, number: int) -> None:
        """Record that a statement has been answered or lost."""
        _, usual = self._statements.pop(number)
        self.seconds = self.seconds - usual if self._statements else 0.0

    def compute_least_factor(self, now: float) -> float:
        """Return the factor on run times that the oldest statement proves, at least 1.

        It is read from the time for which that statement has not been answered.
        """
        if not self._statements:
            return 1.0
        sent_at, usual = next(iter(self._statements.values()))
        return max(1.0, (now - sent_at) / (OVERDUE_FACTOR * usual))
