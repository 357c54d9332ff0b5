"""A token bucket whose clock is the times of the events that it judges."""

from __future__ import annotations

from bisect import bisect_right, insort

__all__ = ["TokenBucket"]

TOLERANCE = 1e-9
"""Tokens by which rounding may differ when the same events are counted again."""
HISTORY_S = 12.0
"""Events that arrive out of order are judged against the covered ones of this time. An instance
that is cut off from the store delivers what it accepted meanwhile up to 10 s later."""


class TokenBucket:
    """Judges which events a rate covers; those never exceed the rate in any span of time.

    Args:
        rate: Events that are covered in a second; with 0, none is.
    """

    __slots__ = ("_burst", "_covered_s", "_max_covered", "_tokens", "rate")

    def __init__(self, *, rate: float) -> None:
        self.rate = rate
        self._burst = max(1.0, rate)
        """One second's worth, and at least one event."""
        self._max_covered = int(self._burst + rate * HISTORY_S) + 1
        self._covered_s: list[float] = []
        """Times of the latest covered events, in order."""
        self._tokens = self._burst
        """Tokens left after the last of them."""

    def cover(self, at_s: float) -> bool:
        """Return whether the rate covers one more event, and count it if so.

        Args:
            at_s: Time of the event in seconds. It may be earlier than that of the last one.
        """
        if self.rate <= 0:
            return False
        if not self._covered_s or at_s >= self._covered_s[-1]:
            tokens = self._refilled(self._tokens, self._covered_s[-1:], at_s) - 1.0
            if tokens < -TOLERANCE:
                return False
            self._covered_s.append(at_s)
        else:
            first = bisect_right(self._covered_s, at_s)
            tokens = self._tokens_left([*self._covered_s[:first], at_s, *self._covered_s[first:]])
            if tokens < -TOLERANCE:
                return False
            insort(self._covered_s, at_s)
        self._tokens = tokens
        if len(self._covered_s) > self._max_covered:
            del self._covered_s[0]
        return True

    def _refilled(self, tokens: float, last_s: list[float], at_s: float) -> float:
        passed_s = at_s - last_s[0] if last_s else 0.0
        return min(self._burst, tokens + passed_s * self.rate)

    def _tokens_left(self, times_s: list[float]) -> float:
        """Return the tokens that are left after events; negative if the rate doesn't cover all."""
        tokens, last_s = self._burst, times_s[0]
        for at_s in times_s:
            tokens = min(self._burst, tokens + (at_s - last_s) * self.rate) - 1.0
            if tokens < -TOLERANCE:
                return tokens
            last_s = at_s
        return tokens
