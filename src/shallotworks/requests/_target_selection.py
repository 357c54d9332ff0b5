"""Selection of one of several targets with a free slot."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from ._targets import TargetState

__all__ = ["TargetSelector", "PowerOfTwoChoices"]

SAMPLES = 2
MAX_DRAWS = 4


class TargetSelector(Protocol):
    """Chooses among targets with a free slot."""

    def choose(
        self, free_targets: Sequence[TargetState], *, tried: frozenset[str]
    ) -> TargetState | None:
        """Return a target that was not tried; ``None`` if all were tried."""
        ...


class PowerOfTwoChoices:
    """Chooses the less loaded of two targets drawn at random.

    Several processes that each see only their own load would all choose the same least loaded
    target. Drawing two at random spreads them over the targets at constant cost.

    Args:
        rng: Source of random numbers.
    """

    __slots__ = ("_rng",)

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, free_targets: Sequence[TargetState], *, tried: frozenset[str]
    ) -> TargetState | None:
        """Return a target that was not tried; ``None`` if all were tried."""
        first = self._draw(free_targets, tried)
        if first is None:
            return None
        second = self._draw(free_targets, tried)
        if second is None or load_rank(first) <= load_rank(second):
            return first
        return second

    def _draw(
        self, free_targets: Sequence[TargetState], tried: frozenset[str]
    ) -> TargetState | None:
        count = len(free_targets)
        if not count:
            return None
        for _ in range(MAX_DRAWS):
            target = free_targets[int(self._rng.random() * count)]
            if target.instance.name not in tried:
                return target
        return first_untried(free_targets, tried)


def load_rank(target: TargetState) -> tuple[bool, float]:
    """Return the sort key of a target; the lower one is chosen.

    A failing target that is not ejected because too many already are ranks after all others: it
    fails requests immediately and would otherwise always have the lowest load.
    """
    return target.failing, target.in_flight / target.limit


def first_untried(free_targets: Sequence[TargetState], tried: frozenset[str]) -> TargetState | None:
    """Return the first target that was not tried, if any."""
    return next((entry for entry in free_targets if entry.instance.name not in tried), None)
