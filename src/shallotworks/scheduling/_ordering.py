"""In which order waiting steps get room."""

from __future__ import annotations

from ._tracked_jobs import TrackedStep

__all__ = ["urgency"]


def urgency(entry: TrackedStep, wall_s: float) -> tuple[float, ...]:
    """Return a step's place in the order; the smallest comes first.

    Lasting tasks serve users at every moment, so they come before tasks that end. Then priority.
    Within it, what can still meet its objective comes before what can only be late, and that before
    what is too late to serve anybody: after an outage hundreds of late jobs wait, and room that
    goes to those past use lets others get past it. Of each of these, jobs that have begun come
    first, since a job half done serves nobody, and then the least work, since more callers are
    served by the same room.

    Args:
        entry: The step.
        wall_s: Time of day in seconds since 1970.
    """
    tracked_job = entry.tracked_job
    step = entry.step
    priority = tracked_job.job.policy.priority
    if step.is_lasting:
        return (0, step.is_filler, priority, tracked_job.job.accepted_s)
    latest_s = entry.objective_ends_s - entry.chain_s
    lateness = entry.is_hopeless(wall_s) + entry.is_past_use(wall_s)
    has_begun = bool(tracked_job.runs or tracked_job.progress.done)
    return (1, priority, lateness, not has_begun, tracked_job.work_core_s, latest_s)
