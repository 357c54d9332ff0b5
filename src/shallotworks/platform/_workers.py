"""Client for orders to workers, and the list of workers that register themselves in the store."""

from __future__ import annotations

from typing import Any

from returns.result import Success

from shallotworks.jobs import Incarnation, TaskName
from shallotworks.logs import StructuredLog
from shallotworks.scheduling import (
    EndedTask,
    EndKind,
    OrderOutcome,
    OrderStatus,
    PaceOrder,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerReport,
    WorkerView,
)
from shallotworks.store import Item

from ._fields import DECODE_ERRORS, json_array, json_integer, json_number, json_string
from ._http import Handshake, HttpAnswer, HttpClient, HttpNoAnswer, Recipient
from ._worker_entries import (
    BORN_FIELD,
    EntryProblem,
    EntryProblemKind,
    InvalidEntryError,
    decode_entry,
    read_born_ms,
)

__all__ = ["REGISTRY_PREFIX", "PlatformOrders", "WorkerRegistry"]

REGISTRY_PREFIX = "servers/"
MAX_KNOWN_BIRTHS = 10_000
"""Number of workers of which the latest known incarnation is remembered."""
WORKER_ID_HEADER = "Shallotworks-Expect-Instance"
POLL_PATH = "/v1/hold"
ENDS_PER_ANSWER = 500
"""An answer to a poll lists this many ends at most, the first ones that are not acknowledged.
Source: the platform's protocol."""
ORDER_TIMEOUT_S = 0.7
"""Timeout of an order: healthy workers answer in a few milliseconds."""

_STATUS_BY_REASON = {
    "fence": OrderStatus.FENCED,
    "old": OrderStatus.STALE_RUN,
    "late": OrderStatus.TOO_LATE,
    "room": OrderStatus.NO_ROOM,
    "ticket": OrderStatus.NO_TICKET,
}
_STATUS_BY_HTTP_STATUS = {
    200: OrderStatus.OBEYED,
    400: OrderStatus.INVALID,
    421: OrderStatus.GONE,
    429: OrderStatus.UNHEALTHY,
    503: OrderStatus.UNHEALTHY,
}
_HANDSHAKE_REFUSALS = (OrderStatus.FENCED, OrderStatus.GONE, OrderStatus.UNHEALTHY)


class PlatformOrders:
    """Implements `WorkerOrders` over persistent connections to each worker.

    The failure it guards against: an order is held up until its worker has started again at the
    same address. The later incarnation has the id that the order names, has seen no fencing token,
    and its clock begins anew, so that it would carry the order out. So an order is sent only over a
    connection on which the intended incarnation has answered a poll. That connection ends with the
    incarnation.

    Where the start of the intended incarnation is not known, incarnations can't be told apart, and
    orders are sent over any connection.
    """

    __slots__ = ("_clients",)

    def __init__(self) -> None:
        self._clients: dict[str, HttpClient] = {}

    async def poll(
        self,
        worker: WorkerView,
        *,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> OrderOutcome:
        """Read which runs are active or have ended, and extend the lease of the active ones."""
        body: dict[str, Any] = {"fencingToken": token, "lastSeen": acknowledged}
        if lease_until_ms is not None:
            body["expiresMs"] = lease_until_ms
        if wait_s > 0:
            body["waitMs"] = int(wait_s * 1000)
        is_free_of_effects = not acknowledged and lease_until_ms is None
        answer = await self._call(
            worker,
            worker.incarnation,
            POLL_PATH,
            body,
            timeout_s=timeout_s,
            needs_handshake=not is_free_of_effects,
        )
        if isinstance(answer, HttpNoAnswer) and answer.handshake_answer is not None:
            # The handshake is a poll too, so its answer is the report of whoever gave it.
            answer = answer.handshake_answer
        if isinstance(answer, HttpNoAnswer):
            return _unanswered(answer)
        return _decode_outcome(answer, is_poll=True, known_born_ms=worker.born_ms)

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
        return await self._send_order(worker, order.incarnation, "/v1/run-start", body)

    async def stop(self, worker: WorkerView, order: StopOrder, *, token: int) -> OrderOutcome:
        """Stop a run."""
        body = {
            "task": _encode_name(order.run.name),
            "runId": order.run.run_id,
            "fencingToken": token,
        }
        return await self._send_order(worker, order.incarnation, "/v1/run-stop", body)

    async def pace(self, worker: WorkerView, order: PaceOrder, *, token: int) -> OrderOutcome:
        """Set the speed of a run in percent of its full speed."""
        body = {
            "task": _encode_name(order.run.name),
            "runId": order.run.run_id,
            "percent": order.percent,
            "fencingToken": token,
        }
        return await self._send_order(worker, order.incarnation, "/v1/pace", body)

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()

    async def _send_order(
        self, worker: WorkerView, incarnation: Incarnation, path: str, body: dict[str, Any]
    ) -> OrderOutcome:
        answer = await self._call(
            worker, incarnation, path, body, timeout_s=ORDER_TIMEOUT_S, needs_handshake=True
        )
        if not isinstance(answer, HttpNoAnswer):
            return _decode_outcome(answer, is_poll=False)
        if answer.handshake_answer is None:
            return _unanswered(answer)
        return _decode_unsent(answer.handshake_answer, detail=answer.detail)

    async def _call(
        self,
        worker: WorkerView,
        incarnation: Incarnation,
        path: str,
        body: dict[str, Any],
        *,
        timeout_s: float,
        needs_handshake: bool,
    ) -> HttpAnswer | HttpNoAnswer:
        """Call a worker.

        Args:
            worker: The worker.
            incarnation: The only incarnation of it that may carry the call out.
            path: Path.
            body: JSON object to send; contains the fencing token.
            timeout_s: Longest time for the whole call.
            needs_handshake: Whether another incarnation must not receive the call.
        """
        client = self._clients.get(worker.address)
        if client is None:
            client = self._clients[worker.address] = HttpClient(address=worker.address)
        handshake_body = {"fencingToken": body["fencingToken"], "lastSeen": 0}
        recipient = Recipient(
            process=incarnation,
            identify=lambda answer: _identify(incarnation.worker_id, answer),
            handshake=Handshake(path=POLL_PATH, body=handshake_body) if needs_handshake else None,
        )
        return await client.call(
            "POST",
            path,
            body=body,
            timeout_s=timeout_s,
            headers={WORKER_ID_HEADER: incarnation.worker_id},
            recipient=recipient if incarnation.born_ms is not None else None,
        )


def _identify(worker_id: str, answer: HttpAnswer) -> Incarnation | None:
    """Return which incarnation of a worker gave an answer; ``None`` if the answer does not say."""
    born_ms = _decode_optional_born_ms(answer.body) if answer.status == 200 else None
    return Incarnation(worker_id=worker_id, born_ms=born_ms) if born_ms is not None else None


def _unanswered(answer: HttpNoAnswer) -> OrderOutcome:
    order_status = OrderStatus.UNSENT if answer.is_unsent else OrderStatus.UNANSWERED
    if answer.is_refused:
        order_status = OrderStatus.REFUSED
    return OrderOutcome(status=order_status, detail=answer.detail)


def _decode_unsent(handshake_answer: HttpAnswer, *, detail: str) -> OrderOutcome:
    """Return the outcome of an order that was not sent, as its handshake was answered otherwise.

    A refusal of the handshake is one of the order, which has the same fencing token and worker id.
    """
    outcome = _decode_outcome(handshake_answer, is_poll=True)
    if outcome.status in _HANDSHAKE_REFUSALS:
        return outcome
    return OrderOutcome(status=OrderStatus.UNSENT, detail=detail, born_ms=outcome.born_ms)


def _decode_outcome(
    answer: HttpAnswer, is_poll: bool, *, known_born_ms: int | None = None
) -> OrderOutcome:
    clock_ms = _decode_clock_ms(answer.body)
    if answer.status == 409:
        reason = str(answer.body.get("reason", ""))
        order_status = _STATUS_BY_REASON.get(reason, OrderStatus.INVALID)
        return OrderOutcome(status=order_status, clock_ms=clock_ms, detail=reason)
    order_status = _STATUS_BY_HTTP_STATUS.get(answer.status, OrderStatus.UNANSWERED)
    detail = "" if answer.status == 200 else f"status {answer.status}"
    if not is_poll or order_status is not OrderStatus.OBEYED:
        return OrderOutcome(
            status=order_status,
            clock_ms=clock_ms,
            detail=detail,
            born_ms=_decode_optional_born_ms(answer.body),
        )
    try:
        report = _decode_report(answer.body)
        born_ms = read_born_ms(
            answer.body, is_required=known_born_ms is not None, known_born_ms=known_born_ms
        )
    except DECODE_ERRORS as error:
        return OrderOutcome(status=OrderStatus.INVALID, detail=repr(error))
    return OrderOutcome(status=order_status, clock_ms=clock_ms, report=report, born_ms=born_ms)


def _decode_optional_born_ms(body: dict[str, Any]) -> int | None:
    """Return the start that an answer without lists states; ``None`` if it states no valid one."""
    try:
        return read_born_ms(body, is_required=False)
    except InvalidEntryError:
        return None


def _decode_clock_ms(body: dict[str, Any]) -> int:
    """Return the worker's clock in milliseconds; 0 if the answer lacks it.

    The HTTP status alone decides the outcome of the order, which is valid without the clock.
    """
    try:
        return int(json_number(body.get("clockMs", 0)))
    except TypeError:
        return 0


def _decode_report(body: dict[str, Any]) -> WorkerReport:
    ended = tuple(_decode_ended(row) for row in json_array(body.get("ended", [])))
    return WorkerReport(
        clock_ms=int(json_number(body.get("clockMs", 0))),
        running=tuple(_decode_running(row) for row in json_array(body.get("running", []))),
        ended=ended,
        has_more_ends=len(ended) >= ENDS_PER_ANSWER,
    )


def _decode_running(row: Any) -> RunningTask:
    fields = json_array(row)
    return RunningTask(
        name=_decode_name(fields[0]),
        run_id=json_integer(fields[1]),
        checkpoint=json_string(fields[2] or ""),
        percent=int(fields[3]) if len(fields) > 3 else 0,
        measurement=int(fields[4] or 0) if len(fields) > 4 else 0,
    )


def _decode_ended(row: Any) -> EndedTask:
    fields = json_array(row)
    return EndedTask(
        number=json_integer(fields[0]),
        name=_decode_name(fields[1]),
        run_id=json_integer(fields[2]),
        kind=EndKind(fields[3]),
        checkpoint=json_string(fields[4] or ""),
    )


def _encode_name(name: TaskName) -> str:
    return f"{name.job_id}.{name.occurrence}.{name.step}.{name.number}"


def _decode_name(name: Any) -> TaskName:
    job_id, occurrence, step, index = json_string(name).split(".")
    return TaskName(job_id, int(occurrence), int(step), int(index))


class WorkerRegistry:
    """List of the registered workers; implements `WorkerDirectory` and `WatchListener`.

    The failure it guards against: an entry that another program wrote, possibly over a worker's
    own, is trusted. A worker whose entry can't be decoded is removed from the list and gets no new
    tasks. Its earlier entry is not used any more, and the worker counts neither as draining nor as
    gone. The worker itself may be healthy and run tasks under valid leases: its scheduler continues
    to poll an unlisted worker and extends the worker's lease while it answers, so that those tasks
    end there and none is started twice.

    An entry of an earlier incarnation than the latest known one is ignored: a write of the earlier
    one may arrive late, and a read may be stale.

    Args:
        log: Receives a line when a worker is listed, starts again, starts or stops draining,
            becomes unreadable or is deleted.
    """

    __slots__ = (
        "_is_born_stated",
        "_latest_born_ms",
        "_log",
        "_problems",
        "_workers",
        "is_synced",
        "version",
    )

    def __init__(self, *, log: StructuredLog) -> None:
        self._log = log
        self._workers: dict[str, WorkerView] = {}
        self._problems: dict[str, EntryProblem] = {}
        self._latest_born_ms: dict[str, int] = {}
        """The latest known incarnation of each worker, also of those no longer listed."""
        self._is_born_stated = False
        """Whether workers of this platform state when they started: all of them do, or none."""
        self.is_synced = False
        self.version = 0

    def workers_of(self, service: str) -> dict[str, WorkerView]:
        """Return the listed workers of a service by id."""
        return {key: view for key, view in self._workers.items() if view.service == service}

    def born_ms_of(self, service: str, worker_id: str) -> int | None:
        """Return when a listed worker of a service had started, in milliseconds since 1970."""
        view = self._workers.get(worker_id)
        return view.born_ms if view is not None and view.service == service else None

    def on_write(self, item: Item) -> None:
        """List a worker whose entry was written; remove it if the entry can't be decoded."""
        worker_id = item.key.removeprefix(REGISTRY_PREFIX)
        decoded = decode_entry(
            worker_id,
            item.value,
            requires_born=self._is_born_stated,
            known_born_ms=self._latest_born_ms.get(worker_id),
        )
        if not isinstance(decoded, Success):
            self._reject(worker_id, decoded.failure(), item.revision)
            return
        view = decoded.unwrap()
        if view.born_ms is not None:
            self._require_born(item.revision)
            self._note_born(worker_id, view.born_ms)
        self._add(view, item.revision)

    def on_delete(self, key: str, revision: int) -> None:
        """Remove a worker whose entry was deleted."""
        worker_id = key.removeprefix(REGISTRY_PREFIX)
        self._problems.pop(worker_id, None)
        if self._workers.pop(worker_id, None) is not None:
            self.version += 1
            self._log.line("worker-unlisted", worker=worker_id)

    def _add(self, view: WorkerView, revision: int) -> None:
        self._problems.pop(view.worker_id, None)
        earlier = self._workers.get(view.worker_id)
        self._workers[view.worker_id] = view
        self.version += earlier != view
        if earlier is None or (earlier.born_ms, earlier.is_draining) != (
            view.born_ms,
            view.is_draining,
        ):
            state = "draining" if view.is_draining else "ready"
            self._log.line(
                "worker-listed",
                worker=view.worker_id,
                state=state,
                revision=revision,
                born_ms=view.born_ms,
                was_born_ms=earlier.born_ms if earlier is not None else None,
            )

    def _require_born(self, revision: int) -> None:
        """Require each entry to state the worker's start, now that one has stated it."""
        if self._is_born_stated:
            return
        self._is_born_stated = True
        problem = EntryProblem(kind=EntryProblemKind.MISSING, field=BORN_FIELD)
        for worker_id in [key for key, view in self._workers.items() if view.born_ms is None]:
            self._reject(worker_id, problem, revision)

    def _note_born(self, worker_id: str, born_ms: int) -> None:
        self._latest_born_ms.pop(worker_id, None)
        self._latest_born_ms[worker_id] = born_ms
        if len(self._latest_born_ms) > MAX_KNOWN_BIRTHS:
            del self._latest_born_ms[next(iter(self._latest_born_ms))]

    def _reject(self, worker_id: str, problem: EntryProblem, revision: int) -> None:
        # An entry of an earlier incarnation says nothing against the later one that is listed.
        is_superseded = problem.kind is EntryProblemKind.SUPERSEDED
        earlier = None if is_superseded else self._workers.pop(worker_id, None)
        self.version += earlier is not None
        # Entries are rewritten every second or two, so the same problem is logged only once.
        if self._problems.get(worker_id) == problem:
            return
        self._problems[worker_id] = problem
        self._log.line(
            "worker-unreadable",
            worker=worker_id,
            fault=problem.kind.value,
            field=problem.field,
            was_listed=earlier is not None,
            revision=revision,
        )
