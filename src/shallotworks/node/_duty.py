"""The right to conduct one plan, held by a lease in the platform's service."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from shallotworks.kv import LeaseHolder

__all__ = ["LeaseDuty"]


class LeaseDuty:
    """Implements `shallotworks.plans.PlanLease` with a `LeaseHolder`.

    Args:
        holder: The candidate for the duty.
        should_stand: Whether this process is among the few that stand for duties.
        patience: See `LeaseHolder.run`.
        held: Names of the duties held by this process, for operators.
    """

    __slots__ = ("_held", "_holder", "_patience", "_should_stand", "_standing")

    def __init__(
        self,
        *,
        holder: LeaseHolder,
        should_stand: Callable[[], bool],
        patience: Callable[[], float],
        held: set[str],
    ) -> None:
        self._patience = patience
        self._holder = holder
        self._should_stand = should_stand
        self._held = held
        self._standing: asyncio.Task[None] | None = None

    async def acquire(self) -> int:
        """Wait until it is held; returns its fencing token."""
        if self._standing is None:
            work = self._holder.run(should_stand=self._should_stand, patience=self._patience)
            self._standing = asyncio.create_task(work)
        holding = await self._holder.wait_until_held()
        self._held.add(self._holder.duty)
        return holding.fencing_token

    def still_held(self) -> bool:
        """Return whether it is held by the local clock."""
        return self._holder.still_held()

    async def release(self) -> None:
        """Give it up, where it is held."""
        self._held.discard(self._holder.duty)
        if self._standing is None:
            return
        self._standing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._standing
        self._standing = None
