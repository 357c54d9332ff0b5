"""A plan's duty held by a lease in the platform's service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from shallotworks.platform import LeaseHolder

__all__ = ["DUTY_TTL_S", "LeaseDuty"]

DUTY_TTL_S = 4.0
"""Time to live of a plan's lease: a dead conductor's lease lapses within it, and a candidate looks
at the latest that long after, which together stays under 10 s."""


class LeaseDuty:
    """Implements `Duty` by a `LeaseHolder`, which stands for the duty while it is wanted.

    Args:
        holder: The holder, with a time to live of `DUTY_TTL_S`.
        should_stand: Whether this process is one of the few that stand for the duty.
    """

    __slots__ = ("_holder", "_should_stand", "_task")

    def __init__(
        self, *, holder: LeaseHolder, should_stand: Callable[[], bool] = lambda: True
    ) -> None:
        self._holder = holder
        self._should_stand = should_stand
        self._task: asyncio.Task[None] | None = None

    async def acquire(self) -> int:
        """Wait until the lease is held; returns its fencing token."""
        if self._task is None:
            self._task = asyncio.ensure_future(self._holder.run(should_stand=self._should_stand))
        return (await self._holder.wait_until_held()).fencing_token

    def still_held(self) -> bool:
        """Return whether the lease is held by the local clock."""
        return self._holder.still_held()

    async def release(self) -> None:
        """Give the lease back and stand no more."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.wait((self._task,))
        self._task = None
