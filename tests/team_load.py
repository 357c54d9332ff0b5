"""A load of several teams on one service, on a manual clock and with the real decisions."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from dataclasses import dataclass

from shallotworks.jobs import Job, JobProgress, Step, Team
from shallotworks.scheduling import DecisionEngine, EndKind, Run, StartOrder
from shallotworks.scheduling.teams import TeamWeights
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, policy, step, view

TICK_S = 0.04
WORKER_MILLICORES = 16_000
BEGIN_S = 100.0
"""The harness's clock at the beginning."""


@dataclass(slots=True)
class Served:
    """What became of one job; times in seconds since the beginning."""

    job: Job
    sent_s: float
    started_s: float | None = None
    done_s: float | None = None

    @property
    def is_in_time(self) -> bool:
        """Whether it was done within its objective."""
        return self.done_s is not None and self.done_s - self.sent_s <= self.job.objective_s()

    @property
    def wait_s(self) -> float:
        """Time until its first task started."""
        return (self.started_s if self.started_s is not None else float("inf")) - self.sent_s


class TeamLoad:
    """One service whose jobs come from teams.

    Args:
        teams: The teams of the configuration.
        workers: Number of workers, of 16 cores each.
    """

    def __init__(self, *teams: Team, workers: int = 10) -> None:
        self.teams = {team.name: team for team in teams}
        self.capacity_cores = workers * WORKER_MILLICORES / 1000
        self.harness = SchedulingHarness(
            *(
                view(f"w{n}", cpu_millicores=WORKER_MILLICORES, memory_mb=16_000)
                for n in range(workers)
            )
        )
        self.weights = TeamWeights(
            scheduler_state=self.harness.scheduler_state, team_of=lambda name: self.teams.get(name)
        )
        self.weights.refresh(WALL_S)
        self.harness.decision_engine = DecisionEngine(
            scheduler_state=self.harness.scheduler_state,
            order=self.weights.order,
        )
        self.served: dict[str, Served] = {}
        self.beyond: set[str] = set()
        """Jobs beyond their team's weight."""
        self.used_core_s: dict[str, float] = defaultdict(float)
        self.idle_while_waiting: list[float] = []
        """Times at which a worker had room for a task that waited."""
        self._sends: list[tuple[float, str, tuple[Step, ...]]] = []
        self._ends: list[tuple[float, int, Run]] = []
        self._runs = 0

    @property
    def now_s(self) -> float:
        """Time since the beginning."""
        return self.harness.now_s - BEGIN_S

    def send(self, at_s: float, team: str, *steps: Step) -> None:
        """Let a team send a job."""
        self._sends.append((at_s, team, steps))

    def send_at_rate(
        self, team: str, rate: float, *, until_s: float, seed: int, from_s: float = 0.0
    ) -> None:
        """Let a team send jobs of two tasks of a core and about a second, at drawn times."""
        rng = random.Random(f"{team} {seed}")
        at_s = from_s
        while (at_s := at_s + rng.expovariate(rate)) < until_s:
            self.send(at_s, team, step(2, estimated_s=rng.uniform(0.7, 1.3)))

    def run(self, until_s: float) -> None:
        """Serve until a time."""
        self._sends.sort(key=lambda row: row[0], reverse=True)
        while self.now_s < until_s:
            self.harness.now_s += TICK_S
            self._accept()
            self._end_due()
            self._decide()
            for team in self.harness.scheduler_state.team_use.teams():
                use = self.harness.scheduler_state.team_use.of(team)
                self.used_core_s[team] += use.cpu_millicores / 1000 * TICK_S

    def _accept(self) -> None:
        while self._sends and self._sends[-1][0] <= self.now_s:
            at_s, team, steps = self._sends.pop()
            one = job(
                f"{len(self.served):016x}",
                *steps,
                team=team,
                accepted_s=WALL_S + at_s,
                policy=policy(stretch=2.0, target_latency_s=0.6),
            )
            self.add(one)

    def add(self, one: Job) -> None:
        """Add a job as the scheduler does when it reads it."""
        self.served[one.job_id] = Served(one, one.accepted_s - WALL_S)
        is_beyond = self.weights.is_beyond_weight(one)
        if is_beyond:
            self.beyond.add(one.job_id)
        self.harness.scheduler_state.add_job(
            one,
            _progress(one),
            revision=1,
            is_inherited=False,
            wall_s=WALL_S + self.now_s,
            is_beyond_weight=is_beyond,
        )

    def _end_due(self) -> None:
        while self._ends and self._ends[0][0] <= self.now_s:
            _, _, run = heapq.heappop(self._ends)
            ended = ((run.name, run.run_id, EndKind.DONE),)
            self.harness.report(run.worker_id, ended=ended, sent_s=-1.0)
            if run.name.job_id not in self.harness.scheduler_state.tracked_jobs or (
                self.harness.scheduler_state.tracked_jobs[run.name.job_id].progress.state.is_final
            ):
                self.served[run.name.job_id].done_s = self.now_s
        self.harness.store()

    def _decide(self) -> None:
        while True:
            self.weights.refresh(WALL_S + self.now_s)
            orders = [one for one in self.harness.decide() if isinstance(one, StartOrder)]
            for order in orders:
                self._runs += 1
                ends_s = self.now_s + order.run.step.estimated_s
                heapq.heappush(self._ends, (ends_s, self._runs, order.run))
                served = self.served[order.run.name.job_id]
                if served.started_s is None:
                    served.started_s = self.now_s
            if not self.harness.decision_engine.has_reached_start_limit:
                break
        if self._has_usable_room():
            self.idle_while_waiting.append(self.now_s)

    def _has_usable_room(self) -> bool:
        state = self.harness.scheduler_state
        sizes = {(one.step.cpu_millicores, one.step) for one in state.open_steps()}
        return any(worker.fits(size) for worker in state.workers.values() for _, size in sizes)


def _progress(one: Job) -> JobProgress:
    return JobProgress(queue=one.policy.queue, team=one.team)
