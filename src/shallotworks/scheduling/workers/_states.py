"""Counts a service's workers by what keeps tasks away from them; no network calls."""

from __future__ import annotations

from collections import Counter
from enum import Enum, unique

from shallotworks.metrics import Metrics

from .._model import Worker

__all__ = ["WorkerState", "WorkerStates"]

MS_PER_S = 1000


@unique
class WorkerState(Enum):
    """What is known of a worker; the first that holds."""

    ISOLATED = "isolated"
    """Suspects hold the worker until it has survived them."""
    SUSPECTED = "suspected"
    """Tasks failed or stood still here: it is placed last."""
    SLOW = "slow"
    """Tasks advance slowly here: it is placed after the others."""
    DARK_RACK = "dark-rack"
    """Its rack has just fallen silent: it is placed after the others."""
    NORMAL = "normal"

    @classmethod
    def of(cls, worker: Worker, now_s: float) -> WorkerState:
        """Return a worker's state at a time on the scheduler's clock in seconds."""
        if worker.isolated_runs:
            return cls.ISOLATED
        if worker.avoid_until_s > now_s:
            return cls.SUSPECTED
        if worker.is_slow:
            return cls.SLOW
        if worker.rack_avoid_until_s > now_s:
            return cls.DARK_RACK
        return cls.NORMAL


class WorkerStates:
    """Counts the time that workers spend in each state, in milliseconds times workers.

    The rate of a counter per second, divided by 1,000, is the number of workers.

    Args:
        service: The service.
        workers: The service's workers by id.
        metrics: Receives the counters.
    """

    __slots__ = ("_last_s", "_metrics", "_service", "_workers")

    def __init__(self, *, service: str, workers: dict[str, Worker], metrics: Metrics) -> None:
        self._service = service
        self._workers = workers
        self._metrics = metrics
        self._last_s: float | None = None

    def report(self, now_s: float) -> None:
        """Count the time since the last report, in the states that the workers have now."""
        last_s, self._last_s = self._last_s, now_s
        if last_s is None:
            return
        passed_ms = round((now_s - last_s) * MS_PER_S)
        listed = (worker for worker in self._workers.values() if worker.is_listed)
        for state, workers in Counter(WorkerState.of(one, now_s) for one in listed).items():
            name = f"scheduler.worker_ms.{self._service}.{state.value}"
            self._metrics.count(name, workers * passed_ms)
