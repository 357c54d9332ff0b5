"""One connection to one peer after the handshake: a task that reads, and one that writes."""

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
"""The first interval is shortened at random to this part at the least, so that heartbeats to
different peers don't leave in one burst."""
GOODBYE_TIMEOUT_S = 0.5
TIMER_SLACK_S = 0.001
"""What is due this soon is done now: a timer may wake its task a moment before the time it was set
for, and waiting for the rest again would spin until the clock has moved."""


@unique
class LinkEnd(Enum):
    """Why a connection has ended."""

    CLOSED = "closed"
    SILENT = "silent"
    REFUSED = "refused"
    """The peer sent what is no message, or one that does not belong here."""
    DISMISSED = "dismissed"
    """One of the two has no more use for it."""
    LEFT = "left"
    """The peer has left the fleet."""


class LinkOwner(Protocol):
    """What a connection needs of the process it belongs to."""

    def heartbeat_for(self, link: Link) -> Heartbeat:
        """Return the heartbeat to send now."""
        ...

    def has_newer_revision_for(self, link: Link) -> bool:
        """Return whether this process holds a newer revision than that peer is known to hold."""
        ...

    def on_message(self, link: Link, message: Message) -> None:
        """Take one message; raises ``ShallotworksError`` where it does not belong here."""
        ...


class Link:
    """One connection to one peer.

    Args:
        session: The connection after the handshake.
        stream: What it runs over.
        dialled: Whether this process opened it.
        near: Whether the peer stands in the same data centre.
        timing: Intervals and bounds.
        owner: Gives heartbeats and takes messages.
        random: Shifts the heartbeats.
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
        "change_cursor",
        "dialled",
        "end",
        "load_cursor",
        "no_requests_before_s",
        "opened_at_s",
        "peer",
        "pushed_revision",
        "revision",
        "same_data_centre",
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
        """Serve the connection until it ends; says why it did."""
        writing = asyncio.create_task(self._write())
        writing.add_done_callback(self._on_write_end)
        try:
            end = await self._read()
        finally:
            writing.cancel()
            self._stream.close()
            await asyncio.wait({writing})
        if not writing.cancelled():
            # A fault of the program must show; otherwise the peer would just look silent.
            writing.result()
        self.end = self.end or end
        return self.end

    def send(self, data: bytes) -> bool:
        """Queue an encoded message; drops it where the queue is full.

        The failure: a peer that reads slowly would make this process keep all that it is owed, or
        wait for it. A dropped message is no loss: heartbeats are not queued, they carry the
        revision, and the peer asks for what it lacks.
        """
        if self._queued_bytes + len(data) > self._timing.queue_bytes:
            self._dropped += 1
            return False
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._wake.set()
        return True

    def send_bulk(self, messages: Iterable[bytes]) -> bool:
        """Send many encoded messages one by one as the peer takes them; one such run at a time.

        They count for nothing in the queue, so that a snapshot larger than its bound still arrives;
        what is queued goes ahead.
        """
        if self._bulk is not None:
            return False
        self._bulk = iter(messages)
        self._wake.set()
        return True

    def expect_reply(self) -> None:
        """Take the connection for silent unless some message comes soon.

        The failure: something between the two ends has lost track of the connection; writes still
        succeed and nothing ever arrives. Without this it would be noticed only after several
        heartbeats, which between data centres takes longer than a change may.
        """
        if self._reply_due:
            return
        self._reply_due = True
        self._deadline_s = min(self._deadline_s, _now_s() + self._timing.reply_timeout_s)
        if self._read_timeout is not None and not self._read_timeout.expired():
            self._read_timeout.reschedule(self._deadline_s)

    def send_heartbeat_now(self) -> None:
        """Send a heartbeat now."""
        self._next_heartbeat_s = _now_s()
        self._wake.set()

    def announce_soon(self, *, delay_s: float) -> None:
        """Send a heartbeat after a while, unless the peer is known to be as far by then."""
        at_s = _now_s() + delay_s
        if at_s < self._announce_at_s:
            self._announce_at_s = at_s
            self._wake.set()

    def close(self, end: LinkEnd) -> None:
        """Close the connection at once."""
        self.end = self.end or end
        self._stream.close()

    async def close_gracefully(self, *, leaving: bool) -> None:
        """Say goodbye and close the connection."""
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
            # A peer that stops reading fills the connection's buffer until a write has waited for
            # as long as a silent peer is given.
            return
        finally:
            self._stream.close()

    def _on_write_end(self, writing: asyncio.Task[None]) -> None:
        """End the connection with its writer.

        The failure: the writer ends by a fault of this program, and nobody looks at its result; the
        connection stays open, never says a word, and the peer takes it for silent again and again.
        """
        if not writing.cancelled() and writing.exception() is not None:
            logging.error("peer %s: the writer failed: %r", self.peer.name, writing.exception())
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
