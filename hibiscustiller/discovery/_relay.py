"""The distribution of the store's changes from a few routers to all others.

Each call to the store is charged and rate-limited, so only some routers, the followers,
watch it. Each other router uses one follower as its source: it polls the source several
times a second for changes that it lacks, and the source pushes new changes at once. A
router whose sources fail watches the store itself, if it can reach the store. The state
of each router has a revision, and changes are applied only if they start at that
revision, so that none is lost and none is undone.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

import curio

from hibiscustiller.discovery._change_codec import (
    MAX_MESSAGE_BYTES,
    decode_change,
    encode_change,
    get_revision,
    split_changes,
)
from hibiscustiller.discovery._change_log import ChangeBatch, ChangeLog
from hibiscustiller.discovery._change_transfer import (
    ChangeFetcher,
    ChangeSender,
    RequestChanges,
)
from hibiscustiller.discovery._currency import StateCurrency
from hibiscustiller.discovery._freshness import (
    POLL_JITTER,
    FreshnessLimits,
    ReportedEvidence,
    compute_limits,
)
from hibiscustiller.discovery._outages import StoreAnswer, StoreOutage
from hibiscustiller.discovery._reach import StoreReach
from hibiscustiller.discovery._snapshots import encode_age
from hibiscustiller.discovery._view import FleetView, Peer
from hibiscustiller.discovery._watcher import (
    FleetWatcher,
    StateSnapshot,
)
from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.fleet import FleetDocument
from hibiscustiller.platform import Revision
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    BackedOff,
    Clock,
    DomainId,
    RouterId,
    log_event,
    rank_by_rendezvous,
)
from hibiscustiller.wire import DatagramSocket
from hibiscustiller.wire._messages_generated import (
    FollowRequest,
    StoreChange,
    StoreChanges,
    decode_message,
)

# Two followers may fail, or be refused by the store, at the same time.
_MIN_FOLLOWERS = 3
# A follower is added for each group of this size, whose routers each poll it at most a
# few times a second.
_ROUTERS_PER_FOLLOWER = 64
# A lost change is requested again after this period. It grows with the fleet to limit
# the datagrams that a follower handles, and stays well below the time in which a new
# configuration must be in force.
_POLL_PERIOD = timedelta(milliseconds=300)
_POLL_PERIOD_PER_ROUTER = timedelta(milliseconds=1.5)
_MAX_POLL_PERIOD = timedelta(milliseconds=700)
# A single lost datagram must not count as a failure of the source.
_MAX_UNANSWERED_REQUESTS = 2
# A source that stopped answering is not used for this time.
_SILENT_SOURCE_BACKOFF = timedelta(seconds=4)
# A source that lost the store is avoided only briefly, because it opens its watch
# again.
_DISCONNECTED_SOURCE_BACKOFF = timedelta(milliseconds=500)
# A router that watches the store because its sources failed does so for at least this
# time.
_MIN_FALLBACK_DURATION = timedelta(seconds=3)
# Share of the time in which a change must be in force for its transfer from other
# routers; after it the store is read.
_TRANSFER_SHARE = 1 / 4
# Bounds the polls that each follower receives while servers are missing.
_MAX_ASKED_FOLLOWERS = 3
# Shortest delay between two checks of the age of the evidence.
_MIN_STEP = timedelta(milliseconds=50)
# A router whose last request is older than this number of poll periods has stopped or
# uses another source.
_SUBSCRIPTION_PERIODS = 3


@dataclass
class _Subscriber:
    """A router to which new changes are pushed.

    :param address: where it receives datagrams.
    :param revision: the revision that it is presumed to have.
    :param last_request_at: when it last polled, on the monotonic clock.
    """

    address: Address
    revision: Revision
    last_request_at: timedelta


def choose_followers(routers: set[RouterId]) -> list[RouterId]:
    """Select the routers that watch the store on behalf of all others."""
    count = _MIN_FOLLOWERS + len(routers) // _ROUTERS_PER_FOLLOWER
    return rank_by_rendezvous("store", routers)[:count]


class StoreRelay:
    """Exchanges the store's changes with the other routers.

    :param router_id: this router.
    :param domain: its failure domain; a source in the same domain is preferred.
    :param view: provides the other routers.
    :param watcher: watches the store, or applies the changes from a source.
    :param log: changes that the watcher has applied.
    :param datagrams: socket for the messages between routers.
    :param clock: clock used for delays and deadlines.
    :param random_state: random numbers for jitter and for the choice of a source.
    :param reach: records whether this router reaches the store.
    :param fetch_snapshot: fetches a router's snapshot; None if that fails.
    :param request_changes: asks a router for changes that are too large for datagrams.
    :param change_limit: time in which a change of the store must be in force.
    """

    def __init__(
        self,
        router_id: RouterId,
        domain: DomainId,
        view: FleetView,
        watcher: FleetWatcher,
        log: ChangeLog,
        datagrams: DatagramSocket,
        clock: Clock,
        random_state: random.Random,
        reach: StoreReach,
        fetch_snapshot: Callable[[Address], Awaitable[StateSnapshot | None]],
        request_changes: RequestChanges,
        change_limit: timedelta,
    ) -> None:
        self._fetcher = ChangeFetcher(
            request_changes, self._find_peer, clock, random_state
        )
        self._is_fetching_changes = False
        # Answers routers that request large changes.
        self.sender = ChangeSender(
            self._encode_all_changes, lambda: watcher.revision, view.are_close, clock
        )
        # Revisions after which the changes up to the present one exceed a datagram.
        self._oversized_after: set[Revision] = set()
        self._oversized_to: Revision | None = None
        self._change_limit = change_limit
        self._reach = reach
        self._fetch_snapshot = fetch_snapshot
        self._is_fetching = False
        # Era and configuration version of the last snapshot that was merged. The same
        # ones need not be fetched again, even if this router cannot use them.
        self._merged_knowledge: tuple[int, int] | None = None
        self._router_id = router_id
        self._domain = domain
        self._view = view
        self._watcher = watcher
        self._log = log
        self._datagrams = datagrams
        self._clock = clock
        self._random_state = random_state
        self._followers: list[RouterId] = []
        self._followers_generation = -1
        self._subscribers_by_id: dict[RouterId, _Subscriber] = {}
        self._source: RouterId | None = None
        self._unanswered_requests = 0
        self._is_unconfirmed = False
        self._state_initialised = curio.Event()
        # Until then a router that reaches the store again leaves it to the followers.
        self._leave_to_followers_until = timedelta(0)
        # When all followers were last asked because the evidence was old.
        self._asked_all_at: timedelta | None = None
        self._backed_off: BackedOff[RouterId] = BackedOff(clock)
        self._fallback_until = timedelta(0)
        datagrams.register(FollowRequest, self._handle_request)
        datagrams.register(StoreChanges, self._handle_changes)
        watcher.subscribe(self._push_changes)

    @property
    def source(self) -> RouterId | None:
        """The router from which this one receives changes; None without a source."""
        return None if self._watcher.follows_store else self._source

    @property
    def is_follower(self) -> bool:
        """Whether this router is selected to watch the store for the others."""
        return self._router_id in self._get_followers()

    async def run(self) -> None:
        """Poll a source, or watch the store, until cancelled."""
        await self._state_initialised.wait()
        while True:
            await self._maintain_source()
            self._log_evidence()
            if self._is_confirmed():
                # While the store is away, servers cannot register again.
                self._view.drop_missing()
            await self._clock.sleep(self._compute_step())

    def _compute_step(self) -> timedelta:
        """Return the time until the next poll, or until the evidence is too old."""
        limits = self.get_limits()
        # Jitter keeps routers that start together from polling together.
        share = self._random_state.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
        step, age = limits.poll_period * share, self._get_age()
        for limit in (limits.check_age, limits.max_age):
            if age is not None and age < limit:
                step = min(step, limit - age)
        return max(_MIN_STEP, step)

    def get_limits(self) -> FreshnessLimits:
        """Return how old this router's knowledge of the store may be."""
        routers = len(self._view.peers_by_id)
        period = _POLL_PERIOD + _POLL_PERIOD_PER_ROUTER * routers
        return compute_limits(self._change_limit, min(_MAX_POLL_PERIOD, period))

    def get_currency(self) -> StateCurrency:
        """Return how current the state is by which this router judges requests."""
        return StateCurrency(
            _get_version(self._view.document),
            self._view.named_version,
            self._get_age(),
            self.get_limits().max_age,
        )

    def get_watch_period(self) -> timedelta | None:
        """Return the renewal period of the lease that confirms this router's watch.

        :returns: None if it does not watch the store.
        """
        return self.get_limits().renewal_period if self._watcher.follows_store else None

    def _get_age(self) -> timedelta | None:
        """Return the age of the evidence that this router's state is current."""
        return self._watcher.evidence.get_age(self._clock.boot_time())

    def _is_older_than(self, limit: timedelta) -> bool:
        age = self._get_age()
        return age is None or age > limit

    def _log_evidence(self) -> None:
        """Log when this router's state is no longer known to be current, and again.

        Without it the log does not tell a store in which nothing changes from one that
        does not answer.
        """
        is_unconfirmed = not self._is_confirmed()
        if is_unconfirmed == self._is_unconfirmed:
            return
        self._is_unconfirmed = is_unconfirmed
        log_event(
            "state_unconfirmed" if is_unconfirmed else "state_confirmed",
            level="warning" if is_unconfirmed else "info",
            age=self._get_age(),
            revision=self._watcher.revision,
            source=self._source,
            is_direct=self._watcher.follows_store,
            is_store_reachable=self._reach.is_reachable,
        )

    def _is_confirmed(self) -> bool:
        """Tell whether this router's state is known to be current."""
        return not self._is_older_than(self.get_limits().max_age)

    def _get_followers(self) -> list[RouterId]:
        generation = self._view.routers_generation
        if generation != self._followers_generation:
            self._followers_generation = generation
            self._followers = choose_followers(
                {*self._view.peers_by_id, self._router_id}
            )
        return self._followers

    async def _maintain_source(self) -> None:
        followers = self._get_followers()
        if self.is_follower:
            # A follower polls another follower in each period, and so receives changes
            # even if its own watch has silently stopped delivering them.
            await self._watcher.set_follows_store(True)
            self._source = self._choose_source(followers, prefers_own_domain=False)
        else:
            if self._unanswered_requests >= _MAX_UNANSWERED_REQUESTS:
                self._back_off_source("no answer", _SILENT_SOURCE_BACKOFF)
            if self._source not in followers or self._source in self._backed_off:
                self._source = self._choose_source(followers)
                self._unanswered_requests = 0
        await self._check_evidence()
        if self._view.has_missing_servers:
            # The report of an outage, which keeps them, may be disproved by any
            # follower that the store answered meanwhile.
            await self._ask_followers(_MAX_ASKED_FOLLOWERS)
        await self._poll_source()

    async def _check_evidence(self) -> None:
        """Renew old evidence, and watch the store if only this router reaches it.

        While the store is unavailable to all, each router that tried to watch it would
        make several calls, and would read all keys after the outage.
        """
        now, limits, age = self._clock.monotonic(), self.get_limits(), self._get_age()
        if not self._reach.is_reachable:
            self._leave_to_followers_until = now + limits.return_time
            return
        overdue = limits.max_age if age is None else age - limits.check_age
        if overdue <= timedelta(0):
            return
        is_watching = self._watcher.follows_store
        if not is_watching:
            await self._ask_all_followers(now - overdue)
        if not self._reach.was_reached_since(now - overdue):
            # A renewal that succeeds also confirms a watch that is waiting.
            await self._reach.request_check()
        elif self._is_older_than(limits.max_age) and not is_watching:
            if now >= self._leave_to_followers_until:
                await self._start_fallback()

    async def _ask_all_followers(self, check_at: timedelta) -> None:
        """Poll each follower once, because one of them may still reach the store.

        :param check_at: when the evidence became old.
        """
        if self._asked_all_at is not None and self._asked_all_at >= check_at:
            return
        self._asked_all_at = self._clock.monotonic()
        await self._ask_followers()

    async def _ask_followers(self, count: int | None = None) -> None:
        """Poll followers other than the source.

        :param count: how many at most, chosen at random; None for all.
        """
        others = [
            router_id
            for router_id in self._get_followers()
            if router_id not in (self._router_id, self._source)
        ]
        if count is not None and count < len(others):
            others = self._random_state.sample(others, count)
        for router_id in others:
            await self._poll(self._find_peer(router_id))

    async def _poll_source(self) -> None:
        peer = self._find_peer(self._source)
        if peer is None:
            self._source = None
            return
        self._unanswered_requests += 1
        await self._poll(peer)

    async def _poll(self, peer: Peer | None) -> None:
        if peer is None:
            return
        revision = self._watcher.revision
        sent_ms = encode_age(self._clock.boot_time())
        request = FollowRequest(revision.number, revision.era, sent_ms)
        await self._datagrams.send(peer.address, self._datagrams.encode(request))

    def _find_peer(self, router_id: RouterId | None) -> Peer | None:
        return None if router_id is None else self._view.peers_by_id.get(router_id)

    def _choose_source(
        self, followers: list[RouterId], *, prefers_own_domain: bool = True
    ) -> RouterId | None:
        """Choose a follower, preferably one that has not failed; None if there is none.

        :param prefers_own_domain: whether to prefer followers in this router's domain.
        """
        others = [
            peer
            for router_id in followers
            if router_id != self._router_id
            and (peer := self._view.peers_by_id.get(router_id)) is not None
        ]
        # If all have failed recently, any of them may be the first to recover.
        usable = [p for p in others if p.router_id not in self._backed_off] or others
        if not usable:
            return None
        in_own_domain = [
            peer
            for peer in usable
            if peer.domain == self._domain and prefers_own_domain
        ]
        return self._random_state.choice(in_own_domain or usable).router_id

    def _back_off_source(self, reason: str, backoff: timedelta) -> None:
        if self._source is None:
            return
        log_event(
            "source_failed",
            level="warning",
            source=self._source,
            reason=reason,
            revision=self._watcher.revision,
        )
        self._backed_off.add(self._source, backoff)
        self._source = None
        self._unanswered_requests = 0

    async def _start_fallback(self) -> None:
        if not self._watcher.follows_store:
            log_event(
                "following_store",
                reason="no source has recent evidence",
                state_age=self._get_age(),
                revision=self._watcher.revision,
            )
        self._fallback_until = self._clock.monotonic() + _MIN_FALLBACK_DURATION
        await self._watcher.set_follows_store(True)

    async def _handle_request(
        self, router_id: RouterId, address: Address, request: FollowRequest
    ) -> None:
        if not self._watcher.has_initial_state:
            return
        revision = Revision(request.era, request.revision)
        subscriber = _Subscriber(address, revision, self._clock.monotonic())
        if self._watcher.is_watch_current:
            self._subscribers_by_id[router_id] = subscriber
        subscriber.revision = max(revision, self._watcher.revision)
        for data in self._encode_changes(revision, request.sent_ms):
            await self._datagrams.send(address, data)

    async def _push_changes(self) -> None:
        """Push new changes to the routers that polled recently."""
        await self._state_initialised.set()
        now = self._clock.monotonic()
        subscription_time = self.get_limits().poll_period * _SUBSCRIPTION_PERIODS
        # Most subscribers have the same revision, so they share encoded messages.
        messages_by_revision: dict[Revision, list[bytes]] = {}
        for router_id, subscriber in list(self._subscribers_by_id.items()):
            if now - subscriber.last_request_at > subscription_time:
                del self._subscribers_by_id[router_id]
                continue
            after, subscriber.revision = subscriber.revision, self._watcher.revision
            if after >= subscriber.revision:
                continue
            if after not in messages_by_revision:
                messages_by_revision[after] = self._encode_changes(after)
            for data in messages_by_revision[after]:
                await self._datagrams.send(subscriber.address, data)

    def _encode_changes(self, after: Revision, request_sent_ms: int = 0) -> list[bytes]:
        """Encode the changes after a revision as consecutive messages.

        :param request_sent_ms: when the request for them was sent, by the clock of the
            other router; 0 without a request.
        """
        to = self._watcher.revision
        if to != self._oversized_to:
            self._oversized_to = to
            self._oversized_after.clear()
        batch = None
        if after not in self._oversized_after:
            batch = self._log.collect(after, to)
        if batch is None:
            return [self._encode_message(after, to, None, request_sent_ms)]
        messages = []
        for changes in split_changes(
            [
                encode_change(change, after, self._watcher.find_version)
                for change in batch.items
            ]
        ):
            # Only the newest change of each key is sent. A key that is missing here
            # because it changed again is part of a later message.
            is_last = (
                not changes or get_revision(changes[-1]) >= batch.items[-1].revision
            )
            until = to if is_last else get_revision(changes[-1])
            messages.append(
                self._encode_message(after, until, changes, request_sent_ms)
            )
            after = until
        if any(len(data) > MAX_MESSAGE_BYTES for data in messages):
            # All routers that are behind ask until they have the changes.
            self._oversized_after.add(batch.after_revision)
            return [
                self._encode_message(batch.after_revision, to, None, request_sent_ms)
            ]
        return messages

    def _encode_all_changes(self, after: Revision) -> bytes | None:
        """Encode the changes after a revision in one message of any size.

        :returns: None if some of them are not known any more.
        """
        to = self._watcher.revision
        batch = self._log.collect(after, to)
        if batch is None:
            return None
        changes = [
            encode_change(change, after, self._watcher.find_version)
            for change in batch.items
        ]
        return self._encode_message(after, to, changes, 0)

    def _encode_message(
        self,
        after: Revision,
        to: Revision,
        changes: Sequence[StoreChange] | None,
        request_sent_ms: int,
    ) -> bytes:
        """Encode a message; None as `changes` states that they are unavailable."""
        document = self._view.document
        outage = self._view.outages.find_last_reported()
        began_at, ended_at = (
            (None, None) if outage is None else (outage.began_at, outage.ended_at)
        )
        answer = self._view.outages.get_last_answer()
        reached_since, answered_at = (
            (None, None) if answer is None else (answer.reached_since, answer.at)
        )
        message = StoreChanges(
            after_revision=after.number,
            to_revision=to.number,
            following=self._watcher.is_watch_current
            and not self._is_older_than(self.get_limits().check_age),
            incomplete=changes is None,
            store_returned_ms=self._encode_age_of(ended_at),
            changes=tuple(changes or ()),
            after_era=after.era,
            to_era=to.era,
            era_age_ms=encode_age(self._watcher.era_age),
            document_version=_get_version(document),
            outage_began_ms=self._encode_age_of(began_at),
            reached_since_ms=self._encode_age_of(reached_since),
            answered_ms=self._encode_age_of(answered_at),
            request_sent_ms=request_sent_ms,
            current_ms=encode_age(
                self._watcher.evidence.get_age(self._clock.boot_time())
            ),
            current_revision=self._watcher.revision.number,
            current_era=self._watcher.revision.era,
        )
        return self._datagrams.encode(message)

    async def _handle_changes(
        self, router_id: RouterId, address: Address, message: StoreChanges
    ) -> None:
        after = Revision(message.after_era, message.after_revision)
        to = Revision(message.to_era, message.to_revision)
        if router_id == self._source:
            self._unanswered_requests = 0
        self._view.record_named_version(message.document_version)
        report = self._read_evidence(message, to)
        is_fresh = report is not None and self._is_recent(report.at)
        if not (message.following or is_fresh):
            if router_id == self._source and not self._watcher.follows_store:
                self._back_off_source(
                    "the source does not follow the store", _DISCONNECTED_SOURCE_BACKOFF
                )
            return
        if to.era < max(self._watcher.revision.era, self._watcher.store_era):
            # The sender has not learnt yet that the store was restored.
            return
        self._record_outages(router_id, message)
        if after == self._watcher.revision < to:
            await self._apply_message(router_id, message, after, to)
        if report is not None:
            self._watcher.record_report(report)
        await self._learn_what_the_store_lacks(router_id, message, to)
        if is_fresh:
            await self._stop_following_if_possible(to)

    def _is_recent(self, moment: timedelta) -> bool:
        limit = self.get_limits().check_age
        return self._clock.boot_time() - moment <= limit

    def _read_evidence(
        self, message: StoreChanges, to: Revision
    ) -> ReportedEvidence | None:
        """Return what another router knows of its state; None if it does not tell.

        Daemons of earlier versions tell only when the store last answered them.
        """
        now, age_ms = self._clock.boot_time(), message.current_ms
        if not message.current_revision:
            age = timedelta(milliseconds=message.answered_ms)
            return ReportedEvidence(to, now - age) if message.following else None
        if not age_ms or not message.request_sent_ms:
            # Pushed changes may have been under way for any time.
            return None
        # An answer that was delayed is as old as the request for it.
        sent_at = min(now, timedelta(milliseconds=message.request_sent_ms))
        revision = Revision(message.current_era, message.current_revision)
        return ReportedEvidence(revision, sent_at - timedelta(milliseconds=age_ms))

    def _record_outages(self, router_id: RouterId, message: StoreChanges) -> None:
        """Record when another router reached the store, and which outage it knows.

        Daemons of earlier versions do not tell when an outage began. They take each
        start of theirs for its end, so that they are not believed.
        """
        outages = self._view.outages
        reported = None
        if message.outage_began_ms:
            began_at = self._decode_age(message.outage_began_ms)
            ended_at = self._decode_age(message.store_returned_ms)
            reported = StoreOutage(began_at, ended_at)
        if message.answered_ms:
            reached_since = self._decode_age(message.reached_since_ms)
            answered_at = self._decode_age(message.answered_ms)
            answer = StoreAnswer(reached_since, answered_at)
            outages.record_answer_to_other(answer, router_id)
            since = None if reported is None else reported.ended_at
            outages.record_report_of_none(router_id, answer, since)
        if reported is not None:
            outages.record_reported(reported, router_id)

    def _encode_age_of(self, moment: timedelta | None) -> int:
        return encode_age(None if moment is None else self._clock.monotonic() - moment)

    def _decode_age(self, age_ms: int) -> timedelta:
        return self._clock.monotonic() - timedelta(milliseconds=age_ms)

    async def _learn_what_the_store_lacks(
        self, router_id: RouterId, message: StoreChanges, to: Revision
    ) -> None:
        """Fetch another router's snapshot if it knows what a restored store lacks.

        A router that starts after the restore finds a configuration and servers there
        that the others know to be outdated.
        """
        lacks_document = message.document_version > _get_version(self._view.document)
        lacks_departures = message.era_age_ms and self._watcher.era_age is None
        if to > self._watcher.revision or not (lacks_document or lacks_departures):
            return
        knowledge = (to.era, message.document_version)
        peer = self._find_peer(router_id)
        if peer is None or peer.inner is None or self._is_fetching:
            return
        if knowledge == self._merged_knowledge:
            return
        self._is_fetching = True
        await curio.spawn(self._merge_snapshot_of, peer.inner, knowledge, daemon=True)

    async def _merge_snapshot_of(
        self, address: Address, knowledge: tuple[int, int]
    ) -> None:
        try:
            snapshot = await self._fetch_snapshot(address)
            if snapshot is not None:
                log_event("snapshot_merged", source=address)
                self._watcher.merge_snapshot(snapshot)
                self._merged_knowledge = knowledge
        finally:
            self._is_fetching = False

    async def _apply_message(
        self, router_id: RouterId, message: StoreChanges, after: Revision, to: Revision
    ) -> None:
        if message.incomplete:
            await self._begin_fetch(router_id)
        elif not await self._apply_changes(message, after, to):
            await self._watcher.request_full_read()

    async def _apply_changes(
        self, message: StoreChanges, after: Revision, to: Revision
    ) -> bool:
        """Apply the changes of a message; False if they cannot be read."""
        try:
            items = tuple(
                decode_change(change, self._watcher.find_version)
                for change in message.changes
            )
        except WireFormatError as error:
            log_event("change_unreadable", level="warning", reason=error)
            return False
        await self._watcher.apply_peer_batch(ChangeBatch(after, to, items))
        return True

    async def _begin_fetch(self, router_id: RouterId) -> None:
        """Fetch changes that are too large for a datagram from a router."""
        peer = self._find_peer(router_id)
        if self._is_fetching_changes or not self._watcher.may_apply_changes:
            return
        if peer is None or peer.inner is None:
            await self._watcher.request_full_read()
            return
        self._is_fetching_changes = True
        await curio.spawn(self._fetch_changes, peer, daemon=True)

    async def _fetch_changes(self, peer: Peer) -> None:
        after = self._watcher.revision
        began_at = self._clock.monotonic()
        try:
            others = [
                other
                for router_id in self._get_followers()
                if router_id not in (peer.router_id, self._router_id)
                and (other := self._find_peer(router_id)) is not None
            ]
            time_limit = self._change_limit * _TRANSFER_SHARE
            body = await self._fetcher.fetch((peer, *others), after, time_limit)
            is_applied = body is not None and await self._apply_transfer(body)
            log_event(
                "changes_fetched" if is_applied else "changes_not_found",
                source=peer.router_id,
                after=after,
                revision=self._watcher.revision,
                bytes=0 if body is None else len(body),
                duration=self._clock.monotonic() - began_at,
            )
            if self._watcher.revision == after:
                await self._watcher.request_full_read()
        finally:
            self._is_fetching_changes = False
        # The state may have changed again since, and its evidence is not known.
        await self._poll_source()

    async def _apply_transfer(self, body: bytes) -> bool:
        """Apply the changes of an answer; False if they do not fit this state."""
        try:
            _, message = decode_message(body)
        except WireFormatError as error:
            log_event("change_unreadable", level="warning", reason=error)
            return False
        if not isinstance(message, StoreChanges):
            return False
        after = Revision(message.after_era, message.after_revision)
        to = Revision(message.to_era, message.to_revision)
        if after != self._watcher.revision or to.era < self._watcher.store_era:
            return False
        return await self._apply_changes(message, after, to)

    async def _stop_following_if_possible(self, revision: Revision) -> None:
        """Stop watching the store if another router confirmed a current revision."""
        is_due = self._clock.monotonic() >= self._fallback_until
        is_ahead = revision >= self._watcher.revision
        if is_due and is_ahead and not self.is_follower:
            await self._watcher.set_follows_store(False)


def _get_version(document: FleetDocument | None) -> int:
    return 0 if document is None else document.short_version
