"""Configuration of the fleet: its records, the changes to them and the resulting state.

The package is pure data and does no I/O. Processes that apply the same changes in the same order
compute the same `FleetState`. `apply` is the only transition from one state to the next and refuses
a change that breaks a rule, so a rule that it checks holds in every process.
"""

from ._apply import apply
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
from ._records import (
    Condition,
    DataCentre,
    Instance,
    PlanRecord,
    PlanState,
    Pool,
    Service,
    Team,
)
from ._state import FleetState

__all__ = [
    "AdvancePlan",
    "Change",
    "Condition",
    "ConfirmPlan",
    "DataCentre",
    "FinishPlan",
    "FleetState",
    "Instance",
    "MoveInstance",
    "PlanRecord",
    "PlanState",
    "Pool",
    "PutDataCentre",
    "PutInstance",
    "PutPool",
    "PutService",
    "PutTeam",
    "RemoveInstance",
    "RemovePool",
    "RemoveService",
    "RemoveTeam",
    "Service",
    "SetCondition",
    "SetHealth",
    "Team",
    "apply",
    "precondition_digest",
]
