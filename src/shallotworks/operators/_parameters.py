"""Parameters of a call."""

from __future__ import annotations

import re

from shallotworks.errors import ErrorKind, Failure, ShallotworksError

from ._calls import Call

__all__ = ["whole_number"]

_DIGITS = re.compile(r"[0-9]{1,16}", re.ASCII)


def whole_number(call: Call, name: str, *, default: int, most: int) -> int:
    """Return a parameter that is a whole number.

    Raises:
        ShallotworksError: ``INVALID_REQUEST`` where it is not one from 0 to ``most``.
    """
    text = call.query.get(name)
    if text is None:
        return default
    if not _DIGITS.fullmatch(text) or int(text) > most:
        reason = f"{name} = {text!r}; allowed: a whole number from 0 to {most}"
        raise ShallotworksError(Failure(kind=ErrorKind.INVALID_REQUEST, reason=reason))
    return int(text)
