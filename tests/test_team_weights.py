"""Load tests of the teams' weights, on a manual clock: shares, floods, large jobs and idle room."""

from __future__ import annotations

import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import Job, Team
from shallotworks.scheduling import DecisionEngine, EndKind, StartOrder
from shallotworks.scheduling import _decisions as decisions_module
from shallotworks.scheduling.machines import PoolSizer, SizingLimits
from shallotworks.scheduling.teams import TeamWeights
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, policy, step, view
from tests.team_load import TeamLoad

FLOOD = "team-00"
MAX_WAIT_RATIO = 1.2
MIN_SERVED_RATIO = 0.98
MAX_SHARE_ERROR = 0.05
WEIGHT_PER_USUAL = 1.9
"""Weight of a team as a multiple of the jobs that it usually sends in a second."""


def p99(values: list[float]) -> float:
    """Return the 99th percentile."""
    return sorted(values)[min(len(values) - 1, int(len(values) * 0.99))]


class FloodTests(unittest.TestCase):
    FLOOD_S = 7.0
    DRAIN_S = 25.0

    @parameterized.expand(
        [
            ("equal teams, overload by the flood", 1.5 / (1 + 7 / 20), 1 / 20, True),
            ("a large team floods, overload by the flood", 1.5 / (1 + 7 / 5), 1 / 5, False),
            ("a flood in an overload by all", 1.5, 1 / 20, True),
        ]
    )
    def test_a_flood_beside_nineteen_others(
        self, _name: str, usual_load: float, flood_part: float, wait_is_bounded: bool
    ) -> None:
        """Guards against a flood of one team that makes the others late."""
        calm = self._play(usual_load, flood_part, flood=1)
        flooded = self._play(usual_load, flood_part, flood=8)
        calm_waits = [one.wait_s for one in calm.served.values() if one.job.team != FLOOD]
        waits = [one.wait_s for one in flooded.served.values() if one.job.team != FLOOD]
        self.assertEqual(len(calm_waits), len(waits))
        if wait_is_bounded:
            # Where nobody waits without the flood, a task still has to wait for the end of another.
            self.assertLessEqual(p99(waits), MAX_WAIT_RATIO * p99(calm_waits))
        with self.subTest("served"):
            served, calm_served = self._in_time(flooded), self._in_time(calm)
            self.assertGreaterEqual(served, MIN_SERVED_RATIO * calm_served)
        with self.subTest("the flooder gets all that is left"):
            self.assertEqual([], flooded.idle_while_waiting)

    def _in_time(self, load: TeamLoad) -> int:
        return sum(one.job.team != FLOOD and one.is_in_time for one in load.served.values())

    def _play(self, usual_load: float, flood_part: float, *, flood: float) -> TeamLoad:
        load = TeamLoad()
        total = usual_load * load.capacity_cores / 2
        rates = {f"team-{n:02}": total * (1 - flood_part) / 19 for n in range(1, 20)}
        rates[FLOOD] = total * flood_part
        for name, rate in rates.items():
            load.teams[name] = Team(name=name, weight=rate * WEIGHT_PER_USUAL)
            times = flood if name == FLOOD else 1
            load.send_at_rate(name, rate * times, until_s=self.FLOOD_S, seed=1)
        load.run(self.DRAIN_S)
        return load


class ShareTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("equal jobs", {"a": 1.0, "b": 2.0, "c": 3.0, "d": 4.0}, {}),
            ("equal weights, unequal tasks", {"a": 2.0, "b": 2.0, "c": 2.0}, {"b": 2000}),
            ("unequal weights and tasks", {"a": 6.0, "b": 2.0}, {"a": 2000}),
        ]
    )
    def test_long_run_shares(
        self, _name: str, weights: dict[str, float], millicores: dict[str, int]
    ) -> None:
        """Guards against shares that follow what teams send instead of their weights."""
        load = TeamLoad(*(Team(name=name, weight=weight) for name, weight in weights.items()))
        rng = random.Random(3)
        for name in weights:
            for number in range(480):
                cpu = millicores.get(name, 1000)
                one = step(2, cpu_millicores=cpu, estimated_s=rng.uniform(0.4, 1.6))
                load.send(number * 0.025, name, one)
        load.run(2.0)
        load.used_core_s.clear()
        load.run(12.0)
        used, total = sum(load.used_core_s.values()), sum(weights.values())
        for name, weight in weights.items():
            with self.subTest(name):
                share = load.used_core_s[name] / used
                self.assertAlmostEqual(1.0, share / (weight / total), delta=MAX_SHARE_ERROR)

    def test_the_share_is_of_the_dominant_resource(self) -> None:
        """Guards against a team that fills the memory and counts as small by its processor use."""
        load = TeamLoad(Team(name="memory", weight=30.0), Team(name="processor", weight=30.0))
        for number in range(400):
            load.send(number * 0.01, "memory", step(2, cpu_millicores=100, memory_mb=1_000))
            load.send(number * 0.01, "processor", step(2, memory_mb=10))
        load.run(4.0)
        use = load.harness.scheduler_state.team_use
        memory = use.of("memory").memory_mb / (load.capacity_cores * 1_000)
        processor = use.of("processor").cpu_millicores / (load.capacity_cores * 1_000)
        self.assertAlmostEqual(memory, processor, delta=MAX_SHARE_ERROR)

    def test_one_large_job_beside_many_small_ones(self) -> None:
        """Guards against a team with one large job that starves behind the small ones of others."""
        load = TeamLoad(Team(name="large", weight=1.0), Team(name="small", weight=10.0))
        load.send(1.0, "large", step(400, estimated_s=1.0))
        load.send_at_rate("small", 90.0, until_s=12.0, seed=2)
        load.run(2.0)
        begun_s = next(one for one in load.served.values() if one.job.team == "large").started_s
        self.assertIsNotNone(begun_s)
        load.used_core_s.clear()
        load.run(12.0)
        share = load.used_core_s["large"] / sum(load.used_core_s.values())
        self.assertGreaterEqual(share, (1 - MAX_SHARE_ERROR) / 11)

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_no_room_is_idle_while_any_team_can_use_it(self, seed: int) -> None:
        """Guards against ranks that hold room back."""
        rng = random.Random(seed)
        teams = [Team(name=f"t{n}", weight=rng.choice([0.0, 0.5, 1.0, 4.0])) for n in range(6)]
        load = TeamLoad(*teams, workers=4)
        for number in range(300):
            one = step(rng.randint(1, 4), estimated_s=rng.uniform(0.3, 2.0))
            load.send(number * 0.05, rng.choice(teams).name, one)
        load.run(60.0)
        self.assertEqual([], load.idle_while_waiting)
        self.assertTrue(all(one.done_s is not None for one in load.served.values()))

    def test_short_and_begun_jobs_keep_their_advantage_within_a_team(self) -> None:
        """Guards against ranks that reverse the order of one team's own jobs."""
        load = TeamLoad(Team(name="a", weight=100.0), workers=1)
        for number, seconds in enumerate((5.0, 0.5, 2.0, 1.0)):
            load.add(job(f"{number:016x}", step(1, estimated_s=seconds), team="a"))
        load.weights.refresh(WALL_S)
        steps = sorted(
            load.harness.scheduler_state.open_steps(),
            key=lambda one: load.weights.order(one, WALL_S),
        )
        self.assertEqual([0.5, 1.0, 2.0, 5.0], [one.step.estimated_s for one in steps])


class DemandTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("a flood requests no machines", 2, True, 0),
            ("work within the weight does", 2, False, 9),
            ("a pool without workers still gets one", 0, True, 1),
        ]
    )
    def test_machines_that_a_pool_lacks(
        self, _name: str, workers: int, is_flood: bool, least: int
    ) -> None:
        """Guards against a flood that borrows the machines which others' work needs."""
        load = TeamLoad(Team(name="a", weight=0.0 if is_flood else 1e6), workers=workers)
        for number in range(50):
            load.add(job(f"{number:016x}", step(8), team="a", accepted_s=WALL_S))
        sizer = PoolSizer(scheduler_state=load.harness.scheduler_state, limits=SizingLimits())
        lacking = sizer.assess(frozenset(), now_s=100.0, wall_s=WALL_S).lacking
        self.assertGreaterEqual(lacking, least)
        if is_flood:
            self.assertEqual(least, lacking)


class UnchangedTests(unittest.TestCase):
    @parameterized.expand([(seed,) for seed in range(12)])
    def test_drawn_histories_without_teams_decide_as_before(self, seed: int) -> None:
        """Guards against weights that change decisions where the configuration has no teams."""
        plain, ranked = _pool(), _pool()
        weights = TeamWeights(scheduler_state=ranked.scheduler_state, team_of=lambda _name: None)
        ranked.decision_engine = DecisionEngine(
            scheduler_state=ranked.scheduler_state, order=weights.order
        )
        rng, orders = random.Random(seed), 0
        for turn in range(60):
            added = [_drawn_job(rng, turn, number) for number in range(rng.randint(0, 4))]
            ends = rng.random()
            rows = []
            for harness in (plain, ranked):
                for one in added:
                    weights.is_beyond_weight(one)
                    harness.add_job(one)
                harness.now_s += 0.1
                _end_some(harness, random.Random(ends))
                weights.refresh(WALL_S + harness.now_s - 100.0)
                rows.append([_row(one) for one in harness.decide()])
            self.assertEqual(*rows)
            orders += len(rows[0])
        self.assertGreater(orders, 50)

    @parameterized.expand([(seed,) for seed in range(12)])
    def test_steps_that_are_skipped_would_find_no_room(self, seed: int) -> None:
        """Guards against a shortcut for large steps that is wrong in the order of the teams."""
        kept = decisions_module._is_at_least_as_large
        rows = []
        for shortcut in (kept, lambda _step, _sizes: False):
            decisions_module._is_at_least_as_large = shortcut
            try:
                rows.append(self._starts_with_teams(seed))
            finally:
                decisions_module._is_at_least_as_large = kept
        self.assertEqual(*rows)
        self.assertGreater(len(rows[0]), 30)

    def _starts_with_teams(self, seed: int) -> list[tuple[object, ...]]:
        harness, rng = _pool(), random.Random(seed)
        teams = {f"t{n}": Team(name=f"t{n}", weight=1.0 + n) for n in range(3)}
        weights = TeamWeights(scheduler_state=harness.scheduler_state, team_of=teams.get)
        harness.decision_engine = DecisionEngine(
            scheduler_state=harness.scheduler_state, order=weights.order
        )
        rows = []
        for turn in range(60):
            for number in range(rng.randint(0, 4)):
                one = _drawn_job(rng, turn, number)
                is_beyond = weights.is_beyond_weight(one)
                harness.add_job(one)
                harness.scheduler_state.tracked_jobs[one.job_id].is_beyond_weight = is_beyond
            harness.now_s += 0.1
            _end_some(harness, rng)
            weights.refresh(WALL_S + harness.now_s - 100.0)
            rows += [_row(one) for one in harness.decide() if isinstance(one, StartOrder)]
        return rows


def _pool() -> SchedulingHarness:
    return SchedulingHarness(*(view(f"w{n}", rack=f"r{n // 2}") for n in range(6)))


def _drawn_job(rng: random.Random, turn: int, number: int) -> Job:
    steps = [
        step(
            rng.randint(1, 4),
            cpu_millicores=rng.choice([500, 1000, 3000]),
            memory_mb=rng.choice([100, 900, 2500]),
            estimated_s=rng.uniform(0.3, 3.0),
            is_gang=rng.random() < 0.1,
            is_lasting=number == 0 and rng.random() < 0.05,
        )
    ]
    return job(
        f"{turn * 100 + number:016x}",
        *steps,
        team=rng.choice(["", "t0", "t1", "t2"]),
        policy=policy(priority=rng.choice([0, 0, 1]), stretch=2.0, target_latency_s=0.6),
        accepted_s=WALL_S + turn * 0.1,
    )


def _end_some(harness: SchedulingHarness, rng: random.Random) -> None:
    for worker in harness.scheduler_state.workers.values():
        for run in list(worker.runs.values()):
            if not run.step.is_lasting and rng.random() < 0.08:
                ended = ((run.name, run.run_id, EndKind.DONE),)
                harness.report(worker.worker_id, ended=ended, sent_s=-1.0)
    harness.store()


def _row(decision: object) -> tuple[object, ...]:
    run = getattr(decision, "run", None)
    return (type(decision).__name__, run and (run.name, run.worker_id))


if __name__ == "__main__":
    unittest.main()
