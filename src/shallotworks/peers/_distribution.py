"""Distribution of configuration changes to every process, and anti-entropy for missing ones.

A new entry is pushed once along each path. The process that read it from the store pushes it to its
own data centre and, if that process is a relay, to the other data centres. A relay that received it
from another data centre pushes it to its own; a relay that received it from its own data centre
pushes it to the others. Heartbeats carry the revision that their sender holds, so a process that
missed an entry sees the gap and requests what it lacks.
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
"""Entries sent for one request; a peer that needs more sends another request."""
MAX_BATCH_BYTES = 256 * 1024
"""Total size of the entries in one message; a single larger entry is sent alone."""
SNAPSHOT_PART_BYTES = 128 * 1024
MAX_SNAPSHOT_PARTS = 128
"""Parts accepted for one snapshot from a peer: 16 MB."""
MAX_GAP_FILLED_WITH_ENTRIES = 512
"""Missing entries up to which a gap is filled with entries; a snapshot costs less above it."""
MIN_ANNOUNCE_DELAY_S = 0.2
MAX_ANNOUNCE_DELAY_S = 0.6
"""Bounds of the random delay before a new revision is announced to a peer that is behind.

Most peers have received it from another process by then.
"""
NO_PROGRESS_PAUSE_S = 30.0
"""Time without requests to a peer whose answer did not advance this replica."""
MS_PER_S = 1000
UNCONFIRMED_AGE_MS = 0xFFFFFFFF
"""Age sent for a revision that no process is known to have confirmed at the store."""


class Distribution:
    """Replicates the configuration between this process and its peers.

    Args:
        replica: This process's replica of the configuration.
        links: Returns the open connections.
        metrics: Counts pushes, requests, answers and snapshots.
        timing: Gives the reply timeout.
        random: Draws the delays of announcements.
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
        """Push every entry that the replica applies from now on."""
        self._replica.subscribe(self._on_entry)

    def newest_revision(self) -> int:
        """Return the newest revision that any heartbeat reported, or the replica's own if newer."""
        return max(self._newest_known, self._replica.revision())

    def confirmed_age_ms(self) -> int:
        """Return the time since the held revision was last confirmed as the newest."""
        return int(min(UNCONFIRMED_AGE_MS, self._replica.staleness_s() * MS_PER_S))

    def discard_link(self, link: Link) -> None:
        """Drop the snapshot parts received on a connection that has ended."""
        self._snapshot_parts.pop(link, None)

    def on_heartbeat(self, link: Link, message: Heartbeat) -> None:
        """Record a peer's revision, and request the entries that this replica lacks.

        A peer at the same revision passes on the age of its last confirmation by the store.
        """
        link.revision = message.revision
        self._newest_known = max(self._newest_known, message.newest_revision, message.revision)
        held_revision = self._replica.revision()
        if message.revision > held_revision:
            # A store restored to an older revision looks current to a replica that lags behind,
            # unless the replica has recorded the newer revision before it reads that store.
            self._replica.confirm_newest(message.revision)
            self._request_missing(link)
        elif message.revision == held_revision and message.newest_age_ms < UNCONFIRMED_AGE_MS:
            self._replica.confirm_newest(held_revision, age_s=message.newest_age_ms / MS_PER_S)

    def on_entries(self, link: Link, message: Entries) -> None:
        """Apply entries; request more if they leave a gap or the peer has more."""
        entries = self._decode(message.entries)
        self._metrics.count("peers.entries.received", len(entries))
        self._request_deadline_s = float("-inf")
        link.send_heartbeat_now()
        if not entries:
            self._pause_requests(link)
            return
        revision_before = self._replica.revision()
        link.revision = max(link.revision, entries[-1].revision)
        held_revision = self._append_entries(link, entries)
        if link.revision > held_revision:
            if held_revision == revision_before and entries[0].revision <= revision_before + 1:
                self._pause_requests(link)
            self._request_missing(link)

    def on_entries_request(self, link: Link, message: EntriesRequest) -> None:
        """Answer with entries, or with a snapshot if the replica no longer keeps those entries."""
        entries = self._replica.entries_after(message.after, limit=MAX_ENTRIES_PER_ANSWER)
        if entries is None:
            self._send_snapshot(link)
        elif entries:
            self._send_entries(link, entries)
        else:
            link.send_heartbeat_now()

    def on_snapshot_request(self, link: Link, _message: SnapshotRequest) -> None:
        """Answer with a snapshot."""
        self._send_snapshot(link)

    def on_snapshot_part(self, link: Link, message: SnapshotPart) -> None:
        """Keep one part, and install the snapshot once all parts are present.

        Raises:
            ShallotworksError: ``PROTOCOL`` for a part out of order or a count out of bounds. The
                connection preserves order, so a correct peer causes neither.
        """
        parts = self._snapshot_parts.setdefault(link, [])
        if message.index == 0:
            parts.clear()
        if message.index != len(parts) or not 1 <= message.count <= MAX_SNAPSHOT_PARTS:
            raise _protocol_error("snapshot part out of order or part count out of bounds")
        if parts and (message.revision, message.count) != (parts[0].revision, parts[0].count):
            raise _protocol_error("parts of different snapshots are interleaved")
        parts.append(message)
        if len(parts) == message.count:
            del self._snapshot_parts[link]
            self._install_snapshot(link, b"".join(part.data for part in parts))

    def _request_missing(self, link: Link) -> None:
        """Request missing entries or a snapshot, from one peer at a time.

        A peer of this data centre is preferred if it holds at least the same revision.
        """
        now_s = asyncio.get_running_loop().time()
        # While a snapshot arrives, each new entry leaves a gap; a request would start the snapshot
        # again.
        if self._snapshot_parts or now_s < max(self._request_deadline_s, link.no_requests_before_s):
            return
        self._request_deadline_s = now_s + self._timing.reply_timeout_s
        link = self._preferred_source(link)
        held_revision = self._replica.revision()
        use_snapshot = (
            held_revision == 0 or link.revision - held_revision > MAX_GAP_FILLED_WITH_ENTRIES
        )
        link.send(
            encode(SnapshotRequest() if use_snapshot else EntriesRequest(after=held_revision))
        )
        link.expect_reply()
        self._metrics.count("peers.gaps.asked")

    def _preferred_source(self, link: Link) -> Link:
        if link.same_data_centre:
            return link
        now_s = asyncio.get_running_loop().time()
        local_links = (
            other
            for other in self._links()
            if other.same_data_centre and other.no_requests_before_s <= now_s
        )
        return next((other for other in local_links if other.revision >= link.revision), link)

    def _pause_requests(self, link: Link) -> None:
        """Send a peer no requests for `NO_PROGRESS_PAUSE_S`.

        Its next entry contradicts this replica, or has a kind that this release does not know.
        Without the pause each of its heartbeats would fetch the same entries again.
        """
        link.no_requests_before_s = asyncio.get_running_loop().time() + NO_PROGRESS_PAUSE_S
        self._metrics.count("peers.entries.stuck")

    def _decode(self, encoded: tuple[bytes, ...]) -> tuple[Entry, ...]:
        """Decode entries up to the first one that this release does not know.

        During a roll-out an entry of a newer release can reach an older process. Closing the
        connection would partition that process from its peers. Instead it keeps serving at the
        revision before that entry, which its heartbeats report.
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
        revision_before = self._replica.revision()
        link.revision = max(link.revision, snapshot.state.revision)
        held_revision = self._replica.install_snapshot(snapshot)
        self._request_deadline_s = float("-inf")
        link.send_heartbeat_now()
        if held_revision > revision_before:
            self._metrics.count("peers.snapshots.adopted")
            self._announce(held_revision)

    def _on_entry(self, entry: Entry) -> None:
        """Buffer an entry until the next iteration of the event loop, to batch several entries."""
        if not self._unpushed:
            asyncio.get_running_loop().call_soon(self._push_unpushed)
        self._unpushed.append((entry, self._appending_from))

    def _push_unpushed(self) -> None:
        unpushed, self._unpushed = self._unpushed, []
        source = unpushed[-1][1]
        entries = tuple(entry for entry, _ in unpushed)
        held_revision = entries[-1].revision
        messages: tuple[bytes, ...] | None = None
        for link in self._links():
            if link is source or not self._should_push(source, link, entries):
                continue
            messages = messages or _encode_batches(entries)
            self._push(link, messages, held_revision)
        self._announce(held_revision)

    def _should_push(self, source: Link | None, link: Link, entries: tuple[Entry, ...]) -> bool:
        """Return whether to push entries to a peer that did not request them.

        A peer that is further behind, or whose revision is not known yet, sends a request when it
        receives a heartbeat; a push would carry entries that it can't apply or already holds.
        Entries received from a peer are only pushed between the two kinds of connection: from
        another data centre into this one, or from this one to another.
        """
        if link.revision == UNKNOWN_REVISION:
            return False
        sent = max(link.revision, link.pushed_revision)
        is_next = entries[0].revision - 1 <= sent < entries[-1].revision
        return is_next and (source is None or source.same_data_centre != link.same_data_centre)

    def _push(self, link: Link, messages: tuple[bytes, ...], held_revision: int) -> None:
        for data in messages:
            if not link.send(data):
                self._metrics.count("peers.queue.dropped")
                return
        link.pushed_revision = held_revision
        self._metrics.count("peers.entries.pushed")
        link.expect_reply()

    def _announce(self, held_revision: int) -> None:
        for link in self._links():
            if link.revision < held_revision:
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
