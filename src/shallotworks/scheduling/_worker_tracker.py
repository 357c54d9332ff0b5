"""The workers of one term: which it may use, and which may still run tasks of earlier terms."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._active_workers import ActiveWorker, ActiveWorkersRecord
from ._machine_records import MachineControllerRecord, MachineRecords
from ._model import WorkerView
from ._protocols import WorkerDirectory
from ._scheduler_state import SchedulerState

__all__ = ["DIRECTORY_POLL_INTERVAL_S", "WorkerTracker"]

DIRECTORY_POLL_INTERVAL_S = 0.05


class WorkerTracker:
    """Brings the listed workers onto a service's board, each after it was recorded.

    Args:
        scheduler_state: The board.
        record: The record that the next term reads.
        directory: Lists workers.
        machine_records: What the keeper of machines has taken away.
        clock: Seconds, counting suspended time.
        wall_clock: Time of day in seconds since 1970.
        recovery_s: Whatever an earlier term started on an unseen worker has ended by then.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_machine_records",
        "_record",
        "_recovery_s",
        "_scheduler_state",
        "_wall_clock",
    )

    def __init__(
        self,
        *,
        scheduler_state: SchedulerState,
        record: ActiveWorkersRecord,
        directory: WorkerDirectory,
        machine_records: MachineRecords,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        recovery_s: float,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._record = record
        self._directory = directory
        self._machine_records = machine_records
        self._clock = clock
        self._wall_clock = wall_clock
        self._recovery_s = recovery_s

    def may_use(self, worker_id: str) -> bool:
        """Whether tasks may be started on a worker, as far as the record says."""
        return self._record.may_use(worker_id)

    async def add_recorded_workers(self) -> int:
        """Put the workers of earlier terms on the board, to be seen; return how many there are."""
        await self._record.read()
        for worker_id, active_worker in self._record.active_workers.items():
            self._await_active_worker(worker_id, active_worker)
        return len(self._record.active_workers)

    def _await_active_worker(self, worker_id: str, active_worker: ActiveWorker) -> None:
        """Leave earlier jobs alone until a worker is seen, or what runs there has surely ended."""
        longest_run_s = self._recovery_s
        if active_worker.left_s is not None:
            longest_run_s = min(longest_run_s, active_worker.left_s)
        runs_ended_s = self._clock() + longest_run_s
        self._scheduler_state.pending_recovery[worker_id] = runs_ended_s
        view = WorkerView(
            worker_id=worker_id,
            service=self._scheduler_state.service,
            address=active_worker.address,
        )
        self._scheduler_state.update_worker(view)
        self._scheduler_state.mark_unlisted(worker_id)
        self._scheduler_state.workers[worker_id].lease_ends_s = runs_ended_s

    async def follow(self, on_change: Callable[[], None]) -> None:
        """Follow the directory and the keeper's word, until cancelled.

        Args:
            on_change: Called when the board has changed.
        """
        synced_version: tuple[int, MachineControllerRecord] | None = None
        while True:
            version = (self._directory.version, self._machine_records.controller)
            if version != synced_version:
                synced_version = version if await self._sync_directory() else None
                on_change()
            await asyncio.sleep(DIRECTORY_POLL_INTERVAL_S)

    async def _sync_directory(self) -> bool:
        """Put the listed workers on the board; return whether all of them may be used."""
        listed = self._listed_workers()
        for worker_id, worker in self._scheduler_state.workers.items():
            if worker_id not in listed:
                worker.is_listed = False
            elif listed[worker_id].is_draining:
                # Known before the record leaves it out: nothing may start there from then on.
                self._scheduler_state.update_worker(listed[worker_id])
        is_stored = await self.update_record()
        for worker_id, view in listed.items():
            if self._record.may_use(worker_id):
                self._scheduler_state.update_worker(view)
        return is_stored

    def _listed_workers(self) -> dict[str, WorkerView]:
        """Return the listed workers but for those that are over, whose entries stay on."""
        listed = self._directory.workers_of(self._scheduler_state.service)
        self._scheduler_state.drop_replaced(listed)
        for worker_id in self._machine_records.controller.over:
            listed.pop(worker_id, None)
            if worker_id in self._scheduler_state.workers:
                self._scheduler_state.worker_ended(
                    worker_id, "taken away", self._clock(), self._wall_clock(), is_planned=True
                )
        return listed

    async def update_record(self) -> bool:
        """Have the record name the workers that this term may use, and no others.

        The failure: a worker leaves, or crashes, and stays in the record. After a crash or an
        outage of the store the next term can't reach it, and leaves all earlier jobs alone for 7 s
        though nothing runs there. So workers that are over go, and so do drained ones before they
        leave: their end may fall into a time without a scheduler.
        """
        return await self._record.keep(self._usable_workers)

    def _usable_workers(self) -> dict[str, ActiveWorker]:
        listed = self._listed_workers()
        views = {
            worker_id: worker.view for worker_id, worker in self._scheduler_state.workers.items()
        }
        views |= listed
        return {
            worker_id: ActiveWorker(address=view.address)
            for worker_id, view in views.items()
            if not view.is_draining or self._may_have_runs(worker_id)
        }

    def _may_have_runs(self, worker_id: str) -> bool:
        worker = self._scheduler_state.workers.get(worker_id)
        is_unseen = worker_id in self._scheduler_state.pending_recovery
        return is_unseen or (worker is not None and bool(worker.runs or worker.unsettled))

    async def hand_over(self) -> None:
        """Leave to the next term the workers that may run something, and no others."""
        await self._record.keep(self._workers_to_hand_over)

    def _workers_to_hand_over(self) -> dict[str, ActiveWorker]:
        """Return the workers that may run something, now that this term orders nothing more.

        What an earlier term left on a worker that was never reached ends no later for the change:
        where instances are stopped in turn, each successor would wait for it from the start.

        The failure: a task runs again on another worker, after it has ended on one that is left out
        since nothing runs there, and before its end was stored. Such a worker still tells the end,
        so it is to be seen first.
        """
        now_s = self._clock()
        active_workers: dict[str, ActiveWorker] = {}
        for worker_id, worker in self._scheduler_state.workers.items():
            address = worker.view.address
            until_s = self._scheduler_state.pending_recovery.get(worker_id)
            if until_s is not None:
                active_workers[worker_id] = ActiveWorker(
                    address=address, left_s=max(0.0, until_s - now_s)
                )
            elif worker.runs or worker.unsettled:
                active_workers[worker_id] = ActiveWorker(address=address)
        return active_workers
