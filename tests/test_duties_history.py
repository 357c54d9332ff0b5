"""Simulations of schedulers that hand their lease over, checked as in `test_scheduling_history`."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from shallotworks.logs import StructuredLog
from tests.lasting_task_simulation import RecordingLog
from tests.scheduling_fakes import step
from tests.scheduling_simulation import Instance, SchedulingSimulation
from tests.test_scheduling_history import (
    history_compacted,
    lost_and_late_commits,
    workers_crash_and_are_cut,
)
from tests.virtual_clock import run_scenario

SEEDS = range(1, 6)
JOB_COUNT = 40
SUBMIT_PERIOD_S = 24.0
WIND_DOWN_S = 26.0
WEAK, STRONG = 0.2, 1.0
CLAIM_S = 4.6
"""A strong instance has claimed a weak one's lease this long after its start."""
FIRST_START_S = 0.3
"""A successor by claim starts the first task this long after the lease was free."""

HandoverScenario = Callable[["HandoverSimulation"], Awaitable[None]]


class HandoverSimulation(SchedulingSimulation):
    """A simulation that records the log lines of its instances."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed, instances=0)
        self.lines: list[str] = []

    def add(self, *, strength: float, log: StructuredLog | None = None) -> Instance:
        log = RecordingLog(process=f"n{self._instance_count + 1}", lines=self.lines)
        return super().add(strength=strength, log=log)

    async def kill_scheduler(self) -> None:
        """Kill the instance that holds the lease, and start a weak one."""
        scheduler = self.scheduler()
        if scheduler is not None:
            self.instances.remove(scheduler)
            await scheduler.kill()
        self.add(strength=WEAK)


async def _calm(simulation: HandoverSimulation) -> None:
    """Inject no fault."""


async def _claimants_killed(simulation: HandoverSimulation) -> None:
    """Kill strong instances around the time at which they claim the lease."""
    for _ in range(3):
        claimant = simulation.add(strength=STRONG)
        await asyncio.sleep(simulation.rng.uniform(CLAIM_S - 0.6, CLAIM_S + 0.6))
        simulation.instances.remove(claimant)
        await claimant.kill()


async def _holders_killed(simulation: HandoverSimulation) -> None:
    """Kill whichever instance holds the lease, also during a hand-over."""
    for _ in range(4):
        await asyncio.sleep(simulation.rng.uniform(1.0, 5.0))
        await simulation.kill_scheduler()


async def _late_orders(simulation: HandoverSimulation) -> None:
    """Lose and delay orders, and kill a holder meanwhile."""
    for instance in simulation.instances:
        instance.orders.faults.late_ratio = 0.1
        instance.orders.faults.lost_ratio = 0.1
        instance.orders.faults.late_delay_s = simulation.rng.uniform(1, 8)
    await asyncio.sleep(simulation.rng.uniform(5, 9))
    await simulation.kill_scheduler()


async def _move_back_and_forth(simulation: HandoverSimulation) -> None:
    """Replace the strong instances in turn, so that weak ones hold the lease in between."""
    for _ in range(3):
        strong = simulation.add(strength=STRONG)
        await asyncio.sleep(CLAIM_S + simulation.rng.uniform(0.0, 3.0))
        if strong in simulation.instances:
            simulation.instances.remove(strong)
            if simulation.rng.random() < 0.5:
                await strong.elector.stop()
            await strong.kill()


def _run(seed: int, fault: HandoverScenario) -> HandoverSimulation:
    async def scenario() -> HandoverSimulation:
        simulation = HandoverSimulation(seed=seed)
        for _ in range(2):
            simulation.add(strength=WEAK)
        await asyncio.sleep(2.0)
        await asyncio.gather(
            simulation.run_jobs(JOB_COUNT, SUBMIT_PERIOD_S),
            _move_back_and_forth(simulation),
            fault(simulation),
        )
        await asyncio.sleep(WIND_DOWN_S)
        await simulation.kill()
        return simulation

    return run_scenario(scenario())


class HandoverHistoryTests(unittest.TestCase):
    @parameterized.expand(
        [
            (one.__name__, one)
            for one in (
                _calm,
                _claimants_killed,
                _holders_killed,
                lost_and_late_commits,
                _late_orders,
                history_compacted,
                workers_crash_and_are_cut,
            )
        ]
    )
    def test_invariants_hold_through_handovers(self, _name: str, fault: HandoverScenario) -> None:
        """A task ran twice, too early or never, since its service was handed over meanwhile."""
        handovers = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = _run(seed, fault)
                self.assertEqual([], simulation.violations())
                self.assertGreater(len(simulation.accepted), JOB_COUNT // 2)
                self.assertGreater(simulation.fleet.started, JOB_COUNT)
                handovers += sum(" succession-agreed " in line for line in simulation.lines)
        self.assertGreaterEqual(handovers, len(SEEDS))


class FirstStartTests(unittest.TestCase):
    def test_a_successor_by_claim_starts_tasks_at_once(self) -> None:
        """No task was started for a second while a lease changed hands, and no line said so."""

        async def scenario() -> list[str]:
            simulation = HandoverSimulation(seed=1)
            simulation.add(strength=WEAK)
            await asyncio.sleep(2.0)
            for number in range(20):
                await simulation.submit(f"{number:016x}", step(8, estimated_s=0.8))
            simulation.add(strength=STRONG)
            await asyncio.sleep(CLAIM_S + 2.0)
            await simulation.kill()
            return simulation.lines

        lines = run_scenario(scenario())
        _, first = [line for line in lines if " first-start " in line]
        fields = dict(word.split("=") for word in first.split() if "=" in word)
        self.assertLess(float(fields["since_freed_s"]), FIRST_START_S)


class CalmTests(unittest.TestCase):
    def test_an_epoch_is_calm_only_while_no_task_waits(self) -> None:
        """A lease was handed over in its queue's turn, and 731 short tasks had to be recovered."""

        async def scenario() -> None:
            simulation = HandoverSimulation(seed=1)
            instance = simulation.add(strength=STRONG)
            await asyncio.sleep(2.0)
            (scheduler,) = instance.service_schedulers
            self.assertTrue(scheduler.is_calm)
            for job_id, count in (("0" * 16, 40), ("1" * 16, 2)):
                await simulation.submit(job_id, step(count, estimated_s=0.8))
                await asyncio.sleep(0.3)
                self.assertFalse(scheduler.is_calm)
                await asyncio.sleep(8.0)
                self.assertTrue(scheduler.is_calm)
            simulation.fleet.lasting.add("2" * 16)
            await simulation.submit("2" * 16, step(1, is_lasting=True))
            await asyncio.sleep(5.0)
            self.assertEqual(
                1, sum(len(w.runs) for w in scheduler.scheduler_state.workers.values())
            )
            self.assertTrue(scheduler.is_calm)
            await simulation.kill()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
