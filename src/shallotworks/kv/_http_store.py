"""HTTP clients of the platform's services."""

from __future__ import annotations

import random
from typing import Any, ClassVar, TypeVar
from urllib.parse import urlencode

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.metrics import Metrics
from shallotworks.timeline import Timeline

from . import wire
from ._calls import Call, CallKind, PlatformCalls, PlatformLimits
from ._protocols import Lease, ListedInstance, Versioned, WatchResult

__all__ = ["HttpInstanceList", "HttpKeyValueStore"]

GET = CallKind(name="get")
LIST = CallKind(name="list")
WATCH = CallKind(name="watch", is_watch=True)
CREATE = CallKind(name="create", is_write=True)
SWAP = CallKind(name="swap", is_write=True)
DELETE = CallKind(name="delete", is_write=True)
GRANT = CallKind(name="grant-lease", is_write=True)
RENEW = CallKind(name="renew-lease", is_write=True, is_urgent=True)
REVOKE = CallKind(name="revoke-lease", is_write=True, is_urgent=True)
READ_INSTANCES = CallKind(name="read")

INSTANCE_LIST_LIMITS = PlatformLimits(threads=1, watch_threads=1, rate_per_s=1.0, burst=4)

_Value = TypeVar("_Value")


class _HttpService:
    """Base of the clients; must be created on the event loop.

    Args:
        address: ``ip:port`` of the service.
        metrics: Counts calls.
        timeline: Records when the service goes down and comes up.
        limits: Limits of this instance's calls; ``None`` for the default limits of the service.
        rng: Source of jitter.
    """

    __slots__ = ("_calls",)

    _service: ClassVar[str]
    _default_limits: ClassVar[PlatformLimits]

    def __init__(
        self,
        *,
        address: str,
        metrics: Metrics,
        timeline: Timeline,
        limits: PlatformLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._calls = PlatformCalls(
            service=self._service,
            address=address,
            limits=limits or self._default_limits,
            metrics=metrics,
            timeline=timeline,
            rng=rng or random.Random(),
        )

    def close(self) -> None:
        """Close all connections and end the threads."""
        self._calls.close()


class HttpKeyValueStore(_HttpService):
    """Implements `KeyValueStore` with the platform's HTTP protocol.

    Calls are counted under ``store``.
    """

    __slots__ = ()

    _service = "store"
    _default_limits = PlatformLimits()

    @property
    def is_up(self) -> bool:
        """Whether the service is considered up, because the circuit breaker is closed."""
        return self._calls.is_up

    async def get(self, key: str) -> Result[Versioned | None, Failure]:
        """Read one key; ``None`` if it does not exist."""
        return await self._read(GET, wire.GET_PATH, {"key": key}, wire.ITEM)

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int = 1000
    ) -> Result[tuple[Versioned, ...], Failure]:
        """Read the keys under a prefix in key order, starting after ``after_key``."""
        query = {"prefix": prefix, "after_key": after_key, "limit": str(limit)}
        return await self._read(LIST, wire.LIST_PATH, query, wire.ITEMS)

    async def create(self, key: str, value: bytes, *, lease_id: str = "") -> Result[int, Failure]:
        """Create a key and return its version; ``CONFLICT`` if the key exists."""
        body = wire.CreateCall(key=key, value=value, lease_id=lease_id)
        return _version(await self._write(CREATE, wire.CREATE_PATH, body, wire.WRITTEN))

    async def compare_and_swap(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, Failure]:
        """Write a key and return its new version; ``CONFLICT`` if it has another version."""
        body = wire.SwapCall(key=key, value=value, version=version)
        return _version(await self._write(SWAP, wire.COMPARE_AND_SWAP_PATH, body, wire.WRITTEN))

    async def delete(self, key: str, *, version: int) -> Result[None, Failure]:
        """Delete a key; ``CONFLICT`` if it has another version."""
        body = wire.DeleteCall(key=key, version=version)
        return _discard_version(await self._write(DELETE, wire.DELETE_PATH, body, wire.WRITTEN))

    async def watch(
        self, prefix: str, *, after_version: int, wait_s: float
    ) -> Result[WatchResult, Failure]:
        """Wait until a key under a prefix is written or deleted after a version, or time is up."""
        query = {"prefix": prefix, "after_version": str(after_version), "wait_s": f"{wait_s:.3f}"}
        path = f"{wire.WATCH_PATH}?{urlencode(query)}"
        call = Call(kind=WATCH, method="GET", path=path, wait_s=wait_s)
        return _decode(await self._calls.make(call), wire.WATCH_RESULT, _UNREADABLE_READ)

    async def grant_lease(self, *, ttl_s: float) -> Result[Lease, Failure]:
        """Grant a new lease."""
        return await self._write(GRANT, wire.GRANT_PATH, wire.GrantCall(ttl_s=ttl_s), wire.LEASE)

    async def renew_lease(self, lease_id: str) -> Result[None, Failure]:
        """Renew a lease; ``LEASE_LOST`` if it has expired."""
        body = wire.LeaseCall(lease_id=lease_id)
        return _discard_version(await self._write(RENEW, wire.RENEW_PATH, body, wire.WRITTEN))

    async def revoke_lease(self, lease_id: str) -> Result[None, Failure]:
        """End a lease and delete its keys."""
        body = wire.LeaseCall(lease_id=lease_id)
        return _discard_version(await self._write(REVOKE, wire.REVOKE_PATH, body, wire.WRITTEN))

    async def _read(
        self, kind: CallKind, path: str, query: dict[str, str], adapter: TypeAdapter[_Value]
    ) -> Result[_Value, Failure]:
        call = Call(kind=kind, method="GET", path=f"{path}?{urlencode(query)}")
        return _decode(await self._calls.make(call), adapter, _UNREADABLE_READ)

    async def _write(
        self, kind: CallKind, path: str, body: object, adapter: TypeAdapter[_Value]
    ) -> Result[_Value, Failure]:
        encoded = _BODIES[type(body)].dump_json(body)
        call = Call(kind=kind, method="POST", path=path, body=encoded)
        return _decode(await self._calls.make(call), adapter, _UNREADABLE_WRITE)


class HttpInstanceList(_HttpService):
    """Implements `InstanceList` with the platform's HTTP protocol.

    Calls are counted under ``instance-list``.
    """

    __slots__ = ()

    _service = "instance-list"
    _default_limits = INSTANCE_LIST_LIMITS

    async def read(self) -> Result[tuple[ListedInstance, ...], Failure]:
        """Read the whole list, which lags behind the platform's own state."""
        call = Call(kind=READ_INSTANCES, method="GET", path=wire.INSTANCES_PATH)
        return _decode(await self._calls.make(call), wire.INSTANCES, _UNREADABLE_READ)


_UNREADABLE_READ = ErrorKind.STORE_UNAVAILABLE
_UNREADABLE_WRITE = ErrorKind.OUTCOME_UNKNOWN

_BODIES: dict[type, TypeAdapter[Any]] = {
    body: TypeAdapter(body)
    for body in (
        wire.CreateCall,
        wire.SwapCall,
        wire.DeleteCall,
        wire.GrantCall,
        wire.LeaseCall,
    )
}


def _decode(
    outcome: Result[bytes, Failure], adapter: TypeAdapter[_Value], unreadable: ErrorKind
) -> Result[_Value, Failure]:
    if not isinstance(outcome, Success):
        return Err(outcome.failure())
    try:
        return Success(adapter.validate_json(outcome.unwrap()))
    except ValidationError as error:
        return Err(Failure(kind=unreadable, reason=f"an unreadable answer: {error}"))


def _version(outcome: Result[wire.Written, Failure]) -> Result[int, Failure]:
    return outcome.map(lambda written: written.version)


def _discard_version(outcome: Result[wire.Written, Failure]) -> Result[None, Failure]:
    return outcome.map(lambda _: None)
