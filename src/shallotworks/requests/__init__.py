"""The path of a request: dispatch to a target, attempts, retries, at most once, the whole answer.

Every decision is taken on the event loop by a `Dispatcher`, a `RetryPolicy` and an
`IdempotencyGuard`; the exchange of bytes with a target is straight-line code in the thread that
serves the caller. Nothing here reads the platform or peers except through the protocols it is
given.
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
