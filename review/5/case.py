"""A lasting job is failed after crashes of two of its workers."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "bed2"))

from bed import Bed, Worker, run_case  # noqa: E402

QUEUES = [("log-archive", "/archive/", "mastlogg")]
JOB_ID = "5c0e7a21d94b36f8"
JOB = {
    "spec": "lasts",
    "steps": [
        {
            "count": 5,
            "cpu": 5200,
            "memMb": 19000,
            "estimatedMs": 500,
            "longRunning": True,
            "mayMiss": 1,
        }
    ],
}
CRASHES = 2
CRASH_AFTER_START_S = 0.1
DOWN_S = 4.5
WATCH_S = 30.0


async def play(bed: Bed, is_disrupted: bool) -> list[str]:
    crashes: list[asyncio.Task] = []
    lost_tasks: set[str] = set()

    async def crash(worker: Worker) -> None:
        await asyncio.sleep(CRASH_AFTER_START_S)
        lost_tasks.update(worker.runs)
        bed.record.line(f"case: worker {worker.id} crashes for {DOWN_S} s")
        await bed.fleet.crash_for(worker, DOWN_S)

    def on_start(worker: Worker, task: str) -> None:
        is_next = not crashes or (crashes[-1].done() or lost_tasks) and task in lost_tasks
        if is_disrupted and len(crashes) < CRASHES and is_next:
            crashes.append(asyncio.create_task(crash(worker)))

    await bed.until_held("scheduler/mastlogg")
    await asyncio.sleep(2.0)
    bed.fleet.on_start = on_start
    entry = bed.entries[0]
    status, _ = await bed.call(entry, "POST", f"/archive/{JOB_ID}", JOB)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    bed.record.line("case: the lasting job was accepted")
    breaks: list[str] = []
    shown = ""
    ends_s = time.monotonic() + WATCH_S
    while time.monotonic() < ends_s and not breaks:
        status, body = await bed.call(entry, "GET", f"/archive/{JOB_ID}", quiet=True)
        if status and body.get("state", status) != shown:
            shown = body.get("state", status)
            bed.record.line(f"case: the job is shown as {shown}")
        failed_ends = [end for end in bed.fleet.ends if end[3] == "failed"]
        if shown == "failed" and not failed_ends:
            breaks.append(
                f"LOST: the lasting job, which nobody cancelled, is shown as failed after "
                f"{len(crashes)} crashes of workers, and no worker has listed an end 'failed'"
            )
        await asyncio.sleep(0.1)
    await asyncio.sleep(3.0)
    at_work = sorted({task for worker in bed.fleet.workers for task in worker.runs})
    bed.record.line(f"case: tasks at work at the end: {at_work}")
    for task in crashes:
        task.cancel()
    return breaks


if __name__ == "__main__":
    run_case(play, FOLDER, entries=3, queues=QUEUES, workers=8)
