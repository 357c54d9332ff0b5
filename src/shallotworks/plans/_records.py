"""Plans and their parts, as stored and as shown to operators."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import Enum, unique

from pydantic import TypeAdapter

from ._intents import Intent

__all__ = [
    "SHORT_DIGEST_LENGTH",
    "Action",
    "Alternative",
    "BudgetUse",
    "DataCentreCapacity",
    "Measures",
    "Plan",
    "Skipped",
    "Step",
    "Strategy",
    "Wave",
    "with_digest",
]

SHORT_DIGEST_LENGTH = 12


@unique
class Action(Enum):
    """An action on each instance of a step; the step lists its actions in order."""

    CORDON = "cordon"
    DRAIN = "drain"
    REBOOT = "reboot"
    MOVE = "move"
    PROBE = "probe"
    RETURN = "return"


@unique
class Strategy(Enum):
    """How instances are distributed over waves."""

    ONE_AT_A_TIME = "one-at-a-time"
    RACK_BY_RACK = "rack-by-rack"
    BUDGET_BOUND = "as-many-as-the-budget-allows"
    PACKED = "conflict-graph-packing"


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """Actions on some instances of one pool within one wave.

    Args:
        pool: The pool of the instances before the step.
        instances: Names of the instances.
        actions: The actions on each instance, in this order.
        to_pool: The pool that they are moved to; empty if they are not moved.
    """

    pool: str
    instances: tuple[str, ...]
    actions: tuple[Action, ...]
    to_pool: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetUse:
    """The part of a service's availability budget that one wave uses.

    Args:
        service: Name of the service.
        instances: Number of instances that the wave makes unavailable.
        unavailable: Number of instances that are unavailable before the wave.
        budget: Number of instances that may be unavailable at the same time.
    """

    service: str
    instances: int
    unavailable: int
    budget: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """Steps that run concurrently; the next wave starts when all of them have ended.

    Args:
        starts_s: Expected start in seconds after the start of the plan.
        duration_s: Expected duration in seconds.
        steps: The steps.
        spends: The availability budgets that the wave uses.
    """

    starts_s: float
    duration_s: float
    steps: tuple[Step, ...]
    spends: tuple[BudgetUse, ...]

    @property
    def instances(self) -> tuple[str, ...]:
        """Names of the instances of the wave."""
        return tuple(name for step in self.steps for name in step.instances)


@dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreCapacity:
    """Remaining capacity of a data centre in the wave that leaves it the least.

    Args:
        data_centre: Name of the data centre.
        slots: Number of slots of its available instances before the plan.
        slots_left: Number of slots left during that wave.
        slots_left_if_rack_fails: Number of slots left if the rack with most remaining slots fails
            during that wave.
        wave: Number of that wave, from 1; 0 if no wave touches the data centre.
    """

    data_centre: str
    slots: int
    slots_left: int
    slots_left_if_rack_fails: int
    wave: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """The three measures of a plan, and its number of waves.

    Source: the brief, "What we measure".

    Args:
        buffer_slots: Buffer cost: maximum number of slots that the plan keeps out of service at the
            same time.
        roll_out_s: Roll-out time in seconds.
        moves: Number of moved instances plus the expected number of relocated jobs.
        waves: Number of waves.
    """

    buffer_slots: int
    roll_out_s: float
    moves: float
    waves: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Alternative:
    """A candidate for the plan that was compared with the others.

    Args:
        strategy: The strategy that filled its waves.
        width: Number of instances in its largest wave.
        measures: Its measures.
        cost: Weighted sum of the measures, each relative to the best of all candidates; the lowest
            cost is chosen.
        verdict: Why it was chosen or rejected.
    """

    strategy: Strategy
    width: int
    measures: Measures
    cost: float
    verdict: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Skipped:
    """An instance that the intent selects and the plan leaves unchanged."""

    instance: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """How an intent will be carried out; it takes effect only after it is confirmed.

    Args:
        digest: SHA-256 over the other fields as canonical JSON; its key in the store.
        intent: The operator's intent.
        author: The operator who proposed it.
        base_revision: The revision that it was computed from.
        basis: Digest of its preconditions at that revision.
        waves: The waves, in order.
        capacity: Lowest remaining capacity of each data centre that the plan touches.
        measures: Its measures.
        alternatives: The candidates that were compared, the chosen one first.
        skipped: Selected instances that the plan leaves unchanged, with the reason.
        notes: Notes for the operator before confirming, one sentence each.
    """

    digest: str
    intent: Intent
    author: str
    base_revision: int
    basis: str
    waves: tuple[Wave, ...]
    capacity: tuple[DataCentreCapacity, ...]
    measures: Measures
    alternatives: tuple[Alternative, ...]
    skipped: tuple[Skipped, ...] = ()
    notes: tuple[str, ...] = ()

    @property
    def short_digest(self) -> str:
        """The first characters of the digest, for display."""
        return self.digest[:SHORT_DIGEST_LENGTH]

    @property
    def instances(self) -> tuple[str, ...]:
        """Names of all instances that the plan touches, sorted."""
        return tuple(sorted(name for wave in self.waves for name in wave.instances))

    @property
    def steps(self) -> int:
        """Number of steps in all waves."""
        return sum(len(wave.steps) for wave in self.waves)

    def encode(self) -> bytes:
        """Return the plan as JSON."""
        return _PLAN.dump_json(self)

    @classmethod
    def decode(cls, data: bytes) -> Plan:
        """Decode a plan; raises ``pydantic.ValidationError`` if the data is invalid."""
        return _PLAN.validate_json(data)


def with_digest(plan: Plan) -> Plan:
    """Return the plan with its digest computed from the other fields.

    Fields are encoded in their declared order, so equal plans have equal JSON.
    """
    content = replace(plan, digest="").encode()
    return replace(plan, digest=hashlib.sha256(content).hexdigest())


_PLAN = TypeAdapter(Plan)
