"""Machines and the workers on them: they register, crash, come back, move and have their upkeep."""

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

HEARTBEAT_S = 1.5
LAPSE_S = 3 * HEARTBEAT_S
"""A worker that says nothing is no longer registered after this."""
ABSENCE_S = 2.0
"""How long a moved machine, or one that has its upkeep, is away."""
CPU_MILLICORES = 8_000
MEMORY_MB = 16_000


@dataclass(slots=True, kw_only=True)
class _Place:
    """A machine, and what serves its worker."""

    row: ListedMachine
    rack: str
    proxy: Proxy
    server: WorkerServer | None = None
    view: WorkerView | None = None


class _Workers(CrashingWorkers):
    """Workers whose machines come back after a crash.

    Args:
        fleet: Their machines.
        rng: Draws.
    """

    def __init__(self, *, fleet: Fleet, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self._machines = fleet
        self.crashed_under: Counter[TaskName] = Counter()
        """Workers that have crashed under each task, by its doing or not."""

    def crash(self, worker: TaskWorker) -> None:
        """Crash a worker's machine."""
        name = self._machines.machine_of(worker.view.worker_id)
        self._machines.crash(name, down_s=self.rng.uniform(1.0, 4.0))


class Fleet:
    """All machines.

    Args:
        store: Where workers register.
        rng: Draws.
        host: Loopback address of workers.
    """

    def __init__(self, *, store: RecordStore, rng: random.Random, host: str) -> None:
        self.workers = _Workers(fleet=self, rng=rng)
        self.orders = FaultInjectingOrders(fleet=self.workers)
        self.machines: dict[str, ListedMachine] = {}
        self.violations: list[str] = []
        self.waves: dict[int, tuple[frozenset[str], int]] = {}
        """The machines and the limit of each wave."""
        self.had_upkeep: dict[int, set[str]] = {}
        self._in_upkeep: dict[int, set[str]] = {}
        self._highest_token: dict[str, int] = {}
        self._store = store
        self._host = host
        self._places: dict[str, _Place] = {}
        self._lives = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def add(self, name: str, pool: str, rack: str) -> None:
        """Add a machine with a worker."""
        proxy = Proxy(host=self._host, target="")
        await proxy.start()
        row = ListedMachine(name=name, pool=pool)
        self.machines[name] = row
        self._places[name] = _Place(row=row, rack=rack, proxy=proxy)
        await self._begin(self._places[name])

    async def stop(self) -> None:
        """Close everything."""
        for task in list(self._tasks):
            task.cancel()
        for place in self._places.values():
            await place.proxy.stop()
            if place.server is not None:
                await place.server.listener.stop()

    async def heartbeat(self) -> None:
        """Let living workers write their entries, until cancelled."""
        while True:
            for place in self._places.values():
                if place.view is not None and place.row.worker_id:
                    self._register(place.view)
            await asyncio.sleep(HEARTBEAT_S)

    def proxies(self) -> list[Proxy]:
        """Return the proxy of each machine's worker."""
        return [place.proxy for place in self._places.values()]

    def machine_of(self, worker_id: str) -> str:
        """Return the machine that a worker is or was on."""
        return worker_id.split("-")[1]

    async def resize(self, rng: random.Random) -> None:
        """Let the capacity of machines shrink and grow, one after the other, until cancelled."""
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            place = self._places[rng.choice(sorted(self._places))]
            size = rng.choice([CPU_MILLICORES, int(CPU_MILLICORES * rng.uniform(0.25, 1.0))])
            if place.view is None:
                continue
            worker = self.workers.workers[place.view.worker_id]
            worker.resize(size)
            place.view = worker.view
            self._register(place.view)

    def crash(self, name: str, *, down_s: float) -> None:
        """Let a machine's worker end silently; another incarnation comes later."""
        place = self._places[name]
        if place.row.state != "up":
            return
        if place.row.worker_id in self.workers.workers:
            self.workers.crashed_under.update(self.workers.workers[place.row.worker_id].names())
        old = self._end(place)
        place.row.state = "down"
        self._spawn(self._return(place, old, down_s, LAPSE_S))

    def execute_order(self, order: MachineOrder) -> bool:
        """Carry out a move or an upkeep; whether the machine took it."""
        row = order.machine
        if order.token < self._highest_token.get(row.name, 0):
            self.violations.append(f"{row.name}: order with token {order.token} after a higher one")
        self._highest_token[row.name] = max(order.token, self._highest_token.get(row.name, 0))
        if order.wave and not self._begin_upkeep(row.name, order.wave):
            return False
        place = self._places[row.name]
        old = self._end(place)
        row.state = "upkeep" if order.wave else "moving"
        if order.pool:
            row.pool = order.pool
        self._spawn(self._return(place, old, ABSENCE_S, 0.0, order.wave))
        return True

    def _begin_upkeep(self, name: str, wave: int) -> bool:
        machines, max_at_once = self.waves.get(wave, (frozenset(), 0))
        if name not in machines:
            return False
        down = self._in_upkeep.setdefault(wave, set())
        if len(down) >= max_at_once:
            self.violations.append(f"wave {wave}: {name} goes down while {len(down)} are down")
        down.add(name)
        self.had_upkeep.setdefault(wave, set()).add(name)
        return True

    def _end(self, place: _Place) -> str:
        worker_id, place.row.worker_id = place.row.worker_id, ""
        place.view = None
        worker = self.workers.workers.get(worker_id)
        if worker is not None:
            worker.crash()
        return worker_id

    async def _return(
        self, place: _Place, old: str, down_s: float, lapse_s: float, wave: int = 0
    ) -> None:
        """Bring a machine back; the entry of its old worker lapses meanwhile, or after."""
        unlisting = asyncio.get_running_loop().call_later(lapse_s, self._unregister, old)
        await asyncio.sleep(down_s)
        if wave:
            self._in_upkeep[wave].discard(place.row.name)
        await self._begin(place)
        # Not before: an order taken meanwhile would bring a second worker.
        place.row.state = "up"
        if unlisting.when() < asyncio.get_running_loop().time():
            self._unregister(old)

    async def _begin(self, place: _Place) -> None:
        self._lives += 1
        view = WorkerView(
            worker_id=f"w-{place.row.name}-{self._lives}",
            service=place.row.pool,
            address=place.proxy.address,
            data_centre="dc-1",
            cpu_millicores=CPU_MILLICORES,
            memory_mb=MEMORY_MB,
            rack=place.rack,
        )
        # Half of the machines take whatever they are given.
        self.workers.add(view).is_guarded = self._lives % 2 == 0
        # The old worker's connections end with it; its address goes to the new one.
        if place.server is not None:
            await place.server.listener.stop()
        place.proxy.reset()
        place.server = WorkerServer(orders=self.orders, view=view, host=self._host)
        place.proxy.target = await place.server.listener.start()
        place.view = view
        place.row.worker_id = view.worker_id
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
            "capacity": {"cpu": view.cpu_millicores, "memMb": view.memory_mb, "gpu": 0},
            "labels": ["kind-a", view.rack],
        }
        self._store.put(f"servers/{view.worker_id}", json.dumps(entry).encode())

    def _unregister(self, worker_id: str) -> None:
        key = f"servers/{worker_id}"
        if key in self._store.items:
            self._store.delete(key)

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
