"""Wire protocol between the processes of one fleet.

It defines typed messages, their Cap'n Proto schema, which is loaded on import, frames whose length
is checked before memory is allocated, and the handshake. It opens no connections and makes no
decisions; `shallotworks.peers` does.
"""

from ._codec import decode, encode
from ._frames import (
    HANDSHAKE_LIMIT_BYTES,
    MESSAGE_LIMIT_BYTES,
    ByteStream,
    FrameReader,
    FrameWriter,
)
from ._handshake import SUPPORTED_VERSIONS, Session, VersionRange, accept, dial, negotiate
from ._keys import FleetKeys, load_keys
from ._messages import (
    NO_RELAY_SLOT,
    Entries,
    EntriesRequest,
    Goodbye,
    Heartbeat,
    Hello,
    MemberRecord,
    Message,
    Proof,
    ServiceLoad,
    SnapshotPart,
    SnapshotRequest,
)

__all__ = [
    "HANDSHAKE_LIMIT_BYTES",
    "MESSAGE_LIMIT_BYTES",
    "NO_RELAY_SLOT",
    "SUPPORTED_VERSIONS",
    "ByteStream",
    "Entries",
    "EntriesRequest",
    "FleetKeys",
    "FrameReader",
    "FrameWriter",
    "Goodbye",
    "Heartbeat",
    "Hello",
    "MemberRecord",
    "Message",
    "Proof",
    "ServiceLoad",
    "Session",
    "SnapshotPart",
    "SnapshotRequest",
    "VersionRange",
    "accept",
    "decode",
    "dial",
    "encode",
    "load_keys",
    "negotiate",
]
