"""Reading and watching the log in the platform's service, and applying it to the replica."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, unique

from pydantic import ValidationError
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import KeyValueStore, Versioned
from shallotworks.metrics import Metrics

from ._entries import Entry
from ._replica import EntryOutcome, Replica
from ._snapshots import LOG_PREFIX, Pointer, log_key, log_revision, read_pointer, read_snapshot

__all__ = ["WATCH_WAIT_S", "LogReader"]

PAGE_ENTRIES = 1_000
MAX_CATCH_UP_ROUNDS = 20
"""Pages and snapshots that one read processes before it fails, if the log grows faster than this
process reads it."""
WATCH_WAIT_S = 4.0
"""Half of the 8 s within which a change must be in force, so that a watch on a connection that no
longer carries data ends in time."""
WATCHED_BLOCK_DIGITS = 3
"""Trailing digits of a revision that a watch leaves open, so that it covers only the block of a
thousand revisions that the next revision is in. Compaction deletes entries far behind that block,
and a watch over the whole log would wake every watcher for each of these deletions."""


@unique
class _LogStart(Enum):
    """How the start of the stored log relates to the replica's revision."""

    AGREES = "agrees"
    """The stored log continues the replica's revision."""
    MOVED = "moved"
    """A snapshot was installed, or the pointer to it has changed; the log has to be read again."""
    REGRESSED = "regressed"
    """The store was restored empty or with an older state."""


class LogReader:
    """Brings a replica to the store's newest revision, and checks that the two agree.

    Args:
        store: The platform's key-value service.
        replica: The replica that entries and snapshots are applied to.
        metrics: Counts events, under ``config``.
    """

    __slots__ = ("_metrics", "_replica", "_store", "_version")

    def __init__(self, *, store: KeyValueStore, replica: Replica, metrics: Metrics) -> None:
        self._store = store
        self._replica = replica
        self._metrics = metrics
        self._version = 0

    async def read(self) -> Result[int, Failure]:
        """Read the entries that follow the replica's revision; takes one call in the normal case.

        The entry of the replica's own revision is read as well. The store was restored empty, with
        an older state or with another history if it has another change at that revision, if it has
        neither the entry nor a snapshot that replaces it, or if its log ends before a revision that
        it is known to have had. That is reported as the replica's fault, and nothing more is
        applied. The first read that agrees clears the fault.

        Returns:
            The replica's revision, also when a fault was reported; or ``STORE_UNAVAILABLE`` or
            another failure of the store.
        """
        expected_revision = self._replica.newest_known_revision()
        for _ in range(MAX_CATCH_UP_ROUNDS):
            page = await self._read_page(expected_revision)
            if not isinstance(page, Success):
                return Err(page.failure())
            if page.unwrap():
                return Success(self._replica.revision())
        reason = "the log runs ahead of this process"
        return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason=reason, retry_after_s=1.0))

    async def follow(self) -> Result[int, Failure]:
        """Wait for the next entries with one watch and apply them.

        Returns:
            The replica's revision, or the store's failure.
        """
        prefix = self._watched_prefix()
        outcome = await self._store.watch(prefix, after_version=self._version, wait_s=WATCH_WAIT_S)
        if not isinstance(outcome, Success):
            return Err(outcome.failure())
        result = outcome.unwrap()
        if result.version < self._version or not self._apply_watched_items(result.items):
            return await self.read()
        if result.items:
            self._version = result.items[-1].version
        elif prefix == self._watched_prefix():
            # Past the end of a block there may be entries that this watch didn't cover.
            self._version = result.version
        if not result.items and self._replica.revision() < self._replica.newest_known_revision():
            # Peers have newer revisions that no watch will return: a store that lost writes was
            # restored from a snapshot, and its counter is past the version watched from.
            return await self.read()
        if prefix == self._watched_prefix():
            self._replica.confirm_newest(self._replica.revision())
        return Success(self._replica.revision())

    async def change_id_in_log(self, revision: int) -> str | None:
        """Return the id of the change at a revision if the stored log provably continues from it.

        An entry can be written so late that another entry of its revision was written before, and
        deleted behind a snapshot. The key then exists, but the next key is missing or was written
        before it. Such an entry is not part of the log, and the result is ``None``.
        """
        outcome = await self._store.list(LOG_PREFIX, after_key=log_key(revision - 1), limit=2)
        items = outcome.value_or(())
        if [item.key for item in items] != [log_key(revision), log_key(revision + 1)]:
            return None
        if items[0].version > items[1].version:
            return None
        return Entry.decode(items[0].value).change_id

    async def _read_page(self, expected_revision: int) -> Result[bool, Failure]:
        """Read and apply one page of the log.

        Args:
            expected_revision: Newest revision that the store was known to have before the read.

        Returns:
            Whether the read is complete, either because the log's end is reached or because a fault
            was reported; or the store's failure.
        """
        held = self._replica.revision()
        held_id = self._replica.change_id_at(held)
        after_key = log_key(held - 1) if held > 0 else ""
        outcome = await self._store.list(LOG_PREFIX, after_key=after_key, limit=PAGE_ENTRIES)
        if not isinstance(outcome, Success):
            return Err(outcome.failure())
        items = outcome.unwrap()
        checked = await self._check_start(held, held_id, items)
        if not isinstance(checked, Success):
            return Err(checked.failure())
        if checked.unwrap() is not _LogStart.AGREES:
            return Success(checked.unwrap() is _LogStart.REGRESSED)
        return await self._apply_page(items, held, expected_revision)

    async def _apply_page(
        self, items: tuple[Versioned, ...], held: int, expected_revision: int
    ) -> Result[bool, Failure]:
        applied = self._apply_items(items)
        ended = len(items) < PAGE_ENTRIES
        newest = log_revision(items[-1].key) if items else held
        if applied is EntryOutcome.GAP or (ended and newest < expected_revision):
            skipped = await self._install_newer_snapshot(newest, expected_revision)
            return skipped.map(lambda moved: not moved)
        if applied not in (EntryOutcome.TAKEN, EntryOutcome.KNOWN):
            return Success(True)
        if items:
            self._version = items[-1].version
        if ended:
            self._replica.clear_fault()
            self._replica.confirm_newest(newest)
        return Success(ended)

    def _watched_prefix(self) -> str:
        return log_key(self._replica.revision() + 1)[:-WATCHED_BLOCK_DIGITS]

    async def _check_start(
        self, held: int, held_id: str | None, items: tuple[Versioned, ...]
    ) -> Result[_LogStart, Failure]:
        first = log_revision(items[0].key) if items else 0
        if held > 0 and first == held:
            return Success(_LogStart.AGREES)
        outcome = await read_pointer(self._store)
        if not isinstance(outcome, Success):
            return Err(outcome.failure())
        stored = outcome.unwrap()
        if stored is None:
            return Success(self._check_without_snapshot(held, first))
        if stored.pointer.revision > held:
            return await self._install_stored_snapshot(stored.pointer, follows=first == held + 1)
        if stored.pointer.revision == held and stored.pointer.last_change_id == held_id:
            self._version = stored.version
            return Success(_LogStart.AGREES)
        self._report_regression(
            f"has snapshot {stored.pointer.revision} and no entry of revision {held}"
        )
        return Success(_LogStart.REGRESSED)

    def _check_without_snapshot(self, held: int, first: int) -> _LogStart:
        if held == 0 and first <= 1:
            return _LogStart.AGREES
        self._report_regression(f"has neither a snapshot nor the entry of revision {max(held, 1)}")
        return _LogStart.REGRESSED

    async def _install_stored_snapshot(
        self, pointer: Pointer, *, follows: bool
    ) -> Result[_LogStart, Failure]:
        """Install a stored snapshot; if it has lost a part, continue from the log if possible.

        If the store loses its last writes while a snapshot is being written, the pointer that is
        written next can name a part that is gone. A process without peers could then never load.

        Args:
            pointer: The pointer to the snapshot.
            follows: Whether the stored log continues directly from the replica's revision.
        """
        outcome = await read_snapshot(self._store, pointer)
        if isinstance(outcome, Success):
            self._replica.install_snapshot(outcome.unwrap())
            return Success(_LogStart.MOVED)
        if outcome.failure().kind is not ErrorKind.CONFLICT:
            return Err(outcome.failure())
        again = await read_pointer(self._store)
        if not isinstance(again, Success):
            return Err(again.failure())
        stored = again.unwrap()
        if stored is None or stored.pointer != pointer:
            # A newer snapshot replaced this one while it was being read.
            return Success(_LogStart.MOVED)
        if follows:
            return Success(_LogStart.AGREES)
        self._report_regression(f"has lost a part of snapshot {pointer.revision}")
        return Success(_LogStart.REGRESSED)

    async def _install_newer_snapshot(
        self, newest: int, expected_revision: int
    ) -> Result[bool, Failure]:
        """Install a snapshot beyond the log's end or gap, which a restored store can have.

        Args:
            newest: Revision of the last entry that the log has.
            expected_revision: Newest revision that the store was known to have before the read.

        Returns:
            Whether the log has to be read again; or the store's failure. Without a newer snapshot a
            regression is reported.
        """
        held = self._replica.revision()
        outcome = await read_pointer(self._store)
        if not isinstance(outcome, Success):
            return Err(outcome.failure())
        stored = outcome.unwrap()
        if stored is not None and stored.pointer.revision > held:
            loaded = await self._install_stored_snapshot(stored.pointer, follows=False)
            return loaded.map(lambda start: start is _LogStart.MOVED)
        self._report_regression(
            f"goes from revision {held} to {newest}; it had {expected_revision}"
        )
        return Success(False)

    def _apply_items(self, items: Iterable[Versioned]) -> EntryOutcome:
        applied = EntryOutcome.KNOWN
        for item in items:
            applied = self._apply_item(item)
            if applied is EntryOutcome.CONTRADICTS:
                self._report_regression(f"shows another change under {item.key}")
            if applied not in (EntryOutcome.TAKEN, EntryOutcome.KNOWN):
                break
        return applied

    def _apply_watched_items(self, items: Iterable[Versioned]) -> bool:
        return all(
            self._apply_item(item) in (EntryOutcome.TAKEN, EntryOutcome.KNOWN) for item in items
        )

    def _apply_item(self, item: Versioned) -> EntryOutcome:
        try:
            entry = Entry.decode(item.value)
        except ValidationError as error:
            reason = f"{item.key} can't be read by this release: {error}"
            self._replica.report_fault(Failure(kind=ErrorKind.INTERNAL, reason=reason))
            return EntryOutcome.UNUSABLE
        if log_key(entry.revision) != item.key:
            reason = f"{item.key} holds an entry of revision {entry.revision}"
            self._replica.report_fault(Failure(kind=ErrorKind.INTERNAL, reason=reason))
            return EntryOutcome.UNUSABLE
        return self._replica.apply_entry(entry)

    def _report_regression(self, problem: str) -> None:
        reason = f"the store {problem}; it came back empty, older or with another history"
        self._replica.report_fault(Failure(kind=ErrorKind.STORE_REGRESSED, reason=reason))
