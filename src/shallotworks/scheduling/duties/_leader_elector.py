"""Elects which instance schedules which service: the one that acquires the service's lease."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import Awaitable, Callable

from shallotworks.logs import StructuredLog
from shallotworks.store import HeldLease, Item, LeaseTiming, PrefixWatcher, Store

__all__ = ["LeaderElector"]

BID_SPREAD_S = 0.2
"""The bids of different instances are spread over this time, in another order for each service,
so that the services are spread over the instances."""
DELAY_PER_HELD_LEASE_S = 0.25
"""Each service that an instance already schedules delays its next bid by this time."""
BID_RETRY_S = 0.5
"""Longest wait for a held key to become free before it is checked again, and the pause after a
failed bid."""
WEAKEST_DELAY_S = 1.0
"""The weakest instance bids this much later than the strongest. A scheduler reads all open jobs
at its start and half a megabit a second from then on, which takes seconds on an instance with
half a core and a link of 5 Mbit/s. An instance with half a core also bids after an instance with
two cores that already schedules a service, since half of two cores is still more."""


class LeaderElector:
    """Bids for the leases of all services and runs an epoch for each lease that is acquired.

    Args:
        store: The store.
        key_prefix: Prefix of the keys; the name of the service follows it.
        marker_key_of: Returns the marker key of a service; see `HeldLease.acquire`.
        instance: Name of this instance, which is written into the keys.
        run_epoch: Runs an epoch until its lease is lost.
        clock: Seconds, counting suspended time.
        timing: Times of the leases.
        log: One line for each epoch.
        strength: Capacity of this instance to run schedulers, 0 to 1.
    """

    __slots__ = (
        "_bid_tasks",
        "_clock",
        "_holder_tokens",
        "_instance",
        "_is_stopping",
        "_key_freed",
        "_key_prefix",
        "_leases",
        "_log",
        "_marker_key_of",
        "_pending_acquisitions",
        "_run_epoch",
        "_store",
        "_strength",
        "_timing",
        "_watcher",
    )

    def __init__(
        self,
        *,
        store: Store,
        key_prefix: str,
        marker_key_of: Callable[[str], str],
        instance: str,
        run_epoch: Callable[[str, HeldLease], Awaitable[None]],
        clock: Callable[[], float],
        timing: LeaseTiming,
        log: StructuredLog,
        strength: float = 1.0,
    ) -> None:
        self._store = store
        self._strength = strength
        self._key_prefix = key_prefix
        self._marker_key_of = marker_key_of
        self._instance = instance
        self._run_epoch = run_epoch
        self._clock = clock
        self._timing = timing
        self._log = log
        self._holder_tokens: dict[str, int] = {}
        """Fencing tokens of the leaseholders by service, as far as the watcher has reported."""
        self._leases: dict[str, HeldLease] = {}
        self._bid_tasks: dict[str, asyncio.Task[None]] = {}
        self._key_freed = asyncio.Event()
        self._pending_acquisitions = 0
        self._is_stopping = False
        self._watcher = PrefixWatcher(store=store, prefix=key_prefix, listener=self, log=log)

    async def run(self) -> None:
        """Watch which services have a leaseholder, until cancelled."""
        await self._watcher.run()

    def set_services(self, services: set[str]) -> None:
        """Set the services to bid for; epochs of services that are no longer configured end."""
        for service in services - set(self._bid_tasks):
            self._bid_tasks[service] = asyncio.create_task(self._bid(service))
        for service in set(self._bid_tasks) - services:
            self._bid_tasks.pop(service).cancel()
            lease = self._leases.get(service)
            if lease is not None:
                lease.mark_lost("the service was removed from the configuration")

    def held_services(self) -> list[str]:
        """Return the services whose leases this instance holds."""
        return sorted(self._leases)

    async def stop(self) -> None:
        """Release all leases, so that successors can begin at once."""
        self._is_stopping = True
        leases = list(self._leases.values())
        for lease in leases:
            lease.mark_lost("stopping")
        await asyncio.wait_for(
            asyncio.gather(*self._bid_tasks.values(), return_exceptions=True), timeout=2.0
        )

    # ---- events from the watcher of the keys

    def on_write(self, item: Item) -> None:
        """Process the creation of a key by its holder."""
        service = item.key.removeprefix(self._key_prefix)
        self._holder_tokens[service] = max(item.created, self._holder_tokens.get(service, 0))
        lease = self._leases.get(service)
        if lease is not None and item.created > lease.token:
            lease.mark_lost("another instance holds its key")

    def on_delete(self, key: str, revision: int) -> None:
        """Process the deletion of a key.

        This instance bids as soon as its own epoch has ended, and may acquire the lease before the
        watcher reports that the earlier key was deleted. That report must not end the new epoch.
        Only a deletion with a higher revision than the key's creation concerns that key.
        """
        service = key.removeprefix(self._key_prefix)
        lease = self._leases.get(service)
        if lease is not None and revision > lease.token:
            lease.mark_lost("its key was deleted")
        if revision > self._holder_tokens.get(service, 0):
            self._holder_tokens.pop(service, None)
            self._key_freed.set()

    # ---- bids

    async def _bid(self, service: str) -> None:
        await self._watcher.synced.wait()
        while not self._is_stopping:
            if service in self._holder_tokens:
                await self._wait_for_free_key()
                continue
            lease_count = self._lease_count
            await asyncio.sleep(self._bid_delay_s(service))
            if (
                service in self._holder_tokens
                or self._is_stopping
                or self._lease_count > lease_count
            ):
                # The bid also starts anew if this instance acquired another lease during the delay,
                # or began to, so that instances with fewer leases bid first.
                continue
            lease = await self._acquire(service)
            if lease is None:
                await asyncio.sleep(BID_RETRY_S)
                continue
            await self._run_with_lease(service, lease)

    async def _acquire(self, service: str) -> HeldLease | None:
        self._pending_acquisitions += 1
        try:
            return await HeldLease.acquire(
                store=self._store,
                key=self._key_prefix + service,
                marker_key=self._marker_key_of(service),
                value=self._instance.encode(),
                clock=self._clock,
                timing=self._timing,
                log=self._log,
            )
        finally:
            self._pending_acquisitions -= 1

    @property
    def _lease_count(self) -> int:
        """Number of leases that this instance holds or is acquiring."""
        return len(self._leases) + self._pending_acquisitions

    async def _run_with_lease(self, service: str, lease: HeldLease) -> None:
        self._holder_tokens[service] = lease.token
        self._leases[service] = lease
        self._log.line("lease-acquired", key=lease.key, token=lease.token)
        try:
            await self._run_epoch(service, lease)
        except Exception as error:
            # A fault in one epoch must not end the instance; another instance acquires the lease.
            self._log.line("epoch-fault", service=service, reason=repr(error))
        finally:
            lease.mark_lost("the epoch has ended")
            del self._leases[service]
            await lease.release()
            if self._holder_tokens.get(service) == lease.token:
                del self._holder_tokens[service]

    async def _wait_for_free_key(self) -> None:
        self._key_freed.clear()
        # Not `wait_for`, which loses a cancellation that arrives together with the event.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(BID_RETRY_S):
                await self._key_freed.wait()

    def _bid_delay_s(self, service: str) -> float:
        digest = hashlib.blake2b(f"{self._instance}/{service}".encode(), digest_size=4).digest()
        fraction = int.from_bytes(digest, "big") / 2**32
        strength_delay_s = (1 - self._strength) * WEAKEST_DELAY_S
        return (
            fraction * BID_SPREAD_S + strength_delay_s + DELAY_PER_HELD_LEASE_S * self._lease_count
        )
