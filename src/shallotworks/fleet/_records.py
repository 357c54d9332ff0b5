"""Records of the fleet, as operators configure them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

__all__ = [
    "Condition",
    "DataCentre",
    "Instance",
    "PlanRecord",
    "PlanState",
    "Pool",
    "Service",
    "Team",
]


@unique
class Condition(Enum):
    """What an operator or a plan wants of an instance."""

    ACTIVE = "active"
    """Takes new work."""
    CORDONED = "cordoned"
    """Takes no new work; what is in flight finishes. Counts as unavailable."""


@unique
class PlanState(Enum):
    """Where a confirmed plan stands."""

    RUNNING = "running"
    CANCELLING = "cancelling"
    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"

    @property
    def is_open(self) -> bool:
        """Whether the plan may still act."""
        return self in (PlanState.RUNNING, PlanState.CANCELLING)


@dataclass(frozen=True, slots=True, kw_only=True)
class DataCentre:
    """One data centre; its instances fail together when its power or links do.

    Args:
        name: Unique name.
        region: The region it lies in.
    """

    name: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A group of instances that serves some services.

    Args:
        name: Unique name.
    """

    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One worker machine, in exactly one pool.

    Args:
        name: Unique name.
        data_centre: Where it stands.
        rack: Failure domain within the data centre.
        pool: The one pool it belongs to.
        address: ``ip:port`` at which its target answers.
        slots: Requests it runs at once.
        processors: Cores.
        memory_bytes: Memory.
        accelerators: Accelerator cards.
        condition: What is wanted of it; changed by `SetCondition` only.
        healthy: Whether it was last reported as working; changed by `SetHealth` only.
        held_by: Digest of the plan that cordoned it; empty for an operator's own cordon or none.
        maintained_at_s: Unix time at which its last maintenance ended; 0 for never.
        incarnation: Which machine stands behind the name, as the platform's list says; empty where
            it is not known, and then not checked.
    """

    name: str
    data_centre: str
    rack: str
    pool: str
    address: str
    slots: int
    processors: int = 1
    memory_bytes: int = 0
    accelerators: int = 0
    condition: Condition = Condition.ACTIVE
    healthy: bool = True
    held_by: str = ""
    maintained_at_s: float = 0.0
    incarnation: str = ""

    @property
    def available(self) -> bool:
        """Whether it counts as serving, for availability budgets."""
        return self.condition is Condition.ACTIVE and self.healthy


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service that callers ask for by name.

    Args:
        name: Unique name.
        pool: The pool whose instances serve it.
        share: Part of the pool's slots that it may always use, 0 to 1.
        max_unavailable: Availability budget: instances of the pool that may be unavailable at
            once, for whatever cause.
        connections_per_instance: Connections kept to each instance at the most.
    """

    name: str
    pool: str
    share: float
    max_unavailable: int
    connections_per_instance: int = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team of callers with a quota.

    Args:
        name: Unique name.
        quota_slots: Slots that its requests and jobs may hold at once, over the whole fleet.
    """

    name: str
    quota_slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanRecord:
    """A confirmed plan, as far as all processes must agree on it.

    Args:
        digest: Digest of the plan's content, which is also its key in the platform's service.
        intent: The operator's intent, in one line.
        confirmed_by: The operator who confirmed it.
        confirmed_at_s: Unix time of the confirmation.
        base_revision: The revision that the plan was computed from.
        instances: Names of all instances that the plan will cordon or move; emptied when it ends,
            so that the plans kept do not make a snapshot grow with the fleet.
        state: Where it stands.
        fencing_token: Highest token of a conductor seen; changes with a lower one are refused.
        steps_done: Steps finished so far.
        ended_at_s: Unix time of its end; 0 while it is open.
        outcome: One sentence on how it ended.
    """

    digest: str
    intent: str
    confirmed_by: str
    confirmed_at_s: float
    base_revision: int
    instances: tuple[str, ...]
    state: PlanState = PlanState.RUNNING
    fencing_token: int = 0
    steps_done: int = 0
    ended_at_s: float = 0.0
    outcome: str = ""
