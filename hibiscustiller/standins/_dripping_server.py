"""Stand-in for a server in trouble, which sends bytes without an end."""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum
from typing import Any

import curio

from hibiscustiller.settings import Address

_RECEIVE_BYTES = 65536
_REQUEST_ID = re.compile(rb"request-id: *(\S+)", re.IGNORECASE)


class EndlessAnswer(Enum):
    """What a server sends until its caller closes."""

    HEAD = "head"
    INTERIM = "interim"
    BODY = "body"
    CHUNKS = "chunks"
    EVENT = "event"
    NO_HTTP = "no-http"


# What comes before the part that is repeated; a head ends with the request's fields.
_STARTS = {
    EndlessAnswer.HEAD: (b"HTTP/1.1 200 OK\r\nx: ", b""),
    EndlessAnswer.BODY: (b"HTTP/1.1 500 Failed\r\nconnection: close\r\n", b"\r\n"),
    EndlessAnswer.CHUNKS: (
        b"HTTP/1.1 500 Failed\r\ntransfer-encoding: chunked\r\n",
        b"\r\n",
    ),
    EndlessAnswer.EVENT: (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n",
        b"\r\nid: 0\ndata: ",
    ),
}


def _list_parts(answer: EndlessAnswer, fields: bytes) -> Iterator[bytes]:
    """Yield the parts of an answer, without end.

    :param fields: headers that make it the answer to the request.
    """
    if answer is EndlessAnswer.HEAD:
        yield _STARTS[answer][0]
    elif answer in _STARTS:
        yield fields.join(_STARTS[answer])
    part = {
        EndlessAnswer.INTERIM: b"HTTP/1.1 103 Early\r\n\r\n",
        EndlessAnswer.CHUNKS: b"1\r\nx\r\n",
    }.get(answer, b"x")
    while True:
        yield part


class DrippingServer:
    """A server whose answers do not end.

    :param answer: what it sends.
    :param period_s: pause between two parts; 0 sends them as fast as they are taken.
    """

    def __init__(self, answer: EndlessAnswer, period_s: float) -> None:
        self._answer = answer
        self._period_s = period_s
        self._socket: Any = None
        self._tasks: list[Any] = []
        self.address = Address("127.0.0.1", 0)
        self.open_count = 0
        self.request_count = 0

    async def __aenter__(self) -> DrippingServer:
        self._socket = curio.tcp_server_socket("127.0.0.1", 0)
        self.address = Address("127.0.0.1", self._socket.getsockname()[1])
        self._tasks.append(await curio.spawn(self._accept, daemon=True))
        return self

    async def __aexit__(self, *args: object) -> None:
        for task in self._tasks:
            await task.cancel()
        await self._socket.close()

    async def _accept(self) -> None:
        while True:
            sock, _ = await self._socket.accept()
            self._tasks.append(await curio.spawn(self._serve, sock, daemon=True))

    async def _serve(self, sock: Any) -> None:
        async with sock:
            request = await sock.recv(_RECEIVE_BYTES)
            if not request:
                return
            self.request_count += 1
            self.open_count += 1
            try:
                await self._drip(sock, _make_fields(request))
            except OSError:
                # The caller has closed the connection.
                return
            finally:
                self.open_count -= 1

    async def _drip(self, sock: Any, fields: bytes) -> None:
        # Larger writes where nothing has to wait between them.
        repeat = 1 if self._period_s else 1000
        for number, part in enumerate(_list_parts(self._answer, fields)):
            await sock.sendall(part if not number else part * repeat)
            await curio.sleep(self._period_s)


def _make_fields(request: bytes) -> bytes:
    found = _REQUEST_ID.search(request)
    request_id = found[1] if found else b""
    return b"request-id: " + request_id + b"\r\nresponse-seal: drip\r\n"
