"""How one change leads from one state of the fleet to the next, and when it is refused."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import UTC, datetime
from typing import Any, TypeVar

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure

from ._changes import (
    AdvancePlan,
    Change,
    ConfirmPlan,
    FinishPlan,
    MoveInstance,
    PutDataCentre,
    PutInstance,
    PutPool,
    PutService,
    PutTeam,
    RemoveInstance,
    RemovePool,
    RemoveService,
    RemoveTeam,
    SetCondition,
    SetHealth,
)
from ._preconditions import precondition_digest
from ._records import Condition, Instance, PlanRecord, PlanState
from ._state import FleetState

__all__ = ["apply"]

ENDED_PLANS_KEPT = 200
SHORT_DIGEST_LENGTH = 12
SHARE_TOLERANCE = 1e-9

_Outcome = Result[FleetState, Failure]
_Value = TypeVar("_Value")


def apply(state: FleetState, change: Change) -> Result[FleetState, Failure]:
    """Return the state after one change, one revision on.

    Args:
        state: The state that the change is to follow.
        change: The change.

    Returns:
        The next state, or why the change is refused: ``NOT_FOUND``, ``CONFLICT``,
        ``BUDGET_SPENT``, ``INVALID_REQUEST`` or ``LEASE_LOST`` (a fencing token too old).
    """
    handler = _HANDLERS[type(change)]
    return handler(state, change).map(lambda after: replace(after, revision=state.revision + 1))


def _refuse(kind: ErrorKind, reason: str) -> _Outcome:
    return Err(Failure(kind=kind, reason=reason))


def _with(entries: Mapping[str, _Value], name: str, value: _Value) -> dict[str, _Value]:
    return {**entries, name: value}


def _without(entries: Mapping[str, _Value], name: str) -> dict[str, _Value]:
    return {key: value for key, value in entries.items() if key != name}


def _put_data_centre(state: FleetState, change: PutDataCentre) -> _Outcome:
    entry = change.data_centre
    return Success(replace(state, data_centres=_with(state.data_centres, entry.name, entry)))


def _put_pool(state: FleetState, change: PutPool) -> _Outcome:
    return Success(replace(state, pools=_with(state.pools, change.pool.name, change.pool)))


def _remove_pool(state: FleetState, change: RemovePool) -> _Outcome:
    if change.name not in state.pools:
        return _refuse(ErrorKind.NOT_FOUND, f"no pool {change.name}")
    if any(state.instances_of(change.name)):
        return _refuse(ErrorKind.CONFLICT, f"pool {change.name} still holds instances")
    if any(state.services_of(change.name)):
        return _refuse(ErrorKind.CONFLICT, f"pool {change.name} still serves services")
    return Success(replace(state, pools=_without(state.pools, change.name)))


def _put_service(state: FleetState, change: PutService) -> _Outcome:
    service = change.service
    if service.pool not in state.pools:
        return _refuse(ErrorKind.NOT_FOUND, f"no pool {service.pool}")
    if not 0 <= service.share <= 1 or service.max_unavailable < 0:
        return _refuse(ErrorKind.INVALID_REQUEST, "a share is 0 to 1, a budget is not negative")
    others = (entry for entry in state.services_of(service.pool) if entry.name != service.name)
    if sum(entry.share for entry in others) + service.share > 1 + SHARE_TOLERANCE:
        return _refuse(
            ErrorKind.CONFLICT, f"the shares of pool {service.pool} would add up to more than 1"
        )
    return Success(replace(state, services=_with(state.services, service.name, service)))


def _remove_service(state: FleetState, change: RemoveService) -> _Outcome:
    if change.name not in state.services:
        return _refuse(ErrorKind.NOT_FOUND, f"no service {change.name}")
    return Success(replace(state, services=_without(state.services, change.name)))


def _put_team(state: FleetState, change: PutTeam) -> _Outcome:
    if change.team.quota_slots < 0:
        return _refuse(ErrorKind.INVALID_REQUEST, "a quota is not negative")
    return Success(replace(state, teams=_with(state.teams, change.team.name, change.team)))


def _remove_team(state: FleetState, change: RemoveTeam) -> _Outcome:
    if change.name not in state.teams:
        return _refuse(ErrorKind.NOT_FOUND, f"no team {change.name}")
    return Success(replace(state, teams=_without(state.teams, change.name)))


def _put_instance(state: FleetState, change: PutInstance) -> _Outcome:
    entry = change.instance
    if entry.pool not in state.pools:
        return _refuse(ErrorKind.NOT_FOUND, f"no pool {entry.pool}")
    if entry.data_centre not in state.data_centres:
        return _refuse(ErrorKind.NOT_FOUND, f"no data centre {entry.data_centre}")
    if entry.slots < 1:
        return _refuse(ErrorKind.INVALID_REQUEST, "an instance has at least one slot")
    present = state.instances.get(entry.name)
    if present is not None:
        entry = replace(
            entry,
            pool=present.pool,
            condition=present.condition,
            healthy=present.healthy,
            held_by=present.held_by,
            maintained_at_s=present.maintained_at_s,
        )
    return Success(replace(state, instances=_with(state.instances, entry.name, entry)))


def _remove_instance(state: FleetState, change: RemoveInstance) -> _Outcome:
    if change.name not in state.instances:
        return _refuse(ErrorKind.NOT_FOUND, f"no instance {change.name}")
    holder = state.open_plan_holding((change.name,))
    if holder is not None:
        return _refuse(ErrorKind.CONFLICT, _held(change.name, holder))
    return Success(replace(state, instances=_without(state.instances, change.name)))


def _move_instance(state: FleetState, change: MoveInstance) -> _Outcome:
    entry = state.instances.get(change.name)
    if entry is None:
        return _refuse(ErrorKind.NOT_FOUND, f"no instance {change.name}")
    if change.to_pool not in state.pools:
        return _refuse(ErrorKind.NOT_FOUND, f"no pool {change.to_pool}")
    if entry.pool != change.from_pool:
        return _refuse(
            ErrorKind.CONFLICT, f"{entry.name} is in pool {entry.pool}, not {change.from_pool}"
        )
    if entry.condition is not Condition.CORDONED:
        return _refuse(ErrorKind.CONFLICT, f"{entry.name} is not cordoned")
    fenced = _fence(state, change.plan, change.fencing_token, (change.name,))
    return fenced.map(
        lambda after: _replace_instances(after, [replace(entry, pool=change.to_pool)])
    )


def _set_condition(state: FleetState, change: SetCondition) -> _Outcome:
    unknown = [name for name in change.names if name not in state.instances]
    if unknown:
        return _refuse(ErrorKind.NOT_FOUND, f"no instance {unknown[0]}")
    fenced = _fence(state, change.plan, change.fencing_token, change.names)
    return fenced.bind(lambda after: _change_condition(after, change))


def _change_condition(state: FleetState, change: SetCondition) -> _Outcome:
    if change.condition is Condition.CORDONED and change.plan:
        plan = state.plans[change.plan]
        if plan.state is not PlanState.RUNNING:
            return _refuse(ErrorKind.CONFLICT, f"plan {_short(plan.digest)} is {plan.state.value}")
    changed = []
    for name in change.names:
        entry = state.instances[name]
        changed.append(
            replace(
                entry,
                condition=change.condition,
                held_by=change.plan if change.condition is Condition.CORDONED else "",
                maintained_at_s=change.maintained_at_s or entry.maintained_at_s,
            )
        )
    after = _replace_instances(state, changed)
    if change.condition is Condition.CORDONED:
        return _check_budgets(before=state, after=after, changed=changed)
    return Success(after)


def _check_budgets(*, before: FleetState, after: FleetState, changed: list[Instance]) -> _Outcome:
    """Refuse a cordon that overspends a budget.

    Every process applies this at the one revision the cordon would become, so two plans, or two
    data centres that were cut off from each other, can't both take the last permit.
    """
    unavailable = after.unavailable_by_pool()
    unavailable_before = before.unavailable_by_pool()
    budgets = after.budgets_by_pool()
    for pool in sorted({entry.pool for entry in changed}):
        takes_more = unavailable[pool] > unavailable_before[pool]
        if takes_more and unavailable[pool] > budgets[pool]:
            return _refuse(
                ErrorKind.BUDGET_SPENT,
                f"pool {pool} would have {unavailable[pool]} instances unavailable;"
                f" its services allow {budgets[pool]}",
            )
    return Success(after)


def _set_health(state: FleetState, change: SetHealth) -> _Outcome:
    known = [state.instances[name] for name in change.names if name in state.instances]
    changed = [replace(entry, healthy=change.healthy) for entry in known]
    return Success(_replace_instances(state, changed))


def _confirm_plan(state: FleetState, change: ConfirmPlan) -> _Outcome:
    if change.digest in state.plans:
        return _refuse(ErrorKind.CONFLICT, f"plan {_short(change.digest)} is confirmed already")
    unknown = [name for name in change.instances if name not in state.instances]
    if unknown:
        return _refuse(ErrorKind.STALE_PLAN, f"instance {unknown[0]} is gone")
    holder = state.open_plan_holding(change.instances)
    if holder is not None:
        both = sorted(set(holder.instances) & set(change.instances))
        return _refuse(ErrorKind.CONFLICT, _held(both[0], holder))
    if change.basis and change.basis != precondition_digest(state, change.instances):
        return _refuse(ErrorKind.STALE_PLAN, f"what plan {_short(change.digest)} rests on changed")
    record = PlanRecord(
        digest=change.digest,
        intent=change.intent,
        confirmed_by=change.confirmed_by,
        confirmed_at_s=change.confirmed_at_s,
        base_revision=change.base_revision,
        instances=change.instances,
    )
    return Success(replace(state, plans=_with(state.plans, record.digest, record)))


def _advance_plan(state: FleetState, change: AdvancePlan) -> _Outcome:
    fenced = _fence(state, change.digest, change.fencing_token, ())
    return fenced.map(lambda after: _record_steps(after, change))


def _record_steps(state: FleetState, change: AdvancePlan) -> FleetState:
    plan = state.plans[change.digest]
    plan = replace(plan, steps_done=max(plan.steps_done, change.steps_done))
    return replace(state, plans=_with(state.plans, plan.digest, plan))


def _finish_plan(state: FleetState, change: FinishPlan) -> _Outcome:
    plan = state.plans.get(change.digest)
    if plan is None:
        return _refuse(ErrorKind.NOT_FOUND, f"no confirmed plan {_short(change.digest)}")
    if not plan.state.is_open:
        return _refuse(
            ErrorKind.CONFLICT, f"plan {_short(plan.digest)} is {plan.state.value} already"
        )
    if change.state is PlanState.RUNNING:
        return _refuse(ErrorKind.INVALID_REQUEST, "an open plan can't be set back to running")
    if plan.state is PlanState.CANCELLING and change.state is PlanState.DONE:
        # The failure: an operator's cancel and the conductor's last step cross; accepting "done"
        # would drop a cancel that was accepted. Refused, the conductor rolls back instead.
        return _refuse(ErrorKind.CONFLICT, f"plan {_short(plan.digest)} is being cancelled")
    if change.state is PlanState.CANCELLING:
        return Success(_end(state, plan, change))
    fenced = _fence(state, change.digest, change.fencing_token, ())
    return fenced.map(lambda after: _end(after, after.plans[change.digest], change))


def _end(state: FleetState, plan: PlanRecord, change: FinishPlan) -> FleetState:
    plan = replace(plan, state=change.state, outcome=change.outcome)
    if not change.state.is_open:
        plan = replace(plan, ended_at_s=change.at_s, instances=())
    plans = _with(state.plans, plan.digest, plan)
    ended = sorted(
        (entry for entry in plans.values() if not entry.state.is_open),
        key=lambda entry: (entry.ended_at_s, entry.digest),
    )
    for old in ended[:-ENDED_PLANS_KEPT]:
        plans = _without(plans, old.digest)
    return replace(state, plans=plans)


def _fence(state: FleetState, digest: str, token: int, names: tuple[str, ...]) -> _Outcome:
    """Check that a writer may still act for a plan on these instances, and keep its token.

    The failure: a conductor is paused past its lease, another takes over, the first wakes and
    writes. Its token is lower than the one this state has seen, so its write is refused in every
    process alike, whenever it arrives.
    """
    if not digest:
        holder = state.open_plan_holding(names)
        if holder is not None:
            return _refuse(ErrorKind.CONFLICT, _held(names[0], holder))
        return Success(state)
    plan = state.plans.get(digest)
    if plan is None or not plan.state.is_open:
        return _refuse(ErrorKind.CONFLICT, f"plan {_short(digest)} is not open")
    if not set(names) <= set(plan.instances):
        return _refuse(
            ErrorKind.CONFLICT, f"plan {_short(digest)} does not hold all of these instances"
        )
    if token < plan.fencing_token:
        return _refuse(
            ErrorKind.LEASE_LOST,
            f"token {token} of plan {_short(digest)} is older than the one in force",
        )
    plan = replace(plan, fencing_token=token)
    return Success(replace(state, plans=_with(state.plans, digest, plan)))


def _replace_instances(state: FleetState, changed: list[Instance]) -> FleetState:
    return replace(state, instances={**state.instances, **{entry.name: entry for entry in changed}})


def _held(name: str, plan: PlanRecord) -> str:
    return (
        f"{name} is held by plan {_short(plan.digest)} ({plan.intent}),"
        f" confirmed by {plan.confirmed_by} at {_time(plan.confirmed_at_s)}"
    )


def _time(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, tz=UTC).strftime("%Y-%m-%d %H:%M UTC")


def _short(digest: str) -> str:
    return digest[:SHORT_DIGEST_LENGTH]


_HANDLERS: dict[type, Callable[[FleetState, Any], _Outcome]] = {
    PutDataCentre: _put_data_centre,
    PutPool: _put_pool,
    RemovePool: _remove_pool,
    PutService: _put_service,
    RemoveService: _remove_service,
    PutTeam: _put_team,
    RemoveTeam: _remove_team,
    PutInstance: _put_instance,
    RemoveInstance: _remove_instance,
    MoveInstance: _move_instance,
    SetCondition: _set_condition,
    SetHealth: _set_health,
    ConfirmPlan: _confirm_plan,
    AdvancePlan: _advance_plan,
    FinishPlan: _finish_plan,
}
