"""How long one decision takes, by the size of the pool, with thousands of tasks that wait.

Each round some tasks end on drawn workers, and what came free is decided on. No network and no
store; the time is the processor's.
"""

from __future__ import annotations

import random
import statistics
import time

from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, step, view

from shallotworks.scheduling import EndKind, StartOrder

WORKERS = (40, 280, 1_100)
WAITING_TASKS = 5_000
TASKS_A_JOB = 8
ROUNDS = 200
ENDS_A_ROUND = 20
RACK = 8
CORES_A_TASK = (4_000, 7_000, 9_000, 14_000)


def main() -> None:
    """Print a row for each size of a pool."""
    print("workers  median ms  p99 ms  longest ms  starts a round")
    for workers in WORKERS:
        spent_s, starts = _play(workers)
        spent_s.sort()
        print(
            f"{workers:7} {statistics.median(spent_s) * 1e3:10.2f} "
            f"{spent_s[int(ROUNDS * 0.99) - 1] * 1e3:7.2f} {spent_s[-1] * 1e3:11.2f} "
            f"{starts / ROUNDS:15.1f}",
            flush=True,
        )


def _play(workers: int) -> tuple[list[float], int]:
    rng = random.Random(workers)
    harness = _full(workers, rng)
    spent_s: list[float] = []
    started = 0
    for _ in range(ROUNDS):
        harness.now_s += 0.02
        _end_some(harness, rng)
        began_s = time.process_time()
        decisions = harness.decide()
        spent_s.append(time.process_time() - began_s)
        started += sum(isinstance(one, StartOrder) for one in decisions)
    return spent_s, started


def _full(workers: int, rng: random.Random) -> SchedulingHarness:
    """Return a board whose workers are full, with thousands of tasks that wait."""
    harness = SchedulingHarness(
        *(
            view(f"w{n:04}", cpu_millicores=64_000, memory_mb=131_072, rack=f"r{n // RACK}")
            for n in range(workers)
        )
    )
    number = 0
    while True:
        _hand_in(harness, number, rng)
        number += 1
        while harness.start_orders():
            pass
        if any(True for _ in harness.scheduler_state.open_steps()):
            break
    for _ in range(WAITING_TASKS // TASKS_A_JOB):
        _hand_in(harness, number, rng)
        number += 1
    return harness


def _hand_in(harness: SchedulingHarness, number: int, rng: random.Random) -> None:
    wanted = step(
        TASKS_A_JOB,
        cpu_millicores=rng.choice(CORES_A_TASK),
        memory_mb=rng.randrange(4_000, 30_000),
        estimated_s=rng.uniform(0.5, 2.0),
    )
    harness.add_job(job(f"{number:016x}", wanted, accepted_s=WALL_S + number / 1_000))


def _end_some(harness: SchedulingHarness, rng: random.Random) -> None:
    busy = [worker for worker in harness.scheduler_state.workers.values() if worker.runs]
    for worker in rng.sample(busy, min(ENDS_A_ROUND, len(busy))):
        run = rng.choice(list(worker.runs.values()))
        harness.report(worker.worker_id, ended=((run.name, run.run_id, EndKind.DONE),), sent_s=-1.0)
