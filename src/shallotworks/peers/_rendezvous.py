"""Who takes which duty in a data centre, chosen the same way by all who see the same members."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

__all__ = [
    "RELAYS_PER_DATA_CENTRE",
    "WATCHERS_PER_DATA_CENTRE",
    "rank_among",
    "relays_among",
    "watchers_among",
]

RELAYS_PER_DATA_CENTRE = 2
"""Relays of a data centre; each links with the one of its own slot in every other."""
WATCHERS_PER_DATA_CENTRE = 2
"""Instances of a data centre that watch the platform's store."""
SCORE_BYTES = 8


def relays_among(names: Iterable[str]) -> tuple[str, ...]:
    """Return the relays in the order of their slots.

    Each slot is drawn by a hash of its own, so that losing the holder of one slot seldom moves the
    holder of the other, whose links would all be made anew.
    """
    remaining = set(names)
    chosen = []
    for slot in range(min(RELAYS_PER_DATA_CENTRE, len(remaining))):
        winner = max(remaining, key=lambda name: (_score(f"relay {slot}", name), name))
        remaining.remove(winner)
        chosen.append(winner)
    return tuple(chosen)


def watchers_among(names: Iterable[str]) -> tuple[str, ...]:
    """Return those that watch the platform's store."""
    ranked = sorted(names, key=lambda name: (_score("watch", name), name), reverse=True)
    return tuple(ranked[:WATCHERS_PER_DATA_CENTRE])


def rank_among(names: Iterable[str], own: str, *, duty: str) -> int:
    """Return how many of these names come before one's own for a duty; 0 for the first."""
    own_score = (_score(duty, own), own)
    return sum(1 for name in names if (_score(duty, name), name) > own_score)


def _score(duty: str, name: str) -> bytes:
    """Return the rendezvous hash of one name for one duty."""
    return blake2b(f"{duty}/{name}".encode(), digest_size=SCORE_BYTES).digest()
