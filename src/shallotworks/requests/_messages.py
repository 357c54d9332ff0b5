"""Value types of request handling: requests, responses, targets, grants and claims."""

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
    """Urgency of a request; interactive requests have priority."""

    INTERACTIVE = "interactive"
    LONG_RUNNING = "long-running"


@unique
class AttemptOutcome(Enum):
    """Outcome of one attempt at one target."""

    ANSWERED = "answered"
    """The target returned a complete answer to this attempt with a status below 500."""
    TARGET_ERROR = "target-error"
    """The target returned a complete answer to this attempt with a status of 500 or above."""
    REFUSED = "refused"
    """The target answered that it did not run the request."""
    NOT_SENT = "not-sent"
    """No byte of the request left this process."""
    BROKEN = "broken"
    """The request was sent, and the connection ended or the answer was truncated or not its own."""
    TIMED_OUT = "timed-out"
    """The request was sent, and no complete answer arrived within the attempt's timeout."""
    ABANDONED = "abandoned"
    """The caller cancelled the request; this says nothing about the target."""

    @property
    def known_not_run(self) -> bool:
        """Whether the attempt is known not to have run the request."""
        return self in (AttemptOutcome.REFUSED, AttemptOutcome.NOT_SENT)


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request of a caller, validated at the callers' port.

    Args:
        request_id: Id of the request, unique in the fleet.
        service: Name of the requested service.
        team: Name of the caller's team; empty for none.
        request_class: Urgency of the request.
        deadline_s: Event loop time by which the caller must have its answer.
        idempotent: Whether the request may safely run more than once.
        idempotency_key: The caller's key for a non-idempotent request; empty for none.
        method: HTTP method.
        path: Path and query, forwarded unchanged.
        headers: Headers to forward.
        body: The complete body.
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
    """A target's complete answer.

    Args:
        status: HTTP status.
        headers: Headers to return to the caller.
        body: The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Target of an attempt.

    Args:
        instance: Name of the worker instance.
        address: ``ip:port``.
        data_centre: Data centre of the instance.
    """

    instance: str
    address: str
    data_centre: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Permission for one attempt at one target; occupies a slot until it is released.

    Args:
        grant_id: Id of the grant, unique in this process.
        request_id: Id of the request that it was issued for.
        target: Target of the attempt.
    """

    grant_id: int
    request_id: str
    target: Target


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Exclusive right to run a request with an idempotency key.

    Args:
        key: Key of the record in the platform's key-value store.
        version: Version of that record.
        stored: Answer of the first run, if the key has run; the request must then not run again.
    """

    key: str
    version: int
    stored: Response | None = None
