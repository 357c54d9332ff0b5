"""Calls to the platform, with a rate limit, circuit breaker, deadline, retries and counters."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from absl import logging
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.metrics import Metrics
from shallotworks.timeline import EventKind, Subject, Timeline

from ._breaker import CircuitBreaker
from ._budget import CallBudget
from ._transport import ExchangeOutcome, ExchangeResult, HttpRequest, HttpTransport
from .wire import KIND_BY_STATUS

__all__ = ["Call", "CallKind", "PlatformCalls", "PlatformLimits"]

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
DEADLINE_MARGIN_S = 0.05
"""Subtracted from the time of an attempt, so that its result returns from the thread in time."""
MAX_TIMEOUT_FACTOR = 4.0
"""Largest factor by which the timeout of an attempt is multiplied for a slow service."""
QUICK_ANSWER_FRACTION = 0.5
"""An answer within this part of `PlatformLimits.attempt_timeout_s` resets the factor to 1."""
HTTP_OK = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformLimits:
    """Limits of the calls that one instance makes to one of the platform's services.

    Args:
        deadline_s: Time within which a call ends, retries included.
        attempt_timeout_s: Time for one attempt. The service answers within milliseconds, so a
            timeout means that the connection no longer carries data. The time is up to four times
            as long while the service is slow on new connections too.
        watch_grace_s: Time beyond its own wait after which a watch times out.
        attempts: Attempts for one read; a write has one.
        threads: Calls in flight at once, not counting watches.
        watch_threads: Watches in flight at once.
        rate_per_s: Calls per second in the long run.
        burst: Calls that may be made at once after a time without calls.
    """

    deadline_s: float = 3.0
    attempt_timeout_s: float = 1.0
    watch_grace_s: float = 1.0
    attempts: int = 3
    threads: int = 8
    watch_threads: int = 2
    rate_per_s: float = 20.0
    burst: int = 40


@dataclass(frozen=True, slots=True, kw_only=True)
class CallKind:
    """Properties of one kind of call.

    Args:
        name: Name in the counters.
        is_write: Whether the call may change something; it is then never retried.
        is_urgent: Whether the call may overdraw the budget, as the renewal of a lease must.
        is_watch: Whether the call is a watch, which is never retried either.
    """

    name: str
    is_write: bool = False
    is_urgent: bool = False
    is_watch: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call.

    Args:
        kind: Kind of the call.
        method: HTTP method.
        path: Path and query.
        body: Body as JSON.
        wait_s: Time that a watch waits at the service.
    """

    kind: CallKind
    method: str
    path: str
    body: bytes = b""
    wait_s: float = 0.0


class PlatformCalls:
    """Makes the calls to one service of the platform; must be used on the event loop.

    Args:
        service: The service's name, which is the prefix of its counters.
        address: ``ip:port``.
        limits: The limits.
        metrics: Counts calls.
        timeline: Records when the service goes down and comes up.
        rng: Source of jitter.
    """

    __slots__ = (
        "_breaker",
        "_budget",
        "_limits",
        "_metrics",
        "_rng",
        "_service",
        "_timeline",
        "_timeout_factor",
        "_transport",
        "_watch_transport",
    )

    def __init__(
        self,
        *,
        service: str,
        address: str,
        limits: PlatformLimits,
        metrics: Metrics,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._limits = limits
        self._metrics = metrics
        self._timeline = timeline
        self._rng = rng
        self._timeout_factor = 1.0
        self._breaker = CircuitBreaker(rng=rng, on_change=self._note_change)
        self._budget = CallBudget(rate_per_s=limits.rate_per_s, burst=limits.burst)
        self._transport = HttpTransport(address=address, threads=limits.threads, name=service)
        self._watch_transport = HttpTransport(
            address=address, threads=limits.watch_threads, name=f"{service}-watch"
        )

    async def make(self, call: Call) -> Result[bytes, Failure]:
        """Make one call; a read is retried, a write or a watch is not.

        Returns:
            The answer's body; ``STORE_UNAVAILABLE`` if the call certainly took no effect, which
            includes each failed read; ``OUTCOME_UNKNOWN`` if a write was sent and its answer was
            lost; otherwise the failure that the service answered (see `shallotworks.kv.wire`).
        """
        if call.kind.is_write or call.kind.is_watch:
            return await self._attempt(call, max_wait_s=self._limits.deadline_s)
        ends_at_s = asyncio.get_running_loop().time() + self._limits.deadline_s
        attempt = 1
        while True:
            left_s = ends_at_s - DEADLINE_MARGIN_S - asyncio.get_running_loop().time()
            outcome = await self._attempt(call, max_wait_s=left_s)
            if not self._is_worth_retrying(outcome, attempt):
                return outcome
            delay_s = self._backoff_s(attempt)
            left_s = ends_at_s - asyncio.get_running_loop().time()
            if delay_s + self._limits.attempt_timeout_s > left_s:
                return outcome
            await asyncio.sleep(delay_s)
            self._count("retries")
            attempt += 1

    @property
    def is_up(self) -> bool:
        """Whether the service is considered up, because the circuit breaker is closed."""
        return not self._breaker.is_open

    def close(self) -> None:
        """Close all connections and end the threads."""
        self._transport.close()
        self._watch_transport.close()

    async def _attempt(self, call: Call, *, max_wait_s: float) -> Result[bytes, Failure]:
        refused = await self._wait_for_budget(call, max_wait_s)
        if refused is not None:
            return Err(refused)
        if not self._breaker.admit():
            self._count("refused.circuit-open")
            return Err(self._unavailable("is down", self._breaker.retry_after_s()))
        is_finished = False
        try:
            exchange = await self._send_request(call, timeout_limit_s=max_wait_s)
            is_finished = True
        finally:
            if not is_finished:
                self._breaker.record_abandoned()
        return self._classify(call, exchange)

    async def _wait_for_budget(self, call: Call, max_wait_s: float) -> Failure | None:
        if call.kind.is_urgent:
            self._budget.reserve_urgent()
            return None
        wait_s = self._budget.reserve(max_wait_s=max_wait_s)
        if wait_s is None:
            self._count("refused.budget")
            return self._unavailable("was not called: this instance's budget is spent", max_wait_s)
        if wait_s > 0:
            self._count("delayed.budget")
            await asyncio.sleep(wait_s)
        return None

    async def _send_request(self, call: Call, *, timeout_limit_s: float) -> ExchangeResult:
        self._count(f"calls.{call.kind.name}")
        transport = self._watch_transport if call.kind.is_watch else self._transport
        timeout_s = min(timeout_limit_s, self._limits.attempt_timeout_s * self._timeout_factor)
        if call.kind.is_watch:
            timeout_s = call.wait_s + self._limits.watch_grace_s * self._timeout_factor
        request = HttpRequest(
            method=call.method, path=call.path, body=call.body, timeout_s=timeout_s
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        dropped_before = transport.connections_dropped
        exchange = await transport.exchange(request)
        if transport.connections_dropped != dropped_before:
            self._count("connections-dropped")
        if not call.kind.is_watch:
            duration_s = loop.time() - started_s
            self._metrics.observe_s(f"latency.{self._service}.{call.kind.name}", duration_s)
            self._adapt_timeout(exchange, duration_s)
        return exchange

    def _adapt_timeout(self, exchange: ExchangeResult, duration_s: float) -> None:
        """Lengthen the timeout for a slow service; reset it if only a connection was silent.

        A store that takes 1.5 s for each call answers all of them, but with a fixed timeout of 1 s
        no call would ever succeed. If a connection stopped carrying data, the next call uses a new
        one and gets a quick answer, which resets the factor at once.
        """
        if exchange.outcome is ExchangeOutcome.TIMED_OUT:
            self._timeout_factor = min(MAX_TIMEOUT_FACTOR, self._timeout_factor * 2)
            return
        quick_s = self._limits.attempt_timeout_s * QUICK_ANSWER_FRACTION
        if exchange.outcome is ExchangeOutcome.ANSWERED and duration_s < quick_s:
            self._timeout_factor = 1.0

    def _classify(self, call: Call, exchange: ExchangeResult) -> Result[bytes, Failure]:
        answered = exchange.outcome is ExchangeOutcome.ANSWERED
        if answered and exchange.status == HTTP_OK:
            self._breaker.record_success()
            return Success(exchange.body)
        kind = KIND_BY_STATUS.get(exchange.status) if answered else None
        if kind is not None and kind is not ErrorKind.STORE_UNAVAILABLE:
            self._breaker.record_success()
            return Err(Failure(kind=kind, reason=_describe(exchange)))
        self._breaker.record_failure()
        known_no_effect = exchange.outcome is ExchangeOutcome.NOT_SENT or kind is not None
        if call.kind.is_write and not known_no_effect:
            self._count("failed.outcome-unknown")
            reason = f"the answer of {self._service} was lost: {_describe(exchange)}"
            return Err(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason=reason))
        self._count("failed.unavailable")
        return Err(self._unavailable(f"did not answer: {_describe(exchange)}", 1.0))

    def _is_worth_retrying(self, outcome: Result[bytes, Failure], attempt: int) -> bool:
        if isinstance(outcome, Success) or attempt >= self._limits.attempts:
            return False
        down = self._breaker.is_open
        return outcome.failure().kind is ErrorKind.STORE_UNAVAILABLE and not down

    def _backoff_s(self, attempt: int) -> float:
        max_backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt)
        return self._rng.uniform(0, max_backoff_s)

    def _unavailable(self, problem: str, retry_after_s: float) -> Failure:
        return Failure(
            kind=ErrorKind.STORE_UNAVAILABLE,
            reason=f"{self._service} {problem}",
            retry_after_s=retry_after_s,
        )

    def _count(self, name: str) -> None:
        self._metrics.count(f"{self._service}.{name}")

    def _note_change(self, up: bool) -> None:
        kind = EventKind.STORE_UP if up else EventKind.STORE_DOWN
        self._timeline.record(kind, subject=Subject(), detail=self._service)
        if up:
            self._budget.spend_burst()
            logging.info("%s is available again", self._service)
        else:
            self._count("outages")
            logging.warning("%s is unavailable; the circuit breaker is open", self._service)


def _describe(exchange: ExchangeResult) -> str:
    if exchange.outcome is ExchangeOutcome.ANSWERED:
        return f"status {exchange.status} {exchange.body[:200].decode(errors='replace')}"
    return f"{exchange.outcome.value} {exchange.detail}"
