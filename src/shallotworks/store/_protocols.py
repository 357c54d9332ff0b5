"""Calls of the store and their types.

A failed call returns ``STORE_UNAVAILABLE`` if it certainly had no effect, as every failed read
does. It returns ``OUTCOME_UNKNOWN`` if a write was sent and its answer was lost: the write may have
been carried out, or may be carried out later if its conditions still hold.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from shallotworks.errors import Failure

__all__ = [
    "Changes",
    "Commit",
    "Committed",
    "Condition",
    "Conflicted",
    "Deletion",
    "Item",
    "Page",
    "Store",
    "Write",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Item:
    """A key with its value and revision, as read.

    Args:
        key: The key.
        value: Its bytes.
        revision: The store's counter at the key's last write; rises over all keys.
        created: The counter at the key's creation.
        lease_id: The lease that the key ends with; 0 for none.
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Deletion:
    """A key that was deleted, and the counter at its deletion."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Some of the keys under a prefix, in key order.

    Args:
        items: The keys.
        has_more: Whether more keys follow the last one.
        revision: The store's counter when the page was read.
    """

    items: tuple[Item, ...]
    has_more: bool
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """Changes under a prefix after a revision.

    Args:
        events: Writes and deletions, ordered by revision.
        revision: The revision from which to continue.
        is_history_lost: Whether the store no longer has the changes after the revision; the caller
            has to read everything again.
    """

    events: tuple[Item | Deletion, ...]
    revision: int
    is_history_lost: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """A key that must be at this revision; 0 for a key that must not exist."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """A key to write.

    Args:
        key: The key.
        value: Its bytes.
        lease_id: The lease that the key ends with; 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Commit:
    """Writes and deletions that are applied atomically if all conditions hold."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """Result of a commit that was applied at this revision."""

    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflicted:
    """Result of a commit that was not applied because a condition did not hold.

    Args:
        current: The current state of the conditions' keys, without keys that don't exist.
    """

    current: tuple[Item, ...]


class Store(Protocol):
    """Client interface of the store."""

    async def get(self, key: str) -> Result[Item | None, Failure]:
        """Read one key; ``None`` where it does not exist."""
        ...

    async def read_page(self, prefix: str, *, after: str = "") -> Result[Page, Failure]:
        """Read a page of keys under a prefix, beginning after the key ``after``."""
        ...

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Result[Changes, Failure]:
        """Wait up to ``wait_s`` for changes under a prefix after a revision, and return them."""
        ...

    async def commit(self, commit: Commit) -> Result[Committed | Conflicted, Failure]:
        """Apply a commit; fails with ``LEASE_LOST`` if a lease of its writes has ended."""
        ...

    async def grant_lease(self, *, ttl_s: float) -> Result[int, Failure]:
        """Grant a lease and return its id."""
        ...

    async def renew_lease(self, lease_id: int) -> Result[None, Failure]:
        """Renew a lease; fails with ``LEASE_LOST`` if it has ended."""
        ...

    async def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """Revoke a lease and delete its keys."""
        ...
