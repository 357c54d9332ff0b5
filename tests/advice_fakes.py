"""An advice service as the platform's protocol describes it, and workers that check its tickets."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Collection

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.jobs import Incarnation
from shallotworks.scheduling import Permits, StartOrder
from shallotworks.standins import TaskWorker, TaskWorkers

__all__ = ["PolicyAdvice", "TicketCheckingWorkers"]

MAX_WAITING_CALLS = 32
MAX_WORKERS_PER_CALL = 100
CALL_TIMEOUT_S = 3.0


class TicketCheckingWorkers(TaskWorkers):
    """Workers that refuse starts of advised jobs without a valid ticket.

    Args:
        rng: Draws durations of runs, clock offsets and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.advice: PolicyAdvice | None = None
        self.refused_tickets = 0

    def is_permitted(self, worker: TaskWorker, order: StartOrder) -> bool:
        """Whether a start carries a ticket for its step and this incarnation of the worker."""
        name = order.run.name
        step = (name.job_id, name.occurrence, name.step)
        is_valid = self.advice is None or self.advice.is_valid(
            order.ticket, step, worker.view.incarnation
        )
        self.refused_tickets += not is_valid
        return is_valid


class PolicyAdvice:
    """Allows some workers to run the steps of jobs; handles one call at a time.

    Args:
        fleet: The workers.
        allowed: Ids of the workers that may run any step.
        decision_s: Time for each call.
        period_s: Time for each worker that a call names.
        valid_s: How long a ticket is valid.
    """

    def __init__(
        self,
        *,
        fleet: TicketCheckingWorkers,
        allowed: Collection[str] = (),
        decision_s: float = 0.02,
        period_s: float = 0.005,
        valid_s: float = 2.0,
    ) -> None:
        self.allowed = set(allowed)
        self.allowed_of_job: dict[str, set[str]] = {}
        """Workers that may run the steps of single jobs, which `allowed` doesn't hold for."""
        self.is_silent = False
        self.calls = 0
        self.rejected_calls = 0
        self.timed_out_calls = 0
        self.asked: Counter[str] = Counter()
        self._fleet = fleet
        self._decision_s, self._period_s, self._valid_s = decision_s, period_s, valid_s
        self._tickets: dict[str, tuple[tuple[str, int, int], Incarnation, float]] = {}
        self._numbers = itertools.count()
        self._lock = asyncio.Lock()
        self._waiting = 0
        self._calls: set[asyncio.Task[Permits]] = set()
        fleet.advice = self

    def is_valid(self, ticket: str, step: tuple[str, int, int], worker: Incarnation) -> bool:
        """Whether a ticket allows a step to start on a worker now."""
        row = self._tickets.get(ticket)
        now_s = asyncio.get_running_loop().time()
        return row is not None and row[:2] == (step, worker) and now_s <= row[2]

    async def request_permits(
        self, step: tuple[str, int, int], worker_ids: tuple[str, ...]
    ) -> Result[Permits, Failure]:
        self.calls += 1
        assert len(worker_ids) <= MAX_WORKERS_PER_CALL
        if self._waiting >= MAX_WAITING_CALLS:
            self.rejected_calls += 1
            return Err(Failure(kind=ErrorKind.UNREACHABLE, reason="429"))
        # A call that its sender has given up is handled all the same.
        call = asyncio.create_task(self._answer(step, worker_ids))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        done, _ = await asyncio.wait([call], timeout=CALL_TIMEOUT_S)
        if not done:
            self.timed_out_calls += 1
            return Err(Failure(kind=ErrorKind.UNREACHABLE, reason="timeout"))
        return Success(call.result())

    async def _answer(self, step: tuple[str, int, int], worker_ids: tuple[str, ...]) -> Permits:
        self._waiting += 1
        async with self._lock:
            self._waiting -= 1
            await asyncio.sleep(self._decision_s + self._period_s * len(worker_ids))
        while self.is_silent:
            await asyncio.sleep(0.1)
        self.asked.update(worker_ids)
        allowed = self.allowed_of_job.get(step[0], self.allowed)
        ends_s = asyncio.get_running_loop().time() + self._valid_s
        tickets = {}
        for worker_id in worker_ids:
            worker = self._fleet.workers.get(worker_id)
            if worker is not None and worker_id in allowed:
                ticket = tickets[worker_id] = f"t{next(self._numbers)}"
                self._tickets[ticket] = (step, worker.view.incarnation, ends_s)
        return Permits(tickets=tickets, valid_s=self._valid_s)
