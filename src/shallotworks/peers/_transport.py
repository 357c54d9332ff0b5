"""Transport of connections between processes: TCP between IP addresses."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Protocol

from shallotworks.protocol import ByteStream

__all__ = ["Listener", "TcpTransport", "Transport"]

LISTEN_BACKLOG = 512
READ_BUFFER_BYTES = 64 * 1024


class Listener(Protocol):
    """A listening port."""

    async def close(self) -> None:
        """Stop accepting connections."""
        ...


class Transport(Protocol):
    """Opens and accepts connections; tests substitute one that loses bytes."""

    async def connect(self, address: str) -> ByteStream:
        """Open a connection.

        Raises:
            OSError: The connection can't be opened.
            ValueError: The address has no valid port.
        """
        ...

    async def listen(
        self, address: str, on_stream: Callable[[ByteStream], Awaitable[None]]
    ) -> Listener:
        """Accept connections and serve each in a task of its own.

        Raises:
            OSError: The address can't be bound.
            ValueError: The address has no valid port.
        """
        ...


class TcpTransport:
    """TCP between IP addresses."""

    __slots__ = ()

    async def connect(self, address: str) -> ByteStream:
        """Open a connection.

        Raises:
            OSError: The connection can't be opened.
            ValueError: The address has no valid port.
        """
        host, port = _split(address)
        reader, writer = await asyncio.open_connection(host, port, limit=READ_BUFFER_BYTES)
        return _TcpStream(reader=reader, writer=writer)

    async def listen(
        self, address: str, on_stream: Callable[[ByteStream], Awaitable[None]]
    ) -> Listener:
        """Accept connections and serve each in a task of its own.

        Raises:
            OSError: The address can't be bound.
            ValueError: The address has no valid port.
        """

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            # asyncio's own callback on this task raises if the task was cancelled, which logs a
            # traceback for each connection when the network stops; so the cancellation ends here.
            with contextlib.suppress(asyncio.CancelledError):
                await on_stream(_TcpStream(reader=reader, writer=writer))

        host, port = _split(address)
        server = await asyncio.start_server(
            serve, host, port, backlog=LISTEN_BACKLOG, limit=READ_BUFFER_BYTES
        )
        return _TcpListener(server=server)


class _TcpListener:
    __slots__ = ("_server",)

    def __init__(self, *, server: asyncio.Server) -> None:
        self._server = server

    async def close(self) -> None:
        self._server.close()
        await self._server.wait_closed()


class _TcpStream:
    __slots__ = ("_reader", "_writer")

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def read_exactly(self, size_bytes: int) -> bytes:
        return await self._reader.readexactly(size_bytes)

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    async def drain(self) -> None:
        await self._writer.drain()

    def close(self) -> None:
        self._writer.close()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
