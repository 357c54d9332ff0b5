"""What a worker reports of its tasks when it answers a poll."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from shallotworks.jobs import TaskName

__all__ = ["EndKind", "EndedTask", "RunningTask", "WorkerReport"]


@unique
class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The worker's lease expired."""
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """The other members of its gang did not start in time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningTask:
    """A task that a worker reports as running.

    Args:
        name: The task.
        run_id: The run of the task.
        checkpoint: The latest checkpoint; empty for none.
        percent: Progress of the task; a lasting task serves its users at 100.
        measurement: Measured over the last half second: the tail of the response times in
            milliseconds for a task with a target, otherwise the processor use in millicores.
    """

    name: TaskName
    run_id: int
    checkpoint: str = ""
    percent: int = 0
    measurement: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedTask:
    """The end of a run, which a worker reports until it is acknowledged.

    Args:
        number: Increases with each end on the worker.
        name: The task.
        run_id: The run of the task.
        kind: How the run ended.
        checkpoint: The last checkpoint; empty for none.
    """

    number: int
    name: TaskName
    run_id: int
    kind: EndKind
    checkpoint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """A worker's answer to a poll.

    Args:
        clock_ms: The worker's own monotonic clock.
        running: The tasks that run on the worker.
        ended: The ends that are not acknowledged yet, ordered by number; the first of them if
            ``has_more_ends``.
        has_more_ends: Whether the answer may leave out ends. They are reported once those before
            them are acknowledged. A run that is in neither list may be active or have ended.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    has_more_ends: bool = False
