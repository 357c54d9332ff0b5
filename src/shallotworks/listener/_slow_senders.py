"""Enforces a deadline for the complete arrival of each request.

The failure: a client that sends slowly, or whose link fails in the middle of a request, occupies a
thread for as long as each wait for the next byte stays below the socket's timeout. A few such
clients occupy all threads, and calls to the port time out while the process is idle. Therefore all
reads of one request share a deadline, after which the connection is closed, so that the thread is
free again within that time.
"""

from __future__ import annotations

import socket
import time
from typing import Any

from cheroot.makefile import MakeFile, StreamReader
from cheroot.server import HTTPConnection

__all__ = ["BoundedConnection"]

TIMEOUT_MESSAGE = "timed out"
"""Cheroot recognises a timeout by this text and responds with status 408."""


class BoundedConnection(HTTPConnection):
    """A connection whose requests must arrive within ``server.receive_timeout_s``."""

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        super().__init__(server, sock, _make_file)

    def communicate(self) -> Any:
        """Serve one request, which must arrive before the deadline."""
        # Threads of the port have no event loop, so the deadline uses the monotonic clock.
        self.rfile.raw.deadline_s = time.monotonic() + self.server.receive_timeout_s
        return super().communicate()  # type: ignore[no-untyped-call]


class _BoundedSocket(socket.SocketIO):
    """Reads from a socket until a deadline, even if the socket's own timeout is longer."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "r")
        self.deadline_s = float("inf")
        self._connection = sock

    def readinto(self, buffer: Any) -> int | None:
        """Read the available bytes.

        Raises:
            TimeoutError: The deadline or the socket's own timeout has passed.
        """
        socket_timeout_s = self._connection.gettimeout()
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError(TIMEOUT_MESSAGE)
        if socket_timeout_s is not None and socket_timeout_s <= remaining_s:
            return super().readinto(buffer)
        self._connection.settimeout(remaining_s)
        try:
            return super().readinto(buffer)
        finally:
            # Responses are written with the socket's own timeout.
            self._connection.settimeout(socket_timeout_s)


class _BoundedReader(StreamReader):
    """Cheroot's stream reader on a socket with a deadline."""

    def __init__(self, sock: socket.socket, buffer_size: int) -> None:
        # This skips cheroot's constructor, which would open a socket reader without a deadline.
        super(StreamReader, self).__init__(_BoundedSocket(sock), buffer_size)
        self.bytes_read = 0


def _make_file(sock: socket.socket, mode: str, buffer_size: int) -> Any:
    if "r" in mode:
        return _BoundedReader(sock, buffer_size)
    return MakeFile(sock, mode, buffer_size)
