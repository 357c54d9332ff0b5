"""Instances that elect holders of leases on a store in memory, with a record of who held what."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Result

from shallotworks.errors import Failure
from shallotworks.logs import StructuredLog
from shallotworks.scheduling import LeaderElector, LeaseHolder
from shallotworks.standins import FaultInjectingStore, RecordStore
from shallotworks.store import Changes, Commit, HeldLease, LeaseTiming

PREFIX = "duty/"
CLAIMS_PREFIX = "duty/successor/"
END_S = 0.1
"""Time in which an epoch answers its orders in flight and stores its progress at its end."""


@dataclass(slots=True, kw_only=True)
class Epoch:
    """An epoch that an instance has run.

    Args:
        service: The service.
        instance: The instance.
        token: Fencing token.
        began_s: Time of its begin.
        ended_s: Time of its end; ``None`` while it goes on.
    """

    service: str
    instance: str
    token: int
    began_s: float
    ended_s: float | None = None


class _EventLog(StructuredLog):
    """Records the events of an instance with their fields."""

    __slots__ = ("events",)

    def __init__(self) -> None:
        super().__init__(process="test", write=len)
        self.events: list[tuple[str, dict[str, object]]] = []

    def line(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))


class CountingStore(FaultInjectingStore):
    """Counts the calls of an instance."""

    def __init__(self, *, store: RecordStore) -> None:
        super().__init__(store=store)
        self.calls: Counter[str] = Counter()

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Result[Changes, Failure]:
        self.calls["watch"] += 1
        return await super().watch(prefix, after_revision=after_revision, wait_s=wait_s)

    async def commit(self, commit: Commit):  # type: ignore[no-untyped-def]
        self.calls["commit"] += 1
        return await super().commit(commit)

    async def grant_lease(self, *, ttl_s: float) -> Result[int, Failure]:
        self.calls["grant"] += 1
        return await super().grant_lease(ttl_s=ttl_s)

    async def renew_lease(self, lease_id: int) -> Result[None, Failure]:
        self.calls["renew"] += 1
        return await super().renew_lease(lease_id)


class DutyInstance:
    """An instance with an elector, whose epochs only renew their lease.

    Args:
        name: Its name.
        strength: Its strength, 0 to 1.
        fleet: The fleet that it belongs to.
        prepare_s: Time that it needs to prepare its first epoch.
    """

    def __init__(
        self, *, name: str, strength: float, fleet: DutyFleet, prepare_s: float = 0.1
    ) -> None:
        self.name = name
        self.log = _EventLog()
        self.store = CountingStore(store=fleet.store)
        self.is_busy = False
        self._fleet = fleet
        self._prepare_s = prepare_s
        self.elector = LeaderElector(
            store=self.store,
            key_prefix=PREFIX,
            marker_key_of=lambda service: f"mark/{service}",
            instance=name,
            run_epoch=self._run_epoch,
            clock=asyncio.get_running_loop().time,
            timing=LeaseTiming(),
            log=self.log,
            strength=strength,
            min_strength_ratios={"keeper": 3.0},
            prepare=self._prepare,
            is_movable=lambda _service: not self.is_busy,
        )
        self._watching = asyncio.create_task(self.elector.run())
        self.elector.set_services(fleet.services)

    async def _prepare(self) -> None:
        await asyncio.sleep(self._prepare_s)
        self._prepare_s = 0.0

    async def _run_epoch(self, service: str, lease: HeldLease) -> None:
        now_s = asyncio.get_running_loop().time
        epoch = Epoch(service=service, instance=self.name, token=lease.token, began_s=now_s())
        self._fleet.epochs.append(epoch)
        self._fleet.values[lease.token] = self._fleet.store.items[PREFIX + service].value
        renewal = asyncio.create_task(lease.renew_until_lost())
        try:
            await lease.lost_event.wait()
            await asyncio.sleep(END_S)
        finally:
            epoch.ended_s = now_s()
            renewal.cancel()

    def count(self, event: str) -> int:
        """Return how often an event was logged."""
        return sum(name == event for name, _ in self.log.events)

    async def stop(self) -> None:
        """End as after a stop signal."""
        with contextlib.suppress(TimeoutError):
            await self.elector.stop()
        await self.kill()

    async def kill(self) -> None:
        """End at once, without releasing anything."""
        self.store.faults.is_down = True
        tasks = [self._watching, *self.elector._bid_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class DutyFleet:
    """Instances that share a store and elect the holders of some services' leases.

    Args:
        services: The services.
    """

    def __init__(self, *services: str) -> None:
        self.services = set(services) or {"a"}
        self.store = RecordStore(rng=random.Random(1))
        self.epochs: list[Epoch] = []
        self.values: dict[int, bytes] = {}
        """Values of the leases' keys by token."""
        self.instances: dict[str, DutyInstance] = {}

    def start(self, name: str, strength: float = 1.0, prepare_s: float = 0.1) -> DutyInstance:
        """Start an instance, also in place of an ended one of the same name."""
        instance = DutyInstance(name=name, strength=strength, fleet=self, prepare_s=prepare_s)
        self.instances[name] = instance
        return instance

    def holder(self, service: str = "a") -> str | None:
        """Return the instance that the lease's key names."""
        item = self.store.items.get(PREFIX + service)
        return None if item is None else LeaseHolder.decode(item.value).instance

    def holders(self) -> Counter[str | None]:
        """Return how many leases each instance holds."""
        return Counter(self.holder(service) for service in self.services)

    def is_claimed(self, service: str = "a") -> bool:
        """Whether a claim to a lease is in the store."""
        self.store.expire()
        return CLAIMS_PREFIX + service in self.store.items

    def count(self, event: str) -> int:
        """Return how often all instances together have logged an event."""
        return sum(instance.count(event) for instance in self.instances.values())

    def longest_gap_s(self, service: str = "a") -> float:
        """Return the longest time between two epochs of a service."""
        epochs = [epoch for epoch in self.epochs if epoch.service == service]
        gaps = [
            later.began_s - (earlier.ended_s or later.began_s)
            for earlier, later in itertools.pairwise(epochs)
        ]
        return max(gaps, default=0.0)

    async def wait_for(self, is_reached: Callable[[], bool], within_s: float) -> float:
        """Wait until something holds; return how long it took.

        Raises:
            AssertionError: It does not hold in time.
        """
        clock = asyncio.get_running_loop().time
        began_s = clock()
        while not is_reached():
            if clock() - began_s > within_s:
                raise AssertionError(f"not within {within_s} s")
            await asyncio.sleep(0.002)
        return clock() - began_s

    async def close(self) -> None:
        """End all instances."""
        for instance in self.instances.values():
            await instance.kill()
