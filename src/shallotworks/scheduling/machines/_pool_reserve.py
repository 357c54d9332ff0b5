"""Decides how many idle machines a pool keeps, and when the others go to the standby pool.

Machines of a standby pool are off and not paid for, but a machine takes about two seconds to come
from there. This module performs no network calls.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["PoolReserve", "ReserveLimits"]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveLimits:
    """Limits of what pools keep.

    Args:
        min_kept_machines: A pool keeps at least this many machines of its home size. Smaller pools
            keep all: they would begin their next turn with a machine or two.
        kept_home_fraction: Fraction of its home size that a larger pool keeps. The next turn of its
            own callers starts with these machines.
        idle_s: A machine that no pool lacks moves to the standby pool after being idle for this
            long. If the next turn begins meanwhile, it uses the machine directly. A move costs
            about as much as this much idle time, so waiting never costs more than twice the best
            choice.
        idle_after_turn_s: The same for a pool whose own turn has just ended.
        turn_home_fraction: A pool is in its turn while it lacks at least this fraction of its home
            size.
        after_turn_s: A turn counts as just ended for this long.
    """

    min_kept_machines: int = 16
    kept_home_fraction: float = 0.5
    idle_s: float = 2.0
    idle_after_turn_s: float = 2.0
    turn_home_fraction: float = 0.25
    after_turn_s: float = 10.0


class PoolReserve:
    """What each pool keeps during one epoch of the controller.

    Args:
        limits: Limits of what pools keep.
    """

    __slots__ = ("_limits", "_turn_seen_s")

    def __init__(self, *, limits: ReserveLimits) -> None:
        self._limits = limits
        self._turn_seen_s: dict[str, float] = {}
        """When each pool was last seen in its turn."""

    def note_demands(
        self, lacking: Mapping[str, int], home_sizes: Mapping[str, int], now_s: float
    ) -> None:
        """Note which pools are in their turn.

        Args:
            lacking: Machines that each service lacks.
            home_sizes: Home size of each pool.
            now_s: Time on the controller's clock, in seconds.
        """
        for service, count in lacking.items():
            if count and count >= home_sizes.get(service, 0) * self._limits.turn_home_fraction:
                self._turn_seen_s[service] = now_s

    def kept_machines(self, home_size: int, *, has_standby: bool) -> int:
        """Return how many machines of its home size a pool keeps, idle or not."""
        if not has_standby:
            return home_size
        fraction = math.ceil(home_size * self._limits.kept_home_fraction)
        return min(home_size, max(self._limits.min_kept_machines, fraction))

    def idle_before_standby_s(self, service: str, now_s: float) -> float:
        """Return how long a machine of a pool is idle before it moves to the standby pool."""
        seen_s = self._turn_seen_s.get(service)
        if seen_s is not None and now_s - seen_s < self._limits.after_turn_s:
            return self._limits.idle_after_turn_s
        return self._limits.idle_s
