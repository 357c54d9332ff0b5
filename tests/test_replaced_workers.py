"""Simulations of workers that crash or are replaced while orders are in flight.

Two failures are guarded against: a job that never ends, since its worker crashed during an order,
and a task that runs twice while workers are replaced one after the other.
"""

import asyncio
import unittest
from collections import Counter
from dataclasses import replace
from typing import Any

from parameterized import parameterized

from shallotworks.jobs import TaskName
from shallotworks.scheduling import EndedTask, EndKind, OrderOutcome, OrderStatus, WorkerView
from shallotworks.standins import FaultInjectingOrders, TaskWorkers
from tests.scheduling_fakes import step, view
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

SEEDS = range(1, 9)
WORKER_COUNT = 12
JOB_COUNT = 40
SUBMIT_PERIOD_S = 10.0
WIND_DOWN_S = 16.0
DRAIN_PERIOD_S = 2.5
"""A draining worker leaves after this time, which is longer than any task here takes."""


class CountingWorkers(TaskWorkers):
    """Workers that count how often each task is done, and may be listed after a crash."""

    def __init__(self, *, fleet: TaskWorkers) -> None:
        super().__init__(rng=fleet.rng)
        self.times_done: Counter[TaskName] = Counter()
        self.stale_worker_ids: set[str] = set()

    def workers_of(self, service: str) -> dict[str, WorkerView]:
        stale = {name: self.workers[name].view for name in self.stale_worker_ids}
        return super().workers_of(service) | stale

    def note_end(self, end: EndedTask) -> None:
        super().note_end(end)
        self.times_done[end.name] += end.kind is EndKind.DONE


def make_simulation(seed: int) -> tuple[SchedulingSimulation, CountingWorkers]:
    """Return a simulation and its workers, which count the tasks that are done."""
    simulation = SchedulingSimulation(seed=seed, workers=0, instances=3)
    fleet = CountingWorkers(fleet=simulation.fleet)
    simulation.fleet = fleet
    for instance in simulation.instances:
        instance.orders._fleet = fleet
        instance.directory = fleet
    for number in range(WORKER_COUNT):
        fleet.add(view(f"w{number}", service=SERVICE))
    return simulation, fleet


def count_polls(orders: FaultInjectingOrders, worker_id: str, polls: list[int]) -> None:
    """Count an instance's polls of one worker."""
    poll = orders.poll

    async def counted(worker: WorkerView, **arguments: Any) -> OrderOutcome:
        polls[0] += worker.worker_id == worker_id
        return await poll(worker, **arguments)

    orders.poll = counted  # type: ignore[method-assign]


async def replace_workers_in_turn(fleet: TaskWorkers) -> None:
    """Drain one worker after the other, and add a new worker for each."""
    for number in range(WORKER_COUNT):
        leaving = fleet.workers[f"w{number}"]
        leaving.view = replace(leaving.view, is_draining=True)
        fleet.view_change_count += 1
        fleet.add(view(f"new{number}", service=SERVICE))
        await asyncio.sleep(0.8)
        asyncio.get_running_loop().call_later(DRAIN_PERIOD_S - 0.8, leaving.crash)


async def crash_busy_workers(simulation: SchedulingSimulation) -> None:
    """Crash busy workers at random moments, and add a new worker for each."""
    for number in range(WORKER_COUNT // 2):
        await asyncio.sleep(simulation.rng.uniform(0.5, 1.5))
        busy = [one for one in simulation.fleet.workers.values() if one.is_alive and one.names()]
        if busy:
            simulation.rng.choice(busy).crash()
        simulation.fleet.add(view(f"new{number}", service=SERVICE))


async def run_with_faults(simulation: SchedulingSimulation, *faults: object) -> None:
    """Run jobs during some faults, wait until the jobs end, and kill all instances."""
    for instance in simulation.instances:
        instance.start()
    await asyncio.sleep(1.0)
    await asyncio.gather(simulation.run_jobs(JOB_COUNT, SUBMIT_PERIOD_S), *faults)  # type: ignore[arg-type]
    await asyncio.sleep(WIND_DOWN_S)
    for instance in simulation.instances:
        await instance.kill()


class ReplacedWorkersTests(unittest.TestCase):
    @parameterized.expand([(seed,) for seed in SEEDS])
    def test_each_task_is_done_once_while_workers_are_replaced(self, seed: int) -> None:
        """A task ran twice while its service's workers were drained and replaced one by one."""

        async def scenario() -> None:
            simulation, fleet = make_simulation(seed)
            await run_with_faults(simulation, replace_workers_in_turn(fleet))
            self.assertEqual([], simulation.violations())
            self.assertEqual({}, {one: n for one, n in fleet.times_done.items() if n > 1})

        run_scenario(scenario())

    @parameterized.expand([(seed, lost) for seed in SEEDS for lost in (0.0, 0.2)])
    def test_jobs_are_completed_whose_workers_crash(self, seed: int, lost: float) -> None:
        """A job never ended after its worker crashed while a start was in flight or unanswered.

        The tasks have to run on other workers, and none twice at once.
        """

        async def scenario() -> None:
            simulation, _ = make_simulation(seed)
            for instance in simulation.instances:
                instance.orders.faults.lost_ratio = lost
            await run_with_faults(simulation, crash_busy_workers(simulation))
            self.assertEqual([], simulation.violations())

        run_scenario(scenario())

    def test_a_crashed_worker_is_not_polled_once_another_has_answered(self) -> None:
        """A crashed and replaced worker was polled for as long as discovery listed it."""

        async def scenario() -> None:
            simulation, fleet = make_simulation(1)
            for instance in simulation.instances:
                instance.start()
            await asyncio.sleep(1.0)
            await simulation.submit("00000000000000aa", step(1, is_lasting=True))
            await asyncio.sleep(1.0)
            dead = next(iter(fleet.workers.values()))
            fleet.stale_worker_ids.add(dead.view.worker_id)
            dead.crash()
            fleet.outcomes_when_absent[dead.view.worker_id] = OrderStatus.GONE
            polls = [0]
            for instance in simulation.instances:
                count_polls(instance.orders, dead.view.worker_id, polls)
            for _ in range(10):
                await asyncio.sleep(0.5)
                fleet.view_change_count += 1
            self.assertLessEqual(polls[0], 1)
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())

    def test_a_list_that_is_empty_for_a_while_ends_no_run(self) -> None:
        """All tasks of a service were started anew, though their workers were alive.

        After a store outage, 200 entries were missing in the worker list for three seconds.
        """

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=200, instances=1)
            (instance,) = simulation.instances
            instance.start()
            await asyncio.sleep(1.0)
            job_id = "0" * 16
            simulation.fleet.lasting.add(job_id)
            await simulation.submit(job_id, step(60, is_lasting=True, cpu_millicores=1000))
            # Lasting tasks are not placed on workers that were offered when their job arrived.
            await asyncio.sleep(5.0)
            started = simulation.fleet.started
            self.assertEqual(60, started)
            simulation.fleet.unlisted = set(simulation.fleet.workers)
            await asyncio.sleep(3.0)
            simulation.fleet.unlisted = set()
            await asyncio.sleep(3.0)
            self.assertEqual(started, simulation.fleet.started)
            self.assertEqual([], simulation.fleet.violations)
            await instance.kill()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
