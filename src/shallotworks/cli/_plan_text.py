"""A plan as text for people: what will happen, what it costs, what it was chosen over."""

from __future__ import annotations

from collections.abc import Iterator

from shallotworks.operators import PlanView
from shallotworks.plans import Alternative, DataCentreCapacity, Plan, Wave, describe_intent

from ._columns import in_columns, one_line

__all__ = ["SHORT_DIGEST_LENGTH", "plan_text"]

SHORT_DIGEST_LENGTH = 12
NAMES_SHOWN = 6


def plan_text(view: PlanView) -> str:
    """Return a plan as some paragraphs of lines."""
    paragraphs = (
        _head(view),
        _waves(view.plan),
        _capacity(view.plan.capacity),
        _alternatives(view.plan.alternatives),
        _remarks(view.plan),
    )
    written = ("\n".join(lines) for lines in map(list, paragraphs) if lines)
    return "\n\n".join(written) + "\n"


def _head(view: PlanView) -> Iterator[str]:
    plan, measures = view.plan, view.plan.measures
    yield f"plan {plan.digest[:SHORT_DIGEST_LENGTH]}, {view.stage}: " + one_line(
        describe_intent(plan.intent)
    )
    yield f"proposed by {one_line(plan.author)} at revision {plan.base_revision}"
    if view.record is not None:
        yield f"confirmed by {one_line(view.record.confirmed_by)}"
        if view.record.outcome:
            yield f"outcome: {one_line(view.record.outcome)}"
    if view.progress is not None:
        progress = view.progress
        yield (
            f"done: {progress.instances_done} of {progress.instances} instances,"
            f" about {progress.left_s:.0f} s left"
        )
    yield (
        f"buffer cost {measures.buffer_slots} slots, roll-out time {measures.roll_out_s:.0f} s,"
        f" moves {measures.moves:g}"
    )


def _waves(plan: Plan) -> Iterator[str]:
    rows = [row for number, wave in enumerate(plan.waves, 1) for row in _wave_rows(number, wave)]
    if rows:
        headings = ("wave", "starts s", "takes s", "pool", "actions", "instances", "budgets")
        yield from in_columns(headings, rows)


def _wave_rows(number: int, wave: Wave) -> Iterator[tuple[str, ...]]:
    for step in wave.steps:
        actions = ", ".join(action.value for action in step.actions)
        yield (
            str(number),
            f"{wave.starts_s:.0f}",
            f"{wave.duration_s:.0f}",
            step.pool,
            f"{actions} to {step.to_pool}" if step.to_pool else actions,
            _names(step.instances),
            _budgets(wave),
        )


def _budgets(wave: Wave) -> str:
    spends = wave.spends[:NAMES_SHOWN]
    return ", ".join(
        f"{spend.service} {spend.unavailable + spend.instances}/{spend.budget}" for spend in spends
    )


def _names(names: tuple[str, ...]) -> str:
    shown = " ".join(names[:NAMES_SHOWN])
    more = len(names) - NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


def _capacity(capacity: tuple[DataCentreCapacity, ...]) -> Iterator[str]:
    rows = [
        (
            entry.data_centre,
            str(entry.slots),
            str(entry.slots_left),
            str(entry.slots_left_if_rack_fails),
            str(entry.wave),
        )
        for entry in capacity
    ]
    if rows:
        headings = ("data centre", "slots", "least left", "if a rack fails then", "in wave")
        yield from in_columns(headings, rows)


def _alternatives(alternatives: tuple[Alternative, ...]) -> Iterator[str]:
    rows = [
        (
            f"{entry.strategy.value}, {entry.width} at once",
            str(entry.measures.buffer_slots),
            f"{entry.measures.roll_out_s:.0f}",
            f"{entry.measures.moves:g}",
            f"{entry.cost:.2f}",
            entry.verdict,
        )
        for entry in alternatives
    ]
    if rows:
        headings = ("way", "buffer slots", "roll-out s", "moves", "cost", "verdict")
        yield from in_columns(headings, rows)


def _remarks(plan: Plan) -> Iterator[str]:
    for skipped in plan.skipped:
        yield f"left alone: {one_line(skipped.instance)}, {one_line(skipped.reason)}"
    for note in plan.notes:
        yield f"note: {one_line(note)}"
