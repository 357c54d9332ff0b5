"""Exponential backoff with full jitter."""

from __future__ import annotations

import random

__all__ = ["backoff_s"]

FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
MAX_DOUBLINGS = 10


def backoff_s(rng: random.Random, failures: int) -> float:
    """Return a random delay between zero and a bound that doubles with each failure.

    Args:
        rng: Source of jitter.
        failures: Number of consecutive failures.
    """
    max_backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(failures, MAX_DOUBLINGS))
    return rng.uniform(0, max_backoff_s)
