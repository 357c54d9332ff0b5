"""Clients of the platform's machine API and of its advice on which workers may run a step."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from urllib.parse import urlencode

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.scheduling import Machine, MachineOrderStatus, MachineState, Permits

from ._fields import DECODE_ERRORS, json_array, json_number, json_string
from ._http import HttpAnswer, HttpClient, HttpNoAnswer

__all__ = ["PlatformAdvice", "PlatformMachines"]

CALL_TIMEOUT_S = 1.0
"""Timeout of a call; an unanswered order is repeated, which does no harm."""
ADVICE_TIMEOUT_S = 3.0
"""Timeout of a request for advice: the service takes time for each worker in it and handles one
request at a time of each instance."""
DEFAULT_ADVICE_VALID_MS = 1000
MAX_ADVICE_CALLS = 4
"""Calls to the advice service at the same time, over all services that this instance schedules.
The service handles them in turn, so that the timeout of a call would pass while it waits there."""

_STATUS_BY_HTTP_STATUS = {
    200: MachineOrderStatus.OBEYED,
    400: MachineOrderStatus.MISFIT,
    429: MachineOrderStatus.REFUSED,
    503: MachineOrderStatus.REFUSED,
}
_STATUS_BY_REASON = {
    "fence": MachineOrderStatus.FENCED,
    "busy": MachineOrderStatus.BUSY,
    "wave": MachineOrderStatus.NOT_IN_WAVE,
}


class PlatformMachines:
    """Implements `Machines`.

    Args:
        client: HTTP client of the machine API.
        instance: Name of this instance, which the platform requires with each order.
        born_ms_of: Returns when the worker with an id had started, in milliseconds since 1970, if
            it is registered in a pool; the list of machines does not state it.
    """

    __slots__ = ("_born_ms_of", "_client", "_instance")

    def __init__(
        self,
        *,
        client: HttpClient,
        instance: str,
        born_ms_of: Callable[[str, str], int | None] = lambda _pool, _worker_id: None,
    ) -> None:
        self._client = client
        self._instance = instance
        self._born_ms_of = born_ms_of

    async def list(self) -> Result[tuple[Machine, ...], Failure]:
        """Read all machines, page by page; ``UNREACHABLE`` if a page can't be read."""
        machines: list[Machine] = []
        path = "/v1/machines"
        while True:
            answer = await self._client.call("GET", path, timeout_s=CALL_TIMEOUT_S)
            if isinstance(answer, HttpNoAnswer) or answer.status != 200:
                return Err(Failure(kind=ErrorKind.UNREACHABLE, reason=f"machines: {answer}"))
            try:
                machines.extend(_decode_machines(answer.body["machines"]))
                token = _decode_page_token(answer.body.get("nextToken"))
            except DECODE_ERRORS as error:
                reason = f"the list of machines can't be decoded: {error!r}"
                return Err(Failure(kind=ErrorKind.UNREACHABLE, reason=reason))
            if not token:
                return Success(tuple(self._with_start(machine) for machine in machines))
            path = f"/v1/machines?{urlencode({'pageToken': token})}"

    def _with_start(self, machine: Machine) -> Machine:
        if not machine.worker_id:
            return machine
        return replace(machine, born_ms=self._born_ms_of(machine.pool, machine.worker_id))

    async def start_maintenance(self, machine: str, *, wave: int, token: int) -> MachineOrderStatus:
        """Take a machine down for maintenance, which ends all runs there at once."""
        return await self._send_order(
            "/v1/machine-upkeep", {"machine": machine, "wave": wave}, token
        )

    async def move(self, machine: str, *, pool: str, token: int) -> MachineOrderStatus:
        """Move a machine into another service's pool, which ends all runs there at once."""
        return await self._send_order("/v1/machine-move", {"machine": machine, "pool": pool}, token)

    async def _send_order(self, path: str, body: dict[str, Any], token: int) -> MachineOrderStatus:
        headers = {
            "Shallotworks-Duty-Holder": self._instance,
            "Shallotworks-Fencing-Token": str(token),
        }
        answer = await self._client.call(
            "POST", path, body=body, headers=headers, timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(answer, HttpNoAnswer):
            return MachineOrderStatus.REFUSED if answer.is_unsent else MachineOrderStatus.UNANSWERED
        if answer.status == 409:
            return _STATUS_BY_REASON.get(
                str(answer.body.get("reason", "")), MachineOrderStatus.BUSY
            )
        return _STATUS_BY_HTTP_STATUS.get(answer.status, MachineOrderStatus.UNANSWERED)


class PlatformAdvice:
    """Implements `AdviceService`.

    Args:
        client: HTTP client of the advice service; ``None`` if no such service is configured.
    """

    __slots__ = ("_calls", "_client")

    def __init__(self, *, client: HttpClient | None) -> None:
        self._client = client
        self._calls = asyncio.Semaphore(MAX_ADVICE_CALLS)

    async def request_permits(
        self, step: tuple[str, int, int], worker_ids: tuple[str, ...]
    ) -> Result[Permits, Failure]:
        """Ask which of some workers may run a step; ``UNREACHABLE`` if there is no valid answer."""
        if self._client is None:
            return Err(
                Failure(kind=ErrorKind.UNREACHABLE, reason="no advice service is configured")
            )
        body = {"step": ".".join(str(part) for part in step), "workers": list(worker_ids)}
        async with self._calls:
            answer = await self._client.call(
                "POST", "/v1/advise", body=body, timeout_s=ADVICE_TIMEOUT_S
            )
        if not isinstance(answer, HttpAnswer) or answer.status != 200:
            return Err(Failure(kind=ErrorKind.UNREACHABLE, reason=f"advice: {answer}"))
        try:
            return Success(_decode_permits(answer.body))
        except DECODE_ERRORS as error:
            reason = f"the advice can't be decoded: {error!r}"
            return Err(Failure(kind=ErrorKind.UNREACHABLE, reason=reason))


def _decode_machines(listed: Any) -> list[Machine]:
    """Decode the rows that contain a machine's name; skip all others."""
    named = [
        row
        for row in json_array(listed)
        if isinstance(row, dict) and _string_or_empty(row, "machine")
    ]
    return [_decode_machine(row) for row in named]


def _decode_page_token(token: Any) -> str:
    if isinstance(token, int):
        return str(token)
    return json_string(token or "")


def _string_or_empty(row: dict[str, Any], name: str) -> str:
    value = row.get(name)
    return value if isinstance(value, str) else ""


def _decode_machine(row: dict[str, Any]) -> Machine:
    """Decode a machine; one whose state, pool or worker can't be read counts as down.

    The failures: an unreadable row ended the machine controller, and with it all maintenance and
    all moves; or the row was skipped, so that a machine of a wave counted as gone and the wave as
    completed. A machine that is down gets no orders but stays on the list.
    """
    name = row["machine"]
    try:
        return Machine(
            name=name,
            pool=json_string(row["pool"]),
            state=MachineState(row["state"]),
            worker_id=json_string(row.get("id") or ""),
        )
    except DECODE_ERRORS:
        return Machine(name=name, pool=_string_or_empty(row, "pool"), state=MachineState.DOWN)


def _decode_permits(body: dict[str, Any]) -> Permits:
    allowed = [json_array(row) for row in json_array(body.get("allowed", []))]
    valid_ms = json_number(body.get("validMs", DEFAULT_ADVICE_VALID_MS))
    if valid_ms < 0:
        raise ValueError("validMs is negative")
    return Permits(
        tickets={json_string(row[0]): json_string(row[1]) for row in allowed},
        valid_s=valid_ms / 1000,
    )
