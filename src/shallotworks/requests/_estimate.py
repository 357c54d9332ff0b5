"""How long requests take and how many run, as observed."""

from __future__ import annotations

import math

__all__ = ["DurationEstimate", "EwmaCount"]

MEAN_WEIGHT = 1 / 16
DEVIATION_WEIGHT = 1 / 16
SLOW_DEVIATIONS = 3.0


class DurationEstimate:
    """Moving mean of a duration and of its distance from the mean, as TCP keeps them.

    Attributes:
        mean_s: The mean; 0 before the first observation.
    """

    __slots__ = ("_deviation_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._deviation_s = 0.0

    def observe(self, duration_s: float) -> None:
        """Take one duration."""
        if not self.mean_s:
            self.mean_s = duration_s
            self._deviation_s = duration_s / 2
            return
        error_s = duration_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)

    @property
    def slow_s(self) -> float:
        """A duration that few exceed."""
        return self.mean_s + SLOW_DEVIATIONS * self._deviation_s

    def per_second(self, in_flight: int) -> float:
        """Return how many of so many in flight end in a second; 0 where that is not known."""
        return in_flight / self.mean_s if self.mean_s else 0.0


class EwmaCount:
    """Mean over time of a count that changes, the recent past weighing most.

    Attributes:
        count: The count now.

    Args:
        time_constant_s: Time over which the past is forgotten.
    """

    __slots__ = ("_mean", "_time_constant_s", "_updated_at_s", "count")

    def __init__(self, *, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._mean = 0.0
        self._updated_at_s = 0.0
        self.count = 0

    def add(self, amount: int, now_s: float) -> None:
        """Change the count."""
        self._mean = self.mean(now_s)
        self._updated_at_s = now_s
        self.count += amount

    def mean(self, now_s: float) -> float:
        """Return the mean at a time."""
        forgotten = 1.0 - math.exp((self._updated_at_s - now_s) / self._time_constant_s)
        return self._mean + (self.count - self._mean) * forgotten
