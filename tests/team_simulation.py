"""Simulation of several services whose schedulers share the limit of one team."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from shallotworks.jobs import Resources, TaskName, Team
from shallotworks.standins import RecordStore, TaskWorker, TaskWorkers
from tests.scheduling_fakes import policy, step
from tests.scheduling_simulation import SchedulingSimulation

TEAM = "red"
TASK_MILLICORES = 1000
OVERAGE = 0.1
"""Part of the limit by which a team may be over it, besides one task. Source: the users' rules."""
IN_FORCE_S = 3.0
"""A limit that was replaced may count for this long. Source: the users' bounds."""


class TeamWorkers(TaskWorkers):
    """Workers of one service that report each start to the simulation."""

    simulation: TeamSimulation

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        super().check_start(worker, name)
        self.simulation.check_start()


class TeamSimulation:
    """Services with workers of their own, one store, and a team whose limit spans them.

    Args:
        seed: Seed of all random choices.
        limit_millicores: The team's limit.
        services: Number of services.
        workers: Number of workers of each service.
    """

    def __init__(
        self, *, seed: int, limit_millicores: int, services: int = 3, workers: int = 3
    ) -> None:
        self.rng = random.Random(seed)
        self.store = RecordStore(rng=self.rng)
        self.team = Team(name=TEAM, limit=Resources(limit_millicores, 0, 0))
        self.over_limit: list[str] = []
        self.most_running = 0
        self._earlier_limits: list[tuple[float, int]] = []
        self.services = [
            SchedulingSimulation(
                seed=seed,
                workers=workers,
                instances=2,
                fleet=TeamWorkers,
                service=name,
                store=self.store,
                team_of=lambda _name: self.team,
            )
            for name in ("antenna", "depot", "masts", "rota")[:services]
        ]
        for service in self.services:
            assert isinstance(service.fleet, TeamWorkers)
            service.fleet.simulation = self
            for instance in service.instances:
                instance.start()

    def set_limit(self, millicores: int) -> None:
        """Change the team's limit."""
        now_s = asyncio.get_running_loop().time()
        self._earlier_limits.append((now_s, self.team.limit.cpu_millicores))
        self.team = replace(self.team, limit=Resources(millicores, 0, 0))

    def running(self) -> int:
        """Return the processor, in millicores, of all tasks that workers run."""
        return sum(
            one.fleet.cpu_millicores_of(name)
            for one in self.services
            for worker in one.fleet.workers.values()
            for name in worker.names()
        )

    def check_start(self) -> None:
        """Record a start that brings the team over its limit."""
        now_s = asyncio.get_running_loop().time()
        running = self.running() + TASK_MILLICORES
        limits = [most for at_s, most in self._earlier_limits if now_s - at_s < IN_FORCE_S]
        most = max(self.team.limit.cpu_millicores, *limits, 0)
        self.most_running = max(self.most_running, running)
        if running > most * (1 + OVERAGE) + TASK_MILLICORES:
            self.over_limit.append(f"{now_s:.2f} {running} of {most}")

    async def submit(self, service: SchedulingSimulation, job_id: str, tasks: int) -> None:
        """Submit a job of the team."""
        await service.submit(
            job_id,
            step(tasks, cpu_millicores=TASK_MILLICORES, estimated_s=0.8),
            policy=policy(service=service.service),
            team=TEAM,
        )

    async def kill(self) -> None:
        """End all instances."""
        for service in self.services:
            await service.kill()
