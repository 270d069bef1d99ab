"""Recognition of callers that come again after a refusal.

A caller's deadline counts down from its first try, and another try has another request
id. Callers of a route begin with the same few deadlines, while those that come again
have odd and shorter ones.
"""

from __future__ import annotations

from collections import Counter, deque
from datetime import timedelta

# A caller that comes again was refused at least so long ago.
MIN_COUNTDOWN = timedelta(seconds=1)
# Number of the latest requests of a route whose deadlines are compared.
_SAMPLE_SIZE = 32
# A deadline is usual if so many of them have it, to a tenth of a second.
_MIN_USUAL_COUNT = 3
_RESOLUTION = timedelta(milliseconds=100)


class UsualDeadlines:
    """Deadlines with which the callers of each route begin."""

    def __init__(self) -> None:
        self._samples_by_route: dict[str, deque[int]] = {}

    def record(self, route: str, deadline: timedelta | None) -> bool:
        """Record a request, and return whether its caller comes again.

        :param deadline: time that the caller named on arrival; None if it named none.
        """
        if deadline is None:
            return False
        samples = self._samples_by_route.setdefault(route, deque(maxlen=_SAMPLE_SIZE))
        value = round(deadline / _RESOLUTION)
        counts = Counter(samples)
        samples.append(value)
        if not counts or counts[value] >= _MIN_USUAL_COUNT:
            return False
        usual, count = counts.most_common(1)[0]
        return count >= _MIN_USUAL_COUNT and (
            usual * _RESOLUTION - deadline > MIN_COUNTDOWN
        )
