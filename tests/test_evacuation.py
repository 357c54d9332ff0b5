"""Lasting tasks on a worker that is to leave are back soon, though idle workers were offered."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from shallotworks.jobs import TaskName
from shallotworks.scheduling import OrderStatus, RunningTask, StopOrder
from tests.lasting_task_simulation import LastingTaskSimulation, lasting_step
from tests.scheduling_fakes import SchedulingHarness, job, step, view
from tests.virtual_clock import run_scenario

SETTLE_S = 6.0
"""Time after which all tasks run and the idle workers are offered."""
OBSERVATION_S = 14.0
SAMPLE_INTERVAL_S = 0.05
JOB = "00000000000000a1"
TASK_MILLICORES = 2000
BACK_WITHIN_S = 2.5
"""An offered worker takes lasting tasks 3 s after its withdrawal, and a draining one serves for 2 s
at least."""

MOVED_WITHIN_S = 1.5
"""A stop takes 0.2 s, and a start is decided 0.2 s later at most."""

WorkerEnd = Callable[[LastingTaskSimulation, str], Awaitable[None]]


class OfferedPoolTests(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{seed}_{absence.value}", seed, absence)
            for seed in range(1, 5)
            for absence in (OrderStatus.UNSENT, OrderStatus.UNANSWERED)
        ]
    )
    def test_tasks_on_a_draining_worker_are_stopped_when_they_can_start_elsewhere(
        self, _name: str, seed: int, absence: OrderStatus
    ) -> None:
        """A task is stopped before any worker takes it, and the next one is left to the lease.

        All idle workers were offered to other pools, which closes them to lasting tasks for 3 s.
        """

        async def leave(simulation: LastingTaskSimulation, worker_id: str) -> None:
            await simulation.retire_worker(worker_id, absence=absence)

        longest_s, violations = run_scenario(_longest_absence(seed, leave))
        self.assertEqual([], violations)
        self.assertLessEqual(longest_s, BACK_WITHIN_S)

    @parameterized.expand([(seed,) for seed in range(1, 5)])
    def test_tasks_on_a_worker_that_is_due_are_stopped_when_they_can_start_elsewhere(
        self, seed: int
    ) -> None:
        """A task is stopped for maintenance of its machine 3 s before any worker takes it."""

        async def maintain(simulation: LastingTaskSimulation, worker_id: str) -> None:
            await simulation.maintain_worker(worker_id)

        longest_s, violations = run_scenario(_longest_absence(seed, maintain))
        self.assertEqual([], violations)
        self.assertLessEqual(longest_s, MOVED_WITHIN_S)


class PlaceTests(unittest.TestCase):
    def test_a_task_without_a_place_is_stopped_for_maintenance_after_a_while(self) -> None:
        """Maintenance of a machine never begins, since no other worker has room for its tasks."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("s", step(1, is_lasting=True, may_miss=1)))
        (order,) = harness.start_orders()
        row = RunningTask(name=order.run.name, run_id=order.run.run_id, percent=100)
        worker = harness.worker("a")
        worker.is_cordoned = True
        stopped_after_s = None
        for _ in range(50):
            harness.report("a", running=(row,))
            harness.decision_engine.evacuate(worker)
            if any(isinstance(one, StopOrder) for one in harness.decide()):
                stopped_after_s = harness.now_s - 100.0
                break
            harness.now_s += 0.1
        assert stopped_after_s is not None
        self.assertGreater(stopped_after_s, 3.0)
        self.assertLess(stopped_after_s, 4.0)


async def _longest_absence(seed: int, end: WorkerEnd) -> tuple[float, list[str]]:
    """Return the longest time for which a task is away when its worker ends, and violations."""
    simulation = LastingTaskSimulation(seed=seed, workers=6)
    simulation.fleet.cpu_millicores[JOB] = TASK_MILLICORES
    simulation.start()
    await simulation.submit(JOB, lasting_step(6, cpu_millicores=TASK_MILLICORES))
    await asyncio.sleep(SETTLE_S)
    leaving = next(one for one in simulation.fleet.workers.values() if len(one.names()) > 1)
    ending = asyncio.create_task(end(simulation, leaving.view.worker_id))
    longest_s = await _watch(simulation, leaving.names())
    await ending
    await simulation.close()
    return longest_s, simulation.all_violations()


async def _watch(simulation: LastingTaskSimulation, names: set[TaskName]) -> float:
    """Return the longest time for which one of some tasks is away."""
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + OBSERVATION_S
    last_run_s = dict.fromkeys(names, loop.time())
    longest_s = 0.0
    while loop.time() < ends_s:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        alive = [worker for worker in simulation.fleet.workers.values() if worker.is_alive]
        running = {name for worker in alive for name in worker.names()}
        for name in names:
            longest_s = max(longest_s, loop.time() - last_run_s[name])
            if name in running:
                last_run_s[name] = loop.time()
    return longest_s


if __name__ == "__main__":
    unittest.main()
