"""Which waiting request gets the next connection, by fair shares of the workspaces.

Load pattern: one workspace sends several times its usual load beside many small ones
before few connections. In one queue for all, the requests of the small workspaces
wait behind those of the large one, and most of what is rejected is theirs.

Start-time fair queuing (Goyal, Vin, Cheng 1996) inside each route priority: a
workspace is charged for the time that it holds a connection, divided by its weight,
and the one that has been charged least is served next. It is work-conserving, and a
workspace that has sent nothing for a while has no credit and no debt.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

# Weight of a workspace by its priority; the last also for all lower priorities. Halved
# with each step, so that the lowest still gets an eighth of what the highest gets.
WEIGHTS = (8, 4, 2, 1)
# Fewer idle workspaces than this are not worth the search for those to forget.
MIN_PRUNED = 64
# A request of a connection's own workspace may go before another's if it is due at
# most this much later: opening a connection takes 12 ms and two round trips.
MAX_OVERTAKING = 0.05  # seconds
# A workspace may overtake until it is ahead of its share by so much time of a
# connection. Without this, a busy workspace would keep its connections, as its waiting
# requests are always due first.
MAX_LEAD = 0.15  # seconds


def compute_weight(priority: int) -> int:
    """Return the weight of a workspace by its priority; 0 is the highest."""
    return WEIGHTS[min(max(priority, 0), len(WEIGHTS) - 1)]


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request in a queue.

    Attributes
    ----------
    workspace : str or None
        Workspace that it is charged to; None for requests of no workspace that can
        use any connection.
    level : int
        Route priority; shares are kept inside one level.
    order : float
        Place in the workspace's part of the queue; lower values are served first.
    payload : object
        What the owner of the queue needs to serve it.
    """

    workspace: str | None
    level: int
    order: float
    sequence: int
    payload: Any
    is_waiting: bool = True

    def __lt__(self, other: "WaitingRequest") -> bool:
        return (self.order, self.sequence) < (other.order, other.sequence)


@dataclass(slots=True)
class _Flow:
    """The requests of one workspace on one level.

    Attributes
    ----------
    start, finish : float
        Virtual times at which its next request starts, and its last one finished.
    queued_at : float or None
        Its `start` as it stands in the heap of the level.
    """

    requests: list[WaitingRequest] = field(default_factory=list)
    start: float = 0.0
    finish: float = 0.0
    queued_at: float | None = None

    def peek(self) -> WaitingRequest | None:
        """Return the first request that still waits."""
        while self.requests and not self.requests[0].is_waiting:
            heapq.heappop(self.requests)
        return self.requests[0] if self.requests else None


class _Level:
    """Fair shares of the workspaces inside one route priority.

    Attributes
    ----------
    count : int
        Requests that wait.
    virtual_time : float
        Start of the last request that was served in its turn.
    """

    def __init__(self) -> None:
        self.flows: dict[str | None, _Flow] = {}
        self.virtual_time = 0.0
        self.count = 0
        self._ready: list[tuple[float, int, str | None]] = []
        self._sequence = itertools.count()
        self._prune_at = MIN_PRUNED

    def push(self, request: WaitingRequest) -> None:
        flow = self._get_flow(request.workspace)
        if flow.peek() is None:
            flow.start = max(self.virtual_time, flow.finish)
        heapq.heappush(flow.requests, request)
        self.count += 1
        self._enqueue(request.workspace, flow)

    def find_first(
        self, is_eligible: Callable[[str | None], bool]
    ) -> WaitingRequest | None:
        skipped = []
        found = None
        while self._ready:
            start, _, workspace = self._ready[0]
            flow = self.flows.get(workspace)
            head = None if flow is None else flow.peek()
            if flow is None or head is None or start != flow.queued_at:
                self._drop_entry(flow, start)
            elif is_eligible(workspace):
                found = head
                break
            else:
                skipped.append(heapq.heappop(self._ready))
        for entry in skipped:
            heapq.heappush(self._ready, entry)
        return found

    def charge(self, workspace: str | None, cost: float) -> None:
        flow = self._get_flow(workspace)
        is_backlogged = flow.peek() is not None
        start = flow.start if is_backlogged else max(self.virtual_time, flow.finish)
        earliest = min(start, self._ready[0][0]) if self._ready else start
        self.virtual_time = max(self.virtual_time, earliest)
        flow.finish = start + cost
        self._requeue(workspace, flow)

    def correct(self, workspace: str | None, cost: float) -> None:
        flow = self.flows.get(workspace)
        if flow is not None:
            flow.finish += cost
            self._requeue(workspace, flow)

    def compute_lead(self, workspace: str | None) -> float:
        flow = self.flows.get(workspace)
        return 0.0 if flow is None else flow.start - self.virtual_time

    def _get_flow(self, workspace: str | None) -> _Flow:
        flow = self.flows.get(workspace)
        if flow is None:
            self._prune()
            flow = self.flows[workspace] = _Flow()
        return flow

    def _requeue(self, workspace: str | None, flow: _Flow) -> None:
        flow.start = flow.finish
        if flow.peek() is not None:
            self._enqueue(workspace, flow)

    def _enqueue(self, workspace: str | None, flow: _Flow) -> None:
        """Put a workspace into the heap; an entry with another start is out of date."""
        if flow.queued_at != flow.start:
            flow.queued_at = flow.start
            entry = (flow.start, next(self._sequence), workspace)
            heapq.heappush(self._ready, entry)

    def _drop_entry(self, flow: _Flow | None, start: float) -> None:
        heapq.heappop(self._ready)
        if flow is not None and flow.queued_at == start:
            flow.queued_at = None

    def _prune(self) -> None:
        """Forget the workspaces that are neither waiting nor ahead of their share."""
        if len(self.flows) < self._prune_at:
            return
        self.flows = {
            workspace: flow
            for workspace, flow in self.flows.items()
            if flow.peek() is not None or flow.finish > self.virtual_time
        }
        self._prune_at = max(MIN_PRUNED, 2 * len(self.flows))


class FairQueue:
    """Requests that wait for the connections of one pool.

    Across levels, the request that is due first goes first, among those that are next
    on their levels.

    Parameters
    ----------
    weigh : callable
        Returns the weight of a workspace.
    """

    def __init__(self, weigh: Callable[[str | None], int]):
        self._weigh = weigh
        self._levels: dict[int, _Level] = {}
        self._waiting: dict[str | None, int] = {}
        self._weights: dict[str | None, int] = {}
        self._total_weight = 0
        self._sequence = itertools.count()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def waiting_by_workspace(self) -> dict[str | None, int]:
        """Return the number of waiting requests by workspace."""
        return self._waiting

    def push(
        self, workspace: str | None, level: int, order: float, payload: Any
    ) -> WaitingRequest:
        """Add a request and return it."""
        request = WaitingRequest(workspace, level, order, next(self._sequence), payload)
        self._get_level(level).push(request)
        self._count += 1
        if workspace not in self._waiting:
            self._weights[workspace] = self._weigh(workspace)
            self._total_weight += self._weights[workspace]
        self._waiting[workspace] = self._waiting.get(workspace, 0) + 1
        return request

    def remove(self, request: WaitingRequest) -> None:
        """Take a request out, whether it is served or has given up."""
        if not request.is_waiting:
            return
        request.is_waiting = False
        self._count -= 1
        self._levels[request.level].count -= 1
        left = self._waiting[request.workspace] - 1
        if left:
            self._waiting[request.workspace] = left
        else:
            del self._waiting[request.workspace]
            self._total_weight -= self._weights.pop(request.workspace)

    def find_first(
        self, is_eligible: Callable[[str | None], bool]
    ) -> WaitingRequest | None:
        """Return the next request in queue order, of the eligible workspaces."""
        heads = (level.find_first(is_eligible) for level in self._levels.values())
        return min((head for head in heads if head is not None), default=None)

    def find_first_of(self, workspace: str | None) -> WaitingRequest | None:
        """Return the request of a workspace that is due first."""
        if workspace not in self._waiting:
            return None
        flows = (level.flows.get(workspace) for level in self._levels.values())
        heads = (flow.peek() for flow in flows if flow is not None)
        return min((head for head in heads if head is not None), default=None)

    def may_overtake(self, own: WaitingRequest, first: WaitingRequest) -> bool:
        """Return whether a request of a connection's workspace may go before the first.

        Only if it is due little later, and its workspace is little ahead of its share.
        """
        if own.order > first.order + MAX_OVERTAKING:
            return False
        lead = self._get_level(own.level).compute_lead(own.workspace)
        return lead * self._weigh(own.workspace) <= MAX_LEAD

    def charge(self, workspace: str | None, level: int, seconds: float) -> None:
        """Charge a workspace for the time that it will probably hold a connection."""
        self._get_level(level).charge(workspace, seconds / self._weigh(workspace))

    def correct_charge(self, workspace: str | None, level: int, seconds: float) -> None:
        """Add a difference to an earlier charge; negative if that was too high."""
        self._get_level(level).correct(workspace, seconds / self._weigh(workspace))

    def count_due(self, order: float) -> int:
        """Return how many requests are due no later than `order`; looks at all."""
        return sum(1 for request in self._iterate() if request.order <= order)

    def estimate_ahead(self, workspace: str | None, level: int) -> int:
        """Return how many requests would probably be served before a new one.

        Those of its level and of more urgent ones, but not more than the shares of all
        workspaces let through while the workspace's own are served.
        """
        waiting = sum(found.count for n, found in self._levels.items() if n <= level)
        own = self._waiting.get(workspace, 0)
        weight = self._weights.get(workspace) or self._weigh(workspace)
        others = self._total_weight - self._weights.get(workspace, 0)
        return min(waiting, own + (own + 1) * others // weight)

    def compute_share(self, workspace: str | None) -> float:
        """Return the part of the connections that a workspace gets while it waits."""
        weight = self._weights.get(workspace) or self._weigh(workspace)
        others = self._total_weight - self._weights.get(workspace, 0)
        return weight / (weight + others)

    def drain(
        self, is_affected: Callable[[str | None], bool] = lambda _: True
    ) -> list[WaitingRequest]:
        """Take out and return the requests of the affected workspaces, in order."""
        requests = sorted(r for r in self._iterate() if is_affected(r.workspace))
        for request in requests:
            self.remove(request)
        return requests

    def _iterate(self) -> list[WaitingRequest]:
        return [
            request
            for level in self._levels.values()
            for workspace in self._waiting
            if (flow := level.flows.get(workspace)) is not None
            for request in flow.requests
            if request.is_waiting
        ]

    def _get_level(self, level: int) -> _Level:
        found = self._levels.get(level)
        if found is None:
            found = self._levels[level] = _Level()
        return found
