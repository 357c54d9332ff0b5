"""Duration of one scheduling decision by the size of the pool, with thousands of waiting tasks.

In each round some tasks end on random workers, and the scheduler decides how to use the freed
capacity. There is no network and no store; the figures are processor time. With teams, the jobs are
of teams, most of them beyond their weights.
"""

from __future__ import annotations

import itertools
import random
import statistics
import time

from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, step, view

from shallotworks.jobs import Team
from shallotworks.scheduling import DecisionEngine, EndKind, StartOrder
from shallotworks.scheduling.teams import TeamWeights

WORKER_COUNTS = (40, 280, 1_100)
WAITING_TASKS = 5_000
TEAMS = 78
TASKS_PER_JOB = 8
ROUNDS = 200
ENDS_PER_ROUND = 20
WORKERS_PER_RACK = 8
TASK_MILLICORES = (4_000, 7_000, 9_000, 14_000)


def main() -> None:
    """Print a row for each pool size, without and with teams."""
    print("workers  teams  median ms  p99 ms  longest ms  starts a round")
    for workers, teams in itertools.product(WORKER_COUNTS, (0, TEAMS)):
        spent_s, starts = _run_rounds(workers, teams)
        spent_s.sort()
        print(
            f"{workers:7} {teams:6} {statistics.median(spent_s) * 1e3:10.2f} "
            f"{spent_s[int(ROUNDS * 0.99) - 1] * 1e3:7.2f} {spent_s[-1] * 1e3:11.2f} "
            f"{starts / ROUNDS:15.1f}",
            flush=True,
        )


def _run_rounds(workers: int, teams: int) -> tuple[list[float], int]:
    rng = random.Random(workers)
    harness = _make_full_harness(workers, teams, rng)
    weights = _weights(harness, teams)
    spent_s: list[float] = []
    started = 0
    for _ in range(ROUNDS):
        harness.now_s += 0.02
        _end_some(harness, rng)
        began_s = time.process_time()
        weights.refresh(WALL_S + harness.now_s - 100.0)
        decisions = harness.decide()
        spent_s.append(time.process_time() - began_s)
        started += sum(isinstance(decision, StartOrder) for decision in decisions)
    return spent_s, started


def _make_full_harness(workers: int, teams: int, rng: random.Random) -> SchedulingHarness:
    """Return a harness with full workers and thousands of waiting tasks."""
    harness = SchedulingHarness(
        *(
            view(
                f"w{n:04}",
                cpu_millicores=64_000,
                memory_mb=131_072,
                rack=f"r{n // WORKERS_PER_RACK}",
            )
            for n in range(workers)
        )
    )
    number = 0
    while True:
        _add_job(harness, number, teams, rng)
        number += 1
        while harness.start_orders():
            pass
        if any(True for _ in harness.scheduler_state.open_steps()):
            break
    for _ in range(WAITING_TASKS // TASKS_PER_JOB):
        _add_job(harness, number, teams, rng)
        number += 1
    return harness


def _weights(harness: SchedulingHarness, teams: int) -> TeamWeights:
    """Let the harness decide by the weights of teams."""
    by_name = {f"team-{n}": Team(name=f"team-{n}", weight=1.0 + n / 10) for n in range(teams)}
    weights = TeamWeights(scheduler_state=harness.scheduler_state, team_of=by_name.get)
    harness.decision_engine = DecisionEngine(
        scheduler_state=harness.scheduler_state, order=weights.order
    )
    for tracked_job in harness.scheduler_state.tracked_jobs.values():
        weights.is_beyond_weight(tracked_job.job)
    return weights


def _add_job(harness: SchedulingHarness, number: int, teams: int, rng: random.Random) -> None:
    job_step = step(
        TASKS_PER_JOB,
        cpu_millicores=rng.choice(TASK_MILLICORES),
        memory_mb=rng.randrange(4_000, 30_000),
        estimated_s=rng.uniform(0.5, 2.0),
    )
    team = f"team-{number % teams}" if teams else ""
    one = job(f"{number:016x}", job_step, accepted_s=WALL_S + number / 1_000, team=team)
    harness.add_job(one)


def _end_some(harness: SchedulingHarness, rng: random.Random) -> None:
    busy = [worker for worker in harness.scheduler_state.workers.values() if worker.runs]
    for worker in rng.sample(busy, min(ENDS_PER_ROUND, len(busy))):
        run = rng.choice(list(worker.runs.values()))
        harness.report(worker.worker_id, ended=((run.name, run.run_id, EndKind.DONE),), sent_s=-1.0)
