"""Mutual authentication of two routers on a new connection.

Both sides send a greeting with a fresh nonce. The proofs are HMAC-SHA256 over both
greetings, so they cover nonces, ids and addresses, with a label for each role, so that
a proof cannot be reflected. The accepting side proves itself only after it has checked
the dialling side.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from typing import Any

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.wire._framing import FrameReader, make_frame
from hibiscustiller.wire._messages_generated import (
    Hello,
    HelloProof,
    Message,
    decode_message,
    encode_message,
)

NONCE_BYTES = 16
# Greetings are short; a stranger must not make a router hold more.
MAX_GREETING_BYTES = 4096
_DIALLER = b"dialler"
_ACCEPTOR = b"acceptor"


class AuthenticationError(WireFormatError):
    """The other side does not hold the shared key."""


async def greet_as_dialler(
    sock: Any, reader: FrameReader, hello: Hello, key: bytes
) -> Hello:
    """Authenticate on a connection that this router opened.

    :returns: the other side's greeting.
    :raises WireFormatError: if the other side breaks the protocol.
    :raises AuthenticationError: if its proof is wrong.
    """
    own = encode_message(hello.router_id, hello)
    await sock.sendall(make_frame(own))
    other, peer = await _read_greeting(reader)
    proof = HelloProof(make_proof(key, _DIALLER, own, other))
    await sock.sendall(make_frame(encode_message(hello.router_id, proof)))
    await _check_proof(reader, peer, make_proof(key, _ACCEPTOR, own, other))
    return peer


async def greet_as_acceptor(
    sock: Any,
    reader: FrameReader,
    hello: Hello,
    key: bytes,
    check_peer: Callable[[Hello], None],
) -> Hello:
    """Authenticate on a connection that the other router opened.

    :param check_peer: raises if the greeting is not to be answered.
    :returns: the other side's greeting.
    :raises WireFormatError: if the other side breaks the protocol.
    :raises AuthenticationError: if its proof is wrong.
    """
    other, peer = await _read_greeting(reader)
    check_peer(peer)
    own = encode_message(hello.router_id, hello)
    await sock.sendall(make_frame(own))
    await _check_proof(reader, peer, make_proof(key, _DIALLER, other, own))
    proof = HelloProof(make_proof(key, _ACCEPTOR, other, own))
    await sock.sendall(make_frame(encode_message(hello.router_id, proof)))
    return peer


def make_proof(key: bytes, role: bytes, dialler: bytes, acceptor: bytes) -> bytes:
    """Return the proof of one role.

    :param dialler: the encoded greeting of the side that opened the connection.
    :param acceptor: the encoded greeting of the other side.
    """
    mac = hmac.new(key, role, hashlib.sha256)
    for greeting in (dialler, acceptor):
        mac.update(len(greeting).to_bytes(4, "big") + greeting)
    return mac.digest()


async def _read_greeting(reader: FrameReader) -> tuple[bytes, Hello]:
    data, sender, message = await _read_message(reader)
    if not isinstance(message, Hello):
        raise WireFormatError(f"expected hello, got {type(message).__name__}")
    if sender != message.router_id or not sender:
        raise WireFormatError("the greeting names two different senders")
    if len(message.nonce) != NONCE_BYTES:
        raise WireFormatError(
            f"nonce has {len(message.nonce)} bytes; accepted are {NONCE_BYTES}"
        )
    check_peer_address(message.address)
    return data, message


async def _check_proof(reader: FrameReader, peer: Hello, expected: bytes) -> None:
    _, sender, message = await _read_message(reader)
    if not isinstance(message, HelloProof) or sender != peer.router_id:
        raise WireFormatError(f"expected helloProof, got {type(message).__name__}")
    if not hmac.compare_digest(message.proof, expected):
        raise AuthenticationError("wrong proof; the shared keys differ")


async def _read_message(reader: FrameReader) -> tuple[bytes, str, Message]:
    data = await reader.read_frame()
    if data is None:
        raise WireFormatError("stream ended during the greeting")
    sender, message = decode_message(data)
    return data, sender, message


def check_peer_address(address: str) -> None:
    """Check a router's address from a message.

    :raises WireFormatError: if it is no host and port.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise WireFormatError(f"address is {address!r}; accepted is HOST:PORT")
