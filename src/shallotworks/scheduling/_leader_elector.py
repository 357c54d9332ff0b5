"""Which instance schedules which service: whoever wins the service's leased key."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import Awaitable, Callable

from shallotworks.logs import StructuredLog
from shallotworks.store import HeldLease, Item, LeaseTiming, PrefixWatcher, Store

__all__ = ["LeaderElector"]

BID_SPREAD_S = 0.2
"""Bids of different instances are spread over this long, each service's in another order, so that
services spread over instances."""
DELAY_PER_HELD_KEY_S = 0.25
"""Each service that an instance already schedules makes its next bid this much later."""
BID_RETRY_S = 0.5
WEAKEST_DELAY_S = 1.0
"""The weakest instance bids this much later than the strongest: a scheduler reads all open jobs at
its start and half a megabit a second from then on, which takes an instance with half a core and a
link of 5 Mbit/s seconds. One with half a core also comes after a strong one that has a duty: half
of four times its processor is still more."""


class LeaderElector:
    """Bids for the keys of all services and runs a term for each that is won.

    Args:
        store: The store.
        root: Prefix of the keys, each duty's name after it.
        mark: Returns a second key for a duty's name; see `HeldLease.acquire`.
        instance: This instance's name, written into the keys.
        run_epoch: Runs a term until its key is lost.
        clock: Seconds, counting suspended time.
        times: Times of held keys.
        log: One line for each term.
        strength: How well this instance is equipped for a duty, 0 to 1.
    """

    __slots__ = (
        "_bids",
        "_clock",
        "_holder_tokens",
        "_instance",
        "_is_stopping",
        "_key_freed",
        "_leases",
        "_log",
        "_marker_key_of",
        "_pending_acquisitions",
        "_root",
        "_run_epoch",
        "_store",
        "_strength",
        "_times",
        "_watcher",
    )

    def __init__(
        self,
        *,
        store: Store,
        root: str,
        mark: Callable[[str], str],
        instance: str,
        run_epoch: Callable[[str, HeldLease], Awaitable[None]],
        clock: Callable[[], float],
        times: LeaseTiming,
        log: StructuredLog,
        strength: float = 1.0,
    ) -> None:
        self._store = store
        self._strength = strength
        self._root = root
        self._marker_key_of = mark
        self._instance = instance
        self._run_epoch = run_epoch
        self._clock = clock
        self._times = times
        self._log = log
        self._holder_tokens: dict[str, int] = {}
        """Tokens of the keys that are held, as far as is known."""
        self._leases: dict[str, HeldLease] = {}
        self._bids: dict[str, asyncio.Task[None]] = {}
        self._key_freed = asyncio.Event()
        self._pending_acquisitions = 0
        self._is_stopping = False
        self._watcher = PrefixWatcher(store=store, prefix=root, listener=self, log=log)

    async def run(self) -> None:
        """Follow who holds what, until cancelled."""
        await self._watcher.run()

    def serve(self, services: set[str]) -> None:
        """Say which services there are; terms of services that are gone are given up."""
        for service in services - set(self._bids):
            self._bids[service] = asyncio.create_task(self._bid(service))
        for service in set(self._bids) - services:
            self._bids.pop(service).cancel()
            lease = self._leases.get(service)
            if lease is not None:
                lease.mark_lost("the service is gone from the configuration")

    def held(self) -> list[str]:
        """Return the duties whose keys this instance holds."""
        return sorted(self._leases)

    async def stop(self) -> None:
        """Give all keys back, so that successors begin at once."""
        self._is_stopping = True
        leases = list(self._leases.values())
        for lease in leases:
            lease.mark_lost("stopping")
        await asyncio.wait_for(
            asyncio.gather(*self._bids.values(), return_exceptions=True), timeout=2.0
        )

    # ---- what the watcher tells

    def on_write(self, item: Item) -> None:
        """Hear who holds a key."""
        service = item.key.removeprefix(self._root)
        self._holder_tokens[service] = max(item.created, self._holder_tokens.get(service, 0))
        lease = self._leases.get(service)
        if lease is not None and item.created > lease.token:
            lease.mark_lost("another holds its key")

    def on_delete(self, key: str, revision: int) -> None:
        """Hear that a key is free.

        The failure: this instance bids as soon as its own term has ended, and may win before the
        watcher tells that the earlier key is gone; the new term then ended at its start. Only what
        was deleted after a key's creation was that key.
        """
        service = key.removeprefix(self._root)
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
            key_count = self._key_count
            await asyncio.sleep(self._delay_s(service))
            if service in self._holder_tokens or self._is_stopping or self._key_count > key_count:
                # Also where another key was bid for or won meanwhile: others come first now.
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
                key=self._root + service,
                marker_key=self._marker_key_of(service),
                value=self._instance.encode(),
                clock=self._clock,
                times=self._times,
                log=self._log,
            )
        finally:
            self._pending_acquisitions -= 1

    @property
    def _key_count(self) -> int:
        """Keys that this instance holds or is about to hold."""
        return len(self._leases) + self._pending_acquisitions

    async def _run_with_lease(self, service: str, lease: HeldLease) -> None:
        self._holder_tokens[service] = lease.token
        self._leases[service] = lease
        self._log.line("duty-acquired", key=lease.key, token=lease.token)
        try:
            await self._run_epoch(service, lease)
        except Exception as error:
            # A fault in one term must not end the instance: the key goes to another instance.
            self._log.line("term-fault", service=service, reason=repr(error))
        finally:
            lease.mark_lost("the term has ended")
            del self._leases[service]
            await lease.release()
            if self._holder_tokens.get(service) == lease.token:
                del self._holder_tokens[service]

    async def _wait_for_free_key(self) -> None:
        self._key_freed.clear()
        # Not `wait_for`, which loses a cancellation that comes with the news.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(BID_RETRY_S):
                await self._key_freed.wait()

    def _delay_s(self, service: str) -> float:
        digest = hashlib.blake2b(f"{self._instance}/{service}".encode(), digest_size=4).digest()
        fraction = int.from_bytes(digest, "big") / 2**32
        strength_delay_s = (1 - self._strength) * WEAKEST_DELAY_S
        return fraction * BID_SPREAD_S + strength_delay_s + DELAY_PER_HELD_KEY_S * self._key_count
