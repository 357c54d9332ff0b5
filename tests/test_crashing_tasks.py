"""Tests of tasks that crash the workers they start on, and of the tasks that run beside them."""

import asyncio
import json
import unittest
from dataclasses import replace
from unittest.mock import patch

from parameterized import parameterized

from shallotworks.jobs import JobState, TaskName
from shallotworks.logs import StructuredLog
from shallotworks.scheduling import EndKind, OrderOutcome, OrderStatus, StartOrder, WorkerView
from shallotworks.standins import TaskWorker
from tests.returning_workers import ReturningWorkers
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, step, view
from tests.scheduling_simulation import SchedulingSimulation
from tests.virtual_clock import run_scenario

CRASH_MODES = [
    ("refused", False, False),
    ("silent", True, False),
    ("refused_and_back_under_its_id", False, True),
    ("silent_and_back_under_its_id", True, True),
]
"""Name, whether crashed workers are silent, and whether they start again under their ids."""
JOB_ID = "00000000000000aa"
CRASHING_TASK = TaskName(JOB_ID, 0, 0, 0)
REFUSED_STARTS = 3
LONG_TASK_S = 60.0
LATE_CRASH_LOOP_TIMEOUT_S = 55.0
"""Time for five crashes, each up to 4 s after the start and detected within 5.5 s."""
CRASH_LOOP_TIMEOUT_S = 16.0
"""Time for three crashes, each detected within 3.6 s, and a takeover."""


class GangWorkers(ReturningWorkers):
    """Workers on which the runs of a gang end with the worker of one of its members."""

    def crash(self, worker: TaskWorker) -> None:
        """Crash a worker, and end the other members of the gangs that it ran."""
        names = worker.names()
        super().crash(worker)
        for other in self.workers.values():
            for run in list(other._runs.values()):
                if any(run.name[:3] == name[:3] for name in names):
                    other._end_run(run, EndKind.BROKEN)
            other.wake_polls()


def simulation(
    seed: int,
    *,
    workers: int = 6,
    is_silent: bool = False,
    keeps_ids: bool = False,
    fleet: type[ReturningWorkers] = ReturningWorkers,
) -> SchedulingSimulation:
    """Return a running simulation in which the first task of one job crashes its workers."""
    one = SchedulingSimulation(seed=seed, workers=workers, fleet=fleet)
    one.fleet.is_silent = is_silent
    one.fleet.keeps_ids = keeps_ids
    one.fleet.crashing.add(CRASHING_TASK)
    for instance in one.instances:
        instance.start()
    return one


class LostRunLogTests(unittest.TestCase):
    def test_each_run_that_is_lost_with_its_worker_is_logged(self) -> None:
        """Guards against logs that don't say which runs were lost, or how old they were."""
        lines: list[bytes] = []

        def record_line(data: bytes) -> int:
            lines.append(data)
            return len(data)

        harness = SchedulingHarness(view("a"))
        harness.scheduler_state._log = log = StructuredLog(process="test", write=record_line)
        harness.add_job(job("j", step(1)))
        (start,) = harness.start_orders()
        harness.now_s += 0.25
        harness.report("a")
        harness.now_s += 3.0
        harness.scheduler_state.note_replaced("a", harness.now_s, WALL_S)
        log.flush()
        records = [json.loads(line) for line in b"".join(lines).splitlines()]
        lost = [record for record in records if record["event"] == "run-lost"]
        self.assertEqual(
            [("j", start.run.run_id, "a", 0.25, 3.0)],
            [(one["id"], one["run"], one["worker"], one["ran_s"], one["silent_s"]) for one in lost],
        )


class CrashingTaskTests(unittest.TestCase):
    @parameterized.expand(CRASH_MODES)
    def test_a_task_that_crashes_its_workers_fails_its_job(
        self, _how: str, is_silent: bool, keeps_ids: bool
    ) -> None:
        """Guards against restarting a task without limit, each time losing a worker's runs."""

        async def scenario() -> None:
            one = simulation(seed=1, is_silent=is_silent, keeps_ids=keeps_ids)
            await asyncio.sleep(1.0)
            await one.submit(JOB_ID, step(2, estimated_s=0.8))
            await asyncio.sleep(CRASH_LOOP_TIMEOUT_S)
            self.assertEqual([], one.fleet.violations)
            self.assertIs(JobState.FAILED, one.state(JOB_ID))
            for instance in one.instances:
                await instance.kill()

        run_scenario(scenario())

    @parameterized.expand(
        [
            (f"{crash_delay_s}_s_{how}".replace(".", "_"), crash_delay_s, is_silent, keeps_ids)
            for crash_delay_s in (0.3, 1.0, 2.0, 4.0)
            for how, is_silent, keeps_ids in CRASH_MODES
        ]
    )
    def test_a_task_that_crashes_its_workers_late_fails_its_job(
        self, _how: str, crash_delay_s: float, is_silent: bool, keeps_ids: bool
    ) -> None:
        """Guards against a sixth start of a task that crashes its workers after some seconds."""

        async def scenario() -> None:
            one = simulation(seed=1, is_silent=is_silent, keeps_ids=keeps_ids)
            one.fleet.work_s[JOB_ID] = LONG_TASK_S
            await asyncio.sleep(1.0)
            await one.submit(JOB_ID, step(2, estimated_s=LONG_TASK_S))
            await asyncio.sleep(LATE_CRASH_LOOP_TIMEOUT_S)
            self.assertEqual([], one.fleet.violations)
            self.assertIs(JobState.FAILED, one.state(JOB_ID))
            for instance in one.instances:
                await instance.kill()

        with patch("shallotworks.standins._crashing_workers.CRASH_DELAY_S", crash_delay_s):
            run_scenario(scenario())

    @parameterized.expand([(how, is_silent) for how, is_silent, keeps_ids in CRASH_MODES[:2]])
    def test_a_gang_that_crashes_its_workers_fails_its_job(
        self, _how: str, is_silent: bool
    ) -> None:
        """Guards against restarting a gang without limit, since its members are on many workers."""

        async def scenario() -> None:
            one = simulation(seed=1, is_silent=is_silent, fleet=GangWorkers)
            one.fleet.work_s[JOB_ID] = LONG_TASK_S
            await asyncio.sleep(1.0)
            await one.submit(
                JOB_ID, step(4, estimated_s=LONG_TASK_S, is_gang=True, cpu_millicores=2000)
            )
            await asyncio.sleep(LATE_CRASH_LOOP_TIMEOUT_S)
            self.assertEqual([], one.fleet.violations)
            self.assertIs(JobState.FAILED, one.state(JOB_ID))
            for instance in one.instances:
                await instance.kill()

        run_scenario(scenario())

    @parameterized.expand(CRASH_MODES)
    def test_the_count_of_crashes_survives_scheduler_failures(
        self, _how: str, is_silent: bool, keeps_ids: bool
    ) -> None:
        """Guards against a successor that restarts the count after a scheduler missed a crash."""

        async def scenario() -> None:
            one = simulation(seed=2, is_silent=is_silent, keeps_ids=keeps_ids)
            await asyncio.sleep(1.0)
            await one.submit(JOB_ID, step(1, estimated_s=0.8))
            for _ in range(6):
                one.fleet.crashed.clear()
                try:
                    async with asyncio.timeout(CRASH_LOOP_TIMEOUT_S):
                        await one.fleet.crashed.wait()
                except TimeoutError:
                    break
                await asyncio.sleep(1.0)
                scheduler = one.scheduler()
                if scheduler is not None:
                    await one.replace(scheduler)
            await asyncio.sleep(CRASH_LOOP_TIMEOUT_S)
            self.assertEqual([], one.fleet.violations)
            self.assertIs(JobState.FAILED, one.state(JOB_ID))
            for instance in one.instances:
                await instance.kill()

        run_scenario(scenario())

    @parameterized.expand(CRASH_MODES)
    def test_tasks_lost_beside_a_crashing_task_complete(
        self, _how: str, is_silent: bool, keeps_ids: bool
    ) -> None:
        """Guards against failing jobs that only shared workers with a task that crashes them."""

        async def scenario() -> None:
            one = simulation(seed=3, workers=8, is_silent=is_silent, keeps_ids=keeps_ids)
            await asyncio.sleep(1.0)
            others = [f"{number:016x}" for number in range(1, 9)]
            await asyncio.gather(
                one.submit(JOB_ID, step(1, estimated_s=0.8)),
                *(one.submit(other, step(3, estimated_s=0.8)) for other in others),
            )
            await asyncio.sleep(CRASH_LOOP_TIMEOUT_S)
            self.assertEqual([], one.fleet.violations)
            self.assertEqual({JobState.COMPLETED}, {one.state(other) for other in others})
            for instance in one.instances:
                await instance.kill()

        run_scenario(scenario())

    def test_starts_refused_by_another_incarnation_are_not_counted_as_crashes(self) -> None:
        """Guards against failing a sound job for starts sent to workers that had already died."""

        async def scenario() -> None:
            one = SchedulingSimulation(seed=4, workers=1, instances=1, fleet=ReturningWorkers)
            orders = one.instances[0].orders
            start, refused = orders.start, []

            async def refusing(worker: WorkerView, order: StartOrder, **times: int) -> OrderOutcome:
                if len(refused) == REFUSED_STARTS:
                    return await start(worker, order, **times)
                refused.append(worker.worker_id)
                one.fleet.workers[worker.worker_id].crash()
                one.fleet.outcomes_when_absent[worker.worker_id] = OrderStatus.GONE
                one.fleet.add(replace(worker, worker_id=f"{worker.worker_id}+"))
                # Meanwhile a poll shows that the worker has ended.
                await asyncio.sleep(0.1)
                return OrderOutcome(status=OrderStatus.GONE)

            orders.start = refusing  # type: ignore[method-assign]
            one.instances[0].start()
            await asyncio.sleep(1.0)
            await one.submit(JOB_ID, step(1, estimated_s=0.8))
            await asyncio.sleep(CRASH_LOOP_TIMEOUT_S)
            self.assertEqual(REFUSED_STARTS, len(refused))
            self.assertIs(JobState.COMPLETED, one.state(JOB_ID))
            await one.instances[0].kill()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
