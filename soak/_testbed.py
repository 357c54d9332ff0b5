"""The testbed of one run: platform, workers, entry processes, and the proxies between them."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
from dataclasses import dataclass

from shallotworks.standins import (
    FaultInjectingStore,
    MachinesServer,
    RecordStore,
    StoreServer,
)
from soak._callers import HOST, MAX_ATTEMPTS, QUEUES, Callers
from soak._fault_log import ALL_INSTANCES, FaultLog
from soak._fleet import Fleet
from soak._processes import EntryProcess
from soak._proxy import Proxy

SPARE_POOL = "spare"
MACHINES_PER_POOL = 4
SPARE_MACHINES = 2


@dataclass(slots=True, kw_only=True)
class Entry:
    """An entry process and its connections.

    Args:
        process: The process.
        caller_link: The proxy between callers and the process.
        store: This process's view of the store, with injected faults.
        store_server: Serves ``store`` to the process.
        store_link: The proxy between the process and ``store_server``.
        machines_link: The proxy between the process and the machines API.
    """

    process: EntryProcess
    caller_link: Proxy
    store: FaultInjectingStore
    store_server: StoreServer
    store_link: Proxy
    machines_link: Proxy


class Testbed:
    """All components of one run.

    Args:
        seed: Seed of all random sources.
        entries: Number of entry processes.
        folder: Folder for logs and settings.
        slot: Number of the reserved loopback addresses; concurrent runs use different ones.
    """

    def __init__(self, *, seed: int, entries: int, folder: pathlib.Path, slot: int) -> None:
        self.rng = random.Random(seed)
        self.fault_log = FaultLog()
        self.store = RecordStore(rng=random.Random(seed + 1))
        self.host = f"127.77.{slot}.1"
        self.fleet = Fleet(store=self.store, rng=random.Random(seed + 2), host=self.host)
        self.fleet.workers.most_attempts = MAX_ATTEMPTS
        self.machines = MachinesServer(
            machines=self.fleet.machines, execute_order=self.fleet.execute_order, host=self.host
        )
        self.entries: dict[str, Entry] = {}
        self.version = 10
        self.extra_queues: dict[str, str] = {}
        """Name of each added queue by the prefix of its paths."""
        self._folder = folder
        self._slot = slot
        self._entry_count = entries
        self._seed = seed
        self._background: list[asyncio.Task[None]] = []
        self.callers: Callers | None = None
        self.restart_rng = random.Random(seed + 5)
        """Draws restarts of workers under their ids; all other draws of a seed stay unchanged."""

    async def start(self) -> None:
        """Start all components; return once each entry process has a configuration."""
        machines_address = await self.machines.listener.start()
        pools = [pool for pool in QUEUES for _ in range(MACHINES_PER_POOL)]
        pools += [SPARE_POOL] * SPARE_MACHINES
        for number, pool in enumerate(pools):
            await self.fleet.add(f"m{number}", pool, f"rack-{number % 3}")
        # A separate random source keeps all other draws of a seed unchanged.
        resizing = self.fleet.resize(random.Random(self._seed + 3))
        self._background = [
            asyncio.create_task(coroutine) for coroutine in (self.fleet.heartbeat(), resizing)
        ]
        self.write_configuration()
        for number in range(self._entry_count):
            entry = await self._make_entry(number, machines_address)
            self.entries[entry.process.name] = entry
            entry.process.start()
        self.callers = Callers(
            entries={name: (one.process, one.caller_link) for name, one in self.entries.items()},
            fleet=self.fleet.workers,
            rng=self.rng,
            crash_rng=random.Random(self._seed + 4),
            fault_log=self.fault_log,
        )
        starting = self.fault_log.begin("start", ALL_INSTANCES)
        for name in self.entries:
            await self._await_first_answer(name)
        self.fault_log.end(starting)

    async def stop(self) -> None:
        """Stop all components."""
        if self.callers is not None:
            await self.callers.close()
        await asyncio.gather(*(one.process.stop() for one in self.entries.values()))
        for task in self._background:
            task.cancel()
        await self.fleet.stop()
        for entry in self.entries.values():
            for proxy in (entry.caller_link, entry.store_link, entry.machines_link):
                await proxy.stop()
            await entry.store_server.listener.stop()
        await self.machines.listener.stop()

    def write_configuration(self) -> None:
        """Write a new version of the configuration, as an operator does."""
        self.version += 3
        rows = [(name, prefix, name) for name, prefix in QUEUES.items()]
        rows += [(name, prefix, next(iter(QUEUES))) for prefix, name in self.extra_queues.items()]
        routes = [
            {
                "name": name,
                "host": HOST,
                "prefix": prefix,
                "service": service,
                "maxAttempts": MAX_ATTEMPTS,
                "stretch": 3.0,
                "targetLatencyMs": 2000,
                "timeoutMs": 3000,
            }
            for name, prefix, service in rows
        ]
        services: list[dict[str, object]] = [{"name": name} for name in QUEUES]
        services.append({"name": SPARE_POOL, "standby": True})
        body = {"version": self.version, "routes": routes, "services": services, "limits": {}}
        self.store.put("op/config", json.dumps(body).encode())

    def request_wave(self, number: int, *, count: int, max_at_once: int) -> None:
        """Request maintenance of some random machines, as an operator does."""
        names = self.rng.sample(sorted(self.fleet.machines), count)
        self.fleet.waves[number] = (frozenset(names), max_at_once)
        body = {"wave": number, "machines": names, "durationS": 20, "maxCount": max_at_once}
        self.store.put(f"op/wave/{number}", json.dumps(body).encode())

    async def _make_entry(self, number: int, machines_address: str) -> Entry:
        ip = f"127.77.{self._slot}.{10 + number}"
        process = EntryProcess(name=f"entry-{number}", ip=ip, folder=self._folder)
        view = FaultInjectingStore(store=self.store)
        server = StoreServer(view=view, host=self.host)
        await server.listener.start()
        entry = Entry(
            process=process,
            caller_link=Proxy(host=self.host, target=process.callers_address),
            store=view,
            store_server=server,
            store_link=Proxy(host=self.host, target=server.listener.address),
            machines_link=Proxy(host=self.host, target=machines_address),
        )
        for proxy in (entry.caller_link, entry.store_link, entry.machines_link):
            await proxy.start()
        process.write_settings(store=entry.store_link.address, machines=entry.machines_link.address)
        return entry

    async def _await_first_answer(self, name: str) -> None:
        assert self.callers is not None
        for _ in range(200):
            status, _ = await self.callers.call("GET", name, next(iter(QUEUES.values())))
            if status == 200:
                return
            await asyncio.sleep(0.1)
        self.fault_log.record_violation(f"{name} did not answer within 20 s of its start")
