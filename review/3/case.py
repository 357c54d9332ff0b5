"""Two jobs of one tenant, on two services, wait for room within the tenant's limit."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.bed.bed import Bed, Route, run_case
from review.bed.workers import Task

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place."""
POOLS = {"service-a": 3, "service-b": 3, "service-c": 3}
PATHS = {
    "service-a": "/puxa400/00000000000000aa",
    "service-b": "/wemi200/00000000000000bb",
    "service-c": "/tolu300/00000000000000cc",
}
LIMIT_MILLICORES = 8_000
FIRST_MILLICORES = 6_000
LATER_MILLICORES = 5_000
TENANT = {
    "name": "north",
    "apiKeys": ["k3y-of-north"],
    "weight": 1,
    "maxCount": {"cpu": LIMIT_MILLICORES, "memMb": 0, "gpu": 0},
}
WORK_S = 3.0
FINISH_S = 14.0
"""finish_s after the end of the traffic, jobs are asked for."""
IDLE_S = 3.0


def task_of(task: str) -> Task:
    """Return how each task behaves."""
    is_first = task.startswith("00000000000000aa")
    cpu_millicores = FIRST_MILLICORES if is_first else LATER_MILLICORES
    return Task(cpu_millicores=cpu_millicores, work_s=WORK_S)


def _body(cpu_millicores: int) -> dict[str, object]:
    step = {
        "count": 1,
        "cpu": cpu_millicores,
        "memMb": 100,
        "estimatedMs": int(WORK_S * 1000),
    }
    return {"spec": "quote", "steps": [step]}


async def play(bed: Bed) -> bool:
    """Play the case; return whether LOST held."""
    bed.tenants = [TENANT]
    routes = [
        Route(name=f"r-{service}", prefix=path.rpartition("/")[0] + "/", service=service)
        for service, path in PATHS.items()
    ]
    await bed.start(pools=POOLS, routes=routes)
    await asyncio.sleep(3.0)
    await bed.submit(0, PATHS["service-a"], _body(FIRST_MILLICORES))
    for entry, service in ((1, "service-b"), (2, "service-c")):
        # Without the disruption, the tenant sends a job once its earlier ones are done.
        await asyncio.sleep(0.2 if IS_TROUBLED else WORK_S + 2.0)
        await bed.submit(entry, PATHS[service], _body(LATER_MILLICORES))
    await asyncio.sleep(FINISH_S)
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + IDLE_S
    stuck = set(PATHS)
    while loop.time() < ends_at_s:
        stuck = {service for service in stuck if _may_run_twice(bed, service)}
        await asyncio.sleep(0.1)
    is_lost = False
    for service, path in PATHS.items():
        status, body = await bed.call(0, "GET", path)
        is_begun = any(start.task.startswith(path.rpartition("/")[2]) for start in bed.fleet.starts)
        is_lost |= service in stuck and status == 200 and not is_begun
        bed.record.line(
            "checked",
            service=service,
            state=body.get("state"),
            begun=is_begun,
            room_twice=service in stuck,
        )
    return not is_lost


def _may_run_twice(bed: Bed, service: str) -> bool:
    """Whether nothing runs for the tenant, and a service has room for its job twice over."""
    if any(worker.running for pool in POOLS for worker in bed.fleet.workers(pool)):
        return False
    millicores = FIRST_MILLICORES if service == "service-a" else LATER_MILLICORES
    workers = bed.fleet.workers(service)
    return sum(worker.free_millicores // millicores for worker in workers) >= 2


if __name__ == "__main__":
    sys.exit(run_case(__file__, play=play, task_of=task_of, is_troubled=IS_TROUBLED))
