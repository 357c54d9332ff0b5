"""How far the entry instances have come with the configuration, as their heartbeats say."""

from __future__ import annotations

from shallotworks.config import ConfigReplica
from shallotworks.peers import PeerNetwork

__all__ = ["PeerAcknowledgements"]


class PeerAcknowledgements:
    """Implements `shallotworks.plans.Acknowledgements` over the peers that this process hears.

    These are the entry instances of its own data centre and the relays of the others. An instance
    that is not heard can't be asked; the conductor waits a fixed time for those.

    Args:
        replica: The configuration held here.
        peers: The network.
    """

    __slots__ = ("_peers", "_replica")

    def __init__(self, *, replica: ConfigReplica, peers: PeerNetwork) -> None:
        self._replica = replica
        self._peers = peers

    def lowest_acknowledged_revision(self) -> int:
        """Return the newest revision that all entry instances within reach hold."""
        heard = self._peers.linked_revisions()
        return min((self._replica.revision(), *heard.values()))
