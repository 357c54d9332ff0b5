"""Time that a service starts no tasks after its scheduler is killed or stopped by an operator.

Instances, workers and the store run on simulated time while jobs keep arriving. The scheduler is
killed or stopped at a random time. The figures are the times until its successor first starts a
task of a job accepted before that, and of a job accepted after it.
"""

from __future__ import annotations

import asyncio
import random
import statistics

from tests.scheduling_fakes import step
from tests.scheduling_simulation import SchedulingSimulation
from tests.virtual_clock import run_scenario

from shallotworks.jobs import TaskName

SEEDS = range(1, 101)
JOB_INTERVAL_S = 0.1
OBSERVATION_S = 15.0


async def _submit_jobs(simulation: SchedulingSimulation) -> None:
    number = 0
    while True:
        number += 1
        submission = asyncio.create_task(
            simulation.submit(f"{number:016x}", step(1, estimated_s=0.5))
        )
        submission.add_done_callback(lambda done: done.cancelled() or done.exception())
        await asyncio.sleep(JOB_INTERVAL_S)


async def _measure(seed: int, *, is_planned: bool) -> tuple[float, float]:
    simulation = SchedulingSimulation(seed=seed, workers=2)
    loop = asyncio.get_running_loop()
    for instance in simulation.instances:
        instance.start()
    await asyncio.sleep(1.0)
    callers = asyncio.create_task(_submit_jobs(simulation))
    await asyncio.sleep(random.Random(seed).uniform(3.0, 5.0))
    scheduler = simulation.scheduler()
    assert scheduler is not None
    before = set(simulation.accepted)
    begun = set(simulation.fleet.started_tasks)
    at_s = loop.time()
    ended = asyncio.create_task(
        scheduler.elector.stop() if is_planned else simulation.replace(scheduler)
    )
    first_starts_s = [float("inf"), float("inf")]
    while loop.time() - at_s < OBSERVATION_S and float("inf") in first_starts_s:
        await asyncio.sleep(0.01)
        _record_first_starts(
            simulation.fleet.started_tasks - begun, before, first_starts_s, loop.time() - at_s
        )
    callers.cancel()
    await asyncio.gather(callers, ended, return_exceptions=True)
    await asyncio.sleep(1.0)
    for instance in simulation.instances:
        await instance.kill()
    return first_starts_s[0], first_starts_s[1]


def _record_first_starts(
    started: set[TaskName], before: set[str], first_starts_s: list[float], after_s: float
) -> None:
    for name in started:
        kind = 0 if name.job_id in before else 1
        first_starts_s[kind] = min(first_starts_s[kind], after_s)


def main() -> None:
    """Print the median and the longest time over the seeds."""
    for is_planned in (False, True):
        rows = [run_scenario(_measure(seed, is_planned=is_planned)) for seed in SEEDS]
        for kind, label in enumerate(("a job from before", "a job since")):
            times = sorted(row[kind] for row in rows if row[kind] < float("inf"))
            print(
                f"{'planned stop' if is_planned else 'kill':12s}  first start of {label}: "
                f"median {statistics.median(times):.2f} s, worst {times[-1]:.2f} s, "
                f"{len(times)} of {len(rows)} seeds"
            )


if __name__ == "__main__":
    main()
