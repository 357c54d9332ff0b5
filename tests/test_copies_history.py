"""Simulations of second runs through faults, with a checker of their own.

Of a task whose step allows copies two runs may be at work at once. No other task has two. None
starts after its end was acknowledged, beyond its attempts, before its predecessors are done or
after a cancel; and every run of an ended job has ended.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from shallotworks.jobs import Step, TaskName
from shallotworks.standins import TaskWorker, TaskWorkers
from tests.scheduling_fakes import policy, step
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

WORKERS = 12
SLOW_WORKERS = ("w0", "w5")
SLOWDOWN = 7.0
JOBS = 30
ATTEMPTS = 2
WIND_DOWN_S = 40.0
PATIENT = policy(service=SERVICE, target_latency_s=1000.0)
SEEDS = range(1, 5)

Fault = Callable[["CopySimulation"], Awaitable[None]]


class CheckedWorkers(TaskWorkers):
    """Workers of which some are slow; they check what copies may do."""

    def __init__(self, **given: object) -> None:
        super().__init__(**given)  # type: ignore[arg-type]
        self.speculative: set[str] = set()
        self.second_runs = 0
        self._starting_on = ""

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        """Check a start like any other, but for a second run of a task that may have one."""
        self._starting_on = worker.view.worker_id
        alive = [one for one in self.workers.values() if one.is_alive and one is not worker]
        for other in alive:
            other.end_due_runs()
        running = sum(name in one.names() for one in alive)
        if name.job_id not in self.speculative or not running:
            super().check_start(worker, name)
            return
        self.second_runs += 1
        found = list(self.violations)
        super().check_start(worker, name)
        # The check of any start names each run beside this one.
        added = [one for one in self.violations[len(found) :] if "twice at once" not in one]
        if running > 1:
            added.append(f"{name} has {running + 1} runs")
        self.violations = found + added

    def make_run(self, name: TaskName, run_id: int) -> object:  # type: ignore[override]
        """Return a run that takes longer on a slow worker."""
        run = super().make_run(name, run_id)
        if self._starting_on in SLOW_WORKERS:
            run.work_s *= SLOWDOWN
        return run

    def runs_left(self) -> list[str]:
        """Return the tasks that still run."""
        return [
            f"{name} still runs on {worker_id}"
            for worker_id, worker in self.workers.items()
            if worker.is_alive
            for name in worker.names()
        ]


class CopySimulation(SchedulingSimulation):
    """Jobs of several tasks, half of them with copies, on workers of which two are slow."""

    fleet: CheckedWorkers

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed, workers=WORKERS, fleet=CheckedWorkers)
        self.fleet.most_attempts = ATTEMPTS

    async def submit_drawn(self, number: int) -> None:
        """Submit a job at a drawn moment, and cancel some of them."""
        await asyncio.sleep(self.rng.uniform(0, 15.0))
        job_id = f"{number:016x}"
        is_speculative = number % 2 == 0
        if is_speculative:
            self.fleet.speculative.add(job_id)
        self.fleet.work_s[job_id] = length_s = self.rng.uniform(0.5, 2.0)
        first = self._step(self.rng.randint(1, 8), length_s, is_speculative)
        later = self._step(self.rng.randint(1, 4), length_s, is_speculative, after=(0,))
        steps = [first, later] if self.rng.random() < 0.5 else [first]
        await self.submit(job_id, *steps, policy=PATIENT)
        if job_id in self.accepted and self.rng.random() < 0.15:
            await asyncio.sleep(self.rng.uniform(0, 4.0))
            await self.cancel(job_id)

    def _step(self, count: int, length_s: float, is_speculative: bool, **changes: object) -> Step:
        stated_s = length_s * self.rng.lognormvariate(0.0, 0.5)
        return step(count, estimated_s=stated_s, is_speculative=is_speculative, **changes)


async def nothing_else(simulation: CopySimulation) -> None:
    await asyncio.sleep(0)


async def scheduler_crashes(simulation: CopySimulation) -> None:
    for _ in range(3):
        await asyncio.sleep(simulation.rng.uniform(2, 5))
        scheduler = simulation.scheduler()
        if scheduler is not None:
            await simulation.replace(scheduler)


async def workers_start_again(simulation: CopySimulation) -> None:
    for number in simulation.rng.sample(range(WORKERS), 3):
        await asyncio.sleep(simulation.rng.uniform(2, 5))
        simulation.fleet.restart(f"w{number}")


async def rack_dark(simulation: CopySimulation) -> None:
    for _ in range(2):
        await asyncio.sleep(simulation.rng.uniform(2, 4))
        for instance in simulation.instances:
            instance.orders.faults.unreachable_worker_ids = {"w1", "w2", "w3"}
        await asyncio.sleep(simulation.rng.uniform(3, 8))
        for instance in simulation.instances:
            instance.orders.faults.unreachable_worker_ids = set()


async def answers_lost_and_orders_late(simulation: CopySimulation) -> None:
    for instance in simulation.instances:
        instance.orders.faults.lost_ratio = 0.1
        instance.orders.faults.late_ratio = 0.05
        instance.orders.faults.late_delay_s = 2.0
    await scheduler_crashes(simulation)


FAULTS: tuple[Fault, ...] = (
    nothing_else,
    scheduler_crashes,
    workers_start_again,
    rack_dark,
    answers_lost_and_orders_late,
)


def run_history(seed: int, fault: Fault) -> CopySimulation:
    """Run one history on a virtual clock of its own."""

    async def scenario() -> CopySimulation:
        simulation = CopySimulation(seed=seed)
        jobs = (simulation.submit_drawn(number) for number in range(JOBS))
        await simulation.run_through(*jobs, fault(simulation), wind_down_s=WIND_DOWN_S)
        return simulation

    return run_scenario(scenario())


class CopyHistoryTests(unittest.TestCase):
    @parameterized.expand([(one.__name__, one) for one in FAULTS])
    def test_copies_keep_the_rules_through_each_fault(self, _name: str, fault: Fault) -> None:
        """The rules on copies hold through each fault, and copies are started in it."""
        second_runs = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = run_history(seed, fault)
                self.assertEqual([], simulation.violations())
                self.assertEqual([], simulation.fleet.runs_left())
                self.assertGreater(len(simulation.accepted), JOBS // 2)
                second_runs += simulation.fleet.second_runs
        self.assertGreater(second_runs, 0)


if __name__ == "__main__":
    unittest.main()
