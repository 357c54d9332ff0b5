"""The keeper's word in the store, and which machines a new keeper may order at once."""

from __future__ import annotations

from collections.abc import Iterable

from shallotworks.store import FencedRecord, HeldLease

from ._machine_controller_dependencies import MachineControllerDependencies
from ._machine_records import MachineControllerRecord, machine_controller_key
from ._protocols import Machine

__all__ = ["MachineControllerLedger"]

OVER_TOLD_S = 15.0
"""Workers that were taken away are told of for this long: a scheduler that begins meanwhile need
not wait for their leases, which takes 7 s; see `OrderTimes.recovery_s`."""
REMOVED_WORKERS_RETAINED_S = 60.0
"""... and remembered for this long, so that what the last word told is not taken for news."""
CLOCK_MARGIN_S = 0.2
"""For clocks, beyond the time that two holders' orders must be apart."""
ORDERED_RETENTION_MARGIN_S = 0.4
"""A machine is told of for this much longer than two holders' orders must be apart."""
PRUNE_INTERVAL_S = 1.0
"""The word is written anew this often at the most where only machines are to go from it. They go
though each call is paid for: a new keeper leaves alone all that it finds named, and the next turn
may lack them."""


class MachineControllerLedger:
    """What one term of the keeper says of workers and machines.

    The failures that it guards against: two holders take turns on a machine; and every queue waits
    for machines until a new keeper has let the time pass in which its predecessor may have ordered
    any of them. So each machine is named in the store before the first order for it, under the
    keeper's own key: what a new keeper reads there after it has won the key is all that its
    predecessor may have ordered of late, and only those machines have to wait.

    Args:
        lease: The keeper's key.
        dependencies: What it works with.
    """

    __slots__ = (
        "_dependencies",
        "_lease",
        "_ordered_at_s",
        "_origins_at_suspension",
        "_possibly_ordered",
        "_pruned_s",
        "_record",
        "_removed_workers",
        "_started_s",
        "_suspended_s",
        "is_read",
        "published",
    )

    def __init__(self, *, lease: HeldLease, dependencies: MachineControllerDependencies) -> None:
        self._lease = lease
        self._dependencies = dependencies
        self._record = FencedRecord(
            key=machine_controller_key(),
            lease=lease,
            store=dependencies.store,
            log=dependencies.log,
        )
        self._started_s = dependencies.clock()
        self._possibly_ordered: frozenset[str] | None = None
        """Machines that have to wait; ``None`` for all."""
        self._pruned_s = dependencies.clock()
        self._ordered_at_s: dict[str, float] = {}
        """Machines for which orders may have been given, with the latest moment."""
        self._removed_workers: dict[str, float] = {}
        """Workers that were taken away, since when: what ran there waits for no lease."""
        self._suspended_s = -1e9
        self._origins_at_suspension: dict[str, tuple[int, int]] = {}
        """For each pool whose word was known when this keeper last rested, where that came from."""
        self.is_read = False
        self.published = MachineControllerRecord()

    async def read(self) -> None:
        """Learn what the predecessor has said, where the store answers."""
        if self.is_read or not await self._record.read():
            return
        self.is_read = True
        now_s = self._dependencies.clock()
        record = self._decode_predecessor()
        self._removed_workers = dict.fromkeys(record.over, now_s)
        if record.ordered is not None:
            self._possibly_ordered = frozenset(record.ordered)
            self._ordered_at_s = dict.fromkeys(record.ordered, now_s)

    def _decode_predecessor(self) -> MachineControllerRecord:
        value = self._record.value
        if value is None:
            return MachineControllerRecord()
        try:
            return MachineControllerRecord.decode(value)
        except (ValueError, KeyError, TypeError) as error:
            self._dependencies.log.line(
                "machines-record-unreadable", key=machine_controller_key(), reason=repr(error)
            )
            return MachineControllerRecord()

    def note_suspension(self) -> None:
        """Take note that the key rests: what schedulers have said may be over by the time it wakes.

        The failure: a scheduler takes its offer back in an outage and can't say so; the keeper goes
        on with its first look, and the machine is taken away under what was started there.
        """
        self._suspended_s = self._dependencies.clock()
        self._origins_at_suspension = {
            service: demand.origin
            for service, demand in self._dependencies.machine_records.demands.items()
        }

    def is_demand_current(self, service: str) -> bool:
        """Whether a service's scheduler has spoken since this keeper last rested.

        One that does not, since it has not rested itself, is heard again once its calls in flight
        have surely timed out.
        """
        if self._dependencies.clock() - self._suspended_s >= self._min_order_gap_s:
            return True
        demand = self._dependencies.machine_records.demands.get(service)
        return demand is not None and demand.origin != self._origins_at_suspension.get(service)

    def may_order(self, machine: Machine) -> bool:
        """Whether no other holder's order can be too close, and its pool's word is no old one.

        In a standby pool nothing runs, so that it has no word to wait for.
        """
        has_waited = self._dependencies.clock() - self._started_s >= self._min_order_gap_s
        is_named = self._possibly_ordered is None or machine.name in self._possibly_ordered
        if is_named and not has_waited:
            return False
        return machine.pool in self._dependencies.standby() or self.is_demand_current(machine.pool)

    @property
    def _min_order_gap_s(self) -> float:
        """How far orders of two holders must be apart."""
        return self._dependencies.turns_apart_s + CLOCK_MARGIN_S

    async def announce(self, machines: Iterable[str]) -> bool:
        """Name machines in the store before they are ordered; return whether they stand there."""
        names = set(machines)
        if not names:
            return True
        now_s = self._dependencies.clock()
        self._ordered_at_s |= dict.fromkeys(names, now_s)
        if names <= set(self.published.ordered or ()) and not self._record.unconfirmed_values:
            return True
        return await self._put(self.published.due, self.published.recalls)

    async def prune(self) -> None:
        """Take machines from the word whose orders no new keeper can come too close to."""
        now_s = self._dependencies.clock()
        if not self.is_read or now_s - self._pruned_s < PRUNE_INTERVAL_S:
            return
        self._pruned_s = now_s
        if set(self.published.ordered or ()) - set(self._recently_ordered()):
            await self._put(self.published.due, self.published.recalls)

    def note_worker_removed(self, worker_id: str) -> None:
        """Take note that a worker was taken away."""
        self._removed_workers[worker_id] = self._dependencies.clock()

    async def publish(self, due: frozenset[str], recalls: dict[str, int]) -> None:
        """Tell schedulers what is due and wanted back, and what was taken away."""
        published = self.published
        is_same = (published.due, published.recalls, published.over) == (
            due,
            recalls,
            self._recently_removed_workers(),
        )
        if not is_same or self._record.unconfirmed_values:
            await self._put(due, recalls)

    async def _put(self, due: frozenset[str], recalls: dict[str, int]) -> bool:
        self._ordered_at_s = self._recently_ordered()
        record = MachineControllerRecord(
            due=due,
            over=self._recently_removed_workers(),
            recalls=recalls,
            ordered=tuple(sorted(self._ordered_at_s)),
        )
        is_stored = await self._record.put(record.encode())
        if is_stored:
            self.published = record
        return is_stored

    def _recently_ordered(self) -> dict[str, float]:
        retained_s = self._dependencies.turns_apart_s + ORDERED_RETENTION_MARGIN_S
        now_s = self._dependencies.clock()
        return {
            name: at_s for name, at_s in self._ordered_at_s.items() if now_s - at_s < retained_s
        }

    def _recently_removed_workers(self) -> tuple[str, ...]:
        """Return the workers that were taken away of late, by this keeper or the one before it.

        The failure: a scheduler and the keeper on one instance are killed together, and the next
        scheduler waits 10 s for workers that the last keeper took away and that no one tells of.
        """
        now_s = self._dependencies.clock()
        self._removed_workers = {
            one: at_s
            for one, at_s in self._removed_workers.items()
            if now_s - at_s < REMOVED_WORKERS_RETAINED_S
        }
        return tuple(
            one for one, at_s in self._removed_workers.items() if now_s - at_s < OVER_TOLD_S
        )
