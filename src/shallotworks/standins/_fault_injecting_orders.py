"""Orders from one instance to the workers in memory, with injected network faults."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from shallotworks.scheduling import (
    OrderOutcome,
    OrderStatus,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerView,
)

from ._task_workers import TaskWorker, TaskWorkers

__all__ = ["OrderFaults", "FaultInjectingOrders"]

CALL_LATENCY_S = 0.002
ORDER_TIMEOUT_S = 0.7


@dataclass(slots=True, kw_only=True)
class OrderFaults:
    """Network faults between one instance and the workers.

    Args:
        late_ratio: Ratio of the start orders that are not answered and are executed
            ``late_delay_s`` later.
        late_delay_s: Delay of these start orders.
        lost_ratio: Ratio of the other start orders and of the stop orders that are executed but
            not answered.
        unreachable_worker_ids: Ids of the workers that this instance can't reach.
    """

    late_ratio: float = 0.0
    late_delay_s: float = 3.0
    lost_ratio: float = 0.0
    unreachable_worker_ids: set[str] = field(default_factory=set)


class FaultInjectingOrders:
    """Implements `WorkerOrders` for one instance, with faults between it and the workers.

    Args:
        fleet: The workers that the orders are sent to.
        faults: Network faults of this instance; no faults if omitted.
    """

    def __init__(self, *, fleet: TaskWorkers, faults: OrderFaults | None = None) -> None:
        self._fleet = fleet
        self.faults = faults or OrderFaults()
        self._delayed_starts: set[asyncio.Task[None]] = set()

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
        """Poll a worker, which answers as soon as a run has ended or when ``wait_s`` has passed.

        A later incarnation than the intended one reports at once. A worker that can't be reached is
        `UNANSWERED` after ``timeout_s``, or has the status that `TaskWorkers.outcomes_when_absent`
        gives.
        """
        loop = asyncio.get_running_loop()
        wait_ends_at_s, times_out_at_s = loop.time() + wait_s, loop.time() + timeout_s
        reached = await self._reach_worker(worker, times_out_at_s)
        if isinstance(reached, OrderOutcome):
            return reached
        if not worker.incarnation.may_be(reached.view.incarnation):
            return reached.poll(token, 0, None)
        outcome = reached.poll(token, acknowledged, lease_until_ms)
        while (
            reached.is_alive
            and outcome.report is not None
            and not outcome.report.ended
            and loop.time() < wait_ends_at_s
        ):
            await reached.wait_for_end(wait_ends_at_s - loop.time())
            outcome = reached.poll(token, acknowledged, None)
        if self._fleet.workers.get(worker.worker_id) is not reached:
            # The worker has started again, which closed its connections.
            return OrderOutcome(status=OrderStatus.UNANSWERED)
        if not reached.is_alive or worker.worker_id in self.faults.unreachable_worker_ids:
            return await self._answer_for_absent_worker(worker, times_out_at_s)
        return outcome

    async def start(
        self, worker: WorkerView, order: StartOrder, *, token: int, lease_until_ms: int
    ) -> OrderOutcome:
        """Order a worker to start a run."""
        reached = await self._reach_worker(worker)
        if isinstance(reached, OrderOutcome):
            return reached
        if self._fleet.rng.random() < self.faults.late_ratio:
            task = asyncio.create_task(
                self._start_after_delay(reached, order, token, lease_until_ms)
            )
            self._delayed_starts.add(task)
            task.add_done_callback(self._delayed_starts.discard)
            return await self._lose_answer()
        outcome = reached.start(order, token, lease_until_ms)
        if self._fleet.rng.random() < self.faults.lost_ratio:
            return await self._lose_answer()
        return outcome

    async def stop(self, worker: WorkerView, order: StopOrder, *, token: int) -> OrderOutcome:
        """Order a worker to stop a run."""
        reached = await self._reach_worker(worker)
        if isinstance(reached, OrderOutcome):
            return reached
        outcome = reached.stop(order, token)
        if self._fleet.rng.random() < self.faults.lost_ratio:
            return await self._lose_answer()
        return outcome

    async def pace(self, worker: WorkerView, order: PaceOrder, *, token: int) -> OrderOutcome:
        """Accept a pace order without any effect."""
        return OrderOutcome(status=OrderStatus.OBEYED)

    async def _reach_worker(
        self, worker: WorkerView, times_out_at_s: float | None = None
    ) -> TaskWorker | OrderOutcome:
        """Return the worker, or the outcome of a call that doesn't reach it.

        Args:
            worker: The worker that is called.
            times_out_at_s: Loop time at which a call that is not answered ends; if omitted, it
                ends after `ORDER_TIMEOUT_S`.
        """
        await asyncio.sleep(CALL_LATENCY_S)
        reached = self._fleet.workers.get(worker.worker_id)
        is_absent = worker.worker_id in self._fleet.outcomes_when_absent
        if reached is None or not reached.is_alive or is_absent:
            return await self._answer_for_absent_worker(worker, times_out_at_s)
        if worker.worker_id in self.faults.unreachable_worker_ids:
            return await self._lose_answer(times_out_at_s)
        return reached

    async def _answer_for_absent_worker(
        self, worker: WorkerView, times_out_at_s: float | None = None
    ) -> OrderOutcome:
        absence = self._fleet.outcomes_when_absent.get(worker.worker_id)
        if absence is not None and worker.worker_id not in self.faults.unreachable_worker_ids:
            return OrderOutcome(status=absence)
        return await self._lose_answer(times_out_at_s)

    async def _lose_answer(self, times_out_at_s: float | None = None) -> OrderOutcome:
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(
            ORDER_TIMEOUT_S if times_out_at_s is None else max(0.0, times_out_at_s - now_s)
        )
        return OrderOutcome(status=OrderStatus.UNANSWERED)

    async def _start_after_delay(
        self, worker: TaskWorker, order: StartOrder, token: int, lease_until_ms: int
    ) -> None:
        await asyncio.sleep(self.faults.late_delay_s)
        if worker.is_alive:
            worker.start(order, token, lease_until_ms, is_late=True)
