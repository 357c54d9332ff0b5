"""Steps of one request, handed to and fro between the event loop and its caller's thread."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Result

from shallotworks.errors import Failure

from ._messages import Claim, Grant, Response
from ._target_client import AttemptResult

__all__ = ["Attempt", "EndedAttempt", "NextStep", "AttemptHistory"]


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptHistory:
    """What came of a request before its next attempt.

    Args:
        claim: Its claim, where it has one.
        tried: Names of the instances that its attempts went to.
        attempts: How many attempts there were.
        may_have_run: Whether one of them may have run it.
    """

    claim: Claim | None = None
    tried: frozenset[str] = frozenset()
    attempts: int = 0
    may_have_run: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """Leave for the next attempt, decided on the loop and carried out on the caller's thread.

    Args:
        grant: The target, and the slot of it that is held.
        history: What came of the request before.
    """

    grant: Grant
    history: AttemptHistory


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedAttempt:
    """An attempt and how it ended.

    Args:
        attempt: The attempt.
        result: How it ended.
        duration_s: How long it took.
    """

    attempt: Attempt
    result: AttemptResult
    duration_s: float

    @property
    def history(self) -> AttemptHistory:
        """What came of the request up to now."""
        before = self.attempt.history
        known_not_run = self.result.outcome.known_not_run
        return AttemptHistory(
            claim=before.claim,
            tried=before.tried | {self.attempt.grant.target.instance},
            attempts=before.attempts + 1,
            may_have_run=before.may_have_run or not known_not_run,
        )


NextStep = Result[Attempt | Response, Failure]
"""An attempt to make, or the request's final answer."""
