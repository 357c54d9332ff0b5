"""Answers callers' requests about jobs: submit, state, cancel, and the number of waiting jobs."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from returns.result import Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.store import Commit, Condition, Conflicted, Item, Store, Write

from ._progress import JobProgress, JobState
from ._records import JobKeys, decode_progress, encode_job, encode_progress
from ._spec import Job, QueuePolicy

__all__ = ["JobResponse", "JobRequestStatus", "JobRequestHandler"]

STORE_RETRY_S = 0.08
"""Pause between attempts of one request, about twice the time of a slow answer of a healthy
store."""


@unique
class JobRequestStatus(Enum):
    """Outcome of a caller's request."""

    ACCEPTED = "accepted"
    FOUND = "found"
    NO_SUCH_JOB = "no-such-job"
    REFUSED = "refused"
    """The request was not carried out and never will be."""
    ID_TAKEN = "id-taken"
    """The id names a job of another team; nothing was changed."""
    UNKNOWN = "unknown"
    """The request may have been carried out, or may be yet; the caller may send it again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobResponse:
    """Response to a caller.

    Args:
        status: Outcome of the request.
        state: The job's state, if the caller asked for it and the job exists.
        waiting: Number of jobs that have not begun, if the caller asked for it.
    """

    status: JobRequestStatus
    state: JobState | None = None
    waiting: int = 0


class JobRequestHandler:
    """Answers callers from the store alone, so that every instance gives the same answer.

    Args:
        store: The store.
        metrics: Counts requests by their outcome.
        log: Receives a line for each answer, except for reads that succeed.
        wall_clock: Time of day in seconds since 1970.
    """

    __slots__ = ("_log", "_metrics", "_store", "_wall_clock")

    def __init__(
        self,
        *,
        store: Store,
        metrics: Metrics,
        log: StructuredLog,
        wall_clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._log = log
        self._wall_clock = wall_clock

    async def submit(self, job: Job, *, deadline_s: float) -> JobResponse:
        """Store a job; submitting the same job id again changes nothing.

        A commit whose answer was lost may be carried out seconds later, and the job of a caller who
        was answered "not accepted" would run. Once one attempt has an unknown outcome, the answer
        is therefore either "accepted" or "unknown", never a refusal.

        Args:
            job: The job.
            deadline_s: Time on the loop's clock by which the answer must be given.
        """
        keys = JobKeys(service=job.policy.service)
        progress_key = keys.progress(job.job_id)
        progress = JobProgress(queue=job.policy.queue, team=job.team)
        commit = Commit(
            conditions=(
                Condition(key=keys.job(job.job_id), revision=0),
                Condition(key=progress_key, revision=0),
            ),
            writes=(
                Write(key=keys.job(job.job_id), value=encode_job(job)),
                Write(key=progress_key, value=encode_progress(progress)),
            ),
        )
        is_outcome_unknown = False
        while True:
            outcome = await self._store.commit(commit)
            if isinstance(outcome, Success):
                committed = outcome.unwrap()
                if not isinstance(committed, Conflicted):
                    return self._answer(
                        "submit",
                        job.job_id,
                        JobRequestStatus.ACCEPTED,
                        repeated=False,
                        **_team_field(job),
                    )
                found = next((i for i in committed.current if i.key == progress_key), None)
                if found is not None:
                    return self._answer_conflict(job, found)
                failure = _UNEXPLAINED_CONFLICT
            else:
                failure = outcome.failure()
                is_outcome_unknown |= failure.kind is not ErrorKind.STORE_UNAVAILABLE
            if not await self._wait_before_retry(deadline_s):
                status = (
                    JobRequestStatus.UNKNOWN if is_outcome_unknown else JobRequestStatus.REFUSED
                )
                return self._answer(
                    "submit", job.job_id, status, failure=failure, **_team_field(job)
                )

    def _answer_conflict(self, job: Job, found: Item) -> JobResponse:
        """Answer a submission whose id is in use: by the same job, or by one of another team."""
        if decode_progress(found.value).team != job.team:
            return self._answer("submit", job.job_id, JobRequestStatus.ID_TAKEN, team=job.team)
        return self._answer(
            "submit", job.job_id, JobRequestStatus.ACCEPTED, repeated=True, **_team_field(job)
        )

    async def state(
        self, policy: QueuePolicy, job_id: str, *, deadline_s: float, team: str | None = None
    ) -> JobResponse:
        """Return a job's state.

        Args:
            policy: Policy of the queue.
            job_id: The job.
            deadline_s: Time on the loop's clock by which the answer must be given.
            team: The team of the caller, for which jobs of other teams don't exist; ``None`` for a
                call on a public queue.
        """
        key = JobKeys(service=policy.service).progress(job_id)
        item = await self._get_with_retries(key, deadline_s)
        if isinstance(item, Failure):
            return self._answer("state", job_id, JobRequestStatus.REFUSED, failure=item)
        if item is None:
            return self._answer("state", job_id, JobRequestStatus.NO_SUCH_JOB)
        progress = decode_progress(item.value)
        if progress.queue != policy.queue or not progress.is_visible_to(team):
            return self._answer("state", job_id, JobRequestStatus.NO_SUCH_JOB, queue=progress.queue)
        self._metrics.count("desk.state.found")
        return JobResponse(status=JobRequestStatus.FOUND, state=progress.state)

    async def cancel(
        self, policy: QueuePolicy, job_id: str, *, deadline_s: float, team: str | None = None
    ) -> JobResponse:
        """Cancel a job; accepted once that is stored. A job that has ended does not change.

        The arguments are those of `state`.
        """
        keys = JobKeys(service=policy.service)
        key = keys.progress(job_id)
        while True:
            item = await self._get_with_retries(key, deadline_s)
            if isinstance(item, Failure):
                return self._answer("cancel", job_id, JobRequestStatus.UNKNOWN, failure=item)
            if item is None:
                return self._answer("cancel", job_id, JobRequestStatus.NO_SUCH_JOB)
            progress = decode_progress(item.value)
            if not progress.is_visible_to(team):
                return self._answer("cancel", job_id, JobRequestStatus.NO_SUCH_JOB)
            if progress.state.is_final:
                return self._answer(
                    "cancel", job_id, JobRequestStatus.ACCEPTED, was=progress.state.value
                )
            progress.finish(JobState.CANCELLED, now_s=self._wall_clock())
            outcome = await self._store.commit(
                Commit(
                    conditions=(Condition(key=key, revision=item.revision),),
                    writes=(Write(key=key, value=encode_progress(progress)),),
                    deletes=(keys.job(job_id),),
                )
            )
            if isinstance(outcome, Success) and not isinstance(outcome.unwrap(), Conflicted):
                return self._answer("cancel", job_id, JobRequestStatus.ACCEPTED)
            if not await self._wait_before_retry(deadline_s):
                return self._answer("cancel", job_id, JobRequestStatus.UNKNOWN)

    async def waiting(self, policy: QueuePolicy, *, deadline_s: float) -> JobResponse:
        """Return how many jobs of a queue have not begun, as its scheduler last published."""
        item = await self._get_with_retries(
            JobKeys(service=policy.service).pending_counts(), deadline_s
        )
        if isinstance(item, Failure):
            return self._answer("waiting", policy.queue, JobRequestStatus.REFUSED, failure=item)
        counts = json.loads(item.value) if item is not None else {}
        return JobResponse(status=JobRequestStatus.FOUND, waiting=counts.get(policy.queue, 0))

    async def _get_with_retries(self, key: str, deadline_s: float) -> Item | Failure | None:
        while True:
            outcome = await self._store.get(key)
            if isinstance(outcome, Success):
                item: Item | None = outcome.unwrap()
                return item
            if not await self._wait_before_retry(deadline_s):
                return outcome.failure()

    async def _wait_before_retry(self, deadline_s: float) -> bool:
        loop = asyncio.get_running_loop()
        if loop.time() + STORE_RETRY_S >= deadline_s:
            return False
        await asyncio.sleep(STORE_RETRY_S)
        return True

    def _answer(
        self, call: str, subject: str, status: JobRequestStatus, **fields: object
    ) -> JobResponse:
        self._metrics.count(f"desk.{call}.{status.value}")
        self._log.line(f"job-{call}", id=subject, outcome=status.value, **fields)
        return JobResponse(status=status)


_UNEXPLAINED_CONFLICT = Failure(
    kind=ErrorKind.STORE_UNAVAILABLE, reason="the conflict shows no progress of the job"
)


def _team_field(job: Job) -> dict[str, object]:
    """Return the team of a job as a field of a log line; nothing for a job without one."""
    return {"team": job.team} if job.team else {}
