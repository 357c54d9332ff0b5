"""Decides which runs to start, stop and pace, and when to request advice; no network calls."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

from shallotworks.jobs import Resources

from ._copy_starts import start_copies
from ._gangs import gang_checkpoint, place_gang
from ._model import (
    AdviceRequest,
    PaceOrder,
    Run,
    RunPhase,
    StartOrder,
    StopOrder,
    Worker,
)
from ._ordering import StepOrder, urgency
from ._pacing import pace_orders
from ._placement import Candidates, Placement
from ._room import Room
from ._scheduler_state import SchedulerState
from ._step_advice import StepAdvice
from ._tracked_jobs import TrackedStep
from ._wait_reason import WaitReason
from .teams import TeamRooms

__all__ = ["DecisionEngine", "Decision"]

STOP_RETRY_INTERVAL_S = 0.7
"""An unanswered stop is sent again after this time. A worker takes 0.2 to 0.9 s to carry out a
stop."""
MIN_STALL_TIMEOUT_S = 2.5
"""A task whose progress has not changed for this long is considered hung. The shortest tasks take
0.6 s, and a worker that is slowed down sixfold still advances a task of 2 s by 5 percent in this
time."""
STALL_TIMEOUT_ESTIMATE_RATIO = 0.3
"""The stall timeout is at least this ratio of the task's estimated time, because the percentage of
the longest tasks seldom changes."""
MAX_ADVICE_REQUESTS = 4
"""Requests for advice under way at the same time. The advice service handles one at a time of each
instance, so more would only wait there, and name workers whose load has changed meanwhile."""
MIN_DRAIN_REMAINING_S = 2.0
"""A draining worker keeps serving for at least this long. A checkpointed task that needs longer is
moved at once."""
EVACUATION_WAIT_S = 3.5
"""A lasting task waits this long for a place before it is stopped to be moved. Workers whose offer
was withdrawn take lasting tasks within this time."""
DRAIN_WAIT_S = 1.1
"""On a draining worker it waits no longer than this, so that the stop ends before the worker, which
serves for 2 s at least, has left. A stop takes up to 0.9 s."""
MAX_STARTS_PER_DECISION = 64
"""Tasks started in one decision; a gang is never split. The remaining tasks wait for the next
decision, so that the process can first renew leases, poll workers and publish the demand of its
pool."""

_REASONS_BEFORE_PERMIT = frozenset(
    {WaitReason.UNLISTED, WaitReason.UNREACHED, WaitReason.DRAINING, WaitReason.LABEL}
)
"""Reasons to reject a worker that a permit doesn't overcome."""

Decision = StartOrder | StopOrder | PaceOrder | AdviceRequest
"""One order or advice request that a decision yields."""


class DecisionEngine:
    """Decides which orders and requests follow from a scheduler state.

    Args:
        scheduler_state: The known jobs, runs and workers.
        order: Returns the sort key of a waiting step; the smallest is given room first. See
            `urgency`.
        team_rooms: Returns what each team may start in a decision.
    """

    __slots__ = (
        "_asking",
        "_held_worker_ids",
        "_jobs_with_lost_runs",
        "_now_s",
        "_order",
        "_room",
        "_scheduler_state",
        "_started",
        "_team_rooms",
        "_wall_s",
    )

    def __init__(
        self,
        *,
        scheduler_state: SchedulerState,
        order: StepOrder = urgency,
        team_rooms: Callable[[], TeamRooms] = TeamRooms,
    ) -> None:
        self._team_rooms = team_rooms
        self._scheduler_state = scheduler_state
        self._order = order
        self._asking: list[StepAdvice] = []
        """Steps with a request for advice under way."""
        self._held_worker_ids: set[str] = set()
        """Workers whose room is held for lasting tasks in this decision."""
        self._jobs_with_lost_runs = 0
        self._room = Room([], [])
        self._started = 0
        self._now_s = 0.0
        self._wall_s = 0.0

    def decide(self, *, now_s: float, wall_s: float, may_start: bool = True) -> Iterator[Decision]:
        """Yield the orders and requests that are due now; a yielded run counts as started.

        Args:
            now_s: The scheduler's clock in seconds, which includes the time that the machine was
                suspended.
            wall_s: Time of day in seconds since 1970.
            may_start: Whether tasks may be started now.
        """
        self._now_s, self._wall_s = now_s, wall_s
        self._apply_timeouts(now_s, wall_s)
        yield from self._decide_stops(now_s)
        for worker in self._scheduler_state.workers.values():
            yield from pace_orders(worker, now_s)
        self._started = 0
        if may_start:
            yield from self._decide_isolated_starts(now_s)
            yield from self._decide_starts(now_s, wall_s)
            yield from self._decide_copies(now_s, wall_s)

    @property
    def has_reached_start_limit(self) -> bool:
        """Whether the last decision reached its limit of starts, so that more may be startable."""
        return self._started >= MAX_STARTS_PER_DECISION

    def evacuate(self, worker: Worker) -> None:
        """Request the stop of lasting tasks on a worker that is to leave, within their budgets.

        A task is stopped once another worker would take it, and no task that may not be started
        again before this scheduler has recovered. A task on a worker that is about to
        leave is stopped in any case: the stop lets it run again at once, while the worker's absence
        may be known only when its lease is out.
        """
        if worker.evacuated_from_s is None:
            worker.evacuated_from_s = self._now_s
        waited_s = self._now_s - worker.evacuated_from_s
        is_leaving = worker.view.is_draining and waited_s >= DRAIN_WAIT_S
        for run in list(worker.runs.values()):
            if not run.step.is_lasting or run.is_stop_requested or self._is_held_back(run):
                continue
            if is_leaving or (
                self.may_disrupt(run)
                and (waited_s >= EVACUATION_WAIT_S or self._has_place(run, worker))
            ):
                self._scheduler_state.request_stop(run, "evacuation")

    def _has_place(self, run: Run, worker: Worker) -> bool:
        """Whether a worker other than the given one would take a task now."""
        step = self._tracked_step(run)
        if step is None:
            return True
        placement = Placement.of(step, now_s=self._now_s, wall_s=self._wall_s, needs_permits=False)
        return any(
            placement.rejection_reason(other) is None
            for other in self._scheduler_state.workers.values()
            if other is not worker
        )

    def _is_held_back(self, run: Run) -> bool:
        tracked_job = self._scheduler_state.tracked_jobs.get(run.name.job_id)
        return tracked_job is not None and self._scheduler_state.is_held_back(tracked_job)

    def _tracked_step(self, run: Run) -> TrackedStep | None:
        """Return the step of a run, or ``None`` if its job is not known or is over."""
        tracked_job = self._scheduler_state.tracked_jobs.get(run.name.job_id)
        if tracked_job is None or tracked_job.progress.state.is_final:
            return None
        return tracked_job.steps.get((run.name.occurrence, run.name.step))

    def may_disrupt(self, run: Run) -> bool:
        """Whether a lasting task may be stopped now.

        Without this check, the tasks of a service could be moved faster than they are restarted, so
        that its users meet fewer tasks than the disruption budget of the step guarantees. A task
        counts as unavailable until it is observed serving again. Tasks of a step without a budget
        are moved one at a time.
        """
        if run.is_stop_requested:
            return False
        step = self._tracked_step(run)
        if step is None:
            return True
        away = self._scheduler_state.count_not_serving(step, excluding=run, now_s=self._now_s)
        return away < max(1, run.step.may_miss)

    # ---- timeouts

    def _apply_timeouts(self, now_s: float, wall_s: float) -> None:
        scheduler_state = self._scheduler_state
        scheduler_state.open_due_steps(wall_s)
        for worker_id in list(scheduler_state.pending_recovery):
            ends_s = scheduler_state.recovery_ends_s(worker_id)
            if ends_s is not None and now_s > ends_s:
                scheduler_state.crashes.note_earlier_runs_lost()
                scheduler_state.note_recovered(worker_id, "leases out")
        for worker in list(scheduler_state.workers.values()):
            self._apply_worker_timeouts(worker, now_s)
        scheduler_state.evidence.review(now_s)
        scheduler_state.dark_racks.review(now_s)

    def _apply_worker_timeouts(self, worker: Worker, now_s: float) -> None:
        if now_s > worker.lease_ends_s and _may_lease_lapse(worker):
            self._scheduler_state.expire_lease(worker, now_s, self._wall_s)
        if not worker.is_listed and not worker.runs and now_s > worker.lease_ends_s:
            reason = "no longer listed"
            self._scheduler_state.note_worker_ended(worker.worker_id, reason, now_s, self._wall_s)
            return
        if worker.view.is_draining:
            self.evacuate(worker)
        elif not worker.is_cordoned:
            worker.evacuated_from_s = None
        for run in worker.runs.values():
            if run.phase is RunPhase.RUNNING and not run.is_stop_requested:
                self._check_run(worker, run, now_s)

    def _check_run(self, worker: Worker, run: Run, now_s: float) -> None:
        step = run.step
        if worker.view.is_draining and step.is_checkpointed and not step.is_lasting:
            remaining_s = step.estimated_s * (1 - run.percent / 100)
            if remaining_s > MIN_DRAIN_REMAINING_S:
                self._scheduler_state.request_stop(run, "worker-draining")
        if step.is_gang or step.is_lasting or run.pace_percent < 100:
            return
        limit_s = max(MIN_STALL_TIMEOUT_S, step.estimated_s * STALL_TIMEOUT_ESTIMATE_RATIO)
        if worker.reported_s - run.progressed_s > limit_s:
            worker.avoid_until_s = now_s + limit_s
            self._scheduler_state.request_stop(run, "stands-still")
            tracked_job = self._scheduler_state.tracked_jobs.get(run.name.job_id)
            if tracked_job is not None:
                avoided = tracked_job.avoided_workers.get(run.name, frozenset())
                tracked_job.avoided_workers[run.name] = avoided | {worker.incarnation}

    # ---- stops

    def _decide_stops(self, now_s: float) -> Iterator[StopOrder]:
        for run in list(self._scheduler_state.runs_to_stop):
            if run.phase in (RunPhase.RESERVED, RunPhase.STARTING, RunPhase.STOPPED):
                continue
            if now_s - run.stop_sent_s >= STOP_RETRY_INTERVAL_S:
                run.stop_sent_s = now_s
                run.enter(RunPhase.STOPPING, now_s)
                yield StopOrder(run=run, incarnation=run.incarnation)

    # ---- starts

    def _decide_starts(self, now_s: float, wall_s: float) -> Iterator[StartOrder | AdviceRequest]:
        steps = sorted(
            self._scheduler_state.open_steps(),
            key=lambda step: (
                self._scheduler_state.isolation.comes_last(step, now_s),
                self._order(step, wall_s),
            ),
        )
        unplaced_sizes: list[tuple[int, int, int]] = []
        without_permits: list[TrackedStep] = []
        self._room = Room(self._scheduler_state.workers.values(), steps)
        self._held_worker_ids.clear()
        self._scheduler_state.team_rooms = self._team_rooms()
        self._jobs_with_lost_runs = self._scheduler_state.count_jobs_with_lost_runs()
        for step in steps:
            if self.has_reached_start_limit:
                break
            if not self._may_start_some(step, unplaced_sizes, now_s):
                continue
            yield from self._start_waiting(step, now_s)
            if not step.waiting:
                continue
            if step.tracked_job.job.policy.is_advised:
                without_permits.append(step)
            if (
                _waits_only_for_capacity(step)
                and not step.is_hopeless(wall_s)
                and self._has_team_room(step)
            ):
                unplaced_sizes.append(
                    (step.step.cpu_millicores, step.step.memory_mb, step.step.gpus)
                )
        yield from self._request_advice(without_permits, now_s, wall_s)

    def _start_waiting(self, step: TrackedStep, now_s: float) -> Iterator[StartOrder]:
        """Start the tasks of a step for which there is room."""
        if step.step.is_gang:
            yield from self._start_gang(step, now_s)
        elif step.tracked_job.progress.lost:
            yield from self._start_beside_suspects(step, now_s)
        else:
            yield from self._start_tasks(step, step.waiting, now_s)
            if step.waiting and step.step.is_lasting:
                self._hold_worker_for_lasting(step, now_s)

    def _may_start_some(
        self, step: TrackedStep, unplaced_sizes: list[tuple[int, int, int]], now_s: float
    ) -> bool:
        """Whether tasks of a step may be started, as far as it shows without a look at workers."""
        if step.not_before_s > now_s or self._room.is_short_of(step):
            return False
        if _is_at_least_as_large(step, unplaced_sizes):
            return False
        return self._has_team_room(step)

    def _has_team_room(self, step: TrackedStep) -> bool:
        """Whether the limit of the job's team leaves room for a task of a step, or for its gang."""
        team = step.tracked_job.job.team
        return not team or self._scheduler_state.team_rooms.has_room(
            team, Resources.of_smallest_start(step.step)
        )

    def _assign(
        self, step: TrackedStep, index: int, worker: Worker, run_id: int, now_s: float
    ) -> Run:
        """Assign a task to a worker, within what its team may start."""
        self._started += 1
        self._scheduler_state.team_rooms.take(step.tracked_job.job.team, Resources.of(step.step))
        return self._scheduler_state.new_run(step, index, worker, run_id, now_s)

    def _decide_isolated_starts(self, now_s: float) -> Iterator[StartOrder]:
        """Yield the starts of suspects whose workers are ready for them."""
        for run, may_be_sent in self._scheduler_state.isolation.release_reservations(now_s):
            step = self._scheduler_state.open_step(run.name)
            if may_be_sent and step is not None and run.step.is_gang:
                yield replace(self._start_order(step, run), checkpoint=gang_checkpoint(step))
            elif may_be_sent and step is not None:
                yield self._start_order(step, run)
            else:
                self._scheduler_state.note_start_failed(run, now_s)

    def _start_beside_suspects(self, step: TrackedStep, now_s: float) -> Iterator[StartOrder]:
        """Start tasks of a job that lost runs in worker crashes, its suspects in isolation."""
        isolation, tracked_job = self._scheduler_state.isolation, step.tracked_job
        indices = {step.name(index): index for index in step.waiting}
        suspects = isolation.suspects(tracked_job, indices, self._wall_s)
        if tracked_job.progress.state.is_final:
            return
        if suspects and self._may_isolate(step, now_s):
            self._isolate(step, [indices[name] for name in suspects], now_s)
        if not isolation.holds_other_tasks(step, suspects):
            others = [index for name, index in indices.items() if name not in suspects]
            yield from self._start_tasks(step, others, now_s)

    def _may_isolate(self, step: TrackedStep, now_s: float) -> bool:
        own = step.tracked_job
        do_others_wait = step.has_proven_crash and any(
            other.tracked_job is not own for other in self._scheduler_state.open_steps()
        )
        return self._scheduler_state.isolation.may_isolate(
            step, now_s, do_others_wait=do_others_wait
        )

    def _isolate(self, step: TrackedStep, indices: list[int], now_s: float) -> None:
        """Reserve a worker for as many suspects of a step as fit on it.

        A worker whose crash stops the least work is preferred among those with room for one.
        Lasting tasks stay where they are started, so they are isolated on a worker each.
        """
        placement = Placement.of(step, now_s=now_s, wall_s=self._wall_s)
        isolation = self._scheduler_state.isolation
        candidates = isolation.candidate_workers(step, self._jobs_with_lost_runs, now_s)
        worker = next((one for one in candidates if placement.rejection_reason(one) is None), None)
        if worker is None:
            return
        runs: list[Run] = []
        for index in indices[:1] if step.step.is_lasting else indices:
            if placement.rejection_reason(worker) is not None or self.has_reached_start_limit:
                break
            if not self._has_team_room(step):
                break
            run_id = self._scheduler_state.next_run_id()
            runs.append(self._assign(step, index, worker, run_id, now_s))
        if runs:
            isolation.isolate(runs, worker, now_s=now_s, wall_s=self._wall_s)

    def _start_tasks(
        self, step: TrackedStep, indices: list[int], now_s: float
    ) -> Iterator[StartOrder]:
        is_spread = self._scheduler_state.crashes.are_frequent(self._wall_s)
        placement = Placement.of(step, now_s=now_s, wall_s=self._wall_s, is_spread=is_spread)
        candidates = Candidates(placement=placement, workers=self._workers_for(step))
        for index in list(indices):
            avoid = step.tracked_job.avoided_workers.get(step.name(index), frozenset())
            worker = candidates.best(avoid=avoid, rack=step.rack)
            if worker is None or self.has_reached_start_limit or not self._has_team_room(step):
                return
            if step.step.is_one_rack and not step.rack:
                step.rack = worker.view.rack
            run_id = self._scheduler_state.next_run_id()
            run = self._assign(step, index, worker, run_id, now_s)
            self._scheduler_state.crashes.note_started(run, self._wall_s)
            candidates.note_placed(worker)
            yield self._start_order(step, run)

    def _decide_copies(self, now_s: float, wall_s: float) -> Iterator[StartOrder]:
        most = MAX_STARTS_PER_DECISION - self._started
        for step, run in start_copies(self._scheduler_state, now_s=now_s, wall_s=wall_s, most=most):
            self._started += 1
            yield self._start_order(step, run)

    def _workers_for(self, step: TrackedStep) -> list[Worker]:
        if step.step.is_lasting:
            # Full workers are included, because the cost depends on where tasks of the step run.
            return list(self._scheduler_state.workers.values())
        return [
            worker for worker in self._room.workers if worker.worker_id not in self._held_worker_ids
        ]

    def _hold_worker_for_lasting(self, step: TrackedStep, now_s: float) -> None:
        """Keep tasks that end off one worker, if lasting tasks of a step find no room.

        Suppose that a lasting task which needs a third of a worker's memory has to be restarted
        during a burst of jobs. Without the hold, smaller tasks that come later in the order take
        all room as soon as it becomes free, and the lasting task is down until the burst is over.
        The worker with the most room is held. Since nothing is started there, it has the most room
        in the next decision too. Tasks of a burst take a second or two.
        """
        placement = Placement.of(step, now_s=now_s, wall_s=self._wall_s, needs_permits=False)
        is_advised = step.tracked_job.job.policy.is_advised
        fitting = [
            worker
            for worker in self._scheduler_state.workers.values()
            if placement.rejection_reason(worker) is WaitReason.ROOM
            and (not is_advised or step.advice.ticket(worker.incarnation))
            and not worker.is_cordoned
            and worker.lasting_allowed_from_s <= now_s
            and worker.fits_beside_lasting(step.step)
        ]
        if fitting:
            chosen = min(fitting, key=lambda worker: worker.shortfall_for(step.step))
            self._held_worker_ids.add(chosen.worker_id)

    def _start_gang(self, step: TrackedStep, now_s: float) -> Iterator[StartOrder]:
        """Start all members at once or none, since only some would occupy room and wait."""
        if len(step.waiting) < step.step.count:
            return
        isolation, tracked_job = self._scheduler_state.isolation, step.tracked_job
        is_suspect = bool(isolation.suspects(tracked_job, [step.name(0)], self._wall_s))
        if tracked_job.progress.state.is_final:
            return
        if is_suspect and not self._may_isolate(step, now_s):
            return
        racks = {worker.view.rack for worker in self._scheduler_state.workers.values()}
        workers = self._workers_for(step)
        chosen = place_gang(step, workers, racks, now_s=now_s, wall_s=self._wall_s)
        if chosen is None:
            return
        run_id = self._scheduler_state.next_run_id()
        checkpoint = gang_checkpoint(step)
        if is_suspect:
            self._isolate_gang(step, chosen, run_id, now_s)
            return
        for index, worker in chosen:
            run = self._assign(step, index, worker, run_id, now_s)
            yield replace(self._start_order(step, run), checkpoint=checkpoint)

    def _isolate_gang(
        self, step: TrackedStep, chosen: list[tuple[int, Worker]], run_id: int, now_s: float
    ) -> None:
        """Reserve the workers of a gang that may crash one of them."""
        runs: dict[str, list[Run]] = {}
        for index, worker in chosen:
            run = self._assign(step, index, worker, run_id, now_s)
            runs.setdefault(worker.worker_id, []).append(run)
        for worker_id, members in runs.items():
            self._scheduler_state.isolation.isolate(
                members, self._scheduler_state.workers[worker_id], now_s=now_s, wall_s=self._wall_s
            )

    def _start_order(self, step: TrackedStep, run: Run) -> StartOrder:
        return StartOrder(
            run=run,
            incarnation=run.incarnation,
            spec=step.tracked_job.job.spec,
            checkpoint=step.tracked_job.checkpoints.get(run.name, ""),
            ticket=step.advice.ticket(run.incarnation),
        )

    def _request_advice(
        self, steps: list[TrackedStep], now_s: float, wall_s: float
    ) -> Iterator[AdviceRequest]:
        """Ask for advice on steps that wait although they were offered all permitted workers.

        Steps of which all workers were refused come last, and otherwise the step whose last request
        is the oldest comes first. Steps for which no worker is allowed thus don't keep others from
        asking.
        """
        self._asking = [advice for advice in self._asking if advice.is_asking]
        for step in sorted(steps, key=lambda one: (one.advice.is_in_vain, one.advice.asked_s)):
            if len(self._asking) >= MAX_ADVICE_REQUESTS:
                return
            workers = step.advice.due_request(
                self._workers_to_permit(step, now_s, wall_s),
                most=self._scheduler_state.advice_request_size.most,
                now_s=now_s,
            )
            if workers:
                step.advice.note_asked(now_s)
                self._asking.append(step.advice)
                yield AdviceRequest(step=step.key, workers=workers, advice=step.advice)

    def _workers_to_permit(
        self, step: TrackedStep, now_s: float, wall_s: float
    ) -> Iterator[tuple[Worker, WaitReason | None]]:
        """Yield the workers for which a permit could be of use, each with what else rejects it."""
        placement = Placement.of(step, now_s=now_s, wall_s=wall_s, needs_permits=False)
        for worker in self._scheduler_state.workers.values():
            reason = placement.rejection_reason(worker)
            if reason not in _REASONS_BEFORE_PERMIT:
                yield worker, reason


def _may_lease_lapse(worker: Worker) -> bool:
    """Whether a worker has runs and none of them is reserved or starting.

    A start that is under way grants the worker a lease.
    """
    return bool(worker.runs) and not _is_start_under_way(worker)


def _is_start_under_way(worker: Worker) -> bool:
    pending = (RunPhase.RESERVED, RunPhase.STARTING)
    return any(run.phase in pending for run in worker.runs.values())


def _waits_only_for_capacity(step: TrackedStep) -> bool:
    """Whether tasks of a step can only wait because they are too large for the free room.

    Other tasks may be kept off workers for further reasons, lasting ones for example after a
    withdrawn offer, members of a gang until all fit, and suspects until they are isolated.
    """
    job_step, tracked_job = step.step, step.tracked_job
    return not (
        job_step.is_gang
        or job_step.is_lasting
        or job_step.label
        or job_step.most_per_worker
        or job_step.is_filler
        or tracked_job.job.policy.is_advised
        or tracked_job.progress.lost
    )


def _is_at_least_as_large(step: TrackedStep, unplaced_sizes: list[tuple[int, int, int]]) -> bool:
    job_step = step.step
    return any(
        job_step.cpu_millicores >= cpu and job_step.memory_mb >= memory and job_step.gpus >= gpus
        for cpu, memory, gpus in unplaced_sizes
        if not job_step.is_filler
    )
