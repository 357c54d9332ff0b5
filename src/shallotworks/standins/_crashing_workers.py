"""Workers in memory that crash under some tasks, and a check of the retry budget."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from shallotworks.jobs import TaskName

from ._task_workers import TaskWorker, TaskWorkers

__all__ = ["CrashingWorkers"]

CRASH_DELAY_S = 0.01
MAX_STARTS_OF_CRASHING_TASK = 5
"""Three starts that crash their worker, and two more. Source: the users' rules."""


class CrashingWorkers(TaskWorkers):
    """Workers of which each crashes shortly after it starts a task in ``crashing``.

    Subclasses override `crash` to change how a worker crashes.

    Args:
        rng: Draws durations of runs and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.crashing: set[TaskName] = set()
        self.crashes: Counter[TaskName] = Counter()
        """Number of workers that each task in ``crashing`` has crashed."""
        self.start_counts: Counter[TaskName] = Counter()

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        """Check a start, and schedule the crash of the worker if the task is in ``crashing``."""
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
        """Crash a worker; a subclass may start another incarnation of it."""
        worker.crash()
