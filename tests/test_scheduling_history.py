"""Simulations of schedulers through faults, checked by what workers and callers observe.

Each scenario checks the same invariants: no task runs twice at once or again after it is done, none
starts before its step's predecessors are done or after its job is cancelled, every accepted job is
completed unless it is cancelled, and all tasks of a completed job are done.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from tests.scheduling_simulation import SchedulingSimulation
from tests.virtual_clock import run_scenario

SEEDS = range(1, 9)
JOB_COUNT = 25
SUBMIT_PERIOD_S = 12.0
WIND_DOWN_S = 26.0

FaultScenario = Callable[[SchedulingSimulation], Awaitable[None]]


async def crashed_schedulers(simulation: SchedulingSimulation) -> None:
    for _ in range(2):
        await asyncio.sleep(simulation.rng.uniform(2, 5))
        scheduler = simulation.scheduler()
        if scheduler is not None:
            await simulation.replace(scheduler)


async def all_instances_crashed(simulation: SchedulingSimulation) -> None:
    await asyncio.sleep(simulation.rng.uniform(3, 6))
    for instance in list(simulation.instances):
        await simulation.replace(instance)


async def scheduler_cut_from_store(simulation: SchedulingSimulation) -> None:
    await asyncio.sleep(simulation.rng.uniform(2, 5))
    scheduler = simulation.scheduler()
    if scheduler is None:
        return
    scheduler.store.faults.is_silent = True
    await asyncio.sleep(5.5)
    scheduler.store.faults.is_silent = False


async def scheduler_cut_and_successor_without_two_workers(simulation: SchedulingSimulation) -> None:
    await asyncio.sleep(simulation.rng.uniform(2, 5))
    scheduler = simulation.scheduler()
    if scheduler is None:
        return
    scheduler.store.faults.is_down = True
    for other in simulation.instances:
        if other is not scheduler:
            other.orders.faults.unreachable_worker_ids = {"w0", "w1"}
    await asyncio.sleep(6)
    scheduler.store.faults.is_down = False
    for other in simulation.instances:
        other.orders.faults.unreachable_worker_ids = set()


async def store_down(simulation: SchedulingSimulation) -> None:
    await asyncio.sleep(simulation.rng.uniform(2, 5))
    simulation.store.are_leases_paused = simulation.rng.random() < 0.5
    for instance in simulation.instances:
        instance.store.faults.is_down = True
    await asyncio.sleep(4.5)
    for instance in simulation.instances:
        instance.store.faults.is_down = False
    simulation.store.are_leases_paused = False


async def lost_and_late_commits(simulation: SchedulingSimulation) -> None:
    for instance in simulation.instances:
        instance.store.faults.lost_ratio = 0.1
        instance.store.faults.late_ratio = 0.1
    await asyncio.sleep(8)
    for instance in simulation.instances:
        instance.store.faults.lost_ratio = 0.0
        instance.store.faults.late_ratio = 0.0


async def late_orders(simulation: SchedulingSimulation) -> None:
    for instance in simulation.instances:
        instance.orders.faults.late_ratio = 0.1
        instance.orders.faults.lost_ratio = 0.1
        instance.orders.faults.late_delay_s = simulation.rng.uniform(1, 8)
    await crashed_schedulers(simulation)


async def keys_revoked(simulation: SchedulingSimulation) -> None:
    for _ in range(3):
        await asyncio.sleep(simulation.rng.uniform(1, 3))
        simulation.store.revoke("shallotworks/")


async def history_compacted(simulation: SchedulingSimulation) -> None:
    for _ in range(4):
        await asyncio.sleep(simulation.rng.uniform(0.5, 2))
        simulation.store.compact_history()


async def workers_crash_and_are_cut(simulation: SchedulingSimulation) -> None:
    await asyncio.sleep(simulation.rng.uniform(2, 4))
    simulation.fleet.workers["w0"].crash()
    for instance in simulation.instances:
        instance.orders.faults.unreachable_worker_ids = {"w1"}
    await asyncio.sleep(5.5)
    for instance in simulation.instances:
        instance.orders.faults.unreachable_worker_ids = set()


FAULT_SCENARIOS: tuple[FaultScenario, ...] = (
    crashed_schedulers,
    all_instances_crashed,
    scheduler_cut_from_store,
    scheduler_cut_and_successor_without_two_workers,
    store_down,
    lost_and_late_commits,
    late_orders,
    keys_revoked,
    history_compacted,
    workers_crash_and_are_cut,
)


def run_simulation(seed: int, fault: FaultScenario | None) -> SchedulingSimulation:
    """Run one simulation on a virtual clock of its own."""

    async def scenario() -> SchedulingSimulation:
        simulation = SchedulingSimulation(seed=seed)
        for instance in simulation.instances:
            instance.start()
        await asyncio.sleep(1.0)
        faults = [fault(simulation)] if fault is not None else []
        await asyncio.gather(simulation.run_jobs(JOB_COUNT, SUBMIT_PERIOD_S), *faults)
        await asyncio.sleep(WIND_DOWN_S)
        for instance in simulation.instances:
            await instance.kill()
        return simulation

    return run_scenario(scenario())


class FaultScenarioTests(unittest.TestCase):
    @parameterized.expand([(one.__name__, one) for one in FAULT_SCENARIOS])
    def test_invariants_hold_through_each_fault(self, _name: str, fault: FaultScenario) -> None:
        """The invariants hold through each fault, for a fixed set of seeds."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = run_simulation(seed, fault)
                self.assertEqual([], simulation.violations())
                self.assertGreater(len(simulation.accepted), JOB_COUNT // 2)
                self.assertGreater(simulation.fleet.started, JOB_COUNT)


if __name__ == "__main__":
    unittest.main()
