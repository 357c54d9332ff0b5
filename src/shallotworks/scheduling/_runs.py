"""Runs of tasks on workers."""

from __future__ import annotations

import math
from collections import deque
from enum import Enum, unique

from shallotworks.jobs import Incarnation, Step, TaskName

__all__ = ["UNKNOWN_STEP", "Run", "RunPhase"]

MARK_INTERVAL_S = 0.25
"""Progress marks are at least this far apart, but for the last one."""
MIN_MARKED_S = 3.0
MARKED_ESTIMATE_RATIO = 0.2
"""The marks reach back over at least `MIN_MARKED_S` and this ratio of the task's estimated time."""
UNKNOWN_STEP = Step(count=1)
"""Placeholder for the step of a run whose job, and therefore whose resource demand, is not
known."""


@unique
class RunPhase(Enum):
    """Phases of a run, as known to the scheduler."""

    RESERVED = "reserved"
    """Room is reserved for the run; its start has not been sent."""
    STARTING = "starting"
    RUNNING = "running"
    UNANSWERED = "unanswered"
    """The start was not answered: the run may be active, or may begin until the deadline of the
    order."""
    STOPPING = "stopping"
    STOPPED = "stopped"
    """The worker obeyed the stop. Its next report still has to show the end or the absence of the
    run."""


class Run:
    """One run of a task on a worker; it occupies room there until its end is certain.

    Args:
        name: The task.
        run_id: Increases with each run of the task.
        step: The step of the task.
        incarnation: The incarnation of the worker that the run is on.
        phase: The phase of the run.
        since_s: Time of the start on the scheduler's clock.
        team: The team of the job; empty for none.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_s",
        "incarnation",
        "is_copy",
        "is_paired",
        "is_stop_requested",
        "marks",
        "measurement",
        "missing_reports",
        "name",
        "pace_percent",
        "paced_s",
        "percent",
        "phase",
        "phase_s",
        "possibly_lost_on",
        "progressed_s",
        "run_id",
        "since_s",
        "step",
        "stop_reason",
        "stop_sent_s",
        "team",
    )

    def __init__(
        self,
        *,
        name: TaskName,
        run_id: int,
        step: Step,
        incarnation: Incarnation,
        phase: RunPhase,
        since_s: float,
        team: str = "",
    ) -> None:
        self.team = team
        self.name = name
        self.run_id = run_id
        self.step = step
        self.incarnation = incarnation
        self.possibly_lost_on: Incarnation | None = None
        """An earlier incarnation that may have carried out the start order, and has ended;
        ``None`` if it is certain which one did."""
        self.phase = phase
        self.phase_s = since_s
        """Time at which the present phase began."""
        self.since_s = since_s
        self.confirmed_s = since_s if phase is RunPhase.RUNNING else math.inf
        """Time at which its worker first confirmed that it runs; infinite until then."""
        self.progressed_s = since_s
        """Time at which the reported progress last changed."""
        self.percent = 0
        self.marks: deque[tuple[float, int]] = deque()
        """Times on the scheduler's clock, and the progress in percent that was reported then, of
        the last seconds."""
        self.measurement = 0
        self.checkpoint = ""
        self.is_copy = False
        """Whether the run is the second one of its task, beside the current one."""
        self.is_paired = False
        """Whether the task has had another run beside this one."""
        self.missing_reports = 0
        """Number of consecutive reports that did not list the run."""
        self.is_stop_requested = False
        self.stop_reason = ""
        self.stop_sent_s = -1e9
        self.pace_percent = 100
        self.paced_s = -1e9
        """Time of the last change of pace."""

    @property
    def worker_id(self) -> str:
        """The worker."""
        return self.incarnation.worker_id

    @property
    def is_unconfirmed(self) -> bool:
        """Whether a start was sent of which it is not known which incarnation received it.

        `WorkerOrders` keeps the order from later incarnations, except where incarnations can't be
        told apart.
        """
        return self.phase is not RunPhase.RESERVED and self.confirmed_s == math.inf

    def move_to_restarted(self, incarnation: Incarnation, now_s: float) -> None:
        """Look for the run on a later incarnation, which may have received the order."""
        self.possibly_lost_on = self.possibly_lost_on or self.incarnation
        self.incarnation = incarnation
        self.stop_sent_s = -1e9
        if self.phase is not RunPhase.STARTING:
            self.enter(RunPhase.UNANSWERED, now_s)

    def enter(self, phase: RunPhase, now_s: float) -> None:
        """Change the phase."""
        self.phase = phase
        self.phase_s = now_s
        self.missing_reports = 0
        if phase is RunPhase.RUNNING:
            self.confirmed_s = min(self.confirmed_s, now_s)

    def note_progress(self, percent: int, now_s: float) -> None:
        """Record the progress that a report gives, in percent."""
        if percent != self.percent:
            self.progressed_s = now_s
        self.percent = percent
        marks = self.marks
        if not marks and self.confirmed_s < now_s and not self.step.is_checkpointed:
            marks.append((self.confirmed_s, 0))
        if len(marks) > 1 and now_s - marks[-2][0] < MARK_INTERVAL_S:
            marks.pop()
        marks.append((now_s, percent))
        oldest_s = now_s - max(MIN_MARKED_S, self.step.estimated_s * MARKED_ESTIMATE_RATIO)
        while len(marks) > 2 and marks[1][0] <= oldest_s:
            marks.popleft()

    @property
    def is_serving(self) -> bool:
        """Whether the run is of a lasting task that serves its users."""
        return self.phase is RunPhase.RUNNING and self.percent >= 100
