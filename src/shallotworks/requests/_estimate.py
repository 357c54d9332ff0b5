"""Moving estimates of request durations and of the number of requests in flight."""

from __future__ import annotations

import math

__all__ = ["DurationEstimate", "EwmaCount"]

MEAN_WEIGHT = 1 / 16
DEVIATION_WEIGHT = 1 / 16
SLOW_DEVIATIONS = 3.0


class DurationEstimate:
    """Exponentially weighted mean and mean deviation of a duration, as in TCP's RTT estimator.

    Attributes:
        mean_s: The mean; 0 before the first observation.
    """

    __slots__ = ("_deviation_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._deviation_s = 0.0

    def observe(self, duration_s: float) -> None:
        """Update the estimate with one duration."""
        if not self.mean_s:
            self.mean_s = duration_s
            self._deviation_s = duration_s / 2
            return
        error_s = duration_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)

    @property
    def slow_s(self) -> float:
        """Upper estimate: the mean plus `SLOW_DEVIATIONS` mean deviations."""
        return self.mean_s + SLOW_DEVIATIONS * self._deviation_s

    def per_second(self, in_flight: int) -> float:
        """Return how many of the requests in flight end per second; 0 before any observation."""
        return in_flight / self.mean_s if self.mean_s else 0.0


class EwmaCount:
    """Count with an exponentially weighted mean over time.

    Attributes:
        count: The current count.

    Args:
        time_constant_s: Time after which the weight of a past count has fallen to 1/e.
    """

    __slots__ = ("_mean", "_time_constant_s", "_updated_at_s", "count")

    def __init__(self, *, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._mean = 0.0
        self._updated_at_s = 0.0
        self.count = 0

    def add(self, amount: int, now_s: float) -> None:
        """Add an amount, which may be negative, to the count."""
        self._mean = self.mean(now_s)
        self._updated_at_s = now_s
        self.count += amount

    def mean(self, now_s: float) -> float:
        """Return the weighted mean at an event loop time."""
        weight = 1.0 - math.exp((self._updated_at_s - now_s) / self._time_constant_s)
        return self._mean + (self.count - self._mean) * weight
