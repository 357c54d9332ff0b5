"""Snapshots of the configuration in the platform's service, and the keys of the stored log.

A snapshot is written in parts that never change, and then the pointer to it is replaced by a
compare-and-swap. A reader therefore sees either the old snapshot or the new one, each complete.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TypeVar

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import KeyValueStore, Versioned

from ._entries import Snapshot

__all__ = [
    "LOG_PREFIX",
    "MAX_LISTED_PARTS",
    "PARTS_PREFIX",
    "Pointer",
    "delete_older_snapshots",
    "is_complete",
    "log_key",
    "log_revision",
    "read_pointer",
    "read_snapshot",
    "write_snapshot",
]

LOG_PREFIX = "config/log/"
POINTER_KEY = "config/newest-snapshot"
PARTS_PREFIX = "config/snapshot/"
REVISION_DIGITS = 20
PART_BYTES = 700_000
"""Below the service's limit of 1 MB, with room for the base64 encoding."""
COMPRESSION_LEVEL = 6
MAX_LISTED_PARTS = 64
"""Maximum number of snapshot parts that one call lists."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Pointer:
    """Names the newest snapshot.

    Args:
        revision: The snapshot's revision.
        last_change_id: Id of the change that led to the revision.
        name: Key of the snapshot's parts without their numbers.
        parts: Number of parts.
    """

    revision: int
    last_change_id: str
    name: str
    parts: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredPointer:
    """The pointer as read, with the version that a compare-and-swap needs.

    Args:
        pointer: The pointer.
        version: Version of the pointer's key.
    """

    pointer: Pointer
    version: int


_POINTER = TypeAdapter(Pointer)
_Value = TypeVar("_Value")


def log_key(revision: int) -> str:
    """Return the key of a revision's entry; keys sort in the order of revisions."""
    return f"{LOG_PREFIX}{revision:0{REVISION_DIGITS}d}"


def log_revision(key: str) -> int:
    """Return the revision of an entry's key."""
    return int(key.removeprefix(LOG_PREFIX))


async def read_pointer(store: KeyValueStore) -> Result[StoredPointer | None, Failure]:
    """Read the pointer to the newest snapshot; ``None`` if there is none."""
    outcome = await store.get(POINTER_KEY)
    if not isinstance(outcome, Success):
        return Err(outcome.failure())
    item = outcome.unwrap()
    if item is None:
        return Success(None)
    try:
        pointer = _POINTER.validate_json(item.value)
    except ValidationError as error:
        return _unreadable(f"the snapshot's pointer: {error}")
    return Success(StoredPointer(pointer=pointer, version=item.version))


async def read_snapshot(store: KeyValueStore, pointer: Pointer) -> Result[Snapshot, Failure]:
    """Read the parts of a snapshot.

    Returns:
        The snapshot; ``CONFLICT`` if a part is gone, because a newer snapshot has replaced this one
        or the store has lost the part.
    """
    parts = []
    for number in range(pointer.parts):
        outcome = await store.get(_part_key(pointer.name, number))
        if not isinstance(outcome, Success):
            return Err(outcome.failure())
        item = outcome.unwrap()
        if item is None:
            reason = f"part {number} of snapshot {pointer.revision} is gone"
            return Err(Failure(kind=ErrorKind.CONFLICT, reason=reason))
        parts.append(item.value)
    try:
        return Success(Snapshot.decode(zlib.decompress(b"".join(parts))))
    except (ValidationError, zlib.error) as error:
        return _unreadable(f"snapshot {pointer.revision}: {error}")


async def is_complete(store: KeyValueStore, pointer: Pointer) -> bool:
    """Return whether a snapshot has all its parts, which a store that lost writes may lack.

    A snapshot whose parts can't be read, for example while the store is down, counts as complete.
    """
    outcome = await read_snapshot(store, pointer)
    return isinstance(outcome, Success) or outcome.failure().kind is not ErrorKind.CONFLICT


async def write_snapshot(store: KeyValueStore, snapshot: Snapshot) -> Result[Pointer, Failure]:
    """Write a snapshot, read it back, and return the pointer to it.

    Returns:
        The pointer; ``CONFLICT`` if the store has a complete snapshot that is as new or newer; a
        failure of the store. After a failure nothing that a reader uses has changed.
    """
    data = zlib.compress(snapshot.encode(), COMPRESSION_LEVEL)
    chunks = [data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)]
    revision = snapshot.state.revision
    pointer = Pointer(
        revision=revision,
        last_change_id=snapshot.last_change_id,
        name=f"{PARTS_PREFIX}{revision:0{REVISION_DIGITS}d}-{snapshot.last_change_id}",
        parts=len(chunks),
    )
    before = await read_pointer(store)
    if not isinstance(before, Success):
        return Err(before.failure())
    present = before.unwrap()
    is_current = present is not None and present.pointer.revision >= revision
    if present is not None and is_current and await is_complete(store, present.pointer):
        reason = f"the store has snapshot {present.pointer.revision}"
        return Err(Failure(kind=ErrorKind.CONFLICT, reason=reason))
    for number, chunk in enumerate(chunks):
        outcome = await store.create(_part_key(pointer.name, number), chunk)
        if not isinstance(outcome, Success) and not _may_exist(outcome.failure()):
            return Err(outcome.failure())
    # The read also confirms parts whose answers were lost, and parts that another process wrote.
    read_back = await read_snapshot(store, pointer)
    if not isinstance(read_back, Success):
        return Err(read_back.failure())
    if read_back.unwrap() != snapshot:
        return _unreadable(f"snapshot {revision} reads back as another")
    return await _update_pointer(store, pointer, present)


async def delete_older_snapshots(store: KeyValueStore, *, below: int) -> Result[int, Failure]:
    """Delete the parts of snapshots below a revision; return the number of such parts."""
    outcome = await store.list(PARTS_PREFIX, limit=MAX_LISTED_PARTS)
    if not isinstance(outcome, Success):
        return Err(outcome.failure())
    old = [item for item in outcome.unwrap() if _part_revision(item) < below]
    for item in old:
        await store.delete(item.key, version=item.version)
    return Success(len(old))


async def _update_pointer(
    store: KeyValueStore, pointer: Pointer, present: StoredPointer | None
) -> Result[Pointer, Failure]:
    value = _POINTER.dump_json(pointer)
    if present is None:
        outcome = await store.create(POINTER_KEY, value)
    else:
        outcome = await store.compare_and_swap(POINTER_KEY, value, version=present.version)
    if isinstance(outcome, Success):
        return Success(pointer)
    if outcome.failure().kind is not ErrorKind.OUTCOME_UNKNOWN:
        return Err(outcome.failure())
    after = await read_pointer(store)
    stored = after.value_or(None)
    if stored is not None and stored.pointer == pointer:
        return Success(pointer)
    return Err(outcome.failure())


def _may_exist(failure: Failure) -> bool:
    return failure.kind in (ErrorKind.CONFLICT, ErrorKind.OUTCOME_UNKNOWN)


def _part_key(name: str, number: int) -> str:
    return f"{name}/{number:04d}"


def _part_revision(item: Versioned) -> int:
    return int(item.key.removeprefix(PARTS_PREFIX)[:REVISION_DIGITS])


def _unreadable(what: str) -> Result[_Value, Failure]:
    return Err(Failure(kind=ErrorKind.INTERNAL, reason=f"unreadable: {what}"))
