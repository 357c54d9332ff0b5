"""The store of the users' platform in memory, with fault injection."""

from __future__ import annotations

import asyncio
import contextlib
import random
from bisect import bisect_right
from dataclasses import dataclass

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.store import (
    Changes,
    Commit,
    Committed,
    Condition,
    Conflicted,
    Deletion,
    Item,
    Page,
    Write,
)

__all__ = ["RecordFaults", "RecordStore", "FaultInjectingStore"]

MAX_PAGE_ITEMS = 500
CALL_LATENCY_S = 0.004
WATCH_TIMEOUT_MARGIN_S = 0.6
"""A watch of a silent store fails this long after the end of its wait."""


@dataclass(slots=True, kw_only=True)
class RecordFaults:
    """Faults of the store that affect one caller.

    Args:
        is_down: Every call fails without any effect.
        is_silent: Every call times out without any effect.
        lost_ratio: Ratio of the commits, other than the late ones, that are applied but not
            answered.
        late_ratio: Ratio of the commits that are not answered and are applied ``late_delay_s``
            later.
        late_delay_s: Delay of these commits.
        delay_s: Latency that is added to every call.
    """

    is_down: bool = False
    is_silent: bool = False
    lost_ratio: float = 0.0
    late_ratio: float = 0.0
    late_delay_s: float = 2.0
    delay_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class _Lease:
    ttl_s: float
    ends_at_s: float


class RecordStore:
    """The store's data and leases on the event loop's clock.

    Each caller accesses it through a `FaultInjectingStore` of its own.

    Args:
        rng: Draws which commits are late and which answers are lost.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.commits = 0
        self.are_leases_paused = False
        self._paused_at_s = 0.0
        self._history: list[Item | Deletion] = []
        self._compacted_revision = 0
        self._leases: dict[int, _Lease] = {}
        self._last_lease_id = 0
        self._state_changed = asyncio.Event()

    # ---- direct access for tests

    def put(self, key: str, value: bytes) -> None:
        """Write a key without a condition or a lease, as an operator or a worker does."""
        self._write(Write(key=key, value=value))
        self._wake_watches()

    def delete(self, key: str) -> None:
        """Delete a key without a condition."""
        self._delete(key)
        self._wake_watches()

    def compact_history(self) -> None:
        """Drop all history; watches from earlier revisions return `Changes.is_history_lost`."""
        self._compacted_revision = self.revision
        self._history.clear()
        self._wake_watches()

    def revoke(self, prefix: str) -> None:
        """Delete all leased keys under a prefix without revoking their leases."""
        for key in [key for key, item in self.items.items() if key.startswith(prefix)]:
            if self.items[key].lease_id:
                self._delete(key)
        self._wake_watches()

    def pause_leases(self) -> None:
        """Suspend the expiry of all leases."""
        self.are_leases_paused = True
        self._paused_at_s = asyncio.get_running_loop().time()

    def resume_leases(self) -> None:
        """Resume the expiry of leases, each with the time that remained when it was suspended."""
        self.are_leases_paused = False
        for lease in self._leases.values():
            lease.ends_at_s += asyncio.get_running_loop().time() - self._paused_at_s

    def expire(self) -> None:
        """Revoke the leases that have expired."""
        if self.are_leases_paused:
            return
        now_s = asyncio.get_running_loop().time()
        expired = [lease_id for lease_id, lease in self._leases.items() if lease.ends_at_s <= now_s]
        for lease_id in expired:
            self.revoke_lease(lease_id)

    # ---- calls of a `FaultInjectingStore`

    def read_page(self, prefix: str, after: str) -> Page:
        """Return up to `MAX_PAGE_ITEMS` items under a prefix, in key order."""
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = tuple(self.items[key] for key in keys[:MAX_PAGE_ITEMS])
        return Page(items=items, has_more=len(keys) > MAX_PAGE_ITEMS, revision=self.revision)

    def apply_commit(self, commit: Commit) -> Committed | Conflicted | None:
        """Apply a commit; return ``None`` if a lease that it writes with has ended."""
        self.expire()
        self.commits += 1
        if any(write.lease_id and write.lease_id not in self._leases for write in commit.writes):
            return None
        if not all(self._is_condition_met(condition) for condition in commit.conditions):
            current = [self.items.get(condition.key) for condition in commit.conditions]
            return Conflicted(current=tuple(item for item in current if item is not None))
        self.revision += 1
        for write in commit.writes:
            self._write(write, self.revision)
        for key in commit.deletes:
            if key in self.items:
                self._delete(key, self.revision)
        self._wake_watches()
        return Committed(revision=self.revision)

    def grant_lease(self, ttl_s: float) -> int:
        """Grant a lease."""
        self._last_lease_id += 1
        ends_at_s = asyncio.get_running_loop().time() + ttl_s
        self._leases[self._last_lease_id] = _Lease(ttl_s=ttl_s, ends_at_s=ends_at_s)
        return self._last_lease_id

    def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; return whether it still existed."""
        self.expire()
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        lease.ends_at_s = asyncio.get_running_loop().time() + lease.ttl_s
        return True

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        self._leases.pop(lease_id, None)
        for key in [key for key, item in self.items.items() if item.lease_id == lease_id]:
            self._delete(key)
        self._wake_watches()

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """Return the changes under a prefix, waiting up to ``wait_s`` for the first one."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + wait_s
        while True:
            self.expire()
            if after_revision < self._compacted_revision:
                return Changes(events=(), revision=after_revision, is_history_lost=True)
            # The history is in order of revision.
            first = bisect_right(self._history, after_revision, key=lambda event: event.revision)
            events = tuple(event for event in self._history[first:] if event.key.startswith(prefix))
            if events or loop.time() >= ends_at_s:
                return Changes(events=events, revision=self.revision)
            await self._wait_for_change(min(ends_at_s, self._next_expiry_at_s()) - loop.time())

    def _next_expiry_at_s(self) -> float:
        if self.are_leases_paused:
            return float("inf")
        return min((lease.ends_at_s for lease in self._leases.values()), default=float("inf"))

    async def _wait_for_change(self, max_wait_s: float) -> None:
        state_changed = self._state_changed
        # `asyncio.wait_for` would lose a cancellation that arrives together with the event.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.001, max_wait_s)):
                await state_changed.wait()

    def _is_condition_met(self, condition: Condition) -> bool:
        item = self.items.get(condition.key)
        return condition.revision == (item.revision if item is not None else 0)

    def _write(self, write: Write, revision: int | None = None) -> None:
        if revision is None:
            self.revision += 1
            revision = self.revision
        earlier = self.items.get(write.key)
        item = Item(
            key=write.key,
            value=write.value,
            revision=revision,
            created=earlier.created if earlier is not None else revision,
            lease_id=write.lease_id,
        )
        self.items[write.key] = item
        self._history.append(item)

    def _delete(self, key: str, revision: int | None = None) -> None:
        if revision is None:
            self.revision += 1
            revision = self.revision
        del self.items[key]
        self._history.append(Deletion(key=key, revision=revision))

    def _wake_watches(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()


class FaultInjectingStore:
    """Implements `Store` for one instance, with faults between it and the store.

    Args:
        store: The store that the calls act on.
        faults: Faults that affect this instance; no faults if omitted.
        timeout_s: Time after which a call that is not answered fails.
    """

    def __init__(
        self, *, store: RecordStore, faults: RecordFaults | None = None, timeout_s: float = 0.8
    ) -> None:
        self.store = store
        self.faults = faults or RecordFaults()
        self._timeout_s = timeout_s
        self._delayed_commits: set[asyncio.Task[None]] = set()

    async def get(self, key: str) -> Result[Item | None, Failure]:
        """Return the item of a key; ``None`` if it does not exist."""
        failure = await self._simulate_call()
        return Err(failure) if failure else Success(self.store.items.get(key))

    async def read_page(self, prefix: str, *, after: str = "") -> Result[Page, Failure]:
        """Return a page of the items under a prefix."""
        failure = await self._simulate_call()
        return Err(failure) if failure else Success(self.store.read_page(prefix, after))

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Result[Changes, Failure]:
        """Return the changes under a prefix, waiting up to ``wait_s`` for the first one."""
        failure = await self._simulate_call(no_answer_s=wait_s + WATCH_TIMEOUT_MARGIN_S)
        if failure:
            return Err(failure)
        changes = await self.store.watch(prefix, after_revision, wait_s)
        if self.faults.is_down or self.faults.is_silent:
            return Err(_unavailable("the store became unavailable during the watch"))
        return Success(changes)

    async def commit(self, commit: Commit) -> Result[Committed | Conflicted, Failure]:
        """Apply a commit."""
        failure = await self._simulate_call()
        if failure:
            return Err(failure)
        if self.store.rng.random() < self.faults.late_ratio:
            task = asyncio.create_task(self._commit_after_delay(commit))
            self._delayed_commits.add(task)
            task.add_done_callback(self._delayed_commits.discard)
            await asyncio.sleep(self._timeout_s)
            return Err(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason="the store did not answer"))
        outcome = self.store.apply_commit(commit)
        if self.store.rng.random() < self.faults.lost_ratio:
            await asyncio.sleep(self._timeout_s)
            return Err(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason="the answer was lost"))
        if outcome is None:
            return Err(Failure(kind=ErrorKind.LEASE_LOST, reason="a lease of the commit has ended"))
        return Success(outcome)

    async def grant_lease(self, *, ttl_s: float) -> Result[int, Failure]:
        """Grant a lease."""
        failure = await self._simulate_call()
        return Err(failure) if failure else Success(self.store.grant_lease(ttl_s))

    async def renew_lease(self, lease_id: int) -> Result[None, Failure]:
        """Renew a lease; ``LEASE_LOST`` if it has ended."""
        failure = await self._simulate_call()
        if failure:
            return Err(failure)
        if not self.store.renew_lease(lease_id):
            return Err(Failure(kind=ErrorKind.LEASE_LOST, reason="the lease has ended"))
        return Success(None)

    async def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """Revoke a lease and delete its keys."""
        failure = await self._simulate_call()
        if failure:
            return Err(failure)
        self.store.revoke_lease(lease_id)
        return Success(None)

    async def _commit_after_delay(self, commit: Commit) -> None:
        await asyncio.sleep(self.faults.late_delay_s)
        self.store.apply_commit(commit)

    async def _simulate_call(self, no_answer_s: float | None = None) -> Failure | None:
        await asyncio.sleep(CALL_LATENCY_S + self.faults.delay_s)
        if self.faults.is_silent:
            await asyncio.sleep(no_answer_s or self._timeout_s)
            return _unavailable("the store did not answer")
        return _unavailable("down") if self.faults.is_down else None


def _unavailable(reason: str) -> Failure:
    return Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason=reason)
