"""Why a JSON body is not what a route takes."""

from __future__ import annotations

from pydantic import ValidationError

from shallotworks.errors import ErrorKind, Failure

__all__ = ["invalid_body"]

FAULTS_TOLD = 3


def invalid_body(error: ValidationError) -> Failure:
    """Return the first faults of a body as one ``INVALID_REQUEST``."""
    faults = error.errors(include_url=False, include_input=False, include_context=False)
    told = [
        f"{'.'.join(str(part) for part in fault['loc']) or 'body'}: {fault['msg']}"
        for fault in faults[:FAULTS_TOLD]
    ]
    if len(faults) > FAULTS_TOLD:
        told.append(f"and {len(faults) - FAULTS_TOLD} more")
    return Failure(kind=ErrorKind.INVALID_REQUEST, reason="; ".join(told))
