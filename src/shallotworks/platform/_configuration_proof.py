"""Tells whether the configuration was read recently enough to admit calls with API keys."""

from __future__ import annotations

import math
from collections.abc import Callable

__all__ = ["ConfigurationProof"]

MAX_AGE_RATIO = 0.7
"""Part of the time by which a revoked API key must be refused everywhere for which a reading proves
the configuration. The rest allows for a watch that hears nothing for a second while the store drops
its history."""


class ConfigurationProof:
    """Keeps the beginning of the last reading that proved the configuration current.

    Only the beginning counts: the answer may have been held up, and the machine may have been
    suspended since. So an instance that can't reach the store admits no call with a key that may
    have been revoked for longer than the bound.

    Args:
        revocation_s: Time after which no instance may admit a revoked key; infinite if instances
            that can't reach the store go on with the last configuration.
        clock: Seconds, including time during which the machine was suspended.
    """

    __slots__ = ("_clock", "_max_age_s", "_proven_s")

    def __init__(self, *, revocation_s: float, clock: Callable[[], float]) -> None:
        self._max_age_s = revocation_s * MAX_AGE_RATIO
        self._clock = clock
        self._proven_s = -math.inf

    def note_reading(self, sent_s: float, *, is_readable: bool) -> None:
        """Record a complete reading.

        Args:
            sent_s: When it was sent, on the clock.
            is_readable: Whether the latest record could be decoded; an unreadable one may revoke a
                key.
        """
        if is_readable:
            self._proven_s = max(self._proven_s, sent_s)

    @property
    def is_valid(self) -> bool:
        """Whether no revocation that must be in force by now can be unknown here."""
        return self._max_age_s == math.inf or self._clock() - self._proven_s < self._max_age_s
