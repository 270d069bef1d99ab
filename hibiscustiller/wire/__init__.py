"""HTTP/1.1 on both sides, and the framed messages between routers."""

from hibiscustiller.wire._compression import compress, decompress_bounded
from hibiscustiller.wire._datagrams import (
    DatagramSocket,
    PendingRequest,
    PendingRequests,
)
from hibiscustiller.wire._deadlines import wait_at_most, wait_for_event
from hibiscustiller.wire._http_client import (
    AnswerStream,
    Exchange,
    Framing,
    HttpAnswer,
    HttpClient,
    RawRequest,
    find_described_length,
)
from hibiscustiller.wire._http_requests import HttpLimits, HttpRequest
from hibiscustiller.wire._http_server import Handler, HttpServer, count_descriptors
from hibiscustiller.wire._memory import BodyHold, BodyMemory
from hibiscustiller.wire._responder import (
    Responder,
    describe_refusal,
    make_refusal_headers,
)
from hibiscustiller.wire._sockets import (
    Connect,
    is_readable,
    open_connection,
    set_tcp_options,
)
from hibiscustiller.wire._transfer_deadline import TransferDeadline, TransferLimits

__all__ = [
    "AnswerStream",
    "BodyHold",
    "BodyMemory",
    "Connect",
    "DatagramSocket",
    "Exchange",
    "Framing",
    "Handler",
    "HttpAnswer",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "HttpServer",
    "PendingRequest",
    "PendingRequests",
    "RawRequest",
    "Responder",
    "TransferDeadline",
    "TransferLimits",
    "compress",
    "count_descriptors",
    "decompress_bounded",
    "describe_refusal",
    "find_described_length",
    "is_readable",
    "make_refusal_headers",
    "open_connection",
    "set_tcp_options",
    "wait_at_most",
    "wait_for_event",
]
