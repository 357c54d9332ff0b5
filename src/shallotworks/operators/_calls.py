"""One call of the operators' API, as checked, and its answer."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

from pydantic import TypeAdapter
from returns.result import Result

from shallotworks.config import Accepted
from shallotworks.errors import Failure, FailureBody, failure_body

__all__ = ["Answered", "Call", "ErrorBody", "Outcome", "Refused", "answer_json", "error_body"]

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
class Answered:
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
class Refused:
    """Why a call is refused, and what its caller needs to go on.

    Args:
        failure: The reason.
        accepted: Changes of the same call that were accepted before the one that was refused.
    """

    failure: Failure
    accepted: tuple[Accepted, ...] = ()


Outcome = Result[Answered, Refused]


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorBody(FailureBody):
    """The JSON body of a refusal.

    Args:
        accepted: See `Refused`.
    """

    accepted: tuple[Accepted, ...] = ()


def answer_json(view: object, *, about_plan: str = "") -> Answered:
    """Return a view as a JSON answer."""
    return Answered(body=_adapter(type(view)).dump_json(view), about_plan=about_plan)


def error_body(refused: Refused) -> bytes:
    """Return a refusal as JSON."""
    told = failure_body(refused.failure)
    body = ErrorBody(**asdict(told), accepted=refused.accepted)
    return _adapter(ErrorBody).dump_json(body)


def _adapter(kind: type) -> TypeAdapter[Any]:
    # Making one takes milliseconds; two threads that make the same one do no harm.
    adapter = _ADAPTERS.get(kind)
    if adapter is None:
        adapter = TypeAdapter(kind)
        _ADAPTERS[kind] = adapter
    return adapter


_ADAPTERS: dict[type, TypeAdapter[Any]] = {}
