"""Claims jobs before their first task is started; no network calls.

A claim is stored in the job's progress. So a succeeding scheduler knows that no task of an
unclaimed job can run anywhere, and starts it while it waits for workers that it can't reach.
"""

from __future__ import annotations

from collections.abc import Iterable

from ._model import Worker
from ._tracked_jobs import TrackedStep

__all__ = ["claim_jobs"]

CLAIMED_AHEAD_RATIO = 0.5
"""Part of the workers' capacity for which jobs are claimed beyond what has room now. Their tasks
start at once as others end, also while the store can't be reached."""


def claim_jobs(steps: Iterable[TrackedStep], workers: Iterable[Worker]) -> None:
    """Claim the jobs whose tasks start next.

    Args:
        steps: The steps with waiting tasks, the most urgent first.
        workers: The service's workers.
    """
    ahead_millicores = 0.0
    for worker in workers:
        if worker.is_listed and worker.is_fenced and not worker.view.is_draining:
            free = worker.view.cpu_millicores - worker.cpu_used
            ahead_millicores += free + CLAIMED_AHEAD_RATIO * worker.view.cpu_millicores
    for step in steps:
        if ahead_millicores <= 0:
            return
        step.tracked_job.claim()
        ahead_millicores -= len(step.waiting) * max(step.step.cpu_millicores, 1)
