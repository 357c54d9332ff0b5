"""Type checks for JSON that other programs wrote: each returns the value or raises an error."""

from __future__ import annotations

import math
from typing import Any

__all__ = [
    "DECODE_ERRORS",
    "json_array",
    "json_integer",
    "json_number",
    "json_object",
    "json_string",
]

DECODE_ERRORS = (AttributeError, LookupError, OverflowError, RecursionError, TypeError, ValueError)
"""Errors that decoding raises for bytes that are not JSON and for JSON of another structure.

The failure: an error outside this list ends the task that watches the records, and no other record
under the prefix is read any more. Infinity overflows an integer, deep nesting exceeds the recursion
limit, and a list in place of an object lacks the object's methods.
"""


def json_object(value: Any) -> dict[str, Any]:
    """Return a JSON object; raises `TypeError` for anything else."""
    if not isinstance(value, dict):
        raise TypeError(f"a {type(value).__name__} is not a table")
    return value


def json_array(value: Any) -> list[Any]:
    """Return a JSON array; raises `TypeError` for anything else."""
    if not isinstance(value, list):
        raise TypeError(f"a {type(value).__name__} is not a list")
    return value


def json_string(value: Any) -> str:
    """Return a JSON string; raises `TypeError` for anything else."""
    if not isinstance(value, str):
        raise TypeError(f"a {type(value).__name__} is not a text")
    return value


def json_integer(value: Any) -> int:
    """Return a JSON integer; raises `TypeError` for anything else, including `true` and 1.0."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"a {type(value).__name__} is not a whole number")
    return value


def json_number(value: Any) -> float:
    """Return a finite JSON number, an integer as `int`; raises `TypeError` for anything else."""
    if isinstance(value, float) and math.isfinite(value):
        return value
    return json_integer(value)
