"""The fleet as configured: records, changes to them, and the state that changes lead to.

Pure data: nothing here waits, sends or stores. Every process that applies the same changes in the
same order holds the same `FleetState`; `apply` is the only way from one state to the next, and it
refuses a change that breaks a rule, so that a rule checked here holds in every process.
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
