"""Tests of what the store and the scheduler's state keep of finished jobs."""

import asyncio
import json
import random
import unittest
from unittest import mock

from parameterized import parameterized
from returns.result import Success

from shallotworks.jobs import (
    JobKeys,
    JobProgress,
    JobState,
    TaskName,
    decode_progress,
    encode_job,
    encode_progress,
)
from shallotworks.metrics import Metrics
from shallotworks.scheduling import EndKind, LeaderElector, RunningTask, StopOrder
from shallotworks.scheduling._progress_writer import ProgressWriter
from shallotworks.standins import FaultInjectingStore, RecordStore
from shallotworks.store import Commit, HeldLease, LeaseTiming, Write
from tests.held_leases import acquire
from tests.scheduling_fakes import SchedulingHarness, job, quiet_log, step, view
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

KEYS = JobKeys(service=SERVICE)
TASK_NAME = TaskName("j", 0, 0, 0)


class ProgressWriterTests(unittest.TestCase):
    def test_a_finished_job_leaves_its_state_only(self) -> None:
        """A successor on a slow link started late, since it read the records of finished jobs.

        A thousand records had 3 KB each, though only a job that is still to run needs its record.
        """

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1)
            for instance in simulation.instances:
                instance.start()
            await simulation.submit("done", step(2))
            await simulation.submit("cancelled", step(1, estimated_s=60.0))
            self.assertIn(KEYS.job("done"), simulation.store.items)
            await simulation.cancel("cancelled")
            await asyncio.sleep(8.0)
            for name, state in (("done", JobState.COMPLETED), ("cancelled", JobState.CANCELLED)):
                self.assertIs(state, simulation.state(name))
                self.assertNotIn(KEYS.job(name), simulation.store.items)
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())

    def test_a_batch_keeps_within_the_entry_limit_of_a_commit(self) -> None:
        """Progress of many finished jobs was never stored, since the commit was too large."""

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            largest = 0
            harness = SchedulingHarness(view("a", cpu_millicores=90_000, memory_mb=90_000))

            class CountingStore(FaultInjectingStore):
                async def commit(self, commit: Commit) -> object:  # type: ignore[override]
                    nonlocal largest
                    entries = (*commit.conditions, *commit.writes, *commit.deletes)
                    largest = max(largest, len(entries))
                    outcome = self.store.apply_commit(commit)
                    return Success(outcome)

            lease = await acquire(FaultInjectingStore(store=store))
            for number in range(30):
                name = f"{number:04}"
                small_job = job(name, step(1))
                harness.add_job(small_job)
                harness.report("a", ended=((TaskName(name, 0, 0, 0), 5, EndKind.DONE),))
                record = Write(key=KEYS.progress(name), value=b"")
                store.apply_commit(Commit(writes=(record,)))
                harness.scheduler_state.tracked_jobs[name].revision = store.revision
            writer = ProgressWriter(
                scheduler_state=harness.scheduler_state,
                lease=lease,
                store=CountingStore(store=store),
                log=quiet_log(),
                metrics=Metrics(),
                on_stored=lambda: None,
            )
            writer.wake.set()
            running = asyncio.create_task(writer.run())
            await asyncio.sleep(1.0)
            running.cancel()
            self.assertEqual(30, len(harness.scheduler_state.finished_jobs))
            self.assertLessEqual(largest, 32)

        run_scenario(scenario())

    def test_a_burst_of_ended_tasks_is_stored_quickly(self) -> None:
        """Workers with ended tasks were polled late, since the ends were stored in serial commits.

        Sixty jobs took four calls of 50 ms, with 15 jobs each; meanwhile workers were not polled.
        """

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            store = FaultInjectingStore(store=RecordStore(rng=random.Random(1)))
            harness = SchedulingHarness(view("a", cpu_millicores=90_000, memory_mb=90_000))
            lease = await acquire(store)
            for number in range(60):
                name = f"{number:04}"
                harness.add_job(job(name, step(2)))
                harness.report("a", ended=((TaskName(name, 0, 0, 0), 5, EndKind.DONE),))
                store.store.apply_commit(
                    Commit(writes=(Write(key=KEYS.progress(name), value=b""),))
                )
                harness.scheduler_state.tracked_jobs[name].revision = store.store.revision
            store.faults.delay_s = 0.05
            writer = ProgressWriter(
                scheduler_state=harness.scheduler_state,
                lease=lease,
                store=store,
                log=quiet_log(),
                metrics=Metrics(),
                on_stored=lambda: None,
            )
            writer.wake.set()
            running = asyncio.create_task(writer.run())
            began_s = loop.time()
            while harness.scheduler_state.unstored_jobs():
                await asyncio.sleep(0.005)
            self.assertLess(loop.time() - began_s, 0.15)
            running.cancel()

        run_scenario(scenario())

    def test_the_progress_that_has_waited_longest_is_stored_first(self) -> None:
        """Guards against ends that are never acknowledged, since others change all the time."""

        async def scenario() -> None:
            store = FaultInjectingStore(store=RecordStore(rng=random.Random(1)))
            harness = SchedulingHarness(view("a", cpu_millicores=90_000, memory_mb=90_000))
            lease = await acquire(store)
            names = [f"{number:04}" for number in range(81)]
            jobs = harness.scheduler_state.tracked_jobs
            for name in names:
                harness.add_job(job(name, step(2)))
                harness.report("a", ended=((TaskName(name, 0, 0, 0), 5, EndKind.DONE),))
                store.store.apply_commit(
                    Commit(writes=(Write(key=KEYS.progress(name), value=b""),))
                )
                jobs[name].revision = store.store.revision
            store.faults.delay_s = 0.3
            writer = ProgressWriter(
                scheduler_state=harness.scheduler_state,
                lease=lease,
                store=store,
                log=quiet_log(),
                metrics=Metrics(),
                on_stored=lambda: None,
            )
            writer.wake.set()
            running = asyncio.create_task(writer.run())
            for _ in range(60):
                await asyncio.sleep(0.05)
                for name in names[:-1]:
                    jobs[name].changes += 1
            self.assertFalse(jobs[names[-1]].is_dirty)
            running.cancel()

        run_scenario(scenario())


class HandOverTests(unittest.TestCase):
    def test_a_stopped_scheduler_records_only_workers_with_runs(self) -> None:
        """Jobs waited for 10 s after each planned stop of an instance.

        The record named all workers ever used; the successor waited for those that had left.
        """

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=2)
            for instance in simulation.instances:
                instance.start()
            await asyncio.sleep(1.0)
            await simulation.submit("0" * 16, step(1, estimated_s=60.0))
            await asyncio.sleep(0.3)
            scheduler = simulation.scheduler()
            assert scheduler is not None
            record = simulation.store.items[f"shallotworks/runners/{SERVICE}"]
            self.assertEqual(4, len(json.loads(record.value)))
            await scheduler.elector.stop()
            record = simulation.store.items[f"shallotworks/runners/{SERVICE}"]
            self.assertEqual(1, len(json.loads(record.value)))
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())


class SchedulerStateTests(unittest.TestCase):
    def test_ends_of_a_deleted_job_are_acknowledged(self) -> None:
        """A worker repeated its ends forever, and a drained one never left, after a job's deletion.

        The acknowledgement waited for a commit of the deleted job's progress, which never came.
        """
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        harness.report("a", ended=((TASK_NAME, 5, EndKind.DONE),))
        self.assertEqual({1}, harness.worker("a").unsettled_ends)
        harness.scheduler_state.delete_job("j")
        self.assertEqual(set(), harness.worker("a").unsettled_ends)

    def test_a_stored_cancel_is_not_overwritten(self) -> None:
        """A job whose cancel was acknowledged became completed later.

        The scheduler wrote its own final state over the cancel, which was stored meanwhile.
        """
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        harness.report("a", ended=((TASK_NAME, 5, EndKind.DONE),))
        tracked_job = harness.scheduler_state.tracked_jobs["j"]
        self.assertTrue(tracked_job.is_dirty)
        cancelled = JobProgress(queue="sweeps", state=JobState.CANCELLED, ended_s=3.0)
        harness.scheduler_state.update_progress("j", cancelled, 9)
        self.assertFalse(tracked_job.is_dirty)
        self.assertIn("j", harness.scheduler_state.finished_jobs)

    def test_a_job_is_dropped_once_no_run_of_it_can_be_alive(self) -> None:
        """A cancelled job's run went on, since the job was dropped before the run was stopped."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        (start,) = harness.start_orders()
        running_task = RunningTask(name=TASK_NAME, run_id=start.run.run_id)
        harness.report("a", running=(running_task,))
        cancelled = JobProgress(queue="sweeps", state=JobState.CANCELLED, ended_s=3.0)
        harness.scheduler_state.update_progress("j", cancelled, 9)
        self.assertIn("j", harness.scheduler_state.tracked_jobs)
        self.assertEqual([StopOrder], [type(order) for order in harness.decide()])
        harness.report("a", ended=((TASK_NAME, start.run.run_id, EndKind.STOPPED),))
        self.assertNotIn("j", harness.scheduler_state.tracked_jobs)
        self.assertEqual([], harness.start_orders())

    def test_records_of_finished_jobs_are_read(self) -> None:
        """The progress of a finished job can be decoded without the job's own record."""
        progress = JobProgress(queue="sweeps")
        progress.note_done(job("j", step(1)), TASK_NAME, now_s=4.0)
        read = decode_progress(encode_progress(progress))
        self.assertIs(JobState.COMPLETED, read.state)
        self.assertGreater(len(encode_job(job("j", step(1)))), 0)


class LeaseDistributionTests(unittest.TestCase):
    def test_leases_spread_over_instances(self) -> None:
        """Most services lost their scheduler when one instance died, which held four leases.

        The instance was the first to start, and tried to acquire all leases at the same time.
        """

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))

            async def hold(_duty: str, lease: HeldLease) -> None:
                await lease.lost_event.wait()

            electors = [
                LeaderElector(
                    store=FaultInjectingStore(store=store),
                    key_prefix="duty/",
                    marker_key_of=lambda duty: f"mark/{duty}",
                    instance=f"n{number}",
                    run_epoch=hold,
                    clock=asyncio.get_running_loop().time,
                    timing=LeaseTiming(ttl_s=60.0),
                    log=quiet_log(),
                )
                for number in range(3)
            ]
            elector_tasks = [asyncio.create_task(elector.run()) for elector in electors]
            for elector in electors:
                elector.set_services({f"s{number}" for number in range(6)})
                await asyncio.sleep(0.1)
            await asyncio.sleep(3.0)
            held = [len(elector._leases) for elector in electors]
            self.assertEqual(6, sum(held))
            self.assertLessEqual(max(held), 3)
            for elector in electors:
                await elector.stop()
            for task in elector_tasks:
                task.cancel()

        run_scenario(scenario())

    @parameterized.expand(
        [("with a slow link", 0.1, 0), ("although it holds a lease already", 0.516, 1)]
    )
    def test_a_strong_instance_tries_before_a_weak_one(
        self, _: str, weak_strength: float, strong_lease_count: int
    ) -> None:
        """A lease went to an instance with a quarter of the processor of another live one."""

        def make_elector(name: str, strength: float) -> LeaderElector:
            return LeaderElector(
                store=FaultInjectingStore(store=RecordStore(rng=random.Random(1))),
                key_prefix="duty/",
                marker_key_of=str,
                instance=name,
                run_epoch=None,  # type: ignore[arg-type]
                clock=lambda: 0.0,
                timing=LeaseTiming(),
                log=quiet_log(),
                strength=strength,
            )

        for number in range(20):
            strong = make_elector(f"s{number}", 1.0)
            strong._leases = dict.fromkeys(
                map(str, range(strong_lease_count)), mock.Mock(spec=HeldLease)
            )
            weak = make_elector(f"w{number}", weak_strength)
            self.assertLess(strong._bid_delay_s("antenna"), weak._bid_delay_s("antenna"))


if __name__ == "__main__":
    unittest.main()
