"""Tests of the deletion of finished jobs' records."""

import asyncio
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import JobKeys, JobProgress, JobState, encode_job, encode_progress
from shallotworks.metrics import Metrics
from shallotworks.scheduling import MachineRecords
from shallotworks.scheduling._job_cleanup import delete_old_jobs
from shallotworks.scheduling._order_times import OrderTimes
from shallotworks.scheduling._scheduler_dependencies import SchedulerDependencies
from shallotworks.scheduling._scheduler_state import SchedulerState
from shallotworks.standins import FaultInjectingStore, RecordStore
from shallotworks.store import Commit, Item, Write
from tests.held_leases import SERVICE, acquire
from tests.scheduling_fakes import SchedulingHarness, quiet_log, step
from tests.scheduling_simulation import DEFAULT_POLICY, SchedulingSimulation
from tests.virtual_clock import run_scenario

KEYS = JobKeys(service=SERVICE)
TOLD_S = 120.0
START_S = 1_700_000_000.0


class CleanupHarness:
    """A finished job's record in the store, and the cleanup of a scheduler that knows the job."""

    def __init__(self) -> None:
        self.records = RecordStore(rng=random.Random(1))
        self.store = FaultInjectingStore(store=self.records)
        self.scheduler_state: SchedulerState = SchedulingHarness().scheduler_state
        self.clock_error_s = 0.0
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, *, ended_s: float) -> None:
        """Store a job that ended at a time of day, and start the cleanup."""
        lease = await acquire(self.store)
        loop_time = asyncio.get_running_loop().time
        progress = JobProgress(queue="sweeps", state=JobState.COMPLETED, ended_s=ended_s)
        self.records.put(KEYS.progress("j"), encode_progress(progress))
        self.add_finished_job(progress)
        dependencies = SchedulerDependencies(
            store=self.store,
            orders=None,  # type: ignore[arg-type]
            directory=None,  # type: ignore[arg-type]
            advice=None,  # type: ignore[arg-type]
            machine_records=MachineRecords(log=quiet_log()),
            clock=loop_time,
            wall_clock=lambda: START_S + loop_time() + self.clock_error_s,
            times=OrderTimes(),
            log=quiet_log(),
            metrics=Metrics(),
            final_state_told_s=TOLD_S,
        )
        cleanup = delete_old_jobs(
            scheduler_state=self.scheduler_state,
            keys=KEYS,
            lease=lease,
            dependencies=dependencies,
        )
        self.tasks = [
            asyncio.create_task(lease.renew_until_lost()),
            asyncio.create_task(cleanup),
        ]

    def add_finished_job(self, progress: JobProgress) -> None:
        """Report the stored job to the scheduler."""
        stored = self.stored()
        assert stored is not None
        self.scheduler_state.add_finished_job("j", progress, revision=stored.revision)

    def stored(self) -> Item | None:
        """Return the stored progress of the job."""
        return self.records.items.get(KEYS.progress("j"))

    def stop(self) -> None:
        """Stop the cleanup."""
        for task in self.tasks:
            task.cancel()


class JobCleanupTests(unittest.TestCase):
    def test_a_record_is_deleted_some_time_after_the_end_of_its_job(self) -> None:
        """The final state of a job is kept for twice the time for which callers may ask for it."""

        async def scenario() -> None:
            harness = CleanupHarness()
            await harness.start(ended_s=START_S)
            await asyncio.sleep(2 * TOLD_S)
            self.assertIsNotNone(harness.stored())
            await asyncio.sleep(60)
            self.assertIsNone(harness.stored())
            harness.stop()

        run_scenario(scenario())

    @parameterized.expand(
        [
            ("clock_ahead", START_S, 3_600.0),
            ("ended_by_a_clock_behind", START_S - 3_600.0, 0.0),
            ("no_time_of_its_end", 0.0, 0.0),
        ]
    )
    def test_a_final_state_is_kept_whatever_the_clocks_say(
        self, _name: str, ended_s: float, clock_error_s: float
    ) -> None:
        """Guards against a job that just ended and is answered as unknown, for a wrong clock."""

        async def scenario() -> None:
            harness = CleanupHarness()
            harness.clock_error_s = clock_error_s
            await harness.start(ended_s=ended_s)
            await asyncio.sleep(TOLD_S)
            self.assertIsNotNone(harness.stored())
            await asyncio.sleep(2 * TOLD_S)
            self.assertIsNone(harness.stored())
            harness.stop()

        run_scenario(scenario())

    def test_a_job_that_was_submitted_again_is_kept(self) -> None:
        """Guards against an accepted job that is deleted for an earlier one of the same id."""

        async def scenario() -> None:
            harness = CleanupHarness()
            await harness.start(ended_s=START_S)
            await asyncio.sleep(2 * TOLD_S)
            # The first deletion was carried out without an answer, and no watch has shown it yet.
            harness.records.delete(KEYS.progress("j"))
            harness.records.put(KEYS.progress("j"), encode_progress(JobProgress(queue="sweeps")))
            await asyncio.sleep(60)
            self.assertIsNotNone(harness.stored())
            harness.stop()

        run_scenario(scenario())

    def test_a_job_that_was_submitted_again_runs(self) -> None:
        """Guards against an accepted job that never runs, since one of its id ended earlier."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, instances=1)
            simulation.instances[0].start()
            await simulation.submit("j", step(1))
            await asyncio.sleep(8.0)
            self.assertIs(JobState.COMPLETED, simulation.state("j"))
            simulation.store.delete(KEYS.progress("j"))
            progress = encode_progress(JobProgress(queue=DEFAULT_POLICY.queue))
            submission = (
                Write(key=KEYS.job("j"), value=encode_job(simulation.accepted["j"])),
                Write(key=KEYS.progress("j"), value=progress),
            )
            simulation.store.apply_commit(Commit(writes=submission))
            simulation.store.compact_history()
            await asyncio.sleep(8.0)
            self.assertIs(JobState.COMPLETED, simulation.state("j"))
            await simulation.kill()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
