"""Tests of tasks and gangs that are wide against their team's limit, on several services."""

from __future__ import annotations

import asyncio
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import JobState, Resources, Step, TaskName, Team
from shallotworks.scheduling.teams._share_claims import ShareClaim, ShareClaims
from shallotworks.standins import RecordStore, TaskWorker, TaskWorkers
from tests.scheduling_fakes import policy, step, view
from tests.scheduling_simulation import SchedulingSimulation
from tests.virtual_clock import run_scenario

FINISH_S = 14.0
"""Time from the end of the traffic until every job must have ended. Source: the users' rules."""
SERVICES = ("antenna", "depot", "masts", "rota", "tower")
LIMIT = Resources(8_000, 8_000, 4)
RED = Team(name="red", limit=LIMIT)


def wide(
    cores: int = 0, memory_gb: int = 0, gpus: int = 0, count: int = 1, **changes: bool
) -> Step:
    """Return a step with tasks of the given size."""
    return step(
        count,
        cpu_millicores=cores * 1000,
        memory_mb=memory_gb * 1000,
        gpus=gpus,
        estimated_s=1.0,
        **changes,
    )


class SizedWorkers(TaskWorkers):
    """Workers of one service that report each start to the simulation."""

    simulation: WideTasksSimulation

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        super().check_start(worker, name)
        self.simulation.check_start(name)


class WideTasksSimulation:
    """Services with large workers of their own, one store, and teams whose limits span them.

    Args:
        seed: Seed of all random choices.
        services: Number of services.
        teams: The teams.
    """

    def __init__(
        self, *, seed: int = 1, services: int = 3, teams: tuple[Team, ...] = (RED,)
    ) -> None:
        self.rng = random.Random(seed)
        self.teams = {team.name: team for team in teams}
        self.over_limit: list[str] = []
        self._sizes: dict[tuple[str, int], tuple[str, Resources]] = {}
        store = RecordStore(rng=self.rng)
        self.services = [
            SchedulingSimulation(
                seed=seed,
                workers=0,
                instances=2,
                fleet=SizedWorkers,
                service=name,
                store=store,
                team_of=self.teams.get,
            )
            for name in SERVICES[:services]
        ]
        for service in self.services:
            assert isinstance(service.fleet, SizedWorkers)
            service.fleet.simulation = self
            for number in range(2):
                service.fleet.add(
                    view(
                        f"{service.service}-{number}",
                        service=service.service,
                        cpu_millicores=64_000,
                        memory_mb=256_000,
                        gpus=8,
                    )
                )
            for instance in service.instances:
                instance.start()

    async def submit(
        self, number: int, job_id: str, *steps: Step, team: str = "red", work_s: float = 1.0
    ) -> None:
        """Submit a job of a team to one of the services."""
        service = self.services[number]
        for index, one in enumerate(steps):
            self._sizes[job_id, index] = (team, Resources.of(one))
            service.fleet.cpu_millicores[job_id] = one.cpu_millicores
            if one.is_lasting:
                service.fleet.lasting.add(job_id)
        service.fleet.work_s[job_id] = work_s
        await service.submit(job_id, *steps, policy=policy(service=service.service), team=team)

    def used(self, team: str) -> Resources:
        """Return what workers run for a team."""
        total = Resources()
        for service in self.services:
            for worker in service.fleet.workers.values():
                for name in worker.names():
                    owner, size = self._sizes[name.job_id, name.step]
                    total = total.plus(size) if owner == team else total
        return total

    def check_start(self, name: TaskName) -> None:
        """Record a start that brings its team over the limit."""
        team, size = self._sizes[name.job_id, name.step]
        used, limit = self.used(team).plus(size), self.teams[team].limit
        if any(most and mine > most for mine, most in zip(used, limit, strict=True)):
            now_s = asyncio.get_running_loop().time()
            self.over_limit.append(f"{now_s:.2f} {name}: {used} of {limit}")

    def open_jobs(self) -> list[str]:
        """Return the accepted jobs that are not completed."""
        return [
            job_id
            for service in self.services
            for job_id in service.accepted
            if service.state(job_id) is not JobState.COMPLETED
        ]

    async def kill(self) -> None:
        """End all instances."""
        for service in self.services:
            await service.kill()


Submissions = list[tuple[int, Step]]


class WideTasksTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("two_services", [(0, wide(5)), (1, wide(5))]),
            ("three_services", [(0, wide(5)), (1, wide(5)), (2, wide(5))]),
            ("more_tasks_on_each", [(n, wide(7, count=2)) for n in range(3)]),
            ("five_services", [(n, wide(6)) for n in range(5)]),
            ("gangs", [(n, wide(1, count=6, is_gang=True)) for n in range(3)]),
            ("memory", [(n, wide(1, memory_gb=5)) for n in range(3)]),
            ("gpus", [(n, wide(1, gpus=3)) for n in range(3)]),
            ("a_resource_each", [(0, wide(7)), (1, wide(1, memory_gb=7)), (2, wide(1, 1, 4))]),
            ("gangs_of_all", [(n, wide(2, 2, 1, count=3, is_gang=True)) for n in range(3)]),
            ("beside_small_tasks", [(n, one) for n in range(3) for one in (wide(5), wide(1))]),
            ("of_the_whole_limit", [(n, wide(8, 8, 4)) for n in range(4)]),
        ]
    )
    def test_wide_tasks_run_one_after_another(self, _name: str, submissions: Submissions) -> None:
        """Guards against jobs that block one another within a limit, with nothing running."""

        async def scenario() -> None:
            simulation = WideTasksSimulation(services=5)
            await asyncio.sleep(1.0)
            for index, (number, one) in enumerate(submissions):
                await simulation.submit(number, f"{index}", one)
            await asyncio.sleep(FINISH_S)
            self.assertEqual([], simulation.open_jobs())
            self.assertEqual([], simulation.over_limit)
            await simulation.kill()

        run_scenario(scenario())

    def test_jobs_that_wait_behind_a_running_one(self) -> None:
        """Guards against jobs that stay blocked once the one before them has ended."""

        async def scenario() -> None:
            simulation = WideTasksSimulation()
            await asyncio.sleep(1.0)
            await simulation.submit(0, "first", wide(6), work_s=3.0)
            await asyncio.sleep(0.3)
            for number in (1, 2):
                await simulation.submit(number, f"{number}", wide(5))
            await asyncio.sleep(FINISH_S)
            self.assertEqual([], simulation.open_jobs())
            self.assertEqual([], simulation.over_limit)
            await simulation.kill()

        run_scenario(scenario())

    @parameterized.expand([("wider_than_its_part", 2), ("wide", 5)])
    def test_a_task_beside_a_flood_on_another_service(self, _name: str, cores: int) -> None:
        """Guards against a small want that a flood divides until its only task doesn't fit."""

        async def scenario() -> None:
            simulation = WideTasksSimulation()
            await asyncio.sleep(1.0)
            await simulation.submit(0, "flood", wide(1, count=300), work_s=0.8)
            await asyncio.sleep(1.0)
            await simulation.submit(1, "one", wide(cores))
            await asyncio.sleep(FINISH_S)
            self.assertEqual(["flood"], simulation.open_jobs())
            self.assertEqual([], simulation.over_limit)
            self.assertGreaterEqual(simulation.used("red").cpu_millicores, 6_000)
            await simulation.kill()

        run_scenario(scenario())

    def test_work_that_fits_beside_a_task_that_never_does(self) -> None:
        """Guards against a service that idles for the sake of a task which can't start anyway."""

        async def scenario() -> None:
            simulation = WideTasksSimulation()
            await asyncio.sleep(1.0)
            await simulation.submit(0, "lasting", wide(4, is_lasting=True))
            while not any(simulation.used("red")):
                await asyncio.sleep(0.1)
            await simulation.submit(1, "never", wide(5))
            await asyncio.sleep(1.0)
            await simulation.submit(2, "fits", wide(3), wide(1, count=12), work_s=0.5)
            await asyncio.sleep(FINISH_S)
            self.assertEqual({"lasting", "never"}, set(simulation.open_jobs()))
            self.assertEqual([], simulation.over_limit)
            await simulation.kill()

        run_scenario(scenario())

    def test_a_service_that_ends_with_its_claim(self) -> None:
        """Guards against a claim that holds others back although nobody will use it any more."""

        async def scenario() -> None:
            simulation = WideTasksSimulation()
            await asyncio.sleep(1.0)
            await simulation.submit(0, "first", wide(6), work_s=4.0)
            await asyncio.sleep(0.3)
            await simulation.submit(1, "gone", wide(5))
            await asyncio.sleep(0.5)
            await simulation.services[1].kill()
            await simulation.submit(2, "waits", wide(3), work_s=2.0)
            await asyncio.sleep(FINISH_S)
            self.assertEqual(["gone"], simulation.open_jobs())
            self.assertEqual([], simulation.over_limit)
            await simulation.kill()

        run_scenario(scenario())

    def test_many_teams(self) -> None:
        """Guards against teams whose shares are never changed, since a commit holds only some."""

        async def scenario() -> None:
            teams = tuple(Team(name=f"team-{number}", limit=LIMIT) for number in range(20))
            simulation = WideTasksSimulation(teams=teams)
            await asyncio.sleep(1.0)
            for index, team in enumerate(teams):
                for number in range(3):
                    await simulation.submit(
                        number, f"{index}-{number}", wide(5), team=team.name, work_s=0.5
                    )
            await asyncio.sleep(FINISH_S)
            self.assertEqual([], simulation.open_jobs())
            self.assertEqual([], simulation.over_limit)
            await simulation.kill()

        run_scenario(scenario())

    @parameterized.expand([(seed,) for seed in range(1, 9)])
    def test_drawn_histories(self, seed: int) -> None:
        """Guards against blocked jobs and passed limits, with wide jobs and schedulers that end."""

        async def scenario() -> None:
            rng = random.Random(seed)
            simulation = WideTasksSimulation(seed=seed, services=rng.randint(3, 5))
            await asyncio.sleep(1.0)
            for index in range(14):
                number = rng.randrange(len(simulation.services))
                size = wide(
                    rng.choice((1, 1, 2, 3, 5, 7)),
                    memory_gb=rng.choice((0, 0, 1, 5)),
                    gpus=rng.choice((0, 0, 0, 1, 3)),
                )
                await simulation.submit(number, f"{index}", size, work_s=rng.uniform(0.2, 1.0))
                await asyncio.sleep(rng.uniform(0.0, 0.8))
                if rng.random() < 0.2:
                    service = simulation.services[rng.randrange(len(simulation.services))]
                    await service.replace(rng.choice(service.instances))
            await asyncio.sleep(FINISH_S * 2)
            self.assertEqual([], simulation.open_jobs())
            self.assertEqual([], simulation.over_limit)
            for service in simulation.services:
                self.assertEqual([], service.violations())
            await simulation.kill()

        run_scenario(scenario())


class ClaimsTests(unittest.TestCase):
    def test_the_oldest_claim_comes_first_until_it_lapses(self) -> None:
        """Guards against a claim that is granted for good, or never."""
        claims = {"antenna": ShareClaim(LIMIT, 4), "depot": ShareClaim(LIMIT, 3)}
        known = ShareClaims()
        rows = ((0.0, "depot"), (1.9, "depot"), (2.1, None))
        for now_s, expected in rows:
            with self.subTest(now_s):
                first = known.first(claims, service="masts", now_s=now_s)
                self.assertEqual(expected, first[0] if first is not None else None)
        claims["depot"] = ShareClaim(LIMIT, 9)
        first = known.first(claims, service="masts", now_s=2.2)
        self.assertEqual("depot", first[0] if first is not None else None)

    def test_a_lapsed_claim_is_renewed_after_a_pause(self) -> None:
        """Guards against a service that holds the others back without a break."""
        known = ShareClaims()
        rows = ((0.0, 5, 5), (1.0, 6, 5), (2.1, 7, None), (2.9, 8, None), (3.1, 9, 9))
        for now_s, revision, expected in rows:
            with self.subTest(now_s):
                claim = known.renew(LIMIT, revision=revision, now_s=now_s)
                self.assertEqual(expected, claim.since if claim is not None else None)


if __name__ == "__main__":
    unittest.main()
