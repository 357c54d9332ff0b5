"""Reading past entries and past states from the platform's key-value service."""

from __future__ import annotations

import zlib
from collections import defaultdict

from pydantic import ValidationError
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import FleetState, apply
from shallotworks.kv import KeyValueStore

from ._entries import Entry, Snapshot
from ._snapshots import LOG_PREFIX, MAX_LISTED_PARTS, PARTS_PREFIX, log_key

__all__ = ["read_entries", "state_at"]

PAGE_ENTRIES = 1_000


async def read_entries(
    store: KeyValueStore, *, after: int, limit: int
) -> Result[tuple[Entry, ...], Failure]:
    """Read the entries after a revision that the log still holds, oldest first.

    Args:
        store: The platform's key-value service.
        after: Revision before the first entry read.
        limit: Maximum number of entries read.

    Returns:
        The entries; the store's failure; ``INTERNAL`` if an entry can't be decoded.
    """
    outcome = await store.list(LOG_PREFIX, after_key=log_key(after), limit=limit)
    if not isinstance(outcome, Success):
        return Err(outcome.failure())
    try:
        return Success(tuple(Entry.decode(item.value) for item in outcome.unwrap()))
    except ValidationError as error:
        return Err(Failure(kind=ErrorKind.INTERNAL, reason=f"an unreadable entry: {error}"))


async def state_at(store: KeyValueStore, revision: int) -> Result[FleetState, Failure]:
    """Return the state at a past revision.

    This takes one read of the snapshots, and one for each thousand entries between the newest
    usable snapshot and the revision.

    Returns:
        The state; the store's failure; ``NOT_FOUND`` if the snapshots and the log don't reach back
        to the revision, or the revision has not been written yet.
    """
    base = await _snapshot_before(store, revision)
    if not isinstance(base, Success):
        return Err(base.failure())
    state = base.unwrap()
    while state.revision < revision:
        limit = min(PAGE_ENTRIES, revision - state.revision)
        page = await read_entries(store, after=state.revision, limit=limit)
        if not isinstance(page, Success):
            return Err(page.failure())
        advanced = _apply_all(state, page.unwrap())
        if advanced.revision == state.revision:
            return _not_retained(revision)
        state = advanced
    return Success(state)


def _apply_all(state: FleetState, entries: tuple[Entry, ...]) -> FleetState:
    for entry in entries:
        if entry.revision != state.revision + 1:
            break
        state = apply(state, entry.change).value_or(state)
    return state


async def _snapshot_before(store: KeyValueStore, revision: int) -> Result[FleetState, Failure]:
    outcome = await store.list(PARTS_PREFIX, limit=MAX_LISTED_PARTS)
    if not isinstance(outcome, Success):
        return Err(outcome.failure())
    parts: dict[str, list[bytes]] = defaultdict(list)
    for item in outcome.unwrap():
        parts[item.key.rpartition("/")[0]].append(item.value)
    best = FleetState()
    for chunks in parts.values():
        state = _decode(b"".join(chunks))
        if state is not None and best.revision < state.revision <= revision:
            best = state
    return Success(best)


def _decode(data: bytes) -> FleetState | None:
    # A snapshot with a missing part can't be decompressed. It is skipped: the pointer, which is
    # written after all parts, never named it.
    try:
        return Snapshot.decode(zlib.decompress(data)).state
    except (ValidationError, zlib.error):
        return None


def _not_retained(revision: int) -> Result[FleetState, Failure]:
    reason = f"revision {revision} is not kept any more, or not written yet"
    return Err(Failure(kind=ErrorKind.NOT_FOUND, reason=reason))
