"""A loopback proxy whose connections can be delayed, reset, cut in one direction or silenced."""

from __future__ import annotations

import asyncio
import contextlib

CHUNK_BYTES = 65_536
HOLD_POLL_S = 0.02


class _Connection:
    """Both halves of one proxied connection."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.is_silent = False

    def abort(self) -> None:
        """Reset both sides."""
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Forwards connections to one address.

    Bytes in a cut direction are held and forwarded once the cut is removed, as TCP retransmission
    does; bytes of a silenced connection are never forwarded.

    Args:
        host: Address to listen on.
        target: ``host:port`` to forward to; may change between connections.
    """

    def __init__(self, *, host: str, target: str) -> None:
        self.target = target
        self.delay_s = 0.0
        self.is_refusing = False
        self.is_cut_to_target = False
        """Whether bytes to the target are held."""
        self.is_cut_from_target = False
        """Whether bytes from the target are held."""
        self.address = ""
        self._host = host
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._accept, self._host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.abort()

    def silence(self) -> None:
        """Stop forwarding on all open connections permanently; new connections work."""
        for connection in self._connections:
            connection.is_silent = True

    def clear_faults(self) -> None:
        """Remove all faults except the silence of open connections."""
        self.delay_s = 0.0
        self.is_refusing = self.is_cut_to_target = self.is_cut_from_target = False

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_refusing:
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection((writer, target_writer))
        self._connections.add(connection)
        pumps = [
            asyncio.create_task(self._pump(connection, reader, target_writer, is_to_target=True)),
            asyncio.create_task(self._pump(connection, target_reader, writer, is_to_target=False)),
        ]
        self._tasks.update(pumps)
        await asyncio.gather(*pumps, return_exceptions=True)
        self._tasks.difference_update(pumps)
        self._connections.discard(connection)

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_to_target: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while connection.is_silent or (
                    self.is_cut_to_target if is_to_target else self.is_cut_from_target
                ):
                    await asyncio.sleep(HOLD_POLL_S)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        if not connection.is_silent:
            writer.close()
