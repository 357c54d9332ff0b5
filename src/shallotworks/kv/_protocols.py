"""What the platform's services offer, as `Protocol` types and the values they return.

Failures that every call may return: ``STORE_UNAVAILABLE`` (it surely took no effect) and
``OUTCOME_UNKNOWN`` (a write was sent and its answer was lost; reads return the former).
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
"""Values are base64 with the URL-safe alphabet where they travel as JSON."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Versioned:
    """A key's value as read.

    Args:
        key: The key.
        value: At most 1 MB.
        version: The service's counter at the key's last write; grows over all keys, so that it
            also orders writes to different keys.
    """

    __pydantic_config__: ClassVar[ConfigDict] = BASE64_BYTES

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """A lease granted by the service; its keys vanish when it lapses.

    Args:
        lease_id: Names it in later calls.
        ttl_s: Time after the last renewal at which it lapses.
        fencing_token: Grows with every lease granted.
    """

    lease_id: str
    ttl_s: float
    fencing_token: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchResult:
    """What a watch has to say.

    Args:
        version: The service's counter; pass it as ``after_version`` of the next watch.
        items: Keys under the prefix written after ``after_version``, by version; empty when the
            wait ran out.
        deleted: Keys under the prefix deleted after it.
    """

    version: int
    items: tuple[Versioned, ...]
    deleted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedInstance:
    """One line of the platform's list of instances, which lags behind the truth.

    Args:
        name: The instance's name.
        address: ``ip:port``.
        leaving: Whether the platform is about to take it away.
        incarnation: Differs when another machine came back under the same name.
    """

    name: str
    address: str
    leaving: bool
    incarnation: str


class KeyValueStore(Protocol):
    """The platform's key-value service; every call counts against its rates."""

    async def get(self, key: str) -> Result[Versioned | None, Failure]:
        """Read one key; ``None`` where it does not exist."""
        ...

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int = 1000
    ) -> Result[tuple[Versioned, ...], Failure]:
        """Read the keys under a prefix, in key order, from the one after ``after_key``."""
        ...

    async def create(self, key: str, value: bytes, *, lease_id: str = "") -> Result[int, Failure]:
        """Create a key; ``CONFLICT`` where it exists. Returns its version."""
        ...

    async def compare_and_swap(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, Failure]:
        """Write a key that still has this version; else ``CONFLICT``. Returns the new version."""
        ...

    async def delete(self, key: str, *, version: int) -> Result[None, Failure]:
        """Delete a key that still has this version; else ``CONFLICT``."""
        ...

    async def watch(
        self, prefix: str, *, after_version: int, wait_s: float
    ) -> Result[WatchResult, Failure]:
        """Wait until something under a prefix is written after a version, or the wait ends.

        Answers at once, with a lower version, where the service's counter is below
        ``after_version``: the service has come back with an older state.
        """
        ...

    async def grant_lease(self, *, ttl_s: float) -> Result[Lease, Failure]:
        """Grant a new lease."""
        ...

    async def renew_lease(self, lease_id: str) -> Result[None, Failure]:
        """Renew a lease; ``LEASE_LOST`` where it has lapsed."""
        ...

    async def revoke_lease(self, lease_id: str) -> Result[None, Failure]:
        """End a lease and delete its keys."""
        ...


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    async def read(self) -> Result[tuple[ListedInstance, ...], Failure]:
        """Read the whole list, as it was a while ago."""
        ...
