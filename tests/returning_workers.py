"""Workers on the stand-ins that crash under some tasks, and whose successors come soon."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from shallotworks.scheduling import OrderStatus
from shallotworks.standins import CrashingWorkers, TaskWorker

__all__ = ["ReturningWorkers"]

BACK_AFTER_S = 3.3


class ReturningWorkers(CrashingWorkers):
    """Workers of which another incarnation comes after each crash.

    Args:
        rng: Draws lengths and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.crashed = asyncio.Event()
        self.is_silent = False
        """Whether a crashed worker's connections hang, and are not closed and refused."""

    def crash(self, worker: TaskWorker) -> None:
        """Crash a worker; another incarnation takes its place."""
        super().crash(worker)
        if not self.is_silent:
            self.absences[worker.view.worker_id] = OrderStatus.UNSENT
            worker.wake()
        asyncio.get_running_loop().call_later(BACK_AFTER_S, self._come_back, worker)
        self.crashed.set()

    def _come_back(self, worker: TaskWorker) -> None:
        self.absences[worker.view.worker_id] = OrderStatus.GONE
        self.add(replace(worker.view, worker_id=f"{worker.view.worker_id}+"))
