"""What passes along the path of a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

__all__ = [
    "AttemptOutcome",
    "Claim",
    "Grant",
    "Request",
    "RequestClass",
    "Response",
    "Target",
]


@unique
class RequestClass(Enum):
    """How urgent a request is; interactive goes ahead."""

    INTERACTIVE = "interactive"
    LONG_RUNNING = "long-running"


@unique
class AttemptOutcome(Enum):
    """How one attempt at one target ended."""

    ANSWERED = "answered"
    """A whole answer to this very attempt, whatever its status below 500."""
    TARGET_ERROR = "target-error"
    """A whole answer to this very attempt that says the target failed (status 500 and up)."""
    REFUSED = "refused"
    """The target said that it did not run it."""
    NOT_SENT = "not-sent"
    """No byte of the request left this process."""
    BROKEN = "broken"
    """Sent, and the connection ended or the answer was cut short or foreign."""
    TIMED_OUT = "timed-out"
    """Sent, and nothing came within the attempt's time."""
    ABANDONED = "abandoned"
    """The caller cancelled; says nothing about the target."""

    @property
    def known_not_run(self) -> bool:
        """Whether the attempt is known not to have run the request."""
        return self in (AttemptOutcome.REFUSED, AttemptOutcome.NOT_SENT)


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request of a caller, as checked at the callers' port.

    Args:
        request_id: Unique over the fleet.
        service: Name of the service asked for.
        team: Name of the caller's team; empty for none.
        request_class: How urgent it is.
        deadline_s: Event loop time by which the caller must have its answer.
        idempotent: Whether running it twice does no harm.
        idempotency_key: The caller's key for a non-idempotent request; empty for none.
        method: HTTP method.
        path: Path and query, passed on as they came.
        headers: Headers to pass on.
        body: The whole body.
    """

    request_id: str
    service: str
    team: str
    request_class: RequestClass
    deadline_s: float
    idempotent: bool
    idempotency_key: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A target's whole answer.

    Args:
        status: HTTP status.
        headers: Headers to pass back.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Where an attempt goes.

    Args:
        instance: Name of the worker instance.
        address: ``ip:port``.
        data_centre: Where it stands.
    """

    instance: str
    address: str
    data_centre: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Leave to make one attempt at one target; holds a slot until it is released.

    Args:
        grant_id: Unique in this process.
        request_id: The request it is for.
        target: The target.
    """

    grant_id: int
    request_id: str
    target: Target


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """The right to run a request with an idempotency key, once.

    Args:
        key: Key of the record in the platform's service.
        version: Version of that record.
        stored: The first run's answer, where there is one: hand it on and run nothing.
    """

    key: str
    version: int
    stored: Response | None = None
