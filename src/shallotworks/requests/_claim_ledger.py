"""Claims that this process holds, and the writes that finish them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import Any

from pydantic import ValidationError
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import KeyValueStore, Versioned
from shallotworks.metrics import Metrics

from ._idempotency_record import IdempotencyRecord

__all__ = ["ClaimLedger", "PendingWrite", "HeldClaim"]

LATE_CREATE_S = 30.0
"""A create without an answer may take effect up to this long after it was given up."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldClaim:
    """A claim under which this process may be running a request.

    Args:
        record: The record as written to the store.
        version: Version of the record in the store.
        deadline_s: Event loop time after which this process can't be running the request.
    """

    record: IdempotencyRecord
    version: int
    deadline_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingWrite:
    """A write that finishes a claim and is not known to have taken effect.

    Args:
        claim_ids: Ids of the claims that it finishes; more than one only if none of them ran.
        record: The record to write; ``None`` to delete the record, because nothing ran.
        may_appear_until_s: Event loop time until which a record that is absent may still appear.
        not_before_s: Event loop time before which the write is not retried.
    """

    claim_ids: frozenset[str]
    record: IdempotencyRecord | None
    may_appear_until_s: float = 0.0
    not_before_s: float = 0.0


class ClaimLedger:
    """Claims of this process, with the writes that the store has not confirmed.

    Args:
        store: The platform's key-value store.
        metrics: Counts failed and dropped writes.
        endings_max: Maximum number of pending writes while the store is down. Further ones are
            dropped; their keys stay claimed, so their requests never run again.
    """

    __slots__ = ("_held", "_max_pending_writes", "_metrics", "_pending_writes", "_store")

    def __init__(self, *, store: KeyValueStore, metrics: Metrics, endings_max: int) -> None:
        self._store = store
        self._metrics = metrics
        self._max_pending_writes = endings_max
        self._held: dict[str, HeldClaim] = {}
        self._pending_writes: dict[str, PendingWrite] = {}

    def add_held(self, key: str, claim: HeldClaim) -> None:
        """Add a claim under which a request is about to run."""
        self._held[key] = claim

    def held_claim(self, key: str) -> HeldClaim | None:
        """Return the claim held under a key."""
        return self._held.get(key)

    def pending_write(self, key: str) -> PendingWrite | None:
        """Return the pending write of a key."""
        return self._pending_writes.get(key)

    def discard_pending_write(self, key: str) -> None:
        """Discard a pending write whose claim was taken over."""
        self._pending_writes.pop(key, None)

    def overdue_keys(self, now_s: float) -> list[str]:
        """Return the keys of claims whose deadline is not after `now_s`."""
        return [key for key, held in self._held.items() if held.deadline_s <= now_s]

    async def finish(self, key: str, record: IdempotencyRecord | None) -> None:
        """Finish the claim held under a key by writing its last record or deleting it."""
        held = self._held.pop(key)
        self._add_pending_write(
            key, PendingWrite(claim_ids=frozenset({held.record.claim_id}), record=record)
        )
        # Only the holder writes a claimed record, so the store still has the version held here.
        await self._write(key, held.version)

    def delete_unheld(self, key: str, claim_id: str) -> None:
        """Delete a record that this process may have created without running its request."""
        previous = self._pending_writes.get(key)
        claim_ids = frozenset({claim_id})
        if previous is not None and previous.record is not None:
            # The record of that run is in the store, so no later create can have taken effect.
            return
        if previous is not None:
            claim_ids |= previous.claim_ids
        pending_write = PendingWrite(
            claim_ids=claim_ids, record=None, may_appear_until_s=_loop_time_s() + LATE_CREATE_S
        )
        self._add_pending_write(key, pending_write)

    async def retry_pending_writes(self) -> None:
        """Retry every pending write once; stop at the first that can't be written."""
        now_s = _loop_time_s()
        due = [key for key, one in self._pending_writes.items() if one.not_before_s <= now_s]
        for key in due:
            if not await self._retry_one(key):
                return

    def _add_pending_write(self, key: str, pending_write: PendingWrite) -> None:
        if len(self._pending_writes) >= self._max_pending_writes:
            self._metrics.count("once.endings-dropped")
            return
        self._pending_writes[key] = pending_write

    async def _retry_one(self, key: str) -> bool:
        """Read the record and retry one pending write; return whether to go on with the next."""
        read = await self._store.get(key)
        if not isinstance(read, Success):
            return False
        pending_write = self._pending_writes.get(key)
        present = read.unwrap()
        if pending_write is None:
            return True
        if present is None or _claim_id_of(present) not in pending_write.claim_ids:
            # The create has not taken effect, or an earlier attempt at this write did.
            self._discard_or_postpone(key, pending_write)
            return True
        if pending_write.record is not None and present.value == pending_write.record.encode():
            self._discard(key, pending_write)
            return True
        return await self._write(key, present.version)

    async def _write(self, key: str, version: int) -> bool:
        """Write over a version; return whether the write succeeded or met a version conflict."""
        pending_write = self._pending_writes.get(key)
        if pending_write is None:
            return True
        if pending_write.record is None:
            kind = _kind_of(await self._store.delete(key, version=version))
        else:
            kind = _kind_of(
                await self._store.compare_and_swap(
                    key, pending_write.record.encode(), version=version
                )
            )
        if kind is None:
            self._discard(key, pending_write)
            return True
        self._metrics.count("once.endings-failed")
        return kind is ErrorKind.CONFLICT

    def _discard_or_postpone(self, key: str, pending_write: PendingWrite) -> None:
        """Discard a write whose record is absent, unless the record may still appear."""
        until_s = pending_write.may_appear_until_s
        if _loop_time_s() >= until_s:
            self._discard(key, pending_write)
        else:
            self._pending_writes[key] = replace(pending_write, not_before_s=until_s)

    def _discard(self, key: str, pending_write: PendingWrite) -> None:
        if self._pending_writes.get(key) is pending_write:
            del self._pending_writes[key]


def _loop_time_s() -> float:
    return asyncio.get_running_loop().time()


def _claim_id_of(present: Versioned) -> str:
    try:
        return IdempotencyRecord.decode(present.value).claim_id
    except ValidationError:
        return ""


def _kind_of(outcome: Result[Any, Failure]) -> ErrorKind | None:
    return None if isinstance(outcome, Success) else outcome.failure().kind
