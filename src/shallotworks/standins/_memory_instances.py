"""The platform's list of instances in memory, with a replication lag."""

from __future__ import annotations

import asyncio

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import ListedInstance

__all__ = ["MemoryInstanceList"]


class MemoryInstanceList:
    """Implements `shallotworks.kv.InstanceList`; every read returns the list ``lag_s`` ago.

    Args:
        lag_s: Time until a change is visible to reads.
    """

    __slots__ = ("_history", "is_down", "lag_s", "read_count")

    def __init__(self, *, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.is_down = False
        self.read_count = 0
        self._history: list[tuple[float, tuple[ListedInstance, ...]]] = []

    def replace_all(self, instances: tuple[ListedInstance, ...]) -> None:
        """Replace the list; reads return the new one once the lag has passed."""
        self._history.append((asyncio.get_running_loop().time(), instances))

    async def read(self) -> Result[tuple[ListedInstance, ...], Failure]:
        """Read the list as it was ``lag_s`` ago."""
        self.read_count += 1
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason="the list is down"))
        visible_until_s = asyncio.get_running_loop().time() - self.lag_s
        while len(self._history) > 1 and self._history[1][0] <= visible_until_s:
            del self._history[0]
        if not self._history or self._history[0][0] > visible_until_s:
            return Success(())
        return Success(self._history[0][1])
