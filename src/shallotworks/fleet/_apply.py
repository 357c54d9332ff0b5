"""Transition function of the fleet state: applies one change or refuses it."""

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

MAX_ENDED_PLANS = 200
SHORT_DIGEST_LENGTH = 12
SHARE_TOLERANCE = 1e-9

_ApplyResult = Result[FleetState, Failure]
_Value = TypeVar("_Value")


def apply(state: FleetState, change: Change) -> Result[FleetState, Failure]:
    """Return the state after one change, whose revision is one higher.

    Args:
        state: The state to apply the change to.
        change: The change.

    Returns:
        The next state, or the failure with which the change is refused: ``NOT_FOUND``,
        ``CONFLICT``, ``BUDGET_SPENT``, ``INVALID_REQUEST``, ``STALE_PLAN`` or ``LEASE_LOST`` (the
        fencing token is outdated).
    """
    handler = _HANDLERS[type(change)]
    return handler(state, change).map(lambda after: replace(after, revision=state.revision + 1))


def _refuse(kind: ErrorKind, reason: str) -> _ApplyResult:
    return Err(Failure(kind=kind, reason=reason))


def _put_entry(entries: Mapping[str, _Value], name: str, value: _Value) -> dict[str, _Value]:
    return {**entries, name: value}


def _drop_entry(entries: Mapping[str, _Value], name: str) -> dict[str, _Value]:
    return {key: value for key, value in entries.items() if key != name}


def _put_data_centre(state: FleetState, change: PutDataCentre) -> _ApplyResult:
    entry = change.data_centre
    return Success(replace(state, data_centres=_put_entry(state.data_centres, entry.name, entry)))


def _put_pool(state: FleetState, change: PutPool) -> _ApplyResult:
    return Success(replace(state, pools=_put_entry(state.pools, change.pool.name, change.pool)))


def _remove_pool(state: FleetState, change: RemovePool) -> _ApplyResult:
    if change.name not in state.pools:
        return _refuse(ErrorKind.NOT_FOUND, f"no pool {change.name}")
    if any(state.instances_of(change.name)):
        return _refuse(ErrorKind.CONFLICT, f"pool {change.name} still holds instances")
    if any(state.services_of(change.name)):
        return _refuse(ErrorKind.CONFLICT, f"pool {change.name} still serves services")
    return Success(replace(state, pools=_drop_entry(state.pools, change.name)))


def _put_service(state: FleetState, change: PutService) -> _ApplyResult:
    service = change.service
    if service.pool not in state.pools:
        return _refuse(ErrorKind.NOT_FOUND, f"no pool {service.pool}")
    if not 0 <= service.share <= 1 or service.max_unavailable < 0:
        return _refuse(
            ErrorKind.INVALID_REQUEST,
            "a share is 0 to 1, a budget is not negative",
        )
    others = (entry for entry in state.services_of(service.pool) if entry.name != service.name)
    if sum(entry.share for entry in others) + service.share > 1 + SHARE_TOLERANCE:
        return _refuse(
            ErrorKind.CONFLICT, f"the shares of pool {service.pool} would add up to more than 1"
        )
    return Success(replace(state, services=_put_entry(state.services, service.name, service)))


def _remove_service(state: FleetState, change: RemoveService) -> _ApplyResult:
    if change.name not in state.services:
        return _refuse(ErrorKind.NOT_FOUND, f"no service {change.name}")
    return Success(replace(state, services=_drop_entry(state.services, change.name)))


def _put_team(state: FleetState, change: PutTeam) -> _ApplyResult:
    if change.team.quota_slots < 0:
        return _refuse(ErrorKind.INVALID_REQUEST, "a quota is not negative")
    return Success(replace(state, teams=_put_entry(state.teams, change.team.name, change.team)))


def _remove_team(state: FleetState, change: RemoveTeam) -> _ApplyResult:
    if change.name not in state.teams:
        return _refuse(ErrorKind.NOT_FOUND, f"no team {change.name}")
    return Success(replace(state, teams=_drop_entry(state.teams, change.name)))


def _put_instance(state: FleetState, change: PutInstance) -> _ApplyResult:
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
    return Success(replace(state, instances=_put_entry(state.instances, entry.name, entry)))


def _remove_instance(state: FleetState, change: RemoveInstance) -> _ApplyResult:
    if change.name not in state.instances:
        return _refuse(ErrorKind.NOT_FOUND, f"no instance {change.name}")
    holding_plan = state.open_plan_holding((change.name,))
    if holding_plan is not None:
        return _refuse(ErrorKind.CONFLICT, _held_message(change.name, holding_plan))
    return Success(replace(state, instances=_drop_entry(state.instances, change.name)))


def _move_instance(state: FleetState, change: MoveInstance) -> _ApplyResult:
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
    fenced = _check_fencing_token(state, change.plan, change.fencing_token, (change.name,))
    return fenced.map(
        lambda after: _replace_instances(after, [replace(entry, pool=change.to_pool)])
    )


def _set_condition(state: FleetState, change: SetCondition) -> _ApplyResult:
    unknown = [name for name in change.names if name not in state.instances]
    if unknown:
        return _refuse(ErrorKind.NOT_FOUND, f"no instance {unknown[0]}")
    fenced = _check_fencing_token(state, change.plan, change.fencing_token, change.names)
    return fenced.bind(lambda after: _change_condition(after, change))


def _change_condition(state: FleetState, change: SetCondition) -> _ApplyResult:
    if change.condition is Condition.CORDONED and change.plan:
        plan = state.plans[change.plan]
        if plan.state is not PlanState.RUNNING:
            return _refuse(
                ErrorKind.CONFLICT, f"plan {_short_digest(plan.digest)} is {plan.state.value}"
            )
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


def _check_budgets(
    *, before: FleetState, after: FleetState, changed: list[Instance]
) -> _ApplyResult:
    """Refuse a cordon that exceeds an availability budget.

    Every process runs this check at the revision that the cordon would get. Two plans, or two data
    centres with a network partition between them, therefore can't both take the last permit.
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


def _set_health(state: FleetState, change: SetHealth) -> _ApplyResult:
    known = [state.instances[name] for name in change.names if name in state.instances]
    changed = [replace(entry, healthy=change.healthy) for entry in known]
    return Success(_replace_instances(state, changed))


def _confirm_plan(state: FleetState, change: ConfirmPlan) -> _ApplyResult:
    if change.digest in state.plans:
        return _refuse(
            ErrorKind.CONFLICT, f"plan {_short_digest(change.digest)} is confirmed already"
        )
    unknown = [name for name in change.instances if name not in state.instances]
    if unknown:
        return _refuse(ErrorKind.STALE_PLAN, f"instance {unknown[0]} is gone")
    holding_plan = state.open_plan_holding(change.instances)
    if holding_plan is not None:
        shared_names = sorted(set(holding_plan.instances) & set(change.instances))
        return _refuse(ErrorKind.CONFLICT, _held_message(shared_names[0], holding_plan))
    if change.basis and change.basis != precondition_digest(state, change.instances):
        return _refuse(
            ErrorKind.STALE_PLAN, f"what plan {_short_digest(change.digest)} rests on changed"
        )
    record = PlanRecord(
        digest=change.digest,
        intent=change.intent,
        confirmed_by=change.confirmed_by,
        confirmed_at_s=change.confirmed_at_s,
        base_revision=change.base_revision,
        instances=change.instances,
    )
    return Success(replace(state, plans=_put_entry(state.plans, record.digest, record)))


def _advance_plan(state: FleetState, change: AdvancePlan) -> _ApplyResult:
    fenced = _check_fencing_token(state, change.digest, change.fencing_token, ())
    return fenced.map(lambda after: _record_steps(after, change))


def _record_steps(state: FleetState, change: AdvancePlan) -> FleetState:
    plan = state.plans[change.digest]
    plan = replace(plan, steps_done=max(plan.steps_done, change.steps_done))
    return replace(state, plans=_put_entry(state.plans, plan.digest, plan))


def _finish_plan(state: FleetState, change: FinishPlan) -> _ApplyResult:
    plan = state.plans.get(change.digest)
    if plan is None:
        return _refuse(ErrorKind.NOT_FOUND, f"no confirmed plan {_short_digest(change.digest)}")
    if not plan.state.is_open:
        return _refuse(
            ErrorKind.CONFLICT, f"plan {_short_digest(plan.digest)} is {plan.state.value} already"
        )
    if change.state is PlanState.RUNNING:
        return _refuse(ErrorKind.INVALID_REQUEST, "an open plan can't be set back to running")
    if plan.state is PlanState.CANCELLING and change.state is PlanState.DONE:
        # An operator's cancel can be accepted while the conductor finishes the last step. Accepting
        # "done" would lose that cancel; after this refusal the conductor rolls back instead.
        return _refuse(ErrorKind.CONFLICT, f"plan {_short_digest(plan.digest)} is being cancelled")
    if change.state is PlanState.CANCELLING:
        return Success(_set_plan_state(state, plan, change))
    fenced = _check_fencing_token(state, change.digest, change.fencing_token, ())
    return fenced.map(lambda after: _set_plan_state(after, after.plans[change.digest], change))


def _set_plan_state(state: FleetState, plan: PlanRecord, change: FinishPlan) -> FleetState:
    plan = replace(plan, state=change.state, outcome=change.outcome)
    if not change.state.is_open:
        plan = replace(plan, ended_at_s=change.at_s, instances=())
    plans = _put_entry(state.plans, plan.digest, plan)
    ended = sorted(
        (entry for entry in plans.values() if not entry.state.is_open),
        key=lambda entry: (entry.ended_at_s, entry.digest),
    )
    for oldest in ended[:-MAX_ENDED_PLANS]:
        plans = _drop_entry(plans, oldest.digest)
    return replace(state, plans=plans)


def _check_fencing_token(
    state: FleetState, digest: str, token: int, names: tuple[str, ...]
) -> _ApplyResult:
    """Check that a writer may change these instances, and store its fencing token in the plan.

    A change without a plan is refused where an open plan holds one of the instances. A change for a
    plan is refused where the plan is not open, does not hold all of the instances, or has recorded
    a higher token. The token guards against a conductor that is paused beyond the expiry of its
    lease and writes after another conductor took over: every process refuses that write, whenever
    it arrives.
    """
    if not digest:
        holding_plan = state.open_plan_holding(names)
        if holding_plan is not None:
            return _refuse(ErrorKind.CONFLICT, _held_message(names[0], holding_plan))
        return Success(state)
    plan = state.plans.get(digest)
    if plan is None or not plan.state.is_open:
        return _refuse(ErrorKind.CONFLICT, f"plan {_short_digest(digest)} is not open")
    if not set(names) <= set(plan.instances):
        return _refuse(
            ErrorKind.CONFLICT, f"plan {_short_digest(digest)} does not hold all of these instances"
        )
    if token < plan.fencing_token:
        return _refuse(
            ErrorKind.LEASE_LOST,
            f"token {token} of plan {_short_digest(digest)} is older than the one in force",
        )
    plan = replace(plan, fencing_token=token)
    return Success(replace(state, plans=_put_entry(state.plans, digest, plan)))


def _replace_instances(state: FleetState, changed: list[Instance]) -> FleetState:
    return replace(state, instances={**state.instances, **{entry.name: entry for entry in changed}})


def _held_message(name: str, plan: PlanRecord) -> str:
    return (
        f"{name} is held by plan {_short_digest(plan.digest)} ({plan.intent}),"
        f" confirmed by {plan.confirmed_by} at {_format_time(plan.confirmed_at_s)}"
    )


def _format_time(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, tz=UTC).strftime("%Y-%m-%d %H:%M UTC")


def _short_digest(digest: str) -> str:
    return digest[:SHORT_DIGEST_LENGTH]


_HANDLERS: dict[type, Callable[[FleetState, Any], _ApplyResult]] = {
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
