"""Differences between two versions of a large value.

A configuration changes by a few routes at a time, and is a hundred times as long. The
format is not known here: values are cut at a byte that ends a part of most formats, and
parts that stay are named by their place.
"""

from __future__ import annotations

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.wire import compress, decompress_bounded

# Some hundred times the keys of a large fleet, and far more than the store's longest
# value.
MAX_UNPACKED_BYTES = 32 << 20
_CUT = b"}"
_NUMBER_BYTES = 4


def make_delta(before: bytes, after: bytes) -> bytes:
    """Return what turns one value into another.

    The result is a list of steps: the number of parts to copy, where the first one is,
    and the length of new bytes that follow.
    """
    places = {part: place for place, part in enumerate(before.split(_CUT))}
    steps: list[tuple[int, int, list[bytes]]] = [(0, 0, [])]
    for part in after.split(_CUT):
        place = places.get(part)
        first, count, new = steps[-1]
        if place is None:
            new.append(part)
        elif not new and count and place == first + count:
            steps[-1] = (first, count + 1, new)
        else:
            steps.append((place, 1, []))
    data = bytearray()
    for first, count, new in steps:
        joined = _CUT.join(new)
        for number in (first, count, len(new), len(joined)):
            data += number.to_bytes(_NUMBER_BYTES)
        data += joined
    return compress(bytes(data))


def apply_delta(before: bytes, delta: bytes) -> bytes:
    """Return the value that a delta was made for.

    :raises WireFormatError: if the delta does not fit the value.
    """
    data = decompress_bounded(delta, MAX_UNPACKED_BYTES)
    parts = before.split(_CUT)
    found: list[bytes] = []
    position = 0
    while position < len(data):
        first, count, new_count, size = (
            _read_number(data, position + number * _NUMBER_BYTES) for number in range(4)
        )
        position += 4 * _NUMBER_BYTES
        if first + count > len(parts) or position + size > len(data):
            raise WireFormatError("delta names parts that are not there")
        found += parts[first : first + count]
        if new_count:
            found.append(data[position : position + size])
        position += size
    return _CUT.join(found)


def _read_number(data: bytes, position: int) -> int:
    return int.from_bytes(data[position : position + _NUMBER_BYTES])
