"""Reads files that contain a token or a key."""

from __future__ import annotations

import re
import stat
from pathlib import Path

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure

__all__ = ["MAX_SECRET_BYTES", "read_secret", "read_token"]

MAX_SECRET_BYTES = 4_096

_VISIBLE_ASCII = re.compile(rb"[\x21-\x7e]+")


def read_secret(path: str) -> Result[bytes, Failure]:
    """Read a token or key and strip the surrounding white space.

    Args:
        path: Path of a regular file of at most `MAX_SECRET_BYTES`.

    Returns:
        The secret, or ``INVALID_SETTINGS`` with the reason.
    """
    try:
        # Only regular files are read: opening a named pipe would block the start forever, and
        # reading from a device might never end.
        if not stat.S_ISREG(Path(path).stat().st_mode):
            return _invalid_settings("is not a regular file")
        with open(path, "rb") as file:
            secret = file.read(MAX_SECRET_BYTES + 1)
    except OSError as error:
        return _invalid_settings(f"can't be read ({error.strerror})")
    except ValueError:
        return _invalid_settings("is not a path")
    if len(secret) > MAX_SECRET_BYTES:
        return _invalid_settings(f"holds more than {MAX_SECRET_BYTES} bytes")
    return Success(secret.strip())


def read_token(path: str) -> Result[bytes, Failure]:
    """Read a token that is sent in a header: at least one character, all of them visible ASCII.

    Args:
        path: Path of a regular file of at most `MAX_SECRET_BYTES`.

    Returns:
        The token, or ``INVALID_SETTINGS`` with the reason.
    """
    return read_secret(path).bind(_check_token)


def _check_token(token: bytes) -> Result[bytes, Failure]:
    if not token:
        return _invalid_settings("holds 0 bytes")
    if not _VISIBLE_ASCII.fullmatch(token):
        return _invalid_settings("holds white space, control or non-ASCII characters")
    return Success(token)


def _invalid_settings(reason: str) -> Result[bytes, Failure]:
    return Err(Failure(kind=ErrorKind.INVALID_SETTINGS, reason=reason))
