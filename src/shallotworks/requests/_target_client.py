"""One attempt at one target over HTTP/1.1."""

from __future__ import annotations

import socket
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from http.client import HTTPException
from typing import Protocol

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from ._messages import AttemptOutcome, Request, Response, Target
from .headers import ATTEMPT, HOP_BY_HOP, RAN, REQUEST_ID

__all__ = ["AttemptResult", "TargetClient", "TargetClientLimits", "HttpTargetClient"]

READ_CHUNK_MAX_BYTES = 64 * 1024
SERVER_ERROR_STATUS = 500
TIMEOUT_REARM_INTERVAL_S = 0.05
"""Time by which an attempt may exceed its timeout if the target sends data slowly."""
UNCHECKED_IDLE_AGE_S = 0.1
"""Idle time up to which a connection is not checked before use for an idempotent request."""

_SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    # If a device on the network path has dropped the state of a connection, keepalive probes get
    # no answer either. The kernel then closes the connection, in use or idle, within
    # KEEPIDLE + KEEPINTVL * KEEPCNT = 11 s.
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 10_000),
]


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetClientLimits:
    """Limits of one attempt.

    Args:
        connect_timeout_s: Maximum wait for a connection.
        attempt_timeout_s: Maximum duration of an attempt, including the time to connect.
        idle_connection_age_s: A connection that was idle for longer is not reused.
        non_idempotent_idle_age_s: The same for a non-idempotent request: the target may close an
            idle connection just as a request is sent, and such a request can't be sent again.
        idle_connections: Maximum number of idle connections kept per target.
        answer_limit_bytes: Maximum size of an answer's body.
    """

    connect_timeout_s: float = 1.0
    attempt_timeout_s: float = 10.0
    idle_connection_age_s: float = 5.0
    non_idempotent_idle_age_s: float = 1.0
    idle_connections: int = 64
    answer_limit_bytes: int = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """Result of an attempt.

    Args:
        outcome: Outcome of the attempt.
        response: The complete answer, for ``ANSWERED`` and ``TARGET_ERROR``.
        detail: Description of the error, for the timeline and for failures.
    """

    outcome: AttemptOutcome
    response: Response | None = None
    detail: str = ""


class TargetClient(Protocol):
    """Makes attempts at targets; called on the thread that serves the caller."""

    def send(
        self, target: Target, request: Request, *, attempt: int, timeout_s: float
    ) -> AttemptResult:
        """Make one attempt and wait for its result for `timeout_s` at most."""
        ...

    def close(self) -> None:
        """Close all idle connections."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class _IdleConnection:
    connection: HTTPConnection
    idle_since_s: float
    generation: int


class _ConnectionPool:
    """Idle connections to one target, the most recently used last.

    Callers' threads take and return connections without a lock: appending to a deque and popping
    from it are each atomic. A lock held during the check of a socket costs two fifths of the
    throughput, since that check releases the interpreter lock while this lock is held.

    A connection can stop carrying data while new ones work, for example because a device between
    the two ends has dropped its state. This shows as a request that was sent and never answered.
    All connections opened before that are then suspect: the generation is incremented, and no
    connection of an older generation is reused. The next request opens a new connection and thereby
    tests the target.
    """

    __slots__ = ("generation", "idle")

    def __init__(self) -> None:
        self.generation = 0
        self.idle: deque[_IdleConnection] = deque()

    def pop(self) -> _IdleConnection | None:
        """Remove and return the most recently used connection; ``None`` if none is idle."""
        try:
            return self.idle.pop()
        except IndexError:
            return None

    def drop_all(self) -> None:
        """Close all idle connections."""
        while (entry := self.pop()) is not None:
            entry.connection.close()


class HttpTargetClient:
    """Makes attempts over persistent HTTP/1.1 connections, pooled per target.

    Args:
        limits: Limits of one attempt.
    """

    __slots__ = ("_limits", "_pools")

    def __init__(self, *, limits: TargetClientLimits) -> None:
        self._limits = limits
        self._pools: dict[str, _ConnectionPool] = {}

    def send(
        self, target: Target, request: Request, *, attempt: int, timeout_s: float
    ) -> AttemptResult:
        """Make one attempt and wait for its result for `timeout_s` at most."""
        ends_at_s = time.monotonic() + min(timeout_s, self._limits.attempt_timeout_s)
        pool = self._pools.setdefault(target.address, _ConnectionPool())
        generation = pool.generation
        connection = self._take_idle(pool, idempotent=request.idempotent) or self._open(
            target.address, ends_at_s
        )
        if connection is None:
            return AttemptResult(
                outcome=AttemptOutcome.NOT_SENT, detail=f"can't connect to {target.address}"
            )
        result, reusable = self._exchange(connection, request, attempt, ends_at_s)
        if reusable:
            self._return_connection(pool, connection, generation)
        else:
            connection.close()
        if result.outcome is AttemptOutcome.TIMED_OUT:
            pool.generation += 1
            pool.drop_all()
        return result

    def close(self) -> None:
        """Close all idle connections."""
        self.drop_connections(frozenset(self._pools))

    def drop_connections(self, addresses: frozenset[str]) -> None:
        """Close the idle connections to targets that were removed."""
        for address in addresses:
            pool = self._pools.pop(address, None)
            if pool is not None:
                pool.drop_all()

    def _take_idle(self, pool: _ConnectionPool, *, idempotent: bool) -> HTTPConnection | None:
        max_idle_s = self._limits.non_idempotent_idle_age_s
        if idempotent:
            max_idle_s = self._limits.idle_connection_age_s
        now_s = time.monotonic()
        while True:
            entry = pool.pop()
            if entry is None:
                return None
            usable = (
                entry.generation == pool.generation and entry.idle_since_s >= now_s - max_idle_s
            )
            recently_used = idempotent and entry.idle_since_s >= now_s - UNCHECKED_IDLE_AGE_S
            if usable and (recently_used or entry.connection.is_connected):
                return entry.connection
            entry.connection.close()

    def _open(self, address: str, ends_at_s: float) -> HTTPConnection | None:
        host, _, port = address.rpartition(":")
        timeout_s = min(self._limits.connect_timeout_s, ends_at_s - time.monotonic())
        if timeout_s <= 0:
            return None
        connection = HTTPConnection(
            host, int(port), timeout=timeout_s, socket_options=_SOCKET_OPTIONS
        )
        try:
            connection.connect()
        except (HTTPError, OSError):
            connection.close()
            return None
        return connection

    def _exchange(
        self, connection: HTTPConnection, request: Request, attempt: int, ends_at_s: float
    ) -> tuple[AttemptResult, bool]:
        """Send the request and read the answer; also return whether the connection is reusable."""
        try:
            _set_read_timeout(connection, ends_at_s)
            connection.request(
                request.method,
                request.path,
                body=request.body or None,
                headers=_request_headers(request, attempt),
                preload_content=False,
                decode_content=False,
            )
            answer = connection.getresponse()
            body = self._read_whole(connection, answer, ends_at_s)
        except TimeoutError as error:
            return _failed_result(AttemptOutcome.TIMED_OUT, error), False
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            outcome = AttemptOutcome.BROKEN
            if time.monotonic() >= ends_at_s:
                outcome = AttemptOutcome.TIMED_OUT
            return _failed_result(outcome, error), False
        return self._validate_answer(answer, body, request, attempt)

    def _read_whole(
        self, connection: HTTPConnection, answer: HTTPResponse, ends_at_s: float
    ) -> bytes:
        """Read the body to its declared end.

        Raises:
            ValueError: The answer declares no end, so a truncated one can't be detected, or it
                exceeds the size limit.
        """
        has_stated_end = "Content-Length" in answer.headers or answer.chunked
        if not has_stated_end:
            raise ValueError("the answer states neither length nor chunks")
        chunks: list[bytes] = []
        total_bytes = 0
        # The socket timeout applies to each read, so a target that sends data slowly could exceed
        # the deadline unless the timeout is set again. That costs a system call, so it is done at
        # intervals and not for each read.
        rearm_at_s = time.monotonic() + TIMEOUT_REARM_INTERVAL_S
        while True:
            if time.monotonic() > rearm_at_s:
                rearm_at_s = _set_read_timeout(connection, ends_at_s)
            chunk = answer.read1(READ_CHUNK_MAX_BYTES)
            if not chunk:
                return b"".join(chunks)
            chunks.append(chunk)
            total_bytes += len(chunk)
            if total_bytes > self._limits.answer_limit_bytes:
                raise ValueError("the answer is longer than allowed")

    def _validate_answer(
        self, answer: HTTPResponse, body: bytes, request: Request, attempt: int
    ) -> tuple[AttemptResult, bool]:
        """Accept only an answer that echoes this request's id and attempt number.

        A late answer to an earlier attempt or to another caller may arrive on this connection; its
        echoed headers then differ. The connection is closed in that case, so later answers on it
        can't be mistaken either.
        """
        echoed = (answer.headers.get(REQUEST_ID), answer.headers.get(ATTEMPT))
        if echoed != (request.request_id, str(attempt)):
            detail = "the answer belongs to another request"
            return AttemptResult(outcome=AttemptOutcome.BROKEN, detail=detail), False
        reusable = answer.headers.get("Connection", "").lower() != "close"
        if answer.headers.get(RAN) == "no":
            return AttemptResult(outcome=AttemptOutcome.REFUSED, detail="refused"), reusable
        outcome = AttemptOutcome.ANSWERED
        if answer.status >= SERVER_ERROR_STATUS:
            outcome = AttemptOutcome.TARGET_ERROR
        response = Response(
            status=answer.status, headers=_response_headers(answer.headers), body=body
        )
        return AttemptResult(outcome=outcome, response=response), reusable

    def _return_connection(
        self, pool: _ConnectionPool, connection: HTTPConnection, generation: int
    ) -> None:
        if pool.generation != generation or len(pool.idle) >= self._limits.idle_connections:
            connection.close()
            return
        pool.idle.append(
            _IdleConnection(
                connection=connection, idle_since_s=time.monotonic(), generation=generation
            )
        )


def _set_read_timeout(connection: HTTPConnection, ends_at_s: float) -> float:
    """Set the socket timeout to the time left; return when to set it again.

    Raises:
        TimeoutError: No time is left.
    """
    now_s = time.monotonic()
    remaining_s = ends_at_s - now_s
    if remaining_s <= 0:
        raise TimeoutError("the attempt's time is over")
    connection.timeout = remaining_s
    if connection.sock is not None:
        connection.sock.settimeout(remaining_s)
    return now_s + TIMEOUT_REARM_INTERVAL_S


def _failed_result(outcome: AttemptOutcome, error: Exception) -> AttemptResult:
    return AttemptResult(outcome=outcome, detail=f"{type(error).__name__}: {error}")


def _request_headers(request: Request, attempt: int) -> dict[str, str]:
    headers = dict(request.headers)
    headers[REQUEST_ID] = request.request_id
    headers[ATTEMPT] = str(attempt)
    return headers


def _response_headers(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    dropped = HOP_BY_HOP | {REQUEST_ID.lower(), ATTEMPT.lower()}
    return tuple((name, value) for name, value in headers.items() if name.lower() not in dropped)
