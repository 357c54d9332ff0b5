"""Messages that the processes of one fleet send each other."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "NO_RELAY_SLOT",
    "Entries",
    "EntriesRequest",
    "Goodbye",
    "Heartbeat",
    "Hello",
    "MemberRecord",
    "Message",
    "Proof",
    "ServiceLoad",
    "SnapshotPart",
    "SnapshotRequest",
]

NO_RELAY_SLOT = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """What a process says of itself, passed on by others.

    Args:
        name: Name of its instance.
        address: ``ip:port`` of its peers' port.
        data_centre: Where it stands.
        region: The region of that data centre.
        incarnation: Grows each time a process starts under this name.
        version: Grows with each change of this record within one incarnation.
        relay_slot: Which of its data centre's relays it is; `NO_RELAY_SLOT` for none.
        left: Whether it has said goodbye.
    """

    name: str
    address: str
    data_centre: str
    region: str
    incarnation: int
    version: int = 0
    relay_slot: int = NO_RELAY_SLOT
    left: bool = False

    def supersedes(self, other: MemberRecord) -> bool:
        """Return whether this record is newer than another of the same name."""
        return (self.incarnation, self.version) > (other.incarnation, other.version)


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """The first message each way on a connection.

    Args:
        lowest_version: Oldest version of the protocol that the sender speaks.
        highest_version: Newest one.
        member: Who the sender is.
        nonce: Fresh random bytes that the other end's proof must cover.
    """

    lowest_version: int
    highest_version: int
    member: MemberRecord
    nonce: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Proof:
    """Proof that the sender holds the fleet's key, over both hellos."""

    digest: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad:
    """How busy one entry instance is with one service.

    Args:
        service: Name of the service.
        in_flight: Requests sent to targets and not yet answered.
        waiting: Requests in the queue.
    """

    service: str
    in_flight: int
    waiting: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Sent at a fixed interval, and early where it carries news.

    Args:
        revision: Newest revision that the sender holds.
        newest_revision: Newest revision that the store was seen to hold, as far as known.
        newest_age_ms: How long ago that was seen.
        heard: Marks of the members of its data centre that the sender hears itself, see
            `shallotworks.peers`.
        records: Records that have changed since the last heartbeat on this connection.
        loads: Loads that have changed, a bounded number.
    """

    revision: int
    newest_revision: int
    newest_age_ms: int
    heard: tuple[int, ...] = ()
    records: tuple[MemberRecord, ...] = ()
    loads: tuple[ServiceLoad, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Entries:
    """Entries of the configuration log in order, each as `shallotworks.config.Entry` encodes it."""

    entries: tuple[bytes, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EntriesRequest:
    """Asks for the entries after a revision; answered by `Entries` or by `SnapshotPart`."""

    after: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotRequest:
    """Asks for the whole configuration."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotPart:
    """One part of a snapshot as `shallotworks.config.Snapshot` encodes it.

    Args:
        revision: Revision of the snapshot; parts of different ones never mix.
        index: Number of this part, from 0.
        count: Number of parts.
        data: The bytes.
    """

    revision: int
    index: int
    count: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Goodbye:
    """The last message on a connection.

    Args:
        leaving: Whether the sender leaves the fleet; else only this connection is of no more use.
    """

    leaving: bool


Message = (
    Hello | Proof | Heartbeat | Entries | EntriesRequest | SnapshotRequest | SnapshotPart | Goodbye
)
