"""Tests of decisions in a burst: hundreds of tasks at once on pools of a hundred workers."""

import asyncio
import random
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

from parameterized import parameterized

from shallotworks.jobs import Step
from shallotworks.scheduling import DecisionEngine, OrderDispatcher, StartOrder, StopOrder, Worker
from shallotworks.scheduling._decisions import MAX_STARTS_PER_DECISION, Decision
from shallotworks.scheduling._placement import Candidates, Placement
from tests.scheduling_fakes import TOKEN, SchedulingHarness, job, step, view
from tests.scheduling_simulation import Instance, SchedulingSimulation
from tests.virtual_clock import run_scenario


def make_pool(workers: int) -> SchedulingHarness:
    """Return a harness with workers of 64 cores in racks of eight."""
    return SchedulingHarness(
        *(
            view(f"w{number:03}", cpu_millicores=64_000, memory_mb=131_072, rack=f"r{number // 8}")
            for number in range(workers)
        )
    )


class StartLimitTests(unittest.TestCase):
    def test_a_decision_starts_a_bounded_number_of_tasks(self) -> None:
        """Guards against one long decision that delays lease renewal and the pool's demand."""
        # Hundreds of tasks become startable at once. If all their orders were made in one decision,
        # the service would lose its lease or report its demand seconds late.
        harness = make_pool(100)
        for number in range(40):
            harness.add_job(job(f"{number:016x}", step(8)))
        sizes = []
        for _ in range(6):
            sizes.append(len(harness.start_orders()))
            self.assertEqual(
                sizes[-1] >= MAX_STARTS_PER_DECISION,
                harness.decision_engine.has_reached_start_limit,
            )
        self.assertEqual([64, 64, 64, 64, 64, 0], sizes)

    def test_a_gang_is_not_split(self) -> None:
        """Guards against a partial gang that occupies room while its other members never start."""
        harness = make_pool(40)
        harness.add_job(job("0" * 16, step(MAX_STARTS_PER_DECISION - 1)))
        harness.add_job(job("1" * 16, step(30, is_gang=True, estimated_s=9.0)))
        self.assertEqual(MAX_STARTS_PER_DECISION - 1 + 30, len(harness.start_orders()))

    def test_stops_precede_starts(self) -> None:
        """Guards against a cancelled job that keeps running as its stops wait behind starts."""
        harness = make_pool(100)
        harness.add_job(job("f" * 16, step(4)))
        for order in harness.start_orders():
            run = order.run
            harness.scheduler_state.request_stop(run, "cancelled")
            run.enter(run.phase.RUNNING, harness.now_s)
        for number in range(40):
            harness.add_job(job(f"{number:016x}", step(8)))
        decisions = harness.decide()
        self.assertTrue(all(isinstance(one, StopOrder) for one in decisions[:4]))
        self.assertEqual(
            MAX_STARTS_PER_DECISION, sum(isinstance(one, StartOrder) for one in decisions)
        )


class CandidatesTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("plain", step(20, cpu_millicores=9_000, memory_mb=17_000)),
            ("apart", step(20, most_per_worker=2)),
            ("near its data", step(20, near_rack="r1", cpu_millicores=9_000)),
            ("lasting", step(20, is_lasting=True, cpu_millicores=2_000)),
            ("lasting with a target", step(20, is_lasting=True, target_s=0.1)),
        ]
    )
    def test_incremental_placement_equals_full_evaluation(self, _: str, wanted: Step) -> None:
        """Guards against outdated costs that place a task elsewhere than a full evaluation."""
        for seed in range(20):
            incremental = self._place(wanted, seed, is_incremental=True)
            self.assertEqual(
                self._place(wanted, seed, is_incremental=False), incremental, f"seed {seed}"
            )

    def _place(self, wanted: Step, seed: int, *, is_incremental: bool) -> list[str]:
        rng = random.Random(seed)
        harness = make_pool(24)
        for number in range(30):
            size = rng.randrange(1_000, 20_000)
            harness.add_job(job(f"{number:016x}", step(rng.randint(1, 4), cpu_millicores=size)))
        while harness.start_orders():
            pass
        harness.add_job(job("f" * 16, wanted))
        entry = harness.scheduler_state.tracked_jobs["f" * 16].steps[(0, 0)]
        placement = Placement.of(entry, now_s=harness.now_s, wall_s=1_000_000.0)
        workers = list(harness.scheduler_state.workers.values())
        candidates = Candidates(placement=placement, workers=workers)
        chosen: list[str] = []
        for index in range(wanted.count):
            avoid = frozenset({rng.choice(workers).worker_id} if rng.random() < 0.2 else ())
            worker = self._next(placement, candidates, workers, avoid, is_incremental)
            if worker is None:
                break
            chosen.append(worker.worker_id)
            run_id = TOKEN * 1_000_000 + 10_000 + index
            harness.scheduler_state.new_run(entry, index, worker, run_id, harness.now_s)
            candidates.note_placed(worker)
        return chosen

    @staticmethod
    def _next(
        placement: Placement,
        candidates: Candidates,
        workers: list[Worker],
        avoid: frozenset[str],
        is_incremental: bool,
    ) -> Worker | None:
        if is_incremental:
            return candidates.best(avoid=avoid)
        return placement.choose(workers, avoid=avoid)


class RoomTests(unittest.TestCase):
    def test_no_task_that_fits_is_left_waiting(self) -> None:
        """Guards against skipping a step without evaluating each worker although one has room."""
        for seed in range(30):
            rng = random.Random(seed)
            harness = make_pool(6)
            for number in range(60):
                wanted = step(
                    rng.randint(1, 6),
                    cpu_millicores=rng.randrange(500, 40_000),
                    memory_mb=rng.randrange(100, 60_000),
                    is_filler=rng.random() < 0.2,
                )
                harness.add_job(job(f"{number:016x}", wanted))
            while harness.start_orders():
                pass
            workers = harness.scheduler_state.workers.values()
            for entry in harness.scheduler_state.open_steps():
                self.assertFalse(any(one.fits(entry.step) for one in workers), f"seed {seed}")


class PauseTests(unittest.TestCase):
    def test_a_paused_scheduler_with_startable_tasks_is_idle(self) -> None:
        """Guards against a busy loop in a store outage after a decision reached its start limit."""
        # After a decision at its start limit the next one follows at once. A suspended scheduler
        # decides nothing, so it must not ask again without end and use all of its processor.

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=4, instances=1)
            (instance,) = simulation.instances
            instance.start()
            await asyncio.sleep(0.5)
            service_scheduler = instance.service_schedulers[-1]
            instance.store.faults.is_down = True
            service_scheduler._lease._sent_s -= 60.0
            self.assertFalse(service_scheduler._lease.is_valid)
            service_scheduler.decision_engine._started = MAX_STARTS_PER_DECISION
            plain, waits = OrderDispatcher.wait, 0

            async def counted(order_dispatcher: OrderDispatcher, longest_s: float) -> None:
                nonlocal waits
                waits += 1
                await plain(order_dispatcher, longest_s)

            with mock.patch.object(OrderDispatcher, "wait", counted):
                await asyncio.sleep(0.7)
            self.assertGreaterEqual(waits, 2)
            await instance.kill()

        # A real clock is needed: a virtual one never advances while a loop runs without waiting.
        asyncio.run(scenario())

    def test_costly_decisions_use_a_bounded_share_of_the_process(self) -> None:
        """Guards against decisions that use the whole process if events come every millisecond."""
        # A decision over thousands of waiting tasks takes 20 ms, and each answered order requested
        # another decision.
        cost_s = 0.02
        spent_s = 0.0
        plain = DecisionEngine.decide

        def costly(self: DecisionEngine, **moment: Any) -> Iterator[Decision]:
            nonlocal spent_s
            spent_s += cost_s
            return plain(self, **moment)

        def clock() -> float:
            return asyncio.get_running_loop().time() + spent_s

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=2, instances=1)
            (instance,) = simulation.instances
            instance.start()
            await asyncio.sleep(1.0)
            service_scheduler = instance.service_schedulers[-1]
            before_s = spent_s
            for _ in range(1000):
                service_scheduler._order_dispatcher.wake()
                await asyncio.sleep(0.001)
            # One second passed outside the decisions, which may use at most half as much time.
            self.assertLessEqual(round(spent_s - before_s, 6), 0.5 + cost_s)
            self.assertGreaterEqual(spent_s - before_s, 0.4)
            await instance.kill()

        with (
            mock.patch.object(DecisionEngine, "decide", costly),
            mock.patch.object(Instance, "now_s", staticmethod(clock)),
        ):
            run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
