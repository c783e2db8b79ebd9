"""Gossip membership: which instances are alive, suspect, leaving or dead.

Each instance probes one other instance per interval, in random order, so the
message rate of an instance does not grow with the fleet. State changes spread as
rumours piggybacked on probes and their answers. The platform's instance list
lags behind: it serves to discover instances, never as proof that one is dead.

A suspected instance is declared dead after `SUSPICION_TIMEOUT` if witnesses in two
failure domains suspect it, or in one if all live instances are in one. If it is
alive, it receives the rumour and refutes it by raising its own version. An earlier
incarnation is declared dead once a newer one has answered a probe.
"""

from collections.abc import Iterator
from datetime import timedelta

from burdocksail.core import Instance, seconds
from burdocksail.node import _placement
from burdocksail.node._board import (
    Blackboard,
    Member,
    MemberHealth,
    PendingRumour,
    Probe,
)
from burdocksail.node._effects import Send
from burdocksail.node._messages import Ping, Pong, Rumour
from burdocksail.node._store import ListInstances, StoreReply, StoreStatus
from burdocksail.node._store_calls import call_store

PROBE_INTERVAL = seconds(0.5)
PROBE_TIMEOUT = seconds(0.4)
SUSPICION_TIMEOUT = seconds(0.8)
FORGET_DEAD_AFTER = seconds(120)
RUMOURS_PER_MESSAGE = 8
SNAPSHOT_RUMOURS_PER_MESSAGE = 200
RETRANSMIT_MULTIPLIER = 3  # transmissions of a rumour per doubling of the fleet
MIN_LIST_INTERVAL = seconds(5)
LIST_INTERVAL_PER_INSTANCE = seconds(0.1)
# Among rumours of the same version, the highest precedence wins.
_STATE_PRECEDENCE = {"alive": 0, "suspect": 1, "leaving": 2, "dead": 3}


def start_membership(board: Blackboard) -> None:
    """Add this instance to the members and probe the seeds."""
    apply_rumour(board, Rumour(board.me, "alive", 0))
    for seed in board.settings.seeds:
        if seed.name != board.me.name:
            _send_probe(board, seed)


def probe_next_member(board: Blackboard) -> None:
    """Expire unanswered probes, declare suspects dead and probe the next member.

    Also lists the platform's instances when that is due.
    """
    _expire_probes(board)
    _declare_suspects_dead(board)
    target = _take_probe_target(board)
    if target is not None:
        _send_probe(board, target)
    if board.now >= board.membership.instance_list_due_at:
        _list_instances(board)


def announce_leaving(board: Blackboard) -> None:
    """Tell all live instances at once that this one takes no new work."""
    section = board.membership
    section.leaving = True
    section.own_version += 1
    rumour = Rumour(board.me, "leaving", section.own_version)
    apply_rumour(board, rumour)
    for member in list(section.live.values()):
        board.emit(Send(member, Ping(board.make_id(), board.me, (rumour,))))


def handle_ping(board: Blackboard, sender: Instance, message: Ping) -> None:
    """Answer a probe.

    A sender not seen before gets all members that are alive or leaving.
    """
    known = message.sender.key in board.membership.members
    _add_if_unknown(board, message.sender)
    _apply_rumours(board, message.rumours)
    if known:
        rumours = tuple(_take_rumours(board))
        board.emit(Send(message.sender, Pong(message.sequence, board.me, rumours)))
        return
    for rumours in _make_snapshot_batches(board):
        board.emit(Send(message.sender, Pong(message.sequence, board.me, rumours)))


def handle_pong(board: Blackboard, sender: Instance, message: Pong) -> None:
    """Record that a probed member is alive and mark its older incarnations dead."""
    probe = board.membership.probes.pop(message.sequence, None)
    _add_if_unknown(board, message.sender)
    if probe is not None:
        _supersede_others(board, message.sender, probe.sent_at)
    _apply_rumours(board, message.rumours)


def suspect_instance(board: Blackboard, instance: Instance) -> None:
    """Spread a suspicion, because this instance cannot reach another one."""
    member = board.membership.members.get(instance.key)
    if member is None or member.health in (MemberHealth.DEAD, MemberHealth.LEAVING):
        return
    apply_rumour(
        board,
        Rumour(
            member.instance,
            "suspect",
            member.version,
            board.me.key,
            board.me.failure_domain,
        ),
    )


def is_live(board: Blackboard, instance: Instance) -> bool:
    """Return whether new work may be sent to an instance."""
    return instance.key in board.membership.live


def probe_incarnations(board: Blackboard, name: str) -> None:
    """Probe the live incarnations of a name, to learn which ones have ended."""
    for instance in list(board.membership.live.values()):
        if instance.name == name and instance.key != board.me.key:
            _send_probe(board, instance)


def is_superseded(
    board: Blackboard, instance: Instance, min_duration: timedelta
) -> bool:
    """Return whether another incarnation has proved that this one is dead.

    Names are unique, so an answer from a newer incarnation shows that the older
    process has ended.

    Parameters
    ----------
    min_duration : timedelta
        Time that must have passed since the proof.
    """
    member = board.membership.members.get(instance.key)
    if member is None or member.superseded_at is None:
        return False
    return board.now - member.superseded_at >= min_duration


def apply_rumour(board: Blackboard, rumour: Rumour) -> None:
    """Merge a rumour into the membership and spread it if it changed anything."""
    if rumour.subject.key == board.me.key and _refute(board, rumour):
        return
    section = board.membership
    member = section.members.get(rumour.subject.key)
    if member is None:
        if rumour.state == "dead":
            return
        member = Member(rumour.subject, MemberHealth.DEAD, -1, known_since=board.now)
        section.members[rumour.subject.key] = member
    if _merge_rumour(board, member, rumour):
        _queue_rumour(board, rumour)
        _update_live(board, member)


def _refute(board: Blackboard, rumour: Rumour) -> bool:
    """Refute a rumour about this instance; return whether to ignore it.

    Outdated rumours are ignored. ``suspect`` and ``dead`` are refuted by a rumour
    of a higher version.
    """
    section = board.membership
    if rumour.version < section.own_version or rumour.state in ("alive", "leaving"):
        return rumour.version < section.own_version
    section.own_version = rumour.version + 1
    state = "leaving" if section.leaving else "alive"
    apply_rumour(board, Rumour(board.me, state, section.own_version))
    return True


def _merge_rumour(board: Blackboard, member: Member, rumour: Rumour) -> bool:
    """Apply a rumour to a member and return whether it changed anything."""
    if rumour.version < member.version or member.superseded_at is not None:
        return False
    newer = rumour.version > member.version
    if newer:
        member.witnesses.clear()
    elif _STATE_PRECEDENCE[rumour.state] < _STATE_PRECEDENCE[member.health.value]:
        return False
    if rumour.state == "suspect":
        if member.health is MemberHealth.LEAVING and not newer:
            return False
        if rumour.witness in member.witnesses:
            return False
        member.witnesses[rumour.witness] = rumour.witness_domain
    elif not newer and rumour.state == member.health.value:
        return False
    if member.health.value != rumour.state or newer:
        member.changed_at = board.now
    member.health = MemberHealth(rumour.state)
    member.version = rumour.version
    return True


def _update_live(board: Blackboard, member: Member) -> None:
    section = board.membership
    key = member.instance.key
    usable = member.health in (MemberHealth.ALIVE, MemberHealth.SUSPECT)
    if usable and key not in section.live:
        section.live[key] = member.instance
        section.live_version += 1
        _placement.update_preferred_after_join(board, member.instance)
    elif not usable and key in section.live:
        del section.live[key]
        section.live_version += 1
        _placement.update_preferred_after_leave(board, member.instance)


def _supersede_others(
    board: Blackboard, responder: Instance, probe_sent_at: timedelta
) -> None:
    """Mark earlier incarnations of the responder's name as dead.

    The responder was alive after `probe_sent_at`. Names are unique, so any other
    incarnation that was known before then has ended.
    """
    for other in list(board.membership.members.values()):
        if other.instance.name != responder.name or other.instance.key == responder.key:
            continue
        if other.known_since < probe_sent_at and other.superseded_at is None:
            apply_rumour(board, Rumour(other.instance, "dead", other.version))
            other.superseded_at = board.now


def _add_if_unknown(board: Blackboard, instance: Instance) -> None:
    member = board.membership.members.get(instance.key)
    if member is None:
        apply_rumour(board, Rumour(instance, "alive", 0))


def _apply_rumours(board: Blackboard, rumours: tuple[Rumour, ...]) -> None:
    for rumour in rumours:
        apply_rumour(board, rumour)


def _queue_rumour(board: Blackboard, rumour: Rumour) -> None:
    member_count = len(board.membership.members) + 1
    transmissions = RETRANSMIT_MULTIPLIER * member_count.bit_length()
    board.membership.rumours.appendleft(PendingRumour(rumour, transmissions))


def _take_rumours(board: Blackboard) -> Iterator[Rumour]:
    rumours = board.membership.rumours
    for _ in range(min(RUMOURS_PER_MESSAGE, len(rumours))):
        pending = rumours.popleft()
        yield pending.rumour
        pending.transmissions_left -= 1
        if pending.transmissions_left > 0:
            rumours.append(pending)


def _make_snapshot_batches(board: Blackboard) -> Iterator[tuple[Rumour, ...]]:
    rumours = [
        Rumour(member.instance, member.health.value, member.version)
        for member in board.membership.members.values()
        if member.health in (MemberHealth.ALIVE, MemberHealth.LEAVING)
    ]
    for start in range(0, max(len(rumours), 1), SNAPSHOT_RUMOURS_PER_MESSAGE):
        yield tuple(rumours[start : start + SNAPSHOT_RUMOURS_PER_MESSAGE])


def _send_probe(board: Blackboard, target: Instance) -> None:
    sequence = board.make_id()
    board.membership.probes[sequence] = Probe(target, board.now)
    rumours = tuple(_take_rumours(board))
    board.emit(Send(target, Ping(sequence, board.me, rumours)))


def _take_probe_target(board: Blackboard) -> Instance | None:
    section = board.membership
    while section.probe_order:
        target = section.live.get(section.probe_order.pop())
        if target is not None and target.key != board.me.key:
            return target
    section.probe_order = [key for key in section.live if key != board.me.key]
    board.random.shuffle(section.probe_order)
    if section.probe_order:
        return section.live.get(section.probe_order.pop())
    return None


def _expire_probes(board: Blackboard) -> None:
    probes = board.membership.probes
    expired = [
        sequence
        for sequence, probe in probes.items()
        if board.now - probe.sent_at >= PROBE_TIMEOUT
    ]
    for sequence in expired:
        probe = probes.pop(sequence)
        suspect_instance(board, probe.target)


def _declare_suspects_dead(board: Blackboard) -> None:
    """Declare suspects dead after `SUSPICION_TIMEOUT` if enough witnesses suspect them.

    Also probes the suspects that this instance itself does not suspect, and forgets
    members that have been dead for `FORGET_DEAD_AFTER`.
    """
    live = board.membership.live
    domains = {instance.failure_domain for instance in live.values()}
    required_domains = min(2, len(domains))
    for key in list(live):
        member = board.membership.members[key]
        if member.health is not MemberHealth.SUSPECT:
            continue
        if not member.witnesses.get(board.me.key):
            # An instance probes the suspect itself before it becomes a witness.
            _send_probe(board, member.instance)
        enough_witnesses = len(set(member.witnesses.values())) >= required_domains
        if enough_witnesses and board.now - member.changed_at >= SUSPICION_TIMEOUT:
            apply_rumour(board, Rumour(member.instance, "dead", member.version))
            board.metrics.count("instances_held_for_dead")
    for key, member in list(board.membership.members.items()):
        is_dead = member.health is MemberHealth.DEAD
        if is_dead and board.now - member.changed_at >= FORGET_DEAD_AFTER:
            del board.membership.members[key]


def _list_instances(board: Blackboard) -> None:
    section = board.membership
    scaled_interval = LIST_INTERVAL_PER_INSTANCE * len(section.live)
    interval = max(MIN_LIST_INTERVAL, scaled_interval)
    section.instance_list_due_at = board.now + interval * (
        0.75 + board.random.random() / 2
    )
    call_store(board, ListInstances(), _handle_instance_list)


def _handle_instance_list(board: Blackboard, reply: StoreReply) -> None:
    if reply.status is not StoreStatus.OK:
        return
    for listed in reply.instances:
        instance = Instance(
            listed.name,
            listed.incarnation,
            listed.failure_domain,
            listed.host,
            listed.port,
        )
        if instance.key not in board.membership.members and not listed.leaving:
            # The list lags behind, so an unknown instance is probed instead of
            # being added as alive.
            _send_probe(board, instance)
