"""Peer-to-peer network of the entry instances of one fleet.

It keeps the connections between processes, tracks membership, assigns the store watch and the
relays by rendezvous hashing, and distributes the configuration.

`PeerNetwork` is the interface for other packages. This package neither reads nor writes the
platform's store and provides no consensus: whatever needs agreement goes through the store. While
processes see different members, more of them than intended may watch the store or act as relays,
which costs only additional messages.
"""

from ._members import Member, MemberState
from ._network import PeerNetwork
from ._rendezvous import rank_among
from ._settings import PeerSettings, PeerTiming
from ._status import PeerStatus
from ._transport import Listener, TcpTransport, Transport

__all__ = [
    "Listener",
    "Member",
    "MemberState",
    "PeerNetwork",
    "PeerSettings",
    "PeerStatus",
    "PeerTiming",
    "TcpTransport",
    "Transport",
    "rank_among",
]
