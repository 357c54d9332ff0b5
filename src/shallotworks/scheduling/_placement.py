"""Which worker runs a task."""

from __future__ import annotations

from collections.abc import Iterable

from shallotworks.jobs import Step, TaskName

from ._model import Worker

__all__ = ["Placement"]


class Placement:
    """Chooses workers for the tasks of one step.

    Args:
        step: The step.
        job_id: Its job, and ...
        occurrence: ... occurrence, and ...
        number: ... its number in the job.
        now_s: The scheduler's clock.
        permits: Workers that may run it; ``None`` for all.
        is_hopeless: Its job is late already, and keeps off workers that others wait for.
    """

    __slots__ = ("_is_hopeless", "_key", "_now_s", "_permits", "_step")

    def __init__(
        self,
        *,
        step: Step,
        job_id: str,
        occurrence: int,
        number: int,
        now_s: float,
        permits: frozenset[str] | None = None,
        is_hopeless: bool = False,
    ) -> None:
        self._step = step
        self._key = (job_id, occurrence, number)
        self._now_s = now_s
        self._permits = permits
        self._is_hopeless = is_hopeless

    def choose(
        self, workers: Iterable[Worker], *, avoid: frozenset[str], rack: str = ""
    ) -> Worker | None:
        """Return the best worker with room, or ``None``.

        Args:
            workers: All workers of the service.
            avoid: Workers on which this task failed; used last.
            rack: Rack of the step's other tasks, where they are slower apart; empty for any.
        """
        fitting = [worker for worker in workers if self.may_run_on(worker)]
        if not fitting:
            return None
        wanted_rack = self._step.near_rack or rack
        return min(fitting, key=lambda worker: self._cost(worker, avoid, wanted_rack))

    def may_run_on(self, worker: Worker) -> bool:
        """Whether a worker takes new tasks and has room for one of this step."""
        view = worker.view
        if view.is_draining or worker.is_cordoned or not worker.is_listed or not worker.is_fenced:
            return False
        if self._is_hopeless and worker.is_yielding:
            return False
        if worker.pause_until_s > self._now_s or not worker.fits(self._step):
            return False
        if self._step.is_lasting and worker.lasting_from_s > self._now_s:
            return False
        if self._step.label and self._step.label not in view.labels:
            return False
        if self._permits is not None and worker.worker_id not in self._permits:
            return False
        most = self._step.most_per_worker
        return not most or self._count_siblings(worker) < most

    def _cost(self, worker: Worker, avoid: frozenset[str], rack: str) -> tuple[float, ...]:
        view = worker.view
        is_suspect = worker.avoid_until_s > self._now_s
        is_far = bool(rack) and view.rack != rack
        crowd = 0
        if self._step.is_lasting:
            crowd = self._count_siblings(worker) * 4 + self._count_lasting(worker)
        load = worker.cpu_used / max(1, view.cpu_millicores)
        memory = worker.memory_used / max(1, view.memory_mb)
        return (is_suspect, worker.worker_id in avoid, is_far, crowd, max(load, memory))

    def _count_siblings(self, worker: Worker) -> int:
        return sum(1 for name, _ in worker.runs if _step_of(name) == self._key)

    def _count_lasting(self, worker: Worker) -> int:
        return sum(1 for run in worker.runs.values() if run.step.is_lasting)


def _step_of(name: TaskName) -> tuple[str, int, int]:
    return (name.job_id, name.occurrence, name.step)
