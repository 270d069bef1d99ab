"""Recognition of callers that come again after a refusal."""

import random
import sys
from datetime import timedelta

from hibiscustiller.ingress._usual_deadlines import UsualDeadlines
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)


def test_callers_that_come_again_are_recognised():
    """Guards against returning callers who wait behind first requests."""
    deadlines = UsualDeadlines()
    random_state = random.Random(1)
    for _ in range(20):
        assert not deadlines.record("route", 20 * SECOND)
    for _ in range(10):
        again = 20 * SECOND - random_state.uniform(1.5, 6) * SECOND
        assert deadlines.record("route", again)
        assert not deadlines.record("route", 20 * SECOND)
        assert not deadlines.record("route", 19.2 * SECOND)
        assert not deadlines.record("other", again)


def test_callers_with_several_usual_deadlines_are_not_mistaken():
    """Guards against a precedence for callers who just have less time."""
    deadlines = UsualDeadlines()
    results = [
        deadlines.record("route", seconds * SECOND)
        for _ in range(20)
        for seconds in (20, 10, 30)
    ]
    assert not any(results[15:])


def test_callers_with_any_deadline_or_none_are_not_mistaken():
    """Guards against a precedence where no deadline is usual."""
    deadlines = UsualDeadlines()
    random_state = random.Random(2)
    for _ in range(100):
        assert not deadlines.record("route", random_state.uniform(1, 60) * SECOND)
        assert not deadlines.record("route", None)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
