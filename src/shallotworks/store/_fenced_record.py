"""A record that only the current holder of a lease can write."""

from __future__ import annotations

from returns.result import Success

from shallotworks.logs import StructuredLog

from ._held_lease import HeldLease
from ._protocols import Commit, Condition, Conflicted, Item, Store, Write

__all__ = ["FencedRecord"]

MAX_ATTEMPTS = 2
"""A write that conflicts with an earlier write of the same holder is repeated with its revision."""


class FencedRecord:
    """The latest record of a lease holder under one key; allows one write at a time.

    A write whose answer was lost may be carried out seconds later, and must not replace the value
    of a newer write. So each write requires the revision of the previous one, and the value of a
    write without an answer counts as possible until a later write is confirmed or the record is
    read again.

    Args:
        key: The key.
        lease: The lease whose holder writes the record.
        store: The store.
        log: Receives conflicts with earlier writes that were carried out after all.
    """

    __slots__ = ("_key", "_lease", "_log", "_revision", "_store", "unconfirmed_values", "value")

    def __init__(self, *, key: str, lease: HeldLease, store: Store, log: StructuredLog) -> None:
        self._key = key
        self._lease = lease
        self._store = store
        self._log = log
        self._revision = 0
        self.value: bytes | None = None
        """Last value known to be stored, apart from `unconfirmed_values`; ``None`` if none is."""
        self.unconfirmed_values: list[bytes] = []
        """Values of writes in flight or without an answer, which may be stored instead."""

    async def read(self) -> bool:
        """Read the stored record; return whether the store answered."""
        outcome = await self._store.get(self._key)
        if not isinstance(outcome, Success):
            return False
        item = outcome.unwrap()
        if item is not None:
            self._set_known(item)
        return True

    def possible_values(self) -> list[bytes]:
        """Return all values that may be stored."""
        known = [] if self.value is None else [self.value]
        return known + self.unconfirmed_values

    async def put(self, value: bytes) -> bool:
        """Write a value unless it is known to be stored; return whether it is stored now."""
        if value == self.value and not self.unconfirmed_values:
            return True
        for _ in range(MAX_ATTEMPTS):
            self.unconfirmed_values.append(value)
            outcome = await self._store.commit(
                Commit(conditions=self._conditions, writes=(Write(key=self._key, value=value),))
            )
            if not isinstance(outcome, Success):
                return False
            committed = outcome.unwrap()
            if not isinstance(committed, Conflicted):
                self.value, self._revision = value, committed.revision
                self.unconfirmed_values.clear()
                return True
            if not self._handle_conflict(committed):
                return False
        return False

    async def delete(self) -> bool:
        """Delete the record; return whether it is known not to be stored."""
        if not self.possible_values():
            if not await self.read():
                return False
            if self.value is None:
                return True
        outcome = await self._store.commit(
            Commit(conditions=self._conditions, deletes=(self._key,))
        )
        if not isinstance(outcome, Success):
            return False
        committed = outcome.unwrap()
        if isinstance(committed, Conflicted) and (
            self._handle_conflict(committed) or self._lease.lost_event.is_set()
        ):
            return False
        self.value, self._revision = None, 0
        self.unconfirmed_values.clear()
        return True

    @property
    def _conditions(self) -> tuple[Condition, Condition]:
        return (self._lease.condition, Condition(key=self._key, revision=self._revision))

    def _set_known(self, item: Item) -> None:
        self.value, self._revision = item.value, item.revision
        self.unconfirmed_values.clear()

    def _handle_conflict(self, conflict: Conflicted) -> bool:
        """Handle a conflicting write.

        If the lease's key has another revision, the lease is marked as lost. Otherwise the stored
        record becomes the known one.

        Returns:
            Whether the write may be repeated: the lease is still held, and the record exists.
        """
        current = {item.key: item for item in conflict.current}
        held_item = current.get(self._lease.key)
        if held_item is None or held_item.revision != self._lease.token:
            self._lease.mark_lost("its key has another revision")
            return False
        if self._key in current:
            self._set_known(current[self._key])
        self._log.line("record-conflict", key=self._key, revision=self._revision)
        return self._key in current
