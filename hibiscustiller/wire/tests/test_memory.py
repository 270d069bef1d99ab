"""The bound on the memory of all bodies that are read at the same time."""

import sys

from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import Verdict
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import BodyMemory

KB = 1 << 10
FAULTY, SOUND = Address("127.0.0.1", 1), Address("127.0.0.1", 2)


def is_dropped(hold):
    """Tell whether the next bytes of a body find that it was dropped."""
    try:
        hold.append(b"x")
    except TransportError as error:
        # The request was sent, and its answer had begun.
        assert error.verdict is Verdict.MAY_HAVE_RUN
        return True
    return False


def test_the_server_that_sends_most_loses_its_largest_body():
    """Guards against a sound answer that is dropped beside many endless ones."""
    memory = BodyMemory(400 * KB)
    sound = memory.hold(SOUND)
    sound.append(b"s" * 150 * KB)
    faulty = [memory.hold(FAULTY) for _ in range(3)]
    for number, hold in enumerate(faulty):
        hold.append(b"f" * (100 + number) * KB)
    assert memory.used_bytes <= 400 * KB
    sound.append(b"s" * 50 * KB)
    assert [is_dropped(hold) for hold in faulty] == [False, False, True]
    assert sound.finish() == b"s" * 200 * KB


def test_a_complete_body_is_kept_until_it_was_passed_on():
    """Guards against an answer that changes while a slow caller reads it."""
    memory = BodyMemory(200 * KB)
    complete, late = memory.hold(FAULTY), memory.hold(SOUND)
    complete.append(b"c" * 150 * KB)
    body = complete.finish()
    try:
        late.append(b"l" * 150 * KB)
    except TransportError:
        pass
    assert late.is_dropped and not complete.is_dropped
    assert body == b"c" * 150 * KB
    complete.release()
    assert memory.used_bytes == 0


def test_small_bodies_pass_although_no_memory_is_left():
    """Guards against a router that answers nobody beside a few large answers."""
    memory = BodyMemory(100 * KB)
    large = memory.hold(FAULTY)
    large.append(b"l" * 110 * KB)
    large.finish()
    with memory.hold(SOUND) as small:
        small.append(b"s" * 8 * KB)
        assert small.finish() == b"s" * 8 * KB


def test_memory_held_by_the_caller_grows_and_shrinks():
    """Guards against incomplete events that are counted for ever."""
    memory = BodyMemory(100 * KB)
    with memory.hold(FAULTY) as hold:
        hold.resize(90 * KB)
        taken = memory.used_bytes
        hold.resize(10)
        assert memory.used_bytes == 0 < taken
        hold.resize(90 * KB)
    assert memory.used_bytes == 0


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
