"""Grants that are held, and the counters that include them."""

from __future__ import annotations

from dataclasses import dataclass

from ._loads import ClassLoad, TeamLoad
from ._messages import Grant
from ._pool import PoolState
from ._targets import TargetState

__all__ = ["GrantLedger", "HeldSlot"]


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldSlot:
    """Slot that a grant occupies until it is released.

    Args:
        target: The target that provides the slot.
        pool: The target's pool.
        load: The service and class that the slot counts towards.
        team: The team that the slot counts towards, if any.
        probe: Whether the grant probes an ejected target.
    """

    target: TargetState
    pool: PoolState
    load: ClassLoad
    team: TeamLoad | None
    probe: bool


class GrantLedger:
    """Issues grants and releases each of them exactly once."""

    __slots__ = ("_held", "_next_id")

    def __init__(self) -> None:
        self._held: dict[int, HeldSlot] = {}
        self._next_id = 1

    def __len__(self) -> int:
        return len(self._held)

    def issue(self, request_id: str, held: HeldSlot, *, now_s: float) -> Grant:
        """Issue a grant and add it to the counters of its target, pool, load and team."""
        grant = Grant(grant_id=self._next_id, request_id=request_id, target=held.target.target)
        self._next_id += 1
        self._held[grant.grant_id] = held
        held.target.group.count_grant(held.target)
        _add_to_counts(held, 1, now_s)
        return grant

    def release(self, grant: Grant, *, now_s: float) -> HeldSlot | None:
        """Release a grant and return its slot; ``None`` if it was released before."""
        held = self._held.pop(grant.grant_id, None)
        if held is not None:
            held.target.group.discount_grant(held.target)
            _add_to_counts(held, -1, now_s)
        return held


def _add_to_counts(held: HeldSlot, amount: int, now_s: float) -> None:
    held.load.in_flight += amount
    if held.load.interactive:
        held.pool.interactive.add(amount, now_s)
    else:
        held.pool.long_running_in_flight += amount
    if held.team is not None:
        held.team.held += amount
