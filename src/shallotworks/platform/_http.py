"""One HTTP client for everything that the platform's side serves.

aiohttp stands for the house's urllib3 here: a look at a worker waits a second at the worker, so
that 172 workers would hold 172 threads; on the loop each costs a task.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any

import aiohttp

__all__ = ["HttpAnswer", "HttpClient", "HttpLost"]

CONNECT_S = 0.4
"""Time for a connection: one way takes 1 to 12 ms, and a lost opening packet is sent again after a
second, by which time another try is better."""
MOST_CONNECTIONS = 24
"""Connections to one address."""
IDLE_S = 20.0


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
class HttpLost:
    """No answer came.

    Args:
        is_unsent: Surely no byte of the request reached the other side.
        detail: What the library said.
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

    __slots__ = ("_address", "_in_flight", "_session")

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._session: aiohttp.ClientSession | None = None
        self._in_flight: dict[aiohttp.ClientSession, int] = {}

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        silence_s: float | None = None,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpAnswer | HttpLost:
        """Make one call; never repeated here.

        Args:
            method: HTTP method.
            path: Path and query.
            timeout_s: Time for the whole call.
            silence_s: The longest time without a byte of the answer; ``None`` for no such limit.
            body: Sent as JSON.
            headers: Further headers.
        """
        session = self._current()
        self._in_flight[session] += 1
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=min(CONNECT_S, timeout_s), sock_read=silence_s
        )
        try:
            return await self._exchange(session, method, path, timeout, body, headers)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return HttpLost(is_unsent=True, detail=repr(error)[:160])
        except TimeoutError:
            self._renew(session)
            return HttpLost(is_unsent=False, detail=f"no answer in {silence_s or timeout_s:.2f} s")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return HttpLost(is_unsent=False, detail=repr(error)[:160])
        finally:
            if session in self._in_flight:
                self._in_flight[session] -= 1
                await self._close_unused()

    async def close(self) -> None:
        """Close all connections."""
        self._session = None
        for session in list(self._in_flight):
            await session.close()
        self._in_flight.clear()

    def _current(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=MOST_CONNECTIONS, keepalive_timeout=IDLE_S, use_dns_cache=False
            )
            self._session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False
            )
            self._in_flight[self._session] = 0
        return self._session

    def _renew(self, session: aiohttp.ClientSession) -> None:
        if self._session is session:
            self._session = None

    async def _close_unused(self) -> None:
        for session, count in list(self._in_flight.items()):
            if count == 0 and session is not self._session:
                del self._in_flight[session]
                await session.close()

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        timeout: aiohttp.ClientTimeout,
        body: dict[str, Any] | None,
        headers: dict[str, str] | None,
    ) -> HttpAnswer:
        data = None
        sent = dict(headers or {})
        if body is not None:
            data = json.dumps(body, separators=(",", ":")).encode()
            sent["Content-Type"] = "application/json"
        async with session.request(
            method,
            f"http://{self._address}{path}",
            data=data,
            headers=sent,
            allow_redirects=False,
            timeout=timeout,
        ) as response:
            raw = await response.read()
            return HttpAnswer(status=response.status, body=_decode(raw))


def _decode(raw: bytes) -> dict[str, Any]:
    if not raw:
        return {}
    try:
        decoded = json.loads(raw)
    except RecursionError as error:
        raise ValueError("an answer that is nested too deep") from error
    return decoded if isinstance(decoded, dict) else {}


async def close_all(clients: list[HttpClient]) -> None:
    """Close several clients."""
    await asyncio.gather(*(client.close() for client in clients))
