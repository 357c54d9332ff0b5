"""What the scheduler knows of workers and of the runs of tasks on them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, unique

from shallotworks.jobs import Step, TaskName

__all__ = [
    "AdviceRequest",
    "EndKind",
    "EndedTask",
    "OrderStatus",
    "OrderOutcome",
    "PaceOrder",
    "Run",
    "RunPhase",
    "RunningTask",
    "StartOrder",
    "StopOrder",
    "Worker",
    "WorkerReport",
    "WorkerView",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerView:
    """What discovery says of one incarnation of a worker.

    Args:
        worker_id: Names this incarnation; a worker that restarts gets a new one.
        service: The pool that it belongs to.
        address: ``ip:port``.
        data_centre: Where it is.
        cpu_millicores: Processor that its tasks may use together.
        memory_mb: Memory that its tasks may use together.
        gpus: Accelerators that its tasks may use together.
        labels: Its kind, its rack, and whatever else a step may demand.
        rack: Its failure domain within the data centre.
        is_draining: It is about to leave and takes no new task.
    """

    worker_id: str
    service: str
    address: str
    data_centre: str = ""
    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0
    labels: frozenset[str] = frozenset()
    rack: str = ""
    is_draining: bool = False


@unique
class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The worker's lease ran out."""
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """The other members of its gang did not come in time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningTask:
    """One task that a worker says it runs.

    Args:
        name: The task.
        run_id: Which of its runs.
        checkpoint: Its latest; empty for none.
        percent: How far it is; a lasting task is at work at 100.
        figure: Tail of the response times in milliseconds for a task with a target, else the
            millicores in use, over the last half second.
    """

    name: TaskName
    run_id: int
    checkpoint: str = ""
    percent: int = 0
    figure: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedTask:
    """One end that a worker tells until it is acknowledged.

    Args:
        number: Rises over the worker's ends.
        name: The task.
        run_id: Which of its runs.
        kind: How it ended.
        checkpoint: Its last; empty for none.
    """

    number: int
    name: TaskName
    run_id: int
    kind: EndKind
    checkpoint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """A worker's answer to a look.

    Args:
        clock_ms: The worker's own steady clock.
        running: What it runs.
        ended: Ends that are not acknowledged yet, by number.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


@unique
class OrderStatus(Enum):
    """What became of an order to a worker."""

    OBEYED = "obeyed"
    FENCED = "fenced"
    """A later scheduler has given orders there."""
    GONE = "gone"
    """Another incarnation answered: this one is over, with all that it ran."""
    NO_ROOM = "no-room"
    STALE_RUN = "stale-run"
    """The worker has seen this run, or a later one, stopped or ended."""
    TOO_LATE = "too-late"
    """The order's time had passed on the worker's clock."""
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    """The worker did nothing."""
    INVALID = "invalid"
    UNSENT = "unsent"
    """No connection came about, so the worker knows nothing of it."""
    UNANSWERED = "unanswered"
    """It may have been carried out, or may be until its time has passed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderOutcome:
    """Outcome of one order.

    Args:
        status: What became of it.
        clock_ms: The worker's clock, where it answered; else 0.
        report: The answer to a look.
        detail: What the worker or the connection said.
    """

    status: OrderStatus
    clock_ms: int = 0
    report: WorkerReport | None = None
    detail: str = ""


@unique
class RunPhase(Enum):
    """Phases of a run, as far as the scheduler knows."""

    RESERVED = "reserved"
    """Room is held for it; its start has not been sent."""
    STARTING = "starting"
    RUNNING = "running"
    UNANSWERED = "unanswered"
    """The start was not answered: it may run, or may begin until the order's time has passed."""
    STOPPING = "stopping"
    STOPPED = "stopped"
    """The stop was obeyed; the end, or its absence, is still to be seen."""


UNKNOWN_STEP = Step(count=1)
"""Stands for the step of a run whose job is not known any more, nor what it takes of a worker."""


class Run:
    """One run of a task on a worker; it holds room there until its end is certain.

    Args:
        name: The task.
        run_id: Rises over the task's runs.
        step: The task's step.
        worker_id: Where.
        phase: Its phase.
        since_s: When it was started, on the scheduler's clock.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_s",
        "figure",
        "is_stop_requested",
        "missing",
        "name",
        "pace_percent",
        "paced_s",
        "percent",
        "phase",
        "phase_s",
        "progressed_s",
        "run_id",
        "since_s",
        "step",
        "stop_reason",
        "stop_sent_s",
        "worker_id",
    )

    def __init__(
        self,
        *,
        name: TaskName,
        run_id: int,
        step: Step,
        worker_id: str,
        phase: RunPhase,
        since_s: float,
    ) -> None:
        self.name = name
        self.run_id = run_id
        self.step = step
        self.worker_id = worker_id
        self.phase = phase
        self.phase_s = since_s
        self.since_s = since_s
        self.confirmed_s = since_s if phase is RunPhase.RUNNING else math.inf
        """When its worker first said that it runs."""
        self.progressed_s = since_s
        self.percent = 0
        self.figure = 0
        self.checkpoint = ""
        self.missing = 0
        self.is_stop_requested = False
        self.stop_reason = ""
        self.stop_sent_s = -1e9
        self.pace_percent = 100
        self.paced_s = -1e9

    def enter(self, phase: RunPhase, now_s: float) -> None:
        """Change its phase."""
        self.phase = phase
        self.phase_s = now_s
        self.missing = 0
        if phase is RunPhase.RUNNING:
            self.confirmed_s = min(self.confirmed_s, now_s)

    @property
    def is_serving(self) -> bool:
        """Whether a lasting task serves."""
        return self.phase is RunPhase.RUNNING and self.percent >= 100


class Worker:
    """One incarnation of a worker, and what runs on it.

    Args:
        view: What discovery says of it.
    """

    __slots__ = (
        "acknowledged",
        "avoid_until_s",
        "clock_at_s",
        "clock_ms",
        "closed_s",
        "cpu_used",
        "failed_jobs",
        "gpus_used",
        "is_cordoned",
        "is_fenced",
        "is_listed",
        "is_yielding",
        "isolated",
        "lasting_from_s",
        "lease_ends_s",
        "memory_used",
        "pause_until_s",
        "reported_s",
        "runs",
        "seen_ends",
        "unknown_runs",
        "unsettled",
        "view",
    )

    def __init__(self, *, view: WorkerView) -> None:
        self.view = view
        self.is_listed = True
        self.is_fenced = False
        self.is_cordoned = False
        self.is_yielding = False
        self.clock_ms = 0
        self.clock_at_s = 0.0
        self.lease_ends_s = 0.0
        self.pause_until_s = 0.0
        self.avoid_until_s = 0.0
        self.lasting_from_s = 0.0
        """Lasting tasks are not placed here before: an order to take it away may still come."""
        self.closed_s: float | None = None
        """When it closed its connections, if it has not answered since."""
        self.isolated: Run | None = None
        """A run that may crash the worker; nothing else is started here until it has not."""
        self.failed_jobs: dict[str, float] = {}
        self.runs: dict[tuple[TaskName, int], Run] = {}
        self.cpu_used = 0
        self.memory_used = 0
        self.gpus_used = 0
        self.unknown_runs = 0
        """Runs of which it is not known what they take."""
        self.acknowledged = 0
        self.seen_ends = 0
        self.reported_s = -1e9
        self.unsettled: set[int] = set()
        """Numbers of ends that must not be acknowledged before a job's progress is stored."""

    @property
    def worker_id(self) -> str:
        """Names this incarnation."""
        return self.view.worker_id

    def fits(self, step: Step) -> bool:
        """Whether a task of the step fits beside what runs."""
        if self.unknown_runs:
            return False
        cpu = 0 if step.is_filler else step.cpu_millicores
        return (
            self.cpu_used + cpu <= self.view.cpu_millicores
            and self.memory_used + step.memory_mb <= self.view.memory_mb
            and self.gpus_used + step.gpus <= self.view.gpus
        )

    @property
    def last_seen_s(self) -> float:
        """When it last reported, or confirmed a start."""
        confirmed = (run.confirmed_s for run in self.runs.values())
        return max((self.reported_s, *(at_s for at_s in confirmed if at_s < math.inf)))

    @property
    def is_overfull(self) -> bool:
        """Whether what runs takes more than the capacity, which may have shrunk."""
        view = self.view
        return (
            self.unknown_runs > 0
            or self.cpu_used > view.cpu_millicores
            or self.memory_used > view.memory_mb
            or self.gpus_used > view.gpus
        )

    def fits_beside_lasting(self, step: Step) -> bool:
        """Whether a task of the step would fit once all tasks that end are over."""
        lasting_only = Worker(view=self.view)
        for run in self.runs.values():
            if run.step.is_lasting:
                lasting_only.add(run)
        return lasting_only.fits(step)

    def shortfall_for(self, step: Step) -> float:
        """Return the larger part of its processor and memory that is missing for a task."""
        cpu = self.cpu_used + step.cpu_millicores - self.view.cpu_millicores
        memory = self.memory_used + step.memory_mb - self.view.memory_mb
        return max(cpu / max(1, self.view.cpu_millicores), memory / max(1, self.view.memory_mb))

    def add(self, run: Run) -> None:
        """Count a run's room as used."""
        self.runs[(run.name, run.run_id)] = run
        self._use(run.step, 1)

    def remove(self, run: Run) -> None:
        """Count a run's room as free."""
        del self.runs[(run.name, run.run_id)]
        self._use(run.step, -1)

    def _use(self, step: Step, sign: int) -> None:
        if step is UNKNOWN_STEP:
            self.unknown_runs += sign
        if not step.is_filler:
            self.cpu_used += sign * step.cpu_millicores
        self.memory_used += sign * step.memory_mb
        self.gpus_used += sign * step.gpus

    @property
    def highest_settled(self) -> int:
        """The highest number of an end that, with all before it, may be acknowledged."""
        return min(self.unsettled) - 1 if self.unsettled else self.seen_ends


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Start a run.

    Args:
        run: The run.
        spec: The caller's text.
        checkpoint: Where it goes on; empty for the beginning.
        ticket: Leave of the advice service; empty where none is needed.
    """

    run: Run
    spec: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """Stop a run."""

    run: Run


@dataclass(frozen=True, slots=True, kw_only=True)
class AdviceRequest:
    """Ask which workers may run a step.

    Args:
        step: The step, as its job, occurrence and number.
        worker_ids: Workers to ask about, the best first.
    """

    step: tuple[str, int, int]
    worker_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceOrder:
    """Let a filler work at this share of its speed, in percent."""

    run: Run
    percent: int
