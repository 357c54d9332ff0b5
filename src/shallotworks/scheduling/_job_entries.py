"""The jobs of one service with their steps, runs and progress; uses no network and no clock."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass

from shallotworks.jobs import MAX_TASKS, Job, JobProgress, JobState, TaskName
from shallotworks.logs import StructuredLog

from ._epoch_numbers import EpochNumbers
from ._model import EndKind, Run, RunPhase, Worker
from ._tracked_jobs import Arrival, FinishedJob, TrackedJob, TrackedStep
from ._unstored_ends import UnstoredEnds
from .teams import TeamUse
from .workers import Copies, CrashBlame, DarkRacks, Isolation, PaceEvidence

__all__ = ["JobEntries", "StoredProgress"]

MAX_TRACKED_ARRIVALS = 1_000
MAX_WAITING_TASKS = 128
"""A repeated job opens no further overdue occurrence while this many tasks of each of its first
steps wait. A decision starts 64 tasks at most, and the next one opens as many again."""
MAX_OVERDUE_TASKS = 1_024
"""All jobs with overdue occurrences together open about this many of their tasks, and each job at
least one."""
TASK_NUMBERS = tuple(range(MAX_TASKS))
"""Shared by the lists of waiting tasks, so that these hold only references."""


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


class JobEntries:
    """Jobs and their runs as known in one epoch; `SchedulerState` adds the workers.

    Args:
        service: The service.
        token: The epoch's fencing token.
        numbers: The epoch's run ids and order tokens.
        log: Receives the decisions on crashed and slow workers.
    """

    __slots__ = (
        "_numbers",
        "_unstored_ends",
        "arrivals",
        "copies",
        "crashes",
        "dark_racks",
        "evidence",
        "finished_jobs",
        "isolation",
        "jobs_with_future_occurrences",
        "jobs_with_overdue_occurrences",
        "runs_to_stop",
        "service",
        "team_use",
        "token",
        "tracked_jobs",
        "workers",
    )

    def __init__(
        self, *, service: str, token: int, numbers: EpochNumbers, log: StructuredLog
    ) -> None:
        self.service = service
        self.token = token
        self._numbers = numbers
        self.tracked_jobs: dict[str, TrackedJob] = {}
        """Jobs that have not ended, whose end is not stored, or with a run that may be alive."""
        self.finished_jobs: dict[str, FinishedJob] = {}
        """Jobs whose final state is stored."""
        self.workers: dict[str, Worker] = {}
        self.runs_to_stop: set[Run] = set()
        """Runs that must be stopped, each until its end is certain."""
        self.jobs_with_future_occurrences: set[str] = set()
        """Jobs with occurrences that are not open yet."""
        self.jobs_with_overdue_occurrences: set[str] = set()
        """Jobs with occurrences that are due and not open yet."""
        self.arrivals: deque[Arrival] = deque(maxlen=MAX_TRACKED_ARRIVALS)
        """Time of day in seconds and estimated work in core-seconds of the latest jobs."""
        self.team_use = TeamUse()
        """What the runs of each team use."""
        self._unstored_ends = UnstoredEnds()
        self.crashes = CrashBlame(
            tracked_jobs=self.tracked_jobs,
            workers=self.workers,
            first_run_id=self._numbers.before_first,
            token=token,
            log=log,
            close=self.close_job,
        )
        self.isolation = Isolation(
            tracked_jobs=self.tracked_jobs, workers=self.workers, blame=self.crashes, log=log
        )
        self.evidence = PaceEvidence(workers=self.workers, log=log)
        self.dark_racks = DarkRacks(workers=self.workers, log=log)
        self.copies = Copies(tracked_jobs=self.tracked_jobs, workers=self.workers, log=log)

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
            self.add_finished_job(job.job_id, progress, revision=revision)
            return
        tracked_job = TrackedJob(
            job=job, progress=progress, revision=revision, is_inherited=is_inherited
        )
        tracked_job.is_beyond_weight = is_beyond_weight
        progress.compact(job)
        self.tracked_jobs[job.job_id] = tracked_job
        if not is_inherited and not job.is_lasting and not is_beyond_weight:
            self.arrivals.append((wall_s, tracked_job.work_core_s))
        self.jobs_with_future_occurrences.add(job.job_id)
        self._open_occurrences(tracked_job, wall_s)

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
            self.close_job(tracked_job, progress.state.value)
        # The stored final state wins over one that this scheduler has reached in the meantime.
        self._release_stored_ends(tracked_job, tracked_job.changes)
        self._drop_if_finished(tracked_job)

    def add_finished_job(self, job_id: str, progress: JobProgress, *, revision: int) -> None:
        """Add a job that has ended, with the revision of its final progress."""
        self.finished_jobs[job_id] = FinishedJob(progress.ended_s, revision)

    def delete_job(self, job_id: str) -> None:
        """Remove a job that the store no longer has."""
        self.finished_jobs.pop(job_id, None)
        tracked_job = self.tracked_jobs.pop(job_id, None)
        if tracked_job is not None:
            self.close_job(tracked_job, "deleted")
            # No later commit will include this job, so its ends can't wait for one.
            self._release_stored_ends(tracked_job, tracked_job.changes)

    def open_due_steps(self, wall_s: float) -> None:
        """Open the steps of occurrences that are due, as many as a decision can start tasks of.

        To open hundreds of thousands of overdue occurrences at once would hold the event loop for
        longer than a lease.
        """
        for job_id in list(self.jobs_with_future_occurrences):
            overdue_jobs = max(1, len(self.jobs_with_overdue_occurrences))
            most_waiting = min(MAX_WAITING_TASKS, max(1, MAX_OVERDUE_TASKS // overdue_jobs))
            self._open_occurrences(self.tracked_jobs[job_id], wall_s, most_waiting)

    def _open_occurrences(
        self, tracked_job: TrackedJob, wall_s: float, most_waiting: int = 1
    ) -> None:
        """Open due occurrences of a job until ``most_waiting`` tasks of each first step wait.

        Steps differ in what they request, so that one may wait beside room for another. The tasks
        that wait or run are bounded nevertheless, as those of one occurrence are.
        """
        job, ended = tracked_job.job, tracked_job.progress.ended
        overdue = self.jobs_with_overdue_occurrences
        overdue.discard(job.job_id)
        waiting: Counter[int] | None = None
        while True:
            occurrence = ended.first_missing(tracked_job.next_occurrence)
            tracked_job.next_occurrence = occurrence
            if occurrence >= job.occurrences:
                self.jobs_with_future_occurrences.discard(job.job_id)
                return
            if job.repeats is not None and job.due_s(occurrence) > wall_s:
                return
            if waiting is None:
                steps_with_lost_runs = tracked_job.steps_with_lost_runs()
                waiting = tracked_job.count_waiting_tasks(steps_with_lost_runs)
            least = min(waiting[number] for number in tracked_job.first_steps)
            if least >= most_waiting or waiting.total() + len(tracked_job.live_runs) >= MAX_TASKS:
                overdue.add(job.job_id)
                return
            tracked_job.next_occurrence += 1
            for number in range(len(job.steps)):
                opened = self._open_step(tracked_job, occurrence, number)
                if (occurrence, number) not in steps_with_lost_runs:
                    waiting[number] += opened

    def _open_step(self, tracked_job: TrackedJob, occurrence: int, number: int) -> int:
        """Open a step, unless it is open or done or comes later; return its waiting tasks."""
        job, progress = tracked_job.job, tracked_job.progress
        key = (occurrence, number)
        if key in tracked_job.steps or progress.is_step_done(job, occurrence, number):
            return 0
        earlier = job.steps[number].after
        # Steps mostly end in order, so that the last one settles it.
        if not all(progress.is_step_done(job, occurrence, one) for one in reversed(earlier)):
            return 0
        step = TrackedStep(tracked_job=tracked_job, occurrence=occurrence, number=number)
        step.waiting = list(TASK_NUMBERS[: step.step.count])
        if progress.done.get(key) or tracked_job.live_runs:
            step.waiting = [
                index
                for index in step.waiting
                if not progress.is_done(step.name(index))
                and step.name(index) not in tracked_job.live_runs
            ]
        tracked_job.steps[key] = step
        return len(step.waiting)

    def open_step(self, name: TaskName) -> TrackedStep | None:
        """Return a task's step, or ``None`` if the step is not open or is done."""
        tracked_job = self.tracked_jobs.get(name.job_id)
        return (
            tracked_job.steps.get((name.occurrence, name.step)) if tracked_job is not None else None
        )

    def close_job(self, tracked_job: TrackedJob, reason: str) -> None:
        """Close the steps of a job that has ended, and stop its runs."""
        tracked_job.steps.clear()
        self.jobs_with_future_occurrences.discard(tracked_job.job.job_id)
        self.jobs_with_overdue_occurrences.discard(tracked_job.job.job_id)
        for runs in tracked_job.live_runs.values():
            for run in runs:
                self.request_stop(run, reason)

    # ---- stored progress

    def unstored_jobs(self) -> list[TrackedJob]:
        """Return the jobs whose latest progress is not stored, the one stored longest ago first."""
        dirty = [tracked_job for tracked_job in self.tracked_jobs.values() if tracked_job.is_dirty]
        return sorted(dirty, key=lambda tracked_job: tracked_job.revision)

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
            self.add_finished_job(job_id, tracked_job.progress, revision=tracked_job.revision)

    def _release_stored_ends(self, tracked_job: TrackedJob, changes: int) -> None:
        tracked_job.stored_changes = max(tracked_job.stored_changes, changes)
        self._unstored_ends.release(tracked_job.job.job_id, changes)

    def hold_back_end(self, tracked_job: TrackedJob, worker: Worker, number: int) -> None:
        """Hold an end back from its acknowledgement until the job's latest change is stored."""
        self._unstored_ends.add(tracked_job, worker, number)

    # ---- runs

    def new_run(
        self, step: TrackedStep, index: int, worker: Worker, run_id: int, now_s: float
    ) -> Run:
        """Assign a waiting task to a worker as a new run."""
        run = self._add_run(step, index, worker, run_id, now_s)
        step.waiting.remove(index)
        step.tracked_job.runs[run.name] = run
        self.mark_job_running(step.tracked_job)
        return run

    def new_copy(
        self, step: TrackedStep, index: int, worker: Worker, run_id: int, now_s: float
    ) -> Run:
        """Assign a running task to a second worker as a copy."""
        run = self._add_run(step, index, worker, run_id, now_s)
        step.tracked_job.add_copy(run)
        return run

    def _add_run(
        self, step: TrackedStep, index: int, worker: Worker, run_id: int, now_s: float
    ) -> Run:
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
        step.tracked_job.add_run(run)
        return run

    def mark_job_running(self, tracked_job: TrackedJob) -> None:
        """Record that a task of a job has started."""
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
            self.finish_run(worker, run, EndKind.STOPPED, "", now_s)

    def request_stop(self, run: Run, reason: str) -> None:
        """Mark a run to be stopped, unless it is marked already."""
        if not run.is_stop_requested:
            run.is_stop_requested = True
            run.stop_reason = reason
            self.runs_to_stop.add(run)

    def record_done(
        self, tracked_job: TrackedJob, name: TaskName, run_id: int, wall_s: float
    ) -> None:
        """Add a task's first end ``done`` to its job's progress, and open the steps after it."""
        if tracked_job.progress.is_done(name):
            return
        for run in tracked_job.live_runs.get(name, ()):
            if run.run_id != run_id:
                self.request_stop(run, "done-elsewhere")
        tracked_job.progress.note_done(tracked_job.job, name, now_s=wall_s)
        tracked_job.changes += 1
        step = tracked_job.steps.get((name.occurrence, name.step))
        if step is not None and name.number in step.waiting:
            step.waiting.remove(name.number)
        if tracked_job.progress.is_step_done(tracked_job.job, name.occurrence, name.step):
            tracked_job.steps.pop((name.occurrence, name.step), None)
            for number in tracked_job.later_steps[name.step]:
                self._open_step(tracked_job, name.occurrence, number)
        if name.occurrence in tracked_job.progress.ended:
            tracked_job.forget_occurrence(name.occurrence)
        if tracked_job.progress.state.is_final:
            self.close_job(tracked_job, "completed")

    def finish_run(
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
        is_done = tracked_job.progress.is_done(run.name)
        if run.step.is_checkpointed and (checkpoint or run.checkpoint) and not is_done:
            tracked_job.checkpoints[run.name] = checkpoint or run.checkpoint
        tracked_job.remove_run(run)
        self.copies.note_ended(run, kind, now_s)
        self._drop_if_finished(tracked_job)
        step = tracked_job.steps.get((run.name.occurrence, run.name.step))
        is_waiting = step is not None and run.name.number in step.waiting
        if step is None or is_waiting or run.name in tracked_job.live_runs:
            return
        if not tracked_job.progress.is_done(run.name):
            step.waiting.append(run.name.number)
