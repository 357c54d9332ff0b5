"""Progress of a plan, derived from the fleet state alone."""

from __future__ import annotations

from dataclasses import dataclass

from shallotworks.fleet import Condition, FleetState, PlanRecord

from ._records import Action, Plan, Step, Wave

__all__ = ["Progress", "is_step_done", "progress_of"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """Progress of a confirmed plan.

    Args:
        instances_done: Number of instances whose step is done.
        instances: Number of all instances of the plan.
        wave: Number of the first wave that is not done, from 1; 0 if all are done.
        waves: Number of all waves.
        left_s: Expected remaining time.
    """

    instances_done: int
    instances: int
    wave: int
    waves: int
    left_s: float


def progress_of(plan: Plan, record: PlanRecord, state: FleetState) -> Progress:
    """Return the progress of a confirmed plan in a state."""
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
    """Return whether the step of an instance is done according to a state.

    Only the plan's conductor may change an instance that an open plan holds, so the state is
    conclusive. A drain is the exception: it counts as done once the instance is cordoned, and only
    the target knows whether work is still in flight.
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
