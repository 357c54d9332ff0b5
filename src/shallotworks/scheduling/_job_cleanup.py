"""Deletes the records of jobs that ended long ago."""

from __future__ import annotations

import asyncio

from shallotworks.jobs import JobKeys, acceptance_key
from shallotworks.store import Commit, Condition, HeldLease

from ._scheduler_dependencies import SchedulerDependencies
from ._scheduler_state import SchedulerState

__all__ = ["delete_old_jobs"]

FINAL_STATE_RETENTION_RATIO = 2.0
"""Records of finished jobs are kept for this multiple of the time for which callers may ask for a
job's final state."""
CLEANUP_INTERVAL_S = 30.0
MAX_JOBS_PER_CLEANUP = 60


async def delete_old_jobs(
    *,
    scheduler_state: SchedulerState,
    keys: JobKeys,
    lease: HeldLease,
    dependencies: SchedulerDependencies,
) -> None:
    """Delete the records of jobs that ended long ago, until cancelled.

    Args:
        scheduler_state: Knows when each job ended.
        keys: Keys of the service's records.
        lease: The service's lease, which each deletion requires.
        dependencies: The store, the clocks and how long final states are reported.
    """
    seen_s: dict[str, float] = {}
    while True:
        await asyncio.sleep(CLEANUP_INTERVAL_S)
        now_s = dependencies.clock()
        seen_s = {job_id: seen_s.get(job_id, now_s) for job_id in scheduler_state.finished_jobs}
        retention_s = FINAL_STATE_RETENTION_RATIO * dependencies.final_state_told_s
        retention_start_s = dependencies.wall_clock() - retention_s
        # The time of day may be wrong here, or where the end was noted.
        old_jobs = [
            (job_id, finished.revision)
            for job_id, finished in scheduler_state.finished_jobs.items()
            if finished.ended_s < retention_start_s
            and now_s - seen_s[job_id] >= dependencies.final_state_told_s
        ]
        for job_id, revision in old_jobs[:MAX_JOBS_PER_CLEANUP]:
            progress_key = keys.progress(job_id)
            await dependencies.store.commit(
                Commit(
                    conditions=(
                        lease.condition,
                        Condition(key=progress_key, revision=revision),
                    ),
                    deletes=(keys.job(job_id), progress_key, acceptance_key(job_id)),
                )
            )
