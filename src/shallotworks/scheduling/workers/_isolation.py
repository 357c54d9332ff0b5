"""Starts suspects in isolation; no network calls.

A suspect is a task that may have crashed a worker. All suspects of a step that fit are started
together on a worker where no other run is on probation, and nothing else is started there until the
worker has survived the starts for the probation time. The starts are stored in the job's progress
before they are sent, so that a succeeding scheduler knows of them. If the worker crashes in that
time, their job is the only one to blame.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from enum import Enum, unique

from shallotworks.jobs import TaskName, is_suspect
from shallotworks.logs import StructuredLog

from .._model import Run, RunPhase, Worker
from .._tracked_jobs import TrackedJob, TrackedStep
from ._crash_blame import MIN_PROBATION_S, CrashBlame

__all__ = ["Isolation"]

MAX_RESERVATION_S = 2.0
"""A reserved start is cancelled if it is not stored, or if its worker is not ready for it, within
this time. It is also cancelled if the worker leaves a poll unanswered."""
MIN_BUSY_WORKER_RATIO = 1 / 8
"""At most this ratio of all workers, but at least one, may be reserved for suspects while they also
have other runs. It grows up to `MAX_BUSY_WORKER_RATIO` with the number of jobs that wait for
isolation."""
MAX_BUSY_WORKER_RATIO = 1 / 2
RETRY_INTERVAL_S = 10.0
MAX_RETRIED_WORKER_RATIO = 1 / 8
"""While other jobs wait, at most this ratio of all workers, but at least one, is given within
`RETRY_INTERVAL_S` to steps with a proven crash. Otherwise a few crash loops would take the workers
from all other jobs."""
MAX_IDLE_WAIT_S = 16.0
"""A step with a proven crash comes after all others, and gets only workers without other runs, for
this long after its last start."""
MAX_UNPROVEN_LOSSES = 5
UNPROVEN_RETRY_S = 10.0
PROVEN_RETRY_S = 120.0
"""From `MAX_UNPROVEN_LOSSES` losses of a task on that may be its crashes, which exhaust the retry
budget of one that crashes its workers, it is started at most once in this time: the longer one if
one of the crashes is proven."""


@unique
class _Reservation(Enum):
    """States of a reserved start."""

    WAITING = "waiting"
    READY = "ready"
    """The start is stored, and its worker is ready for it."""
    OVER = "over"
    """The start is not sent any more."""


class Isolation:
    """Reserves workers for suspects and releases the starts of these.

    Args:
        tracked_jobs: The service's jobs by id.
        workers: The service's workers by id.
        blame: Decides which tasks are suspects, and for how long runs are on probation.
        log: Receives a line for each suspect that its worker has survived.
    """

    __slots__ = (
        "_blame",
        "_cleared_steps",
        "_isolated_s",
        "_log",
        "_reserved",
        "_retried",
        "_tracked_jobs",
        "_workers",
    )

    def __init__(
        self,
        *,
        tracked_jobs: dict[str, TrackedJob],
        workers: dict[str, Worker],
        blame: CrashBlame,
        log: StructuredLog,
    ) -> None:
        self._tracked_jobs = tracked_jobs
        self._workers = workers
        self._blame = blame
        self._log = log
        self._reserved: dict[Run, tuple[int, float]] = {}
        """Starts that wait until they are stored and their workers are ready. Each has the number
        of the job's change that has to be stored, and the time at which it was reserved."""
        self._retried: dict[str, float] = {}
        """Time at which tasks of a job were last isolated after a proven crash, by job id."""
        self._isolated_s: dict[str, float] = {}
        """Time at which tasks of a job were last isolated, by job id."""
        self._cleared_steps: dict[str, set[tuple[int, int]]] = {}
        """Steps, by occurrence and number, of which suspects were started in isolation and did not
        crash their worker; by job id."""

    def note_answered(self, worker: Worker, now_s: float) -> None:
        """End the isolation of a worker that has answered after the probation of its suspects."""
        if any(
            run.phase is RunPhase.RESERVED or now_s - run.confirmed_s < self._blame.probation_s(run)
            for run in worker.isolated_runs
        ):
            return
        for run in list(worker.isolated_runs):
            self._clear(worker, run)

    def note_done(self, worker: Worker, run: Run) -> None:
        """Clear a suspect that is done before its probation was over."""
        if run in worker.isolated_runs:
            self._clear(worker, run)

    def _clear(self, worker: Worker, run: Run) -> None:
        self._log.line(
            "suspect-cleared",
            id=run.name.job_id,
            task=list(run.name[1:]),
            run=run.run_id,
            worker=worker.worker_id,
        )
        self._blame.note_outlived(worker, run)
        self._retried.pop(run.name.job_id, None)
        if not worker.isolated_runs:
            self._cleared_steps.setdefault(run.name.job_id, set()).add(_step_key(run.name))

    def remaining_probation_s(self, worker: Worker, now_s: float) -> float | None:
        """Return how long a worker still has to survive its isolated runs; ``None`` without any.

        The time is in seconds. For a worker that is reserved, the shortest probation time is
        returned, so that it is polled often: the starts are sent only after it has answered.
        """
        return max((self._remaining_s(run, now_s) for run in worker.isolated_runs), default=None)

    def _remaining_s(self, run: Run, now_s: float) -> float:
        if run.phase is RunPhase.RESERVED:
            return MIN_PROBATION_S
        return max(0.0, min(run.confirmed_s, now_s) + self._blame.probation_s(run) - now_s)

    def suspects(
        self, tracked_job: TrackedJob, names: Iterable[TaskName], wall_s: float
    ) -> list[TaskName]:
        """Return those waiting tasks of a job that have to be started in isolation.

        Uncertain lost runs of the job are resolved first, which may fail the job.
        """
        self._blame.resolve(tracked_job, wall_s)
        job, progress = tracked_job.job, tracked_job.progress
        return [name for name in names if is_suspect(progress.lost_runs(job, name))]

    def may_isolate(self, step: TrackedStep, now_s: float, *, do_others_wait: bool) -> bool:
        """Whether suspects of a step may be started now, on one more worker.

        Until a worker has survived some of them, they are started on one worker at a time, so that
        a job that crashes its workers takes one with each attempt.

        Args:
            step: The step.
            now_s: Time on the scheduler's clock in seconds.
            do_others_wait: Whether other jobs wait for workers.
        """
        if not self._is_cleared(step) and self._has_isolated_run(step):
            return False
        if step.most_losses >= MAX_UNPROVEN_LOSSES:
            # A successor doesn't know when the latest start was.
            since_s = self._isolated_s.setdefault(step.tracked_job.job.job_id, now_s)
            retry_s = PROVEN_RETRY_S if step.has_witnessed_crash else UNPROVEN_RETRY_S
            if now_s - since_s < retry_s:
                return False
        if not do_others_wait or not step.has_proven_crash:
            return True
        recent = sum(1 for at_s in self._retried.values() if now_s - at_s < RETRY_INTERVAL_S)
        return recent < max(1, int(len(self._workers) * MAX_RETRIED_WORKER_RATIO))

    def comes_last(self, step: TrackedStep, now_s: float) -> bool:
        """Whether the suspects of a step wait for a worker that no other job needs."""
        waited_s = now_s - self._isolated_s.get(step.tracked_job.job.job_id, -math.inf)
        return step.has_proven_crash and waited_s < MAX_IDLE_WAIT_S

    def holds_other_tasks(self, step: TrackedStep, suspects: list[TaskName]) -> bool:
        """Whether the other tasks of a step wait, because they may crash workers too."""
        has_open_suspect = bool(suspects) or self._has_isolated_run(step)
        return has_open_suspect and not self._is_cleared(step)

    def _is_cleared(self, step: TrackedStep) -> bool:
        cleared = self._cleared_steps.get(step.tracked_job.job.job_id, ())
        return (step.occurrence, step.number) in cleared

    def _has_isolated_run(self, step: TrackedStep) -> bool:
        return any(
            _step_key(run.name) == (step.occurrence, step.number) and self._is_isolated(run)
            for run in step.tracked_job.runs.values()
        )

    def _is_isolated(self, run: Run) -> bool:
        worker = self._workers.get(run.worker_id)
        return worker is not None and run in worker.isolated_runs

    def candidate_workers(self, step: TrackedStep, waiting_jobs: int, now_s: float) -> list[Worker]:
        """Return the workers that may be reserved for suspects, in order of `_crash_cost`.

        Args:
            step: The step of the suspects.
            waiting_jobs: Number of jobs that wait with lost runs.
            now_s: Time on the scheduler's clock in seconds.
        """
        workers = list(self._workers.values())
        needs_idle = self.comes_last(step, now_s)
        busy = sum(1 for worker in workers if worker.isolated_runs and _has_other_runs(worker))
        may_use_busy = not needs_idle and busy < _max_busy_workers(len(workers), waiting_jobs)
        free = [
            worker
            for worker in workers
            if not worker.isolated_runs and (may_use_busy or not worker.runs)
        ]
        free.sort(key=_crash_cost)
        return free

    def isolate(self, runs: list[Run], worker: Worker, *, now_s: float, wall_s: float) -> None:
        """Reserve a worker for the starts of suspects, and record the starts for storing."""
        tracked_job = self._tracked_jobs[runs[0].name.job_id]
        worker.isolated_runs.extend(runs)
        self._isolated_s[tracked_job.job.job_id] = now_s
        if tracked_job.steps[_step_key(runs[0].name)].has_proven_crash:
            self._retried[tracked_job.job.job_id] = now_s
        for run in runs:
            run.enter(RunPhase.RESERVED, now_s)
            self._blame.note_isolated(run, wall_s)
        for run in runs:
            self._reserved[run] = (tracked_job.changes, now_s)

    def release_reservations(self, now_s: float) -> Iterator[tuple[Run, bool]]:
        """End reservations that are ready or cancelled; yield each start and whether to send it.

        The members of a gang are released together or not at all.
        """
        for runs in self._reserved_together():
            states = [self._reservation_state(run, now_s) for run in runs]
            if _Reservation.OVER in states:
                is_sent = False
            elif all(state is _Reservation.READY for state in states):
                is_sent = all(_may_start_on(self._workers[run.worker_id]) for run in runs)
            else:
                continue
            for run in runs:
                del self._reserved[run]
                worker = self._workers.get(run.worker_id)
                if worker is None or (run.name, run.run_id) not in worker.runs:
                    continue
                if is_sent:
                    run.since_s = now_s
                    run.enter(RunPhase.STARTING, now_s)
                yield run, is_sent

    def _reserved_together(self) -> list[list[Run]]:
        """Return the reserved starts, those of a gang in one list."""
        groups: dict[tuple[str, int], list[Run]] = {}
        for run in self._reserved:
            groups.setdefault((run.name.job_id, run.run_id), []).append(run)
        return list(groups.values())

    def _reservation_state(self, run: Run, now_s: float) -> _Reservation:
        change, since_s = self._reserved[run]
        worker = self._workers.get(run.worker_id)
        tracked_job = self._tracked_jobs.get(run.name.job_id)
        if worker is None or tracked_job is None:
            return _Reservation.OVER
        if (run.name, run.run_id) not in worker.runs or run.is_stop_requested:
            return _Reservation.OVER
        if tracked_job.stored_changes >= change and _is_ready_for_isolation(worker, since_s):
            return _Reservation.READY
        is_late = now_s - since_s > MAX_RESERVATION_S or worker.pause_until_s > now_s
        return _Reservation.OVER if is_late else _Reservation.WAITING

    def remove_job(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self._cleared_steps.pop(job_id, None)
        self._retried.pop(job_id, None)
        self._isolated_s.pop(job_id, None)


def _step_key(name: TaskName) -> tuple[int, int]:
    return (name.occurrence, name.step)


def _max_busy_workers(workers: int, waiting_jobs: int) -> int:
    """Return how many workers with other runs may be reserved at the same time."""
    most = min(waiting_jobs, int(workers * MAX_BUSY_WORKER_RATIO))
    return max(1, int(workers * MIN_BUSY_WORKER_RATIO), most)


def _has_other_runs(worker: Worker) -> bool:
    """Whether a worker has runs beside its isolated ones."""
    return len(worker.runs) > len(worker.isolated_runs)


def _may_start_on(worker: Worker) -> bool:
    """Whether a worker that is reserved for a start may still be sent that start."""
    is_reached = worker.is_listed and worker.is_fenced
    return is_reached and not worker.view.is_draining and not worker.is_overfull


def _is_ready_for_isolation(worker: Worker, since_s: float) -> bool:
    """Whether a worker has reported since it was reserved, and has no other run on probation."""
    return worker.reported_s >= since_s and not _has_run_on_probation(worker)


def _has_run_on_probation(worker: Worker) -> bool:
    others = [run for run in worker.runs.values() if run not in worker.isolated_runs]
    return any(worker.reported_s - run.confirmed_s < MIN_PROBATION_S for run in others)


def _crash_cost(worker: Worker) -> tuple[bool, bool, int, int]:
    """Return a sort key for reserving a worker; the smallest would lose the least in a crash.

    A worker without runs on probation comes before one that would have to wait for them.
    """
    has_lasting = any(run.step.is_lasting for run in worker.runs.values())
    return (has_lasting, _has_run_on_probation(worker), worker.cpu_used, len(worker.runs))
