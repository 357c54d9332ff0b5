"""The store's calls and their types.

A call that fails returns ``STORE_UNAVAILABLE`` where it surely took no effect (each read that
failed, too), ``OUTCOME_UNKNOWN`` where a write was sent and its answer was lost: it may have been
carried out, or may be later, while its conditions still hold.
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
    """A key as read.

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
    """What happened under a prefix after a revision.

    Args:
        events: Writes and deletions, by revision.
        revision: Continue from here.
        is_history_lost: The store no longer has what followed the revision; read everything anew.
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
    """Writes and deletions that happen together if all conditions hold, or not at all."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """A commit was carried out at this revision."""

    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflicted:
    """A condition did not hold, and nothing was done.

    Args:
        current: The keys of the conditions as they are, without those that don't exist.
    """

    current: tuple[Item, ...]


class Store(Protocol):
    """The store."""

    async def get(self, key: str) -> Result[Item | None, Failure]:
        """Read one key; ``None`` where it does not exist."""
        ...

    async def read_page(self, prefix: str, *, after: str = "") -> Result[Page, Failure]:
        """Read keys under a prefix that follow the key ``after``."""
        ...

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Result[Changes, Failure]:
        """Wait until something under a prefix changes after a revision, or the wait ends."""
        ...

    async def commit(self, commit: Commit) -> Result[Committed | Conflicted, Failure]:
        """Carry out a commit; ``LEASE_LOST`` where a lease of its writes has ended."""
        ...

    async def grant_lease(self, *, ttl_s: float) -> Result[int, Failure]:
        """Grant a lease and return its id."""
        ...

    async def renew_lease(self, lease_id: int) -> Result[None, Failure]:
        """Renew a lease; ``LEASE_LOST`` where it has ended."""
        ...

    async def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """End a lease and delete its keys."""
        ...
