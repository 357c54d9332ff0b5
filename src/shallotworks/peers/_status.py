"""How one process stands among its peers, as operators are told."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PeerStatus"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerStatus:
    """How this process stands among its peers, for operators.

    Args:
        relay_slot: Which relay of its data centre it is; -1 for none.
        watches: Whether it should watch the platform's store.
        links: Connections open.
        data_centres_linked: Other data centres that it has a connection to.
        data_centres_known: Other data centres that it knows a member of.
        revision: Newest revision held here.
        newest_revision: Newest revision that any process was heard to hold.
        config_age_s: How long ago the revision held was known to be the newest.
        sent_bytes: Bytes sent to peers so far.
        received_bytes: Bytes received from peers so far.
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
