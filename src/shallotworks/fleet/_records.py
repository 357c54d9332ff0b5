"""Records of the fleet: its configuration and its confirmed plans."""

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
    """Condition of an instance that an operator or a plan has set."""

    ACTIVE = "active"
    """The instance takes new work."""
    CORDONED = "cordoned"
    """The instance takes no new work, finishes what is in flight and counts as unavailable."""


@unique
class PlanState(Enum):
    """State of a confirmed plan."""

    RUNNING = "running"
    CANCELLING = "cancelling"
    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"

    @property
    def is_open(self) -> bool:
        """Whether a conductor may still act on the plan."""
        return self in (PlanState.RUNNING, PlanState.CANCELLING)


@dataclass(frozen=True, slots=True, kw_only=True)
class DataCentre:
    """A data centre, the failure domain of its instances for power and network failures.

    Args:
        name: Unique name.
        region: The region that it belongs to.
    """

    name: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A group of instances that serve the same services.

    Args:
        name: Unique name.
    """

    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """A worker machine, in exactly one pool.

    Args:
        name: Unique name.
        data_centre: The data centre that it is in.
        rack: Failure domain within the data centre.
        pool: The pool that it belongs to.
        address: ``ip:port`` of its target.
        slots: Number of requests that it runs concurrently.
        processors: Number of cores.
        memory_bytes: Size of its memory, in bytes.
        accelerators: Number of accelerator cards.
        condition: The desired condition; changed by `SetCondition` only.
        healthy: Whether it was last reported as working; changed by `SetHealth` only.
        held_by: Digest of the plan that cordoned it; empty without a cordon or for an operator's
            own cordon.
        maintained_at_s: Unix time at which its last maintenance ended; 0 for never.
        incarnation: Identifies the machine that has this name, as given by the platform's instance
            list. Empty if unknown; it is not checked then.
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
        """Whether it counts as available for availability budgets."""
        return self.condition is Condition.ACTIVE and self.healthy


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service that callers address by name.

    Args:
        name: Unique name.
        pool: The pool whose instances serve it.
        share: Fraction of the pool's slots that it is entitled to while requests wait, 0 to 1.
            Other services may use the part that it leaves free.
        max_unavailable: Availability budget: number of instances of the pool that may be
            unavailable at the same time, for any reason.
        connections_per_instance: Maximum number of connections to each instance.
    """

    name: str
    pool: str
    share: float
    max_unavailable: int
    connections_per_instance: int = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team of callers that share a quota.

    Args:
        name: Unique name.
        quota_slots: Number of slots that its requests and jobs may occupy at the same time, over
            the whole fleet.
    """

    name: str
    quota_slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanRecord:
    """The replicated part of a confirmed plan, on which all processes agree.

    Args:
        digest: Digest of the plan's content, and its key in the platform's store.
        intent: The operator's intent, in one line.
        confirmed_by: The operator who confirmed it.
        confirmed_at_s: Unix time of the confirmation.
        base_revision: The revision that the plan was computed from.
        instances: Names of all instances that the plan will cordon or move. Cleared when the plan
            ends, so that the retained plans do not make a snapshot grow with the fleet.
        state: The plan's state.
        fencing_token: Highest fencing token of a conductor so far; a change with a lower one is
            refused.
        steps_done: Number of finished steps.
        ended_at_s: Unix time of its end; 0 while it is open.
        outcome: How it ended, in one sentence.
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
