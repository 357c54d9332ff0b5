"""The scheduler's model of workers, of runs on them, and of orders to them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, unique

from shallotworks.jobs import Incarnation, Step, TaskName

__all__ = [
    "AdviceRequest",
    "EndKind",
    "EndedTask",
    "MAX_CLOCK_SKEW_RATIO",
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
    """The entry of one incarnation of a worker in discovery.

    Args:
        worker_id: Identifies the worker.
        service: The pool that the worker belongs to.
        address: ``ip:port``.
        data_centre: The data centre of the worker.
        cpu_millicores: Processor capacity for all its tasks together.
        memory_mb: Memory capacity for all its tasks together.
        gpus: Accelerators for all its tasks together.
        labels: The kind of the worker, its rack, and other properties that a step may demand.
        rack: The failure domain of the worker within its data centre.
        is_draining: Whether the worker is about to leave and accepts no new task.
        born_ms: When this incarnation started, in milliseconds since 1970; ``None`` if unknown. See
            `Incarnation`.
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
    born_ms: int | None = None

    @property
    def incarnation(self) -> Incarnation:
        """Identifies this incarnation."""
        return Incarnation(worker_id=self.worker_id, born_ms=self.born_ms)


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
        ended: The ends that are not acknowledged yet, ordered by number.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


@unique
class OrderStatus(Enum):
    """Outcome of an order to a worker."""

    OBEYED = "obeyed"
    FENCED = "fenced"
    """The worker has seen an order of a later scheduler."""
    GONE = "gone"
    """Another incarnation answered, so this one and all its runs have ended."""
    NO_ROOM = "no-room"
    STALE_RUN = "stale-run"
    """The worker has seen this run or a later one stop or end."""
    TOO_LATE = "too-late"
    """The deadline of the order had passed on the worker's clock."""
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    """The worker did not carry out the order."""
    INVALID = "invalid"
    UNSENT = "unsent"
    """No connection to the intended incarnation was established, so no worker has received the
    order."""
    UNANSWERED = "unanswered"
    """The order may have been carried out, or may still be until its deadline has passed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderOutcome:
    """Outcome of one order.

    Args:
        status: The status of the order.
        clock_ms: The worker's clock if it answered, otherwise 0.
        report: The answer to a poll.
        detail: The message of the worker or of the connection.
        born_ms: When the incarnation that answered had started, in milliseconds since 1970;
            ``None`` if it did not say so.
    """

    status: OrderStatus
    clock_ms: int = 0
    report: WorkerReport | None = None
    detail: str = ""
    born_ms: int | None = None


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


MAX_CLOCK_SKEW_RATIO = 0.02
"""How slow a worker's clock may run. Source: the platform's page on running tasks."""
CLOCK_TOLERANCE_RATIO = 1.5 * MAX_CLOCK_SKEW_RATIO
"""Largest difference at which a clock is still taken for the same worker's."""
CLOCK_TOLERANCE_MS = 1_000
"""The report with which a clock is compared may have taken this long to arrive."""
UNKNOWN_STEP = Step(count=1)
"""Placeholder for the step of a run whose job, and therefore whose resource demand, is not
known."""


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
        "is_stop_requested",
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
        self.measurement = 0
        self.checkpoint = ""
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

    @property
    def is_serving(self) -> bool:
        """Whether the run is of a lasting task that serves its users."""
        return self.phase is RunPhase.RUNNING and self.percent >= 100


class Worker:
    """One incarnation of a worker, and the runs on it.

    Args:
        view: The entry of the worker in discovery.
        order_token: Fencing token of the orders to this incarnation.
    """

    __slots__ = (
        "acknowledged",
        "avoid_until_s",
        "clock_at_s",
        "clock_ms",
        "connection_closed_s",
        "cpu_used",
        "failed_jobs",
        "gpus_used",
        "has_answered_last_poll",
        "highest_seen_end",
        "is_cordoned",
        "is_fenced",
        "is_listed",
        "is_yielding",
        "isolated_runs",
        "lasting_allowed_from_s",
        "lease_ends_s",
        "memory_used",
        "order_token",
        "pause_until_s",
        "reported_s",
        "runs",
        "unknown_runs",
        "unsettled_ends",
        "view",
    )

    def __init__(self, *, view: WorkerView, order_token: int = 0) -> None:
        self.view = view
        self.order_token = order_token
        self.is_listed = True
        """Whether discovery lists the worker."""
        self.is_fenced = False
        """Whether this incarnation has seen its token, so that it refuses orders of earlier
        schedulers and orders that were sent to its earlier incarnations."""
        self.is_cordoned = False
        """Whether nothing is started here, because the worker is offered for removal or is being
        evacuated."""
        self.is_yielding = False
        """Whether late jobs are kept off the worker, because it is to return to its lender."""
        self.clock_ms = 0
        """The worker's clock in its last report."""
        self.clock_at_s = 0.0
        """Time on the scheduler's clock of that report."""
        self.lease_ends_s = 0.0
        """Time on the scheduler's clock until which the worker may hold a lease."""
        self.pause_until_s = 0.0
        """Nothing is started here before this time, because an order or a poll failed."""
        self.avoid_until_s = 0.0
        """The worker is used last before this time, because tasks failed or hung here."""
        self.lasting_allowed_from_s = 0.0
        """Lasting tasks are not placed here before this time, because an order to remove the worker
        may still arrive."""
        self.connection_closed_s: float | None = None
        """Time at which the worker closed its connections, if it has not answered since."""
        self.isolated_runs: list[Run] = []
        """Suspects of one step that may crash the worker; nothing else is started here until their
        probation is over."""
        self.failed_jobs: dict[str, float] = {}
        """Time at which a task of a job last failed here, by job id."""
        self.runs: dict[tuple[TaskName, int], Run] = {}
        self.cpu_used = 0
        self.memory_used = 0
        self.gpus_used = 0
        self.unknown_runs = 0
        """Number of runs whose resource demand is not known."""
        self.acknowledged = 0
        """Highest number of an end that was acknowledged to the worker."""
        self.highest_seen_end = 0
        """Highest number of an end that the worker reported."""
        self.reported_s = -1e9
        """Time of the worker's last report on the scheduler's clock."""
        self.has_answered_last_poll = False
        self.unsettled_ends: set[int] = set()
        """Numbers of the ends that must not be acknowledged yet: the store lacks a change of their
        job's progress that makes them needless."""

    @property
    def worker_id(self) -> str:
        """Identifies the worker, of which this is one incarnation."""
        return self.view.worker_id

    @property
    def incarnation(self) -> Incarnation:
        """Identifies this incarnation."""
        return self.view.incarnation

    def restart(self, view: WorkerView, *, order_token: int) -> Worker:
        """Return a later incarnation of this worker.

        It takes over only what this scheduler has decided about the worker, and nothing that the
        worker itself has reported.
        """
        restarted = Worker(view=view, order_token=order_token)
        restarted.is_listed = self.is_listed
        restarted.is_cordoned = self.is_cordoned
        restarted.is_yielding = self.is_yielding
        restarted.lasting_allowed_from_s = self.lasting_allowed_from_s
        return restarted

    def is_plausible_clock(self, clock_ms: int, *, sent_s: float, now_s: float) -> bool:
        """Whether an answer's clock can be that of the incarnation that reported last.

        Args:
            clock_ms: The clock in the answer.
            sent_s: When the call was sent, on the scheduler's clock in seconds.
            now_s: When it was answered.
        """
        earliest = self.clock_ms + 1000 * (sent_s - self.clock_at_s) * (1 - CLOCK_TOLERANCE_RATIO)
        latest = self.clock_ms + 1000 * (now_s - self.clock_at_s) * (1 + CLOCK_TOLERANCE_RATIO)
        return earliest - CLOCK_TOLERANCE_MS <= clock_ms <= latest + CLOCK_TOLERANCE_MS

    def fits(self, step: Step) -> bool:
        """Whether a task of the step fits beside the present runs."""
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
        """Time of the worker's last report or last confirmation of a start."""
        confirmed = (run.confirmed_s for run in self.runs.values())
        return max((self.reported_s, *(at_s for at_s in confirmed if at_s < math.inf)))

    @property
    def is_overfull(self) -> bool:
        """Whether the runs use more than the capacity, which may have shrunk."""
        view = self.view
        return (
            self.unknown_runs > 0
            or self.cpu_used > view.cpu_millicores
            or self.memory_used > view.memory_mb
            or self.gpus_used > view.gpus
        )

    def fits_beside_lasting(self, step: Step) -> bool:
        """Whether a task of the step would fit after all tasks that end have ended."""
        lasting_only = Worker(view=self.view)
        for run in self.runs.values():
            if run.step.is_lasting:
                lasting_only.add(run)
        return lasting_only.fits(step)

    def shortfall_for(self, step: Step) -> float:
        """Return the larger of the missing processor and memory, as a ratio of the capacity."""
        cpu = self.cpu_used + step.cpu_millicores - self.view.cpu_millicores
        memory = self.memory_used + step.memory_mb - self.view.memory_mb
        return max(cpu / max(1, self.view.cpu_millicores), memory / max(1, self.view.memory_mb))

    def add(self, run: Run) -> None:
        """Count the room of a run as used."""
        self.runs[(run.name, run.run_id)] = run
        self._use(run.step, 1)

    def remove(self, run: Run) -> None:
        """Count the room of a run as free."""
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
    def end_to_acknowledge(self) -> int:
        """The highest number to acknowledge with the next poll; 0 for none.

        Each end is acknowledged only until a poll that does so is answered, and only directly after
        an answer of the incarnation that reported it. Where incarnations can't be told apart, a
        later one that received the poll would forget ends that nobody has read.
        """
        if not self.has_answered_last_poll or self.highest_settled <= self.acknowledged:
            return 0
        return self.highest_settled

    @property
    def highest_settled(self) -> int:
        """The highest number up to which all ends may be acknowledged."""
        return min(self.unsettled_ends) - 1 if self.unsettled_ends else self.highest_seen_end


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Order to start a run.

    Args:
        run: The run, which may be looked for on a later incarnation while the order is under way.
        incarnation: The only incarnation that may carry the order out.
        spec: The job specification as the caller wrote it.
        checkpoint: The checkpoint to resume from; empty to start from the beginning.
        ticket: Permit of the advice service; empty if none is needed.
    """

    run: Run
    incarnation: Incarnation
    spec: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """Order to stop a run.

    Args:
        run: The run.
        incarnation: The only incarnation that may carry the order out.
    """

    run: Run
    incarnation: Incarnation


@dataclass(frozen=True, slots=True, kw_only=True)
class AdviceRequest:
    """Request to the advice service: which workers may run a step.

    Args:
        step: The step, identified by its job, occurrence and number.
        worker_ids: The workers to ask about, the best first.
    """

    step: tuple[str, int, int]
    worker_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceOrder:
    """Order to run a filler at a percentage of its full speed.

    Args:
        run: The run.
        incarnation: The only incarnation that may carry the order out.
        percent: The speed.
    """

    run: Run
    incarnation: Incarnation
    percent: int
