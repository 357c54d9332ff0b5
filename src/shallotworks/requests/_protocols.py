"""Interfaces of the decisions in request handling; all are called on the event loop only."""

from __future__ import annotations

from typing import Protocol

from returns.result import Result

from shallotworks.errors import Failure

from ._messages import AttemptOutcome, Claim, Grant, Request, Response

__all__ = ["Dispatcher", "IdempotencyGuard", "RetryPolicy"]


class Dispatcher(Protocol):
    """Admission, queues and target selection in one call, so a free slot costs one loop call."""

    async def acquire(self, request: Request, *, tried: frozenset[str]) -> Result[Grant, Failure]:
        """Wait for a slot at a target that can serve this request.

        Args:
            request: The request.
            tried: Names of instances that earlier attempts used; avoided while others remain.

        Returns:
            A grant for one attempt, or a failure that means that this attempt did not run:
            ``NOT_FOUND`` (no such service or team), ``OVER_QUOTA``, ``OVERLOADED``, ``NO_TARGET``,
            ``DEADLINE_EXCEEDED``, ``CANCELLED``, ``CONFLICT`` (a request with this id is already
            waiting) or ``STOPPING``, with the time after which to retry.
        """
        ...

    def try_acquire(
        self, request: Request, *, tried: frozenset[str]
    ) -> Result[Grant, Failure] | None:
        """Return the result of `acquire` if it needs no wait, else ``None``.

        After ``None`` the caller continues with `wait`, not with `acquire`.
        """
        ...

    async def wait(self, request: Request, *, tried: frozenset[str]) -> Result[Grant, Failure]:
        """Wait for a slot after `try_acquire` returned ``None``; same results as `acquire`."""
        ...

    def release(self, grant: Grant, outcome: AttemptOutcome, *, duration_s: float) -> None:
        """Release the slot and record the outcome of the attempt."""
        ...

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot; may be read from any thread."""
        ...

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting request from the queue; return whether it was waiting."""
        ...


class RetryPolicy(Protocol):
    """Decides whether and when a failed attempt is retried."""

    def count_first_attempt(self, request: Request) -> None:
        """Count a request's first attempt; each one adds to the retry budget."""
        ...

    def next_delay_s(
        self, request: Request, *, attempts: int, outcome: AttemptOutcome
    ) -> float | None:
        """Return the delay before the next attempt in seconds; ``None`` for no further attempt."""
        ...


class IdempotencyGuard(Protocol):
    """Prevents a non-idempotent request with a key from running twice on any instance."""

    async def claim(self, request: Request) -> Result[Claim, Failure]:
        """Claim the key before the first byte is sent.

        Returns:
            The claim, with the stored answer if the key has run; ``IN_PROGRESS`` if another request
            holds the key; ``OUTCOME_UNKNOWN`` if the outcome of an earlier run is not known;
            ``STORE_UNAVAILABLE`` if the key can't be claimed, in which case nothing has run under
            this claim.
        """
        ...

    async def complete_claim(self, claim: Claim, response: Response) -> None:
        """Store the answer of the run."""
        ...

    async def mark_outcome_unknown(self, claim: Claim) -> None:
        """Record that the request was sent under this claim and its outcome is not known."""
        ...

    async def release_claim(self, claim: Claim) -> None:
        """Release the key; the request is known not to have run under this claim."""
        ...
