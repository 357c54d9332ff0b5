"""Compares the order in which an overloaded scheduler starts tasks with simple baselines.

On simulated time, jobs arrive for five seconds at a higher rate than the pool can process, then
none do. Each policy gets the same arrivals. There is no network, and no real time is measured.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable

from shallotworks.jobs import Job, JobProgress, JobState, QueuePolicy, Step
from shallotworks.logs import StructuredLog
from shallotworks.scheduling import (
    DecisionEngine,
    EndedTask,
    EndKind,
    SchedulerState,
    StartOrder,
    TrackedStep,
    WorkerReport,
    WorkerView,
    urgency,
)

SortKey = Callable[[TrackedStep, float], tuple[float, ...]]

SEEDS = range(1, 9)
WORKER_COUNT = 8
WORKER_MILLICORES = 32_000
ARRIVAL_PERIOD_S = 5.0
WIND_DOWN_S = 10.0
JOBS_PER_S = 30.0
TICK_S = 0.05
POLICY = QueuePolicy(queue="q", service="s", most_attempts=2, stretch=1.6, target_latency_s=0.6)


def first_come(entry: TrackedStep, wall_s: float) -> tuple[float, ...]:
    """Order by time of acceptance."""
    return (entry.tracked_job.job.accepted_s,)


def deadline_only(entry: TrackedStep, wall_s: float) -> tuple[float, ...]:
    """Order by the end of the objective, including jobs that can no longer meet it."""
    return (entry.objective_ends_s,)


def smallest_first(entry: TrackedStep, wall_s: float) -> tuple[float, ...]:
    """Order by the total work of the job."""
    return (entry.tracked_job.work_core_s,)


def least_slack(entry: TrackedStep, wall_s: float) -> tuple[float, ...]:
    """Order jobs that can meet their objective by the latest start time, the rest by work."""
    latest_s = entry.objective_ends_s - entry.critical_path_s
    if wall_s <= latest_s:
        return (0, latest_s)
    return (1, entry.tracked_job.work_core_s)


POLICIES: dict[str, SortKey] = {
    "first come first served": first_come,
    "deadline only": deadline_only,
    "smallest first": smallest_first,
    "least slack": least_slack,
    "urgency (in use)": urgency,
}


def main() -> None:
    """Print the fraction of jobs that met their objective, by policy."""
    print(f"{'order':26} in objective  worst seed  of the largest fifth")
    for name, order in POLICIES.items():
        results = [_simulate(seed, order) for seed in SEEDS]
        shares = [all_part for all_part, _ in results]
        largest = statistics.median(large for _, large in results)
        print(f"{name:26} {statistics.median(shares):12.3f} {min(shares):11.3f} {largest:11.3f}")


def _simulate(seed: int, order: SortKey) -> tuple[float, float]:
    rng = random.Random(seed)
    arrivals = _arrivals(rng)
    scheduler_state = SchedulerState(
        service="s", token=1, log=StructuredLog(process="bench", write=len)
    )
    decision_engine = DecisionEngine(scheduler_state=scheduler_state, order=order)
    for number in range(WORKER_COUNT):
        view = WorkerView(
            worker_id=f"w{number}",
            service="s",
            address="",
            cpu_millicores=WORKER_MILLICORES,
            memory_mb=1_000_000,
        )
        scheduler_state.update_worker(view)
        worker = scheduler_state.workers[view.worker_id]
        worker.lease_ends_s = 1e9
        worker.is_fenced = True
    running: list[tuple[float, StartOrder]] = []
    ended_s: dict[str, float] = {}
    now_s = 0.0
    while now_s < ARRIVAL_PERIOD_S + WIND_DOWN_S:
        while arrivals and arrivals[0].accepted_s <= now_s:
            _add_job(scheduler_state, arrivals.pop(0), now_s)
        running = _end_some(scheduler_state, running, now_s)
        _record_completed(scheduler_state, ended_s, now_s)
        for decision in decision_engine.decide(now_s=now_s, wall_s=now_s):
            if isinstance(decision, StartOrder):
                length_s = decision.run.step.estimated_s * rng.uniform(0.8, 1.2)
                running.append((now_s + length_s, decision))
        now_s += TICK_S
    return _met_ratios(scheduler_state, ended_s)


def _arrivals(rng: random.Random) -> list[Job]:
    jobs: list[Job] = []
    at_s = 0.0
    while at_s < ARRIVAL_PERIOD_S:
        at_s += rng.expovariate(JOBS_PER_S)
        steps = tuple(
            Step(
                count=max(1, min(24, int(rng.lognormvariate(1.6, 0.6)))),
                cpu_millicores=int(min(9_000, rng.lognormvariate(7.6, 0.45))),
                memory_mb=100,
                estimated_s=min(2.0, rng.lognormvariate(-0.55, 0.5)),
                after=(number - 1,) if number else (),
            )
            for number in range(rng.choice((1, 1, 2, 3)))
        )
        jobs.append(
            Job(job_id=f"{len(jobs):016x}", policy=POLICY, spec="", steps=steps, accepted_s=at_s)
        )
    return jobs


def _add_job(scheduler_state: SchedulerState, job: Job, now_s: float) -> None:
    scheduler_state.add_job(
        job, JobProgress(queue="q"), revision=1, is_inherited=False, wall_s=now_s
    )


def _end_some(
    scheduler_state: SchedulerState, running: list[tuple[float, StartOrder]], now_s: float
) -> list[tuple[float, StartOrder]]:
    for ends_s, order in running:
        if ends_s <= now_s:
            worker = scheduler_state.workers[order.run.worker_id]
            end = EndedTask(
                number=worker.highest_seen_end + 1,
                name=order.run.name,
                run_id=order.run.run_id,
                kind=EndKind.DONE,
            )
            report = WorkerReport(clock_ms=1, running=(), ended=(end,))
            scheduler_state.apply_report(
                worker,
                report,
                order_token=worker.order_token,
                sent_s=-1.0,
                now_s=now_s,
                wall_s=now_s,
            )
    return [row for row in running if row[0] > now_s]


def _record_completed(
    scheduler_state: SchedulerState, ended_s: dict[str, float], now_s: float
) -> None:
    for job_id, entry in scheduler_state.tracked_jobs.items():
        if entry.progress.state is JobState.COMPLETED:
            ended_s.setdefault(job_id, now_s)


def _met_ratios(scheduler_state: SchedulerState, ended_s: dict[str, float]) -> tuple[float, float]:
    entries = sorted(scheduler_state.tracked_jobs.values(), key=lambda entry: entry.work_core_s)
    met_objective = [
        ended_s.get(entry.job.job_id, 1e9) <= entry.job.accepted_s + entry.job.objective_s()
        for entry in entries
    ]
    largest = met_objective[-len(met_objective) // 5 :]
    return sum(met_objective) / len(met_objective), sum(largest) / len(largest)
