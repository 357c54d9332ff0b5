"""Lease on the execution of one plan, kept in the platform's store."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from shallotworks.kv import LeaseCandidate

__all__ = ["StorePlanLease"]


class StorePlanLease:
    """Implements `shallotworks.plans.PlanLease` with a `LeaseCandidate`.

    Args:
        candidate: Acquires and renews the lease.
        is_eligible: Returns whether this process may acquire the lease.
        pause_factor: Returns the factor on the pauses between attempts; see `LeaseCandidate.run`.
        held_names: Names of the leases that this process holds; updated for operators.
    """

    __slots__ = ("_candidacy", "_candidate", "_held_names", "_is_eligible", "_pause_factor")

    def __init__(
        self,
        *,
        candidate: LeaseCandidate,
        is_eligible: Callable[[], bool],
        pause_factor: Callable[[], float],
        held_names: set[str],
    ) -> None:
        self._pause_factor = pause_factor
        self._candidate = candidate
        self._is_eligible = is_eligible
        self._held_names = held_names
        self._candidacy: asyncio.Task[None] | None = None

    async def acquire(self) -> int:
        """Wait until the lease is acquired, and return its fencing token."""
        if self._candidacy is None:
            work = self._candidate.run(
                is_eligible=self._is_eligible, pause_factor=self._pause_factor
            )
            self._candidacy = asyncio.create_task(work)
        lease_record = await self._candidate.wait_until_held()
        self._held_names.add(self._candidate.lease_name)
        return lease_record.fencing_token

    def is_held(self) -> bool:
        """Return whether the lease is still held, by the local clock."""
        return self._candidate.is_held()

    async def release(self) -> None:
        """Release the lease if it is held, and stop trying to acquire it."""
        self._held_names.discard(self._candidate.lease_name)
        if self._candidacy is None:
            return
        self._candidacy.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._candidacy
        self._candidacy = None
