"""Messages between the processes of one fleet."""

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
"""Relay slot of a process that is no relay."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """Record that a process publishes about itself and its peers pass on.

    Args:
        name: Name of the entry instance.
        address: ``ip:port`` on which it accepts peers.
        data_centre: Name of its data centre.
        region: The region of that data centre.
        incarnation: Increases with each start of a process under this name.
        version: Increases with each change of the record within one incarnation.
        relay_slot: Its relay slot in its data centre; `NO_RELAY_SLOT` if it is no relay.
        left: Whether it has left the fleet.
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
    """First message in each direction of a connection.

    Args:
        lowest_version: Oldest protocol version that the sender supports.
        highest_version: Newest protocol version that the sender supports.
        member: Record of the sender.
        nonce: Fresh random bytes that the proof of the other end must cover.
    """

    lowest_version: int
    highest_version: int
    member: MemberRecord
    nonce: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Proof:
    """Proof that the sender has the fleet's key: an HMAC over both hellos."""

    digest: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad:
    """Load of one service at one entry instance.

    Args:
        service: Name of the service.
        in_flight: Requests sent to targets and not answered yet.
        waiting: Queued requests.
    """

    service: str
    in_flight: int
    waiting: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Periodic message, sent early to announce a new revision or to confirm a received one.

    Args:
        revision: Newest revision that the sender holds.
        newest_revision: Newest revision that any process is known to hold.
        newest_age_ms: Time since ``revision`` was last confirmed as the newest in the store; the
            largest value of 32 bits if it never was.
        heard: Checksums of the members of its data centre from which the sender received a
            message lately, see `shallotworks.peers`.
        records: Member records changed since the last heartbeat on this connection, a bounded
            number.
        loads: Some of the sender's loads, in rotation.
        question: Number of the sender's last question for the revision that the receiver holds; the
            receiver answers a new one with a heartbeat at once. 0 for none.
        answer: Number of the receiver's last question, which this heartbeat answers; 0 for none.
        change_id: The change that led to ``revision``, in the first heartbeat with an answer.
    """

    revision: int
    newest_revision: int
    newest_age_ms: int
    heard: tuple[int, ...] = ()
    records: tuple[MemberRecord, ...] = ()
    loads: tuple[ServiceLoad, ...] = ()
    question: int = 0
    answer: int = 0
    change_id: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Entries:
    """Entries of the configuration log in order, each as `shallotworks.config.Entry` encodes it."""

    entries: tuple[bytes, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EntriesRequest:
    """Requests the entries after a revision; the answer is `Entries` or `SnapshotPart`."""

    after: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotRequest:
    """Requests a snapshot of the whole configuration."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotPart:
    """One part of a snapshot as `shallotworks.config.Snapshot` encodes it.

    Args:
        revision: Revision of the snapshot; parts of two snapshots are never interleaved.
        index: Index of the part, from 0.
        count: Total number of parts.
        data: The bytes of this part.
    """

    revision: int
    index: int
    count: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Goodbye:
    """Last message before a graceful close of a connection.

    Args:
        leaving: Whether the sender leaves the fleet; otherwise it only closes this connection.
    """

    leaving: bool


Message = (
    Hello | Proof | Heartbeat | Entries | EntriesRequest | SnapshotRequest | SnapshotPart | Goodbye
)
