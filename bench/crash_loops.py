"""Outcomes of jobs while tasks of other jobs crash their workers, simulated on a virtual clock.

200 jobs are submitted to one queue within ten seconds, for 20 workers. The first task of a fraction
of the jobs crashes each worker that starts it, 10 ms after the start; a new incarnation of the
worker is listed after 3.3 s.
"""

from __future__ import annotations

import asyncio
import random

from tests.returning_workers import ReturningWorkers
from tests.scheduling_fakes import step, view
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

from shallotworks.jobs import JobState, TaskName

SEEDS = (1, 2)
CRASHING_JOB_RATIOS = (0.0, 0.1)
WORKER_COUNT = 20
JOB_COUNT = 200
SUBMIT_PERIOD_S = 10.0
WIND_DOWN_S = 25.0
TASKS_PER_JOB = 6
TASK_MILLICORES = 3_500
LATENCY_LIMITS_S = (1.8, 4.0, 10.0)
POLL_S = 0.1


class _BurstRun:
    """One burst of jobs, and the times at which they ended.

    Args:
        seed: Seed of all random sources.
        crashing_job_ratio: Fraction of the jobs whose first task crashes its workers.
    """

    def __init__(self, *, seed: int, crashing_job_ratio: float) -> None:
        self.simulation = SchedulingSimulation(seed=seed, workers=0, fleet=ReturningWorkers)
        for number in range(WORKER_COUNT):
            worker = view(f"w{number}", service=SERVICE, cpu_millicores=64_000, memory_mb=256_000)
            self.simulation.fleet.add(worker)
        crashing_numbers = random.Random(seed).sample(
            range(JOB_COUNT), int(JOB_COUNT * crashing_job_ratio)
        )
        self.crashing_jobs = {_job_id(number) for number in crashing_numbers}
        self.submitted_s: dict[str, float] = {}
        self.ended: dict[str, tuple[float, JobState]] = {}

    async def run(self) -> None:
        """Submit all jobs, and wait ``WIND_DOWN_S`` for them to end."""
        for instance in self.simulation.instances:
            instance.start()
        await asyncio.sleep(1.0)
        polling = asyncio.create_task(self._poll_states())
        await asyncio.gather(*map(self._submit, range(JOB_COUNT)))
        await asyncio.sleep(WIND_DOWN_S)
        polling.cancel()
        for instance in self.simulation.instances:
            await instance.kill()

    async def _submit(self, number: int) -> None:
        await asyncio.sleep(self.simulation.rng.uniform(0, SUBMIT_PERIOD_S))
        job_id, fleet = _job_id(number), self.simulation.fleet
        fleet.cpu_millicores[job_id] = TASK_MILLICORES
        if job_id in self.crashing_jobs:
            fleet.crashing.add(TaskName(job_id, 0, 0, 0))
        self.submitted_s[job_id] = asyncio.get_running_loop().time()
        tasks = step(
            TASKS_PER_JOB, cpu_millicores=TASK_MILLICORES, memory_mb=1_000, estimated_s=0.8
        )
        await self.simulation.submit(job_id, tasks)

    async def _poll_states(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            for job_id in self.submitted_s.keys() - self.ended.keys():
                state = self.simulation.state(job_id)
                if state is not None and state.is_final:
                    self.ended[job_id] = (now_s, state)
            await asyncio.sleep(POLL_S)

    def row(self) -> str:
        """Return the outcomes of the jobs as a row of the table."""
        healthy_jobs = [job_id for job_id in self.submitted_s if job_id not in self.crashing_jobs]
        latencies_s = [
            self.ended[job_id][0] - self.submitted_s[job_id]
            for job_id in healthy_jobs
            if job_id in self.ended and self.ended[job_id][1] is JobState.COMPLETED
        ]
        counts_within_limits = [
            sum(one < limit_s for one in latencies_s) for limit_s in LATENCY_LIMITS_S
        ]
        failed = sum(self._is_failed(job_id) for job_id in healthy_jobs)
        failed_crashing_jobs = sum(self._is_failed(job_id) for job_id in self.crashing_jobs)
        figures = (
            len(healthy_jobs),
            *counts_within_limits,
            failed,
            len(healthy_jobs) - len(latencies_s) - failed,
            len(self.crashing_jobs),
            failed_crashing_jobs,
            self.simulation.fleet.crashes.total(),
        )
        return "".join(f"{figure:>9}" for figure in figures)

    def _is_failed(self, job_id: str) -> bool:
        return job_id in self.ended and self.ended[job_id][1] is JobState.FAILED


def _job_id(number: int) -> str:
    return f"{number:016x}"


def main() -> None:
    """Print a row for each ratio of crashing jobs and each seed."""
    limits = "".join(f"{f'<{limit_s} s':>9}" for limit_s in LATENCY_LIMITS_S)
    print(f"seed  healthy{limits}   failed     open crashing   failed  crashes")
    for crashing_job_ratio in CRASHING_JOB_RATIOS:
        for seed in SEEDS:
            burst = _BurstRun(seed=seed, crashing_job_ratio=crashing_job_ratio)
            run_scenario(burst.run())
            print(f"{seed:>4}{burst.row()}", flush=True)
