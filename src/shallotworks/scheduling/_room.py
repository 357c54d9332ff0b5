"""Free capacity of the workers at the start of a decision; no network calls."""

from __future__ import annotations

from collections.abc import Iterable

from shallotworks.jobs import Step

from ._model import Worker
from ._tracked_jobs import TrackedStep

__all__ = ["Room"]


class Room:
    """Upper bounds of the room on workers, taken when a decision begins.

    Room only shrinks during a decision, so the bounds stay valid. In a burst hundreds of steps wait
    while a hundred workers are full, and without the bounds each decision would compare every step
    with every worker.

    Args:
        workers: All workers of the service.
        steps: The waiting steps.
    """

    __slots__ = ("_cpu_millicores", "_gpus", "_memory_mb", "workers")

    def __init__(self, workers: Iterable[Worker], steps: list[TrackedStep]) -> None:
        least_cpu_millicores = min(
            (_own_cpu_millicores(tracked_step.step) for tracked_step in steps), default=0
        )
        least_memory_mb = min((tracked_step.step.memory_mb for tracked_step in steps), default=0)
        self.workers: list[Worker] = []
        """The workers with room for the smallest processor and memory demand of any step."""
        self._cpu_millicores = self._memory_mb = self._gpus = 0
        for worker in workers:
            view = worker.view
            cpu_millicores = view.cpu_millicores - worker.cpu_used
            memory_mb = view.memory_mb - worker.memory_used
            if cpu_millicores < least_cpu_millicores or memory_mb < least_memory_mb:
                continue
            if not (worker.is_listed and worker.is_fenced):
                continue
            self.workers.append(worker)
            self._cpu_millicores = max(self._cpu_millicores, cpu_millicores)
            self._memory_mb = max(self._memory_mb, memory_mb)
            self._gpus = max(self._gpus, view.gpus - worker.gpus_used)

    def is_short_of(self, step: TrackedStep) -> bool:
        """Whether certainly no worker has room for a task of the step; false for lasting steps."""
        job_step = step.step
        if job_step.is_lasting:
            # A worker is held for lasting tasks; see `DecisionEngine._hold_worker_for_lasting`.
            return False
        return (
            _own_cpu_millicores(job_step) > self._cpu_millicores
            or job_step.memory_mb > self._memory_mb
            or job_step.gpus > self._gpus
        )


def _own_cpu_millicores(step: Step) -> int:
    """Return the processor that a task takes from the worker; a filler takes none."""
    return 0 if step.is_filler else step.cpu_millicores
