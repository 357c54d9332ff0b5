"""The members that this process knows, and which of them it believes to be alive.

A member is heard when a message of its own arrives. It is vouched for when a peer that is heard
says that it hears the member itself, so that one broken link between two members makes neither
count as dead. Nobody vouches from hearsay, hence vouching can't go round in circles.
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
"""Records kept; the target is 220 entry instances, and a peer's list must not fill the memory."""
MAX_RECORDS_PER_HEARTBEAT = 200
"""Records in one heartbeat."""
RETAINED_REMOTE_RELAYS_PER_SLOT = 3
"""Silent relays kept of each slot of another data centre."""
VOUCH_INTERVALS = 2
"""Heartbeat intervals for which one message lets its reader vouch for the sender."""


@unique
class MemberState(Enum):
    """What this process believes of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """No sign of life for a while: takes no duty, still counts as live."""
    GONE = "gone"
    """Counts no more, but is still dialled."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One member as this process sees it.

    Args:
        record: What it says of itself.
        state: What this process believes of it.
        silent_for_s: Time since the last sign of life.
    """

    record: MemberRecord
    state: MemberState
    silent_for_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberUpdates:
    """Records to pass on to one peer.

    Args:
        records: The records.
        told: Pass this as ``since`` of the next call for that peer.
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
    """All members known, this process included; changed by `peers` on the event loop only.

    Args:
        own: This process's record.
        timing: When a member is suspect, gone and forgotten.
        on_change: Called with a member whose state has changed.
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
        """Record of this process."""
        return self._own

    @property
    def changes(self) -> int:
        """Number of changes of records so far."""
        return self._changes

    def change_own(self, *, relay_slot: int, left: bool = False) -> None:
        """Change this process's record, which peers then pass on."""
        if (relay_slot, left) == (self._own.relay_slot, self._own.left):
            return
        version = self._own.version + 1
        self._own = replace(self._own, relay_slot=relay_slot, left=left, version=version)
        self._own_changed = self._next_change()

    def get(self, name: str) -> MemberRecord | None:
        """Return a member's record."""
        tracked = self._tracked.get(name)
        return None if tracked is None else tracked.record

    def state_of(self, name: str) -> MemberState:
        """Return what this process believes of a member."""
        tracked = self._tracked.get(name)
        return MemberState.GONE if tracked is None else tracked.state

    def records(self) -> Iterator[MemberRecord]:
        """Return the records of all other members, whatever their state."""
        return (tracked.record for tracked in self._tracked.values())

    def alive_in_data_centre(self) -> tuple[str, ...]:
        """Return the names believed alive in this data centre, this process included."""
        return (self._own.name, *self._names_in_data_centre(MemberState.ALIVE))

    def live_in_data_centre(self, *, now_s: float) -> tuple[Member, ...]:
        """Return the live entry instances of this data centre, this process first."""
        own = Member(record=self._own, state=MemberState.ALIVE, silent_for_s=0.0)
        names = self._names_in_data_centre(MemberState.ALIVE, MemberState.SUSPECT)
        return (own, *(self._view(self._tracked[name], now_s) for name in names))

    def members(self, *, now_s: float) -> tuple[Member, ...]:
        """Return all other members."""
        return tuple(self._view(tracked, now_s) for tracked in self._tracked.values())

    def merge_record(self, record: MemberRecord, *, now_s: float) -> bool:
        """Take a record from hearsay; says whether it was news.

        A record alone is no sign of life: its member stays suspect until it is heard or vouched
        for, so that a list passed on late can't bring back one that has died.
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
        """Take a record from the member itself, just proved; says whether it may be linked.

        The failure: an instance is replaced under its name and the old process, cut off or paused,
        dials again. The lower incarnation is refused while the newer one is alive. Where the newer
        one is silent the caller is the only one there is, its clock may just run behind, and it is
        taken.
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
        """Note a message of a member's own."""
        tracked = self._tracked.get(name)
        if tracked is None:
            return
        tracked.last_message_s = now_s
        tracked.last_evidence_s = now_s
        self._set_state(tracked, MemberState.ALIVE)

    def heard_in_data_centre(self, *, now_s: float) -> tuple[int, ...]:
        """Return the marks of the members of this data centre that this process hears itself."""
        since_s = now_s - VOUCH_INTERVALS * self._timing.mesh_interval_s
        return tuple(
            incarnation_checksum(tracked.record)
            for tracked in self._tracked.values()
            if tracked.last_message_s >= since_s and self._is_same_data_centre(tracked.record)
        )

    def apply_vouches(self, checksums: Iterable[int], *, now_s: float) -> None:
        """Take a peer's word for the members that it hears itself.

        Worth less than hearing: the member may have died just after the peer heard it, and the
        time to suspicion counts from then.
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
        """Suspect, remove and forget members by the time since their last sign of life."""
        for tracked in list(self._tracked.values()):
            silent_for_s = now_s - tracked.last_evidence_s
            if silent_for_s >= self._timing.forget_after_s and self._is_forgettable(tracked.record):
                del self._tracked[tracked.record.name]
            elif silent_for_s >= self._timing.remove_after_s:
                self._set_state(tracked, MemberState.GONE)
            elif silent_for_s >= self._timing.suspect_after_s:
                self._set_state(tracked, MemberState.SUSPECT)

    def updates_for(self, peer: MemberRecord, *, since: int) -> MemberUpdates:
        """Return the records changed since then that concern a peer.

        Its own data centre's members and the relays of all others; a record that has been a
        relay's stays of concern, so that a peer elsewhere hears that it is one no more.
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
        """Say whether a silent member's record is of no more use.

        A data centre that has been cut off for long must be found again at once, hence the last
        relays known of another data centre are kept, however long they are silent.
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
        """Remove a member that said goodbye, and keep its last record against late hearsay."""
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
    """Return the short mark of one incarnation of a member, as heartbeats carry it.

    Two of a data centre's members share one once in 4 billion; one could then hide the other's
    death from those who don't hear it, until either is replaced.
    """
    return crc32(f"{record.name}/{record.incarnation}".encode())


def _has_been_relay(record: MemberRecord) -> bool:
    """Say whether a record was ever a relay's: it starts as none, and only slots change it."""
    return record.version > 0
