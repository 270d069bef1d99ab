"""Loopback proxy whose connections can be delayed, blocked, silenced or reset."""

import struct
from dataclasses import dataclass

import curio
import curio.socket

_POLL_S = 0.02
_CHUNK_BYTES = 65536
# Value of SO_LINGER with which close() sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class LinkFaults:
    """Faults that apply to all connections of a proxy.

    :param delay_s: delay of each chunk in both directions, in seconds.
    :param holds_up: whether bytes to the server are held back.
    :param holds_down: whether bytes to the client are held back.
    """

    delay_s: float = 0.0
    holds_up: bool = False
    holds_down: bool = False


@dataclass(eq=False)
class _Link:
    client: curio.io.Socket
    server: curio.io.Socket
    task: curio.Task | None = None
    is_silent: bool = False


class LoopbackProxy:
    """Forwards connections to a server on the same host.

    :param port: port that the proxy listens on.
    :param server_port: port that the server listens on.
    """

    def __init__(self, port, server_port):
        self.port = port
        self._server_port = server_port
        self.faults = LinkFaults()
        self._links = set()
        self._listener = None
        self._task = None

    async def start(self):
        """Listen for connections."""
        self._listener = curio.socket.socket()
        self._listener.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", self.port))
        self._listener.listen(128)
        self._task = await curio.spawn(self._accept, daemon=True)

    async def stop(self):
        """Refuse new connections and reset the open ones, like a killed process."""
        await self._stop_listening()
        await self.reset_connections()

    async def _stop_listening(self):
        task, self._task = self._task, None
        if task is not None:
            await task.cancel()
            await self._listener.close()

    async def _stop_if_server_stopped(self):
        """Stop listening if the server refuses connections, that is, has exited."""
        try:
            sock = await curio.open_connection("127.0.0.1", self._server_port)
        except OSError:
            await self._stop_listening()
        else:
            await sock.close()

    async def reset_connections(self):
        """Reset the open connections."""
        for link in list(self._links):
            await link.task.cancel()

    def silence_connections(self):
        """Stop forwarding on the open connections for good; new ones work."""
        for link in self._links:
            link.is_silent = True

    async def _accept(self):
        while True:
            client, _ = await self._listener.accept()
            await curio.spawn(self._connect, client, daemon=True)

    async def _connect(self, client):
        try:
            server = await curio.open_connection("127.0.0.1", self._server_port)
        except OSError:
            await _reset(client)
            return
        link = _Link(client, server)
        link.task = await curio.spawn(self._forward, link, daemon=True)
        self._links.add(link)

    async def _forward(self, link):
        """Forward bytes in both directions until one side closes."""
        is_clean_close = False
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(
                    self._forward_direction, link, link.client, link.server, "up"
                )
                await group.spawn(
                    self._forward_direction, link, link.server, link.client, "down"
                )
            is_clean_close = group.result
        finally:
            self._links.discard(link)
            for sock in (link.client, link.server):
                await (sock.close() if is_clean_close else _reset(sock))

    async def _forward_direction(self, link, source, sink, direction):
        """Forward bytes in one direction until its source closes.

        :returns: False if a side was reset.
        """
        try:
            while data := await source.recv(_CHUNK_BYTES):
                if self.faults.delay_s:
                    await curio.sleep(self.faults.delay_s)
                # Bytes are held back, not dropped: a TCP stream has no gaps.
                while link.is_silent or self._is_held(direction):
                    await curio.sleep(_POLL_S)
                await sink.sendall(data)
        except OSError:
            return False
        finally:
            if direction == "down":
                await self._stop_if_server_stopped()
        return True

    def _is_held(self, direction):
        faults = self.faults
        return faults.holds_up if direction == "up" else faults.holds_down


async def _reset(sock):
    sock.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_LINGER, _RESET_ON_CLOSE)
    await sock.close()
