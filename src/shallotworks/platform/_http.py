"""HTTP client for the platform's services and for workers.

It is used instead of urllib3, with which other parts of the product make their calls: a poll waits
a second at the worker, so that 172 workers would occupy 172 threads, whereas on the event loop each
poll takes only a future.
`httptools` parses the answers.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

from shallotworks.json_codec import dump_json, load_json

from ._http_connection import Connection, ConnectionLostError

__all__ = ["Handshake", "HttpAnswer", "HttpClient", "HttpNoAnswer", "Recipient"]

CONNECT_TIMEOUT_S = 0.4
"""Time for opening a connection: one way takes 1 to 12 ms, and a lost SYN packet is retransmitted
after a second, by which time another attempt is better."""
MAX_CONNECTIONS = 24
"""Open connections to one address at most."""
IDLE_TIMEOUT_S = 20.0
MAX_DETAIL_CHARACTERS = 160

_UNSAFE_IN_PATH = re.compile(r"[\x00-\x20\x7f]")
_UNSAFE_IN_HEADER = re.compile(r"[\x00-\x1f\x7f]")


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpAnswer:
    """A complete answer.

    Args:
        status: HTTP status.
        body: The decoded JSON object; empty if the body is empty or no object.
    """

    status: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpNoAnswer:
    """A call without a complete answer.

    Args:
        is_unsent: Whether it is certain that no byte of the request reached the server.
        is_refused: Whether nobody listened at the address when a connection was to be opened.
        detail: Description of the error.
        handshake_answer: The answer to the handshake, if it did not identify the recipient, so that
            the request was not sent.
    """

    is_unsent: bool
    is_refused: bool = False
    detail: str
    handshake_answer: HttpAnswer | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Handshake:
    """A POST request whose answer identifies the process, and that any process may carry out.

    Args:
        path: Path.
        body: JSON object to send.
    """

    path: str
    body: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Recipient:
    """The process that a call is meant for, among those that serve one address in turn.

    A connection belongs to the process that accepted it. What is sent over a connection on which
    the recipient has identified itself therefore never reaches another process, however late it
    arrives.

    Args:
        process: Identifies the recipient.
        identify: Returns which process gave an answer; ``None`` if the answer does not say.
        handshake: Sent first over a connection whose process is not known. ``None`` for a call that
            any process may carry out; its answer identifies the process.
    """

    process: Hashable
    identify: Callable[[HttpAnswer], Hashable | None]
    handshake: Handshake | None


class HttpClient:
    """Calls one address over a pool of persistent connections.

    The failure it guards against: connections that stop delivering data without an error. After a
    call timed out, no other call is sent over the connections that were open then; they are closed
    once the calls on them have ended.

    Args:
        address: ``ip:port``.
    """

    __slots__ = ("_address", "_connections", "_generation", "_idle", "_purge_timer", "_slots")

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._generation = 0
        """Rises with each call that times out; connections of earlier generations aren't reused."""
        self._idle: list[Connection] = []
        """The most recently used connection is the last."""
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
        recipient: Recipient | None = None,
    ) -> HttpAnswer | HttpNoAnswer:
        """Send one request, without retries.

        Args:
            method: HTTP method.
            path: Path and query.
            timeout_s: Longest time for the whole call.
            read_timeout_s: Longest time without a byte of the answer; ``None`` for no limit.
            body: JSON object to send.
            headers: Additional headers, also of the handshake.
            recipient: The process that the call is meant for; ``None`` if any may carry it out.

        Returns:
            The answer, or why there is none and whether the request may have been sent.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        try:
            request = self._encode(method, path, body, headers)
            handshake = self._encode_handshake(recipient, headers)
            connection = await self._acquire(deadline_s, recipient)
        except TimeoutError:
            return HttpNoAnswer(is_unsent=True, detail="no connection before the deadline")
        except ConnectionRefusedError as error:
            return _no_answer(error, is_unsent=True, is_refused=True)
        except (OSError, ValueError) as error:
            return _no_answer(error, is_unsent=True)
        is_unsent = True
        try:
            if recipient and handshake and connection.process != recipient.process:
                answer = await _exchange(connection, handshake, recipient, deadline_s, None)
                if connection.process != recipient.process:
                    connection.close()
                    return HttpNoAnswer(
                        is_unsent=True,
                        detail=f"the handshake did not identify {recipient.process}",
                        handshake_answer=answer,
                    )
            is_unsent = False
            return await _exchange(connection, request, recipient, deadline_s, read_timeout_s)
        except TimeoutError:
            self._retire_connections()
            return HttpNoAnswer(
                is_unsent=is_unsent, detail=f"no answer within {read_timeout_s or timeout_s:.2f} s"
            )
        except (ConnectionLostError, ValueError) as error:
            return _no_answer(error, is_unsent=is_unsent)
        finally:
            self._release(connection)

    async def close(self) -> None:
        """Close all connections; calls in progress end without an answer."""
        if self._purge_timer is not None:
            self._purge_timer.cancel()
            self._purge_timer = None
        self._idle.clear()
        for connection in list(self._connections):
            connection.close()
        self._connections.clear()

    def _encode_handshake(
        self, recipient: Recipient | None, headers: dict[str, str] | None
    ) -> bytes | None:
        if recipient is None or recipient.handshake is None:
            return None
        return self._encode("POST", recipient.handshake.path, recipient.handshake.body, headers)

    def _encode(
        self, method: str, path: str, body: dict[str, Any] | None, headers: dict[str, str] | None
    ) -> bytes:
        """Return a request's bytes.

        Raises:
            ValueError: The path or a header holds a character that would end its line.
        """
        if _UNSAFE_IN_PATH.search(path):
            raise ValueError("the path contains a space or a control character")
        lines = [f"{method} {path} HTTP/1.1\r\n"]
        for name, value in ({"Host": self._address} | (headers or {})).items():
            if _UNSAFE_IN_HEADER.search(value):
                raise ValueError("a header contains a control character")
            lines.append(f"{name}: {value}\r\n")
        if body is None:
            lines.append("Content-Length: 0\r\n\r\n" if method != "GET" else "\r\n")
            return "".join(lines).encode("latin-1")
        data = dump_json(body)
        lines.append(f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n")
        return "".join(lines).encode("latin-1") + data

    # ---- connections

    async def _acquire(self, deadline_s: float, recipient: Recipient | None) -> Connection:
        """Return a connection for the exclusive use of this call until `_release`.

        It is not known to be one to another process than the recipient.

        Raises:
            TimeoutError: No connection is free by ``deadline_s``, or none opens within
                `CONNECT_TIMEOUT_S`.
        """
        if self._slots.locked():
            async with asyncio.timeout_at(deadline_s):
                await self._slots.acquire()
        else:
            await self._slots.acquire()
        try:
            return self._take_idle(recipient) or await self._connect(deadline_s)
        except BaseException:
            self._slots.release()
            raise

    def _take_idle(self, recipient: Recipient | None) -> Connection | None:
        for connection in reversed(self._idle.copy()):
            if not connection.is_open:
                self._idle.remove(connection)
                self._connections.discard(connection)
            elif recipient is None or connection.process in (None, recipient.process):
                self._idle.remove(connection)
                return connection
        return None

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


async def _exchange(
    connection: Connection,
    request: bytes,
    recipient: Recipient | None,
    deadline_s: float,
    read_timeout_s: float | None,
) -> HttpAnswer:
    """Send a request, and note which process the answer identifies."""
    status, raw = await connection.exchange(
        request, deadline_s=deadline_s, read_timeout_s=read_timeout_s
    )
    answer = HttpAnswer(status=status, body=_decode(raw))
    if recipient is not None:
        connection.process = recipient.identify(answer) or connection.process
    return answer


def _no_answer(error: Exception, *, is_unsent: bool, is_refused: bool = False) -> HttpNoAnswer:
    detail = repr(error)[:MAX_DETAIL_CHARACTERS]
    return HttpNoAnswer(is_unsent=is_unsent, is_refused=is_refused, detail=detail)


def _decode(raw: bytes) -> dict[str, Any]:
    if not raw:
        return {}
    decoded = load_json(raw)
    return decoded if isinstance(decoded, dict) else {}


async def close_all(clients: list[HttpClient]) -> None:
    """Close several clients."""
    await asyncio.gather(*(client.close() for client in clients))
