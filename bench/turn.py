"""Load that one scheduler process sustains: start rate, processor time and event loop delay.

The scheduler runs in real time with workers that answer within milliseconds and end their tasks in
time, and with an in-memory store. Workers and store are minimal, so that nearly all processor time
is the scheduler's; calls over the network are not included (see `bench jobs`).
"""

from __future__ import annotations

import asyncio
import heapq
import time
from collections import deque

from tests.scheduling_fakes import step, view
from tests.scheduling_simulation import SERVICE, Instance, SchedulingSimulation

from shallotworks.scheduling import (
    EndedTask,
    EndKind,
    OrderOutcome,
    OrderStatus,
    PaceOrder,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerReport,
    WorkerView,
)

WORKER_COUNTS = (50, 100)
REQUESTED_STARTS_PER_S = (400, 800, 1600)
LOAD_PERIOD_S = 5.0
TASKS_PER_JOB = 8
TASK_S = 1.0
ANSWER_LATENCY_S = 0.003


class LightWorker:
    """A minimal worker that accepts every start and runs each task for ``TASK_S``."""

    def __init__(self) -> None:
        self.running: dict[tuple[object, int], tuple[float, StartOrder]] = {}
        self.ends: list[tuple[float, int, StartOrder]] = []
        self.ended: deque[EndedTask] = deque()
        self.count = 0

    def end_due_runs(self, now_s: float) -> None:
        """End the runs whose time is over."""
        while self.ends and self.ends[0][0] <= now_s:
            _, _, order = heapq.heappop(self.ends)
            run = order.run
            self.running.pop((run.name, run.run_id), None)
            self.count += 1
            end = EndedTask(number=self.count, name=run.name, run_id=run.run_id, kind=EndKind.DONE)
            self.ended.append(end)


class LightWorkers:
    """All workers; implements `WorkerOrders` and `WorkerDirectory`."""

    def __init__(self, *, workers: int) -> None:
        self.views = {
            f"w{number}": view(
                f"w{number}", service=SERVICE, cpu_millicores=64_000, memory_mb=131_072
            )
            for number in range(workers)
        }
        self.workers = {worker_id: LightWorker() for worker_id in self.views}
        self.version = 1
        self.is_synced = True
        self.started = 0

    def workers_of(self, service: str) -> dict[str, WorkerView]:
        """List all workers."""
        return dict(self.views)

    async def start(
        self, worker: WorkerView, order: StartOrder, *, token: int, lease_until_ms: int
    ) -> OrderOutcome:
        """Start a run."""
        await asyncio.sleep(ANSWER_LATENCY_S)
        now_s = time.monotonic()
        light_worker = self.workers[worker.worker_id]
        self.started += 1
        light_worker.running[(order.run.name, order.run.run_id)] = (now_s, order)
        heapq.heappush(light_worker.ends, (now_s + TASK_S, order.run.run_id, order))
        return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=int(now_s * 1000))

    async def stop(self, worker: WorkerView, order: StopOrder, *, token: int) -> OrderOutcome:
        """Accept the order without effect."""
        return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=1)

    async def pace(self, worker: WorkerView, order: PaceOrder, *, token: int) -> OrderOutcome:
        """Accept the order without effect; the pace of a task is fixed."""
        return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=1)

    async def poll(
        self,
        worker: WorkerView,
        *,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> OrderOutcome:
        """Report running and ended tasks once a task has ended or ``wait_s`` is over."""
        light_worker = self.workers[worker.worker_id]
        while light_worker.ended and light_worker.ended[0].number <= acknowledged:
            light_worker.ended.popleft()
        light_worker.end_due_runs(time.monotonic())
        if not light_worker.ended and wait_s > 0:
            next_s = light_worker.ends[0][0] - time.monotonic() if light_worker.ends else wait_s
            await asyncio.sleep(max(0.0, min(wait_s, next_s)))
        await asyncio.sleep(ANSWER_LATENCY_S)
        now_s = time.monotonic()
        light_worker.end_due_runs(now_s)
        rows = tuple(
            RunningTask(
                name=order.run.name,
                run_id=order.run.run_id,
                percent=int((now_s - began_s) / TASK_S * 100),
            )
            for began_s, order in light_worker.running.values()
        )
        report = WorkerReport(
            clock_ms=int(now_s * 1000), running=rows, ended=tuple(light_worker.ended)
        )
        return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=report.clock_ms, report=report)


def main() -> None:
    """Print a row for each number of workers and rate of starts."""
    print("workers  asked/s  started/s  us of processor a task   longest loop iteration, ms")
    for workers in WORKER_COUNTS:
        for requested_per_s in REQUESTED_STARTS_PER_S:
            asyncio.run(_run_load(workers, requested_per_s))


async def _run_load(workers: int, requested_per_s: int) -> None:
    simulation = SchedulingSimulation(seed=1, workers=0, instances=1)
    fleet = LightWorkers(workers=workers)
    instance: Instance = simulation.instances[0]
    instance.directory = fleet
    instance.orders = fleet  # type: ignore[assignment]
    instance.start()
    await asyncio.sleep(1.0)
    began_s, began_cpu_s = time.monotonic(), time.process_time()
    started_before = fleet.started
    submitted_count, longest_s, last_s = 0, 0.0, began_s
    submitted: list[asyncio.Task[None]] = []
    while (now_s := time.monotonic()) - began_s < LOAD_PERIOD_S:
        longest_s, last_s = max(longest_s, now_s - last_s), now_s
        while submitted_count < (now_s - began_s) * requested_per_s / TASKS_PER_JOB:
            job = step(TASKS_PER_JOB, cpu_millicores=7_000, memory_mb=9_000, estimated_s=TASK_S)
            submitted.append(asyncio.create_task(simulation.submit(f"{submitted_count:016x}", job)))
            submitted_count += 1
        await asyncio.sleep(0.005)
    started = fleet.started - started_before
    cpu_us = (time.process_time() - began_cpu_s) / max(1, started) * 1e6
    print(
        f"{workers:7} {requested_per_s:8} {started / LOAD_PERIOD_S:10.0f} {cpu_us:23.0f} "
        f"{longest_s * 1000:28.0f}",
        flush=True,
    )
    for task in submitted:
        task.cancel()
    for task in (*instance._tasks, *instance.elector._bid_tasks.values()):
        task.cancel()
    await asyncio.gather(
        *instance._tasks, *instance.elector._bid_tasks.values(), *submitted, return_exceptions=True
    )
