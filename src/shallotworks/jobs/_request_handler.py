"""Answers callers' requests about jobs: submit, state, cancel, and the number of waiting jobs."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import NamedTuple, TypeVar

from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.store import Commit, Condition, Conflicted, Item, Store, Write

from ._progress import JobProgress, JobState
from ._records import (
    PENDING_PREFIX,
    Acceptance,
    JobKeys,
    acceptance_key,
    decode_progress,
    encode_job,
    encode_progress,
    pending_count_key,
)
from ._spec import Job, QueuePolicy

__all__ = ["JobResponse", "JobRequestStatus", "JobRequestHandler"]

T = TypeVar("T")

STORE_RETRY_S = 0.08
"""Pause between attempts of one request, about twice the time of a slow answer of a healthy
store."""
MAX_OTHER_SERVICES = 24
"""Other services whose keys a submission compares. A commit has at most 32 entries, and six are the
job's own. Source: the platform's page on its store."""


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
        services: Returns the services that may have accepted jobs.
    """

    __slots__ = ("_log", "_metrics", "_services", "_store", "_wall_clock")

    def __init__(
        self,
        *,
        store: Store,
        metrics: Metrics,
        log: StructuredLog,
        wall_clock: Callable[[], float],
        services: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._services = services
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
        acceptance_revision = 0
        is_outcome_unknown = False
        while True:
            outcome = await self._store.commit(self._submission(job, acceptance_revision))
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
                found = await self._explain_conflict(job, committed)
                if isinstance(found, _Orphan) and found.revision != acceptance_revision:
                    acceptance_revision = found.revision
                    continue
                if isinstance(found, Item):
                    return self._answer_conflict(job, found)
                failure = found if isinstance(found, Failure) else _UNEXPLAINED_CONFLICT
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

    def _submission(self, job: Job, acceptance_revision: int) -> Commit:
        """Return the commit that stores a job unless some service has one of its id.

        Jobs of earlier releases have no acceptance record, so that their progress is compared too.
        """
        keys = JobKeys(service=job.policy.service)
        progress = JobProgress(queue=job.policy.queue, team=job.team, address=job.policy.address)
        acceptance = Acceptance(service=job.policy.service)
        return Commit(
            conditions=(
                Condition(key=keys.job(job.job_id), revision=0),
                Condition(key=keys.progress(job.job_id), revision=0),
                Condition(key=acceptance_key(job.job_id), revision=acceptance_revision),
                *(
                    Condition(key=JobKeys(service=service).progress(job.job_id), revision=0)
                    for service in self._other_services(job.policy)
                ),
            ),
            writes=(
                Write(key=keys.job(job.job_id), value=encode_job(job)),
                Write(key=keys.progress(job.job_id), value=encode_progress(progress)),
                Write(key=acceptance_key(job.job_id), value=acceptance.encode()),
            ),
        )

    def _other_services(self, policy: QueuePolicy) -> list[str]:
        return sorted(self._services() - {policy.service})[:MAX_OTHER_SERVICES]

    async def _explain_conflict(
        self, job: Job, conflict: Conflicted
    ) -> Item | _Orphan | Failure | None:
        """Return the progress of the job whose id is in use; ``None`` if the conflict shows none.

        An earlier release that deletes a job leaves its acceptance record behind.
        """
        current = {item.key: item for item in conflict.current}
        for service in (job.policy.service, *self._other_services(job.policy)):
            progress = current.get(JobKeys(service=service).progress(job.job_id))
            if progress is not None:
                return progress
        accepted = current.get(acceptance_key(job.job_id))
        if accepted is None:
            return None
        keys = JobKeys(service=Acceptance.decode(accepted.value).service)
        outcome = await self._store.get(keys.progress(job.job_id))
        if not isinstance(outcome, Success):
            return outcome.failure()
        item: Item | None = outcome.unwrap()
        return item if item is not None else _Orphan(accepted.revision)

    def _answer_conflict(self, job: Job, found: Item) -> JobResponse:
        """Answer a submission whose id is in use: by the same job, or by another one."""
        progress = decode_progress(found.value)
        if progress.team != job.team or not progress.is_reached_by(job.policy):
            return self._answer(
                "submit",
                job.job_id,
                JobRequestStatus.ID_TAKEN,
                queue=progress.queue,
                **_team_field(job),
            )
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
        found = await self._find(policy, job_id, deadline_s)
        if isinstance(found, Failure):
            return self._answer("state", job_id, JobRequestStatus.REFUSED, failure=found)
        if found is None:
            return self._answer("state", job_id, JobRequestStatus.NO_SUCH_JOB)
        progress = decode_progress(found.item.value)
        if not progress.is_reached_by(policy) or not progress.is_visible_to(team):
            return self._answer("state", job_id, JobRequestStatus.NO_SUCH_JOB, queue=progress.queue)
        self._metrics.count("desk.state.found")
        return JobResponse(status=JobRequestStatus.FOUND, state=progress.state)

    async def cancel(
        self, policy: QueuePolicy, job_id: str, *, deadline_s: float, team: str | None = None
    ) -> JobResponse:
        """Cancel a job; accepted once that is stored. A job that has ended does not change.

        The arguments are those of `state`.
        """
        while True:
            found = await self._find(policy, job_id, deadline_s)
            if isinstance(found, Failure):
                return self._answer("cancel", job_id, JobRequestStatus.UNKNOWN, failure=found)
            if found is None:
                return self._answer("cancel", job_id, JobRequestStatus.NO_SUCH_JOB)
            keys, item = found
            progress = decode_progress(item.value)
            if not progress.is_reached_by(policy) or not progress.is_visible_to(team):
                return self._answer("cancel", job_id, JobRequestStatus.NO_SUCH_JOB)
            if progress.state.is_final:
                return self._answer(
                    "cancel", job_id, JobRequestStatus.ACCEPTED, was=progress.state.value
                )
            progress.finish(JobState.CANCELLED, now_s=self._wall_clock())
            outcome = await self._store.commit(
                Commit(
                    conditions=(Condition(key=item.key, revision=item.revision),),
                    writes=(Write(key=item.key, value=encode_progress(progress)),),
                    deletes=(keys.job(job_id),),
                )
            )
            if isinstance(outcome, Success) and not isinstance(outcome.unwrap(), Conflicted):
                return self._answer("cancel", job_id, JobRequestStatus.ACCEPTED)
            if not await self._wait_before_retry(deadline_s):
                return self._answer("cancel", job_id, JobRequestStatus.UNKNOWN)

    async def waiting(self, policy: QueuePolicy, *, deadline_s: float) -> JobResponse:
        """Return how many jobs of a queue have not begun, as schedulers last published.

        Jobs that were accepted before a configuration sent the queue to another service are with
        the earlier one.
        """
        page = await self._call_with_retries(
            lambda: self._store.read_page(PENDING_PREFIX), deadline_s
        )
        if isinstance(page, Failure):
            return self._answer("waiting", policy.queue, JobRequestStatus.REFUSED, failure=page)
        waiting = sum(_count_pending(json.loads(item.value), policy) for item in page.items)
        return JobResponse(status=JobRequestStatus.FOUND, waiting=waiting)

    async def _find(
        self, policy: QueuePolicy, job_id: str, deadline_s: float
    ) -> _FoundJob | Failure | None:
        """Return a job's keys and progress, whichever service the configuration in force names.

        The service of the queue is asked first. If it has no such job, the acceptance record names
        the service; jobs of earlier releases have none, so that all services are asked.
        """
        keys = JobKeys(service=policy.service)
        item = await self._get_with_retries(keys.progress(job_id), deadline_s)
        if isinstance(item, Failure):
            return item
        if item is not None:
            return _FoundJob(keys, item)
        accepted = await self._get_with_retries(acceptance_key(job_id), deadline_s)
        if isinstance(accepted, Failure):
            return accepted
        services = self._other_services(policy)
        if accepted is not None:
            services = [Acceptance.decode(accepted.value).service]
        for service in services:
            keys = JobKeys(service=service)
            item = await self._get_with_retries(keys.progress(job_id), deadline_s)
            if isinstance(item, Failure):
                return item
            if item is not None:
                return _FoundJob(keys, item)
        return None

    async def _get_with_retries(self, key: str, deadline_s: float) -> Item | Failure | None:
        return await self._call_with_retries(lambda: self._store.get(key), deadline_s)

    async def _call_with_retries(
        self, call: Callable[[], Awaitable[Result[T, Failure]]], deadline_s: float
    ) -> T | Failure:
        while True:
            outcome = await call()
            if isinstance(outcome, Success):
                answer: T = outcome.unwrap()
                return answer
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


class _FoundJob(NamedTuple):
    """The keys of a job and its progress."""

    keys: JobKeys
    item: Item


class _Orphan(NamedTuple):
    """An acceptance record of a job that was deleted."""

    revision: int


def _count_pending(counts: dict[str, int], policy: QueuePolicy) -> int:
    """Return the number of a queue's jobs in one service's record of pending counts.

    Earlier releases count by the names of queues alone.
    """
    if any(key.startswith(pending_count_key("")) for key in counts):
        return counts.get(pending_count_key(policy.address), 0)
    return counts.get(policy.queue, 0)


def _team_field(job: Job) -> dict[str, object]:
    """Return the team of a job as a field of a log line; nothing for a job without one."""
    return {"team": job.team} if job.team else {}
