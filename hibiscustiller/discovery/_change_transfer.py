"""Transfer of changes that are too large for datagrams from router to router.

The load is a fleet of hundreds of routers that all lack the same change at the same
moment. Each router sends it to a few others at a time and names those that have it
already to the rest, so that the number of senders doubles with each round and neither
the store's link nor that of one host carries it to all. This module does no I/O.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.discovery._view import Peer
from hibiscustiller.exceptions import TransportError
from hibiscustiller.platform import Revision
from hibiscustiller.utils import Clock, RouterId, log_event
from hibiscustiller.wire import TransferLimits

# A small host sends several times as much while it serves callers. Slower transfers are
# given up for another router.
TRANSFER_LIMITS = TransferLimits(timedelta(milliseconds=300), 64_000)
# More transfers at once would each take longer and delay the first copy that others
# can pass on. The link of a small host sends so many copies of a large change in a
# quarter of a second.
_MAX_OPEN_TRANSFERS = 3
# Routers that have confirmed a change and are named to others.
_MAX_KNOWN_RECEIVERS = 64
# A router is named to so many others, which share its link.
_MAX_REFERRALS = 3
_NAMED_ROUTERS = 3
# The changes since this many revisions are kept in their encoded form.
_MAX_ENCODED = 2
# A router that names no other is asked again after this time, when its first transfers
# have ended.
_BUSY_DELAY = timedelta(milliseconds=120)


@dataclass(frozen=True)
class TransferAnswer:
    """The answer to a router that asks for changes.

    :param body: encoded changes; None if this router does not send any now.
    :param others: routers that have them, to be asked instead.
    :param is_busy: whether this router has them, and may be asked again.
    """

    body: bytes | None
    others: tuple[RouterId, ...] = ()
    is_busy: bool = False


@dataclass(frozen=True)
class _OpenTransfer:
    """Changes that a router has not confirmed.

    :param revision: the state that it will have.
    :param until: when it has given them up, on the monotonic clock.
    """

    revision: Revision
    until: timedelta


@dataclass
class _Receiver:
    """A router that has confirmed changes.

    :param revision: the state that it has at least.
    :param referrals: how often it was named to others.
    """

    router_id: RouterId
    revision: Revision
    referrals: int = 0


class ChangeSender:
    """Decides which routers get changes from this one, and whom the others ask.

    :param encode_changes: encodes all changes after a revision; None if some of them
        are not known any more, or there are none.
    :param get_revision: returns the revision of the present state.
    :param are_close: tells whether two routers are in the same failure domain.
    :param clock: measures how long transfers are open.
    :param keeps_encoded: whether what was encoded holds for as long as the revision.
    """

    def __init__(
        self,
        encode_changes: Callable[[Revision], bytes | None],
        get_revision: Callable[[], Revision],
        are_close: Callable[[RouterId, RouterId], bool],
        clock: Clock,
        *,
        keeps_encoded: bool = True,
    ) -> None:
        self._max_encoded = _MAX_ENCODED if keeps_encoded else 0
        self._clock = clock
        self._encode_changes = encode_changes
        self._get_revision = get_revision
        self._are_close = are_close
        self._open_by_id: dict[RouterId, _OpenTransfer] = {}
        self._receivers: deque[_Receiver] = deque(maxlen=_MAX_KNOWN_RECEIVERS)
        self._encoded: OrderedDict[tuple[Revision, Revision], bytes] = OrderedDict()

    def answer(self, router_id: RouterId, after: Revision) -> TransferAnswer:
        """Answer a router that asks for the changes after a revision.

        A transfer stays open until the router confirms it, since what was written to
        its connection may wait in buffers behind other transfers.
        """
        now, revision = self._clock.monotonic(), self._get_revision()
        for other_id, transfer in list(self._open_by_id.items()):
            # The receiver has vanished, or its confirmation was lost.
            if now >= transfer.until:
                del self._open_by_id[other_id]
        self._open_by_id.pop(router_id, None)
        if len(self._open_by_id) >= _MAX_OPEN_TRANSFERS and revision > after:
            return TransferAnswer(None, self._name_others(router_id, after), True)
        body = self._get_encoded(after, revision)
        if body is None:
            return TransferAnswer(None, self._name_others(router_id, after))
        until = now + TRANSFER_LIMITS.pause
        until += timedelta(seconds=len(body) / TRANSFER_LIMITS.min_bytes_per_s)
        self._open_by_id[router_id] = _OpenTransfer(revision, until)
        return TransferAnswer(body)

    def end_transfer(self, router_id: RouterId, *, has_arrived: bool) -> None:
        """Record that a router has received changes, or that it cannot."""
        transfer = self._open_by_id.pop(router_id, None)
        if transfer is not None and has_arrived:
            self._receivers.append(_Receiver(router_id, transfer.revision))

    def _get_encoded(self, after: Revision, to: Revision) -> bytes | None:
        if after >= to:
            return None
        body = self._encoded.get((after, to))
        if body is None:
            body = self._encode_changes(after)
            if body is None:
                return None
            self._encoded[after, to] = body
            while len(self._encoded) > self._max_encoded:
                self._encoded.popitem(last=False)
        return body

    def _name_others(
        self, router_id: RouterId, after: Revision
    ) -> tuple[RouterId, ...]:
        usable = [
            receiver
            for receiver in self._receivers
            if receiver.revision > after
            and receiver.referrals < _MAX_REFERRALS
            and receiver.router_id != router_id
        ]
        # Traffic between domains is charged.
        usable.sort(key=lambda r: not self._are_close(router_id, r.router_id))
        named = usable[:_NAMED_ROUTERS]
        for receiver in named:
            receiver.referrals += 1
        return tuple(receiver.router_id for receiver in named)


# Asks a router for the changes after a revision, for at most a time.
RequestChanges = Callable[[Peer, Revision, timedelta], Awaitable[TransferAnswer]]


class ChangeFetcher:
    """Fetches changes from a router that has them, or from those that it names.

    :param request: asks a router; raises TransportError if it does not answer.
    :param find_peer: returns a router; None if it is not known.
    :param clock: measures the time limit.
    :param random_state: jitter of repeated requests.
    """

    def __init__(
        self,
        request: RequestChanges,
        find_peer: Callable[[RouterId], Peer | None],
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._request = request
        self._find_peer = find_peer
        self._clock = clock
        self._random_state = random_state

    async def fetch(
        self, sources: Collection[Peer], after: Revision, time_limit: timedelta
    ) -> bytes | None:
        """Return the encoded changes after a revision; None if no router sends them.

        :param sources: routers that have a newer state, the first one preferred.
        :param time_limit: time after which they are not waited for any longer.
        """
        until = self._clock.monotonic() + time_limit
        sources_by_id = {peer.router_id: peer for peer in sources}
        # The routers named last have had the least requests.
        named: list[Peer] = []
        while named or sources_by_id:
            peer = named.pop() if named else next(iter(sources_by_id.values()))
            time_left = until - self._clock.monotonic()
            if time_left <= timedelta(0):
                break
            try:
                answer = await self._request(peer, after, time_left)
            except TransportError as error:
                log_event("changes_not_fetched", source=peer.router_id, reason=error)
                sources_by_id.pop(peer.router_id, None)
                continue
            if answer.body is not None:
                return answer.body
            known = (self._find_peer(router_id) for router_id in answer.others)
            named += [p for p in known if p is not None and p.inner is not None]
            if not answer.is_busy:
                sources_by_id.pop(peer.router_id, None)
            elif not named:
                share = self._random_state.uniform(0.5, 1.5)
                await self._clock.sleep(_BUSY_DELAY * share)
        return None
