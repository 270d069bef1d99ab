"""Answers of the HTTP server."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Any

import h11

from hibiscustiller.exceptions import TransportError
from hibiscustiller.utils import Refusal, Verdict
from hibiscustiller.wire._deadlines import wait_at_most
from hibiscustiller.wire._sockets import send_parts

# Answers with these statuses have no body, whatever the service behind them sent.
_NO_CONTENT = 204
_BODILESS_STATUSES = (_NO_CONTENT, 304)
Fields = Sequence[tuple[bytes, bytes]]


class Responder:
    """Sends the answer to one request.

    :param connection: h11's state of the connection.
    :param sock: the client's socket.
    :param write_timeout: time for the client to take each part.
    """

    def __init__(
        self, connection: h11.Connection, sock: Any, write_timeout: timedelta
    ) -> None:
        self._connection = connection
        self._sock = sock
        self.write_timeout = write_timeout
        self.is_head = False
        # Status of the answer; 0 before it starts.
        self.status = 0
        self.is_started = False
        self.is_finished = False
        # Sent with the head of the answer, whatever its kind.
        self.extra_headers: dict[str, str] = {}
        # Asked when the answer begins: whether the connection ends with it.
        self.should_close: Callable[[], bool] = lambda: False
        # Told before and after each wait for the client to take what is sent.
        self.mark_blocked: Callable[[bool], None] = lambda is_blocked: None

    @property
    def is_cut_unframed(self) -> bool:
        """Whether the answer has begun, and only its connection tells of its end.

        Closing the connection would tell that it is whole.
        """
        is_old = self._connection.their_http_version == b"1.0"
        return is_old and self.is_started and not self.is_finished

    async def send(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = "application/json",
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a complete answer.

        :raises TransportError: if the client does not take it.
        """
        fields = {"content-type": content_type, **(headers or {})}
        length = str(len(body)).encode()
        await self.send_fields(status, _encode_fields(fields), body, length)

    async def send_json(
        self, status: int, value: Any, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a value as JSON."""
        body = json.dumps(value, separators=(",", ":")).encode()
        await self.send(status, body, headers=headers)

    async def send_refusal(self, refusal: Refusal) -> None:
        """Send a refusal with its verdict in a header and in the body."""
        await self.send_json(
            refusal.reason.status,
            describe_refusal(refusal),
            headers=make_refusal_headers(refusal),
        )

    async def send_fields(
        self,
        status: int,
        fields: Fields,
        body: bytes = b"",
        described_length: bytes | None = None,
    ) -> None:
        """Send a complete answer whose headers were made elsewhere.

        :param fields: headers without those that describe the body's framing.
        :param described_length: the server's ``Content-Length``. An answer that has no
            body tells how long the body of another one would be.
        :raises TransportError: if the client does not take it.
        """
        is_bodiless = self.is_head or status in _BODILESS_STATUSES
        length = described_length if is_bodiless else str(len(body)).encode()
        if length is not None and status != _NO_CONTENT:
            fields = [*fields, (b"content-length", length)]
        await self._write(
            self._make_response(status, fields),
            h11.Data(data=b"" if is_bodiless else body),
            h11.EndOfMessage(),
        )
        self.is_finished = True

    async def start_fields(self, status: int, fields: Fields) -> None:
        """Start an answer in parts whose headers were made elsewhere."""
        framing = (b"transfer-encoding", b"chunked")
        await self._write(self._make_response(status, [*fields, framing]))

    async def start(
        self, status: int, content_type: str, headers: Mapping[str, str] | None = None
    ) -> None:
        """Start an answer that is sent in parts."""
        fields = {"content-type": content_type, **(headers or {})}
        await self.start_fields(status, _encode_fields(fields))

    async def send_part(self, data: bytes) -> None:
        """Send one part of a started answer."""
        if not self.is_head:
            await self._write(h11.Data(data=data))

    async def finish(self) -> None:
        """End a started answer."""
        await self._write(h11.EndOfMessage())
        self.is_finished = True

    def _make_response(self, status: int, fields: Fields) -> h11.Response:
        self.is_started = True
        self.status = status
        headers = [*fields, *_encode_fields(self.extra_headers)]
        if self.should_close():
            headers.append((b"connection", b"close"))
        return h11.Response(status_code=status, headers=headers)

    async def _write(self, *events: Any) -> None:
        parts = [self._connection.send(event) or b"" for event in events]
        self.mark_blocked(True)
        try:
            await wait_at_most(self.write_timeout, send_parts(self._sock, parts))
        except OSError as error:
            raise TransportError(
                f"client does not take the answer: {error}", Verdict.MAY_HAVE_RUN
            ) from error
        finally:
            self.mark_blocked(False)


def _encode_fields(fields: Mapping[str, str]) -> list[tuple[bytes, bytes]]:
    return [(name.encode(), value.encode()) for name, value in fields.items()]


def describe_refusal(refusal: Refusal) -> dict[str, Any]:
    """Return the JSON body that states a refusal."""
    return {
        "error": {
            "reason": refusal.reason.label,
            "verdict": refusal.verdict.value,
            "message": refusal.message,
        }
    }


def make_refusal_headers(refusal: Refusal) -> dict[str, str]:
    """Return the headers that state a refusal."""
    headers = {"x-verdict": refusal.verdict.value}
    if refusal.retry_after is not None:
        # The header counts whole seconds; rounding down would invite early repeats.
        seconds = -(-refusal.retry_after // timedelta(seconds=1))
        headers["retry-after"] = str(max(1, seconds))
    return headers
