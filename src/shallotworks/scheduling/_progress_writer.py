"""Stores the progress of jobs, several in one commit, before workers' ends are acknowledged."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from returns.result import Success

from shallotworks.jobs import JobKeys, decode_progress, encode_progress
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.store import Commit, Committed, Condition, Conflicted, HeldLease, Store, Write

from ._scheduler_state import SchedulerState, StoredProgress
from ._tracked_jobs import TrackedJob

__all__ = ["ProgressWriter"]

COMMIT_PAUSE_S = 0.02
"""Pause between commits of progress, so that ends that arrive close together share a commit."""
STORE_RETRY_S = 0.1
MAX_COMMIT_ENTRIES = 32
"""Maximum number of conditions, writes and deletions of a commit. They are counted together, since
the limit may apply to their sum. Source: the platform's page on its store."""
MAX_CONCURRENT_COMMITS = 4
"""In a burst, 800 tasks of as many jobs end in a second, but commits one after the other store only
15 jobs in 30 ms. Until an end is stored it is not acknowledged, and its worker is polled later."""


class ProgressWriter:
    """Stores the progress of jobs in a scheduler's state.

    Each commit requires that the scheduler still holds its lease, and that the progress records are
    unchanged, since the cancel of a caller writes them too. After a conflict the current records
    are applied to the scheduler's state. A commit of a final state deletes the job's own record,
    which is needed only to run the job, so that a successor reads 0.1 KB for a finished job instead
    of 3 KB.

    Args:
        scheduler_state: Jobs, workers and runs.
        lease: The scheduler's lease.
        store: The store.
        log: Receives failures and conflicts.
        metrics: Counters.
        on_stored: Called after each commit and each conflict, unless the lease is lost.
    """

    __slots__ = (
        "_all_stored",
        "_is_lease_lost",
        "_keys",
        "_lease",
        "_log",
        "_metrics",
        "_on_stored",
        "_scheduler_state",
        "_store",
        "wake",
    )

    def __init__(
        self,
        *,
        scheduler_state: SchedulerState,
        lease: HeldLease,
        store: Store,
        log: StructuredLog,
        metrics: Metrics,
        on_stored: Callable[[], None],
    ) -> None:
        self._scheduler_state = scheduler_state
        self._lease = lease
        self._store = store
        self._log = log
        self._metrics = metrics
        self._on_stored = on_stored
        self._keys = JobKeys(service=scheduler_state.service)
        self._is_lease_lost = False
        self.wake = asyncio.Event()
        """Set when progress has changed."""
        self._all_stored = asyncio.Event()
        """Set when `run` has nothing left to store or the lease is lost, until progress changes."""

    async def run(self) -> None:
        """Store progress as it changes, until cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            self._all_stored.clear()
            while dirty := self._scheduler_state.unstored_jobs():
                stored = await asyncio.gather(*map(self._store_batch, _batches(dirty)))
                if self._is_lease_lost:
                    break
                await asyncio.sleep(COMMIT_PAUSE_S if all(stored) else STORE_RETRY_S)
            self._all_stored.set()

    async def wait_until_stored(self, longest_s: float) -> None:
        """Wait until all progress is stored, but no longer than ``longest_s``.

        If an epoch stopped between two commits, its successor would not know that some tasks have
        ended, and would have to wait until their workers have answered it.
        """
        self._all_stored.clear()
        self.wake.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_s):
                await self._all_stored.wait()

    async def _store_batch(self, tracked_jobs: list[TrackedJob]) -> bool:
        changes = {tracked_job.job.job_id: tracked_job.changes for tracked_job in tracked_jobs}
        keys = {
            self._keys.progress(tracked_job.job.job_id): tracked_job for tracked_job in tracked_jobs
        }
        outcome = await self._store.commit(
            Commit(
                conditions=(
                    self._lease.condition,
                    *(
                        Condition(key=key, revision=tracked_job.revision)
                        for key, tracked_job in keys.items()
                    ),
                ),
                writes=tuple(
                    Write(key=key, value=encode_progress(tracked_job.progress, tracked_job.job))
                    for key, tracked_job in keys.items()
                ),
                deletes=tuple(
                    self._keys.job(tracked_job.job.job_id)
                    for tracked_job in tracked_jobs
                    if tracked_job.progress.state.is_final
                ),
            )
        )
        if not isinstance(outcome, Success):
            self._log.line(
                "progress-not-stored",
                service=self._scheduler_state.service,
                jobs=len(tracked_jobs),
                reason=str(outcome.failure()),
            )
            return False
        result = outcome.unwrap()
        if isinstance(result, Committed):
            for job_id, change in changes.items():
                self._scheduler_state.note_stored(
                    StoredProgress(job_id=job_id, changes=change, revision=result.revision)
                )
            self._metrics.count("scheduler.progress.stored", len(tracked_jobs))
            self._on_stored()
            return True
        self._handle_conflict(result, keys)
        return True

    def _handle_conflict(self, conflict: Conflicted, keys: dict[str, TrackedJob]) -> None:
        current = {item.key: item for item in conflict.current}
        own = current.get(self._lease.key)
        if own is None or own.revision != self._lease.token:
            self._is_lease_lost = True
            self._lease.mark_lost("its key was deleted or is held by another scheduler")
            return
        for key, tracked_job in keys.items():
            item = current.get(key)
            if item is None:
                self._scheduler_state.delete_job(tracked_job.job.job_id)
            elif item.revision != tracked_job.revision:
                self._log.line(
                    "progress-conflict", id=tracked_job.job.job_id, revision=item.revision
                )
                self._scheduler_state.update_progress(
                    tracked_job.job.job_id, decode_progress(item.value), item.revision
                )
        self._on_stored()


def _batches(dirty: list[TrackedJob]) -> list[list[TrackedJob]]:
    """Return the jobs for the next commits, as many for each as fit beside the lease condition."""
    batches: list[list[TrackedJob]] = [[]]
    used = 1
    for tracked_job in dirty:
        size = 3 if tracked_job.progress.state.is_final else 2
        if used + size > MAX_COMMIT_ENTRIES:
            if len(batches) == MAX_CONCURRENT_COMMITS:
                break
            batches.append([])
            used = 1
        batches[-1].append(tracked_job)
        used += size
    return batches
