"""Tasks that the worker stand-in runs under leases."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum, unique

__all__ = ["Task", "TaskOrder", "TaskState", "TaskTable"]


@unique
class TaskState(Enum):
    """State of a task."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The lease expired without a renewal, and the worker stopped the task."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskOrder:
    """An order to run a task.

    Args:
        task_id: Unique id of the task.
        epoch: Number that increases with every placement of the task; an older one is refused.
        lease_ttl_s: The task is stopped if its lease is not renewed for this long.
        run_s: Actual duration of the task at full speed.
        memory_bytes: Actual memory use of the task.
        start_s: Progress, in seconds of ``run_s``, that an earlier checkpoint saved.
    """

    task_id: str
    epoch: int
    lease_ttl_s: float
    run_s: float
    memory_bytes: int = 0
    start_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Task:
    """A task in the table of a worker.

    Args:
        order: The order that started the task.
        state: State of the task.
        progress_s: Progress in seconds of ``run_s``.
        checkpoint_s: Progress in seconds of ``run_s`` that the last checkpoint saved.
        speed: 1 at full speed, less if throttled.
        renewed_at_s: Time of the lease's last renewal.
        advanced_at_s: Time at which ``progress_s`` was computed.
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
    """All tasks of one worker; the progress of a task is computed when the task is accessed.

    Args:
        clock_s: Returns the monotonic time in seconds.
        fail_all: Whether every task fails as soon as it starts.
    """

    clock_s: Callable[[], float]
    fail_all: bool = False
    _tasks: dict[str, Task] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def start(self, order: TaskOrder) -> bool:
        """Start a task; refused if its epoch is not newer, unless the same order is repeated."""
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
        """Renew a task's lease; refused for another epoch or if the task does not run."""
        return self._update_running(
            task_id, epoch, lambda task: replace(task, renewed_at_s=self.clock_s())
        )

    def throttle(self, task_id: str, epoch: int, speed: float) -> bool:
        """Set a task's speed; refused unless it is above 0 and at most 1."""
        if not 0 < speed <= 1:
            return False
        return self._update_running(task_id, epoch, lambda task: replace(task, speed=speed))

    def checkpoint(self, task_id: str, epoch: int) -> bool:
        """Save a task's progress as its checkpoint."""
        return self._update_running(
            task_id, epoch, lambda task: replace(task, checkpoint_s=task.progress_s)
        )

    def stop(self, task_id: str, epoch: int) -> bool:
        """Stop a running task."""
        return self._update_running(
            task_id, epoch, lambda task: replace(task, state=TaskState.STOPPED)
        )

    def all(self) -> tuple[Task, ...]:
        """Return all tasks with their current state and progress."""
        with self._lock:
            self._tasks = {name: self._with_progress(task) for name, task in self._tasks.items()}
            return tuple(self._tasks.values())

    def clear(self) -> None:
        """Remove all tasks, as a reboot does."""
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
