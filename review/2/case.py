"""A queue's policy allows only workers that were added to a service of twelve."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.bed.advice import Advice
from review.bed.bed import Bed, Route, run_case
from review.bed.workers import Task

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place."""
JOB_ID = "5c0e7a21d94b36f8"
PREFIX = "/puxa400/"
WORKERS = 12
ADDED_WORKERS = 3
"""A quarter of the workers."""
POOLS = {"service-a": WORKERS}
ADVICE = {"decisionMs": 20, "periodMs": 5, "validMs": 2000}
STEP = {"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 1000}
FINISH_S = 14.0
"""finish_s after the end of the traffic, jobs are asked for."""
IDLE_S = 3.0
MAX_USED_RATIO = 0.5
WORKER_MILLICORES = 64_000


def task_of(_task: str) -> Task:
    """Return how each task behaves."""
    return Task(work_s=1.0)


async def play(bed: Bed) -> bool:
    """Play the case; return whether LOST held."""
    bed.advice = Advice(
        record=bed.record,
        decision_ms=ADVICE["decisionMs"],
        period_ms=ADVICE["periodMs"],
        valid_ms=ADVICE["validMs"],
    )
    route = Route(name="r-1", prefix=PREFIX, service="service-a", advice=ADVICE)
    await bed.start(pools=POOLS, routes=[route])
    await asyncio.sleep(3.0)
    if IS_TROUBLED:
        allowed = await bed.fleet.add("service-a", ADDED_WORKERS)
    else:
        allowed = bed.fleet.workers("service-a")[:ADDED_WORKERS]
    bed.advice.allowed = {worker.worker_id for worker in allowed}
    await asyncio.sleep(3.0)
    await bed.submit(0, PREFIX + JOB_ID, {"spec": "sweep", "steps": [STEP]})
    await asyncio.sleep(FINISH_S)
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + IDLE_S
    is_idle = True
    while loop.time() < ends_at_s:
        is_idle = is_idle and not bed.fleet.starts and _has_capacity_twice(bed)
        await asyncio.sleep(0.1)
    _, body = await bed.call(1, "GET", PREFIX + JOB_ID)
    is_lost = is_idle and body.get("state") not in ("completed", "cancelled")
    bed.record.line("checked", state=body.get("state"), starts=len(bed.fleet.starts))
    return not is_lost


def _has_capacity_twice(bed: Bed) -> bool:
    """Whether the allowed workers could run the job twice, and the service is under half used."""
    assert bed.advice is not None
    workers = bed.fleet.workers("service-a")
    free = [one.free_millicores for one in workers if one.worker_id in bed.advice.allowed]
    used = sum(WORKER_MILLICORES - one.free_millicores for one in workers)
    is_half_free = used < MAX_USED_RATIO * WORKER_MILLICORES * len(workers)
    return sum(free) >= 2 * STEP["cpu"] and is_half_free


if __name__ == "__main__":
    sys.exit(run_case(__file__, play=play, task_of=task_of, is_troubled=IS_TROUBLED))
