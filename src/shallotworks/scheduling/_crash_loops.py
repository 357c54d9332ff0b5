"""Which tasks crash their workers, and how they are kept from crashing more; no network.

A crashed worker says nothing of what it ran, so a crash is blamed on the runs that were young when
it died. A suspect is started apart: alone among young runs on a worker that nothing else is started
on until it has outlived the start. Its start is stored before it is sent, so that a successor knows
of it. What crashes a worker that way is the cause.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator

from shallotworks.jobs import Blame, LostRun, TaskName, is_suspect
from shallotworks.logs import LogLines

from ._entries import JobEntry
from ._model import Run, RunPhase, Worker

__all__ = ["CrashLoops"]

YOUNG_S = 0.25
"""A run that its worker has confirmed for this long is no first suspect ..."""
YOUNG_GROWTH = 2.0
"""... and this many times longer after each lost run of its task."""
LONGEST_ISOLATION_S = 8.0
SETTLE_LIMIT_S = 2.0
"""A start that is neither stored nor has its worker settled by then is given back."""
SAME_MOMENT_S = 0.05
MASS_CRASH_WORKERS = 4
"""So many workers lost at the same moment were not crashed by single tasks."""
FREQUENT_WINDOW_S = 10.0
FREQUENT_CRASHES = 3
MOST_DEATHS_KEPT = 256
BUSY_PART = 1 / 8
"""Part of the workers with other work on which suspects may be tried at once."""


class CrashLoops:
    """Blames crashes of workers on tasks, and starts suspects apart from others.

    Args:
        entries: The service's jobs by id.
        workers: Its workers by id.
        first_run_id: Runs with lower ids are of earlier terms.
        log: One line for each blame and each job that is given up.
        close: Called for a job that has failed.
    """

    __slots__ = (
        "_close",
        "_crashes",
        "_deaths",
        "_entries",
        "_first_run_id",
        "_has_blind_spot",
        "_log",
        "_unanswered",
        "_vouched",
        "_waiting",
        "_workers",
    )

    def __init__(
        self,
        *,
        entries: dict[str, JobEntry],
        workers: dict[str, Worker],
        first_run_id: int,
        log: LogLines,
        close: Callable[[JobEntry, str], None],
    ) -> None:
        self._entries = entries
        self._workers = workers
        self._first_run_id = first_run_id
        self._log = log
        self._close = close
        self._crashes: deque[float] = deque(maxlen=FREQUENT_CRASHES)
        """Time of day at which the last workers were lost with young runs."""
        self._deaths: deque[tuple[float, str]] = deque(maxlen=MOST_DEATHS_KEPT)
        """When workers closed their connections, on the scheduler's clock, and which."""
        self._waiting: dict[Run, tuple[int, float]] = {}
        """Starts that wait until they are stored and their workers have settled: the change of the
        job that has to be stored, and since when."""
        self._unanswered: dict[int, tuple[Run, Blame]] = {}
        """By its id, each run whose start was under way when its worker was known to be over."""
        self._has_blind_spot = False
        """Whether a worker was lost that may have run tasks of an earlier term."""
        self._vouched: set[str] = set()
        """Jobs of which a suspect has not crashed its worker."""

    # ---- blame

    def connection_closed(self, worker: Worker, now_s: float, wall_s: float) -> None:
        """Take note that a worker closed its connections: it may have crashed just now.

        Young runs are blamed in the store at once: this scheduler may be gone before it is certain.
        """
        if worker.closed_s is not None:
            return
        worker.closed_s = now_s
        self._deaths.append((now_s, worker.worker_id))
        self.worker_silent(worker, wall_s)

    def worker_silent(self, worker: Worker, wall_s: float) -> None:
        """Blame young runs for a worker that may have crashed."""
        young = [one for one in self._blames(worker) if one[1] is not Blame.LATE]
        if young:
            self._crashes.append(wall_s)
        for run, blame in young:
            self._note(run, worker, blame, is_certain=False, wall_s=wall_s)

    def worker_over(self, worker: Worker, wall_s: float, *, is_replaced: bool) -> None:
        """Blame runs for a worker that is over, also those that were given up before.

        Args:
            worker: The worker.
            wall_s: Time of day.
            is_replaced: Another incarnation has taken its place, so that it has crashed; else it
                may be cut off.
        """
        for run in [run for run in worker.runs.values() if run in self._waiting]:
            self.survived(run)
        for run, blame in self._blames(worker):
            if run.phase is RunPhase.STARTING:
                self._unanswered[run.run_id] = (run, blame)
            else:
                self._note(run, worker, blame, is_certain=True, wall_s=wall_s)
        for entry, name, lost in self._doubtful_on(worker.worker_id):
            if lost.run_id not in self._unanswered:
                self._confirm(entry, name, lost, wall_s, is_replaced=is_replaced)

    def start_answered(self, run: Run, wall_s: float, *, may_have_run: bool) -> None:
        """Hear what became of a start, whose worker may be known to be over by now."""
        _, blame = self._unanswered.pop(run.run_id, (run, None))
        entry = self._entries.get(run.name.job_id)
        if blame is None or entry is None or entry.progress.state.is_final:
            return
        if may_have_run:
            lost = LostRun(run_id=run.run_id, worker_id=run.worker_id, blame=blame, is_certain=True)
            self._note_lost(entry, run.name, lost, wall_s)
        else:
            self._clear(entry, run.name, run.run_id)

    def _confirm(
        self,
        entry: JobEntry,
        name: TaskName,
        lost: LostRun,
        wall_s: float,
        *,
        is_replaced: bool,
    ) -> None:
        """Make a blame certain; it is less than sole where the worker may have lived on for long.

        Of an earlier term's run it is not known whether it was cleared, and that not stored.
        """
        blame = lost.blame
        if blame is Blame.SOLE and not (is_replaced and lost.run_id > self._first_run_id):
            blame = Blame.SHARED
        self._note_lost(entry, name, lost._replace(blame=blame, is_certain=True), wall_s)

    def earlier_runs_lost(self) -> None:
        """Take note that a worker was lost, and nobody knows what an earlier term ran there."""
        self._has_blind_spot = True

    def started(self, run: Run, wall_s: float) -> None:
        """Store where a task of an earlier term runs, if runs of it may have been lost before.

        A scheduler that dies before it knows of a crash leaves no blame. So that the next one does,
        the start is stored beside being sent.
        """
        entry = self._entries[run.name.job_id]
        if self._has_blind_spot and entry.is_old and not run.step.is_lasting:
            lost = LostRun(
                run_id=run.run_id, worker_id=run.worker_id, blame=Blame.SHARED, is_certain=False
            )
            self._note_lost(entry, run.name, lost, wall_s)

    def _blames(self, worker: Worker) -> list[tuple[Run, Blame]]:
        died_s = worker.reported_s if worker.closed_s is None else worker.closed_s
        started = [run for run in worker.runs.values() if run not in self._waiting]
        if worker.isolated in started:
            others = [run for run in started if run is not worker.isolated]
            return [(worker.isolated, Blame.SOLE), *_late(others)]
        if self._is_mass_crash(died_s, worker):
            return _late(started)
        young = {run for run in started if died_s - run.confirmed_s < self._isolation_s(run)}
        tasks = {
            (run.name if not run.step.is_gang else run.name._replace(number=0)) for run in young
        }
        blame = Blame.SOLE if len(tasks) == 1 else Blame.SHARED
        return [(run, blame) for run in young] + _late(run for run in started if run not in young)

    def _is_mass_crash(self, died_s: float, worker: Worker) -> bool:
        near = {
            other
            for at_s, other in self._deaths
            if abs(at_s - died_s) <= SAME_MOMENT_S and other != worker.worker_id
        }
        return len(near) >= MASS_CRASH_WORKERS - 1

    def _note(
        self, run: Run, worker: Worker, blame: Blame, *, is_certain: bool, wall_s: float
    ) -> None:
        entry = self._entries.get(run.name.job_id)
        if entry is None or entry.progress.state.is_final or entry.progress.is_done(run.name):
            return
        lost = LostRun(
            run_id=run.run_id,
            worker_id=worker.worker_id,
            blame=blame,
            is_certain=is_certain,
        )
        self._note_lost(entry, run.name, lost, wall_s)

    def _note_lost(self, entry: JobEntry, name: TaskName, lost: LostRun, wall_s: float) -> None:
        if not entry.progress.note_lost(entry.job, name, lost, now_s=wall_s):
            return
        entry.changes += 1
        is_given_up = entry.progress.state.is_final
        self._log.line(
            "crash-blamed",
            id=name.job_id,
            task=list(name[1:]),
            run=lost.run_id,
            worker=lost.worker_id,
            blame=lost.blame.value,
            is_certain=lost.is_certain,
            runs_lost=len(entry.progress.lost_runs(entry.job, name)),
            is_given_up=is_given_up,
        )
        if is_given_up:
            self._close(entry, "crash-loop")

    def _doubtful_on(self, worker_id: str) -> list[tuple[JobEntry, TaskName, LostRun]]:
        """Return what is not certain of runs on a worker, with their jobs and tasks."""
        return [
            (entry, TaskName(entry.job.job_id, *key), lost)
            for entry in self._entries.values()
            if entry.progress.lost and not entry.progress.state.is_final
            for key, runs in entry.progress.lost.items()
            for lost in runs
            if lost.worker_id == worker_id and not lost.is_certain
        ]

    # ---- no blame

    def worker_left(self, worker: Worker) -> None:
        """Clear the runs of a worker that went as planned."""
        for run in worker.runs.values():
            self.survived(run)
        for entry, name, lost in self._doubtful_on(worker.worker_id):
            self._clear(entry, name, lost.run_id)

    def survived(self, run: Run) -> None:
        """Clear a run: its worker lives, or never had it."""
        self._waiting.pop(run, None)
        worker = self._workers.get(run.worker_id)
        if worker is not None and worker.isolated is run:
            worker.isolated = None
        entry = self._entries.get(run.name.job_id)
        if entry is not None and entry.progress.lost:
            self._clear(entry, run.name, run.run_id)

    @staticmethod
    def _clear(entry: JobEntry, name: TaskName, run_id: int) -> None:
        if entry.progress.note_survived(entry.job, name, run_id):
            entry.changes += 1

    def answered(self, worker: Worker, now_s: float) -> None:
        """Hear that a worker lives; what was started apart on it may have proved harmless."""
        worker.closed_s = None
        run = worker.isolated
        if run is None or run in self._waiting:
            return
        if now_s - run.confirmed_s >= self._isolation_s(run):
            self._vouched.add(run.name.job_id)
            self._log.line(
                "suspect-cleared",
                id=run.name.job_id,
                task=list(run.name[1:]),
                run=run.run_id,
                worker=worker.worker_id,
            )
            self.survived(run)

    def are_frequent(self, wall_s: float) -> bool:
        """Whether tasks crash one worker after the other, so that each should run few jobs."""
        crashes = self._crashes
        return len(crashes) == FREQUENT_CRASHES and wall_s - crashes[0] < FREQUENT_WINDOW_S

    # ---- suspects

    def isolation_left_s(self, worker: Worker, now_s: float) -> float | None:
        """Return how long a worker has to live on for the run that was started apart there."""
        run = worker.isolated
        if run is None or run in self._waiting:
            return None
        return max(0.0, min(run.confirmed_s, now_s) + self._isolation_s(run) - now_s)

    def _isolation_s(self, run: Run) -> float:
        entry = self._entries.get(run.name.job_id)
        if entry is None or not entry.progress.lost:
            return YOUNG_S
        earlier = entry.progress.lost_runs(entry.job, run.name)
        count = sum(1 for one in earlier if one.run_id != run.run_id)
        return float(min(LONGEST_ISOLATION_S, YOUNG_S * YOUNG_GROWTH**count))

    def suspects(self, entry: JobEntry, names: Iterable[TaskName], wall_s: float) -> list[TaskName]:
        """Return which of some waiting tasks of a job have to be started apart."""
        self._resolve(entry, wall_s)
        return [name for name in names if is_suspect(entry.progress.lost_runs(entry.job, name))]

    def _resolve(self, entry: JobEntry, wall_s: float) -> None:
        """Find out what became of workers that runs of a job, now over, may have crashed."""
        for key, runs in list(entry.progress.lost.items()):
            name = TaskName(entry.job.job_id, *key)
            alive = {run.run_id for run in entry.live.get(name, ())}
            for lost in runs:
                if lost.is_certain or lost.run_id in alive or lost.run_id in self._unanswered:
                    continue
                worker = self._workers.get(lost.worker_id)
                if worker is None:
                    self._confirm(entry, name, lost, wall_s, is_replaced=False)
                elif worker.is_fenced:
                    self._clear(entry, name, lost.run_id)

    def may_start(self, entry: JobEntry, suspects: list[TaskName]) -> list[TaskName]:
        """Return the suspects of a job that may be started now, each apart.

        The tasks of a job are much alike, so one of them goes first; see `is_held`.
        """
        if entry.job.job_id in self._vouched:
            return suspects
        return [] if self._is_trying(entry) else suspects[:1]

    def is_held(self, entry: JobEntry, suspects: list[TaskName]) -> bool:
        """Whether a job's other tasks wait: they may do the same as a suspect of the job."""
        is_doubtful = bool(suspects) or self._is_trying(entry)
        return is_doubtful and entry.job.job_id not in self._vouched

    def _is_trying(self, entry: JobEntry) -> bool:
        runs = entry.runs.values()
        return any(self._is_isolated(run) for run in runs)

    def _is_isolated(self, run: Run) -> bool:
        worker = self._workers.get(run.worker_id)
        return worker is not None and worker.isolated is run

    def places(self) -> list[Worker]:
        """Return the workers on which a suspect may be started apart, the least used first."""
        workers = list(self._workers.values())
        tried_on = [worker for worker in workers if worker.isolated is not None]
        busy = sum(1 for worker in tried_on if len(worker.runs) > 1)
        may_use_busy = busy < max(1, int(len(workers) * BUSY_PART))
        free = [
            worker
            for worker in workers
            if worker.isolated is None and (may_use_busy or not worker.runs)
        ]
        free.sort(key=_harm)
        return free

    def isolate(self, run: Run, worker: Worker, *, now_s: float, wall_s: float) -> None:
        """Keep a worker for the start of a suspect, and have the start stored first."""
        entry = self._entries[run.name.job_id]
        worker.isolated = run
        lost = LostRun(
            run_id=run.run_id, worker_id=worker.worker_id, blame=Blame.SOLE, is_certain=False
        )
        self._note_lost(entry, run.name, lost, wall_s)
        self._waiting[run] = (entry.changes, now_s)

    def ready(self, now_s: float) -> Iterator[tuple[Run, bool]]:
        """Yield the starts that no longer wait, and whether they may be sent."""
        for run, (change, since_s) in list(self._waiting.items()):
            worker = self._workers.get(run.worker_id)
            entry = self._entries.get(run.name.job_id)
            if worker is None or entry is None or run.is_stop_wanted:
                yield run, False
            elif entry.stored_changes >= change and self._is_settled(worker, run, now_s):
                del self._waiting[run]
                run.since_s = run.phase_s = now_s
                yield run, _may_start_on(worker)
            elif now_s - since_s > SETTLE_LIMIT_S:
                yield run, False

    def _is_settled(self, worker: Worker, run: Run, now_s: float) -> bool:
        """Whether no other run on a worker would be blamed for its crash."""
        others = [one for one in worker.runs.values() if one is not run]
        return all(now_s - one.confirmed_s >= YOUNG_S for one in others)

    def forget(self, job_id: str) -> None:
        """Forget a job that is over."""
        self._vouched.discard(job_id)


def _may_start_on(worker: Worker) -> bool:
    """Whether a worker on which room is held for a start may still be given it."""
    is_reached = worker.is_listed and worker.is_fenced
    return is_reached and not worker.view.is_draining and not worker.is_overfull


def _harm(worker: Worker) -> tuple[bool, int, int]:
    """Return how much would be lost with a worker."""
    has_lasting = any(run.step.is_lasting for run in worker.runs.values())
    return (has_lasting, worker.cpu_used, len(worker.runs))


def _late(runs: Iterable[Run]) -> list[tuple[Run, Blame]]:
    """Blame runs least; lasting ones not at all, since crashes of no fault of theirs add up."""
    return [(run, Blame.LATE) for run in runs if not run.step.is_lasting]
