"""A plan and its parts, as stored under its digest and as shown to operators."""

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
    """One thing done to the instances of a step, in the order listed in the step."""

    CORDON = "cordon"
    DRAIN = "drain"
    REBOOT = "reboot"
    MOVE = "move"
    PROBE = "probe"
    RETURN = "return"


@unique
class Strategy(Enum):
    """How instances are put into waves."""

    ONE_AT_A_TIME = "one-at-a-time"
    RACK_BY_RACK = "rack-by-rack"
    BUDGET_BOUND = "as-many-as-the-budget-allows"
    PACKED = "conflict-graph-packing"


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """What is done to some instances of one pool within one wave.

    Args:
        pool: The pool they are in at the start.
        instances: Their names.
        actions: What is done to each of them, in this order.
        to_pool: Where they go, if they are moved; else empty.
    """

    pool: str
    instances: tuple[str, ...]
    actions: tuple[Action, ...]
    to_pool: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetUse:
    """What one wave takes of one service's availability budget.

    Args:
        service: The service.
        instances: Instances that the wave makes unavailable to it.
        unavailable: Instances unavailable to it before the wave.
        budget: Instances that may be unavailable at once.
    """

    service: str
    instances: int
    unavailable: int
    budget: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """Steps that run side by side; the next wave starts when all of them have ended.

    Args:
        starts_s: Expected start, counted from the start of the plan.
        duration_s: Expected duration.
        steps: The steps.
        spends: What it takes of which budget.
    """

    starts_s: float
    duration_s: float
    steps: tuple[Step, ...]
    spends: tuple[BudgetUse, ...]

    @property
    def instances(self) -> tuple[str, ...]:
        """Names of all instances of the wave."""
        return tuple(name for step in self.steps for name in step.instances)


@dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreCapacity:
    """What is left of a data centre at the plan's worst moment for it.

    Args:
        data_centre: The data centre.
        slots: Slots of all its instances that are available before the plan.
        slots_left: Slots left at the worst moment.
        slots_left_if_rack_fails: Slots left if its fullest remaining rack fails at that moment.
        wave: Number of the wave with the worst moment, from 1; 0 if none touches it.
    """

    data_centre: str
    slots: int
    slots_left: int
    slots_left_if_rack_fails: int
    wave: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """The three measures of a plan, and what they come from.

    Source: the brief, "What we measure".

    Args:
        buffer_slots: Buffer cost: most slots that the plan holds out of service at one moment.
        roll_out_s: Roll-out time.
        moves: Instances moved plus the jobs expected to be relocated.
        waves: Number of waves.
    """

    buffer_slots: int
    roll_out_s: float
    moves: float
    waves: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Alternative:
    """A way to carry out the intent that was weighed.

    Args:
        strategy: How it fills its waves.
        width: Most instances in one wave.
        measures: Its figures.
        cost: Its weighted sum, each measure relative to the best of all ways; least wins.
        verdict: Why it was chosen or lost.
    """

    strategy: Strategy
    width: int
    measures: Measures
    cost: float
    verdict: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Skipped:
    """An instance that was asked for and that the plan leaves alone."""

    instance: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """How an intent will be carried out; nothing acts on it before it is confirmed.

    Args:
        digest: SHA-256 over the rest of the plan as canonical JSON; its key in the store.
        intent: What the operator wants.
        author: Who asked for it.
        base_revision: The revision it was computed from.
        basis: Digest of the facts of that revision that it rests on.
        waves: The waves, in order.
        capacity: What is left of each data centre that it touches, at its worst moment.
        measures: Its three measures.
        alternatives: The ways weighed, the chosen one first.
        skipped: Instances left alone, and why.
        notes: What an operator should know before confirming, one sentence each.
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
        """The digest's first part, for people."""
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
        """Read a plan; raises ``pydantic.ValidationError`` where it is not one."""
        return _PLAN.validate_json(data)


def with_digest(plan: Plan) -> Plan:
    """Return the plan with the digest of its content filled in.

    The fields are written in their declared order, hence equal plans have equal JSON.
    """
    content = replace(plan, digest="").encode()
    return replace(plan, digest=hashlib.sha256(content).hexdigest())


_PLAN = TypeAdapter(Plan)
