"""State of one service's scheduler: its jobs, workers and runs; uses no network and no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from shallotworks.jobs import Incarnation, Job, JobProgress, JobState, Step, TaskName
from shallotworks.logs import StructuredLog

from ._epoch_numbers import EpochNumbers
from ._model import (
    UNKNOWN_STEP,
    EndedTask,
    EndKind,
    Run,
    RunningTask,
    RunPhase,
    Worker,
    WorkerReport,
    WorkerView,
)
from ._tracked_jobs import Arrival, TrackedJob, TrackedStep
from ._unstored_ends import UnstoredEnds
from .teams import TeamRooms, TeamUse
from .workers import CrashBlame, Isolation

__all__ = ["SchedulerState", "StoredProgress", "WaitingTasks"]

MISSING_REPORTS_BEFORE_STOP = 2
"""A running task that this many reports of its worker do not list is stopped. One report is not
enough, since answers can arrive out of order."""
FAILED_JOBS_TO_AVOID_WORKER = 2
FAILED_JOBS_WINDOW_S = 6.0
AVOID_WORKER_S = 6.0
"""A worker on which `FAILED_JOBS_TO_AVOID_WORKER` jobs failed within `FAILED_JOBS_WINDOW_S`, with
no task done in between, is the last choice for this long. Faults of single workers last 5 to 7 s.
"""
MAX_TRACKED_ARRIVALS = 1_000
FRESH_REPORT_AGE_S = 2.0
"""A worker that runs lasting tasks reports once a second; one whose last report is older than this
may be dead. The platform counts a task as unavailable after 4.5 s.
Source: the platform's settings."""
ADOPTED_RUN_CONFIRM_S = 0.5
"""An adopted run counts as serving once its worker reports it this long after the adoption. A run
that an earlier scheduler has stopped is listed as serving for only 0.2 s more.
Source: the platform's settings."""
START_PENDING_PHASES = (RunPhase.RESERVED, RunPhase.STARTING)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredProgress:
    """Progress of a job that the store has committed.

    Args:
        job_id: The job.
        changes: Number of the job's latest change that the commit includes.
        revision: The store's revision of the progress record.
    """

    job_id: str
    changes: int
    revision: int


class WaitingTasks(NamedTuple):
    """Tasks of a step that wait for a worker, and whether their job can't meet its objective."""

    step: Step
    tasks: int
    is_late: bool


class SchedulerState:
    """Jobs, workers and runs of one service, as known in one epoch of its scheduler.

    Args:
        service: The service.
        token: The epoch's fencing token.
        log: Receives a line for each end of a run and each change in a worker's state.
    """

    __slots__ = (
        "_lasting_allowed_from_s",
        "_log",
        "_numbers",
        "_replaced_workers",
        "_unstored_ends",
        "are_teams_competing",
        "arrivals",
        "crashes",
        "finished_jobs",
        "isolation",
        "jobs_with_future_occurrences",
        "pending_recovery",
        "runs_to_stop",
        "service",
        "team_rooms",
        "team_use",
        "teams_at_share",
        "token",
        "tracked_jobs",
        "workers",
    )

    def __init__(self, *, service: str, token: int, log: StructuredLog) -> None:
        self.service = service
        self.token = token
        self._log = log
        self._numbers = EpochNumbers(token)
        self.tracked_jobs: dict[str, TrackedJob] = {}
        """Jobs that have not ended, whose end is not stored, or with a run that may be alive."""
        self.finished_jobs: dict[str, float] = {}
        """Jobs whose final state is stored, with the time of day in seconds at which they ended."""
        self.workers: dict[str, Worker] = {}
        self.runs_to_stop: set[Run] = set()
        """Runs that must be stopped, each until its end is certain."""
        self.jobs_with_future_occurrences: set[str] = set()
        """Jobs with occurrences that are not due yet."""
        self.pending_recovery: dict[str, float] = {}
        """Workers that may run tasks of earlier epochs and have not answered this scheduler, with
        the time on the scheduler's clock after which all these tasks have ended."""
        self.arrivals: deque[Arrival] = deque(maxlen=MAX_TRACKED_ARRIVALS)
        """Time of day in seconds and estimated work in core-seconds of the latest jobs."""
        self._unstored_ends = UnstoredEnds()
        self.crashes = CrashBlame(
            tracked_jobs=self.tracked_jobs,
            workers=self.workers,
            first_run_id=self._numbers.before_first,
            log=log,
            close=self._close_job,
        )
        self.isolation = Isolation(
            tracked_jobs=self.tracked_jobs, workers=self.workers, blame=self.crashes, log=log
        )
        self.team_rooms = TeamRooms()
        """What each team could still start at the last decision."""
        self.team_use = TeamUse()
        """What the runs of each team use."""
        self.teams_at_share: frozenset[str] = frozenset()
        """Teams that used their share of the service or more at the last decision."""
        self.are_teams_competing = False
        """Whether several teams had work here at the last decision, and weights apply."""
        self._replaced_workers: dict[str, Incarnation] = {}
        """Workers of which another one has taken the address, by id, for as long as discovery lists
        them."""
        self._lasting_allowed_from_s: dict[str, float] = {}
        """Values of `Worker.lasting_allowed_from_s` for workers that are not in `workers` yet."""

    # ---- jobs

    def add_job(
        self,
        job: Job,
        progress: JobProgress,
        *,
        revision: int,
        is_inherited: bool,
        wall_s: float,
        is_beyond_weight: bool = False,
    ) -> None:
        """Add a job from the store with its progress, unless it is known already.

        Jobs beyond their team's weight don't count as arrivals, so that no machines are requested
        for them.
        """
        if job.job_id in self.tracked_jobs or job.job_id in self.finished_jobs:
            return
        if progress.state.is_final:
            self.add_finished_job(job.job_id, progress)
            return
        tracked_job = TrackedJob(
            job=job, progress=progress, revision=revision, is_inherited=is_inherited
        )
        tracked_job.is_beyond_weight = is_beyond_weight
        self.tracked_jobs[job.job_id] = tracked_job
        if not is_inherited and not job.is_lasting and not is_beyond_weight:
            self.arrivals.append((wall_s, tracked_job.work_core_s))
        self.jobs_with_future_occurrences.add(job.job_id)
        self.open_due_steps(tracked_job, wall_s)

    def update_progress(self, job_id: str, progress: JobProgress, revision: int) -> None:
        """Record that a job's progress was written, by this scheduler or by a caller's cancel."""
        tracked_job = self.tracked_jobs.get(job_id)
        if tracked_job is None or revision <= tracked_job.revision:
            return
        tracked_job.revision = revision
        if not progress.state.is_final:
            return
        if not tracked_job.progress.state.is_final:
            tracked_job.progress.finish(progress.state, now_s=progress.ended_s)
            self._close_job(tracked_job, progress.state.value)
        # The stored final state wins over one that this scheduler has reached in the meantime.
        self._release_stored_ends(tracked_job, tracked_job.changes)
        self._drop_if_finished(tracked_job)

    def add_finished_job(self, job_id: str, progress: JobProgress) -> None:
        """Add a job that had ended before this scheduler's epoch began."""
        self.finished_jobs[job_id] = progress.ended_s

    def delete_job(self, job_id: str) -> None:
        """Remove a job that the store no longer has."""
        self.finished_jobs.pop(job_id, None)
        tracked_job = self.tracked_jobs.pop(job_id, None)
        if tracked_job is not None:
            self._close_job(tracked_job, "deleted")
            # No later commit will include this job, so its ends can't wait for one.
            self._release_stored_ends(tracked_job, tracked_job.changes)

    def open_due_steps(self, tracked_job: TrackedJob, wall_s: float) -> None:
        """Open the steps of all occurrences that are due."""
        job = tracked_job.job
        while tracked_job.next_occurrence < job.occurrences:
            occurrence = tracked_job.next_occurrence
            if job.repeats is not None and job.due_s(occurrence) > wall_s:
                return
            tracked_job.next_occurrence += 1
            for number in range(len(job.steps)):
                self._open_step(tracked_job, occurrence, number)
        self.jobs_with_future_occurrences.discard(job.job_id)

    def _open_step(self, tracked_job: TrackedJob, occurrence: int, number: int) -> None:
        job, progress = tracked_job.job, tracked_job.progress
        key = (occurrence, number)
        if key in tracked_job.steps or progress.is_step_done(job, occurrence, number):
            return
        earlier = job.steps[number].after
        if not all(progress.is_step_done(job, occurrence, before) for before in earlier):
            return
        step = TrackedStep(tracked_job=tracked_job, occurrence=occurrence, number=number)
        step.waiting = [
            index
            for index in range(step.step.count)
            if not progress.is_done(step.name(index))
            and step.name(index) not in tracked_job.live_runs
        ]
        tracked_job.steps[key] = step

    def open_steps(self) -> Iterator[TrackedStep]:
        """Yield the steps with waiting tasks that may be started.

        Jobs of earlier epochs are omitted until all workers of earlier epochs have been recovered.
        """
        is_recovered = not self.pending_recovery
        for tracked_job in self.tracked_jobs.values():
            if tracked_job.is_inherited and not is_recovered:
                continue
            for step in tracked_job.steps.values():
                if step.waiting:
                    yield step

    def count_jobs_with_lost_runs(self) -> int:
        """Return how many jobs wait that lost runs in crashes of workers.

        Their suspects have to be started in isolation.
        """
        return len(
            {
                step.tracked_job.job.job_id
                for step in self.open_steps()
                if step.tracked_job.progress.lost
            }
        )

    def open_step(self, name: TaskName) -> TrackedStep | None:
        """Return a task's step, or ``None`` if the step is not open or is done."""
        tracked_job = self.tracked_jobs.get(name.job_id)
        return (
            tracked_job.steps.get((name.occurrence, name.step)) if tracked_job is not None else None
        )

    def tasks_to_place(self, now_s: float, wall_s: float) -> Iterator[WaitingTasks]:
        """Yield the waiting tasks by step, and lasting tasks that may soon have to be moved.

        Both count as demand for workers. Otherwise a pool that waits for answers of all workers
        before it starts earlier jobs, or for the leases of a silent worker to expire, would offer
        its idle workers to other pools. Lasting tasks are not placed on an offered worker until 3 s
        after the offer was withdrawn.
        """
        for tracked_job in self.tracked_jobs.values():
            for step in tracked_job.steps.values():
                if step.waiting:
                    yield WaitingTasks(step.step, len(step.waiting), step.is_hopeless(wall_s))
        for worker in self.workers.values():
            if self._may_lose_lasting_tasks(worker, now_s):
                for run in worker.runs.values():
                    if run.step.is_lasting:
                        yield WaitingTasks(run.step, 1, False)

    def _may_lose_lasting_tasks(self, worker: Worker, now_s: float) -> bool:
        is_reporting = worker.is_listed and now_s - worker.reported_s < FRESH_REPORT_AGE_S
        return not is_reporting or worker.view.is_draining

    def _close_job(self, tracked_job: TrackedJob, reason: str) -> None:
        tracked_job.steps.clear()
        self.jobs_with_future_occurrences.discard(tracked_job.job.job_id)
        for runs in tracked_job.live_runs.values():
            for run in runs:
                self.request_stop(run, reason)

    # ---- stored progress

    def unstored_jobs(self) -> list[TrackedJob]:
        """Return the jobs whose latest progress is not stored."""
        return [tracked_job for tracked_job in self.tracked_jobs.values() if tracked_job.is_dirty]

    def note_stored(self, stored: StoredProgress) -> None:
        """Record that progress was stored, so that the ends in it may be acknowledged."""
        tracked_job = self.tracked_jobs.get(stored.job_id)
        if tracked_job is None:
            return
        tracked_job.revision = max(tracked_job.revision, stored.revision)
        self._release_stored_ends(tracked_job, stored.changes)
        self._drop_if_finished(tracked_job)

    def _drop_if_finished(self, tracked_job: TrackedJob) -> None:
        """Remove a job from the ones to decide on if it is final and stored and has no live run."""
        job_id = tracked_job.job.job_id
        if (
            tracked_job.progress.state.is_final
            and not tracked_job.is_dirty
            and not tracked_job.live_runs
        ):
            self.tracked_jobs.pop(job_id, None)
            self.isolation.remove_job(job_id)
            self.finished_jobs[job_id] = tracked_job.progress.ended_s

    def _release_stored_ends(self, tracked_job: TrackedJob, changes: int) -> None:
        tracked_job.stored_changes = max(tracked_job.stored_changes, changes)
        self._unstored_ends.release(tracked_job.job.job_id, changes)

    # ---- workers

    def update_worker(self, view: WorkerView) -> None:
        """Add a worker, or update what discovery says of it."""
        worker = self.workers.get(view.worker_id)
        if worker is None:
            worker = Worker(view=view, order_token=self._numbers.next_order_token())
            self.workers[view.worker_id] = worker
            worker.lasting_allowed_from_s = self._lasting_allowed_from_s.pop(view.worker_id, 0.0)
            return
        worker.is_listed = True
        if worker.incarnation.may_be(view.incarnation):
            worker.view = view

    def note_restarted(
        self, worker: Worker, view: WorkerView, *, now_s: float, wall_s: float, runs_end_s: float
    ) -> Worker:
        """Replace a worker by a later incarnation, which knows nothing of the earlier one.

        Runs of which the start was not confirmed are kept, on the later one, until its reports show
        that they are not there; what crashed the earlier one is judged by that. All other runs have
        ended.

        Args:
            worker: The earlier incarnation.
            view: The later incarnation.
            now_s: Time on the scheduler's clock in seconds.
            wall_s: Time of day in seconds.
            runs_end_s: Time on the scheduler's clock by which all that earlier orders have started
                on the later one has ended, if no report of it arrives.

        Returns:
            The later incarnation.
        """
        worker_id = worker.worker_id
        unconfirmed = [run for run in worker.runs.values() if run.is_unconfirmed]
        self._log.line(
            "worker-ended",
            worker=worker_id,
            reason="started again",
            born_ms=view.born_ms,
            was_born_ms=worker.view.born_ms,
            runs=len(worker.runs),
            unconfirmed=len(unconfirmed),
            silent_s=round(now_s - worker.reported_s, 2),
            token=self.token,
        )
        if worker.view.is_draining:
            self.crashes.note_worker_left(worker)
        else:
            self.crashes.note_worker_ended(
                worker, wall_s, is_replaced=True, unconfirmed=unconfirmed
            )
        restarted = worker.restart(view, order_token=self._numbers.next_order_token())
        restarted.lease_ends_s = runs_end_s
        restarted.isolated_runs = [run for run in worker.isolated_runs if run in unconfirmed]
        for run in unconfirmed:
            worker.remove(run)
            run.move_to_restarted(restarted.incarnation, now_s)
            restarted.add(run)
        self._lapse_runs(worker, "worker started again", now_s)
        self.workers[worker_id] = restarted
        if worker_id in self.pending_recovery:
            # An earlier scheduler may have given orders to either start.
            self.crashes.note_earlier_runs_lost()
            self.pending_recovery[worker_id] = max(self.pending_recovery[worker_id], runs_end_s)
        self._drop_permits(worker_id)
        return restarted

    def _drop_permits(self, worker_id: str) -> None:
        """Drop the tickets for a worker, which were valid for its earlier incarnation only."""
        for tracked_job in self.tracked_jobs.values():
            if tracked_job.job.policy.is_advised:
                for step in tracked_job.steps.values():
                    step.permits.pop(worker_id, None)

    def note_replaced(self, worker_id: str, now_s: float, wall_s: float) -> None:
        """Record that a worker has ended, since another one answered at its address."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            self._replaced_workers[worker_id] = worker.incarnation
        self.note_worker_ended(worker_id, "another incarnation", now_s, wall_s, is_replaced=True)

    def drop_replaced(self, listed: dict[str, WorkerView]) -> None:
        """Remove replaced workers from ``listed``: discovery lists them for some seconds more."""
        for worker_id, replaced in list(self._replaced_workers.items()):
            view = listed.get(worker_id)
            if view is not None and replaced.is_same_or_later_than(view.incarnation):
                del listed[worker_id]
            else:
                del self._replaced_workers[worker_id]

    def defer_lasting_tasks(self, worker_id: str, until_s: float) -> None:
        """Place no lasting task on a worker before ``until_s``, also if it is added later."""
        worker = self.workers.get(worker_id)
        if worker is None:
            self._lasting_allowed_from_s[worker_id] = until_s
        else:
            worker.lasting_allowed_from_s = until_s

    def mark_unlisted(self, worker_id: str) -> None:
        """Record that discovery no longer lists a worker, which may be alive and run tasks."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.is_listed = False

    def note_recovered(self, worker_id: str, how: str) -> None:
        """Record that a worker's runs of earlier epochs are known, or have certainly ended."""
        if self.pending_recovery.pop(worker_id, None) is not None and not self.pending_recovery:
            self._log.line("recovery-over", last_worker=worker_id, how=how, token=self.token)

    def note_worker_ended(
        self,
        worker_id: str,
        reason: str,
        now_s: float,
        wall_s: float,
        *,
        is_planned: bool = False,
        is_replaced: bool = False,
    ) -> None:
        """Record that a worker has certainly ended, with all its runs.

        Args:
            worker_id: The worker.
            reason: How this is known.
            now_s: Time on the scheduler's clock in seconds.
            wall_s: Time of day in seconds.
            is_planned: Whether the machine controller removed the worker, which has not crashed.
            is_replaced: Whether another worker has taken its place, so that it has crashed.
        """
        if worker_id in self.pending_recovery and not is_planned:
            self.crashes.note_earlier_runs_lost()
        self.note_recovered(worker_id, reason)
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        self._log.line(
            "worker-ended", worker=worker_id, reason=reason, runs=len(worker.runs), token=self.token
        )
        if is_planned or worker.view.is_draining:
            self.crashes.note_worker_left(worker)
        else:
            self.crashes.note_worker_ended(worker, wall_s, is_replaced=is_replaced)
        self._lapse_runs(worker, reason, now_s)

    def expire_lease(self, worker: Worker, now_s: float, wall_s: float) -> None:
        """Record that a worker's lease has certainly expired, which has ended all its runs."""
        self._log.line(
            "worker-lease-out",
            worker=worker.worker_id,
            runs=len(worker.runs),
            silent_s=round(now_s - worker.reported_s, 2),
            token=self.token,
        )
        worker.is_fenced = False
        self.crashes.note_worker_silent(worker, wall_s)
        self._lapse_runs(worker, "lease out", now_s)

    def _lapse_runs(self, worker: Worker, reason: str, now_s: float) -> None:
        for run in list(worker.runs.values()):
            self._log.line(
                "run-lost",
                id=run.name.job_id,
                task=list(run.name[1:]),
                run=run.run_id,
                worker=worker.worker_id,
                reason=reason,
                ran_s=round(worker.reported_s - run.since_s, 3),
                silent_s=round(now_s - worker.reported_s, 2),
                token=self.token,
            )
            self._finish_run(worker, run, EndKind.LAPSED, "", now_s)

    def apply_report(
        self,
        worker: Worker,
        report: WorkerReport,
        *,
        order_token: int,
        sent_s: float,
        now_s: float,
        wall_s: float,
    ) -> None:
        """Record a worker's answer to a poll.

        Args:
            worker: The worker.
            report: Its answer.
            order_token: Fencing token of the poll, which may have been sent to an earlier
                incarnation.
            sent_s: When the poll was sent, on the scheduler's clock in seconds.
            now_s: Time on the scheduler's clock in seconds.
            wall_s: Time of day in seconds.
        """
        worker.is_fenced = worker.is_fenced or order_token >= worker.order_token
        worker.clock_ms, worker.clock_at_s = report.clock_ms, now_s
        for end in report.ended:
            if end.number > worker.highest_seen_end:
                self._handle_end(worker, end, now_s, wall_s)
                worker.highest_seen_end = end.number
        listed = set()
        for running_task in report.running:
            listed.add((running_task.name, running_task.run_id))
            self._handle_running_task(worker, running_task, now_s)
        for run in [run for key, run in worker.runs.items() if key not in listed]:
            self._handle_missing_run(worker, run, sent_s, now_s, wall_s)
        worker.reported_s = now_s
        worker.has_answered_last_poll = True
        worker.connection_closed_s = None
        self.isolation.note_answered(worker, now_s)
        self.note_recovered(worker.worker_id, "seen")

    def _handle_running_task(self, worker: Worker, running_task: RunningTask, now_s: float) -> None:
        run = worker.runs.get((running_task.name, running_task.run_id))
        if run is None:
            run = self._adopt(worker, running_task, now_s)
        if run.phase in (RunPhase.STARTING, RunPhase.UNANSWERED):
            run.enter(RunPhase.RUNNING, now_s)
        if run.possibly_lost_on is not None:
            run.possibly_lost_on = None
            self.crashes.clear_run(run)
        if running_task.percent != run.percent:
            run.progressed_s = now_s
        run.percent, run.measurement, run.missing_reports = (
            running_task.percent,
            running_task.measurement,
            0,
        )
        if running_task.checkpoint:
            run.checkpoint = running_task.checkpoint

    def _adopt(self, worker: Worker, running_task: RunningTask, now_s: float) -> Run:
        """Track a run that this epoch has not started, and stop it if it is not wanted."""
        tracked_job = self.tracked_jobs.get(running_task.name.job_id)
        step = _step_of(tracked_job, running_task.name)
        run = Run(
            name=running_task.name,
            run_id=running_task.run_id,
            step=step or UNKNOWN_STEP,
            incarnation=worker.incarnation,
            phase=RunPhase.RUNNING,
            since_s=now_s,
            team=tracked_job.job.team if tracked_job is not None else "",
        )
        worker.add(run)
        self.team_use.add(run.team, run.step)
        if tracked_job is not None:
            tracked_job.add_run(run)
        if tracked_job is None or step is None or not self._may_adopt(tracked_job, run):
            self.request_stop(run, "stray")
            return run
        tracked_step = tracked_job.steps.get((running_task.name.occurrence, running_task.name.step))
        if tracked_step is not None and running_task.name.number in tracked_step.waiting:
            tracked_step.waiting.remove(running_task.name.number)
        tracked_job.runs[running_task.name] = run
        self._mark_job_running(tracked_job)
        self._log.line(
            "run-adopted",
            id=running_task.name.job_id,
            task=list(running_task.name[1:]),
            run=running_task.run_id,
            worker=worker.worker_id,
            token=self.token,
        )
        return run

    def _may_adopt(self, tracked_job: TrackedJob, run: Run) -> bool:
        """Return whether a run becomes the current one of its task, even if its step is not open.

        A worker may report a run before other workers report the ends that open its step. If such
        a run were stopped as a stray, its task could start again before the stop took effect, and
        would run twice at once.
        """
        is_over = tracked_job.progress.state.is_final or tracked_job.progress.is_done(run.name)
        return not is_over and run.name not in tracked_job.runs

    def _handle_missing_run(
        self, worker: Worker, run: Run, sent_s: float, now_s: float, wall_s: float
    ) -> None:
        """Handle a run that its worker's report does not list.

        A start without an answer may still be carried out seconds later. Only a stop that the
        worker obeyed rules this out, since the worker then refuses the run. A report that was
        requested after the stop and does not list the run makes the run's end certain.
        """
        if run.phase in START_PENDING_PHASES or run.phase_s >= sent_s:
            return
        if run.phase is RunPhase.STOPPED:
            if run.possibly_lost_on is not None:
                self.crashes.confirm_run(run, wall_s)
            else:
                self.crashes.clear_run(run)
            self._finish_run(worker, run, EndKind.STOPPED, "", now_s)
        elif run.phase is RunPhase.UNANSWERED:
            self.request_stop(run, "start-unanswered")
        elif run.phase is RunPhase.RUNNING:
            run.missing_reports += 1
            if run.missing_reports >= MISSING_REPORTS_BEFORE_STOP:
                self.request_stop(run, "not-listed")

    # ---- runs

    def new_run(
        self, step: TrackedStep, index: int, worker: Worker, run_id: int, now_s: float
    ) -> Run:
        """Assign a waiting task to a worker as a new run."""
        run = Run(
            name=step.name(index),
            run_id=run_id,
            step=step.step,
            incarnation=worker.incarnation,
            phase=RunPhase.STARTING,
            since_s=now_s,
            team=step.tracked_job.job.team,
        )
        worker.add(run)
        self.team_use.add(run.team, run.step)
        step.waiting.remove(index)
        tracked_job = step.tracked_job
        tracked_job.runs[run.name] = run
        tracked_job.add_run(run)
        self._mark_job_running(tracked_job)
        return run

    def _mark_job_running(self, tracked_job: TrackedJob) -> None:
        if tracked_job.progress.state is JobState.QUEUED:
            tracked_job.progress.state = JobState.RUNNING
            tracked_job.changes += 1

    def has_started(self, run: Run) -> bool:
        """Whether this epoch started a run, and no earlier one."""
        return run.run_id > self._numbers.before_first

    def next_run_id(self) -> int:
        """Return a run id that no earlier run has."""
        return self._numbers.next_run_id()

    def note_start_failed(self, run: Run, now_s: float) -> None:
        """Remove a run whose start was not sent or was refused; its task waits again."""
        worker = self.workers.get(run.worker_id)
        if worker is not None and (run.name, run.run_id) in worker.runs:
            self.crashes.clear_run(run)
            self._finish_run(worker, run, EndKind.STOPPED, "", now_s)

    def request_stop(self, run: Run, reason: str) -> None:
        """Mark a run to be stopped, unless it is marked already."""
        if not run.is_stop_requested:
            run.is_stop_requested = True
            run.stop_reason = reason
            self.runs_to_stop.add(run)

    def _handle_end(self, worker: Worker, end: EndedTask, now_s: float, wall_s: float) -> None:
        run = worker.runs.get((end.name, end.run_id))
        tracked_job = self.tracked_jobs.get(end.name.job_id)
        self._log.line(
            "run-ended",
            id=end.name.job_id,
            task=list(end.name[1:]),
            run=end.run_id,
            worker=worker.worker_id,
            born_ms=worker.view.born_ms,
            end=end.number,
            how=end.kind.value,
            ran_s=round(now_s - run.since_s, 3) if run is not None else None,
            token=self.token,
        )
        if tracked_job is not None and _step_of(tracked_job, end.name) is not None:
            self._record_end(tracked_job, worker, end, now_s, wall_s)
        if tracked_job is not None and tracked_job.is_dirty:
            # An end that changes nothing is needless only because of changes before it.
            self._unstored_ends.add(tracked_job, worker, end.number)
        if run is not None:
            if end.kind is EndKind.DONE:
                self.isolation.note_done(worker, run)
            self.crashes.clear_run(run)
            self._finish_run(worker, run, end.kind, end.checkpoint, now_s)

    def _record_end(
        self, tracked_job: TrackedJob, worker: Worker, end: EndedTask, now_s: float, wall_s: float
    ) -> None:
        """Add a run's end to its job's progress."""
        if tracked_job.progress.state.is_final:
            return
        if end.kind is EndKind.DONE:
            worker.failed_jobs.clear()
            worker.avoid_until_s = 0.0
            self._record_done(tracked_job, end.name, end.run_id, wall_s)
            return
        if end.kind is not EndKind.FAILED:
            return
        self._note_failed_job(worker, tracked_job.job.job_id, now_s)
        tracked_job.avoided_workers[end.name] = tracked_job.avoided_workers.get(
            end.name, frozenset()
        ) | {worker.incarnation}
        if not tracked_job.progress.note_failed(
            tracked_job.job, end.name, end.run_id, now_s=wall_s
        ):
            return
        tracked_job.changes += 1
        if tracked_job.progress.state.is_final:
            self._close_job(tracked_job, "job-failed")

    def _record_done(
        self, tracked_job: TrackedJob, name: TaskName, run_id: int, wall_s: float
    ) -> None:
        if tracked_job.progress.is_done(name):
            return
        current = tracked_job.runs.get(name)
        if current is not None and current.run_id != run_id:
            self.request_stop(current, "done-elsewhere")
        tracked_job.progress.note_done(tracked_job.job, name, now_s=wall_s)
        tracked_job.changes += 1
        step = tracked_job.steps.get((name.occurrence, name.step))
        if step is not None and name.number in step.waiting:
            step.waiting.remove(name.number)
        if tracked_job.progress.is_step_done(tracked_job.job, name.occurrence, name.step):
            tracked_job.steps.pop((name.occurrence, name.step), None)
            for number, later in enumerate(tracked_job.job.steps):
                if name.step in later.after:
                    self._open_step(tracked_job, name.occurrence, number)
        if tracked_job.progress.state.is_final:
            self._close_job(tracked_job, "completed")

    def _finish_run(
        self, worker: Worker, run: Run, kind: EndKind, checkpoint: str, now_s: float
    ) -> None:
        """Free a run's resources and queue its task again if the task is not done."""
        worker.remove(run)
        self.team_use.remove(run.team, run.step)
        if run in worker.isolated_runs:
            worker.isolated_runs.remove(run)
        self.runs_to_stop.discard(run)
        tracked_job = self.tracked_jobs.get(run.name.job_id)
        if tracked_job is None:
            return
        if run.step.is_checkpointed and (checkpoint or run.checkpoint):
            tracked_job.checkpoints[run.name] = checkpoint or run.checkpoint
        tracked_job.remove_run(run)
        self._drop_if_finished(tracked_job)
        step = tracked_job.steps.get((run.name.occurrence, run.name.step))
        is_waiting = step is not None and run.name.number in step.waiting
        if step is None or is_waiting or run.name in tracked_job.live_runs:
            return
        if not tracked_job.progress.is_done(run.name):
            step.waiting.append(run.name.number)

    def _note_failed_job(self, worker: Worker, job_id: str, now_s: float) -> None:
        worker.failed_jobs[job_id] = now_s
        recent = [at for at in worker.failed_jobs.values() if now_s - at < FAILED_JOBS_WINDOW_S]
        if len(recent) < FAILED_JOBS_TO_AVOID_WORKER:
            return
        worker.avoid_until_s = now_s + AVOID_WORKER_S
        self._log.line(
            "worker-suspected",
            worker=worker.worker_id,
            failed_jobs=len(recent),
            window_s=FAILED_JOBS_WINDOW_S,
            for_s=AVOID_WORKER_S,
        )

    # ---- counts

    def count_waiting_jobs(self) -> dict[str, int]:
        """Return by queue the number of jobs of which no task has started."""
        counts: dict[str, int] = {}
        for tracked_job in self.tracked_jobs.values():
            if tracked_job.progress.state is JobState.QUEUED:
                queue = tracked_job.job.policy.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def count_not_serving(self, step: TrackedStep, *, excluding: Run, now_s: float) -> int:
        """Return how many tasks of a lasting step, besides the excluded one, may not be serving.

        A worker can die silently after it reported its task as serving. If that report still
        counted, another task of the step would be stopped although the disruption budget is spent,
        so only recent reports count.
        For the same reason, an adopted run that the previous scheduler may have stopped just before
        the adoption does not count as serving.
        """
        runs = step.tracked_job.runs
        names = (step.name(index) for index in range(step.step.count))
        others = [name for name in names if name != excluding.name]
        return sum(1 for name in others if not self._is_serving(runs.get(name), now_s))

    def _is_serving(self, run: Run | None, now_s: float) -> bool:
        if run is None or not run.is_serving or run.is_stop_requested:
            return False
        worker = self.workers.get(run.worker_id)
        if worker is None or now_s - worker.reported_s >= FRESH_REPORT_AGE_S:
            return False
        return self.has_started(run) or worker.reported_s - run.since_s >= ADOPTED_RUN_CONFIRM_S


def _step_of(tracked_job: TrackedJob | None, name: TaskName) -> Step | None:
    if tracked_job is None or not 0 <= name.step < len(tracked_job.job.steps):
        return None
    step = tracked_job.job.steps[name.step]
    is_within = 0 <= name.number < step.count and 0 <= name.occurrence < tracked_job.job.occurrences
    return step if is_within else None
