"""Moves machines between pools: lends them to pools that lack machines, and returns them."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass

from returns.result import Success

from shallotworks.store import Commit, Committed, Condition, HeldLease, Write

from .._protocols import Machine, MachineOrderStatus, MachineState
from ._machine_controller_dependencies import MachineControllerDependencies
from ._machine_order_dispatcher import MachineOrderDispatcher
from ._pool_report import IdleReason, PoolReport
from ._pool_reserve import PoolReserve, ReserveLimits

__all__ = ["PoolRebalancer"]

MOVE_TIMEOUT_S = 4.0
"""A move whose arrival isn't seen counts as in flight for at most this long. A move takes 1.5 s
(source: the platform's settings), and twice that if the order was carried out late."""
ARRIVAL_SETTLE_S = 0.6
"""A move counts as in flight for this long after the machine has arrived. Worker entries are read
every 0.4 s, and the scheduler then has to publish a demand that counts the new worker. A machine
counted both as in flight and as a worker counts twice, and its queue gets one machine less."""
MIN_MOVE_LIMIT = 16
MAX_MOVED_FRACTION = 1 / 8
"""Fraction of all machines that may be moved in one round, unless `MIN_MOVE_LIMIT` allows more. A
round takes a fifth of a second, and the platform accepts about as many orders a second as there are
machines."""
MIN_KEPT_HOME_FRACTION = 0.5
"""Fraction of its home size that an idle pool keeps. The next burst of its own callers starts with
these machines while the borrower is still busy with its previous burst."""
HOME_SIZES_KEY = "shallotworks/home-sizes"


@dataclass(slots=True, kw_only=True)
class _Move:
    """A move in flight.

    Args:
        service: The service whose pool the machine moves to.
        ordered_s: When the move was ordered.
        arrived_s: When the machine was first seen in that pool; ``None`` before.
    """

    service: str
    ordered_s: float
    arrived_s: float | None = None

    def is_finished(self, now_s: float) -> bool:
        """Whether the machine no longer counts as in flight."""
        has_settled = self.arrived_s is not None and now_s - self.arrived_s >= ARRIVAL_SETTLE_S
        return has_settled or now_s - self.ordered_s >= MOVE_TIMEOUT_S


class PoolRebalancer:
    """Moves machines between pools during one epoch of the controller.

    Args:
        lease: The controller's lease.
        dependencies: Collaborators, clocks and settings.
        orders: Gives the orders for machines.
    """

    __slots__ = (
        "_cached_home_sizes",
        "_dependencies",
        "_has_adopted_moves",
        "_idle_since",
        "_lease",
        "_misfits",
        "_moves_in_flight",
        "_orders",
        "_report",
        "_reserve",
    )

    def __init__(
        self,
        *,
        lease: HeldLease,
        dependencies: MachineControllerDependencies,
        orders: MachineOrderDispatcher,
    ) -> None:
        self._lease = lease
        self._dependencies = dependencies
        self._orders = orders
        self._reserve = PoolReserve(limits=ReserveLimits())
        self._report = PoolReport(log=dependencies.log, metrics=dependencies.metrics)
        self._cached_home_sizes: dict[str, int] | None = None
        self._moves_in_flight: dict[str, _Move] = {}
        """Moves in flight, by name of the machine."""
        self._has_adopted_moves = False
        self._idle_since: dict[str, float] = {}
        """Offered workers, with the time at which this controller first saw the offer."""
        self._misfits: set[tuple[str, str]] = set()
        """Pairs of a listed machine and a pool for which the platform answered that they don't fit,
        or that it does not know the machine."""

    async def rebalance(self, machines: dict[str, Machine], in_waves: set[str]) -> None:
        """Move machines to services that lack them, and return machines that are idle."""
        self._adopt_moves(machines)
        self._update_moves(machines)
        self._misfits = {pair for pair in self._misfits if pair[0] in machines}
        home_sizes = await self._home_sizes(machines)
        if home_sizes is None:
            return
        sizes = self._sizes(machines)
        idle, in_standby = self._available_machines(machines, in_waves)
        self._track_idle(idle)
        self._note_demands(home_sizes)
        max_moves = max(MIN_MOVE_LIMIT, int(len(machines) * MAX_MOVED_FRACTION))
        moves = self._plan_loans(idle, in_standby, home_sizes, sizes, max_moves)
        returns = self._plan_returns(idle, home_sizes, sizes, max_moves)
        moves += [(machine, target) for machine, target, _ in returns]
        targets = {machine.name: target for machine, target in moves}
        # All orders run concurrently: with a slow store, sequential orders would be too late.
        prepared = await self._orders.prepare([machine for machine, _ in moves])
        allowed = await self._filter_movable(prepared)
        allowed_names = {machine.name for machine in allowed}
        self._report.report_returns(
            [(one.pool, to, why) for one, to, why in returns if one.name in allowed_names],
            home_sizes,
            sizes,
        )
        await asyncio.gather(*(self._move(machine, targets[machine.name]) for machine in allowed))

    async def _filter_movable(self, machines: list[Machine]) -> list[Machine]:
        """Return machines in standby pools, and those that their schedulers still offer."""
        standby = self._dependencies.standby()
        in_standby = [machine for machine in machines if machine.pool in standby]
        offered = [machine for machine in machines if machine.pool not in standby]
        return in_standby + await self._orders.filter_free(offered)

    def _adopt_moves(self, machines: dict[str, Machine]) -> None:
        """Count the moves that a predecessor ordered and that are still in flight, once."""
        if self._has_adopted_moves:
            return
        self._has_adopted_moves = True
        now_s = self._dependencies.clock()
        moving = [one for one in machines.values() if one.state is MachineState.MOVING]
        self._moves_in_flight |= {
            one.name: _Move(service=one.pool, ordered_s=now_s) for one in moving
        }
        if moving:
            pools = Counter(one.pool for one in moving)
            self._dependencies.log.line("moves-adopted", pools=dict(pools))

    def _update_moves(self, machines: dict[str, Machine]) -> None:
        """Note arrivals and drop finished moves."""
        now_s = self._dependencies.clock()
        for name, move in list(self._moves_in_flight.items()):
            if move.arrived_s is None and self._has_arrived(machines.get(name), move.service):
                move.arrived_s = now_s
            if move.is_finished(now_s):
                del self._moves_in_flight[name]

    def _has_arrived(self, machine: Machine | None, service: str) -> bool:
        if machine is None or machine.state is not MachineState.UP or machine.pool != service:
            return False
        return bool(machine.worker_id) or service in self._dependencies.standby()

    def _plan_loans(
        self,
        idle: list[Machine],
        in_standby: list[Machine],
        home_sizes: dict[str, int],
        sizes: dict[str, int],
        max_moves: int,
    ) -> list[tuple[Machine, str]]:
        """Choose machines for the services that lack them, from standby pools first."""
        moves: list[tuple[Machine, str]] = []
        for service in self._services_lacking_machines():
            source = self._take_first_fit(in_standby, service) or self._take_lendable(
                idle, service, home_sizes, sizes
            )
            if source is None or len(moves) >= max_moves:
                break
            moves.append((source, service))
            _count_at_target(sizes, source, service)
        return moves

    def _track_idle(self, idle: list[Machine]) -> None:
        now_s = self._dependencies.clock()
        self._idle_since = {
            one.worker_id: self._idle_since.get(one.worker_id, now_s) for one in idle
        }

    def _note_demands(self, home_sizes: dict[str, int]) -> None:
        demands = self._dependencies.machine_records.demands
        lacking = {service: demand.lacking for service, demand in demands.items()}
        self._reserve.note_demands(lacking, home_sizes)

    def _is_idle_long_enough(self, machine: Machine, *, is_borrowed: bool) -> bool:
        now_s = self._dependencies.clock()
        idle_s = now_s - self._idle_since.get(machine.worker_id, now_s)
        return idle_s >= self._reserve.idle_before_standby_s(machine.pool, is_borrowed=is_borrowed)

    def _kept_machines(self, home_size: int) -> int:
        return self._reserve.kept_machines(
            home_size, has_standby=bool(self._dependencies.standby())
        )

    def _plan_returns(
        self, idle: list[Machine], home_sizes: dict[str, int], sizes: dict[str, int], max_moves: int
    ) -> list[tuple[Machine, str, IdleReason]]:
        """Choose idle machines beyond what their pool keeps, and where they return to."""
        moves: list[tuple[Machine, str, IdleReason]] = []
        reasons: list[tuple[str, IdleReason]] = []
        for machine in idle:
            target, reason = self._return_target(machine, home_sizes, sizes)
            reasons.append((machine.pool, reason))
            if target is None or len(moves) >= max_moves or (machine.name, target) in self._misfits:
                continue
            moves.append((machine, target, reason))
            _count_at_target(sizes, machine, target)
        self._report.count_idle(reasons, self._dependencies.clock())
        return moves

    def _return_target(
        self, machine: Machine, home_sizes: dict[str, int], sizes: dict[str, int]
    ) -> tuple[str | None, IdleReason]:
        """Return the pool that an idle machine returns to, if any, and why it goes or stays.

        Borrowed machines return to undersized pools at once, because there they are available even
        while no controller runs. Other machines go to the standby pool after some time. Only
        demand brings machines from there. A pool that lacks machines returns none: a machine that
        it needs again would be away for twice its travel time.
        """
        demand = self._dependencies.machine_records.demands.get(machine.pool)
        if demand is not None and demand.lacking:
            return None, IdleReason.LACKING
        home_size = home_sizes.get(machine.pool, 0)
        if sizes[machine.pool] <= self._kept_machines(home_size):
            return None, IdleReason.KEPT
        is_borrowed = sizes[machine.pool] > home_size
        undersized = self._most_undersized(home_sizes, sizes) if is_borrowed else None
        if undersized is not None:
            return undersized, IdleReason.UNDERSIZED_POOL
        standby = min(self._dependencies.standby(), default=None)
        if standby is None or not self._is_idle_long_enough(machine, is_borrowed=is_borrowed):
            return None, IdleReason.RECENTLY_USED
        return standby, IdleReason.BEYOND_HOME if is_borrowed else IdleReason.BETWEEN_TURNS

    def _most_undersized(self, home_sizes: dict[str, int], sizes: dict[str, int]) -> str | None:
        """Return the pool that is furthest below its home size among those that miss machines."""
        undersized = [
            one
            for one in home_sizes
            if one not in self._dependencies.standby()
            and sizes.get(one, 0) < self._kept_machines(home_sizes[one])
        ]
        return max(undersized, key=lambda one: home_sizes[one] - sizes.get(one, 0), default=None)

    async def recalls(self, machines: dict[str, Machine]) -> dict[str, int]:
        """Return how many borrowed machines each service is asked to free.

        A burst on one queue may lack machines while other queues process jobs of the previous
        burst, which miss their objective in any case. Borrowers keep late work off as many machines
        as are lacking. All lacking machines count, and not only those that the lenders lent: in a
        burst a queue needs three times its own machines, and a job in time is worth fourteen late
        ones.
        """
        home_sizes = await self._home_sizes(machines)
        if home_sizes is None:
            return {}
        sizes = self._sizes(machines)
        lacking = Counter(self._services_lacking_machines())
        unassigned = lacking.total()
        recalls: dict[str, int] = {}
        for service in sorted(self._dependencies.machine_records.demands):
            borrowed = sizes.get(service, 0) - home_sizes.get(service, 0)
            lacking_elsewhere = min(unassigned, lacking.total() - lacking[service])
            if (
                service not in self._dependencies.standby()
                and borrowed > 0
                and lacking_elsewhere > 0
            ):
                recalls[service] = min(borrowed, lacking_elsewhere)
                unassigned -= recalls[service]
        return recalls

    async def _home_sizes(self, machines: dict[str, Machine]) -> dict[str, int] | None:
        """Return the size of each pool as the first controller saw it; ``None`` if that is unknown.

        The operators chose the pool sizes, so lent machines return and restore them. The sizes are
        stored once and read by later controllers.
        """
        if self._cached_home_sizes is not None:
            return self._cached_home_sizes
        outcome = await self._dependencies.store.get(HOME_SIZES_KEY)
        if not isinstance(outcome, Success):
            return None
        item = outcome.unwrap()
        if item is None:
            sizes = self._sizes(machines)
            value = json.dumps(sizes).encode()
            saved = await self._dependencies.store.commit(
                Commit(
                    conditions=(self._lease.condition, Condition(key=HOME_SIZES_KEY, revision=0)),
                    writes=(Write(key=HOME_SIZES_KEY, value=value),),
                )
            )
            is_saved = isinstance(saved, Success) and isinstance(saved.unwrap(), Committed)
            self._cached_home_sizes = sizes if is_saved else None
        else:
            self._cached_home_sizes = json.loads(item.value)
        return self._cached_home_sizes

    def _sizes(self, machines: dict[str, Machine]) -> dict[str, int]:
        sizes: dict[str, int] = {}
        for machine in machines.values():
            move = self._moves_in_flight.get(machine.name)
            pool = machine.pool if move is None else move.service
            sizes[pool] = sizes.get(pool, 0) + 1
        return sizes

    def _available_machines(
        self, machines: dict[str, Machine], in_waves: set[str]
    ) -> tuple[list[Machine], list[Machine]]:
        """Return the machines that schedulers offer, and those in standby pools."""
        idle: list[Machine] = []
        in_standby: list[Machine] = []
        demands = self._dependencies.machine_records.demands
        standby = self._dependencies.standby()
        for machine in machines.values():
            if machine.state is not MachineState.UP or machine.name in self._moves_in_flight:
                continue
            if machine.pool in standby:
                in_standby.append(machine)
            elif machine.name not in in_waves and machine.worker_id:
                demand = demands.get(machine.pool)
                if demand is not None and machine.worker_id in demand.free:
                    idle.append(machine)
        # Machines of an open maintenance wave are used last: they would soon be taken down again.
        in_standby.sort(key=lambda one: one.name in in_waves)
        return idle, in_standby

    def _services_lacking_machines(self) -> list[str]:
        """Return services that lack machines, once for each machine, in round-robin order."""
        in_flight: dict[str, int] = {}
        for move in self._moves_in_flight.values():
            in_flight[move.service] = in_flight.get(move.service, 0) + 1
        ranked: list[tuple[int, str]] = []
        for service, demand in self._dependencies.machine_records.demands.items():
            if not self._orders.is_demand_current(service):
                continue
            ranked.extend(
                (rank, service) for rank in range(demand.lacking - in_flight.get(service, 0))
            )
        return [service for _, service in sorted(ranked)]

    def _take_lendable(
        self, idle: list[Machine], service: str, home_sizes: dict[str, int], sizes: dict[str, int]
    ) -> Machine | None:
        """Take an idle machine from the pool that has most machines beyond its home size."""
        lendable = [
            one
            for one in idle
            if sizes[one.pool] > home_sizes.get(one.pool, 0) * MIN_KEPT_HOME_FRACTION
        ]
        lendable.sort(key=lambda one: home_sizes.get(one.pool, 0) - sizes[one.pool])
        picked = self._take_first_fit(lendable, service)
        if picked is not None:
            idle.remove(picked)
        return picked

    def _take_first_fit(self, sources: list[Machine], service: str) -> Machine | None:
        for machine in sources:
            if machine.pool != service and (machine.name, service) not in self._misfits:
                sources.remove(machine)
                return machine
        return None

    async def _move(self, machine: Machine, service: str) -> None:
        status = await self._orders.move(machine, service)
        if status in (MachineOrderStatus.OBEYED, MachineOrderStatus.UNANSWERED):
            self._moves_in_flight[machine.name] = _Move(
                service=service, ordered_s=self._dependencies.clock()
            )
        if status is MachineOrderStatus.MISFIT:
            self._misfits.add((machine.name, service))


def _count_at_target(sizes: dict[str, int], machine: Machine, target: str) -> None:
    """Count a machine in the pool that it moves to."""
    sizes[machine.pool] -= 1
    sizes[target] = sizes.get(target, 0) + 1
