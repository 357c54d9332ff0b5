"""How one of several targets with a free slot is chosen."""

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
        """Return a target that was not tried; ``None`` where all were."""
        ...


class PowerOfTwoChoices:
    """Takes the less filled of two targets drawn at random.

    The failure it is for: several processes that each see only their own load all pick the same
    emptiest target. Drawing two at random keeps them apart, at constant cost.

    Args:
        rng: Source of the draw.
    """

    __slots__ = ("_rng",)

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, free_targets: Sequence[TargetState], *, tried: frozenset[str]
    ) -> TargetState | None:
        """Return a target that was not tried; ``None`` where all were."""
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
    """Return by what two targets are compared; the lower is taken.

    A target that looks bad and may not be ejected, since too many are, comes after all others:
    failing at once, it would otherwise always be the emptiest.
    """
    return target.failing, target.in_flight / target.limit


def first_untried(free_targets: Sequence[TargetState], tried: frozenset[str]) -> TargetState | None:
    """Return the first target that was not tried."""
    return next((entry for entry in free_targets if entry.instance.name not in tried), None)
