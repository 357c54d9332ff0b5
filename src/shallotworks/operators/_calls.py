"""One call of the operators' API, as checked, and its answer."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

from pydantic import TypeAdapter
from returns.result import Result

from shallotworks.config import Accepted
from shallotworks.errors import Failure, FailureBody, failure_body

__all__ = ["ApiResponse", "Call", "ErrorBody", "Outcome", "Refusal", "json_response", "error_body"]

JSON_CONTENT_TYPE = "application/json"


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call, after its token, route and parameters were found right.

    Args:
        operator: Who calls; empty where a reader did not say.
        arguments: Parts of the path, by name.
        query: Parameters, by name, each known to the route.
        body: The whole body.
    """

    operator: str
    arguments: Mapping[str, str]
    query: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ApiResponse:
    """A call's answer.

    Args:
        body: The whole body.
        content_type: What it holds.
        about_plan: Digest of the plan that the call was about, for the time line.
    """

    body: bytes
    content_type: str = JSON_CONTENT_TYPE
    about_plan: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why a call is refused, and what its caller needs to go on.

    Args:
        failure: The reason.
        accepted: Changes of the same call that were accepted before the one that was refused.
    """

    failure: Failure
    accepted: tuple[Accepted, ...] = ()


Outcome = Result[ApiResponse, Refusal]


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorBody(FailureBody):
    """The JSON body of a refusal.

    Args:
        accepted: See `Refusal`.
    """

    accepted: tuple[Accepted, ...] = ()


def json_response(view: object, *, about_plan: str = "") -> ApiResponse:
    """Return a view as a JSON answer."""
    return ApiResponse(body=_adapter(type(view)).dump_json(view), about_plan=about_plan)


def error_body(refusal: Refusal) -> bytes:
    """Return a refusal as JSON."""
    failure_fields = failure_body(refusal.failure)
    body = ErrorBody(**asdict(failure_fields), accepted=refusal.accepted)
    return _adapter(ErrorBody).dump_json(body)


def _adapter(kind: type) -> TypeAdapter[Any]:
    # Making one takes milliseconds; two threads that make the same one do no harm.
    adapter = _ADAPTERS.get(kind)
    if adapter is None:
        adapter = TypeAdapter(kind)
        _ADAPTERS[kind] = adapter
    return adapter


_ADAPTERS: dict[type, TypeAdapter[Any]] = {}
