"""HTTP server of one incarnation of a worker, with the protocol of the users' platform."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from shallotworks.jobs import Step, TaskName
from shallotworks.scheduling import (
    OrderOutcome,
    OrderStatus,
    PaceOrder,
    Run,
    RunPhase,
    StartOrder,
    StopOrder,
    WorkerView,
)

from ._fault_injecting_orders import FaultInjectingOrders
from ._http_listener import HttpListener, drop_connection, json_response

__all__ = ["WorkerServer"]

POLL_TIMEOUT_S = 5.0
INCARNATION_HEADER = "Shallotworks-Expect-Instance"
_REASON_BY_STATUS = {
    OrderStatus.FENCED: "fence",
    OrderStatus.STALE_RUN: "old",
    OrderStatus.TOO_LATE: "late",
    OrderStatus.NO_ROOM: "room",
}


class WorkerServer:
    """Serves the orders for one worker.

    Args:
        orders: Executes the orders, with the network faults to all workers.
        view: The worker as discovery lists it.
        host: Address to listen on.
        port: Port to listen on, such as the one of the earlier incarnation; 0 for any free one.
    """

    def __init__(
        self,
        *,
        orders: FaultInjectingOrders,
        view: WorkerView,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self._orders = orders
        self._view = view
        self.listener = HttpListener(handle=self._handle, host=host, port=port)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.headers.get(INCARNATION_HEADER, "") != self._view.worker_id:
            return web.Response(status=421)
        body = await request.json()
        outcome = await self._execute_order(request.path, body)
        if outcome.status is OrderStatus.OBEYED:
            return json_response(_encode_report(outcome))
        reason = _REASON_BY_STATUS.get(outcome.status)
        if reason is None:
            return drop_connection(request)
        return json_response({"clockMs": outcome.clock_ms, "reason": reason}, status=409)

    async def _execute_order(self, path: str, body: dict[str, Any]) -> OrderOutcome:
        token = body["fencingToken"]
        if path == "/v1/hold":
            return await self._orders.poll(
                self._view,
                token=token,
                acknowledged=body["lastSeen"],
                lease_until_ms=body.get("expiresMs"),
                wait_s=body.get("waitMs", 0) / 1000,
                timeout_s=POLL_TIMEOUT_S,
            )
        run = self._parse_run(body)
        if path == "/v1/run-start":
            order = StartOrder(
                run=run,
                incarnation=run.incarnation,
                spec=body["spec"],
                checkpoint=body.get("checkpoint", ""),
            )
            return await self._orders.start(
                self._view, order, token=token, lease_until_ms=body["expiresMs"]
            )
        if path == "/v1/run-stop":
            stop = StopOrder(run=run, incarnation=run.incarnation)
            return await self._orders.stop(self._view, stop, token=token)
        pace = PaceOrder(run=run, incarnation=run.incarnation, percent=body["percent"])
        return await self._orders.pace(self._view, pace, token=token)

    def _parse_run(self, body: dict[str, Any]) -> Run:
        job_id, occurrence, step, number = body["task"].split(".")
        return Run(
            name=TaskName(job_id, int(occurrence), int(step), int(number)),
            run_id=body["runId"],
            step=Step(count=1),
            incarnation=self._view.incarnation,
            phase=RunPhase.STARTING,
            since_s=0.0,
        )


def _encode_report(outcome: OrderOutcome) -> dict[str, Any]:
    answer: dict[str, Any] = {"clockMs": outcome.clock_ms}
    if outcome.born_ms is not None:
        answer["born"] = outcome.born_ms
    if outcome.report is not None:
        answer["running"] = [
            [
                _format_task_name(running_task.name),
                running_task.run_id,
                running_task.checkpoint,
                running_task.percent,
                running_task.measurement,
            ]
            for running_task in outcome.report.running
        ]
        answer["ended"] = [
            [end.number, _format_task_name(end.name), end.run_id, end.kind.value, end.checkpoint]
            for end in outcome.report.ended
        ]
    return answer


def _format_task_name(name: TaskName) -> str:
    return ".".join(str(part) for part in name)
