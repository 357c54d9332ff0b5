"""Reads workers' reports: which runs go on, which have ended, and which nobody knows of."""

from __future__ import annotations

from shallotworks.jobs import Step, TaskName
from shallotworks.logs import StructuredLog

from ._failed_jobs import log_failed_by_ends
from ._job_entries import JobEntries
from ._model import (
    UNKNOWN_STEP,
    EndedTask,
    EndKind,
    Run,
    RunningTask,
    RunPhase,
    Worker,
    WorkerReport,
)
from ._tracked_jobs import FailedEnd, TrackedJob
from .workers import may_have_copies

__all__ = ["ReportReader"]

MISSING_REPORTS_BEFORE_STOP = 2
"""A running task that this many reports of its worker do not list is stopped. One report is not
enough, since answers can arrive out of order."""
FAILED_JOBS_TO_AVOID_WORKER = 2
FAILED_JOBS_WINDOW_S = 6.0
AVOID_WORKER_S = 6.0
"""A worker on which `FAILED_JOBS_TO_AVOID_WORKER` jobs failed within `FAILED_JOBS_WINDOW_S`, with
no task done in between, is the last choice for this long. Faults of single workers last 5 to 7 s.
"""
START_PENDING_PHASES = (RunPhase.RESERVED, RunPhase.STARTING)


class ReportReader:
    """Applies workers' reports to the jobs, the runs and the worker that reports.

    Args:
        jobs: The known jobs and runs.
        log: Receives a line for each end of a run and each adopted run.
    """

    __slots__ = ("_jobs", "_log")

    def __init__(self, *, jobs: JobEntries, log: StructuredLog) -> None:
        self._jobs = jobs
        self._log = log

    def apply(
        self,
        worker: Worker,
        report: WorkerReport,
        *,
        order_token: int,
        sent_s: float,
        now_s: float,
        wall_s: float,
    ) -> None:
        """Record a worker's answer to a poll; see `SchedulerState.apply_report`."""
        worker.is_fenced = worker.is_fenced or order_token >= worker.order_token
        worker.clock_ms, worker.clock_at_s = report.clock_ms, now_s
        for end in report.ended:
            if end.number > worker.highest_seen_end:
                self._handle_end(worker, end, now_s, wall_s)
                worker.highest_seen_end = end.number
        listed = set()
        for running_task in report.running:
            listed.add((running_task.name, running_task.run_id))
            self._handle_running_task(worker, running_task, now_s)
        missing = [run for key, run in worker.runs.items() if key not in listed]
        if report.has_more_ends:
            self._note_cut_off(worker, report, missing, now_s)
        else:
            for run in missing:
                self._handle_missing_run(worker, run, sent_s, now_s, wall_s)
        worker.reported_s = now_s
        worker.first_reported_s = min(worker.first_reported_s, now_s)
        worker.has_answered_last_poll = True
        worker.note_answered(now_s)
        worker.connection_closed_s = None
        self._jobs.crashes.note_worker_answered(worker, sent_s, wall_s)
        self._jobs.isolation.note_answered(worker, now_s)

    def _handle_running_task(self, worker: Worker, running_task: RunningTask, now_s: float) -> None:
        run = worker.runs.get((running_task.name, running_task.run_id))
        if run is None:
            run = self._adopt(worker, running_task, now_s)
        if run.phase in (RunPhase.STARTING, RunPhase.UNANSWERED):
            run.enter(RunPhase.RUNNING, now_s)
        if run.possibly_lost_on is not None:
            run.possibly_lost_on = None
            self._jobs.crashes.clear_run(run)
        run.note_progress(running_task.percent, now_s)
        run.measurement, run.missing_reports = running_task.measurement, 0
        if running_task.checkpoint:
            run.checkpoint = running_task.checkpoint

    def _adopt(self, worker: Worker, running_task: RunningTask, now_s: float) -> Run:
        """Track a run that this epoch has not started, and stop it if it is not wanted."""
        tracked_job = self._jobs.tracked_jobs.get(running_task.name.job_id)
        step = _step_of(tracked_job, running_task.name)
        run = Run(
            name=running_task.name,
            run_id=running_task.run_id,
            step=step or UNKNOWN_STEP,
            incarnation=worker.incarnation,
            phase=RunPhase.RUNNING,
            since_s=now_s,
            team=tracked_job.job.team if tracked_job is not None else "",
        )
        worker.add(run)
        self._jobs.team_use.add(run.team, run.step)
        # An earlier scheduler may have taken the worker for lost, and ended before it answered.
        self._jobs.crashes.clear_run(run)
        if tracked_job is not None:
            tracked_job.add_run(run)
        if tracked_job is None or step is None or not self._may_adopt(tracked_job, run):
            self._jobs.request_stop(run, "stray")
            return run
        tracked_step = tracked_job.steps.get((running_task.name.occurrence, running_task.name.step))
        if tracked_step is not None and running_task.name.number in tracked_step.waiting:
            tracked_step.waiting.remove(running_task.name.number)
        if running_task.name in tracked_job.runs:
            tracked_job.add_copy(run)
        else:
            tracked_job.runs[running_task.name] = run
        self._jobs.mark_job_running(tracked_job)
        self._log.line(
            "run-adopted",
            id=running_task.name.job_id,
            task=list(running_task.name[1:]),
            run=running_task.run_id,
            worker=worker.worker_id,
            is_copy=run.is_copy,
            token=self._jobs.token,
        )
        return run

    def _may_adopt(self, tracked_job: TrackedJob, run: Run) -> bool:
        """Return whether a run becomes the current one of its task, even if its step is not open.

        A worker may report a run before other workers report the ends that open its step. If such
        a run were stopped as a stray, its task could start again before the stop took effect, and
        would run twice at once. Of a task that may have copies two runs are adopted, since an
        earlier scheduler may have started both.
        """
        if tracked_job.progress.state.is_final or tracked_job.progress.is_done(run.name):
            return False
        if run.name not in tracked_job.runs:
            return True
        others = [one for one in tracked_job.live_runs[run.name] if one is not run]
        return may_have_copies(run.step) and len(others) == 1

    def _handle_missing_run(
        self, worker: Worker, run: Run, sent_s: float, now_s: float, wall_s: float
    ) -> None:
        """Handle a run that its worker's report does not list.

        A start without an answer may still be carried out seconds later. Only a stop that the
        worker obeyed rules this out, since the worker then refuses the run. A report that was
        requested after the stop and does not list the run makes the run's end certain.
        """
        if run.phase in START_PENDING_PHASES or run.phase_s >= sent_s:
            return
        if run.phase is RunPhase.STOPPED:
            if run.possibly_lost_on is not None:
                self._jobs.crashes.confirm_run(run, wall_s)
            else:
                self._jobs.crashes.clear_run(run)
            self._jobs.finish_run(worker, run, EndKind.STOPPED, "", now_s)
        elif run.phase is RunPhase.UNANSWERED:
            self._jobs.request_stop(run, "start-unanswered")
        elif run.phase is RunPhase.RUNNING:
            run.missing_reports += 1
            if run.missing_reports >= MISSING_REPORTS_BEFORE_STOP:
                self._jobs.request_stop(run, "not-listed")

    def _note_cut_off(
        self, worker: Worker, report: WorkerReport, missing: list[Run], now_s: float
    ) -> None:
        """Leave the runs that a report does not list as they are, since it leaves out ends.

        Their ends may be among those. They follow once the reported ones are acknowledged, and must
        not be mistaken for tasks that stand still meanwhile.
        """
        for run in missing:
            run.progressed_s = now_s
        self._log.line(
            "ends-cut-off",
            worker=worker.worker_id,
            born_ms=worker.view.born_ms,
            ends=len(report.ended),
            last_end=worker.highest_seen_end,
            acknowledged=worker.acknowledged,
            unsettled=len(worker.unsettled_ends),
            running=len(report.running),
            runs_in_neither=len(missing),
            token=self._jobs.token,
        )

    def _handle_end(self, worker: Worker, end: EndedTask, now_s: float, wall_s: float) -> None:
        run = worker.runs.get((end.name, end.run_id))
        tracked_job = self._jobs.tracked_jobs.get(end.name.job_id)
        self._log.line(
            "run-ended",
            id=end.name.job_id,
            task=list(end.name[1:]),
            run=end.run_id,
            worker=worker.worker_id,
            born_ms=worker.view.born_ms,
            end=end.number,
            how=end.kind.value,
            ran_s=round(now_s - run.since_s, 3) if run is not None else None,
            token=self._jobs.token,
        )
        if tracked_job is not None and _step_of(tracked_job, end.name) is not None:
            self._record_end(tracked_job, worker, end, now_s, wall_s)
        if tracked_job is not None and tracked_job.is_dirty:
            # An end that changes nothing is needless only because of changes before it.
            self._jobs.hold_back_end(tracked_job, worker, end.number)
        if run is not None:
            if end.kind is EndKind.DONE:
                if run.marks:
                    run.note_progress(100, now_s)
                self._jobs.evidence.note_done(worker, run, now_s)
                self._jobs.isolation.note_done(worker, run)
            self._jobs.crashes.clear_run(run)
            self._jobs.finish_run(worker, run, end.kind, end.checkpoint, now_s)

    def _record_end(
        self, tracked_job: TrackedJob, worker: Worker, end: EndedTask, now_s: float, wall_s: float
    ) -> None:
        """Add a run's end to its job's progress."""
        if tracked_job.progress.state.is_final:
            return
        if end.kind is EndKind.DONE:
            worker.failed_jobs.clear()
            worker.avoid_until_s = 0.0
            self._jobs.record_done(tracked_job, end.name, end.run_id, wall_s)
            return
        if end.kind is not EndKind.FAILED:
            return
        self._note_failed_job(worker, tracked_job.job.job_id, now_s)
        if tracked_job.progress.is_done(end.name):
            # The other run of the task was done first, so that this one is no attempt any more.
            return
        tracked_job.avoided_workers[end.name] = tracked_job.avoided_workers.get(
            end.name, frozenset()
        ) | {worker.incarnation}
        if not tracked_job.progress.note_failed(
            tracked_job.job, end.name, end.run_id, now_s=wall_s
        ):
            return
        tracked_job.changes += 1
        tracked_job.failed_ends[end.run_id] = FailedEnd(end.name, worker.incarnation, end.number)
        if tracked_job.progress.state.is_final:
            log_failed_by_ends(self._log, tracked_job, end.name, token=self._jobs.token)
            self._jobs.close_job(tracked_job, "job-failed")

    def _note_failed_job(self, worker: Worker, job_id: str, now_s: float) -> None:
        worker.failed_jobs[job_id] = now_s
        recent = [at for at in worker.failed_jobs.values() if now_s - at < FAILED_JOBS_WINDOW_S]
        if len(recent) < FAILED_JOBS_TO_AVOID_WORKER:
            return
        worker.avoid_until_s = now_s + AVOID_WORKER_S
        self._log.line(
            "worker-suspected",
            worker=worker.worker_id,
            failed_jobs=len(recent),
            window_s=FAILED_JOBS_WINDOW_S,
            for_s=AVOID_WORKER_S,
        )


def _step_of(tracked_job: TrackedJob | None, name: TaskName) -> Step | None:
    if tracked_job is None or not 0 <= name.step < len(tracked_job.job.steps):
        return None
    step = tracked_job.job.steps[name.step]
    is_within = 0 <= name.number < step.count and 0 <= name.occurrence < tracked_job.job.occurrences
    return step if is_within else None
