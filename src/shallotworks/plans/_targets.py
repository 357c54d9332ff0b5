"""Resolves an intent into the instances to act on and the instances to skip."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Condition, FleetState, Instance

from ._intents import (
    Drain,
    InDataCentre,
    InPool,
    InRack,
    Intent,
    Maintain,
    Move,
    Named,
    NotMaintainedSince,
    Return,
    Selection,
)
from ._records import Action, Skipped

__all__ = ["Targets", "actions_of", "resolve_targets"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Targets:
    """The instances that an intent selects.

    Args:
        instances: Instances to act on. A selection is ordered by the time of the last maintenance,
            the oldest first; a move by count is ordered by rack.
        skipped: Selected instances that are left unchanged.
    """

    instances: tuple[Instance, ...]
    skipped: tuple[Skipped, ...]


def resolve_targets(state: FleetState, intent: Intent) -> Result[Targets, Failure]:
    """Return the instances that an intent selects in a state.

    Args:
        state: The state.
        intent: The intent.

    Returns:
        The targets; ``NOT_FOUND`` if the intent names something unknown; ``INVALID_REQUEST`` if a
        move has one pool only or neither names nor a count; ``CONFLICT`` if a move names an
        instance of another pool; ``UNSATISFIABLE`` if a move needs more instances than exist.
    """
    if isinstance(intent, Move):
        return _resolve_move(state, intent)
    required = Condition.CORDONED if isinstance(intent, Return) else Condition.ACTIVE
    return _select(state, intent.selection).map(lambda found: _split_by_condition(found, required))


def actions_of(intent: Intent) -> tuple[Action, ...]:
    """Return the actions on each instance for an intent, in order."""
    match intent:
        case Drain():
            return (Action.CORDON, Action.DRAIN)
        case Return():
            return (Action.PROBE, Action.RETURN)
        case Maintain():
            return (Action.CORDON, Action.DRAIN, Action.REBOOT, Action.PROBE, Action.RETURN)
        case Move():
            return (Action.CORDON, Action.DRAIN, Action.MOVE, Action.PROBE, Action.RETURN)


def _select(state: FleetState, selection: Selection) -> Result[list[Instance], Failure]:
    entries = state.instances.values()
    match selection:
        case Named():
            return _select_named(state, selection.names)
        case InRack():
            found = [
                entry
                for entry in entries
                if (entry.data_centre, entry.rack) == (selection.data_centre, selection.rack)
            ]
            missing = f"no rack {selection.rack} in data centre {selection.data_centre}"
            return Success(found) if found else _not_found(missing)
        case InPool():
            if selection.pool not in state.pools:
                return _not_found(f"no pool {selection.pool}")
            return Success(list(state.instances_of(selection.pool)))
        case InDataCentre():
            if selection.data_centre not in state.data_centres:
                return _not_found(f"no data centre {selection.data_centre}")
            return Success([e for e in entries if e.data_centre == selection.data_centre])
        case NotMaintainedSince():
            return Success([e for e in entries if e.maintained_at_s < selection.before_s])


def _select_named(state: FleetState, names: tuple[str, ...]) -> Result[list[Instance], Failure]:
    unknown = [name for name in names if name not in state.instances]
    if unknown:
        return _not_found(f"no instance {unknown[0]}")
    return Success([state.instances[name] for name in sorted(set(names))])


def _split_by_condition(found: list[Instance], required: Condition) -> Targets:
    """Skip the instances whose condition already differs from the required one.

    An instance that an operator has cordoned is therefore not maintained: the return at the end
    of the plan would remove that cordon.
    """
    return Targets(
        instances=_by_maintenance_age([entry for entry in found if entry.condition is required]),
        skipped=tuple(
            Skipped(instance=entry.name, reason=f"is {entry.condition.value} already")
            for entry in sorted(found, key=lambda entry: entry.name)
            if entry.condition is not required
        ),
    )


def _by_maintenance_age(found: list[Instance]) -> tuple[Instance, ...]:
    return tuple(sorted(found, key=lambda entry: (entry.maintained_at_s, entry.name)))


def _resolve_move(state: FleetState, intent: Move) -> Result[Targets, Failure]:
    for pool in (intent.from_pool, intent.to_pool):
        if pool not in state.pools:
            return _refuse(ErrorKind.NOT_FOUND, f"no pool {pool}")
    if intent.from_pool == intent.to_pool:
        return _refuse(ErrorKind.INVALID_REQUEST, "a move needs two different pools")
    if intent.names:
        return _select_named(state, intent.names).bind(
            lambda found: _resolve_named_move(found, intent)
        )
    candidates = [
        entry
        for entry in state.instances_of(intent.from_pool)
        if entry.condition is Condition.ACTIVE and entry.healthy
    ]
    if intent.count < 1:
        return _refuse(ErrorKind.INVALID_REQUEST, "a move needs names or a count of 1 or more")
    if intent.count > len(candidates):
        return _refuse(
            ErrorKind.UNSATISFIABLE,
            f"pool {intent.from_pool} has {len(candidates)} instances that can be moved,"
            f" not {intent.count}",
        )
    return Success(
        Targets(instances=_take_from_fullest_racks(candidates, intent.count), skipped=())
    )


def _resolve_named_move(found: list[Instance], intent: Move) -> Result[Targets, Failure]:
    misplaced = [entry for entry in found if entry.pool != intent.from_pool]
    if misplaced:
        return _refuse(
            ErrorKind.CONFLICT,
            f"{misplaced[0].name} is in pool {misplaced[0].pool}, not {intent.from_pool}",
        )
    return Success(_split_by_condition(found, Condition.ACTIVE))


def _take_from_fullest_racks(candidates: list[Instance], count: int) -> tuple[Instance, ...]:
    """Take instances from the racks with most of them, so that the rest stays spread."""
    by_rack: dict[tuple[str, str], list[Instance]] = {}
    for entry in sorted(candidates, key=lambda entry: entry.name):
        by_rack.setdefault((entry.data_centre, entry.rack), []).append(entry)
    taken: list[Instance] = []
    while len(taken) < count:
        fullest = max(sorted(by_rack), key=lambda rack: len(by_rack[rack]))
        taken.append(by_rack[fullest].pop(0))
    return tuple(taken)


def _not_found(reason: str) -> Result[list[Instance], Failure]:
    return Err(Failure(kind=ErrorKind.NOT_FOUND, reason=reason))


def _refuse(kind: ErrorKind, reason: str) -> Result[Targets, Failure]:
    return Err(Failure(kind=kind, reason=reason))
