"""Appending one change to the log, with recovery from lost answers and lost races."""

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
from ._protocols import Accepted, HeldRevision, RevisionSurvey
from ._replica import Replica
from ._snapshots import log_key

__all__ = ["Proposer"]

LOST_RACE_JITTER_S = 0.02
"""Longest random delay after a lost race, which spreads the losers over the time of a few
proposals."""
MAX_UNCONFIRMED_AGE_S = 300.0
"""A state that was the newest within this time can't be so old that compaction has deleted the
entries that follow it."""
CHANGE_ID_BITS = 96


class Proposer:
    """Appends changes to the log, one at a time.

    Args:
        store: The platform's key-value service.
        replica: The state and the last entries of this process.
        reader: Reads the log into the replica.
        metrics: Counts lost answers and lost races, under ``config``.
        wall_clock_s: Returns the Unix time, which the entries record.
        rng: Source of jitter and of change ids.
    """

    __slots__ = ("_metrics", "_peers", "_reader", "_replica", "_rng", "_store", "_wall_clock_s")

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
        self._peers: RevisionSurvey | None = None

    def connect_peers(self, peers: RevisionSurvey) -> None:
        """Ask these peers, around each write, which revision they hold."""
        self._peers = peers

    async def propose(
        self, change: Change, *, author: str, ends_at_s: float
    ) -> Result[Accepted, Failure]:
        """Create the entry of the next revision until it is in the log or the deadline has passed.

        When an answer is lost, the entry may have been written, or may still be written later. The
        same entry is therefore created again under the same key: whichever attempt takes effect,
        the result is the same change at the same revision. Only when the log has another change
        under that key can this entry no longer take effect there; the next revision is tried then.

        Args:
            change: The change to append.
            author: Who proposes the change.
            ends_at_s: Deadline, by the clock of the event loop.

        Returns:
            As `ConfigLog.propose`; also the replica's fault, such as ``STORE_REGRESSED``.
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
                # The delay comes before the read and not after it. What is read is out of date
                # within the time of one proposal, so that with a delay after the read a winner that
                # continues to propose would win every race.
                await asyncio.sleep(self._rng.uniform(0, LOST_RACE_JITTER_S))
            held = self._replica.revision()
            await self._reader.read()
            if await self._is_logged(proposal):
                return await self._confirm_with_peers(proposal)
            failure_to_return = self._failure_to_return(proposal, ends_at_s)
            if failure_to_return is not None:
                return Err(failure_to_return)
            if self._replica.revision() > held:
                continue
            proposal.failures += 1
            await asyncio.sleep(backoff_s(self._rng, proposal.failures))

    async def _check_change(self, proposal: _Proposal, change: Change) -> Failure | None:
        """Check the change against the newest revision; return why it is refused, or ``None``.

        A change whose entry may already have been written is not checked again.
        """
        if proposal.is_unresolved:
            return None
        await self._ask_peers()
        if self._must_read_first():
            read = await self._reader.read()
            if not isinstance(read, Success):
                return read.failure()
        checked = apply(self._replica.state(), change)
        if not isinstance(checked, Success):
            # Only the newest state may refuse the change, and the replica may be out of date.
            read = await self._reader.read()
            if not isinstance(read, Success):
                return read.failure()
            checked = apply(self._replica.state(), change)
        if self._replica.fault() is not None:
            return self._replica.fault()
        return None if isinstance(checked, Success) else checked.failure()

    async def _ask_peers(self) -> tuple[HeldRevision, ...]:
        """Learn from the peers which revisions the store has had.

        A store that lost a revision which only others have read shows nothing of it, and would take
        another change under the same key.

        Returns:
            What contradicts the replica.
        """
        held = await self._peers.held_revisions() if self._peers is not None else ()
        return tuple(one for one in held if self._replica.contradicts(one))

    async def _confirm_with_peers(self, proposal: _Proposal) -> Result[Accepted, Failure]:
        """Return the acceptance, unless a peer holds another change at the entry's revision.

        It may have read that change after it was asked and before the entry was written.
        """
        revision = proposal.unresolved_revision
        if any(one.revision == revision for one in await self._ask_peers()):
            reason = f"a peer holds another change of revision {revision}, which the store has lost"
            return Err(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason=reason))
        return Success(Accepted(revision=revision, change_id=proposal.change_id))

    def _must_read_first(self) -> bool:
        """Return whether writing after the replica's revision could fork the log's history.

        A store that was restored to exactly the replica's revision looks correct to this process,
        unless a peer has reported a newer revision. And if this process was cut off for so long
        that the next entry was written, and deleted behind a snapshot, the key of that entry could
        be created a second time.
        """
        behind = self._replica.revision() < self._replica.newest_known_revision()
        return (
            behind
            or self._replica.fault() is not None
            or self._replica.staleness_s() > MAX_UNCONFIRMED_AGE_S
        )

    async def _create(
        self, proposal: _Proposal, change: Change, author: str
    ) -> Result[_CreateOutcome, Failure]:
        """Create the entry of the next revision.

        Returns:
            What is known of the key; a failure only if this attempt certainly wrote nothing.
        """
        if proposal.is_unresolved and await self._is_passed(proposal):
            # The log has, or had, an entry of that revision, but it can't be read yet.
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

    async def _is_passed(self, proposal: _Proposal) -> bool:
        """Return whether this process or a peer holds the revision of an unresolved entry."""
        await self._ask_peers()
        return proposal.unresolved_revision <= self._replica.newest_known_revision()

    async def _is_logged(self, proposal: _Proposal) -> bool:
        """Return whether the entry that may have been written is in the log.

        If another change is at its revision, the proposal becomes free to try the next one.
        """
        revision = proposal.unresolved_revision
        if revision == 0 or revision > self._replica.revision():
            return False
        # A snapshot may have advanced the replica past the revision without the entry.
        change_id = self._replica.change_id_at(revision) or await self._reader.change_id_in_log(
            revision
        )
        if change_id == proposal.change_id:
            return True
        if change_id is not None:
            proposal.unresolved_revision = 0
        return False

    def _failure_to_return(self, proposal: _Proposal, ends_at_s: float) -> Failure | None:
        """Return the failure that ends the proposal; ``None`` if it may be tried again."""
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
    """What is known of an entry's key after an attempt to create it."""

    SENT = "sent"
    """This proposal's entry was written, or may have been."""
    TAKEN = "taken"
    """The key exists; its entry is another's, or this one from an attempt with a lost answer."""


class _Proposal:
    """Progress of one change on its way into the log.

    Args:
        change_id: Id of the change.
    """

    __slots__ = ("change_id", "failures", "unresolved_revision")

    def __init__(self, *, change_id: str) -> None:
        self.change_id = change_id
        self.unresolved_revision = 0
        """Revision at which the entry may have been written; 0 for none."""
        self.failures = 0

    @property
    def is_unresolved(self) -> bool:
        """Whether the entry may have been written, or may still be, and has not been found yet."""
        return self.unresolved_revision > 0


def _unavailable(why: str) -> Failure:
    return Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason=why, retry_after_s=1.0)
