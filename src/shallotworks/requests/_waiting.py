"""Waiting requests, each in its load's queue or parked with its team."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._loads import ClassLoad, TeamLoad
from ._messages import Request
from ._pool import PoolState
from ._queue import Waiter

__all__ = ["WaitingRequests"]


class WaitingRequests:
    """Waiting requests by id, with the counters of their pools, loads and teams.

    Args:
        on_expired: Called with a waiter whose request may no longer be started.
    """

    __slots__ = ("_next_sequence", "_on_expired", "_waiters")

    def __init__(self, *, on_expired: Callable[[Waiter], None]) -> None:
        self._on_expired = on_expired
        self._waiters: dict[str, Waiter] = {}
        self._next_sequence = 1

    def __len__(self) -> int:
        return len(self._waiters)

    def find(self, request_id: str) -> Waiter | None:
        """Return the waiter of a request, if it waits."""
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
        """Add a request that may wait until an event loop time."""
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
        """Remove a waiter; has no effect if it was removed before."""
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
        """Add a waiter to its load's queue."""
        waiter.load.queue.add(waiter)
        waiter.pool.count_queued(waiter.load, 1)

    def unqueue(self, waiter: Waiter) -> None:
        """Remove a waiter from its queue; it stays a waiting request."""
        queue = waiter.queue
        if queue is None:
            return
        queue.remove(waiter)
        if queue is waiter.load.queue:
            waiter.pool.count_queued(waiter.load, -1)

    def park(self, waiter: Waiter, team: TeamLoad) -> None:
        """Move a queued waiter to its team until the team is below its quota again."""
        self.unqueue(waiter)
        team.parked.add(waiter)
