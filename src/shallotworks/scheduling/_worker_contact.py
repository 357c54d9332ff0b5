"""What orders to a worker and polls of it have in common: its lease, and who has answered."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from shallotworks.logs import StructuredLog
from shallotworks.store import HeldLease

from ._model import MAX_CLOCK_SKEW_RATIO, OrderOutcome, OrderStatus, Worker
from ._order_times import LEASE_END_MARGIN_S, OrderTimes
from ._scheduler_state import SchedulerState

__all__ = ["WorkerContact"]


class WorkerContact:
    """Extends the leases of workers, and tells from their answers which incarnation has answered.

    Args:
        scheduler_state: Jobs, workers and runs.
        lease: The scheduler's own lease.
        clock: Seconds, counting suspended time.
        wall_clock: Time of day in seconds since 1970.
        times: Times of orders and leases.
        is_recorded: Returns whether the stored record of active workers has a worker, by its id.
            Only then does a successor know that tasks may run there, and a lease may be granted.
        log: Receives a line for each answer of another incarnation.
    """

    __slots__ = (
        "_clock",
        "_is_recorded",
        "_lease",
        "_log",
        "_scheduler_state",
        "_times",
        "_wall_clock",
    )

    def __init__(
        self,
        *,
        scheduler_state: SchedulerState,
        lease: HeldLease,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        times: OrderTimes,
        is_recorded: Callable[[str], bool],
        log: StructuredLog,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._lease = lease
        self._clock = clock
        self._wall_clock = wall_clock
        self._times = times
        self._is_recorded = is_recorded
        self._log = log

    def is_present(self, worker: Worker) -> bool:
        """Whether a worker has neither ended nor started again."""
        return self._scheduler_state.workers.get(worker.worker_id) is worker

    def identify(self, worker: Worker, outcome: OrderOutcome) -> Worker:
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

    def is_from_known_incarnation(
        self, worker: Worker, outcome: OrderOutcome, sent_s: float
    ) -> bool:
        """Return whether the known incarnation answered an order; poll at once if not.

        An answer to an order need not state when the worker started, but its clock tells: a later
        start counts anew. Which start it is, and what runs there, the next report shows.
        """
        if not self.is_present(worker):
            return False
        known_born_ms = worker.view.born_ms
        if outcome.born_ms is not None and known_born_ms is not None:
            if outcome.born_ms < known_born_ms:
                return False
            return self.identify(worker, outcome) is worker
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

    def extend_lease(self, worker: Worker, sent_s: float) -> int | None:
        """Extend a worker's lease, and record when it has certainly expired.

        `OrderTimes.lease_horizon_s` bounds the leases that a scheduler grants while it is cut off
        from the store. If it continued to grant full leases, its successor would have to wait that
        much longer for each worker that it can't reach.

        A lease counts from the worker's last answer, however many calls are sent after it.
        Otherwise the wait for a worker that was lost would begin anew with each call.

        The worker's clock is extrapolated from its last answer. The estimate is early by the delay
        of that answer, and late by what the clock has lost since; the recorded end allows for both.

        Returns:
            The end of the lease in milliseconds on the worker's clock, or ``None`` if no lease may
            be granted.
        """
        if not worker.clock_ms or not self._is_recorded(worker.worker_id):
            return None
        age_s = sent_s - worker.clock_at_s
        from_s = sent_s if worker.leased_from_s is None else worker.leased_from_s
        lease_s = min(
            from_s + self._times.lease_s - sent_s,
            self._times.lease_horizon_s - self._lease.since_renewal_s,
        )
        if lease_s <= 0:
            return None
        worker.leased_from_s = from_s
        ends_s = sent_s + lease_s + MAX_CLOCK_SKEW_RATIO * (lease_s + age_s) + LEASE_END_MARGIN_S
        worker.lease_ends_s = max(worker.lease_ends_s, ends_s)
        return worker.clock_ms + int((age_s + lease_s) * 1000)

    def bound_earlier_leases(self, worker: Worker) -> None:
        """Bound the leases of earlier epochs on a worker that is about to be recovered.

        From its answer on it refuses the orders of those epochs. A worker that has started again is
        left out: it may hold a lease whose end was meant for the clock of its earlier incarnation.
        """
        lease_s = worker.earlier_lease_s
        if lease_s is not None and worker.worker_id in self._scheduler_state.pending_recovery:
            longest_ends_s = self._clock() + self._times.lease_out_s(lease_s)
            worker.lease_ends_s = min(worker.lease_ends_s, longest_ends_s)

    def handle_fenced_or_gone(self, worker: Worker, outcome: OrderOutcome) -> bool:
        """Handle an outcome that ends this epoch or the worker; return whether it was one.

        After ``FENCED`` the scheduler's lease is lost, unless the order was sent to an earlier
        incarnation of the worker, which a later one refuses. After ``GONE`` the worker has ended.
        """
        if outcome.status is OrderStatus.FENCED:
            if self.is_present(worker):
                self._lease.mark_lost(f"a later scheduler has fenced {worker.worker_id}")
            return True
        if outcome.status is OrderStatus.GONE:
            if self.is_present(worker):
                self._scheduler_state.note_replaced(
                    worker.worker_id, self._clock(), self._wall_clock()
                )
            return True
        return False
