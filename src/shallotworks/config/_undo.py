"""Which change takes an earlier one back, and how two states differ."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import (
    Change,
    DataCentre,
    FleetState,
    Instance,
    PlanRecord,
    Pool,
    PutDataCentre,
    PutInstance,
    PutPool,
    PutService,
    PutTeam,
    RemoveInstance,
    RemovePool,
    RemoveService,
    RemoveTeam,
    Service,
    Team,
)

__all__ = ["Difference", "RecordKind", "diff", "undo"]

Record = DataCentre | Pool | Service | Team | Instance | PlanRecord


@unique
class RecordKind(Enum):
    """The kinds of records of a state."""

    DATA_CENTRE = "data-centre"
    POOL = "pool"
    SERVICE = "service"
    TEAM = "team"
    INSTANCE = "instance"
    PLAN = "plan"


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """One record that differs between two states.

    Args:
        kind: What it is.
        name: Its name, or a plan's digest.
        before: The record in the first state; ``None`` where it has none.
        after: The record in the second state; ``None`` where it has none.
    """

    kind: RecordKind
    name: str
    before: Record | None
    after: Record | None


def diff(before: FleetState, after: FleetState) -> tuple[Difference, ...]:
    """Return the records that differ, by kind and name."""
    found = []
    for kind in RecordKind:
        old, new = _records(before, kind), _records(after, kind)
        for name in sorted(old.keys() | new.keys()):
            if old.get(name) != new.get(name):
                found.append(
                    Difference(kind=kind, name=name, before=old.get(name), after=new.get(name))
                )
    return tuple(found)


def undo(
    change: Change, *, before: FleetState, after: FleetState, newest: FleetState
) -> Result[Change, Failure]:
    """Return the change that takes an earlier one back.

    Args:
        change: The earlier change.
        before: The state that it followed.
        after: The state that it led to.
        newest: The newest state.

    Returns:
        The change; ``CONFLICT`` where the record has been changed again since;
        ``INVALID_REQUEST`` where no single change takes it back: conditions, moves and plans go by
        an intent of their own, a report of health is a fact.
    """
    differences = diff(before, after)
    if len(differences) != 1:
        reason = f"a change that touches {len(differences)} records is not taken back by one"
        return Err(Failure(kind=ErrorKind.INVALID_REQUEST, reason=reason))
    difference = differences[0]
    if _records(newest, difference.kind).get(difference.name) != difference.after:
        reason = f"{difference.kind.value} {difference.name} has been changed again since"
        return Err(Failure(kind=ErrorKind.CONFLICT, reason=reason))
    if not isinstance(change, _REVERSIBLE):
        reason = f"{change.kind} is not taken back by a change; state an intent for it"
        return Err(Failure(kind=ErrorKind.INVALID_REQUEST, reason=reason))
    if difference.before is None:
        return _removal(difference)
    return Success(_put(difference.before))


def _records(state: FleetState, kind: RecordKind) -> Mapping[str, Record]:
    records: dict[RecordKind, Mapping[str, Record]] = {
        RecordKind.DATA_CENTRE: state.data_centres,
        RecordKind.POOL: state.pools,
        RecordKind.SERVICE: state.services,
        RecordKind.TEAM: state.teams,
        RecordKind.INSTANCE: state.instances,
        RecordKind.PLAN: state.plans,
    }
    return records[kind]


def _removal(difference: Difference) -> Result[Change, Failure]:
    match difference.kind:
        case RecordKind.POOL:
            return Success(RemovePool(name=difference.name))
        case RecordKind.SERVICE:
            return Success(RemoveService(name=difference.name))
        case RecordKind.TEAM:
            return Success(RemoveTeam(name=difference.name))
        case RecordKind.INSTANCE:
            return Success(RemoveInstance(name=difference.name))
    reason = f"a {difference.kind.value} can't be removed"
    return Err(Failure(kind=ErrorKind.INVALID_REQUEST, reason=reason))


def _put(record: Record) -> Change:
    match record:
        case DataCentre():
            return PutDataCentre(data_centre=record)
        case Pool():
            return PutPool(pool=record)
        case Service():
            return PutService(service=record)
        case Team():
            return PutTeam(team=record)
        case Instance():
            return PutInstance(instance=record)
    raise TypeError(f"no change puts a {type(record).__name__}")


_REVERSIBLE = (
    PutDataCentre,
    PutPool,
    RemovePool,
    PutService,
    RemoveService,
    PutTeam,
    RemoveTeam,
    PutInstance,
    RemoveInstance,
)
