"""The client of the operators' API; each call returns a typed response or an error."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import urlencode

import urllib3
from pydantic import TypeAdapter, ValidationError
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind
from shallotworks.operators import ErrorBody

from ._failures import make_error

__all__ = ["OperatorsClient", "RawAnswer"]

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 60.0
"""This exceeds the server's own timeouts, so that the server reports the outcome of a slow call."""
ANSWER_LIMIT_BYTES = 256 * 1024 * 1024
HTTP_OK = 200

_Answer = TypeVar("_Answer")
_ERROR_ADAPTER = TypeAdapter(ErrorBody)


@dataclass(frozen=True, slots=True, kw_only=True)
class RawAnswer:
    """A response whose body is not parsed yet."""

    body: bytes


class OperatorsClient:
    """Calls the operators' API of one instance.

    Args:
        address: ``ip:port`` of the instance's operators' port.
        token: The bearer token.
        operator: Name of the operator.
        answer_timeout_s: Longest wait for the next bytes of a response.
    """

    __slots__ = ("_headers", "_http", "address")

    def __init__(
        self,
        *,
        address: str,
        token: str,
        operator: str,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        self.address = address
        self._headers = {"Authorization": f"Bearer {token}", "Operator": operator}
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=answer_timeout_s)
        # Calls are never retried here, because a change must not be proposed twice unnoticed.
        self._http = urllib3.PoolManager(retries=False, timeout=timeout)

    def close(self) -> None:
        """Close all connections."""
        self._http.clear()

    def get(
        self, path: str, kind: type[_Answer], query: Mapping[str, str] | None = None
    ) -> Result[_Answer, ErrorBody]:
        """Send a GET request and parse the response."""
        return self.get_raw(path, query).bind(lambda answer: self._read(answer, kind))

    def get_raw(
        self, path: str, query: Mapping[str, str] | None = None
    ) -> Result[RawAnswer, ErrorBody]:
        """Send a GET request and return the raw response."""
        parameters = {name: value for name, value in (query or {}).items() if value}
        return self._call("GET", f"{path}?{urlencode(parameters)}" if parameters else path, b"")

    def post(self, path: str, kind: type[_Answer], body: bytes) -> Result[_Answer, ErrorBody]:
        """Send a POST request, which may change something, and parse the response."""
        return self._call("POST", path, body).bind(lambda answer: self._read(answer, kind))

    def _call(self, method: str, path: str, body: bytes) -> Result[RawAnswer, ErrorBody]:
        try:
            answer = self._http.request(
                method, f"http://{self.address}/v1{path}", body=body or None, headers=self._headers
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Err(self._unreachable_error(_reason_of(error)))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Err(self._lost_answer_error(method, _reason_of(error)))
        if answer.status == HTTP_OK:
            return Success(RawAnswer(body=answer.data))
        return Err(self._error_from(answer))

    def _unreachable_error(self, cause: str) -> ErrorBody:
        return make_error(ErrorKind.UNREACHABLE, f"no instance answers at {self.address}: {cause}")

    def _lost_answer_error(self, method: str, cause: str) -> ErrorBody:
        """Return the error for a call whose response was lost.

        A read changed nothing, so it may be retried. A change that was sent may have been accepted
        or not, so its outcome is unknown.
        """
        if method == "GET":
            return self._unreachable_error(cause)
        reason = f"{self.address} received the call, but the response was lost: {cause}"
        return make_error(ErrorKind.OUTCOME_UNKNOWN, f"{reason}; check the state before a retry")

    def _error_from(self, answer: urllib3.BaseHTTPResponse) -> ErrorBody:
        try:
            return _ERROR_ADAPTER.validate_json(answer.data)
        except ValidationError:
            kind = _LISTENER_STATUSES.get(answer.status, ErrorKind.PROTOCOL)
            return make_error(
                kind,
                f"{self.address} answered {answer.status}, but not as an operators' port does",
            )

    def _read(self, answer: RawAnswer, kind: type[_Answer]) -> Result[_Answer, ErrorBody]:
        adapter: TypeAdapter[Any] = TypeAdapter(kind)
        try:
            return Success(adapter.validate_json(answer.body))
        except ValidationError:
            reason = f"{self.address} sent a response that this version can't parse"
            return Err(make_error(ErrorKind.PROTOCOL, reason))


_LISTENER_STATUSES = {
    408: ErrorKind.DEADLINE_EXCEEDED,
    413: ErrorKind.TOO_LARGE,
    414: ErrorKind.TOO_LARGE,
}
"""Statuses that the listener sends itself, before a call has arrived completely."""


def _reason_of(error: BaseException) -> str:
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError) and cause.strerror:
            return cause.strerror.lower()
        cause = cause.__cause__ or cause.__context__
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return "timed out"
    return "the connection broke"
