"""Changes to the fleet: what one entry of the configuration log may hold."""

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
    """Remove a pool that holds no instance and serves no service."""

    name: str
    kind: Literal["remove-pool"] = "remove-pool"


@dataclass(frozen=True, slots=True, kw_only=True)
class PutService:
    """Add or replace a service; the shares of one pool's services add up to 1 at the most."""

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
    """Add an instance, or replace its hardware facts.

    The pool, condition, health and holder of an instance that exists stay as they are: those
    change by `MoveInstance`, `SetCondition` and `SetHealth` only, so that replacing an instance
    under its old name can't undo a cordon or a move.
    """

    instance: Instance
    kind: Literal["put-instance"] = "put-instance"


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveInstance:
    """Remove an instance that no open plan holds."""

    name: str
    kind: Literal["remove-instance"] = "remove-instance"


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveInstance:
    """Move a cordoned instance from one pool to another.

    Args:
        name: The instance.
        from_pool: The pool it is in; refused if it is in another by now.
        to_pool: Where it goes.
        plan: Digest of the plan that moves it.
        fencing_token: Token of the conductor that writes this.
    """

    name: str
    from_pool: str
    to_pool: str
    plan: str = ""
    fencing_token: int = 0
    kind: Literal["move-instance"] = "move-instance"


@dataclass(frozen=True, slots=True, kw_only=True)
class SetCondition:
    """Cordon instances or make them active again; a cordon is the disruption permit.

    Refused with ``BUDGET_SPENT`` where it would take a service below its availability budget.

    Args:
        names: The instances.
        condition: What is wanted of them.
        plan: Digest of the plan that acts; empty for an operator's own.
        fencing_token: Token of the conductor that writes this; 0 for an operator's own.
        maintained_at_s: Unix time of the end of their maintenance, where this ends one; else 0.
    """

    names: tuple[str, ...]
    condition: Condition
    plan: str = ""
    fencing_token: int = 0
    maintained_at_s: float = 0.0
    kind: Literal["set-condition"] = "set-condition"


@dataclass(frozen=True, slots=True, kw_only=True)
class SetHealth:
    """Report instances as failed or working; never refused for a budget, it is a fact."""

    names: tuple[str, ...]
    healthy: bool
    kind: Literal["set-health"] = "set-health"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmPlan:
    """Confirm the plan of this digest; refused where an open plan holds one of its instances.

    Args:
        digest: Digest of the plan.
        intent: The operator's intent, in one line.
        confirmed_by: The operator.
        confirmed_at_s: Unix time.
        base_revision: The revision that the plan was computed from.
        instances: Names of all instances it will cordon or move.
        basis: Digest of the facts it rests on, see `precondition_digest`; refused with
            ``STALE_PLAN`` where they are others by now. Empty for no check.
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
    """Record a conductor's progress; the first one of a new conductor raises the token.

    Args:
        digest: Digest of the plan.
        fencing_token: Token of the conductor.
        steps_done: Steps finished so far; never falls.
    """

    digest: str
    fencing_token: int
    steps_done: int
    kind: Literal["advance-plan"] = "advance-plan"


@dataclass(frozen=True, slots=True, kw_only=True)
class FinishPlan:
    """Change an open plan's state: cancel it, or end it.

    Args:
        digest: Digest of the plan.
        state: The new state.
        outcome: One sentence on why.
        at_s: Unix time.
        fencing_token: Token of the conductor; 0 for an operator's cancel.
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
