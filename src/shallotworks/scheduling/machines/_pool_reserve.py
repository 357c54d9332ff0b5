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
        borrowed_idle_s: A borrowed machine that no pool lacks moves to the standby pool after being
            idle for this long. If the next turn begins meanwhile, it uses the machine directly. A
            move costs about as much as this much idle time, so waiting never costs more than twice
            the best choice.
        idle_after_turn_s: The same for a machine of the home size of a pool that has had its turn.
        idle_before_turn_s: The same for a pool that has not had its turn.
        turn_home_fraction: A pool is in its turn while it lacks at least this fraction of its home
            size.
    """

    min_kept_machines: int = 16
    kept_home_fraction: float = 0.5
    borrowed_idle_s: float = 2.0
    idle_after_turn_s: float = 1.0
    idle_before_turn_s: float = 30.0
    turn_home_fraction: float = 0.25


class PoolReserve:
    """What each pool keeps during one epoch of the controller.

    Args:
        limits: Limits of what pools keep.
    """

    __slots__ = ("_had_turn", "_limits")

    def __init__(self, *, limits: ReserveLimits) -> None:
        self._limits = limits
        self._had_turn: set[str] = set()
        """Pools that were seen in their turn. A new controller has seen none, and waits longer."""

    def note_demands(self, lacking: Mapping[str, int], home_sizes: Mapping[str, int]) -> None:
        """Note which pools are in their turn.

        Args:
            lacking: Machines that each service lacks.
            home_sizes: Home size of each pool.
        """
        for service, count in lacking.items():
            if count and count >= home_sizes.get(service, 0) * self._limits.turn_home_fraction:
                self._had_turn.add(service)

    def kept_machines(self, home_size: int, *, has_standby: bool) -> int:
        """Return how many machines of its home size a pool keeps, idle or not."""
        if not has_standby:
            return home_size
        fraction = math.ceil(home_size * self._limits.kept_home_fraction)
        return min(home_size, max(self._limits.min_kept_machines, fraction))

    def idle_before_standby_s(self, service: str, *, is_borrowed: bool) -> float:
        """Return how long a machine of a pool is idle before it moves to the standby pool."""
        if is_borrowed:
            return self._limits.borrowed_idle_s
        if service in self._had_turn:
            return self._limits.idle_after_turn_s
        return self._limits.idle_before_turn_s
