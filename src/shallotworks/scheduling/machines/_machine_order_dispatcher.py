"""Gives orders for machines and records their outcomes."""

from __future__ import annotations

import asyncio
import math

from returns.result import Success

from shallotworks.store import HeldLease

from .._protocols import Machine, MachineOrderStatus
from ._machine_controller_dependencies import MachineControllerDependencies
from ._machine_controller_ledger import MachineControllerLedger
from ._machine_records import PoolDemand, pool_demand_key

__all__ = ["MachineOrderDispatcher"]

HELD_BACK_LOG_INTERVAL_S = 1.0
"""Minimum time between log lines about orders that are held back."""


class MachineOrderDispatcher:
    """Gives the machine orders of one epoch of the controller.

    Args:
        lease: The controller's lease; its token fences each order.
        dependencies: Collaborators, clocks and settings.
        ledger: Names machines in the store before they are ordered.
    """

    __slots__ = ("_dependencies", "_held_back_logged_s", "_lease", "_ledger")

    def __init__(
        self,
        *,
        lease: HeldLease,
        dependencies: MachineControllerDependencies,
        ledger: MachineControllerLedger,
    ) -> None:
        self._lease = lease
        self._dependencies = dependencies
        self._ledger = ledger
        self._held_back_logged_s = -math.inf

    async def prepare(self, machines: list[Machine]) -> list[Machine]:
        """Name the machines that may be ordered now in the store, and return them.

        The list is empty if the store did not confirm the names.
        """
        allowed = [one for one in machines if self._ledger.may_order(one)]
        self._log_held_back(len(machines) - len(allowed), len(machines))
        is_named = await self._ledger.announce(one.name for one in allowed)
        return allowed if is_named else []

    def _log_held_back(self, held_back: int, planned: int) -> None:
        """Log that orders wait for the end of a predecessor's orders, or of a suspension."""
        now_s = self._dependencies.clock()
        if held_back and now_s - self._held_back_logged_s >= HELD_BACK_LOG_INTERVAL_S:
            self._held_back_logged_s = now_s
            self._dependencies.log.line(
                "orders-held-back", machines=held_back, planned=planned, token=self._lease.token
            )

    def is_demand_current(self, service: str) -> bool:
        """Whether a service's demand does not date from before a suspension of the controller."""
        return self._ledger.is_demand_current(service)

    async def start_maintenance(
        self, machine: Machine, wave: int, *, is_first: bool
    ) -> MachineOrderStatus:
        """Take a machine down for maintenance.

        Args:
            machine: The machine.
            wave: The number of the wave that the maintenance belongs to.
            is_first: Whether no order was given for the machine in this wave before. A repeated
                order is obeyed without effect if the maintenance is over. The worker that is on the
                machine by then keeps running, and reporting it as removed would make its tasks run
                twice.
        """
        if not self._lease.is_valid:
            return MachineOrderStatus.REFUSED
        status = await self._dependencies.machines.start_maintenance(
            machine.name, wave=wave, token=self._lease.token
        )
        self._record_order("upkeep", machine, status, ends_worker=is_first, wave=wave)
        return status

    async def move(self, machine: Machine, service: str) -> MachineOrderStatus:
        """Move a machine into another service's pool."""
        if not self._lease.is_valid:
            return MachineOrderStatus.REFUSED
        status = await self._dependencies.machines.move(
            machine.name, pool=service, token=self._lease.token
        )
        self._record_order("move", machine, status, ends_worker=True, to=service)
        return status

    def is_reported_free(self, machine: Machine) -> bool:
        """Whether the scheduler's last known demand offers the machine, or no worker is on it."""
        if not machine.worker_id:
            return True
        demand = self._dependencies.machine_records.demands.get(machine.pool)
        return demand is not None and machine.worker_id in demand.free

    async def confirm_free(self, machine: Machine) -> bool:
        """Whether the scheduler's stored demand still offers the machine; see `filter_free`."""
        return bool(await self.filter_free([machine]))

    async def filter_free(self, machines: list[Machine]) -> list[Machine]:
        """Return machines without a worker and machines that the stored demands still offer.

        Lasting tasks would end if a machine were taken after its scheduler withdrew the offer. The
        watched copy may be stale, so the stored demand is read again just before the order.
        """
        by_pool: dict[str, list[Machine]] = {}
        for machine in machines:
            if machine.worker_id and self.is_reported_free(machine):
                by_pool.setdefault(machine.pool, []).append(machine)
        free = await asyncio.gather(*(self._read_free_workers(pool) for pool in by_pool))
        allowed = [machine for machine in machines if not machine.worker_id]
        for offered, ids in zip(by_pool.values(), free, strict=True):
            allowed.extend(machine for machine in offered if machine.worker_id in ids)
        return allowed

    async def _read_free_workers(self, pool: str) -> frozenset[str]:
        """Read the workers that a pool's scheduler offers from the store; empty if that fails."""
        outcome = await self._dependencies.store.get(pool_demand_key(pool))
        if not isinstance(outcome, Success):
            return frozenset()
        item = outcome.unwrap()
        return frozenset(PoolDemand.decode(item.value).free if item is not None else ())

    def _record_order(
        self,
        order: str,
        machine: Machine,
        status: MachineOrderStatus,
        *,
        ends_worker: bool,
        **inputs: object,
    ) -> None:
        self._dependencies.log.line(
            "machine-ordered",
            order=order,
            machine=machine.name,
            worker=machine.worker_id,
            pool=machine.pool,
            token=self._lease.token,
            outcome=status.value,
            **inputs,
        )
        if status is MachineOrderStatus.FENCED:
            self._lease.mark_lost(f"a later holder has given orders for {machine.name}")
        if status is MachineOrderStatus.OBEYED and machine.worker_id and ends_worker:
            self._ledger.note_worker_removed(machine.incarnation)
