"""Compression of what routers send to each other."""

import zlib

from hibiscustiller.exceptions import WireFormatError

# Higher levels take several times as long for a few per cent of the bytes.
_LEVEL = 1


def compress(data: bytes) -> bytes:
    """Compress bytes for another router."""
    return zlib.compress(data, _LEVEL)


def decompress_bounded(data: bytes, max_bytes: int) -> bytes:
    """Decompress bytes of zlib.

    The bound keeps a damaged or hostile message from filling the memory.

    :raises WireFormatError: if they are damaged, cut off or too long.
    """
    reader = zlib.decompressobj()
    try:
        found = reader.decompress(data, max_bytes)
    except zlib.error as error:
        raise WireFormatError(f"cannot be decompressed: {error}") from error
    if not reader.eof:
        raise WireFormatError("compressed bytes are cut off or too long")
    return found
