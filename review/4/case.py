"""One accepted schedule with many overdue times stops all work, in every process, for good."""

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
MINUTE_MS = 60_000
DAY_MS = 24 * 60 * MINUTE_MS
TIMES = 525_600
PASSED_DAYS = 300
JOBS = 24
JOB_GAP_S = 0.25
ATTEMPTS = 5
FINISH_S = 14.0
NOTHING_RUNS_S = 3.0
CPU = 3500
CAPACITY_CPU = 8 * 64000
STEP = {"count": 1, "cpu": CPU, "memMb": 7200, "estimatedMs": 500}


async def hand_in(bed: Bed, number: int, path: str, job: dict) -> bool:
    """Hand a job in at one entry process after the other until it is accepted."""
    for attempt in range(ATTEMPTS):
        entry = bed.entries[(number + attempt) % len(bed.entries)]
        status, _ = await bed.call(entry, "POST", path, job)
        if status == 200:
            return True
        await asyncio.sleep(0.2)
    return False


async def play(bed: Bed, is_disrupted: bool) -> list[str]:
    for lease in ("scheduler/mastlogg", "scheduler/antennelab"):
        await bed.until_held(lease)
    await asyncio.sleep(5.0)
    passed_ms = PASSED_DAYS * DAY_MS if is_disrupted else 0
    schedule = {
        "spec": "500",
        "steps": [STEP],
        "repeatCount": TIMES,
        "firstRunMs": int(time.time() * 1000) - passed_ms,
        "intervalMs": MINUTE_MS,
    }
    if not await hand_in(bed, 0, "/trace/00000000000000e0", schedule):
        raise RuntimeError("the schedule was not accepted")
    bed.record.line(
        f"case: a schedule of {TIMES} times, one a minute, is accepted; {passed_ms // MINUTE_MS} "
        f"of them have passed"
    )
    handing_in: dict[str, asyncio.Task[bool]] = {}
    for number in range(JOBS):
        await asyncio.sleep(JOB_GAP_S)
        path = f"/{('trace', 'sweep')[number % 2]}/{0xF000 + number:016x}"
        job = {"spec": "500", "steps": [STEP]}
        handing_in[path] = asyncio.create_task(hand_in(bed, number, path, job))
    await asyncio.gather(*handing_in.values())
    accepted = [path for path, task in handing_in.items() if task.result()]
    bed.record.line(f"case: {len(accepted)} of {JOBS} further jobs were accepted")
    await asyncio.sleep(FINISH_S)
    waiting = set(accepted)
    most_cpu = 0
    ends_s = time.monotonic() + NOTHING_RUNS_S
    while time.monotonic() < ends_s:
        running = [task for worker in bed.fleet.workers for task in worker.runs]
        most_cpu = max(most_cpu, len(running) * CPU)
        begun = {task.split(".")[0] for _, task, _, _ in bed.fleet.starts}
        waiting = {path for path in waiting if path.rsplit("/", 1)[1] not in begun}
        await asyncio.sleep(0.05)
    unanswered = 0
    for path in accepted:
        status, _ = await bed.call(bed.entries[0], "GET", path)
        unanswered += status != 200
        if unanswered >= 5:
            break
    bed.record.line(
        f"case: {len(waiting)} accepted jobs have not begun, {FINISH_S + NOTHING_RUNS_S:.0f} s "
        f"after the end of the traffic; at most {most_cpu} of {2 * CAPACITY_CPU} millicores were "
        f"in use; GETs without an answer: {unanswered}"
    )
    if waiting and most_cpu < CAPACITY_CPU / 2:
        return [
            f"LOST: {len(waiting)} of {len(accepted)} accepted jobs have nothing running for 3 s, "
            f"{FINISH_S:.0f} s after the end of the traffic, with the workers nearly empty"
        ]
    return []


if __name__ == "__main__":
    run_case(
        play, os.environ.get("TROUBLE", "1") != "0", FOLDER, entries=3, queues=QUEUES, workers=8
    )
