"""Why a JSON body is not what a route takes."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure

__all__ = ["read_body"]

FAULTS_TOLD = 3

_Value = TypeVar("_Value")


def read_body(adapter: TypeAdapter[_Value], body: bytes) -> Result[_Value, Failure]:
    """Read a JSON body in which every key is known.

    The failure: an operator mistypes a key that has a default, say ``accelerator`` for
    ``accelerators``; the record is accepted without it and nobody is told. The guard compares what
    was sent with what was understood, so a key that means nothing is refused with its place.

    Returns:
        The value, or ``INVALID_REQUEST`` with the first faults.
    """
    try:
        value = adapter.validate_json(body)
    except ValidationError as error:
        return Err(_refusal([_told(fault) for fault in error.errors(include_url=False)]))
    understood = adapter.dump_python(value, mode="json")
    unknown = list(_unknown_keys(json.loads(body), understood, place=""))
    if unknown:
        return Err(_refusal([f"{place}: unknown key" for place in unknown]))
    return Success(value)


def _told(fault: Any) -> str:
    place = ".".join(str(part) for part in fault["loc"]) or "body"
    return f"{place}: {fault['msg']}"


def _refusal(faults: list[str]) -> Failure:
    told = faults[:FAULTS_TOLD]
    if len(faults) > FAULTS_TOLD:
        told.append(f"and {len(faults) - FAULTS_TOLD} more")
    return Failure(kind=ErrorKind.INVALID_REQUEST, reason="; ".join(told))


def _unknown_keys(sent: Any, understood: Any, *, place: str) -> Iterator[str]:
    if isinstance(sent, dict) and isinstance(understood, dict):
        for key, value in sent.items():
            inner = f"{place}.{key}" if place else key
            if key not in understood:
                yield inner
            else:
                yield from _unknown_keys(value, understood[key], place=inner)
    elif isinstance(sent, list) and isinstance(understood, list):
        for number, (value, other) in enumerate(zip(sent, understood, strict=True)):
            inner = f"{place}.{number}" if place else str(number)
            yield from _unknown_keys(value, other, place=inner)
