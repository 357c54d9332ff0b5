"""Request handling: dispatch to targets, attempts, retries and idempotency keys.

A `Dispatcher`, a `RetryPolicy` and an `IdempotencyGuard` take every decision on the event loop; the
thread that serves the caller exchanges bytes with the target in blocking code. This package reads
the platform and its peers only through the protocols passed to its constructors.
"""

from ._dispatcher import PoolDispatcher
from ._idempotency import IdempotencyLimits, StoreIdempotencyGuard
from ._limits import DispatchLimits, RetryLimits
from ._messages import AttemptOutcome, Claim, Grant, Request, RequestClass, Response, Target
from ._protocols import Dispatcher, IdempotencyGuard, RetryPolicy
from ._relay import Relay
from ._retry import BudgetedRetryPolicy
from ._target_client import AttemptResult, HttpTargetClient, TargetClient, TargetClientLimits
from ._target_selection import PowerOfTwoChoices, TargetSelector

__all__ = [
    "AttemptOutcome",
    "AttemptResult",
    "BudgetedRetryPolicy",
    "TargetSelector",
    "Claim",
    "DispatchLimits",
    "Dispatcher",
    "TargetClient",
    "TargetClientLimits",
    "Grant",
    "HttpTargetClient",
    "IdempotencyGuard",
    "IdempotencyLimits",
    "PoolDispatcher",
    "Relay",
    "Request",
    "RequestClass",
    "Response",
    "RetryLimits",
    "RetryPolicy",
    "StoreIdempotencyGuard",
    "Target",
    "PowerOfTwoChoices",
]
