"""Formats plans as text for a terminal."""

from __future__ import annotations

from shallotworks.operators import PlanView
from shallotworks.plans import Plan, describe_intent, diff_plans, render_diff, render_plan
from shallotworks.plans import render_progress as render_plan_progress

from ._printable import one_line

__all__ = ["diff_text", "plan_text", "stage_text"]


def plan_text(view: PlanView) -> str:
    """Return a plan as text: its waves, costs, rejected alternatives and progress."""
    return _printable(render_plan(view.plan)) + "\n" + stage_text(view)


def stage_text(view: PlanView) -> str:
    """Return the stage, progress and outcome of a plan."""
    digest = view.plan.short_digest
    lines = [f"plan {digest} is {view.stage}: {describe_intent(view.plan.intent)}"]
    if view.record is not None and view.record.state.is_open and view.progress is not None:
        lines.append(render_plan_progress(view.plan, view.progress).rstrip())
    if view.record is not None and view.record.outcome:
        lines.append(f"plan {digest}: {view.record.outcome}")
    return _printable("\n".join(lines) + "\n")


def diff_text(first: Plan, second: Plan) -> str:
    """Return the differences between two plans as text."""
    return _printable(render_diff(diff_plans(first, second)))


def _printable(text: str) -> str:
    return "".join(f"{one_line(line)}\n" for line in text.split("\n")[:-1])
