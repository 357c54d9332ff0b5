"""Rates and costs of jobs that one instance accepts over HTTP and of orders from one scheduler.

The store and the workers are in-memory stand-ins; the store answers in 4 ms, as the users' store.
"""

from __future__ import annotations

import asyncio
import random
import resource
import socket
import time

from tests.scheduling_fakes import quiet_log, step, view
from tests.scheduling_simulation import SERVICE, SchedulingSimulation

from shallotworks.jobs import JobRequestHandler
from shallotworks.metrics import Metrics
from shallotworks.platform._configuration import decode_configuration
from shallotworks.platform._http import HttpAnswer, HttpClient
from shallotworks.platform._ingress import Ingress
from shallotworks.standins import FaultInjectingStore, RecordStore

CALLER_COUNT = 16
JOB_COUNT = 1_600
JOB = {"spec": "x", "steps": [{"count": 6, "cpu": 500, "memMb": 10, "estimatedMs": 900}]}
HEADERS = {"Host": "bench.example"}
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "q", "host": "bench.example", "prefix": "/q/", "service": "s"}],
    "services": [{"name": "s"}],
}
TASK_COUNT = 2_000
WORKER_COUNT = 40
IDLE_S = 5.0


def main() -> None:
    """Print rates, latencies, processor time and memory."""
    asyncio.run(_measure_acceptance())
    asyncio.run(_measure_orders())
    for workers in (40, 172):
        asyncio.run(_measure_idle(workers))
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"peak memory, including callers, store and workers: {peak_mb:.0f} MB")


async def _measure_acceptance() -> None:
    store = FaultInjectingStore(store=RecordStore(rng=random.Random(1)))
    configuration = decode_configuration(CONFIGURATION)
    ingress = Ingress(
        job_handler=JobRequestHandler(
            store=store, metrics=Metrics(), log=quiet_log(), wall_clock=time.time
        ),
        configuration=lambda: configuration,
        is_store_unavailable=lambda: False,
        outage_s=lambda: 0.0,
        log=quiet_log(),
        metrics=Metrics(),
    )
    address = _free_address()
    await ingress.listen(address)
    durations: list[float] = []
    numbers = iter(range(JOB_COUNT))

    async def submit_jobs() -> None:
        client = HttpClient(address=address)
        for number in numbers:
            began_s = time.monotonic()
            answer = await client.call(
                "POST", f"/q/{number:016x}", body=JOB, headers=HEADERS, timeout_s=5.0
            )
            assert isinstance(answer, HttpAnswer) and answer.status == 200, answer
            durations.append(time.monotonic() - began_s)
        await client.close()

    began_s, began_cpu_s = time.monotonic(), time.process_time()
    await asyncio.gather(*(submit_jobs() for _ in range(CALLER_COUNT)))
    elapsed_s, cpu_s = time.monotonic() - began_s, time.process_time() - began_cpu_s
    durations.sort()
    print(
        f"jobs accepted: {JOB_COUNT / elapsed_s:.0f} a second, "
        f"p50 {durations[JOB_COUNT // 2] * 1000:.1f} ms, "
        f"p99 {durations[int(JOB_COUNT * 0.99)] * 1000:.1f} ms, "
        f"{cpu_s / JOB_COUNT * 1e6:.0f} us of "
        "processor time each with its caller"
    )
    await ingress.close()


async def _measure_orders() -> None:
    simulation = SchedulingSimulation(seed=1, workers=0, instances=1)
    for number in range(WORKER_COUNT):
        simulation.fleet.add(view(f"w{number}", service=SERVICE, cpu_millicores=64_000))
    simulation.instances[0].start()
    await asyncio.sleep(1.0)
    began_s, began_cpu_s = time.monotonic(), time.process_time()
    jobs = TASK_COUNT // 8
    await asyncio.gather(*(simulation.submit(f"{number:016x}", step(8)) for number in range(jobs)))
    while (
        simulation.fleet.started < TASK_COUNT
        or len(simulation.fleet.acknowledged_tasks) < TASK_COUNT
    ):
        await asyncio.sleep(0.02)
    elapsed_s, cpu_s = time.monotonic() - began_s, time.process_time() - began_cpu_s
    print(
        f"orders: {TASK_COUNT} tasks of {jobs} jobs started, ended and acknowledged in "
        f"{elapsed_s:.2f} s, "
        f"{TASK_COUNT / elapsed_s:.0f} starts a second; "
        f"{cpu_s / TASK_COUNT * 1e6:.0f} us of processor time a "
        "task with its worker and store"
    )
    await simulation.instances[0].kill()


async def _measure_idle(workers: int) -> None:
    simulation = SchedulingSimulation(seed=1, workers=workers, instances=1)
    simulation.instances[0].start()
    await asyncio.sleep(2.0)
    began_cpu_s = time.process_time()
    await asyncio.sleep(IDLE_S)
    cores = (time.process_time() - began_cpu_s) / IDLE_S
    print(f"idle at {workers} workers: {cores * 100:.2f}% of a core with the stand-ins")
    await simulation.instances[0].kill()


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
