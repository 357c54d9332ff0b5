"""How busy the members of this data centre say they are."""

from __future__ import annotations

from collections.abc import Callable

from shallotworks.protocol import ServiceLoad

from ._link import Link

__all__ = ["Loads"]

MAX_LOADS_PER_HEARTBEAT = 4
MAX_LOADS_PER_PEER = 1_000
"""Loads kept of one peer, so that no peer can fill the memory."""


class Loads:
    """Loads sent to the peers of this data centre and received from them.

    Args:
        own: Returns how busy this process is.
    """

    __slots__ = ("_by_peer", "_own")

    def __init__(self, *, own: Callable[[], tuple[ServiceLoad, ...]]) -> None:
        self._own = own
        self._by_peer: dict[str, dict[str, ServiceLoad]] = {}

    def next_for(self, link: Link) -> tuple[ServiceLoad, ...]:
        """Return a bounded number of this process's loads, the next ones each time."""
        loads = self._own()
        if len(loads) <= MAX_LOADS_PER_HEARTBEAT:
            return loads
        start = link.load_cursor % len(loads)
        link.load_cursor = start + MAX_LOADS_PER_HEARTBEAT
        return (loads + loads)[start : start + MAX_LOADS_PER_HEARTBEAT]

    def record_loads(self, link: Link, loads: tuple[ServiceLoad, ...]) -> None:
        """Keep what a peer has said."""
        by_service = self._by_peer.setdefault(link.peer.name, {})
        for load in loads:
            if load.service in by_service or len(by_service) < MAX_LOADS_PER_PEER:
                by_service[load.service] = load

    def discard_peer(self, name: str) -> None:
        """Drop what a peer has said."""
        self._by_peer.pop(name, None)

    def by_peer(self) -> dict[str, tuple[ServiceLoad, ...]]:
        """Return what each peer has said, by its name."""
        return {name: tuple(loads.values()) for name, loads in self._by_peer.items()}
