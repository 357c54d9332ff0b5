"""Workers in memory that run tasks under leases and fencing tokens, and judge their orders."""

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
CAPACITY_REDUCTION_GRACE_S = 4.5
"""Capacity that has shrunk counts this long after. Source: the users' rules."""


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
    """One incarnation of a worker.

    Args:
        view: What discovery says of it.
        fleet: All workers, which judge.
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
        """Until when it had which capacity, in millicores."""
        self.is_guarded = True
        """Whether it refuses what does not fit."""

    @property
    def clock_ms(self) -> int:
        """Its own steady clock."""
        return int((self._now_s() + self._clock_offset_s) * 1000)

    def resize(self, cpu_millicores: int) -> None:
        """Change its capacity, which discovery tells."""
        self._former_capacities.append((self._now_s(), self.view.cpu_millicores))
        self.view = replace(self.view, cpu_millicores=cpu_millicores)

    def _is_over_capacity(self, used_millicores: int) -> bool:
        if self.is_guarded:
            return used_millicores > self.view.cpu_millicores
        since_s = self._now_s() - CAPACITY_REDUCTION_GRACE_S
        earlier = [
            size for replaced_at_s, size in self._former_capacities if replaced_at_s > since_s
        ]
        return used_millicores > max(self.view.cpu_millicores, *earlier, 0)

    def names(self) -> set[TaskName]:
        """Return the tasks that run."""
        return {name for name, _ in self._runs}

    def serving_tasks(self) -> set[TaskName]:
        """Return the lasting tasks that serve and are not being stopped."""
        now_s = self._now_s()
        serving_runs = (
            run for run in self._runs.values() if run.is_lasting and isinf(run.stops_at_s)
        )
        return {run.name for run in serving_runs if run.percent(now_s) == 100}

    def crash(self) -> None:
        """End, with all that runs."""
        self.is_alive = False
        self._runs.clear()

    def wake(self) -> None:
        """Let calls that wait for an end see what has become of the worker."""
        self._wake_waiters()

    def fail(self, name: TaskName) -> None:
        """Let what runs of a task fail now."""
        for run in [run for run in self._runs.values() if run.name == name]:
            self._end_run(run, EndKind.FAILED)
        self._wake_waiters()

    def end_due_runs(self) -> None:
        """End runs whose time has come."""
        now_s = self._now_s()
        for run in list(self._runs.values()):
            ends_at_s, kind = self._first_end(run)
            if ends_at_s <= now_s:
                self._end_run(run, kind)

    async def wait_for_end(self, max_wait_s: float) -> None:
        """Wait until a run may have ended, or a new one or a stop may end sooner."""
        now_s = self._now_s()
        ends_at_s = min((self._first_end(run)[0] for run in self._runs.values()), default=now_s + 9)
        wait_s = max(0.001, min(max_wait_s, ends_at_s - now_s))
        state_changed = self._state_changed
        # Not `wait_for`, which loses a cancellation that comes with the state_changed.
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
        """Carry out a look."""
        self.end_due_runs()
        if token < self._token:
            return OrderOutcome(status=OrderStatus.FENCED, clock_ms=self.clock_ms)
        self._token = token
        for end in self._ended:
            if end.number <= acknowledged:
                self._fleet.note_acknowledged(end)
        self._ended = [end for end in self._ended if end.number > acknowledged]
        if lease_until_ms is not None:
            self._extend_lease(lease_until_ms)
        now_s = self._now_s()
        report = WorkerReport(
            clock_ms=self.clock_ms,
            running=tuple(
                RunningTask(name=run.name, run_id=run.run_id, percent=run.percent(now_s))
                for run in self._runs.values()
            ),
            ended=tuple(self._ended),
        )
        return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=self.clock_ms, report=report)

    def start(
        self, order: StartOrder, token: int, lease_until_ms: int, *, is_late: bool = False
    ) -> OrderOutcome:
        """Carry out a start; one that was held up is not judged by the capacity."""
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
        used_millicores = sum(self._fleet.cpu_millicores_of(name) for name, _ in self._runs)
        if self._is_over_capacity(used_millicores + self._fleet.cpu_millicores_of(run.name)):
            if self.is_guarded:
                return self._refuse(OrderStatus.NO_ROOM)
            if not is_late:
                self._fleet.note_overfilled(self, run.name)
        self._fleet.check_start(self, run.name)
        self._runs[(run.name, run.run_id)] = self._fleet.make_run(run.name, run.run_id)
        self._wake_waiters()
        return OrderOutcome(status=OrderStatus.OBEYED, clock_ms=self.clock_ms)

    def stop(self, order: StopOrder, token: int) -> OrderOutcome:
        """Carry out a stop."""
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

    def _refuse(self, status: OrderStatus) -> OrderOutcome:
        return OrderOutcome(status=status, clock_ms=self.clock_ms)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()


class TaskWorkers:
    """All workers, and a judge of what is ordered; implements `WorkerDirectory`.

    Args:
        rng: Draws lengths and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.workers: dict[str, TaskWorker] = {}
        self.unlisted: set[str] = set()
        self.changes = 0
        """Raised by tests that change a worker's view."""
        self.violations: list[str] = []
        self.started = 0
        self.work_s: dict[str, float] = {}
        self.cpu_millicores: dict[str | TaskName, int] = {}
        """What tasks ask of the processor, by task, or by job where its tasks ask the same."""
        self.after: dict[TaskName, tuple[TaskName, ...]] = {}
        self.lasting: set[str] = set()
        self.failing: set[TaskName] = set()
        self.cancelled: dict[str, float] = {}
        self.done: set[TaskName] = set()
        self.noted: set[TaskName] = set()
        self.begun: set[TaskName] = set()
        self.absences: dict[str, OrderStatus] = {}
        """What becomes of calls for workers that are over; by default they get no answer."""
        self.most_attempts = 0
        """Failed ends of a task after which no run of it may start; 0 for no limit."""
        self._acknowledged_failures: Counter[TaskName] = Counter()

    def add(self, view: WorkerView) -> TaskWorker:
        """Add a worker."""
        worker = self.workers[view.worker_id] = TaskWorker(view=view, fleet=self)
        return worker

    # ---- discovery

    @property
    def is_synced(self) -> bool:
        """Whether the list was read whole."""
        return True

    @property
    def version(self) -> int:
        """Rises with each change of the list, which tests may change at any time."""
        return hash(
            (
                self.changes,
                tuple(self.unlisted),
                tuple(one.is_alive for one in self.workers.values()),
            )
        )

    def workers_of(self, service: str) -> dict[str, WorkerView]:
        """Return the listed workers."""
        return {
            key: worker.view
            for key, worker in self.workers.items()
            if worker.is_alive and key not in self.unlisted and worker.view.service == service
        }

    # ---- the judge

    def cpu_millicores_of(self, name: TaskName) -> int:
        """Return what a task asks of the processor, in millicores."""
        return self.cpu_millicores.get(name, self.cpu_millicores.get(name.job_id, 1000))

    def make_run(self, name: TaskName, run_id: int) -> _Run:
        """Return a run of a task."""
        return _Run(
            name=name,
            run_id=run_id,
            work_s=self.work_s.get(name.job_id, 0.8) * self.rng.uniform(0.7, 1.4),
            began_at_s=asyncio.get_running_loop().time(),
            is_lasting=name.job_id in self.lasting,
            fails=name in self.failing,
        )

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        """Judge a start."""
        self.started += 1
        self.begun.add(name)
        now_s = asyncio.get_running_loop().time()
        for other in self.workers.values():
            if other.is_alive:
                other.end_due_runs()
            if other.is_alive and name in other.names():
                self.violations.append(f"{now_s:.3f} {name} runs twice at once")
        if name in self.noted:
            self.violations.append(f"{now_s:.3f} {name} starts after its end was acknowledged")
        if any(earlier not in self.done for earlier in self.after.get(name, ())):
            self.violations.append(f"{now_s:.3f} {name} starts before its turn")
        if self.most_attempts and self._acknowledged_failures[name] >= self.most_attempts:
            self.violations.append(f"{now_s:.3f} {name} starts after its last attempt has failed")
        if now_s > self.cancelled.get(name.job_id, now_s) + 3.0:
            self.violations.append(f"{now_s:.3f} {name} starts after its job was cancelled")

    def note_overfilled(self, worker: TaskWorker, name: TaskName) -> None:
        """Take note of a start that brings an unguarded worker over its capacity."""
        now_s = asyncio.get_running_loop().time()
        size = worker.view.cpu_millicores
        self.violations.append(f"{now_s:.3f} {name} brings a worker over its {size} millicores")

    def check_stop(self, worker: TaskWorker, name: TaskName) -> None:
        """Judge a stop of what runs; for judges that know more of the task."""

    def note_end(self, end: EndedTask) -> None:
        """Take note of an end."""
        if end.kind is EndKind.DONE:
            self.done.add(end.name)

    def note_acknowledged(self, end: EndedTask) -> None:
        """Take note that an end was acknowledged."""
        if end.kind is EndKind.DONE:
            self.noted.add(end.name)
        elif end.kind is EndKind.FAILED:
            self._acknowledged_failures[end.name] += 1
