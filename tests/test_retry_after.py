"""Tests of the pause between retries in an outage, for callers who make five attempts in all."""

import unittest
from collections.abc import Callable

from parameterized import parameterized

from shallotworks.jobs import retry_after_s

ATTEMPTS = 5
ARRIVAL_INTERVAL_S = 0.05


def exhausted_fraction(outage_s: float, pause_s: Callable[[float], float]) -> float:
    """Return the fraction of an outage's callers who give up before the store is back."""
    exhausted = 0
    callers = round(outage_s / ARRIVAL_INTERVAL_S)
    for number in range(callers):
        attempt_s = number * ARRIVAL_INTERVAL_S
        for _ in range(ATTEMPTS - 1):
            if attempt_s < outage_s:
                attempt_s += pause_s(attempt_s)
        exhausted += attempt_s < outage_s
    return exhausted / callers


class OutageTests(unittest.TestCase):
    @parameterized.expand([(3.0,), (4.7,), (6.0,), (9.0,)])
    def test_no_caller_gives_up_before_the_store_is_back(self, outage_s: float) -> None:
        """Callers must not use up their attempts before the store is back.

        With pauses of 1 s, half of the callers in an outage of 9 s had given up after 4 s.
        """
        self.assertEqual(0.0, exhausted_fraction(outage_s, retry_after_s))

    def test_callers_who_retry_each_second_give_up(self) -> None:
        """The baseline, a pause of 1 s: the longer the outage, the more callers give up."""
        self.assertGreater(exhausted_fraction(9.0, lambda _: 1.0), 0.4)

    @parameterized.expand([(0.0, 1), (0.5, 1), (1.5, 2), (2.5, 3), (60.0, 3)])
    def test_the_pause_grows_with_the_outage_within_bounds(
        self, outage_s: float, expected_s: int
    ) -> None:
        """A short outage must delay no caller, and a long one must keep no caller away for long."""
        self.assertEqual(expected_s, retry_after_s(outage_s))


if __name__ == "__main__":
    unittest.main()
