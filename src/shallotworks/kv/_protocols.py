"""Protocols of the platform's services, and the values that they return.

Every call may return ``STORE_UNAVAILABLE``, which means that it certainly took no effect. A write
may also return ``OUTCOME_UNKNOWN``, which means that it was sent and its answer was lost.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, Protocol

from pydantic import ConfigDict
from returns.result import Result

from shallotworks.errors import Failure

__all__ = [
    "InstanceList",
    "KeyValueStore",
    "Lease",
    "ListedInstance",
    "Versioned",
    "WatchResult",
]

BASE64_BYTES = ConfigDict(ser_json_bytes="base64", val_json_bytes="base64")
"""Encodes values as base64 with the URL-safe alphabet in JSON."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Versioned:
    """A key's value as read.

    Args:
        key: The key.
        value: The value, at most 1 MB.
        version: The service's counter at the key's last write. One counter serves all keys, so that
            it also orders writes to different keys.
    """

    __pydantic_config__: ClassVar[ConfigDict] = BASE64_BYTES

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """A lease granted by the service, which deletes the lease's keys when it expires.

    Args:
        lease_id: Identifies the lease in later calls.
        ttl_s: Time after the last renewal at which the lease expires.
        fencing_token: Increases with every lease granted.
    """

    lease_id: str
    ttl_s: float
    fencing_token: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchResult:
    """Result of a watch.

    Args:
        version: The service's counter, for ``after_version`` of the next watch.
        items: Keys under the prefix that were written after ``after_version``, in order of version;
            empty if none was written within the wait.
        deleted: Keys under the prefix that were deleted after ``after_version``.
    """

    version: int
    items: tuple[Versioned, ...]
    deleted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedInstance:
    """One line of the platform's list of instances, which lags behind the actual state.

    Args:
        name: The instance's name.
        address: ``ip:port``.
        leaving: Whether the platform is about to remove the instance.
        incarnation: Changes when another machine takes over the same name.
    """

    name: str
    address: str
    leaving: bool
    incarnation: str


class KeyValueStore(Protocol):
    """The platform's key-value service; every call counts against its rate limits."""

    async def get(self, key: str) -> Result[Versioned | None, Failure]:
        """Read one key; ``None`` if it does not exist."""
        ...

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int = 1000
    ) -> Result[tuple[Versioned, ...], Failure]:
        """Read the keys under a prefix in key order, starting after ``after_key``."""
        ...

    async def create(self, key: str, value: bytes, *, lease_id: str = "") -> Result[int, Failure]:
        """Create a key and return its version; ``CONFLICT`` if the key exists.

        With a ``lease_id`` the service deletes the key when that lease ends.
        """
        ...

    async def compare_and_swap(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, Failure]:
        """Write a key and return its new version; ``CONFLICT`` if it has another version."""
        ...

    async def delete(self, key: str, *, version: int) -> Result[None, Failure]:
        """Delete a key; ``CONFLICT`` if it has another version."""
        ...

    async def watch(
        self, prefix: str, *, after_version: int, wait_s: float
    ) -> Result[WatchResult, Failure]:
        """Wait until a key under a prefix is written or deleted after a version, or time is up.

        If the service's counter is below ``after_version``, the service was restored with an older
        state; the watch then returns at once, with the lower version.
        """
        ...

    async def grant_lease(self, *, ttl_s: float) -> Result[Lease, Failure]:
        """Grant a new lease."""
        ...

    async def renew_lease(self, lease_id: str) -> Result[None, Failure]:
        """Renew a lease; ``LEASE_LOST`` if it has expired."""
        ...

    async def revoke_lease(self, lease_id: str) -> Result[None, Failure]:
        """End a lease and delete its keys."""
        ...


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    async def read(self) -> Result[tuple[ListedInstance, ...], Failure]:
        """Read the whole list, which lags behind the platform's own state."""
        ...
