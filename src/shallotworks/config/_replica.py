"""The configuration as one process holds it: the state, the last entries, and who waits for more.

Only the next revision is ever taken, or a snapshot that is newer; so whatever the store or a peer
offers, a process can't go back.
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
from ._window import EntryWindow

__all__ = ["Replica", "EntryOutcome"]


@unique
class EntryOutcome(Enum):
    """What became of an entry that was offered."""

    TAKEN = "taken"
    KNOWN = "known"
    GAP = "gap"
    """It doesn't follow directly on what is held."""
    CONTRADICTS = "contradicts"
    """Another change led to that revision here."""
    UNUSABLE = "unusable"
    """The state refuses it, so that this process must not go on."""


class Replica:
    """Implements `ConfigView` and `ConfigReplica`; lives on the event loop.

    Args:
        metrics: Where events are counted, under ``config``.
        timeline: Where revisions and faults of the store are recorded.
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
        """Return the state at the newest revision held."""
        return self._state

    def revision(self) -> int:
        """Return the newest revision held."""
        return self._state.revision

    def age_s(self) -> float:
        """Return how long ago the state was last known to be the newest; infinite for never."""
        return asyncio.get_running_loop().time() - self._newest_confirmed_at_s

    async def wait_for(self, revision: int) -> FleetState:
        """Wait until a revision is held; returns the state, which may be newer."""
        while self._state.revision < revision:
            await self._revision_advanced.wait()
        return self._state

    def entries_after(self, revision: int, *, limit: int) -> tuple[Entry, ...] | None:
        """Return the entries that follow a revision; ``None`` where they are not kept any more."""
        if revision >= self.revision():
            return ()
        return self._window.after(revision, limit=limit)

    def snapshot(self) -> Snapshot:
        """Return the whole state, for a peer whose gap is too large."""
        return Snapshot(state=self._state, last_change_id=self._last_change_id)

    def history(self, *, limit: int) -> tuple[Entry, ...]:
        """Return the last entries with their authors, oldest first."""
        return self._window.newest(limit)

    def subscribe(self, listener: Callable[[Entry], None]) -> None:
        """Call a listener with each entry taken from now on, on the event loop."""
        self._listeners.append(listener)

    def append_entries(self, entries: tuple[Entry, ...]) -> int:
        """Take those entries that directly follow what is held; returns the revision held then.

        An entry that contradicts one held (same revision, other change id) is reported, never
        adopted.
        """
        for entry in entries:
            if self.apply_entry(entry) not in (EntryOutcome.TAKEN, EntryOutcome.KNOWN):
                break
        return self.revision()

    def install_snapshot(self, snapshot: Snapshot) -> int:
        """Take a snapshot that is newer than what is held; returns the revision held then."""
        revision = snapshot.state.revision
        if revision == self.revision() and snapshot.last_change_id != self._last_change_id:
            self._note_contradiction(revision, snapshot.last_change_id)
        if revision > self.revision():
            self._window.clear()
            self._advance(snapshot.state, snapshot.last_change_id)
            self._metrics.count("config.snapshots-adopted")
        return self.revision()

    def confirm_newest(self, revision: int, *, age_s: float = 0.0) -> None:
        """Note that a revision was the store's newest a while ago.

        A store that later shows an older one has come back with an older state.
        """
        self._newest_known_revision = max(self._newest_known_revision, revision)
        if revision == self.revision():
            seen_at_s = asyncio.get_running_loop().time() - age_s
            self._newest_confirmed_at_s = max(self._newest_confirmed_at_s, seen_at_s)

    def newest_known_revision(self) -> int:
        """Return the newest revision that the store is known to have had."""
        return self._newest_known_revision

    def fault(self) -> Failure | None:
        """Return what is wrong with the store's configuration, while something is."""
        return self._fault

    def apply_entry(self, entry: Entry) -> EntryOutcome:
        """Take one entry if it directly follows what is held."""
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
        """Return the id of the change that led to a revision, where it is still known."""
        if revision == self.revision():
            return self._last_change_id
        return self._window.change_id_at(revision)

    def revision_of(self, change_id: str) -> int | None:
        """Return the revision that a change became, where it is among the last entries."""
        return self._window.revision_of(change_id)

    def report_fault(self, failure: Failure) -> None:
        """Keep a fault of the store's configuration, and record it once."""
        if self._fault is not None and self._fault.kind is failure.kind:
            return
        self._fault = failure
        self._metrics.count(f"config.{failure.kind.value}")
        self._record(EventKind.STORE_REGRESSED, failure.reason)
        logging.error("%s", failure)

    def clear_fault(self) -> None:
        """Note that the store agrees with what is held."""
        if self._fault is None:
            return
        self._fault = None
        self._record(EventKind.STORE_UP, f"the store agrees again at revision {self.revision()}")
        logging.info("the store's configuration agrees again")

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
