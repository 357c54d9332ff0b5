"""Defines the order in which waiting steps are given room on workers."""

from __future__ import annotations

from typing import Protocol

from ._tracked_jobs import TrackedStep

__all__ = ["StepOrder", "rank", "urgency"]


class StepOrder(Protocol):
    """Order of the waiting steps in one decision."""

    def __call__(self, tracked_step: TrackedStep, wall_s: float) -> tuple[float, ...]:
        """Return the sort key of a step; the smallest is given room first."""
        ...


def rank(tracked_step: TrackedStep, wall_s: float) -> int:
    """Return the first sort key of a step, which comes before the priority.

    Lasting tasks serve users continuously, so they come before tasks that end. Occurrences of
    repeated jobs that are no longer useful and have not begun come last: thousands of them may be
    overdue, and no caller waits for them.
    """
    if tracked_step.step.is_lasting:
        return 0
    is_repeated = tracked_step.tracked_job.job.repeats is not None
    is_useless = is_repeated and tracked_step.is_no_longer_useful(wall_s)
    return 2 if is_useless and not tracked_step.has_begun else 1


def urgency(tracked_step: TrackedStep, wall_s: float) -> tuple[float, ...]:
    """Return the sort key of a step; the smallest is served first.

    The first key is `rank`, and the next is the priority. Within a priority, jobs that can still
    meet their objective come before those that can only be late, and these come before jobs whose
    answer would be too late to be useful. After an outage hundreds of late jobs wait, and room that
    is given to jobs that are no longer useful makes others too late as well. Within each of these
    groups, jobs that have begun come first, since a half-finished job serves nobody. The next key
    is the least work, since the same room then serves more callers.

    Args:
        tracked_step: The step.
        wall_s: Time of day in seconds since 1970.
    """
    tracked_job = tracked_step.tracked_job
    step = tracked_step.step
    priority = tracked_job.job.policy.priority
    first = rank(tracked_step, wall_s)
    if step.is_lasting:
        return (first, step.is_filler, priority, tracked_job.job.accepted_s)
    latest_s = tracked_step.objective_ends_s - tracked_step.critical_path_s
    lateness = tracked_step.is_hopeless(wall_s) + tracked_step.is_no_longer_useful(wall_s)
    return (
        first,
        priority,
        lateness,
        not tracked_step.has_begun,
        tracked_job.work_core_s,
        latest_s,
    )
