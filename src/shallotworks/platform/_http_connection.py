"""One HTTP/1.1 connection: a request out, its whole answer back, one after the other."""

from __future__ import annotations

import asyncio

import httptools

__all__ = ["Connection", "ConnectionLostError"]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Longer answers are not taken: the longest that the platform sends hold 1 MB of values."""


class ConnectionLostError(Exception):
    """The connection ended, or sent what is no answer, before a whole answer had come."""


class Connection(asyncio.Protocol):
    """A connection, used by one exchange at a time.

    Args:
        generation: Which connections of its client it belongs to.
    """

    __slots__ = (
        "_answer",
        "_body",
        "_deadline_s",
        "_deadline_timer",
        "_has_headers",
        "_has_length",
        "_last_byte_s",
        "_loop",
        "_parser",
        "_read_timeout_s",
        "_received_bytes",
        "_transport",
        "generation",
        "idle_since_s",
    )

    def __init__(self, *, generation: int) -> None:
        self.generation = generation
        self.idle_since_s = 0.0
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[tuple[int, bytes]] | None = None
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body: list[bytes] = []
        self._received_bytes = 0
        self._has_length = False
        self._has_headers = False
        self._deadline_s = 0.0
        self._last_byte_s = 0.0
        self._read_timeout_s: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether a further request may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Close it; an exchange under way ends without an answer."""
        if self._transport is not None:
            self._transport.abort()
        self._fail(ConnectionLostError("closed here"))

    async def exchange(
        self, request: bytes, *, deadline_s: float, read_timeout_s: float | None
    ) -> tuple[int, bytes]:
        """Send a request and return the answer's status and body.

        Args:
            request: All its bytes.
            deadline_s: The loop's time at which the exchange is given up.
            read_timeout_s: Longest time without a byte of the answer; ``None`` for no limit.

        Raises:
            TimeoutError: No whole answer came in time; the connection is closed.
            ConnectionLostError: The connection ended or sent what is no answer.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise ConnectionLostError("closed by the other side")
        answer: asyncio.Future[tuple[int, bytes]] = self._loop.create_future()
        self._answer = answer
        # After the future is there: a time that has run out already ends it, or nothing would.
        self._start_exchange(deadline_s, read_timeout_s)
        transport.write(request)
        try:
            return await answer
        except BaseException:
            # Whatever comes now belongs to this request, and would be taken for the next one's.
            transport.abort()
            raise
        finally:
            self._answer = None
            if self._deadline_timer is not None:
                self._deadline_timer.cancel()
                self._deadline_timer = None

    def _start_exchange(self, deadline_s: float, read_timeout_s: float | None) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = []
        self._received_bytes = 0
        self._has_length = self._has_headers = False
        self._deadline_s, self._read_timeout_s = deadline_s, read_timeout_s
        self._last_byte_s = self._loop.time()
        self._check_deadline()

    def _check_deadline(self) -> None:
        """Give the exchange up once its time is over, or once nothing was heard for too long."""
        expires_s = self._deadline_s
        if self._read_timeout_s is not None:
            expires_s = min(expires_s, self._last_byte_s + self._read_timeout_s)
        if expires_s <= self._loop.time():
            self._fail(TimeoutError())
        else:
            self._deadline_timer = self._loop.call_at(expires_s, self._check_deadline)

    def _fail(self, error: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)

    # ---- what the loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hear that it is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer."""
        self._last_byte_s = self._loop.time()
        self._received_bytes += len(data)
        if self._answer is None or self._parser is None:
            # Bytes that nobody asked for would be taken for the next request's answer.
            self.close()
            return
        if self._received_bytes > MAX_ANSWER_BYTES:
            self._fail(ConnectionLostError("an answer that is too long"))
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(ConnectionLostError(repr(error)))

    def connection_lost(self, exc: Exception | None) -> None:
        """Hear that it has ended."""
        if self._has_headers and not self._has_length and exc is None:
            # Such an answer ends with its connection.
            self.on_message_complete()
        self._fail(ConnectionLostError(repr(exc) if exc else "closed by the other side"))

    # ---- what the parser calls

    def on_header(self, name: bytes, value: bytes) -> None:
        """Hear of a header."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Hear that the head is complete."""
        self._has_headers = True

    def on_body(self, body: bytes) -> None:
        """Hear of a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hear that the answer is complete."""
        parser = self._parser
        if self._answer is None or self._answer.done() or parser is None:
            return
        if not parser.should_keep_alive() and self._transport is not None:
            self._transport.close()
        self._answer.set_result((parser.get_status_code(), b"".join(self._body)))
