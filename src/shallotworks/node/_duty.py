"""The right to conduct one plan, held by a lease in the platform's service."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from shallotworks.kv import LeaseCandidate

__all__ = ["LeaseDuty"]


class LeaseDuty:
    """Implements `shallotworks.plans.PlanLease` with a `LeaseCandidate`.

    Args:
        candidate: The candidate for the duty.
        should_stand: Whether this process is among the few that stand for duties.
        patience: See `LeaseCandidate.run`.
        held: Names of the duties held by this process, for operators.
    """

    __slots__ = ("_candidate", "_held", "_patience", "_should_stand", "_standing")

    def __init__(
        self,
        *,
        candidate: LeaseCandidate,
        should_stand: Callable[[], bool],
        patience: Callable[[], float],
        held: set[str],
    ) -> None:
        self._patience = patience
        self._candidate = candidate
        self._should_stand = should_stand
        self._held = held
        self._standing: asyncio.Task[None] | None = None

    async def acquire(self) -> int:
        """Wait until it is held; returns its fencing token."""
        if self._standing is None:
            work = self._candidate.run(should_stand=self._should_stand, patience=self._patience)
            self._standing = asyncio.create_task(work)
        lease_record = await self._candidate.wait_until_held()
        self._held.add(self._candidate.duty)
        return lease_record.fencing_token

    def is_held(self) -> bool:
        """Return whether it is held by the local clock."""
        return self._candidate.is_held()

    async def release(self) -> None:
        """Give it up, where it is held."""
        self._held.discard(self._candidate.duty)
        if self._standing is None:
            return
        self._standing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._standing
        self._standing = None
