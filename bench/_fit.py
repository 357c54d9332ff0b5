"""Linear least-squares fits of measured points."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Line", "fit"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """A least-squares line through points.

    Args:
        intercept: Value at 0.
        slope: Increase per unit.
        residual: Largest absolute residual divided by the largest absolute value.
    """

    intercept: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through two or more points with different ``x``."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    largest = max(abs(y) for _, y in points) or 1.0
    residual = max(abs(y - intercept - slope * x) for x, y in points) / largest
    return Line(intercept=intercept, slope=slope, residual=residual)
