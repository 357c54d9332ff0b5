"""What callers get while some tasks crash their workers: a turn on the stand-ins, on their clock.

A queue of 200 jobs in ten seconds on 20 workers; the first task of a part of the jobs crashes each
worker that starts it, 10 ms after the start, and another incarnation is back after 3.3 s.
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
CRASHING_PARTS = (0.0, 0.1)
WORKERS = 20
JOBS = 200
TURN_S = 10.0
AFTER_S = 25.0
TASKS_A_JOB = 6
TASK_MILLICORES = 3_500
IN_TIME_S = (1.8, 4.0, 10.0)
POLL_S = 0.1


class _Turn:
    """One turn, and when each job was done.

    Args:
        seed: Draws it.
        crashing_part: Part of the jobs whose first task crashes its workers.
    """

    def __init__(self, *, seed: int, crashing_part: float) -> None:
        self.simulation = SchedulingSimulation(seed=seed, workers=0, fleet=ReturningWorkers)
        for number in range(WORKERS):
            worker = view(f"w{number}", service=SERVICE, cpu_millicores=64_000, memory_mb=256_000)
            self.simulation.fleet.add(worker)
        drawn = random.Random(seed).sample(range(JOBS), int(JOBS * crashing_part))
        self.culprits = {_job_id(number) for number in drawn}
        self.handed_in_s: dict[str, float] = {}
        self.ended: dict[str, tuple[float, JobState]] = {}

    async def play(self) -> None:
        """Hand all jobs in and wait for their ends."""
        for instance in self.simulation.instances:
            instance.start()
        await asyncio.sleep(1.0)
        watching = asyncio.create_task(self._watch())
        await asyncio.gather(*map(self._hand_in, range(JOBS)))
        await asyncio.sleep(AFTER_S)
        watching.cancel()
        for instance in self.simulation.instances:
            await instance.kill()

    async def _hand_in(self, number: int) -> None:
        await asyncio.sleep(self.simulation.rng.uniform(0, TURN_S))
        job_id, fleet = _job_id(number), self.simulation.fleet
        fleet.cpu_millicores[job_id] = TASK_MILLICORES
        if job_id in self.culprits:
            fleet.crashing.add(TaskName(job_id, 0, 0, 0))
        self.handed_in_s[job_id] = asyncio.get_running_loop().time()
        tasks = step(TASKS_A_JOB, cpu_millicores=TASK_MILLICORES, memory_mb=1_000, estimated_s=0.8)
        await self.simulation.submit(job_id, tasks)

    async def _watch(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            for job_id in self.handed_in_s.keys() - self.ended.keys():
                state = self.simulation.state(job_id)
                if state is not None and state.is_final:
                    self.ended[job_id] = (now_s, state)
            await asyncio.sleep(POLL_S)

    def row(self) -> str:
        """Return what became of the jobs, as a row."""
        sound = [job_id for job_id in self.handed_in_s if job_id not in self.culprits]
        took_s = [
            self.ended[job_id][0] - self.handed_in_s[job_id]
            for job_id in sound
            if job_id in self.ended and self.ended[job_id][1] is JobState.COMPLETED
        ]
        in_time = [sum(one < limit_s for one in took_s) for limit_s in IN_TIME_S]
        failed = sum(self._is_failed(job_id) for job_id in sound)
        culprits = sum(self._is_failed(job_id) for job_id in self.culprits)
        figures = (
            len(sound),
            *in_time,
            failed,
            len(sound) - len(took_s) - failed,
            len(self.culprits),
            culprits,
            self.simulation.fleet.crashes.total(),
        )
        return "".join(f"{figure:>9}" for figure in figures)

    def _is_failed(self, job_id: str) -> bool:
        return job_id in self.ended and self.ended[job_id][1] is JobState.FAILED


def _job_id(number: int) -> str:
    return f"{number:016x}"


def main() -> None:
    """Print a row for each seed and part of crashing jobs."""
    limits = "".join(f"{f'<{limit_s} s':>9}" for limit_s in IN_TIME_S)
    print(f"seed    sound{limits}   failed     open culprits   failed  crashes")
    for crashing_part in CRASHING_PARTS:
        for seed in SEEDS:
            turn = _Turn(seed=seed, crashing_part=crashing_part)
            run_scenario(turn.play())
            print(f"{seed:>4}{turn.row()}", flush=True)
