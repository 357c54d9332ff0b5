"""The scheduler of one service during one epoch, which ends when the service's lease is lost."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from typing import Any

from returns.result import Success

from shallotworks.jobs import JobKeys, decode_job, decode_progress
from shallotworks.store import (
    FencedRecord,
    HeldLease,
    Item,
    PrefixWatcher,
)

from ._active_workers import ActiveWorkersRecord
from ._decisions import DecisionEngine
from ._first_start import FirstStart
from ._job_cleanup import delete_old_jobs
from ._model import AdviceRequest, StartOrder, Worker
from ._order_dispatcher import OrderDispatcher
from ._progress_writer import ProgressWriter
from ._scheduler_dependencies import SchedulerDependencies
from ._scheduler_state import SchedulerState
from ._waiting import WaitMonitor, first_names
from ._worker_tracker import DIRECTORY_POLL_INTERVAL_S, WorkerTracker
from .machines import DemandPublisher, PoolDemand, PoolSizer, SizingLimits
from .teams import TeamLimits, TeamMonitor, TeamShares, TeamWeights
from .workers import WorkerStates

__all__ = ["ServiceScheduler"]

DECISION_INTERVAL_S = 0.2
"""Decisions are taken at least this often, since some depend on time alone and on no event."""
DECISION_PAUSE_RATIO = 2.0
"""The scheduler pauses for this multiple of the last decision's duration before it decides again.
Events that arrive in a burst are thus decided on together, and two thirds of the process remain
for orders and polls."""
JOB_WATCH_PAUSE_S = 0.025
"""Pause between two batches of job changes; at peak load jobs change a hundred times a second."""
PUBLISH_INTERVAL_S = 1.0
"""The published counts of waiting jobs may be up to 2 s old."""
MAX_PENDING_WORKERS_LOGGED = 10
MAX_ADVISED_WORKERS_LOGGED = 10
MAX_LOGGED_REASON_CHARACTERS = 200
MAX_RENEWAL_AGE_AT_HANDOVER_S = 1.0
"""An epoch ends without a handover if the store has not confirmed a renewal for this long, which is
two renewal intervals."""
STOP_TIMEOUT_S = 0.4
"""An epoch that ends waits this long for the orders in flight, and as long again for its last
commit of progress."""


class ServiceScheduler:
    """Schedules one service while this instance holds the service's lease.

    Args:
        service: The service.
        lease: The service's lease.
        dependencies: Services and settings that the scheduler uses.
    """

    __slots__ = (
        "_background_tasks",
        "_demand_publisher",
        "_dependencies",
        "_first_start",
        "_has_marker",
        "_job_records",
        "_keys",
        "_lease",
        "_order_dispatcher",
        "_pending_counts_record",
        "_progress_writer",
        "_sizer",
        "_team_limits",
        "_team_monitor",
        "_team_shares",
        "_team_weights",
        "_wait_monitor",
        "_watcher",
        "_worker_states",
        "_worker_tracker",
        "decision_engine",
        "is_prepared",
        "scheduler_state",
        "service",
    )

    def __init__(
        self, *, service: str, lease: HeldLease, dependencies: SchedulerDependencies
    ) -> None:
        self.service = service
        self._lease = lease
        self._dependencies = dependencies
        self.is_prepared = asyncio.Event()
        self._keys = JobKeys(service=service)
        self.scheduler_state = SchedulerState(
            service=service, token=lease.token, log=dependencies.log
        )
        self._team_limits = TeamLimits(
            service=service, scheduler_state=self.scheduler_state, team_of=dependencies.team_of
        )
        self._team_weights = TeamWeights(
            scheduler_state=self.scheduler_state, team_of=dependencies.team_of
        )
        self.decision_engine = DecisionEngine(
            scheduler_state=self.scheduler_state,
            order=self._team_weights.order,
            team_rooms=self._team_limits.rooms,
        )
        self._sizer = PoolSizer(scheduler_state=self.scheduler_state, limits=SizingLimits())
        self._wait_monitor = WaitMonitor(
            scheduler_state=self.scheduler_state, metrics=dependencies.metrics, log=dependencies.log
        )
        self._team_monitor = TeamMonitor(
            scheduler_state=self.scheduler_state,
            weights=self._team_weights,
            metrics=dependencies.metrics,
            log=dependencies.log,
        )
        self._worker_states = WorkerStates(
            service=service, workers=self.scheduler_state.workers, metrics=dependencies.metrics
        )
        self._worker_tracker = WorkerTracker(
            scheduler_state=self.scheduler_state,
            record=ActiveWorkersRecord(
                service=service, lease=lease, store=dependencies.store, log=dependencies.log
            ),
            directory=dependencies.directory,
            machine_records=dependencies.machine_records,
            clock=dependencies.clock,
            wall_clock=dependencies.wall_clock,
            times=dependencies.times,
        )
        self._order_dispatcher = OrderDispatcher(
            scheduler_state=self.scheduler_state,
            lease=lease,
            orders=dependencies.orders,
            clock=dependencies.clock,
            wall_clock=dependencies.wall_clock,
            times=dependencies.times,
            is_recorded=self._worker_tracker.is_recorded,
            log=dependencies.log,
            metrics=dependencies.metrics,
            on_progress=self._note_progress,
        )
        self._progress_writer = ProgressWriter(
            scheduler_state=self.scheduler_state,
            lease=lease,
            store=dependencies.store,
            log=dependencies.log,
            metrics=dependencies.metrics,
            on_stored=self._order_dispatcher.wake,
        )
        self._team_shares = TeamShares(
            limits=self._team_limits,
            lease=lease,
            store=dependencies.store,
            clock=dependencies.clock,
            log=dependencies.log,
            on_change=self._order_dispatcher.request_decision,
            is_prepared=self.is_prepared,
        )
        self._watcher = PrefixWatcher(
            store=dependencies.store,
            prefix=self._keys.prefix,
            listener=self,
            log=dependencies.log,
            clock=dependencies.clock,
            pause_s=JOB_WATCH_PAUSE_S,
        )
        self._demand_publisher = DemandPublisher(
            service=service,
            lease=lease,
            store=dependencies.store,
            sizer=self._sizer,
            machine_records=dependencies.machine_records,
            clock=dependencies.clock,
            wall_clock=dependencies.wall_clock,
            log=dependencies.log,
            on_draining=self._evacuate,
        )
        self._pending_counts_record = FencedRecord(
            key=self._keys.pending_counts(),
            lease=lease,
            store=dependencies.store,
            log=dependencies.log,
        )
        self._job_records: dict[str, Item] = {}
        self._has_marker = False
        self._first_start = FirstStart(
            service=service, lease=lease, begun_s=dependencies.clock(), log=dependencies.log
        )
        self._background_tasks: set[asyncio.Task[None]] = set()

    @property
    def is_calm(self) -> bool:
        """Whether this epoch may end now without holding up a task.

        A successor polls each worker before it goes on with what runs there, so that it takes
        longer to begin the more short tasks run; those that last go on by themselves.
        """
        state = self.scheduler_state
        if not self.is_prepared.is_set() or state.pending_recovery:
            return False
        runs = (run for worker in state.workers.values() for run in worker.runs.values())
        return all(run.step.is_lasting for run in runs) and not any(state.open_steps())

    async def run(self) -> None:
        """Schedule until the lease is lost."""
        self._log("epoch-begun")
        coroutines = (
            self._lease.renew_until_lost(),
            self._watcher.run(),
            self._schedule(),
            self._progress_writer.run(),
            self._publish(),
            delete_old_jobs(
                scheduler_state=self.scheduler_state,
                keys=self._keys,
                lease=self._lease,
                dependencies=self._dependencies,
            ),
            self._size_pool(),
            self._team_shares.run(),
        )
        tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
        lease_lost = asyncio.create_task(self._lease.lost_event.wait())
        try:
            done, _ = await asyncio.wait([*tasks, lease_lost], return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if task is not lease_lost and task.exception() is not None:
                    self._lease.mark_lost(f"a background task failed: {task.exception()!r}")
                    raise task.exception() or RuntimeError
            await self._order_dispatcher.wait_for_orders(STOP_TIMEOUT_S)
            self._order_dispatcher.stop_polling()
            await self._hand_over()
        finally:
            for task in (*tasks, lease_lost, *self._background_tasks):
                task.cancel()
            self._order_dispatcher.close()
            self._log(
                "epoch-ended", runs=sum(len(w.runs) for w in self.scheduler_state.workers.values())
            )

    async def _hand_over(self) -> None:
        """Record for the successor only the workers that may still run a task.

        While instances are stopped one after another, each successor would otherwise wait for every
        worker that its predecessors had used recently, most of which were moved since.
        """
        is_silent = self._lease.since_renewal_s > MAX_RENEWAL_AGE_AT_HANDOVER_S
        if not is_silent and self.is_prepared.is_set():
            await self._progress_writer.wait_until_stored(STOP_TIMEOUT_S)
            await self._worker_tracker.hand_over()

    def _log(self, event: str, **fields: object) -> None:
        self._dependencies.log.line(event, service=self.service, token=self._lease.token, **fields)

    def _on_workers_changed(self) -> None:
        self._order_dispatcher.sync_workers()
        self._order_dispatcher.wake()

    def _note_progress(self) -> None:
        self._progress_writer.wake.set()

    # ---- events from the watcher of the jobs

    def on_write(self, item: Item) -> None:
        """Process a job record or a progress record that was created or changed."""
        if item.key == self._keys.marker_key:
            self._has_marker = item.created == self._lease.token
            if item.created > self._lease.token:
                self._lease.mark_lost("another holder's marker key is in the job prefix")
            return
        job_id, is_progress = self._keys.parse(item.key)
        if not is_progress:
            self._job_records[job_id] = item
            return
        try:
            self._apply_progress(job_id, item)
        except ValueError as error:
            self._log(
                "record-unreadable", id=job_id, reason=str(error)[:MAX_LOGGED_REASON_CHARACTERS]
            )
        self._order_dispatcher.wake()

    def _apply_progress(self, job_id: str, item: Item) -> None:
        progress = decode_progress(item.value)
        if job_id in self.scheduler_state.tracked_jobs:
            self.scheduler_state.update_progress(job_id, progress, item.revision)
            return
        finished = self.scheduler_state.finished_jobs.get(job_id)
        if finished is not None and item.revision <= finished.revision:
            # The event is stale: this scheduler has stored the job's final state meanwhile.
            return
        if finished is not None:
            # A final state never changes, so the record was deleted and the id submitted again.
            self.scheduler_state.delete_job(job_id)
        record = self._job_records.pop(job_id, None)
        if record is None and progress.state.is_final:
            self.scheduler_state.add_finished_job(job_id, progress, revision=item.revision)
            return
        if record is None:
            # A job's record is created in one commit with its progress and precedes it in key
            # order, so that a job without a record has nothing to run.
            self._log("job-without-record", id=job_id)
            return
        job = decode_job(record.value)
        self.scheduler_state.add_job(
            job,
            progress,
            revision=item.revision,
            is_inherited=record.revision < self._lease.token,
            wall_s=self._dependencies.wall_clock(),
            is_beyond_weight=self._team_weights.is_beyond_weight(job),
        )
        if job_id in self.scheduler_state.jobs_with_overdue_occurrences:
            tracked_job = self.scheduler_state.tracked_jobs[job_id]
            self._log(
                "occurrences-overdue",
                id=job_id,
                overdue=job.count_due(self._dependencies.wall_clock()) - progress.ended.count,
                tasks_open=tracked_job.count_waiting_tasks(
                    tracked_job.steps_with_lost_runs()
                ).total(),
            )

    def on_delete(self, key: str, revision: int) -> None:
        """Process the deletion of a record.

        A scheduler that has lost its lease without noticing could start a job that was accepted
        after its successor's epoch began, and that the successor may start at once. The deletion of
        the marker key guards against that: it is reported before any job that is stored later.
        """
        if key == self._keys.marker_key:
            self._lease.mark_lost("its marker key in the job prefix was deleted")
            return
        job_id, is_progress = self._keys.parse(key)
        if is_progress:
            self.scheduler_state.delete_job(job_id)
        else:
            self._job_records.pop(job_id, None)

    # ---- scheduling

    async def _schedule(self) -> None:
        await self._prepare()
        directory = asyncio.create_task(self._worker_tracker.follow(self._on_workers_changed))
        self._background_tasks.add(directory)
        while True:
            if directory.done():
                directory.result()
            started_s = self._dependencies.clock()
            has_reached_start_limit = self._lease.is_valid and self._decide()
            await asyncio.sleep((self._dependencies.clock() - started_s) * DECISION_PAUSE_RATIO)
            if not has_reached_start_limit:
                await self._order_dispatcher.wait(DECISION_INTERVAL_S)

    def _decide(self) -> bool:
        """Decide and send the orders; return whether the limit of starts leaves more to decide."""
        self._decide_once()
        is_waiting = any(True for _ in self.scheduler_state.open_steps())
        now_s, wall_s = self._dependencies.clock(), self._dependencies.wall_clock()
        if is_waiting and self._sizer.withdraw(now_s, wall_s=wall_s):
            self._decide_once()
        self._order_dispatcher.sync_workers()
        if self.scheduler_state.team_rooms.refused:
            self._team_shares.review_soon()
        if any(tracked_job.is_dirty for tracked_job in self.scheduler_state.tracked_jobs.values()):
            self._progress_writer.wake.set()
        return self.decision_engine.has_reached_start_limit

    def _decide_once(self) -> None:
        now_s, wall_s = self._dependencies.clock(), self._dependencies.wall_clock()
        may_start = self._dependencies.is_capacity_known(self.service)
        self._team_weights.refresh(wall_s)
        for decision in self.decision_engine.decide(
            now_s=now_s, wall_s=wall_s, may_start=may_start
        ):
            if isinstance(decision, AdviceRequest):
                self._spawn(self._request_advice(decision))
            else:
                self._order_dispatcher.carry_out(decision)
                if isinstance(decision, StartOrder):
                    self._first_start.note(now_s)

    async def _prepare(self) -> None:
        """Recover the state of earlier epochs: jobs, and workers that may still run their tasks."""
        await self._watcher.synced.wait()
        if not self._has_marker:
            self._lease.mark_lost("its marker key in the job prefix is missing")
        while not self._dependencies.directory.is_synced:
            await asyncio.sleep(DIRECTORY_POLL_INTERVAL_S)
        recorded = await self._worker_tracker.add_recorded_workers()
        await self._demand_publisher.prepare()
        self._log(
            "epoch-prepared",
            jobs=len(self.scheduler_state.tracked_jobs),
            workers_recorded=recorded,
            awaited=first_names(self.scheduler_state.pending_recovery, MAX_PENDING_WORKERS_LOGGED),
        )
        self.is_prepared.set()

    async def _request_advice(self, request: AdviceRequest) -> None:
        worker_ids = tuple(worker.worker_id for worker in request.workers)
        asked_s = self._dependencies.clock()
        outcome = await self._dependencies.advice.request_permits(request.step, worker_ids)
        now_s = self._dependencies.clock()
        size = self.scheduler_state.advice_request_size
        allowed, failure = None, None
        if isinstance(outcome, Success):
            permits = outcome.unwrap()
            allowed = sum(1 for worker_id in worker_ids if worker_id in permits.tickets)
            size.note_answered(now_s - asked_s)
            request.advice.note_answered(request.workers, permits.tickets, permits.valid_s, now_s)
        else:
            failure = outcome.failure().reason[:MAX_LOGGED_REASON_CHARACTERS]
            size.note_unanswered(len(worker_ids))
            request.advice.note_unanswered(now_s)
        self._log(
            "advice",
            id=request.step[0],
            step=list(request.step[1:]),
            asked=len(worker_ids),
            asked_named=worker_ids[:MAX_ADVISED_WORKERS_LOGGED],
            workers=len(self.scheduler_state.workers),
            took_s=round(now_s - asked_s, 3),
            allowed=allowed,
            failure=failure,
            **request.advice.counts(),
        )
        self._order_dispatcher.wake()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    # ---- the store

    async def _publish(self) -> None:
        await self.is_prepared.wait()
        while True:
            now_s, wall_s = self._dependencies.clock(), self._dependencies.wall_clock()
            self._log("pool-state", **self._sizer.state(wall_s=wall_s))
            self._wait_monitor.report(now_s=now_s, wall_s=wall_s)
            self._team_monitor.report(now_s=now_s, wall_s=wall_s)
            self._worker_states.report(now_s)
            if self.scheduler_state.team_rooms.refused:
                self._log("team-limits", teams=self._team_limits.fields())
            await self._worker_tracker.update_record()
            await self._publish_pending_counts()
            await asyncio.sleep(PUBLISH_INTERVAL_S)

    async def _publish_pending_counts(self) -> None:
        """Publish the pending counts, or delete them once the service is over."""
        state = self.scheduler_state
        has_jobs = bool(state.tracked_jobs or state.finished_jobs)
        if not has_jobs and self._dependencies.may_be_given_up(self.service):
            await self._pending_counts_record.delete()
            return
        await self._pending_counts_record.put(
            json.dumps(state.count_waiting_jobs(), sort_keys=True).encode()
        )

    async def _size_pool(self) -> None:
        await self.is_prepared.wait()
        await self._demand_publisher.run()

    async def _publish_demand(self, demand: PoolDemand) -> bool:
        return await self._demand_publisher.publish(demand)

    def _evacuate(self, worker: Worker) -> None:
        self.decision_engine.evacuate(worker)
        self._order_dispatcher.wake()
