"""The keeper of machines: waves of upkeep, and moves of machines between pools.

One holder at a time gives all orders for machines: two holders must not take turns on a machine.
"""

from __future__ import annotations

import asyncio

from returns.result import Success

from shallotworks.store import HeldRecord, Holder

from ._machine_book import KeeperWord, keeper_key
from ._machine_orders import KeeperParts, MachineOrders
from ._moves import PoolMover
from ._waves import WaveRunner

__all__ = ["MachineKeeper"]

ROUND_S = 0.2
"""Between looks at the machines: a machine is down for 2 s, and moves within 1.5 s."""
TURNS_MARGIN_S = 0.2
"""For clocks, beyond the time that two holders' orders must be apart."""


class MachineKeeper:
    """One term of the keeper.

    Args:
        holder: The keeper's key; its token fences each order.
        parts: What it works with.
    """

    __slots__ = ("_begun_s", "_holder", "_mover", "_orders", "_parts", "_record", "_told", "_waves")

    def __init__(self, *, holder: Holder, parts: KeeperParts) -> None:
        self._holder = holder
        self._parts = parts
        self._begun_s = parts.clock()
        self._orders = MachineOrders(holder=holder, parts=parts)
        self._waves = WaveRunner(holder=holder, parts=parts, orders=self._orders)
        self._mover = PoolMover(holder=holder, parts=parts, orders=self._orders)
        self._told = KeeperWord()
        self._record = HeldRecord(key=keeper_key(), holder=holder, store=parts.store, log=parts.log)

    async def run(self) -> None:
        """Keep machines until the key is lost."""
        keep = asyncio.create_task(self._holder.keep())
        try:
            while not self._holder.lost.is_set():
                if not self._holder.may_act:
                    # Schedulers that rested too have to write anew what they offer.
                    self._begun_s = self._parts.clock()
                elif self._has_work():
                    await self._round()
                await asyncio.sleep(ROUND_S)
        finally:
            keep.cancel()

    def _has_work(self) -> bool:
        needs = self._parts.book.needs.values()
        return bool(self._waves.open_waves()) or any(need.lacking or need.free for need in needs)

    async def _round(self) -> None:
        listed = await self._parts.machines.list()
        if not isinstance(listed, Success):
            self._parts.log.line("machines-not-listed", reason=str(listed.failure()))
            return
        machines = {one.name: one for one in listed.unwrap()}
        may_order = (
            self._parts.clock() - self._begun_s >= self._parts.turns_apart_s + TURNS_MARGIN_S
        )
        due: set[str] = set()
        in_waves: set[str] = set()
        for wave in self._waves.open_waves():
            record = await self._waves.advance(wave, machines, may_order=may_order)
            if record is not None:
                in_waves.update(set(wave.machines) - set(record.done))
                due.update(self._waves.next_due(wave, record, machines, self._told.due))
        if may_order:
            # Not before: by then the predecessor's last word has been read, and is told on.
            await self._tell(frozenset(due), await self._mover.recalls(machines))
            await self._mover.move_some(machines, in_waves)
            await self._tell(frozenset(due), self._told.recalls)

    async def _tell(self, due: frozenset[str], recalls: dict[str, int]) -> None:
        word = KeeperWord(due=due, over=self._orders.over(), recalls=recalls)
        if word == self._told and not self._record.doubtful:
            return
        if await self._record.put(word.encode()):
            self._told = word
