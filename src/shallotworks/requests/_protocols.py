"""The decisions along the path of a request; all are called on the event loop only."""

from __future__ import annotations

from typing import Protocol

from returns.result import Result

from shallotworks.errors import Failure

from ._messages import AttemptOutcome, Claim, Grant, Request, Response

__all__ = ["Dispatcher", "IdempotencyGuard", "RetryPolicy"]


class Dispatcher(Protocol):
    """Admission, queues and choice of target in one, so that a free slot costs one hop."""

    async def acquire(self, request: Request, *, tried: frozenset[str]) -> Result[Grant, Failure]:
        """Wait for a slot at a target that may take this request.

        Args:
            request: The request.
            tried: Names of instances that earlier attempts used; avoided while others remain.

        Returns:
            Leave for one attempt; or, all meaning not run, ``NOT_FOUND`` (no such service or
            team), ``OVER_QUOTA``, ``OVERLOADED``, ``NO_TARGET``, ``DEADLINE_EXCEEDED``,
            ``CANCELLED`` or ``STOPPING``, with when to come back.
        """
        ...

    def try_acquire(
        self, request: Request, *, tried: frozenset[str]
    ) -> Result[Grant, Failure] | None:
        """Return what `acquire` would without waiting; ``None`` where it would have to wait.

        After ``None`` the request goes on with `wait`, not with `acquire`.
        """
        ...

    async def wait(self, request: Request, *, tried: frozenset[str]) -> Result[Grant, Failure]:
        """Wait for a slot, after `try_acquire` has returned ``None``; returns as `acquire`."""
        ...

    def release(self, grant: Grant, outcome: AttemptOutcome, *, duration_s: float) -> None:
        """Give the slot back and learn from the outcome."""
        ...

    @property
    def waiting(self) -> int:
        """How many requests wait for a slot; may be read from any thread."""
        ...

    def cancel(self, request_id: str) -> bool:
        """Take a waiting request out of the queue; says whether it was waiting."""
        ...


class RetryPolicy(Protocol):
    """Whether and when a failed attempt is followed by another."""

    def count_first_attempt(self, request: Request) -> None:
        """Count a request's first attempt, a part of which retries may add."""
        ...

    def next_delay_s(
        self, request: Request, *, attempts: int, outcome: AttemptOutcome
    ) -> float | None:
        """Return the time to wait before the next attempt; ``None`` for no further attempt."""
        ...


class IdempotencyGuard(Protocol):
    """Keeps a non-idempotent request with a key from running twice, anywhere."""

    async def claim(self, request: Request) -> Result[Claim, Failure]:
        """Claim the key before the first byte is sent.

        Returns:
            The claim (with the stored answer, if the key has run); ``IN_PROGRESS`` where another
            holds it; ``OUTCOME_UNKNOWN`` where an earlier run's end is not known;
            ``STORE_UNAVAILABLE`` where it can't be claimed, and nothing has run under this claim.
        """
        ...

    async def complete_claim(self, claim: Claim, response: Response) -> None:
        """Store the answer of the run."""
        ...

    async def mark_outcome_unknown(self, claim: Claim) -> None:
        """Note that the request was sent under this claim and nobody knows how it ended."""
        ...

    async def release_claim(self, claim: Claim) -> None:
        """Free the key: nothing ran under this claim, for certain."""
        ...
