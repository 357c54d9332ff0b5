"""The processes of one fleet among themselves.

Connections, membership, duties chosen by hash, and the configuration passed on.

`PeerNetwork` is what other packages use. Nothing here reads or writes the platform's store, and
nothing is agreed on here: what must be agreed goes through the store. A duty by hash (watching the
store, linking data centres) may be held twice for a while, which costs only messages.
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
