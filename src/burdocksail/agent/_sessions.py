"""Registry of the open caller sessions, so that a graceful stop can end them."""

from typing import Protocol


class OpenSession(Protocol):
    """A caller's connection, as the adapter on the caller's side implements it."""

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in flight and no transaction is open."""
        ...

    def end(self) -> None:
        """End the session and close the connection.

        A request in flight is answered first; without one, the caller is notified.
        """
        ...


class SessionRegistry:
    """The sessions that are open at this instance."""

    def __init__(self) -> None:
        self._sessions: set[OpenSession] = set()

    def __len__(self) -> int:
        """Return the number of open sessions."""
        return len(self._sessions)

    def add(self, session: OpenSession) -> None:
        """Register a session that has begun."""
        self._sessions.add(session)

    def remove(self, session: OpenSession) -> None:
        """Remove a session that has ended."""
        self._sessions.discard(session)

    def end_idle(self) -> None:
        """End every session that is idle."""
        for session in [s for s in self._sessions if s.is_idle]:
            session.end()

    def end_all(self) -> None:
        """End every session, idle or not."""
        for session in list(self._sessions):
            session.end()
