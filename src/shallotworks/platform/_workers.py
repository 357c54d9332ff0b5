"""Orders to workers, and the list of workers that register themselves in the store."""

from __future__ import annotations

import json
from typing import Any

from shallotworks.jobs import TaskName
from shallotworks.logs import LogLines
from shallotworks.scheduling import (
    EndedTask,
    EndKind,
    OrderEnding,
    OrderOutcome,
    PaceOrder,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerReport,
    WorkerView,
)
from shallotworks.store import Item

from ._http import HttpAnswer, HttpClient, HttpLost

__all__ = ["REGISTRY_PREFIX", "PlatformOrders", "WorkerRegistry"]

REGISTRY_PREFIX = "servers/"
INCARNATION_HEADER = "Shallotworks-Expect-Instance"
ORDER_S = 0.7
"""Time for an order's answer: workers answer in a few milliseconds when they are well."""

_REFUSALS = {
    "fence": OrderEnding.FENCED,
    "old": OrderEnding.STALE_RUN,
    "late": OrderEnding.TOO_LATE,
    "room": OrderEnding.NO_ROOM,
    "ticket": OrderEnding.NO_TICKET,
}
_ENDINGS = {
    200: OrderEnding.OBEYED,
    400: OrderEnding.INVALID,
    421: OrderEnding.GONE,
    429: OrderEnding.UNHEALTHY,
    503: OrderEnding.UNHEALTHY,
}


class PlatformOrders:
    """Implements `WorkerOrders`; keeps connections to each worker open."""

    __slots__ = ("_clients",)

    def __init__(self) -> None:
        self._clients: dict[str, HttpClient] = {}

    async def look(
        self,
        worker: WorkerView,
        *,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> OrderOutcome:
        """Ask what runs and what has ended, and extend the lease of all that runs."""
        body: dict[str, Any] = {"fencingToken": token, "lastSeen": acknowledged}
        if lease_until_ms is not None:
            body["expiresMs"] = lease_until_ms
        if wait_s > 0:
            body["waitMs"] = int(wait_s * 1000)
        return await self._order(worker, "/v1/hold", body, timeout_s=timeout_s, is_look=True)

    async def start(
        self, worker: WorkerView, order: StartOrder, *, token: int, lease_until_ms: int
    ) -> OrderOutcome:
        """Start a run."""
        body = {
            "task": _encode_name(order.run.name),
            "runId": order.run.run_id,
            "spec": order.spec,
            "expiresMs": lease_until_ms,
            "fencingToken": token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order(worker, "/v1/run-start", body)

    async def stop(self, worker: WorkerView, order: StopOrder, *, token: int) -> OrderOutcome:
        """Stop a run."""
        body = {
            "task": _encode_name(order.run.name),
            "runId": order.run.run_id,
            "fencingToken": token,
        }
        return await self._order(worker, "/v1/run-stop", body)

    async def pace(self, worker: WorkerView, order: PaceOrder, *, token: int) -> OrderOutcome:
        """Let a run work at a share of its speed."""
        body = {
            "task": _encode_name(order.run.name),
            "runId": order.run.run_id,
            "percent": order.percent,
            "fencingToken": token,
        }
        return await self._order(worker, "/v1/pace", body)

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()

    async def _order(
        self,
        worker: WorkerView,
        path: str,
        body: dict[str, Any],
        *,
        timeout_s: float = ORDER_S,
        is_look: bool = False,
    ) -> OrderOutcome:
        client = self._clients.get(worker.address)
        if client is None:
            client = self._clients[worker.address] = HttpClient(address=worker.address)
        answer = await client.call(
            "POST",
            path,
            body=body,
            timeout_s=timeout_s,
            headers={INCARNATION_HEADER: worker.worker_id},
        )
        if isinstance(answer, HttpLost):
            ending = OrderEnding.UNSENT if answer.is_unsent else OrderEnding.UNANSWERED
            return OrderOutcome(ending=ending, detail=answer.detail)
        return _outcome(answer, is_look)


def _outcome(answer: HttpAnswer, is_look: bool) -> OrderOutcome:
    clock_ms = int(answer.body.get("clockMs", 0))
    if answer.status == 409:
        reason = str(answer.body.get("reason", ""))
        ending = _REFUSALS.get(reason, OrderEnding.INVALID)
        return OrderOutcome(ending=ending, clock_ms=clock_ms, detail=reason)
    ending = _ENDINGS.get(answer.status, OrderEnding.UNANSWERED)
    detail = "" if answer.status == 200 else f"status {answer.status}"
    if not is_look or ending is not OrderEnding.OBEYED:
        return OrderOutcome(ending=ending, clock_ms=clock_ms, detail=detail)
    try:
        report = _decode_report(answer.body, clock_ms)
    except (KeyError, IndexError, ValueError, TypeError) as error:
        return OrderOutcome(ending=OrderEnding.INVALID, detail=repr(error))
    return OrderOutcome(ending=ending, clock_ms=clock_ms, report=report)


def _decode_report(body: dict[str, Any], clock_ms: int) -> WorkerReport:
    return WorkerReport(
        clock_ms=clock_ms,
        running=tuple(_decode_running(row) for row in body.get("running", ())),
        ended=tuple(
            EndedTask(
                number=row[0],
                name=_decode_name(row[1]),
                run_id=row[2],
                kind=EndKind(row[3]),
                checkpoint=row[4] or "",
            )
            for row in body.get("ended", ())
        ),
    )


def _decode_running(row: list[Any]) -> RunningTask:
    return RunningTask(
        name=_decode_name(row[0]),
        run_id=row[1],
        checkpoint=row[2] or "",
        percent=int(row[3]) if len(row) > 3 else 0,
        figure=int(row[4] or 0) if len(row) > 4 else 0,
    )


def _encode_name(name: TaskName) -> str:
    return f"{name.job_id}.{name.occurrence}.{name.step}.{name.number}"


def _decode_name(text: str) -> TaskName:
    job_id, occurrence, step, index = text.split(".")
    return TaskName(job_id, int(occurrence), int(step), int(index))


class WorkerRegistry:
    """The workers that register themselves; implements `WorkerDirectory` and `MirrorListener`.

    Args:
        log: One line for each change of what is believed of a worker.
    """

    __slots__ = ("_log", "_workers", "is_synced", "version")

    def __init__(self, *, log: LogLines) -> None:
        self._log = log
        self._workers: dict[str, WorkerView] = {}
        self.is_synced = False
        self.version = 0

    def workers_of(self, service: str) -> dict[str, WorkerView]:
        """Return the listed workers of a service by id."""
        return {key: view for key, view in self._workers.items() if view.service == service}

    def written(self, item: Item) -> None:
        """Hear that a worker registered, or changed its entry."""
        worker_id = item.key.removeprefix(REGISTRY_PREFIX)
        try:
            view = _decode_view(worker_id, json.loads(item.value))
        except (KeyError, ValueError, TypeError) as error:
            self._log.line("worker-unreadable", worker=worker_id, reason=repr(error))
            return
        earlier = self._workers.get(worker_id)
        self._workers[worker_id] = view
        self.version += earlier != view
        if earlier is None or earlier.is_draining != view.is_draining:
            state = "draining" if view.is_draining else "ready"
            self._log.line("worker-listed", worker=worker_id, state=state, revision=item.revision)

    def deleted(self, key: str, revision: int) -> None:
        """Hear that a worker's entry is gone."""
        worker_id = key.removeprefix(REGISTRY_PREFIX)
        if self._workers.pop(worker_id, None) is not None:
            self.version += 1
            self._log.line("worker-unlisted", worker=worker_id)


def _decode_view(worker_id: str, entry: dict[str, Any]) -> WorkerView:
    room = entry.get("capacity", {})
    labels = [str(label) for label in entry.get("labels", ())]
    return WorkerView(
        worker_id=worker_id,
        service=str(entry["service"]),
        address=str(entry["address"]),
        data_centre=str(entry.get("zone", "")),
        cpu_millicores=int(room.get("cpu", 0)),
        memory_mb=int(room.get("memMb", 0)),
        gpus=int(room.get("gpu", 0)),
        labels=frozenset(labels),
        # The first label is the worker's kind, the second its rack.
        rack=labels[1] if len(labels) > 1 else "",
        is_draining=entry.get("state") != "ready",
    )
