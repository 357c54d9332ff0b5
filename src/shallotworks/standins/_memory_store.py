"""The platform's key-value service in memory, with fault injection."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from dataclasses import dataclass
from typing import TypeVar

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import Lease, Versioned, WatchResult

__all__ = ["MAX_VALUE_BYTES", "MemoryStore", "StoreFaults"]

MAX_VALUE_BYTES = 1_000_000
MAX_UNDO_ENTRIES = 10_000
"""Number of the latest writes and deletions that `MemoryStore.roll_back_to` can undo."""
MAX_TOMBSTONES = 10_000
"""Number of the latest deleted keys that a watch can report."""

_Value = TypeVar("_Value")


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """The active faults of a `MemoryStore`.

    Args:
        down: Every call fails without any effect, and waiting watches fail.
        delay_s: Latency of every call, half of it before the call acts and half after, so that a
            caller that times out can't know whether a write took effect. A watch has only the
            first half.
        stale: Reads and watches see the store as it was when `MemoryStore.set_faults` switched
            this fault on.
        lost_answers: Number of the next calls for writes, deletions and leases that act as usual
            but fail with ``OUTCOME_UNKNOWN``. The store decrements it in place.
    """

    down: bool = False
    delay_s: float = 0.0
    stale: bool = False
    lost_answers: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Record:
    item: Versioned
    lease_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class _UndoEntry:
    version: int
    key: str
    before: _Record | None


@dataclass(slots=True, kw_only=True)
class _GrantedLease:
    ttl_s: float
    expires_at_s: float
    keys: set[str]


class MemoryStore:
    """Implements `shallotworks.kv.KeyValueStore` on the event loop's clock.

    Attributes:
        faults: The active faults.
        calls: Number of calls so far, by the name of the call; a waiting watch counts once.
    """

    __slots__ = (
        "_faults",
        "_leases",
        "_next_lease",
        "_records",
        "_stale_state",
        "_tombstones",
        "_undo",
        "_version",
        "_watch_wakeups",
        "calls",
    )

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self._faults = StoreFaults()
        self._version = 0
        self._next_lease = 1
        self._records: dict[str, _Record] = {}
        self._stale_state: tuple[int, dict[str, _Record]] | None = None
        self._tombstones: dict[str, int] = {}
        self._undo: deque[_UndoEntry] = deque(maxlen=MAX_UNDO_ENTRIES)
        self._leases: dict[str, _GrantedLease] = {}
        self._watch_wakeups: set[asyncio.Event] = set()

    @property
    def faults(self) -> StoreFaults:
        """The active faults."""
        return self._faults

    @property
    def version(self) -> int:
        """The version of the last write; grants of leases and deletions raise it, too."""
        return self._version

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the active faults, and wake all watches so that they check for an outage."""
        if not faults.stale:
            self._stale_state = None
        elif self._stale_state is None:
            self._stale_state = (self._version, dict(self._records))
        self._faults = faults
        self._wake_watches()

    def wipe(self) -> None:
        """Remove every key and lease and reset the version, like a newly installed store."""
        self._version = 0
        self._records.clear()
        self._tombstones.clear()
        self._undo.clear()
        self._leases.clear()
        self._wake_watches()

    def roll_back_to(self, version: int) -> None:
        """Undo every write and deletion after a version, like a store restored from a backup."""
        while self._undo and self._undo[-1].version > version:
            undo = self._undo.pop()
            if undo.before is None:
                self._records.pop(undo.key, None)
            else:
                self._records[undo.key] = undo.before
        self._version = min(self._version, version)
        self._tombstones = {k: at for k, at in self._tombstones.items() if at <= version}
        self._wake_watches()

    async def get(self, key: str) -> Result[Versioned | None, Failure]:
        """Return the item of a key; ``None`` if it does not exist."""
        self.calls["get"] += 1
        if not await self._begin_call():
            return _unavailable()
        record = self._visible_state()[1].get(key)
        await self._delay_answer()
        return Success(record.item if record is not None else None)

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int = 1000
    ) -> Result[tuple[Versioned, ...], Failure]:
        """Return the items under a prefix in key order, starting after ``after_key``."""
        self.calls["list"] += 1
        if not await self._begin_call():
            return _unavailable()
        records = self._visible_state()[1]
        keys = sorted(key for key in records if key.startswith(prefix) and key > after_key)
        items = tuple(records[key].item for key in keys[:limit])
        await self._delay_answer()
        return Success(items)

    async def create(self, key: str, value: bytes, *, lease_id: str = "") -> Result[int, Failure]:
        """Create a key and return its version; ``CONFLICT`` if the key exists."""
        self.calls["create"] += 1
        if not await self._begin_call():
            return _unavailable()
        return await self._finish_write(self._create(key, value, lease_id))

    async def compare_and_swap(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, Failure]:
        """Write a key and return its new version; ``CONFLICT`` if it has another version."""
        self.calls["swap"] += 1
        if not await self._begin_call():
            return _unavailable()
        return await self._finish_write(self._swap(key, value, version))

    async def delete(self, key: str, *, version: int) -> Result[None, Failure]:
        """Delete a key; ``CONFLICT`` if it has another version."""
        self.calls["delete"] += 1
        if not await self._begin_call():
            return _unavailable()
        record = self._records.get(key)
        if record is None or record.item.version != version:
            return await self._finish_write(_conflict(key))
        self._remove(key)
        return await self._finish_write(Success(None))

    async def watch(
        self, prefix: str, *, after_version: int, wait_s: float
    ) -> Result[WatchResult, Failure]:
        """Return the changes under a prefix after a version, waiting up to ``wait_s`` for one.

        If the store's version is below ``after_version``, the watch returns at once: the store was
        wiped or rolled back.
        """
        self.calls["watch"] += 1
        if not await self._begin_call():
            return _unavailable()
        wait_ends_at_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if self._faults.down:
                return _unavailable()
            self._expire_leases()
            result = self._changes_after(prefix, after_version)
            if result.items or result.deleted or result.version < after_version:
                return Success(result)
            if not await self._wait_for_write(wait_ends_at_s):
                return Success(result)

    async def grant_lease(self, *, ttl_s: float) -> Result[Lease, Failure]:
        """Grant a new lease."""
        self.calls["grant_lease"] += 1
        if not await self._begin_call():
            return _unavailable()
        self._version += 1
        lease = Lease(
            lease_id=f"lease-{self._next_lease}", ttl_s=ttl_s, fencing_token=self._version
        )
        self._next_lease += 1
        held = _GrantedLease(ttl_s=ttl_s, expires_at_s=0.0, keys=set())
        self._leases[lease.lease_id] = held
        self._extend_lease(held)
        return await self._finish_write(Success(lease))

    async def renew_lease(self, lease_id: str) -> Result[None, Failure]:
        """Renew a lease; ``LEASE_LOST`` if it has expired or was revoked."""
        self.calls["renew_lease"] += 1
        if not await self._begin_call():
            return _unavailable()
        held = self._leases.get(lease_id)
        if held is None:
            return await self._finish_write(_lease_lost(lease_id))
        self._extend_lease(held)
        return await self._finish_write(Success(None))

    async def revoke_lease(self, lease_id: str) -> Result[None, Failure]:
        """Revoke a lease and delete its keys."""
        self.calls["revoke_lease"] += 1
        if not await self._begin_call():
            return _unavailable()
        self._remove_lease(lease_id)
        return await self._finish_write(Success(None))

    async def _begin_call(self) -> bool:
        # Lets other tasks run before each call acts, as network latency would.
        await asyncio.sleep(self._faults.delay_s / 2)
        self._expire_leases()
        return not self._faults.down

    async def _delay_answer(self) -> None:
        if self._faults.delay_s:
            await asyncio.sleep(self._faults.delay_s / 2)

    async def _finish_write(self, outcome: Result[_Value, Failure]) -> Result[_Value, Failure]:
        lost = self._faults.lost_answers > 0
        if lost:
            self._faults.lost_answers -= 1
        await self._delay_answer()
        if lost:
            return Err(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason="the answer was lost"))
        return outcome

    def _visible_state(self) -> tuple[int, dict[str, _Record]]:
        return (
            self._stale_state if self._stale_state is not None else (self._version, self._records)
        )

    def _create(self, key: str, value: bytes, lease_id: str) -> Result[int, Failure]:
        if len(value) > MAX_VALUE_BYTES:
            return _too_large(key)
        if key in self._records:
            return _conflict(key)
        if lease_id and lease_id not in self._leases:
            return _lease_lost(lease_id)
        return Success(self._write(key, value, lease_id))

    def _swap(self, key: str, value: bytes, version: int) -> Result[int, Failure]:
        if len(value) > MAX_VALUE_BYTES:
            return _too_large(key)
        record = self._records.get(key)
        if record is None or record.item.version != version:
            return _conflict(key)
        return Success(self._write(key, value, record.lease_id))

    def _write(self, key: str, value: bytes, lease_id: str) -> int:
        self._version += 1
        self._undo.append(_UndoEntry(version=self._version, key=key, before=self._records.get(key)))
        item = Versioned(key=key, value=value, version=self._version)
        self._records[key] = _Record(item=item, lease_id=lease_id)
        self._tombstones.pop(key, None)
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self._wake_watches()
        return self._version

    def _remove(self, key: str) -> None:
        self._version += 1
        record = self._records.pop(key)
        self._undo.append(_UndoEntry(version=self._version, key=key, before=record))
        self._tombstones[key] = self._version
        while len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        if record.lease_id in self._leases:
            self._leases[record.lease_id].keys.discard(key)
        self._wake_watches()

    def _changes_after(self, prefix: str, after_version: int) -> WatchResult:
        version, records = self._visible_state()
        items = [
            record.item
            for key, record in records.items()
            if record.item.version > after_version and key.startswith(prefix)
        ]
        items.sort(key=lambda item: item.version)
        deleted = tuple(
            key
            for key, at in self._tombstones.items()
            if after_version < at <= version and key.startswith(prefix)
        )
        return WatchResult(version=version, items=tuple(items), deleted=deleted)

    async def _wait_for_write(self, wait_ends_at_s: float) -> bool:
        wakeup = asyncio.Event()
        self._watch_wakeups.add(wakeup)
        try:
            async with asyncio.timeout_at(wait_ends_at_s):
                await wakeup.wait()
        except TimeoutError:
            return False
        finally:
            self._watch_wakeups.discard(wakeup)
        return True

    def _wake_watches(self) -> None:
        for wakeup in self._watch_wakeups:
            wakeup.set()

    def _extend_lease(self, held: _GrantedLease) -> None:
        loop = asyncio.get_running_loop()
        held.expires_at_s = loop.time() + held.ttl_s
        # Watches must return the deletions of an expired lease even if no call arrives.
        loop.call_at(held.expires_at_s, self._expire_leases)

    def _expire_leases(self) -> None:
        now_s = asyncio.get_running_loop().time()
        due = [name for name, held in self._leases.items() if held.expires_at_s <= now_s]
        for lease_id in due:
            self._remove_lease(lease_id)

    def _remove_lease(self, lease_id: str) -> None:
        held = self._leases.pop(lease_id, None)
        if held is None:
            return
        for key in sorted(held.keys):
            if key in self._records:
                self._remove(key)


def _unavailable() -> Result[_Value, Failure]:
    return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason="the store is down"))


def _conflict(key: str) -> Result[_Value, Failure]:
    return Err(Failure(kind=ErrorKind.CONFLICT, reason=f"{key} is not as expected"))


def _too_large(key: str) -> Result[_Value, Failure]:
    return Err(Failure(kind=ErrorKind.TOO_LARGE, reason=f"{key}: a value is at most 1 MB"))


def _lease_lost(lease_id: str) -> Result[_Value, Failure]:
    return Err(Failure(kind=ErrorKind.LEASE_LOST, reason=f"{lease_id} has lapsed"))
