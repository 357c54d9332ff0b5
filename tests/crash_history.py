"""Workers on the stand-ins that crash under some tasks and come back, judged by a retry budget."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import replace

from shallotworks.jobs import TaskName
from shallotworks.scheduling import OrderEnding
from shallotworks.standins import TaskWorker, TaskWorkers

__all__ = ["CrashingWorkers"]

CRASH_AFTER_S = 0.01
BACK_AFTER_S = 3.3
MOST_STARTS = 5
"""Three starts that crash their workers and two more. Source: the users' rules."""


class CrashingWorkers(TaskWorkers):
    """Workers that crash under the tasks in ``crashing``; a new incarnation comes each time.

    Args:
        rng: Draws lengths and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.crashing: set[TaskName] = set()
        self.crashes: Counter[TaskName] = Counter()
        self.starts_of: Counter[TaskName] = Counter()
        self.crashed = asyncio.Event()
        self.is_silent = False
        """Whether a crashed worker's connections hang, and are not closed and refused."""

    def starts(self, worker: TaskWorker, name: TaskName) -> None:
        """Judge a start; crash the worker shortly after it where the task is one that does."""
        super().starts(worker, name)
        self.starts_of[name] += 1
        if name not in self.crashing:
            return
        if self.starts_of[name] > MOST_STARTS:
            self.breaches.append(f"{name} starts after {self.crashes[name]} workers have crashed")
        asyncio.get_running_loop().call_later(CRASH_AFTER_S, self._crash, worker, name)

    def _crash(self, worker: TaskWorker, name: TaskName) -> None:
        if not worker.is_alive:
            return
        self.crashes[name] += 1
        self.crash(worker)
        self.crashed.set()

    def crash(self, worker: TaskWorker) -> None:
        """Crash a worker; another incarnation takes its place."""
        worker.crash()
        if not self.is_silent:
            self.absences[worker.view.worker_id] = OrderEnding.UNSENT
            worker.wake()
        asyncio.get_running_loop().call_later(BACK_AFTER_S, self._come_back, worker)

    def _come_back(self, worker: TaskWorker) -> None:
        self.absences[worker.view.worker_id] = OrderEnding.GONE
        self.add(replace(worker.view, worker_id=f"{worker.view.worker_id}+"))
