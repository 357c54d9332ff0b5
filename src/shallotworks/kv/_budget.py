"""Rate limit on the calls that one instance makes to the platform."""

from __future__ import annotations

import asyncio

__all__ = ["CallBudget"]


class CallBudget:
    """Limits calls to a rate with a burst; calls are admitted in the order of their reservations.

    Args:
        rate_per_s: Calls per second in the long run.
        burst: Calls that may be made at once after a time without calls.
    """

    __slots__ = ("_burst_s", "_earliest_s", "_interval_s")

    def __init__(self, *, rate_per_s: float, burst: int) -> None:
        self._interval_s = 1 / rate_per_s
        self._burst_s = burst / rate_per_s
        self._earliest_s = 0.0

    def reserve(self, *, max_wait_s: float) -> float | None:
        """Reserve one call.

        Args:
            max_wait_s: Longest wait that the caller accepts.

        Returns:
            Time to wait before the call, in seconds; ``None`` if that is more than ``max_wait_s``,
            in which case nothing is reserved.
        """
        now_s = asyncio.get_running_loop().time()
        after_s = max(self._earliest_s, now_s) + self._interval_s
        wait_s = max(0.0, after_s - self._burst_s - now_s)
        if wait_s > max_wait_s:
            return None
        self._earliest_s = after_s
        return wait_s

    def reserve_urgent(self) -> None:
        """Reserve one call that must not wait; later calls wait longer instead."""
        now_s = asyncio.get_running_loop().time()
        self._earliest_s = max(self._earliest_s, now_s) + self._interval_s

    def spend_burst(self) -> None:
        """Use up the burst, so that calls after an outage start at the steady rate."""
        now_s = asyncio.get_running_loop().time()
        self._earliest_s = max(self._earliest_s, now_s + self._burst_s - self._interval_s)
