"""The configuration store: proposing changes, watching the log, and compacting it."""

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
from ._protocols import Accepted, RevisionSurvey
from ._replica import Replica
from ._restore import restore
from ._revert import revert_change

__all__ = ["ConfigStore"]

PROPOSE_DEADLINE_S = 8.0
IDLE_POLL_S = 0.5
"""Interval at which a process that does not watch the log checks whether it has to."""
REGRESSED_RECHECK_S = 3.0
"""Longest interval at which a watcher reads a regressed store, to see whether it agrees again."""
LOG_CHECK_INTERVAL_S = 60.0
"""Interval at which a watcher reads the end of the log, to check that the store still agrees."""
MIN_WATCH_ROUND_S = 0.05
"""Least time between two watches if the first returned nothing, so that no fault of the store makes
the watcher spin."""


class ConfigStore(Replica):
    """Implements `ConfigView`, `ConfigLog` and `ConfigReplica` over the platform's service.

    In the normal case a change takes two calls: the entry is created, and it is read back together
    with the entry before it. Each lost race takes two more. A process whose state has not been
    confirmed as the newest for some minutes reads the log first.

    Args:
        store: The platform's key-value service.
        metrics: Counts events, under ``config``.
        timeline: Records accepted changes and faults.
        wall_clock_s: Returns the Unix time, which the entries record.
        rng: Source of jitter and of change ids; two processes must not share it.
        compactor: Keeps the log bounded; ``None`` for one with the default limits.
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

    def connect_peers(self, peers: RevisionSurvey) -> None:
        """Ask these peers, around each write, which revision they hold."""
        self._proposer.connect_peers(peers)

    async def load(self) -> Result[int, Failure]:
        """Bring the state to the store's newest revision.

        At a start, `install_snapshot` with the peers' state has to come first: only a process that
        knows of a newer revision recognises a store that was restored with an older state.

        Returns:
            The newest revision; the store's failure; or the replica's fault, such as
            ``STORE_REGRESSED``.
        """
        outcome = await self._reader.read()
        fault = self.fault()
        if isinstance(outcome, Success) and fault is not None:
            return Err(fault)
        return outcome

    async def run_watch(self, *, should_watch: Callable[[], bool]) -> None:
        """Watch the log and apply its entries, until cancelled.

        Args:
            should_watch: Called before each watch; returns whether this process has to watch, which
                only few processes of a data centre need to.
        """
        loop = asyncio.get_running_loop()
        failures = 0
        # After a start, an outage or a time without a watch, the store may have been restored with
        # an older state. A watch does not show that once the store's counter has grown again.
        # Therefore the first call is a read, and it is repeated at an interval.
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

        In addition this returns ``STORE_REGRESSED`` if the store was restored empty, with an older
        state or with another history.
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
        """Return the state at a revision; ``NOT_FOUND`` if it is not kept or not written yet."""
        if revision == self.revision():
            return Success(self.state())
        return await state_at(self._store, revision)

    async def revert_revision(self, revision: int, *, author: str) -> Result[Accepted, Failure]:
        """Revert the change of a revision by a new revision.

        Returns:
            As `propose`; ``NOT_FOUND`` if the revision is not kept any more; as
            `shallotworks.config.revert_change` if no change reverts it.
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
        change = revert_change(
            entry.change, before=before.unwrap(), after=after.unwrap(), newest=self.state()
        )
        if not isinstance(change, Success):
            return Err(change.failure())
        return await self.propose(change.unwrap(), author=author)

    async def restore_store(self) -> Result[int, Failure]:
        """Bring a store that was restored empty or with an older state to this process's revision.

        An operator calls this, at the process with the highest revision. The log then continues
        from that revision.

        Returns:
            The revision; ``CONFLICT`` if the store lacks nothing, or a revision newer than this
            process's is known; ``STORE_REGRESSED`` if the store has another history.
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
        """Cancel a compaction that runs in the background."""
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
