"""Entries of the configuration log, snapshots of the state, and their encoding as JSON."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import TypeAdapter

from shallotworks.fleet import Change, FleetState

__all__ = ["Entry", "Snapshot"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One accepted change.

    Args:
        revision: The revision it leads to.
        change_id: Unique id drawn by its author, by which a lost answer is resolved.
        author: Who wanted it.
        at_s: Unix time at which it was proposed.
        change: The change.
    """

    revision: int
    change_id: str
    author: str
    at_s: float
    change: Change

    def encode(self) -> bytes:
        """Return the entry as JSON."""
        return _ENTRY.dump_json(self)

    @classmethod
    def decode(cls, data: bytes) -> Entry:
        """Decode an entry from JSON.

        Raises:
            pydantic.ValidationError: The data is not a valid entry.
        """
        return _ENTRY.validate_json(data)


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """The whole state at one revision, for processes that can't catch up from entries.

    Args:
        state: The state.
        last_change_id: Id of the change that led to the state's revision.
    """

    state: FleetState
    last_change_id: str

    def encode(self) -> bytes:
        """Return the snapshot as JSON."""
        return _SNAPSHOT.dump_json(self)

    @classmethod
    def decode(cls, data: bytes) -> Snapshot:
        """Decode a snapshot from JSON.

        Raises:
            pydantic.ValidationError: The data is not a valid snapshot.
        """
        return _SNAPSHOT.validate_json(data)


_ENTRY = TypeAdapter(Entry)
_SNAPSHOT = TypeAdapter(Snapshot)
