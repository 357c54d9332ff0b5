"""Which ends may be acknowledged: those of which the store has all that makes them needless.

The failure that is guarded against: an end was acknowledged because its job was over here, which
was not stored yet. A successor started the task again, whose end its worker had forgotten.
"""

import asyncio
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import JobState, TaskName
from shallotworks.scheduling import EndedTask, EndKind
from shallotworks.standins import RecordFaults, TaskWorkers
from tests.scheduling_fakes import SchedulingHarness, job, policy, step, view
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

SEEDS = range(1, 17)
DISTURBANCES = 6
JOBS = 40
SUBMIT_PERIOD_S = 16.0
JOB_ID = "00000000000000aa"
FIRST, SECOND = TaskName(JOB_ID, 0, 0, 0), TaskName(JOB_ID, 0, 0, 1)


class EvenRandom(random.Random):
    """Draws the same duration for all tasks, so that tasks that start together end together."""

    def uniform(self, a: float, _b: float) -> float:
        return a


class FailingWorkers(TaskWorkers):
    """Workers that tell when a run has failed, and on which of them."""

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.has_failed = asyncio.Event()
        self.failed_on = ""

    def note_end(self, end: EndedTask) -> None:
        super().note_end(end)
        if end.kind is EndKind.FAILED and not self.has_failed.is_set():
            on = (key for key, one in self.workers.items() if end in one._ended)
            self.failed_on = next(on, "")
            self.has_failed.set()


async def disturb(simulation: SchedulingSimulation) -> None:
    """Take the store away right after a job has failed, while other tasks of it run.

    Then kill the scheduler, and at times restart the worker that lists the failure.
    """
    rng, fleet = simulation.rng, simulation.fleet
    assert isinstance(fleet, FailingWorkers)
    for _ in range(DISTURBANCES):
        fleet.has_failed.clear()
        await fleet.has_failed.wait()
        for instance in simulation.instances:
            instance.store.faults = RecordFaults(is_down=True)
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        holder = simulation.scheduler()
        if holder is not None:
            await simulation.replace(holder)
        if fleet.failed_on and rng.random() < 0.8:
            fleet.restart(fleet.failed_on)
        for instance in simulation.instances:
            instance.store.faults = RecordFaults()
        await asyncio.sleep(rng.uniform(0.5, 2.0))


class AcknowledgedEndTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("done_after_the_job_failed", FIRST, EndKind.FAILED, SECOND, EndKind.DONE),
            ("failed_after_the_job_failed", FIRST, EndKind.FAILED, SECOND, EndKind.FAILED),
            ("done_twice", FIRST, EndKind.DONE, FIRST, EndKind.DONE),
            ("failed_after_it_was_done", FIRST, EndKind.DONE, FIRST, EndKind.FAILED),
        ]
    )
    def test_an_end_waits_until_an_earlier_end_is_stored(
        self, _name: str, earlier: TaskName, how: EndKind, later: TaskName, later_how: EndKind
    ) -> None:
        """An end was acknowledged before the store had the end that made it needless."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job(JOB_ID, step(2), policy=policy(most_attempts=1)))
        harness.start_orders()
        harness.report("a", ended=((earlier, 1, how),))
        harness.report("b", ended=((later, 2, later_how),))
        self.assertEqual([0, 0], [harness.worker(one).highest_settled for one in "ab"])
        harness.store()
        self.assertEqual([1, 1], [harness.worker(one).highest_settled for one in "ab"])

    def test_a_successor_starts_no_task_whose_end_was_acknowledged(self) -> None:
        """A task that was done ran again, as its job's failure was lost with the scheduler."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=2, instances=2)
            fleet = simulation.fleet
            fleet.rng = EvenRandom(1)
            fleet.cpu_millicores = {FIRST: 3000, SECOND: 3000}
            fleet.failing.add(SECOND)
            for instance in simulation.instances:
                instance.start()
            await asyncio.sleep(1.0)
            policy_changes = policy(service="antenna", most_attempts=1)
            await simulation.submit(
                JOB_ID, step(2, cpu_millicores=3000, estimated_s=0.8), policy=policy_changes
            )
            await asyncio.sleep(0.2)
            (failing,) = (one for one in fleet.workers.values() if SECOND in one.names())
            for instance in simulation.instances:
                instance.store.faults = RecordFaults(is_down=True)
            await asyncio.sleep(2.0)
            holder = simulation.scheduler()
            assert holder is not None
            await simulation.replace(holder)
            failing.crash()
            for instance in simulation.instances:
                instance.store.faults = RecordFaults()
            await asyncio.sleep(24.0)
            self.assertEqual([], fleet.violations)
            self.assertIs(JobState.FAILED, simulation.state(JOB_ID))
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())

    @parameterized.expand([(seed,) for seed in SEEDS])
    def test_no_task_starts_after_its_end_was_acknowledged(self, seed: int) -> None:
        """A task ran again after outages that began between two ends of its job."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(
                seed=seed, workers=5, instances=3, fleet=FailingWorkers
            )
            fleet, rng = simulation.fleet, simulation.rng
            fleet.most_attempts = 1
            for instance in simulation.instances:
                instance.start()
            await asyncio.sleep(1.0)

            async def submit(number: int, after_s: float) -> None:
                await asyncio.sleep(after_s)
                job_id = f"{number:016x}"
                if number % 2:
                    fleet.failing.add(TaskName(job_id, 0, 0, 0))
                await simulation.submit(
                    job_id,
                    step(rng.randint(2, 4), estimated_s=0.8),
                    policy=policy(service=SERVICE, most_attempts=1),
                )
                if rng.random() < 0.1:
                    await asyncio.sleep(rng.uniform(0, 1.0))
                    await simulation.cancel(job_id)

            disturbing = asyncio.create_task(disturb(simulation))
            await asyncio.gather(*(submit(n, rng.uniform(0, SUBMIT_PERIOD_S)) for n in range(JOBS)))
            await asyncio.sleep(30.0)
            disturbing.cancel()
            self.assertEqual([], fleet.violations)
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())
