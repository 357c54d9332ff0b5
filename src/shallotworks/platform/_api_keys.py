"""API keys of callers, of which only digests are kept."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable

__all__ = ["ApiKeys", "parse_key"]

KEY_SCHEME = "token"


def parse_key(authorization: str) -> str | None:
    """Return the key in an ``Authorization`` header; ``None`` without one of the right scheme."""
    scheme, _, key = authorization.strip().partition(" ")
    return key.strip() or None if scheme.lower() == KEY_SCHEME else None


class ApiKeys:
    """The keys of all teams in one version of the configuration.

    Args:
        keys: Pairs of a team's name and one of its keys.

    Raises:
        ValueError: A key is empty, or two teams share one. The message names no key.
    """

    __slots__ = ("_teams_by_digest",)

    def __init__(self, keys: Iterable[tuple[str, str]]) -> None:
        self._teams_by_digest: dict[bytes, tuple[bytes, str]] = {}
        for team, key in keys:
            digest = _digest(key)
            if not key:
                raise ValueError(f"team {team!r} has an empty key")
            earlier = self._teams_by_digest.setdefault(digest, (digest, team))
            if earlier[1] != team:
                raise ValueError(f"teams {earlier[1]!r} and {team!r} share a key")

    def team_of(self, key: str) -> str | None:
        """Return the name of the team that holds a key; ``None`` if none does."""
        digest = _digest(key)
        found = self._teams_by_digest.get(digest)
        if found is None or not hmac.compare_digest(found[0], digest):
            return None
        return found[1]


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()
