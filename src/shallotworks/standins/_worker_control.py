"""Control calls of the worker stand-in, as ``docs/protocol-worker.md`` describes them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from pydantic import TypeAdapter, ValidationError

from ._worker_faults import WorkerFaults
from ._worker_tasks import Task, TaskOrder, TaskTable

__all__ = [
    "ControlAnswer",
    "ControlledWorker",
    "RebootOrder",
    "WorkerCounts",
    "WorkerStatus",
    "answer_control",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerCounts:
    """Counters of a worker since its start; the demo's report is computed from them.

    Args:
        runs: Runs of requests, retries included.
        refused: Requests that were answered as not run.
        doubled: Runs of a non-idempotent request after its first run.
        cut_off: Requests in flight that a reboot or crash aborted.
    """

    runs: int
    refused: int
    doubled: int
    cut_off: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerStatus:
    """The status that a worker reports.

    Args:
        name: The instance's name.
        incarnation: Random id of the machine; stays the same after a reboot.
        reboot_id: Id of the last reboot that was accepted; empty if there was none.
        slots: Requests that can run at the same time.
        in_flight: Requests that run now.
        usage_in_flight: Requests that ran ``usage_lag_s`` ago.
        usage_lag_s: Age of ``usage_in_flight``.
        counts: Counters since the start.
    """

    name: str
    incarnation: str
    reboot_id: str
    slots: int
    in_flight: int
    usage_in_flight: int
    usage_lag_s: float
    counts: WorkerCounts


@dataclass(frozen=True, slots=True, kw_only=True)
class RebootOrder:
    """An order to reboot a worker.

    Args:
        reboot_id: Id of the reboot; repeating the last accepted one has no effect.
        fencing_token: Fencing token of the sender; one lower than the highest seen is refused.
    """

    reboot_id: str
    fencing_token: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlAnswer:
    """The answer to a control call.

    Args:
        status: HTTP status code and reason phrase.
        body: The complete body.
    """

    status: str
    body: bytes = b""


class ControlledWorker(Protocol):
    """The parts of a worker that control calls use."""

    tasks: TaskTable

    def status(self) -> WorkerStatus:
        """Return the status that the worker reports."""

    def reboot(self, order: RebootOrder) -> bool:
        """Reboot the worker; return whether the reboot is done or in progress."""

    def set_faults(self, faults: WorkerFaults) -> None:
        """Replace the active fault."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _TaskCall:
    epoch: int
    speed: float = 1.0


_STATUS_ADAPTER = TypeAdapter(WorkerStatus)
_FAULTS_ADAPTER = TypeAdapter(WorkerFaults)
_ORDER_ADAPTER = TypeAdapter(TaskOrder)
_TASKS_ADAPTER: TypeAdapter[tuple[Task, ...]] = TypeAdapter(tuple[Task, ...])
_TASK_CALL_ADAPTER = TypeAdapter(_TaskCall)
_REBOOT_ADAPTER = TypeAdapter(RebootOrder)


def answer_control(
    worker: ControlledWorker, method: str, path_parts: list[str], body: bytes
) -> ControlAnswer:
    """Execute one control call.

    Args:
        worker: The worker that is called.
        method: HTTP method.
        path_parts: Segments of the path after the prefix of control calls.
        body: The complete body; the answer is 400 if it doesn't match the call's schema.
    """
    try:
        return _dispatch_call(worker, method, path_parts, body)
    except ValidationError as error:
        return ControlAnswer(status="400 Bad Request", body=str(error).encode())


def _dispatch_call(
    worker: ControlledWorker, method: str, path_parts: list[str], body: bytes
) -> ControlAnswer:
    match (method, path_parts):
        case ("GET", ["status"]):
            return ControlAnswer(status="200 OK", body=_STATUS_ADAPTER.dump_json(worker.status()))
        case ("PUT", ["faults"]):
            worker.set_faults(_FAULTS_ADAPTER.validate_json(body))
            return ControlAnswer(status="204 No Content")
        case ("POST", ["reboot"]):
            return _answer_accepted(worker.reboot(_REBOOT_ADAPTER.validate_json(body)))
        case ("GET", ["tasks"]):
            return ControlAnswer(status="200 OK", body=_TASKS_ADAPTER.dump_json(worker.tasks.all()))
        case ("POST", ["tasks"]):
            return _answer_accepted(worker.tasks.start(_ORDER_ADAPTER.validate_json(body)))
        case ("POST", ["tasks", task_id, verb]):
            call = _TASK_CALL_ADAPTER.validate_json(body)
            return _answer_accepted(_call_task(worker.tasks, task_id, verb, call))
    return ControlAnswer(status="404 Not Found")


def _call_task(tasks: TaskTable, task_id: str, verb: str, call: _TaskCall) -> bool:
    match verb:
        case "renew":
            return tasks.renew(task_id, call.epoch)
        case "throttle":
            return tasks.throttle(task_id, call.epoch, call.speed)
        case "checkpoint":
            return tasks.checkpoint(task_id, call.epoch)
        case "stop":
            return tasks.stop(task_id, call.epoch)
    return False


def _answer_accepted(is_accepted: bool) -> ControlAnswer:
    return ControlAnswer(status="204 No Content" if is_accepted else "409 Conflict")
