"""Applies the platform's list of leaving, removed and returned instances to the configuration."""

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

LIST_READ_INTERVAL_S = 1.0
"""Pause between two reads of the list if one process of the data centre reads it."""
NOT_READING_POLL_S = 0.5
"""Pause before a process that does not read the list checks again whether it should."""


class InstanceListWatcher:
    """Reads the platform's list of instances and sets the health of the listed instances.

    Only the few processes that watch the store read the list, so that the number of calls does not
    grow with the entry instances. Each change they find becomes a `SetHealth`, which is distributed
    with the configuration to every entry instance. A leaving instance is unavailable and counts
    against the disruption budgets of its services like a failed one. The reading process also stops
    selecting it at once. If the configuration is stale, because the store or the watchers are
    unreachable, every process reads the list itself.

    Args:
        data_centre: Only instances of this data centre are changed in the configuration.
        instances: The platform's list.
        view: The configuration in force.
        log: The configuration log to which changes are proposed.
        dispatcher: Gets the unavailable instances before the change is in force.
        should_read: Returns whether this process reads the list.
        reader_count: Returns how many processes of the data centre read the list. Each multiplies
            its pause by it, so that an outage of the store does not multiply the calls to the list.
        metrics: Counts failed reads and proposed changes.
        author: Name of this process, recorded as the author of changes.
    """

    __slots__ = (
        "_author",
        "_data_centre",
        "_dispatcher",
        "_ever_listed",
        "_instances",
        "_log",
        "_metrics",
        "_reader_count",
        "_should_read",
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
        should_read: Callable[[], bool],
        reader_count: Callable[[], int],
        metrics: Metrics,
        author: str,
    ) -> None:
        self._data_centre = data_centre
        self._instances = instances
        self._view = view
        self._log = log
        self._dispatcher = dispatcher
        self._should_read = should_read
        self._reader_count = reader_count
        self._metrics = metrics
        self._author = author
        self._ever_listed: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Read the list and apply it, repeatedly, until cancelled."""
        while True:
            if not self._should_read():
                await asyncio.sleep(NOT_READING_POLL_S)
                continue
            listed = await self._instances.read()
            if isinstance(listed, Success):
                await self._apply_list(listed.unwrap())
            else:
                self._metrics.count("instance-list.unread")
            await asyncio.sleep(LIST_READ_INTERVAL_S * max(1, self._reader_count()))

    async def _apply_list(self, listed: tuple[ListedInstance, ...]) -> None:
        present = frozenset(entry.name for entry in listed)
        leaving = frozenset(entry.name for entry in listed if entry.leaving)
        # The list lags, and a new instance is not in it yet. Therefore only an instance that was
        # listed before counts as removed.
        unavailable = leaving | (self._ever_listed - present)
        self._ever_listed |= present
        self._dispatcher.set_leaving_instances(unavailable)
        own_instances = [
            entry
            for entry in self._view.state().instances.values()
            if entry.data_centre == self._data_centre
        ]
        await self._set_health(
            (entry.name for entry in own_instances if entry.healthy and entry.name in unavailable),
            healthy=False,
        )
        returned = present - leaving
        await self._set_health(
            (entry.name for entry in own_instances if not entry.healthy and entry.name in returned),
            healthy=True,
        )

    async def _set_health(self, names: Iterable[str], *, healthy: bool) -> None:
        changed_names = tuple(names)
        if not changed_names:
            return
        proposed = await self._log.propose(
            SetHealth(names=changed_names, healthy=healthy), author=self._author
        )
        result_label = "told" if isinstance(proposed, Success) else "not-told"
        self._metrics.count(f"instance-list.{result_label}")
