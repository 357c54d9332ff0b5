"""Latency of the operators' API at the target size, with client and server in one process."""

from __future__ import annotations

import statistics
import tempfile
import time
from pathlib import Path

import urllib3
from tests.fake_backend import FakeBackend
from tests.fakes import LoopThread

from shallotworks.fleet import DataCentre, FleetState, Instance, Pool, Service
from shallotworks.operators import OperatorsServer
from shallotworks.settings import OperatorsSettings
from shallotworks.timeline import Timeline

CALLS_PER_PATH = 200
INSTANCE_COUNT = 1_100
POOL_COUNT = 305
DATA_CENTRE_COUNT = 22
TOKEN = "measured"
PATHS = ("/v1/status", "/v1/pools", "/v1/instances", "/v1/instances?pool=pool-7", "/v1/other")


def main() -> None:
    """Print a row for each path."""
    loop = LoopThread()
    backend = FakeBackend()
    backend.state = _fleet()
    with tempfile.TemporaryDirectory() as folder:
        token_file = Path(folder) / "token"
        token_file.write_text(TOKEN)
        server = OperatorsServer(
            settings=OperatorsSettings(port=0, threads=2, token_file=str(token_file)),
            process="bergen-entry-1",
            loop=loop.loop,
            backend=backend,
            timeline=Timeline(process="bergen-entry-1", wall_clock_s=time.time),
            metrics=backend.recorded,
        )
        server.start()
        try:
            _measure(server.port)
        finally:
            server.stop()
            loop.stop()


def _measure(port: int) -> None:
    print("path                          p50 ms   p99 ms      bytes")
    http = urllib3.PoolManager(headers={"Authorization": f"Bearer {TOKEN}"})
    for path in PATHS:
        times_ms = []
        for _ in range(CALLS_PER_PATH):
            began_s = time.perf_counter()
            answer = http.request("GET", f"http://127.0.0.1:{port}{path}")
            times_ms.append((time.perf_counter() - began_s) * 1e3)
        p50_ms = statistics.median(times_ms)
        p99_ms = statistics.quantiles(times_ms, n=100)[98]
        print(f"{path:<28} {p50_ms:7.2f}  {p99_ms:7.2f}  {len(answer.data):9d}")


def _fleet() -> FleetState:
    return FleetState(
        revision=1,
        data_centres={
            f"dc-{number}": DataCentre(name=f"dc-{number}", region="r")
            for number in range(DATA_CENTRE_COUNT)
        },
        pools={f"pool-{number}": Pool(name=f"pool-{number}") for number in range(POOL_COUNT)},
        services={
            f"service-{number}": Service(
                name=f"service-{number}", pool=f"pool-{number}", share=1.0, max_unavailable=1
            )
            for number in range(POOL_COUNT)
        },
        instances={
            f"worker-{number}": Instance(
                name=f"worker-{number}",
                data_centre=f"dc-{number % DATA_CENTRE_COUNT}",
                rack=f"rack-{number % 4}",
                pool=f"pool-{number % POOL_COUNT}",
                address=f"10.0.{number // 250}.{number % 250}:9000",
                slots=8,
            )
            for number in range(INSTANCE_COUNT)
        },
    )
