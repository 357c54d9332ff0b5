"""Validates JSON bodies."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure

__all__ = ["read_body"]

MAX_PROBLEMS_SHOWN = 3

_Value = TypeVar("_Value")


def read_body(adapter: TypeAdapter[_Value], body: bytes) -> Result[_Value, Failure]:
    """Parse a JSON body and reject unknown keys.

    The failure: an operator misspells a key that has a default, such as ``accelerator`` for
    ``accelerators``; the record is accepted with the default and the operator gets no error. The
    body is therefore compared with the parsed value, and a key that the parsed value lacks is
    rejected with its path.

    Returns:
        The value, or ``INVALID_REQUEST`` with the first problems.
    """
    try:
        value = adapter.validate_json(body)
    except ValidationError as error:
        return Err(
            _invalid_request(
                [_format_problem(problem) for problem in error.errors(include_url=False)]
            )
        )
    understood = adapter.dump_python(value, mode="json")
    unknown = list(_unknown_keys(json.loads(body), understood, path=""))
    if unknown:
        return Err(_invalid_request([f"{path}: unknown key" for path in unknown]))
    return Success(value)


def _format_problem(problem: Any) -> str:
    path = ".".join(str(part) for part in problem["loc"]) or "body"
    return f"{path}: {problem['msg']}"


def _invalid_request(problems: list[str]) -> Failure:
    shown = problems[:MAX_PROBLEMS_SHOWN]
    if len(problems) > MAX_PROBLEMS_SHOWN:
        shown.append(f"and {len(problems) - MAX_PROBLEMS_SHOWN} more")
    return Failure(kind=ErrorKind.INVALID_REQUEST, reason="; ".join(shown))


def _unknown_keys(sent: Any, understood: Any, *, path: str) -> Iterator[str]:
    if isinstance(sent, dict) and isinstance(understood, dict):
        for key, value in sent.items():
            inner_path = f"{path}.{key}" if path else key
            if key not in understood:
                yield inner_path
            else:
                yield from _unknown_keys(value, understood[key], path=inner_path)
    elif isinstance(sent, list) and isinstance(understood, list):
        for index, (value, other) in enumerate(zip(sent, understood, strict=True)):
            inner_path = f"{path}.{index}" if path else str(index)
            yield from _unknown_keys(value, other, path=inner_path)
