"""Intents, plans, the plan registry and the conductor that executes confirmed plans.

The `Planner` computes a `Plan` from an operator's `Intent`, the `PlanRegistry` stores it, and a
`Conductor` executes it after it is confirmed. A conductor acts on confirmed plans only, changes the
fleet only through the configuration log, and never reboots a target with work in flight.
"""

from ._conductor import Conductor
from ._diff import PlanDiff, diff_plans
from ._instance_run import ConductorPolicy, StepOutcome
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
    decode_intent,
    describe_intent,
    encode_intent,
    not_maintained_for,
)
from ._measures import DisruptionModel, PlannerWeights
from ._plan_run import ConductorDependencies
from ._planner import Planner
from ._progress import Progress, progress_of
from ._protocols import Acknowledgements, OffLoopRunner, PlanLease, ProbeReport, TargetControl
from ._records import (
    Action,
    Alternative,
    BudgetUse,
    DataCentreCapacity,
    Measures,
    Plan,
    Skipped,
    Step,
    Strategy,
    Wave,
)
from ._registry import PLANS_PREFIX, ListedPlan, PlanRegistry
from ._render import render_diff, render_duration, render_plan, render_progress
from ._window import MaintenanceWindow

__all__ = [
    "PLANS_PREFIX",
    "Acknowledgements",
    "Action",
    "Alternative",
    "BudgetUse",
    "Conductor",
    "ConductorPolicy",
    "DataCentreCapacity",
    "DisruptionModel",
    "Drain",
    "PlanLease",
    "InDataCentre",
    "InPool",
    "InRack",
    "Intent",
    "ListedPlan",
    "Maintain",
    "MaintenanceWindow",
    "Measures",
    "Move",
    "Named",
    "NotMaintainedSince",
    "OffLoopRunner",
    "Plan",
    "PlanDiff",
    "Planner",
    "PlannerWeights",
    "ProbeReport",
    "Progress",
    "PlanRegistry",
    "Return",
    "Selection",
    "Skipped",
    "Step",
    "StepOutcome",
    "Strategy",
    "ConductorDependencies",
    "TargetControl",
    "Wave",
    "decode_intent",
    "describe_intent",
    "diff_plans",
    "encode_intent",
    "not_maintained_for",
    "progress_of",
    "render_diff",
    "render_duration",
    "render_plan",
    "render_progress",
]
