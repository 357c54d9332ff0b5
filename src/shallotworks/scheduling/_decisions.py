"""What the scheduler does next: starts, stops, paces and questions for advice; no network."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ._model import (
    AdviceRequest,
    PaceOrder,
    Run,
    RunPhase,
    StartOrder,
    StopOrder,
    Worker,
)
from ._ordering import urgency
from ._pacing import pace_orders
from ._placement import Candidates, Placement
from ._room import Room
from ._scheduler_state import SchedulerState
from ._tracked_jobs import TrackedStep
from ._wait_reason import WaitReason

__all__ = ["DecisionEngine", "Decision"]

STOP_RETRY_INTERVAL_S = 0.7
"""A stop that was not answered is sent again after this; one takes a worker 0.2 to 0.9 s."""
MIN_STALL_TIMEOUT_S = 2.5
"""A task whose progress did not change for this long hangs: the shortest tasks take 0.6 s, and a
worker slowed sixfold still moves a task of 2 s by 5 percent in that time."""
STALL_TIMEOUT_ESTIMATE_RATIO = 0.3
"""... or for this part of its estimate, for the longest tasks, whose percent changes seldom."""
MAX_WORKERS_PER_ADVICE_REQUEST = 12
"""Workers asked about at once: the service takes some time for each."""
ADVICE_RETRY_INTERVAL_S = 1.0
MIN_DRAIN_REMAINING_S = 2.0
"""A draining worker serves on for this long at least; what needs longer and can go on elsewhere
is moved at once."""
MAX_STARTS_PER_DECISION = 64
"""Tasks started in one decision; a gang is never split. The rest waits for the next one, behind
what else the process has to do: renewals, looks, what its pool lacks."""

Decision = StartOrder | StopOrder | PaceOrder | AdviceRequest


class DecisionEngine:
    """Decides on a board.

    Args:
        scheduler_state: What is known.
        order: Says which of the waiting steps gets room first, the smallest; see `urgency`.
    """

    __slots__ = (
        "_held_worker_ids",
        "_now_s",
        "_order",
        "_room",
        "_scheduler_state",
        "_started",
        "_wall_s",
    )

    def __init__(
        self,
        *,
        scheduler_state: SchedulerState,
        order: Callable[[TrackedStep, float], tuple[float, ...]] = urgency,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._order = order
        self._held_worker_ids: set[str] = set()
        """Workers whose room is held for lasting tasks, in this decision."""
        self._room = Room([], [])
        self._started = 0
        self._now_s = 0.0
        self._wall_s = 0.0

    def decide(self, *, now_s: float, wall_s: float, may_start: bool = True) -> Iterator[Decision]:
        """Yield all that is to be done now; each run is counted as begun when it is yielded.

        Args:
            now_s: The scheduler's clock, which counts suspended time.
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

    @property
    def is_cut_short(self) -> bool:
        """Whether the last decision has started as many tasks as one may, so that more may wait."""
        return self._started >= MAX_STARTS_PER_DECISION

    def evacuate(self, worker: Worker) -> None:
        """Stop lasting tasks on a worker that is to go, as many as their budgets allow now."""
        for run in list(worker.runs.values()):
            if run.step.is_lasting and self.may_disrupt(run):
                self._scheduler_state.request_stop(run, "evacuation")

    def may_disrupt(self, run: Run) -> bool:
        """Whether a lasting task may be taken away now.

        The failure: a service whose tasks are moved faster than they come back, so that its users
        meet fewer of them than its budget says. A task counts as away until it is seen at work
        again. A step without a budget is moved a task at a time.
        """
        if run.is_stop_requested:
            return False
        tracked_job = self._scheduler_state.entries.get(run.name.job_id)
        if tracked_job is None or tracked_job.progress.state.is_final:
            return True
        step = tracked_job.steps.get((run.name.occurrence, run.name.step))
        if step is None:
            return True
        away = self._scheduler_state.away(step, excluding=run, now_s=self._now_s)
        return away < max(1, run.step.may_miss)

    # ---- what time brings

    def _apply_timeouts(self, now_s: float, wall_s: float) -> None:
        scheduler_state = self._scheduler_state
        for job_id in list(scheduler_state.timed):
            scheduler_state.open_due(scheduler_state.entries[job_id], wall_s)
        for worker_id, until_s in list(scheduler_state.pending_recovery.items()):
            if now_s > until_s:
                scheduler_state.crashes.earlier_runs_lost()
                scheduler_state.recovered(worker_id, "leases out")
        for worker in list(scheduler_state.workers.values()):
            self._apply_worker_timeouts(worker, now_s)

    def _apply_worker_timeouts(self, worker: Worker, now_s: float) -> None:
        if now_s > worker.lease_ends_s and _may_lease_lapse(worker):
            self._scheduler_state.lapse(worker, now_s, self._wall_s)
        if not worker.is_listed and not worker.runs and now_s > worker.lease_ends_s:
            reason = "no longer listed"
            self._scheduler_state.worker_ended(worker.worker_id, reason, now_s, self._wall_s)
            return
        if worker.view.is_draining:
            self.evacuate(worker)
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
            tracked_job = self._scheduler_state.entries.get(run.name.job_id)
            if tracked_job is not None:
                avoided = tracked_job.avoid.get(run.name, frozenset())
                tracked_job.avoid[run.name] = avoided | {worker.worker_id}

    # ---- stops

    def _decide_stops(self, now_s: float) -> Iterator[StopOrder]:
        for run in list(self._scheduler_state.runs_to_stop):
            if run.phase in (RunPhase.RESERVED, RunPhase.STARTING, RunPhase.STOPPED):
                continue
            if now_s - run.stop_sent_s >= STOP_RETRY_INTERVAL_S:
                run.stop_sent_s = now_s
                run.enter(RunPhase.STOPPING, now_s)
                yield StopOrder(run=run)

    # ---- starts

    def _decide_starts(self, now_s: float, wall_s: float) -> Iterator[StartOrder | AdviceRequest]:
        steps = sorted(
            self._scheduler_state.open_steps(), key=lambda step: self._order(step, wall_s)
        )
        unplaced_sizes: list[tuple[int, int, int]] = []
        self._room = Room(self._scheduler_state.workers.values(), steps)
        self._held_worker_ids.clear()
        for step in steps:
            if self.is_cut_short:
                return
            if step.not_before_s > now_s:
                continue
            if self._room.is_short_of(step) or _is_at_least_as_large(step, unplaced_sizes):
                continue
            if step.tracked_job.job.policy.is_advised and not step.permits:
                yield from self._request_advice(step, now_s)
                continue
            if step.step.is_gang:
                yield from self._start_gang(step, now_s)
                continue
            if step.tracked_job.progress.lost:
                yield from self._start_beside_suspects(step, now_s)
                continue
            yield from self._start_tasks(step, step.waiting, now_s)
            if step.waiting and step.step.is_lasting:
                self._hold_worker_for_lasting(step, now_s)
            if step.waiting and _waits_only_for_capacity(step) and not step.is_hopeless(wall_s):
                unplaced_sizes.append(
                    (step.step.cpu_millicores, step.step.memory_mb, step.step.gpus)
                )

    def _decide_isolated_starts(self, now_s: float) -> Iterator[StartOrder]:
        """Yield the starts of suspects whose workers are ready for them."""
        for run, may_be_sent in self._scheduler_state.isolation.ready(now_s):
            step = self._scheduler_state.open_step(run.name)
            if may_be_sent and step is not None:
                yield self._start_order(step, run)
            else:
                self._scheduler_state.start_failed(run, now_s)

    def _start_beside_suspects(self, step: TrackedStep, now_s: float) -> Iterator[StartOrder]:
        """Start tasks of a job that has lost runs with crashed workers, suspects in isolation."""
        isolation, tracked_job = self._scheduler_state.isolation, step.tracked_job
        indices = {step.name(index): index for index in step.waiting}
        suspects = isolation.suspects(tracked_job, indices, self._wall_s)
        if tracked_job.progress.state.is_final:
            return
        for name in isolation.startable_suspects(tracked_job, suspects):
            self._isolate(step, indices[name], now_s)
        if not isolation.holds_other_tasks(tracked_job, suspects):
            others = [index for name, index in indices.items() if name not in suspects]
            yield from self._start_tasks(step, others, now_s)

    def _isolate(self, step: TrackedStep, index: int, now_s: float) -> None:
        """Keep a worker for a suspect, one where a crash would take the least with it."""
        placement = Placement.of(step, now_s=now_s, wall_s=self._wall_s)
        candidate_workers = [
            one
            for one in self._scheduler_state.isolation.candidate_workers()
            if placement.rejection_reason(one) is None
        ]
        if not candidate_workers:
            return
        run = self._scheduler_state.new_run(
            step, index, candidate_workers[0], self._scheduler_state.next_run_id(), now_s
        )
        self._scheduler_state.isolation.isolate(
            run, candidate_workers[0], now_s=now_s, wall_s=self._wall_s
        )
        self._started += 1

    def _start_tasks(
        self, step: TrackedStep, indices: list[int], now_s: float
    ) -> Iterator[StartOrder]:
        is_spread = self._scheduler_state.crashes.are_frequent(self._wall_s)
        placement = Placement.of(step, now_s=now_s, wall_s=self._wall_s, is_spread=is_spread)
        candidates = Candidates(placement=placement, workers=self._workers_for(step))
        for index in list(indices):
            avoid = step.tracked_job.avoid.get(step.name(index), frozenset())
            worker = candidates.best(avoid=avoid, rack=step.rack)
            if worker is None or self.is_cut_short:
                return
            if step.step.is_one_rack and not step.rack:
                step.rack = worker.view.rack
            run_id = self._scheduler_state.next_run_id()
            run = self._scheduler_state.new_run(step, index, worker, run_id, now_s)
            self._scheduler_state.crashes.started(run, self._wall_s)
            candidates.note_placed(worker)
            self._started += 1
            yield self._start_order(step, run)

    def _workers_for(self, step: TrackedStep) -> list[Worker]:
        if step.step.is_lasting:
            # Where its tasks run already matters, also on workers that are full.
            return list(self._scheduler_state.workers.values())
        return [
            worker for worker in self._room.workers if worker.worker_id not in self._held_worker_ids
        ]

    def _hold_worker_for_lasting(self, step: TrackedStep, now_s: float) -> None:
        """Keep tasks that end off one worker, where lasting tasks of a step find no room.

        The failure: a lasting task of a third of a worker's memory comes back in a turn. Whatever
        room comes free is taken at once by smaller tasks that wait behind it, and it is down until
        the turn is over. The worker with the most room is held, and since nothing is started there,
        it is the one with the most room next time too; tasks of a turn take a second or two.
        """
        placement = Placement.of(step, now_s=now_s, wall_s=self._wall_s)
        fitting = [
            worker
            for worker in self._scheduler_state.workers.values()
            if placement.rejection_reason(worker) is WaitReason.ROOM
            and not worker.is_cordoned
            and worker.lasting_from_s <= now_s
            and worker.fits_beside_lasting(step.step)
        ]
        if fitting:
            chosen = min(fitting, key=lambda worker: worker.shortfall_for(step.step))
            self._held_worker_ids.add(chosen.worker_id)

    def _start_gang(self, step: TrackedStep, now_s: float) -> Iterator[StartOrder]:
        """Start all members at once or none: a part of them would only hold room and wait."""
        if len(step.waiting) < step.step.count:
            return
        for rack in self._racks(step):
            chosen = self._place_gang(step, rack, now_s)
            if chosen is not None:
                break
        else:
            return
        run_id = self._scheduler_state.next_run_id()
        checkpoint = self._gang_checkpoint(step)
        self._started += len(chosen)
        for index, worker in chosen:
            run = self._scheduler_state.new_run(step, index, worker, run_id, now_s)
            spec = step.tracked_job.job.spec
            ticket = step.permits.get(worker.worker_id, "")
            yield StartOrder(run=run, spec=spec, checkpoint=checkpoint, ticket=ticket)

    def _place_gang(
        self, step: TrackedStep, rack: str, now_s: float
    ) -> list[tuple[int, Worker]] | None:
        """Return a worker for each member, within a rack if one is named; ``None`` without room."""
        placement = Placement.of(step, now_s=now_s, wall_s=self._wall_s)
        workers = [
            worker for worker in self._workers_for(step) if not rack or worker.view.rack == rack
        ]
        trial: list[tuple[int, Worker, Run]] = []
        try:
            for index in sorted(step.waiting):
                avoid = step.tracked_job.avoid.get(step.name(index), frozenset())
                worker = placement.choose(workers, avoid=avoid)
                if worker is None:
                    return None
                run = Run(
                    name=step.name(index),
                    run_id=0,
                    step=step.step,
                    worker_id=worker.worker_id,
                    phase=RunPhase.STARTING,
                    since_s=now_s,
                )
                worker.add(run)
                trial.append((index, worker, run))
            return [(index, worker) for index, worker, _ in trial]
        finally:
            for _, worker, run in trial:
                worker.remove(run)

    def _racks(self, step: TrackedStep) -> list[str]:
        if not step.step.is_one_rack:
            return [""]
        racks = sorted({worker.view.rack for worker in self._scheduler_state.workers.values()})
        racks.sort(key=lambda rack: rack != step.step.near_rack)
        return [*racks, ""]

    def _gang_checkpoint(self, step: TrackedStep) -> str:
        saved = step.tracked_job.checkpoints
        names = (step.name(index) for index in range(step.step.count))
        return next((saved[name] for name in names if name in saved), "")

    def _start_order(self, step: TrackedStep, run: Run) -> StartOrder:
        return StartOrder(
            run=run,
            spec=step.tracked_job.job.spec,
            checkpoint=step.tracked_job.checkpoints.get(run.name, ""),
            ticket=step.permits.get(run.worker_id, ""),
        )

    def _request_advice(self, step: TrackedStep, now_s: float) -> Iterator[AdviceRequest]:
        if step.is_asking or now_s - step.advised_s < ADVICE_RETRY_INTERVAL_S:
            return
        usable = [
            worker
            for worker in self._scheduler_state.workers.values()
            if worker.is_fenced and worker.is_listed and not worker.view.is_draining
        ]
        usable.sort(key=lambda worker: worker.cpu_used / max(1, worker.view.cpu_millicores))
        if usable:
            step.is_asking = True
            ids = tuple(worker.worker_id for worker in usable[:MAX_WORKERS_PER_ADVICE_REQUEST])
            yield AdviceRequest(step=step.key, worker_ids=ids)


def _may_lease_lapse(worker: Worker) -> bool:
    """Whether something runs, and no start is on its way, which would grant a lease."""
    phases = {run.phase for run in worker.runs.values()}
    return bool(phases) and phases.isdisjoint((RunPhase.RESERVED, RunPhase.STARTING))


def _waits_only_for_capacity(step: TrackedStep) -> bool:
    """Whether only its size can keep a step's tasks waiting; lasting ones keep off some workers."""
    job_step = step.step
    return not (
        job_step.is_lasting
        or job_step.label
        or job_step.most_per_worker
        or job_step.is_filler
        or step.permits
    )


def _is_at_least_as_large(step: TrackedStep, unplaced_sizes: list[tuple[int, int, int]]) -> bool:
    job_step = step.step
    return any(
        job_step.cpu_millicores >= cpu and job_step.memory_mb >= memory and job_step.gpus >= gpus
        for cpu, memory, gpus in unplaced_sizes
        if not job_step.is_filler
    )
