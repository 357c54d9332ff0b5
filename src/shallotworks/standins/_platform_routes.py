"""Handlers for each call of the platform stand-in's HTTP protocol."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from typing import Any, TypeVar
from urllib.parse import parse_qs

from pydantic import TypeAdapter, ValidationError
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import wire

from ._memory_instances import MemoryInstanceList
from ._memory_store import MemoryStore, StoreFaults

__all__ = ["HttpAnswer", "HttpCall", "PlatformRoutes"]

FAULTS_PATH = "/admin/v1/faults"
RESTORE_PATH = "/admin/v1/come-back"
ADMIN_INSTANCES_PATH = "/admin/v1/instances"
CALLS_PATH = "/admin/v1/calls"

STATUS_BY_KIND = {kind: status for status, kind in wire.KIND_BY_STATUS.items()}

_FAULTS_ADAPTER = TypeAdapter(StoreFaults)
_Value = TypeVar("_Value")


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpCall:
    """One HTTP request.

    Args:
        method: HTTP method.
        path: Path without the query string.
        query: Raw query string.
        body: The complete body.
    """

    method: str
    path: str
    query: str = ""
    body: bytes = b""

    def parameter(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter."""
        return parse_qs(self.query, keep_blank_values=True).get(name, [default])[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpAnswer:
    """The answer to one HTTP request.

    Args:
        status: HTTP status.
        body: JSON body.
        drop: Whether the connection is closed without an answer.
    """

    status: int = 200
    body: bytes = b"{}"
    drop: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class _ComeBack:
    version: int


_RESTORE_ADAPTER = TypeAdapter(_ComeBack)
_CREATE_ADAPTER = TypeAdapter(wire.CreateCall)
_SWAP_ADAPTER = TypeAdapter(wire.SwapCall)
_DELETE_ADAPTER = TypeAdapter(wire.DeleteCall)
_GRANT_ADAPTER = TypeAdapter(wire.GrantCall)
_LEASE_CALL_ADAPTER = TypeAdapter(wire.LeaseCall)

_Handler = Callable[[HttpCall], Awaitable[HttpAnswer]]


@dataclass(slots=True, kw_only=True)
class PlatformRoutes:
    """Finds and runs the handler of each call, on the stand-in's event loop.

    Args:
        store: The key-value store that the handlers use.
        instances: The list of instances that the handlers use.
    """

    store: MemoryStore
    instances: MemoryInstanceList
    _handlers: dict[tuple[str, str], _Handler] = field(init=False)

    def __post_init__(self) -> None:
        self._handlers = {
            ("GET", wire.GET_PATH): self._get,
            ("GET", wire.LIST_PATH): self._list,
            ("GET", wire.WATCH_PATH): self._watch,
            ("POST", wire.CREATE_PATH): self._create,
            ("POST", wire.COMPARE_AND_SWAP_PATH): self._swap,
            ("POST", wire.DELETE_PATH): self._delete,
            ("POST", wire.GRANT_PATH): self._grant,
            ("POST", wire.RENEW_PATH): self._renew,
            ("POST", wire.REVOKE_PATH): self._revoke,
            ("GET", wire.INSTANCES_PATH): self._read_instances,
            ("PUT", FAULTS_PATH): self._set_faults,
            ("POST", RESTORE_PATH): self._restore_store,
            ("PUT", ADMIN_INSTANCES_PATH): self._set_instances,
            ("GET", CALLS_PATH): self._read_state,
        }

    async def answer(self, call: HttpCall) -> HttpAnswer:
        """Answer one call: 404 for an unknown route, 400 for invalid parameters or body."""
        handler = self._handlers.get((call.method, call.path))
        if handler is None:
            return HttpAnswer(status=404, body=_encode_reason(f"no {call.method} {call.path}"))
        try:
            return await handler(call)
        except (ValidationError, ValueError) as error:
            return HttpAnswer(status=400, body=_encode_reason(str(error)))

    async def _get(self, call: HttpCall) -> HttpAnswer:
        return _encode(await self.store.get(call.parameter("key")), wire.ITEM)

    async def _list(self, call: HttpCall) -> HttpAnswer:
        outcome = await self.store.list(
            call.parameter("prefix"),
            after_key=call.parameter("after_key"),
            limit=int(call.parameter("limit", "1000")),
        )
        return _encode(outcome, wire.ITEMS)

    async def _watch(self, call: HttpCall) -> HttpAnswer:
        outcome = await self.store.watch(
            call.parameter("prefix"),
            after_version=int(call.parameter("after_version", "0")),
            wait_s=float(call.parameter("wait_s", "0")),
        )
        return _encode(outcome, wire.WATCH_RESULT)

    async def _create(self, call: HttpCall) -> HttpAnswer:
        body = _CREATE_ADAPTER.validate_json(call.body)
        return _encode_version(
            await self.store.create(body.key, body.value, lease_id=body.lease_id)
        )

    async def _swap(self, call: HttpCall) -> HttpAnswer:
        body = _SWAP_ADAPTER.validate_json(call.body)
        return _encode_version(
            await self.store.compare_and_swap(body.key, body.value, version=body.version)
        )

    async def _delete(self, call: HttpCall) -> HttpAnswer:
        body = _DELETE_ADAPTER.validate_json(call.body)
        outcome = await self.store.delete(body.key, version=body.version)
        return _encode_version(outcome.map(lambda _: 0))

    async def _grant(self, call: HttpCall) -> HttpAnswer:
        body = _GRANT_ADAPTER.validate_json(call.body)
        return _encode(await self.store.grant_lease(ttl_s=body.ttl_s), wire.LEASE)

    async def _renew(self, call: HttpCall) -> HttpAnswer:
        body = _LEASE_CALL_ADAPTER.validate_json(call.body)
        return _encode_version((await self.store.renew_lease(body.lease_id)).map(lambda _: 0))

    async def _revoke(self, call: HttpCall) -> HttpAnswer:
        body = _LEASE_CALL_ADAPTER.validate_json(call.body)
        return _encode_version((await self.store.revoke_lease(body.lease_id)).map(lambda _: 0))

    async def _read_instances(self, _call: HttpCall) -> HttpAnswer:
        return _encode(await self.instances.read(), wire.INSTANCES)

    async def _set_faults(self, call: HttpCall) -> HttpAnswer:
        faults = _FAULTS_ADAPTER.validate_json(call.body)
        self.store.set_faults(faults)
        self.instances.is_down = faults.down
        return HttpAnswer()

    async def _restore_store(self, call: HttpCall) -> HttpAnswer:
        version = _RESTORE_ADAPTER.validate_json(call.body).version
        if version == 0:
            self.store.wipe()
        else:
            self.store.roll_back_to(version)
        return HttpAnswer()

    async def _set_instances(self, call: HttpCall) -> HttpAnswer:
        self.instances.replace_all(wire.INSTANCES.validate_json(call.body))
        return HttpAnswer()

    async def _read_state(self, _call: HttpCall) -> HttpAnswer:
        state = {"calls": dict(self.store.calls), "list_reads": self.instances.read_count}
        state["faults"] = asdict(self.store.faults)
        return HttpAnswer(body=json.dumps(state).encode())


def _encode_version(outcome: Result[int, Failure]) -> HttpAnswer:
    return _encode(outcome.map(lambda version: wire.Written(version=version)), wire.WRITTEN)


def _encode(outcome: Result[_Value, Failure], adapter: TypeAdapter[Any]) -> HttpAnswer:
    if isinstance(outcome, Success):
        return HttpAnswer(body=adapter.dump_json(outcome.unwrap()))
    failure = outcome.failure()
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
        return HttpAnswer(drop=True)
    return HttpAnswer(status=STATUS_BY_KIND[failure.kind], body=_encode_reason(failure.reason))


def _encode_reason(reason: str) -> bytes:
    return json.dumps({"reason": reason}).encode()
