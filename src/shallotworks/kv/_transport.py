"""Blocking HTTP requests to one address, on a bounded number of threads."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any, ClassVar
from weakref import WeakSet

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError, ReadTimeoutError

__all__ = ["ExchangeOutcome", "ExchangeResult", "HttpRequest", "HttpTransport"]

MAX_CONNECTION_AGE_S = 60.0
"""Age at which connections are replaced, so that few of them can have stopped carrying data
unnoticed."""
MIN_TIMEOUT_S = 0.001
DEADLINE_GRACE_S = 0.02
"""Time after a request's timeout at which a slow answer is abandoned. The library's timeout applies
to each read of the socket, so that an answer that arrives in small pieces could exceed it."""


@unique
class ExchangeOutcome(Enum):
    """How one request ended."""

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    """No byte of the request left this process."""
    BROKEN = "broken"
    """The request was sent, and the connection ended without a complete answer."""
    TIMED_OUT = "timed-out"
    """The request was sent, and no complete answer arrived in time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """One request.

    Args:
        method: HTTP method.
        path: Path and query.
        body: The complete body.
        timeout_s: Time for connecting, sending and receiving the answer.
    """

    method: str
    path: str
    timeout_s: float
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeResult:
    """Result of one request.

    Args:
        outcome: How the request ended.
        status: HTTP status, if the request was answered.
        body: The complete body, if the request was answered.
        detail: Error text, if the request was not answered.
    """

    outcome: ExchangeOutcome
    status: int = 0
    body: bytes = b""
    detail: str = ""


class _TrackedConnection(HTTPConnection):
    """A connection that is recorded, so that the transport can shut it down when it closes."""

    alive: ClassVar[WeakSet[HTTPConnection]]

    def connect(self) -> None:
        super().connect()
        self.alive.add(self)


class HttpTransport:
    """Sends requests to one address from its own thread pool.

    Args:
        address: ``ip:port``.
        threads: Requests in flight at once; further ones wait on the event loop.
        name: Prefix of the names of the threads.
    """

    __slots__ = (
        "_address",
        "_alive",
        "_connection_class",
        "_executor",
        "_free_threads",
        "_pool",
        "_pool_made_at_s",
        "_threads",
        "connections_dropped",
    )

    def __init__(self, *, address: str, threads: int, name: str) -> None:
        self._address = address
        self._threads = threads
        self._alive: WeakSet[HTTPConnection] = WeakSet()
        self._connection_class = type("Tracked", (_TrackedConnection,), {"alive": self._alive})
        self._executor = ThreadPoolExecutor(max_workers=threads, thread_name_prefix=name)
        self._free_threads = asyncio.Semaphore(threads)
        self._pool = self._new_pool()
        self._pool_made_at_s = 0.0
        self.connections_dropped = 0

    async def exchange(self, request: HttpRequest) -> ExchangeResult:
        """Send one request and wait for its answer, on one of the threads.

        The wait for a free thread counts against the request's timeout. If none becomes free in
        time, the result is `ExchangeOutcome.NOT_SENT`.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            async with asyncio.timeout(request.timeout_s):
                await self._free_threads.acquire()
        except TimeoutError:
            return ExchangeResult(
                outcome=ExchangeOutcome.NOT_SENT, detail="no thread was free in time"
            )
        self._replace_aged_pool(loop.time())
        pool = self._pool
        left_s = max(MIN_TIMEOUT_S, started_s + request.timeout_s - loop.time())
        sending = loop.run_in_executor(self._executor, _send, pool, request, left_s)
        # The semaphore is released when the thread is free, even if the caller no longer waits.
        sending.add_done_callback(lambda _: self._free_threads.release())
        ends_at_s = loop.time() + left_s + DEADLINE_GRACE_S
        try:
            async with asyncio.timeout_at(ends_at_s):
                exchange = await asyncio.shield(sending)
        except TimeoutError:
            exchange = ExchangeResult(
                outcome=ExchangeOutcome.TIMED_OUT, detail="the answer was not whole in time"
            )
        if exchange.outcome in (ExchangeOutcome.TIMED_OUT, ExchangeOutcome.BROKEN):
            self._drop_connections(pool)
        return exchange

    def close(self) -> None:
        """Shut down every connection, also those that wait for an answer, and end the threads."""
        self._pool.close()
        for connection in list(self._alive):
            if connection.sock is not None:
                with contextlib.suppress(OSError):
                    connection.sock.shutdown(socket.SHUT_RDWR)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _drop_connections(self, suspect: urllib3.HTTPConnectionPool) -> None:
        """Replace the connection pool after a request on one of its connections failed.

        A device on the network path, such as a firewall, can lose its state of open connections.
        These then never carry another byte, while new connections work, and each request on one of
        them times out. Dropping all idle connections at the first failure costs one timeout
        instead of one for each connection.
        """
        if suspect is not self._pool:
            return
        self.connections_dropped += 1
        self._pool = self._new_pool()
        self._pool_made_at_s = asyncio.get_running_loop().time()
        suspect.close()

    def _replace_aged_pool(self, now_s: float) -> None:
        if now_s - self._pool_made_at_s < MAX_CONNECTION_AGE_S:
            return
        aged = self._pool
        self._pool = self._new_pool()
        self._pool_made_at_s = now_s
        aged.close()

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        pool = urllib3.connection_from_url(f"http://{self._address}", maxsize=self._threads)
        pool.ConnectionCls = self._connection_class
        return pool


def _send(
    pool: urllib3.HTTPConnectionPool, request: HttpRequest, timeout_s: float
) -> ExchangeResult:
    timeout = urllib3.Timeout(total=timeout_s)
    headers = {"Content-Type": "application/json"} if request.body else {}
    try:
        answer: Any = pool.request(
            request.method,
            request.path,
            body=request.body or None,
            headers=headers,
            timeout=timeout,
            retries=False,
            redirect=False,
        )
    except (NewConnectionError, ConnectTimeoutError) as error:
        return ExchangeResult(outcome=ExchangeOutcome.NOT_SENT, detail=str(error))
    except ReadTimeoutError as error:
        return ExchangeResult(outcome=ExchangeOutcome.TIMED_OUT, detail=str(error))
    except (HTTPError, OSError) as error:
        return ExchangeResult(outcome=ExchangeOutcome.BROKEN, detail=str(error))
    return ExchangeResult(outcome=ExchangeOutcome.ANSWERED, status=answer.status, body=answer.data)
