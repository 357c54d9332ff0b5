"""Rendezvous hashing that selects the relays and store watchers of a data centre.

All processes that see the same members select the same relays and watchers.
"""

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
"""Relay slots per data centre; a relay connects to the relay of its slot in every other one."""
WATCHERS_PER_DATA_CENTRE = 2
"""Entry instances per data centre that watch the platform's store."""
SCORE_BYTES = 8


def relays_among(names: Iterable[str]) -> tuple[str, ...]:
    """Return the names of the relays in the order of their slots.

    Each slot has a hash of its own, so that the loss of the relay of one slot seldom moves the
    other slot, whose relay would have to open all its connections again.
    """
    remaining = set(names)
    chosen = []
    for slot in range(min(RELAYS_PER_DATA_CENTRE, len(remaining))):
        winner = max(remaining, key=lambda name: (_score(f"relay {slot}", name), name))
        remaining.remove(winner)
        chosen.append(winner)
    return tuple(chosen)


def watchers_among(names: Iterable[str]) -> tuple[str, ...]:
    """Return the names of the instances that watch the platform's store."""
    ranked = sorted(names, key=lambda name: (_score("watch", name), name), reverse=True)
    return tuple(ranked[:WATCHERS_PER_DATA_CENTRE])


def rank_among(names: Iterable[str], own: str, *, lease_name: str) -> int:
    """Return how many of the names rank before ``own`` for a lease; 0 for the first."""
    own_score = (_score(lease_name, own), own)
    return sum(1 for name in names if (_score(lease_name, name), name) > own_score)


def _score(lease_name: str, name: str) -> bytes:
    """Return the rendezvous hash of a name for a lease."""
    return blake2b(f"{lease_name}/{name}".encode(), digest_size=SCORE_BYTES).digest()
