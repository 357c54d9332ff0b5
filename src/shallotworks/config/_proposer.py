"""Bringing one change into the log, through lost answers and lost races."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from enum import Enum, unique

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Change, apply
from shallotworks.kv import KeyValueStore
from shallotworks.metrics import Metrics

from ._backoff import backoff_s
from ._entries import Entry
from ._log_reader import LogReader
from ._protocols import Accepted
from ._replica import Replica
from ._snapshots import log_key

__all__ = ["Proposer"]

LOST_RACE_JITTER_S = 0.02
"""A few proposals' time, over which those who lost a race spread their next tries."""
MAX_UNCONFIRMED_AGE_S = 300.0
"""A state known as the newest so recently can't lie behind the entries that are deleted."""
CHANGE_ID_BITS = 96


class Proposer:
    """Appends changes to the log, one at a time.

    Args:
        store: The platform's key-value service.
        replica: What this process holds.
        reader: Reads the log into the replica.
        metrics: Where events are counted, under ``config``.
        wall_clock_s: Returns the Unix time, for the entries.
        rng: Source of jitter and of change ids.
    """

    __slots__ = ("_metrics", "_reader", "_replica", "_rng", "_store", "_wall_clock_s")

    def __init__(
        self,
        *,
        store: KeyValueStore,
        replica: Replica,
        reader: LogReader,
        metrics: Metrics,
        wall_clock_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._replica = replica
        self._reader = reader
        self._metrics = metrics
        self._wall_clock_s = wall_clock_s
        self._rng = rng

    async def propose(
        self, change: Change, *, author: str, ends_at_s: float
    ) -> Result[Accepted, Failure]:
        """Create the entry of the next revision until it is there, another's is, or time is over.

        The failure: an answer is lost, and the entry may or may not have been written, or may yet
        be. The same entry is created again under the same key: whichever attempt takes effect, it
        is the same change at the same revision. Only when another's entry is seen under that key is
        it sure that this one can't take effect there any more, and the next revision is tried.
        """
        proposal = _Proposal(change_id=f"{self._rng.getrandbits(CHANGE_ID_BITS):024x}")
        while True:
            refused = await self._check_change(proposal, change)
            if refused is not None:
                return Err(refused)
            written = await self._create(proposal, change, author)
            if not isinstance(written, Success) and not proposal.is_unresolved:
                return Err(written.failure())
            if written.value_or(_CreateOutcome.SENT) is _CreateOutcome.TAKEN:
                # Losers spread out before they read, not after: what is read is out of date
                # within the time of one proposal, and a winner that goes on would win each time.
                await asyncio.sleep(self._rng.uniform(0, LOST_RACE_JITTER_S))
            held = self._replica.revision()
            await self._reader.read()
            if await self._is_logged(proposal):
                revision = proposal.unresolved_revision
                return Success(Accepted(revision=revision, change_id=proposal.change_id))
            failure_to_return = self._failure_to_return(proposal, ends_at_s)
            if failure_to_return is not None:
                return Err(failure_to_return)
            if self._replica.revision() > held:
                continue
            proposal.failures += 1
            await asyncio.sleep(backoff_s(self._rng, proposal.failures))

    async def _check_change(self, proposal: _Proposal, change: Change) -> Failure | None:
        """Check the change against the newest revision; one that may be written is past that."""
        if proposal.is_unresolved:
            return None
        if self._must_read_first():
            read = await self._reader.read()
            if not isinstance(read, Success):
                return read.failure()
        checked = apply(self._replica.state(), change)
        if not isinstance(checked, Success):
            # Only the newest state may refuse it; what is held may be a moment old.
            read = await self._reader.read()
            if not isinstance(read, Success):
                return read.failure()
            checked = apply(self._replica.state(), change)
        if self._replica.fault() is not None:
            return self._replica.fault()
        return None if isinstance(checked, Success) else checked.failure()

    def _must_read_first(self) -> bool:
        """Say whether an entry written after what is held could begin a second history.

        A store that came back at just the revision held here looks right to this process, unless
        it has heard of a newer one. And where this process was cut off for so long that the next
        entry has been written, and deleted behind a snapshot, its key could be created again.
        """
        behind = self._replica.revision() < self._replica.newest_known_revision()
        return (
            behind
            or self._replica.fault() is not None
            or self._replica.age_s() > MAX_UNCONFIRMED_AGE_S
        )

    async def _create(
        self, proposal: _Proposal, change: Change, author: str
    ) -> Result[_CreateOutcome, Failure]:
        """Create the entry; fails only where this attempt surely wrote nothing."""
        if proposal.is_unresolved and proposal.unresolved_revision <= self._replica.revision():
            # Its revision is past, and whose entry it was can't be read just now.
            return Success(_CreateOutcome.SENT)
        entry = Entry(
            revision=self._replica.revision() + 1,
            change_id=proposal.change_id,
            author=author,
            at_s=self._wall_clock_s(),
            change=change,
        )
        outcome = await self._store.create(log_key(entry.revision), entry.encode())
        if isinstance(outcome, Success):
            proposal.unresolved_revision = entry.revision
            return Success(_CreateOutcome.SENT)
        failure = outcome.failure()
        if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
            self._metrics.count("config.answers-lost")
            proposal.unresolved_revision = entry.revision
            return Success(_CreateOutcome.SENT)
        if failure.kind is ErrorKind.CONFLICT:
            if not proposal.is_unresolved:
                self._metrics.count("config.lost-races")
            return Success(_CreateOutcome.TAKEN)
        return Err(failure)

    async def _is_logged(self, proposal: _Proposal) -> bool:
        """Say whether the entry that may have been written is in the log."""
        revision = proposal.unresolved_revision
        if revision == 0 or revision > self._replica.revision():
            return False
        # A snapshot may have carried this process past the revision without its entry.
        change_id = self._replica.change_id_at(revision) or await self._reader.change_id_in_log(
            revision
        )
        if change_id == proposal.change_id:
            return True
        if change_id is not None:
            proposal.unresolved_revision = 0
        return False

    def _failure_to_return(self, proposal: _Proposal, ends_at_s: float) -> Failure | None:
        fault = self._replica.fault()
        is_expired = asyncio.get_running_loop().time() >= ends_at_s
        if not is_expired and fault is None:
            return None
        if proposal.is_unresolved:
            reason = f"the entry of revision {proposal.unresolved_revision} can't be read back"
            return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason=reason)
        return fault or _unavailable("no revision could be won in time")


@unique
class _CreateOutcome(Enum):
    SENT = "sent"
    """The entry was written, or may have been."""
    TAKEN = "taken"
    """There is an entry under that key."""


class _Proposal:
    """Where one change stands.

    Args:
        change_id: Its id.
    """

    __slots__ = ("change_id", "failures", "unresolved_revision")

    def __init__(self, *, change_id: str) -> None:
        self.change_id = change_id
        self.unresolved_revision = 0
        """The revision under which it may have been written; 0 for none."""
        self.failures = 0

    @property
    def is_unresolved(self) -> bool:
        """Whether the entry may have been written, or may yet be, and is not found so far."""
        return self.unresolved_revision > 0


def _unavailable(why: str) -> Failure:
    return Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason=why, retry_after_s=1.0)
