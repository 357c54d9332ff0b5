"""Ranks the waiting jobs of one service by their teams' weights; no network calls and no clock.

A team's weight is both a rate and a share. The jobs that it sends beyond `weight` jobs a second
come after all jobs that teams send within theirs, and while all is full each team's share of the
service is in proportion to its weight. Ranks only order: no job is dropped, and no room stays idle
while a task fits.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from operator import itemgetter
from typing import TYPE_CHECKING

from shallotworks.jobs import Job, Resources, Step, Team

from .._ordering import rank, urgency
from ._token_bucket import TokenBucket

if TYPE_CHECKING:
    # The state itself holds what the teams use.
    from .._scheduler_state import SchedulerState
    from .._tracked_jobs import TrackedStep

__all__ = ["TeamWeights"]

STEPS_PER_SHARE = 4
"""Steps from no use to a team's share. Within a step short and begun jobs come first, whichever
team they are of. A step ends exactly at the share, so that coarse steps still divide a full service
exactly."""
DEFAULT_WEIGHT = 1.0
"""Weight of jobs without a team, and of each team that the configuration no longer has."""
MIN_WEIGHT = 1e-3
"""A team of weight 0 counts as one of this weight, which comes last among the jobs beyond."""
ROUNDING = 1e-9


class TeamWeights:
    """Ranks of the teams on one service during one epoch of its scheduler.

    A verdict on a job is given once, from the times at which the jobs were accepted. A successor
    comes to the same verdicts from the records of the jobs, which are kept for minutes after their
    ends.

    Args:
        scheduler_state: The known jobs, runs and workers.
        team_of: Returns a team by its name as the configuration has it now; ``None`` if it has none
            of the name.
    """

    __slots__ = (
        "_buckets",
        "_keys",
        "_levels",
        "_scheduler_state",
        "_shares",
        "_team_of",
        "_unjudged",
        "beyond_jobs",
    )

    def __init__(
        self, *, scheduler_state: SchedulerState, team_of: Callable[[str], Team | None]
    ) -> None:
        self._scheduler_state = scheduler_state
        self._team_of = team_of
        self._buckets: dict[str, TokenBucket] = {}
        self._unjudged: list[Job] | None = []
        """Jobs that were read before the first decision, which are judged together in the order of
        acceptance; ``None`` from then on."""
        self.beyond_jobs: Counter[str] = Counter()
        """Jobs beyond its weight that each team has sent since the first decision."""
        self._shares: dict[str, float] = {}
        """Each team's use as a multiple of its share; empty while no weights apply."""
        self._levels: dict[str, int] = {}
        """Levels of the share of their teams at the turns of the waiting jobs, by id."""
        self._keys: dict[TrackedStep, tuple[float, ...]] = {}
        """Sort keys of the waiting steps."""

    def is_beyond_weight(self, job: Job) -> bool:
        """Count a job that was read from the store; return whether it is beyond its team's weight.

        Call it once for each job. Jobs that are read before the first decision are judged then.
        """
        if not job.team:
            return False
        if self._unjudged is not None:
            self._unjudged.append(job)
            return False
        is_beyond = self._judge(job)
        if is_beyond:
            self.beyond_jobs[job.team] += 1
        return is_beyond

    def _judge(self, job: Job) -> bool:
        team = self._team_of(job.team)
        if team is None:
            return False
        bucket = self._buckets.get(job.team)
        if bucket is None or bucket.rate != team.weight:
            bucket = self._buckets[job.team] = TokenBucket(rate=team.weight)
        return not bucket.cover(job.accepted_s)

    def refresh(self, wall_s: float) -> None:
        """Compute the shares and ranks for the next decision.

        Args:
            wall_s: Time of day in seconds since 1970.
        """
        if self._unjudged is not None:
            self._judge_first()
        state = self._scheduler_state
        self._levels, self._keys = {}, {}
        if not self._buckets:
            # No team of the configuration has sent a job.
            return
        steps = list(state.open_steps())
        active = {step.tracked_job.job.team for step in steps}.union(state.team_use.teams())
        weights = {name: self._team_of(name) for name in active}
        if not any(weights.values()):
            self._shares = {}
            state.teams_at_share, state.are_teams_competing = frozenset(), False
            return
        by_team = {
            name: max(MIN_WEIGHT, team.weight) if team is not None else DEFAULT_WEIGHT
            for name, team in weights.items()
        }
        total, capacity = sum(by_team.values()), self._capacity()
        projections = {
            name: _Projection(
                use=state.team_use.of(name), capacity=capacity, shares_of_all=total / weight
            )
            for name, weight in by_team.items()
        }
        self._shares = {name: one.share for name, one in projections.items()}
        self._rank_waiting(steps, projections, wall_s)
        state.teams_at_share = frozenset(name for name, share in self._shares.items() if share >= 1)
        state.are_teams_competing = len(by_team) > 1

    def _rank_waiting(
        self, steps: list[TrackedStep], projections: dict[str, _Projection], wall_s: float
    ) -> None:
        """Rank each waiting job by the share that its team will have when the job's turn comes.

        If all jobs of a team had the rank of its present share, a team just below its share would
        be given all room that becomes free in one decision.
        """
        steps.sort(key=lambda one: urgency(one, wall_s))
        rows = [(_group(one, wall_s), one) for one in steps if not one.step.is_lasting]
        rows.sort(key=itemgetter(0))
        levels, keys = self._levels, self._keys
        for number, (group, step) in enumerate(rows):
            job = step.tracked_job.job
            projection = projections[job.team]
            level = levels.get(job.job_id)
            if level is None:
                level = levels[job.job_id] = int(projection.share * STEPS_PER_SHARE)
            # Among equal levels the place in this order stands for all later keys.
            keys[step] = (rank(step, wall_s), job.policy.priority, group, level, number)
            if not (step.step.is_gang or job.policy.is_advised):
                # Others may wait long for all their members, or for permits.
                projection.add(step.step, len(step.waiting))

    def order(self, tracked_step: TrackedStep, wall_s: float) -> tuple[float, ...]:
        """Return the sort key of a waiting step; without weights that of `urgency`.

        Within a priority, jobs within their team's weight come before those beyond it, and in each
        of these groups those that can still meet their objective come first. Jobs whose answer
        would be too late to be useful are last. Then comes the team's share, and within a step of
        it the order of `urgency`.
        """
        if tracked_step.step.is_lasting or not self._shares:
            return urgency(tracked_step, wall_s)
        return self._keys.get(tracked_step) or (
            rank(tracked_step, wall_s),
            tracked_step.tracked_job.job.policy.priority,
            _group(tracked_step, wall_s),
        )

    def _judge_first(self) -> None:
        jobs, self._unjudged = self._unjudged or [], None
        for job in sorted(jobs, key=lambda one: (one.accepted_s, one.job_id)):
            tracked_job = self._scheduler_state.tracked_jobs.get(job.job_id)
            is_beyond = self._judge(job)
            if tracked_job is not None:
                tracked_job.is_beyond_weight = is_beyond

    def _capacity(self) -> Resources:
        cpu = memory = gpus = 0
        for worker in self._scheduler_state.workers.values():
            if worker.is_listed:
                view = worker.view
                cpu += view.cpu_millicores
                memory += view.memory_mb
                gpus += view.gpus
        return Resources(cpu, memory, gpus)

    def weight_of(self, team: str) -> float:
        """Return the weight by which a team's last job was judged; 0 if none was."""
        bucket = self._buckets.get(team)
        return bucket.rate if bucket is not None else 0.0

    def largest_teams(self, most: int) -> frozenset[str]:
        """Return the teams of the largest weights among those whose jobs were judged."""
        names = sorted(self._buckets, key=lambda team: (-self._buckets[team].rate, team))
        return frozenset(names[:most])

    def shares(self) -> Iterator[tuple[str, float]]:
        """Yield each active team and its use as a multiple of its share."""
        yield from self._shares.items()


def _group(step: TrackedStep, wall_s: float) -> int:
    """Return the group of a waiting step within its priority; the smallest comes first."""
    if step.is_no_longer_useful(wall_s):
        return USELESS_GROUP + step.tracked_job.is_beyond_weight
    return 2 * step.tracked_job.is_beyond_weight + step.is_hopeless(wall_s)


USELESS_GROUP = 4


class _Projection:
    """A team's use and its share while waiting tasks are added one after another.

    Args:
        use: What its runs use.
        capacity: What the service has.
        shares_of_all: The weights of all teams as a multiple of the team's.
    """

    __slots__ = ("_cpu", "_factors", "_gpus", "_memory", "share")

    def __init__(self, *, use: Resources, capacity: Resources, shares_of_all: float) -> None:
        self._factors = tuple(shares_of_all / of if of else 0.0 for of in capacity)
        self._cpu, self._memory, self._gpus = use
        self.share = ROUNDING + max(
            has * factor for has, factor in zip(use, self._factors, strict=True)
        )
        """The dominant share as a multiple of the team's share by weight."""

    def add(self, step: Step, tasks: int) -> None:
        """Count tasks of a step as running."""
        cpu, memory, gpus = self._factors
        if not step.is_filler:
            self._cpu += step.cpu_millicores * tasks
            self.share = max(self.share, self._cpu * cpu)
        self._memory += step.memory_mb * tasks
        self.share = max(self.share, self._memory * memory)
        if step.gpus:
            self._gpus += step.gpus * tasks
            self.share = max(self.share, self._gpus * gpus)
