"""Tracks which workers one epoch may use, and which may still run tasks of earlier epochs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._active_workers import ActiveWorker, ActiveWorkersRecord
from ._model import WorkerView
from ._order_times import OrderTimes
from ._protocols import WorkerDirectory
from ._scheduler_state import SchedulerState
from .machines import MachineControllerRecord, MachineRecords

__all__ = ["DIRECTORY_POLL_INTERVAL_S", "WorkerTracker"]

DIRECTORY_POLL_INTERVAL_S = 0.05


class WorkerTracker:
    """Adds listed workers to a service's scheduler state once the active workers record names them.

    Args:
        scheduler_state: The scheduler state.
        record: The active workers record, which the next epoch reads.
        directory: Lists workers.
        machine_records: Says which workers the machine controller has removed.
        clock: Seconds, counting suspended time.
        wall_clock: Time of day in seconds since 1970.
        times: Times of leases.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_machine_records",
        "_record",
        "_scheduler_state",
        "_times",
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
        times: OrderTimes,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._record = record
        self._directory = directory
        self._machine_records = machine_records
        self._clock = clock
        self._wall_clock = wall_clock
        self._times = times

    def is_recorded(self, worker_id: str) -> bool:
        """Whether the active workers record allows tasks to be started on a worker."""
        return self._record.is_recorded(worker_id)

    async def add_recorded_workers(self) -> int:
        """Add the recorded workers of earlier epochs, to be recovered; return their number."""
        await self._record.read()
        for worker_id, active_worker in self._record.active_workers.items():
            self._await_active_worker(worker_id, active_worker)
        return len(self._record.active_workers)

    def _await_active_worker(self, worker_id: str, active_worker: ActiveWorker) -> None:
        """Hold earlier jobs back until a worker answers, or until what runs there has ended."""
        lease_s = active_worker.lease_s
        if lease_s is None:
            lease_s = self._times.earlier_lease_s
        longest_run_s = self._times.recovery_after_s(lease_s)
        if active_worker.left_s is not None:
            longest_run_s = min(longest_run_s, active_worker.left_s)
        runs_ended_s = self._clock() + longest_run_s
        self._scheduler_state.pending_recovery[worker_id] = runs_ended_s
        view = WorkerView(
            worker_id=worker_id,
            service=self._scheduler_state.service,
            address=active_worker.address,
            born_ms=active_worker.born_ms,
        )
        self._scheduler_state.update_worker(view)
        self._scheduler_state.mark_unlisted(worker_id)
        worker = self._scheduler_state.workers[worker_id]
        worker.lease_ends_s = runs_ended_s
        worker.earlier_lease_s = lease_s

    async def follow(self, on_change: Callable[[], None]) -> None:
        """Follow the directory and the machine controller's record, until cancelled.

        Args:
            on_change: Called when the scheduler state has changed.
        """
        synced_version: tuple[int, MachineControllerRecord] | None = None
        while True:
            version = (self._directory.version, self._machine_records.controller)
            if version != synced_version:
                synced_version = version if await self._sync_directory() else None
                on_change()
            await asyncio.sleep(DIRECTORY_POLL_INTERVAL_S)

    async def _sync_directory(self) -> bool:
        """Update the scheduler state from the directory; return whether the record was stored."""
        listed = self._listed_workers()
        for worker_id, worker in list(self._scheduler_state.workers.items()):
            view = listed.get(worker_id)
            if view is None:
                worker.is_listed = False
            elif view.is_draining or view.incarnation.is_later_than(worker.incarnation):
                # Set before the record omits the worker, since nothing may start there afterwards.
                self._update_worker(view)
        is_stored = await self.update_record()
        for worker_id, view in listed.items():
            if self._record.is_recorded(worker_id):
                self._update_worker(view)
        return is_stored

    def _update_worker(self, view: WorkerView) -> None:
        """Add or update a worker, or replace it by the later incarnation that discovery lists."""
        worker = self._scheduler_state.workers.get(view.worker_id)
        if worker is None:
            self._scheduler_state.crashes.note_worker_added(view, self._wall_clock())
        if worker is None or not view.incarnation.is_later_than(worker.incarnation):
            self._scheduler_state.update_worker(view)
            return
        now_s = self._clock()
        restarted = self._scheduler_state.note_restarted(
            worker,
            view,
            now_s=now_s,
            wall_s=self._wall_clock(),
            runs_end_s=now_s + self._times.recovery_s,
        )
        restarted.is_listed = True

    def _listed_workers(self) -> dict[str, WorkerView]:
        """Return the listed workers without those that were replaced or removed.

        Workers that the machine controller has removed stay listed for a while. Their end is
        recorded in the scheduler state here.
        """
        listed = self._directory.workers_of(self._scheduler_state.service)
        self._scheduler_state.drop_replaced(listed)
        for removed in self._machine_records.controller.over:
            worker_id = removed.worker_id
            view = listed.get(worker_id)
            if view is not None and removed.is_same_or_later_than(view.incarnation):
                del listed[worker_id]
            worker = self._scheduler_state.workers.get(worker_id)
            if worker is not None and removed.is_same_or_later_than(worker.incarnation):
                self._scheduler_state.note_worker_ended(
                    worker_id, "taken away", self._clock(), self._wall_clock(), is_planned=True
                )
        return listed

    async def update_record(self) -> bool:
        """Make the record name the workers that this epoch may use or that may still run its tasks.

        If a worker that left or crashed stayed in the record, the next epoch after a crash or an
        outage of the store could not reach it, and would hold all earlier jobs back for 7 s though
        nothing runs there. So ended workers are removed from the record. Draining workers that run
        nothing are removed before they leave, since they may leave while no scheduler runs.

        Returns:
            Whether the store has confirmed the record.
        """
        return await self._record.update(self._workers_to_record)

    def _workers_to_record(self) -> dict[str, ActiveWorker]:
        listed = self._listed_workers()
        views = {
            worker_id: worker.view for worker_id, worker in self._scheduler_state.workers.items()
        }
        views |= listed
        return {
            worker_id: ActiveWorker(
                address=view.address, born_ms=view.born_ms, lease_s=self._longest_lease_s(worker_id)
            )
            for worker_id, view in views.items()
            if not view.is_draining or self._may_have_runs(worker_id)
        }

    def _longest_lease_s(self, worker_id: str) -> float:
        """Return the longest lease that may have been granted on a worker."""
        worker = self._scheduler_state.workers.get(worker_id)
        earlier_lease_s = worker.earlier_lease_s if worker is not None else None
        return max(self._times.lease_s, earlier_lease_s or 0.0)

    def _may_have_runs(self, worker_id: str) -> bool:
        worker = self._scheduler_state.workers.get(worker_id)
        is_pending_recovery = worker_id in self._scheduler_state.pending_recovery
        return is_pending_recovery or (
            worker is not None and bool(worker.runs or worker.unsettled_ends)
        )

    async def hand_over(self) -> None:
        """Record for the next epoch only the workers that may still run a task."""
        await self._record.update(self._workers_to_hand_over)

    def _workers_to_hand_over(self) -> dict[str, ActiveWorker]:
        """Return the workers that may still run a task, now that this epoch sends no more orders.

        A worker of an earlier epoch that was never reached keeps the time at which its tasks have
        ended. Otherwise, while instances are stopped one after another, each successor would wait
        the full recovery time for it. A worker with runs of this epoch is recorded with the rest of
        its lease, since it may be lost before the successor reaches it.

        A worker on which nothing runs is included as long as an end that it reported is not stored.
        Without it the successor would run the ended task again on another worker; if it polls the
        worker first, the worker reports the end again.
        """
        now_s = self._clock()
        active_workers: dict[str, ActiveWorker] = {}
        for worker_id, worker in self._scheduler_state.workers.items():
            runs_ended_s = self._scheduler_state.recovery_ends_s(worker_id)
            if runs_ended_s is None and worker.runs and not worker.unsettled_ends:
                runs_ended_s = worker.lease_ends_s
            if runs_ended_s is None and not worker.unsettled_ends:
                continue
            active_workers[worker_id] = ActiveWorker(
                address=worker.view.address,
                left_s=None if runs_ended_s is None else max(0.0, runs_ended_s - now_s),
                born_ms=worker.view.born_ms,
                lease_s=self._longest_lease_s(worker_id),
            )
        return active_workers
