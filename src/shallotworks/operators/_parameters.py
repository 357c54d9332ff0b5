"""Reads query parameters of a call."""

from __future__ import annotations

import re

from shallotworks.errors import ErrorKind, Failure, ShallotworksError

from ._calls import Call

__all__ = ["read_whole_number"]

_DIGITS_PATTERN = re.compile(r"[0-9]{1,16}", re.ASCII)


def read_whole_number(call: Call, name: str, *, default: int, maximum: int) -> int:
    """Return a query parameter as a whole number, or the default if it is absent.

    Raises:
        ShallotworksError: ``INVALID_REQUEST`` if it isn't a whole number from 0 to ``maximum``.
    """
    text = call.query.get(name)
    if text is None:
        return default
    if not _DIGITS_PATTERN.fullmatch(text) or int(text) > maximum:
        reason = f"{name} = {text!r}; allowed: a whole number from 0 to {maximum}"
        raise ShallotworksError(Failure(kind=ErrorKind.INVALID_REQUEST, reason=reason))
    return int(text)
