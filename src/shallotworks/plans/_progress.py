"""How far a plan has come, read from the state alone."""

from __future__ import annotations

from dataclasses import dataclass

from shallotworks.fleet import Condition, FleetState, PlanRecord

from ._records import Action, Plan, Step, Wave

__all__ = ["Progress", "is_step_done", "progress_of"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """How far a confirmed plan has come.

    Args:
        instances_done: Instances through with their step.
        instances: All of its instances.
        wave: Number of the first wave that is not through, from 1; 0 when all are.
        waves: All of its waves.
        left_s: Expected time left.
    """

    instances_done: int
    instances: int
    wave: int
    waves: int
    left_s: float


def progress_of(plan: Plan, record: PlanRecord, state: FleetState) -> Progress:
    """Return how far a confirmed plan has come at a state."""
    open_waves = [
        number
        for number, wave in enumerate(plan.waves, 1)
        if not _is_wave_done(wave, record, state)
    ]
    done = sum(
        is_step_done(step, name, record, state)
        for wave in plan.waves
        for step in wave.steps
        for name in step.instances
    )
    left_s = sum(plan.waves[number - 1].duration_s for number in open_waves)
    return Progress(
        instances_done=done,
        instances=len(plan.instances),
        wave=open_waves[0] if open_waves else 0,
        waves=len(plan.waves),
        left_s=left_s if record.state.is_open else 0.0,
    )


def is_step_done(step: Step, name: str, record: PlanRecord, state: FleetState) -> bool:
    """Return whether a state shows that an instance is through with its step.

    Only the plan's conductor may change an instance that an open plan holds, so the state tells;
    but for a drain, whose last part, nothing in flight, only the target knows.
    """
    entry = state.instances.get(name)
    if entry is None:
        return True
    if Action.RETURN not in step.actions:
        return entry.condition is Condition.CORDONED
    if entry.condition is not Condition.ACTIVE:
        return False
    if Action.REBOOT in step.actions:
        return entry.maintained_at_s >= record.confirmed_at_s
    return not step.to_pool or entry.pool == step.to_pool


def _is_wave_done(wave: Wave, record: PlanRecord, state: FleetState) -> bool:
    return all(
        is_step_done(step, name, record, state) for step in wave.steps for name in step.instances
    )
