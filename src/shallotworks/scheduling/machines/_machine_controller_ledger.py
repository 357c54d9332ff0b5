"""The controller's record in the store, and which machines a new controller may order at once."""

from __future__ import annotations

from collections.abc import Iterable

from shallotworks.jobs import Incarnation
from shallotworks.store import FencedRecord, HeldLease

from .._protocols import Machine
from ._machine_controller_dependencies import MachineControllerDependencies
from ._machine_records import MachineControllerRecord, machine_controller_key

__all__ = ["MachineControllerLedger"]

REMOVED_WORKERS_PUBLISHED_S = 15.0
"""How long removed workers are published. A scheduler that starts meanwhile does not have to wait
for their leases to expire, which takes 7 s; see `OrderTimes.recovery_s`."""
REMOVED_WORKERS_RETAINED_S = 60.0
"""How long removed workers are remembered. It is longer than they are published, so that a worker
named in the previous record is not published as newly removed."""
CLOCK_MARGIN_S = 0.2
"""Clock tolerance added to the minimum time between the orders of two holders."""
ORDERED_RETENTION_MARGIN_S = 0.4
"""Ordered machines stay in the record for this much longer than the minimum time between the orders
of two holders."""
PRUNE_INTERVAL_S = 1.0
"""Minimum time between writes of the record that only remove machines from it. Each store call is
paid for, but machines have to be removed: a new controller does not order any machine that it finds
named in the record until its predecessor's orders are old enough, and the next burst of demand may
need those machines."""


class MachineControllerLedger:
    """Publishes removed workers and ordered machines for one epoch of the controller.

    It guards against two failures. The orders of two holders must not alternate on one machine. And
    queues must not wait for machines until a new controller has let the time pass in which its
    predecessor may have ordered any of them. So each machine is named in the controller's record in
    the store before the first order for it. The record that a new controller reads after it has
    acquired the lease names every machine that its predecessor may have ordered recently, and only
    those have to wait.

    Args:
        lease: The controller's lease.
        dependencies: Collaborators, clocks and settings.
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
        """Machines that the predecessor may have ordered; ``None`` if it may have ordered any."""
        self._pruned_s = dependencies.clock()
        self._ordered_at_s: dict[str, float] = {}
        """Machines that may have been ordered, with the time of the latest possible order."""
        self._removed_workers: dict[Incarnation, float] = {}
        """Removed workers, with the time of removal. Their runs don't have to wait for a lease."""
        self._suspended_s = -1e9
        self._origins_at_suspension: dict[str, tuple[int, int]] = {}
        """`PoolDemand.origin` of each pool at the controller's last suspension."""
        self.is_read = False
        self.published = MachineControllerRecord()

    async def read(self) -> None:
        """Read the predecessor's record once, if the store answers."""
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
        """Note that the lease is suspended; pool demands known so far may be stale when it resumes.

        A scheduler that withdraws an offer during an outage of the store can't publish that. If the
        controller resumed and acted on the old offer, it would take the machine while tasks that
        were started there meanwhile are running.
        """
        self._suspended_s = self._dependencies.clock()
        self._origins_at_suspension = {
            service: demand.origin
            for service, demand in self._dependencies.machine_records.demands.items()
        }

    def is_demand_current(self, service: str) -> bool:
        """Whether a service's demand was published after the controller's last suspension.

        A scheduler that was not suspended itself may have nothing new to publish. Its demand counts
        as current again once its calls in flight must have timed out.
        """
        if self._dependencies.clock() - self._suspended_s >= self._min_order_gap_s:
            return True
        demand = self._dependencies.machine_records.demands.get(service)
        return demand is not None and demand.origin != self._origins_at_suspension.get(service)

    def may_order(self, machine: Machine) -> bool:
        """Whether no other holder's order can be too close and the pool's demand is current.

        Nothing runs in a standby pool, so it has no demand to wait for.
        """
        has_waited = self._dependencies.clock() - self._started_s >= self._min_order_gap_s
        is_named = self._possibly_ordered is None or machine.name in self._possibly_ordered
        if is_named and not has_waited:
            return False
        return machine.pool in self._dependencies.standby() or self.is_demand_current(machine.pool)

    @property
    def _min_order_gap_s(self) -> float:
        """Minimum time between orders of two holders, including the clock tolerance."""
        return self._dependencies.turns_apart_s + CLOCK_MARGIN_S

    async def announce(self, machines: Iterable[str]) -> bool:
        """Name machines in the store before they are ordered; return whether they are stored."""
        names = set(machines)
        if not names:
            return True
        now_s = self._dependencies.clock()
        self._ordered_at_s |= dict.fromkeys(names, now_s)
        if names <= set(self.published.ordered or ()) and not self._record.unconfirmed_values:
            return True
        return await self._put(self.published.due, self.published.recalls)

    async def prune(self) -> None:
        """Remove machines from the record whose last order no longer restricts a successor."""
        now_s = self._dependencies.clock()
        if not self.is_read or now_s - self._pruned_s < PRUNE_INTERVAL_S:
            return
        self._pruned_s = now_s
        if set(self.published.ordered or ()) - set(self._recently_ordered()):
            await self._put(self.published.due, self.published.recalls)

    def note_worker_removed(self, incarnation: Incarnation) -> None:
        """Note that a worker was removed with its machine."""
        self._removed_workers[incarnation] = self._dependencies.clock()

    async def publish(self, due: frozenset[str], recalls: dict[str, int]) -> None:
        """Publish workers due for draining, recalled machines and removed workers to schedulers."""
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

    def _recently_removed_workers(self) -> tuple[Incarnation, ...]:
        """Return workers that this controller or its predecessor removed recently.

        A scheduler and the controller on one instance may be killed together. If the new controller
        did not publish the workers that the old one removed, the next scheduler would wait 10 s for
        them.
        """
        now_s = self._dependencies.clock()
        self._removed_workers = {
            one: at_s
            for one, at_s in self._removed_workers.items()
            if now_s - at_s < REMOVED_WORKERS_RETAINED_S
        }
        return tuple(
            one
            for one, at_s in self._removed_workers.items()
            if now_s - at_s < REMOVED_WORKERS_PUBLISHED_S
        )
