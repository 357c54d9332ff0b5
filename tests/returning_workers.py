"""Simulated workers that crash under some tasks and start again."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from shallotworks.scheduling import OrderStatus
from shallotworks.standins import CrashingWorkers, TaskWorker

__all__ = ["ReturningWorkers"]

RESTART_DELAY_S = 3.3
"""Time from a crash until the next incarnation is listed."""


class ReturningWorkers(CrashingWorkers):
    """Workers that start again after each crash, under a new id or under the one that they had.

    Args:
        rng: Random generator for durations and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.crashed = asyncio.Event()
        self.keeps_ids = False
        """Whether a worker starts again under its id."""
        self.is_silent = False
        """Whether connections of a crashed worker hang instead of being closed and refused."""

    def crash(self, worker: TaskWorker) -> None:
        """Crash a worker and schedule the start of its next incarnation."""
        super().crash(worker)
        if not self.is_silent:
            self.outcomes_when_absent[worker.view.worker_id] = OrderStatus.UNSENT
            worker.wake_polls()
        asyncio.get_running_loop().call_later(RESTART_DELAY_S, self._restart, worker)
        self.crashed.set()

    def _restart(self, worker: TaskWorker) -> None:
        if self.keeps_ids:
            self.outcomes_when_absent.pop(worker.view.worker_id, None)
            self.add(worker.view)
            return
        self.outcomes_when_absent[worker.view.worker_id] = OrderStatus.GONE
        self.add(replace(worker.view, worker_id=f"{worker.view.worker_id}+"))
