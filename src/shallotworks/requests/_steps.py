"""Steps of one request, passed between the event loop and the thread that serves its caller."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Result

from shallotworks.errors import Failure

from ._messages import Claim, Grant, Response
from ._target_client import AttemptResult

__all__ = ["Attempt", "EndedAttempt", "NextStep", "AttemptHistory"]


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptHistory:
    """Earlier attempts of a request.

    Args:
        claim: Claim of the request's idempotency key, if it has one.
        tried: Names of the instances that the attempts were sent to.
        attempts: Number of attempts.
        may_have_run: Whether one of the attempts may have run the request.
    """

    claim: Claim | None = None
    tried: frozenset[str] = frozenset()
    attempts: int = 0
    may_have_run: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """The next attempt, decided on the event loop and made on the caller's thread.

    Args:
        grant: Grant of a slot at the target.
        history: Earlier attempts of the request.
    """

    grant: Grant
    history: AttemptHistory


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedAttempt:
    """An attempt and its result.

    Args:
        attempt: The attempt.
        result: Result of the attempt.
        duration_s: Duration of the attempt.
    """

    attempt: Attempt
    result: AttemptResult
    duration_s: float

    @property
    def history(self) -> AttemptHistory:
        """Attempts of the request up to and including this one."""
        before = self.attempt.history
        known_not_run = self.result.outcome.known_not_run
        return AttemptHistory(
            claim=before.claim,
            tried=before.tried | {self.attempt.grant.target.instance},
            attempts=before.attempts + 1,
            may_have_run=before.may_have_run or not known_not_run,
        )


NextStep = Result[Attempt | Response, Failure]
"""The next attempt, the response that answers the request, or the final failure."""
