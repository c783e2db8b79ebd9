"""Open sessions of callers, so that a stop can end them."""

from typing import Protocol


class OpenSession(Protocol):
    """A caller's connection as its border sees it."""

    @property
    def is_idle(self) -> bool:
        """Return whether no request and no transaction is open."""
        ...

    def end(self) -> None:
        """Tell the caller that the session ends, and close it."""
        ...


class SessionRegistry:
    """The sessions that this instance holds now."""

    def __init__(self) -> None:
        self._sessions: set[OpenSession] = set()

    def __len__(self) -> int:
        """Return the number of open sessions."""
        return len(self._sessions)

    def add(self, session: OpenSession) -> None:
        """Note a session that has begun."""
        self._sessions.add(session)

    def remove(self, session: OpenSession) -> None:
        """Note that a session has ended."""
        self._sessions.discard(session)

    def end_idle(self) -> None:
        """End every session that has nothing open."""
        for session in [s for s in self._sessions if s.is_idle]:
            session.end()

    def end_all(self) -> None:
        """End every session."""
        for session in list(self._sessions):
            session.end()
