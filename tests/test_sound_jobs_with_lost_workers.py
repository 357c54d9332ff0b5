"""Simulations of sound jobs that lose one worker after the other shortly after their starts."""

import asyncio
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import JobState, TaskName
from shallotworks.standins import TaskWorker
from tests.returning_workers import ReturningWorkers
from tests.scheduling_fakes import step
from tests.scheduling_simulation import SchedulingSimulation
from tests.virtual_clock import run_scenario

JOB_ID = "00000000000000aa"
TASKS = 5
WORKERS = 8
TASK_S = 4.0
SETTLED_S = 60.0
"""Time for the losses, each detected within 5.5 s, for the restarts, and for the tasks."""


class UnluckyWorkers(ReturningWorkers):
    """Workers that crash by themselves, each shortly after it has started the task that lost one.

    Args:
        rng: Random generator for durations and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.losses_s: list[float] = []
        """Times from a start to the loss of its worker, the next one first."""
        self.lost_names: set[TaskName] = set()
        self._is_losing = False

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        """Check a start, and schedule the next loss if the task has lost its worker before."""
        super().check_start(worker, name)
        if (
            self._is_losing
            or not self.losses_s
            or (self.lost_names and name not in self.lost_names)
        ):
            return
        self._is_losing = True
        asyncio.get_running_loop().call_later(self.losses_s.pop(0), self._lose, worker)

    def _lose(self, worker: TaskWorker) -> None:
        self._is_losing = False
        if worker.is_alive:
            self.lost_names |= worker.names()
            self.crash(worker)


class SoundJobTests(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{kind}_{'_'.join(map(str, losses_s))}_{how}".replace(".", ""), *rest)
            for kind, is_lasting in (("lasting", True), ("ending", False))
            for losses_s in ((0.1, 0.1), (0.3, 0.3), (0.1, 0.1, 0.1), (0.4, 0.4, 0.4))
            for how, is_silent, keeps_ids in (
                ("closed", False, False),
                ("silent", True, False),
                ("closed_and_back_under_its_id", False, True),
            )
            for rest in [(is_lasting, losses_s, is_silent, keeps_ids)]
        ]
    )
    def test_a_sound_job_outlives_losses_of_its_workers(
        self,
        _name: str,
        is_lasting: bool,
        losses_s: tuple[float, ...],
        is_silent: bool,
        keeps_ids: bool,
    ) -> None:
        """Guards against a job shown as failed though no run of its tasks ended so (LOST)."""

        async def scenario() -> None:
            one = SchedulingSimulation(seed=1, workers=WORKERS, fleet=UnluckyWorkers)
            one.fleet.is_silent = is_silent
            one.fleet.keeps_ids = keeps_ids
            one.fleet.losses_s = list(losses_s)
            if is_lasting:
                one.fleet.lasting.add(JOB_ID)
            one.fleet.work_s[JOB_ID] = TASK_S
            for instance in one.instances:
                instance.start()
            await asyncio.sleep(1.0)
            await one.submit(JOB_ID, step(TASKS, is_lasting=is_lasting, estimated_s=TASK_S))
            await asyncio.sleep(SETTLED_S)
            self.assertEqual([], one.fleet.losses_s)
            self.assertEqual([], one.fleet.violations)
            if is_lasting:
                self.assertIs(JobState.RUNNING, one.state(JOB_ID))
                running = [
                    worker.names() for worker in one.fleet.workers.values() if worker.is_alive
                ]
                self.assertEqual(TASKS, len(set[TaskName]().union(*running)))
            else:
                self.assertIs(JobState.COMPLETED, one.state(JOB_ID))
            await one.kill()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
