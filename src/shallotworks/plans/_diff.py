"""Differences between two plans."""

from __future__ import annotations

from dataclasses import dataclass

from ._records import Measures, Plan

__all__ = ["PlanDiff", "diff_plans"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanDiff:
    """Differences between a first and a second plan.

    Args:
        first: Short digest of the first plan.
        second: Short digest of the second plan.
        removed: Instances that only the first plan touches.
        added: Instances that only the second plan touches.
        moved: Instances that both plans touch, in waves with different numbers.
        first_measures: Measures of the first plan.
        second_measures: Measures of the second plan.
    """

    first: str
    second: str
    removed: tuple[str, ...]
    added: tuple[str, ...]
    moved: tuple[str, ...]
    first_measures: Measures
    second_measures: Measures


def diff_plans(first: Plan, second: Plan) -> PlanDiff:
    """Return the differences between two plans."""
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
