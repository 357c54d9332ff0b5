"""Claims that one process holds, and the writes that finish them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import KeyValueStore, Versioned
from shallotworks.metrics import Metrics

from ._idempotency_record import IdempotencyRecord

__all__ = ["ClaimLedger", "PendingWrite", "HeldClaim"]


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldClaim:
    """A claim under which this process may be running a request.

    Args:
        record: The record as written.
        version: Its version.
        deadline_s: Event loop time after which the request can't be running here.
    """

    record: IdempotencyRecord
    version: int
    deadline_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingWrite:
    """A write that ends a claim and is not known to have taken effect.

    Args:
        claim_ids: Ids of the claims; several where none of them ran.
        record: The record to write; ``None`` to delete it, since nothing ran.
    """

    claim_ids: frozenset[str]
    record: IdempotencyRecord | None


class ClaimLedger:
    """Keeps what this process knows of its claims beyond what the store says.

    Args:
        store: The platform's service.
        metrics: Where failed writes are counted.
        endings_max: Endings kept while the store is down; further ones are dropped, which leaves
            their keys claimed, and hence never run again.
    """

    __slots__ = ("_endings_max", "_held", "_metrics", "_pending_writes", "_store")

    def __init__(self, *, store: KeyValueStore, metrics: Metrics, endings_max: int) -> None:
        self._store = store
        self._metrics = metrics
        self._endings_max = endings_max
        self._held: dict[str, HeldClaim] = {}
        self._pending_writes: dict[str, PendingWrite] = {}

    def add_held(self, key: str, claim: HeldClaim) -> None:
        """Note a claim under which a request is about to run."""
        self._held[key] = claim

    def held_claim(self, key: str) -> HeldClaim | None:
        """Return the claim held under a key."""
        return self._held.get(key)

    def pending_write(self, key: str) -> PendingWrite | None:
        """Return the pending write of a key that is still to be written."""
        return self._pending_writes.get(key)

    def discard_pending_write(self, key: str) -> None:
        """Forget a pending write, since its claim was taken over."""
        self._pending_writes.pop(key, None)

    def overdue_keys(self, now_s: float) -> list[str]:
        """Return the keys of claims whose requests can't be running any more."""
        return [key for key, held in self._held.items() if held.deadline_s <= now_s]

    async def finish(self, key: str, record: IdempotencyRecord | None) -> None:
        """End the claim held under a key: write its last record, or delete it."""
        held = self._held.pop(key)
        self._add_pending_write(
            key, PendingWrite(claim_ids=frozenset({held.record.claim_id}), record=record)
        )
        # No one else writes a claimed record, so that the version held is the one that stands.
        await self._write(key, held.version)

    def delete_unheld(self, key: str, claim_id: str) -> None:
        """Delete a record that this process may have created and never ran under."""
        previous = self._pending_writes.get(key)
        claim_ids = frozenset({claim_id})
        if previous is not None and previous.record is not None:
            # The record of that run stands, so that no later create can have taken effect.
            return
        if previous is not None:
            claim_ids |= previous.claim_ids
        self._add_pending_write(key, PendingWrite(claim_ids=claim_ids, record=None))

    async def retry_pending_writes(self) -> None:
        """Try every pending write once more; stops at the first that can't be written."""
        for key in list(self._pending_writes):
            if not await self._retry_one(key):
                return

    def _add_pending_write(self, key: str, pending_write: PendingWrite) -> None:
        if len(self._pending_writes) >= self._endings_max:
            self._metrics.count("once.endings-dropped")
            return
        self._pending_writes[key] = pending_write

    async def _retry_one(self, key: str) -> bool:
        """Write one pending write on top of what is read; says whether the store answered."""
        read = await self._store.get(key)
        if not isinstance(read, Success):
            return False
        pending_write = self._pending_writes.get(key)
        present = read.unwrap()
        if pending_write is None:
            return True
        if present is None or _claim_id_of(present) not in pending_write.claim_ids:
            # The create never took effect, or an earlier try did.
            self._discard(key, pending_write)
            return True
        if pending_write.record is not None and present.value == pending_write.record.encode():
            self._discard(key, pending_write)
            return True
        return await self._write(key, present.version)

    async def _write(self, key: str, version: int) -> bool:
        """Write a pending write over a version; says whether it need not be tried again now."""
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

    def _discard(self, key: str, pending_write: PendingWrite) -> None:
        if self._pending_writes.get(key) is pending_write:
            del self._pending_writes[key]


def _claim_id_of(present: Versioned) -> str:
    try:
        return IdempotencyRecord.decode(present.value).claim_id
    except ValidationError:
        return ""


def _kind_of(outcome: Result[Any, Failure]) -> ErrorKind | None:
    return None if isinstance(outcome, Success) else outcome.failure().kind
