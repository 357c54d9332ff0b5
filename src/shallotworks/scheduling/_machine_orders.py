"""Orders for machines: what a keeper works with, and how each order is given and noted."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Success

from shallotworks.logs import LogLines
from shallotworks.store import Holder, Store

from ._machine_book import MachineBook, PoolNeed, need_key
from ._protocols import DutyEnding, Machine, Machines, UpkeepBook

__all__ = ["KeeperParts", "MachineOrders"]

OVER_TOLD_S = 15.0
"""Workers that were taken away are told of for this long: a scheduler that begins meanwhile need
not wait for their leases, which takes 7 s; see `OrderTimes.recovery_s`."""
OVER_KEPT_S = 60.0
"""... and remembered for this long, so that what the last word told is not taken for news."""


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
        turns_apart_s: A new holder waits this long before its first order: two holders must not
            take turns on a machine. Source: the platform's settings.
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


class MachineOrders:
    """Gives the orders of one term of the keeper.

    Args:
        holder: The keeper's key; its token fences each order.
        parts: What it works with.
    """

    __slots__ = ("_holder", "_over", "_parts")

    def __init__(self, *, holder: Holder, parts: KeeperParts) -> None:
        self._holder = holder
        self._parts = parts
        self._over: dict[str, float] = {}
        """Workers that were taken away, since when: what ran there waits for no lease."""

    def over(self) -> tuple[str, ...]:
        """Return the workers that were taken away of late, by this keeper or the one before it.

        The failure: a scheduler and the keeper on one instance are killed together, and the next
        scheduler waits 10 s for workers that the last keeper took away and that no one tells of.
        """
        now_s = self._parts.clock()
        for worker_id in self._parts.book.keeper.over:
            self._over.setdefault(worker_id, now_s)
        self._over = {one: at_s for one, at_s in self._over.items() if now_s - at_s < OVER_KEPT_S}
        return tuple(one for one, at_s in self._over.items() if now_s - at_s < OVER_TOLD_S)

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

    async def may_take(self, machine: Machine) -> bool:
        """Whether the machine's scheduler has nothing on it that must stay.

        The failure: a machine is taken that its scheduler has taken back, and lasting tasks end.
        So its word is read from the store once more, just before the order.
        """
        if not machine.worker_id:
            return True
        need = self._parts.book.needs.get(machine.pool)
        if need is None or machine.worker_id not in need.free:
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
            self._over[machine.worker_id] = self._parts.clock()
