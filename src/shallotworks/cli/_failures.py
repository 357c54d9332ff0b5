"""Errors that the command line detects itself, in the same form as those of the API."""

from __future__ import annotations

from dataclasses import asdict

from shallotworks.errors import ErrorKind, Failure, attributes_of, failure_body
from shallotworks.operators import ErrorBody

__all__ = ["exit_code_of", "make_error"]


def make_error(kind: ErrorKind, reason: str) -> ErrorBody:
    """Return the error body of a kind and reason."""
    return ErrorBody(**asdict(failure_body(Failure(kind=kind, reason=reason))))


def exit_code_of(error: ErrorBody) -> int:
    """Return the exit code of an error.

    An instance of a later version may send a kind that this version doesn't know; the code of
    ``INTERNAL`` is returned for it.
    """
    try:
        kind = ErrorKind(error.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    return attributes_of(kind).exit_code
