"""HTTP server for callers' requests, on the event loop.

It uses aiohttp's server instead of cheroot, which `shallotworks.listener` uses: cheroot assigns a
thread to each connection, so that 500 connections which send nothing keep every other caller
waiting. Here only a request that has arrived completely takes a task.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web
from returns.result import Success

from shallotworks.jobs import (
    JobRequestHandler,
    JobRequestStatus,
    JobResponse,
    JobState,
    retry_after_s,
)
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics

from ._api_keys import parse_key
from ._configuration import Configuration, Queue
from ._job_requests import decode_submission, is_job_id

__all__ = ["Admission", "Ingress"]

DEADLINE_HEADER = "Shallotworks-Deadline-Ms"
ANSWER_MARGIN_S = 0.15
"""Part of a caller's deadline that is reserved for sending the answer."""
MAX_REQUEST_S = 1.6
"""Longest processing of one request: two attempts at a store that does not answer. After that, the
caller's next attempt, at another instance, has better chances."""
NO_CONFIGURATION_RETRY_AFTER_S = 1
STOPPING_RETRY_AFTER_S = 1
REJECTION_S = 0.1
"""Time in which rejected requests are answered before their connections are closed."""
KEEPALIVE_TIMEOUT_S = 15.0
MAX_REASON_CHARACTERS = 400


@dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """How calls on queues that aren't public are admitted.

    Args:
        are_keys_required: Whether such a call needs an API key.
        is_configuration_proven: Returns whether the configuration was read from the store recently
            enough to rule out a revocation that must be in force by now.
    """

    are_keys_required: bool = False
    is_configuration_proven: Callable[[], bool] = lambda: True


class Ingress:
    """Answers callers' requests, readiness checks and reads of the metrics.

    Args:
        job_handler: Handles requests about jobs.
        configuration: Returns the configuration in force; ``None`` before the first.
        is_store_unavailable: Returns whether the store can't be reached at present.
        outage_s: Returns the seconds since the store last answered, while calls to it fail.
        log: Receives a line for each request that is rejected before it reaches the job handler.
        metrics: Counters and latencies of requests.
        admission: How calls with API keys are admitted.
    """

    __slots__ = (
        "_admission",
        "_all_answered",
        "_body_timeouts",
        "_configuration",
        "_in_flight",
        "_is_drained",
        "_is_store_unavailable",
        "_job_handler",
        "_log",
        "_metrics",
        "_outage_s",
        "_runners",
        "is_stopping",
    )

    def __init__(
        self,
        *,
        job_handler: JobRequestHandler,
        configuration: Callable[[], Configuration | None],
        is_store_unavailable: Callable[[], bool],
        outage_s: Callable[[], float],
        log: StructuredLog,
        metrics: Metrics,
        admission: Admission = Admission(),
    ) -> None:
        self._admission = admission
        self._job_handler = job_handler
        self._configuration = configuration
        self._is_store_unavailable = is_store_unavailable
        self._outage_s = outage_s
        self._log = log
        self._metrics = metrics
        self._runners: list[web.ServerRunner] = []
        self.is_stopping = False
        self._is_drained = False
        self._in_flight = 0
        self._all_answered = asyncio.Event()
        self._body_timeouts: set[asyncio.Timeout] = set()
        """Timeouts of the requests whose bodies are being received."""

    async def listen(self, address: str) -> None:
        """Listen for callers' requests."""
        await self._serve(address, self._handle)

    async def listen_for_readiness(self, address: str) -> None:
        """Listen for the platform's readiness checks."""
        await self._serve(address, self._handle_ready)

    async def listen_for_metrics(self, address: str, text: Callable[[], str]) -> None:
        """Serve the text of the metrics."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return web.Response(text=text())

        await self._serve(address, handle)

    async def drain(self, longest_s: float) -> None:
        """Serve until no request is in flight, or reject those whose bodies arrive too slowly.

        A closed HTTP server drops the rest of what is being received, and its caller gets no
        answer.

        Args:
            longest_s: Time after which a request that is still being received is rejected.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_s):
                while self._in_flight:
                    self._all_answered.clear()
                    await self._all_answered.wait()
        self._is_drained = True
        now_s = asyncio.get_running_loop().time()
        self._log.line(
            "drained", in_flight=self._in_flight, being_received=len(self._body_timeouts)
        )
        for body_timeout in self._body_timeouts:
            body_timeout.reschedule(now_s)
        # Lets the rejected requests be answered before their connections are closed.
        await asyncio.sleep(REJECTION_S if self._body_timeouts else 0.0)

    async def close(self) -> None:
        """Stop listening and close idle connections; requests in flight are answered first."""
        for runner in self._runners:
            await runner.cleanup()

    async def _serve(
        self,
        address: str,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> None:
        server = web.Server(
            handle, keepalive_timeout=KEEPALIVE_TIMEOUT_S, access_log=None, lingering_time=0.5
        )
        runner = web.ServerRunner(server, shutdown_timeout=2.0)
        await runner.setup()
        host, port = address.rsplit(":", 1)
        site = web.TCPSite(runner, host, int(port), backlog=1024, reuse_address=True)
        await site.start()
        self._runners.append(runner)

    @property
    def is_ready(self) -> bool:
        """Whether this instance should receive new connections."""
        has_configuration = self._configuration() is not None
        return has_configuration and not self.is_stopping and not self._is_store_unavailable()

    async def _handle_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self.is_ready else 503)

    # ---- callers

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        started_s = time.monotonic()
        self._in_flight += 1
        try:
            response = await self._answer(request)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._all_answered.set()
        self._metrics.count(f"callers.{request.method}.{response.status}")
        self._metrics.observe_s(f"callers.{request.method}", time.monotonic() - started_s)
        if self.is_stopping:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        configuration = self._configuration()
        if configuration is None:
            return _unavailable_response("no configuration yet", NO_CONFIGURATION_RETRY_AFTER_S)
        host = request.headers.get("Host", "").rsplit(":", 1)[0].lower()
        path = request.path
        queue = configuration.queue_for(host, path)
        if queue is None:
            self._log.line(
                "queue-unknown", host=host, path=path[:100], version=configuration.version
            )
            return _error_response(404, "no such queue")
        team: str | None = None
        if self._admission.are_keys_required and not queue.is_public:
            admitted = self._admit(request, configuration)
            if isinstance(admitted, web.Response):
                return admitted
            team = admitted
        deadline_s = _deadline_s(request, queue)
        name = path[len(queue.prefix) :]
        if not name:
            return await self._answer_queue(request, queue, deadline_s)
        if not is_job_id(name):
            return _error_response(400, "a job is named by 16 hexadecimal digits")
        return await self._answer_job(
            request, configuration, queue, name, deadline_s=deadline_s, team=team
        )

    def _admit(self, request: web.BaseRequest, configuration: Configuration) -> str | web.Response:
        """Return the team of a call's key, or the answer that refuses the call."""
        key = parse_key(request.headers.get("Authorization", ""))
        if key is None:
            return self._unauthorized_response("missing")
        # An instance that can't prove its configuration may not know a key that was added either.
        if not self._admission.is_configuration_proven():
            self._metrics.count("callers.unproven")
            return _unavailable_response(
                "it can't be confirmed that the key is still valid; the request has not run",
                retry_after_s(self._outage_s()),
            )
        team = configuration.api_keys.team_of(key)
        return team if team is not None else self._unauthorized_response("unknown")

    def _unauthorized_response(self, reason: str) -> web.Response:
        self._metrics.count(f"callers.key.{reason}")
        response = _error_response(401, f"the API key is {reason}")
        response.headers["WWW-Authenticate"] = "Token"
        return response

    async def _answer_queue(
        self, request: web.BaseRequest, queue: Queue, deadline_s: float
    ) -> web.Response:
        if request.method != "GET":
            return _error_response(405, "a queue can only be looked at")
        answer = await self._job_handler.waiting(queue.policy, deadline_s=deadline_s)
        if answer.status is not JobRequestStatus.FOUND:
            return self._store_unavailable_response()
        return _json_response(200, {"pending": answer.waiting})

    async def _answer_job(
        self,
        request: web.BaseRequest,
        configuration: Configuration,
        queue: Queue,
        job_id: str,
        *,
        deadline_s: float,
        team: str | None,
    ) -> web.Response:
        if request.method == "POST":
            return await self._submit(
                request, configuration, queue, job_id, deadline_s=deadline_s, team=team
            )
        if request.method == "GET":
            answer = await self._job_handler.state(
                queue.policy, job_id, deadline_s=deadline_s, team=team
            )
            return self._state_response(answer)
        if request.method == "DELETE":
            answer = await self._job_handler.cancel(
                queue.policy, job_id, deadline_s=deadline_s, team=team
            )
            return self._job_response(answer)
        return _error_response(405, "a job can be handed in, looked at and cancelled")

    async def _submit(
        self,
        request: web.BaseRequest,
        configuration: Configuration,
        queue: Queue,
        job_id: str,
        *,
        deadline_s: float,
        team: str | None,
    ) -> web.Response:
        try:
            body = await self._read_body(request)
        except TimeoutError:
            self._log.line("job-submit", id=job_id, outcome="refused", reason="stopping")
            return _unavailable_response("this instance is stopping", STOPPING_RETRY_AFTER_S)
        except web.HTTPRequestEntityTooLarge:
            return _error_response(413, "the body is too long")
        if len(body) > configuration.max_body_bytes:
            return _error_response(413, "the body is too long")
        decoded = decode_submission(
            body, job_id=job_id, policy=queue.policy, accepted_s=time.time(), team=team or ""
        )
        if not isinstance(decoded, Success):
            reason = decoded.failure().reason
            self._log.line("job-invalid", id=job_id, queue=queue.policy.queue, reason=reason)
            return _error_response(400, reason)
        job = decoded.unwrap()
        owner = configuration.teams.get(job.team)
        if owner is not None and not owner.may_ever_run(job):
            self._log.line("job-submit", id=job_id, outcome="refused", reason="team limit")
            return _error_response(429, "a step is larger than the limit of the team")
        if self._is_store_unavailable():
            # Nothing was sent to the store yet, so that the job certainly does not run.
            self._log.line("job-submit", id=job_id, outcome="refused", reason="store lost")
            return self._store_unavailable_response()
        answer = await self._job_handler.submit(job, deadline_s=deadline_s)
        return self._job_response(answer)

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        """Return the body of a request.

        Raises:
            TimeoutError: This instance stops before the body has arrived.
        """
        async with asyncio.timeout(0.0 if self._is_drained else None) as body_timeout:
            self._body_timeouts.add(body_timeout)
            try:
                return await request.read()
            finally:
                self._body_timeouts.discard(body_timeout)

    def _state_response(self, answer: JobResponse) -> web.Response:
        if answer.status is JobRequestStatus.FOUND and answer.state is not None:
            return _json_response(200, {"state": _STATE_NAMES[answer.state]})
        return self._job_response(answer)

    def _job_response(self, answer: JobResponse) -> web.Response:
        if answer.status is JobRequestStatus.ACCEPTED:
            return _json_response(200, {})
        if answer.status is JobRequestStatus.NO_SUCH_JOB:
            return _error_response(410, "no such job")
        if answer.status is JobRequestStatus.ID_TAKEN:
            return _error_response(409, "the id is in use")
        if answer.status is JobRequestStatus.REFUSED:
            return self._store_unavailable_response()
        return _error_response(504, "the outcome is not known; the same request may be sent again")

    def _store_unavailable_response(self) -> web.Response:
        return _unavailable_response("the store can't be reached", retry_after_s(self._outage_s()))


def _deadline_s(request: web.BaseRequest, queue: Queue) -> float:
    """Return the time of the event loop's clock by which the answer must be sent."""
    deadline_header = request.headers.get(DEADLINE_HEADER, "")
    time_limit_s = queue.timeout_s
    if deadline_header.isascii() and deadline_header.isdigit():
        time_limit_s = min(time_limit_s, int(deadline_header) / 1000)
    time_left_s = min(time_limit_s - ANSWER_MARGIN_S, MAX_REQUEST_S)
    return asyncio.get_running_loop().time() + time_left_s


_STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


def _unavailable_response(reason: str, delay_s: int) -> web.Response:
    response = _error_response(503, reason)
    response.headers["Retry-After"] = str(delay_s)
    return response


def _error_response(status: int, reason: str) -> web.Response:
    return _json_response(status, {"error": reason[:MAX_REASON_CHARACTERS]})


def _json_response(status: int, body: dict[str, object]) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(body, separators=(",", ":")).encode(),
        content_type="application/json",
    )
