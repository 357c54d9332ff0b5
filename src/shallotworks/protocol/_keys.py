"""The fleet's shared keys, read from a file and proved without being sent.

The file contains one key per line, the newest first. A second key allows rotation during which any
two processes always have a key in common.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from pathlib import Path

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure

__all__ = ["FleetKeys", "load_keys"]

MIN_KEY_BYTES = 16
MAX_KEYS = 2
ENCODING = "utf-8"


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetKeys:
    """The keys that a process accepts, the preferred one first."""

    keys: tuple[bytes, ...]

    def prove(self, *, key: bytes, role: bytes, transcript: bytes) -> bytes:
        """Return the proof of one end: an HMAC over its role and both encoded hellos."""
        return hmac.digest(key, role + transcript, "sha256")

    def find(self, *, role: bytes, transcript: bytes, digest: bytes) -> bytes | None:
        """Return the key that produced a proof, or ``None`` if none of the keys did."""
        for key in self.keys:
            if hmac.compare_digest(digest, self.prove(key=key, role=role, transcript=transcript)):
                return key
        return None


def load_keys(path: Path) -> Result[FleetKeys, Failure]:
    """Read the keys from a file.

    Args:
        path: The file; blank lines are ignored.

    Returns:
        The keys, or ``INVALID_SETTINGS`` if the file can't be read or has no key, too many or one
        that is too short.
    """
    try:
        lines = path.read_text(encoding=ENCODING).splitlines()
    except (OSError, ValueError) as error:
        return _invalid(f"can't read the key file {path}: {error}")
    keys = tuple(line.strip().encode(ENCODING) for line in lines if line.strip())
    if not 1 <= len(keys) <= MAX_KEYS:
        return _invalid(f"the key file {path} must contain 1 or {MAX_KEYS} keys, one per line")
    if min(len(key) for key in keys) < MIN_KEY_BYTES:
        return _invalid(f"a key in {path} is shorter than {MIN_KEY_BYTES} bytes")
    return Success(FleetKeys(keys=keys))


def _invalid(reason: str) -> Result[FleetKeys, Failure]:
    return Err(Failure(kind=ErrorKind.INVALID_SETTINGS, reason=reason))
