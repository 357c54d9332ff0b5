"""In which order waiting steps get room."""

from __future__ import annotations

from ._entries import StepEntry

__all__ = ["urgency"]


def urgency(entry: StepEntry, wall_s: float) -> tuple[float, ...]:
    """Return a step's place in the order; the smallest comes first.

    Lasting tasks serve users at every moment, so they come before tasks that end. Then priority.
    Within it, what can still meet its objective comes before what can't; of that, jobs that have
    begun come first, since a job half done serves nobody, and then the least work, since more
    callers are served by the same room. In a turn that asks for a third more than the pool can work
    off, 0.85 of the jobs meet their objective, of the largest fifth 0.66; by deadline alone it is
    0.80 and 0.52, first come first served 0.66 and 0.64 (``python -m bench scheduling``).

    Args:
        entry: The step.
        wall_s: Time of day in seconds since 1970.
    """
    job_entry = entry.job_entry
    step = entry.step
    priority = job_entry.job.policy.priority
    if step.is_lasting:
        return (0, step.is_filler, priority, job_entry.job.accepted_s)
    latest_s = entry.objective_ends_s - entry.chain_s
    has_begun = bool(job_entry.runs or job_entry.progress.done)
    return (1, priority, entry.is_hopeless(wall_s), not has_begun, job_entry.work_core_s, latest_s)
