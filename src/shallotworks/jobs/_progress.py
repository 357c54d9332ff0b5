"""Progress of a job: its state, the tasks that are done, and each task's failed and lost runs."""

from __future__ import annotations

from enum import Enum, unique

from ._crashes import LostRun, is_crash_looping
from ._occurrences import OccurrenceRanges
from ._spec import Job, QueuePolicy, TaskName

__all__ = ["JobProgress", "JobState"]

MAX_LOST_RUNS = 8
"""Lost runs of one task that its record holds; the latest ones are kept."""


REFUTED_RATIO = 1 / 2
"""A run that its worker outlives refutes the blame of those that were lost within this ratio of its
time."""


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
        """Whether no more tasks of the job are run."""
        return self in FINAL_STATES


FINAL_STATES = frozenset((JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED))


class JobProgress:
    """Progress of one job, which only ever advances.

    Args:
        queue: Name of the job's queue, so that its state can be reported without reading the job.
        state: Its state.
        done: Bitmask of the numbers of the tasks that are done, by occurrence and step; empty for
            the occurrences in ``ended``.
        ended: Occurrences of a repeated job of which all tasks are done.
        failures: Ids of the failed runs of each task. They are a set, since an end that was stored
            but not acknowledged is reported again to the next scheduler and must count once.
        lost: Runs of each task that were lost with their workers, until the task is done.
        ended_s: Time of day at which it reached its final state; 0 before.
        team: The team whose job it is; empty for a job of a public queue.
        address: Host and prefix under which the job was submitted; empty in records of earlier
            releases.
    """

    __slots__ = (
        "address",
        "done",
        "ended",
        "ended_s",
        "failures",
        "lost",
        "queue",
        "state",
        "team",
    )

    def __init__(
        self,
        *,
        queue: str,
        state: JobState = JobState.QUEUED,
        done: dict[tuple[int, int], int] | None = None,
        failures: dict[tuple[int, int, int], tuple[int, ...]] | None = None,
        lost: dict[tuple[int, int, int], tuple[LostRun, ...]] | None = None,
        ended_s: float = 0.0,
        team: str = "",
        ended: OccurrenceRanges | None = None,
        address: str = "",
    ) -> None:
        self.address = address
        self.queue = queue
        self.team = team
        self.state = state
        self.done = done if done is not None else {}
        self.ended = ended if ended is not None else OccurrenceRanges()
        self.failures = failures if failures is not None else {}
        self.lost = lost if lost is not None else {}
        self.ended_s = ended_s

    def is_visible_to(self, team: str | None) -> bool:
        """Whether a team may see and cancel the job; ``None`` for a call on a public queue."""
        return team is None or not self.team or self.team == team

    def is_reached_by(self, policy: QueuePolicy) -> bool:
        """Whether requests on a queue are about this job, under whatever name it was accepted.

        A caller knows a job by host, path and id. A later configuration may have another queue
        under that path.
        """
        if self.queue == policy.queue:
            return True
        return bool(policy.address) and self.address in ("", policy.address)

    def is_done(self, name: TaskName) -> bool:
        """Whether a task has succeeded."""
        if name.occurrence in self.ended:
            return True
        return bool(self.done.get((name.occurrence, name.step), 0) >> name.number & 1)

    def is_step_done(self, job: Job, occurrence: int, step: int) -> bool:
        """Whether all tasks of a step have succeeded."""
        if occurrence in self.ended:
            return True
        return self.done.get((occurrence, step), 0) == (1 << job.steps[step].count) - 1

    def has_begun(self, job: Job, occurrence: int) -> bool:
        """Whether a task of an occurrence has succeeded."""
        return occurrence in self.ended or any(
            (occurrence, step) in self.done for step in range(len(job.steps))
        )

    def note_done(self, job: Job, name: TaskName, *, now_s: float) -> None:
        """Record that a task succeeded; the one end of a gang counts for all its tasks."""
        if name.occurrence in self.ended:
            return
        key = (name.occurrence, name.step)
        step = job.steps[name.step]
        bits = (1 << step.count) - 1 if step.is_gang else 1 << name.number
        self.done[key] = self.done.get(key, 0) | bits
        self.lost.pop(_attempts_key(job, name), None)
        if not self._are_all_steps_done(job, name.occurrence):
            return
        if job.repeats is not None:
            self._note_ended(job, {name.occurrence})
        if job.repeats is None or self.ended.count == job.occurrences:
            self.finish(JobState.COMPLETED, now_s=now_s)

    def compact(self, job: Job) -> None:
        """Move the ended occurrences of a repeated job from ``done`` to ``ended``.

        Earlier releases stored the tasks of each of them.
        """
        if job.repeats is None:
            return
        started = {occurrence for occurrence, _ in self.done}
        self._note_ended(job, {one for one in started if self._are_all_steps_done(job, one)})

    def _note_ended(self, job: Job, occurrences: set[int]) -> None:
        for occurrence in sorted(occurrences):
            self.ended.add(occurrence)
            for step in range(len(job.steps)):
                self.done.pop((occurrence, step), None)
        for failed in [key for key in self.failures if key[0] in occurrences]:
            del self.failures[failed]
        for lost in [key for key in self.lost if key[0] in occurrences]:
            del self.lost[lost]

    def note_failed(self, job: Job, name: TaskName, run_id: int, *, now_s: float) -> bool:
        """Count a failed run, once; the members of a gang share one count.

        Returns:
            Whether something changed; failures of lasting tasks are not counted.
        """
        key = _attempts_key(job, name)
        earlier = self.failures.get(key, ())
        if job.steps[name.step].is_lasting or run_id in earlier or name.occurrence in self.ended:
            return False
        self.failures[key] = (*earlier, run_id)
        if len(self.failures[key]) >= job.policy.most_attempts:
            self.finish(JobState.FAILED, now_s=now_s)
        return True

    def failed_runs(self, job: Job, name: TaskName) -> tuple[int, ...]:
        """Return the ids of a task's failed runs; the members of a gang share them."""
        return self.failures.get(_attempts_key(job, name), ())

    def lost_runs(self, job: Job, name: TaskName) -> tuple[LostRun, ...]:
        """Return the runs of a task that were lost; the members of a gang share them."""
        return self.lost.get(_attempts_key(job, name), ())

    def note_lost(self, job: Job, name: TaskName, lost: LostRun, *, now_s: float) -> bool:
        """Record a lost run, or newer knowledge of one; return whether something changed.

        Once a loss is certain, its record only gains what proves it. A job with a task in a crash
        loop, whose runs crash their workers again and again, fails.
        """
        if name.occurrence in self.ended:
            return False
        earlier = self.lost_runs(job, name)
        recorded = next((run for run in earlier if run.run_id == lost.run_id), None)
        if recorded == lost:
            return False
        if recorded is not None and recorded.is_certain:
            lost = recorded.completed_by(lost)
            if lost == recorded:
                return False
        others = tuple(run for run in earlier if run.run_id != lost.run_id)
        runs = self.lost[_attempts_key(job, name)] = (*others, lost)[-MAX_LOST_RUNS:]
        if is_crash_looping(runs):
            self.finish(JobState.FAILED, now_s=now_s)
        return True

    def note_survived(self, job: Job, name: TaskName, run_id: int) -> bool:
        """Record that a run's worker has not crashed under it; return whether something changed."""
        earlier = self.lost_runs(job, name)
        remaining = tuple(run for run in earlier if run.is_certain or run.run_id != run_id)
        return self._set_lost_runs(job, name, remaining)

    def note_outlived(self, job: Job, name: TaskName, lived_s: float) -> bool:
        """Record that a worker outlived a run of a task; return whether something changed.

        A task that crashes its workers crashes each of them, so that something else is to blame for
        crashes that came much sooner after the start.
        """
        refuted_s = lived_s * REFUTED_RATIO
        earlier = self.lost_runs(job, name)
        runs = tuple(
            run.refuted if run.is_certain and run.ran_s <= refuted_s else run for run in earlier
        )
        return self._set_lost_runs(job, name, runs)

    def _set_lost_runs(self, job: Job, name: TaskName, runs: tuple[LostRun, ...]) -> bool:
        """Replace the lost runs of a task; return whether something changed."""
        key = _attempts_key(job, name)
        if runs == self.lost.get(key, ()):
            return False
        if runs:
            self.lost[key] = runs
        else:
            del self.lost[key]
        return True

    def finish(self, state: JobState, *, now_s: float) -> None:
        """Set the final state, unless one is set already."""
        if not self.state.is_final:
            self.state = state
            self.ended_s = now_s

    def _are_all_steps_done(self, job: Job, occurrence: int) -> bool:
        if len(self.done) < len(job.steps):
            return False
        return all(self.is_step_done(job, occurrence, step) for step in range(len(job.steps)))


def _attempts_key(job: Job, name: TaskName) -> tuple[int, int, int]:
    """Return the key under which a task's attempts are counted; the members of a gang share one."""
    return (name.occurrence, name.step, 0 if job.steps[name.step].is_gang else name.number)
