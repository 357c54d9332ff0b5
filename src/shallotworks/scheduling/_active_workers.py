"""Records the workers that may run a service's tasks, for the scheduler of the next epoch."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from shallotworks.logs import StructuredLog
from shallotworks.store import FencedRecord, HeldLease, Store

__all__ = ["ActiveWorker", "ActiveWorkersRecord", "active_workers_key"]

UNREADABLE_RECORD_ID = "unreadable-record"
"""Worker id that stands in for the workers of a record that can't be read."""
READ_RETRY_S = 0.1
"""Pause between attempts to read the record while the store fails."""


def active_workers_key(service: str) -> str:
    """Return the key of a service's record."""
    return f"shallotworks/runners/{service}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ActiveWorker:
    """A worker that may run tasks of the service.

    Args:
        address: ``ip:port``.
        left_s: Time after the record was written at which whatever runs on the worker has ended. It
            is set only if the epoch that wrote the record sends no more orders; else it is
            ``None``, as for a worker with ends that are not stored.
        born_ms: When the worker had started, in milliseconds since 1970; ``None`` if unknown. A
            record of an earlier release has none.
        lease_s: Longest lease that may have been granted on the worker; ``None`` in a record of an
            earlier release.
    """

    address: str
    left_s: float | None = None
    born_ms: int | None = None
    lease_s: float | None = None


class ActiveWorkersRecord:
    """The active workers record, as the holder of the service's lease writes it.

    Without the record, a successor could start a task again while a worker that it does not know,
    and can't reach, still runs it. An epoch therefore records a worker before it sends it the first
    order. A successor holds earlier jobs back until it has reached each recorded worker, or
    until the worker's leases have expired.

    Args:
        service: The service.
        lease: The service's lease.
        store: The store.
        log: Receives the reason if a record can't be read.
    """

    __slots__ = ("_decoded_value", "_key", "_lock", "_log", "_record", "active_workers")

    def __init__(self, *, service: str, lease: HeldLease, store: Store, log: StructuredLog) -> None:
        self._key = active_workers_key(service)
        self._log = log
        self._record = FencedRecord(key=self._key, lease=lease, store=store, log=log)
        self._lock = asyncio.Lock()
        self._decoded_value: bytes | None = None
        self.active_workers: dict[str, ActiveWorker] = {}
        """Active workers by worker id, as last confirmed by the store."""

    @staticmethod
    def decode(value: bytes) -> dict[str, ActiveWorker]:
        """Return the active workers of a stored record, by worker id."""
        return {
            worker_id: ActiveWorker(
                address=row["address"],
                left_s=row["left_s"],
                born_ms=row.get("born_ms"),
                lease_s=row.get("lease_s"),
            )
            for worker_id, row in json.loads(value).items()
        }

    def is_recorded(self, worker_id: str) -> bool:
        """Whether tasks may be started on a worker, which every possible stored value must name.

        It need not name the present incarnation: a successor polls whichever incarnation there is
        and learns from it what runs.
        """
        active_worker = self.active_workers.get(worker_id)
        may_be_absent = any(
            worker_id not in self.decode(value) for value in self._record.unconfirmed_values
        )
        return active_worker is not None and active_worker.left_s is None and not may_be_absent

    async def read(self) -> None:
        """Read the record of the last epoch, retrying until the store answers."""
        while not await self._record.read():
            await asyncio.sleep(READ_RETRY_S)
        self._load()

    async def update(self, compute_record: Callable[[], dict[str, ActiveWorker]]) -> bool:
        """Write the record unless it is stored already; return whether it is stored now.

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
            self._log.line("active-workers-unreadable", key=self._key, reason=repr(error)[:200])
            # The writer may have used workers that this epoch doesn't know and so can't poll.
            # Earlier jobs wait until the leases of those workers have expired.
            self.active_workers = {UNREADABLE_RECORD_ID: ActiveWorker(address="")}


def _encode(active_workers: dict[str, ActiveWorker]) -> bytes:
    rows = {
        worker_id: {
            "address": active_worker.address,
            "left_s": active_worker.left_s,
            "born_ms": active_worker.born_ms,
            "lease_s": active_worker.lease_s,
        }
        for worker_id, active_worker in sorted(active_workers.items())
    }
    return json.dumps(rows).encode()
