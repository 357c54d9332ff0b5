"""Retries within a budget per service."""

from __future__ import annotations

import asyncio
import random

from shallotworks.metrics import Metrics

from ._limits import RetryLimits
from ._messages import AttemptOutcome, Request

__all__ = ["BudgetedRetryPolicy"]

_NEVER_RETRIED = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.ABANDONED})


class BudgetedRetryPolicy:
    """Allows retries as a part of a service's first attempts, with backoff and full jitter.

    The failure: a third of the targets fail, every caller's request is tried again, and the
    retries are the load that takes the others down; it shows as more attempts than requests. The
    budget holds whatever fails, since a retry is only paid for by first attempts, which the
    callers send, and by a small floor.

    Args:
        limits: How much is allowed.
        metrics: Where retries and denials are counted.
        rng: Source of the jitter.
    """

    __slots__ = ("_buckets", "_limits", "_metrics", "_rng")

    def __init__(self, *, limits: RetryLimits, metrics: Metrics, rng: random.Random) -> None:
        self._limits = limits
        self._metrics = metrics
        self._rng = rng
        self._buckets: dict[str, _TokenBucket] = {}

    def count_first_attempt(self, request: Request) -> None:
        """Count a request's first attempt, a part of which retries may add."""
        self._bucket(request.service).add(self._limits.retry_ratio)

    def next_delay_s(
        self, request: Request, *, attempts: int, outcome: AttemptOutcome
    ) -> float | None:
        """Return the time to wait before the next attempt; ``None`` for no further attempt.

        Args:
            request: The request.
            attempts: Attempts made so far.
            outcome: How the last one ended.
        """
        if outcome in _NEVER_RETRIED or attempts >= self._limits.max_attempts:
            return None
        if not (request.idempotent or outcome.known_not_run):
            # A target may have run it: another attempt could run it twice.
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
    """The retries that one service has left."""

    __slots__ = ("_burst", "_min_retries_per_s", "_refilled_at_s", "_tokens")

    def __init__(self, *, limits: RetryLimits) -> None:
        self._burst = limits.burst
        self._min_retries_per_s = limits.min_retries_per_s
        self._tokens = limits.burst
        self._refilled_at_s = asyncio.get_running_loop().time()

    def add(self, amount: float) -> None:
        """Add to what is left, up to the burst."""
        self._tokens = min(self._burst, self._tokens + amount)

    def try_take(self) -> bool:
        """Take one retry, if one is left."""
        now_s = asyncio.get_running_loop().time()
        self.add((now_s - self._refilled_at_s) * self._min_retries_per_s)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
