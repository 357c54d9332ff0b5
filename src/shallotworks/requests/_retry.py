"""Retry policy with a retry budget per service."""

from __future__ import annotations

import asyncio
import random

from shallotworks.metrics import Metrics

from ._limits import RetryLimits
from ._messages import AttemptOutcome, Request

__all__ = ["BudgetedRetryPolicy"]

_NEVER_RETRIED = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.ABANDONED})


class BudgetedRetryPolicy:
    """Retries within a budget that first attempts fill, with exponential backoff and full jitter.

    If a third of the targets fail and every failed request is retried, the load of the retries
    overloads the remaining targets, which shows as many more attempts than requests. The budget
    limits retries regardless of how much fails: only first attempts, which callers send, and a
    small minimum rate add to it.

    Args:
        limits: Retry budget and backoff.
        metrics: Counts allowed and denied retries.
        rng: Source of the jitter.
    """

    __slots__ = ("_buckets", "_limits", "_metrics", "_rng")

    def __init__(self, *, limits: RetryLimits, metrics: Metrics, rng: random.Random) -> None:
        self._limits = limits
        self._metrics = metrics
        self._rng = rng
        self._buckets: dict[str, _TokenBucket] = {}

    def count_first_attempt(self, request: Request) -> None:
        """Count a request's first attempt; each one adds to the retry budget."""
        self._bucket(request.service).add(self._limits.retry_ratio)

    def next_delay_s(
        self, request: Request, *, attempts: int, outcome: AttemptOutcome
    ) -> float | None:
        """Return the delay before the next attempt in seconds; ``None`` for no further attempt.

        Args:
            request: The request.
            attempts: Number of attempts made so far.
            outcome: Outcome of the last attempt.
        """
        if outcome in _NEVER_RETRIED or attempts >= self._limits.max_attempts:
            return None
        if not (request.idempotent or outcome.known_not_run):
            # A target may have run the request, and another attempt could run it a second time.
            return None
        delay_s = self._delay_s(attempts)
        if asyncio.get_running_loop().time() + delay_s >= request.deadline_s:
            self._metrics.count("retries.denied.deadline")
            return None
        if not self._bucket(request.service).try_take():
            self._metrics.count(f"retries.denied.budget.{request.service}")
            return None
        self._metrics.count(f"retries.allowed.{request.service}")
        return delay_s

    def _delay_s(self, attempts: int) -> float:
        longest_s = self._limits.backoff_base_s * 2 ** (attempts - 1)
        return self._rng.uniform(0.0, min(longest_s, self._limits.backoff_max_s))

    def _bucket(self, service: str) -> _TokenBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = _TokenBucket(limits=self._limits)
            self._buckets[service] = bucket
        return bucket


class _TokenBucket:
    """Retry budget of one service, as a token bucket."""

    __slots__ = ("_burst", "_min_retries_per_s", "_refilled_at_s", "_tokens")

    def __init__(self, *, limits: RetryLimits) -> None:
        self._burst = limits.burst
        self._min_retries_per_s = limits.min_retries_per_s
        self._tokens = limits.burst
        self._refilled_at_s = asyncio.get_running_loop().time()

    def add(self, amount: float) -> None:
        """Add tokens, up to the burst."""
        self._tokens = min(self._burst, self._tokens + amount)

    def try_take(self) -> bool:
        """Take one token if one is available; return whether it was."""
        now_s = asyncio.get_running_loop().time()
        self.add((now_s - self._refilled_at_s) * self._min_retries_per_s)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
