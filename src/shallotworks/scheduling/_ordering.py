"""In which order waiting steps get room."""

from __future__ import annotations

from ._entries import StepEntry

__all__ = ["urgency"]


def urgency(entry: StepEntry, wall_s: float) -> tuple[float, ...]:
    """Return a step's place in the order; the smallest comes first.

    Lasting tasks serve users at every moment, so they come before tasks that end. Then priority.
    Within it, what can still meet its objective goes by the latest moment at which it must begin;
    what can't goes after that, the least work first, since more callers are served by the same
    room. Held against first come first served in ``bench/scheduling.py``.

    Args:
        entry: The step.
        wall_s: Time of day in seconds since 1970.
    """
    job = entry.job_entry.job
    step = entry.step
    if step.is_lasting:
        return (0, step.is_filler, job.policy.priority, job.accepted_s)
    latest_s = entry.objective_ends_s - entry.chain_s
    if wall_s <= latest_s:
        return (1, job.policy.priority, 0, latest_s)
    return (1, job.policy.priority, 1, entry.job_entry.work_core_s)
