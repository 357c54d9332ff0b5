"""One HTTP client for everything that the platform's side serves.

It stands for the house's urllib3 here: a look at a worker waits a second at the worker, so that 172
workers would hold 172 threads; on the loop each costs a future. `httptools` parses the answers.
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass
from typing import Any

from shallotworks.json_codec import dump_json, load_json

from ._http_connection import Connection, ConnectionLostError

__all__ = ["HttpAnswer", "HttpClient", "HttpNoAnswer"]

CONNECT_TIMEOUT_S = 0.4
"""Time for a connection: one way takes 1 to 12 ms, and a lost opening packet is sent again after a
second, by which time another try is better."""
MAX_CONNECTIONS = 24
"""Connections to one address."""
IDLE_TIMEOUT_S = 20.0
MAX_DETAIL_CHARACTERS = 160

_UNSAFE_IN_PATH = re.compile(r"[\x00-\x20\x7f]")
_UNSAFE_IN_HEADER = re.compile(r"[\x00-\x1f\x7f]")


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpAnswer:
    """An answer.

    Args:
        status: Its status.
        body: The decoded body; empty where there was none that could be read.
    """

    status: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpNoAnswer:
    """No answer came.

    Args:
        is_unsent: Surely no byte of the request reached the other side.
        detail: What went wrong.
    """

    is_unsent: bool
    detail: str


class HttpClient:
    """Calls one address, over connections that are kept open.

    The failure it guards against: connections that went silent without a sign. After a call that
    timed out no other call is sent over the connections of that time; they are closed once the
    calls on them have ended.

    Args:
        address: ``ip:port``.
    """

    __slots__ = ("_address", "_connections", "_generation", "_idle", "_purge_timer", "_slots")

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._generation = 0
        """Rises with each call that timed out; connections of earlier ones are not used again."""
        self._idle: list[Connection] = []
        """The connection used last at the end."""
        self._connections: set[Connection] = set()
        self._slots = asyncio.Semaphore(MAX_CONNECTIONS)
        self._purge_timer: asyncio.TimerHandle | None = None

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        read_timeout_s: float | None = None,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpAnswer | HttpNoAnswer:
        """Make one call; never repeated here.

        Args:
            method: HTTP method.
            path: Path and query.
            timeout_s: Time for the whole call.
            read_timeout_s: Longest time without a byte of the answer; ``None`` for no limit.
            body: Sent as JSON.
            headers: Further headers.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        try:
            request = self._encode(method, path, body, headers)
            connection = await self._acquire(deadline_s)
        except TimeoutError:
            return HttpNoAnswer(is_unsent=True, detail="no connection in time")
        except (OSError, ValueError) as error:
            return _no_answer(error, is_unsent=True)
        try:
            status, raw = await connection.exchange(
                request, deadline_s=deadline_s, read_timeout_s=read_timeout_s
            )
            return HttpAnswer(status=status, body=_decode(raw))
        except TimeoutError:
            self._retire_connections()
            return HttpNoAnswer(
                is_unsent=False, detail=f"no answer in {read_timeout_s or timeout_s:.2f} s"
            )
        except (ConnectionLostError, ValueError) as error:
            return _no_answer(error, is_unsent=False)
        finally:
            self._release(connection)

    async def close(self) -> None:
        """Close all connections; calls that are under way end without an answer."""
        if self._purge_timer is not None:
            self._purge_timer.cancel()
            self._purge_timer = None
        self._idle.clear()
        for connection in list(self._connections):
            connection.close()
        self._connections.clear()

    def _encode(
        self, method: str, path: str, body: dict[str, Any] | None, headers: dict[str, str] | None
    ) -> bytes:
        """Return a request's bytes; `ValueError` where a part would break out of its line."""
        if _UNSAFE_IN_PATH.search(path):
            raise ValueError("a path with a blank or a control character")
        lines = [f"{method} {path} HTTP/1.1\r\n"]
        for name, value in ({"Host": self._address} | (headers or {})).items():
            if _UNSAFE_IN_HEADER.search(value):
                raise ValueError("a header with a control character")
            lines.append(f"{name}: {value}\r\n")
        if body is None:
            lines.append("Content-Length: 0\r\n\r\n" if method != "GET" else "\r\n")
            return "".join(lines).encode("latin-1")
        data = dump_json(body)
        lines.append(f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n")
        return "".join(lines).encode("latin-1") + data

    # ---- connections

    async def _acquire(self, deadline_s: float) -> Connection:
        """Return a connection that this call has to itself until `_release`.

        Raises:
            TimeoutError: None is free by ``deadline_s``, or none opens in `CONNECT_TIMEOUT_S`.
        """
        if self._slots.locked():
            async with asyncio.timeout_at(deadline_s):
                await self._slots.acquire()
        else:
            await self._slots.acquire()
        try:
            while self._idle:
                connection = self._idle.pop()
                if connection.is_open:
                    return connection
                self._connections.discard(connection)
            return await self._connect(deadline_s)
        except BaseException:
            self._slots.release()
            raise

    async def _connect(self, deadline_s: float) -> Connection:
        host, _, port = self._address.rpartition(":")
        generation = self._generation
        loop = asyncio.get_running_loop()
        async with asyncio.timeout_at(min(deadline_s, loop.time() + CONNECT_TIMEOUT_S)):
            _, connection = await loop.create_connection(
                lambda: Connection(generation=generation), host, int(port)
            )
        self._connections.add(connection)
        return connection

    def _release(self, connection: Connection) -> None:
        self._slots.release()
        if connection.is_open and connection.generation == self._generation:
            connection.idle_since_s = asyncio.get_running_loop().time()
            self._idle.append(connection)
            self._schedule_purge()
            return
        connection.close()
        self._connections.discard(connection)

    def _retire_connections(self) -> None:
        self._generation += 1
        for connection in self._idle:
            connection.close()
            self._connections.discard(connection)
        self._idle.clear()

    def _schedule_purge(self) -> None:
        if self._purge_timer is None:
            loop = asyncio.get_running_loop()
            self._purge_timer = loop.call_later(IDLE_TIMEOUT_S, self._purge_idle)

    def _purge_idle(self) -> None:
        self._purge_timer = None
        unused_since_s = asyncio.get_running_loop().time() - IDLE_TIMEOUT_S
        for connection in [idle for idle in self._idle if idle.idle_since_s <= unused_since_s]:
            connection.close()
            self._idle.remove(connection)
            self._connections.discard(connection)
        if self._idle:
            self._schedule_purge()


def _no_answer(error: Exception, *, is_unsent: bool) -> HttpNoAnswer:
    return HttpNoAnswer(is_unsent=is_unsent, detail=repr(error)[:MAX_DETAIL_CHARACTERS])


def _decode(raw: bytes) -> dict[str, Any]:
    if not raw:
        return {}
    decoded = load_json(raw)
    return decoded if isinstance(decoded, dict) else {}


async def close_all(clients: list[HttpClient]) -> None:
    """Close several clients."""
    await asyncio.gather(*(client.close() for client in clients))
