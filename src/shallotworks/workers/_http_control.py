"""Control of worker instances over HTTP."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import urllib3
from pydantic import TypeAdapter, ValidationError
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Instance
from shallotworks.plans import ProbeReport

__all__ = ["HttpTargetControl"]

CALL_TIMEOUT_S = 2.0
"""Longest wait for a connection, and for the next bytes of a response."""
MAX_CONCURRENT_CALLS = 4
"""Calls in flight at once; further ones wait."""
CONTROL_PREFIX = "/.worker"
RUNNING_STATE: Final = "running"
HTTP_CONFLICT = 409
FIRST_HTTP_ERROR_STATUS = 400

_Value = TypeVar("_Value")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Status:
    incarnation: str
    in_flight: int
    reboot_id: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class _TaskOrder:
    task_id: str
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _Task:
    order: _TaskOrder
    state: str


@dataclass(frozen=True, slots=True, kw_only=True)
class _TaskRequest:
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _RebootOrder:
    reboot_id: str
    fencing_token: int


_STATUS_ADAPTER = TypeAdapter(_Status)
_TASKS_ADAPTER: TypeAdapter[tuple[_Task, ...]] = TypeAdapter(tuple[_Task, ...])
_TASK_REQUEST_ADAPTER = TypeAdapter(_TaskRequest)
_REBOOT_ADAPTER = TypeAdapter(_RebootOrder)


class HttpTargetControl:
    """Implements `shallotworks.plans.TargetControl` with the workers' HTTP protocol.

    Every call fails with ``UNREACHABLE`` if no complete response arrives, with ``CONFLICT`` if the
    worker refuses, and with ``TARGET_FAILED`` for any other response than the expected one.
    """

    __slots__ = ("_pool", "_threads")

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(
            num_pools=MAX_CONCURRENT_CALLS, maxsize=1, retries=False, timeout=CALL_TIMEOUT_S
        )
        self._threads = ThreadPoolExecutor(
            MAX_CONCURRENT_CALLS, thread_name_prefix="worker-control"
        )

    def close(self) -> None:
        """Stop the threads and close the connections."""
        self._threads.shutdown(wait=True, cancel_futures=True)
        self._pool.clear()

    async def in_flight(self, instance: Instance) -> Result[int, Failure]:
        """Return the number of requests and tasks that the instance runs."""
        status = await self._status(instance)
        tasks = await self._running_tasks(instance)
        return status.bind(
            lambda report: tasks.map(lambda running: report.in_flight + len(running))
        )

    async def checkpoint_jobs(self, instance: Instance) -> Result[int, Failure]:
        """Checkpoint and stop the instance's running tasks; return their number."""
        tasks = await self._running_tasks(instance)
        if not isinstance(tasks, Success):
            return Err(tasks.failure())
        stopped = 0
        for task in tasks.unwrap():
            body = _TASK_REQUEST_ADAPTER.dump_json(_TaskRequest(epoch=task.order.epoch))
            for verb in ("checkpoint", "stop"):
                path = f"/tasks/{task.order.task_id}/{verb}"
                response = await self._call(instance, "POST", path, body)
                if not isinstance(response, Success):
                    return Err(response.failure())
            stopped += 1
        return Success(stopped)

    async def reboot(
        self, instance: Instance, *, reboot_id: str, fencing_token: int
    ) -> Result[None, Failure]:
        """Reboot the instance at most once for a reboot id; ``CONFLICT`` if work is in flight."""
        order = _RebootOrder(reboot_id=reboot_id, fencing_token=fencing_token)
        response = await self._call(instance, "POST", "/reboot", _REBOOT_ADAPTER.dump_json(order))
        return response.map(lambda _: None)

    async def probe(self, instance: Instance) -> Result[ProbeReport, Failure]:
        """Read the instance's status as proof that it works."""
        status = await self._status(instance)
        return status.map(
            lambda report: ProbeReport(incarnation=report.incarnation, reboot_id=report.reboot_id)
        )

    async def _status(self, instance: Instance) -> Result[_Status, Failure]:
        response = await self._call(instance, "GET", "/status")
        return response.bind(lambda data: _read(_STATUS_ADAPTER, data, instance))

    async def _running_tasks(self, instance: Instance) -> Result[tuple[_Task, ...], Failure]:
        response = await self._call(instance, "GET", "/tasks")
        tasks = response.bind(lambda data: _read(_TASKS_ADAPTER, data, instance))
        return tasks.map(
            lambda listed: tuple(task for task in listed if task.state == RUNNING_STATE)
        )

    async def _call(
        self, instance: Instance, method: str, path: str, body: bytes | None = None
    ) -> Result[bytes, Failure]:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, self._send, instance, method, path, body)

    def _send(
        self, instance: Instance, method: str, path: str, body: bytes | None
    ) -> Result[bytes, Failure]:
        url = f"http://{instance.address}{CONTROL_PREFIX}{path}"
        try:
            answer = self._pool.request(method, url, body=body)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _fail(ErrorKind.UNREACHABLE, f"{instance.name}: {type(error).__name__}")
        if answer.status == HTTP_CONFLICT:
            return _fail(
                ErrorKind.CONFLICT, f"{instance.name} refuses {method} {CONTROL_PREFIX}{path}"
            )
        if answer.status >= FIRST_HTTP_ERROR_STATUS:
            return _fail(ErrorKind.TARGET_FAILED, f"{instance.name}: HTTP {answer.status}")
        return Success(answer.data)


def _read(adapter: TypeAdapter[_Value], data: bytes, instance: Instance) -> Result[_Value, Failure]:
    try:
        return Success(adapter.validate_json(data))
    except ValidationError:
        return _fail(ErrorKind.TARGET_FAILED, f"{instance.name}: not the expected JSON")


def _fail(kind: ErrorKind, reason: str) -> Result[Any, Failure]:
    return Err(Failure(kind=kind, reason=reason))
