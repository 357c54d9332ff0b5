"""A key that the holder of a duty writes, and nobody else."""

from __future__ import annotations

from returns.result import Success

from shallotworks.logs import StructuredLog

from ._held_lease import HeldLease
from ._protocols import Commit, Condition, Conflicted, Item, Store, Write

__all__ = ["FencedRecord"]

MAX_ATTEMPTS = 2
"""A write that meets an earlier one of the same holder is made again, with that one's revision."""


class FencedRecord:
    """The last word of a duty's holder under one key; one write at a time.

    The failure that it guards against: a write whose answer was lost is carried out seconds later,
    after newer ones, and the older word stands for the last. So each write demands the revision of
    the one before, and what a write without an answer says is held for possible until the next
    one is through.

    Args:
        key: The key.
        lease: The held key of the duty.
        store: The store.
        log: A write that was carried out after all.
    """

    __slots__ = ("_key", "_lease", "_log", "_revision", "_store", "unconfirmed_values", "value")

    def __init__(self, *, key: str, lease: HeldLease, store: Store, log: StructuredLog) -> None:
        self._key = key
        self._lease = lease
        self._store = store
        self._log = log
        self._revision = 0
        self.value: bytes | None = None
        """What the store has, but for what is doubtful; ``None`` before it is known."""
        self.unconfirmed_values: list[bytes] = []
        """What may stand there instead: writes on their way or without an answer."""

    async def read(self) -> bool:
        """Read what stands there; return whether the store answered."""
        outcome = await self._store.get(self._key)
        if not isinstance(outcome, Success):
            return False
        item = outcome.unwrap()
        if item is not None:
            self._set_known(item)
        return True

    def possible_values(self) -> list[bytes]:
        """Return all that may stand there."""
        known = [] if self.value is None else [self.value]
        return known + self.unconfirmed_values

    async def put(self, value: bytes) -> bool:
        """Write, unless the value stands there for certain; return whether it does."""
        if value == self.value and not self.unconfirmed_values:
            return True
        for _ in range(MAX_ATTEMPTS):
            self.unconfirmed_values.append(value)
            outcome = await self._store.commit(
                Commit(
                    conditions=(
                        self._lease.condition,
                        Condition(key=self._key, revision=self._revision),
                    ),
                    writes=(Write(key=self._key, value=value),),
                )
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

    def _set_known(self, item: Item) -> None:
        self.value, self._revision = item.value, item.revision
        self.unconfirmed_values.clear()

    def _handle_conflict(self, conflict: Conflicted) -> bool:
        """Learn what stands there; return whether the duty's key is still its holder's."""
        current = {item.key: item for item in conflict.current}
        held_item = current.get(self._lease.key)
        if held_item is None or held_item.revision != self._lease.token:
            self._lease.mark_lost("its key has another revision")
            return False
        if self._key in current:
            self._set_known(current[self._key])
        self._log.line("record-met", key=self._key, revision=self._revision)
        return self._key in current
