"""Defines the order in which waiting steps are given room on workers."""

from __future__ import annotations

from typing import Protocol

from ._tracked_jobs import TrackedStep

__all__ = ["StepOrder", "urgency"]


class StepOrder(Protocol):
    """Order of the waiting steps in one decision."""

    def __call__(self, tracked_step: TrackedStep, wall_s: float) -> tuple[float, ...]:
        """Return the sort key of a step; the smallest is given room first."""
        ...


def urgency(tracked_step: TrackedStep, wall_s: float) -> tuple[float, ...]:
    """Return the sort key of a step; the smallest is served first.

    Lasting tasks serve users continuously, so they come before tasks that end. The next key is the
    priority. Within a priority, jobs that can still meet their objective come before those that can
    only be late, and these come before jobs whose answer would be too late to be useful. After an
    outage hundreds of late jobs wait, and room that is given to jobs that are no longer useful
    makes others too late as well. Within each of these groups, jobs that have begun come first,
    since a half-finished job serves nobody. The next key is the least work, since the same room
    then serves more callers.

    Args:
        tracked_step: The step.
        wall_s: Time of day in seconds since 1970.
    """
    tracked_job = tracked_step.tracked_job
    step = tracked_step.step
    priority = tracked_job.job.policy.priority
    if step.is_lasting:
        return (0, step.is_filler, priority, tracked_job.job.accepted_s)
    latest_s = tracked_step.objective_ends_s - tracked_step.critical_path_s
    lateness = tracked_step.is_hopeless(wall_s) + tracked_step.is_no_longer_useful(wall_s)
    has_begun = bool(tracked_job.runs or tracked_job.progress.done)
    return (1, priority, lateness, not has_begun, tracked_job.work_core_s, latest_s)
