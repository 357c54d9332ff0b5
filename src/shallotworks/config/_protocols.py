"""Interfaces through which other packages read, change and distribute the configuration."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from shallotworks.errors import Failure
from shallotworks.fleet import Change, FleetState

from ._entries import Entry, Snapshot

__all__ = [
    "Accepted",
    "ConfigLog",
    "ConfigReplica",
    "ConfigView",
    "HeldRevision",
    "RevisionSurvey",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """A change that the log has accepted: it is in force from this revision on.

    Args:
        revision: The revision that it became.
        change_id: The change's own id.
    """

    revision: int
    change_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldRevision:
    """The newest revision that a peer holds.

    Args:
        revision: The revision.
        change_id: The change that led to it.
    """

    revision: int
    change_id: str


class RevisionSurvey(Protocol):
    """Asks peers for the configuration that they hold."""

    async def held_revisions(self) -> tuple[HeldRevision, ...]:
        """Ask all peers that are reached; return the answers that arrive in time.

        No peer agrees to anything by its answer, and none that is silent delays it beyond a bound.
        """
        ...


class ConfigView(Protocol):
    """The configuration in this process; its revision never decreases."""

    def state(self) -> FleetState:
        """Return the state at this process's newest revision."""
        ...

    def staleness_s(self) -> float:
        """Return the time since the state was last known to be the newest, in seconds."""
        ...

    async def wait_for(self, revision: int) -> FleetState:
        """Wait until this process has a revision; return the state, which may be newer."""
        ...


class ConfigLog(Protocol):
    """Appends changes to the configuration log."""

    async def propose(self, change: Change, *, author: str) -> Result[Accepted, Failure]:
        """Append one change.

        Args:
            change: The change; it is checked against the newest revision, and again after each
                lost race.
            author: Who proposes the change, recorded in its entry.

        Returns:
            The revision that the change became; the reason for which it is refused (see
            `shallotworks.fleet.apply`); ``STORE_UNAVAILABLE`` if it was certainly not accepted;
            ``OUTCOME_UNKNOWN`` if it may have been accepted, or may still be.
        """
        ...


class ConfigReplica(Protocol):
    """Exchanges configuration entries and snapshots with peers."""

    def revision(self) -> int:
        """Return this process's newest revision."""
        ...

    def entries_after(self, revision: int, *, limit: int) -> tuple[Entry, ...] | None:
        """Return the entries that follow a revision; ``None`` if the next one is not kept."""
        ...

    def snapshot(self) -> Snapshot:
        """Return the whole state, for a peer that lags too far behind to catch up from entries."""
        ...

    def append_entries(self, entries: tuple[Entry, ...]) -> int:
        """Apply those entries that directly follow this process's revision.

        An entry that contradicts a known one (same revision, other change id) is reported and
        never applied.

        Returns:
            The newest revision afterwards.
        """
        ...

    def install_snapshot(self, snapshot: Snapshot) -> int:
        """Install a snapshot if it is newer; return the newest revision afterwards."""
        ...

    def subscribe(self, listener: Callable[[Entry], None]) -> None:
        """Call a listener on the event loop with each entry that is applied from now on."""
        ...

    def staleness_s(self) -> float:
        """Return the time since the revision was last known to be the newest, in seconds."""
        ...

    def confirm_newest(self, revision: int, *, age_s: float = 0.0) -> None:
        """Record that a revision was the newest some time ago, for `ConfigView.staleness_s`.

        A peer that forwards this also sends its own age, so that two processes which are both cut
        off from the store can't make each other's state look current.

        Args:
            revision: The revision.
            age_s: How long ago it was the newest; 0 if the store itself has just reported it.
        """
        ...
