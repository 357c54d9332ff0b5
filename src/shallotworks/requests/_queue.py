"""Queues of requests that wait for a slot."""

from __future__ import annotations

import asyncio
import heapq
from typing import TYPE_CHECKING

from returns.result import Result

from shallotworks.errors import Failure

from ._messages import Grant, Request

if TYPE_CHECKING:
    from ._loads import ClassLoad, TeamLoad
    from ._pool import PoolState

__all__ = ["WaitQueue", "Waiter"]

MAX_EXTRA_STALE_ENTRIES = 64

_HeapEntry = tuple[float, int, int, "Waiter"]
"""Deadline, sequence number, generation, waiter. A tuple, since tuples are compared in C code.

The heap for the latest deadline contains the negated deadline and sequence number."""


class Waiter:
    """One waiting request, in at most one queue at a time.

    Attributes:
        request: The request.
        tried: Names of instances that earlier attempts used.
        sequence: Sequence number in order of arrival.
        pool: The pool that it waits at.
        load: Load of its service and class.
        team: Load of its team, if it has one.
        grant_future: Resolved with the grant or the refusal.
        timer: Fires when the request may no longer be started.
        queue: The queue that contains it, if any.
        generation: Number of times it has left a queue; older heap entries are stale.
    """

    __slots__ = (
        "generation",
        "grant_future",
        "load",
        "pool",
        "queue",
        "request",
        "sequence",
        "team",
        "timer",
        "tried",
    )

    def __init__(
        self,
        *,
        request: Request,
        tried: frozenset[str],
        sequence: int,
        pool: PoolState,
        load: ClassLoad,
        team: TeamLoad | None,
        grant_future: asyncio.Future[Result[Grant, Failure]],
    ) -> None:
        self.request = request
        self.tried = tried
        self.sequence = sequence
        self.pool = pool
        self.load = load
        self.team = team
        self.grant_future = grant_future
        self.timer: asyncio.TimerHandle | None = None
        self.queue: WaitQueue | None = None
        self.generation = 0


class WaitQueue:
    """Waiting requests ordered by deadline, with access to the first and the last.

    Adding costs O(log n). Removing a waiter leaves stale entries in the heaps, which are dropped
    when they reach the top or when a heap is compacted because it contains too many of them. Each
    of thousands of cancellations therefore costs amortised O(1).

    Attributes:
        count: Number of waiters in the queue.
    """

    __slots__ = ("_first", "_last", "count")

    def __init__(self) -> None:
        self._first: list[_HeapEntry] = []
        self._last: list[_HeapEntry] = []
        self.count = 0

    def add(self, waiter: Waiter) -> None:
        """Add a waiter that is in no queue."""
        deadline_s = waiter.request.deadline_s
        heapq.heappush(self._first, (deadline_s, waiter.sequence, waiter.generation, waiter))
        heapq.heappush(self._last, (-deadline_s, -waiter.sequence, waiter.generation, waiter))
        waiter.queue = self
        self.count += 1

    def first(self) -> Waiter | None:
        """Return the waiter with the earliest deadline."""
        return _head(self._first)

    def last(self) -> Waiter | None:
        """Return the waiter with the latest deadline."""
        return _head(self._last)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that is in this queue."""
        waiter.generation += 1
        waiter.queue = None
        self.count -= 1
        if len(self._first) > 2 * self.count + MAX_EXTRA_STALE_ENTRIES:
            self._first = _compacted(self._first)
        if len(self._last) > 2 * self.count + MAX_EXTRA_STALE_ENTRIES:
            self._last = _compacted(self._last)


def _head(heap: list[_HeapEntry]) -> Waiter | None:
    while heap and heap[0][2] != heap[0][3].generation:
        heapq.heappop(heap)
    return heap[0][3] if heap else None


def _compacted(heap: list[_HeapEntry]) -> list[_HeapEntry]:
    kept = [entry for entry in heap if entry[2] == entry[3].generation]
    heapq.heapify(kept)
    return kept
