"""Grants that are held, and the counts that each of them is part of."""

from __future__ import annotations

from dataclasses import dataclass

from ._loads import ClassLoad, TeamLoad
from ._messages import Grant
from ._pool import PoolState
from ._targets import TargetState

__all__ = ["GrantLedger", "HeldSlot"]


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldSlot:
    """What a grant holds until it is released.

    Args:
        target: The target whose slot it holds.
        pool: The target's pool.
        load: The service and class that it counts for.
        team: The team that it counts for, if any.
        probe: Whether it probes an ejected target.
    """

    target: TargetState
    pool: PoolState
    load: ClassLoad
    team: TeamLoad | None
    probe: bool


class GrantLedger:
    """Issues grants and takes them back, each exactly once."""

    __slots__ = ("_held", "_next_id")

    def __init__(self) -> None:
        self._held: dict[int, HeldSlot] = {}
        self._next_id = 1

    def __len__(self) -> int:
        return len(self._held)

    def issue(self, request_id: str, held: HeldSlot, *, now_s: float) -> Grant:
        """Count a grant and return it."""
        grant = Grant(grant_id=self._next_id, request_id=request_id, target=held.target.target)
        self._next_id += 1
        self._held[grant.grant_id] = held
        held.target.group.count_grant(held.target)
        _add_to_counts(held, 1, now_s)
        return grant

    def release(self, grant: Grant, *, now_s: float) -> HeldSlot | None:
        """Uncount a grant; ``None`` where it is not held, since it was taken back before."""
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
