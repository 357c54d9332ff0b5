"""Computing the change that reverts an earlier one, and the difference of two states."""

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

__all__ = ["Difference", "RecordKind", "diff", "revert_change"]

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
        kind: Kind of the record.
        name: Name of the record, or the digest of a plan.
        before: The record in the first state; ``None`` if it is not there.
        after: The record in the second state; ``None`` if it is not there.
    """

    kind: RecordKind
    name: str
    before: Record | None
    after: Record | None


def diff(before: FleetState, after: FleetState) -> tuple[Difference, ...]:
    """Return the records that differ between two states, ordered by kind and name."""
    found = []
    for kind in RecordKind:
        old, new = _records(before, kind), _records(after, kind)
        for name in sorted(old.keys() | new.keys()):
            if old.get(name) != new.get(name):
                found.append(
                    Difference(kind=kind, name=name, before=old.get(name), after=new.get(name))
                )
    return tuple(found)


def revert_change(
    change: Change, *, before: FleetState, after: FleetState, newest: FleetState
) -> Result[Change, Failure]:
    """Return the change that reverts an earlier one.

    Args:
        change: The earlier change.
        before: The state before the change.
        after: The state after the change.
        newest: The newest state.

    Returns:
        The change; ``CONFLICT`` if the record has been changed again since; ``INVALID_REQUEST`` if
        no single change reverts it. Conditions, moves and plans are changed through an intent of
        their own, and a report of health is a fact that can't be reverted.
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
