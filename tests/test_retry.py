"""Tests of `shallotworks.requests.BudgetedRetryPolicy`."""

import asyncio
import random
import unittest

from parameterized import parameterized

from shallotworks.metrics import Metrics
from shallotworks.requests import AttemptOutcome, BudgetedRetryPolicy, RetryLimits
from tests.dispatch_fakes import make_request, run_on_virtual_clock

LIMITS = RetryLimits(max_attempts=3, retry_ratio=0.1, min_retries_per_s=0.5, burst=4.0)


def make_policy() -> BudgetedRetryPolicy:
    return BudgetedRetryPolicy(limits=LIMITS, metrics=Metrics(), rng=random.Random(1))


class RetryTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("answered", AttemptOutcome.ANSWERED, True, False),
            ("abandoned", AttemptOutcome.ABANDONED, True, False),
            ("idempotent, broken", AttemptOutcome.BROKEN, True, True),
            ("idempotent, timed out", AttemptOutcome.TIMED_OUT, True, True),
            ("idempotent, target error", AttemptOutcome.TARGET_ERROR, True, True),
            ("booking, not sent", AttemptOutcome.NOT_SENT, False, True),
            ("booking, refused", AttemptOutcome.REFUSED, False, True),
            ("booking, broken", AttemptOutcome.BROKEN, False, False),
            ("booking, timed out", AttemptOutcome.TIMED_OUT, False, False),
            ("booking, target error", AttemptOutcome.TARGET_ERROR, False, False),
        ]
    )
    def test_what_is_retried(
        self, _name: str, outcome: AttemptOutcome, idempotent: bool, retried: bool
    ) -> None:
        """A request is retried only if that can't run a non-idempotent request twice."""

        async def scenario() -> None:
            request = make_request("r", "trace", idempotent=idempotent)
            delay_s = make_policy().next_delay_s(request, attempts=1, outcome=outcome)
            self.assertEqual(delay_s is not None, retried)

        run_on_virtual_clock(scenario)

    def test_retries_stay_within_the_budget_when_every_attempt_fails(self) -> None:
        """Guards against retries of failing requests that overload the targets which still work."""

        async def scenario() -> None:
            retries = make_policy()
            allowed = 0
            for number in range(1_000):
                request = make_request(f"r{number}", "trace", deadline_s=1e9)
                retries.count_first_attempt(request)
                for attempts in (1, 2):
                    delay_s = retries.next_delay_s(
                        request, attempts=attempts, outcome=AttemptOutcome.TARGET_ERROR
                    )
                    allowed += delay_s is not None
            self.assertLessEqual(allowed, 1_000 * LIMITS.retry_ratio + LIMITS.burst)
            self.assertGreaterEqual(allowed, 1_000 * LIMITS.retry_ratio)

        run_on_virtual_clock(scenario)

    def test_minimum_rate_deadline_and_attempt_limit(self) -> None:
        """A quiet service may still retry, but not past the deadline or attempt limit."""

        async def scenario() -> None:
            retries = make_policy()
            request = make_request("r", "trace", deadline_s=1e9)
            broken = AttemptOutcome.BROKEN

            def ask(attempts: int = 1) -> float | None:
                return retries.next_delay_s(request, attempts=attempts, outcome=broken)

            self.assertEqual(sum(ask() is not None for _ in range(9)), LIMITS.burst)
            await asyncio.sleep(2.0 / LIMITS.min_retries_per_s)
            self.assertEqual(sum(ask() is not None for _ in range(9)), 2)
            await asyncio.sleep(100.0)
            self.assertIsNone(ask(LIMITS.max_attempts))
            late = make_request("late", "trace", deadline_s=asyncio.get_running_loop().time())
            self.assertIsNone(retries.next_delay_s(late, attempts=1, outcome=broken))

        run_on_virtual_clock(scenario)

    def test_delays_are_jittered_over_the_whole_backoff(self) -> None:
        """Delays are spread over the whole backoff, so that retries don't arrive together."""

        async def scenario() -> None:
            retries = BudgetedRetryPolicy(
                limits=RetryLimits(burst=1e6), metrics=Metrics(), rng=random.Random(1)
            )
            request = make_request("r", "trace", deadline_s=1e9)
            delays = [
                retries.next_delay_s(request, attempts=3, outcome=AttemptOutcome.BROKEN) or 0.0
                for _ in range(200)
            ]
            self.assertLess(min(delays), 0.005)
            self.assertGreater(max(delays), 0.09)
            self.assertLessEqual(max(delays), 0.1)

        run_on_virtual_clock(scenario)
