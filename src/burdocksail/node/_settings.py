"""Settings of a node."""

from dataclasses import dataclass
from datetime import timedelta

from burdocksail.core import Instance, seconds


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node; durations are measured by its monotonic clock.

    Attributes
    ----------
    instance : Instance
        This instance.
    token_key : bytes
        Key that signs consistency tokens; the same for all instances.
    seeds : tuple of Instance
        Instances to contact before the platform's list of instances has been
        read. Their incarnation may be empty.
    lease_duration : timedelta
        Time for which a member is bound by a lease that it granted.
    clock_drift : float
        Greatest relative difference between the rates of two clocks.
    renew_interval : timedelta
        Time between two renewals of a lease.
    """

    instance: Instance
    token_key: bytes
    seeds: tuple[Instance, ...] = ()
    lease_duration: timedelta = seconds(3)
    clock_drift: float = 0.02
    renew_interval: timedelta = seconds(0.6)
