"""Decides when this instance claims the leadership, and claims it.

A claim is a conditional write of the authority record in the store.
"""

import asyncio
import contextlib
import random
import zlib
from collections.abc import Callable

from burdocksail.authority._leadership import Leadership
from burdocksail.authority._limits import (
    LEADER_TIMEOUT,
    PROMOTION_START_LIMIT,
    TAKEOVER_TIMEOUT,
)
from burdocksail.authority._record import (
    AuthorityRecord,
    GroupRecord,
    RecordError,
    decode_record,
    encode_record,
    number_change,
    restore_record,
)
from burdocksail.board import Blackboard
from burdocksail.catalog import UpstreamRole
from burdocksail.core import get_logger
from burdocksail.fleet import (
    AUTHORITY_NAME,
    CHALLENGE_PREFIX,
    LeaderQuery,
    LeaderReport,
    Peers,
    make_authority_name,
)
from burdocksail.ports import (
    FIRST_TIMELINE,
    Listing,
    ObjectKind,
    ObjectStore,
    StoreConflict,
    StoredObject,
    StoreUnavailable,
)

FIRST_EPOCH = 1
POLL_INTERVAL = 0.1  # seconds
REPORT_WAIT = 0.2  # seconds; several round trips between regions
# Seconds; random jitter of up to the same length is added.
RETRY_DELAYS = (0.3, 0.6, 1.2, 2.4)
# Seconds between instances that would otherwise claim at the same time.
RANK_DELAY = 0.15
# Seconds of the leader's silence, with no answer from peers, until asking via the
# store.
ISOLATION_TIMEOUT = 2.5
CHALLENGE_WAIT = 1.5  # seconds for an answer via the store
CHALLENGE_INTERVAL = 4.0  # seconds between challenges

# After a restoration of the store, seconds by which instances without a lease claim
# later than those with one: groups stay open only under the latter.
UNLEASED_CLAIM_DELAY = 1.5

ClaimCallback = Callable[[StoredObject, float], None]


class Claimant:
    """Claims the leadership if there is no leader, or if the leader is silent.

    Parameters
    ----------
    on_claimed : callable
        Called with the stored record and the clock reading before the claim, from
        which the leader lease runs.
    get_leadership : callable
        Returns the leadership of this instance, None if it does not lead.
    """

    def __init__(
        self,
        board: Blackboard,
        store: ObjectStore,
        peers: Peers,
        on_claimed: ClaimCallback,
        get_leadership: Callable[[], Leadership | None],
    ):
        self._board = board
        self._store = store
        self._peers = peers
        self._on_claimed = on_claimed
        self._get_leadership = get_leadership
        self._reports: dict[str, bool] = {}
        self._takeover_until = float("-inf")
        self._store_failures = 0
        self._record_seen = False
        self._started_at = board.now()
        self._challenged_at = float("-inf")
        self._random = random.Random(board.member.incarnation)
        self._log = get_logger()

    def handle_report(self, report: LeaderReport) -> None:
        """Keep a peer's report on whether it hears from the leader."""
        self._reports[report.member.name] = report.hears_leader

    def request_claim(self) -> None:
        """Claim the leadership because the leader asks for it."""
        self._takeover_until = self._board.now() + TAKEOVER_TIMEOUT

    async def run(self) -> None:
        """Claim the leadership whenever that is needed; does not return."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            leadership = self._get_leadership()
            if leadership is not None or self._board.stop.requested:
                self._takeover_until = float("-inf")
                if leadership is not None and self._may_carry_over(leadership):
                    await self._claim()
                continue
            if not self._board.directory.is_listed:
                continue
            if await self._is_claim_needed():
                await self._claim()

    def _may_carry_over(self, leadership: Leadership) -> bool:
        """Return whether this leader may claim the timeline of a restored store.

        A leader whose claim is lost may have ordered a promotion until
        `PROMOTION_START_LIMIT` after the store's last answer of the timeline before.
        One that still holds its lease after that knows that there was none.
        """
        return (
            leadership.is_overtaken
            and not leadership.awaits_takeover
            and leadership.holds_leader_lease
            and self._board.store.timeline == self._store.timeline
            and self._find_claim_wait() <= 0.0
        )

    def _find_claim_wait(self) -> float:
        """Return the seconds until the first record of a timeline may be written."""
        board = self._board
        wait = PROMOTION_START_LIMIT
        if not board.authority.has_valid_lease(board.now()):
            wait += UNLEASED_CLAIM_DELAY
        return board.store.timeline_since + wait - board.now()

    async def _is_claim_needed(self) -> bool:
        if self._board.now() < self._takeover_until:
            return True
        authority = self._board.authority
        if authority.leader is None:
            return await self._is_first_claim_due()
        if authority.leader.address == self._board.member.address:
            # An earlier incarnation of this instance led, or this one did until its
            # leadership ended.
            return True
        silence = self._leader_silence()
        if silence < LEADER_TIMEOUT + self._rank() * RANK_DELAY:
            return False
        return await self._do_peers_confirm_silence(silence)

    async def _is_first_claim_due(self) -> bool:
        if self._record_seen or not self._board.store.is_available:
            return False
        await asyncio.sleep(self._rank() * RANK_DELAY)
        return self._board.authority.leader is None

    def _leader_silence(self) -> float:
        last = self._board.authority.last_grant_at
        return self._board.now() - (self._started_at if last is None else last)

    def _rank(self) -> int:
        """Return this instance's place in the order in which instances claim.

        The order differs between epochs and mixes the failure domains, so that
        the loss of one domain does not remove all instances that would claim first.
        """
        epoch = self._board.authority.epoch
        names = {m.name for m in self._board.members.registered.values()}
        ranking = sorted(names, key=lambda name: zlib.crc32(f"{epoch}/{name}".encode()))
        own = self._board.member.name
        return ranking.index(own) if own in names else len(names)

    async def _do_peers_confirm_silence(self, silence: float) -> bool:
        """Return whether no peer that answers hears from the leader either.

        If none answers, ask via the store once the silence has lasted for
        `ISOLATION_TIMEOUT`. True without asking if no peer but the leader is known.
        False if another leader is found meanwhile, as its silence has only begun.
        """
        board = self._board
        epoch = board.authority.epoch
        self._reports.clear()
        query = LeaderQuery(board.member, board.authority.epoch)
        leader = board.authority.leader
        others = board.members.sample_addresses(board.member.address, self._random)
        if leader is not None and leader.address in others:
            others.remove(leader.address)
        for address in others:
            self._peers.send(address, query)
        await asyncio.sleep(REPORT_WAIT)
        if self._leader_silence() < silence or board.authority.epoch != epoch:
            return False
        if self._reports:
            return not any(self._reports.values())
        if not others:
            return True
        if silence <= ISOLATION_TIMEOUT or not await self._is_challenge_unanswered():
            return False
        return board.authority.epoch == epoch

    async def answer_challenge(self, stored: StoredObject) -> None:
        """Answer a challenge by deleting it, which says that there is a leader."""
        try:
            await self._store.delete(ObjectKind.FLEET, stored.name, stored.revision)
        except (StoreUnavailable, StoreConflict) as error:
            self._log.info("challenge not answered", reason=str(error))

    async def _is_challenge_unanswered(self) -> bool:
        """Ask via the store whether any instance hears from a leader.

        An instance that reaches only the store cannot tell whether it is
        partitioned or the last one running. It stores a challenge, which an
        instance that hears from a leader deletes.
        """
        now = self._board.now()
        if now - self._challenged_at < CHALLENGE_INTERVAL:
            return False
        self._challenged_at = now
        name = f"{CHALLENGE_PREFIX}{self._board.member.name}"
        spec = {"asked_by": self._board.member.incarnation}
        try:
            with contextlib.suppress(StoreConflict):
                await self._store.create(ObjectKind.FLEET, name, spec)
            await asyncio.sleep(CHALLENGE_WAIT)
            stored = await self._store.read(ObjectKind.FLEET, name)
            if stored is None:
                self._log.info("challenge answered: there is a leader")
                return False
            await self._store.delete(ObjectKind.FLEET, name, stored.revision)
        except (StoreUnavailable, StoreConflict) as error:
            self._log.info("challenge failed", reason=str(error))
            return False
        return True

    async def _claim(self) -> None:
        board = self._board
        asked_at = board.now()
        takeover_until, self._takeover_until = self._takeover_until, float("-inf")
        known_epoch = board.authority.epoch
        timeline = board.store.timeline
        name = make_authority_name(timeline)
        try:
            stored = await self._store.read(ObjectKind.FLEET, name)
            current = None
            if stored is not None:
                self._require_timeline(stored, timeline)
                current = decode_record(stored.spec)
            if current is None or current.is_of_earlier_timeline(timeline):
                record = await self._prepare_first_record(timeline, current)
                if record is None:
                    self._takeover_until = takeover_until
                    return
                claimed = await self._write_first_record(name, record, stored)
                self._require_timeline(claimed, timeline)
            else:
                self._record_seen = True
                if self._is_own_unused_claim(current):
                    self._on_claimed(stored, asked_at)
                    return
                if current.epoch > known_epoch and not self._names_this_address(
                    current
                ):
                    self._follow(current)
                    return
                record = current.claimed_by(board.member)
                claimed = await self._store.replace(
                    ObjectKind.FLEET, name, encode_record(record), stored.revision
                )
                self._require_timeline(claimed, timeline)
        except StoreConflict:
            self._log.info("claim lost to another instance")
            return
        except RecordError as error:
            self._log.error("record unreadable", reason=str(error))
            return
        except StoreUnavailable as error:
            self._log.warning("claim not confirmed", reason=str(error))
            delay = RETRY_DELAYS[min(self._store_failures, len(RETRY_DELAYS) - 1)]
            self._store_failures += 1
            await asyncio.sleep(delay * (1 + self._random.random()))
            return
        self._store_failures = 0
        self._log.info(
            "leadership claimed",
            epoch=record.epoch,
            asked_over=asked_at < takeover_until,
        )
        self._on_claimed(claimed, asked_at)

    def _is_own_unused_claim(self, record: AuthorityRecord) -> bool:
        """Return whether this instance claimed the epoch but has not led in it yet.

        An epoch is begun only once, as the generations of its views start at one.
        """
        current_epoch = self._board.authority.epoch
        return record.leader == self._board.member and record.epoch > current_epoch

    def _names_this_address(self, record: AuthorityRecord) -> bool:
        """Return whether the recorded leader is this instance.

        It may be an earlier incarnation of it.
        """
        return record.leader.address == self._board.member.address

    def _follow(self, record: AuthorityRecord) -> None:
        authority = self._board.authority
        # The silence of the leader just found counts from now.
        authority.last_grant_at = self._board.now()
        if record.epoch <= authority.epoch:
            return  # The leader's messages arrived before the store's reply.
        self._log.info("leader found", epoch=record.epoch, leader=record.leader.name)
        authority.epoch = record.epoch
        authority.leader = record.leader
        authority.generation = 0
        authority.lease_expires_at = float("-inf")

    def _require_timeline(self, stored: StoredObject, timeline: int) -> None:
        """Raise `StoreUnavailable` unless an answer is of the timeline of the claim."""
        if stored.timeline != timeline or self._board.store.timeline != timeline:
            raise StoreUnavailable("the store was restored", outcome_unknown=True)

    async def _write_first_record(
        self, name: str, record: AuthorityRecord, earlier: StoredObject | None
    ) -> StoredObject:
        """Write the first record of a timeline, over one of the copy if there is."""
        spec = encode_record(record)
        if earlier is None:
            return await self._store.create(ObjectKind.FLEET, name, spec)
        return await self._store.replace(ObjectKind.FLEET, name, spec, earlier.revision)

    async def _prepare_first_record(
        self, timeline: int, earlier: AuthorityRecord | None
    ) -> AuthorityRecord | None:
        """Return the first record of a timeline; None if it is not due yet.

        After a restoration of the store it is due once no order of a leader of an
        earlier timeline can be sent any more.

        Parameters
        ----------
        earlier : AuthorityRecord or None
            Record of an earlier timeline under the name of that of this one.
        """
        board = self._board
        listing = await self._store.list(ObjectKind.FLEET)
        if listing.version.timeline != timeline or board.store.timeline != timeline:
            return None
        earlier = earlier or find_earlier_record(listing)
        authority = board.authority
        is_restored = board.store.is_restored
        if not is_restored and earlier is None and authority.epoch == 0:
            return self._make_first_record(timeline)
        if self._find_claim_wait() > 0.0:
            return None
        self._log.info(
            "record of an earlier timeline taken over",
            timeline=timeline,
            recorded_epoch=None if earlier is None else earlier.epoch,
            known_epoch=authority.epoch,
            lease=authority.has_valid_lease(board.now()),
        )
        return restore_record(
            timeline,
            board.member,
            authority.epoch,
            earlier,
            authority.groups,
            authority.has_valid_lease(board.now()),
            board.store.first_timeline,
        )

    def _make_first_record(self, timeline: int) -> AuthorityRecord:
        member = self._board.member
        groups = {}
        change = number_change(FIRST_EPOCH, 0)
        catalog = self._board.catalog.catalog
        for upstream in self._board.directory.upstreams.values():
            is_named = catalog is None or upstream.service in catalog.services
            if is_named and upstream.role is UpstreamRole.PRIMARY:
                groups[upstream.service] = GroupRecord(
                    upstream.id, change, changing=False
                )
        return AuthorityRecord(
            FIRST_EPOCH,
            member,
            (member,),
            (),
            groups,
            timeline=timeline,
            first_timeline=self._board.store.first_timeline,
        )


def find_earlier_record(listing: Listing) -> AuthorityRecord | None:
    """Return the record of the latest timeline before that of a listing.

    None if the store has none, or none that can be read.
    """
    by_name = {stored.name: stored for stored in listing.items}
    timelines = [
        int(suffix)
        for name in by_name
        for prefix, _, suffix in [name.partition(f"{AUTHORITY_NAME}.")]
        if not prefix and suffix.isascii() and suffix.isdigit()
    ]
    for timeline in sorted([FIRST_TIMELINE, *timelines], reverse=True):
        stored = by_name.get(make_authority_name(timeline))
        if stored is not None and timeline < listing.version.timeline:
            with contextlib.suppress(RecordError):
                return decode_record(stored.spec)
    return None
