"""Membership and failure detection.

A message from a member is direct evidence that it is alive. Indirect evidence is a heartbeat in
which another peer vouches for the member, because that peer itself received a message from it.
One broken connection between two members therefore makes neither count as failed. No process
vouches on indirect evidence, so a cycle of vouches can't keep a failed member alive.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum, unique
from zlib import crc32

from shallotworks.protocol import NO_RELAY_SLOT, MemberRecord

from ._settings import PeerTiming

__all__ = ["Member", "MemberState", "MemberTable", "MemberUpdates", "incarnation_checksum"]

MAX_MEMBERS = 4_000
"""Records kept, for a target of 220 entry instances; bounds the memory that a peer can use."""
MAX_RECORDS_PER_HEARTBEAT = 200
"""Member records in one heartbeat; the others follow in the next ones."""
RETAINED_REMOTE_RELAYS_PER_SLOT = 3
"""Relay records that are kept, however long silent, for each slot of another data centre."""
VOUCH_INTERVALS = 2
"""Heartbeat intervals for which a process vouches for a member after a message from it."""


@unique
class MemberState(Enum):
    """State of a member in the failure detector of this process."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Without evidence for `PeerTiming.suspect_after_s`: gets no role, still counts as live."""
    GONE = "gone"
    """Without evidence for `PeerTiming.remove_after_s`: not live, but still dialled."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One member as this process sees it.

    Args:
        record: The newest record that the member published.
        state: Its state in this process's failure detector.
        silent_for_s: Time since the last evidence that it is alive.
    """

    record: MemberRecord
    state: MemberState
    silent_for_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberUpdates:
    """Changed member records to send to one peer.

    Args:
        records: The records.
        change_cursor: Number of the last change included; pass it as ``since`` of the next call
            for that peer.
    """

    records: tuple[MemberRecord, ...]
    change_cursor: int


@dataclass(slots=True, kw_only=True)
class _TrackedMember:
    record: MemberRecord
    last_message_s: float
    last_evidence_s: float
    state: MemberState
    changed: int


class MemberTable:
    """All known members and this process; changed only on the event loop.

    Args:
        own: This process's record.
        timing: Times after which a member is suspect, gone and deleted.
        on_change: Called with the record and the new state of a member whose state changed.
    """

    __slots__ = (
        "_changes",
        "_departed",
        "_on_change",
        "_own",
        "_own_changed",
        "_timing",
        "_tracked",
    )

    def __init__(
        self,
        *,
        own: MemberRecord,
        timing: PeerTiming,
        on_change: Callable[[MemberRecord, MemberState], None],
    ) -> None:
        self._own = own
        self._timing = timing
        self._on_change = on_change
        self._tracked: dict[str, _TrackedMember] = {}
        self._departed: dict[str, MemberRecord] = {}
        self._changes = 1
        self._own_changed = 1

    @property
    def own(self) -> MemberRecord:
        """The record of this process."""
        return self._own

    @property
    def changes(self) -> int:
        """Number of the latest change of a record."""
        return self._changes

    def change_own(self, *, relay_slot: int, left: bool = False) -> None:
        """Update this process's record, which the next heartbeats distribute."""
        if (relay_slot, left) == (self._own.relay_slot, self._own.left):
            return
        version = self._own.version + 1
        self._own = replace(self._own, relay_slot=relay_slot, left=left, version=version)
        self._own_changed = self._next_change()

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a member, or ``None``."""
        tracked = self._tracked.get(name)
        return None if tracked is None else tracked.record

    def state_of(self, name: str) -> MemberState:
        """Return the state of a member; an unknown member is gone."""
        tracked = self._tracked.get(name)
        return MemberState.GONE if tracked is None else tracked.state

    def records(self) -> Iterator[MemberRecord]:
        """Return the records of all other members, whatever their state."""
        return (tracked.record for tracked in self._tracked.values())

    def alive_in_data_centre(self) -> tuple[str, ...]:
        """Return the names of the alive members of this data centre, this process included."""
        return (self._own.name, *self._names_in_data_centre(MemberState.ALIVE))

    def live_in_data_centre(self, *, now_s: float) -> tuple[Member, ...]:
        """Return the alive and suspect members of this data centre, this process first."""
        own = Member(record=self._own, state=MemberState.ALIVE, silent_for_s=0.0)
        names = self._names_in_data_centre(MemberState.ALIVE, MemberState.SUSPECT)
        return (own, *(self._view(self._tracked[name], now_s) for name in names))

    def members(self, *, now_s: float) -> tuple[Member, ...]:
        """Return all other members."""
        return tuple(self._view(tracked, now_s) for tracked in self._tracked.values())

    def merge_record(self, record: MemberRecord, *, now_s: float) -> bool:
        """Merge a record that a peer passed on.

        A record is no evidence that its member is alive: a new member stays suspect until a message
        or a vouch arrives, so that an outdated list can't revive a member that has failed.

        Returns:
            Whether the record was newer than the known one and was kept.
        """
        if record.name == self._own.name or not self._is_newer(record):
            return False
        if record.left:
            self._remove_departed(record)
            return True
        tracked = self._tracked.get(record.name)
        if tracked is not None and tracked.record.incarnation == record.incarnation:
            tracked.record = record
            tracked.changed = self._next_change()
            return True
        if tracked is None and len(self._tracked) >= MAX_MEMBERS:
            return False
        self._tracked[record.name] = _TrackedMember(
            record=record,
            last_message_s=float("-inf"),
            last_evidence_s=now_s - self._timing.suspect_after_s,
            state=MemberState.SUSPECT,
            changed=self._next_change(),
        )
        return True

    def admit(self, record: MemberRecord, *, now_s: float) -> bool:
        """Merge the record of a member that has just completed the handshake.

        An instance may have been replaced under its name while its old process, partitioned or
        paused, dials again. The lower incarnation is rejected while the newer one is alive. If the
        newer one is silent, the dialling process is the only one left and its clock may just run
        behind, so it is admitted.

        Returns:
            Whether a connection to the member may be used.
        """
        tracked = self._tracked.get(record.name)
        if record.name == self._own.name:
            return False
        if tracked is not None and tracked.record.incarnation > record.incarnation:
            if tracked.state is MemberState.ALIVE:
                return False
            del self._tracked[record.name]
        self._departed.pop(record.name, None)
        self.merge_record(record, now_s=now_s)
        self.note_message(record.name, now_s=now_s)
        return True

    def note_message(self, name: str, *, now_s: float) -> None:
        """Record that a message from a member arrived."""
        tracked = self._tracked.get(name)
        if tracked is None:
            return
        tracked.last_message_s = now_s
        tracked.last_evidence_s = now_s
        self._set_state(tracked, MemberState.ALIVE)

    def vouched_in_data_centre(self, *, now_s: float) -> tuple[int, ...]:
        """Return the checksums of the members of this data centre that this process vouches for."""
        since_s = now_s - VOUCH_INTERVALS * self._timing.mesh_interval_s
        return tuple(
            incarnation_checksum(tracked.record)
            for tracked in self._tracked.values()
            if tracked.last_message_s >= since_s and self._is_same_data_centre(tracked.record)
        )

    def apply_vouches(self, checksums: Iterable[int], *, now_s: float) -> None:
        """Apply a peer's vouches for the members from which it receives messages.

        A vouch counts for less than a message: it postpones suspicion by `VOUCH_INTERVALS`
        heartbeat intervals at most, since the member may have failed just after the message on
        which the vouch rests.
        """
        lag_s = VOUCH_INTERVALS * self._timing.mesh_interval_s
        last_evidence_s = now_s - max(0.0, self._timing.suspect_after_s - lag_s)
        vouched_checksums = frozenset(checksums)
        for tracked in self._tracked.values():
            if (
                tracked.last_evidence_s < last_evidence_s
                and incarnation_checksum(tracked.record) in vouched_checksums
            ):
                tracked.last_evidence_s = last_evidence_s
                self._set_state(tracked, MemberState.ALIVE)

    def update_states(self, *, now_s: float) -> None:
        """Suspect, remove and delete members by the time since the last evidence for them."""
        for tracked in list(self._tracked.values()):
            silent_for_s = now_s - tracked.last_evidence_s
            if silent_for_s >= self._timing.forget_after_s and self._is_forgettable(tracked.record):
                del self._tracked[tracked.record.name]
            elif silent_for_s >= self._timing.remove_after_s:
                self._set_state(tracked, MemberState.GONE)
            elif silent_for_s >= self._timing.suspect_after_s:
                self._set_state(tracked, MemberState.SUSPECT)

    def updates_for(self, peer: MemberRecord, *, since: int) -> MemberUpdates:
        """Return the records changed after ``since`` that a peer needs.

        A peer needs the members of its own data centre and the relays of all others. The record of
        a former relay is included too, so that other data centres learn that it no longer is one.
        """
        is_local_peer = peer.data_centre == self._own.data_centre
        updates = [
            (tracked.changed, tracked.record)
            for tracked in self._tracked.values()
            if tracked.changed > since
            and tracked.record.name != peer.name
            and (
                _has_been_relay(tracked.record)
                or (is_local_peer and self._is_same_data_centre(tracked.record))
            )
        ]
        if self._own_changed > since:
            updates.append((self._own_changed, self._own))
        updates.sort(key=lambda entry: entry[0])
        change_cursor = (
            self._changes
            if len(updates) <= MAX_RECORDS_PER_HEARTBEAT
            else updates[MAX_RECORDS_PER_HEARTBEAT - 1][0]
        )
        return MemberUpdates(
            records=tuple(record for _, record in updates[:MAX_RECORDS_PER_HEARTBEAT]),
            change_cursor=change_cursor,
        )

    def _is_forgettable(self, record: MemberRecord) -> bool:
        """Return whether the record of a silent member may be deleted.

        The last known relays of another data centre are kept however long they are silent, so that
        a data centre can be found at once after a long partition.
        """
        if self._is_same_data_centre(record) or record.relay_slot == NO_RELAY_SLOT:
            return True
        same_slot = [
            tracked
            for tracked in self._tracked.values()
            if tracked.record.data_centre == record.data_centre
            and tracked.record.relay_slot == record.relay_slot
        ]
        same_slot.sort(key=lambda tracked: tracked.changed, reverse=True)
        return record.name not in [
            tracked.record.name for tracked in same_slot[:RETAINED_REMOTE_RELAYS_PER_SLOT]
        ]

    def _names_in_data_centre(self, *states: MemberState) -> list[str]:
        return [
            name
            for name, tracked in self._tracked.items()
            if tracked.state in states and self._is_same_data_centre(tracked.record)
        ]

    def _is_same_data_centre(self, record: MemberRecord) -> bool:
        return record.data_centre == self._own.data_centre

    def _is_newer(self, record: MemberRecord) -> bool:
        departed = self._departed.get(record.name)
        if departed is not None and not record.supersedes(departed):
            return False
        tracked = self._tracked.get(record.name)
        return tracked is None or record.supersedes(tracked.record)

    def _remove_departed(self, record: MemberRecord) -> None:
        """Remove a member that left, and keep its last record to reject outdated ones."""
        if len(self._departed) >= MAX_MEMBERS:
            del self._departed[next(iter(self._departed))]
        self._departed[record.name] = record
        tracked = self._tracked.pop(record.name, None)
        if tracked is not None:
            self._on_change(record, MemberState.GONE)

    def _set_state(self, tracked: _TrackedMember, state: MemberState) -> None:
        if tracked.state is state:
            return
        tracked.state = state
        self._on_change(tracked.record, state)

    def _next_change(self) -> int:
        self._changes += 1
        return self._changes

    def _view(self, tracked: _TrackedMember, now_s: float) -> Member:
        silent_for_s = max(0.0, now_s - tracked.last_evidence_s)
        return Member(record=tracked.record, state=tracked.state, silent_for_s=silent_for_s)


def incarnation_checksum(record: MemberRecord) -> int:
    """Return the short checksum of one incarnation of a member that heartbeats carry.

    Two members of a data centre share a checksum with a probability of 1 in 4 billion. One could
    then hide the failure of the other from processes that receive no message from it, until either
    is replaced.
    """
    return crc32(f"{record.name}/{record.incarnation}".encode())


def _has_been_relay(record: MemberRecord) -> bool:
    """Return whether a member was ever a relay.

    A record starts without a relay slot, and only a new slot or a departure changes its version.
    """
    return record.version > 0
