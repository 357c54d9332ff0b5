"""What a scheduler's process carries in a queue's turn: starts, their lateness, processor time.

A term on the loop's own clock, over workers that answer at once and end their tasks in time; the
store answers in memory. The workers and the store are as light as they can be, so that nearly all
processor time is the scheduler's own; calls over the network come on top of it (`bench jobs`).
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

WORKERS = (50, 100)
ASKED_A_SECOND = (400, 800, 1600)
TURN_S = 5.0
TASKS_A_JOB = 8
TASK_S = 1.0
ANSWER_S = 0.003


class LightWorker:
    """A worker that runs what it is told to, for `TASK_S`."""

    def __init__(self) -> None:
        self.running: dict[tuple[object, int], tuple[float, StartOrder]] = {}
        self.ends: list[tuple[float, int, StartOrder]] = []
        self.ended: deque[EndedTask] = deque()
        self.count = 0

    def end_due_runs(self, now_s: float) -> None:
        """End the runs that are done."""
        while self.ends and self.ends[0][0] <= now_s:
            _, _, order = heapq.heappop(self.ends)
            run = order.run
            self.running.pop((run.name, run.run_id), None)
            self.count += 1
            end = EndedTask(number=self.count, name=run.name, run_id=run.run_id, kind=EndKind.DONE)
            self.ended.append(end)


class LightWorkers:
    """Implements `WorkerOrders` and `WorkerDirectory`."""

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
        await asyncio.sleep(ANSWER_S)
        now_s = time.monotonic()
        one = self.workers[worker.worker_id]
        self.started += 1
        one.running[(order.run.name, order.run.run_id)] = (now_s, order)
        heapq.heappush(one.ends, (now_s + TASK_S, order.run.run_id, order))
        return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=int(now_s * 1000))

    async def stop(self, worker: WorkerView, order: StopOrder, *, token: int) -> OrderOutcome:
        """Stop nothing."""
        return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=1)

    async def pace(self, worker: WorkerView, order: PaceOrder, *, token: int) -> OrderOutcome:
        """Pace nothing."""
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
        """Tell what runs and what has ended, as soon as something has."""
        one = self.workers[worker.worker_id]
        while one.ended and one.ended[0].number <= acknowledged:
            one.ended.popleft()
        one.end_due_runs(time.monotonic())
        if not one.ended and wait_s > 0:
            next_s = one.ends[0][0] - time.monotonic() if one.ends else wait_s
            await asyncio.sleep(max(0.0, min(wait_s, next_s)))
        await asyncio.sleep(ANSWER_S)
        now_s = time.monotonic()
        one.end_due_runs(now_s)
        rows = tuple(
            RunningTask(
                name=order.run.name,
                run_id=order.run.run_id,
                percent=int((now_s - began_s) / TASK_S * 100),
            )
            for began_s, order in one.running.values()
        )
        report = WorkerReport(clock_ms=int(now_s * 1000), running=rows, ended=tuple(one.ended))
        return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=report.clock_ms, report=report)


def main() -> None:
    """Print a row for each size and load."""
    print("workers  asked/s  started/s  us of processor a task  longest turn of the loop ms")
    for workers in WORKERS:
        for asked in ASKED_A_SECOND:
            asyncio.run(_play(workers, asked))


async def _play(workers: int, asked: int) -> None:
    simulation = SchedulingSimulation(seed=1, workers=0, instances=1)
    fleet = LightWorkers(workers=workers)
    instance: Instance = simulation.instances[0]
    instance.directory = fleet
    instance.orders = fleet  # type: ignore[assignment]
    instance.start()
    await asyncio.sleep(1.0)
    began_s, began_cpu_s = time.monotonic(), time.process_time()
    before = fleet.started
    given, longest_s, last_s = 0, 0.0, began_s
    submitted: list[asyncio.Task[None]] = []
    while (now_s := time.monotonic()) - began_s < TURN_S:
        longest_s, last_s = max(longest_s, now_s - last_s), now_s
        while given < (now_s - began_s) * asked / TASKS_A_JOB:
            job = step(TASKS_A_JOB, cpu_millicores=7_000, memory_mb=9_000, estimated_s=TASK_S)
            submitted.append(asyncio.create_task(simulation.submit(f"{given:016x}", job)))
            given += 1
        await asyncio.sleep(0.005)
    started = fleet.started - before
    cpu_us = (time.process_time() - began_cpu_s) / max(1, started) * 1e6
    print(
        f"{workers:7} {asked:8} {started / TURN_S:10.0f} {cpu_us:23.0f} {longest_s * 1000:28.0f}",
        flush=True,
    )
    for task in submitted:
        task.cancel()
    for task in (*instance._tasks, *instance.elector._bid_tasks.values()):
        task.cancel()
    await asyncio.gather(
        *instance._tasks, *instance.elector._bid_tasks.values(), *submitted, return_exceptions=True
    )
