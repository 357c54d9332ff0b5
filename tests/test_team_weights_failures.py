"""Tests of the teams' weights beside failures, one for each row of the design's failure table."""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace

from parameterized import parameterized

from shallotworks.jobs import Job, Resources, Team
from shallotworks.scheduling import RunningTask, SchedulerState, WorkerReport
from shallotworks.scheduling.teams import TeamLimits, TeamWeights
from shallotworks.scheduling.teams._token_bucket import TokenBucket
from tests.scheduling_fakes import WALL_S, job, policy, quiet_log, step
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.team_load import TeamLoad
from tests.virtual_clock import run_scenario

FLOOD, OTHER = "flood", "other"
SUCCESSION_S = 1.0
"""A successor's order is that of its predecessor within this time."""
OUTAGE_S = 9.0


def flooded_load() -> TeamLoad:
    """Return a service on which one team has sent eight times its weight for two seconds."""
    load = TeamLoad(Team(name=FLOOD, weight=5.0), Team(name=OTHER, weight=5.0), workers=2)
    load.send_at_rate(FLOOD, 40.0, until_s=2.0, seed=1)
    load.send_at_rate(OTHER, 4.0, until_s=2.0, seed=1)
    load.run(2.0)
    return load


def successor_of(load: TeamLoad, *, seed: int) -> tuple[SchedulerState, TeamWeights]:
    """Return the state and the weights of a scheduler that reads all jobs in a drawn order."""
    state = SchedulerState(service="antenna", token=9, log=quiet_log())
    weights = TeamWeights(scheduler_state=state, team_of=load.teams.get)
    served = list(load.served.values())
    random.Random(seed).shuffle(served)
    for one in served:
        is_beyond = weights.is_beyond_weight(one.job)
        if one.done_s is None:
            progress = load.harness.scheduler_state.tracked_jobs[one.job.job_id].progress
            state.add_job(
                one.job,
                progress,
                revision=2,
                is_inherited=True,
                wall_s=WALL_S,
                is_beyond_weight=is_beyond,
            )
    weights.refresh(WALL_S + load.now_s)
    return state, weights


class SuccessionTests(unittest.TestCase):
    @parameterized.expand([(seed,) for seed in range(4)])
    def test_the_scheduler_dies_in_a_flood(self, seed: int) -> None:
        """Guards against a successor that takes the flood for owed work, or the others for it."""
        load = flooded_load()
        state, _ = successor_of(load, seed=seed)
        beyond = {key for key, one in state.tracked_jobs.items() if one.is_beyond_weight}
        self.assertEqual(load.beyond & set(state.tracked_jobs), beyond)
        self.assertGreater(len(beyond), 20)

    def test_the_order_is_the_same_within_a_second(self) -> None:
        """Guards against a successor that starts the jobs of a flood before those of others."""
        load = flooded_load()
        state, weights = successor_of(load, seed=1)
        for worker in load.harness.scheduler_state.workers.values():
            state.update_worker(worker.view)
            runs = [
                RunningTask(name=run.name, run_id=run.run_id, percent=run.percent)
                for run in worker.runs.values()
            ]
            state.apply_report(
                state.workers[worker.worker_id],
                WorkerReport(clock_ms=1000, running=tuple(runs), ended=()),
                order_token=9,
                sent_s=load.harness.now_s,
                now_s=load.harness.now_s,
                wall_s=WALL_S + load.now_s,
            )
        wall_s = WALL_S + load.now_s + SUCCESSION_S
        orders = []
        for one, one_state in ((weights, state), (load.weights, load.harness.scheduler_state)):
            one.refresh(wall_s)
            steps = sorted(one_state.open_steps(), key=lambda step: one.order(step, wall_s))
            orders.append([step.tracked_job.job.job_id for step in steps])
        self.assertEqual(*orders)


class OutageTests(unittest.TestCase):
    def test_jobs_of_an_outage_of_the_store_count_in_their_own_seconds(self) -> None:
        """Guards against a team whose jobs of 9 s arrive at once and count as sent at once."""
        load = TeamLoad(Team(name=OTHER, weight=5.0))
        jobs = [_job(number, OTHER, at_s=number * 0.25) for number in range(int(OUTAGE_S / 0.25))]
        random.Random(1).shuffle(jobs)
        for one in jobs:
            load.add(one)
        self.assertEqual(set(), load.beyond)

    def test_a_flood_in_an_outage_is_beyond_its_weight(self) -> None:
        """Guards against a flood that counts as owed because its jobs arrive out of order."""
        load = TeamLoad(Team(name=FLOOD, weight=5.0))
        jobs = [_job(number, FLOOD, at_s=number * 0.025) for number in range(int(OUTAGE_S / 0.025))]
        random.Random(2).shuffle(jobs)
        for one in jobs:
            load.add(one)
        within = len(jobs) - len(load.beyond)
        self.assertLessEqual(within, 5.0 * (OUTAGE_S + 1) + 1)
        self.assertGreaterEqual(within, 5.0 * OUTAGE_S * 0.8)

    def test_starts_need_no_store(self) -> None:
        """Guards against a scheduler that asks the store for a team's turn while it is away."""

        async def scenario() -> None:
            teams = {FLOOD: Team(name=FLOOD, weight=1.0), OTHER: Team(name=OTHER, weight=1.0)}
            simulation = SchedulingSimulation(seed=1, instances=1, team_of=teams.get)
            [instance] = simulation.instances
            instance.start()
            await asyncio.sleep(2.0)
            for number in range(30):
                team = FLOOD if number % 3 else OTHER
                await simulation.submit(
                    f"{number:016x}",
                    step(4, estimated_s=0.8),
                    policy=policy(service=SERVICE),
                    team=team,
                    accepted_s=instance.now_s(),
                )
            tracked_jobs = instance.service_schedulers[-1].scheduler_state.tracked_jobs
            await asyncio.sleep(0.2)
            beyond = {one.job.team for one in tracked_jobs.values() if one.is_beyond_weight}
            self.assertIn(FLOOD, beyond)
            started = simulation.fleet.started
            instance.store.faults.is_down = True
            await asyncio.sleep(OUTAGE_S / 9)
            self.assertGreater(simulation.fleet.started, started)
            await asyncio.sleep(OUTAGE_S * 8 / 9)
            instance.store.faults.is_down = False
            await asyncio.sleep(30.0)
            self.assertEqual([], simulation.violations())
            await simulation.kill()

        run_scenario(scenario())

    def test_jobs_that_a_cut_off_instance_accepts_on_count_in_their_own_seconds(self) -> None:
        """Guards against jobs that arrive late and push the team's later jobs beyond its weight."""
        load = TeamLoad(Team(name=OTHER, weight=4.0))
        late = [_job(number, OTHER, at_s=number * 0.5) for number in range(10)]
        prompt = [_job(100 + number, OTHER, at_s=0.25 + number * 0.5) for number in range(10)]
        for one in (*prompt, *late):
            load.add(one)
        self.assertEqual(set(), load.beyond)


class ChangeTests(unittest.TestCase):
    def test_weights_change_while_tasks_run(self) -> None:
        """Guards against verdicts that change under a job, and against weights that don't."""
        load = flooded_load()
        beyond = set(load.beyond)
        load.teams[FLOOD] = Team(name=FLOOD, weight=500.0)
        load.weights.refresh(WALL_S + load.now_s)
        tracked_jobs = load.harness.scheduler_state.tracked_jobs
        now_beyond = {key for key, one in tracked_jobs.items() if one.is_beyond_weight}
        self.assertEqual(beyond & set(tracked_jobs), now_beyond)
        self.assertLess(dict(load.weights.shares())[FLOOD], 1.1)
        load.add(_job(10_000, FLOOD, at_s=load.now_s))
        self.assertEqual(beyond, load.beyond)

    def test_a_limit_that_is_lowered_while_tasks_run_holds_beside_the_weight(self) -> None:
        """Guards against a rank that starts tasks of a team over its limit."""
        load = flooded_load()
        state = load.harness.scheduler_state
        load.teams[OTHER] = replace(load.teams[OTHER], limit=Resources(1_000, 0, 0))
        limits = TeamLimits(service="antenna", scheduler_state=state, team_of=load.teams.get)
        limits.is_synced = True
        running = state.team_use.of(OTHER).cpu_millicores
        self.assertGreater(running, 1_000)
        load.harness.decision_engine._team_rooms = limits.rooms
        load.add(_job(10_000, OTHER, at_s=load.now_s))
        load.run(load.now_s + 1.0)
        started = [run for worker in state.workers.values() for run in worker.runs.values()]
        self.assertEqual([], [run for run in started if run.name.job_id == f"{10_000:016x}"])

    @parameterized.expand([("its keys only", True), ("the whole team", False)])
    def test_a_team_loses_its_keys_in_its_own_flood(self, _name: str, is_kept: bool) -> None:
        """Guards against accepted jobs that are dropped, or that overtake others as owed work."""
        load = flooded_load()
        if not is_kept:
            del load.teams[FLOOD]
        load.weights.refresh(WALL_S + load.now_s)
        tracked_jobs = load.harness.scheduler_state.tracked_jobs
        beyond = {key for key, one in tracked_jobs.items() if one.is_beyond_weight}
        self.assertEqual(load.beyond & set(tracked_jobs), beyond)
        load.run(30.0)
        self.assertTrue(all(one.done_s is not None for one in load.served.values()))


class CountTests(unittest.TestCase):
    def test_a_late_order_counts_for_its_team(self) -> None:
        """Guards against a run that an order of an earlier scheduler began and no share counts."""
        load = TeamLoad(Team(name=OTHER, weight=5.0))
        one = _job(1, OTHER, at_s=0.0)
        load.add(one)
        state = load.harness.scheduler_state
        [open_step] = state.open_steps()
        running = (RunningTask(name=open_step.name(0), run_id=1, percent=5),)
        load.harness.report("w0", running=running)
        self.assertEqual(Resources(1_000, 100, 0), state.team_use.of(OTHER))
        load.harness.restart("w0", load.harness.worker("w0").view)
        self.assertEqual(Resources(), state.team_use.of(OTHER))

    def test_two_schedulers_whose_counts_disagree(self) -> None:
        """Guards against a job that one service holds back for what the team sent to another."""
        teams = (Team(name=FLOOD, weight=5.0), Team(name=OTHER, weight=5.0))
        antenna, depot = TeamLoad(*teams, workers=1), TeamLoad(*teams, workers=1)
        antenna.send_at_rate(FLOOD, 40.0, until_s=3.0, seed=1)
        depot.send_at_rate(FLOOD, 2.0, until_s=3.0, seed=2)
        for load in (antenna, depot):
            load.send_at_rate(OTHER, 2.0, until_s=3.0, seed=3)
            load.run(30.0)
            self.assertTrue(all(one.done_s is not None for one in load.served.values()))
        self.assertGreater(len(antenna.beyond), 80)
        self.assertEqual(set(), depot.beyond)

    def test_the_running_sums_are_those_of_all_runs(self) -> None:
        """Guards against a sum that keeps a run which has ended, or misses one."""
        load = flooded_load()
        state = load.harness.scheduler_state
        for worker_id in ("w0", "w1"):
            sums: dict[str, Resources] = {}
            for worker in state.workers.values():
                for run in worker.runs.values():
                    total = sums.get(run.team, Resources())
                    sums[run.team] = total.plus(Resources.of(run.step))
            self.assertEqual(
                sums, {team: state.team_use.of(team) for team in state.team_use.teams()}
            )
            state.note_worker_ended(worker_id, "crashed", load.harness.now_s, WALL_S)
        self.assertEqual([], list(state.team_use.teams()))


class TokenBucketTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("a burst of one second's worth", 3.0, [0.0] * 5, 3),
            ("at least one", 0.5, [0.0, 0.1, 1.0, 2.0], 2),
            ("refilled with time", 2.0, [0.0, 0.0, 0.5, 0.6, 1.0], 4),
            ("weight 0 covers nothing", 0.0, [0.0, 5.0], 0),
        ]
    )
    def test_covered(self, _name: str, rate: float, times_s: list[float], expected: int) -> None:
        bucket = TokenBucket(rate=rate)
        self.assertEqual(expected, sum(bucket.cover(at_s) for at_s in times_s))

    @parameterized.expand([(seed,) for seed in range(6)])
    def test_no_order_of_arrival_covers_more_than_the_rate(self, seed: int) -> None:
        """Guards against jobs that arrive out of order and use tokens that were spent."""
        rng = random.Random(seed)
        rate = rng.choice([0.3, 1.0, 4.0])
        times_s = [rng.uniform(0, 8) for _ in range(80)]
        bucket = TokenBucket(rate=rate)
        covered = sorted(at_s for at_s in times_s if bucket.cover(at_s))
        again = TokenBucket(rate=rate)
        self.assertTrue(all(again.cover(at_s) for at_s in covered))

    def test_a_clock_that_is_an_hour_ahead_changes_nothing_for_others(self) -> None:
        """Guards against one instance's wrong clock that lets a flood pass, or holds all back."""
        bucket = TokenBucket(rate=5.0)
        bucket.cover(3_600.0)
        covered = [bucket.cover(number * 0.025) for number in range(400)]
        self.assertAlmostEqual(55, sum(covered), delta=2)


def _job(number: int, team: str, *, at_s: float) -> Job:
    return job(f"{number:016x}", step(2), team=team, accepted_s=WALL_S + at_s)


if __name__ == "__main__":
    unittest.main()
