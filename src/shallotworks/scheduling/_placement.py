"""Chooses the worker that runs a task, and gives the reasons to reject other workers."""

from __future__ import annotations

from collections.abc import Iterable

from shallotworks.jobs import Incarnation, Step, TaskName

from ._model import Worker
from ._tracked_jobs import TrackedStep
from ._wait_reason import WaitReason

__all__ = ["MIN_WORKERS_PER_LASTING_STEP", "Candidates", "Placement", "count_siblings"]

MIN_WORKERS_PER_LASTING_STEP = 3
"""A lasting step is spread over at least this many workers, so that a crash stops at most a third
of its tasks.

More workers would cost more: a worker that runs a lasting task can't be lent, and the expected part
of the step that is down is the same either way."""

_ROOM = WaitReason.ROOM
_CORDONED = WaitReason.CORDONED
"""The most frequent reasons, looked up once. Reading a member from its enum class takes as long as
all the checks before it, and in an overload each decision evaluates thousands of them."""


class Placement:
    """Chooses workers for the tasks of one step.

    Args:
        step: The step.
        job_id: The job of the step.
        occurrence: The occurrence of the job.
        number: The number of the step in the job.
        now_s: The scheduler's clock in seconds.
        permits: The workers that the advice service allows; ``None`` allows all.
        is_hopeless: Whether the job can't meet its objective any more. Its tasks then stay off
            workers that are to return to their lenders.
        is_spread: Whether tasks are placed on the least used workers instead of the fullest.
    """

    __slots__ = ("_is_hopeless", "_is_spread", "_key", "_now_s", "_permits", "_step")

    def __init__(
        self,
        *,
        step: Step,
        job_id: str,
        occurrence: int,
        number: int,
        now_s: float,
        permits: frozenset[Incarnation] | None = None,
        is_hopeless: bool = False,
        is_spread: bool = False,
    ) -> None:
        self._step = step
        self._key = (job_id, occurrence, number)
        self._now_s = now_s
        self._permits = permits
        self._is_hopeless = is_hopeless
        self._is_spread = is_spread

    @classmethod
    def of(
        cls,
        tracked_step: TrackedStep,
        *,
        now_s: float,
        wall_s: float,
        is_spread: bool = False,
        needs_permits: bool = True,
    ) -> Placement:
        """Return the placement for the tasks of an open step.

        Args:
            tracked_step: The step.
            now_s: The scheduler's clock in seconds.
            wall_s: Time of day in seconds since 1970.
            is_spread: Whether tasks are placed on the least used workers.
            needs_permits: Whether workers are rejected that the advice service has not allowed.
        """
        job = tracked_step.tracked_job.job
        is_advised = needs_permits and job.policy.is_advised
        return cls(
            step=tracked_step.step,
            job_id=job.job_id,
            occurrence=tracked_step.occurrence,
            number=tracked_step.number,
            now_s=now_s,
            permits=tracked_step.advice.permitted(now_s) if is_advised else None,
            is_hopeless=tracked_step.is_hopeless(wall_s),
            is_spread=is_spread,
        )

    def choose(
        self, workers: Iterable[Worker], *, avoid: frozenset[Incarnation], rack: str = ""
    ) -> Worker | None:
        """Return the best worker with room for one task, or ``None``; see `Candidates.best`."""
        return Candidates(placement=self, workers=workers).best(avoid=avoid, rack=rack)

    @property
    def depends_on_siblings(self) -> bool:
        """Whether placing a task changes the cost of workers other than its own."""
        return self._step.is_lasting

    def rejection_reason(self, worker: Worker) -> WaitReason | None:
        """Return the first reason to reject a worker, or ``None`` if it may run a task of the step.

        Conditions that make a worker unsuitable are checked before restrictions that the scheduler
        itself sets and that expire. A restriction is therefore reported only for a worker that is
        suitable otherwise.
        """
        view = worker.view
        if not worker.is_listed:
            return WaitReason.UNLISTED
        if not worker.is_fenced:
            return WaitReason.UNREACHED
        if view.is_draining:
            return WaitReason.DRAINING
        if self._step.label and self._step.label not in view.labels:
            return WaitReason.LABEL
        if self._permits is not None and worker.incarnation not in self._permits:
            return WaitReason.PERMIT
        if not worker.fits(self._step):
            return _ROOM
        return self._restriction(worker)

    def _restriction(self, worker: Worker) -> WaitReason | None:
        max_siblings = self._step.most_per_worker
        if max_siblings and count_siblings(worker, self._key) >= max_siblings:
            return WaitReason.SPREAD
        if self._is_hopeless and worker.is_yielding:
            return WaitReason.YIELDING
        if worker.isolated_runs:
            return WaitReason.QUARANTINED
        if worker.pause_until_s > self._now_s or not worker.has_answered_last_poll:
            return WaitReason.PAUSED
        if self._step.is_lasting and worker.lasting_allowed_from_s > self._now_s:
            return WaitReason.CLOSED_TO_LASTING
        if worker.is_cordoned:
            return _CORDONED
        return None

    def cost(
        self,
        worker: Worker,
        avoid: frozenset[Incarnation],
        rack: str,
        siblings_by_rack: dict[str, int],
    ) -> tuple[float, ...]:
        """Return the cost of placing a task on a worker; `Candidates.best` takes the lowest."""
        view = worker.view
        is_suspect = worker.avoid_until_s > self._now_s
        wanted_rack = self._step.near_rack or rack
        is_other_rack = bool(wanted_rack) and view.rack != wanted_rack
        load = worker.cpu_used / max(1, view.cpu_millicores)
        memory = worker.memory_used / max(1, view.memory_mb)
        is_weak = worker.is_slow or worker.rack_avoid_until_s > self._now_s
        before = (
            is_suspect,
            is_weak,
            bool(avoid) and worker.incarnation in avoid,
            is_other_rack,
        )
        colocation = (
            self._colocation_cost(worker, siblings_by_rack)
            if self.depends_on_siblings
            else (0, 0, 0)
        )
        fullness = max(load, memory)
        if self._is_spread:
            return (*before, *colocation, not count_siblings(worker, self._key), fullness)
        return (*before, *colocation, _is_lendable(worker), -fullness)

    def _colocation_cost(
        self, worker: Worker, siblings_by_rack: dict[str, int]
    ) -> tuple[float, ...]:
        """Return the cost of placing a lasting task beside the other tasks of a worker.

        Tasks with a target for their response times disturb each other, so they are placed apart.
        Other lasting tasks are placed together, up to their step's share of a worker, preferably on
        workers that already run lasting tasks and on racks that run the fewest tasks of the step.
        """
        siblings = count_siblings(worker, self._key)
        lasting = sum(1 for run in worker.runs.values() if run.step.is_lasting)
        if self._step.target_s:
            return (siblings * 4 + lasting, 0, 0)
        is_full = siblings >= -(-self._step.count // MIN_WORKERS_PER_LASTING_STEP)
        return (siblings if is_full else 0, not lasting, siblings_by_rack.get(worker.view.rack, 0))

    def siblings_by_rack(self, workers: list[Worker]) -> dict[str, int]:
        """Return the number of tasks of the step per rack; empty if the cost ignores racks."""
        siblings_by_rack: dict[str, int] = {}
        if not self.depends_on_siblings:
            return siblings_by_rack
        for worker in workers:
            rack = worker.view.rack
            siblings_by_rack[rack] = siblings_by_rack.get(rack, 0) + count_siblings(
                worker, self._key
            )
        return siblings_by_rack


class Candidates:
    """The workers that may run tasks of one step, while these are placed one after another.

    The jobs of a burst have eight or more tasks, on pools of a hundred workers. All workers are
    evaluated once per step. After a task is placed, only its worker is evaluated again.

    Args:
        placement: Evaluates workers.
        workers: All workers of the service.
    """

    __slots__ = ("_cost_inputs", "_costs", "_fitting", "_placement", "_workers")

    def __init__(self, *, placement: Placement, workers: Iterable[Worker]) -> None:
        self._placement = placement
        self._workers = list(workers)
        self._fitting = [one for one in self._workers if placement.rejection_reason(one) is None]
        self._cost_inputs: tuple[frozenset[Incarnation], str] = (frozenset(), "")
        self._costs: dict[str, tuple[float, ...]] = {}
        """Costs of the fitting workers by id for the last cost inputs. Outdated costs are
        removed."""

    def best(self, *, avoid: frozenset[Incarnation], rack: str = "") -> Worker | None:
        """Return the best worker with room, or ``None``.

        Args:
            avoid: The workers on which this task failed. They are used only if no other has
                room.
            rack: Preferred rack, which holds the other tasks of the step, if these are slower when
                they are on different racks; empty for any.
        """
        if not self._fitting:
            return None
        if self._cost_inputs != (avoid, rack):
            self._cost_inputs = (avoid, rack)
            self._costs.clear()
        if len(self._costs) < len(self._fitting):
            self._compute_missing_costs(avoid, rack)
        return min(self._fitting, key=lambda worker: self._costs[worker.worker_id])

    def _compute_missing_costs(self, avoid: frozenset[Incarnation], rack: str) -> None:
        siblings_by_rack = self._placement.siblings_by_rack(self._workers)
        for worker in self._fitting:
            if worker.worker_id not in self._costs:
                self._costs[worker.worker_id] = self._placement.cost(
                    worker, avoid, rack, siblings_by_rack
                )

    def note_placed(self, worker: Worker) -> None:
        """Update the candidates after a task of the step was placed on a worker."""
        if self._placement.depends_on_siblings:
            # The cost of every worker of a rack depends on where the tasks of the step run.
            self._costs.clear()
        else:
            self._costs.pop(worker.worker_id, None)
        if self._placement.rejection_reason(worker) is not None:
            self._costs.pop(worker.worker_id, None)
            self._fitting.remove(worker)


def _is_lendable(worker: Worker) -> bool:
    """Whether a worker could be lent once its tasks that end have ended.

    Tasks that end are placed first on workers that can't be lent anyway, and then on the fullest,
    so that other workers become idle for the queue that has the next burst. Otherwise, at the end
    of a burst all its machines would be a third full, and none of them idle. A worker with a task
    that has a target for its response times counts as lendable, so that no task is packed beside
    it.
    """
    lasting = [run for run in worker.runs.values() if run.step.is_lasting]
    return not lasting or any(run.step.target_s for run in lasting)


def count_siblings(worker: Worker, key: tuple[str, int, int]) -> int:
    """Return how many runs of a step a worker has; see `TrackedStep.key`."""
    return sum(1 for name, _ in worker.runs if _step_of(name) == key)


def _step_of(name: TaskName) -> tuple[str, int, int]:
    return (name.job_id, name.occurrence, name.step)
