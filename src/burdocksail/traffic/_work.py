"""How long each kind of work usually takes, and how servers compare at it.

Load pattern: work of 5 to 55 ms at the same servers, in shares that change. An
average over all of it says more of the work that a server happened to get than of the
server, so a server is compared with its peers at the same kind of work only.
"""

import math
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field

from burdocksail.traffic._averages import DecayingMean

USUAL_SECONDS = 0.03  # of work that has not been seen yet
HALF_LIFE = 10.0  # seconds; the length of a kind of work changes more rarely than load
MAX_WEIGHT = 50.0  # samples for each kind and server
INTERVAL_WEIGHT = 0.05  # of the newest sample in the moving average
MAX_KINDS = 256  # of a service; those that were used least recently are forgotten
# Differences below this are those of messages and timers, not of work.
MIN_SECONDS = 0.002
# Peers with less than this many samples are not compared with.
MIN_PEER_WEIGHT = 0.5
# An instance near one server may send it all reads, and so knows no peers. A sudden
# change at that server counts as far as one sample of a peer would; reads that it moves
# to the peers then show whether the server or the work has changed.
MAX_OWN_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class Comparison:
    """One run time, compared with the same work at the peers of its server before.

    Attributes
    ----------
    log_ratio : float
        Logarithm of the run time over the usual one.
    weight : float
        How far the usual one is known, from 0 to 1.
    """

    log_ratio: float
    weight: float


@dataclass(slots=True)
class WorkTimes:
    """Run times of the statements of one service, by kind of work and server.

    Means are taken of logarithms, so that a rare long statement counts little.

    Attributes
    ----------
    interval : float
        Moving average of the seconds between two records.
    """

    interval: float = 0.0
    _last_at: float | None = None
    _kinds: OrderedDict[Hashable, dict[Hashable, DecayingMean]] = field(
        default_factory=OrderedDict
    )

    def record(
        self,
        kind: Hashable,
        server: Hashable,
        seconds: float,
        now: float,
        has_peers: bool = True,
    ) -> Comparison | None:
        """Record a run time; return how it compares, or None if that is not known.

        Parameters
        ----------
        seconds : float
            Time from the statement to its reply, without that of the messages.
        has_peers : bool
            Whether other servers may run that kind of work. If not, its run times say
            nothing of the server.
        """
        if self._last_at is not None:
            self.interval += INTERVAL_WEIGHT * (now - self._last_at - self.interval)
        self._last_at = now
        means = self._get_means(kind)
        logarithm = math.log(max(seconds, MIN_SECONDS))
        comparison = _compare(means, server, logarithm, now) if has_peers else None
        own = means.get(server)
        if own is None:
            _forget_stale(means, now)
            own = means[server] = DecayingMean(HALF_LIFE, MAX_WEIGHT)
        own.add(logarithm, now)
        return comparison

    def estimate(self, kind: Hashable) -> float:
        """Return the usual run time of a kind of work, in seconds."""
        means = self._kinds.get(kind)
        if not means:
            return USUAL_SECONDS
        weight = sum(mean.weight for mean in means.values())
        total = sum(mean.weight * mean.mean for mean in means.values())
        return math.exp(total / weight)

    def estimate_at(
        self, kind: Hashable, server: Hashable, factor: float, now: float
    ) -> float:
        """Return the expected run time of a kind of work at a server, in seconds.

        0 if that kind has not been seen.

        Parameters
        ----------
        factor : float
            Learned factor on run times at the server, used where it has not run that
            kind lately.
        """
        means = self._kinds.get(kind)
        if not means:
            return 0.0
        own = means.get(server)
        if own is not None and own.compute_weight(now) >= 1.0:
            return math.exp(own.mean)
        return factor * self.estimate(kind)

    def _get_means(self, kind: Hashable) -> dict[Hashable, DecayingMean]:
        means = self._kinds.get(kind)
        if means is None:
            means = self._kinds[kind] = {}
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        else:
            self._kinds.move_to_end(kind)
        return means


def _compare(
    means: dict[Hashable, DecayingMean], server: Hashable, logarithm: float, now: float
) -> Comparison | None:
    weight = total = 0.0
    for peer, mean in means.items():
        known = mean.compute_weight(now)
        if peer == server:
            known = min(known, MAX_OWN_WEIGHT)
        weight += known
        total += known * mean.mean
    if weight < MIN_PEER_WEIGHT:
        return None
    return Comparison(logarithm - total / weight, weight / (weight + 1.0))


def _forget_stale(means: dict[Hashable, DecayingMean], now: float) -> None:
    """Drop servers without recent samples; a restarted server has another key."""
    for server in [s for s, m in means.items() if m.compute_weight(now) < 0.01]:
        del means[server]
