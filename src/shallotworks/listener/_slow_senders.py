"""Bounds the whole time in which one request must have arrived.

The failure: a sender that trickles, or has lost its link half way, holds a thread for as long as
each wait for its next byte stays below the socket's timeout; a few of them hold all threads and the
port answers nobody. How it shows: the port times out while the process is idle. The guard: each
request has one deadline for all its reads, after which its connection is closed, so that a thread
is free again within that time whatever a sender does.
"""

from __future__ import annotations

import socket
import time
from typing import Any

from cheroot.makefile import MakeFile, StreamReader
from cheroot.server import HTTPConnection

__all__ = ["BoundedConnection"]

TIMEOUT_MESSAGE = "timed out"
"""The text by which cheroot knows a timeout and answers 408."""


class BoundedConnection(HTTPConnection):
    """A connection whose requests must arrive within ``server.receive_timeout_s``."""

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        super().__init__(server, sock, _make_file)

    def communicate(self) -> Any:
        """Serve one request, as cheroot has it, within its time."""
        # A thread of the port has no event loop, so this is the one place with a clock of its own.
        self.rfile.raw.deadline_s = time.monotonic() + self.server.receive_timeout_s
        return super().communicate()  # type: ignore[no-untyped-call]


class _BoundedSocket(socket.SocketIO):
    """Reads from a socket until a deadline, whatever the socket's own timeout."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "r")
        self.deadline_s = float("inf")
        self._connection = sock

    def readinto(self, buffer: Any) -> int | None:
        """Read what has come; raises ``TimeoutError`` at the deadline."""
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
            # Answers are written under the usual timeout.
            self._connection.settimeout(socket_timeout_s)


class _BoundedReader(StreamReader):
    """Cheroot's reader, over a bounded socket."""

    def __init__(self, sock: socket.socket, buffer_size: int) -> None:
        # Past cheroot's own constructor, which would open a plain socket.
        super(StreamReader, self).__init__(_BoundedSocket(sock), buffer_size)
        self.bytes_read = 0


def _make_file(sock: socket.socket, mode: str, buffer_size: int) -> Any:
    if "r" in mode:
        return _BoundedReader(sock, buffer_size)
    return MakeFile(sock, mode, buffer_size)
