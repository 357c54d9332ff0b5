"""Lasting tasks of a lost worker run again in time though their scheduler's epoch ends as planned.

A scheduler knows when the leases that it granted on a worker have run out. Its successor has to
know it too, or it waits for the longest lease that any epoch may have granted.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from shallotworks.scheduling import OrderStatus
from tests.lasting_task_simulation import LastingTaskSimulation, lasting_step
from tests.scheduling_fakes import step
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

JOB = "00000000000000a1"
TASKS = 3
SETTLE_S = 6.0
MAX_MISSED_S = 6.0
"""Longest time for which a lasting task does not run. Source: the users' rules."""
DELAYS_S = (0.0, 1.0, 2.0, 3.0, 4.0)
"""Times from the loss of the worker until the epoch ends; its leases have run out after 4.5 s."""
LOSSES_AFTER_S = (0.1, 0.5, 0.9)
"""Times from the end of the epoch until the worker is lost. Its successor has heard from it."""
SERVICE_AWAY_S = 0.3
OBSERVATION_S = 15.0
SAMPLE_S = 0.05
WEAK = 0.4
MIN_UPTIME_S = 4.0
"""A stronger instance claims the lease of a weaker one this long after it has started."""

Simulation = LastingTaskSimulation | SchedulingSimulation
EpochEnd = Callable[[LastingTaskSimulation], Awaitable[None]]


def count_running(simulation: Simulation) -> int:
    """Return the number of tasks that run on live workers."""
    alive = [worker for worker in simulation.fleet.workers.values() if worker.is_alive]
    for worker in alive:
        worker.end_due_runs()
    return sum(len(worker.names()) for worker in alive)


async def measure_missed_s(simulation: Simulation) -> float:
    """Return for how long at a stretch not all tasks ran."""
    longest_s = missed_s = 0.0
    for _ in range(int(OBSERVATION_S / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        missed_s = missed_s + SAMPLE_S if count_running(simulation) < TASKS else 0.0
        longest_s = max(longest_s, missed_s)
    return longest_s


def lose_used_worker(simulation: Simulation) -> str:
    """End a worker with a task: nobody listens at its address any more."""
    workers = simulation.fleet.workers
    worker_id = next(key for key, worker in workers.items() if worker.names())
    simulation.fleet.outcomes_when_absent[worker_id] = OrderStatus.UNSENT
    workers[worker_id].crash()
    return worker_id


async def nothing_else(simulation: LastingTaskSimulation) -> None:
    pass


async def scheduler_stops(simulation: LastingTaskSimulation) -> None:
    await simulation.stop_scheduler()


async def service_is_removed_and_back(simulation: LastingTaskSimulation) -> None:
    for services in (set[str](), {SERVICE}):
        for instance in simulation.instances:
            instance.elector.set_services(services)
        await asyncio.sleep(SERVICE_AWAY_S)


async def measure_loss(epoch_end: EpochEnd, delay_s: float) -> tuple[float, list[str]]:
    """Return how long tasks were missed, and violations, when a worker is lost before an end."""
    simulation = LastingTaskSimulation(workers=7)
    simulation.start()
    await simulation.submit(JOB, lasting_step(TASKS))
    await asyncio.sleep(SETTLE_S)
    measured = asyncio.create_task(measure_missed_s(simulation))
    worker_id = lose_used_worker(simulation)
    await asyncio.sleep(delay_s)
    await epoch_end(simulation)
    simulation.crash_worker(worker_id)
    missed_s = await measured
    await simulation.close()
    return missed_s, simulation.all_violations()


async def measure_later_loss(loss_after_s: float) -> tuple[float, list[str]]:
    """Return how long tasks were missed, and violations, when a worker is lost after a stop."""
    simulation = LastingTaskSimulation(workers=7)
    simulation.start()
    await simulation.submit(JOB, lasting_step(TASKS))
    await asyncio.sleep(SETTLE_S)
    await simulation.stop_scheduler()
    await asyncio.sleep(loss_after_s)
    simulation.crash_worker(lose_used_worker(simulation))
    missed_s = await measure_missed_s(simulation)
    await simulation.close()
    return missed_s, simulation.all_violations()


async def measure_succession(loss_after_s: float) -> tuple[float, list[str], int]:
    """Return how long tasks were missed, violations, and the epochs, in a hand-over to a claimant.

    Args:
        loss_after_s: Time from the start of the stronger instance until the worker is lost.
    """
    simulation = SchedulingSimulation(seed=1, workers=7, instances=0)
    simulation.fleet.lasting.add(JOB)
    simulation.add(strength=WEAK)
    await asyncio.sleep(2.0)
    await simulation.submit(JOB, step(TASKS, is_lasting=True, may_miss=1))
    await asyncio.sleep(SETTLE_S)
    simulation.add(strength=1.0)
    await asyncio.sleep(loss_after_s)
    lose_used_worker(simulation)
    missed_s = await measure_missed_s(simulation)
    epochs = sum(len(instance.service_schedulers) for instance in simulation.instances)
    await simulation.kill()
    return missed_s, simulation.fleet.violations, epochs


class PlannedEndTests(unittest.TestCase):
    def assert_back_in_time(self, epoch_end: EpochEnd) -> None:
        """Assert that tasks are back in time wherever the epoch ends after the loss."""
        for delay_s in DELAYS_S:
            with self.subTest(delay_s=delay_s):
                missed_s, violations = run_scenario(measure_loss(epoch_end, delay_s))
                self.assertEqual([], violations)
                self.assertLessEqual(missed_s, MAX_MISSED_S)

    def test_tasks_run_again_while_the_epoch_goes_on(self) -> None:
        """Tasks of a lost worker wait longer than the leases on it last."""
        self.assert_back_in_time(nothing_else)

    def test_tasks_run_again_after_a_stop_of_the_scheduler(self) -> None:
        """A scheduler that stops hands a lost worker over as one whose leases it does not know."""
        self.assert_back_in_time(scheduler_stops)

    def test_tasks_run_again_if_the_worker_is_lost_just_after_a_stop(self) -> None:
        """A successor waits for the leases that an earlier epoch may have granted on a worker."""
        for loss_after_s in LOSSES_AFTER_S:
            with self.subTest(loss_after_s=loss_after_s):
                missed_s, violations = run_scenario(measure_later_loss(loss_after_s))
                self.assertEqual([], violations)
                self.assertLessEqual(missed_s, MAX_MISSED_S)

    def test_tasks_run_again_after_a_service_was_removed_and_back(self) -> None:
        """An epoch that a configuration ends hands nothing over."""
        self.assert_back_in_time(service_is_removed_and_back)

    def test_tasks_run_again_after_a_hand_over_to_a_stronger_instance(self) -> None:
        """A scheduler that hands its lease to a claimant makes the tasks of a lost worker wait."""
        for delay_s in (1.0, 2.0, 3.0):
            with self.subTest(delay_s=delay_s):
                missed_s, violations, epochs = run_scenario(
                    measure_succession(MIN_UPTIME_S - delay_s)
                )
                self.assertEqual(2, epochs)
                self.assertEqual([], violations)
                self.assertLessEqual(missed_s, MAX_MISSED_S)


if __name__ == "__main__":
    unittest.main()
