"""Turns the platform's word that instances leave, are gone or are back into the configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from returns.result import Success

from shallotworks.config import ConfigLog, ConfigView
from shallotworks.fleet import SetHealth
from shallotworks.kv import InstanceList, ListedInstance
from shallotworks.metrics import Metrics
from shallotworks.requests import PoolDispatcher

__all__ = ["InstanceListWatcher"]

POLL_S = 1.0
"""Pause between two reads of the list where one process reads it."""
IDLE_S = 0.5
"""Pause before a process that does not read asks again whether it should."""


class InstanceListWatcher:
    """Reads the platform's list of instances and acts on it.

    Only the few processes that watch the store read the list, so that its calls do not grow with
    the entry instances. What they learn becomes a `SetHealth`, which reaches every entry instance
    as the configuration does; an instance that leaves is unavailable, and counts against its
    services' budgets like a failed one. The process that reads also takes it out of its own choice
    at once. Where the configuration is old, since the store or the watchers can't be reached, every
    process reads the list for itself.

    Args:
        data_centre: Instances of this data centre are looked after.
        instances: The platform's list.
        view: The configuration in force.
        log: Where changes go.
        dispatcher: Told which instances are away, before the change is in force.
        reads: Whether this process reads the list.
        readers: How many processes of the data centre read it now; each reads that much less often,
            so that an outage of the store does not multiply the calls to the list.
        metrics: Counters.
        author: Name of this process, for the history.
    """

    __slots__ = (
        "_author",
        "_data_centre",
        "_dispatcher",
        "_instances",
        "_log",
        "_metrics",
        "_readers",
        "_reads",
        "_seen",
        "_view",
    )

    def __init__(
        self,
        *,
        data_centre: str,
        instances: InstanceList,
        view: ConfigView,
        log: ConfigLog,
        dispatcher: PoolDispatcher,
        reads: Callable[[], bool],
        readers: Callable[[], int],
        metrics: Metrics,
        author: str,
    ) -> None:
        self._data_centre = data_centre
        self._instances = instances
        self._view = view
        self._log = log
        self._dispatcher = dispatcher
        self._reads = reads
        self._readers = readers
        self._metrics = metrics
        self._author = author
        self._seen: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Read and act until cancelled."""
        while True:
            if not self._reads():
                await asyncio.sleep(IDLE_S)
                continue
            listed = await self._instances.read()
            if isinstance(listed, Success):
                await self._act_on(listed.unwrap())
            else:
                self._metrics.count("instance-list.unread")
            await asyncio.sleep(POLL_S * max(1, self._readers()))

    async def _act_on(self, listed: tuple[ListedInstance, ...]) -> None:
        present = frozenset(entry.name for entry in listed)
        leaving = frozenset(entry.name for entry in listed if entry.leaving)
        # Gone is only what was there before: the list lags, and a new instance is not in it yet.
        away = leaving | (self._seen - present)
        self._seen |= present
        self._dispatcher.set_leaving(away)
        own = [
            entry
            for entry in self._view.state().instances.values()
            if entry.data_centre == self._data_centre
        ]
        await self._set_health(
            (entry.name for entry in own if entry.healthy and entry.name in away), healthy=False
        )
        back = present - leaving
        await self._set_health(
            (entry.name for entry in own if not entry.healthy and entry.name in back),
            healthy=True,
        )

    async def _set_health(self, names: Iterable[str], *, healthy: bool) -> None:
        changed = tuple(names)
        if not changed:
            return
        outcome = await self._log.propose(
            SetHealth(names=changed, healthy=healthy), author=self._author
        )
        told = "told" if isinstance(outcome, Success) else "not-told"
        self._metrics.count(f"instance-list.{told}")
