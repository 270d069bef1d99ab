"""Compression of what routers send to each other."""

import zlib

from hibiscustiller.exceptions import WireFormatError

# Higher levels take several times as long for a few per cent of the bytes.
_LEVEL = 1
# Deflate with a window of 32 KB, the first byte of each stream.
_ZLIB_START = b"\x78"


def compress(data: bytes) -> bytes:
    """Compress bytes for another router."""
    return zlib.compress(data, _LEVEL)


def begins_as_zlib(data: bytes) -> bool:
    """Tell whether bytes begin as what :func:`compress` returns."""
    return data[:1] == _ZLIB_START


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
