"""State of a process in the peer network, as operators see it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PeerStatus"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerStatus:
    """State of a process in the peer network.

    Args:
        relay_slot: The process's relay slot in its data centre; -1 if it is no relay.
        watches: Whether the process should watch the platform's store.
        links: Number of open connections.
        data_centres_linked: Other data centres with a connection to this process.
        data_centres_known: Other data centres of which the process knows a member.
        revision: Newest revision that the process holds.
        newest_revision: Newest revision that any heartbeat reported, or its own if newer.
        config_age_s: Time since the held revision was last confirmed as the newest.
        sent_bytes: Bytes sent to peers since the start.
        received_bytes: Bytes received from peers since the start.
    """

    relay_slot: int
    watches: bool
    links: int
    data_centres_linked: tuple[str, ...]
    data_centres_known: tuple[str, ...]
    revision: int
    newest_revision: int
    config_age_s: float
    sent_bytes: int
    received_bytes: int
