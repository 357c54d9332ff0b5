"""Second runs of tasks on slow or silent workers, where their step allows them; no network calls.

A task has one current run (`TrackedJob.runs`) and at most one copy beside it (`Run.is_copy`). The
first end ``done`` of either counts, and the other run is stopped. If the current run ends in any
other way, the copy takes its place and the task isn't queued again.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

from shallotworks.jobs import Step
from shallotworks.logs import StructuredLog

from .._model import EndKind, Run, RunPhase, Worker
from .._tracked_jobs import TrackedJob, TrackedStep
from ._dark_racks import is_silent

__all__ = ["Copies", "CopyReason", "may_have_copies"]

MIN_GAIN_RATIO = 2.0
"""A task is copied if it needs longer than this multiple of the time of a fresh run."""
MAX_COPY_RATIO = 1 / 20
"""Part of the pool's processor that copies may use."""
YOUNG_S = 10.0
"""A worker that started less than this ago is slow for a while, and is given the time."""
MIN_ATTEMPTS_LEFT = 2
"""Both runs may fail without using up the attempts of the task."""
MIN_RUN_S = 0.5
"""A run is not copied before it has run for this long."""


class CopyReason(NamedTuple):
    """Why a run is worth a copy.

    Args:
        run: The run.
        left_s: Seconds that it still needs at its pace; infinite if its worker is silent.
        fresh_s: Seconds that a fresh run takes on a sound worker.
    """

    run: Run
    left_s: float
    fresh_s: float


def may_have_copies(step: Step) -> bool:
    """Whether two runs of a task of a step may be alive at the same time."""
    return step.is_speculative and not (step.is_gang or step.is_lasting or step.is_filler)


class Copies:
    """Says which runs are worth a copy and where it may run, and logs what copies cost.

    Args:
        tracked_jobs: The service's jobs by id.
        workers: The service's workers by id.
        log: Receives a line for each copy and for each run of a pair that was in vain.
    """

    __slots__ = ("_log", "_tracked_jobs", "_workers")

    def __init__(
        self,
        *,
        tracked_jobs: dict[str, TrackedJob],
        workers: dict[str, Worker],
        log: StructuredLog,
    ) -> None:
        self._tracked_jobs = tracked_jobs
        self._workers = workers
        self._log = log

    def wanted(self, now_s: float, wall_s: float) -> list[tuple[TrackedStep, CopyReason]]:
        """Return the runs that are worth a copy with their steps, the longest first.

        Args:
            now_s: The scheduler's clock in seconds.
            wall_s: Time of day in seconds since 1970.
        """
        found = [
            (step, reason)
            for worker in self._workers.values()
            if _is_held_up(worker, now_s, wall_s)
            for step, run in self._copyable(worker, now_s, wall_s)
            if (reason := _reason(worker, run, now_s)) is not None
        ]
        found.sort(key=lambda one: -one[1].left_s)
        return found

    def _copyable(
        self, worker: Worker, now_s: float, wall_s: float
    ) -> Iterator[tuple[TrackedStep, Run]]:
        for run in worker.runs.values():
            if not may_have_copies(run.step) or run.is_paired or run.is_stop_requested:
                continue
            tracked_job = self._tracked_jobs.get(run.name.job_id)
            if tracked_job is None or tracked_job.live_runs.get(run.name) != {run}:
                continue
            step = tracked_job.steps.get((run.name.occurrence, run.name.step))
            if step is None or step.is_no_longer_useful(wall_s) or step.not_before_s > now_s:
                continue
            is_suspect = bool(tracked_job.progress.lost) or run in worker.isolated_runs
            if not is_suspect and _attempts_left(tracked_job, run) >= MIN_ATTEMPTS_LEFT:
                yield step, run

    def processor_millicores(self) -> tuple[int, float]:
        """Return how much processor copies use, and how much they may use at most."""
        used = total = 0
        for worker in self._workers.values():
            if worker.is_listed and not worker.view.is_draining:
                total += worker.view.cpu_millicores
            used += sum(run.step.cpu_millicores for run in worker.runs.values() if run.is_copy)
        return used, total * MAX_COPY_RATIO

    def workers_for(self, run: Run, now_s: float, wall_s: float) -> tuple[list[Worker], ...]:
        """Return the workers that may take a copy: first those of other racks, then the rest."""
        first = self._workers.get(run.worker_id)
        rack = first.view.rack if first is not None else ""
        sound = [
            worker
            for worker in self._workers.values()
            if worker.worker_id != run.worker_id
            and max(worker.avoid_until_s, worker.rack_avoid_until_s) <= now_s
            and not _is_held_up(worker, now_s, wall_s)
            and not worker.is_slow
        ]
        elsewhere = [worker for worker in sound if worker.view.rack != rack]
        return elsewhere, [worker for worker in sound if worker.view.rack == rack]

    def note_started(self, copy: Run, reason: CopyReason) -> None:
        """Log a copy that is started."""
        self._log.line(
            "copy-started",
            id=copy.name.job_id,
            task=list(copy.name[1:]),
            run=copy.run_id,
            worker=copy.worker_id,
            of_run=reason.run.run_id,
            of_worker=reason.run.worker_id,
            left_s=round(reason.left_s, 2) if reason.left_s < math.inf else None,
            fresh_s=round(reason.fresh_s, 2),
        )

    def note_ended(self, run: Run, kind: EndKind, now_s: float) -> None:
        """Log what a run of a pair has cost in vain, if it was not done."""
        if not run.is_paired or kind is EndKind.DONE:
            return
        ran_s = now_s - run.since_s
        self._log.line(
            "copy-in-vain",
            id=run.name.job_id,
            task=list(run.name[1:]),
            run=run.run_id,
            worker=run.worker_id,
            is_copy=run.is_copy,
            how=kind.value,
            reason=run.stop_reason,
            core_s=round(ran_s * run.step.cpu_millicores / 1000, 3),
        )


def _is_held_up(worker: Worker, now_s: float, wall_s: float) -> bool:
    """Whether the work on a worker is slow or its worker silent, and not just young."""
    return is_silent(worker, now_s) or (worker.is_slow and not _is_young(worker, wall_s))


def _is_young(worker: Worker, wall_s: float) -> bool:
    """Whether a worker has just started; one from the future says that clocks differ."""
    born_ms = worker.view.born_ms
    return born_ms is not None and 0 <= wall_s - born_ms / 1000 < YOUNG_S


def _reason(worker: Worker, run: Run, now_s: float) -> CopyReason | None:
    """Return why a run on a slow or silent worker is worth a copy; ``None`` if it is not."""
    if is_silent(worker, now_s) and run.phase is not RunPhase.STARTING:
        return CopyReason(run, math.inf, run.step.estimated_s)
    if run.phase is not RunPhase.RUNNING or now_s - run.confirmed_s < MIN_RUN_S:
        return None
    if not run.marks or not worker.is_slow:
        return None
    (since_s, first), (until_s, last) = run.marks[0], run.marks[-1]
    if last == first or until_s <= since_s:
        return None
    whole_s = 100 * (until_s - since_s) / (last - first)
    left_s = whole_s * (100 - last) / 100
    fresh_s = whole_s * worker.pace
    return CopyReason(run, left_s, fresh_s) if left_s > MIN_GAIN_RATIO * fresh_s else None


def _attempts_left(tracked_job: TrackedJob, run: Run) -> int:
    key = (run.name.occurrence, run.name.step, run.name.number)
    failed = tracked_job.progress.failures.get(key, ())
    return tracked_job.job.policy.most_attempts - len(failed)
