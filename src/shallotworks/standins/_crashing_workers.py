"""Workers in memory that crash under some tasks, judged by a retry budget."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from shallotworks.jobs import TaskName

from ._task_workers import TaskWorker, TaskWorkers

__all__ = ["CrashingWorkers"]

CRASH_DELAY_S = 0.01
MAX_STARTS_OF_CRASHING_TASK = 5
"""Three starts that crash their workers and two more. Source: the users' rules."""


class CrashingWorkers(TaskWorkers):
    """Workers that crash under the tasks in ``crashing``; what `crash` does says how.

    Args:
        rng: Draws lengths and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.crashing: set[TaskName] = set()
        self.crashes: Counter[TaskName] = Counter()
        """Workers that each task in ``crashing`` has crashed."""
        self.start_counts: Counter[TaskName] = Counter()

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        """Judge a start; crash the worker shortly after it where the task is one that does."""
        super().check_start(worker, name)
        self.start_counts[name] += 1
        if name not in self.crashing:
            return
        if self.start_counts[name] > MAX_STARTS_OF_CRASHING_TASK:
            self.violations.append(f"{name} starts after {self.crashes[name]} workers have crashed")
        asyncio.get_running_loop().call_later(
            CRASH_DELAY_S, self._crash_running_worker, worker, name
        )

    def _crash_running_worker(self, worker: TaskWorker, name: TaskName) -> None:
        if worker.is_alive:
            self.crashes[name] += 1
            self.crash(worker)

    def crash(self, worker: TaskWorker) -> None:
        """Crash a worker; a subclass may bring another incarnation."""
        worker.crash()
