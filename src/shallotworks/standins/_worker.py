"""A worker instance for development and tests, with fault injection."""

from __future__ import annotations

import errno
import hashlib
import secrets
import threading
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from shallotworks.listener import Listener

from ._worker_control import RebootOrder, WorkerCounts, WorkerStatus, answer_control
from ._worker_faults import WorkerFault, WorkerFaults
from ._worker_runs import RunLog, WorkerRun, make_run
from ._worker_tasks import TaskState, TaskTable

__all__ = ["WorkerStandIn", "serve_worker"]

CONTROL_PREFIX = "/.worker/"
CONTROL_THREADS = 16
"""Threads in addition to the slots, so that control calls are answered while all slots are busy."""
MS_PER_S = 1000
MAX_SILENCE_S = 60.0

_Start = Callable[..., Any]
_Environ = dict[str, Any]


class WorkerStandIn:
    """A worker instance that serves requests and control calls on one port.

    Args:
        name: The instance's name.
        host: IP address to listen on.
        port: Port to listen on; 0 for any free port.
        slots: Requests that run at the same time; further ones are refused.
        service_time_s: Duration of a request without a ``Work-Ms`` header.
        reboot_s: Duration of a reboot or a crash.
        usage_lag_s: Age of the reported usage.
    """

    def __init__(
        self,
        *,
        name: str,
        host: str = "127.0.0.1",
        port: int = 0,
        slots: int = 8,
        service_time_s: float = 0.005,
        reboot_s: float = 1.0,
        usage_lag_s: float = 1.0,
    ) -> None:
        self.name = name
        self.slots = slots
        self.tasks = TaskTable(clock_s=time.monotonic)
        self._service_time_s = service_time_s
        self._reboot_s = reboot_s
        self._usage_lag_s = usage_lag_s
        self._host = host
        self._listener = Listener(
            host=host, port=port, application=self._serve, threads=slots + CONTROL_THREADS
        )
        self._lock = threading.Lock()
        self._faults = WorkerFaults()
        self._stopped = threading.Event()
        self._silence_ended = threading.Event()
        self._seen_ports: set[str] = set()
        self._silent_ports: frozenset[str] = frozenset()
        self._incarnation = secrets.token_hex(4)
        self._reboot_id = ""
        self.reboots = 0
        self._fencing_token = 0
        self._down_until_s = 0.0
        self._in_flight: set[str] = set()
        self._usage: deque[tuple[float, int]] = deque(maxlen=4096)
        self._counts: Counter[str] = Counter()
        self._run_log = RunLog()

    @property
    def address(self) -> str:
        """Address as ``ip:port``."""
        return f"{self._host}:{self._listener.port}"

    def start(self) -> None:
        """Start serving."""
        self._listener.start()

    def stop(self) -> None:
        """Stop the worker; requests in flight finish without their remaining delay."""
        self._stopped.set()
        self._silence_ended.set()
        self._listener.stop()

    def set_faults(self, faults: WorkerFaults) -> None:
        """Replace the active fault; ``SILENT`` affects the client ports that were seen so far."""
        with self._lock:
            self._faults = faults
            silent = faults.fault is WorkerFault.SILENT
            self._silent_ports = frozenset(self._seen_ports) if silent else frozenset()
        if silent:
            self._silence_ended.clear()
        else:
            self._silence_ended.set()
        self.tasks.fail_all = faults.fault is WorkerFault.FAIL_ALL

    def reboot(self, order: RebootOrder) -> bool:
        """Stop answering for the duration of a reboot, and remove all tasks.

        Returns:
            Whether this reboot is done or in progress. It is refused while requests are in flight
            or tasks run, and if the fencing token is lower than the highest one seen, as that of a
            former conductor.
        """
        running = any(task.state is TaskState.RUNNING for task in self.tasks.all())
        with self._lock:
            if order.fencing_token < self._fencing_token:
                return False
            self._fencing_token = order.fencing_token
            if order.reboot_id == self._reboot_id:
                return True
            if self._in_flight or running:
                return False
            self._reboot_id = order.reboot_id
            self.reboots += 1
            self._go_down()
        return True

    def crash(self) -> None:
        """Stop answering as in a reboot, but abort the requests in flight and the tasks."""
        with self._lock:
            self._go_down()

    def _go_down(self) -> None:
        self._counts["cut-off"] += len(self._in_flight)
        self._in_flight.clear()
        self._down_until_s = time.monotonic() + self._reboot_s
        self.tasks.clear()

    def status(self) -> WorkerStatus:
        """Return the status that the worker reports."""
        with self._lock:
            return WorkerStatus(
                name=self.name,
                incarnation=self._incarnation,
                reboot_id=self._reboot_id,
                slots=self.slots,
                in_flight=len(self._in_flight),
                usage_in_flight=self._usage_at(time.monotonic() - self._usage_lag_s),
                usage_lag_s=self._usage_lag_s,
                counts=WorkerCounts(
                    runs=self._counts["runs"],
                    refused=self._counts["refused"],
                    doubled=self._counts["doubled"],
                    cut_off=self._counts["cut-off"],
                ),
            )

    def runs_by_key(self) -> Counter[str]:
        """Return the number of runs of each request, by idempotency key or else by request id."""
        with self._lock:
            return self._run_log.by_key()

    def runs(self) -> tuple[WorkerRun, ...]:
        """Return every run that this worker has started."""
        with self._lock:
            return self._run_log.all()

    def _usage_at(self, past_s: float) -> int:
        earlier = [count for at_s, count in self._usage if at_s <= past_s]
        return earlier[-1] if earlier else 0

    def _serve(self, environ: _Environ, start_response: _Start) -> Iterable[bytes]:
        with self._lock:
            down = time.monotonic() < self._down_until_s
            self._seen_ports.add(environ["REMOTE_PORT"])
        if down:
            raise _make_reset_error("rebooting")
        body: bytes = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        path: str = environ["PATH_INFO"]
        if path.startswith(CONTROL_PREFIX):
            path_parts = path.removeprefix(CONTROL_PREFIX).split("/")
            control_answer = answer_control(self, environ["REQUEST_METHOD"], path_parts, body)
            return _answer(start_response, control_answer.status, control_answer.body, [])
        return self._run_request(environ, body, start_response)

    def _run_request(
        self, environ: _Environ, body: bytes, start_response: _Start
    ) -> Iterable[bytes]:
        request_id = environ.get("HTTP_SHALLOT_REQUEST_ID", "")
        attempt = environ.get("HTTP_SHALLOT_ATTEMPT", "")
        echo = [("Shallot-Request-Id", request_id), ("Shallot-Attempt", attempt)]
        run_id = f"{request_id}/{attempt}"
        if not self._begin_run(run_id, environ):
            return _answer(start_response, "503 Busy", b"", [*echo, ("Shallot-Ran", "no")])
        try:
            self._simulate_work(environ)
            text = f"{self.name} {request_id} {hashlib.sha256(body).hexdigest()}\n"
        finally:
            cut_off = self._end_run(run_id)
        if cut_off:
            raise _make_reset_error("rebooted while in flight")
        return self._answer_run(start_response, text.encode(), echo)

    def _begin_run(self, run_id: str, environ: _Environ) -> bool:
        with self._lock:
            refuse = self._faults.fault is WorkerFault.REFUSE
            if refuse or len(self._in_flight) >= self.slots:
                self._counts["refused"] += 1
                return False
            self._in_flight.add(run_id)
            self._record_usage()
            self._counts["runs"] += 1
            if self._run_log.add(make_run(self.name, run_id, environ)):
                self._counts["doubled"] += 1
            return True

    def _end_run(self, run_id: str) -> bool:
        """Remove a run from those in flight; return whether a crash has aborted it."""
        with self._lock:
            cut_off = run_id not in self._in_flight
            self._in_flight.discard(run_id)
            self._record_usage()
            return cut_off

    def _record_usage(self) -> None:
        self._usage.append((time.monotonic(), len(self._in_flight)))

    def _simulate_work(self, environ: _Environ) -> None:
        faults = self._faults
        if environ["REMOTE_PORT"] in self._silent_ports:
            self._silence_ended.wait(MAX_SILENCE_S)
            raise _make_reset_error("the connection was silenced by a fault")
        if faults.fault is WorkerFault.FAIL_ALL:
            return
        requested_ms = environ.get("HTTP_WORK_MS")
        work_s = int(requested_ms) / MS_PER_S if requested_ms else self._service_time_s
        extra_delay_s = faults.delay_s if faults.fault is WorkerFault.LATE else 0.0
        self._stopped.wait(work_s + extra_delay_s)

    def _answer_run(
        self, start_response: _Start, body: bytes, echo: list[tuple[str, str]]
    ) -> Iterable[bytes]:
        fault = self._faults.fault
        if fault is WorkerFault.FAIL_ALL:
            return _answer(start_response, "500 Failed", b"failed\n", echo)
        if fault is WorkerFault.FOREIGN:
            echo = [("Shallot-Request-Id", "someone-elses"), ("Shallot-Attempt", "1")]
        if fault is WorkerFault.PARTIAL:
            start_response("200 OK", [*echo, ("Content-Length", str(len(body)))])
            return _send_cut_off(body[: len(body) // 2])
        return _answer(start_response, "200 OK", body, echo)


def _answer(
    start_response: _Start, status: str, body: bytes, headers: list[tuple[str, str]]
) -> Iterable[bytes]:
    start_response(status, [*headers, ("Content-Length", str(len(body)))])
    return [body]


def _make_reset_error(why: str) -> ConnectionResetError:
    """Return an error that closes the connection; without the errno cheroot would answer 500."""
    return ConnectionResetError(errno.ECONNRESET, why)


def _send_cut_off(part: bytes) -> Iterator[bytes]:
    yield part
    raise _make_reset_error("the answer was truncated by a fault")


def serve_worker(*, name: str, host: str, port: int, slots: int = 8) -> WorkerStandIn:
    """Start a worker stand-in; the caller stops it.

    Args:
        name: The instance's name.
        host: IP address to listen on.
        port: Port to listen on; 0 for any free port.
        slots: Requests that run at the same time; further ones are refused.
    """
    worker = WorkerStandIn(name=name, host=host, port=port, slots=slots)
    worker.start()
    return worker
