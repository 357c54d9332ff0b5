"""The connections open now, one to each peer."""

from __future__ import annotations

from collections.abc import Iterator

from ._link import Link, LinkEnd

__all__ = ["Links"]

SIMULTANEOUS_OPEN_WINDOW_S = 1.0
"""Two connections opened within this time have crossed; a later one replaces the earlier."""


class Links:
    """The connections open now, by the peer's name.

    Args:
        own_name: Name of this process.
    """

    __slots__ = ("_by_name", "_ended_received_bytes", "_ended_sent_bytes", "_own_name")

    def __init__(self, *, own_name: str) -> None:
        self._own_name = own_name
        self._by_name: dict[str, Link] = {}
        self._ended_sent_bytes = 0
        self._ended_received_bytes = 0

    def __iter__(self) -> Iterator[Link]:
        return iter(tuple(self._by_name.values()))

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> Link | None:
        """Return the connection to a peer."""
        return self._by_name.get(name)

    def add(self, link: Link) -> bool:
        """Keep a new connection in place of an older one to the same peer; says whether it is kept.

        The failure: two processes dial each other at once, each keeps its own connection and
        closes the other's, and none is left. Both keep the one whose dialler's name sorts first.
        Any later connection wins: its peer would not dial if it still had the earlier one.
        """
        existing = self._by_name.get(link.peer.name)
        if existing is not None:
            if self._opened_simultaneously(existing, link) and not self._is_preferred(link):
                return False
            existing.close(LinkEnd.DISMISSED)
        self._by_name[link.peer.name] = link
        return True

    def remove(self, link: Link) -> None:
        """Use a connection no more."""
        if self._by_name.get(link.peer.name) is link:
            del self._by_name[link.peer.name]

    def retire(self, link: Link) -> None:
        """Forget a connection that has ended, but for what it has carried."""
        self.remove(link)
        self._ended_sent_bytes += link.sent_bytes
        self._ended_received_bytes += link.received_bytes

    def sent_bytes(self) -> int:
        """Return the bytes sent on all connections so far."""
        return self._ended_sent_bytes + sum(link.sent_bytes for link in self)

    def received_bytes(self) -> int:
        """Return the bytes received on all connections so far."""
        return self._ended_received_bytes + sum(link.received_bytes for link in self)

    def _opened_simultaneously(self, existing: Link, link: Link) -> bool:
        same_incarnation = existing.peer.incarnation == link.peer.incarnation
        within_window = link.opened_at_s - existing.opened_at_s < SIMULTANEOUS_OPEN_WINDOW_S
        return (
            same_incarnation
            and within_window
            and existing.end is None
            and existing.dialled != link.dialled
        )

    def _is_preferred(self, link: Link) -> bool:
        return link.dialled == (self._own_name < link.peer.name)
