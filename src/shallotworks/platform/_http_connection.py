"""One HTTP/1.1 connection without pipelining: each answer is read before the next request."""

from __future__ import annotations

import asyncio
from collections.abc import Hashable

import httptools

__all__ = ["Connection", "ConnectionLostError"]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Longer answers are rejected: the longest that the platform sends contain 1 MB of values."""


class ConnectionLostError(Exception):
    """The connection ended, or sent invalid data, before the answer was complete."""


class Connection(asyncio.Protocol):
    """A connection, used by one exchange at a time.

    Args:
        generation: The client's generation in which the connection was opened.

    Attributes:
        process: Identifies the server process at the other end; ``None`` until an answer does.
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
        "process",
    )

    def __init__(self, *, generation: int) -> None:
        self.generation = generation
        self.idle_since_s = 0.0
        self.process: Hashable | None = None
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
        """Whether another request may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Close the connection; an exchange in progress ends without an answer."""
        if self._transport is not None:
            self._transport.abort()
        self._fail(ConnectionLostError("closed by this client"))

    async def exchange(
        self, request: bytes, *, deadline_s: float, read_timeout_s: float | None
    ) -> tuple[int, bytes]:
        """Send a request and return the answer's status and body.

        Args:
            request: The encoded request.
            deadline_s: Time of the event loop's clock at which the exchange is abandoned.
            read_timeout_s: Longest time without a byte of the answer; ``None`` for no limit.

        Raises:
            TimeoutError: The answer was not complete in time; the connection is closed.
            ConnectionLostError: The connection ended or sent invalid data.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise ConnectionLostError("closed by the other side")
        answer: asyncio.Future[tuple[int, bytes]] = self._loop.create_future()
        self._answer = answer
        # The future must exist first: a deadline that has already passed fails it here, and no
        # later timer would.
        self._start_exchange(deadline_s, read_timeout_s)
        transport.write(request)
        try:
            return await answer
        except BaseException:
            # Data that arrives from now on would be read as the answer to the next request.
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
        """Fail the exchange if its deadline or read timeout has passed, else check again then."""
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

    # ---- callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        self._last_byte_s = self._loop.time()
        self._received_bytes += len(data)
        if self._answer is None or self._parser is None:
            # Unsolicited bytes would be read as the answer to the next request.
            self.close()
            return
        if self._received_bytes > MAX_ANSWER_BYTES:
            self._fail(ConnectionLostError("the answer is too long"))
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(ConnectionLostError(repr(error)))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange in progress."""
        if self._has_headers and not self._has_length and exc is None:
            # An answer without a length ends when the server closes the connection.
            self.on_message_complete()
        self._fail(ConnectionLostError(repr(exc) if exc else "closed by the other side"))

    # ---- callbacks of the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the answer's length is given."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Note that all headers were read."""
        self._has_headers = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Return the complete answer to the exchange in progress."""
        parser = self._parser
        if self._answer is None or self._answer.done() or parser is None:
            return
        if not parser.should_keep_alive() and self._transport is not None:
            self._transport.close()
        self._answer.set_result((parser.get_status_code(), b"".join(self._body)))
