"""Parses a caller's HTTP request into a `Request` or an error."""

from __future__ import annotations

import random
import re
import secrets
from dataclasses import dataclass
from typing import Any

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.requests import Request, RequestClass
from shallotworks.requests.headers import (
    ATTEMPT,
    CLASS,
    DEADLINE_MS,
    HOP_BY_HOP,
    IDEMPOTENCY_KEY,
    IDEMPOTENT,
    REQUEST_ID,
    SERVICE,
    TEAM,
)

__all__ = ["RequestLimits", "read_request"]

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
METHODS = SAFE_METHODS | {"POST", "PUT", "PATCH", "DELETE"}
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
MILLISECONDS_PER_S = 1000
REQUEST_ID_BITS = 96

_HEADERS_NOT_FORWARDED = HOP_BY_HOP | {
    REQUEST_ID.lower(),
    ATTEMPT.lower(),
    SERVICE.lower(),
    "content-type",
}
# Request ids must be unique but not secret, so a seeded generator is enough; reading the system's
# random source for each id would cost a system call.
_request_id_source = random.Random(secrets.randbits(128))
_YES_OR_NO = {"yes": True, "no": False}


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Limits on a caller's request.

    Args:
        body_limit_bytes: Largest allowed body.
        default_deadline_s: Deadline of a request that sets none.
        max_deadline_s: Longest deadline that a request may set.
    """

    body_limit_bytes: int
    default_deadline_s: float
    max_deadline_s: float


class _InvalidError(Exception):
    """Raised within this module for an invalid request; its text is sent to the caller."""


def read_request(
    environ: dict[str, Any], *, limits: RequestLimits, now_s: float
) -> Result[Request, Failure]:
    """Parse a request from a WSGI environment.

    Args:
        environ: The WSGI environment.
        limits: Limits on the request.
        now_s: The event loop's current time, to which the relative deadline is added.

    Returns:
        The request; or ``INVALID_REQUEST`` or ``TOO_LARGE``, in which case nothing has run.
    """
    try:
        length_bytes = _content_length(environ)
        if length_bytes > limits.body_limit_bytes:
            reason = f"the body has {length_bytes} bytes, {limits.body_limit_bytes} are allowed"
            return Err(Failure(kind=ErrorKind.TOO_LARGE, reason=reason))
        return Success(_read(environ, limits, now_s, length_bytes))
    except _InvalidError as error:
        return Err(Failure(kind=ErrorKind.INVALID_REQUEST, reason=str(error)))


def _read(
    environ: dict[str, Any], limits: RequestLimits, now_s: float, length_bytes: int
) -> Request:
    method = environ["REQUEST_METHOD"]
    if method not in METHODS:
        raise _InvalidError(f"method {method} is not one of {', '.join(sorted(METHODS))}")
    idempotent = _is_idempotent(environ, method)
    key = _header(environ, IDEMPOTENCY_KEY)
    if key and not KEY_PATTERN.fullmatch(key):
        raise _InvalidError(f"{IDEMPOTENCY_KEY} takes 1 to 200 printable characters")
    deadline_s = now_s + _relative_deadline_s(environ, limits)
    return Request(
        request_id=f"{_request_id_source.getrandbits(REQUEST_ID_BITS):024x}",
        service=_name(environ, SERVICE, required=True),
        team=_name(environ, TEAM, required=False),
        request_class=_request_class(environ),
        deadline_s=deadline_s,
        idempotent=idempotent,
        idempotency_key=key,
        method=method,
        path=_path(environ),
        headers=_forwarded_headers(environ),
        body=_body(environ, length_bytes),
    )


def _header(environ: dict[str, Any], name: str) -> str:
    value: str = environ.get("HTTP_" + name.upper().replace("-", "_"), "")
    return value.strip()


def _content_length(environ: dict[str, Any]) -> int:
    if environ.get("HTTP_TRANSFER_ENCODING"):
        raise _InvalidError("the body needs a Content-Length; chunked bodies are not taken")
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isascii() or not text.isdigit():
        raise _InvalidError(f"Content-Length {text!r} is not a number")
    return int(text)


def _is_idempotent(environ: dict[str, Any], method: str) -> bool:
    text = _header(environ, IDEMPOTENT)
    if not text:
        return method in SAFE_METHODS
    if text not in _YES_OR_NO:
        raise _InvalidError(f"{IDEMPOTENT} is yes or no, not {text!r}")
    return _YES_OR_NO[text]


def _relative_deadline_s(environ: dict[str, Any], limits: RequestLimits) -> float:
    text = _header(environ, DEADLINE_MS)
    if not text:
        return limits.default_deadline_s
    max_deadline_ms = int(limits.max_deadline_s * MILLISECONDS_PER_S)
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= max_deadline_ms:
        raise _InvalidError(f"{DEADLINE_MS} is a whole number from 1 to {max_deadline_ms}")
    return int(text) / MILLISECONDS_PER_S


def _name(environ: dict[str, Any], header: str, *, required: bool) -> str:
    value = _header(environ, header)
    if not value and not required:
        return ""
    if not NAME_PATTERN.fullmatch(value):
        raise _InvalidError(
            f"{header} is a name of 1 to 64 letters, digits, dots, dashes and underscores"
        )
    return value


def _request_class(environ: dict[str, Any]) -> RequestClass:
    text = _header(environ, CLASS) or RequestClass.INTERACTIVE.value
    try:
        return RequestClass(text)
    except ValueError:
        allowed = ", ".join(entry.value for entry in RequestClass)
        raise _InvalidError(f"{CLASS} is one of {allowed}, not {text!r}") from None


def _path(environ: dict[str, Any]) -> str:
    path: str = environ.get("REQUEST_URI") or environ.get("PATH_INFO") or "/"
    if not path.startswith("/") or not path.isascii() or not path.isprintable():
        raise _InvalidError("the path starts with / and is printable ASCII")
    return path


def _forwarded_headers(environ: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    headers = []
    for key, value in environ.items():
        if not key.startswith("HTTP_"):
            continue
        name = key[len("HTTP_") :].replace("_", "-").title()
        if name.lower() not in _HEADERS_NOT_FORWARDED:
            headers.append((name, value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _body(environ: dict[str, Any], length_bytes: int) -> bytes:
    if length_bytes == 0:
        return b""
    body: bytes = environ["wsgi.input"].read(length_bytes)
    if len(body) != length_bytes:
        raise _InvalidError(f"the body ended after {len(body)} of {length_bytes} bytes")
    return body
