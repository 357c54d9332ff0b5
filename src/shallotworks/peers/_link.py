"""One connection to one peer after the handshake, with a reading and a writing task."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Iterable, Iterator
from enum import Enum, unique
from random import Random
from typing import Protocol

from absl import logging

from shallotworks.errors import ShallotworksError
from shallotworks.protocol import (
    ByteStream,
    Goodbye,
    Heartbeat,
    MemberRecord,
    Message,
    Session,
    encode,
)

from ._settings import PeerTiming

__all__ = ["UNKNOWN_REVISION", "Link", "LinkEnd", "LinkOwner"]

UNKNOWN_REVISION = -1
MIN_FIRST_INTERVAL_PART = 0.5
"""Smallest random fraction of the heartbeat interval that the first one lasts.

Shortening it spreads the heartbeats to different peers, which would otherwise leave in one burst.
"""
GOODBYE_TIMEOUT_S = 0.5
"""Time to write the goodbye message before the connection is closed without it."""
TIMER_SLACK_S = 0.001
"""Work due within this time is done now.

A timer may wake its task slightly before the requested time; waiting for the remainder would spin
until the clock has advanced.
"""


@unique
class LinkEnd(Enum):
    """Why a connection ended."""

    CLOSED = "closed"
    SILENT = "silent"
    REFUSED = "refused"
    """The peer sent an invalid message, or one that is not allowed at this point."""
    DISMISSED = "dismissed"
    """One end closed it because it no longer needs it."""
    LEFT = "left"
    """The peer announced that it leaves the fleet."""


class LinkOwner(Protocol):
    """Callbacks from a connection to the process that owns it."""

    def heartbeat_for(self, link: Link) -> Heartbeat:
        """Return the heartbeat to send to the peer now."""
        ...

    def has_newer_revision_for(self, link: Link) -> bool:
        """Return whether this process holds a newer revision than the peer is known to hold."""
        ...

    def on_message(self, link: Link, message: Message) -> None:
        """Handle one message from the peer.

        Raises:
            ShallotworksError: ``PROTOCOL`` if the message is not allowed at this point.
        """
        ...


class Link:
    """One connection to one peer.

    Args:
        session: The session that the handshake established.
        stream: The byte stream that carries the session.
        dialled: Whether this process opened the connection.
        same_data_centre: Whether the peer is in this process's data centre.
        timing: Intervals, timeouts and the bound on the queue.
        owner: Builds heartbeats and handles messages.
        random: Draws the length of the first heartbeat interval.

    Attributes:
        peer: The peer's latest known record.
        revision: Newest revision that the peer is known to hold.
        pushed_revision: Newest revision pushed to the peer.
        change_cursor: Membership change up to which records were sent to the peer.
        load_cursor: Position in this process's loads from which the next heartbeat sends.
        asked_question: Number of the last question sent to the peer; 0 for none.
        answered_question: Number of the last question that the peer has answered.
        peer_question: Number of the peer's last question; 0 for none.
        sent_answer: Number of the peer's last question that was answered.
        no_requests_before_s: Time before which this process sends the peer no requests.
        opened_at_s: When the handshake was completed, by the event loop's clock.
        end: Why the connection ended; ``None`` while it is open.
    """

    __slots__ = (
        "_announce_at_s",
        "_bulk",
        "_deadline_s",
        "_dropped",
        "_interval_s",
        "_next_heartbeat_s",
        "_owner",
        "_queue",
        "_queued_bytes",
        "_random",
        "_read_timeout",
        "_reply_due",
        "_session",
        "_silent_after_s",
        "_stream",
        "_timing",
        "_wake",
        "answered_question",
        "asked_question",
        "change_cursor",
        "dialled",
        "end",
        "load_cursor",
        "no_requests_before_s",
        "opened_at_s",
        "peer",
        "peer_question",
        "pushed_revision",
        "revision",
        "same_data_centre",
        "sent_answer",
    )

    def __init__(
        self,
        *,
        session: Session,
        stream: ByteStream,
        dialled: bool,
        same_data_centre: bool,
        timing: PeerTiming,
        owner: LinkOwner,
        random: Random,
    ) -> None:
        self._session = session
        self._stream = stream
        self._timing = timing
        self._owner = owner
        self._random = random
        self._interval_s = timing.mesh_interval_s if same_data_centre else timing.relay_interval_s
        self._silent_after_s = self._interval_s * timing.silent_intervals
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._bulk: Iterator[bytes] | None = None
        self._dropped = 0
        self._wake = asyncio.Event()
        self._read_timeout: asyncio.Timeout | None = None
        self._reply_due = False
        self._announce_at_s = float("inf")
        self.opened_at_s = _now_s()
        self._next_heartbeat_s = self.opened_at_s
        self._deadline_s = self.opened_at_s + self._silent_after_s
        self.dialled = dialled
        self.same_data_centre = same_data_centre
        self.peer: MemberRecord = session.member
        self.revision = UNKNOWN_REVISION
        self.pushed_revision = UNKNOWN_REVISION
        self.no_requests_before_s = self.opened_at_s
        self.change_cursor = 0
        self.load_cursor = 0
        self.asked_question = 0
        self.answered_question = 0
        self.peer_question = 0
        self.sent_answer = 0
        self.end: LinkEnd | None = None

    @property
    def sent_bytes(self) -> int:
        """Bytes sent so far, handshake included."""
        return self._session.writer.sent_bytes

    @property
    def received_bytes(self) -> int:
        """Bytes received so far, handshake included."""
        return self._session.reader.received_bytes

    @property
    def dropped(self) -> int:
        """Messages dropped because the queue was full."""
        return self._dropped

    async def run(self) -> LinkEnd:
        """Serve the connection until it ends, and return the reason."""
        writing = asyncio.create_task(self._write())
        writing.add_done_callback(self._on_write_end)
        try:
            end = await self._read()
        finally:
            writing.cancel()
            self._stream.close()
            await asyncio.wait({writing})
        if not writing.cancelled():
            # Raise a fault of the writer, which would otherwise look like a silent peer.
            writing.result()
        self.end = self.end or end
        return self.end

    def send(self, data: bytes) -> bool:
        """Queue an encoded message, or drop it if the queue is full.

        Without a bound, a slowly reading peer would make this process buffer without limit or wait
        for that peer. A dropped message can be recovered: heartbeats bypass the queue and carry
        the revision, and the peer requests what it lacks.

        Returns:
            Whether the message was queued.
        """
        if self._queued_bytes + len(data) > self._timing.queue_bytes:
            self._dropped += 1
            return False
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._wake.set()
        return True

    def send_bulk(self, messages: Iterable[bytes]) -> bool:
        """Send a series of encoded messages, such as a snapshot, as fast as the peer reads them.

        The messages don't count towards the bound on the queue, so a snapshot larger than the bound
        still arrives. Queued messages have priority.

        Returns:
            Whether the series was accepted; only one can be in progress.
        """
        if self._bulk is not None:
            return False
        self._bulk = iter(messages)
        self._wake.set()
        return True

    def expect_reply(self) -> None:
        """End the connection as silent unless some message arrives within the reply timeout.

        A middlebox may have lost the connection's state: writes still succeed but nothing arrives.
        Without this timeout the fault would be detected only after several heartbeat intervals,
        which between data centres is longer than a change may take to reach all processes.
        """
        if self._reply_due:
            return
        self._reply_due = True
        self._deadline_s = min(self._deadline_s, _now_s() + self._timing.reply_timeout_s)
        if self._read_timeout is not None and not self._read_timeout.expired():
            self._read_timeout.reschedule(self._deadline_s)

    def send_heartbeat_now(self) -> None:
        """Send a heartbeat without waiting for the interval to end."""
        self._next_heartbeat_s = _now_s()
        self._wake.set()

    def announce_soon(self, *, delay_s: float) -> None:
        """Send a heartbeat after a delay, unless the peer is known to be up to date by then."""
        at_s = _now_s() + delay_s
        if at_s < self._announce_at_s:
            self._announce_at_s = at_s
            self._wake.set()

    def close(self, end: LinkEnd) -> None:
        """Close the connection at once, without a goodbye message."""
        self.end = self.end or end
        self._stream.close()

    async def close_gracefully(self, *, leaving: bool) -> None:
        """Send a goodbye message and close the connection."""
        self.end = self.end or LinkEnd.DISMISSED
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(GOODBYE_TIMEOUT_S):
                if leaving:
                    await self._session.writer.write(self._owner.heartbeat_for(self))
                await self._session.writer.write(Goodbye(leaving=leaving))
        self._stream.close()

    async def _read(self) -> LinkEnd:
        try:
            return await self._read_messages()
        except TimeoutError:
            return LinkEnd.SILENT
        except ShallotworksError:
            return LinkEnd.REFUSED
        except (EOFError, OSError):
            return LinkEnd.CLOSED

    async def _read_messages(self) -> LinkEnd:
        while True:
            async with asyncio.timeout_at(self._deadline_s) as self._read_timeout:
                message = await self._session.reader.read()
            self._read_timeout = None
            self._reply_due = False
            self._deadline_s = _now_s() + self._silent_after_s
            if isinstance(message, Goodbye):
                return LinkEnd.LEFT if message.leaving else LinkEnd.DISMISSED
            self._owner.on_message(self, message)

    async def _write(self) -> None:
        try:
            while True:
                await self._write_next()
        except (OSError, TimeoutError):
            # A peer that stops reading fills the connection's buffer; the write then times out
            # after the same time as a silent peer.
            return
        finally:
            self._stream.close()

    def _on_write_end(self, writing: asyncio.Task[None]) -> None:
        """Close the connection if the writing task failed with an exception.

        Otherwise nothing would read that task's result while the connection stays open, and the
        peer would find each connection to this process silent.
        """
        if not writing.cancelled() and writing.exception() is not None:
            logging.error("peer %s: writing task failed: %r", self.peer.name, writing.exception())
            self._stream.close()

    async def _write_next(self) -> None:
        now_s = _now_s() + TIMER_SLACK_S
        if now_s >= self._announce_at_s:
            self._announce_at_s = float("inf")
            if self._owner.has_newer_revision_for(self):
                self._next_heartbeat_s = now_s
        if now_s >= self._next_heartbeat_s:
            first = self.change_cursor == 0
            interval_part = self._random.uniform(MIN_FIRST_INTERVAL_PART, 1.0) if first else 1.0
            self._next_heartbeat_s = now_s + self._interval_s * interval_part
            await self._write_one(encode(self._owner.heartbeat_for(self)))
        elif self._queue:
            data = self._queue.popleft()
            self._queued_bytes -= len(data)
            await self._write_one(data)
        elif self._bulk is not None:
            await self._write_bulk(self._bulk)
        else:
            await self._wait_until(min(self._next_heartbeat_s, self._announce_at_s))

    async def _write_bulk(self, messages: Iterator[bytes]) -> None:
        data = next(messages, None)
        if data is None:
            self._bulk = None
        else:
            await self._write_one(data)

    async def _write_one(self, data: bytes) -> None:
        async with asyncio.timeout(self._silent_after_s):
            await self._session.writer.write_encoded(data)

    async def _wait_until(self, at_s: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout_at(at_s):
                await self._wake.wait()
        except TimeoutError:
            return


def _now_s() -> float:
    return asyncio.get_running_loop().time()
