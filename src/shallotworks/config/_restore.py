"""Restoring the store's configuration from a replica after the store has lost writes."""

from __future__ import annotations

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import KeyValueStore, Versioned

from ._replica import Replica
from ._snapshots import LOG_PREFIX, is_complete, log_key, log_revision, read_pointer, write_snapshot
from ._window import WINDOW_ENTRIES

__all__ = ["restore"]

PAGE_ENTRIES = 1_000


async def restore(store: KeyValueStore, replica: Replica) -> Result[int, Failure]:
    """Bring the store's configuration to the replica's revision.

    If the replica's last entries continue the stored log or snapshot, the missing entries are
    written, and the store is as if it had never lost them. Otherwise the state is written as a
    snapshot and the log before it is deleted, so that a lagging process finds no old end of the log
    to continue from.

    Returns:
        The number of entries written, 0 for a snapshot; ``CONFLICT`` if nothing is missing; a
        failure of the store, after which the restore can be tried again.
    """
    listed = await _list_log(store)
    if not isinstance(listed, Success):
        return Err(listed.failure())
    items = listed.unwrap()
    pointer = await read_pointer(store)
    if not isinstance(pointer, Success):
        return Err(pointer.failure())
    present = {log_revision(item.key) for item in items}
    entries = replica.history(limit=WINDOW_ENTRIES)
    newest_missing = _newest_missing_revision(
        replica.revision(), present | {entry.revision for entry in entries}
    )
    stored = pointer.unwrap()
    is_usable = stored is not None and await is_complete(store, stored.pointer)
    if newest_missing > (stored.pointer.revision if stored is not None and is_usable else 0):
        return await _replace_log(store, replica, items)
    missing = [entry for entry in entries if entry.revision not in present]
    if not missing:
        reason = "the store lacks nothing that is held here"
        return Err(Failure(kind=ErrorKind.CONFLICT, reason=reason))
    for entry in missing:
        created = await store.create(log_key(entry.revision), entry.encode())
        if not isinstance(created, Success):
            return Err(created.failure())
    return Success(len(missing))


def _newest_missing_revision(held: int, known: set[int]) -> int:
    """Return the newest revision up to ``held`` that is not in ``known``; 0 for none."""
    revision = held
    while revision in known:
        revision -= 1
    return revision


async def _replace_log(
    store: KeyValueStore, replica: Replica, items: tuple[Versioned, ...]
) -> Result[int, Failure]:
    snapshot = replica.snapshot()
    written = await write_snapshot(store, snapshot)
    if not isinstance(written, Success):
        return Err(written.failure())
    for item in items:
        if log_revision(item.key) < snapshot.state.revision:
            deleted = await store.delete(item.key, version=item.version)
            if not isinstance(deleted, Success):
                return Err(deleted.failure())
    return Success(0)


async def _list_log(store: KeyValueStore) -> Result[tuple[Versioned, ...], Failure]:
    items: list[Versioned] = []
    while True:
        after_key = items[-1].key if items else ""
        outcome = await store.list(LOG_PREFIX, after_key=after_key, limit=PAGE_ENTRIES)
        if not isinstance(outcome, Success):
            return Err(outcome.failure())
        items.extend(outcome.unwrap())
        if len(outcome.unwrap()) < PAGE_ENTRIES:
            return Success(tuple(items))
