"""The fleet's shared key: read from a file, proved without being sent.

The file holds one key a line, the newest first; a second line lets operators replace the key
without a moment in which two processes hold no key in common.
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
    """The keys that a process accepts, the one it prefers first."""

    keys: tuple[bytes, ...]

    def prove(self, *, key: bytes, role: bytes, transcript: bytes) -> bytes:
        """Return the proof of one end, over both hellos as they were sent."""
        return hmac.digest(key, role + transcript, "sha256")

    def find(self, *, role: bytes, transcript: bytes, digest: bytes) -> bytes | None:
        """Return the key that gave a proof; ``None`` where none of ours did."""
        for key in self.keys:
            if hmac.compare_digest(digest, self.prove(key=key, role=role, transcript=transcript)):
                return key
        return None


def load_keys(path: Path) -> Result[FleetKeys, Failure]:
    """Read the keys from a file.

    Args:
        path: The file; blank lines are passed over.

    Returns:
        The keys, or ``INVALID_SETTINGS`` where there is none, too many, or one too short.
    """
    try:
        lines = path.read_text(encoding=ENCODING).splitlines()
    except (OSError, ValueError) as error:
        return _invalid(f"can't read the key file {path}: {error}")
    keys = tuple(line.strip().encode(ENCODING) for line in lines if line.strip())
    if not 1 <= len(keys) <= MAX_KEYS:
        return _invalid(f"the key file {path} must hold 1 or {MAX_KEYS} keys, one a line")
    if min(len(key) for key in keys) < MIN_KEY_BYTES:
        return _invalid(f"a key in {path} is shorter than {MIN_KEY_BYTES} bytes")
    return Success(FleetKeys(keys=keys))


def _invalid(reason: str) -> Result[FleetKeys, Failure]:
    return Err(Failure(kind=ErrorKind.INVALID_SETTINGS, reason=reason))
