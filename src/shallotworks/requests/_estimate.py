"""How long requests take and how many run, as observed."""

from __future__ import annotations

import math

__all__ = ["DurationEstimate", "MovingLevel"]

MEAN_WEIGHT = 1 / 16
SPREAD_WEIGHT = 1 / 16
SLOW_SPREADS = 3.0


class DurationEstimate:
    """Moving mean of a duration and of its distance from the mean, as TCP keeps them.

    Attributes:
        mean_s: The mean; 0 before the first observation.
    """

    __slots__ = ("_spread_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._spread_s = 0.0

    def observe(self, duration_s: float) -> None:
        """Take one duration."""
        if not self.mean_s:
            self.mean_s = duration_s
            self._spread_s = duration_s / 2
            return
        error_s = duration_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * error_s
        self._spread_s += SPREAD_WEIGHT * (abs(error_s) - self._spread_s)

    @property
    def slow_s(self) -> float:
        """A duration that few exceed."""
        return self.mean_s + SLOW_SPREADS * self._spread_s

    def per_second(self, in_flight: int) -> float:
        """Return how many of so many in flight end in a second; 0 where that is not known."""
        return in_flight / self.mean_s if self.mean_s else 0.0


class MovingLevel:
    """Mean over time of a count that changes, the recent past weighing most.

    Attributes:
        count: The count now.

    Args:
        over_s: Time over which the past is forgotten.
    """

    __slots__ = ("_at_s", "_mean", "_over_s", "count")

    def __init__(self, *, over_s: float) -> None:
        self._over_s = over_s
        self._mean = 0.0
        self._at_s = 0.0
        self.count = 0

    def add(self, amount: int, now_s: float) -> None:
        """Change the count."""
        self._mean = self.mean(now_s)
        self._at_s = now_s
        self.count += amount

    def mean(self, now_s: float) -> float:
        """Return the mean at a time."""
        forgotten = 1.0 - math.exp((self._at_s - now_s) / self._over_s)
        return self._mean + (self.count - self._mean) * forgotten
