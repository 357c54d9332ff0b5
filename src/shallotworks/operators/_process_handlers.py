"""Handlers that show the process itself: its status, timeline, metrics and API description."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.metrics import EXPOSITION_CONTENT_TYPE, summarise, to_exposition
from shallotworks.timeline import EventFilter, EventKind, Timeline

from ._bridge import EventLoopBridge
from ._calls import ApiResponse, Call, Outcome, Refusal, json_response
from ._parameters import read_whole_number
from ._protocols import OperatorBackend

__all__ = ["ProcessHandlers"]

MAX_EVENTS = 1_000_000


class ProcessHandlers:
    """Serves the state of this process.

    Args:
        backend: The instance.
        bridge: Runs the backend's coroutines on the event loop.
        timeline: Events of the instance; any thread may read them.
        process: Name of the instance.
        api_description: Returns the OpenAPI document as JSON.
    """

    __slots__ = ("_api_description", "_backend", "_bridge", "_process", "_timeline")

    def __init__(
        self,
        *,
        backend: OperatorBackend,
        bridge: EventLoopBridge,
        timeline: Timeline,
        process: str,
        api_description: Callable[[], bytes],
    ) -> None:
        self._backend = backend
        self._bridge = bridge
        self._timeline = timeline
        self._process = process
        self._api_description = api_description

    def status(self, call: Call) -> Outcome:
        """Return the status of the instance."""
        return Success(json_response(self._bridge.read(self._backend.status())))

    def timeline(self, call: Call) -> Outcome:
        """Return the events that match the query; the ring is read in the calling thread."""
        kinds = _read_kinds(call.query.get("kind", ""))
        if isinstance(kinds, Err):
            return Err(Refusal(failure=kinds.failure()))
        event_filter = EventFilter(
            request=call.query.get("request", ""),
            plan=call.query.get("plan", ""),
            instance=call.query.get("instance", ""),
            kinds=kinds.unwrap(),
        )
        limit = read_whole_number(call, "limit", default=MAX_EVENTS, maximum=MAX_EVENTS)
        return Success(ApiResponse(body=self._timeline.page(event_filter, limit=limit).encode()))

    def metrics(self, call: Call) -> Outcome:
        """Return all metrics; their quantiles are computed in the calling thread."""
        output_format = call.query.get("format", "json")
        if output_format not in ("json", "text"):
            reason = f"format = {output_format!r}; allowed: json, text"
            return Err(Refusal(failure=Failure(kind=ErrorKind.INVALID_REQUEST, reason=reason)))
        frozen = self._bridge.read(self._backend.metrics())
        snapshot = summarise(frozen, process=self._process)
        if output_format == "json":
            return Success(ApiResponse(body=snapshot.encode()))
        body = to_exposition(snapshot).encode()
        return Success(ApiResponse(body=body, content_type=EXPOSITION_CONTENT_TYPE))

    def describe(self, call: Call) -> Outcome:
        """Return the OpenAPI document."""
        return Success(ApiResponse(body=self._api_description()))


def _read_kinds(text: str) -> Result[frozenset[EventKind], Failure]:
    names = [name for name in text.split(",") if name]
    known = {kind.value: kind for kind in EventKind}
    unknown = [name for name in names if name not in known]
    if unknown:
        reason = f"kind = {unknown[0]!r}; allowed: {', '.join(known)}"
        return Err(Failure(kind=ErrorKind.INVALID_REQUEST, reason=reason))
    return Success(frozenset(known[name] for name in names))
