"""Choice of the server to promote, from what the servers of a group report.

An acknowledged commit is in the log of its primary and of as many replicas as the
service's `sync_replicas` says. Servers that are leaving count as such replicas, so
they are among those that are asked, and may be the only ones to have a commit.
"""

from dataclasses import dataclass

from burdocksail.authority._inspection import InspectedServer
from burdocksail.core import BurdocksailError, LogPosition


class NoCandidate(BurdocksailError):
    """No server can be promoted now without losing acknowledged commits."""


@dataclass(frozen=True, slots=True)
class Survey:
    """What the servers of a group have reported in one round.

    Attributes
    ----------
    answers : tuple of InspectedServer
        Servers that answered, without the old primary unless it may be promoted
        like the others.
    old_primary : InspectedServer or None
        The old primary with its last status, if it has stepped down and no other
        server can have been primary since.
    ready_ids : frozenset of str
        Servers that are not leaving.
    server_count : int
        Servers that may have an acknowledged commit, whether they answered or not;
        the old primary is one of them.
    sync_replicas : int
        Replicas that a commit needs in order to be acknowledged.
    """

    answers: tuple[InspectedServer, ...]
    old_primary: InspectedServer | None
    ready_ids: frozenset[str]
    server_count: int
    sync_replicas: int

    @property
    def has_every_commit(self) -> bool:
        """Return whether each acknowledged commit is at a server that answered.

        True without `sync_replicas`, as such commits may be lost with their primary.
        """
        if self.sync_replicas == 0 or self.old_primary is not None:
            return True
        return len(self.answers) >= self.server_count - self.sync_replicas

    @property
    def last_position(self) -> LogPosition:
        """Return the latest position that any server has reported."""
        return max(s.status.received for s in self._all_answers())

    def find_best_ready(self) -> InspectedServer | None:
        """Return the server with the latest position among those that are ready."""
        ready = [s for s in self.answers if s.upstream.id in self.ready_ids]
        return max(ready, key=_rank, default=None)

    def find_holder(self) -> InspectedServer:
        """Return a server with the latest position, the old primary only if alone."""
        last = self.last_position
        return next(s for s in self._all_answers() if s.status.received == last)

    def _all_answers(self) -> list[InspectedServer]:
        """Return the old primary last, and before it the others by rank."""
        ranked = sorted(self.answers, key=self._rank_ready, reverse=True)
        return ranked if self.old_primary is None else [*ranked, self.old_primary]

    def _rank_ready(self, server: InspectedServer) -> tuple:
        return (server.upstream.id in self.ready_ids, _rank(server))


def choose_candidate(
    survey: Survey, previous: LogPosition | None, overdue: bool
) -> InspectedServer | None:
    """Return the server to promote, or None if the servers should be asked again.

    It is a server that is ready, once that has caught up with all that answered. Once
    overdue, it is the one with the latest position, ready or not, if the service
    waits for replicas, and otherwise the best of those that are ready.

    Parameters
    ----------
    previous : LogPosition or None
        Position of the best server that was ready in the round before. If the old
        primary does not answer, commits may be in flight to replicas until this
        no longer changes.
    overdue : bool
        Whether the time to catch up is over.

    Raises
    ------
    NoCandidate
        If there is none, or if too few servers answer in time.
    """
    best = survey.find_best_ready()
    if best is None and not (survey.sync_replicas and survey.answers):
        raise NoCandidate("no server that is ready answers")
    if not survey.has_every_commit:
        if overdue:
            raise NoCandidate(
                "too few servers answer to find every acknowledged commit"
            )
        return None
    if best is not None and best.status.received >= survey.last_position:
        is_settled = survey.old_primary is not None or best.status.received == previous
        if is_settled or overdue:
            return best
    if not overdue:
        return None
    return survey.find_holder() if survey.sync_replicas else best


def _rank(server: InspectedServer) -> tuple[LogPosition, int]:
    return (server.status.received, server.upstream.started_at_ms)
