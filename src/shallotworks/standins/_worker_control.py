"""Control calls of the worker stand-in; the page is ``docs/protocol-worker.md``."""

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
    """What a worker has seen; the demo's table is worked out from these.

    Args:
        runs: Requests run, retries included.
        refused: Requests answered as not run.
        doubled: Runs of a non-idempotent request after its first.
        cut_off: Requests that a reboot ended in flight.
    """

    runs: int
    refused: int
    doubled: int
    cut_off: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerStatus:
    """What a worker reports of itself; its usage lags by the stated time.

    Args:
        name: The instance.
        incarnation: Which machine it is; the same after a reboot.
        reboot_id: Id of the reboot that it last came back from; empty for none.
        slots: Requests it runs at once.
        in_flight: Requests running now.
        usage_in_flight: Requests running ``usage_lag_s`` ago.
        usage_lag_s: The lag.
        counts: What it has seen.
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
    """Asks a worker to reboot.

    Args:
        reboot_id: Names this reboot; asking again for the same one does nothing more.
        fencing_token: Token of whoever asks; one lower than the highest seen is refused.
    """

    reboot_id: str
    fencing_token: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlAnswer:
    """What a control call is answered with.

    Args:
        status: HTTP status with its phrase.
        body: The whole body.
    """

    status: str
    body: bytes = b""


class ControlledWorker(Protocol):
    """What control calls need of a worker."""

    tasks: TaskTable

    def status(self) -> WorkerStatus:
        """Return what it reports of itself."""

    def reboot(self, order: RebootOrder) -> bool:
        """Reboot; says whether it is done or under way."""

    def set_faults(self, faults: WorkerFaults) -> None:
        """Put a fault in force."""


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
    """Carry out one control call.

    Args:
        worker: The worker that is called.
        method: HTTP method.
        path_parts: Parts of the path after the prefix of control calls.
        body: The whole body; answered with 400 where it is not what the call takes.
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
