"""Readers of JSON that other programs wrote: each returns a value of its type, or raises."""

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
"""What decoding raises for bytes that are no JSON, and for JSON of another shape.

The failure: an error that the decoder does not expect ends the task that follows what others write,
and nothing else that stands beside it is heard of any more. Infinity overflows a whole number, deep
nesting exceeds the recursion limit, and a list where a table belongs has no such attribute.
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
    """Return a string; raises `TypeError` for anything else."""
    if not isinstance(value, str):
        raise TypeError(f"a {type(value).__name__} is not a text")
    return value


def json_integer(value: Any) -> int:
    """Return a whole number; raises `TypeError` for anything else, `true` and 1.0 among it."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"a {type(value).__name__} is not a whole number")
    return value


def json_number(value: Any) -> float:
    """Return a finite number, whole ones as they are; raises `TypeError` for anything else."""
    if isinstance(value, float) and math.isfinite(value):
        return value
    return json_integer(value)
