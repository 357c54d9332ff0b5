"""The daily maintenance window, during which instances may be cordoned."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MaintenanceWindow"]

SECONDS_PER_DAY = 24 * 3600


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintenanceWindow:
    """A daily maintenance window, which may span midnight.

    Args:
        opens_s: Start, in seconds after midnight UTC.
        closes_s: End, in seconds after midnight UTC.
    """

    opens_s: float
    closes_s: float

    @property
    def length_s(self) -> float:
        """Length of the window, in seconds."""
        return (self.closes_s - self.opens_s) % SECONDS_PER_DAY

    def left_s(self, unix_s: float) -> float:
        """Return the remaining seconds of the window at a Unix time; 0 outside of the window."""
        since_opening_s = (unix_s - self.opens_s) % SECONDS_PER_DAY
        return max(0.0, self.length_s - since_opening_s)
