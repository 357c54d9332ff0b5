"""When callers who were refused in an outage are told to come back; no network.

The load that it answers: a store that is away for some seconds, and callers who try a few times and
then give up. Told to come back in a second each time, all who ask in its first seconds are spent
before it is back; told to wait for long, they come too late after a short one.
"""

from __future__ import annotations

import math

__all__ = ["retry_after_s"]

MAX_RETRY_AFTER_S = 3
"""Callers who waited for longer would be late for what they want even when the store is back."""


def retry_after_s(outage_s: float) -> int:
    """Return when to come back, in whole seconds, for an outage that has lasted this long.

    Of an outage whose length nobody knows, as much is left as has passed is the even bet; so the
    pauses grow with it, and a few tries reach the end of a long one.
    """
    return min(MAX_RETRY_AFTER_S, math.floor(outage_s) + 1)
