"""Sends the scheduler's orders to workers under leases, and polls the workers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.store import HeldLease

from ._model import (
    MAX_CLOCK_SKEW_RATIO,
    OrderOutcome,
    OrderStatus,
    PaceOrder,
    Run,
    RunPhase,
    StartOrder,
    StopOrder,
    Worker,
)
from ._protocols import WorkerOrders
from ._scheduler_state import SchedulerState

__all__ = ["OrderDispatcher", "OrderTimes"]


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderTimes:
    """Times of orders and leases, in seconds.

    Args:
        lease_s: All runs on a worker end this long after the last order that extended its lease.
            This is long enough for a successor to take over after a crash (2.5 s) and for an outage
            of the store, and short enough that tasks on an unreachable worker run again soon.
        poll_wait_s: How long the worker holds a poll open until a run ends.
        answer_s: Time for the answer to an order or poll, beyond the poll's own wait. Workers
            answer in milliseconds.
        idle_poll_s: Interval between polls of a worker without runs, which read its clock.
        full_lease_s: Leases are granted in full for this long after the last confirmed renewal of
            the scheduler's own lease; later ones are cut so that none ends after the last full one.
            It spans three renewals, and bounds how long a successor waits for a worker that it
            can't reach.
    """

    lease_s: float = 5.0
    poll_wait_s: float = 1.0
    answer_s: float = 0.8
    idle_poll_s: float = 10.0
    full_lease_s: float = 1.5

    @property
    def answer_overdue_s(self) -> float:
        """A worker that has not answered a poll for this long gets no extension of its lease."""
        return self.poll_wait_s + self.answer_s

    @property
    def lease_horizon_s(self) -> float:
        """All runs end this long after the last confirmed renewal of the scheduler's own lease."""
        return self.lease_s + self.full_lease_s

    @property
    def recovery_s(self) -> float:
        """Time after which all runs of earlier epochs have ended on a worker that has not answered.

        The last renewal of an earlier epoch's lease was confirmed before this epoch's lease was
        acquired. The margin allows for slow clocks of workers, which are extrapolated from answers
        that may be as old as the interval between polls.
        """
        skew_s = MAX_CLOCK_SKEW_RATIO * (
            self.lease_horizon_s + self.idle_poll_s + self.answer_overdue_s
        )
        return self.lease_horizon_s + skew_s + LEASE_END_MARGIN_S


LEASE_END_MARGIN_S = 0.2
PAUSE_AFTER_NO_ANSWER_S = 0.5
PAUSE_AFTER_UNHEALTHY_S = 1.0
PAUSE_AFTER_NO_ROOM_S = 0.3
"""No task is placed on a worker while one of these three pauses lasts."""
MAX_ACKNOWLEDGING_POLL_WAIT_S = 0.1
"""Longest wait of a poll that acknowledges ends. Where incarnations can't be told apart, a later
one that receives the poll forgets its own ends with these numbers for as long as it waits; a task
takes longer."""
MIN_ISOLATED_POLL_WAIT_S = 0.02
"""Shortest wait of a poll at a worker that has to survive the start of an isolated run."""
CLOSED_CONNECTION_WITHIN_S = 0.5
"""A poll that fails within this time after its wait has not timed out: its connection was closed or
refused."""
_NO_ANSWER_STATUSES = (OrderStatus.UNANSWERED, OrderStatus.UNSENT)
POLL_PAUSE_S = 0.3
"""Pause before the next poll of a worker after a failed poll, while the scheduler may give no
orders, or until reported ends are stored. Before they are stored, the worker would answer at once
with the same ends."""


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
        "_in_flight",
        "_is_recorded",
        "_lease",
        "_log",
        "_metrics",
        "_on_progress",
        "_orders",
        "_poll_events",
        "_poll_tasks",
        "_scheduler_state",
        "_state_changed",
        "_times",
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
        self._times = times
        self._is_recorded = is_recorded
        self._log = log
        self._metrics = metrics
        self._on_progress = on_progress
        self._state_changed = asyncio.Event()
        self._poll_events: dict[str, asyncio.Event] = {}
        self._poll_tasks: dict[str, tuple[Worker, asyncio.Task[None]]] = {}
        """Polling tasks by worker id, each with the incarnation that it polls."""
        self._in_flight: set[asyncio.Task[None]] = set()

    # ---- used by the service scheduler

    def wake(self) -> None:
        """Request a new decision, after a change that may concern any worker."""
        self._state_changed.set()
        for worker in self._scheduler_state.workers.values():
            self._request_poll(worker)

    def request_decision(self) -> None:
        """Request a new decision, after a change that concerns no worker."""
        self._state_changed.set()

    def _request_poll(self, worker: Worker) -> None:
        """Wake the polling task of a worker, if there is a reason to poll it now."""
        event = self._poll_events.get(worker.worker_id)
        if event is not None and self._needs_poll(worker):
            event.set()

    def _wake_for_worker(self, worker: Worker) -> None:
        """Request a new decision, after a change that concerns one worker.

        In a burst of jobs, hundreds of starts are answered in a second. Each concerns only its
        worker, so the other workers' polling tasks are not woken.
        """
        self._state_changed.set()
        self._request_poll(worker)

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
        for worker_id, (worker, task) in list(self._poll_tasks.items()):
            if not self._is_present(worker):
                task.cancel()
                del self._poll_tasks[worker_id], self._poll_events[worker_id]
        for worker_id, worker in self._scheduler_state.workers.items():
            polled = self._poll_tasks.get(worker_id)
            if polled is None or polled[1].done():
                self._poll_events[worker_id] = asyncio.Event()
                task = asyncio.create_task(self._poll_repeatedly(worker))
                self._poll_tasks[worker_id] = (worker, task)

    def _is_present(self, worker: Worker) -> bool:
        """Whether a worker has neither ended nor started again."""
        return self._scheduler_state.workers.get(worker.worker_id) is worker

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

    def stop_polling(self) -> None:
        """Stop polling workers, so that no further ends are recorded.

        An end that is recorded while the last progress is being stored would be missing in the
        store when the lease is released. An end that is not recorded stays with its worker, which
        reports it to the successor.
        """
        for _, task in self._poll_tasks.values():
            task.cancel()

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

    # ---- polls

    async def _poll_repeatedly(self, worker: Worker) -> None:
        try:
            event = self._poll_events[worker.worker_id]
            while self._is_present(worker):
                await self._await_poll_reason(worker, event)
                if not self._lease.is_valid:
                    await asyncio.sleep(POLL_PAUSE_S)
                elif self._is_present(worker):
                    await self._poll(worker)
        except Exception as error:
            self._lease.mark_lost(f"unexpected error: {error!r}")
            raise

    async def _await_poll_reason(self, worker: Worker, event: asyncio.Event) -> None:
        if worker.unsettled_ends:
            await _wait(event, POLL_PAUSE_S, lambda: not worker.unsettled_ends)
        elif not self._needs_poll(worker):
            await _wait(event, self._times.idle_poll_s, lambda: self._needs_poll(worker))

    def _needs_poll(self, worker: Worker) -> bool:
        return bool(
            worker.runs
            or not worker.is_fenced
            or worker.acknowledged < worker.highest_settled
            or worker.worker_id in self._scheduler_state.pending_recovery
        )

    async def _poll(self, worker: Worker) -> None:
        sent_s = self._clock()
        acknowledged = worker.end_to_acknowledge
        lease_ms = (
            self._extend_lease(worker, sent_s) if self._may_extend_lease(worker, sent_s) else None
        )
        wait_s = self._poll_wait_s(worker)
        outcome = await self._orders.poll(
            worker.view,
            token=worker.order_token,
            acknowledged=acknowledged,
            lease_until_ms=lease_ms,
            wait_s=wait_s,
            timeout_s=wait_s + self._times.answer_s,
        )
        self._metrics.count(f"scheduler.poll.{outcome.status.value}")
        if not self._is_present(worker):
            # It has ended or started again, so that nothing it reports holds any more.
            self._handle_fenced_or_gone(worker, outcome)
            return
        if outcome.report is None:
            worker.has_answered_last_poll = False
            if (
                outcome.status in _NO_ANSWER_STATUSES
                and self._clock() - sent_s < wait_s + CLOSED_CONNECTION_WITHIN_S
            ):
                self._scheduler_state.crashes.note_connection_closed(
                    worker, self._clock(), self._wall_clock()
                )
            self._handle_poll_failure(worker, outcome)
            await asyncio.sleep(POLL_PAUSE_S)
            return
        reporter = self._identify(worker, outcome)
        if reporter is worker:
            worker.acknowledged = max(worker.acknowledged, acknowledged)
        self._scheduler_state.apply_report(
            reporter,
            outcome.report,
            order_token=worker.order_token,
            sent_s=sent_s,
            now_s=self._clock(),
            wall_s=self._wall_clock(),
        )
        self._on_progress()
        self._state_changed.set()

    def _identify(self, worker: Worker, outcome: OrderOutcome) -> Worker:
        """Return the incarnation that gave an answer: the known one, or a later one."""
        born_ms, known_born_ms = outcome.born_ms, worker.view.born_ms
        if born_ms is None or born_ms == known_born_ms:
            return worker
        view = replace(worker.view, born_ms=born_ms)
        if known_born_ms is None:
            # A record of an earlier release names the worker without its start.
            worker.view = view
            return worker
        now_s = self._clock()
        return self._scheduler_state.note_restarted(
            worker,
            view,
            now_s=now_s,
            wall_s=self._wall_clock(),
            runs_end_s=now_s + self._times.recovery_s,
        )

    def _is_from_known_incarnation(
        self, worker: Worker, outcome: OrderOutcome, sent_s: float
    ) -> bool:
        """Return whether the known incarnation answered an order; poll at once if not.

        An answer to an order need not state when the worker started, but its clock tells: a later
        start counts anew. Which start it is, and what runs there, the next report shows.
        """
        if not self._is_present(worker):
            return False
        known_born_ms = worker.view.born_ms
        if outcome.born_ms is not None and known_born_ms is not None:
            if outcome.born_ms < known_born_ms:
                return False
            return self._identify(worker, outcome) is worker
        if not worker.clock_ms:
            # An earlier answer was not of the known incarnation, and no report has come since.
            return False
        now_s = self._clock()
        if not outcome.clock_ms or worker.is_plausible_clock(
            outcome.clock_ms, sent_s=sent_s, now_s=now_s
        ):
            return True
        self._log.line(
            "worker-clock-differs",
            worker=worker.worker_id,
            born_ms=worker.view.born_ms,
            clock_ms=outcome.clock_ms,
            known_clock_ms=worker.clock_ms,
            age_s=round(now_s - worker.clock_at_s, 3),
            token=self._scheduler_state.token,
        )
        worker.clock_ms = 0
        worker.is_fenced = False
        worker.lease_ends_s = max(worker.lease_ends_s, now_s + self._times.recovery_s)
        return False

    def _may_extend_lease(self, worker: Worker, now_s: float) -> bool:
        """Return whether a poll may extend the worker's lease.

        A poll without an answer may have extended the lease. If all polls of a worker that died
        silently could extend it, its tasks would never be started again. A worker answers a poll
        within the poll's wait, so after a poll without an answer the lease is not extended until
        the worker answers again.
        """
        return bool(worker.runs) and now_s - worker.reported_s < self._times.answer_overdue_s

    def _poll_wait_s(self, worker: Worker) -> float:
        if self._needs_immediate_answer(worker):
            return 0.0
        wait_s = self._times.poll_wait_s
        if worker.end_to_acknowledge:
            wait_s = min(wait_s, MAX_ACKNOWLEDGING_POLL_WAIT_S)
        left_s = self._scheduler_state.isolation.remaining_probation_s(worker, self._clock())
        if left_s is None:
            return wait_s
        return min(wait_s, max(left_s, MIN_ISOLATED_POLL_WAIT_S))

    def _needs_immediate_answer(self, worker: Worker) -> bool:
        if not worker.is_fenced or worker.unsettled_ends or not worker.clock_ms:
            return True
        if self._clock() - worker.reported_s >= self._times.answer_overdue_s:
            # The worker's lease is not extended until it has answered.
            return True
        awaited_phases = (RunPhase.UNANSWERED, RunPhase.STOPPED)
        return not worker.runs or any(run.phase in awaited_phases for run in worker.runs.values())

    def _handle_poll_failure(self, worker: Worker, outcome: OrderOutcome) -> None:
        if not self._handle_fenced_or_gone(worker, outcome):
            worker.pause_until_s = self._clock() + PAUSE_AFTER_NO_ANSWER_S
            self._log.line(
                "poll-failed",
                worker=worker.worker_id,
                outcome=outcome.status.value,
                detail=outcome.detail,
                silent_s=round(self._clock() - worker.reported_s, 2),
                lease_left_s=round(worker.lease_ends_s - self._clock(), 2),
                token=self._scheduler_state.token,
            )
        self._state_changed.set()

    def _extend_lease(self, worker: Worker, sent_s: float) -> int | None:
        """Extend a worker's lease, and record when it has certainly expired.

        `OrderTimes.lease_horizon_s` bounds the leases that a scheduler grants while it is cut off
        from the store. If it continued to grant full leases, its successor would have to wait that
        much longer for each worker that it can't reach.

        The worker's clock is extrapolated from its last answer. The estimate is early by the delay
        of that answer, and late by what the clock has lost since; the recorded end allows for both.

        Returns:
            The end of the lease in milliseconds on the worker's clock, or ``None`` if no lease may
            be granted.
        """
        if not worker.clock_ms or not self._is_recorded(worker.worker_id):
            return None
        age_s = sent_s - worker.clock_at_s
        lease_s = min(
            self._times.lease_s, self._times.lease_horizon_s - self._lease.since_renewal_s
        )
        if lease_s <= 0:
            return None
        ends_s = sent_s + lease_s + MAX_CLOCK_SKEW_RATIO * (lease_s + age_s) + LEASE_END_MARGIN_S
        worker.lease_ends_s = max(worker.lease_ends_s, ends_s)
        return worker.clock_ms + int((age_s + lease_s) * 1000)

    def _handle_fenced_or_gone(self, worker: Worker, outcome: OrderOutcome) -> bool:
        """Handle an outcome that ends this epoch or the worker; return whether it was one.

        After ``FENCED`` the scheduler's lease is lost, unless the order was sent to an earlier
        incarnation of the worker, which a later one refuses. After ``GONE`` the worker has ended.
        """
        if outcome.status is OrderStatus.FENCED:
            if self._is_present(worker):
                self._lease.mark_lost(f"a later scheduler has fenced {worker.worker_id}")
            return True
        if outcome.status is OrderStatus.GONE:
            if self._is_present(worker):
                self._scheduler_state.note_replaced(
                    worker.worker_id, self._clock(), self._wall_clock()
                )
            return True
        return False

    # ---- orders

    async def _start(self, order: StartOrder) -> None:
        run = order.run
        worker = self._scheduler_state.workers.get(run.worker_id)
        sent_s = self._clock()
        lease_ms = self._extend_lease(worker, sent_s) if worker is not None else None
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
        is_certain = self._is_from_known_incarnation(worker, outcome, sent_s)
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
        is_fenced_or_gone = self._handle_fenced_or_gone(worker, outcome)
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
                step.permits.pop(worker.worker_id, None)
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
            not self._handle_fenced_or_gone(worker, outcome)
            and outcome.status is OrderStatus.OBEYED
            and self._is_from_known_incarnation(worker, outcome, sent_s)
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
            not self._handle_fenced_or_gone(worker, outcome)
            and outcome.status is OrderStatus.OBEYED
        ):
            order.run.pace_percent = order.percent


async def _wait(event: asyncio.Event, longest_s: float, until: Callable[[], bool]) -> None:
    """Wait until the condition holds, but no longer than ``longest_s``.

    The condition is checked at first and whenever the event is set.
    """
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + longest_s
    while not until() and loop.time() < ends_s:
        event.clear()
        try:
            async with asyncio.timeout(ends_s - loop.time()):
                await event.wait()
        except TimeoutError:
            return
