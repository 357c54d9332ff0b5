"""Polls the workers of one service, each in a task of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.store import HeldLease

from ._model import OrderOutcome, OrderStatus, RunPhase, Worker
from ._order_times import OrderTimes
from ._protocols import WorkerOrders
from ._scheduler_state import SchedulerState
from ._worker_contact import WorkerContact

__all__ = ["PAUSE_AFTER_NO_ANSWER_S", "WorkerPoller"]

PAUSE_AFTER_NO_ANSWER_S = 0.5
"""No task is placed on a worker for this long after it has not answered an order; after a poll
without an answer, none until a poll is answered."""
MAX_ACKNOWLEDGING_POLL_WAIT_S = 0.1
"""Longest wait of a poll that acknowledges ends. Where incarnations can't be told apart, a later
one that receives the poll forgets its own ends with these numbers for as long as it waits; a task
takes longer."""
MAX_ISOLATED_POLL_WAIT_S = 0.25
"""Longest such wait, so that it is known within a second when a silent worker has gone."""
MIN_ISOLATED_POLL_WAIT_S = 0.02
"""Shortest wait of a poll at a worker that has to survive the start of an isolated run."""
ISOLATED_ANSWER_S = 0.35
"""A worker with isolated runs that leaves a poll unanswered for this long beyond its wait may have
crashed. That is recorded at once, since the scheduler may end before it is certain."""
CLOSED_CONNECTION_WITHIN_S = 0.5
"""A poll that fails within this time after its wait has not timed out: its connection was closed or
refused."""
_NO_ANSWER_STATUSES = (OrderStatus.UNANSWERED, OrderStatus.UNSENT, OrderStatus.REFUSED)
WANTED_ANSWER_AGE_S = 0.7
"""Workers that run nothing are polled this often while a lasting task may have lost its worker."""
POLL_PAUSE_S = 0.3
"""Pause before the next poll of a worker after a failed poll, while the scheduler may give no
orders, or until reported ends are stored. Before they are stored, the worker would answer at once
with the same ends."""


class WorkerPoller:
    """Polls workers and records their reports in the scheduler's state.

    Args:
        scheduler_state: Jobs, workers and runs.
        lease: The scheduler's own lease, which must be valid before each poll.
        contact: Extends leases and tells which incarnation has answered.
        orders: Client that sends the polls.
        clock: Seconds, counting suspended time.
        wall_clock: Time of day in seconds since 1970.
        times: Times of orders and leases.
        log: Receives a line for each poll that has failed.
        metrics: Counts polls by their outcome.
        on_progress: Called after each poll's report, which may have changed jobs' progress.
        request_decision: Called after each change of the state.
    """

    __slots__ = (
        "_are_answers_wanted",
        "_clock",
        "_contact",
        "_lease",
        "_log",
        "_metrics",
        "_on_progress",
        "_orders",
        "_poll_events",
        "_poll_tasks",
        "_request_decision",
        "_scheduler_state",
        "_times",
        "_wall_clock",
    )

    def __init__(
        self,
        *,
        scheduler_state: SchedulerState,
        lease: HeldLease,
        contact: WorkerContact,
        orders: WorkerOrders,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        times: OrderTimes,
        log: StructuredLog,
        metrics: Metrics,
        on_progress: Callable[[], None],
        request_decision: Callable[[], None],
    ) -> None:
        self._scheduler_state = scheduler_state
        self._lease = lease
        self._contact = contact
        self._orders = orders
        self._clock = clock
        self._wall_clock = wall_clock
        self._times = times
        self._log = log
        self._metrics = metrics
        self._on_progress = on_progress
        self._request_decision = request_decision
        self._are_answers_wanted = False
        """Whether lasting tasks may soon be started again on workers that run nothing."""
        self._poll_events: dict[str, asyncio.Event] = {}
        self._poll_tasks: dict[str, tuple[Worker, asyncio.Task[None]]] = {}
        """Polling tasks by worker id, each with the incarnation that it polls."""

    # ---- used by the order dispatcher

    def request_poll(self, worker: Worker) -> None:
        """Wake the polling task of a worker, if there is a reason to poll it now."""
        event = self._poll_events.get(worker.worker_id)
        if event is not None and self._needs_poll(worker):
            event.set()

    def sync_workers(self) -> None:
        """Start polling tasks for new workers, and cancel those of workers that have ended."""
        for worker_id, (worker, task) in list(self._poll_tasks.items()):
            if not self._contact.is_present(worker):
                task.cancel()
                del self._poll_tasks[worker_id], self._poll_events[worker_id]
        for worker_id, worker in self._scheduler_state.workers.items():
            polled = self._poll_tasks.get(worker_id)
            if polled is None or polled[1].done():
                self._poll_events[worker_id] = asyncio.Event()
                task = asyncio.create_task(self._poll_repeatedly(worker))
                self._poll_tasks[worker_id] = (worker, task)
        self._are_answers_wanted = self._scheduler_state.is_lasting_task_in_doubt(self._clock())
        if self._are_answers_wanted:
            for worker in self._scheduler_state.workers.values():
                self.request_poll(worker)

    def stop_polling(self) -> None:
        """Stop polling workers, so that no further ends are recorded.

        An end that is recorded while the last progress is being stored would be missing in the
        store when the lease is released. An end that is not recorded stays with its worker, which
        reports it to the successor.
        """
        for _, task in self._poll_tasks.values():
            task.cancel()

    # ---- polls

    async def _poll_repeatedly(self, worker: Worker) -> None:
        try:
            event = self._poll_events[worker.worker_id]
            while self._contact.is_present(worker):
                await self._await_poll_reason(worker, event)
                if not self._lease.is_valid:
                    await asyncio.sleep(POLL_PAUSE_S)
                elif self._contact.is_present(worker):
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
            or not worker.has_answered_last_poll
            or worker.acknowledged < worker.highest_settled
            or worker.worker_id in self._scheduler_state.pending_recovery
            or self._scheduler_state.crashes.is_asked(worker)
            or self._is_answer_too_old(worker)
        )

    def _is_answer_too_old(self, worker: Worker) -> bool:
        """Whether a worker may have fallen silent that a lasting task may soon be started on.

        A lasting task that is started on a silent worker waits for the lease of that start.
        """
        age_s = self._clock() - worker.reported_s
        return self._are_answers_wanted and age_s >= WANTED_ANSWER_AGE_S

    async def _poll(self, worker: Worker) -> None:
        sent_s = self._clock()
        acknowledged = worker.end_to_acknowledge
        lease_ms = self._contact.extend_lease(worker, sent_s) if worker.runs else None
        wait_s = self._poll_wait_s(worker)
        doubt = asyncio.get_running_loop().call_later(
            wait_s + ISOLATED_ANSWER_S, self._doubt_isolated, worker
        )
        try:
            outcome = await self._orders.poll(
                worker.view,
                token=worker.order_token,
                acknowledged=acknowledged,
                lease_until_ms=lease_ms,
                wait_s=wait_s,
                timeout_s=wait_s + self._times.answer_s,
            )
        finally:
            doubt.cancel()
        self._metrics.count(f"scheduler.poll.{outcome.status.value}")
        if not self._contact.is_present(worker):
            # It has ended or started again, so that nothing it reports holds any more.
            self._contact.handle_fenced_or_gone(worker, outcome)
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
                self._poll_asked()
            else:
                self._scheduler_state.crashes.note_asked_worker_silent(
                    worker, self._clock(), self._wall_clock()
                )
            self._handle_poll_failure(worker, outcome)
            await asyncio.sleep(POLL_PAUSE_S)
            return
        reporter = self._contact.identify(worker, outcome)
        if reporter is worker:
            worker.acknowledged = max(worker.acknowledged, acknowledged)
        self._contact.bound_earlier_leases(reporter)
        self._scheduler_state.apply_report(
            reporter,
            outcome.report,
            order_token=worker.order_token,
            sent_s=sent_s,
            now_s=self._clock(),
            wall_s=self._wall_clock(),
        )
        self._on_progress()
        self._request_decision()

    def _doubt_isolated(self, worker: Worker) -> None:
        """Record that a worker which has to outlive isolated runs leaves a poll unanswered."""
        if worker.isolated_runs and self._contact.is_present(worker):
            self._scheduler_state.crashes.note_worker_silent(
                worker, self._clock(), self._wall_clock()
            )
            self._on_progress()
            self._poll_asked()

    def _poll_asked(self) -> None:
        """Poll the workers whose answers show that another one was lost alone."""
        for worker in self._scheduler_state.workers.values():
            if self._scheduler_state.crashes.is_asked(worker):
                self.request_poll(worker)

    def _poll_wait_s(self, worker: Worker) -> float:
        if self._needs_immediate_answer(worker):
            return 0.0
        wait_s = self._times.poll_wait_s
        if worker.end_to_acknowledge:
            wait_s = min(wait_s, MAX_ACKNOWLEDGING_POLL_WAIT_S)
        left_s = self._scheduler_state.isolation.remaining_probation_s(worker, self._clock())
        if left_s is None:
            return wait_s
        longest_s = min(left_s, MAX_ISOLATED_POLL_WAIT_S)
        return min(wait_s, max(longest_s, MIN_ISOLATED_POLL_WAIT_S))

    def _needs_immediate_answer(self, worker: Worker) -> bool:
        if not worker.is_fenced or worker.unsettled_ends or not worker.clock_ms:
            return True
        if not worker.has_answered_last_poll:
            return True
        if self._clock() - worker.reported_s >= self._times.answer_overdue_s:
            # The worker's lease is extended no further until it has answered.
            return True
        awaited_phases = (RunPhase.UNANSWERED, RunPhase.STOPPED)
        return not worker.runs or any(run.phase in awaited_phases for run in worker.runs.values())

    def _handle_poll_failure(self, worker: Worker, outcome: OrderOutcome) -> None:
        if not self._contact.handle_fenced_or_gone(worker, outcome):
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
        self._request_decision()


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
