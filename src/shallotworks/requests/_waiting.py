"""The requests that wait, each in its service's queue or parked with its team."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._loads import ClassLoad, TeamLoad
from ._messages import Request
from ._pool import PoolState
from ._queue import Waiter

__all__ = ["WaitingRequests"]


class WaitingRequests:
    """Knows every waiting request by its id, and keeps the counts that each is part of.

    Args:
        on_expired: Called with a waiter at the last moment at which it could be started.
    """

    __slots__ = ("_next_sequence", "_on_expired", "_waiters")

    def __init__(self, *, on_expired: Callable[[Waiter], None]) -> None:
        self._on_expired = on_expired
        self._waiters: dict[str, Waiter] = {}
        self._next_sequence = 1

    def __len__(self) -> int:
        return len(self._waiters)

    def find(self, request_id: str) -> Waiter | None:
        """Return the waiter of a request."""
        return self._waiters.get(request_id)

    def all(self) -> list[Waiter]:
        """Return every waiter, in order of arrival."""
        return list(self._waiters.values())

    def add(
        self,
        request: Request,
        *,
        pool: PoolState,
        load: ClassLoad,
        team: TeamLoad | None,
        tried: frozenset[str],
        expires_at_s: float,
    ) -> Waiter:
        """Let a request wait until a time at the latest."""
        loop = asyncio.get_running_loop()
        waiter = Waiter(
            request=request,
            tried=tried,
            sequence=self._next_sequence,
            pool=pool,
            load=load,
            team=team,
            grant_future=loop.create_future(),
        )
        self._next_sequence += 1
        self._waiters[request.request_id] = waiter
        waiter.timer = loop.call_at(expires_at_s, self._on_expired, waiter)
        pool.waiting += 1
        load.waiting += 1
        if team is not None:
            team.waiting += 1
        if team is not None and not team.has_room:
            team.parked.add(waiter)
        else:
            self.queue(waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Let a request wait no more; without effect where it has left."""
        if self._waiters.get(waiter.request.request_id) is not waiter:
            return
        self.unqueue(waiter)
        del self._waiters[waiter.request.request_id]
        waiter.pool.waiting -= 1
        waiter.load.waiting -= 1
        if waiter.team is not None:
            waiter.team.waiting -= 1
        if waiter.timer is not None:
            waiter.timer.cancel()

    def queue(self, waiter: Waiter) -> None:
        """Put a waiter into its service's queue."""
        waiter.load.queue.add(waiter)
        waiter.pool.count_queued(waiter.load, 1)

    def unqueue(self, waiter: Waiter) -> None:
        """Take a waiter out of wherever it stands; it goes on waiting."""
        queue = waiter.queue
        if queue is None:
            return
        queue.remove(waiter)
        if queue is waiter.load.queue:
            waiter.pool.count_queued(waiter.load, -1)

    def park(self, waiter: Waiter, team: TeamLoad) -> None:
        """Keep a queued waiter with its team until that holds less."""
        self.unqueue(waiter)
        team.parked.add(waiter)
