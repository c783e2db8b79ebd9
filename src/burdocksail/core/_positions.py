"""Positions in a database group's replicated log.

A primary of term *t* numbers its transactions 1, 2, 3, ... and writes them under
a GTID source identifier that encodes *t*. What a server has applied is therefore
one number per term, which MySQL writes as a GTID set. The GTID set of a new
primary ends each earlier term at the last transaction that the primary has, so
that set alone shows whether a write was lost in a promotion.
"""

import re
from dataclasses import dataclass

GTID_PATTERN = re.compile(
    r"([0-9a-fA-F]{8}-[0-9a-fA-F]{4}-[0-9a-fA-F]{4}-[0-9a-fA-F]{4}"
    r"-[0-9a-fA-F]{12}):1(?:-(\d+))?"
)


@dataclass(frozen=True, slots=True, order=True)
class LogPosition:
    """Position of one transaction: its term and its sequence number in the term."""

    term: int
    sequence: int


@dataclass(frozen=True, slots=True)
class LogVector:
    """Last position of each term that a server has applied.

    Attributes
    ----------
    positions : tuple of LogPosition
        One position per term, in ascending order of terms.
    """

    positions: tuple[LogPosition, ...] = ()

    @property
    def last(self) -> LogPosition:
        """Return the last applied position, `LogPosition(0, 0)` if there is none."""
        return self.positions[-1] if self.positions else LogPosition(0, 0)

    def covers(self, position: LogPosition) -> bool:
        """Return whether the transaction at `position` has been applied.

        Sequence number 0 stands for no transaction and is always covered.
        """
        if position.sequence == 0:
            return True
        for applied in reversed(self.positions):
            if applied.term == position.term:
                return applied.sequence >= position.sequence
        return False

    def covers_all(self, other: "LogVector") -> bool:
        """Return whether all transactions that `other` covers have been applied."""
        return all(self.covers(position) for position in other.positions)

    def advance(self, position: LogPosition) -> "LogVector":
        """Return a vector that also covers `position`."""
        if self.covers(position):
            return self
        other_terms = [p for p in self.positions if p.term != position.term]
        return LogVector(tuple(sorted([*other_terms, position])))

    def to_gtid_set(self) -> str:
        """Return the vector as the text of a MySQL GTID set."""
        return ",".join(
            f"00000000-0000-0000-0000-{p.term:012x}:1-{p.sequence}"
            for p in self.positions
            if p.sequence > 0
        )


def parse_gtid_set(text: str) -> LogVector:
    """Parse a MySQL GTID set whose source identifiers encode terms.

    Raises
    ------
    ValueError
        If an element is not a UUID with one interval that starts at 1. Whether
        the UUID encodes a term is not checked.
    """
    positions = []
    for item in filter(None, (part.strip() for part in text.split(","))):
        match = GTID_PATTERN.fullmatch(item)
        if match is None:
            raise ValueError(f"not a GTID interval: {item!r}")
        term = int(match[1].rsplit("-", 1)[1], 16)
        positions.append(LogPosition(term, int(match[2] or 1)))
    return LogVector(tuple(sorted(positions)))
