"""The services to schedule: those of the configuration, and those that left it with jobs."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from returns.result import Success

from shallotworks.jobs import PENDING_PREFIX
from shallotworks.logs import StructuredLog
from shallotworks.store import Store

__all__ = ["ServiceRoster"]

CHECK_INTERVAL_S = 5.0
MIN_RETENTION_S = 30.0
"""A service that left the configuration is kept for at least this long: instances that have not
read the new version accept jobs for it, and its scheduler may not have published anything yet."""


class ServiceRoster:
    """Keeps services that left the configuration until their schedulers have no job left.

    If no instance bid for the lease of such a service, its accepted jobs would never end. A
    scheduler deletes its record of pending counts once its service is not configured and has no
    jobs, which shows all instances that it is over.

    Args:
        store: The store.
        clock: Seconds, counting suspended time.
        log: Receives a line for each service that is kept or given up.
        on_change: Called when the services have changed.
    """

    __slots__ = (
        "_clock",
        "_configured",
        "_is_checked",
        "_kept_since_s",
        "_log",
        "_on_change",
        "_store",
        "_wake",
    )

    def __init__(
        self,
        *,
        store: Store,
        clock: Callable[[], float],
        log: StructuredLog,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._configured: frozenset[str] = frozenset()
        self._kept_since_s: dict[str, float] = {}
        """Services that are not configured, with the time since when."""
        self._is_checked = False
        """Whether the records were read since the last change of the configuration."""
        self._wake = asyncio.Event()

    @property
    def services(self) -> frozenset[str]:
        """The services that are configured or may have accepted jobs."""
        return self._configured | self._kept_since_s.keys()

    def may_be_given_up(self, service: str) -> bool:
        """Whether a service left the configuration long enough ago to end once it has no jobs."""
        since_s = self._kept_since_s.get(service)
        return since_s is not None and self._clock() - since_s >= MIN_RETENTION_S

    def configure(self, services: frozenset[str]) -> None:
        """Set the services of the configuration in force."""
        removed = self._configured - services
        self._configured = services
        for service in services & self._kept_since_s.keys():
            del self._kept_since_s[service]
        for service in removed:
            self._keep(service)
        self._is_checked = False
        self._wake.set()
        self._on_change()

    async def run(self) -> None:
        """Check which services still have jobs, until cancelled."""
        while True:
            await self._wait()
            if self._configured and (self._kept_since_s or not self._is_checked):
                await self._check()

    async def _wait(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._wake.wait()
        self._wake.clear()

    async def _check(self) -> None:
        outcome = await self._store.read_page(PENDING_PREFIX)
        if not isinstance(outcome, Success):
            self._log.line("services-unknown", reason=str(outcome.failure()))
            return
        self._is_checked = True
        recorded = {item.key.removeprefix(PENDING_PREFIX) for item in outcome.unwrap().items}
        before = self.services
        for service in recorded - before:
            self._keep(service)
        for service in list(self._kept_since_s):
            if service not in recorded and self.may_be_given_up(service):
                del self._kept_since_s[service]
                self._log.line("service-given-up", service=service)
        if self.services != before:
            self._on_change()

    def _keep(self, service: str) -> None:
        self._kept_since_s[service] = self._clock()
        self._log.line("service-kept", service=service)
