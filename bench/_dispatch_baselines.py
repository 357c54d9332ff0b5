"""Simple baselines for target selection, retries and admission in `bench.dispatch`."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Instance
from shallotworks.requests import AttemptOutcome, Grant, Request, Target

__all__ = ["UnlimitedRetry", "FirstComeFirstServed", "LeastInFlight", "RandomChoice"]

MAX_ATTEMPTS = 4


class RandomChoice:
    """Selects a random target with a free slot."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, free_targets: Sequence, *, tried: frozenset[str]) -> object:
        untried = [entry for entry in free_targets if entry.instance.name not in tried]
        return self._rng.choice(untried) if untried else None


class LeastInFlight:
    """Selects the target with the fewest grants of this process; ties go to the first name."""

    def choose(self, free_targets: Sequence, *, tried: frozenset[str]) -> object:
        untried = (entry for entry in free_targets if entry.instance.name not in tried)
        return min(untried, key=lambda e: (e.in_flight, e.instance.name), default=None)


class UnlimitedRetry:
    """Retries each failed attempt immediately, up to ``MAX_ATTEMPTS``, without a budget."""

    def count_first_attempt(self, request: Request) -> None:
        pass

    def next_delay_s(
        self, request: Request, *, attempts: int, outcome: AttemptOutcome
    ) -> float | None:
        return 0.0 if attempts < MAX_ATTEMPTS else None


@dataclass(slots=True, kw_only=True)
class _TargetSlots:
    instance: Instance
    in_flight: int = 0


class FirstComeFirstServed:
    """An unbounded queue in order of arrival, shared by all classes and services."""

    def __init__(
        self, *, members: dict[str, Instance], entry_count: Callable[[], int], rng: random.Random
    ) -> None:
        self._targets = {name: _TargetSlots(instance=entry) for name, entry in members.items()}
        self._entries = entry_count
        self._rng = rng
        self._queue: deque[tuple[Request, asyncio.Future]] = deque()
        self._next = 0

    async def acquire(self, request: Request, *, tried: frozenset[str]) -> Result[Grant, Failure]:
        grant = None if self._queue else self._grant(request)
        if grant is not None:
            return Success(grant)
        loop = asyncio.get_running_loop()
        answer: asyncio.Future = loop.create_future()
        self._queue.append((request, answer))
        timer = loop.call_at(request.deadline_s, self._expire, answer)
        try:
            return await answer
        finally:
            timer.cancel()

    def release(self, grant: Grant, outcome: AttemptOutcome, *, duration_s: float) -> None:
        self._targets[grant.target.instance].in_flight -= 1
        while self._queue and self._queue[0][1].done():
            self._queue.popleft()
        if self._queue:
            request, answer = self._queue.popleft()
            answer.set_result(Success(self._grant(request)))

    def _grant(self, request: Request) -> Grant | None:
        slots_per_entry = max(
            1, next(iter(self._targets.values())).instance.slots // self._entries()
        )
        free = [
            target_slots
            for target_slots in self._targets.values()
            if target_slots.in_flight < slots_per_entry
        ]
        if not free:
            return None
        target_slots = self._rng.choice(free)
        target_slots.in_flight += 1
        self._next += 1
        target = Target(
            instance=target_slots.instance.name,
            address=target_slots.instance.address,
            data_centre=target_slots.instance.data_centre,
        )
        return Grant(grant_id=self._next, request_id=request.request_id, target=target)

    def _expire(self, answer: asyncio.Future) -> None:
        if not answer.done():
            failure = Failure(kind=ErrorKind.DEADLINE_EXCEEDED, reason="late")
            answer.set_result(Err(failure))
