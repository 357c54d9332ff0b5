"""The inner protocol: what the processes of one fleet say to each other, and how it is framed.

Typed messages, a Cap'n Proto schema that is read when the package is loaded, frames with a bound
checked before anything is allocated, and the handshake. It opens no connection and decides
nothing: `shallotworks.peers` does.
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
