"""Histories of schedulers through faults, judged by what workers and callers see.

Each scenario is a promise to users: nothing runs twice at once or again, nothing starts before
its turn or after its cancelling, what was accepted is completed, what is completed was done.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from tests.scheduling_simulation import SchedulingSimulation
from tests.virtual_clock import run_scenario

SEEDS = range(1, 9)
JOBS = 25
OVER_S = 12.0
AFTER_S = 26.0

FaultScenario = Callable[[SchedulingSimulation], Awaitable[None]]


async def killed_scheduler(simulation: SchedulingSimulation) -> None:
    for _ in range(2):
        await asyncio.sleep(simulation.rng.uniform(2, 5))
        scheduler = simulation.scheduler()
        if scheduler is not None:
            await simulation.replace(scheduler)


async def all_killed(simulation: SchedulingSimulation) -> None:
    await asyncio.sleep(simulation.rng.uniform(3, 6))
    for instance in list(simulation.instances):
        await simulation.replace(instance)


async def scheduler_cut_from_store(simulation: SchedulingSimulation) -> None:
    await asyncio.sleep(simulation.rng.uniform(2, 5))
    scheduler = simulation.scheduler()
    if scheduler is None:
        return
    scheduler.view.faults.is_silent = True
    await asyncio.sleep(5.5)
    scheduler.view.faults.is_silent = False


async def scheduler_cut_and_successor_blind(simulation: SchedulingSimulation) -> None:
    await asyncio.sleep(simulation.rng.uniform(2, 5))
    scheduler = simulation.scheduler()
    if scheduler is None:
        return
    scheduler.view.faults.is_down = True
    for other in simulation.instances:
        if other is not scheduler:
            other.orders.faults.cut = {"w0", "w1"}
    await asyncio.sleep(6)
    scheduler.view.faults.is_down = False
    for other in simulation.instances:
        other.orders.faults.cut = set()


async def store_down(simulation: SchedulingSimulation) -> None:
    await asyncio.sleep(simulation.rng.uniform(2, 5))
    simulation.store.are_leases_paused = simulation.rng.random() < 0.5
    for instance in simulation.instances:
        instance.view.faults.is_down = True
    await asyncio.sleep(4.5)
    for instance in simulation.instances:
        instance.view.faults.is_down = False
    simulation.store.are_leases_paused = False


async def lost_and_late_commits(simulation: SchedulingSimulation) -> None:
    for instance in simulation.instances:
        instance.view.faults.lost_part = 0.1
        instance.view.faults.late_part = 0.1
    await asyncio.sleep(8)
    for instance in simulation.instances:
        instance.view.faults.lost_part = 0.0
        instance.view.faults.late_part = 0.0


async def late_orders(simulation: SchedulingSimulation) -> None:
    for instance in simulation.instances:
        instance.orders.faults.late_part = 0.1
        instance.orders.faults.lost_part = 0.1
        instance.orders.faults.late_s = simulation.rng.uniform(1, 8)
    await killed_scheduler(simulation)


async def keys_revoked(simulation: SchedulingSimulation) -> None:
    for _ in range(3):
        await asyncio.sleep(simulation.rng.uniform(1, 3))
        simulation.store.revoke("shallotworks/")


async def history_forgotten(simulation: SchedulingSimulation) -> None:
    for _ in range(4):
        await asyncio.sleep(simulation.rng.uniform(0.5, 2))
        simulation.store.compact_history()


async def workers_crash_and_are_cut(simulation: SchedulingSimulation) -> None:
    await asyncio.sleep(simulation.rng.uniform(2, 4))
    simulation.fleet.workers["w0"].crash()
    for instance in simulation.instances:
        instance.orders.faults.cut = {"w1"}
    await asyncio.sleep(5.5)
    for instance in simulation.instances:
        instance.orders.faults.cut = set()


FAULT_SCENARIOS: tuple[FaultScenario, ...] = (
    killed_scheduler,
    all_killed,
    scheduler_cut_from_store,
    scheduler_cut_and_successor_blind,
    store_down,
    lost_and_late_commits,
    late_orders,
    keys_revoked,
    history_forgotten,
    workers_crash_and_are_cut,
)


def play(seed: int, fault: FaultScenario | None) -> SchedulingSimulation:
    """Play one history on a clock of its own."""

    async def scenario() -> SchedulingSimulation:
        simulation = SchedulingSimulation(seed=seed)
        for instance in simulation.instances:
            instance.start()
        await asyncio.sleep(1.0)
        faults = [fault(simulation)] if fault is not None else []
        await asyncio.gather(simulation.run_jobs(JOBS, OVER_S), *faults)
        await asyncio.sleep(AFTER_S)
        for instance in simulation.instances:
            await instance.kill()
        return simulation

    return run_scenario(scenario())


class HistoryTests(unittest.TestCase):
    @parameterized.expand([(one.__name__, one) for one in FAULT_SCENARIOS])
    def test_promises_hold(self, _name: str, fault: FaultScenario) -> None:
        """Through each fault, for a fixed set of seeds, nothing breaks."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = play(seed, fault)
                self.assertEqual([], simulation.violations())
                self.assertGreater(len(simulation.accepted), JOBS // 2)
                self.assertGreater(simulation.fleet.started, JOBS)


if __name__ == "__main__":
    unittest.main()
