"""What differs between two plans."""

from __future__ import annotations

from dataclasses import dataclass

from ._records import Measures, Plan

__all__ = ["PlanDiff", "diff_plans"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanDiff:
    """How a second plan differs from a first.

    Args:
        first: Short digest of the first.
        second: Short digest of the second.
        removed: Instances that only the first touches.
        added: Instances that only the second touches.
        moved: Instances that both touch, in waves of different number.
        first_measures: The first's measures.
        second_measures: The second's measures.
    """

    first: str
    second: str
    removed: tuple[str, ...]
    added: tuple[str, ...]
    moved: tuple[str, ...]
    first_measures: Measures
    second_measures: Measures


def diff_plans(first: Plan, second: Plan) -> PlanDiff:
    """Return how the second plan differs from the first."""
    before = _wave_numbers(first)
    after = _wave_numbers(second)
    both = sorted(before.keys() & after.keys())
    return PlanDiff(
        first=first.short_digest,
        second=second.short_digest,
        removed=tuple(sorted(before.keys() - after.keys())),
        added=tuple(sorted(after.keys() - before.keys())),
        moved=tuple(name for name in both if before[name] != after[name]),
        first_measures=first.measures,
        second_measures=second.measures,
    )


def _wave_numbers(plan: Plan) -> dict[str, int]:
    return {name: number for number, wave in enumerate(plan.waves, 1) for name in wave.instances}
