"""How a change of the configuration reaches every process, and how a gap is filled.

A new entry is pushed once along each way: by the one that has it from the store to its data centre
and, if it is a relay, to the others; by a relay that has it from elsewhere to its data centre; by
one that has it from its data centre to the others. What is lost on the way shows in heartbeats,
which carry the revision held, and the one behind asks for what it lacks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from pydantic import ValidationError

from shallotworks.config import ConfigReplica, Entry, Snapshot
from shallotworks.errors import ErrorKind, Failure, ShallotworksError
from shallotworks.metrics import Metrics
from shallotworks.protocol import (
    Entries,
    EntriesRequest,
    Heartbeat,
    SnapshotPart,
    SnapshotRequest,
    encode,
)

from ._link import UNKNOWN_REVISION, Link
from ._settings import PeerTiming

__all__ = ["Distribution"]

MAX_ENTRIES_PER_ANSWER = 512
"""Entries sent for one request; whoever needs more asks again."""
MAX_BATCH_BYTES = 256 * 1024
"""Entries put into one message, by size."""
SNAPSHOT_PART_BYTES = 128 * 1024
MAX_SNAPSHOT_PARTS = 128
"""Parts of a snapshot taken from a peer: 16 MB."""
MIN_SNAPSHOT_GAP_ENTRIES = 512
"""Entries missing from which on the whole state is cheaper than the changes."""
MIN_ANNOUNCE_DELAY_S = 0.2
MAX_ANNOUNCE_DELAY_S = 0.6
"""Wait before a peer that was not pushed to is told of a new revision; most have it by then."""
NO_PROGRESS_PAUSE_S = 30.0
MS_PER_S = 1000
UNCONFIRMED_AGE_MS = 0xFFFFFFFF
"""Age of a revision that nobody is known to have seen in the store."""


class Distribution:
    """Passes the configuration on between this process and its peers.

    Args:
        replica: The configuration held here.
        links: Returns the connections open now.
        metrics: Counts what is passed on.
        timing: Waits.
        random: Spreads announcements.
    """

    __slots__ = (
        "_appending_from",
        "_encoded_snapshot",
        "_links",
        "_metrics",
        "_newest_known",
        "_random",
        "_replica",
        "_request_deadline_s",
        "_snapshot_parts",
        "_timing",
        "_unpushed",
    )

    def __init__(
        self,
        *,
        replica: ConfigReplica,
        links: Callable[[], Iterable[Link]],
        metrics: Metrics,
        timing: PeerTiming,
        random: Random,
    ) -> None:
        self._replica = replica
        self._links = links
        self._metrics = metrics
        self._timing = timing
        self._random = random
        self._appending_from: Link | None = None
        self._unpushed: list[tuple[Entry, Link | None]] = []
        self._request_deadline_s = float("-inf")
        self._snapshot_parts: dict[Link, list[SnapshotPart]] = {}
        self._encoded_snapshot: tuple[int, tuple[bytes, ...]] = (-1, ())
        self._newest_known = 0

    def start(self) -> None:
        """Pass on whatever the replica takes from now on."""
        self._replica.subscribe(self._on_entry)

    def newest_revision(self) -> int:
        """Return the newest revision that any process was heard to hold."""
        return max(self._newest_known, self._replica.revision())

    def confirmed_age_ms(self) -> int:
        """Return how long ago the revision held was known to be the newest, as peers are told."""
        return int(min(UNCONFIRMED_AGE_MS, self._replica.age_s() * MS_PER_S))

    def discard_link(self, link: Link) -> None:
        """Drop what is kept for a connection that has ended."""
        self._snapshot_parts.pop(link, None)

    def on_heartbeat(self, link: Link, message: Heartbeat) -> None:
        """Learn how far a peer is, and ask it for what is missing here."""
        link.revision = message.revision
        self._newest_known = max(self._newest_known, message.newest_revision, message.revision)
        held = self._replica.revision()
        if message.revision > held:
            # A store that comes back older looks right to whoever lags behind, unless it has heard
            # of the newer revision before it asks that store.
            self._replica.confirm_newest(message.revision)
            self._request_missing(link)
        elif message.revision == held and message.newest_age_ms < UNCONFIRMED_AGE_MS:
            self._replica.confirm_newest(held, age_s=message.newest_age_ms / MS_PER_S)

    def on_entries(self, link: Link, message: Entries) -> None:
        """Take entries; ask on where they leave a gap or the peer has more."""
        entries = self._decode(message.entries)
        self._metrics.count("peers.entries.received", len(entries))
        self._request_deadline_s = float("-inf")
        link.send_heartbeat_now()
        if not entries:
            self._pause_requests(link)
            return
        before = self._replica.revision()
        link.revision = max(link.revision, entries[-1].revision)
        held = self._append_entries(link, entries)
        if link.revision > held:
            if held == before and entries[0].revision <= before + 1:
                self._pause_requests(link)
            self._request_missing(link)

    def on_entries_request(self, link: Link, message: EntriesRequest) -> None:
        """Answer with entries, or with the whole state where they are not kept any more."""
        entries = self._replica.entries_after(message.after, limit=MAX_ENTRIES_PER_ANSWER)
        if entries is None:
            self._send_snapshot(link)
        elif entries:
            self._send_entries(link, entries)
        else:
            link.send_heartbeat_now()

    def on_snapshot_request(self, link: Link, _message: SnapshotRequest) -> None:
        """Answer with the whole state."""
        self._send_snapshot(link)

    def on_snapshot_part(self, link: Link, message: SnapshotPart) -> None:
        """Keep a part; adopt the snapshot when it is whole.

        Raises:
            ShallotworksError: ``PROTOCOL`` for a part out of order or a count out of bounds; the
                connection keeps order, so neither happens to a peer that works.
        """
        parts = self._snapshot_parts.setdefault(link, [])
        if message.index == 0:
            parts.clear()
        if message.index != len(parts) or not 1 <= message.count <= MAX_SNAPSHOT_PARTS:
            raise _protocol_error("a part of a snapshot out of order")
        if parts and (message.revision, message.count) != (parts[0].revision, parts[0].count):
            raise _protocol_error("parts of two snapshots mixed")
        parts.append(message)
        if len(parts) == message.count:
            del self._snapshot_parts[link]
            self._install_snapshot(link, b"".join(part.data for part in parts))

    def _request_missing(self, link: Link) -> None:
        """Ask for what is missing, from one peer at a time, a near one if it has as much."""
        now_s = asyncio.get_running_loop().time()
        # While a snapshot arrives each new entry leaves a gap; asking would start it over.
        if self._snapshot_parts or now_s < max(self._request_deadline_s, link.no_requests_before_s):
            return
        self._request_deadline_s = now_s + self._timing.reply_timeout_s
        link = self._preferred_source(link)
        held = self._replica.revision()
        use_snapshot = held == 0 or link.revision - held > MIN_SNAPSHOT_GAP_ENTRIES
        link.send(encode(SnapshotRequest() if use_snapshot else EntriesRequest(after=held)))
        link.expect_reply()
        self._metrics.count("peers.gaps.asked")

    def _preferred_source(self, link: Link) -> Link:
        if link.same_data_centre:
            return link
        now_s = asyncio.get_running_loop().time()
        same_data_centre = (
            other
            for other in self._links()
            if other.same_data_centre and other.no_requests_before_s <= now_s
        )
        return next((other for other in same_data_centre if other.revision >= link.revision), link)

    def _pause_requests(self, link: Link) -> None:
        """Ask a peer for nothing for a while.

        The failure: its next entry contradicts what is held here, or is of a kind that this
        release does not know. Each of its heartbeats would fetch the same entries again.
        """
        link.no_requests_before_s = asyncio.get_running_loop().time() + NO_PROGRESS_PAUSE_S
        self._metrics.count("peers.entries.stuck")

    def _decode(self, encoded: tuple[bytes, ...]) -> tuple[Entry, ...]:
        """Read entries up to the first that this release does not know.

        The failure: during a roll-out a newer release's entry reaches an older process. Closing
        the connection would cut that process off; it stays at the revision before instead, where
        its heartbeats show it, and serves on.
        """
        entries = []
        for data in encoded:
            try:
                entries.append(Entry.decode(data))
            except ValidationError:
                self._metrics.count("peers.entries.undecodable")
                break
        return tuple(entries)

    def _append_entries(self, link: Link, entries: tuple[Entry, ...]) -> int:
        self._appending_from = link
        try:
            return self._replica.append_entries(entries)
        finally:
            self._appending_from = None

    def _install_snapshot(self, link: Link, data: bytes) -> None:
        try:
            snapshot = Snapshot.decode(data)
        except ValidationError:
            self._metrics.count("peers.snapshots.undecodable")
            return
        before = self._replica.revision()
        link.revision = max(link.revision, snapshot.state.revision)
        held = self._replica.install_snapshot(snapshot)
        self._request_deadline_s = float("-inf")
        link.send_heartbeat_now()
        if held > before:
            self._metrics.count("peers.snapshots.adopted")
            self._announce(held)

    def _on_entry(self, entry: Entry) -> None:
        """Keep an entry until the loop's next turn, so that many leave as one message."""
        if not self._unpushed:
            asyncio.get_running_loop().call_soon(self._push_unpushed)
        self._unpushed.append((entry, self._appending_from))

    def _push_unpushed(self) -> None:
        unpushed, self._unpushed = self._unpushed, []
        source = unpushed[-1][1]
        entries = tuple(entry for entry, _ in unpushed)
        held = entries[-1].revision
        messages: tuple[bytes, ...] | None = None
        for link in self._links():
            if link is source or not self._should_push(source, link, entries):
                continue
            messages = messages or _encode_batches(entries)
            self._push(link, messages, held)
        self._announce(held)

    def _should_push(self, source: Link | None, link: Link, entries: tuple[Entry, ...]) -> bool:
        """Say whether a peer is sent entries unasked.

        One far behind, or one whose revision is not known yet, asks when it sees a heartbeat;
        pushing would send it what it can't take or has already.
        """
        if link.revision == UNKNOWN_REVISION:
            return False
        sent = max(link.revision, link.pushed_revision)
        follows = entries[0].revision - 1 <= sent < entries[-1].revision
        return follows and (source is None or source.same_data_centre != link.same_data_centre)

    def _push(self, link: Link, messages: tuple[bytes, ...], held: int) -> None:
        for data in messages:
            if not link.send(data):
                self._metrics.count("peers.queue.dropped")
                return
        link.pushed_revision = held
        self._metrics.count("peers.entries.pushed")
        link.expect_reply()

    def _announce(self, held: int) -> None:
        for link in self._links():
            if link.revision < held:
                delay_s = self._random.uniform(MIN_ANNOUNCE_DELAY_S, MAX_ANNOUNCE_DELAY_S)
                link.announce_soon(delay_s=delay_s)

    def _send_entries(self, link: Link, entries: tuple[Entry, ...]) -> None:
        for data in _encode_batches(entries):
            if not link.send(data):
                self._metrics.count("peers.queue.dropped")
                return
        self._metrics.count("peers.entries.answered", len(entries))

    def _send_snapshot(self, link: Link) -> None:
        revision = self._replica.revision()
        if self._encoded_snapshot[0] != revision:
            self._encoded_snapshot = (
                revision,
                _snapshot_parts(revision, self._replica.snapshot().encode()),
            )
        if link.send_bulk(self._encoded_snapshot[1]):
            self._metrics.count("peers.snapshots.sent")


def _encode_batches(entries: tuple[Entry, ...]) -> tuple[bytes, ...]:
    messages = []
    batch: list[bytes] = []
    size_bytes = 0
    for entry in entries:
        data = entry.encode()
        if batch and size_bytes + len(data) > MAX_BATCH_BYTES:
            messages.append(encode(Entries(entries=tuple(batch))))
            batch, size_bytes = [], 0
        batch.append(data)
        size_bytes += len(data)
    messages.append(encode(Entries(entries=tuple(batch))))
    return tuple(messages)


def _snapshot_parts(revision: int, data: bytes) -> tuple[bytes, ...]:
    pieces = [
        data[at : at + SNAPSHOT_PART_BYTES] for at in range(0, len(data), SNAPSHOT_PART_BYTES)
    ]
    return tuple(
        encode(SnapshotPart(revision=revision, index=index, count=len(pieces), data=piece))
        for index, piece in enumerate(pieces)
    )


def _protocol_error(reason: str) -> ShallotworksError:
    return ShallotworksError(Failure(kind=ErrorKind.PROTOCOL, reason=reason))
