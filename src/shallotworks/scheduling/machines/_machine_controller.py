"""The machine controller: runs maintenance waves and moves machines between pools.

Only the holder of the controller's lease gives orders for machines, because orders of two holders
for one machine must not alternate.
"""

from __future__ import annotations

import asyncio

from returns.result import Success

from shallotworks.store import HeldLease

from ._machine_controller_dependencies import MachineControllerDependencies
from ._machine_controller_ledger import MachineControllerLedger
from ._machine_order_dispatcher import MachineOrderDispatcher
from ._pool_rebalancer import PoolRebalancer
from ._wave_executor import WaveExecutor

__all__ = ["MachineController"]

CONTROL_INTERVAL_S = 0.2
"""Pause between control rounds. Maintenance keeps a machine down for 2 s; a move takes 1.5 s."""


class MachineController:
    """Controls machines during one epoch, from acquiring the lease until losing it.

    Args:
        lease: The controller's lease; its token fences each order.
        dependencies: Collaborators, clocks and settings.
    """

    __slots__ = ("_dependencies", "_lease", "_ledger", "_rebalancer", "_waves")

    def __init__(self, *, lease: HeldLease, dependencies: MachineControllerDependencies) -> None:
        self._lease = lease
        self._dependencies = dependencies
        self._ledger = MachineControllerLedger(lease=lease, dependencies=dependencies)
        orders = MachineOrderDispatcher(lease=lease, dependencies=dependencies, ledger=self._ledger)
        self._waves = WaveExecutor(lease=lease, dependencies=dependencies, orders=orders)
        self._rebalancer = PoolRebalancer(lease=lease, dependencies=dependencies, orders=orders)

    async def run(self) -> None:
        """Run control rounds until the lease is lost."""
        renewal = asyncio.create_task(self._lease.renew_until_lost())
        try:
            while not self._lease.lost_event.is_set():
                if not self._lease.is_valid:
                    self._ledger.note_suspension()
                else:
                    if self._has_work():
                        await self._run_round()
                    await self._ledger.prune()
                await asyncio.sleep(CONTROL_INTERVAL_S)
        finally:
            renewal.cancel()

    def _has_work(self) -> bool:
        demands = self._dependencies.machine_records.demands.values()
        return bool(self._waves.open_waves()) or any(
            demand.lacking or demand.free for demand in demands
        )

    async def _run_round(self) -> None:
        await self._ledger.read()
        if not self._ledger.is_read:
            return
        listed = await self._dependencies.machines.list()
        if not isinstance(listed, Success):
            self._dependencies.log.line("machines-not-listed", reason=str(listed.failure()))
            return
        machines = {one.name: one for one in listed.unwrap()}
        due: set[str] = set()
        in_waves: set[str] = set()
        for wave in self._waves.open_waves():
            record = await self._waves.advance(wave, machines)
            if record is not None:
                in_waves.update(self._waves.reserved_machines(wave, record))
                due.update(
                    self._waves.workers_to_drain(wave, record, machines, self._ledger.published.due)
                )
        await self._ledger.publish(frozenset(due), await self._rebalancer.recalls(machines))
        await self._rebalancer.rebalance(machines, in_waves)
        await self._ledger.publish(frozenset(due), self._ledger.published.recalls)
