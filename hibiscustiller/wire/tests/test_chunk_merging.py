"""Merged chunks against h11's own reading of the same bytes."""

import sys

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._chunk_merging import ChunkMerger

MAX_LINE_BYTES = 300
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
PIECES = st.lists(
    st.sampled_from(
        [
            b"1\r\nx\r\n",
            b"1\r\n\r\r\n",
            b"A\r\n0123456789\r\n",
            b"02;a=b\r\nxy\r\n",
            b"11\r\n" + b"y" * 17 + b"\r\n",
            b"0\r\n\r\n",
            b"0\r\nname: value\r\n\r\n",
            b"1\r\nxx\r\n",
            b"g\r\n",
            b"\n",
            b"\r",
            b";" * 400,
        ]
    ),
    max_size=12,
)


def read(parts):
    """Return the body, and how it ends, as h11 reads it."""
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_LINE_BYTES)
    connection.receive_data(HEAD)
    connection.next_event()
    body = b""
    for part in filter(None, parts):
        connection.receive_data(part)
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError:
                return None, "refused"
            if isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return body, list(event.headers)
            else:
                break
    return body, "unfinished"


@settings(max_examples=500, derandomize=True, deadline=None)
@given(pieces=PIECES, step=st.integers(1, 40))
def test_merged_chunks_are_read_as_before(pieces, step):
    """Guards against bodies that are read in another way, or refused, once merged."""
    data = b"".join(pieces)
    parts = [data[start : start + step] for start in range(0, len(data), step)]
    merger = ChunkMerger(MAX_LINE_BYTES)
    assert read([merger.merge(part) for part in parts]) == read(parts)


def test_small_chunks_become_one():
    """Guards against a body whose chunks cost more time than its bytes."""
    for unit, data in ((b"1\r\nx\r\n", b"x"), (b"1\r\nx\r\n2\r\nyz\r\n", b"xyz")):
        merger = ChunkMerger(MAX_LINE_BYTES)
        merged = merger.merge(unit * 1000)
        assert merged == b"%x\r\n%b\r\n" % (len(data) * 1000, data * 1000)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
