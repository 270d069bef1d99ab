"""Sharing of what routers see of backend servers that leave or return."""

from __future__ import annotations

from collections import deque
from datetime import UTC, datetime, timedelta

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.membership._backends import BackendState, BackendTable, StateChange
from hibiscustiller.membership._relaying import SeenMessages
from hibiscustiller.membership._transport import PeerTransport
from hibiscustiller.utils import Clock, RouterId, ServerId
from hibiscustiller.wire._messages_generated import BackendSignal

# Short against the limit of 3 s, with a few routers in between.
_PERIOD = timedelta(milliseconds=200)
_MILLISECOND = timedelta(milliseconds=1)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
# The newest signals matter; a burst beyond this is found by each router's own signals.
_MAX_QUEUED = 4096


class SignalSharing:
    """Sends this router's own signals and passes on those of others.

    :param mesh: connections to the other routers.
    :param table: states of the backend servers.
    :param clock: source of time.
    """

    def __init__(self, mesh: PeerTransport, table: BackendTable, clock: Clock) -> None:
        self._mesh = mesh
        self._table = table
        self._clock = clock
        self._seen = SeenMessages()
        self._queue: deque[StateChange] = deque(maxlen=_MAX_QUEUED)
        mesh.register(BackendSignal, self._take_signal)
        table.subscribe(self._queue.append)

    async def run(self) -> None:
        """Send new signals until cancelled."""
        while True:
            await self._clock.sleep(_PERIOD)
            await self.share_once()

    async def share_once(self) -> None:
        """Send the signals seen since the last call."""
        while self._queue:
            change = self._queue.popleft()
            at_ms = (change.at - _EPOCH) // _MILLISECOND
            signal = BackendSignal(change.server, change.state.label, at_ms)
            if self._seen.add(signal):
                await self._mesh.broadcast(signal)

    async def _take_signal(self, sender: RouterId, signal: BackendSignal) -> None:
        state = parse_state(signal.state)
        if not self._seen.add(signal):
            return
        at = _EPOCH + signal.at_ms * _MILLISECOND
        self._table.note_relayed_signal(ServerId(signal.server_id), state, at)
        await self._mesh.broadcast(signal)


def parse_state(label: str) -> BackendState:
    """Return the state that a message names.

    :raises WireFormatError: if there is none of that name.
    """
    for state in BackendState:
        if state.label == label:
            return state
    accepted = ", ".join(state.label for state in BackendState)
    raise WireFormatError(f"state is {label!r}; accepted are {accepted}")
