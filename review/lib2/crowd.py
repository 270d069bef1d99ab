"""Clients that nobody controls: many chunked bodies at once, none of them whole.

Each sends a body of legal size in small chunks, stops just short of its end and stays
open. All together stay below the rate that is given. A process of its own, so that it
does not wait for the clients that the case judges.
"""

from __future__ import annotations

import argparse
import select
import socket
import time

PART_BYTES = 65536


def make_head(number: int, host: str, key: str) -> bytes:
    return (
        f"POST /order/{number} HTTP/1.1\r\nHost: {host}\r\n"
        f"Request-Id: {number:016x}\r\nDeadline-Ms: 20000\r\n"
        f"Authorization: Token {key}\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def main(options: argparse.Namespace) -> None:
    chunk = b"%x\r\n%b\r\n" % (options.chunk_bytes, b"x" * options.chunk_bytes)
    # One chunk and the end of the body are missing.
    body = memoryview(chunk * (options.body_bytes // options.chunk_bytes - 1))
    sent_by_sock: dict[socket.socket, int] = {}
    heads_by_sock: dict[socket.socket, bytes] = {}
    started_at = time.monotonic()
    for number in range(options.count):
        sock = socket.create_connection((options.ip, options.port), 5)
        sock.setblocking(False)
        heads_by_sock[sock] = make_head(number, options.host, options.key)
        sent_by_sock[sock] = 0
    total, refused, socks_by_fd = 0, 0, {s.fileno(): s for s in sent_by_sock}
    while time.monotonic() - started_at < options.length_s and sent_by_sock:
        poll = select.poll()
        for fd, sock in socks_by_fd.items():
            size = len(heads_by_sock[sock]) + len(body)
            is_sending = sent_by_sock[sock] < size
            poll.register(fd, select.POLLIN | (select.POLLOUT if is_sending else 0))
        for fd, events in poll.poll(20):
            sock = socks_by_fd[fd]
            try:
                if events & (select.POLLIN | select.POLLHUP | select.POLLERR):
                    # It was refused; the client leaves.
                    raise ConnectionError("refused")
                if total > (time.monotonic() - started_at) * options.mb_per_s * 1e6:
                    time.sleep(0.0005)
                    continue
                head, offset = heads_by_sock[sock], sent_by_sock[sock]
                part = head[offset:]
                if not part:
                    offset -= len(head)
                    part = body[offset : offset + PART_BYTES]
                count = sock.send(part)
                sent_by_sock[sock] += count
                total += count
            except BlockingIOError:
                continue
            except OSError:
                refused += 1
                sock.close()
                del socks_by_fd[fd], sent_by_sock[sock], heads_by_sock[sock]
    for sock in sent_by_sock:
        sock.close()
    print(
        f"crowd: {options.count} clients, {refused} refused, {total // 10**6} MB sent"
    )


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--ip", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--key", required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--body-bytes", type=int, required=True)
    parser.add_argument("--chunk-bytes", type=int, required=True)
    parser.add_argument("--mb-per-s", type=float, required=True)
    parser.add_argument("--length-s", type=float, required=True)
    return parser.parse_args()


if __name__ == "__main__":
    main(parse())
