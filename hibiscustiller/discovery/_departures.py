"""Server processes that left, remembered beyond the store's own state.

A store that is restored from a backup lists servers again that had left since. This
module does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from hibiscustiller.fleet import BackendServer
from hibiscustiller.utils import ServerId

# More than the servers that leave a large fleet in a day. A departure takes about 200
# bytes.
_MAX_DEPARTURES = 4096


@dataclass(frozen=True)
class Departure:
    """The end of what a server's process said of itself.

    :param born: start time of the process, in Unix milliseconds.
    :param update: last known update of its entry.
    """

    server_id: ServerId
    born: int
    update: int


class Departures:
    """The last process of each server that left, by the server's id.

    :param capacity: number of servers; the oldest departures are dropped.
    """

    def __init__(self, capacity: int = _MAX_DEPARTURES) -> None:
        self._capacity = capacity
        self._by_id: OrderedDict[ServerId, Departure] = OrderedDict()

    def record(self, server: BackendServer) -> None:
        """Record that a server's process leaves or was removed."""
        self._record(Departure(server.id, server.born, server.update))

    def merge(self, departures: Iterable[Departure]) -> None:
        """Record departures that another router knows."""
        for departure in departures:
            self._record(departure)

    def discard(self, server_id: ServerId) -> None:
        """Forget a departure, because the server has registered again."""
        self._by_id.pop(server_id, None)

    def covers(self, server: BackendServer) -> bool:
        """Tell whether a server's entry was written before its process left."""
        departure = self._by_id.get(server.id)
        if departure is None:
            return False
        return (server.born, server.update) <= (departure.born, departure.update)

    def list_all(self) -> tuple[Departure, ...]:
        """Return all departures, the oldest first."""
        return tuple(self._by_id.values())

    def _record(self, departure: Departure) -> None:
        known = self._by_id.get(departure.server_id)
        if known is not None and (known.born, known.update) >= (
            departure.born,
            departure.update,
        ):
            return
        self._by_id[departure.server_id] = departure
        self._by_id.move_to_end(departure.server_id)
        if len(self._by_id) > self._capacity:
            self._by_id.popitem(last=False)
