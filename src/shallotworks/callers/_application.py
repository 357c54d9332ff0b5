"""The WSGI application of the callers' port."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from pydantic import TypeAdapter

from shallotworks.errors import ErrorKind, Failure, FailureBody, failure_body
from shallotworks.requests import Relay, Response
from shallotworks.requests.headers import ERROR_KIND, RAN, REQUEST_ID

from ._reading import RequestLimits, read_request

__all__ = ["CallersApplication"]

HEALTH_PATH = "/.shallotworks/health"

# Responses of these kinds close the connection. After a rejected request, the unread rest of its
# body may still arrive and must not be parsed as the next request. An instance that is stopping
# closes the connection so that the caller reconnects to another instance.
_CONNECTION_CLOSING_KINDS = (ErrorKind.TOO_LARGE, ErrorKind.INVALID_REQUEST, ErrorKind.STOPPING)
_BODY_ADAPTER = TypeAdapter(FailureBody)
_REASON_PHRASES = {entry.value: entry.phrase for entry in HTTPStatus}


class CallersApplication:
    """Handles the requests of callers: parses each one, passes it to the relay and responds.

    Args:
        loop: The event loop, whose clock the deadlines use.
        relay: Handles the parsed requests.
        limits: Limits on a request.
    """

    __slots__ = ("_limits", "_loop", "_relay")

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, relay: Relay, limits: RequestLimits
    ) -> None:
        self._loop = loop
        self._relay = relay
        self._limits = limits

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request through the WSGI interface."""
        if environ.get("PATH_INFO") == HEALTH_PATH:
            return _write(start_response, self._health())
        request = read_request(environ, limits=self._limits, now_s=self._loop.time())
        answer = request.bind(self._relay.handle)
        response = answer.value_or(None) or _error_response(answer.failure())
        # The id lets an operator find the request in the timeline.
        request_id = request.map(lambda read: read.request_id).value_or("")
        return _write(start_response, response, request_id=request_id)

    def _health(self) -> Response:
        if self._relay.is_stopping:
            return Response(status=503, headers=(), body=b"stopping\n")
        return Response(status=200, headers=(), body=b"ok\n")


def _error_response(failure: Failure) -> Response:
    body = failure_body(failure)
    headers = [
        ("Content-Type", "application/json"),
        (ERROR_KIND, failure.kind.value),
        (RAN, failure.ran.value),
    ]
    if body.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(body.retry_after_s)))))
    if failure.kind in _CONNECTION_CLOSING_KINDS:
        headers.append(("Connection", "close"))
    return Response(status=body.status, headers=tuple(headers), body=_BODY_ADAPTER.dump_json(body))


def _write(
    start_response: Callable[..., Any], response: Response, *, request_id: str = ""
) -> Iterable[bytes]:
    phrase = _REASON_PHRASES.get(response.status, "Unknown")
    headers = [*response.headers, ("Content-Length", str(len(response.body)))]
    if request_id:
        headers.append((REQUEST_ID, request_id))
    start_response(f"{response.status} {phrase}", headers)
    return [response.body]
