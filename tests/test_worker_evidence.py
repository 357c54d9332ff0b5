"""Tests of the evidence on slow workers, and of what follows for placement."""

import json
import unittest
from unittest import mock

from parameterized import parameterized

from shallotworks.jobs import Step, TaskName
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.scheduling import EndKind, RunningTask, RunPhase, StartOrder
from shallotworks.scheduling.workers import PaceEvidence, WorkerStates
from tests.scheduling_fakes import SchedulingHarness, job, step, view
from tests.uneven_load import UnevenLoad

SPREADS = [("0.2", 0.2), ("0.5", 0.5), ("0.9", 0.9)]
SLOW_RATE = 1 / 7


class PacedPool:
    """Workers that advance each of their tasks at a rate of their own.

    Args:
        rates: Progress per second by worker id, as a ratio of what the estimate expects.
        wanted: The step of the only job.
    """

    def __init__(self, rates: dict[str, float], wanted: Step) -> None:
        self.rates = rates
        views = [view(name, cpu_millicores=64_000, memory_mb=64_000) for name in rates]
        self.harness = SchedulingHarness(*views)
        self.lines: list[bytes] = []
        self.log = StructuredLog(process="test", write=self._record)
        self.harness.scheduler_state.evidence._log = self.log
        self.wanted = wanted
        self._began_s: dict[tuple[TaskName, int], float] = {}

    def _record(self, data: bytes) -> int:
        self.lines.append(data)
        return len(data)

    def occupy(self, tasks: int = 4) -> None:
        """Start tasks of one step on each worker."""
        harness = self.harness
        harness.add_job(job("j", self.wanted))
        entry = harness.scheduler_state.tracked_jobs["j"].steps[(0, 0)]
        for worker_id in self.rates:
            for index in entry.waiting[:tasks]:
                worker = harness.worker(worker_id)
                run_id = harness.scheduler_state.next_run_id()
                run = harness.scheduler_state.new_run(entry, index, worker, run_id, harness.now_s)
                run.enter(RunPhase.RUNNING, harness.now_s)
                self._began_s[(run.name, run_id)] = harness.now_s

    def advance(self, for_s: float) -> None:
        """Let all workers report twice a second, and judge them."""
        for _ in range(int(for_s * 2)):
            self.harness.now_s += 0.5
            for worker_id in self.rates:
                self.harness.report(worker_id, running=self._rows(worker_id))
            self.harness.decide()

    def _rows(self, worker_id: str) -> tuple[RunningTask, ...]:
        worker = self.harness.worker(worker_id)
        percent_per_s = 100 * self.rates[worker_id] / max(0.1, self.wanted.estimated_s)
        return tuple(
            RunningTask(
                name=run.name,
                run_id=run.run_id,
                percent=int(percent_per_s * self._age_s(key)),
            )
            for key, run in worker.runs.items()
        )

    def _age_s(self, key: tuple[TaskName, int]) -> float:
        return self.harness.now_s - self._began_s.setdefault(key, self.harness.now_s)

    def slow(self) -> set[str]:
        """Return the ids of the workers that count as slow."""
        workers = self.harness.scheduler_state.workers.values()
        return {worker.worker_id for worker in workers if worker.is_slow}

    def events(self) -> list[tuple[str, str]]:
        """Return the events logged so far, each with its worker."""
        self.log.flush()
        records = [json.loads(line) for line in b"".join(self.lines).splitlines()]
        return [(record["event"], record["worker"]) for record in records]


def pool_of(sound: int, slow: int, *, wanted: Step | None = None) -> PacedPool:
    """Return a pool whose workers run four tasks each, the slow ones at a seventh of the pace."""
    rates = {f"a{n}": 1.0 for n in range(sound)} | {f"z{n}": SLOW_RATE for n in range(slow)}
    pool = PacedPool(rates, wanted or step(4 * len(rates), estimated_s=10.0))
    pool.occupy()
    return pool


def mark_slow(harness: SchedulingHarness, worker_id: str) -> None:
    """Let a worker count as slow in decisions of the present moment."""
    harness.worker(worker_id).is_slow = True
    harness.scheduler_state.evidence._reviewed_s = harness.now_s


class PaceTests(unittest.TestCase):
    def test_a_slow_worker_is_found_and_logged_once(self) -> None:
        """Guards against a worker that slows all its tasks down and goes on getting more."""
        pool = pool_of(5, 1)
        pool.advance(3.0)
        self.assertEqual({"z0"}, pool.slow())
        self.assertEqual([("worker-slow", "z0")], pool.events())

    def test_a_worker_recovers_with_its_pace(self) -> None:
        """Guards against a worker that is placed last for good after a fault of seconds."""
        pool = pool_of(5, 1, wanted=step(24, estimated_s=30.0))
        pool.advance(4.0)
        self.assertEqual({"z0"}, pool.slow())
        pool._began_s = dict.fromkeys(pool._began_s, pool.harness.now_s - 4.0)
        pool.rates["z0"] = 1.0
        pool.advance(8.0)
        self.assertEqual(set(), pool.slow())
        self.assertEqual([("worker-slow", "z0"), ("worker-recovered", "z0")], pool.events())

    def test_evidence_fades_after_the_last_report(self) -> None:
        """Guards against an old verdict on a worker that nothing is known of any more."""
        pool = pool_of(5, 1)
        pool.advance(3.0)
        del pool.rates["z0"]
        pool.advance(9.0)
        self.assertEqual(set(), pool.slow())

    def test_evidence_belongs_to_an_incarnation(self) -> None:
        """Guards against a worker that has started again and is blamed for its earlier start."""
        pool = pool_of(5, 1)
        pool.advance(3.0)
        pool.harness.restart("z0", view("z0", cpu_millicores=64_000, born_ms=2))
        del pool.rates["z0"]
        pool.advance(1.0)
        self.assertEqual(set(), pool.slow())

    @parameterized.expand(
        [
            ("a third at most", 4, 5, 3),
            ("half", 3, 3, 2),
            ("all", 0, 9, 0),
            ("two workers", 1, 1, 0),
        ]
    )
    def test_at_most_a_third_of_a_pool_is_slow(
        self, _: str, sound: int, slow: int, most: int
    ) -> None:
        """Guards against a pool whose evidence turns against itself, as after a change of load."""
        pool = pool_of(sound, slow)
        pool.advance(3.0)
        self.assertLessEqual(len(pool.slow()), most)
        self.assertLessEqual({worker[0] for worker in pool.slow()}, {"z"})

    @parameterized.expand(
        [
            ("lasting", {"is_lasting": True}),
            ("filler", {"is_filler": True}),
            ("gang", {"is_gang": True}),
            ("spread over racks", {"is_one_rack": True}),
            ("away from its data", {"near_rack": "r9"}),
            ("without an estimate", {"estimated_s": 0.0}),
        ]
    )
    def test_tasks_that_are_slow_for_another_reason_say_nothing(
        self, _: str, changes: dict[str, object]
    ) -> None:
        """Guards against evidence from tasks whose pace does not depend on their worker alone."""
        pool = pool_of(5, 1, wanted=step(24, **({"estimated_s": 10.0} | changes)))
        pool.advance(3.0)
        self.assertEqual(set(), pool.slow())

    def test_without_progress_in_reports_nothing_is_known(self) -> None:
        """Guards against workers without reports of progress that are all taken for slow."""
        pool = pool_of(5, 1)
        pool.rates["z0"] = 0.0
        pool.advance(4.0)
        self.assertEqual(set(), pool.slow())

    def test_one_wrong_estimate_alone_proves_nothing(self) -> None:
        """Guards against blaming a worker for a job whose tasks are longer than stated."""
        pool = PacedPool({f"a{n}": 1.0 for n in range(6)}, step(24, estimated_s=10.0))
        pool.occupy()
        harness = pool.harness
        harness.add_job(job("k", step(8, estimated_s=4.0)))
        entry = harness.scheduler_state.tracked_jobs["k"].steps[(0, 0)]
        del pool.rates["a0"]
        for index in range(8):
            run_id = harness.scheduler_state.next_run_id()
            worker = harness.worker("a0")
            run = harness.scheduler_state.new_run(entry, index, worker, run_id, harness.now_s)
            run.enter(RunPhase.RUNNING, harness.now_s)
        for seconds in range(1, 5):
            rows = tuple(
                RunningTask(name=run.name, run_id=run.run_id, percent=4 * seconds)
                for run in harness.worker("a0").runs.values()
                if run.name.job_id == "k"
            )
            harness.report("a0", running=rows)
            pool.advance(1.0)
        self.assertEqual(set(), pool.slow())


class PlacementTests(unittest.TestCase):
    def test_a_slow_worker_comes_last_and_is_not_excluded(self) -> None:
        """Guards against tasks that wait although a slow worker has room."""
        harness = SchedulingHarness(*(view(name, cpu_millicores=2000) for name in ("a", "b", "c")))
        mark_slow(harness, "a")
        harness.add_job(job("j", step(6)))
        orders = [one for one in harness.decide() if isinstance(one, StartOrder)]
        self.assertEqual(["a", "a"], [one.run.worker_id for one in orders[-2:]])
        self.assertEqual(6, len(orders))

    def test_a_worker_on_which_tasks_fail_comes_after_a_slow_one(self) -> None:
        """Guards against a second order of preference among workers with evidence against them."""
        harness = SchedulingHarness(view("a"), view("b"))
        mark_slow(harness, "a")
        harness.worker("b").avoid_until_s = harness.now_s + 5.0
        harness.add_job(job("j", step(1)))
        (order,) = harness.start_orders()
        self.assertEqual("a", order.run.worker_id)

    @parameterized.expand(SPREADS)
    def test_placement_is_as_before_where_no_worker_is_slow(self, _: str, spread: float) -> None:
        """Guards against evidence that moves tasks because of wrong estimates alone."""
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                judged = UnevenLoad(seed=seed, estimate_spread=spread)
                judged.run(12.0)
                with mock.patch.object(PaceEvidence, "review", lambda _evidence, _now_s: None):
                    plain = UnevenLoad(seed=seed, estimate_spread=spread)
                    plain.run(12.0)
                self.assertEqual(plain.placements, judged.placements)


class SlowSeventhTests(unittest.TestCase):
    """14 in 100 workers seven times slower, jobs of eight tasks, at 0.7 of the pool's room."""

    @parameterized.expand(SPREADS)
    def test_the_slow_workers_are_found_and_no_other(self, _: str, spread: float) -> None:
        """Guards against stated lengths that hide slow workers, or make sound ones look slow."""
        for seed in (1, 3, 4):
            with self.subTest(seed=seed):
                load = UnevenLoad(seed=seed, slow=4, estimate_spread=spread)
                load.run(20.0)
                self.assertEqual({"w00", "w01", "w02", "w03"}, load.found_slow)

    @parameterized.expand([(1,), (2,), (3,)])
    def test_copies_bound_the_slowest_jobs(self, seed: int) -> None:
        """Guards against jobs that take as long as their one task on a slow worker."""
        plain = UnevenLoad(seed=seed, is_speculative=True)
        plain.run(60.0)
        load = UnevenLoad(seed=seed, slow=4, is_speculative=True)
        load.run(60.0)
        self.assertLessEqual(load.quantile_s(0.99), 1.5 * plain.quantile_s(0.99))


class StateTests(unittest.TestCase):
    def test_the_time_of_workers_is_counted_by_state(self) -> None:
        """Guards against a metric that hides why workers get nothing."""
        harness = SchedulingHarness(*(view(name) for name in "abcd"))
        mark_slow(harness, "a")
        harness.worker("b").avoid_until_s = harness.now_s + 60.0
        harness.worker("b").is_slow = True
        metrics = Metrics()
        states = WorkerStates(
            service="antenna", workers=harness.scheduler_state.workers, metrics=metrics
        )
        states.report(harness.now_s)
        states.report(harness.now_s + 1.5)
        self.assertEqual(
            {
                "scheduler.worker_ms.antenna.slow": 1500,
                "scheduler.worker_ms.antenna.suspected": 1500,
                "scheduler.worker_ms.antenna.normal": 3000,
            },
            dict(metrics.counters()),
        )


class EndTests(unittest.TestCase):
    def test_ended_runs_count_until_they_fade(self) -> None:
        """Guards against a slow worker that is forgotten as soon as its tasks have ended."""
        pool = pool_of(5, 1, wanted=step(24, estimated_s=1.0))
        pool.advance(1.0)
        harness = pool.harness
        harness.now_s += 6.0
        for worker_id in pool.rates:
            runs = list(harness.worker(worker_id).runs.values())
            if worker_id == "z0":
                ended = tuple((run.name, run.run_id, EndKind.DONE) for run in runs)
                harness.report(worker_id, ended=ended)
        harness.decide()
        self.assertEqual({"z0"}, pool.slow())


if __name__ == "__main__":
    unittest.main()
