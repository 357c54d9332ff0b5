"""Measures how long single steps hold the event loop, by the size of accepted jobs."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, quiet_log, step, view

from shallotworks.jobs import Job, Repeats
from shallotworks.metrics import Metrics
from shallotworks.scheduling._waiting import WaitMonitor

WORKERS = 20
MS_PER_S = 1000


def overdue(number: int, count: int, tasks: int = 1) -> Job:
    """Return a job of one step, all of whose occurrences are due."""
    repeats = Repeats(first_s=WALL_S - count - 1, interval_s=1.0 if count > 1 else 0.0, count=count)
    return job(f"{number:016x}", step(tasks), repeats=repeats)


CASES: tuple[tuple[str, Callable[[], list[Job]]], ...] = (
    ("no overdue occurrence", lambda: [job("0" * 16, step(1))]),
    ("1 job, 10,000 overdue", lambda: [overdue(0, 10_000)]),
    ("1 job, 1,000,000 overdue", lambda: [overdue(0, 1_000_000)]),
    ("2,000 jobs, 1,000 overdue each", lambda: [overdue(n, 1_000) for n in range(2_000)]),
    ("1 job, 1,000 overdue of 10,000 tasks", lambda: [overdue(0, 1_000, 10_000)]),
    ("100 jobs of 10,000 tasks", lambda: [overdue(n, 1, 10_000) for n in range(100)]),
    (
        "100 gangs of 10,000 tasks",
        lambda: [job(f"{n:016x}", step(10_000, is_gang=True)) for n in range(100)],
    ),
    ("1 job of 10,000 steps", lambda: [job("0" * 16, *[step(1)] * 10_000)]),
)


def main() -> None:
    """Print the longest hold when a job is added, a decision is made, and waits are reported."""
    for name, make_jobs in CASES:
        pool = [view(f"w{n}", cpu_millicores=64_000, memory_mb=131_072) for n in range(WORKERS)]
        harness = SchedulingHarness(*pool)
        monitor = WaitMonitor(
            scheduler_state=harness.scheduler_state, metrics=Metrics(), log=quiet_log()
        )
        added = max(_timed_ms(partial(harness.add_job, one)) for one in make_jobs())
        decided = max(_timed_ms(harness.decide) for _ in range(5))
        report = partial(monitor.report, now_s=harness.now_s, wall_s=WALL_S)
        reported = max(_timed_ms(report) for _ in range(3))
        print(f"| {name} | {added:.1f} | {decided:.1f} | {reported:.1f} |")


def _timed_ms(work: Callable[[], object]) -> float:
    started_s = time.perf_counter()
    work()
    return (time.perf_counter() - started_s) * MS_PER_S


if __name__ == "__main__":
    main()
