"""Clients of the routers that write down what they sent and what they got."""

import itertools
import os
import socket
import threading
import time
from http.client import HTTPConnection, HTTPException

from deployment import HOST, KEY

_ids = itertools.count(1)


class Record:
    """Lines of what was sent, answered and run, on one monotonic clock."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._lock = threading.Lock()
        self.began_at = time.monotonic()

    def write(self, text):
        with self._lock:
            at = time.monotonic() - self.began_at
            self._file.write(f"{at:9.3f}  {text}\n")


class Call:
    """One client attempt and its answer.

    ``status`` is 0 without an answer; times are on the monotonic clock.
    """

    def __init__(self, router, kind):
        self.router = router
        self.kind = kind
        self.id = f"{os.getpid():08x}{next(_ids):08x}"
        self.sent_at = self.ended_at = None
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""


def make_headers(call, deadline_ms, **more):
    return {
        "Host": HOST,
        "Request-Id": call.id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        **more,
    }


def send_plain(call, port, method, path, body=None, deadline_ms=1500, connection=None):
    """Send a request and read its answer, for at most the client's deadline.

    :param connection: a kept connection; a new one by default.
    """
    is_kept = connection is not None
    connection = connection or HTTPConnection("127.0.0.1", port)
    connection.timeout = deadline_ms / 1000
    try:
        if connection.sock is None:
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.sock.settimeout(deadline_ms / 1000)
        call.sent_at = time.monotonic()
        connection.request(method, path, body, make_headers(call, deadline_ms))
        answer = connection.getresponse()
        call.status = answer.status
        call.headers = {name.lower(): value for name, value in answer.getheaders()}
        call.body = answer.read()
        call.is_complete = True
    except (OSError, HTTPException) as error:
        call.error = repr(error)
        connection.close()
    finally:
        call.sent_at = call.sent_at or time.monotonic()
        call.ended_at = time.monotonic()
        if not is_kept:
            connection.close()
    return call
