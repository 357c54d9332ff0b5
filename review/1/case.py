"""The process that schedules a service is killed while a job of many small tasks runs."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.bed.bed import Bed, CaseNotRunError, Route, run_case
from review.bed.processes import EntryProcess
from review.bed.workers import Task

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place."""
JOB_ID = "5c0e7a21d94b36f8"
PREFIX = "/puxa400/"
POOLS = {"service-a": 3}
TASKS = 900
CPU_MILLICORES = 50
MEMORY_MB = 64
WORK_S = 3.0
STEP = {
    "count": TASKS,
    "cpu": CPU_MILLICORES,
    "memMb": MEMORY_MB,
    "estimatedMs": int(WORK_S * 1000),
}
KILLED_AFTER_S = 2.0
MAX_STARTING_S = 2.8
"""The process is killed once all tasks have started, between these times after the acceptance."""
DOWN_S = 3.5
"""How long the killed process is away."""
WATCHED_S = 20.0


def task_of(_task: str) -> Task:
    """Return how each task behaves."""
    return Task(cpu_millicores=CPU_MILLICORES, memory_mb=MEMORY_MB, work_s=WORK_S)


async def play(bed: Bed) -> bool:
    """Play the case; return whether TWICE held."""
    await bed.start(pools=POOLS, routes=[Route(name="r-1", prefix=PREFIX, service="service-a")])
    await asyncio.sleep(3.0)
    await bed.submit(0, PREFIX + JOB_ID, {"spec": "check", "steps": [STEP]})
    accepted_s = bed.record.now_s()
    await asyncio.sleep(KILLED_AFTER_S)
    while len(bed.fleet.starts) < TASKS and bed.record.now_s() < accepted_s + MAX_STARTING_S:
        await asyncio.sleep(0.02)
    bed.record.line("begun", starts=len(bed.fleet.starts), ends=len(bed.fleet.ends))
    if IS_TROUBLED:
        entry = _scheduling_entry(bed)
        bed.record.line("kill", process=entry.name)
        entry.send(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        bed.record.line("restart", process=entry.name)
        await entry.start()
    await asyncio.sleep(WATCHED_S)
    await bed.call(0, "GET", PREFIX + JOB_ID)
    broken = bed.twice()
    bed.record.line("checked", starts=len(bed.fleet.starts), twice=len(broken))
    return not broken


def _scheduling_entry(bed: Bed) -> EntryProcess:
    """Return the process that last wrote to the store of the job under a condition.

    The job's acceptance is such a write too, but the one that its first start brings is later.
    """
    names = [name for key, name in bed.store.writers.items() if JOB_ID in key]
    if not names:
        raise CaseNotRunError("nothing was written of the job")
    return next(entry for entry in bed.entries if entry.name == names[-1])


if __name__ == "__main__":
    sys.exit(run_case(__file__, play=play, task_of=task_of, is_troubled=IS_TROUBLED))
