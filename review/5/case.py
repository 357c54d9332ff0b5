"""A queue whose route is replaced by one of another service runs an accepted job twice."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "bed2"))

from bed import Bed, run_case  # noqa: E402

QUEUES = [("fault-trace", "/trace/", "mastlogg"), ("sweep", "/sweep/", "antennelab")]
REPLACED = [("fault-trace-2", "/trace/", "antennelab"), ("sweep", "/sweep/", "antennelab")]
JOB_ID = "00000000000000d1"
WORK_MS = 12000
JOB = {
    "spec": str(WORK_MS),
    "steps": [{"count": 2, "cpu": 3500, "memMb": 7200, "estimatedMs": WORK_MS}],
}
REPEAT_AFTER_S = 3.0
WATCH_S = 6.0


async def play(bed: Bed, is_disrupted: bool) -> list[str]:
    for lease in ("scheduler/mastlogg", "scheduler/antennelab"):
        await bed.until_held(lease)
    await asyncio.sleep(6.0)
    path = f"/trace/{JOB_ID}"
    status, _ = await bed.call(bed.entries[0], "POST", path, JOB)
    accepted_s = time.monotonic()
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    await asyncio.sleep(0.5)
    if is_disrupted:
        bed.queues = REPLACED
    bed.write_configuration(4)
    bed.record.line(f"case: the operator writes version 4 with the routes {bed.queues}")
    await asyncio.sleep(max(0.0, accepted_s + REPEAT_AFTER_S - time.monotonic()))
    await bed.call(bed.entries[1], "POST", path, JOB)
    breaks: list[str] = []
    ends_s = time.monotonic() + WATCH_S
    while time.monotonic() < ends_s and not breaks:
        runs: dict[str, list[str]] = {}
        for worker in bed.fleet.workers:
            for run in worker.runs.values():
                runs.setdefault(run.task, []).append(
                    f"run {run.run_id} on {worker.id} of {worker.service}"
                )
        breaks = [
            f"TWICE: two runs of task {task} at the same time: {', '.join(those)}"
            for task, those in runs.items()
            if len(those) > 1
        ]
        await asyncio.sleep(0.05)
    await bed.call(bed.entries[2], "GET", path)
    for one in breaks:
        bed.record.line(f"case: {one}")
    return breaks


if __name__ == "__main__":
    run_case(
        play, os.environ.get("TROUBLE", "1") != "0", FOLDER, entries=3, queues=QUEUES, workers=8
    )
