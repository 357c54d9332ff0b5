"""Small fakes of interfaces, shared by several test modules."""

from __future__ import annotations

import asyncio
import itertools
import threading
from collections.abc import Coroutine
from typing import Any, TypeVar

from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.requests import AttemptOutcome, Claim, Grant, Request, Response, Target

_Value = TypeVar("_Value")


class LoopThread:
    """An event loop in its own thread, for tests that call it from other threads."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, _Value]) -> _Value:
        """Run a coroutine on the loop, and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(timeout=30)

    def stop(self) -> None:
        """Stop the loop and its thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()


class RoundRobinDispatcher:
    """Grants a target without waiting, in turn among those that were not tried yet.

    Attributes:
        grants_per_request: Number of targets that one request may try before it is refused.
    """

    def __init__(self, *, targets: list[Target]) -> None:
        self.targets = targets
        self.outcomes: list[AttemptOutcome] = []
        self.open_grants = 0
        self.grants_per_request = len(targets) + 1
        self.waiting = 0
        self._ids = itertools.count(1)

    async def acquire(self, request: Request, *, tried: frozenset[str]) -> Result[Grant, Failure]:
        """Return a grant."""
        return self.try_acquire(request, tried=tried)

    async def wait(self, request: Request, *, tried: frozenset[str]) -> Result[Grant, Failure]:
        """Fail; this dispatcher has no queue."""
        raise AssertionError

    def try_acquire(self, request: Request, *, tried: frozenset[str]) -> Result[Grant, Failure]:
        """Return a grant."""
        if len(tried) >= self.grants_per_request:
            return Result.from_failure(Failure(kind=ErrorKind.NO_TARGET, reason="all were tried"))
        number = next(self._ids)
        fresh = [target for target in self.targets if target.instance not in tried]
        chosen = (fresh or self.targets)[number % len(fresh or self.targets)]
        self.open_grants += 1
        return Success(Grant(grant_id=number, request_id=request.request_id, target=chosen))

    def release(self, grant: Grant, outcome: AttemptOutcome, *, duration_s: float) -> None:
        """Record the outcome."""
        self.open_grants -= 1
        self.outcomes.append(outcome)

    def cancel(self, request_id: str) -> bool:
        """Return false; this dispatcher has no queue."""
        return False


class FixedRetryPolicy:
    """Allows a fixed number of attempts, and repeats only a safe request, as every policy must."""

    def __init__(self, *, attempts: int) -> None:
        self.attempts = attempts

    def count_first_attempt(self, request: Request) -> None:
        """Do nothing; there is no retry budget."""

    def next_delay_s(
        self, request: Request, *, attempts: int, outcome: AttemptOutcome
    ) -> float | None:
        """Return a delay of zero while attempts are left and another one is safe."""
        safe = request.idempotent or outcome.known_not_run
        return 0.0 if safe and attempts < self.attempts else None


class MemoryIdempotencyGuard:
    """Keeps claims in a dict.

    Attributes:
        unknown: Keys of requests whose outcome is unknown.
        write_s: Time that marking a key or storing an answer takes.
    """

    def __init__(self) -> None:
        self.records: dict[str, Response | None] = {}
        self.unknown: set[str] = set()
        self.write_s = 0.0

    async def claim(self, request: Request) -> Result[Claim, Failure]:
        """Claim a key once; return the stored answer for a completed one."""
        key = request.idempotency_key
        if key in self.records:
            stored = self.records[key]
            if stored is None:
                reason = "the first run has not ended"
                return Result.from_failure(Failure(kind=ErrorKind.IN_PROGRESS, reason=reason))
            return Success(Claim(key=key, version=1, stored=stored))
        self.records[key] = None
        return Success(Claim(key=key, version=1))

    async def complete_claim(self, claim: Claim, response: Response) -> None:
        """Store the answer."""
        await asyncio.sleep(self.write_s)
        self.records[claim.key] = response

    async def mark_outcome_unknown(self, claim: Claim) -> None:
        """Mark the outcome of the request as unknown."""
        self.unknown.add(claim.key)
        await asyncio.sleep(self.write_s)

    async def release_claim(self, claim: Claim) -> None:
        """Delete the claim of the key."""
        del self.records[claim.key]
