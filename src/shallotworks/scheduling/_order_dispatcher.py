"""Sends the scheduler's orders to workers under leases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.store import HeldLease

from ._model import (
    OrderOutcome,
    OrderStatus,
    PaceOrder,
    Run,
    RunPhase,
    StartOrder,
    StopOrder,
    Worker,
)
from ._order_times import OrderTimes
from ._protocols import WorkerOrders
from ._scheduler_state import SchedulerState
from ._worker_contact import WorkerContact
from ._worker_poller import PAUSE_AFTER_NO_ANSWER_S, WorkerPoller

__all__ = ["OrderDispatcher"]

PAUSE_AFTER_UNHEALTHY_S = 1.0
PAUSE_AFTER_NO_ROOM_S = 0.3
"""No task is placed on a worker while one of these pauses lasts."""


class OrderDispatcher:
    """Sends orders and records their outcomes in the scheduler's state.

    Args:
        scheduler_state: Jobs, workers and runs.
        lease: The scheduler's own lease, which must be valid before each order.
        orders: Client that sends the orders.
        clock: Seconds, counting suspended time.
        wall_clock: Time of day in seconds since 1970.
        times: Times of orders and leases.
        is_recorded: Returns whether the stored record of active workers has a worker, by its id.
            Only then does a successor know that tasks may run there, and a lease may be granted.
        log: Receives a line for each order.
        metrics: Counters and latencies.
        on_progress: Called after each poll's report, which may have changed jobs' progress.
    """

    __slots__ = (
        "_clock",
        "_contact",
        "_in_flight",
        "_lease",
        "_log",
        "_metrics",
        "_orders",
        "_poller",
        "_scheduler_state",
        "_state_changed",
        "_wall_clock",
    )

    def __init__(
        self,
        *,
        scheduler_state: SchedulerState,
        lease: HeldLease,
        orders: WorkerOrders,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        times: OrderTimes,
        is_recorded: Callable[[str], bool],
        log: StructuredLog,
        metrics: Metrics,
        on_progress: Callable[[], None],
    ) -> None:
        self._scheduler_state = scheduler_state
        self._lease = lease
        self._orders = orders
        self._clock = clock
        self._wall_clock = wall_clock
        self._log = log
        self._metrics = metrics
        self._state_changed = asyncio.Event()
        self._contact = WorkerContact(
            scheduler_state=scheduler_state,
            lease=lease,
            clock=clock,
            wall_clock=wall_clock,
            times=times,
            is_recorded=is_recorded,
            log=log,
        )
        self._poller = WorkerPoller(
            scheduler_state=scheduler_state,
            lease=lease,
            contact=self._contact,
            orders=orders,
            clock=clock,
            wall_clock=wall_clock,
            times=times,
            log=log,
            metrics=metrics,
            on_progress=on_progress,
            request_decision=self.request_decision,
        )
        self._in_flight: set[asyncio.Task[None]] = set()

    # ---- used by the service scheduler

    def wake(self) -> None:
        """Request a new decision, after a change that may concern any worker."""
        self._state_changed.set()
        for worker in self._scheduler_state.workers.values():
            self._poller.request_poll(worker)

    def request_decision(self) -> None:
        """Request a new decision, after a change that concerns no worker."""
        self._state_changed.set()

    def _wake_for_worker(self, worker: Worker) -> None:
        """Request a new decision, after a change that concerns one worker.

        In a burst of jobs, hundreds of starts are answered in a second. Each concerns only its
        worker, so the other workers' polling tasks are not woken.
        """
        self._state_changed.set()
        self._poller.request_poll(worker)

    async def wait(self, longest_s: float) -> None:
        """Wait until the state has changed, but no longer than ``longest_s``."""
        # Not `wait_for`, which loses a cancellation that arrives together with the event.
        try:
            async with asyncio.timeout(longest_s):
                await self._state_changed.wait()
        except TimeoutError:
            return
        finally:
            self._state_changed.clear()

    def sync_workers(self) -> None:
        """Start polling tasks for new workers, and cancel those of workers that have ended."""
        self._poller.sync_workers()

    def stop_polling(self) -> None:
        """Stop polling workers, so that no further ends are recorded."""
        self._poller.stop_polling()

    def carry_out(self, decision: StartOrder | StopOrder | PaceOrder) -> None:
        """Send an order, without waiting for its answer."""
        if isinstance(decision, StartOrder):
            self._spawn(self._start(decision))
        elif isinstance(decision, StopOrder):
            self._spawn(self._stop(decision))
        else:
            decision.run.paced_s = self._clock()
            self._spawn(self._pace(decision))

    async def wait_for_orders(self, longest_s: float) -> None:
        """Wait for the orders in flight, but no longer than ``longest_s``."""
        if self._in_flight:
            await asyncio.wait(list(self._in_flight), timeout=longest_s)

    def close(self) -> None:
        """Stop polling, and cancel the orders in flight."""
        self.stop_polling()
        for task in self._in_flight:
            task.cancel()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._in_flight.add(task)
        task.add_done_callback(self._on_order_task_done)

    def _on_order_task_done(self, task: asyncio.Task[None]) -> None:
        self._in_flight.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._lease.mark_lost(f"unexpected error: {task.exception()!r}")

    # ---- orders

    async def _start(self, order: StartOrder) -> None:
        run = order.run
        worker = self._scheduler_state.workers.get(run.worker_id)
        sent_s = self._clock()
        lease_ms = self._contact.extend_lease(worker, sent_s) if worker is not None else None
        if worker is None or (run.name, run.run_id) not in worker.runs:
            return
        if lease_ms is None or not self._lease.is_valid:
            self._scheduler_state.note_start_failed(run, sent_s)
            return
        outcome = await self._orders.start(
            worker.view, order, token=worker.order_token, lease_until_ms=lease_ms
        )
        now_s = self._clock()
        self._metrics.count(f"scheduler.start.{outcome.status.value}")
        self._metrics.observe_s("scheduler.start", now_s - sent_s)
        self._log.line(
            "run-started",
            id=run.name.job_id,
            task=list(run.name[1:]),
            run=run.run_id,
            worker=worker.worker_id,
            outcome=outcome.status.value,
            detail=outcome.detail,
            resumed=bool(order.checkpoint),
            cpu_used=worker.cpu_used,
            seen_s=round(now_s - worker.reported_s, 3),
            token=self._scheduler_state.token,
        )
        is_certain = self._contact.is_from_known_incarnation(worker, outcome, sent_s)
        if is_certain and outcome.status is OrderStatus.OBEYED:
            worker.note_answered(now_s)
        self._handle_start_outcome(worker, run, outcome, now_s, is_certain=is_certain)
        self._wake_for_worker(worker)

    def _handle_start_outcome(
        self, worker: Worker, run: Run, outcome: OrderOutcome, now_s: float, *, is_certain: bool
    ) -> None:
        """Record the outcome of a start.

        Args:
            worker: The worker that the start was sent to.
            run: The run.
            outcome: The outcome.
            now_s: Time on the scheduler's clock in seconds.
            is_certain: Whether that incarnation gave the answer, and no later one.
        """
        is_fenced_or_gone = self._contact.handle_fenced_or_gone(worker, outcome)
        may_have_run = outcome.status in (OrderStatus.OBEYED, OrderStatus.UNANSWERED)
        self._scheduler_state.crashes.note_start_answered(
            run,
            self._wall_clock(),
            may_have_run=may_have_run,
            is_received=outcome.status is OrderStatus.OBEYED,
        )
        if is_fenced_or_gone:
            self._scheduler_state.note_start_failed(run, now_s)
            return
        if may_have_run:
            if run.phase is RunPhase.STARTING:
                is_running = outcome.status is OrderStatus.OBEYED and is_certain
                run.enter(RunPhase.RUNNING if is_running else RunPhase.UNANSWERED, now_s)
            if outcome.status is OrderStatus.UNANSWERED:
                worker.pause_until_s = now_s + PAUSE_AFTER_NO_ANSWER_S
            return
        self._handle_refused_start(worker, run, outcome.status, now_s)
        self._scheduler_state.note_start_failed(run, now_s)

    def _handle_refused_start(
        self, worker: Worker, run: Run, status: OrderStatus, now_s: float
    ) -> None:
        """Delay or prepare the next start according to why the worker refused this one."""
        step = self._scheduler_state.open_step(run.name)
        if status is OrderStatus.TOO_LATE:
            worker.is_fenced = False
        elif status is OrderStatus.NO_TICKET:
            if step is not None:
                step.advice.note_ticket_refused(worker.incarnation)
        elif status is OrderStatus.INVALID:
            if step is not None:
                step.note_refusal(now_s)
        elif status is OrderStatus.NO_ROOM:
            worker.pause_until_s = now_s + PAUSE_AFTER_NO_ROOM_S
        else:
            worker.pause_until_s = now_s + PAUSE_AFTER_UNHEALTHY_S

    async def _stop(self, order: StopOrder) -> None:
        run = order.run
        worker = self._scheduler_state.workers.get(run.worker_id)
        if worker is None or not self._lease.is_valid:
            return
        sent_s = self._clock()
        outcome = await self._orders.stop(worker.view, order, token=worker.order_token)
        self._metrics.count(f"scheduler.stop.{outcome.status.value}")
        self._log.line(
            "run-stopped",
            id=run.name.job_id,
            task=list(run.name[1:]),
            run=run.run_id,
            worker=worker.worker_id,
            reason=run.stop_reason,
            outcome=outcome.status.value,
            token=self._scheduler_state.token,
        )
        if (
            not self._contact.handle_fenced_or_gone(worker, outcome)
            and outcome.status is OrderStatus.OBEYED
            and self._contact.is_from_known_incarnation(worker, outcome, sent_s)
        ):
            run.enter(RunPhase.STOPPED, self._clock())
        self._wake_for_worker(worker)

    async def _pace(self, order: PaceOrder) -> None:
        worker = self._scheduler_state.workers.get(order.run.worker_id)
        if worker is None or not self._lease.is_valid:
            return
        outcome = await self._orders.pace(worker.view, order, token=worker.order_token)
        self._metrics.count(f"scheduler.pace.{outcome.status.value}")
        self._log.line(
            "run-paced",
            id=order.run.name.job_id,
            task=list(order.run.name[1:]),
            worker=worker.worker_id,
            percent=order.percent,
            was=order.run.pace_percent,
            outcome=outcome.status.value,
        )
        if (
            not self._contact.handle_fenced_or_gone(worker, outcome)
            and outcome.status is OrderStatus.OBEYED
        ):
            order.run.pace_percent = order.percent
