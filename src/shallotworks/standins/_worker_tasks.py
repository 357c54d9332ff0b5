"""Tasks under leases at the worker stand-in."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum, unique

__all__ = ["Task", "TaskOrder", "TaskState", "TaskTable"]


@unique
class TaskState(Enum):
    """Where a task stands."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """Its lease was not renewed; the worker has stopped it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskOrder:
    """What a worker is asked to run.

    Args:
        task_id: Unique name.
        epoch: Grows with every placement of the task; an older one is refused.
        lease_ttl_s: The task is stopped when its lease is not renewed for this long.
        run_s: How long it really runs at full speed.
        memory_bytes: Memory it really uses.
        start_s: Part of ``run_s`` that an earlier checkpoint covers.
    """

    task_id: str
    epoch: int
    lease_ttl_s: float
    run_s: float
    memory_bytes: int = 0
    start_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Task:
    """A task as the worker sees it.

    Args:
        order: What was asked.
        state: Where it stands.
        progress_s: Part of ``run_s`` done.
        checkpoint_s: Part of ``run_s`` that survives a stop.
        speed: 1 at full speed, less when throttled.
        renewed_at_s: When the lease was last renewed.
        advanced_at_s: When ``progress_s`` was worked out.
    """

    order: TaskOrder
    state: TaskState = TaskState.RUNNING
    progress_s: float = 0.0
    checkpoint_s: float = 0.0
    speed: float = 1.0
    renewed_at_s: float = 0.0
    advanced_at_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class TaskTable:
    """All tasks of one worker; progress is worked out from the clock when it is asked for.

    Args:
        clock_s: Returns the time.
        fail_all: Whether every task fails as soon as it starts.
    """

    clock_s: Callable[[], float]
    fail_all: bool = False
    _tasks: dict[str, Task] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def start(self, order: TaskOrder) -> bool:
        """Start a task; refused where this or a newer epoch of it was started."""
        with self._lock:
            present = self._tasks.get(order.task_id)
            if present is not None and present.order.epoch >= order.epoch:
                return present.order == order
            now_s = self.clock_s()
            self._tasks[order.task_id] = Task(
                order=order,
                state=TaskState.FAILED if self.fail_all else TaskState.RUNNING,
                progress_s=order.start_s,
                checkpoint_s=order.start_s,
                renewed_at_s=now_s,
                advanced_at_s=now_s,
            )
            return True

    def renew(self, task_id: str, epoch: int) -> bool:
        """Renew a task's lease; refused for another epoch or a task that has ended."""
        return self._update_running(
            task_id, epoch, lambda task: replace(task, renewed_at_s=self.clock_s())
        )

    def throttle(self, task_id: str, epoch: int, speed: float) -> bool:
        """Set a task's speed, above 0 and at most 1."""
        if not 0 < speed <= 1:
            return False
        return self._update_running(task_id, epoch, lambda task: replace(task, speed=speed))

    def checkpoint(self, task_id: str, epoch: int) -> bool:
        """Keep what a task has done so far."""
        return self._update_running(
            task_id, epoch, lambda task: replace(task, checkpoint_s=task.progress_s)
        )

    def stop(self, task_id: str, epoch: int) -> bool:
        """Stop a task."""
        return self._update_running(
            task_id, epoch, lambda task: replace(task, state=TaskState.STOPPED)
        )

    def all(self) -> tuple[Task, ...]:
        """Return all tasks as they stand now."""
        with self._lock:
            self._tasks = {name: self._with_progress(task) for name, task in self._tasks.items()}
            return tuple(self._tasks.values())

    def clear(self) -> None:
        """Forget everything, as a reboot does."""
        with self._lock:
            self._tasks.clear()

    def _update_running(self, task_id: str, epoch: int, change: Callable[[Task], Task]) -> bool:
        with self._lock:
            task = self._tasks.get(task_id)
            if task is None or task.order.epoch != epoch:
                return False
            task = self._with_progress(task)
            if task.state is TaskState.RUNNING:
                self._tasks[task_id] = change(task)
                return True
            self._tasks[task_id] = task
            return False

    def _with_progress(self, task: Task) -> Task:
        if task.state is not TaskState.RUNNING:
            return task
        now_s = self.clock_s()
        expires_at_s = task.renewed_at_s + task.order.lease_ttl_s
        runs_until_s = min(now_s, expires_at_s)
        progress_s = task.progress_s + max(0.0, runs_until_s - task.advanced_at_s) * task.speed
        if progress_s >= task.order.run_s:
            return replace(task, state=TaskState.DONE, progress_s=task.order.run_s)
        state = TaskState.LAPSED if now_s >= expires_at_s else TaskState.RUNNING
        return replace(task, state=state, progress_s=progress_s, advanced_at_s=now_s)
