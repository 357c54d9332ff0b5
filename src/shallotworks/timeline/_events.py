"""Events of the timeline."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

__all__ = ["Event", "EventKind", "Subject"]


@unique
class EventKind(Enum):
    """The closed list of event kinds, by which a reader can filter."""

    STARTED = "started"
    STOPPING = "stopping"
    ADMITTED = "admitted"
    REFUSED = "refused"
    SENT = "sent"
    ANSWERED = "answered"
    RETRIED = "retried"
    TARGET_EJECTED = "target-ejected"
    TARGET_RESTORED = "target-restored"
    TARGET_CORDONED = "target-cordoned"
    TARGET_RETURNED = "target-returned"
    CONNECTION_SUSPECT = "connection-suspect"
    PEER_UP = "peer-up"
    PEER_SUSPECT = "peer-suspect"
    PEER_DOWN = "peer-down"
    LEASE_TAKEN = "lease-taken"
    LEASE_LOST = "lease-lost"
    STORE_UP = "store-up"
    STORE_DOWN = "store-down"
    STORE_REGRESSED = "store-regressed"
    CHANGE_ACCEPTED = "change-accepted"
    REVISION_IN_FORCE = "revision-in-force"
    PLAN_PROPOSED = "plan-proposed"
    PLAN_CONFIRMED = "plan-confirmed"
    PLAN_STEP = "plan-step"
    PLAN_PAUSED = "plan-paused"
    PLAN_ENDED = "plan-ended"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True, kw_only=True)
class Subject:
    """The objects that an event concerns; a field is empty if it does not apply.

    Args:
        request: Request id.
        plan: Digest of a plan.
        instance: Name of a worker instance or a peer.
        service: Name of a service.
    """

    request: str = ""
    plan: str = ""
    instance: str = ""
    service: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One event of one process.

    Args:
        process: Name of the process that recorded it.
        sequence: Number of the event within that process; missing numbers show which events the
            bounded ring has dropped.
        at_s: Unix time, from the process's wall clock.
        kind: Kind of the event.
        subject: Objects that the event concerns.
        detail: One short phrase for a person.
        duration_s: Duration of the event if it is a span, else 0.
    """

    process: str
    sequence: int
    at_s: float
    kind: EventKind
    subject: Subject
    detail: str = ""
    duration_s: float = 0.0
