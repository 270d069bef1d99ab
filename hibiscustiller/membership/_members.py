"""What a router knows of the other routers.

Entries are merged by a total order on incarnation and status, so the result does not
depend on the order or the number of deliveries. Only the router itself raises its
incarnation, to replace an entry of its former process or to refute a suspicion.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum, IntEnum

from hibiscustiller.membership._transport import Member
from hibiscustiller.settings import Address
from hibiscustiller.utils import DomainId, RegionId, RouterId, check_invariant
from hibiscustiller.wire._messages_generated import MemberState

BUCKET_COUNT = 16
# A dropped or departed router's entry is passed on for this long, so that routers
# that missed the news learn of it and the others do not pass it around for ever.
_SHARED_AFTER_END = timedelta(minutes=5)
# Regions lose contact for minutes; dropped routers are contacted again for this long.
_KEPT_AFTER_END = timedelta(hours=1)
_DIGEST_BYTES = 8


class MemberStatus(IntEnum):
    """A router's status; within one incarnation the higher value prevails."""

    LIVE = 0
    SUSPECTED = 1
    LEAVING = 2


class Merge(Enum):
    """What an offered entry was, compared with the one held."""

    NEWER = "newer"
    EQUAL = "equal"
    OLDER = "older"


@dataclass
class _Entry:
    state: MemberState
    digest: int
    suspected_at: timedelta | None = None
    ended_at: timedelta | None = None


class MemberTable:
    """The known routers, this one included.

    :param self_state: this router's own entry.
    :param drop_delay: time from a suspicion to the drop.
    """

    def __init__(self, self_state: MemberState, drop_delay: timedelta) -> None:
        self.self_state = self_state
        self._drop_delay = drop_delay
        self._entries_by_id = {
            self_state.router_id: _Entry(self_state, _hash_state(self_state))
        }
        self._digests: list[int] | None = None
        self._live: tuple[Member, ...] | None = None

    def merge(self, state: MemberState, now: timedelta) -> Merge:
        """Take over an entry if it is newer than the one held.

        :param state: an entry from another router.
        :param now: monotonic time.
        :returns: how the offered entry compares with the one held before.
        """
        entry = self._entries_by_id.get(state.router_id)
        if entry is not None:
            held, offered = order_state(entry.state), order_state(state)
            if held == offered:
                return Merge.EQUAL
            if held > offered:
                return Merge.OLDER
            check_invariant(
                state.incarnation >= entry.state.incarnation,
                "member_incarnation_never_falls",
                router=state.router_id,
                held=entry.state.incarnation,
                offered=state.incarnation,
            )
        self._put(state, now, is_unknown=entry is None)
        return Merge.NEWER

    def suspect(self, router: RouterId, now: timedelta) -> MemberState | None:
        """Mark a live router as suspected; None if it is not live."""
        entry = self._entries_by_id.get(router)
        if entry is None or entry.state.status != MemberStatus.LIVE:
            return None
        state = replace(entry.state, status=MemberStatus.SUSPECTED.value)
        self.merge(state, now)
        return state

    def drop_overdue(self, now: timedelta) -> list[RouterId]:
        """Drop routers whose suspicion was not refuted in time, and forget old ones.

        :returns: the routers dropped by this call.
        """
        dropped = []
        for router, entry in list(self._entries_by_id.items()):
            if entry.ended_at is not None:
                if now - entry.ended_at >= _KEPT_AFTER_END:
                    del self._entries_by_id[router]
            elif entry.suspected_at is not None:
                if now - entry.suspected_at >= self._drop_delay:
                    entry.ended_at = now
                    dropped.append(router)
        if dropped:
            self._forget_derived()
        return dropped

    def shift_times(self, pause: timedelta) -> None:
        """Do not count a pause of this process as silence of others."""
        for entry in self._entries_by_id.values():
            if entry.suspected_at is not None:
                entry.suspected_at += pause

    def replace_self(self, state: MemberState, now: timedelta) -> None:
        """Put this router's own newer entry in the table."""
        outcome = self.merge(state, now)
        check_invariant(
            outcome is Merge.NEWER, "own_member_entry_rises", router=state.router_id
        )
        self.self_state = state

    def find(self, router: RouterId) -> MemberState | None:
        """Return a router's entry, live or not."""
        entry = self._entries_by_id.get(router)
        return None if entry is None else entry.state

    def list_live(self) -> tuple[Member, ...]:
        """Return the routers that are neither leaving nor dropped, by id."""
        if self._live is None:
            live = [e.state for e in self._entries_by_id.values() if _is_live(e)]
            live.sort(key=lambda state: state.router_id)
            self._live = tuple(make_member(state) for state in live)
        return self._live

    def list_dropped(self) -> list[Member]:
        """Return the routers that fell silent and may come back."""
        return [
            make_member(entry.state)
            for entry in self._entries_by_id.values()
            if entry.ended_at is not None
            and entry.state.status == MemberStatus.SUSPECTED
        ]

    def list_states(self, buckets: int, now: timedelta) -> list[MemberState]:
        """Return the entries of some buckets that are worth passing on.

        :param buckets: a bit for each bucket.
        """
        return [
            entry.state
            for router, entry in self._entries_by_id.items()
            if buckets >> find_bucket(router) & 1
            and (entry.ended_at is None or now - entry.ended_at < _SHARED_AFTER_END)
        ]

    def list_digests(self) -> list[int]:
        """Return a digest of the live entries for each bucket.

        Ended entries are left out, because routers forget them at different times.
        """
        if self._digests is None:
            digests = [0] * BUCKET_COUNT
            for router, entry in self._entries_by_id.items():
                if _is_live(entry):
                    digests[find_bucket(router)] ^= entry.digest
            self._digests = digests
        return self._digests

    def make_digest(self) -> bytes:
        """Return one digest of all live entries."""
        total = 0
        for digest in self.list_digests():
            total ^= digest
        return total.to_bytes(_DIGEST_BYTES, "big")

    def _put(self, state: MemberState, now: timedelta, is_unknown: bool) -> None:
        entry = _Entry(state, _hash_state(state))
        if state.status == MemberStatus.SUSPECTED:
            entry.suspected_at = now
        if state.status == MemberStatus.LEAVING:
            entry.ended_at = now
        if is_unknown and state.status != MemberStatus.LIVE:
            # A router that was never seen live is not listed or passed on.
            entry.ended_at = now - _SHARED_AFTER_END
        self._entries_by_id[RouterId(state.router_id)] = entry
        self._forget_derived()

    def _forget_derived(self) -> None:
        self._digests = None
        self._live = None


def order_state(state: MemberState) -> tuple[int, int, str, str, str]:
    """Return the key by which two entries of one router are compared.

    The place is included so that two processes that wrongly share an id and an
    incarnation are resolved alike everywhere.
    """
    place = (state.address, state.failure_domain, state.region)
    return (state.incarnation, state.status, *place)


def make_member(state: MemberState) -> Member:
    """Return the public form of an entry."""
    host, _, port = state.address.rpartition(":")
    return Member(
        RouterId(state.router_id),
        DomainId(state.failure_domain),
        RegionId(state.region),
        Address(host, int(port)),
    )


def find_bucket(router: str) -> int:
    """Return the bucket that a router's entry belongs to."""
    return hashlib.blake2b(router.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def find_differences(own: Iterable[int], other: Iterable[int]) -> int:
    """Return a bit for each bucket whose digests differ."""
    pairs = enumerate(zip(own, other, strict=True))
    return sum(1 << bucket for bucket, (mine, theirs) in pairs if mine != theirs)


def _is_live(entry: _Entry) -> bool:
    return entry.ended_at is None


def _hash_state(state: MemberState) -> int:
    text = "\0".join(str(part) for part in (state.router_id, *order_state(state)))
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
