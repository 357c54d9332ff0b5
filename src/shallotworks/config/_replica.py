"""One process's replica of the configuration: the state, the last entries, and their listeners.

A replica applies only the next revision, or installs a newer snapshot. Its revision therefore never
decreases, whatever the store or a peer sends.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from enum import Enum, unique

from absl import logging
from returns.result import Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import FleetState, apply
from shallotworks.metrics import Metrics
from shallotworks.timeline import EventKind, Subject, Timeline

from ._entries import Entry, Snapshot
from ._protocols import HeldRevision
from ._window import EntryWindow

__all__ = ["Replica", "EntryOutcome"]


@unique
class EntryOutcome(Enum):
    """Result of applying an entry to the replica."""

    TAKEN = "taken"
    """The entry was applied."""
    KNOWN = "known"
    """The entry's revision was applied before, and no other change is known there."""
    GAP = "gap"
    """The entry doesn't directly follow the replica's revision."""
    CONTRADICTS = "contradicts"
    """The replica has another change at the entry's revision."""
    UNUSABLE = "unusable"
    """The entry can't be decoded, or the state refuses it; the replica must not advance past it."""


class Replica:
    """Implements `ConfigView` and `ConfigReplica`; lives on the event loop.

    Args:
        metrics: Counts revisions, snapshots and faults, under ``config``.
        timeline: Records revisions and faults of the store.
    """

    __slots__ = (
        "_fault",
        "_last_change_id",
        "_listeners",
        "_metrics",
        "_newest_confirmed_at_s",
        "_newest_known_revision",
        "_revision_advanced",
        "_state",
        "_timeline",
        "_window",
    )

    def __init__(self, *, metrics: Metrics, timeline: Timeline) -> None:
        self._metrics = metrics
        self._timeline = timeline
        self._state = FleetState()
        self._last_change_id = ""
        self._window = EntryWindow()
        self._revision_advanced = asyncio.Event()
        self._listeners: list[Callable[[Entry], None]] = []
        self._newest_known_revision = 0
        self._newest_confirmed_at_s = -math.inf
        self._fault: Failure | None = None

    def state(self) -> FleetState:
        """Return the state at this process's newest revision."""
        return self._state

    def revision(self) -> int:
        """Return this process's newest revision."""
        return self._state.revision

    def staleness_s(self) -> float:
        """Return the time since the state was last known to be the newest; infinite for never."""
        return asyncio.get_running_loop().time() - self._newest_confirmed_at_s

    async def wait_for(self, revision: int) -> FleetState:
        """Wait until this process has a revision; return the state, which may be newer."""
        while self._state.revision < revision:
            await self._revision_advanced.wait()
        return self._state

    def entries_after(self, revision: int, *, limit: int) -> tuple[Entry, ...] | None:
        """Return the entries that follow a revision; ``None`` if the next one is not kept."""
        if revision >= self.revision():
            return ()
        return self._window.after(revision, limit=limit)

    def snapshot(self) -> Snapshot:
        """Return the whole state, for a peer that lags too far behind to catch up from entries."""
        return Snapshot(state=self._state, last_change_id=self._last_change_id)

    def history(self, *, limit: int) -> tuple[Entry, ...]:
        """Return the last entries with their authors, oldest first."""
        return self._window.newest(limit)

    def subscribe(self, listener: Callable[[Entry], None]) -> None:
        """Call a listener on the event loop with each entry that is applied from now on."""
        self._listeners.append(listener)

    def append_entries(self, entries: tuple[Entry, ...]) -> int:
        """Apply those entries that directly follow this process's revision.

        An entry that contradicts a known one (same revision, other change id) is reported and
        never applied.

        Returns:
            The newest revision afterwards.
        """
        for entry in entries:
            if self.apply_entry(entry) not in (EntryOutcome.TAKEN, EntryOutcome.KNOWN):
                break
        return self.revision()

    def install_snapshot(self, snapshot: Snapshot) -> int:
        """Install a snapshot if it is newer; return the newest revision afterwards."""
        revision = snapshot.state.revision
        if revision == self.revision() and snapshot.last_change_id != self._last_change_id:
            self._note_contradiction(revision, snapshot.last_change_id)
        if revision > self.revision():
            self._window.clear()
            self._advance(snapshot.state, snapshot.last_change_id)
            self._metrics.count("config.snapshots-adopted")
        return self.revision()

    def confirm_newest(self, revision: int, *, age_s: float = 0.0) -> None:
        """Record that a revision was the store's newest some time ago.

        A store that later shows only an older one was restored with an older state.
        """
        self.confirm_known(revision)
        if revision == self.revision():
            seen_at_s = asyncio.get_running_loop().time() - age_s
            self._newest_confirmed_at_s = max(self._newest_confirmed_at_s, seen_at_s)

    def contradicts(self, held: HeldRevision) -> bool:
        """Record what a peer holds; return whether it is another change of a known revision."""
        self.confirm_known(held.revision)
        known = self.change_id_at(held.revision)
        if known is None or known == held.change_id:
            return False
        self._note_contradiction(held.revision, held.change_id)
        return True

    def confirm_known(self, revision: int) -> None:
        """Record that the store has had a revision, which need not be its newest one now."""
        self._newest_known_revision = max(self._newest_known_revision, revision)

    def newest_known_revision(self) -> int:
        """Return the newest revision that the store is known to have had."""
        return self._newest_known_revision

    def fault(self) -> Failure | None:
        """Return the reported fault of the stored configuration; ``None`` while there is none."""
        return self._fault

    def apply_entry(self, entry: Entry) -> EntryOutcome:
        """Apply one entry if it directly follows the replica's revision."""
        if entry.revision <= self.revision():
            return self._compare_with_held(entry)
        if entry.revision > self.revision() + 1:
            return EntryOutcome.GAP
        outcome = apply(self._state, entry.change)
        if not isinstance(outcome, Success):
            reason = f"revision {entry.revision} can't be applied here: {outcome.failure()}"
            self.report_fault(Failure(kind=ErrorKind.INTERNAL, reason=reason))
            return EntryOutcome.UNUSABLE
        self._window.append(entry)
        self._advance(outcome.unwrap(), entry.change_id)
        for listener in self._listeners:
            listener(entry)
        return EntryOutcome.TAKEN

    def change_id_at(self, revision: int) -> str | None:
        """Return the id of the change that led to a revision; ``None`` if it is not kept."""
        if revision == self.revision():
            return self._last_change_id
        return self._window.change_id_at(revision)

    def revision_of(self, change_id: str) -> int | None:
        """Return the revision of a change; ``None`` if it is not among the last entries."""
        return self._window.revision_of(change_id)

    def report_fault(self, failure: Failure) -> None:
        """Set the fault of the stored configuration; record it unless its kind is already set."""
        if self._fault is not None and self._fault.kind is failure.kind:
            return
        self._fault = failure
        self._metrics.count(f"config.{failure.kind.value}")
        self._record(EventKind.STORE_REGRESSED, failure.reason)
        logging.error("%s", failure)

    def clear_fault(self) -> None:
        """Clear the fault after a read in which the store agreed with the replica."""
        if self._fault is None:
            return
        self._fault = None
        self._record(EventKind.STORE_UP, f"the store agrees again at revision {self.revision()}")
        logging.info("the stored configuration agrees with this process again")

    def _compare_with_held(self, entry: Entry) -> EntryOutcome:
        held = self.change_id_at(entry.revision)
        if held is None or held == entry.change_id:
            return EntryOutcome.KNOWN
        self._note_contradiction(entry.revision, entry.change_id)
        return EntryOutcome.CONTRADICTS

    def _note_contradiction(self, revision: int, change_id: str) -> None:
        self._metrics.count("config.contradictions")
        held = self.change_id_at(revision)
        self._record(
            EventKind.STORE_REGRESSED,
            f"revision {revision} was offered as change {change_id}; here it is {held}",
        )

    def _advance(self, state: FleetState, change_id: str) -> None:
        self._state = state
        self._last_change_id = change_id
        self._newest_known_revision = max(self._newest_known_revision, state.revision)
        self._metrics.count("config.revisions-taken")
        self._record(EventKind.REVISION_IN_FORCE, f"revision {state.revision}")
        self._revision_advanced.set()
        self._revision_advanced = asyncio.Event()

    def _record(self, kind: EventKind, detail: str) -> None:
        self._timeline.record(kind, subject=Subject(), detail=detail)
