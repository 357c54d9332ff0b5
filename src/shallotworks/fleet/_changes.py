"""Changes to the fleet, one of which is stored in each entry of the configuration log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from ._records import (
    Condition,
    DataCentre,
    Instance,
    PlanState,
    Pool,
    Service,
    Team,
)

__all__ = [
    "AdvancePlan",
    "Change",
    "ConfirmPlan",
    "FinishPlan",
    "MoveInstance",
    "PutDataCentre",
    "PutInstance",
    "PutPool",
    "PutService",
    "PutTeam",
    "RemoveInstance",
    "RemovePool",
    "RemoveService",
    "RemoveTeam",
    "SetCondition",
    "SetHealth",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class PutDataCentre:
    """Add or replace a data centre."""

    data_centre: DataCentre
    kind: Literal["put-data-centre"] = "put-data-centre"


@dataclass(frozen=True, slots=True, kw_only=True)
class PutPool:
    """Add or replace a pool."""

    pool: Pool
    kind: Literal["put-pool"] = "put-pool"


@dataclass(frozen=True, slots=True, kw_only=True)
class RemovePool:
    """Remove a pool that has no instances and no services."""

    name: str
    kind: Literal["remove-pool"] = "remove-pool"


@dataclass(frozen=True, slots=True, kw_only=True)
class PutService:
    """Add or replace a service; the shares of a pool's services must not exceed 1 in total."""

    service: Service
    kind: Literal["put-service"] = "put-service"


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveService:
    """Remove a service."""

    name: str
    kind: Literal["remove-service"] = "remove-service"


@dataclass(frozen=True, slots=True, kw_only=True)
class PutTeam:
    """Add or replace a team."""

    team: Team
    kind: Literal["put-team"] = "put-team"


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveTeam:
    """Remove a team."""

    name: str
    kind: Literal["remove-team"] = "remove-team"


@dataclass(frozen=True, slots=True, kw_only=True)
class PutInstance:
    """Add an instance, or replace the hardware description of an existing one.

    An existing instance keeps its pool, condition, health, holding plan and time of last
    maintenance. Those change by `MoveInstance`, `SetCondition` and `SetHealth` only, so that a
    repeated put can't undo a cordon or a move.
    """

    instance: Instance
    kind: Literal["put-instance"] = "put-instance"


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveInstance:
    """Remove an instance; refused while an open plan holds it."""

    name: str
    kind: Literal["remove-instance"] = "remove-instance"


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveInstance:
    """Move a cordoned instance from one pool to another.

    Args:
        name: The instance.
        from_pool: The current pool; the change is refused if the instance is in another one.
        to_pool: The new pool.
        plan: Digest of the plan that moves it; empty for a change without a plan.
        fencing_token: Fencing token of the conductor that writes the change; 0 without a plan.
    """

    name: str
    from_pool: str
    to_pool: str
    plan: str = ""
    fencing_token: int = 0
    kind: Literal["move-instance"] = "move-instance"


@dataclass(frozen=True, slots=True, kw_only=True)
class SetCondition:
    """Cordon instances or make them active again; a cordon takes a disruption permit.

    A cordon is refused with ``BUDGET_SPENT`` if it would exceed the availability budget of a
    service.

    Args:
        names: The instances.
        condition: The desired condition.
        plan: Digest of the plan that makes the change; empty for an operator's own change.
        fencing_token: Fencing token of the conductor that writes the change; 0 for an operator's
            own change.
        maintained_at_s: Unix time at which their maintenance ended, if this change ends one; 0
            otherwise.
    """

    names: tuple[str, ...]
    condition: Condition
    plan: str = ""
    fencing_token: int = 0
    maintained_at_s: float = 0.0
    kind: Literal["set-condition"] = "set-condition"


@dataclass(frozen=True, slots=True, kw_only=True)
class SetHealth:
    """Record instances as failed or working.

    The change records an observation, so it is never refused for a budget.
    """

    names: tuple[str, ...]
    healthy: bool
    kind: Literal["set-health"] = "set-health"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmPlan:
    """Confirm a plan; refused if an open plan holds one of its instances.

    Args:
        digest: Digest of the plan.
        intent: The operator's intent, in one line.
        confirmed_by: The operator who confirms it.
        confirmed_at_s: Unix time of the confirmation.
        base_revision: The revision that the plan was computed from.
        instances: Names of all instances that the plan will cordon or move.
        basis: Digest of the plan's preconditions, see `precondition_digest`. The change is refused
            with ``STALE_PLAN`` if the current state gives another digest. Empty for no check.
    """

    digest: str
    intent: str
    confirmed_by: str
    confirmed_at_s: float
    base_revision: int
    instances: tuple[str, ...]
    basis: str = ""
    kind: Literal["confirm-plan"] = "confirm-plan"


@dataclass(frozen=True, slots=True, kw_only=True)
class AdvancePlan:
    """Record the progress of a plan; a new conductor's first record raises the fencing token.

    Args:
        digest: Digest of the plan.
        fencing_token: Fencing token of the conductor.
        steps_done: Number of finished steps; a lower number than the recorded one is ignored.
    """

    digest: str
    fencing_token: int
    steps_done: int
    kind: Literal["advance-plan"] = "advance-plan"


@dataclass(frozen=True, slots=True, kw_only=True)
class FinishPlan:
    """Cancel or end an open plan.

    Args:
        digest: Digest of the plan.
        state: The new state.
        outcome: The reason or result, in one sentence.
        at_s: Unix time of the change.
        fencing_token: Fencing token of the conductor; 0 for an operator's cancel.
    """

    digest: str
    state: PlanState
    outcome: str
    at_s: float
    fencing_token: int = 0
    kind: Literal["finish-plan"] = "finish-plan"


Change = Annotated[
    PutDataCentre
    | PutPool
    | RemovePool
    | PutService
    | RemoveService
    | PutTeam
    | RemoveTeam
    | PutInstance
    | RemoveInstance
    | MoveInstance
    | SetCondition
    | SetHealth
    | ConfirmPlan
    | AdvancePlan
    | FinishPlan,
    Field(discriminator="kind"),
]
