"""Messages that reach the whole fleet by being passed on once by each router."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

# Enough for a burst of a whole failure domain; older ones have reached everyone.
_MAX_REMEMBERED = 4096


class SeenMessages:
    """Remembers the newest messages, so that each is passed on once."""

    def __init__(self) -> None:
        self._seen: OrderedDict[Hashable, None] = OrderedDict()

    def add(self, message: Hashable) -> bool:
        """Remember a message.

        :returns: whether it is new.
        """
        if message in self._seen:
            return False
        self._seen[message] = None
        if len(self._seen) > _MAX_REMEMBERED:
            self._seen.popitem(last=False)
        return True
