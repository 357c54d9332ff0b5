"""How long requests take, as observed."""

from __future__ import annotations

__all__ = ["DurationEstimate"]

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
