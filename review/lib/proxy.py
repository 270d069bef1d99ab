"""A proxy before a server, which can refuse new connections while open ones live on."""

import contextlib
import socket
import threading


class Proxy:
    def __init__(self, port, server_port):
        self.port = port
        self._server_port = server_port
        self._listener = None

    def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(128)
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def refuse(self):
        """Refuse new connections."""
        # Closing alone would not end a waiting accept.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self, listener):
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(("127.0.0.1", self._server_port), 5)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            for sock in (client, server):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for pair in ((client, server), (server, client)):
                threading.Thread(target=_copy, args=pair, daemon=True).start()


def _copy(source, sink):
    """Copy bytes until the end, and pass the end on as it is: closed or reset."""
    try:
        while data := source.recv(65536):
            sink.sendall(data)
    except OSError:
        with contextlib.suppress(OSError):
            sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_RD)
        sink.close()
        return
    with contextlib.suppress(OSError):
        sink.shutdown(socket.SHUT_WR)
