"""Evidence of silent servers from the attempts that wait for them."""

import sys
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.ingress._open_attempts import OpenAttempts
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

SILENCE = timedelta(seconds=1)
MOMENT = timedelta(milliseconds=100)


@dataclass(eq=False)
class FakeAttempt:
    """An attempt whose answers a test records."""

    server_ids: tuple
    waiting_since: timedelta
    is_second: bool = False
    answered_at: timedelta | None = None

    def answer(self, clock):
        """Record an event."""
        self.waiting_since = self.answered_at = clock.monotonic()


class Attempts:
    """Open attempts on a manual clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.open = OpenAttempts(self.clock)

    def add(self, *server_ids, is_second=False):
        """Begin an attempt."""
        attempt = FakeAttempt(server_ids, self.clock.monotonic(), is_second)
        self.open.add(attempt)
        return attempt

    def list_silent(self, after=timedelta(0)):
        """Return the silent servers after some time."""
        self.clock.advance(after)
        return set(self.open.list_silent(SILENCE))


def test_servers_are_silent_when_no_attempt_has_an_answer():
    """Guards against second attempts at servers that answer nobody."""
    attempts = Attempts()
    first = attempts.add("a", "b")
    assert attempts.list_silent(MOMENT) == set()
    assert attempts.list_silent(SILENCE) == {"a", "b"}
    first.answer(attempts.clock)
    assert attempts.list_silent(MOMENT) == set()


def test_a_server_that_answers_another_attempt_is_not_silent():
    """Guards against sound stages that are blamed for another one's silence."""
    attempts = Attempts()
    attempts.add("a", "b")
    other = attempts.add("b", "c")
    attempts.clock.advance(SILENCE)
    other.answer(attempts.clock)
    assert attempts.list_silent(MOMENT) == {"a"}
    attempts.open.discard(other)
    assert attempts.list_silent(MOMENT) == {"a"}
    assert attempts.list_silent(SILENCE) == {"a", "b"}


def test_one_second_attempt_finds_out_whether_an_unknown_server_answers():
    """Guards against a storm of second attempts at a server that is silent too."""
    attempts = Attempts()
    assert attempts.list_silent() == set()
    second = attempts.add("a", is_second=True)
    assert attempts.list_silent() == {"a"}
    second.answer(attempts.clock)
    assert attempts.list_silent(MOMENT) == set()
    attempts.open.discard(second)
    assert attempts.list_silent(MOMENT) == set()


def test_a_second_attempt_at_a_server_that_answers_does_not_make_it_silent():
    """Guards against sound servers that are left out while they take over streams."""
    attempts = Attempts()
    attempts.add("a").answer(attempts.clock)
    attempts.add("a", is_second=True)
    assert attempts.list_silent(MOMENT) == set()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
