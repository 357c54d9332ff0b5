"""Evidence on a worker's pace from the progress in its reports; no network calls.

Each fact on a worker has one owner. `CrashBlame` says which tasks may have crashed it, `Isolation`
says which suspects hold it, `Worker.avoid_until_s` says that tasks failed or stood still here, and
`PaceEvidence` says whether work that goes on here goes on slowly (`Worker.is_slow`), and
`DarkRacks` that its rack has just fallen silent. None of them reads another's fact; they meet in
`Placement` alone, where the second excludes a worker and the others only place it after others.

A stated length may be wrong by a factor, and it is wrong alike for all tasks of a step. A run is
therefore compared with the runs of its step on other workers, and only without these with all other
steps of the pool. A worker counts as slow once the median over its runs is below what the spread of
all runs explains. With `MAX_SAMPLES` runs of different steps that have no like elsewhere, the test
can't tell a worker of a seventh of the pace beyond a spread of stated lengths of 1.5 (natural
logarithm), with five such runs beyond 1.0, with three beyond 0.8.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from dataclasses import dataclass
from statistics import median
from typing import NamedTuple

from shallotworks.jobs import Incarnation, Step
from shallotworks.logs import StructuredLog

from .._model import Run, RunPhase, Worker

__all__ = ["PaceEvidence"]

REVIEW_INTERVAL_S = 0.5
FADE_S = 8.0
"""Runs that ended longer ago, and workers that have reported nothing since, say nothing."""
MAX_SAMPLES = 12
"""Ended runs remembered for each worker."""
MIN_SAMPLES = 3
"""A worker with fewer runs to compare is not judged."""
MIN_COMPARED_WORKERS = 3
"""A pool with fewer judged workers has no median that a single one doesn't decide."""
MIN_SIBLING_WORKERS = 2
"""Workers beside its own on which a step must run to be compared with itself."""
MIN_OBSERVED_S = 0.4
MIN_EXPECTED_PERCENT = 10.0
"""A run is compared once it should have made this much progress. Reports give whole percents."""
MAX_PACE_RATIO = 1 / 3
"""A worker at more than this ratio of the pool's pace is never slow."""
SIGNIFICANCE = 3.5
"""Standard errors of the median by which a worker has to be below the pool."""
MEDIAN_ERROR_RATIO = 1.25
"""Standard error of a median of normal values, as a multiple of that of their mean."""
DEVIATION_RATIO = 1.48
"""Standard deviation of normal values, as a multiple of their median absolute deviation."""
MIN_SPREAD = 0.1
RECOVERY_RATIO = 0.6
"""A slow worker recovers once its deficit is below this ratio of the one that makes it slow."""
MAX_SLOW_RATIO = 1 / 3
"""At most this ratio of a pool counts as slow."""

_StepKey = tuple[str, int, int]


class _Sample(NamedTuple):
    """The natural logarithm of a run's progress made to progress expected, on one worker."""

    at_s: float
    step: _StepKey
    log_pace: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Verdict:
    """A worker's pace against the pool's.

    Args:
        deficit: Natural logarithm of the pool's pace to the worker's.
        least: The deficit from which the worker counts as slow.
        runs: Number of runs that were compared.
    """

    deficit: float
    least: float
    runs: int


class PaceEvidence:
    """Keeps `Worker.is_slow` and `Worker.pace` of all workers of a service.

    Args:
        workers: The service's workers by id.
        log: Receives a line when a worker becomes slow and when it recovers.
    """

    __slots__ = ("_ended", "_log", "_reviewed_s", "_workers")

    def __init__(self, *, workers: dict[str, Worker], log: StructuredLog) -> None:
        self._workers = workers
        self._log = log
        self._ended: dict[Incarnation, deque[_Sample]] = {}
        self._reviewed_s = -math.inf

    def note_done(self, worker: Worker, run: Run, now_s: float) -> None:
        """Remember the pace of a run that is done."""
        sample = _sample(worker, run, now_s)
        if sample is not None:
            kept = self._ended.setdefault(worker.incarnation, deque(maxlen=MAX_SAMPLES))
            kept.append(sample)

    def review(self, now_s: float) -> None:
        """Judge all workers again, at most once in `REVIEW_INTERVAL_S`."""
        if now_s - self._reviewed_s < REVIEW_INTERVAL_S:
            return
        self._reviewed_s = now_s
        self._forget(now_s)
        samples = {
            worker.worker_id: self._samples(worker, now_s) for worker in self._workers.values()
        }
        verdicts = _verdicts({key: found for key, found in samples.items() if found})
        slow = self._slow_worker_ids(verdicts)
        for worker in self._workers.values():
            verdict = verdicts.get(worker.worker_id)
            if worker.is_slow != (worker.worker_id in slow):
                worker.is_slow = not worker.is_slow
                self._log_change(worker, verdict)
            worker.pace = math.exp(-verdict.deficit) if verdict and worker.is_slow else 1.0

    def _forget(self, now_s: float) -> None:
        present = {worker.incarnation for worker in self._workers.values()}
        for incarnation, kept in list(self._ended.items()):
            while kept and now_s - kept[0].at_s > FADE_S:
                kept.popleft()
            if not kept or incarnation not in present:
                del self._ended[incarnation]

    def _samples(self, worker: Worker, now_s: float) -> list[_Sample]:
        ended = list(self._ended.get(worker.incarnation, ()))
        if now_s - worker.reported_s > FADE_S:
            return ended
        going_on = (
            _sample(worker, run, now_s)
            for run in worker.runs.values()
            if run.phase is RunPhase.RUNNING
        )
        return ended + [sample for sample in going_on if sample is not None]

    def _slow_worker_ids(self, verdicts: dict[str, _Verdict]) -> set[str]:
        """Return the workers that count as slow, the slowest first, within the pool's bound."""
        found = [
            (verdict.deficit, worker_id)
            for worker_id, verdict in verdicts.items()
            if verdict.deficit > verdict.least * self._ratio_of(worker_id)
        ]
        found.sort(reverse=True)
        return {worker_id for _, worker_id in found[: int(len(self._workers) * MAX_SLOW_RATIO)]}

    def _ratio_of(self, worker_id: str) -> float:
        return RECOVERY_RATIO if self._workers[worker_id].is_slow else 1.0

    def _log_change(self, worker: Worker, verdict: _Verdict | None) -> None:
        self._log.line(
            "worker-slow" if worker.is_slow else "worker-recovered",
            worker=worker.worker_id,
            born_ms=worker.view.born_ms,
            pace=round(math.exp(-verdict.deficit), 3) if verdict is not None else None,
            slow_below=round(math.exp(-verdict.least), 3) if verdict is not None else None,
            runs_compared=verdict.runs if verdict is not None else 0,
        )


def _sample(worker: Worker, run: Run, now_s: float) -> _Sample | None:
    """Return a run's pace, or ``None`` if it says nothing on its worker."""
    if not run.marks or run.pace_percent < 100 or not _is_comparable(run.step, worker):
        return None
    (since_s, first), (until_s, last) = run.marks[0], run.marks[-1]
    expected = 100 * (until_s - since_s) / run.step.estimated_s
    if until_s - since_s < MIN_OBSERVED_S or expected < MIN_EXPECTED_PERCENT:
        return None
    if last == first:
        # The worker may not report progress at all, and a task that hangs is stopped as such.
        return None
    # The true progress is up to one percent more than reported.
    log_pace = math.log((last - first + 1) / expected)
    step = (run.name.job_id, run.name.occurrence, run.name.step)
    return _Sample(now_s, step, log_pace)


def _is_comparable(step: Step, worker: Worker) -> bool:
    """Whether a task's pace depends on its worker alone, and its estimated time is known."""
    is_away = bool(step.near_rack) and step.near_rack != worker.view.rack
    is_other_kind = step.is_lasting or step.is_filler or step.is_gang or step.is_one_rack
    return step.estimated_s > 0 and not is_away and not is_other_kind


def _verdicts(samples: dict[str, list[_Sample]]) -> dict[str, _Verdict]:
    """Return a verdict for each worker with enough runs, by worker id.

    Args:
        samples: The runs of each worker that has any, by worker id.
    """
    paces = _relative_paces(samples)
    judged = {key: found for key, found in paces.items() if len(found) >= MIN_SAMPLES}
    if len(judged) < MIN_COMPARED_WORKERS:
        return {}
    deviation = median(abs(pace) for found in judged.values() for pace in found)
    spread = max(MIN_SPREAD, DEVIATION_RATIO * deviation)
    return {
        worker_id: _Verdict(
            deficit=-median(found),
            least=max(
                -math.log(MAX_PACE_RATIO),
                SIGNIFICANCE * MEDIAN_ERROR_RATIO * spread / math.sqrt(len(found)),
            ),
            runs=len(found),
        )
        for worker_id, found in judged.items()
    }


def _relative_paces(samples: dict[str, list[_Sample]]) -> dict[str, list[float]]:
    """Return the paces by worker, relative to like runs elsewhere or else to the whole pool.

    Runs of a step that runs nowhere else share one error of their estimate, so they count as one.
    """
    by_step: dict[_StepKey, dict[str, list[float]]] = defaultdict(dict)
    for worker_id, found in samples.items():
        for sample in found:
            by_step[sample.step].setdefault(worker_id, []).append(sample.log_pace)
    if not by_step:
        return {}
    medians = {
        step: {
            worker_id: median(paces) if len(paces) > 1 else paces[0]
            for worker_id, paces in on_workers.items()
        }
        for step, on_workers in by_step.items()
    }
    of_pool = median(value for on_workers in medians.values() for value in on_workers.values())
    relative: dict[str, list[float]] = defaultdict(list)
    for step, on_workers in by_step.items():
        for worker_id, paces in on_workers.items():
            elsewhere = [value for other, value in medians[step].items() if other != worker_id]
            if len(elsewhere) >= MIN_SIBLING_WORKERS:
                of_siblings = median(elsewhere)
                relative[worker_id].extend(pace - of_siblings for pace in paces)
            else:
                relative[worker_id].append(medians[step][worker_id] - of_pool)
    return relative
