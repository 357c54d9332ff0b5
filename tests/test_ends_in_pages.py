"""Tests of workers that have more ends to report than one answer to a poll lists."""

import asyncio
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import TaskName
from shallotworks.platform._workers import _decode_report
from shallotworks.scheduling import EndedTask, EndKind, RunningTask, StopOrder, WorkerReport
from shallotworks.standins import TaskWorker, TaskWorkers
from tests.scheduling_fakes import TOKEN, WALL_S, SchedulingHarness, job, step, view
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

FINISH_S = 14.0
"""Time from the end of the traffic until every job must have ended. Source: the users' rules."""
TASK_MILLICORES = 50
BIG_WORKER_MILLICORES = 64_000
BIG_WORKER_MEMORY_MB = 256_000


class PagedWorkers(TaskWorkers):
    """Workers that also check an end for starts between it and its acknowledgement.

    Args:
        rng: Draws durations of runs, clock offsets and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self._starts_after_end: dict[EndedTask, list[float]] = {}
        self._unacknowledged: dict[TaskName, list[EndedTask]] = {}

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        """Note a start of a task that is done on a worker whose lease has not lapsed since."""
        super().check_start(worker, name)
        now_s = asyncio.get_running_loop().time()
        for end in self._unacknowledged.get(name, ()):
            if any(end in other._ended and other.holds_lease for other in self._alive()):
                self._starts_after_end.setdefault(end, []).append(now_s)

    def _alive(self) -> list[TaskWorker]:
        return [one for one in self.workers.values() if one.is_alive]

    def note_end(self, end: EndedTask) -> None:
        """Record the end of a run."""
        super().note_end(end)
        if end.kind is EndKind.DONE:
            self._unacknowledged.setdefault(end.name, []).append(end)

    def note_acknowledged(self, end: EndedTask) -> None:
        """Record that an end was acknowledged, and a violation if its task has started since."""
        super().note_acknowledged(end)
        for at_s in self._starts_after_end.pop(end, ()):
            self.violations.append(f"{at_s:.3f} {end.name} starts after an end noted later")
        if end in self._unacknowledged.get(end.name, ()):
            self._unacknowledged[end.name].remove(end)


class PagedSimulation(SchedulingSimulation):
    """A simulation of large workers that run hundreds of small tasks."""

    def __init__(self, *, seed: int, workers: int = 3, ends_per_answer: int = 500) -> None:
        super().__init__(seed=seed, workers=0, fleet=PagedWorkers)
        self.fleet.ends_per_answer = ends_per_answer
        for number in range(workers):
            self.fleet.add(
                view(
                    f"w{number}",
                    service=SERVICE,
                    cpu_millicores=BIG_WORKER_MILLICORES,
                    memory_mb=BIG_WORKER_MEMORY_MB,
                )
            )
        for instance in self.instances:
            instance.start()

    async def hand_in(self, job_id: str, tasks: int, work_s: float) -> None:
        """Submit a job of small tasks."""
        self.fleet.cpu_millicores[job_id] = TASK_MILLICORES
        self.fleet.work_s[job_id] = work_s
        small = step(tasks, cpu_millicores=TASK_MILLICORES, memory_mb=64, estimated_s=work_s)
        await self.submit(job_id, small)

    async def all_started(self, tasks: int) -> None:
        """Wait until a number of tasks has started."""
        while len(self.fleet.started_tasks) < tasks:
            await asyncio.sleep(0.02)


class TakeoverTests(unittest.TestCase):
    @parameterized.expand(
        [("one_page", 300), ("a_full_page", 500), ("two_pages", 900), ("three_pages", 1_200)]
    )
    def test_a_successor_reads_all_ends_before_it_starts_tasks(
        self, _name: str, tasks: int
    ) -> None:
        """Guards against finished tasks that start again, since their ends were on a later page."""

        async def scenario() -> None:
            simulation = PagedSimulation(seed=1, workers=1)
            await asyncio.sleep(2.0)
            await simulation.hand_in("j", tasks, 0.8)
            await simulation.all_started(tasks)
            scheduler = simulation.scheduler()
            assert scheduler is not None
            await simulation.replace(scheduler)
            await asyncio.sleep(FINISH_S)
            await simulation.kill()
            self.assertEqual([], simulation.violations())
            self.assertEqual(tasks, simulation.fleet.started)

        run_scenario(scenario())

    def test_a_store_outage_between_pages(self) -> None:
        """Guards against a second start after the recovery time, while a lease is extended."""

        async def scenario() -> None:
            simulation = PagedSimulation(seed=1, workers=1)
            await asyncio.sleep(2.0)
            await simulation.hand_in("long", 1, 40.0)
            await simulation.hand_in("j", 900, 0.8)
            await simulation.all_started(901)
            scheduler = simulation.scheduler()
            assert scheduler is not None
            await simulation.replace(scheduler)
            while not any(end for instance in simulation.instances for end in _prepared(instance)):
                await asyncio.sleep(0.01)
            for instance in simulation.instances:
                instance.store.faults.is_down = True
            simulation.store.are_leases_paused = True
            await asyncio.sleep(12.0)
            for instance in simulation.instances:
                instance.store.faults.is_down = False
            simulation.store.are_leases_paused = False
            await asyncio.sleep(FINISH_S + 40.0)
            await simulation.kill()
            self.assertEqual([], simulation.violations())

        run_scenario(scenario())

    def test_a_worker_that_starts_again_between_pages(self) -> None:
        """Guards against lost tasks whose ends were on a page that nobody can read any more."""

        async def scenario() -> None:
            simulation = PagedSimulation(seed=1, workers=2)
            await asyncio.sleep(2.0)
            await simulation.hand_in("j", 1_200, 0.8)
            await simulation.all_started(1_200)
            scheduler = simulation.scheduler()
            assert scheduler is not None
            await simulation.replace(scheduler)
            while not simulation.fleet.acknowledged_tasks:
                await asyncio.sleep(0.01)
            for worker_id in list(simulation.fleet.workers):
                simulation.fleet.restart(worker_id)
            await asyncio.sleep(FINISH_S)
            await simulation.kill()
            self.assertEqual([], simulation.violations())

        run_scenario(scenario())


def _prepared(instance: object) -> list[object]:
    schedulers = instance.service_schedulers  # type: ignore[attr-defined]
    return [one for one in schedulers if one.is_prepared.is_set()]


class DrawnHistoryTests(unittest.TestCase):
    @parameterized.expand([(seed,) for seed in range(1, 9)])
    def test_pages_through_faults(self, seed: int) -> None:
        """Guards against second starts and lost tasks where all lists of ends are cut off."""

        async def scenario() -> None:
            rng = random.Random(seed)
            simulation = PagedSimulation(seed=seed, ends_per_answer=rng.choice((1, 3, 20)))
            await asyncio.sleep(2.0)
            for number in range(8):
                await simulation.hand_in(f"{number}", rng.randint(5, 60), rng.uniform(0.5, 3.0))
                await asyncio.sleep(rng.uniform(0.0, 2.0))
                await _disturb(simulation, rng)
            await asyncio.sleep(FINISH_S * 2)
            await simulation.kill()
            self.assertEqual([], simulation.violations())

        run_scenario(scenario())


async def _disturb(simulation: PagedSimulation, rng: random.Random) -> None:
    fault = rng.choice(("none", "kill", "kill", "restart", "store", "lost"))
    scheduler = simulation.scheduler()
    if fault == "kill" and scheduler is not None:
        await simulation.replace(scheduler)
    elif fault == "restart":
        simulation.fleet.restart(rng.choice(list(simulation.fleet.workers)))
    elif fault == "store":
        simulation.store.are_leases_paused = rng.random() < 0.5
        for instance in simulation.instances:
            instance.store.faults.is_down = True
        await asyncio.sleep(rng.uniform(0.5, 8.0))
        for instance in simulation.instances:
            instance.store.faults.is_down = False
        simulation.store.are_leases_paused = False
    elif fault == "lost":
        for instance in simulation.instances:
            instance.orders.faults.lost_ratio = 0.2


class SameEpochTests(unittest.TestCase):
    """Runs of the present epoch that are in neither list of an answer that leaves out ends."""

    def setUp(self) -> None:
        self.harness = SchedulingHarness(view("a"))
        self.harness.add_job(job("j", step(2)))
        self.first, self.second = (order.run for order in self.harness.start_orders())
        self.worker = self.harness.worker("a")
        self._confirm(self.first, self.second)

    def _confirm(self, *runs: object) -> None:
        rows = tuple(
            RunningTask(name=run.name, run_id=run.run_id)  # type: ignore[attr-defined]
            for run in runs
        )
        self.harness.report("a", running=rows, sent_s=self.harness.now_s + 0.1)

    def _report(self, *, ended: tuple[EndedTask, ...], has_more_ends: bool) -> None:
        self.harness.now_s += 1.5
        self.harness.scheduler_state.apply_report(
            self.worker,
            WorkerReport(clock_ms=1, running=(), ended=ended, has_more_ends=has_more_ends),
            order_token=TOKEN,
            sent_s=self.harness.now_s,
            now_s=self.harness.now_s,
            wall_s=WALL_S,
        )

    def _end(self) -> EndedTask:
        return EndedTask(
            number=1, name=self.first.name, run_id=self.first.run_id, kind=EndKind.DONE
        )

    def test_a_run_in_neither_list_is_not_stopped(self) -> None:
        """Guards against the stop of a finished task, and against avoiding its worker."""
        for _ in range(4):
            self._report(ended=(self._end(),), has_more_ends=True)
            stops = [one for one in self.harness.decide() if isinstance(one, StopOrder)]
            self.assertEqual([], stops)
        self.assertIn((self.second.name, self.second.run_id), self.worker.runs)
        self.assertEqual(0.0, self.worker.avoid_until_s)

    def test_a_run_that_a_whole_list_leaves_out_is_stopped(self) -> None:
        """Guards against a task that occupies room for good although its worker has lost it."""
        for _ in range(2):
            self._report(ended=(self._end(),), has_more_ends=False)
        stops = [one for one in self.harness.decide() if isinstance(one, StopOrder)]
        self.assertEqual([self.second], [one.run for one in stops])


class RecoveryTests(unittest.TestCase):
    def test_a_lease_that_is_extended_between_pages_extends_the_recovery(self) -> None:
        """Guards against a second start of a task that is done, whose end still counts."""
        harness = SchedulingHarness(view("a"), view("b"))
        state, worker = harness.scheduler_state, harness.worker("a")
        harness.add_job(job("j", step(2)), is_inherited=True)
        state.pending_recovery["a"] = harness.now_s + 7.0
        for number, lease_ends_s in enumerate((20.0, 30.0)):
            worker.lease_ends_s = harness.now_s + lease_ends_s
            end = EndedTask(
                number=number + 1, name=TaskName("gone", 0, 0, number), run_id=1, kind=EndKind.DONE
            )
            state.apply_report(
                worker,
                WorkerReport(clock_ms=1, running=(), ended=(end,), has_more_ends=True),
                order_token=TOKEN,
                sent_s=harness.now_s,
                now_s=harness.now_s,
                wall_s=WALL_S,
            )
            harness.now_s += 10.0
            self.assertEqual([], harness.start_orders())
        harness.now_s += 20.1
        self.assertEqual(2, len(harness.start_orders()))


class DecodingTests(unittest.TestCase):
    @parameterized.expand([(0, False), (499, False), (500, True)])
    def test_a_full_page_may_leave_out_ends(self, rows: int, has_more_ends: bool) -> None:
        """Guards against taking a page of the protocol's size for the whole list."""
        ended = [
            [number, f"{'0' * 16}.0.0.{number}", 1, "done", ""] for number in range(1, rows + 1)
        ]
        report = _decode_report({"clockMs": 5, "running": [], "ended": ended})
        self.assertIs(has_more_ends, report.has_more_ends)


if __name__ == "__main__":
    unittest.main()
