"""Deltas between two versions of a large value.

A change of the configuration affects a few routes, while the document is a hundred
times as long. The module does not depend on the format of a value: it splits values at
a byte that ends an element in most formats, and refers to unchanged parts by their
index.
"""

from __future__ import annotations

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.wire import compress, decompress_bounded

# Some hundred times the size of all keys of a large fleet, and far above the longest
# value that the store accepts.
MAX_UNPACKED_BYTES = 32 << 20
_SEPARATOR = b"}"
_NUMBER_BYTES = 4


def make_delta(before: bytes, after: bytes) -> bytes:
    """Return a compressed delta that turns one value into another.

    A delta is a list of steps. Each consists of four integers (the index of the first
    part to copy, the number of parts to copy, the number of new parts and their length
    in bytes) and of the new parts.
    """
    indices_by_part = {
        part: index for index, part in enumerate(before.split(_SEPARATOR))
    }
    steps: list[tuple[int, int, list[bytes]]] = [(0, 0, [])]
    for part in after.split(_SEPARATOR):
        index = indices_by_part.get(part)
        first, count, new = steps[-1]
        if index is None:
            new.append(part)
        elif not new and count and index == first + count:
            steps[-1] = (first, count + 1, new)
        else:
            steps.append((index, 1, []))
    data = bytearray()
    for first, count, new in steps:
        joined = _SEPARATOR.join(new)
        for number in (first, count, len(new), len(joined)):
            data += number.to_bytes(_NUMBER_BYTES)
        data += joined
    return compress(bytes(data))


def apply_delta(before: bytes, delta: bytes) -> bytes:
    """Apply a delta to the earlier value and return the later one.

    :raises WireFormatError: if the delta is malformed or does not fit the value.
    """
    data = decompress_bounded(delta, MAX_UNPACKED_BYTES)
    parts = before.split(_SEPARATOR)
    restored: list[bytes] = []
    position = 0
    while position < len(data):
        first, count, new_count, size = (
            _read_number(data, position + number * _NUMBER_BYTES) for number in range(4)
        )
        position += 4 * _NUMBER_BYTES
        if first + count > len(parts) or position + size > len(data):
            raise WireFormatError("delta refers to parts that do not exist")
        restored += parts[first : first + count]
        if new_count:
            restored.append(data[position : position + size])
        position += size
    return _SEPARATOR.join(restored)


def _read_number(data: bytes, position: int) -> int:
    return int.from_bytes(data[position : position + _NUMBER_BYTES])
