"""Stand-in for a server that sends as fast as it can until its caller closes.

It runs in a process of its own: a sender that shares the reader's process sends only
while the reader waits, and so never shows a reader that does not let other tasks run.
"""

from __future__ import annotations

import re
import socket
import threading
from enum import Enum

_RECEIVE_BYTES = 65536
_BLOCK_BYTES = 1 << 20
_REQUEST_ID = re.compile(rb"request-id: *(\S+)", re.IGNORECASE)
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"transfer-encoding: chunked\r\n"
_EVENTS = _CHUNKED + b"content-type: text/event-stream\r\n"


class Flood(Enum):
    """What a server sends without end."""

    HEAD_FIELD = "head-field"
    HEAD_FIELDS = "head-fields"
    INTERIM_HEADS = "interim-heads"
    BODY = "body"
    CHUNKS_OF_1 = "chunks-of-1"
    CHUNKS_OF_64 = "chunks-of-64"
    CHUNK_SIZE = "chunk-size"
    CHUNK_EXTENSION = "chunk-extension"
    CHUNK_EXTENSIONS = "chunk-extensions"
    TRAILERS = "trailers"
    EVENT_IN_CHUNKS_OF_1 = "event-in-chunks-of-1"
    EVENT_IN_CHUNKS_OF_64 = "event-in-chunks-of-64"
    EVENT_IN_LARGE_CHUNKS = "event-in-large-chunks"
    HALVES_OF_EVENT_ENDS = "halves-of-event-ends"
    COMMENTS = "comments"


# The start of the head, what follows the fields that name the request, and the part
# that is repeated.
_BYTES_BY_FLOOD = {
    Flood.HEAD_FIELD: (_OK, b"x: ", b"x"),
    Flood.HEAD_FIELDS: (_OK, b"", b"x: y\r\n"),
    Flood.INTERIM_HEADS: (b"", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    Flood.BODY: (_OK, b"\r\n", b"x"),
    Flood.CHUNKS_OF_1: (_CHUNKED, b"\r\n", b"1\r\nx\r\n"),
    Flood.CHUNKS_OF_64: (_CHUNKED, b"\r\n", b"40\r\n%b\r\n" % (b"x" * 64)),
    Flood.CHUNK_SIZE: (_CHUNKED, b"\r\n", b"0"),
    Flood.CHUNK_EXTENSION: (_CHUNKED, b"\r\n1;x=", b"x"),
    Flood.CHUNK_EXTENSIONS: (_CHUNKED, b"\r\n", b"1;x=y\r\nx\r\n"),
    Flood.TRAILERS: (_CHUNKED, b"\r\n0\r\n", b"x: y\r\n"),
    Flood.EVENT_IN_CHUNKS_OF_1: (_EVENTS, b"\r\n", b"1\r\nx\r\n"),
    Flood.EVENT_IN_CHUNKS_OF_64: (_EVENTS, b"\r\n", b"40\r\n%b\r\n" % (b"x" * 64)),
    Flood.EVENT_IN_LARGE_CHUNKS: (_EVENTS, b"\r\n", b"800\r\n%b\r\n" % (b"x" * 2048)),
    Flood.HALVES_OF_EVENT_ENDS: (_EVENTS, b"\r\n", b"4\r\nx\r\nx\r\n4\r\n\r\nx\n\r\n"),
    Flood.COMMENTS: (_EVENTS, b"\r\n", b"3\r\n:\n\n\r\n"),
}


def run_flooding_server(flood: Flood) -> None:
    """Listen on a free port of loopback, print it, and flood each connection.

    :param flood: what follows the first request of each connection.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        print(listener.getsockname()[1], flush=True)
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=_serve, args=(sock, flood), daemon=True).start()


def _serve(sock: socket.socket, flood: Flood) -> None:
    start, rest, part = _BYTES_BY_FLOOD[flood]
    block = part * (_BLOCK_BYTES // len(part))
    with sock:
        try:
            found = _REQUEST_ID.search(sock.recv(_RECEIVE_BYTES))
            fields = b"response-seal: flood\r\n"
            if found:
                fields += b"request-id: " + found[1] + b"\r\n"
            if start:
                sock.sendall(start + fields + rest)
            while True:
                sock.sendall(block)
        except OSError:
            # The caller has closed the connection.
            return
