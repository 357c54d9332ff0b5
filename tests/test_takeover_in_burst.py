"""A burst on one queue whose scheduler is killed while workers behind a cut can't be reached.

Pattern: hundreds of tasks wait, the successor can't reach a part of the workers, and the rest of
the pool is free. Jobs of which no task can run anywhere must not wait for the workers that are cut.
"""

from __future__ import annotations

import asyncio
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import JobKeys, TaskName, decode_progress
from shallotworks.scheduling import OrderTimes
from shallotworks.scheduling._claims import claim_jobs
from shallotworks.standins import RecordStore, TaskWorker, TaskWorkers
from tests.scheduling_fakes import SchedulingHarness, job, step, view
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

JOBS = 60
TASKS_PER_JOB = 4
WORKERS = 6
CUT_OFF = {"w0", "w1"}
SUCCESSION_S = 3.0
"""Time within which a killed scheduler has a successor that gives orders."""


class ClaimCheckingWorkers(TaskWorkers):
    """Workers that record each start of a task whose job is not claimed in the store."""

    store: RecordStore | None = None

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        super().check_start(worker, name)
        assert self.store is not None
        item = self.store.items[JobKeys(service=SERVICE).progress(name.job_id)]
        if not decode_progress(item.value).is_claimed:
            self.violations.append(f"{name} starts before its claim is stored")


async def start_burst(simulation: SchedulingSimulation) -> None:
    """Submit all jobs at once, and wait until some of them run."""
    assert isinstance(simulation.fleet, ClaimCheckingWorkers)
    simulation.fleet.store = simulation.store
    for instance in simulation.instances:
        instance.start()
    await asyncio.sleep(1.0)
    await asyncio.gather(
        *(
            simulation.submit(f"{number:016x}", step(TASKS_PER_JOB, estimated_s=0.8))
            for number in range(JOBS)
        )
    )
    await asyncio.sleep(1.0)


async def kill_scheduler(simulation: SchedulingSimulation) -> None:
    """Kill the scheduler's instance, and cut some workers off from all others."""
    holder = simulation.scheduler()
    assert holder is not None
    await simulation.replace(holder)
    for instance in simulation.instances:
        instance.orders.faults.unreachable_worker_ids = set(CUT_OFF)


class TakeoverInBurstTests(unittest.TestCase):
    @parameterized.expand([(seed,) for seed in range(4)])
    def test_unclaimed_jobs_start_while_workers_are_unreachable(self, seed: int) -> None:
        """Guards against a successor that starts nothing until the leases behind a cut are out."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(
                seed=seed, workers=WORKERS, instances=2, fleet=ClaimCheckingWorkers
            )
            await start_burst(simulation)
            await kill_scheduler(simulation)
            await asyncio.sleep(SUCCESSION_S)
            before = simulation.fleet.started
            observed_s = OrderTimes().recovery_s - SUCCESSION_S
            await asyncio.sleep(observed_s)
            reachable_cores = 4 * (WORKERS - len(CUT_OFF))
            possible = reachable_cores * observed_s / 0.8
            self.assertGreater(simulation.fleet.started - before, possible / 2)
            await asyncio.sleep(25.0)
            self.assertEqual([], simulation.violations())
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())

    @parameterized.expand([(seed,) for seed in range(12)])
    def test_no_task_runs_twice(self, seed: int) -> None:
        """Guards against a second run of a task that the predecessor started behind the cut."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(
                seed=seed, workers=WORKERS, instances=2, fleet=ClaimCheckingWorkers
            )
            await start_burst(simulation)
            rng = random.Random(seed)
            for _ in range(3):
                holder = simulation.scheduler()
                if holder is not None:
                    holder.store.faults.lost_ratio = rng.choice([0.0, 0.3])
                    holder.store.faults.late_ratio = rng.choice([0.0, 0.3])
                    holder.orders.faults.unreachable_worker_ids = {f"w{rng.randrange(WORKERS)}"}
                    await asyncio.sleep(rng.uniform(0.0, 1.0))
                    await kill_scheduler(simulation)
                await asyncio.sleep(rng.uniform(1.0, 5.0))
            for instance in simulation.instances:
                instance.orders.faults.unreachable_worker_ids = set()
            await asyncio.sleep(25.0)
            self.assertEqual([], simulation.violations())
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())


class ClaimTests(unittest.TestCase):
    def test_jobs_are_claimed_for_what_starts_next(self) -> None:
        """Guards against a successor that finds all waiting jobs claimed."""
        harness = SchedulingHarness(view("w0", cpu_millicores=4000))
        for number in range(6):
            harness.add_job(job(f"{number:016x}", step(2)))
        state = harness.scheduler_state
        claim_jobs(state.open_steps(), state.workers.values())
        claimed = [one.progress.is_claimed for one in state.tracked_jobs.values()]
        self.assertEqual([True] * 3 + [False] * 3, claimed)

    def test_a_job_of_an_earlier_release_waits_for_recovery(self) -> None:
        """Guards against a second run after an upgrade from a release that claims nothing."""
        harness = SchedulingHarness(view("w0"))
        harness.add_job(job("0" * 16, step(2)), is_inherited=True)
        state = harness.scheduler_state
        state.pending_recovery["w9"] = 1e9
        self.assertEqual([], list(state.open_steps()))
        state.trusts_claims = True
        self.assertEqual(1, len(list(state.open_steps())))


if __name__ == "__main__":
    unittest.main()
