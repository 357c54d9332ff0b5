"""The scheduler's model of workers; the types of reports, runs and orders are named here too."""

from __future__ import annotations

import math
from dataclasses import dataclass

from shallotworks.jobs import Incarnation, Step, TaskName

from ._orders import AdviceRequest, OrderOutcome, OrderStatus, PaceOrder, StartOrder, StopOrder
from ._reports import EndedTask, EndKind, RunningTask, WorkerReport
from ._runs import UNKNOWN_STEP, Run, RunPhase

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
    "UNKNOWN_STEP",
    "Worker",
    "WorkerReport",
    "WorkerView",
]

MAX_CLOCK_SKEW_RATIO = 0.02
"""How slow a worker's clock may run. Source: the platform's page on running tasks."""
CLOCK_TOLERANCE_RATIO = 1.5 * MAX_CLOCK_SKEW_RATIO
"""Largest difference at which a clock is still taken for the same worker's."""
CLOCK_TOLERANCE_MS = 1_000
"""The report with which a clock is compared may have taken this long to arrive."""


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
        "earlier_lease_s",
        "evacuated_from_s",
        "failed_jobs",
        "first_reported_s",
        "gpus_used",
        "has_answered_last_poll",
        "highest_seen_end",
        "is_cordoned",
        "is_fenced",
        "is_listed",
        "is_slow",
        "is_yielding",
        "isolated_runs",
        "lasting_allowed_from_s",
        "lease_ends_s",
        "leased_from_s",
        "memory_used",
        "order_token",
        "pace",
        "pause_until_s",
        "rack_avoid_until_s",
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
        self.earlier_lease_s: float | None = None
        """Longest lease that an earlier epoch may have granted to this incarnation; ``None`` if it
        is not known."""
        self.is_fenced = False
        """Whether this incarnation has seen its token, so that it refuses orders of earlier
        schedulers and orders that were sent to its earlier incarnations."""
        self.is_cordoned = False
        """Whether nothing is started here, because the worker is offered for removal or is being
        evacuated."""
        self.evacuated_from_s: float | None = None
        """Time on the scheduler's clock since which lasting tasks are moved away; ``None`` if they
        may stay."""
        self.is_yielding = False
        """Whether late jobs are kept off the worker, because it is to return to its lender."""
        self.clock_ms = 0
        """The worker's clock in its last report."""
        self.clock_at_s = 0.0
        """Time on the scheduler's clock of that report."""
        self.lease_ends_s = 0.0
        """Time on the scheduler's clock until which the worker may hold a lease."""
        self.leased_from_s: float | None = None
        """Time at which the worker answered last, or at which the first lease was sent to it if it
        ran nothing then; leases end a lease's length after it. ``None`` if it runs nothing."""
        self.pause_until_s = 0.0
        """Nothing is started here before this time, because an order or a poll failed."""
        self.avoid_until_s = 0.0
        """The worker is used last before this time, because tasks failed or hung here."""
        self.is_slow = False
        """Whether the worker is used after others, because tasks advance slowly here. See
        `PaceEvidence`."""
        self.rack_avoid_until_s = 0.0
        """The worker is used after others before this time, because its rack has fallen silent. See
        `DarkRacks`."""
        self.pace = 1.0
        """The pace of tasks here against the pool's while the worker counts as slow."""
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
        self.first_reported_s = math.inf
        """Time of its first report on the scheduler's clock; infinite before."""
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

    def note_answered(self, now_s: float) -> None:
        """Record an answer of this incarnation, which is the last one if it is lost now."""
        self.leased_from_s = now_s if self.runs else None

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

    def count_fitting(self, step: Step, *, most: int) -> int:
        """Return how many tasks of the step fit beside the present runs, up to ``most``."""
        if not self.fits(step):
            return 0
        view = self.view
        rows = (
            (0 if step.is_filler else step.cpu_millicores, view.cpu_millicores - self.cpu_used),
            (step.memory_mb, view.memory_mb - self.memory_used),
            (step.gpus, view.gpus - self.gpus_used),
        )
        return min((free // demand for demand, free in rows if demand), default=most)

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
        return self.with_lasting_runs().fits(step)

    def with_lasting_runs(self) -> Worker:
        """Return the worker as it will be after all tasks that end have ended."""
        lasting_only = Worker(view=self.view)
        for run in self.runs.values():
            if run.step.is_lasting:
                lasting_only.add(run)
        return lasting_only

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
        if not self.runs:
            self.leased_from_s = None

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
