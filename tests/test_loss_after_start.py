"""Lasting tasks run again soon after their worker was lost, whatever it answered last."""

import asyncio
import unittest

from parameterized import parameterized

from shallotworks.jobs import Job
from shallotworks.scheduling import OrderStatus
from shallotworks.standins import TaskWorker
from tests.lasting_task_simulation import LastingTaskSimulation, lasting_step
from tests.scheduling_fakes import policy, step
from tests.scheduling_simulation import SERVICE
from tests.virtual_clock import run_scenario

BACK_WITHIN_S = 6.0
"""A lasting task runs again within this time after its last run. Source: the users' rules."""
SETTLE_S = 4.0
JOB = "00000000000000a1"
SHORT_JOB = "00000000000000b1"
SHORT_TASKS = 8
POLL_S = 1.0
"""A worker answers a poll after this time if no run ends."""
OFFSETS = 5
START_ANSWERED_S = 0.01
"""The answer to a start has arrived after this time."""


class LossAfterStartTests(unittest.TestCase):
    @parameterized.expand([("refused", OrderStatus.UNSENT), ("unanswered", OrderStatus.UNANSWERED)])
    def test_the_wait_begins_with_the_last_answer(self, _name: str, absence: OrderStatus) -> None:
        """A lasting task is not restarted for 7 s after its worker was lost just after a start.

        The answer to the start hid that a poll was under way. The poll after it, which nobody
        answered either, extended the remembered lease as if it were the first one.
        """
        for offset in range(OFFSETS):
            offset_s = offset * POLL_S / OFFSETS
            with self.subTest(offset_s=offset_s):
                away_s = run_scenario(_time_without_a_task(absence, offset_s))
                self.assertLessEqual(away_s, BACK_WITHIN_S)


async def _time_without_a_task(absence: OrderStatus, offset_s: float) -> float:
    """Return how long lasting tasks are away whose worker is lost after it obeyed a start.

    Args:
        absence: Outcome of later calls to the worker.
        offset_s: Offset of the start among the polls of the worker.
    """
    simulation = LastingTaskSimulation(seed=1, workers=4)
    simulation.start()
    await simulation.submit(JOB, lasting_step(2))
    await asyncio.sleep(SETTLE_S + offset_s)
    lost = next(one for one in simulation.fleet.workers.values() if _lasting_tasks(one))
    names = _lasting_tasks(lost)
    job = Job(
        job_id=SHORT_JOB,
        policy=policy(service=SERVICE),
        spec="x",
        steps=(step(SHORT_TASKS, estimated_s=0.8),),
    )
    await simulation.instances[0].job_handler.submit(job, deadline_s=_now_s() + 1.5)
    while lost.names() == names:
        await asyncio.sleep(0.001)
    await asyncio.sleep(START_ANSWERED_S)
    simulation.fleet.outcomes_when_absent[lost.view.worker_id] = absence
    lost.crash()
    lost_s = _now_s()
    away_s = 0.0
    while away_s < 4 * BACK_WITHIN_S and not names <= _running(simulation):
        await asyncio.sleep(0.05)
        away_s = _now_s() - lost_s
    await simulation.close()
    return away_s


def _lasting_tasks(worker: TaskWorker) -> set[object]:
    return {name for name in worker.names() if name.job_id == JOB}


def _running(simulation: LastingTaskSimulation) -> set[object]:
    alive = [worker for worker in simulation.fleet.workers.values() if worker.is_alive]
    return {name for worker in alive for name in _lasting_tasks(worker)}


def _now_s() -> float:
    return asyncio.get_running_loop().time()


if __name__ == "__main__":
    unittest.main()
