"""Which worker runs a task, and what speaks against the others."""

from __future__ import annotations

from collections.abc import Iterable

from shallotworks.jobs import Step, TaskName

from ._model import Worker
from ._tracked_jobs import TrackedStep
from ._wait_reason import WaitReason

__all__ = ["LEAST_WORKERS", "Candidates", "Placement"]

LEAST_WORKERS = 3
"""A lasting step is spread over as many workers at least, so that a crash takes a third of it.

More would cost: a worker with a lasting task on it can't be lent, and the part of a step that is
expected to be down is the same either way."""

_ROOM = WaitReason.ROOM
_CORDONED = WaitReason.CORDONED
"""The usual reasons, read once: to read a member from its class takes as long as all the checks
before it, and in an overload each decision meets thousands."""


class Placement:
    """Chooses workers for the tasks of one step.

    Args:
        step: The step.
        job_id: Its job, and ...
        occurrence: ... occurrence, and ...
        number: ... its number in the job.
        now_s: The scheduler's clock.
        permits: Workers that may run it; ``None`` for all.
        is_hopeless: Its job is late already, and keeps off workers that others wait for.
        is_spread: Tasks go to the least used workers, and not to the fullest.
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
        permits: frozenset[str] | None = None,
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
        cls, entry: TrackedStep, *, now_s: float, wall_s: float, is_spread: bool = False
    ) -> Placement:
        """Return the placement of an open step's tasks.

        Args:
            entry: The step.
            now_s: The scheduler's clock.
            wall_s: Time of day in seconds since 1970.
            is_spread: Tasks go to the least used workers.
        """
        job = entry.tracked_job.job
        return cls(
            step=entry.step,
            job_id=job.job_id,
            occurrence=entry.occurrence,
            number=entry.number,
            now_s=now_s,
            permits=frozenset(entry.permits) if job.policy.is_advised else None,
            is_hopeless=entry.is_hopeless(wall_s),
            is_spread=is_spread,
        )

    def choose(
        self, workers: Iterable[Worker], *, avoid: frozenset[str], rack: str = ""
    ) -> Worker | None:
        """Return the best worker with room for one task, or ``None``; see `Candidates`."""
        return Candidates(placement=self, workers=workers).best(avoid=avoid, rack=rack)

    @property
    def is_crowding(self) -> bool:
        """Whether a placed task changes what speaks for other workers than its own."""
        return self._step.is_lasting

    def obstacle(self, worker: Worker) -> WaitReason | None:
        """Return the first reason against a worker, or ``None`` if it may run a task of this step.

        What makes it unsuitable is checked before what passes by itself, so that the reason of a
        worker which only the scheduler keeps back is not hidden by another.
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
        if self._permits is not None and worker.worker_id not in self._permits:
            return WaitReason.PERMIT
        if not worker.fits(self._step):
            return _ROOM
        return self._kept_back(worker)

    def _kept_back(self, worker: Worker) -> WaitReason | None:
        most = self._step.most_per_worker
        if most and self._count_siblings(worker) >= most:
            return WaitReason.SPREAD
        if self._is_hopeless and worker.is_yielding:
            return WaitReason.YIELDING
        if worker.isolated is not None:
            return WaitReason.QUARANTINED
        if worker.pause_until_s > self._now_s:
            return WaitReason.PAUSED
        if self._step.is_lasting and worker.lasting_from_s > self._now_s:
            return WaitReason.CLOSED_TO_LASTING
        if worker.is_cordoned:
            return _CORDONED
        return None

    def cost(
        self, worker: Worker, avoid: frozenset[str], rack: str, crowds: dict[str, int]
    ) -> tuple[float, ...]:
        """Return how badly a worker suits a task; see `Candidates.best`."""
        view = worker.view
        is_suspect = worker.avoid_until_s > self._now_s
        wanted_rack = self._step.near_rack or rack
        is_far = bool(wanted_rack) and view.rack != wanted_rack
        load = worker.cpu_used / max(1, view.cpu_millicores)
        memory = worker.memory_used / max(1, view.memory_mb)
        before = (is_suspect, worker.worker_id in avoid, is_far)
        crowd = self._crowd_cost(worker, crowds) if self.is_crowding else (0, 0, 0)
        fullness = max(load, memory)
        if self._is_spread:
            return (*before, *crowd, not self._count_siblings(worker), fullness)
        return (*before, *crowd, _is_lendable(worker), -fullness)

    def _crowd_cost(self, worker: Worker, crowds: dict[str, int]) -> tuple[float, ...]:
        """Say how badly a lasting task would stand on a worker beside others.

        Tasks whose response times have a target disturb each other, so they keep apart. Others
        stand together, up to their step's part of a worker, on workers that have lasting tasks
        already, and on racks where the step has the fewest.
        """
        siblings = self._count_siblings(worker)
        lasting = sum(1 for run in worker.runs.values() if run.step.is_lasting)
        if self._step.target_s:
            return (siblings * 4 + lasting, 0, 0)
        is_full = siblings >= -(-self._step.count // LEAST_WORKERS)
        return (siblings if is_full else 0, not lasting, crowds.get(worker.view.rack, 0))

    def crowds(self, workers: list[Worker]) -> dict[str, int]:
        """Return for each rack how many tasks of the step run there, if that matters."""
        crowds: dict[str, int] = {}
        if not self.is_crowding:
            return crowds
        for worker in workers:
            rack = worker.view.rack
            crowds[rack] = crowds.get(rack, 0) + self._count_siblings(worker)
        return crowds

    def _count_siblings(self, worker: Worker) -> int:
        return sum(1 for name, _ in worker.runs if _step_of(name) == self._key)


class Candidates:
    """The workers that may run tasks of one step, while its tasks are placed one after another.

    The load: a turn's jobs have eight tasks and more, on pools of a hundred workers. All workers
    are judged once for a step; where a task was placed, that worker alone is judged again.

    Args:
        placement: Judges workers.
        workers: All workers of the service.
    """

    __slots__ = ("_costs", "_fitting", "_known", "_placement", "_wish")

    def __init__(self, *, placement: Placement, workers: Iterable[Worker]) -> None:
        self._placement = placement
        self._known = list(workers)
        self._fitting = [one for one in self._known if placement.obstacle(one) is None]
        self._wish: tuple[frozenset[str], str] = (frozenset(), "")
        self._costs: dict[str, tuple[float, ...]] = {}
        """Costs of the fitting workers by id, for the last wish; those that changed are missing."""

    def best(self, *, avoid: frozenset[str], rack: str = "") -> Worker | None:
        """Return the best worker with room, or ``None``.

        Args:
            avoid: Workers on which this task failed; used last.
            rack: Rack of the step's other tasks, where they are slower apart; empty for any.
        """
        if not self._fitting:
            return None
        if self._wish != (avoid, rack):
            self._wish = (avoid, rack)
            self._costs.clear()
        if len(self._costs) < len(self._fitting):
            self._reckon(avoid, rack)
        return min(self._fitting, key=lambda worker: self._costs[worker.worker_id])

    def _reckon(self, avoid: frozenset[str], rack: str) -> None:
        crowds = self._placement.crowds(self._known)
        for worker in self._fitting:
            if worker.worker_id not in self._costs:
                self._costs[worker.worker_id] = self._placement.cost(worker, avoid, rack, crowds)

    def placed(self, worker: Worker) -> None:
        """Hear that a task of the step was placed on a worker."""
        if self._placement.is_crowding:
            # Where the step has its tasks decides about all workers of a rack.
            self._costs.clear()
        else:
            self._costs.pop(worker.worker_id, None)
        if self._placement.obstacle(worker) is not None:
            self._costs.pop(worker.worker_id, None)
            self._fitting.remove(worker)


def _is_lendable(worker: Worker) -> bool:
    """Whether a worker could be lent once its tasks that end are over.

    Tasks go first to workers that stay anyway, and then to the fullest, so that others come free
    for the queue whose turn is next: at the end of a turn all its machines would stand at a third,
    and none be idle. Beside tasks whose response times
    have a target nothing is crowded.
    """
    lasting = [run for run in worker.runs.values() if run.step.is_lasting]
    return not lasting or any(run.step.target_s for run in lasting)


def _step_of(name: TaskName) -> tuple[str, int, int]:
    return (name.job_id, name.occurrence, name.step)
