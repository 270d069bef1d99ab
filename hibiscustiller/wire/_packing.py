"""The words of a message, which is compressed or in Cap'n Proto's packed encoding.

pycapnp's own unpacking ends the whole process on truncated input (a C++ exception in
a destructor), so bytes from another process are unpacked and checked here.
"""

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.wire._compression import begins_as_zlib, decompress_bounded

_WORD_BYTES = 8
# The largest message is a snapshot of a document of 900 KB. Two packed bytes can stand
# for 2 KB of zeros, and compressed ones for as many, so the unpacked size needs a bound
# of its own.
_MAX_UNPACKED_BYTES = 4 << 20


def read_words(data: bytes) -> bytes:
    """Return the words of a message.

    :param data: compressed or packed bytes.
    :raises WireFormatError: if the bytes are damaged, or hold too many words.
    """
    # No packed message begins as zlib does: it would have millions of segments.
    if not begins_as_zlib(data):
        return unpack_message(data)
    words = decompress_bounded(data, _MAX_UNPACKED_BYTES)
    if len(words) % _WORD_BYTES:
        raise WireFormatError(f"message of {len(words)} bytes ends within a word")
    return words


def unpack_message(data: bytes) -> bytes:
    """Unpack a message.

    :param data: packed bytes.
    :returns: whole words.
    :raises WireFormatError: if the bytes are truncated or unpack to too many.
    """
    words = bytearray()
    position = 0
    while position < len(data):
        tag = data[position]
        position = _unpack_word(data, position + 1, tag, words)
        if tag in (0x00, 0xFF):
            position = _unpack_run(data, position, tag, words)
        if len(words) > _MAX_UNPACKED_BYTES:
            raise WireFormatError(
                f"message unpacks to more than {_MAX_UNPACKED_BYTES} bytes"
            )
    return bytes(words)


def _unpack_word(data: bytes, position: int, tag: int, words: bytearray) -> int:
    """Unpack one word; its tag has a bit for each byte that is not zero."""
    if tag == 0xFF:
        end = position + _WORD_BYTES
        _check_length(data, end)
        words += data[position:end]
        return end
    _check_length(data, position + tag.bit_count())
    for bit in range(_WORD_BYTES):
        if tag >> bit & 1:
            words.append(data[position])
            position += 1
        else:
            words.append(0)
    return position


def _unpack_run(data: bytes, position: int, tag: int, words: bytearray) -> int:
    """Unpack the counted words after a word of zeros or a word without zeros."""
    _check_length(data, position + 1)
    size = data[position] * _WORD_BYTES
    position += 1
    if tag == 0x00:
        words += bytes(size)
        return position
    _check_length(data, position + size)
    words += data[position : position + size]
    return position + size


def _check_length(data: bytes, end: int) -> None:
    if end > len(data):
        raise WireFormatError(f"message is truncated after {len(data)} bytes")
