"""The platform's HTTP service that lists machines, moves them and takes them down for maintenance.

The protocol calls maintenance "upkeep".
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from ._http_listener import HttpListener, json_response

__all__ = ["MachineOrder", "ListedMachine", "MachinesServer"]


@dataclass(slots=True, kw_only=True)
class ListedMachine:
    """A machine as the platform lists it.

    Args:
        name: Unique name.
        pool: Service whose worker runs on the machine.
        state: ``up``, ``moving``, ``upkeep`` or ``down``.
        worker_id: Id of the machine's worker; empty if there is none.
    """

    name: str
    pool: str
    state: str = "up"
    worker_id: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class MachineOrder:
    """An order to move a machine that is up, or to take it down for maintenance.

    Args:
        machine: The machine.
        holder: Lease holder that sent the order.
        token: Fencing token of the holder.
        pool: Service that the machine moves to; empty for maintenance.
        wave: Number of the maintenance wave; 0 for a move.
    """

    machine: ListedMachine
    holder: str
    token: int
    pool: str = ""
    wave: int = 0


class MachinesServer:
    """Serves the list of machines and passes on the orders for them.

    Args:
        machines: All machines by name; the owner changes them in place.
        execute_order: Executes an order; returns whether it was accepted.
        host: Address to listen on; the port is any free one.
    """

    def __init__(
        self,
        *,
        machines: Mapping[str, ListedMachine],
        execute_order: Callable[[MachineOrder], bool],
        host: str = "127.0.0.1",
    ) -> None:
        self._machines = machines
        self._execute_order = execute_order
        self.listener = HttpListener(handle=self._handle, host=host)
        self.is_down = False

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.is_down:
            return web.Response(status=503)
        if request.path == "/v1/machines":
            return json_response(
                {"machines": [_encode_machine(listed) for listed in self._machines.values()]}
            )
        body = await request.json()
        machine = self._machines.get(body["machine"])
        if machine is None:
            return web.Response(status=400)
        if machine.state != "up":
            return json_response({"reason": "busy"}, status=409)
        order = MachineOrder(
            machine=machine,
            holder=request.headers.get("Shallotworks-Duty-Holder", ""),
            token=int(request.headers.get("Shallotworks-Fencing-Token", "0")),
            pool=body.get("pool", ""),
            wave=body.get("wave", 0),
        )
        if not self._execute_order(order):
            return json_response({"reason": "wave"}, status=409)
        return json_response({})


def _encode_machine(machine: ListedMachine) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "machine": machine.name,
        "pool": machine.pool,
        "state": machine.state,
    }
    if machine.worker_id:
        encoded["id"] = machine.worker_id
    return encoded
