"""Splitting of streams into events, whatever the pieces in which they arrive."""

import random
import sys
import time

from hibiscustiller.ingress._events import EventSplitter
from hibiscustiller.settings import Address
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import BodyMemory

SENDER = Address("127.0.0.1", 1)
PIECE = b"x" * 64
MAX_EVENT_BYTES = 1 << 20


def make_splitter():
    return EventSplitter(BodyMemory().hold(SENDER))


# Guards against an event whose pieces are searched again with each further piece, which
# takes a minute for one mebibyte.
def test_the_time_for_an_event_grows_with_its_length():
    splitter = make_splitter()
    started_at = time.process_time()
    for _ in range(MAX_EVENT_BYTES // len(PIECE)):
        assert splitter.feed(PIECE) == []
    assert splitter.rest
    assert time.process_time() - started_at < 1.0
    try:
        splitter.feed(PIECE)
        raise AssertionError("accepted")
    except ValueError:
        pass


# Guards against an end of an event that is missed, or found twice, because it arrives
# in several pieces.
def test_events_are_the_same_in_any_pieces():
    ends = (b"\n\n", b"\r\n\r\n", b"\r\n\n", b"\n\r\n")
    expected = [b"id: %d\ndata: \r%d" % (n, n) + ends[n % 4] for n in range(40)]
    data = b"".join(expected)
    for seed in range(50):
        random_state = random.Random(seed)
        splitter, found, position = make_splitter(), [], 0
        while position < len(data):
            end = position + random_state.randint(1, 9)
            found += splitter.feed(data[position:end])
            position = end
        assert [event.data for event in found] == expected, seed
        assert [event.id for event in found] == list(range(40)), seed
        assert not splitter.rest


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
