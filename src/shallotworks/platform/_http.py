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

CONNECT_S = 0.4
"""Time for a connection: one way takes 1 to 12 ms, and a lost opening packet is sent again after a
second, by which time another try is better."""
MOST_CONNECTIONS = 24
"""Connections to one address."""
IDLE_S = 20.0
MOST_DETAIL_CHARACTERS = 160

_UNSAFE = re.compile(r"[\x00-\x20\x7f]")
_UNSAFE_VALUE = re.compile(r"[\x00-\x1f\x7f]")


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

    __slots__ = ("_address", "_all", "_generation", "_idle", "_purge", "_slots")

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._generation = 0
        """Rises with each call that timed out; connections of earlier ones are not used again."""
        self._idle: list[Connection] = []
        """The one used last at the end."""
        self._all: set[Connection] = set()
        self._slots = asyncio.Semaphore(MOST_CONNECTIONS)
        self._purge: asyncio.TimerHandle | None = None

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        silence_s: float | None = None,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpAnswer | HttpNoAnswer:
        """Make one call; never repeated here.

        Args:
            method: HTTP method.
            path: Path and query.
            timeout_s: Time for the whole call.
            silence_s: The longest time without a byte of the answer; ``None`` for no such limit.
            body: Sent as JSON.
            headers: Further headers.
        """
        ends_s = asyncio.get_running_loop().time() + timeout_s
        try:
            request = self._encode(method, path, body, headers)
            connection = await self._connected(ends_s)
        except TimeoutError:
            return HttpNoAnswer(is_unsent=True, detail="no connection in time")
        except (OSError, ValueError) as error:
            return _lost(error, is_unsent=True)
        try:
            status, raw = await connection.exchange(request, ends_s=ends_s, silence_s=silence_s)
            return HttpAnswer(status=status, body=_decode(raw))
        except TimeoutError:
            self._renew()
            return HttpNoAnswer(
                is_unsent=False, detail=f"no answer in {silence_s or timeout_s:.2f} s"
            )
        except (ConnectionLostError, ValueError) as error:
            return _lost(error, is_unsent=False)
        finally:
            self._release(connection)

    async def close(self) -> None:
        """Close all connections; calls that are under way end without an answer."""
        if self._purge is not None:
            self._purge.cancel()
            self._purge = None
        self._idle.clear()
        for connection in list(self._all):
            connection.close()
        self._all.clear()

    def _encode(
        self, method: str, path: str, body: dict[str, Any] | None, headers: dict[str, str] | None
    ) -> bytes:
        """Return a request's bytes; `ValueError` where a part would break out of its line."""
        if _UNSAFE.search(path):
            raise ValueError("a path with a blank or a control character")
        lines = [f"{method} {path} HTTP/1.1\r\n"]
        for name, value in ({"Host": self._address} | (headers or {})).items():
            if _UNSAFE_VALUE.search(value):
                raise ValueError("a header with a control character")
            lines.append(f"{name}: {value}\r\n")
        if body is None:
            lines.append("Content-Length: 0\r\n\r\n" if method != "GET" else "\r\n")
            return "".join(lines).encode("latin-1")
        data = dump_json(body)
        lines.append(f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n")
        return "".join(lines).encode("latin-1") + data

    # ---- connections

    async def _connected(self, ends_s: float) -> Connection:
        """Return a connection that this call has to itself until `_release`.

        Raises:
            TimeoutError: There is none by ``ends_s``, or none that comes about in `CONNECT_S`.
        """
        if self._slots.locked():
            async with asyncio.timeout_at(ends_s):
                await self._slots.acquire()
        else:
            await self._slots.acquire()
        try:
            while self._idle:
                connection = self._idle.pop()
                if connection.is_open:
                    return connection
                self._all.discard(connection)
            return await self._connect(ends_s)
        except BaseException:
            self._slots.release()
            raise

    async def _connect(self, ends_s: float) -> Connection:
        host, _, port = self._address.rpartition(":")
        generation = self._generation
        loop = asyncio.get_running_loop()
        async with asyncio.timeout_at(min(ends_s, loop.time() + CONNECT_S)):
            _, connection = await loop.create_connection(
                lambda: Connection(generation=generation), host, int(port)
            )
        self._all.add(connection)
        return connection

    def _release(self, connection: Connection) -> None:
        self._slots.release()
        if connection.is_open and connection.generation == self._generation:
            connection.idle_since_s = asyncio.get_running_loop().time()
            self._idle.append(connection)
            self._purge_later()
            return
        connection.close()
        self._all.discard(connection)

    def _renew(self) -> None:
        self._generation += 1
        for connection in self._idle:
            connection.close()
            self._all.discard(connection)
        self._idle.clear()

    def _purge_later(self) -> None:
        if self._purge is None:
            loop = asyncio.get_running_loop()
            self._purge = loop.call_later(IDLE_S, self._close_idle)

    def _close_idle(self) -> None:
        self._purge = None
        before_s = asyncio.get_running_loop().time() - IDLE_S
        for connection in [one for one in self._idle if one.idle_since_s <= before_s]:
            connection.close()
            self._idle.remove(connection)
            self._all.discard(connection)
        if self._idle:
            self._purge_later()


def _lost(error: Exception, *, is_unsent: bool) -> HttpNoAnswer:
    return HttpNoAnswer(is_unsent=is_unsent, detail=repr(error)[:MOST_DETAIL_CHARACTERS])


def _decode(raw: bytes) -> dict[str, Any]:
    if not raw:
        return {}
    decoded = load_json(raw)
    return decoded if isinstance(decoded, dict) else {}


async def close_all(clients: list[HttpClient]) -> None:
    """Close several clients."""
    await asyncio.gather(*(client.close() for client in clients))
