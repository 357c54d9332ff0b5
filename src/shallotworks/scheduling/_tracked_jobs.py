"""Jobs as the scheduler tracks them: their open steps, their runs, and what is to be stored."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from shallotworks.jobs import Incarnation, Job, JobProgress, LostRun, Step, TaskName

from ._model import Run
from ._step_advice import StepAdvice

__all__ = ["Arrival", "FailedEnd", "FinishedJob", "TrackedJob", "TrackedStep"]

Arrival = tuple[float, float]
"""The arrival of a job: its time of day in seconds since 1970 and its estimated core-seconds."""

MIN_REFUSAL_BACKOFF_S = 1.0
"""Backoff after the first start that a worker refused as invalid. It doubles with each further
refusal."""
MAX_REFUSAL_BACKOFF_S = 32.0
"""Upper bound of that backoff."""
MAX_USEFUL_OBJECTIVES = 3.0
"""A job's result is useless if it takes longer than this many times the objective. Source: the
platform's rules."""


class FailedEnd(NamedTuple):
    """Where a run failed.

    Args:
        name: The task; a gang's runs count for its first one.
        incarnation: The incarnation of the worker that listed the end.
        number: The number of the end there.
    """

    name: TaskName
    incarnation: Incarnation
    number: int


class FinishedJob(NamedTuple):
    """A job whose final state is stored.

    Args:
        ended_s: Time of day in seconds at which it ended.
        revision: The revision of the progress that says so.
    """

    ended_s: float
    revision: int


class TrackedStep:
    """A step of one occurrence whose predecessors are done, until all its tasks are done.

    Args:
        tracked_job: The job of the step.
        occurrence: The occurrence of the job.
        number: The number of the step in the job.
    """

    __slots__ = (
        "advice",
        "critical_path_s",
        "not_before_s",
        "number",
        "objective_ends_s",
        "occurrence",
        "rack",
        "refusals",
        "step",
        "tracked_job",
        "useful_until_s",
        "waiting",
    )

    def __init__(self, *, tracked_job: TrackedJob, occurrence: int, number: int) -> None:
        job = tracked_job.job
        self.tracked_job = tracked_job
        self.occurrence = occurrence
        self.number = number
        self.step: Step = job.steps[number]
        self.waiting: list[int] = []
        """Indices of the tasks that wait to be started."""
        self.rack = ""
        """The rack of the first task that was placed, if the step prefers one rack."""
        self.critical_path_s = tracked_job.critical_paths_s[number]
        """Estimated time from the start of the step to the end of its occurrence."""
        self.objective_ends_s = job.due_s(occurrence) + tracked_job.objective_s
        self.useful_until_s = (
            job.due_s(occurrence) + tracked_job.objective_s * MAX_USEFUL_OBJECTIVES
        )
        self.advice = StepAdvice()
        """Which workers may run the step, if the policy of its queue asks for advice."""
        self.refusals = 0
        """Number of starts that workers refused as invalid."""
        self.not_before_s = 0.0
        """Time on the scheduler's clock before which no task is started."""

    @property
    def key(self) -> tuple[str, int, int]:
        """Identifies the step by its job, occurrence and number."""
        return (self.tracked_job.job.job_id, self.occurrence, self.number)

    @property
    def has_proven_crash(self) -> bool:
        """Whether a task of the step was proven to be the only suspect of a crash.

        It is probably in a crash loop, so that its next starts come after those of other jobs.
        Lasting tasks are left out, since they have to be back within seconds.
        """
        return not self.step.is_lasting and any(
            run.is_proof for runs in self._lost_runs() for run in runs
        )

    @property
    def has_witnessed_crash(self) -> bool:
        """Whether a task of the step was the only suspect when a worker went, unlike others."""
        return any(run.is_proof or run.is_closed for runs in self._lost_runs() for run in runs)

    @property
    def most_losses(self) -> int:
        """The largest number of runs of one task that may have crashed their workers."""
        return max(
            (sum(run.is_early or run.is_crash for run in runs) for runs in self._lost_runs()),
            default=0,
        )

    def _lost_runs(self) -> list[tuple[LostRun, ...]]:
        lost = self.tracked_job.progress.lost
        return [runs for key, runs in lost.items() if key[:2] == (self.occurrence, self.number)]

    @property
    def has_begun(self) -> bool:
        """Whether a task of the job, or of the step's occurrence if the job repeats, has begun."""
        tracked_job = self.tracked_job
        job, progress = tracked_job.job, tracked_job.progress
        if job.repeats is None:
            return bool(tracked_job.runs or progress.done)
        return len(self.waiting) < self.step.count or progress.has_begun(job, self.occurrence)

    def note_refusal(self, now_s: float) -> None:
        """Back off after a start was refused as invalid; any worker would refuse the next one."""
        backoff_s = min(MAX_REFUSAL_BACKOFF_S, MIN_REFUSAL_BACKOFF_S * 2**self.refusals)
        self.refusals += 1
        self.not_before_s = now_s + backoff_s

    def is_hopeless(self, wall_s: float) -> bool:
        """Whether the job can't meet its objective any more, even if the step started now."""
        return not self.step.is_lasting and wall_s > self.objective_ends_s - self.critical_path_s

    def is_no_longer_useful(self, wall_s: float) -> bool:
        """Whether the job's answer would be too late to be useful, even if the step started now."""
        return not self.step.is_lasting and wall_s > self.useful_until_s - self.critical_path_s

    def name(self, index: int) -> TaskName:
        """Return the name of one of the step's tasks."""
        return TaskName(self.tracked_job.job.job_id, self.occurrence, self.number, index)


class TrackedJob:
    """A job, its progress, and how much of the progress is stored.

    Args:
        job: The job.
        progress: The progress of the job.
        revision: The revision of the progress in the store.
        is_inherited: Whether the job was accepted before this scheduler's epoch, so that an earlier
            scheduler may have started tasks of it.
    """

    __slots__ = (
        "avoided_workers",
        "changes",
        "checkpoints",
        "critical_paths_s",
        "failed_ends",
        "first_steps",
        "is_beyond_weight",
        "is_inherited",
        "job",
        "later_steps",
        "live_runs",
        "next_occurrence",
        "objective_s",
        "progress",
        "revision",
        "runs",
        "steps",
        "stored_changes",
        "work_core_s",
    )

    def __init__(
        self, *, job: Job, progress: JobProgress, revision: int, is_inherited: bool
    ) -> None:
        self.job = job
        self.progress = progress
        self.revision = revision
        self.is_inherited = is_inherited
        self.is_beyond_weight = False
        """Whether its team sent more jobs at the time than its weight covers."""
        self.changes = 0
        """Number of changes of the progress in this epoch."""
        self.stored_changes = 0
        """Number of these changes that the store has."""
        self.next_occurrence = 0
        self.steps: dict[tuple[int, int], TrackedStep] = {}
        self.runs: dict[TaskName, Run] = {}
        """The current run of each task that has one."""
        self.live_runs: dict[TaskName, set[Run]] = {}
        """All runs of each task that may be alive, including runs that are being stopped."""
        self.avoided_workers: dict[TaskName, frozenset[Incarnation]] = {}
        """The workers on which a task failed or hung, by task."""
        self.failed_ends: dict[int, FailedEnd] = {}
        """Where the runs failed whose ends this scheduler has counted, by run id."""
        self.checkpoints: dict[TaskName, str] = {}
        """The latest checkpoint of each task that has one."""
        self.critical_paths_s = _critical_paths_s(job)
        self.objective_s = job.objective_s()
        self.first_steps = [number for number, step in enumerate(job.steps) if not step.after]
        """Numbers of the steps that an occurrence begins with."""
        self.later_steps = _later_steps(job)
        """Numbers of the steps that come directly after each step."""
        self.work_core_s = sum(
            step.count * step.estimated_s * max(step.cpu_millicores, 1) / 1000 for step in job.steps
        )

    def add_run(self, run: Run) -> None:
        """Record that a run may be alive."""
        self.live_runs.setdefault(run.name, set()).add(run)

    def add_copy(self, run: Run) -> None:
        """Record that a run is the second one of its task."""
        run.is_copy = run.is_paired = True
        self.runs[run.name].is_paired = True

    def remove_run(self, run: Run) -> None:
        """Record that a run has ended; a copy that isn't being stopped becomes current."""
        alive = self.live_runs.get(run.name, set())
        alive.discard(run)
        if self.runs.get(run.name) is run:
            del self.runs[run.name]
            other = next((one for one in alive if one.is_copy), None)
            if other is not None and not other.is_stop_requested:
                other.is_copy = False
                self.runs[run.name] = other
        if not alive:
            self.live_runs.pop(run.name, None)

    def steps_with_lost_runs(self) -> set[tuple[int, int]]:
        """Return the steps with lost runs, by occurrence and number.

        Their tasks may have to be started in isolation, one after the other.
        """
        return {(occurrence, number) for occurrence, number, _ in self.progress.lost}

    def count_waiting_tasks(self, omitted: set[tuple[int, int]]) -> Counter[int]:
        """Return how many tasks of each step wait, without the omitted occurrences of steps."""
        waiting: Counter[int] = Counter()
        for key, step in self.steps.items():
            if key not in omitted:
                waiting[step.number] += len(step.waiting)
        return waiting

    def forget_occurrence(self, occurrence: int) -> None:
        """Drop what is known of the tasks of an occurrence that has ended."""
        for name in [name for name in self.avoided_workers if name.occurrence == occurrence]:
            del self.avoided_workers[name]
        for name in [name for name in self.checkpoints if name.occurrence == occurrence]:
            del self.checkpoints[name]
        for run_id in [
            run_id for run_id, end in self.failed_ends.items() if end.name.occurrence == occurrence
        ]:
            del self.failed_ends[run_id]

    @property
    def is_dirty(self) -> bool:
        """Whether the latest progress is not stored yet."""
        return self.changes > self.stored_changes


def _critical_paths_s(job: Job) -> list[float]:
    """Return for each step the estimated seconds from its start to the end of its occurrence."""
    critical_paths = [step.estimated_s for step in job.steps]
    for number in range(len(job.steps) - 1, -1, -1):
        for earlier in job.steps[number].after:
            longest = job.steps[earlier].estimated_s + critical_paths[number]
            critical_paths[earlier] = max(critical_paths[earlier], longest)
    return critical_paths


def _later_steps(job: Job) -> list[list[int]]:
    """Return for each step the numbers of the steps that come directly after it."""
    later: list[list[int]] = [[] for _ in job.steps]
    for number, step in enumerate(job.steps):
        for earlier in set(step.after):
            later[earlier].append(number)
    return later
