"""Moving machines between pools: lending to whoever's turn it is, and giving back."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass

from returns.result import Success

from shallotworks.store import Commit, Committed, Condition, HeldLease, Write

from ._machine_controller_dependencies import MachineControllerDependencies
from ._machine_order_dispatcher import MachineOrderDispatcher
from ._protocols import Machine, MachineOrderStatus, MachineState

__all__ = ["PoolRebalancer"]

MOVE_TIMEOUT_S = 4.0
"""A machine counts as on its way for this long at the most, where its arrival isn't seen: a move
takes 1.5 s (source: the platform's settings), twice that for an order that was carried out late."""
ARRIVAL_SETTLE_S = 0.6
"""... and for this long after it has arrived: entries of workers are read every 0.4 s, and its
scheduler has to tell what it lacks with that one counted in. A machine that counts as on its way
beside its worker stands for two, and its queue gets one less."""
MIN_MOVE_LIMIT = 16
MAX_MOVED_FRACTION = 1 / 8
"""Of all machines, moved in a round at the most; a round takes a fifth of a second, and the
platform takes about as many orders a second as there are machines."""
MIN_KEPT_HOME_FRACTION = 0.5
"""Part of its home size that a pool keeps while it is idle: its own callers' next turn begins with
that, while the borrower is still busy with its last one."""
IDLE_BEFORE_STANDBY_S = 2.0
"""A borrowed machine that no pool misses has to be idle for this long before it goes to the standby
pool: the next queue's turn may begin meanwhile, and takes it where it stands. Sent off at once, it
is under way when that turn lacks it, and moves twice. A move costs about as much as this time: to
wait for what the saved moves would pay for is never dearer than twice the best choice. One that a
pool misses goes home at once: there it can be lent also while there is no keeper to move it."""
HOME_SIZES_KEY = "shallotworks/home-sizes"


@dataclass(slots=True, kw_only=True)
class _Move:
    """A machine on its way.

    Args:
        service: Where to.
        ordered_s: When it was ordered.
        arrived_s: When it was first seen there; ``None`` before.
    """

    service: str
    ordered_s: float
    arrived_s: float | None = None

    def is_finished(self, now_s: float) -> bool:
        """Whether its machine no longer counts as on its way."""
        has_settled = self.arrived_s is not None and now_s - self.arrived_s >= ARRIVAL_SETTLE_S
        return has_settled or now_s - self.ordered_s >= MOVE_TIMEOUT_S


class PoolRebalancer:
    """Moves machines during one term of the keeper.

    Args:
        lease: The keeper's key.
        dependencies: What it works with.
        orders: Gives orders.
    """

    __slots__ = (
        "_cached_home_sizes",
        "_dependencies",
        "_idle_since",
        "_lease",
        "_misfits",
        "_moves_in_flight",
        "_orders",
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
        self._cached_home_sizes: dict[str, int] | None = None
        self._moves_in_flight: dict[str, _Move] = {}
        """Machines on their way, by name."""
        self._idle_since: dict[str, float] = {}
        """Workers that their schedulers offer, since when this keeper has seen that."""
        self._misfits: set[tuple[str, str]] = set()
        """Machines and pools that don't go together."""

    async def rebalance(self, machines: dict[str, Machine], in_waves: set[str]) -> None:
        """Move machines to services that lack them, and what they can do without back again."""
        self._update_moves(machines)
        home_sizes = await self._home_sizes(machines)
        if home_sizes is None:
            return
        sizes = self._sizes(machines)
        idle, in_standby = self._available_machines(machines, in_waves)
        self._track_idle(idle)
        max_moves = max(MIN_MOVE_LIMIT, int(len(machines) * MAX_MOVED_FRACTION))
        moves = self._plan_loans(idle, in_standby, home_sizes, sizes, max_moves)
        moves += self._plan_returns(idle, home_sizes, sizes, max_moves)
        targets = {machine.name: target for machine, target in moves}
        # Together: while the store is slow, machines ordered one after the other come too late.
        prepared = await self._orders.prepare([machine for machine, _ in moves])
        allowed = await self._filter_movable(prepared)
        await asyncio.gather(*(self._move(machine, targets[machine.name]) for machine in allowed))

    async def _filter_movable(self, machines: list[Machine]) -> list[Machine]:
        """Return the machines that their pools still offer; standby ones need no word."""
        standby = self._dependencies.standby()
        in_standby = [machine for machine in machines if machine.pool in standby]
        offered = [machine for machine in machines if machine.pool not in standby]
        return in_standby + await self._orders.filter_free(offered)

    def _update_moves(self, machines: dict[str, Machine]) -> None:
        """Let go of moves that are over."""
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
        """Choose machines for the services that lack them."""
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

    def _is_idle_long_enough(self, machine: Machine) -> bool:
        now_s = self._dependencies.clock()
        return now_s - self._idle_since.get(machine.worker_id, now_s) >= IDLE_BEFORE_STANDBY_S

    def _plan_returns(
        self, idle: list[Machine], home_sizes: dict[str, int], sizes: dict[str, int], max_moves: int
    ) -> list[tuple[Machine, str]]:
        """Send what a service has beyond its home size to where machines are missing."""
        standby = self._dependencies.standby()
        moves: list[tuple[Machine, str]] = []
        for machine in idle:
            if len(moves) >= max_moves or sizes[machine.pool] <= home_sizes.get(machine.pool, 0):
                continue
            undersized = [
                one
                for one in home_sizes
                if one not in standby and sizes.get(one, 0) < home_sizes[one]
            ]
            target = max(
                undersized, key=lambda one: home_sizes[one] - sizes.get(one, 0), default=None
            )
            if target is None:
                if not standby or not self._is_idle_long_enough(machine):
                    continue
                target = min(standby)
            if (machine.name, target) in self._misfits:
                continue
            moves.append((machine, target))
            _count_at_target(sizes, machine, target)
        return moves

    async def recalls(self, machines: dict[str, Machine]) -> dict[str, int]:
        """Return how many borrowed machines each service is asked to give up.

        The load: a queue's turn lacks machines, while others work off jobs of the turn before,
        which are late whatever is done. For as many as are lacking, borrowers keep late work off.
        What is lacking counts, and not only what the lenders lent: in a turn a queue needs three
        times its own machines, and a job in time is worth fourteen late ones.
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
        """Return the machines of each pool as they were when the first keeper saw them.

        The operators shaped the pools; what is lent goes back, so that they keep their shape.
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
        """Return machines that schedulers offer, and those in standby pools."""
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
        # Machines that are due for upkeep go to work last: they would soon be taken away again.
        in_standby.sort(key=lambda one: one.name in in_waves)
        return idle, in_standby

    def _services_lacking_machines(self) -> list[str]:
        """Return the services that lack machines, once for each, by turns."""
        in_flight: dict[str, int] = {}
        for move in self._moves_in_flight.values():
            in_flight[move.service] = in_flight.get(move.service, 0) + 1
        turns: list[tuple[int, str]] = []
        for service, demand in self._dependencies.machine_records.demands.items():
            if not self._orders.is_demand_current(service):
                continue
            turns.extend(
                (turn, service) for turn in range(demand.lacking - in_flight.get(service, 0))
            )
        return [service for _, service in sorted(turns)]

    def _take_lendable(
        self, idle: list[Machine], service: str, home_sizes: dict[str, int], sizes: dict[str, int]
    ) -> Machine | None:
        """Return an idle machine of a service that can lend one."""
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
    """Count a machine in the pool that it is to go to."""
    sizes[machine.pool] -= 1
    sizes[target] = sizes.get(target, 0) + 1
