"""Fleet of the demo: a platform, workers in racks, and entry instances in two data centres."""

from __future__ import annotations

import asyncio
import secrets
import threading
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

from returns.result import Success

from shallotworks.fleet import Change
from shallotworks.node import Node
from shallotworks.settings import Settings, parse_settings
from shallotworks.standins import PlatformStandIn, WorkerStandIn, describe_fleet, free_ports

__all__ = ["DATA_CENTRES", "DRAINED_RACK", "SERVICES", "DemoFleet"]

DATA_CENTRES = ("bergen", "forde")
REGION = "vestland"
RACKS = ("r1", "r2")
SERVICES = ("traces", "orders")
DRAINED_RACK = RACKS[0]
ENTRIES_PER_DATA_CENTRE = 2
SLOTS_PER_WORKER = 8
CALLERS_LISTENER_THREADS = 48
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
TOKEN_BYTES = 24

_Value = TypeVar("_Value")

_SETTINGS = """
[instance]
name = {name}
data_centre = {data_centre}
region = {region}
[callers]
port = 0
threads = {threads}
[operators]
port = 0
token_file = {folder}/operators.token
[peers]
port = {peers_port}
key_file = {folder}/peers.key
seeds = {seeds}
heartbeat_interval_s = 0.5
suspect_after_s = 1.5
remove_after_s = 5
[platform]
address = {platform}
calls_per_s = 200
[requests]
attempt_timeout_s = 5
default_deadline_s = 10
[plans]
weight_buffer = 5
lease_ttl_s = 3
"""


class DemoFleet:
    """Starts and stops the platform, the workers and the entry instances.

    The entry instances share one event loop, which runs on a thread of its own.

    Args:
        folder: Folder for the operators' token file and the peers' key file.
    """

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        self.token = secrets.token_hex(TOKEN_BYTES)
        self.platform = PlatformStandIn()
        self.workers = [
            WorkerStandIn(name=f"{data_centre}-{rack}-{service}", slots=SLOTS_PER_WORKER)
            for data_centre in DATA_CENTRES
            for rack in RACKS
            for service in SERVICES
        ]
        self.nodes: list[Node] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="entries", daemon=True)

    def start(self) -> None:
        """Start the platform, the workers and the entry instances."""
        (self._folder / "operators.token").write_text(self.token)
        (self._folder / "peers.key").write_text(secrets.token_hex(TOKEN_BYTES * 2))
        self.platform.start()
        for worker in self.workers:
            worker.start()
        self._thread.start()
        self._run_on_loop(self._start_nodes(), START_TIMEOUT_S)

    def stop(self) -> None:
        """Stop the entry instances gracefully, then the workers and the platform."""
        self._run_on_loop(self._stop_nodes(), STOP_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
        for worker in self.workers:
            worker.stop()
        self.platform.stop()

    def changes(self) -> tuple[Change, ...]:
        """Return the configuration changes that describe this fleet."""
        return describe_fleet(self.workers)

    def _settings(self, name: str, data_centre: str, port: int, seeds: list[int]) -> Settings:
        text = _SETTINGS.format(
            name=name,
            data_centre=data_centre,
            region=REGION,
            threads=CALLERS_LISTENER_THREADS,
            folder=self._folder,
            peers_port=port,
            seeds=", ".join(f"127.0.0.1:{seed}" for seed in seeds if seed != port),
            platform=self.platform.address,
        )
        parsed = parse_settings(text, path=str(self._folder / f"{name}.ini"))
        if not isinstance(parsed, Success):
            raise ValueError(str(parsed.failure().failure()))
        settings: Settings = parsed.unwrap()
        return settings

    async def _start_nodes(self) -> None:
        node_data_centres = [name for name in DATA_CENTRES for _ in range(ENTRIES_PER_DATA_CENTRE)]
        ports = free_ports(len(node_data_centres))
        for number, (data_centre, port) in enumerate(zip(node_data_centres, ports, strict=True)):
            name = f"{data_centre}-entry-{number % ENTRIES_PER_DATA_CENTRE + 1}"
            self.nodes.append(Node(settings=self._settings(name, data_centre, port, ports)))
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def _stop_nodes(self) -> None:
        await asyncio.gather(*(node.stop() for node in self.nodes))

    def _run_on_loop(self, coroutine: Coroutine[Any, Any, _Value], timeout_s: float) -> _Value:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(timeout=timeout_s)
