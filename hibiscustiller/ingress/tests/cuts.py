"""Links between one router and the servers, which a test cuts."""

from enum import Enum

import curio

from hibiscustiller.wire import open_connection


class Cut(Enum):
    """How connections to servers behave.

    With ``REFUSED_NEW`` those that are open live on.
    """

    NONE = "none"
    SILENT = "silent"
    RESET = "reset"
    REFUSED_NEW = "refused new"


class ServerLinks:
    """Opens one router's connections to servers, and cuts them.

    Attributes: ``kind`` is how connections behave now. ``lost_addresses`` are those of
    single servers whose connections are refused.
    """

    def __init__(self):
        self.kind = Cut.NONE
        self.lost_addresses = set()
        self.connect_count = 0
        self._connections = []

    async def connect(self, address, timeout):
        """Open a connection as :func:`open_connection` does."""
        self.connect_count += 1
        if self.kind is Cut.SILENT:
            await curio.sleep(timeout.total_seconds())
            raise TimeoutError("no answer")
        if self.kind is not Cut.NONE or address in self.lost_addresses:
            raise ConnectionRefusedError("refused")
        sock = _CuttableSocket(self, await open_connection(address, timeout))
        self._connections.append(sock)
        return sock

    async def cut(self, kind):
        """Cut the links."""
        self.kind = kind
        connections, self._connections = self._connections, []
        for connection in connections:
            if kind is Cut.RESET:
                connection.is_reset = True
                await connection.wake()
            elif kind is Cut.SILENT:
                connection.is_silent = True
            else:
                self._connections.append(connection)

    def mend(self):
        """Let new connections reach the servers again."""
        self.kind = Cut.NONE


class _CuttableSocket:
    """A connected socket whose data a cut holds back."""

    def __init__(self, links, sock):
        self._links = links
        self._sock = sock
        self.is_silent = False
        self.is_reset = False
        self._receiver = None

    async def wake(self):
        if self._receiver is not None:
            await self._receiver.cancel(blocking=False)

    async def recv(self, size):
        self._check()
        if self._receiver is None:
            self._receiver = await curio.spawn(self._sock.recv, size, daemon=True)
        # It goes on if this wait ends: cancelled, it might lose what has just arrived.
        await self._receiver.wait()
        receiver, self._receiver = self._receiver, None
        self._check()
        if self.is_silent:
            await curio.sleep(60)
        if receiver.exception is not None:
            raise receiver.exception
        return receiver.result

    async def sendall(self, data):
        self._check()
        if not self.is_silent:
            await self._sock.sendall(data)

    async def close(self):
        if self._receiver is not None:
            await self._receiver.cancel()
        await self._sock.close()

    def _check(self):
        if self.is_reset:
            raise ConnectionResetError("reset")

    def fileno(self):
        return self._sock.fileno()

    def setsockopt(self, *args):
        self._sock.setsockopt(*args)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *args):
        await self.close()
