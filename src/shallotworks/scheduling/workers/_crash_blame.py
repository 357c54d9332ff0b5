"""Decides which runs are blamed for the crash of their worker; no network calls.

A crashed worker doesn't report what it ran, so the crash is blamed on the runs that were on
probation when the worker died. The blame is stored in the progress of the job, so that a succeeding
scheduler knows of it.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable

from shallotworks.jobs import Blame, Incarnation, LossCause, LostRun, TaskName
from shallotworks.logs import StructuredLog

from .._failed_jobs import log_failed_by_crashes
from .._model import Run, RunPhase, Worker, WorkerView
from .._tracked_jobs import TrackedJob
from ._loss_witness import LossWitness

__all__ = ["MIN_PROBATION_S", "CrashBlame"]

MIN_PROBATION_S = 0.25
"""A run is on probation until its worker has survived it for this long after confirming it. Runs on
probation are the first suspects."""
PROBATION_GROWTH_FACTOR = 2.0
"""The probation time is multiplied by this for each lost run of the same task."""
PROMPT_CRASH_S = 0.7
"""A worker that goes within this time of a start is taken for crashed by it. A later crash counts
only if it comes as long after the start as `MIN_ALIKE_CRASHES` earlier ones of the task."""
MIN_ALIKE_CRASHES = 2
MAX_PROBATION_S = 8.0
"""Upper bound of the probation time."""
MIN_LATE_CRASHES = 3
"""From this many lost runs on, the probation lasts `LATE_PROBATION_FACTOR` times as long as the
longest of them, so that a task that crashes its workers after some seconds is found in time."""
LATE_PROBATION_FACTOR = 2.0
MASS_CRASH_WINDOW_S = 0.05
"""Workers lost within this time of each other count as lost at the same moment."""
MIN_MASS_CRASH_WORKERS = 4
"""If this many workers are lost at the same moment, no single task is taken for the cause."""
FREQUENT_CRASH_WINDOW_S = 10.0
"""Crashes are frequent if `FREQUENT_CRASH_COUNT` of them fall within this time."""
FREQUENT_CRASH_COUNT = 3
MAX_GANG_PROBATION_S = 1.0
"""Upper bound for a gang, which holds several workers meanwhile."""
MAX_UNLISTED_KEPT = 256
"""Number of ended workers of which the address is remembered."""
MAX_CONNECTION_LOSSES_KEPT = 256
"""Number of closed connections remembered to detect mass crashes."""


class CrashBlame:
    """Blames crashes of workers on tasks, and fails jobs whose tasks crash repeatedly.

    Args:
        tracked_jobs: The service's jobs by id.
        workers: The service's workers by id.
        first_run_id: Runs with lower ids belong to earlier epochs.
        token: Fencing token of this epoch.
        log: Receives a line for each blame, which also says whether the job is failed.
        close: Called with a job that has failed, and the reason.
    """

    __slots__ = (
        "_close",
        "_connection_losses",
        "_crashes",
        "_doubted",
        "_first_run_id",
        "_log",
        "_may_miss_crashes",
        "_token",
        "_tracked_jobs",
        "_unanswered_starts",
        "_unlisted",
        "_witness",
        "_workers",
    )

    def __init__(
        self,
        *,
        tracked_jobs: dict[str, TrackedJob],
        workers: dict[str, Worker],
        first_run_id: int,
        token: int,
        log: StructuredLog,
        close: Callable[[TrackedJob, str], None],
    ) -> None:
        self._tracked_jobs = tracked_jobs
        self._workers = workers
        self._first_run_id = first_run_id
        self._token = token
        self._log = log
        self._close = close
        self._crashes: deque[float] = deque(maxlen=FREQUENT_CRASH_COUNT)
        """Time of day, in seconds since 1970, of the latest losses of workers with runs on
        probation."""
        self._connection_losses: deque[tuple[float, str, bool]] = deque(
            maxlen=MAX_CONNECTION_LOSSES_KEPT
        )
        """Time on the scheduler's clock at which workers closed their connections, their ids, and
        whether they had isolated runs, which may explain the loss."""
        self._unanswered_starts: dict[int, tuple[Blame, LossCause]] = {}
        """Blame and cause by run id for runs whose start was unanswered when their worker ended."""
        self._witness = LossWitness(workers=workers)
        self._unlisted: dict[str, Incarnation] = {}
        """Workers that ended since they were not listed any more, by address."""
        self._doubted: set[Incarnation] = set()
        """Workers that may have crashed, whose runs on probation are recorded as lost with them."""
        self._may_miss_crashes = False
        """Whether a worker was lost that may have run tasks of an earlier epoch."""

    # ---- blame

    def note_connection_closed(self, worker: Worker, now_s: float, wall_s: float) -> None:
        """Record that a worker closed its connections, since it may have crashed just now.

        Runs on probation are blamed and stored at once, because this scheduler may end before the
        crash is certain.
        """
        if worker.connection_closed_s is not None:
            return
        worker.connection_closed_s = now_s
        self._connection_losses.append((now_s, worker.worker_id, bool(worker.isolated_runs)))
        self._doubted.discard(worker.incarnation)
        self._note_other_loss(worker, now_s, wall_s, is_silent=False)
        self._note_doubt(worker, now_s, wall_s, LossCause.CONNECTIONS_CLOSED)

    def note_worker_silent(self, worker: Worker, now_s: float, wall_s: float) -> None:
        """Blame the runs on probation of a worker that has not answered, and may have crashed."""
        self._note_other_loss(worker, now_s, wall_s, is_silent=True)
        self._note_doubt(worker, now_s, wall_s, LossCause.SILENT)

    def note_asked_worker_silent(self, worker: Worker, now_s: float, wall_s: float) -> None:
        """Record that a worker has not answered which was asked after the loss of another one."""
        if self.is_asked(worker):
            self._note_other_loss(worker, now_s, wall_s, is_silent=True)

    def _note_other_loss(
        self, worker: Worker, now_s: float, wall_s: float, *, is_silent: bool
    ) -> None:
        if worker.isolated_runs:
            witnessed = self._witness.note_explained_loss(worker)
            self._set_witnessed(witnessed, wall_s, is_witnessed=True)
            return
        spoiled = self._witness.note_other_loss(worker, now_s, is_silent=is_silent)
        self._set_witnessed(spoiled, wall_s, is_witnessed=False)

    def _note_doubt(self, worker: Worker, now_s: float, wall_s: float, cause: LossCause) -> None:
        """Blame the runs on probation of a worker that may have crashed, once until it answers."""
        if worker.incarnation in self._doubted:
            return
        self._doubted.add(worker.incarnation)
        on_probation = [one for one in self._assign_blame(worker) if one[1] is not Blame.LATE]
        if on_probation:
            self._crashes.append(wall_s)
        for run, blame in on_probation:
            is_known = cause is LossCause.CONNECTIONS_CLOSED or run in worker.isolated_runs
            ran_s = max(0.0, now_s - run.since_s) if is_known else 0.0
            self._note(run, blame, is_certain=False, cause=cause, wall_s=wall_s, ran_s=ran_s)
        suspects = [
            run
            for run, blame in on_probation
            if blame is Blame.SOLE and self._has_gone_as_expected(worker, run, now_s)
        ]
        if suspects:
            is_silent = cause is LossCause.SILENT
            witnessed = self._witness.note_loss(worker, suspects, now_s, is_silent=is_silent)
            self._set_witnessed(witnessed, wall_s, is_witnessed=True)

    def _set_witnessed(self, runs: list[Run], wall_s: float, *, is_witnessed: bool) -> None:
        """Record whether runs were lost with a worker that went alone."""
        for run in runs:
            tracked_job = self._tracked_jobs.get(run.name.job_id)
            if tracked_job is None or tracked_job.progress.state.is_final:
                continue
            for lost in tracked_job.progress.lost_runs(tracked_job.job, run.name):
                if lost.run_id == run.run_id and (is_witnessed or not lost.is_certain):
                    changed = lost._replace(is_witnessed=is_witnessed)
                    self.note_lost(tracked_job, run.name, changed, wall_s)

    def is_asked(self, worker: Worker) -> bool:
        """Whether a worker is to be polled because of the loss of another one."""
        return self._witness.is_asked(worker)

    def note_worker_answered(self, worker: Worker, sent_s: float, wall_s: float) -> None:
        """Withdraw what was recorded of a worker that may have crashed, and has answered a poll."""
        witnessed = self._witness.note_report(worker, sent_s)
        self._set_witnessed(witnessed, wall_s, is_witnessed=True)
        self._witness.forget(worker)
        if worker.incarnation not in self._doubted:
            return
        self._doubted.discard(worker.incarnation)
        for run in list(worker.runs.values()):
            if run in worker.isolated_runs:
                # Its worker has to outlive its probation yet.
                self.note_isolated(run, wall_s)
            else:
                self.clear_run(run)

    def note_isolated(self, run: Run, wall_s: float) -> None:
        """Record the start of a suspect, of which a successor would learn nothing else."""
        if run.step.is_gang and self._is_lost_elsewhere(run):
            return
        self._note(run, Blame.SOLE, is_certain=False, cause=LossCause.UNKNOWN, wall_s=wall_s)

    def note_worker_ended(
        self,
        worker: Worker,
        now_s: float,
        wall_s: float,
        *,
        is_replaced: bool,
        unconfirmed: Collection[Run] = (),
    ) -> None:
        """Blame the runs of a worker that has ended, and confirm earlier uncertain losses on it.

        Args:
            worker: The worker.
            now_s: Time on the scheduler's clock in seconds.
            wall_s: Time of day in seconds since 1970.
            is_replaced: Whether another incarnation has taken the worker's place, so that it has
                crashed. Otherwise it may only be unreachable.
            unconfirmed: Its runs that a later incarnation may have received instead. Their blame
                stays uncertain until a report of the later one shows whether it has them.
        """
        cause = LossCause.REPLACED if is_replaced else LossCause.UNLISTED
        if not worker.isolated_runs:
            self._witness.note_other_end(worker, now_s)
        if not is_replaced:
            self._unlisted[worker.view.address] = worker.incarnation
            while len(self._unlisted) > MAX_UNLISTED_KEPT:
                del self._unlisted[next(iter(self._unlisted))]
        for run in worker.runs.values():
            if run.phase is RunPhase.RESERVED:
                self.clear_run(run)
        for run, blame in self._assign_blame(worker):
            if run.phase is RunPhase.STARTING and run not in unconfirmed:
                self._unanswered_starts[run.run_id] = (blame, cause)
            else:
                is_certain = run not in unconfirmed
                closed_s = worker.connection_closed_s
                ran_s = max(0.0, closed_s - run.since_s) if closed_s is not None else 0.0
                self._note(
                    run, blame, is_certain=is_certain, cause=cause, wall_s=wall_s, ran_s=ran_s
                )
        pending = self._unanswered_starts.keys() | {run.run_id for run in unconfirmed}
        for tracked_job, name, lost in self._uncertain_losses_on(worker.incarnation):
            if lost.run_id not in pending:
                self._confirm(tracked_job, name, lost, wall_s, is_replaced=is_replaced)
        self._doubted.discard(worker.incarnation)

    def note_worker_added(self, view: WorkerView, wall_s: float) -> None:
        """Record that a worker has come in the place of one that was not listed any more."""
        earlier = self._unlisted.get(view.address)
        if earlier is None or earlier == view.incarnation:
            return
        del self._unlisted[view.address]
        for tracked_job in list(self._tracked_jobs.values()):
            if tracked_job.progress.state.is_final:
                continue
            for key, runs in list(tracked_job.progress.lost.items()):
                name = TaskName(tracked_job.job.job_id, *key)
                for lost in runs:
                    if lost.incarnation == earlier and lost.cause is not LossCause.REPLACED:
                        replaced = lost._replace(cause=LossCause.REPLACED)
                        self.note_lost(tracked_job, name, replaced, wall_s)

    def confirm_run(self, run: Run, wall_s: float) -> None:
        """Record that a run was lost with an earlier incarnation, if that received it."""
        tracked_job = self._tracked_jobs.get(run.name.job_id)
        if tracked_job is None or tracked_job.progress.state.is_final:
            return
        for lost in tracked_job.progress.lost_runs(tracked_job.job, run.name):
            if lost.run_id == run.run_id and not lost.is_certain:
                self._confirm(tracked_job, run.name, lost, wall_s, is_replaced=True)

    def note_start_answered(
        self, run: Run, wall_s: float, *, may_have_run: bool, is_received: bool = False
    ) -> None:
        """Record the outcome of a start whose worker may have ended in the meantime.

        Args:
            run: The run.
            wall_s: Time of day in seconds since 1970.
            may_have_run: Whether the worker may have received the start.
            is_received: Whether it certainly has.
        """
        unanswered = self._unanswered_starts.pop(run.run_id, None)
        if unanswered is None:
            return
        if not may_have_run:
            self.clear_run(run)
            return
        blame, cause = unanswered
        self._note(run, blame, is_certain=True, cause=cause, wall_s=wall_s, is_received=is_received)

    def _confirm(
        self,
        tracked_job: TrackedJob,
        name: TaskName,
        lost: LostRun,
        wall_s: float,
        *,
        is_replaced: bool,
    ) -> None:
        """Make a blame certain; sole blame becomes shared where the cause is in doubt.

        A worker that was not replaced may have survived the run for long. A run of an earlier epoch
        whose loss nobody witnessed may have been cleared by a scheduler that ended before it stored
        that.
        """
        blame, cause = lost.blame, LossCause.REPLACED
        is_known = is_replaced and lost.run_id > self._first_run_id
        if blame is Blame.SOLE and not (is_known or lost.is_witnessed):
            blame = Blame.SHARED
        if not is_replaced:
            is_closed = lost.cause is LossCause.CONNECTIONS_CLOSED
            cause = LossCause.CONNECTIONS_CLOSED if is_closed else LossCause.UNLISTED
        confirmed = lost._replace(blame=blame, is_certain=True, cause=cause)
        self.note_lost(tracked_job, name, confirmed, wall_s)

    def note_earlier_runs_lost(self) -> None:
        """Record that a worker was lost whose runs of an earlier epoch are unknown."""
        self._may_miss_crashes = True

    def note_started(self, run: Run, wall_s: float) -> None:
        """Store where a task of an earlier epoch's job starts, if its lost runs may be unrecorded.

        A scheduler that ends before it detects a crash leaves no blame. The start is therefore
        stored while it is sent, so that the next scheduler can blame it.
        """
        tracked_job = self._tracked_jobs[run.name.job_id]
        if self._may_miss_crashes and tracked_job.is_inherited and not run.step.is_lasting:
            self._note(run, Blame.SHARED, is_certain=False, cause=LossCause.UNKNOWN, wall_s=wall_s)

    def _assign_blame(self, worker: Worker) -> list[tuple[Run, Blame]]:
        """Return the runs on a worker that are to blame for its crash, each with its blame."""
        started = [run for run in worker.runs.values() if run.phase is not RunPhase.RESERVED]
        isolated = [run for run in started if run in worker.isolated_runs]
        lost_with = self._count_lost_with(worker, is_explained_too=not isolated)
        is_mass_crash = lost_with >= MIN_MASS_CRASH_WORKERS - 1
        if isolated:
            blame = Blame.LATE if is_mass_crash else Blame.SOLE
            others = [run for run in started if run not in isolated]
            return [*((run, blame) for run in isolated), *_late_blames(others)]
        if is_mass_crash:
            return _late_blames(started)
        # The age of a run counts up to the last report, not to the close of the connections,
        # because a worker that lost power closes none.
        lived_s = worker.last_seen_s
        on_probation = [run for run in started if lived_s - run.confirmed_s < self.probation_s(run)]
        tasks = {
            (run.name if not run.step.is_gang else run.name._replace(number=0))
            for run in on_probation
        }
        blame = Blame.SOLE if len(tasks) == 1 else Blame.SHARED
        return [(run, blame) for run in on_probation] + _late_blames(
            run for run in started if run not in on_probation
        )

    def _has_gone_as_expected(self, worker: Worker, run: Run, now_s: float) -> bool:
        """Whether a worker was heard of when this epoch started a run, and went as if by it.

        A silent worker may have gone before the start arrived, unless it confirmed that.
        """
        if run.phase is RunPhase.RESERVED or run.run_id <= self._first_run_id:
            return False
        if worker.connection_closed_s is not None or run in worker.isolated_runs:
            was_alive = worker.last_seen_s >= run.since_s - MIN_PROBATION_S
        else:
            was_alive = run.confirmed_s < math.inf
        if not was_alive or _gone_s(worker) - run.since_s > self.probation_s(run):
            return False
        ran_s = now_s - run.since_s
        return ran_s <= PROMPT_CRASH_S or self._has_crashed_alike(run, ran_s)

    def _has_crashed_alike(self, run: Run, ran_s: float) -> bool:
        """Whether earlier runs of a task crashed their workers after about the same time."""
        tracked_job = self._tracked_jobs.get(run.name.job_id)
        if tracked_job is None:
            return False
        alike = [
            lost
            for lost in tracked_job.progress.lost_runs(tracked_job.job, run.name)
            if lost.run_id != run.run_id and lost.is_crash and lost.is_alike(ran_s)
        ]
        return len(alike) >= MIN_ALIKE_CRASHES

    def _count_lost_with(self, worker: Worker, *, is_explained_too: bool) -> int:
        """Return how many other workers closed their connections at the same moment as this one.

        Args:
            worker: The worker.
            is_explained_too: Whether workers with isolated runs count.
        """
        if worker.connection_closed_s is None:
            return 0
        near = {
            other
            for at_s, other, is_explained in self._connection_losses
            if abs(at_s - worker.connection_closed_s) <= MASS_CRASH_WINDOW_S
            and other != worker.worker_id
            and (is_explained_too or not is_explained)
        }
        return len(near)

    def _note(
        self,
        run: Run,
        blame: Blame,
        *,
        is_certain: bool,
        cause: LossCause,
        wall_s: float,
        is_received: bool = False,
        ran_s: float = 0.0,
    ) -> None:
        tracked_job = self._tracked_jobs.get(run.name.job_id)
        if (
            tracked_job is None
            or tracked_job.progress.state.is_final
            or tracked_job.progress.is_done(run.name)
        ):
            return
        lost_runs = tracked_job.progress.lost_runs(tracked_job.job, run.name)
        earlier = next((lost for lost in lost_runs if lost.run_id == run.run_id), None)
        if earlier is not None and cause is not LossCause.UNKNOWN:
            ran_s = max(ran_s, earlier.ran_s)
        was_witnessed = earlier is not None and earlier.is_witnessed
        lost = LostRun(
            run_id=run.run_id,
            incarnation=run.incarnation,
            blame=blame,
            is_certain=is_certain,
            is_received=is_received or run.confirmed_s < math.inf,
            cause=cause,
            is_witnessed=was_witnessed and cause is not LossCause.UNKNOWN,
            ran_s=round(ran_s, 3),
        )
        self.note_lost(tracked_job, run.name, lost, wall_s)

    def note_lost(
        self, tracked_job: TrackedJob, name: TaskName, lost: LostRun, wall_s: float
    ) -> None:
        """Add a lost run to the progress of its job, and close the job if that has failed."""
        lost = lost._replace(noted_by=self._token)
        if not tracked_job.progress.note_lost(tracked_job.job, name, lost, now_s=wall_s):
            return
        tracked_job.changes += 1
        is_given_up = tracked_job.progress.state.is_final
        self._log.line(
            "crash-blamed",
            id=name.job_id,
            task=list(name[1:]),
            run=lost.run_id,
            worker=lost.incarnation.worker_id,
            born_ms=lost.incarnation.born_ms,
            blame=lost.blame.value,
            is_certain=lost.is_certain,
            is_received=lost.is_received,
            is_witnessed=lost.is_witnessed,
            cause=lost.cause.value,
            runs_lost=len(tracked_job.progress.lost_runs(tracked_job.job, name)),
            is_given_up=is_given_up,
        )
        if is_given_up:
            log_failed_by_crashes(self._log, tracked_job, name, token=self._token)
            self._close(tracked_job, "crash-loop")

    def _uncertain_losses_on(
        self, incarnation: Incarnation
    ) -> list[tuple[TrackedJob, TaskName, LostRun]]:
        """Return the uncertain lost runs on one incarnation, with their jobs and tasks."""
        return [
            (tracked_job, TaskName(tracked_job.job.job_id, *key), lost)
            for tracked_job in self._tracked_jobs.values()
            if tracked_job.progress.lost and not tracked_job.progress.state.is_final
            for key, runs in tracked_job.progress.lost.items()
            for lost in runs
            if lost.incarnation.may_be(incarnation) and not lost.is_certain
        ]

    def resolve(self, tracked_job: TrackedJob, wall_s: float) -> None:
        """Confirm or clear the uncertain lost runs of a job that are no longer tracked as alive.

        A run is confirmed if its worker is not known any more or has started again, and cleared if
        its worker has answered this scheduler.
        """
        for key, runs in list(tracked_job.progress.lost.items()):
            name = TaskName(tracked_job.job.job_id, *key)
            alive = {run.run_id for run in tracked_job.live_runs.get(name, ())}
            for lost in runs:
                if (
                    lost.is_certain
                    or lost.run_id in alive
                    or lost.run_id in self._unanswered_starts
                ):
                    continue
                worker = self._workers.get(lost.incarnation.worker_id)
                if worker is None:
                    self._confirm(tracked_job, name, lost, wall_s, is_replaced=False)
                elif worker.incarnation.is_later_than(lost.incarnation):
                    self._confirm(tracked_job, name, lost, wall_s, is_replaced=True)
                elif worker.is_fenced:
                    self._clear(tracked_job, name, lost.run_id)

    # ---- no blame

    def note_outlived(self, worker: Worker, run: Run) -> None:
        """Clear a run that its worker has outlived, which refutes earlier blame of its task.

        That of a gang is refuted once the workers of all its members have outlived them.
        """
        self.clear_run(run)
        tracked_job = self._tracked_jobs.get(run.name.job_id)
        if tracked_job is None or (run.step.is_gang and self._is_gang_in_doubt(run)):
            return
        lived_s = worker.last_seen_s - run.since_s
        if tracked_job.progress.note_outlived(tracked_job.job, run.name, lived_s):
            tracked_job.changes += 1

    def _is_gang_in_doubt(self, run: Run) -> bool:
        """Whether a member of a gang is isolated yet, or was lost with its worker."""
        tracked_job = self._tracked_jobs[run.name.job_id]
        members = [
            other
            for runs in tracked_job.live_runs.values()
            for other in runs
            if other.run_id == run.run_id
        ]
        isolated = (
            other in self._workers[other.worker_id].isolated_runs
            for other in members
            if other.worker_id in self._workers
        )
        return len(members) < run.step.count or any(isolated) or self._is_recorded(tracked_job, run)

    @staticmethod
    def _is_recorded(tracked_job: TrackedJob, run: Run) -> bool:
        lost_runs = tracked_job.progress.lost_runs(tracked_job.job, run.name)
        return any(lost.run_id == run.run_id for lost in lost_runs)

    def note_worker_left(self, worker: Worker) -> None:
        """Clear the runs of a worker that left as planned."""
        self._doubted.discard(worker.incarnation)
        self._witness.forget(worker)
        for run in worker.runs.values():
            self.clear_run(run)
        for tracked_job, name, lost in self._uncertain_losses_on(worker.incarnation):
            self._clear(tracked_job, name, lost.run_id)

    def clear_run(self, run: Run) -> None:
        """Clear a run whose worker is alive or never received it."""
        worker = self._workers.get(run.worker_id)
        if worker is not None and run in worker.isolated_runs:
            worker.isolated_runs.remove(run)
        tracked_job = self._tracked_jobs.get(run.name.job_id)
        if tracked_job is None or not tracked_job.progress.lost:
            return
        if run.step.is_gang and self._is_lost_elsewhere(run):
            return
        self._clear(tracked_job, run.name, run.run_id)

    def _is_lost_elsewhere(self, run: Run) -> bool:
        """Whether a gang's run is recorded as lost with the worker of another member."""
        tracked_job = self._tracked_jobs.get(run.name.job_id)
        return tracked_job is not None and any(
            lost.run_id == run.run_id
            and lost.incarnation.worker_id != run.worker_id
            and lost.cause is not LossCause.UNKNOWN
            for lost in tracked_job.progress.lost_runs(tracked_job.job, run.name)
        )

    @staticmethod
    def _clear(tracked_job: TrackedJob, name: TaskName, run_id: int) -> None:
        if tracked_job.progress.note_survived(tracked_job.job, name, run_id):
            tracked_job.changes += 1

    def are_frequent(self, wall_s: float) -> bool:
        """Whether workers crash so often that each of them should run few jobs."""
        crashes = self._crashes
        return (
            len(crashes) == FREQUENT_CRASH_COUNT and wall_s - crashes[0] < FREQUENT_CRASH_WINDOW_S
        )

    def probation_s(self, run: Run) -> float:
        """Return how many seconds a worker has to survive a run before the run is no suspect."""
        tracked_job = self._tracked_jobs.get(run.name.job_id)
        if tracked_job is None or not tracked_job.progress.lost:
            return MIN_PROBATION_S
        lost_runs = tracked_job.progress.lost_runs(tracked_job.job, run.name)
        earlier = [one for one in lost_runs if one.run_id != run.run_id]
        probation_s = MIN_PROBATION_S * PROBATION_GROWTH_FACTOR ** len(earlier)
        if len(earlier) >= MIN_LATE_CRASHES:
            longest_s = max(one.ran_s for one in earlier)
            probation_s = max(probation_s, LATE_PROBATION_FACTOR * longest_s)
        return min(MAX_GANG_PROBATION_S if run.step.is_gang else MAX_PROBATION_S, probation_s)


def _gone_s(worker: Worker) -> float:
    """Return when a worker closed its connections or, if it has not, was last heard of."""
    closed_s = worker.connection_closed_s
    return closed_s if closed_s is not None else worker.last_seen_s


def _late_blames(runs: Iterable[Run]) -> list[tuple[Run, Blame]]:
    """Return late blame for all runs but lasting ones.

    A lasting run outlives many tasks, and would collect blame for unrelated crashes.
    """
    return [(run, Blame.LATE) for run in runs if not run.step.is_lasting]
