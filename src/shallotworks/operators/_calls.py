"""A validated call of the operators' API and its response."""

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
    """One call whose token, route and parameters are valid.

    Args:
        operator: Name of the operator; may be empty for a read.
        arguments: Path arguments, by name.
        query: Query parameters, by name; each one is known to the route.
        body: The complete body.
    """

    operator: str
    arguments: Mapping[str, str]
    query: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ApiResponse:
    """The response to a successful call.

    Args:
        body: The complete body.
        content_type: Media type of the body.
        about_plan: Digest of the plan that the call concerned, for the timeline.
    """

    body: bytes
    content_type: str = JSON_CONTENT_TYPE
    about_plan: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why a call failed, and which of its changes took effect nevertheless.

    Args:
        failure: The error.
        accepted: Changes of the same call that were accepted before the one that was refused.
    """

    failure: Failure
    accepted: tuple[Accepted, ...] = ()


Outcome = Result[ApiResponse, Refusal]


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorBody(FailureBody):
    """The JSON body of an error response.

    Args:
        accepted: Changes of the same call that were accepted before the one that was refused.
    """

    accepted: tuple[Accepted, ...] = ()


def json_response(view: object, *, about_plan: str = "") -> ApiResponse:
    """Return a JSON response with a view as its body."""
    return ApiResponse(body=_adapter(type(view)).dump_json(view), about_plan=about_plan)


def error_body(refusal: Refusal) -> bytes:
    """Return the JSON body of an error response."""
    failure_fields = failure_body(refusal.failure)
    body = ErrorBody(**asdict(failure_fields), accepted=refusal.accepted)
    return _adapter(ErrorBody).dump_json(body)


def _adapter(kind: type) -> TypeAdapter[Any]:
    # Adapters are cached because constructing one takes milliseconds. Two threads that construct
    # the same adapter at once store equal ones, so the cache needs no lock.
    adapter = _ADAPTERS.get(kind)
    if adapter is None:
        adapter = TypeAdapter(kind)
        _ADAPTERS[kind] = adapter
    return adapter


_ADAPTERS: dict[type, TypeAdapter[Any]] = {}
