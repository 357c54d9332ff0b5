"""Reports which tasks wait, since when and why; no network calls.

The reasons let an on-call engineer who sees that a task doesn't run tell three cases apart: its
scheduler may not start it yet, finds no worker, or restricts the workers itself.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from shallotworks.jobs import Resources, TaskName
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics

from ._placement import Placement
from ._scheduler_state import SchedulerState
from ._tracked_jobs import TrackedStep
from ._wait_reason import WaitReason

__all__ = [
    "RecoveryWait",
    "TaskWait",
    "WaitSummary",
    "WaitMonitor",
    "first_names",
    "tasks_recovering",
    "waiting_reason",
]

MIN_LOGGED_WAIT_S = 0.9
"""Waits are logged from this duration on. Reports are a second apart, so a wait that two
consecutive reports find is logged."""
MAX_NAMED_WORKERS = 5
"""Workers named in one log line."""
MAX_EXAMINED_KINDS = 64
"""Kinds of steps examined for one report. To find that none of 100 full workers has room for 64
kinds takes 2.5 ms of the event loop."""
MAX_TIMED_TASKS = 256
"""Waiting tasks of a step whose waits are measured. Tasks that wait again come after all others, so
that the first ones have waited longest."""
MS_PER_S = 1000
_RANKS = {reason: rank for rank, reason in enumerate(WaitReason)}


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskWait:
    """A waiting task.

    Args:
        name: The task.
        reason: Why it waits.
        is_lasting: Whether it serves users as long as it runs.
        waited_s: Time in seconds that this scheduler has seen it wait.
    """

    name: TaskName
    reason: WaitReason
    is_lasting: bool
    waited_s: float

    def fields(self, prefix: str = "") -> dict[str, object]:
        """Return the wait as fields of a log line.

        Args:
            prefix: Prepended to the name of each field.
        """
        return {
            f"{prefix}id": self.name.job_id,
            f"{prefix}task": list(self.name[1:]),
            f"{prefix}reason": self.reason.value,
            f"{prefix}wait_s": round(self.waited_s, 1),
        }


@dataclass(frozen=True, slots=True, kw_only=True)
class RecoveryWait:
    """What a scheduler waits for before it starts tasks of earlier epochs.

    Args:
        unseen: Ids of the workers that have not answered it yet, in order.
        left_s: Time in seconds until all runs on the last of these workers must have ended.
    """

    unseen: tuple[str, ...]
    left_s: float

    def fields(self) -> dict[str, object]:
        """Return the wait as fields of a log line."""
        return {
            "unseen_workers": len(self.unseen),
            "unseen_named": first_names(self.unseen, MAX_NAMED_WORKERS),
            "recovery_left_s": round(self.left_s, 1),
        }


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitSummary:
    """The tasks of one service that wait at one point in time.

    Args:
        counts: Number of tasks by reason; reasons without tasks are omitted.
        lasting: Number of lasting tasks among them.
        longest: The task that has waited longest; of equal waits a lasting task.
        longest_lasting: The lasting task that has waited longest.
        recovery: What the scheduler waits for, if tasks wait with `WaitReason.RECOVERY`.
    """

    counts: tuple[tuple[WaitReason, int], ...] = ()
    lasting: int = 0
    longest: TaskWait | None = None
    longest_lasting: TaskWait | None = None
    recovery: RecoveryWait | None = None

    @property
    def has_long_wait(self) -> bool:
        """Whether a task has waited long enough to be logged."""
        return self.longest is not None and self.longest.waited_s >= MIN_LOGGED_WAIT_S

    def fields(self) -> dict[str, object]:
        """Return the summary as a bounded number of fields of a log line."""
        fields: dict[str, object] = {
            "tasks": sum(count for _, count in self.counts),
            "tasks_lasting": self.lasting,
            "tasks_by_reason": {reason.value: count for reason, count in self.counts},
        }
        if self.longest is not None:
            fields |= self.longest.fields() | {"is_lasting": self.longest.is_lasting}
        if self.longest_lasting is not None:
            fields |= self.longest_lasting.fields("lasting_")
        if self.recovery is not None:
            fields |= self.recovery.fields()
        return fields


def waiting_reason(
    scheduler_state: SchedulerState, step: TrackedStep, *, now_s: float, wall_s: float
) -> WaitReason:
    """Return why the waiting tasks of a step that may be started wait.

    If all workers are rejected, the reason of the worker that came closest is returned. Otherwise
    the reason of full workers would hide that an idle one is cordoned.

    Args:
        scheduler_state: The known jobs, runs and workers.
        step: The step.
        now_s: The scheduler's clock in seconds.
        wall_s: Time of day in seconds since 1970.
    """
    if step.step.is_gang and len(step.waiting) < step.step.count:
        return WaitReason.GANG
    if step.not_before_s > now_s:
        return WaitReason.REFUSED
    team, start = step.tracked_job.job.team, Resources.of_smallest_start(step.step)
    if not scheduler_state.team_rooms.has_room(team, start):
        return WaitReason.TEAM_LIMIT
    placement = Placement.of(step, now_s=now_s, wall_s=wall_s)
    closest = WaitReason.UNLISTED
    for worker in scheduler_state.workers.values():
        rejection_reason = placement.rejection_reason(worker)
        if rejection_reason is None:
            return _reason_beside_room(step)
        if rejection_reason is not closest and _RANKS[rejection_reason] > _RANKS[closest]:
            closest = rejection_reason
    if closest is WaitReason.ROOM and _is_held_back_by_team(scheduler_state, step):
        return WaitReason.TEAM_SHARE
    return closest


def _is_held_back_by_team(scheduler_state: SchedulerState, step: TrackedStep) -> bool:
    """Whether tasks of other teams come before those of a step because of its team."""
    tracked_job = step.tracked_job
    if not scheduler_state.are_teams_competing or step.step.is_lasting:
        return False
    return tracked_job.is_beyond_weight or tracked_job.job.team in scheduler_state.teams_at_share


def _reason_beside_room(step: TrackedStep) -> WaitReason:
    """Return why tasks of a step wait although a worker may run one of them."""
    if step.step.is_gang:
        return WaitReason.GANG
    return WaitReason.SUSPECT if step.tracked_job.progress.lost else WaitReason.READY


def tasks_recovering(scheduler_state: SchedulerState) -> int:
    """Return how many tasks wait until recovery is over."""
    return sum(len(step.waiting) for step in _steps_in_recovery(scheduler_state))


def first_names(worker_ids: Iterable[str], most: int) -> list[str]:
    """Return the first worker ids in sorted order, for a log line.

    Args:
        worker_ids: Ids of workers.
        most: Maximum number of ids returned.
    """
    return sorted(worker_ids)[:most]


def _steps_in_recovery(scheduler_state: SchedulerState) -> Iterator[TrackedStep]:
    """Yield the steps with waiting tasks that the scheduler state doesn't open during recovery."""
    if not scheduler_state.pending_recovery:
        return
    startable = set(scheduler_state.open_steps())
    for entry in scheduler_state.tracked_jobs.values():
        for step in entry.steps.values():
            if step.waiting and step not in startable:
                yield step


class WaitMonitor:
    """Observes the waiting tasks of one service while its scheduler is active.

    A wait is measured from the first report that finds it, so it may be longer by the interval
    between two reports. A wait that is interrupted by a run between two reports counts as one.

    Args:
        scheduler_state: The known jobs, runs and workers.
        metrics: Counts the time that tasks wait by reason, in milliseconds times tasks. The rate of
            a counter per second, divided by 1,000, is the number of waiting tasks. A gauge would
            keep the last value of a scheduler that has ended.
        log: Receives a line for each report that finds a long wait.
    """

    __slots__ = ("_last_report_s", "_log", "_metrics", "_scheduler_state", "_waiting_since_s")

    def __init__(
        self, *, scheduler_state: SchedulerState, metrics: Metrics, log: StructuredLog
    ) -> None:
        self._scheduler_state = scheduler_state
        self._metrics = metrics
        self._log = log
        self._waiting_since_s: dict[TrackedStep, dict[int, float]] = {}
        self._last_report_s: float | None = None

    def report(self, *, now_s: float, wall_s: float) -> None:
        """Summarise the waiting tasks, update the metrics, and log long waits.

        Args:
            now_s: The scheduler's clock in seconds.
            wall_s: Time of day in seconds since 1970.
        """
        summary = self.summarise(now_s=now_s, wall_s=wall_s)
        self._count(summary, now_s)
        if summary.has_long_wait:
            scheduler_state = self._scheduler_state
            fields = summary.fields()
            self._log.line(
                "tasks-waiting",
                service=scheduler_state.service,
                token=scheduler_state.token,
                **fields,
            )

    def summarise(self, *, now_s: float, wall_s: float) -> WaitSummary:
        """Return the tasks that wait now.

        Args:
            now_s: The scheduler's clock in seconds.
            wall_s: Time of day in seconds since 1970.
        """
        held, startable = list(_steps_in_recovery(self._scheduler_state)), list(
            self._scheduler_state.open_steps()
        )
        self._update_waiting_since([*held, *startable], now_s)
        # Steps that have waited longest are examined first, before the bound is reached.
        startable.sort(key=lambda step: (self._oldest_s(step), not step.step.is_lasting))
        reason_finder = _ReasonFinder(
            scheduler_state=self._scheduler_state, now_s=now_s, wall_s=wall_s
        )
        waits = [_StepWait(step, WaitReason.RECOVERY, self._oldest_s(step)) for step in held]
        waits += [
            _StepWait(step, reason_finder.reason(step), self._oldest_s(step)) for step in startable
        ]
        lasting = [wait for wait in waits if wait.step.step.is_lasting]
        return WaitSummary(
            counts=_count_tasks(waits),
            lasting=sum(len(wait.step.waiting) for wait in lasting),
            longest=self._longest(waits, now_s),
            longest_lasting=self._longest(lasting, now_s),
            recovery=self._recovery(now_s) if held else None,
        )

    def _update_waiting_since(self, steps: list[TrackedStep], now_s: float) -> None:
        earlier, self._waiting_since_s = self._waiting_since_s, {}
        for step in steps:
            known = earlier.get(step, {})
            timed = step.waiting[:MAX_TIMED_TASKS]
            self._waiting_since_s[step] = {index: known.get(index, now_s) for index in timed}

    def _oldest_s(self, step: TrackedStep) -> float:
        return min(self._waiting_since_s[step].values())

    def _longest(self, waits: list[_StepWait], now_s: float) -> TaskWait | None:
        if not waits:
            return None
        wait = min(waits, key=lambda one: (one.since_s, not one.step.step.is_lasting))
        since_s = self._waiting_since_s[wait.step]
        return TaskWait(
            name=wait.step.name(min(since_s, key=lambda index: (since_s[index], index))),
            reason=wait.reason,
            is_lasting=wait.step.step.is_lasting,
            waited_s=now_s - wait.since_s,
        )

    def _recovery(self, now_s: float) -> RecoveryWait:
        state = self._scheduler_state
        pending = sorted(state.pending_recovery)
        ends_s = max(state.recovery_ends_s(worker_id) or now_s for worker_id in pending)
        return RecoveryWait(unseen=tuple(pending), left_s=max(0.0, ends_s - now_s))

    def _count(self, summary: WaitSummary, now_s: float) -> None:
        last_s, self._last_report_s = self._last_report_s, now_s
        if last_s is None:
            return
        passed_ms = round((now_s - last_s) * MS_PER_S)
        for reason, tasks in summary.counts:
            name = f"scheduler.waiting_task_ms.{self._scheduler_state.service}.{reason.value}"
            self._metrics.count(name, tasks * passed_ms)


class _StepWait(NamedTuple):
    """The waiting tasks of one step, which share one reason."""

    step: TrackedStep
    reason: WaitReason
    since_s: float


class _Kind(NamedTuple):
    """All properties of a step that decide about workers; steps of one kind share one reason."""

    cpu_millicores: int
    memory_mb: int
    gpus: int
    label: str
    is_filler: bool
    is_lasting: bool
    is_hopeless: bool
    team: str
    is_beyond_weight: bool


class _ReasonFinder:
    """Finds the reasons for one report; examines each kind of step once, and a bounded number.

    In an overload thousands of steps wait, most of them of a few sizes. To compare each of them
    with each worker would block the event loop, and with it the renewal of the scheduler's lease.
    """

    __slots__ = ("_by_kind", "_examinations_left", "_now_s", "_scheduler_state", "_wall_s")

    def __init__(self, *, scheduler_state: SchedulerState, now_s: float, wall_s: float) -> None:
        self._scheduler_state = scheduler_state
        self._now_s = now_s
        self._wall_s = wall_s
        self._examinations_left = MAX_EXAMINED_KINDS
        self._by_kind: dict[_Kind, WaitReason] = {}

    def reason(self, step: TrackedStep) -> WaitReason:
        """Return why a step's tasks wait."""
        kind = self._kind(step)
        if kind is not None and kind in self._by_kind:
            return self._by_kind[kind]
        if self._examinations_left <= 0:
            return WaitReason.NOT_EXAMINED
        self._examinations_left -= 1
        reason = waiting_reason(self._scheduler_state, step, now_s=self._now_s, wall_s=self._wall_s)
        if kind is not None:
            self._by_kind[kind] = reason
        return reason

    def _kind(self, entry: TrackedStep) -> _Kind | None:
        """Return a step's kind, or ``None`` if its reason depends on its own tasks or permits."""
        step = entry.step
        if step.is_gang or step.most_per_worker or entry.tracked_job.job.policy.is_advised:
            return None
        if entry.tracked_job.progress.lost or entry.refusals:
            return None
        return _Kind(
            cpu_millicores=step.cpu_millicores,
            memory_mb=step.memory_mb,
            gpus=step.gpus,
            label=step.label,
            is_filler=step.is_filler,
            is_lasting=step.is_lasting,
            is_hopeless=entry.is_hopeless(self._wall_s),
            team=entry.tracked_job.job.team,
            is_beyond_weight=entry.tracked_job.is_beyond_weight,
        )


def _count_tasks(waits: list[_StepWait]) -> tuple[tuple[WaitReason, int], ...]:
    counts: Counter[WaitReason] = Counter()
    for wait in waits:
        counts[wait.reason] += len(wait.step.waiting)
    return tuple(sorted(counts.items(), key=lambda row: _RANKS[row[0]]))
