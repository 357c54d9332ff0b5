"""Handling of one request: claim, dispatch, attempts and exactly one final answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.metrics import Metrics
from shallotworks.timeline import EventKind, Subject, Timeline

from ._loop_call_queue import LoopCallQueue, LoopCallTimeoutError
from ._messages import AttemptOutcome, Grant, Request, RequestClass, Response
from ._protocols import Dispatcher, IdempotencyGuard, RetryPolicy
from ._steps import Attempt, AttemptHistory, EndedAttempt, NextStep
from ._target_client import AttemptResult, TargetClient

__all__ = ["Relay"]

RETRY_AFTER_S = 1.0
RECORD_WRITE_WAIT_S = 0.25
LOOP_ANSWER_GRACE_S = 2.0
"""Time past the deadline for which a caller's thread waits for the loop's final answer."""


class Relay:
    """Answers requests; decides on the event loop and does I/O on the thread of the caller.

    A request that is answered by its first attempt waits for the loop once; its slot is released
    without a further wait.

    Args:
        loop: The event loop that takes all decisions.
        dispatcher: Admission and target selection.
        retry_policy: Decides whether a failed attempt is retried.
        idempotency_guard: Prevents a non-idempotent request with a key from running twice.
        target_client: Makes one attempt at a target.
        metrics: Records counts and latencies.
        timeline: Records events.
        max_long_running_requests: Maximum number of long-running requests in progress,
            including waiting ones.
    """

    __slots__ = (
        "_background_tasks",
        "_dispatcher",
        "_idempotency_guard",
        "_in_flight",
        "_long_running_ids",
        "_loop",
        "_loop_calls",
        "_max_long_running_requests",
        "_metrics",
        "_retry_policy",
        "_stopping",
        "_target_client",
        "_timeline",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        dispatcher: Dispatcher,
        retry_policy: RetryPolicy,
        idempotency_guard: IdempotencyGuard,
        target_client: TargetClient,
        metrics: Metrics,
        timeline: Timeline,
        max_long_running_requests: int,
    ) -> None:
        self._max_long_running_requests = max_long_running_requests
        self._long_running_ids: set[str] = set()
        self._loop = loop
        self._loop_calls = LoopCallQueue(loop=loop, expects_deferred=lambda: self._in_flight > 0)
        self._dispatcher = dispatcher
        self._retry_policy = retry_policy
        self._idempotency_guard = idempotency_guard
        self._target_client = target_client
        self._metrics = metrics
        self._timeline = timeline
        self._in_flight = 0
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._stopping = False

    def handle(self, request: Request) -> Result[Response, Failure]:
        """Answer one request; called on the thread that serves the caller.

        Returns:
            The target's complete answer to this request, or a failure whose kind states whether the
            request ran, did not run, or may have run.
        """
        started_s = time.monotonic()
        answer, last = self._answer(request)
        duration_s = time.monotonic() - started_s
        finish = partial(self._finish, request, answer, duration_s, last)
        # If no request waits for the slot, its release needs no wake-up of its own: the loop runs
        # it before the next request's call, or when it next drains the inbox.
        if last is not None and self._dispatcher.waiting == 0:
            self._loop_calls.defer(finish)
        else:
            self._loop_calls.post(finish)
        return answer

    @property
    def is_stopping(self) -> bool:
        """Whether new requests are refused."""
        return self._stopping

    def stop_admitting(self) -> None:
        """Refuse new requests from now on, as not run; requests in progress continue."""
        self._stopping = True

    async def flush_records(self, *, timeout_s: float) -> None:
        """Wait for idempotency records that are still being written, before a stop.

        An answer may already be with its caller while its record waits for a slow store. If the
        instance stopped now, a repeat of that key would get an unknown outcome.

        Args:
            timeout_s: Maximum wait.
        """
        if self._background_tasks:
            await asyncio.wait(tuple(self._background_tasks), timeout=timeout_s)

    def _answer(self, request: Request) -> tuple[Result[Response, Failure], EndedAttempt | None]:
        """Return the final answer, and the last attempt if its slot is not released yet."""
        step = self._run_decision(
            partial(self._start_waiting, request),
            request,
            fast_path=partial(self._start_without_waiting, request),
        )
        while isinstance(step, Success):
            decided = step.unwrap()
            if isinstance(decided, Response):
                return Success(decided), None
            ended = self._attempt(decided, request)
            response = ended.result.response
            answered = ended.result.outcome is AttemptOutcome.ANSWERED
            if answered and response is not None and decided.history.claim is None:
                return Success(response), ended
            step = self._run_decision(partial(self._decide_after_attempt, ended, request), request)
        return Err(step.failure()), None

    def _attempt(self, attempt: Attempt, request: Request) -> EndedAttempt:
        started_s = time.monotonic()
        remaining_s = request.deadline_s - self._loop.time()
        result = self._target_client.send(
            attempt.grant.target,
            request,
            attempt=attempt.history.attempts + 1,
            timeout_s=remaining_s,
        )
        return EndedAttempt(attempt=attempt, result=result, duration_s=time.monotonic() - started_s)

    def _run_decision(
        self,
        decision: Callable[[], Coroutine[Any, Any, NextStep]],
        request: Request,
        *,
        fast_path: Callable[[], NextStep | None] = lambda: None,
    ) -> NextStep:
        """Run one decision on the loop and wait for its result.

        A decision ends at the request's deadline by itself. If the loop is blocked for
        `LOOP_ANSWER_GRACE_S` longer, the caller still gets a final answer, which states that the
        outcome is not known.
        """
        remaining_s = max(0.0, request.deadline_s - self._loop.time())
        try:
            return self._loop_calls.call(
                decision,
                timeout_s=remaining_s + LOOP_ANSWER_GRACE_S,
                on_unclaimed=self._release_unclaimed,
                fast_path=fast_path,
            )
        except LoopCallTimeoutError:
            return _fail(ErrorKind.OUTCOME_UNKNOWN, "no decision was taken within the deadline")

    def _release_unclaimed(self, step: NextStep) -> None:
        """Release the slot of an attempt that will not be made after its thread stopped waiting."""
        decided = step.value_or(None)
        if isinstance(decided, Attempt):
            result = AttemptResult(outcome=AttemptOutcome.ABANDONED)
            self._release(EndedAttempt(attempt=decided, result=result, duration_s=0.0))

    def _start_without_waiting(self, request: Request) -> NextStep | None:
        """Return the first step if it needs no wait; ``None`` if `_start_waiting` must follow."""
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        if _needs_claim(request):
            return None
        self._retry_policy.count_first_attempt(request)
        granted = self._dispatcher.try_acquire(request, tried=frozenset())
        if granted is None:
            return None
        return granted.map(partial(self._next_attempt, request, AttemptHistory()))

    async def _start_waiting(self, request: Request) -> NextStep:
        """Return the first step after `_start_without_waiting` returned ``None``."""
        if not _needs_claim(request):
            granted = await self._dispatcher.wait(request, tried=frozenset())
            return granted.map(partial(self._next_attempt, request, AttemptHistory()))
        claimed = await self._idempotency_guard.claim(request)
        if not isinstance(claimed, Success):
            return Err(claimed.failure())
        claim = claimed.unwrap()
        if claim.stored is not None:
            return Success(claim.stored)
        self._retry_policy.count_first_attempt(request)
        return await self._acquire(request, AttemptHistory(claim=claim))

    def _refusal(self, request: Request) -> NextStep | None:
        if self._stopping:
            return _fail(ErrorKind.STOPPING, "this instance is stopping", retry_after_s=0.1)
        if request.request_class is not RequestClass.LONG_RUNNING:
            return None
        # Each request occupies a thread from its arrival to its answer. Without this limit, waiting
        # long-running requests could occupy all threads, and an interactive request would find no
        # thread although slots are free for it.
        if len(self._long_running_ids) >= self._max_long_running_requests:
            reason = "too many long-running requests are here already"
            return _fail(ErrorKind.OVERLOADED, reason, retry_after_s=RETRY_AFTER_S)
        self._long_running_ids.add(request.request_id)
        return None

    async def _acquire(self, request: Request, history: AttemptHistory) -> NextStep:
        granted = await self._dispatcher.acquire(request, tried=history.tried)
        if isinstance(granted, Success):
            return Success(self._next_attempt(request, history, granted.unwrap()))
        failure = granted.failure()
        if history.claim is not None:
            await self._idempotency_guard.release_claim(history.claim)
        return _outcome_unknown(failure) if history.may_have_run else Err(failure)

    def _next_attempt(self, request: Request, history: AttemptHistory, grant: Grant) -> Attempt:
        self._in_flight += 1
        instance = grant.target.instance
        detail = f"attempt {history.attempts + 1}"
        self._record(EventKind.SENT, request, instance=instance, detail=detail)
        return Attempt(grant=grant, history=history)

    async def _decide_after_attempt(self, ended: EndedAttempt, request: Request) -> NextStep:
        history, result = ended.history, ended.result
        self._release(ended)
        if result.outcome is AttemptOutcome.TIMED_OUT:
            instance = ended.attempt.grant.target.instance
            self._record(EventKind.CONNECTION_SUSPECT, request, instance=instance)
        if result.outcome is AttemptOutcome.ANSWERED and result.response is not None:
            return await self._complete(history, result.response)
        delay_s = self._retry_policy.next_delay_s(
            request, attempts=history.attempts, outcome=result.outcome
        )
        if delay_s is None or self._loop.time() + delay_s >= request.deadline_s:
            return await self._end_unanswered(history, result)
        self._record(
            EventKind.RETRIED,
            request,
            instance=ended.attempt.grant.target.instance,
            detail=f"{result.outcome.value}: {result.detail}",
        )
        await asyncio.sleep(delay_s)
        return await self._acquire(request, history)

    async def _complete(self, history: AttemptHistory, response: Response) -> NextStep:
        """Store the answer under its claim and return it.

        With a slow store, an answer that has already arrived would wait for its record until the
        deadline passes and then be reported as unknown. A wait of `RECORD_WRITE_WAIT_S` at most
        lets a repeat find the answer; after it the write continues in the background.
        """
        if history.claim is not None:
            record_write = self._start_background_task(
                self._idempotency_guard.complete_claim(history.claim, response)
            )
            await asyncio.wait((record_write,), timeout=RECORD_WRITE_WAIT_S)
        return Success(response)

    async def _end_unanswered(self, history: AttemptHistory, result: AttemptResult) -> NextStep:
        if not history.may_have_run:
            if history.claim is not None:
                await self._idempotency_guard.release_claim(history.claim)
            return _fail(ErrorKind.NO_TARGET, result.detail, retry_after_s=RETRY_AFTER_S)
        if result.outcome is AttemptOutcome.TARGET_ERROR and result.response is not None:
            # The caller gets the target's complete answer, even if it reports an error.
            return await self._complete(history, result.response)
        if history.claim is not None:
            # The caller does not wait for a record that does not change its answer.
            self._start_background_task(self._idempotency_guard.mark_outcome_unknown(history.claim))
        if result.outcome.known_not_run:
            refusal = Failure(
                kind=ErrorKind.NO_TARGET, reason=result.detail, retry_after_s=RETRY_AFTER_S
            )
            return _outcome_unknown(refusal)
        reason = f"{result.outcome.value}: {result.detail}"
        return _fail(ErrorKind.OUTCOME_UNKNOWN, reason, retry_after_s=RETRY_AFTER_S)

    def _start_background_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    def _finish(
        self,
        request: Request,
        answer: Result[Response, Failure],
        duration_s: float,
        last: EndedAttempt | None,
    ) -> None:
        if last is not None:
            self._release(last)
        self._long_running_ids.discard(request.request_id)
        self._record_answer(request, answer, duration_s)

    def _release(self, ended: EndedAttempt) -> None:
        grant, outcome = ended.attempt.grant, ended.result.outcome
        self._in_flight -= 1
        self._metrics.count(f"attempts.{outcome.value}")
        self._dispatcher.release(grant, outcome, duration_s=ended.duration_s)

    def _record_answer(
        self, request: Request, answer: Result[Response, Failure], duration_s: float
    ) -> None:
        name = f"{request.request_class.value}.{request.service}"
        if isinstance(answer, Success):
            self._metrics.count(f"requests.answered.{name}")
            self._metrics.observe_s(f"latency.{name}", duration_s)
            self._record(EventKind.ANSWERED, request, duration_s=duration_s)
            return
        kind = answer.failure().kind.value
        self._metrics.count(f"requests.refused.{kind}")
        self._record(EventKind.REFUSED, request, detail=kind, duration_s=duration_s)

    def _record(
        self,
        kind: EventKind,
        request: Request,
        *,
        instance: str = "",
        detail: str = "",
        duration_s: float = 0.0,
    ) -> None:
        subject = Subject(request=request.request_id, service=request.service, instance=instance)
        self._timeline.record(kind, subject=subject, detail=detail, duration_s=duration_s)


def _fail(kind: ErrorKind, reason: str, *, retry_after_s: float | None = None) -> NextStep:
    return Err(Failure(kind=kind, reason=reason, retry_after_s=retry_after_s))


def _needs_claim(request: Request) -> bool:
    return bool(request.idempotency_key) and not request.idempotent


def _outcome_unknown(failure: Failure) -> NextStep:
    """Return the failure of a request that did not run last but may have run before."""
    reason = f"an earlier attempt may have run; then {failure}"
    return _fail(ErrorKind.OUTCOME_UNKNOWN, reason, retry_after_s=failure.retry_after_s)
