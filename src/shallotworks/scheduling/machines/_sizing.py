"""Computes how many machines a service lacks and which workers it can spare; uses no network.

Demand comes in bursts. For some seconds a queue demands several times its mean and more than its
pool holds, and next to nothing between bursts. Machines that wait for the next burst are paid for,
and a machine arrives about two seconds after it was requested.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from shallotworks.jobs import Step

from .._model import Worker
from .._placement import MIN_WORKERS_PER_LASTING_STEP, count_siblings
from .._scheduler_state import SchedulerState
from .._tracked_jobs import TrackedStep
from .._waiting import tasks_recovering
from ._demand import DemandLimits, forecast_demand_cores
from ._machine_records import PoolDemand

__all__ = ["PoolSizer", "SizingLimits"]


@dataclass(frozen=True, slots=True, kw_only=True)
class SizingLimits:
    """Limits for sizing a pool.

    Args:
        backlog_s: Waiting work that the pool can finish within this time needs no more machines,
            because a machine takes longer to arrive.
        demand: Limits for measuring the demand of arriving jobs.
        idle_s: A worker may be offered once nothing has run on it for this long.
        drain_grace_s: Time that tasks which end by themselves get on a worker that is drained.
        lasting_exclusion_s: Lasting tasks are kept off a worker for this long after its offer was
            withdrawn, because an order to remove it may still arrive.
        isolated_jobs_per_worker: A pool with more jobs that wait with lost runs requests machines.
            Their tasks are started one by one on a worker, which takes a second, and some crash it.
        max_lacking: Upper limit of the machines requested at once by a pool with few workers.
        max_lacking_ratio: Upper limit for a larger pool, as a multiple of its workers: in a burst a
            queue demands several times its mean, however large its pool is.
    """

    backlog_s: float = 0.8
    idle_s: float = 0.3
    demand: DemandLimits = field(default_factory=DemandLimits)
    drain_grace_s: float = 1.5
    lasting_exclusion_s: float = 3.0
    isolated_jobs_per_worker: int = 2
    max_lacking: int = 64
    max_lacking_ratio: float = 4.0


DEFAULT_MACHINE_MILLICORES = 32_000
"""Assumed size of a machine while the pool has no worker."""


def _tasks_per_worker(step: Step, worker: Worker | None) -> int:
    """Return how many tasks of a step fit on an empty worker; 0 if capacity alone does not decide.

    Labels and gangs restrict the placement further. Data locality does not: a task away from its
    data is slower but can run on any worker.
    """
    if worker is None or step.label or step.is_gang:
        return 0
    view = worker.view
    return min(
        view.cpu_millicores // max(1, step.cpu_millicores),
        view.memory_mb // max(1, step.memory_mb),
        view.gpus // step.gpus if step.gpus else step.count,
        step.most_per_worker or step.count,
    )


def _places_on(worker: Worker, step: TrackedStep) -> int:
    """Return how many waiting tasks of a step a worker may run beside its present runs."""
    places = worker.count_fitting(step.step, most=len(step.waiting))
    if step.step.most_per_worker:
        siblings = count_siblings(worker, step.key)
        places = min(places, max(0, step.step.most_per_worker - siblings))
    return places


def _may_run_any(worker: Worker, advised: list[TrackedStep], wall_s: float) -> bool:
    """Whether a worker may run one of some steps that need advice.

    One of which the answer is not known counts as allowed. If it was lent, none of those that stay
    might be allowed, and the step would wait for as long as the pool lends that worker.
    """
    return any(
        not step.advice.is_refused(worker.incarnation)
        and not (worker.is_yielding and step.is_hopeless(wall_s))
        for step in advised
    )


class PoolSizer:
    """Sizes the pool of one service.

    Args:
        scheduler_state: The jobs and workers of the service.
        limits: Limits for sizing.
    """

    __slots__ = ("_cordoned", "_idle_since", "_limits", "_offered", "_scheduler_state")

    def __init__(self, *, scheduler_state: SchedulerState, limits: SizingLimits) -> None:
        self._scheduler_state = scheduler_state
        self._limits = limits
        self._idle_since: dict[str, float] = {}
        self._cordoned: dict[str, float] = {}
        """Workers that are being drained, with the time since when."""
        self._offered: set[str] = set()

    def assess(self, due: frozenset[str], *, now_s: float, wall_s: float) -> PoolDemand:
        """Cordon the workers to offer, and return the demand to publish to the machine controller.

        Args:
            due: Workers that the controller wants drained.
            now_s: Time on the scheduler's clock, in seconds.
            wall_s: Time of day, in seconds since 1970.
        """
        self._track_idle(now_s)
        lacking = self._lacking(wall_s)
        self._cordon_due(due, now_s)
        offered = self._surplus(now_s, wall_s)
        for worker in self._scheduler_state.workers.values():
            self._set_offered(worker, worker.worker_id in offered, now_s)
        self._offered = offered
        free = sorted(offered | set(self._drained(now_s)))
        return PoolDemand(lacking=lacking, free=tuple(free), token=self._scheduler_state.token)

    def state(self, *, wall_s: float) -> dict[str, int]:
        """Return counts of workers, cores and waiting work for the pool's log line."""
        usable = self._usable()
        waiting = list(self._scheduler_state.open_steps())
        lasting = [run for worker in usable for run in worker.runs.values() if run.step.is_lasting]
        hopeless = [step for step in waiting if step.is_hopeless(wall_s)]
        return {
            "workers": len(usable),
            "with_lasting": len({run.worker_id for run in lasting}),
            "idle": sum(1 for worker in usable if not worker.runs),
            "cores": sum(worker.view.cpu_millicores for worker in usable) // 1000,
            "cores_used": sum(worker.cpu_used for worker in usable) // 1000,
            "cores_lasting": sum(run.step.cpu_millicores for run in lasting) // 1000,
            "waiting_core_s": int(self._waiting_millicore_s(wall_s) / 1000),
            "tasks_waiting": sum(len(step.waiting) for step in waiting),
            "tasks_recovering": tasks_recovering(self._scheduler_state),
            "tasks_hopeless": sum(len(step.waiting) for step in hopeless),
            "jobs": len(self._scheduler_state.tracked_jobs),
            "jobs_overdue": len(self._scheduler_state.jobs_with_overdue_occurrences),
            "unseen_workers": len(self._scheduler_state.pending_recovery),
        }

    def restrict_late_work(self, count: int) -> None:
        """Keep late work off some workers, so that borrowed machines become free for other pools.

        A burst may begin on one queue while another queue still processes jobs that can't meet
        their objective any more, on machines that it borrowed. The least used workers are chosen;
        jobs that can still be on time use them as before.
        """
        yielding = {worker.worker_id for worker in self._least_used(count)}
        for worker in self._scheduler_state.workers.values():
            worker.is_yielding = worker.worker_id in yielding

    def _least_used(self, count: int) -> list[Worker]:
        movable = [
            worker
            for worker in self._usable()
            if not any(run.step.is_lasting for run in worker.runs.values())
        ]
        movable.sort(key=lambda worker: (not worker.is_yielding, worker.cpu_used))
        return movable[:count]

    def draining_workers(self) -> Iterator[Worker]:
        """Yield the workers that are being drained."""
        for worker_id in self._cordoned:
            worker = self._scheduler_state.workers.get(worker_id)
            if worker is not None:
                yield worker

    def _track_idle(self, now_s: float) -> None:
        for worker_id, worker in self._scheduler_state.workers.items():
            if worker.runs:
                self._idle_since.pop(worker_id, None)
            else:
                self._idle_since.setdefault(worker_id, now_s)
        for worker_id in [
            one for one in self._idle_since if one not in self._scheduler_state.workers
        ]:
            del self._idle_since[worker_id]

    def _usable(self) -> list[Worker]:
        return [
            worker
            for worker in self._scheduler_state.workers.values()
            if worker.is_listed and not worker.view.is_draining
        ]

    def _lacking(self, wall_s: float) -> int:
        """Return the number of machines that the pool needs beyond those it has.

        The pool must have capacity for arriving work and finish waiting work in time; no machines
        are borrowed for late work, nor for jobs beyond their teams' weights. A pool with enough
        capacity for arriving work lacks nothing while no task waits. A pool without it lacks
        machines even while all its tasks run, which is common at the start of a burst after the
        first machines have arrived.
        """
        waiting_millicore_s = self._waiting_millicore_s(wall_s)
        arrivals = self._scheduler_state.arrivals
        arriving = 1000 * forecast_demand_cores(arrivals, wall_s=wall_s, limits=self._limits.demand)
        usable = self._usable()
        size = max((worker.view.cpu_millicores for worker in usable), default=0)
        size = size or DEFAULT_MACHINE_MILLICORES
        available_millicores = sum(
            worker.view.cpu_millicores
            for worker in usable
            if worker.worker_id not in self._cordoned
        )
        least = max(self._lacking_for_isolation(len(usable)), self._lacking_for_lasting(usable))
        if not waiting_millicore_s and arriving <= available_millicores and not least:
            return 0 if usable else self._lacking_for_jobs_beyond_weight()
        wanted = waiting_millicore_s / self._limits.backlog_s + arriving
        lack = max(least, -(-(wanted - available_millicores) // size))
        lacking_limit = max(self._limits.max_lacking, self._limits.max_lacking_ratio * len(usable))
        return int(max(0 if available_millicores else 1, min(lack, lacking_limit)))

    def _lacking_for_jobs_beyond_weight(self) -> int:
        """Return the machines that an empty pool lacks for jobs beyond their teams' weights."""
        steps = self._scheduler_state.open_steps()
        return int(any(step.tracked_job.is_beyond_weight for step in steps))

    def _lacking_for_isolation(self, usable: int) -> int:
        """Return how many machines are lacking to isolate suspects, however late their jobs are."""
        jobs = self._scheduler_state.count_jobs_with_lost_runs()
        return max(0, jobs // self._limits.isolated_jobs_per_worker - usable)

    def _lacking_for_lasting(self, usable: list[Worker]) -> int:
        """Return how many machines are lacking for lasting tasks that no worker may run.

        Workers with idle cores may have no memory left, or may run no more tasks of a step. Tasks
        that end are left out of the account, since they make room.
        """
        steps = [
            step
            for step in self._scheduler_state.open_steps()
            if step.step.is_lasting and not step.tracked_job.job.policy.is_advised
        ]
        if not steps or not usable:
            return 0
        largest = max(usable, key=lambda worker: worker.view.cpu_millicores)
        staying = [
            worker.with_lasting_runs()
            for worker in usable
            if worker.worker_id not in self._cordoned
        ]
        lacking = 0
        for step in steps:
            per_machine = _tasks_per_worker(step.step, largest)
            if per_machine:
                unplaced = len(step.waiting) - sum(_places_on(worker, step) for worker in staying)
                lacking += max(0, -(-unplaced // per_machine))
        return lacking

    def _waiting_millicore_s(self, wall_s: float) -> float:
        total = 0.0
        for entry in self._scheduler_state.open_steps():
            step = entry.step
            if step.is_filler or entry.is_hopeless(wall_s) or entry.tracked_job.is_beyond_weight:
                continue
            length_s = max(step.estimated_s, 0.1)
            if step.is_lasting:
                length_s = self._limits.backlog_s
            total += len(entry.waiting) * max(step.cpu_millicores, 1) * length_s
        return total

    def _surplus(self, now_s: float, wall_s: float) -> set[str]:
        """Return the workers that have been idle for ``idle_s`` and that the pool can spare."""
        idle = [
            worker
            for worker in self._empty_workers()
            if now_s - self._idle_since.get(worker.worker_id, now_s) >= self._limits.idle_s
        ]
        return self._lendable(idle, now_s, wall_s)

    def _empty_workers(self) -> list[Worker]:
        usable = [one for one in self._usable() if one.worker_id not in self._cordoned]
        return [worker for worker in usable if self._is_known_empty(worker)]

    def _lendable(self, free: list[Worker], now_s: float, wall_s: float) -> set[str]:
        """Return those of some free workers that are not reserved for tasks.

        Only as many are reserved as are needed by tasks that wait or may be lost. On a large pool
        there is nearly always a job that has just arrived, or a silent worker with lasting tasks. A
        pool that lent nothing in such moments would never lend. A step that needs advice reserves
        all workers that it was not refused. Workers that late work is kept off are not reserved for
        late work either, because they would stay idle.
        """
        in_time, late = self._reserved_for_tasks(now_s, wall_s)
        advised = self._scheduler_state.advised_steps()
        free = [one for one in free if not _may_run_any(one, advised, wall_s)]
        # Prefer to reserve workers that answer, since nothing starts on the others, and then those
        # that are not offered: after a withdrawn offer, lasting tasks are kept off the worker for a
        # while.
        free = sorted(
            free,
            key=lambda worker: (
                not worker.has_answered_last_poll,
                worker.worker_id in self._offered,
            ),
        )
        yielding = [worker for worker in free if worker.is_yielding]
        others = [worker for worker in free if not worker.is_yielding]
        lendable = others[in_time + late :] + yielding[max(0, in_time - len(others)) :]
        return {worker.worker_id for worker in lendable}

    def _reserved_for_tasks(self, now_s: float, wall_s: float) -> tuple[int, int]:
        """Return how many free workers to reserve for tasks in time, and for late tasks."""
        reserved = {True: 0, False: 0}
        size = max(self._usable(), key=lambda one: one.view.cpu_millicores, default=None)
        for waiting in self._scheduler_state.tasks_to_place(now_s, wall_s):
            per_worker = _tasks_per_worker(waiting.step, size)
            needed = (
                -(-waiting.tasks // per_worker)
                if per_worker
                else len(self._scheduler_state.workers)
            )
            reserved[waiting.is_late] += needed
        in_time, late = reserved[False], reserved[True]
        if in_time:
            in_time += MIN_WORKERS_PER_LASTING_STEP
        elif late:
            late += MIN_WORKERS_PER_LASTING_STEP
        return in_time, late

    def _is_known_empty(self, worker: Worker) -> bool:
        """Whether nothing runs on a worker, including runs of an earlier scheduler epoch.

        If a new scheduler offered a worker that it has not polled yet, the machine could be taken,
        and lasting tasks that the predecessor started there would end.
        """
        return not worker.runs and worker.worker_id not in self._scheduler_state.pending_recovery

    def withdraw(self, now_s: float, *, wall_s: float) -> bool:
        """Withdraw as many offers as waiting tasks need; return whether any offer was withdrawn.

        The controller may be about to remove such a worker. Tasks that end by themselves may be
        lost with it and run again; lasting tasks are not placed on it for a while.
        """
        withdrawn = self._offered - self._lendable(self._empty_workers(), now_s, wall_s)
        for worker_id in withdrawn:
            worker = self._scheduler_state.workers.get(worker_id)
            if worker is not None:
                self._set_offered(worker, False, now_s)
        self._offered = self._offered - withdrawn
        return bool(withdrawn)

    def defer_lasting_tasks(self, worker_ids: Iterable[str], now_s: float) -> None:
        """Keep lasting tasks off workers that the controller may still consider free."""
        for worker_id in worker_ids:
            self._scheduler_state.defer_lasting_tasks(
                worker_id, now_s + self._limits.lasting_exclusion_s
            )

    def _set_offered(self, worker: Worker, is_offered: bool, now_s: float) -> None:
        if worker.worker_id in self._cordoned:
            return
        if worker.is_cordoned and not is_offered:
            worker.lasting_allowed_from_s = now_s + self._limits.lasting_exclusion_s
        worker.is_cordoned = is_offered

    def _cordon_due(self, due: frozenset[str], now_s: float) -> None:
        for worker_id in list(self._cordoned):
            if worker_id not in due or worker_id not in self._scheduler_state.workers:
                del self._cordoned[worker_id]
        for worker_id in due:
            worker = self._scheduler_state.workers.get(worker_id)
            if worker is not None and worker_id not in self._cordoned:
                self._cordoned[worker_id] = now_s
                worker.is_cordoned = True

    def _drained(self, now_s: float) -> Iterator[str]:
        for worker_id, since_s in self._cordoned.items():
            worker = self._scheduler_state.workers[worker_id]
            if worker_id in self._scheduler_state.pending_recovery:
                continue
            if any(run.step.is_lasting for run in worker.runs.values()):
                continue
            if not worker.runs or now_s - since_s >= self._limits.drain_grace_s:
                yield worker_id
