"""Tests of a team's limit that spans the schedulers of several services."""

from __future__ import annotations

import asyncio
import unittest

from parameterized import parameterized

from shallotworks.jobs import Resources, Team
from shallotworks.scheduling import WaitReason, waiting_reason
from shallotworks.scheduling.teams._team_limits import (
    TeamLimits,
    TeamShare,
    _encode,
    _fair_share,
    _target,
)
from tests.scheduling_fakes import SchedulingHarness, job, step, view
from tests.team_simulation import TEAM, TeamSimulation
from tests.virtual_clock import run_scenario

FOLLOW_S = 3.0
"""Time within which room that a team has left reaches the service where it waits. Source: the
users' rules."""


def cores(number: float) -> Resources:
    """Return an amount of processor."""
    return Resources(int(number * 1000), 0, 0)


class TargetTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("alone, it has a part of the rest", 10, 0, 2, [], 6),
            ("others that want nothing leave the rest", 10, 0, 2, [(0, 0)], 4),
            ("what others hold is not taken", 10, 0, 2, [(9, 0)], 1),
            ("too many wants are served in proportion", 10, 0, 30, [(0, 10)], 7.5),
            ("what runs is kept", 10, 9, 9, [(1, 90)], 9),
            ("after a limit was lowered, what runs is kept", 10, 8, 30, [(8, 30)], 8),
        ]
    )
    def test_target(
        self,
        _name: str,
        limit: int,
        used: int,
        wanted: int,
        others: list[tuple[int, int]],
        expected: float,
    ) -> None:
        """Guards against shares that add up to more than the limit, and against hoarded ones."""
        shares = [TeamShare(cores(granted), cores(want)) for granted, want in others]
        part = _fair_share(cores(limit), cores(wanted), shares)
        target = _target(cores(limit), part, used=cores(used), others=shares)
        self.assertEqual(cores(expected), target)


class LimitTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = SchedulingHarness(view("w0", cpu_millicores=64_000, memory_mb=64_000))
        self.team = Team(name=TEAM, limit=cores(10))
        self.limits = TeamLimits(
            service="antenna",
            scheduler_state=self.harness.scheduler_state,
            team_of=lambda name: self.team if name == TEAM else None,
        )
        self.limits.is_synced = True

    def _apply(self, revision: int, **shares: tuple[float, float]) -> None:
        rows = {name: TeamShare(cores(a), cores(b)) for name, (a, b) in shares.items()}
        self.limits.apply_record(TEAM, _encode(rows), revision)

    def _room(self) -> float:
        rooms = self.limits.rooms()
        return next(n for n in range(64, -1, -1) if rooms.has_room(TEAM, cores(n)))

    def test_nothing_is_started_before_the_records_were_read(self) -> None:
        """Guards against a scheduler that counts on a share which another service has."""
        self.limits.is_synced = False
        self._apply(3, antenna=(5, 5))
        self.assertEqual(0, self._room())

    def test_an_inherited_share_counts_as_used_until_all_workers_have_answered(self) -> None:
        """Guards against a successor that starts tasks beside those of its predecessor."""
        self._apply(3, antenna=(5, 5))
        self.harness.scheduler_state.pending_recovery["w9"] = 1e9
        self.assertEqual(0, self._room())
        self._apply(4, antenna=(8, 5))
        self.assertEqual(3, self._room())
        self.harness.scheduler_state.pending_recovery.clear()
        self.assertEqual(8, self._room())

    def test_a_share_counts_only_once_the_store_has_it(self) -> None:
        """Guards against a start in a share whose write was lost."""
        self._apply(3, antenna=(2, 2))
        self._wait_for_tasks(8)
        [write] = self.limits.due_writes(1.0)
        self.limits.note_sent(write, 1.0)
        self.assertEqual(2, self._room())
        self.limits.apply_record(TEAM, write.value, 4)
        self.assertEqual(9, self._room())

    def test_a_share_that_was_given_up_is_not_used_although_the_write_may_be_lost(self) -> None:
        """Guards against two services that use one part of the limit."""
        self._apply(3, antenna=(8, 0), depot=(1, 9))
        [write] = self.limits.due_writes(1.0)
        self.limits.note_sent(write, 1.0)
        self.assertLessEqual(self._room(), 1)

    def test_a_lowered_limit_counts_before_the_shares_follow(self) -> None:
        """Guards against starts over a limit that was lowered while shares add up to more."""
        self._apply(3, antenna=(5, 5), depot=(5, 5))
        self.team = Team(name=TEAM, limit=cores(6))
        self.assertEqual(1, self._room())

    def test_a_task_that_waits_for_the_limit_says_so(self) -> None:
        """Guards against operators who look for machines where a limit holds a task back."""
        self._apply(3, antenna=(0, 0), depot=(10, 10))
        self._wait_for_tasks(1)
        state = self.harness.scheduler_state
        state.team_rooms = self.limits.rooms()
        [waiting] = state.open_steps()
        reason = waiting_reason(state, waiting, now_s=0.0, wall_s=0.0)
        self.assertIs(WaitReason.TEAM_LIMIT, reason)

    def _wait_for_tasks(self, count: int) -> None:
        self.harness.add_job(job("0" * 16, step(count, cpu_millicores=1000), team=TEAM))


class SharedLimitTests(unittest.TestCase):
    def test_the_limit_follows_the_demand_from_service_to_service(self) -> None:
        """Guards against a team that waits on one service while its share lies idle on another."""

        async def scenario() -> None:
            simulation = TeamSimulation(seed=1, limit_millicores=10_000)
            await asyncio.sleep(1.0)
            for number, service in enumerate(simulation.services):
                job_id = f"{number:016x}"
                await simulation.submit(service, job_id, 40)
                await asyncio.sleep(FOLLOW_S)
                self.assertGreater(simulation.running(), 5_000)
                while (state := service.state(job_id)) is None or not state.is_final:
                    await asyncio.sleep(0.1)
            self.assertEqual([], simulation.over_limit)
            await simulation.kill()

        run_scenario(scenario())

    def test_services_that_want_more_than_the_limit_share_it(self) -> None:
        """Guards against a service that takes the whole limit, so that others never run."""

        async def scenario() -> None:
            simulation = TeamSimulation(seed=2, limit_millicores=9_000)
            await asyncio.sleep(1.0)
            for number, service in enumerate(simulation.services):
                await simulation.submit(service, f"{number:016x}", 60)
            await asyncio.sleep(FOLLOW_S)
            running = [
                sum(len(worker.names()) for worker in one.fleet.workers.values())
                for one in simulation.services
            ]
            self.assertGreaterEqual(min(running), 1, running)
            self.assertGreaterEqual(sum(running), 7, running)
            self.assertEqual([], simulation.over_limit)
            await simulation.kill()

        run_scenario(scenario())

    def test_a_successor_keeps_the_share_of_tasks_that_still_run(self) -> None:
        """Guards against a share that is given up before the tasks of earlier epochs are known."""

        async def scenario() -> None:
            simulation = TeamSimulation(seed=3, limit_millicores=8_000)
            first, second, _ = simulation.services
            await asyncio.sleep(1.0)
            first.fleet.work_s["long"] = 20.0
            await simulation.submit(first, "long", 8)
            await asyncio.sleep(1.0)
            await simulation.submit(second, "waiting", 20)
            for _ in range(3):
                scheduler = first.scheduler()
                assert scheduler is not None
                await first.replace(scheduler)
                await asyncio.sleep(4.0)
                self.assertEqual([], simulation.over_limit)
            await simulation.kill()

        run_scenario(scenario())

    @parameterized.expand([(seed,) for seed in (*range(8), 11, 56)])
    def test_drawn_histories(self, seed: int) -> None:
        """Guards against a team over its limit beside kills, cuts, late orders and new limits."""

        async def scenario() -> None:
            simulation = TeamSimulation(seed=seed, limit_millicores=8_000)
            rng, submissions = simulation.rng, []
            await asyncio.sleep(1.0)
            for _ in range(14):
                service = rng.choice(simulation.services)
                for _ in range(rng.randint(1, 4)):
                    job_id = f"{len(submissions):016x}"
                    submission = simulation.submit(service, job_id, rng.randint(1, 9))
                    submissions.append(asyncio.create_task(submission))
                await self._disturb(simulation)
                await asyncio.sleep(rng.uniform(0.2, 2.0))
            for service in simulation.services:
                for instance in service.instances:
                    instance.store.faults.is_down = False
                    instance.orders.faults.unreachable_worker_ids = set()
            simulation.set_limit(8_000)
            await asyncio.gather(*submissions)
            await asyncio.sleep(25.0)
            self.assertEqual([], simulation.over_limit)
            for service in simulation.services:
                self.assertEqual([], service.violations())
            await simulation.kill()

        run_scenario(scenario())

    async def _disturb(self, simulation: TeamSimulation) -> None:
        rng, draw = simulation.rng, simulation.rng.random()
        service = rng.choice(simulation.services)
        instance = rng.choice(service.instances)
        if draw < 0.25:
            await service.replace(instance)
        elif draw < 0.45:
            instance.store.faults.is_down = not instance.store.faults.is_down
        elif draw < 0.6:
            ids = sorted(service.fleet.workers)
            instance.orders.faults.unreachable_worker_ids = {rng.choice(ids)}
        elif draw < 0.75:
            instance.store.faults.late_ratio = rng.choice([0.0, 0.2])
        elif draw < 0.9:
            simulation.set_limit(rng.choice([4_000, 8_000, 12_000]))


if __name__ == "__main__":
    unittest.main()
