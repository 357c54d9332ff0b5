"""Paths and messages of the platform's HTTP protocol, for both the client and the stand-in.

``docs/protocol-platform.md`` describes the protocol.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from pydantic import ConfigDict, TypeAdapter

from shallotworks.errors import ErrorKind

from ._protocols import BASE64_BYTES, Lease, ListedInstance, Versioned, WatchResult

__all__ = [
    "CREATE_PATH",
    "DELETE_PATH",
    "GET_PATH",
    "GRANT_PATH",
    "INSTANCES",
    "INSTANCES_PATH",
    "ITEM",
    "ITEMS",
    "KIND_BY_STATUS",
    "LEASE",
    "LIST_PATH",
    "RENEW_PATH",
    "REVOKE_PATH",
    "COMPARE_AND_SWAP_PATH",
    "WATCH_PATH",
    "WATCH_RESULT",
    "WRITTEN",
    "CreateCall",
    "DeleteCall",
    "GrantCall",
    "LeaseCall",
    "SwapCall",
    "Written",
]

GET_PATH = "/kv/v1/key"
LIST_PATH = "/kv/v1/keys"
WATCH_PATH = "/kv/v1/watch"
CREATE_PATH = "/kv/v1/create"
COMPARE_AND_SWAP_PATH = "/kv/v1/swap"
DELETE_PATH = "/kv/v1/delete"
GRANT_PATH = "/kv/v1/leases/grant"
RENEW_PATH = "/kv/v1/leases/renew"
REVOKE_PATH = "/kv/v1/leases/revoke"
INSTANCES_PATH = "/instances/v1"

KIND_BY_STATUS = {
    400: ErrorKind.INVALID_REQUEST,
    409: ErrorKind.CONFLICT,
    410: ErrorKind.LEASE_LOST,
    413: ErrorKind.TOO_LARGE,
    503: ErrorKind.STORE_UNAVAILABLE,
}
"""Kinds of failure by HTTP status; 503 means that the call was refused before it took effect."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CreateCall:
    """Body of a create."""

    __pydantic_config__: ClassVar[ConfigDict] = BASE64_BYTES

    key: str
    value: bytes
    lease_id: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SwapCall:
    """Body of a compare-and-swap."""

    __pydantic_config__: ClassVar[ConfigDict] = BASE64_BYTES

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DeleteCall:
    """Body of a delete."""

    key: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantCall:
    """Body of a request for a new lease."""

    ttl_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseCall:
    """Body of a renewal or revocation of a lease."""

    lease_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Written:
    """Answer to a write.

    Args:
        version: The key's new version; 0 if the call has none.
    """

    version: int


ITEM: TypeAdapter[Versioned | None] = TypeAdapter(Versioned | None)
ITEMS: TypeAdapter[tuple[Versioned, ...]] = TypeAdapter(tuple[Versioned, ...])
WATCH_RESULT = TypeAdapter(WatchResult)
LEASE = TypeAdapter(Lease)
WRITTEN = TypeAdapter(Written)
INSTANCES: TypeAdapter[tuple[ListedInstance, ...]] = TypeAdapter(tuple[ListedInstance, ...])
