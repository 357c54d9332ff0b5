"""The daily time in which maintenance may disrupt, such as from closing to opening."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MaintenanceWindow"]

SECONDS_PER_DAY = 24 * 3600


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintenanceWindow:
    """A daily window, which may reach over midnight.

    Args:
        opens_s: Start, in seconds after midnight UTC.
        closes_s: End, in seconds after midnight UTC.
    """

    opens_s: float
    closes_s: float

    @property
    def length_s(self) -> float:
        """How long it is open each day."""
        return (self.closes_s - self.opens_s) % SECONDS_PER_DAY

    def left_s(self, unix_s: float) -> float:
        """Return how long it stays open at a Unix time; 0 while it is closed."""
        since_opening_s = (unix_s - self.opens_s) % SECONDS_PER_DAY
        return max(0.0, self.length_s - since_opening_s)
