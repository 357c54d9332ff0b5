"""The WSGI application of the operators' port: authentication, routing, parsing and responses."""

from __future__ import annotations

import asyncio
import hmac
import math
import re
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

from absl import logging
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure, ShallotworksError, attributes_of, failure_body
from shallotworks.metrics import Metrics
from shallotworks.timeline import EventKind, Subject, Timeline

from ._calls import JSON_CONTENT_TYPE, ApiResponse, Call, Refusal, error_body
from ._routes import Match, Route, find_route

__all__ = ["MAX_BODY_BYTES", "OperatorsApplication"]

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Fits a list of 5,000 changes."""
BEARER = "Bearer "
OPERATOR_HEADER = "Operator"
MAX_QUERY_PARAMETERS = 20

_OPERATOR_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@-]{0,62}", re.ASCII)
_REASON_PHRASES = {entry.value: entry.phrase for entry in HTTPStatus}


class OperatorsApplication:
    """Handles the calls of operators.

    Args:
        loop: The event loop; metrics are written on its thread only.
        routes: The routes that are served.
        token: The bearer token that every call must carry.
        timeline: Records each call that may change something, with its operator and outcome.
        metrics: Counts responses by status.
    """

    __slots__ = ("_loop", "_metrics", "_routes", "_timeline", "_token")

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        routes: tuple[Route, ...],
        token: bytes,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self._loop = loop
        self._routes = routes
        self._token = token
        self._timeline = timeline
        self._metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one call through the WSGI interface."""
        outcome = self._answer(environ)
        status = _status(outcome)
        self._count(status)
        if isinstance(outcome, Success):
            return _write_response(start_response, outcome.unwrap())
        return _write_refusal(start_response, outcome.failure())

    def _answer(self, environ: dict[str, Any]) -> Result[ApiResponse, Refusal]:
        try:
            # The token is checked first, so that unauthenticated clients can't probe for paths.
            self._check_token(environ)
            match = self._find(environ)
            call = _parse_call(environ, match)
        except ShallotworksError as error:
            return Err(Refusal(failure=error.failure))
        outcome = _handle(match.route, call)
        if match.route.method != "GET":
            self._record(match.route, call, outcome)
        return outcome

    def _check_token(self, environ: dict[str, Any]) -> None:
        header: str = environ.get("HTTP_AUTHORIZATION", "")
        token = header.removeprefix(BEARER).encode("latin-1", "replace")
        # The comparison takes constant time. Otherwise its duration would reveal the position of
        # the first wrong character.
        if not hmac.compare_digest(token, self._token) or not header.startswith(BEARER):
            raise _error(ErrorKind.UNAUTHORISED, "the bearer token is missing or wrong")

    def _find(self, environ: dict[str, Any]) -> Match:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        found = find_route(self._routes, method=method, path=path)
        if isinstance(found, Match):
            return found
        if found:
            reason = f"{path} takes {' and '.join(found)}, not {method}"
            raise _error(ErrorKind.INVALID_REQUEST, reason)
        raise _error(ErrorKind.NOT_FOUND, f"there is no {path}")

    def _record(self, route: Route, call: Call, outcome: Result[ApiResponse, Refusal]) -> None:
        plan = call.arguments.get("digest", "")
        if isinstance(outcome, Success):
            outcome_text = "accepted"
            plan = outcome.unwrap().about_plan or plan
        else:
            outcome_text = str(outcome.failure().failure)
        self._timeline.record(
            EventKind.OPERATOR,
            subject=Subject(plan=plan),
            detail=f"{call.operator}: {route.method} {route.path}: {outcome_text}",
        )

    def _count(self, status: int) -> None:
        name = f"operators.answered.{status}"
        try:
            self._loop.call_soon_threadsafe(self._metrics.count, name)
        except RuntimeError:
            # During a stop the loop is closed while the last responses are still being written.
            logging.debug("event loop is closed; did not count %s", name)


def _handle(route: Route, call: Call) -> Result[ApiResponse, Refusal]:
    try:
        return route.handler(call)
    except ShallotworksError as error:
        return Err(Refusal(failure=error.failure))
    except Exception:
        logging.exception("operators: unhandled exception in %s %s", route.method, route.path)
        reason = "the instance failed at this; its log says why"
        return Err(Refusal(failure=Failure(kind=ErrorKind.INTERNAL, reason=reason)))


def _parse_call(environ: dict[str, Any], match: Match) -> Call:
    query = _read_query(environ.get("QUERY_STRING", ""), allowed=match.route.query)
    operator: str = environ.get("HTTP_OPERATOR", "")
    if (operator or match.route.method != "GET") and not _OPERATOR_PATTERN.fullmatch(operator):
        reason = (
            f"the header {OPERATOR_HEADER} names who calls: 1 to 63 letters, digits and . _ @ -"
        )
        raise _error(ErrorKind.INVALID_REQUEST, reason)
    return Call(
        operator=operator,
        arguments=match.arguments,
        query=query,
        body=_read_body(environ),
    )


def _read_query(text: str, *, allowed: Mapping[str, str]) -> Mapping[str, str]:
    try:
        pairs = parse_qsl(
            text,
            keep_blank_values=True,
            strict_parsing=bool(text),
            max_num_fields=MAX_QUERY_PARAMETERS,
        )
    except ValueError:
        raise _error(ErrorKind.INVALID_REQUEST, "the query is malformed") from None
    for name, _ in pairs:
        if name not in allowed:
            allowed_names = ", ".join(allowed) or "none"
            raise _error(
                ErrorKind.INVALID_REQUEST, f"no parameter {name!r}; allowed: {allowed_names}"
            )
    if len(dict(pairs)) < len(pairs):
        raise _error(ErrorKind.INVALID_REQUEST, "a parameter stands twice")
    return dict(pairs)


def _read_body(environ: dict[str, Any]) -> bytes:
    if environ.get("HTTP_TRANSFER_ENCODING"):
        raise _error(ErrorKind.INVALID_REQUEST, "send a Content-Length, not a chunked body")
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        reason = f"the body has {length} bytes, at most {MAX_BODY_BYTES} are taken"
        raise _error(ErrorKind.TOO_LARGE, reason)
    body: bytes = environ["wsgi.input"].read(length) if length > 0 else b""
    if len(body) < length:
        raise _error(ErrorKind.INVALID_REQUEST, f"the body ended after {len(body)} bytes")
    return body


def _error(kind: ErrorKind, reason: str) -> ShallotworksError:
    return ShallotworksError(Failure(kind=kind, reason=reason))


def _status(outcome: Result[ApiResponse, Refusal]) -> int:
    if isinstance(outcome, Success):
        return HTTPStatus.OK.value
    return attributes_of(outcome.failure().failure.kind).status


def _write_response(start_response: Callable[..., Any], response: ApiResponse) -> Iterable[bytes]:
    return _write(start_response, HTTPStatus.OK.value, response.content_type, response.body, [])


def _write_refusal(start_response: Callable[..., Any], refusal: Refusal) -> Iterable[bytes]:
    headers = []
    failure = refusal.failure
    retry_after_s = failure_body(failure).retry_after_s
    if retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(retry_after_s)))))
    if failure.kind is ErrorKind.UNAUTHORISED:
        headers.append(("WWW-Authenticate", "Bearer"))
    status = attributes_of(failure.kind).status
    return _write(start_response, status, JSON_CONTENT_TYPE, error_body(refusal), headers)


def _write(
    start_response: Callable[..., Any],
    status: int,
    content_type: str,
    body: bytes,
    headers: list[tuple[str, str]],
) -> Iterable[bytes]:
    common_headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
        ("Cache-Control", "no-store"),
    ]
    start_response(f"{status} {_REASON_PHRASES[status]}", common_headers + headers)
    return [body]
