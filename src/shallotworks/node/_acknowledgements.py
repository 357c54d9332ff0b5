"""Configuration revisions that the entry instances acknowledge in their heartbeats."""

from __future__ import annotations

from shallotworks.config import ConfigReplica
from shallotworks.peers import PeerNetwork

__all__ = ["PeerAcknowledgements"]


class PeerAcknowledgements:
    """Implements `shallotworks.plans.Acknowledgements` with the connected peers.

    A process is connected to the entry instances of its own data centre and, if it is a relay, to
    relays of other data centres. The revision of any other instance is unknown; the conductor
    waits a fixed time for those.

    Args:
        replica: This process's replica of the configuration.
        peers: The peer network.
    """

    __slots__ = ("_peers", "_replica")

    def __init__(self, *, replica: ConfigReplica, peers: PeerNetwork) -> None:
        self._replica = replica
        self._peers = peers

    def lowest_acknowledged_revision(self) -> int:
        """Return the newest revision that this process and all connected peers hold."""
        revisions_by_peer = self._peers.linked_revisions()
        return min((self._replica.revision(), *revisions_by_peer.values()))
