"""Service loads that the members of this data centre report in their heartbeats."""

from __future__ import annotations

from collections.abc import Callable

from shallotworks.protocol import ServiceLoad

from ._link import Link

__all__ = ["Loads"]

MAX_LOADS_PER_HEARTBEAT = 4
"""Loads in one heartbeat; a process with more services sends them in turn."""
MAX_LOADS_PER_PEER = 1_000
"""Services recorded per peer; bounds the memory that one peer can use."""


class Loads:
    """Loads sent to the peers of this data centre and received from them.

    Args:
        own: Returns the loads of this process.
    """

    __slots__ = ("_by_peer", "_own")

    def __init__(self, *, own: Callable[[], tuple[ServiceLoad, ...]]) -> None:
        self._own = own
        self._by_peer: dict[str, dict[str, ServiceLoad]] = {}

    def next_for(self, link: Link) -> tuple[ServiceLoad, ...]:
        """Return the loads of this process to send in the next heartbeat, in rotation."""
        loads = self._own()
        if len(loads) <= MAX_LOADS_PER_HEARTBEAT:
            return loads
        start = link.load_cursor % len(loads)
        link.load_cursor = start + MAX_LOADS_PER_HEARTBEAT
        return (loads + loads)[start : start + MAX_LOADS_PER_HEARTBEAT]

    def record_loads(self, link: Link, loads: tuple[ServiceLoad, ...]) -> None:
        """Record the loads that a peer reported."""
        by_service = self._by_peer.setdefault(link.peer.name, {})
        for load in loads:
            if load.service in by_service or len(by_service) < MAX_LOADS_PER_PEER:
                by_service[load.service] = load

    def discard_peer(self, name: str) -> None:
        """Drop the loads that a peer reported."""
        self._by_peer.pop(name, None)

    def by_peer(self) -> dict[str, tuple[ServiceLoad, ...]]:
        """Return the loads that each peer reported, by its name."""
        return {name: tuple(loads.values()) for name, loads in self._by_peer.items()}
