"""State of one service's scheduler: its jobs, workers and runs; uses no network and no clock."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from shallotworks.jobs import Incarnation, JobState, Step, pending_count_key
from shallotworks.logs import StructuredLog

from ._epoch_numbers import EpochNumbers
from ._job_entries import JobEntries, StoredProgress
from ._model import EndKind, Run, Worker, WorkerReport, WorkerView
from ._report_reader import ReportReader
from ._step_advice import AdviceRequestSize
from ._tracked_jobs import TrackedJob, TrackedStep
from .teams import TeamRooms

__all__ = ["SchedulerState", "StoredProgress", "WaitingTasks"]

FRESH_REPORT_AGE_S = 2.0
"""A worker that runs lasting tasks reports once a second; one whose last report is older than this
may be dead. The platform counts a task as unavailable after 4.5 s.
Source: the platform's settings."""
ADOPTED_RUN_CONFIRM_S = 0.5
"""An adopted run counts as serving once its worker reports it this long after the adoption. A run
that an earlier scheduler has stopped is listed as serving for only 0.2 s more.
Source: the platform's settings."""


class WaitingTasks(NamedTuple):
    """Tasks of a step that wait for a worker, and whether their job can't meet its objective."""

    step: Step
    tasks: int
    is_late: bool


class SchedulerState(JobEntries):
    """Jobs, workers and runs of one service, as known in one epoch of its scheduler.

    Args:
        service: The service.
        token: The epoch's fencing token.
        log: Receives a line for each end of a run and each change in a worker's state.
    """

    __slots__ = (
        "_lasting_allowed_from_s",
        "_log",
        "_replaced_workers",
        "_report_reader",
        "advice_request_size",
        "are_teams_competing",
        "pending_recovery",
        "team_rooms",
        "teams_at_share",
    )

    def __init__(self, *, service: str, token: int, log: StructuredLog) -> None:
        super().__init__(service=service, token=token, numbers=EpochNumbers(token), log=log)
        self._log = log
        self._report_reader = ReportReader(jobs=self, log=log)
        self.pending_recovery: dict[str, float] = {}
        """Workers that may run tasks of earlier epochs and have not answered this scheduler, with
        the time on the scheduler's clock after which all these tasks have ended."""
        self.advice_request_size = AdviceRequestSize()
        self.team_rooms = TeamRooms()
        """What each team could still start at the last decision."""
        self.teams_at_share: frozenset[str] = frozenset()
        """Teams that used their share of the service or more at the last decision."""
        self.are_teams_competing = False
        """Whether several teams had work here at the last decision, and weights apply."""
        self._replaced_workers: dict[str, Incarnation] = {}
        """Workers of which another one has taken the address, by id, for as long as discovery lists
        them."""
        self._lasting_allowed_from_s: dict[str, float] = {}
        """Values of `Worker.lasting_allowed_from_s` for workers that are not in `workers` yet."""

    # ---- waiting tasks

    def is_held_back(self, tracked_job: TrackedJob) -> bool:
        """Whether no task of a job may be started until this scheduler has recovered."""
        return tracked_job.is_inherited and bool(self.pending_recovery)

    def open_steps(self) -> Iterator[TrackedStep]:
        """Yield the steps with waiting tasks that may be started.

        Jobs of earlier epochs are omitted until all workers of earlier epochs have been recovered.
        """
        for tracked_job in self.tracked_jobs.values():
            if self.is_held_back(tracked_job):
                continue
            for step in tracked_job.steps.values():
                if step.waiting:
                    yield step

    def count_jobs_with_lost_runs(self) -> int:
        """Return how many jobs wait that lost runs in crashes of workers.

        Their suspects have to be started in isolation. Steps with a proven crash are omitted, which
        come after all others.
        """
        return len(
            {
                step.tracked_job.job.job_id
                for step in self.open_steps()
                if step.tracked_job.progress.lost and not step.has_proven_crash
            }
        )

    def advised_steps(self) -> list[TrackedStep]:
        """Return the steps with waiting tasks that only workers which advice allows may run."""
        return [
            step
            for tracked_job in self.tracked_jobs.values()
            if tracked_job.job.policy.is_advised
            for step in tracked_job.steps.values()
            if step.waiting
        ]

    def tasks_to_place(self, now_s: float, wall_s: float) -> Iterator[WaitingTasks]:
        """Yield the waiting tasks by step, and lasting tasks that may soon have to be moved.

        Tasks that need advice are omitted: no number of workers is sure to hold one that may run
        them; see `advised_steps`.

        Both count as demand for workers. Otherwise a pool that waits for answers of all workers
        before it starts earlier jobs, or for the leases of a silent worker to expire, would offer
        its idle workers to other pools. Lasting tasks are not placed on an offered worker until 3 s
        after the offer was withdrawn.
        """
        for tracked_job in self.tracked_jobs.values():
            if tracked_job.job.policy.is_advised:
                continue
            for step in tracked_job.steps.values():
                if step.waiting:
                    yield WaitingTasks(step.step, len(step.waiting), step.is_hopeless(wall_s))
        for worker in self.workers.values():
            if self._may_lose_lasting_tasks(worker, now_s):
                for run in worker.runs.values():
                    if run.step.is_lasting:
                        yield WaitingTasks(run.step, 1, False)

    def is_lasting_task_in_doubt(self, now_s: float) -> bool:
        """Whether a worker with lasting tasks has not reported for longer than workers that live.

        Its tasks are started elsewhere once its lease is out.
        """
        return any(
            not _has_fresh_report(worker, now_s)
            and any(run.step.is_lasting for run in worker.runs.values())
            for worker in self.workers.values()
        )

    def _may_lose_lasting_tasks(self, worker: Worker, now_s: float) -> bool:
        is_reporting = worker.is_listed and _has_fresh_report(worker, now_s)
        # An offered worker runs nothing, so one that is cordoned and runs tasks is evacuated.
        return not is_reporting or worker.view.is_draining or worker.is_cordoned

    # ---- workers

    def update_worker(self, view: WorkerView) -> None:
        """Add a worker, or update what discovery says of it."""
        worker = self.workers.get(view.worker_id)
        if worker is None:
            worker = Worker(view=view, order_token=self._numbers.next_order_token())
            self.workers[view.worker_id] = worker
            worker.lasting_allowed_from_s = self._lasting_allowed_from_s.pop(view.worker_id, 0.0)
            return
        worker.is_listed = True
        if worker.incarnation.may_be(view.incarnation):
            worker.view = view

    def note_restarted(
        self, worker: Worker, view: WorkerView, *, now_s: float, wall_s: float, runs_end_s: float
    ) -> Worker:
        """Replace a worker by a later incarnation, which knows nothing of the earlier one.

        Runs of which the start was not confirmed are kept, on the later one, until its reports show
        that they are not there; what crashed the earlier one is judged by that. All other runs have
        ended.

        Args:
            worker: The earlier incarnation.
            view: The later incarnation.
            now_s: Time on the scheduler's clock in seconds.
            wall_s: Time of day in seconds.
            runs_end_s: Time on the scheduler's clock by which all that earlier orders have started
                on the later one has ended, if no report of it arrives.

        Returns:
            The later incarnation.
        """
        worker_id = worker.worker_id
        unconfirmed = [run for run in worker.runs.values() if run.is_unconfirmed]
        self._log.line(
            "worker-ended",
            worker=worker_id,
            reason="started again",
            born_ms=view.born_ms,
            was_born_ms=worker.view.born_ms,
            runs=len(worker.runs),
            unconfirmed=len(unconfirmed),
            silent_s=round(now_s - worker.reported_s, 2),
            token=self.token,
        )
        if worker.view.is_draining:
            self.crashes.note_worker_left(worker)
        else:
            self.crashes.note_worker_ended(
                worker, now_s, wall_s, is_replaced=True, unconfirmed=unconfirmed
            )
        restarted = worker.restart(view, order_token=self._numbers.next_order_token())
        is_told_apart = view.born_ms is not None and worker.view.born_ms is not None
        if is_told_apart and not unconfirmed:
            # No order of this epoch is under way, and the later incarnation refuses those that
            # earlier epochs sent to the earlier one.
            runs_end_s = min(runs_end_s, worker.lease_ends_s)
        restarted.lease_ends_s = runs_end_s
        restarted.isolated_runs = [run for run in worker.isolated_runs if run in unconfirmed]
        for run in unconfirmed:
            worker.remove(run)
            run.move_to_restarted(restarted.incarnation, now_s)
            restarted.add(run)
        self._lapse_runs(worker, "worker started again", now_s)
        self.workers[worker_id] = restarted
        if worker_id in self.pending_recovery:
            # An earlier scheduler may have given orders to either start.
            self.crashes.note_earlier_runs_lost()
            self.pending_recovery[worker_id] = max(self.pending_recovery[worker_id], runs_end_s)
        return restarted

    def note_replaced(self, worker_id: str, now_s: float, wall_s: float) -> None:
        """Record that a worker has ended, since another one answered at its address."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            self._replaced_workers[worker_id] = worker.incarnation
        self.note_worker_ended(worker_id, "another incarnation", now_s, wall_s, is_replaced=True)

    def drop_replaced(self, listed: dict[str, WorkerView]) -> None:
        """Remove replaced workers from ``listed``: discovery lists them for some seconds more."""
        for worker_id, replaced in list(self._replaced_workers.items()):
            view = listed.get(worker_id)
            if view is not None and replaced.is_same_or_later_than(view.incarnation):
                del listed[worker_id]
            else:
                del self._replaced_workers[worker_id]

    def defer_lasting_tasks(self, worker_id: str, until_s: float) -> None:
        """Place no lasting task on a worker before ``until_s``, also if it is added later."""
        worker = self.workers.get(worker_id)
        if worker is None:
            self._lasting_allowed_from_s[worker_id] = until_s
        else:
            worker.lasting_allowed_from_s = until_s

    def mark_unlisted(self, worker_id: str) -> None:
        """Record that discovery no longer lists a worker, which may be alive and run tasks."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.is_listed = False

    def recovery_ends_s(self, worker_id: str) -> float | None:
        """Return when all runs of earlier epochs have ended on a worker; ``None`` if it recovered.

        A worker that answers, but leaves out ends, may have its lease extended by this epoch. Its
        ends then count for as long as that lease, and so do the runs that they are of.
        """
        ends_s = self.pending_recovery.get(worker_id)
        worker = self.workers.get(worker_id)
        if ends_s is None or worker is None:
            return ends_s
        return max(ends_s, worker.lease_ends_s)

    def note_recovered(self, worker_id: str, how: str) -> None:
        """Record that a worker's runs of earlier epochs are known, or have certainly ended."""
        if self.pending_recovery.pop(worker_id, None) is not None and not self.pending_recovery:
            self._log.line("recovery-over", last_worker=worker_id, how=how, token=self.token)

    def note_worker_ended(
        self,
        worker_id: str,
        reason: str,
        now_s: float,
        wall_s: float,
        *,
        is_planned: bool = False,
        is_replaced: bool = False,
    ) -> None:
        """Record that a worker has certainly ended, with all its runs.

        Args:
            worker_id: The worker.
            reason: How this is known.
            now_s: Time on the scheduler's clock in seconds.
            wall_s: Time of day in seconds.
            is_planned: Whether the machine controller removed the worker, which has not crashed.
            is_replaced: Whether another worker has taken its place, so that it has crashed.
        """
        if worker_id in self.pending_recovery and not is_planned:
            self.crashes.note_earlier_runs_lost()
        self.note_recovered(worker_id, reason)
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        self._log.line(
            "worker-ended",
            worker=worker_id,
            reason=reason,
            runs=len(worker.runs),
            is_draining=worker.view.is_draining,
            silent_s=round(now_s - worker.reported_s, 2),
            lease_left_s=round(worker.lease_ends_s - now_s, 2),
            token=self.token,
        )
        if is_planned or worker.view.is_draining:
            self.crashes.note_worker_left(worker)
        else:
            self.crashes.note_worker_ended(worker, now_s, wall_s, is_replaced=is_replaced)
        self._lapse_runs(worker, reason, now_s)

    def expire_lease(self, worker: Worker, now_s: float, wall_s: float) -> None:
        """Record that a worker's lease has certainly expired, which has ended all its runs."""
        self._log.line(
            "worker-lease-out",
            worker=worker.worker_id,
            runs=len(worker.runs),
            silent_s=round(now_s - worker.reported_s, 2),
            token=self.token,
        )
        worker.is_fenced = False
        self.crashes.note_worker_silent(worker, now_s, wall_s)
        self._lapse_runs(worker, "lease out", now_s)

    def _lapse_runs(self, worker: Worker, reason: str, now_s: float) -> None:
        for run in list(worker.runs.values()):
            self._log.line(
                "run-lost",
                id=run.name.job_id,
                task=list(run.name[1:]),
                run=run.run_id,
                worker=worker.worker_id,
                reason=reason,
                ran_s=round(worker.reported_s - run.since_s, 3),
                silent_s=round(now_s - worker.reported_s, 2),
                token=self.token,
            )
            self.finish_run(worker, run, EndKind.LAPSED, "", now_s)

    def apply_report(
        self,
        worker: Worker,
        report: WorkerReport,
        *,
        order_token: int,
        sent_s: float,
        now_s: float,
        wall_s: float,
    ) -> None:
        """Record a worker's answer to a poll.

        Args:
            worker: The worker.
            report: Its answer.
            order_token: Fencing token of the poll, which may have been sent to an earlier
                incarnation.
            sent_s: When the poll was sent, on the scheduler's clock in seconds.
            now_s: Time on the scheduler's clock in seconds.
            wall_s: Time of day in seconds.
        """
        self._report_reader.apply(
            worker,
            report,
            order_token=order_token,
            sent_s=sent_s,
            now_s=now_s,
            wall_s=wall_s,
        )
        if not report.has_more_ends:
            self.note_recovered(worker.worker_id, "seen")

    # ---- counts

    def count_waiting_jobs(self) -> dict[str, int]:
        """Return the number of jobs of which no task has started, by queue and by address."""
        counts: dict[str, int] = {}
        for tracked_job in self.tracked_jobs.values():
            if tracked_job.progress.state is JobState.QUEUED:
                policy = tracked_job.job.policy
                counts[policy.queue] = counts.get(policy.queue, 0) + 1
                if policy.address:
                    key = pending_count_key(policy.address)
                    counts[key] = counts.get(key, 0) + 1
        return counts

    def count_not_serving(self, step: TrackedStep, *, excluding: Run, now_s: float) -> int:
        """Return how many tasks of a lasting step, besides the excluded one, may not be serving.

        A worker can die silently after it reported its task as serving. If that report still
        counted, another task of the step would be stopped although the disruption budget is spent,
        so only recent reports count.
        For the same reason, an adopted run that the previous scheduler may have stopped just before
        the adoption does not count as serving.
        """
        runs = step.tracked_job.runs
        names = (step.name(index) for index in range(step.step.count))
        others = [name for name in names if name != excluding.name]
        return sum(1 for name in others if not self._is_serving(runs.get(name), now_s))

    def _is_serving(self, run: Run | None, now_s: float) -> bool:
        if run is None or not run.is_serving or run.is_stop_requested:
            return False
        worker = self.workers.get(run.worker_id)
        if worker is None or not _has_fresh_report(worker, now_s):
            return False
        return self.has_started(run) or worker.reported_s - run.since_s >= ADOPTED_RUN_CONFIRM_S


def _has_fresh_report(worker: Worker, now_s: float) -> bool:
    return now_s - worker.reported_s < FRESH_REPORT_AGE_S
