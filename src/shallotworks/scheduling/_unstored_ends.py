"""Ends of runs that must not be acknowledged before their jobs' progress is stored."""

from __future__ import annotations

from typing import NamedTuple

from ._model import Worker
from ._tracked_jobs import TrackedJob

__all__ = ["UnstoredEnds"]


class _UnstoredEnd(NamedTuple):
    """An end, and the number of the change of its job that has to be stored first."""

    change: int
    worker: Worker
    number: int


class UnstoredEnds:
    """Keeps which ends wait for a commit of which job."""

    __slots__ = ("_by_job",)

    def __init__(self) -> None:
        self._by_job: dict[str, list[_UnstoredEnd]] = {}

    def add(self, tracked_job: TrackedJob, worker: Worker, number: int) -> None:
        """Hold an end back until the job's latest change is stored."""
        worker.unsettled_ends.add(number)
        end = _UnstoredEnd(tracked_job.changes, worker, number)
        self._by_job.setdefault(tracked_job.job.job_id, []).append(end)

    def release(self, job_id: str, changes: int) -> None:
        """Allow the ends of a job to be acknowledged that its first ``changes`` changes include."""
        waiting = self._by_job.pop(job_id, [])
        for end in waiting:
            if end.change <= changes:
                end.worker.unsettled_ends.discard(end.number)
        left = [end for end in waiting if end.change > changes]
        if left:
            self._by_job[job_id] = left
