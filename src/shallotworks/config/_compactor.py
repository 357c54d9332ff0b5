"""Compaction of the configuration log: writing snapshots and deleting entries behind them."""

from __future__ import annotations

from collections.abc import Iterable

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import KeyValueStore, Versioned
from shallotworks.metrics import Metrics

from ._entries import Snapshot
from ._snapshots import (
    LOG_PREFIX,
    delete_older_snapshots,
    log_revision,
    read_pointer,
    write_snapshot,
)

__all__ = ["Compactor"]

SNAPSHOT_INTERVAL_REVISIONS = 500
LOG_RETENTION_REVISIONS = 2_000
"""Entries kept behind the newest snapshot. They span eight hours at 6,000 changes a day, so that a
process that was cut off for that long can catch up from entries alone."""
MAX_ENTRIES_PER_COMPACTION = 1_000
"""Entries that one compaction lists, and therefore the most that it deletes."""


class Compactor:
    """Writes a snapshot at each Nth revision, then deletes the entries far behind it.

    The process that appends the Nth revision compacts the log. If that process stops part way, the
    compaction at the next Nth revision deletes what was left; until then the log is longer.

    Args:
        store: The platform's key-value service.
        metrics: Counts snapshots and deletions, under ``config``.
        every_revisions: Revisions between two snapshots.
        kept_revisions: Entries kept behind the newest snapshot.
    """

    __slots__ = ("_interval_revisions", "_metrics", "_retention_revisions", "_store")

    def __init__(
        self,
        *,
        store: KeyValueStore,
        metrics: Metrics,
        every_revisions: int = SNAPSHOT_INTERVAL_REVISIONS,
        kept_revisions: int = LOG_RETENTION_REVISIONS,
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._interval_revisions = every_revisions
        self._retention_revisions = kept_revisions

    def is_due(self, revision: int) -> bool:
        """Return whether the process that appended this revision has to write a snapshot."""
        return revision % self._interval_revisions == 0

    async def compact(self, snapshot: Snapshot) -> Result[int, Failure]:
        """Write a snapshot, read it back, and delete the snapshots and entries that it supersedes.

        Returns:
            The number of entries deleted, or the store's failure. After a failure the store still
            has every snapshot and entry that a reader needs.
        """
        before = await read_pointer(self._store)
        if not isinstance(before, Success):
            return Err(before.failure())
        previous = before.unwrap()
        written = await write_snapshot(self._store, snapshot)
        if not isinstance(written, Success):
            self._metrics.count("config.snapshots-failed")
            return Err(written.failure())
        self._metrics.count("config.snapshots-written")
        if previous is not None:
            # The previous snapshot is kept for readers that have just read its pointer.
            await delete_older_snapshots(self._store, below=previous.pointer.revision)
        return await self._delete_entries(written.unwrap().revision - self._retention_revisions)

    async def _delete_entries(self, up_to: int) -> Result[int, Failure]:
        outcome = await self._store.list(LOG_PREFIX, limit=MAX_ENTRIES_PER_COMPACTION)
        if not isinstance(outcome, Success):
            return Err(outcome.failure())
        old = [item for item in outcome.unwrap() if log_revision(item.key) <= up_to]
        return Success(await self._delete_each(old))

    async def _delete_each(self, items: Iterable[Versioned]) -> int:
        deleted = 0
        # The oldest entry is deleted first, so that the remaining log never has a gap.
        for item in items:
            outcome = await self._store.delete(item.key, version=item.version)
            if not isinstance(outcome, Success) and outcome.failure().kind is not _ALREADY_DELETED:
                break
            deleted += 1
        self._metrics.count("config.entries-deleted", deleted)
        return deleted


_ALREADY_DELETED = ErrorKind.CONFLICT
"""Kind of failure of a delete when another process has deleted the entry since it was listed."""
