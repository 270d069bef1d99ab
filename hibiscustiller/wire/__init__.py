"""HTTP/1.1 on both sides, and the framed messages between routers."""

from hibiscustiller.wire._deadlines import wait_at_most, wait_for_event
from hibiscustiller.wire._http_client import (
    AnswerStream,
    Exchange,
    HttpAnswer,
    HttpClient,
    RawRequest,
)
from hibiscustiller.wire._http_server import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpServer,
    Responder,
    describe_refusal,
    make_refusal_headers,
)

__all__ = [
    "AnswerStream",
    "Exchange",
    "Handler",
    "HttpAnswer",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "HttpServer",
    "RawRequest",
    "Responder",
    "describe_refusal",
    "make_refusal_headers",
    "wait_at_most",
    "wait_for_event",
]
