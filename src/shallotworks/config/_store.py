"""The configuration log: proposing changes, following it, and keeping it bounded."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Change, FleetState, apply
from shallotworks.kv import KeyValueStore
from shallotworks.metrics import Metrics
from shallotworks.timeline import EventKind, Subject, Timeline

from ._backoff import backoff_s
from ._compactor import Compactor
from ._history import read_entries, state_at
from ._log_reader import LogReader
from ._proposer import Proposer
from ._protocols import Accepted
from ._replica import Replica
from ._restore import restore
from ._undo import undo

__all__ = ["ConfigStore"]

PROPOSE_DEADLINE_S = 8.0
IDLE_POLL_S = 0.5
"""How often a process that need not watch looks whether it must."""
REGRESSED_RECHECK_S = 3.0
"""How often a watcher looks whether a store that came back empty or older agrees again."""
LOG_CHECK_INTERVAL_S = 60.0
"""How often a watcher reads the end of the log, to see whether the store still agrees."""
MIN_WATCH_ROUND_S = 0.05
"""Least time of a round of the watch that brought nothing, so that no fault makes it spin."""


class ConfigStore(Replica):
    """Implements `ConfigView`, `ConfigLog` and `ConfigReplica` over the platform's service.

    A change costs two calls where nothing is amiss: the entry is created, and read back together
    with the one before it. Each lost race costs two more, and a process that has not heard for
    some minutes what the newest revision is reads first.

    Args:
        store: The platform's key-value service.
        metrics: Where events are counted, under ``config``.
        timeline: Where accepted changes and faults are recorded.
        wall_clock_s: Returns the Unix time, for the entries.
        rng: Source of jitter and of change ids; never shared by two processes.
        compactor: Keeps the log bounded; the default where not given.
    """

    __slots__ = (
        "_compacting",
        "_compactor",
        "_propose_lock",
        "_proposer",
        "_reader",
        "_rng",
        "_store",
    )

    def __init__(
        self,
        *,
        store: KeyValueStore,
        metrics: Metrics,
        timeline: Timeline,
        wall_clock_s: Callable[[], float],
        rng: random.Random,
        compactor: Compactor | None = None,
    ) -> None:
        super().__init__(metrics=metrics, timeline=timeline)
        self._store = store
        self._rng = rng
        self._compactor = compactor or Compactor(store=store, metrics=metrics)
        self._reader = LogReader(store=store, replica=self, metrics=metrics)
        self._proposer = Proposer(
            store=store,
            replica=self,
            reader=self._reader,
            metrics=metrics,
            wall_clock_s=wall_clock_s,
            rng=rng,
        )
        self._propose_lock = asyncio.Lock()
        self._compacting: asyncio.Task[None] | None = None

    async def load(self) -> Result[int, Failure]:
        """Bring the state to the store's newest revision.

        At a start call `install_snapshot` with what peers hold first: a store that has come back
        older is only recognised by a process that knows of a newer revision.

        Returns:
            The revision held; why the store can't be read; ``STORE_REGRESSED``.
        """
        outcome = await self._reader.read()
        fault = self.fault()
        if isinstance(outcome, Success) and fault is not None:
            return Err(fault)
        return outcome

    async def run_watch(self, *, should_watch: Callable[[], bool]) -> None:
        """Follow the log while told to, until cancelled.

        Args:
            should_watch: Asked before each watch; only few processes of a data centre need to.
        """
        loop = asyncio.get_running_loop()
        failures = 0
        # After a start, an outage or a time without a watch the store may have come back older. A
        # watch alone would not show that once its counter has grown again, so the first look is a
        # read, and one now and then.
        checked_at_s = -math.inf
        while True:
            if not should_watch():
                checked_at_s = -math.inf
                await asyncio.sleep(IDLE_POLL_S)
                continue
            started_s = loop.time()
            held = self.revision()
            if started_s - checked_at_s > LOG_CHECK_INTERVAL_S:
                followed = await self.load()
                checked_at_s = started_s
            else:
                followed = await self._reader.follow()
            if not isinstance(followed, Success) or self.fault() is not None:
                checked_at_s = -math.inf
            if isinstance(followed, Success):
                failures = 0
                if self.revision() == held and loop.time() - started_s < MIN_WATCH_ROUND_S:
                    await asyncio.sleep(MIN_WATCH_ROUND_S)
                continue
            failures += 1
            await asyncio.sleep(self._retry_delay_s(followed.failure(), failures))

    async def propose(self, change: Change, *, author: str) -> Result[Accepted, Failure]:
        """Append one change; see `ConfigLog.propose`.

        Besides what that names, ``STORE_REGRESSED`` where the store has come back empty, older or
        with another history.
        """
        started_s = asyncio.get_running_loop().time()
        ends_at_s = started_s + PROPOSE_DEADLINE_S
        try:
            async with asyncio.timeout_at(ends_at_s):
                await self._propose_lock.acquire()
        except TimeoutError:
            return Err(_unavailable("earlier changes of this process took all the time"))
        try:
            outcome = await self._proposer.propose(change, author=author, ends_at_s=ends_at_s)
        finally:
            self._propose_lock.release()
        self._record_proposal(outcome, author, asyncio.get_running_loop().time() - started_s)
        return outcome

    async def state_at(self, revision: int) -> Result[FleetState, Failure]:
        """Return the state at a revision; ``NOT_FOUND`` where it is not kept any more."""
        if revision == self.revision():
            return Success(self.state())
        return await state_at(self._store, revision)

    async def revert_revision(self, revision: int, *, author: str) -> Result[Accepted, Failure]:
        """Take the change of a revision back, as a new revision.

        Returns:
            As `propose`; ``NOT_FOUND`` where the revision is not kept any more; as
            `shallotworks.config.undo` where it can't be taken back.
        """
        listed = await read_entries(self._store, after=revision - 1, limit=1)
        before = await state_at(self._store, revision - 1)
        if not isinstance(listed, Success) or not isinstance(before, Success):
            return Err((before if isinstance(listed, Success) else listed).failure())
        entry = next(iter(listed.unwrap()), None)
        if entry is None or entry.revision != revision:
            reason = f"the change of revision {revision} is not kept any more"
            return Err(Failure(kind=ErrorKind.NOT_FOUND, reason=reason))
        after = apply(before.unwrap(), entry.change)
        if not isinstance(after, Success):
            return Err(after.failure())
        change = undo(
            entry.change, before=before.unwrap(), after=after.unwrap(), newest=self.state()
        )
        if not isinstance(change, Success):
            return Err(change.failure())
        return await self.propose(change.unwrap(), author=author)

    async def restore_store(self) -> Result[int, Failure]:
        """Bring a store that came back empty or older to the revision held here.

        Only ever at an operator's word, and at the process with the highest revision. The log then
        goes on from there.

        Returns:
            The revision; ``CONFLICT`` where the store lacks nothing, or a newer revision than the
            one held here is known; ``STORE_REGRESSED`` where the store has another history.
        """
        read = await self._reader.read()
        if not isinstance(read, Success):
            return read
        if self.newest_known_revision() > self.revision():
            reason = (
                f"another process holds revision {self.newest_known_revision()}; restore from there"
            )
            return Err(Failure(kind=ErrorKind.CONFLICT, reason=reason))
        restored = await restore(self._store, self)
        if not isinstance(restored, Success):
            return restored
        self._metrics.count("config.store-restored")
        return await self.load()

    async def close(self) -> None:
        """End what runs in the background."""
        if self._compacting is not None:
            self._compacting.cancel()
            await asyncio.gather(self._compacting, return_exceptions=True)

    def _retry_delay_s(self, failure: Failure, failures: int) -> float:
        if failure.kind is not ErrorKind.STORE_UNAVAILABLE:
            return self._rng.uniform(REGRESSED_RECHECK_S / 2, REGRESSED_RECHECK_S)
        min_delay_s = failure.retry_after_s or 0.0
        return max(min_delay_s, backoff_s(self._rng, failures))

    def _record_proposal(
        self, outcome: Result[Accepted, Failure], author: str, duration_s: float
    ) -> None:
        self._metrics.observe_s("latency.config.propose", duration_s)
        if not isinstance(outcome, Success):
            self._metrics.count(f"config.refused.{outcome.failure().kind.value}")
            return
        accepted = outcome.unwrap()
        self._metrics.count("config.accepted")
        self._timeline.record(
            EventKind.CHANGE_ACCEPTED,
            subject=Subject(),
            detail=f"revision {accepted.revision} by {author}",
            duration_s=duration_s,
        )
        self._compact_if_due(accepted.revision)

    def _compact_if_due(self, revision: int) -> None:
        busy = self._compacting is not None and not self._compacting.done()
        if self._compactor.is_due(revision) and not busy:
            self._compacting = asyncio.create_task(self._compact())

    async def _compact(self) -> None:
        await self._compactor.compact(self.snapshot())


def _unavailable(why: str) -> Failure:
    return Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason=why, retry_after_s=1.0)
