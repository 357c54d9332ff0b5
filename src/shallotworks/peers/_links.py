"""The open connections, at most one to each peer."""

from __future__ import annotations

from collections.abc import Iterator

from ._link import Link, LinkEnd

__all__ = ["Links"]

SIMULTANEOUS_OPEN_WINDOW_S = 1.0
"""Two connections opened by both ends within this time count as a simultaneous open.

After it, a later connection replaces the earlier one.
"""


class Links:
    """The open connections, by the peer's name.

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
        """Return the connection to a peer, or ``None``."""
        return self._by_name.get(name)

    def add(self, link: Link) -> bool:
        """Add a new connection, in place of an existing one to the same peer.

        If two processes dial each other at the same time, each could keep its own connection and
        close the other's, which leaves none. Both therefore keep the connection whose dialler's
        name sorts first. A later connection always replaces the existing one, as its peer would
        not dial while it still had that one.

        Returns:
            Whether the new connection is kept.
        """
        existing = self._by_name.get(link.peer.name)
        if existing is not None:
            if self._opened_simultaneously(existing, link) and not self._is_preferred(link):
                return False
            existing.close(LinkEnd.DISMISSED)
        self._by_name[link.peer.name] = link
        return True

    def remove(self, link: Link) -> None:
        """Remove a connection that this process no longer uses, even if it is still open."""
        if self._by_name.get(link.peer.name) is link:
            del self._by_name[link.peer.name]

    def retire(self, link: Link) -> None:
        """Remove a connection that has ended, and keep its byte counts in the totals."""
        self.remove(link)
        self._ended_sent_bytes += link.sent_bytes
        self._ended_received_bytes += link.received_bytes

    def sent_bytes(self) -> int:
        """Return the bytes sent on all open and ended connections."""
        return self._ended_sent_bytes + sum(link.sent_bytes for link in self)

    def received_bytes(self) -> int:
        """Return the bytes received on all open and ended connections."""
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
