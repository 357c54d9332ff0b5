"""Workers in memory that run tasks under leases and fencing tokens, and check their orders."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass, replace
from math import isinf

from shallotworks.jobs import TaskName
from shallotworks.scheduling import (
    EndedTask,
    EndKind,
    OrderOutcome,
    OrderStatus,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerReport,
    WorkerView,
)

__all__ = ["TaskWorker", "TaskWorkers"]

MAX_LEASE_S = 6.0
STOP_DURATION_S = 0.2
ENDS_PER_ANSWER = 500
FIRST_BORN_MS = 1_700_000_000_000
"""Start of the first worker in milliseconds since 1970; each later start is a millisecond later."""
CAPACITY_REDUCTION_GRACE_S = 4.5
"""After a reduction, the former capacity is still permitted this long. Source: the users' rules."""


@dataclass(slots=True, kw_only=True)
class _Run:
    name: TaskName
    run_id: int
    work_s: float
    began_at_s: float
    is_lasting: bool
    fails: bool
    stops_at_s: float = float("inf")

    def percent(self, now_s: float) -> int:
        if self.is_lasting:
            return 100 if now_s - self.began_at_s > 0.3 else 0
        return min(99, int((now_s - self.began_at_s) / self.work_s * 100))


class TaskWorker:
    """One incarnation of a worker, behind connections that end with it.

    An order reaches only the incarnation that it is meant for. Source: `WorkerOrders`, which
    ``tests/test_order_connections.py`` shows of the orders over sockets.

    Args:
        view: The worker as discovery lists it.
        fleet: All workers; checks the orders that this worker executes.
    """

    def __init__(self, *, view: WorkerView, fleet: TaskWorkers) -> None:
        self.view = view
        self.is_alive = True
        self._fleet = fleet
        self._token = 0
        self._lease_ends_at_s = 0.0
        self._runs: dict[tuple[TaskName, int], _Run] = {}
        self._highest_run_ids: dict[TaskName, int] = {}
        self._ended: list[EndedTask] = []
        self._end_count = 0
        self._state_changed = asyncio.Event()
        self._clock_offset_s = fleet.rng.uniform(100, 1000)
        self._former_capacities: list[tuple[float, int]] = []
        """Former capacities in millicores, each with the loop time at which it was replaced."""
        self.acknowledged_count = 0
        """Number of ends that were acknowledged to this incarnation."""
        self.refuses_overload = True
        """Whether the worker refuses a start that exceeds its capacity."""

    @property
    def clock_ms(self) -> int:
        """The worker's own monotonic clock, which has a random offset from the loop's clock."""
        return int((self._now_s() + self._clock_offset_s) * 1000)

    @property
    def holds_lease(self) -> bool:
        """Whether the worker's lease has not expired."""
        return self._now_s() < self._lease_ends_at_s

    def resize(self, cpu_millicores: int) -> None:
        """Change the capacity that the worker has and that discovery lists."""
        self._former_capacities.append((self._now_s(), self.view.cpu_millicores))
        self.view = replace(self.view, cpu_millicores=cpu_millicores)

    def _is_over_capacity(self, used_millicores: int) -> bool:
        if self.refuses_overload:
            return used_millicores > self.view.cpu_millicores
        since_s = self._now_s() - CAPACITY_REDUCTION_GRACE_S
        earlier = [
            size for replaced_at_s, size in self._former_capacities if replaced_at_s > since_s
        ]
        return used_millicores > max(self.view.cpu_millicores, *earlier, 0)

    def names(self) -> set[TaskName]:
        """Return the names of the running tasks."""
        return {name for name, _ in self._runs}

    def serving_tasks(self) -> set[TaskName]:
        """Return the lasting tasks that serve and are not being stopped."""
        now_s = self._now_s()
        serving_runs = (
            run for run in self._runs.values() if run.is_lasting and isinf(run.stops_at_s)
        )
        return {run.name for run in serving_runs if run.percent(now_s) == 100}

    def crash(self) -> None:
        """Crash the worker; its runs are lost without an end."""
        self.is_alive = False
        self._runs.clear()

    def wake_polls(self) -> None:
        """Wake the polls that wait for the end of a run, so that they check the worker's state."""
        self._wake_waiters()

    def fail(self, name: TaskName) -> None:
        """End all runs of a task as failed."""
        for run in [run for run in self._runs.values() if run.name == name]:
            self._end_run(run, EndKind.FAILED)
        self._wake_waiters()

    def end_due_runs(self) -> None:
        """End the runs that are complete, stopped, or no longer covered by the lease."""
        now_s = self._now_s()
        for run in list(self._runs.values()):
            ends_at_s, kind = self._first_end(run)
            if ends_at_s <= now_s:
                self._end_run(run, kind)

    async def wait_for_end(self, max_wait_s: float) -> None:
        """Wait until a run may have ended, or until a start or a stop may bring an end forward.

        Args:
            max_wait_s: Longest wait.
        """
        now_s = self._now_s()
        ends_at_s = min((self._first_end(run)[0] for run in self._runs.values()), default=now_s + 9)
        wait_s = max(0.001, min(max_wait_s, ends_at_s - now_s))
        state_changed = self._state_changed
        # `asyncio.wait_for` would lose a cancellation that arrives together with the event.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await state_changed.wait()

    def _first_end(self, run: _Run) -> tuple[float, EndKind]:
        own = EndKind.FAILED if run.fails else EndKind.DONE
        done_s = float("inf") if run.is_lasting else run.began_at_s + run.work_s
        return min(
            (
                (done_s, own),
                (run.stops_at_s, EndKind.STOPPED),
                (self._lease_ends_at_s, EndKind.LAPSED),
            ),
            key=lambda end: end[0],
        )

    def _wake_waiters(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def poll(self, token: int, acknowledged: int, lease_until_ms: int | None) -> OrderOutcome:
        """Acknowledge ends up to a number, extend the lease and return a report.

        A token that is older than the highest one seen is answered with `FENCED`.
        """
        self.end_due_runs()
        if token < self._token:
            return OrderOutcome(status=OrderStatus.FENCED, clock_ms=self.clock_ms)
        self._token = token
        for end in self._ended:
            if end.number <= acknowledged:
                self._fleet.note_acknowledged(end)
                self.acknowledged_count += 1
        self._ended = [end for end in self._ended if end.number > acknowledged]
        if lease_until_ms is not None:
            self._extend_lease(lease_until_ms)
        now_s = self._now_s()
        ended = tuple(self._ended[: self._fleet.ends_per_answer])
        report = WorkerReport(
            clock_ms=self.clock_ms,
            running=tuple(
                RunningTask(name=run.name, run_id=run.run_id, percent=run.percent(now_s))
                for run in self._runs.values()
            ),
            ended=ended,
            has_more_ends=len(ended) >= self._fleet.ends_per_answer,
        )
        return OrderOutcome(
            status=OrderStatus.OBEYED,
            clock_ms=self.clock_ms,
            report=report,
            born_ms=self.view.born_ms,
        )

    def start(
        self, order: StartOrder, token: int, lease_until_ms: int, *, is_late: bool = False
    ) -> OrderOutcome:
        """Start a run, or refuse the start.

        Args:
            order: The run to start.
            token: Fencing token of the sender.
            lease_until_ms: End of the lease, by this worker's clock.
            is_late: Whether the order was delayed. A delayed start that exceeds the capacity of a
                worker that does not refuse overload is not recorded as a violation.
        """
        if not order.incarnation.may_be(self.view.incarnation):
            return self._unreached()
        self.end_due_runs()
        run = order.run
        if token < self._token:
            return self._refuse(OrderStatus.FENCED)
        self._token = token
        if lease_until_ms <= self.clock_ms:
            return self._refuse(OrderStatus.TOO_LATE)
        if (run.name, run.run_id) in self._runs:
            return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=self.clock_ms)
        self._extend_lease(lease_until_ms)
        if run.run_id <= self._highest_run_ids.get(run.name, 0):
            return self._refuse(OrderStatus.STALE_RUN)
        if not self._fleet.is_permitted(self, order):
            return self._refuse(OrderStatus.NO_TICKET)
        used_millicores = sum(self._fleet.cpu_millicores_of(name) for name, _ in self._runs)
        if self._is_over_capacity(used_millicores + self._fleet.cpu_millicores_of(run.name)):
            if self.refuses_overload:
                return self._refuse(OrderStatus.NO_ROOM)
            if not is_late:
                self._fleet.note_overfilled(self, run.name)
        self._fleet.check_start(self, run.name)
        self._runs[(run.name, run.run_id)] = self._fleet.make_run(run.name, run.run_id)
        self._wake_waiters()
        return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=self.clock_ms)

    def stop(self, order: StopOrder, token: int) -> OrderOutcome:
        """Stop a run, which takes `STOP_DURATION_S`.

        Later starts of the task with the same run id or a lower one are refused as stale.
        """
        if not order.incarnation.may_be(self.view.incarnation):
            return self._unreached()
        self.end_due_runs()
        if token < self._token:
            return self._refuse(OrderStatus.FENCED)
        self._token = token
        name, run_id = order.run.name, order.run.run_id
        self._highest_run_ids[name] = max(run_id, self._highest_run_ids.get(name, 0))
        run = self._runs.get((name, run_id))
        if run is not None:
            self._fleet.check_stop(self, name)
            run.stops_at_s = min(run.stops_at_s, self._now_s() + STOP_DURATION_S)
            self._wake_waiters()
        return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=self.clock_ms)

    def _extend_lease(self, lease_until_ms: int) -> None:
        ends_at_s = lease_until_ms / 1000 - self._clock_offset_s
        latest_end_s = self._now_s() + MAX_LEASE_S
        self._lease_ends_at_s = max(self._lease_ends_at_s, min(ends_at_s, latest_end_s))

    def _end_run(self, run: _Run, kind: EndKind) -> None:
        del self._runs[(run.name, run.run_id)]
        self._highest_run_ids[run.name] = max(run.run_id, self._highest_run_ids.get(run.name, 0))
        self._end_count += 1
        end = EndedTask(number=self._end_count, name=run.name, run_id=run.run_id, kind=kind)
        self._ended.append(end)
        self._fleet.note_end(end)

    def _unreached(self) -> OrderOutcome:
        return OrderOutcome(status=OrderStatus.UNSENT, born_ms=self.view.born_ms)

    def _refuse(self, status: OrderStatus) -> OrderOutcome:
        return OrderOutcome(status=status, clock_ms=self.clock_ms)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()


class TaskWorkers:
    """All workers, and checks of the orders that they get; implements `WorkerDirectory`.

    Args:
        rng: Draws durations of runs, clock offsets and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.workers: dict[str, TaskWorker] = {}
        self.unlisted: set[str] = set()
        self.view_change_count = 0
        """Tests increment it when they change a worker's view, so that `version` differs."""
        self.ends_per_answer = ENDS_PER_ANSWER
        """Number of ends that an answer to a poll lists; the next ones follow when the listed ones
        are acknowledged."""
        self.violations: list[str] = []
        self.started = 0
        self.work_s: dict[str, float] = {}
        self.cpu_millicores: dict[str | TaskName, int] = {}
        """CPU demand by task name, or by job id if all tasks of the job have the same demand."""
        self.task_dependencies: dict[TaskName, tuple[TaskName, ...]] = {}
        """Tasks that must be done before a task starts, by that task."""
        self.lasting: set[str] = set()
        self.failing: set[TaskName] = set()
        self.cancelled: dict[str, float] = {}
        """Loop time at which each cancelled job was cancelled, by job id."""
        self.done_tasks: set[TaskName] = set()
        self.acknowledged_tasks: set[TaskName] = set()
        self.started_tasks: set[TaskName] = set()
        self.outcomes_when_absent: dict[str, OrderStatus] = {}
        """Outcome of orders to absent workers, by worker id; the others never answer."""
        self.most_attempts = 0
        """Acknowledged failures of a task after which it may not start again; 0 for no limit."""
        self._acknowledged_failures: Counter[TaskName] = Counter()
        self._start_count = 0

    def add(self, view: WorkerView) -> TaskWorker:
        """Add a worker that has just started, under a new id or under one that it had before."""
        self._start_count += 1
        view = replace(view, born_ms=FIRST_BORN_MS + self._start_count)
        worker = self.workers[view.worker_id] = TaskWorker(view=view, fleet=self)
        return worker

    def restart(self, worker_id: str) -> TaskWorker:
        """Crash a worker and start it again under its id, knowing nothing of before."""
        earlier = self.workers[worker_id]
        earlier.crash()
        earlier.wake_polls()
        restarted = self.add(earlier.view)
        restarted.refuses_overload = earlier.refuses_overload
        return restarted

    # ---- discovery

    @property
    def is_synced(self) -> bool:
        """Whether the list of workers is complete; always true here."""
        return True

    @property
    def version(self) -> int:
        """Differs after each change of the list, which tests may change at any time."""
        return hash(
            (
                self.view_change_count,
                tuple(self.unlisted),
                tuple((one.is_alive, one.view.born_ms) for one in self.workers.values()),
            )
        )

    def workers_of(self, service: str) -> dict[str, WorkerView]:
        """Return the listed workers of a service by id."""
        return {
            key: worker.view
            for key, worker in self.workers.items()
            if worker.is_alive and key not in self.unlisted and worker.view.service == service
        }

    # ---- checks of orders

    def cpu_millicores_of(self, name: TaskName) -> int:
        """Return the CPU demand of a task in millicores; 1000 if none is set."""
        return self.cpu_millicores.get(name, self.cpu_millicores.get(name.job_id, 1000))

    def is_permitted(self, worker: TaskWorker, order: StartOrder) -> bool:
        """Whether a start carries a valid ticket; subclasses that know of advice override it."""
        return True

    def make_run(self, name: TaskName, run_id: int) -> _Run:
        """Return a new run of a task, with a random duration."""
        return _Run(
            name=name,
            run_id=run_id,
            work_s=self.work_s.get(name.job_id, 0.8) * self.rng.uniform(0.7, 1.4),
            began_at_s=asyncio.get_running_loop().time(),
            is_lasting=name.job_id in self.lasting,
            fails=name in self.failing,
        )

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        """Record a violation if a task starts that must not.

        A task must not have two runs at once. It must not start after its completion was
        acknowledged, before the tasks that it depends on are done, after its last permitted attempt
        has failed, or more than 3 s after its job was cancelled.
        """
        self.started += 1
        self.started_tasks.add(name)
        now_s = asyncio.get_running_loop().time()
        for other in self.workers.values():
            if other.is_alive:
                other.end_due_runs()
            if other.is_alive and name in other.names():
                self.violations.append(f"{now_s:.3f} {name} runs twice at once")
        if name in self.acknowledged_tasks:
            self.violations.append(f"{now_s:.3f} {name} starts after its end was acknowledged")
        if any(earlier not in self.done_tasks for earlier in self.task_dependencies.get(name, ())):
            self.violations.append(f"{now_s:.3f} {name} starts before its dependencies")
        if self.most_attempts and self._acknowledged_failures[name] >= self.most_attempts:
            self.violations.append(f"{now_s:.3f} {name} starts after its last attempt has failed")
        if now_s > self.cancelled.get(name.job_id, now_s) + 3.0:
            self.violations.append(f"{now_s:.3f} {name} starts after its job was cancelled")

    def note_overfilled(self, worker: TaskWorker, name: TaskName) -> None:
        """Record that a start exceeds the capacity of a worker that does not refuse overload."""
        now_s = asyncio.get_running_loop().time()
        size = worker.view.cpu_millicores
        self.violations.append(f"{now_s:.3f} {name} overloads a worker of {size} millicores")

    def check_stop(self, worker: TaskWorker, name: TaskName) -> None:
        """Check the stop of a running task; subclasses that know more about tasks override it."""

    def note_end(self, end: EndedTask) -> None:
        """Record the end of a run."""
        if end.kind is EndKind.DONE:
            self.done_tasks.add(end.name)

    def note_acknowledged(self, end: EndedTask) -> None:
        """Record that an end was acknowledged."""
        if end.kind is EndKind.DONE:
            self.acknowledged_tasks.add(end.name)
        elif end.kind is EndKind.FAILED:
            self._acknowledged_failures[end.name] += 1
