"""What has become of a job: which tasks are done, how often each has failed, its state."""

from __future__ import annotations

from enum import Enum, unique

from ._spec import Job, TaskName

__all__ = ["JobProgress", "JobState"]


@unique
class JobState(Enum):
    """States of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job runs no more."""
        return self in FINAL_STATES


FINAL_STATES = frozenset((JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED))


class JobProgress:
    """Progress of one job; only ever moves forward.

    Args:
        queue: Name of the job's queue, so that its state can be told without reading the job.
        state: Its state.
        done: Per occurrence and step, a set of task numbers as bits.
        failures: Ids of the failed runs of each task: a set, since an end that was stored and not
            acknowledged is told again to the next scheduler and must count once.
        ended_s: Time of day at which it reached its final state; 0 before.
    """

    __slots__ = ("done", "ended_s", "failures", "queue", "state")

    def __init__(
        self,
        *,
        queue: str,
        state: JobState = JobState.QUEUED,
        done: dict[tuple[int, int], int] | None = None,
        failures: dict[tuple[int, int, int], tuple[int, ...]] | None = None,
        ended_s: float = 0.0,
    ) -> None:
        self.queue = queue
        self.state = state
        self.done = done if done is not None else {}
        self.failures = failures if failures is not None else {}
        self.ended_s = ended_s

    def is_done(self, name: TaskName) -> bool:
        """Whether a task has ended well."""
        return bool(self.done.get((name.occurrence, name.step), 0) >> name.number & 1)

    def is_step_done(self, job: Job, occurrence: int, step: int) -> bool:
        """Whether all tasks of a step have ended well."""
        return self.done.get((occurrence, step), 0) == (1 << job.steps[step].count) - 1

    def note_done(self, job: Job, name: TaskName, *, now_s: float) -> None:
        """Take note that a task ended well; a gang's one end stands for all its tasks."""
        key = (name.occurrence, name.step)
        step = job.steps[name.step]
        bits = (1 << step.count) - 1 if step.is_gang else 1 << name.number
        self.done[key] = self.done.get(key, 0) | bits
        if self._are_all_done(job):
            self.finish(JobState.COMPLETED, now_s=now_s)

    def note_failed(self, job: Job, name: TaskName, run_id: int, *, now_s: float) -> bool:
        """Count a failed run, once; a gang's members share one count.

        Returns:
            Whether something changed; failures of lasting tasks are not counted.
        """
        step = job.steps[name.step]
        key = (name.occurrence, name.step, 0 if step.is_gang else name.number)
        earlier = self.failures.get(key, ())
        if step.is_lasting or run_id in earlier:
            return False
        self.failures[key] = (*earlier, run_id)
        if len(self.failures[key]) >= job.policy.most_attempts:
            self.finish(JobState.FAILED, now_s=now_s)
        return True

    def finish(self, state: JobState, *, now_s: float) -> None:
        """Set a final state, once."""
        if not self.state.is_final:
            self.state = state
            self.ended_s = now_s

    def _are_all_done(self, job: Job) -> bool:
        return all(
            self.is_step_done(job, occurrence, step)
            for occurrence in range(job.occurrences)
            for step in range(len(job.steps))
        )
