"""Starts suspects in isolation; no network calls.

A suspect is a task that may have crashed a worker. It is started on a worker where no other run is
on probation, and nothing else is started there until the worker has survived the start for the
probation time. The start is stored in the job's progress before it is sent, so that a succeeding
scheduler knows of it. If the worker crashes in that time, the suspect is the only run to blame.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from shallotworks.jobs import Blame, LostRun, TaskName, is_suspect
from shallotworks.logs import StructuredLog

from ._crash_blame import MIN_PROBATION_S, CrashBlame
from ._model import Run, RunPhase, Worker
from ._tracked_jobs import TrackedJob

__all__ = ["Isolation"]

MAX_RESERVATION_S = 2.0
"""A reserved start is cancelled if it is not stored, or if its worker is not ready for it, within
this time. It is also cancelled if the worker leaves a poll unanswered."""
MAX_BUSY_WORKER_RATIO = 1 / 8
"""At most this ratio of all workers, but at least one, may be reserved for suspects while they also
have other runs."""


class Isolation:
    """Reserves workers for suspects and releases the starts of these.

    Args:
        tracked_jobs: The service's jobs by id.
        workers: The service's workers by id.
        blame: Decides which tasks are suspects, and for how long runs are on probation.
        log: Receives a line for each suspect that its worker has survived.
    """

    __slots__ = ("_blame", "_cleared_jobs", "_log", "_reserved", "_tracked_jobs", "_workers")

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
        self._cleared_jobs: set[str] = set()
        """Ids of jobs of which a suspect was started in isolation and did not crash its worker."""

    def note_answered(self, worker: Worker, now_s: float) -> None:
        """End the isolation of a worker that has answered after the probation of its suspect."""
        run = worker.isolated_run
        if run is None or run.phase is RunPhase.RESERVED:
            return
        if now_s - run.confirmed_s < self._blame.probation_s(run):
            return
        self._cleared_jobs.add(run.name.job_id)
        self._log.line(
            "suspect-cleared",
            id=run.name.job_id,
            task=list(run.name[1:]),
            run=run.run_id,
            worker=worker.worker_id,
        )
        self._blame.clear_run(run)

    def remaining_probation_s(self, worker: Worker, now_s: float) -> float | None:
        """Return how long a worker still has to survive its isolated run; ``None`` without one.

        The time is in seconds. For a worker that is reserved, the shortest probation time is
        returned, so that it is polled often: the start is sent only after the worker has answered.
        """
        run = worker.isolated_run
        if run is None:
            return None
        if run.phase is RunPhase.RESERVED:
            return MIN_PROBATION_S
        return max(0.0, min(run.confirmed_s, now_s) + self._blame.probation_s(run) - now_s)

    def suspects(
        self, tracked_job: TrackedJob, names: Iterable[TaskName], wall_s: float
    ) -> list[TaskName]:
        """Return those waiting tasks of a job that have to be started in isolation.

        Uncertain lost runs of the job are resolved first, which may fail the job.

        The tasks of a job are similar. Once a suspect of the job is cleared, a task that was lost
        only once, and beside others, is no suspect any more: a crash makes suspects of all young
        tasks on a worker, and after a series of crashes it would take too long to start each of
        them in isolation.
        """
        self._blame.resolve(tracked_job, wall_s)
        is_cleared = tracked_job.job.job_id in self._cleared_jobs
        lost = {name: tracked_job.progress.lost_runs(tracked_job.job, name) for name in names}
        return [
            name
            for name, runs in lost.items()
            if is_suspect(runs) and not (is_cleared and _is_lost_once_beside_others(runs))
        ]

    def startable_suspects(
        self, tracked_job: TrackedJob, suspects: list[TaskName]
    ) -> list[TaskName]:
        """Return the suspects of a job that may be started now, each in isolation.

        The tasks of a job are similar, so one suspect is started first; see `holds_other_tasks`.
        """
        if tracked_job.job.job_id in self._cleared_jobs:
            return suspects
        return [] if self._has_isolated_run(tracked_job) else suspects[:1]

    def holds_other_tasks(self, tracked_job: TrackedJob, suspects: list[TaskName]) -> bool:
        """Whether the other tasks of a job wait, because they may crash workers too."""
        has_open_suspect = bool(suspects) or self._has_isolated_run(tracked_job)
        return has_open_suspect and tracked_job.job.job_id not in self._cleared_jobs

    def _has_isolated_run(self, tracked_job: TrackedJob) -> bool:
        runs = tracked_job.runs.values()
        return any(self._is_isolated(run) for run in runs)

    def _is_isolated(self, run: Run) -> bool:
        worker = self._workers.get(run.worker_id)
        return worker is not None and worker.isolated_run is run

    def candidate_workers(self) -> list[Worker]:
        """Return the workers that may be reserved for a suspect, in order of `_crash_cost`."""
        workers = list(self._workers.values())
        kept = [worker for worker in workers if worker.isolated_run is not None]
        busy = sum(1 for worker in kept if len(worker.runs) > 1)
        may_use_busy = busy < max(1, int(len(workers) * MAX_BUSY_WORKER_RATIO))
        free = [
            worker
            for worker in workers
            if worker.isolated_run is None and (may_use_busy or not worker.runs)
        ]
        free.sort(key=_crash_cost)
        return free

    def isolate(self, run: Run, worker: Worker, *, now_s: float, wall_s: float) -> None:
        """Reserve a worker for the start of a suspect, and record the start for storing."""
        tracked_job = self._tracked_jobs[run.name.job_id]
        worker.isolated_run = run
        run.enter(RunPhase.RESERVED, now_s)
        lost = LostRun(
            run_id=run.run_id,
            incarnation=worker.incarnation,
            blame=Blame.SOLE,
            is_certain=False,
            is_received=False,
        )
        self._blame.note_lost(tracked_job, run.name, lost, wall_s)
        self._reserved[run] = (tracked_job.changes, now_s)

    def release_reservations(self, now_s: float) -> Iterator[tuple[Run, bool]]:
        """End reservations that are ready or cancelled; yield each start and whether to send it."""
        for run, (change, since_s) in list(self._reserved.items()):
            worker = self._workers.get(run.worker_id)
            tracked_job = self._tracked_jobs.get(run.name.job_id)
            if worker is None or (run.name, run.run_id) not in worker.runs:
                del self._reserved[run]
            elif tracked_job is None or run.is_stop_requested:
                del self._reserved[run]
                yield run, False
            elif tracked_job.stored_changes >= change and _is_ready_for_isolation(
                worker, run, since_s
            ):
                del self._reserved[run]
                run.since_s = now_s
                run.enter(RunPhase.STARTING, now_s)
                yield run, _may_start_on(worker)
            elif now_s - since_s > MAX_RESERVATION_S or worker.pause_until_s > now_s:
                del self._reserved[run]
                yield run, False

    def remove_job(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self._cleared_jobs.discard(job_id)


def _is_lost_once_beside_others(lost: tuple[LostRun, ...]) -> bool:
    return [one.blame for one in lost] == [Blame.SHARED]


def _may_start_on(worker: Worker) -> bool:
    """Whether a worker that is reserved for a start may still be sent that start."""
    is_reached = worker.is_listed and worker.is_fenced
    return is_reached and not worker.view.is_draining and not worker.is_overfull


def _is_ready_for_isolation(worker: Worker, run: Run, since_s: float) -> bool:
    """Whether a worker has reported since it was reserved, and has no other run on probation."""
    return worker.reported_s >= since_s and not _has_run_on_probation(worker, run)


def _has_run_on_probation(worker: Worker, excluding: Run | None = None) -> bool:
    others = [run for run in worker.runs.values() if run is not excluding]
    return any(worker.reported_s - run.confirmed_s < MIN_PROBATION_S for run in others)


def _crash_cost(worker: Worker) -> tuple[bool, bool, int, int]:
    """Return a sort key for reserving a worker; the smallest would lose the least in a crash.

    A worker without runs on probation comes before one that would have to wait for them.
    """
    has_lasting = any(run.step.is_lasting for run in worker.runs.values())
    return (has_lasting, _has_run_on_probation(worker), worker.cpu_used, len(worker.runs))
