"""The record of the workers that may run a service's tasks, which each term leaves to the next."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Success

from shallotworks.logs import LogLines
from shallotworks.store import Commit, Condition, Conflicted, Holder, Item, Store, Write

__all__ = ["Runner", "RunnersRecord", "runners_key"]

UNREADABLE = "unreadable-record"
"""Stands for the workers of a record that can't be read."""
RETRY_S = 0.1
"""Between tries to read the record while the store fails."""


def runners_key(service: str) -> str:
    """Return the key of a service's record."""
    return f"shallotworks/runners/{service}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Runner:
    """A worker that may run tasks of the service.

    Args:
        address: ``ip:port``.
        left_s: Whatever runs there has ended this long after the record was written, since the term
            that wrote it never reached the worker, and gives no orders any more; ``None`` where the
            term may have started tasks.
    """

    address: str
    left_s: float | None = None


class RunnersRecord:
    """The record as the holder of the service's key keeps it.

    The failure that it guards against: a successor that starts a task again while a worker that it
    has never heard of, and can't reach, still runs it. Before a term gives its first order to a
    worker it enters it here; a successor leaves earlier jobs alone until it has seen each worker of
    the record, or their leases have run out.

    Each write demands the record's last known revision: a write whose answer was lost may be
    carried out seconds later, and would take out a worker that was entered meanwhile.

    Args:
        service: The service.
        holder: The held key.
        store: The store.
        log: What the record can't be read for.
    """

    __slots__ = ("_holder", "_key", "_lock", "_log", "_revision", "_store", "runners")

    def __init__(self, *, service: str, holder: Holder, store: Store, log: LogLines) -> None:
        self._key = runners_key(service)
        self._holder = holder
        self._store = store
        self._log = log
        self._revision = 0
        self._lock = asyncio.Lock()
        self.runners: dict[str, Runner] = {}
        """By worker's id, as the store has them."""

    @staticmethod
    def decode(value: bytes) -> dict[str, Runner]:
        """Return what a stored record says, by worker's id."""
        return {
            worker_id: Runner(address=row["address"], left_s=row["left_s"])
            for worker_id, row in json.loads(value).items()
        }

    def may_use(self, worker_id: str) -> bool:
        """Whether tasks may be started on a worker: it is recorded as one that may run them."""
        runner = self.runners.get(worker_id)
        return runner is not None and runner.left_s is None

    async def read(self) -> None:
        """Read what the last term left; tries until the store answers."""
        while not await self._read_once():
            await asyncio.sleep(RETRY_S)

    async def keep(self, wanted: Callable[[], dict[str, Runner]]) -> bool:
        """Write the record where it differs from what is wanted; return whether it stands so.

        Args:
            wanted: Returns the record that should stand; asked when it is this write's turn.
        """
        async with self._lock:
            runners = wanted()
            if runners == self.runners:
                return True
            return await self._write(runners)

    async def _read_once(self) -> bool:
        outcome = await self._store.get(self._key)
        if not isinstance(outcome, Success):
            return False
        item = outcome.unwrap()
        if item is not None:
            self._learn(item)
        return True

    def _learn(self, item: Item) -> None:
        self._revision = item.revision
        try:
            self.runners = self.decode(item.value)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self._log.line("runners-unreadable", key=self._key, reason=repr(error)[:200])
            # Whoever wrote it may have workers that can't be asked: their leases have to run out.
            self.runners = {UNREADABLE: Runner(address="")}

    async def _write(self, runners: dict[str, Runner]) -> bool:
        outcome = await self._store.commit(
            Commit(
                conditions=(
                    self._holder.condition,
                    Condition(key=self._key, revision=self._revision),
                ),
                writes=(Write(key=self._key, value=_encode(runners)),),
            )
        )
        if not isinstance(outcome, Success):
            return False
        done = outcome.unwrap()
        if isinstance(done, Conflicted):
            self._conflicted(done)
            return False
        self.runners, self._revision = runners, done.revision
        return True

    def _conflicted(self, conflict: Conflicted) -> None:
        """Learn that the key is lost, or that an earlier write of this term was carried out."""
        current = {item.key: item for item in conflict.current}
        own = current.get(self._holder.key)
        if own is None or own.revision != self._holder.token:
            self._holder.lose("its key has another revision")
            return
        self._log.line("runners-written-late", key=self._key, token=self._holder.token)
        if self._key in current:
            self._learn(current[self._key])


def _encode(runners: dict[str, Runner]) -> bytes:
    rows = {
        worker_id: {"address": runner.address, "left_s": runner.left_s}
        for worker_id, runner in runners.items()
    }
    return json.dumps(rows).encode()
