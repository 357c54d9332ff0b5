"""A pool under load on a manual clock, some of whose workers are slow; its jobs' times by id."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from shallotworks.jobs import TaskName
from shallotworks.scheduling import EndKind, Run, RunningTask, RunPhase, StartOrder, StopOrder
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, step, view

TICK_S = 0.05
REPORT_INTERVAL_S = 0.5
STOP_TICKS = 8
"""A stop is obeyed after this many ticks."""
CORES = 8
TASKS_PER_JOB = 8
WORK_SPREAD = 0.3
"""Spread of the tasks of a step; that of the steps is twice this."""
MAX_DRAIN_S = 60.0


@dataclass(slots=True, kw_only=True)
class _Work:
    """What is left of a run, in seconds on a sound worker."""

    run: Run
    total_s: float
    left_s: float
    stop_in: int | None = None


class UnevenLoad:
    """Jobs of eight tasks of a core that arrive at random on a pool that starts empty.

    Args:
        seed: Seed of all random choices; it draws the same jobs whichever workers are slow.
        workers: Number of workers.
        slow: Number of slow workers, the first ones.
        slowdown: How many times longer tasks take there.
        utilisation: Core-seconds asked for each second, as a ratio of the cores.
        estimate_spread: Standard deviation of the natural logarithm of stated to true length.
        is_speculative: Whether copies are allowed.
    """

    def __init__(
        self,
        *,
        seed: int,
        workers: int = 28,
        slow: int = 0,
        slowdown: float = 7.0,
        utilisation: float = 0.7,
        estimate_spread: float = 0.2,
        is_speculative: bool = False,
    ) -> None:
        self._rng = random.Random(seed)
        views = [
            view(f"w{n:02}", cpu_millicores=CORES * 1000, rack=f"r{n // 4}") for n in range(workers)
        ]
        self.harness = SchedulingHarness(*views)
        self._speeds = {f"w{n:02}": 1 / slowdown if n < slow else 1.0 for n in range(workers)}
        self._jobs_per_s = utilisation * workers * CORES / TASKS_PER_JOB
        self._estimate_spread = estimate_spread
        self._is_speculative = is_speculative
        self._works: dict[str, dict[Run, _Work]] = {worker: {} for worker in self._speeds}
        self._lengths_s: dict[TaskName, float] = {}
        self._open: dict[str, set[TaskName]] = {}
        self._arrived_s: dict[str, float] = {}
        self._reported_s = dict.fromkeys(self._speeds, 0.0)
        self.durations_s: dict[str, float] = {}
        """Seconds from the arrival of a job to its last task's end, by job id."""
        self.placements: list[tuple[TaskName, str]] = []
        self.busy_core_s = 0.0
        self.found_slow: set[str] = set()
        """The workers that have counted as slow at any time."""

    def run(self, for_s: float) -> None:
        """Let jobs arrive for some seconds, and go on until all have ended."""
        end_s = self.harness.now_s + for_s
        next_s = self.harness.now_s
        while self.harness.now_s < end_s + MAX_DRAIN_S:
            self.harness.now_s += TICK_S
            next_s = self._add_arrivals(next_s, min(self.harness.now_s, end_s))
            for worker_id in self._speeds:
                self._advance(worker_id)
            self.harness.store()
            self._decide()
            if self.harness.now_s > end_s and not self._open:
                return

    def quantile_s(self, ratio: float) -> float:
        """Return a quantile of the jobs' durations; unfinished ones count as infinite."""
        times = sorted([*self.durations_s.values(), *(math.inf for _ in self._open)])
        return times[min(len(times) - 1, int(len(times) * ratio))]

    def _add_arrivals(self, next_s: float, until_s: float) -> float:
        while next_s < until_s:
            job_id = f"{len(self._arrived_s):016x}"
            median_s = self._rng.lognormvariate(-0.23, 2 * WORK_SPREAD)
            stated_s = median_s * self._rng.lognormvariate(0.0, 1.0) ** self._estimate_spread
            wanted = step(TASKS_PER_JOB, estimated_s=stated_s, is_speculative=self._is_speculative)
            names = [TaskName(job_id, 0, 0, index) for index in range(TASKS_PER_JOB)]
            for name in names:
                self._lengths_s[name] = median_s * self._rng.lognormvariate(0.0, WORK_SPREAD)
            self._open[job_id] = set(names)
            self._arrived_s[job_id] = next_s
            wall_s = WALL_S + next_s - 100.0
            self.harness.add_job(job(job_id, wanted, accepted_s=wall_s), wall_s=wall_s)
            next_s += self._rng.expovariate(self._jobs_per_s)
        return next_s

    def _advance(self, worker_id: str) -> None:
        ended = []
        works = self._works[worker_id]
        for run, work in list(works.items()):
            work.left_s -= TICK_S * self._speeds[worker_id]
            self.busy_core_s += TICK_S
            if work.stop_in is not None:
                work.stop_in -= 1
            if work.left_s <= 0 or work.stop_in == 0:
                kind = EndKind.DONE if work.left_s <= 0 else EndKind.STOPPED
                ended.append((run.name, run.run_id, kind))
                del works[run]
        is_due = self.harness.now_s - self._reported_s[worker_id] >= REPORT_INTERVAL_S
        if not ended and not is_due:
            return
        self._reported_s[worker_id] = self.harness.now_s
        rows = tuple(
            RunningTask(
                name=run.name,
                run_id=run.run_id,
                percent=int(100 * (1 - work.left_s / work.total_s)),
            )
            for run, work in works.items()
        )
        self.harness.report(worker_id, running=rows, ended=tuple(ended))
        for name, _, kind in ended:
            if kind is EndKind.DONE:
                self._note_done(name)

    def _note_done(self, name: TaskName) -> None:
        left = self._open.get(name.job_id, set())
        left.discard(name)
        if not left and self._open.pop(name.job_id, None) is not None:
            took_s = self.harness.now_s - self._arrived_s[name.job_id]
            self.durations_s[name.job_id] = took_s

    def _decide(self) -> None:
        decisions = self.harness.decide()
        workers = self.harness.scheduler_state.workers.values()
        self.found_slow.update(worker.worker_id for worker in workers if worker.is_slow)
        for order in decisions:
            if isinstance(order, StartOrder):
                run = order.run
                length_s = self._lengths_s[run.name]
                self._works[run.worker_id][run] = _Work(run=run, total_s=length_s, left_s=length_s)
                run.enter(RunPhase.RUNNING, self.harness.now_s)
                self.placements.append((run.name, run.worker_id))
            elif isinstance(order, StopOrder):
                work = self._works[order.run.worker_id].get(order.run)
                if work is not None and work.stop_in is None:
                    work.stop_in = STOP_TICKS
                order.run.enter(RunPhase.STOPPED, self.harness.now_s)
