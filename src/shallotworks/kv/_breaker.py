"""A circuit breaker: while the service is down, few calls are spent on finding that out."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

__all__ = ["CircuitBreaker"]

FAILURES_TO_OPEN = 3
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
"""Half of the 8 s in which a change must be in force, so that an outage's end is seen in time."""


class CircuitBreaker:
    """Opens after some failures in a row; then lets one call through after each pause.

    The pause doubles up to `MAX_PAUSE_S` and is drawn from its upper half, so that many
    instances that saw the service fail together don't come back to it together.

    Args:
        rng: Source of jitter.
        on_change: Called with whether the service is up, at each change.
    """

    __slots__ = ("_failures", "_on_change", "_open", "_pause_s", "_probing", "_retry_at_s", "_rng")

    def __init__(self, *, rng: random.Random, on_change: Callable[[bool], None]) -> None:
        self._rng = rng
        self._on_change = on_change
        self._failures = 0
        self._open = False
        self._probing = False
        self._pause_s = FIRST_PAUSE_S
        self._retry_at_s = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the service is taken to be down."""
        return self._open

    def admit(self) -> bool:
        """Say whether a call may be made now; its end must be told by one of the next three."""
        if not self._open:
            return True
        if self._probing or asyncio.get_running_loop().time() < self._retry_at_s:
            return False
        self._probing = True
        return True

    def record_success(self) -> None:
        """Note that the service answered."""
        self._failures = 0
        self._probing = False
        self._pause_s = FIRST_PAUSE_S
        if self._open:
            self._open = False
            self._on_change(True)

    def record_failure(self) -> None:
        """Note that it did not."""
        self._failures += 1
        if self._open and not self._probing:
            # A call from before the opening; its end says nothing new.
            return
        self._probing = False
        if self._open:
            self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)
        elif self._failures < FAILURES_TO_OPEN:
            return
        pause_s = self._rng.uniform(self._pause_s / 2, self._pause_s)
        self._retry_at_s = asyncio.get_running_loop().time() + pause_s
        if not self._open:
            self._open = True
            self._on_change(False)

    def record_abandoned(self) -> None:
        """Note that the call was given up and says nothing."""
        self._probing = False

    def retry_after_s(self) -> float:
        """Return when a call may next be let through."""
        return max(0.0, self._retry_at_s - asyncio.get_running_loop().time())
