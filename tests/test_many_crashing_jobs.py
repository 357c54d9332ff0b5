"""Simulations of a queue in which a quarter of the jobs crash the workers that start them."""

import asyncio
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import JobState, Step, TaskName
from tests.returning_workers import ReturningWorkers
from tests.scheduling_fakes import step, view
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

WORKERS = 10
CRASHING_RATIO = 0.25
CRASHING_JOBS_FOR_S = 10.0
EARLY_JOBS = 136
LATER_JOBS = 60
TRAFFIC_S = 28.0
SCHEDULER_KILLED_AT_S = 4.5
FINISH_S = 14.0
"""Time from the end of the traffic until every job must have ended. Source: the users' rules."""
TASK_MILLICORES = 4_400
TASK_S = 0.45


def steps_of(rng: random.Random) -> list[Step]:
    """Return one to three steps, one after the other, of many small tasks."""
    return [
        step(
            rng.randint(6, 9),
            cpu_millicores=TASK_MILLICORES,
            memory_mb=8_000,
            estimated_s=TASK_S,
            after=(number - 1,) if number else (),
        )
        for number in range(rng.choice((1, 1, 2, 3)))
    ]


class ManyCrashingJobsTests(unittest.TestCase):
    @parameterized.expand([(1, False), (2, False), (3, True), (8, False), (5, False)])
    def test_every_sound_job_ends(self, seed: int, keeps_ids: bool) -> None:
        """Guards against sound jobs that wait for isolation until long after the traffic's end."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=seed, workers=0, fleet=ReturningWorkers)
            rng, fleet = random.Random(seed), simulation.fleet
            fleet.keeps_ids = keeps_ids
            for number in range(WORKERS):
                fleet.add(
                    view(f"w{number}", service=SERVICE, cpu_millicores=64_000, memory_mb=256_000)
                )
            for instance in simulation.instances:
                instance.start()
            await asyncio.sleep(1.0)
            job_ids = [f"{number:016x}" for number in range(EARLY_JOBS + LATER_JOBS)]
            crashing = set(rng.sample(job_ids[:EARLY_JOBS], int(EARLY_JOBS * CRASHING_RATIO)))

            async def submit(job_id: str, after_s: float, steps: list[Step]) -> None:
                await asyncio.sleep(after_s)
                await simulation.submit(job_id, *steps)

            submitting = []
            for number, job_id in enumerate(job_ids):
                steps = steps_of(rng)
                fleet.cpu_millicores[job_id] = TASK_MILLICORES
                fleet.work_s[job_id] = TASK_S
                if job_id in crashing:
                    chosen = rng.randrange(len(steps))
                    index = rng.randrange(steps[chosen].count)
                    fleet.crashing.add(TaskName(job_id, 0, chosen, index))
                window_s = (
                    (0.0, CRASHING_JOBS_FOR_S)
                    if number < EARLY_JOBS
                    else (CRASHING_JOBS_FOR_S, TRAFFIC_S)
                )
                submitting.append(submit(job_id, rng.uniform(*window_s), steps))
            traffic = asyncio.gather(*submitting)
            await asyncio.sleep(SCHEDULER_KILLED_AT_S)
            holder = simulation.scheduler()
            assert holder is not None
            await simulation.replace(holder)
            await traffic
            await asyncio.sleep(FINISH_S)
            states = {one: simulation.state(one) for one in job_ids if one not in crashing}
            unfinished = [one for one, state in states.items() if state is not JobState.COMPLETED]
            self.assertEqual([], unfinished)
            self.assertEqual([], fleet.violations)
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
