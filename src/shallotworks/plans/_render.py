"""Renders plans as plain text for a terminal."""

from __future__ import annotations

from collections.abc import Iterable

from ._diff import PlanDiff
from ._intents import describe_intent
from ._progress import Progress
from ._records import Alternative, BudgetUse, DataCentreCapacity, Measures, Plan, Wave

__all__ = ["render_diff", "render_duration", "render_plan", "render_progress"]

BAR_COLUMNS = 24
MAX_NAMES_SHOWN = 3
MAX_ROWS_SHOWN = 24
SECONDS_PER_MINUTE = 60
SECONDS_PER_HOUR = 3600


def render_plan(plan: Plan) -> str:
    """Return a plan as text: its waves, budgets, remaining capacity and alternatives."""
    lines = [
        f"plan {plan.short_digest}: {describe_intent(plan.intent)}",
        f"  proposed by {plan.author} at revision {plan.base_revision};"
        f" {_format_count(len(plan.instances), 'instance')} in"
        f" {_format_count(len(plan.waves), 'wave')}",
        f"  {_format_measures(plan.measures)}",
        *_format_section("notes", plan.notes),
        *_format_section("waves over time, with the budgets they use", _format_waves(plan)),
        *_format_section(
            "left in each data centre at its worst moment", _format_capacity(plan.capacity)
        ),
        *_format_section("ways weighed", _format_alternatives(plan.alternatives)),
        *_format_section("left alone", [f"{s.instance} {s.reason}" for s in plan.skipped]),
    ]
    return "\n".join(lines) + "\n"


def render_progress(plan: Plan, progress: Progress) -> str:
    """Return the progress of a plan in one line of text."""
    if not progress.wave:
        return f"plan {plan.short_digest}: all {progress.instances} instances done\n"
    return (
        f"plan {plan.short_digest}: wave {progress.wave} of {progress.waves},"
        f" {progress.instances_done} of {progress.instances} instances done,"
        f" about {render_duration(progress.left_s)} left\n"
    )


def render_diff(diff: PlanDiff) -> str:
    """Return the differences between two plans as text."""
    lines = [
        f"from plan {diff.first} to plan {diff.second}",
        f"  - {_format_measures(diff.first_measures)}",
        f"  + {_format_measures(diff.second_measures)}",
        *_format_section("no longer touched", diff.removed),
        *_format_section("newly touched", diff.added),
        *_format_section("in another wave", diff.moved),
    ]
    return "\n".join(lines) + "\n"


def render_duration(duration_s: float) -> str:
    """Return a duration as text in its two largest units."""
    whole_s = round(duration_s)
    hours, rest_s = divmod(whole_s, SECONDS_PER_HOUR)
    minutes, seconds = divmod(rest_s, SECONDS_PER_MINUTE)
    if hours:
        return f"{hours} h {minutes:02d} min"
    if minutes:
        return f"{minutes} min {seconds:02d} s"
    return f"{seconds} s"


def _format_measures(measures: Measures) -> str:
    return (
        f"buffer cost {measures.buffer_slots} slots,"
        f" roll-out time {render_duration(measures.roll_out_s)},"
        f" moves {measures.moves:g}"
    )


def _format_section(title: str, rows: Iterable[str]) -> list[str]:
    shown = list(rows)
    if not shown:
        return []
    more = len(shown) - MAX_ROWS_SHOWN
    if more > 0:
        shown = [*shown[:-more], f"... and {more} more"]
    return ["", f"{title}:", *(f"  {row}" for row in shown)]


def _format_waves(plan: Plan) -> list[str]:
    """Return one row per wave, with a bar that shows its place on the plan's time axis."""
    total_s = plan.measures.roll_out_s
    return [
        f"{number:>4} {_format_bar(wave, total_s)} {render_duration(wave.starts_s):>11}"
        f"  {_format_names(wave.instances)}{_format_budget_uses(wave.spends)}"
        for number, wave in enumerate(plan.waves, 1)
    ]


def _format_bar(wave: Wave, total_s: float) -> str:
    scale = BAR_COLUMNS / total_s if total_s else 0.0
    start = min(BAR_COLUMNS - 1, int(wave.starts_s * scale))
    end = min(BAR_COLUMNS, max(start + 1, int((wave.starts_s + wave.duration_s) * scale)))
    return "|" + " " * start + "#" * (end - start) + " " * (BAR_COLUMNS - end) + "|"


def _format_names(names: tuple[str, ...]) -> str:
    shown = ", ".join(names[:MAX_NAMES_SHOWN])
    more = len(names) - MAX_NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


def _format_budget_uses(spends: tuple[BudgetUse, ...]) -> str:
    if not spends:
        return ""
    parts = [
        f"{use.service} {use.unavailable + use.instances}/{use.budget}"
        for use in spends[:MAX_NAMES_SHOWN]
    ]
    more = len(spends) - MAX_NAMES_SHOWN
    text = ", ".join(parts) + (f" and {more} more" if more > 0 else "")
    return f"  [{text}]"


def _format_capacity(capacity: tuple[DataCentreCapacity, ...]) -> list[str]:
    width = max((len(row.data_centre) for row in capacity), default=0)
    return [
        f"{row.data_centre:<{width}}  {row.slots_left} of {row.slots} slots in wave {row.wave},"
        f" {row.slots_left_if_rack_fails} if one more rack fails"
        for row in capacity
    ]


def _format_alternatives(alternatives: tuple[Alternative, ...]) -> list[str]:
    if not alternatives:
        return []
    width = max(len(row.strategy.value) for row in alternatives)
    head = f"{'':<{width}}  {'cost':>7} {'slots':>6} {'roll-out':>12} {'moves':>7} {'at once':>7}"
    rows = [
        f"{row.strategy.value:<{width}}  {row.cost:>7.2f} {row.measures.buffer_slots:>6}"
        f" {render_duration(row.measures.roll_out_s):>12} {row.measures.moves:>7g}"
        f" {row.width:>7}  {row.verdict}"
        for row in alternatives
    ]
    return [head, *rows]


def _format_count(number: int, noun: str) -> str:
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"
