"""A circuit breaker, which limits the calls made to a service that is down."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

__all__ = ["CircuitBreaker"]

FAILURES_TO_OPEN = 3
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
"""Half of the 8 s within which a change must be in force, so that the end of an outage is noticed
in time."""


class CircuitBreaker:
    """Opens after `FAILURES_TO_OPEN` consecutive failures; then admits one call after each pause.

    The pause doubles up to `MAX_PAUSE_S`. Its length is drawn from the upper half, so that
    instances that saw the service fail at the same time don't all call it again at the same time.

    Args:
        rng: Source of jitter.
        on_change: Called each time the breaker opens (with false) or closes (with true).
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
        """Whether the service is considered down."""
        return self._open

    def admit(self) -> bool:
        """Return whether a call may be made now.

        The caller must report the end of an admitted call by `record_success`, `record_failure` or
        `record_abandoned`.
        """
        if not self._open:
            return True
        if self._probing or asyncio.get_running_loop().time() < self._retry_at_s:
            return False
        self._probing = True
        return True

    def record_success(self) -> None:
        """Record that the service answered; closes the breaker."""
        self._failures = 0
        self._probing = False
        self._pause_s = FIRST_PAUSE_S
        if self._open:
            self._open = False
            self._on_change(True)

    def record_failure(self) -> None:
        """Record that the service did not answer, or refused the call as unavailable."""
        self._failures += 1
        if self._open and not self._probing:
            # The call was made before the breaker opened; its failure is not a failed probe.
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
        """Record that the call was cancelled, so that another one may probe the service."""
        self._probing = False

    def retry_after_s(self) -> float:
        """Return the time until the next call is admitted, in seconds."""
        return max(0.0, self._retry_at_s - asyncio.get_running_loop().time())
