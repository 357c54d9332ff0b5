"""Tests of workers whose capacity shrinks and grows while they run."""

import asyncio
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import Blame, Incarnation, JobProgress, LostRun, TaskName
from shallotworks.platform._workers import WorkerRegistry
from shallotworks.scheduling import EndKind, RunningTask, StopOrder
from shallotworks.standins import FaultInjectingStore, RecordStore
from shallotworks.store import PrefixWatcher
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, quiet_log, step, view
from tests.virtual_clock import run_scenario


class ShrunkCapacityTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("processor", {"cpu_millicores": 1500}),
            ("memory", {"memory_mb": 150}),
            ("all", {"cpu_millicores": 0, "memory_mb": 0}),
        ]
    )
    def test_no_start_exceeds_the_remaining_capacity(
        self, _name: str, capacity: dict[str, object]
    ) -> None:
        """Guards against overfilling a shrunk worker, which may refuse no start by itself."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        self.assertEqual(1, len(harness.start_orders()))
        harness.scheduler_state.update_worker(view("a", **capacity))
        harness.add_job(job("k", step(1)))
        self.assertEqual([], harness.start_orders())
        harness.scheduler_state.update_worker(view("a"))
        self.assertEqual(1, len(harness.start_orders()))

    def test_a_worker_that_starts_again_smaller(self) -> None:
        """Guards against filling a later start of a worker by the capacity of the earlier one."""
        harness = SchedulingHarness(view("a", born_ms=1))
        later = view("a", born_ms=2, cpu_millicores=1500)
        harness.restart("a", later)
        harness.report("a")
        harness.add_job(job("j", step(2)))
        self.assertEqual(1, len(harness.start_orders()))

    def test_a_run_that_is_being_stopped_occupies_capacity(self) -> None:
        """Guards against starting a task on a shrunk worker while an earlier one is stopping."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1, cpu_millicores=3000)))
        (order,) = harness.start_orders()
        order.run.enter(order.run.phase.RUNNING, harness.now_s)
        harness.scheduler_state.update_worker(view("a", cpu_millicores=3500))
        harness.scheduler_state.request_stop(order.run, "test")
        harness.add_job(job("k", step(1)))
        stops = [one for one in harness.decide() if isinstance(one, StopOrder)]
        self.assertEqual([order.run], [one.run for one in stops])
        order.run.enter(order.run.phase.STOPPED, harness.now_s)
        running = (RunningTask(name=order.run.name, run_id=order.run.run_id),)
        harness.report("a", running=running)
        self.assertEqual([], harness.start_orders())
        harness.report("a", ended=((order.run.name, order.run.run_id, EndKind.STOPPED),))
        self.assertEqual(["k"], [one.run.name.job_id for one in harness.start_orders()][:1])

    def test_a_reserved_start_is_cancelled_when_capacity_shrinks(self) -> None:
        """Guards against starting a suspected task on a reserved worker whose capacity shrank."""
        harness = SchedulingHarness(view("a"), view("b", cpu_millicores=0))
        row = LostRun(
            run_id=1, incarnation=Incarnation(worker_id="c"), blame=Blame.SHARED, is_certain=True
        )
        progress = JobProgress(queue="sweeps", lost={(0, 0, 0): (row,)})
        harness.add_job(job("j", step(1)), progress=progress)
        harness.decide()
        harness.store()
        harness.scheduler_state.update_worker(view("a", cpu_millicores=500))
        self.assertEqual([], harness.decide())
        self.assertEqual(0, harness.worker("a").cpu_used)

    def test_no_start_beside_a_run_of_unknown_size(self) -> None:
        """Guards against a successor filling a worker while a deleted job's runs are stopping."""
        harness = SchedulingHarness(view("a"))
        gone = TaskName("gone", 0, 0, 0)
        harness.report("a", running=(RunningTask(name=gone, run_id=5),))
        harness.add_job(job("k", step(1)))
        self.assertEqual([], harness.start_orders())
        harness.report("a", ended=((gone, 5, EndKind.STOPPED),))
        self.assertEqual(["k"], [one.run.name.job_id for one in harness.start_orders()])


class StaleListTests(unittest.TestCase):
    def test_no_start_while_capacities_are_unknown(self) -> None:
        """Guards against filling a worker that shrank during an outage to its former capacity."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1, cpu_millicores=2000)))
        (order,) = harness.start_orders()
        order.run.enter(order.run.phase.RUNNING, harness.now_s)
        harness.scheduler_state.request_stop(order.run, "test")
        harness.add_job(job("k", step(1)))
        decisions = list(
            harness.decision_engine.decide(now_s=harness.now_s, wall_s=WALL_S, may_start=False)
        )
        self.assertEqual([StopOrder], [type(one) for one in decisions])
        self.assertEqual(["k"], [one.run.name.job_id for one in harness.start_orders()])

    def test_a_watcher_reports_answers_only_while_the_store_answers(self) -> None:
        """Guards against taking a copy that is ten seconds old for a current one."""

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            one, answers_s = FaultInjectingStore(store=store), []
            watcher = PrefixWatcher(
                store=one,
                prefix="servers/",
                listener=WorkerRegistry(log=quiet_log()),
                log=quiet_log(),
                on_answer=lambda _sent_s: answers_s.append(asyncio.get_running_loop().time()),
            )
            watcher_task = asyncio.create_task(watcher.run())
            await asyncio.sleep(5.0)
            self.assertGreater(len(answers_s), 2)
            one.faults.is_silent = True
            await asyncio.sleep(0.1)
            before = len(answers_s)
            await asyncio.sleep(10.0)
            self.assertEqual(before, len(answers_s))
            one.faults.is_silent = False
            await asyncio.sleep(2.5)
            self.assertGreater(len(answers_s), before)
            watcher_task.cancel()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
