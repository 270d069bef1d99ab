"""Frames between routers, whole and broken."""

import struct
import sys

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._framing import MAX_FRAME_BYTES, FrameReader, make_frame
from hibiscustiller.wire._messages_generated import (
    Hello,
    decode_message,
    encode_message,
)


class _Chunks:
    """A socket that hands over given bytes in given pieces, then ends."""

    def __init__(self, *chunks):
        self.chunks = list(chunks)

    async def recv(self, size):
        return self.chunks.pop(0) if self.chunks else b""


def run(coroutine):
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waits")


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=5),
    st.lists(st.integers(1, 30), max_size=12),
)
def test_frames_survive_any_split(payloads, cuts):
    """Guards against frames lost or joined when the stream is cut anywhere."""
    data = b"".join(make_frame(payload) for payload in payloads)
    chunks = []
    for cut in cuts:
        chunks.append(data[:cut])
        data = data[cut:]
    reader = FrameReader(_Chunks(*[c for c in [*chunks, data] if c]))
    assert [run(reader.read_frame()) for _ in payloads] == payloads
    assert run(reader.read_frame()) is None


def test_broken_frames_are_refused():
    """Guards against unbounded memory and against a cut frame taken for an end."""
    cases = [
        ("empty", struct.pack(">I", 0), "accepted range is 1 to 100"),
        ("oversized", struct.pack(">I", 101) + b"x" * 101, "is 101 bytes"),
        ("huge", b"\xff\xff\xff\xff", "is 4294967295 bytes"),
        ("cut header", b"\x00\x00", "after 2 of 4 bytes"),
        ("cut body", struct.pack(">I", 9) + b"abc", "after 7 of 13 bytes"),
    ]
    for name, data, message in cases:
        try:
            run(FrameReader(_Chunks(data), max_bytes=100).read_frame())
        except WireFormatError as error:
            assert message in str(error), (name, error)
        else:
            raise AssertionError(name)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=200), st.integers(0, 60), st.booleans())
def test_malformed_messages_give_one_kind_of_error(noise, cut, is_damaged):
    """Guards against bytes from a stranger that end a task with another error (R9)."""
    hello = encode_message("a", Hello("a", "d", "r", "127.0.0.1:1", b"n" * 16, 3))
    data = hello[:cut] + noise + hello[cut + len(noise) :] if is_damaged else noise
    try:
        decode_message(data)
    except WireFormatError:
        pass


def test_too_long_messages_are_not_sent():
    """Guards against a frame that every receiver would refuse."""
    assert len(make_frame(b"x" * MAX_FRAME_BYTES)) == MAX_FRAME_BYTES + 4
    for size in (0, MAX_FRAME_BYTES + 1):
        try:
            make_frame(b"x" * size)
        except WireFormatError:
            continue
        raise AssertionError(size)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
