"""Decoding of peer messages from bytes that nobody vouches for."""

import dataclasses
import sys
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire import _messages_generated as messages

_SAMPLES_BY_TYPE = {"str": "abc", "int": 5, "bytes": b"xyz", "bool": True, "float": 1.5}

FUZZ = settings(derandomize=True, max_examples=400, deadline=None, database=None)


def make_sample(kind):
    """Return a message whose lists are empty and whose structs are samples too."""
    values = []
    for field in dataclasses.fields(kind):
        nested = getattr(messages, field.type, None)
        if dataclasses.is_dataclass(nested):
            values.append(make_sample(nested))
        else:
            values.append(_SAMPLES_BY_TYPE.get(field.type, ()))
    return kind(*values)


ENCODED = [
    messages.encode_message("r", make_sample(kind)) for kind in messages._WRITERS
]
COMPRESSED = [
    messages.encode_message("r", make_sample(kind), is_compressed=True)
    for kind in messages._WRITERS
]


def check_decoding(data):
    try:
        messages.decode_message(data)
    except WireFormatError as error:
        assert "\n" not in str(error) and "stack:" not in str(error), str(error)


def test_messages_survive_the_wire():
    """Guards against a field that is lost between writing and reading."""
    for kind in messages._WRITERS:
        sample = make_sample(kind)
        for is_compressed in (False, True):
            data = messages.encode_message("r1", sample, is_compressed=is_compressed)
            assert messages.decode_message(data) == ("r1", sample)


def test_large_text_survives_the_wire():
    """Guards against runs of words that are unpacked wrongly, and too low a bound."""
    for text in ("x" * 900_000, "", "\0" * 100_000, "a\0\0\0\0\0\0\0" * 1000):
        message = messages.Leaving(text, 1)
        for is_compressed in (False, True):
            data = messages.encode_message("r1", message, is_compressed=is_compressed)
            assert messages.decode_message(data) == ("r1", message)


def test_hostile_messages_are_refused():
    """Guards against truncation that ends the process and against huge expansion."""
    cases = [
        b"",
        b"\0",
        b"\xff",
        b"\xff12345678",
        b"\xff12345678\x01",
        b"\0\xff" * 100_000,
        ENCODED[0][:-1],
        COMPRESSED[0][:-1],
        zlib.compress(b""),
        zlib.compress(b"\0" * 7),
        zlib.compress(b"\0" * 50_000_000),
        zlib.compress(zlib.decompress(COMPRESSED[0])[:-8]),
    ]
    for data in cases:
        try:
            messages.decode_message(data)
        except WireFormatError as error:
            assert "\n" not in str(error)
        else:
            raise AssertionError(f"{data[:20]!r} was accepted")


@FUZZ
@given(st.binary(max_size=200))
def test_random_bytes_raise_only_wire_format_errors(data):
    """Guards against another exception or a crash on random bytes."""
    check_decoding(data)


@FUZZ
@given(
    st.sampled_from(ENCODED + COMPRESSED),
    st.lists(st.tuples(st.integers(0, 999), st.integers(0, 255)), max_size=6),
    st.integers(0, 999),
)
def test_damaged_messages_raise_only_wire_format_errors(data, changes, length):
    """Guards against another exception or a crash on a damaged message."""
    damaged = bytearray(data)
    for position, value in changes:
        damaged[position % len(damaged)] = value
    check_decoding(bytes(damaged))
    check_decoding(bytes(damaged[: length % (len(damaged) + 1)]))


@FUZZ
@given(
    st.sampled_from(COMPRESSED),
    st.lists(st.tuples(st.integers(0, 999), st.integers(0, 255)), max_size=6),
    st.integers(0, 999),
)
def test_damaged_words_raise_only_wire_format_errors(data, changes, length):
    """Guards against damage by a hostile sender that compression does not show."""
    damaged = bytearray(zlib.decompress(data))
    for position, value in changes:
        damaged[position % len(damaged)] = value
    check_decoding(zlib.compress(damaged))
    check_decoding(zlib.compress(damaged[: length % (len(damaged) + 1)]))


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
