"""Machines and their workers, which register, crash, restart, move and undergo maintenance."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass

from shallotworks.jobs import TaskName
from shallotworks.scheduling import WorkerView
from shallotworks.standins import (
    CrashingWorkers,
    FaultInjectingOrders,
    ListedMachine,
    MachineOrder,
    RecordStore,
    TaskWorker,
    WorkerServer,
)
from soak._proxy import Proxy

HEARTBEAT_INTERVAL_S = 1.5
REGISTRATION_TTL_S = 3 * HEARTBEAT_INTERVAL_S
"""The registration of a worker without heartbeats expires after this time."""
ABSENCE_S = 2.0
"""How long a machine is away during a move or its maintenance."""
CPU_MILLICORES = 8_000
MEMORY_MB = 16_000


@dataclass(slots=True, kw_only=True)
class _Machine:
    """A machine with its worker.

    Args:
        listed: The machine in the form in which the machines API lists it.
        rack: Its rack.
        proxy: The proxy in front of its worker.
        server: Serves the current worker; ``None`` before the first start.
        view: The registration of the running worker; ``None`` while none runs.
    """

    listed: ListedMachine
    rack: str
    proxy: Proxy
    server: WorkerServer | None = None
    view: WorkerView | None = None


class _Workers(CrashingWorkers):
    """Workers whose machines return after a crash.

    Args:
        fleet: The machines of the workers.
        rng: Random source.
    """

    def __init__(self, *, fleet: Fleet, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self._fleet = fleet
        self.crashed_under: Counter[TaskName] = Counter()
        """Number of workers that crashed while they ran a task, whether or not it was the cause."""

    def crash(self, worker: TaskWorker) -> None:
        """Crash the machine of a worker for a random time."""
        name = self._fleet.machine_of(worker.view.worker_id)
        self._fleet.crash(name, down_s=self.rng.uniform(1.0, 4.0))


class Fleet:
    """All machines of one run.

    Args:
        store: The store in which workers register.
        rng: Random source.
        host: Loopback address that workers listen on.
    """

    def __init__(self, *, store: RecordStore, rng: random.Random, host: str) -> None:
        self.workers = _Workers(fleet=self, rng=rng)
        self.orders = FaultInjectingOrders(fleet=self.workers)
        self.machines: dict[str, ListedMachine] = {}
        self.violations: list[str] = []
        self.waves: dict[int, tuple[frozenset[str], int]] = {}
        """For each wave its machines, and how many of them may be down at once."""
        self.maintained: dict[int, set[str]] = {}
        self._in_maintenance: dict[int, set[str]] = {}
        self._highest_token: dict[str, int] = {}
        self._store = store
        self._host = host
        self._machines: dict[str, _Machine] = {}
        self._last_worker_number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def add(self, name: str, pool: str, rack: str) -> None:
        """Add a machine and start its worker."""
        proxy = Proxy(host=self._host, target="")
        await proxy.start()
        listed = ListedMachine(name=name, pool=pool)
        self.machines[name] = listed
        self._machines[name] = _Machine(listed=listed, rack=rack, proxy=proxy)
        await self._start_worker(self._machines[name])

    async def stop(self) -> None:
        """Cancel background tasks; close all proxies and servers."""
        for task in list(self._tasks):
            task.cancel()
        for machine in self._machines.values():
            await machine.proxy.stop()
            if machine.server is not None:
                await machine.server.listener.stop()

    async def heartbeat(self) -> None:
        """Renew the registrations of all running workers until cancelled."""
        while True:
            for machine in self._machines.values():
                if machine.view is not None and machine.listed.worker_id:
                    self._register(machine.view)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def proxies(self) -> list[Proxy]:
        """Return the proxy of each machine's worker."""
        return [machine.proxy for machine in self._machines.values()]

    def machine_of(self, worker_id: str) -> str:
        """Return the name of the machine that a worker runs or ran on."""
        return worker_id.split("-")[1]

    async def resize(self, rng: random.Random) -> None:
        """Change the capacity of one random machine after the other until cancelled."""
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            machine = self._machines[rng.choice(sorted(self._machines))]
            size = rng.choice([CPU_MILLICORES, int(CPU_MILLICORES * rng.uniform(0.25, 1.0))])
            if machine.view is None:
                continue
            worker = self.workers.workers[machine.view.worker_id]
            worker.resize(size)
            machine.view = worker.view
            self._register(machine.view)

    def machines_with_acknowledged_ends(self) -> list[str]:
        """Return the machines that are up and whose workers have had an end acknowledged."""
        return sorted(
            name
            for name, machine in self._machines.items()
            if machine.view is not None
            and self.workers.workers[machine.view.worker_id].acknowledged_count
        )

    def crash(self, name: str, *, down_s: float, keeps_id: bool = False) -> None:
        """End a machine's worker without deregistration; start one again after ``down_s``.

        Args:
            name: The machine.
            down_s: How long no worker runs on it.
            keeps_id: Whether the worker starts again under its id, instead of under a new one.
        """
        machine = self._machines[name]
        if machine.listed.state != "up":
            return
        if machine.listed.worker_id in self.workers.workers:
            self.workers.crashed_under.update(
                self.workers.workers[machine.listed.worker_id].names()
            )
        old_worker_id = self._end_worker(machine)
        machine.listed.state = "down"
        self._spawn(
            self._return_machine(
                machine, old_worker_id, down_s, REGISTRATION_TTL_S, keeps_id=keeps_id
            )
        )

    def execute_order(self, order: MachineOrder) -> bool:
        """Execute a move or a maintenance order; return whether the machine accepted it."""
        listed = order.machine
        if order.token < self._highest_token.get(listed.name, 0):
            self.violations.append(
                f"{listed.name}: order with fencing token {order.token} after a higher one"
            )
        self._highest_token[listed.name] = max(order.token, self._highest_token.get(listed.name, 0))
        if order.wave and not self._begin_maintenance(listed.name, order.wave):
            return False
        machine = self._machines[listed.name]
        old_worker_id = self._end_worker(machine)
        listed.state = "upkeep" if order.wave else "moving"
        if order.pool:
            listed.pool = order.pool
        self._spawn(self._return_machine(machine, old_worker_id, ABSENCE_S, 0.0, order.wave))
        return True

    def _begin_maintenance(self, name: str, wave: int) -> bool:
        machines, max_at_once = self.waves.get(wave, (frozenset(), 0))
        if name not in machines:
            return False
        in_maintenance = self._in_maintenance.setdefault(wave, set())
        if len(in_maintenance) >= max_at_once:
            self.violations.append(
                f"wave {wave}: {name} goes down while {len(in_maintenance)} are down"
            )
        in_maintenance.add(name)
        self.maintained.setdefault(wave, set()).add(name)
        return True

    def _end_worker(self, machine: _Machine) -> str:
        worker_id, machine.listed.worker_id = machine.listed.worker_id, ""
        machine.view = None
        worker = self.workers.workers.get(worker_id)
        if worker is not None:
            worker.crash()
        return worker_id

    async def _return_machine(
        self,
        machine: _Machine,
        old_worker_id: str,
        down_s: float,
        expiry_delay_s: float,
        wave: int = 0,
        *,
        keeps_id: bool = False,
    ) -> None:
        """Start a new worker after ``down_s``.

        The registration of the old worker expires after ``expiry_delay_s``, which may be before
        or after the start of the new one. One that starts again under its id renews it.
        """
        expiry = asyncio.get_running_loop().call_later(
            expiry_delay_s, self._unregister, old_worker_id
        )
        await asyncio.sleep(down_s)
        if wave:
            self._in_maintenance[wave].discard(machine.listed.name)
        await self._start_worker(machine, worker_id=old_worker_id if keeps_id else "")
        if keeps_id:
            expiry.cancel()
        # Set after the start: an order accepted during it would start a second worker.
        machine.listed.state = "up"
        if not keeps_id and expiry.when() < asyncio.get_running_loop().time():
            self._unregister(old_worker_id)

    async def _start_worker(self, machine: _Machine, *, worker_id: str = "") -> None:
        """Start a worker on a machine, under a new id or under one that it had."""
        self._last_worker_number += 1
        view = WorkerView(
            worker_id=worker_id or f"w-{machine.listed.name}-{self._last_worker_number}",
            service=machine.listed.pool,
            address=machine.proxy.address,
            data_centre="dc-1",
            cpu_millicores=CPU_MILLICORES,
            memory_mb=MEMORY_MB,
            rack=machine.rack,
        )
        # Every second worker refuses no start for lack of capacity.
        worker = self.workers.add(view)
        worker.refuses_overload = self._last_worker_number % 2 == 0
        view = worker.view
        # The old worker's connections end with it; the new one is served at the same address.
        if machine.server is not None:
            await machine.server.listener.stop()
        machine.proxy.reset()
        machine.server = WorkerServer(orders=self.orders, view=view, host=self._host)
        machine.proxy.target = await machine.server.listener.start()
        machine.view = view
        machine.listed.worker_id = view.worker_id
        self._register(view)

    def _register(self, view: WorkerView) -> None:
        entry = {
            "service": view.service,
            "address": view.address,
            "zone": view.data_centre,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "seqNo": self._store.revision,
            "born": view.born_ms,
            "capacity": {"cpu": view.cpu_millicores, "memMb": view.memory_mb, "gpu": 0},
            "labels": ["kind-a", view.rack],
        }
        self._store.put(f"servers/{view.worker_id}", json.dumps(entry).encode())

    def _unregister(self, worker_id: str) -> None:
        key = f"servers/{worker_id}"
        if key in self._store.items:
            self._store.delete(key)

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
