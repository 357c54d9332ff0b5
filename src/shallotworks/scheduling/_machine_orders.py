"""Orders for machines: what a keeper works with, and how each order is given and noted."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Success

from shallotworks.logs import LogLines
from shallotworks.store import Holder, Store

from ._machine_book import MachineBook, PoolNeed, need_key
from ._protocols import DutyEnding, Machine, Machines, UpkeepBook

__all__ = ["KeeperParts", "MachineOrders", "OrderLedger"]


@dataclass(frozen=True, slots=True, kw_only=True)
class KeeperParts:
    """What a keeper works with.

    Args:
        machines: The machines.
        upkeep: The waves that operators ask for.
        book: What schedulers say.
        standby: Returns the services whose machines are off and not paid for.
        store: The store.
        clock: Seconds, counting suspended time.
        wall_clock: Time of day in seconds since 1970.
        log: Decisions.
        turns_apart_s: Orders of two holders for a machine must be this far apart: they must not
            take turns on it. Source: the platform's settings.
    """

    machines: Machines
    upkeep: UpkeepBook
    book: MachineBook
    standby: Callable[[], frozenset[str]]
    store: Store
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    log: LogLines
    turns_apart_s: float = 3.0


class OrderLedger(Protocol):
    """What stands in the store of the orders of one term."""

    def may_order(self, machine: str) -> bool:
        """Whether no earlier order of another holder can be too close to one given now."""
        ...

    async def announce(self, machines: Iterable[str]) -> bool:
        """Name machines in the store before they are ordered; return whether they stand there."""
        ...

    def note_over(self, worker_id: str) -> None:
        """Take note that a worker was taken away."""
        ...


class MachineOrders:
    """Gives the orders of one term of the keeper.

    Args:
        holder: The keeper's key; its token fences each order.
        parts: What it works with.
        ledger: Where machines are named before they are ordered.
    """

    __slots__ = ("_holder", "_ledger", "_parts")

    def __init__(self, *, holder: Holder, parts: KeeperParts, ledger: OrderLedger) -> None:
        self._holder = holder
        self._parts = parts
        self._ledger = ledger

    async def prepare(self, machines: list[Machine]) -> list[Machine]:
        """Return the machines that may be ordered now, having named them in the store."""
        allowed = [one for one in machines if self._ledger.may_order(one.name)]
        is_named = await self._ledger.announce(one.name for one in allowed)
        return allowed if is_named else []

    async def upkeep(self, machine: Machine, wave: int, *, is_first: bool) -> DutyEnding:
        """Take a machine down for its upkeep.

        Args:
            machine: The machine.
            wave: Whose upkeep it is.
            is_first: No order was given for it in this wave. A later one is obeyed without effect
                where the upkeep is over: the worker that is on the machine by then lives on, and
                tasks that were taken for ended would run twice.
        """
        if not self._holder.may_act:
            return DutyEnding.REFUSED
        ending = await self._parts.machines.upkeep(
            machine.name, wave=wave, token=self._holder.token
        )
        self._note("upkeep", machine, ending, is_over=is_first, wave=wave)
        return ending

    async def move(self, machine: Machine, service: str) -> DutyEnding:
        """Move a machine into another service's pool."""
        if not self._holder.may_act:
            return DutyEnding.REFUSED
        ending = await self._parts.machines.move(
            machine.name, pool=service, token=self._holder.token
        )
        self._note("move", machine, ending, is_over=True, to=service)
        return ending

    def seems_free(self, machine: Machine) -> bool:
        """Whether the machine's scheduler had nothing on it that must stay, when last heard of."""
        if not machine.worker_id:
            return True
        need = self._parts.book.needs.get(machine.pool)
        return need is not None and machine.worker_id in need.free

    async def may_take(self, machine: Machine) -> bool:
        """Whether the machine's scheduler has nothing on it that must stay.

        The failure: a machine is taken that its scheduler has taken back, and lasting tasks end.
        So its word is read from the store once more, just before the order.
        """
        if not machine.worker_id:
            return True
        if not self.seems_free(machine):
            return False
        outcome = await self._parts.store.get(need_key(machine.pool))
        if not isinstance(outcome, Success):
            return False
        item = outcome.unwrap()
        return item is not None and machine.worker_id in PoolNeed.decode(item.value).free

    def _note(
        self, order: str, machine: Machine, ending: DutyEnding, *, is_over: bool, **inputs: object
    ) -> None:
        self._parts.log.line(
            "machine-ordered",
            order=order,
            machine=machine.name,
            worker=machine.worker_id,
            pool=machine.pool,
            token=self._holder.token,
            outcome=ending.value,
            **inputs,
        )
        if ending is DutyEnding.FENCED:
            self._holder.lose(f"a later holder has given orders for {machine.name}")
        if ending is DutyEnding.OBEYED and machine.worker_id and is_over:
            self._ledger.note_over(machine.worker_id)
