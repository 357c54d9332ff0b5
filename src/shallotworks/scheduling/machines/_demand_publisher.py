"""Publishes for the machine controller which machines a service lacks and can spare."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from shallotworks.logs import StructuredLog
from shallotworks.store import FencedRecord, HeldLease, Store

from .._model import Worker
from ._machine_records import MachineRecords, PoolDemand, pool_demand_key
from ._sizing import PoolSizer

__all__ = ["DemandPublisher"]

SIZING_INTERVAL_S = 0.1
STORE_RETRY_S = 0.1


class DemandPublisher:
    """Publishes the demand of one service during one epoch of its scheduler.

    Args:
        service: The service.
        lease: The service's lease.
        store: The store.
        sizer: Computes the demand.
        machine_records: The machine controller's record and the other services' demands.
        clock: Seconds, counting suspended time.
        wall_clock: Time of day in seconds since 1970.
        log: Receives each published demand.
        on_draining: Called for each worker that the machine controller wants drained.
    """

    __slots__ = (
        "_clock",
        "_lease",
        "_log",
        "_machine_records",
        "_on_draining",
        "_record",
        "_service",
        "_sizer",
        "_wall_clock",
    )

    def __init__(
        self,
        *,
        service: str,
        lease: HeldLease,
        store: Store,
        sizer: PoolSizer,
        machine_records: MachineRecords,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        log: StructuredLog,
        on_draining: Callable[[Worker], None],
    ) -> None:
        self._service = service
        self._lease = lease
        self._sizer = sizer
        self._machine_records = machine_records
        self._clock = clock
        self._wall_clock = wall_clock
        self._log = log
        self._on_draining = on_draining
        self._record = FencedRecord(key=pool_demand_key(service), lease=lease, store=store, log=log)

    async def prepare(self) -> None:
        """Read the last epoch's demand and replace it, retrying until the store answers.

        The machine controller must not mistake offers of an earlier epoch for this one's.
        """
        while not await self._record.read():
            await asyncio.sleep(STORE_RETRY_S)
        while not await self.publish(PoolDemand(token=self._lease.token)):
            await asyncio.sleep(STORE_RETRY_S)

    async def run(self) -> None:
        """Assess the demand and publish its changes until cancelled."""
        published: PoolDemand | None = None
        resumes = _ResumeCounter()
        while True:
            self._sizer.defer_lasting_tasks(self._possible_offers(), self._clock())
            controller = self._machine_records.controller
            demand = self._sizer.assess(
                controller.due, now_s=self._clock(), wall_s=self._wall_clock()
            )
            demand = replace(demand, woke=resumes.count(may_act=self._lease.is_valid))
            self._sizer.restrict_late_work(controller.recalls.get(self._service, 0))
            for worker in self._sizer.draining_workers():
                self._on_draining(worker)
            if (demand != published or self._record.unconfirmed_values) and await self.publish(
                demand
            ):
                published = demand
            await asyncio.sleep(SIZING_INTERVAL_S)

    async def publish(self, demand: PoolDemand) -> bool:
        """Publish the demand; return whether the store has confirmed it.

        The store may list a worker as free because the previous epoch offered it, or because of a
        write that was not answered. A lasting task that is started there ends when the machine
        controller removes the worker. While the store may list a worker as free, and for a while
        after that, no lasting task is placed on it.
        """
        offers = self._possible_offers() | set(demand.free)
        if not await self._record.put(demand.encode()):
            return False
        self._sizer.defer_lasting_tasks(offers, self._clock())
        self._log_line("demand-published", lacking=demand.lacking, free=len(demand.free))
        return True

    def _possible_offers(self) -> set[str]:
        """Return the workers that the store may list as free."""
        offers: set[str] = set()
        for stored_value in self._record.possible_values():
            try:
                offers.update(PoolDemand.decode(stored_value).free)
            except (ValueError, KeyError, TypeError) as error:
                self._log_line("demand-unreadable", reason=repr(error))
        return offers

    def _log_line(self, event: str, **fields: object) -> None:
        self._log.line(event, service=self._service, token=self._lease.token, **fields)


class _ResumeCounter:
    """Counts how often an epoch has resumed after a suspension, while its lease was not valid.

    A machine controller that was suspended too acts only on demands published after the outage, so
    a scheduler that resumes publishes its demand again, even if nothing has changed for its pool.
    """

    __slots__ = ("_count", "_is_suspended")

    def __init__(self) -> None:
        self._count = 0
        self._is_suspended = False

    def count(self, *, may_act: bool) -> int:
        """Return the number of resumptions so far.

        Args:
            may_act: Whether orders may be given now.
        """
        self._count += self._is_suspended and may_act
        self._is_suspended = not may_act
        return self._count
