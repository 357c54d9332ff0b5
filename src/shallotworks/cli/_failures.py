"""Errors that the command line finds by itself, in the same form as those of the API."""

from __future__ import annotations

from dataclasses import asdict

from shallotworks.errors import ErrorKind, Failure, attributes_of, failure_body
from shallotworks.operators import ErrorBody

__all__ = ["exit_code_of", "make_error"]


def make_error(kind: ErrorKind, reason: str) -> ErrorBody:
    """Return an error found here."""
    return ErrorBody(**asdict(failure_body(Failure(kind=kind, reason=reason))))


def exit_code_of(error: ErrorBody) -> int:
    """Return the exit code of an error; an instance of a later version may know further kinds."""
    try:
        kind = ErrorKind(error.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    return attributes_of(kind).exit_code
