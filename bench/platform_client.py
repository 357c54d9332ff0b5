"""Cost of a call to the platform, and the load on the platform during and after an outage."""

from __future__ import annotations

import asyncio
import random
import statistics
import time

import urllib3
from returns.result import Success

from bench._processes import serving
from shallotworks.kv import HttpKeyValueStore, PlatformLimits
from shallotworks.metrics import Metrics
from shallotworks.timeline import Timeline

CALL_COUNT = 1_000
ROUNDS = 3
CLIENT_COUNT = 66
CALLERS_PER_CLIENT = 3
OUTAGE_S = 20.0
RECOVERY_WINDOW_S = 8.0
PEAK_WINDOW_S = 0.25


def main() -> None:
    """Print the figures."""
    with serving("bench._platform") as port:
        address = f"127.0.0.1:{port}"
        for _ in range(ROUNDS):
            _measure_bare(address)
            asyncio.run(_measure_client(address))
        asyncio.run(_measure_outage(address))


def _measure_bare(address: str) -> None:
    pool = urllib3.HTTPConnectionPool(address)
    times_ms = []
    for _ in range(CALL_COUNT):
        started_s = time.perf_counter()
        pool.request("GET", "/kv/v1/key?key=a")
        times_ms.append((time.perf_counter() - started_s) * 1e3)
    pool.close()
    print(f"a read by urllib3 alone: {_format_quantiles(times_ms)}")


async def _measure_client(address: str) -> None:
    store = _client(address, PlatformLimits(rate_per_s=10_000, burst=10_000))
    times_ms = []
    used_s = time.thread_time()
    for _ in range(CALL_COUNT):
        started_s = time.perf_counter()
        (await store.get("a")).unwrap()
        times_ms.append((time.perf_counter() - started_s) * 1e3)
    used_us = (time.thread_time() - used_s) / CALL_COUNT * 1e6
    store.close()
    print(
        f"a read by the client: {_format_quantiles(times_ms)},"
        f" {used_us:.0f} us of the loop's thread"
    )


async def _measure_outage(address: str) -> None:
    """Measure an outage with many instances, each with callers that retry continuously."""
    clients = [_client(address, PlatformLimits()) for _ in range(CLIENT_COUNT)]
    first_success_s: dict[int, float] = {}
    tasks = [
        asyncio.create_task(_call_repeatedly(number, client, first_success_s))
        for number, client in enumerate(clients)
        for _ in range(CALLERS_PER_CLIENT)
    ]
    await asyncio.sleep(1)
    await asyncio.to_thread(_set_down, address, True)
    await asyncio.sleep(OUTAGE_S / 2)
    before = await asyncio.to_thread(_calls, address)
    await asyncio.sleep(OUTAGE_S / 2)
    after = await asyncio.to_thread(_calls, address)
    rate = (after - before) / (OUTAGE_S / 2)
    print(
        f"{CLIENT_COUNT} instances, store down: {rate:.0f} calls/s in all, "
        f"{rate / CLIENT_COUNT:.2f} each"
    )
    first_success_s.clear()
    await asyncio.to_thread(_set_down, address, False)
    returned_s = time.perf_counter()
    peak = await _peak_rate(address)
    waits_s = sorted(at_s - returned_s for at_s in first_success_s.values())
    print(
        f"store up again: instances succeed after p50 {statistics.median(waits_s):.1f} s,"
        f" the last after {waits_s[-1]:.1f} s ({len(waits_s)} of {CLIENT_COUNT});"
        f" peak {peak:.0f} calls/s over {PEAK_WINDOW_S} s"
    )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for client in clients:
        client.close()


async def _call_repeatedly(
    number: int, client: HttpKeyValueStore, first_success_s: dict[int, float]
) -> None:
    while True:
        outcome = await client.get("a")
        if isinstance(outcome, Success):
            first_success_s.setdefault(number, time.perf_counter())
            await asyncio.sleep(1)
        else:
            await asyncio.sleep(max(0.05, outcome.failure().retry_after_s or 0))


async def _peak_rate(address: str) -> float:
    peak, ends_s = 0.0, time.perf_counter() + RECOVERY_WINDOW_S
    before, before_s = await asyncio.to_thread(_calls, address), time.perf_counter()
    while time.perf_counter() < ends_s:
        await asyncio.sleep(PEAK_WINDOW_S)
        calls, now_s = await asyncio.to_thread(_calls, address), time.perf_counter()
        peak = max(peak, (calls - before) / (now_s - before_s))
        before, before_s = calls, now_s
    return peak


def _client(address: str, limits: PlatformLimits) -> HttpKeyValueStore:
    return HttpKeyValueStore(
        address=address,
        metrics=Metrics(),
        timeline=Timeline(process="bench", wall_clock_s=time.time),
        limits=limits,
        rng=random.Random(),
    )


def _set_down(address: str, down: bool) -> None:
    body = b'{"down": true}' if down else b"{}"
    urllib3.request("PUT", f"http://{address}/admin/v1/faults", body=body)


def _calls(address: str) -> int:
    answer = urllib3.request("GET", f"http://{address}/admin/v1/calls")
    return sum(answer.json()["calls"].values())


def _format_quantiles(times_ms: list[float]) -> str:
    ordered = sorted(times_ms)
    return (
        f"p50 {statistics.median(ordered):.2f} ms, p99 {ordered[int(len(ordered) * 0.99)]:.2f} ms"
    )
