"""How other packages read and change the configuration."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from shallotworks.errors import Failure
from shallotworks.fleet import Change, FleetState

from ._entries import Entry, Snapshot

__all__ = ["Accepted", "ConfigLog", "ConfigReplica", "ConfigView"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """A change that the log has accepted: it is in force from this revision on.

    Args:
        revision: The revision that it became.
        change_id: The change's own id.
    """

    revision: int
    change_id: str


class ConfigView(Protocol):
    """The configuration as this process holds it; only ever moves forward."""

    def state(self) -> FleetState:
        """Return the state at the newest revision held."""
        ...

    def age_s(self) -> float:
        """Return how long ago the state was last known to be the newest."""
        ...

    async def wait_for(self, revision: int) -> FleetState:
        """Wait until a revision is held; returns the state, which may be newer."""
        ...


class ConfigLog(Protocol):
    """How a change becomes a revision."""

    async def propose(self, change: Change, *, author: str) -> Result[Accepted, Failure]:
        """Append one change.

        Args:
            change: The change; checked against the newest revision, again after each lost race.
            author: Who wants it, for the history.

        Returns:
            The revision it became; or why it is refused (see `shallotworks.fleet.apply`);
            ``STORE_UNAVAILABLE`` if it was surely not accepted; ``OUTCOME_UNKNOWN`` if that can't
            be told, in which case it may yet come into force.
        """
        ...


class ConfigReplica(Protocol):
    """What peers pass on to each other of the configuration."""

    def revision(self) -> int:
        """Return the newest revision held."""
        ...

    def entries_after(self, revision: int, *, limit: int) -> tuple[Entry, ...] | None:
        """Return the entries that follow a revision; ``None`` where they are not kept any more."""
        ...

    def snapshot(self) -> Snapshot:
        """Return the whole state, for a peer whose gap is too large."""
        ...

    def append_entries(self, entries: tuple[Entry, ...]) -> int:
        """Take those entries that directly follow what is held; returns the revision held then.

        An entry that contradicts one held (same revision, other change id) is reported, never
        adopted.
        """
        ...

    def install_snapshot(self, snapshot: Snapshot) -> int:
        """Take a snapshot that is newer than what is held; returns the revision held then."""
        ...

    def subscribe(self, listener: Callable[[Entry], None]) -> None:
        """Call a listener with each entry taken from now on, on the event loop."""
        ...

    def age_s(self) -> float:
        """Return how long ago the revision held was last known to be the newest."""
        ...

    def confirm_newest(self, revision: int, *, age_s: float = 0.0) -> None:
        """Note that a revision was the store's newest a while ago, for `ConfigView.age_s`.

        A peer that passes this on names its own age, so that two processes which are both cut off
        from the store can't keep each other's state looking fresh.

        Args:
            revision: The revision.
            age_s: How long ago it was the newest; 0 where the store itself has just said so.
        """
        ...
