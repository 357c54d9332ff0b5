"""The record of the workers that may run a service's tasks, which each term leaves to the next."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from shallotworks.logs import StructuredLog
from shallotworks.store import FencedRecord, HeldLease, Store

__all__ = ["ActiveWorker", "ActiveWorkersRecord", "active_workers_key"]

UNREADABLE_RECORD_ID = "unreadable-record"
"""Stands for the workers of a record that can't be read."""
READ_RETRY_S = 0.1
"""Between tries to read the record while the store fails."""


def active_workers_key(service: str) -> str:
    """Return the key of a service's record."""
    return f"shallotworks/runners/{service}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ActiveWorker:
    """A worker that may run tasks of the service.

    Args:
        address: ``ip:port``.
        left_s: Whatever runs there has ended this long after the record was written, since the term
            that wrote it never reached the worker, and gives no orders any more; ``None`` where the
            term may have started tasks.
    """

    address: str
    left_s: float | None = None


class ActiveWorkersRecord:
    """The record as the holder of the service's key keeps it.

    The failure that it guards against: a successor that starts a task again while a worker that it
    has never heard of, and can't reach, still runs it. Before a term gives its first order to a
    worker it enters it here; a successor leaves earlier jobs alone until it has seen each worker of
    the record, or their leases have run out.

    Args:
        service: The service.
        lease: The held key.
        store: The store.
        log: What the record can't be read for.
    """

    __slots__ = ("_decoded_value", "_key", "_lock", "_log", "_record", "active_workers")

    def __init__(self, *, service: str, lease: HeldLease, store: Store, log: StructuredLog) -> None:
        self._key = active_workers_key(service)
        self._log = log
        self._record = FencedRecord(key=self._key, lease=lease, store=store, log=log)
        self._lock = asyncio.Lock()
        self._decoded_value: bytes | None = None
        self.active_workers: dict[str, ActiveWorker] = {}
        """By worker's id, as the store has them."""

    @staticmethod
    def decode(value: bytes) -> dict[str, ActiveWorker]:
        """Return what a stored record says, by worker's id."""
        return {
            worker_id: ActiveWorker(address=row["address"], left_s=row["left_s"])
            for worker_id, row in json.loads(value).items()
        }

    def may_use(self, worker_id: str) -> bool:
        """Whether tasks may be started on a worker: whatever stands there, the record names it."""
        active_worker = self.active_workers.get(worker_id)
        may_be_absent = any(
            worker_id not in self.decode(value) for value in self._record.unconfirmed_values
        )
        return active_worker is not None and active_worker.left_s is None and not may_be_absent

    async def read(self) -> None:
        """Read what the last term left; tries until the store answers."""
        while not await self._record.read():
            await asyncio.sleep(READ_RETRY_S)
        self._load()

    async def keep(self, compute_record: Callable[[], dict[str, ActiveWorker]]) -> bool:
        """Write the record where it differs from what is wanted; return whether it stands so.

        Args:
            compute_record: Returns the record to write; called when it is this write's turn.
        """
        async with self._lock:
            is_stored = await self._record.put(_encode(compute_record()))
            self._load()
            return is_stored

    def _load(self) -> None:
        value = self._record.value
        if value is None or value == self._decoded_value:
            return
        self._decoded_value = value
        try:
            self.active_workers = self.decode(value)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self._log.line("runners-unreadable", key=self._key, reason=repr(error)[:200])
            # Whoever wrote it may have workers that can't be asked: their leases have to run out.
            self.active_workers = {UNREADABLE_RECORD_ID: ActiveWorker(address="")}


def _encode(active_workers: dict[str, ActiveWorker]) -> bytes:
    rows = {
        worker_id: {"address": active_worker.address, "left_s": active_worker.left_s}
        for worker_id, active_worker in sorted(active_workers.items())
    }
    return json.dumps(rows).encode()
