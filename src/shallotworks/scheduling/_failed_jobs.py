"""Logs why a job has failed: each run that counted, and where it was."""

from __future__ import annotations

from shallotworks.jobs import TaskName
from shallotworks.logs import StructuredLog

from ._tracked_jobs import TrackedJob

__all__ = ["log_failed_by_crashes", "log_failed_by_ends"]

MAX_LOGGED_RUNS = 16
"""Failed runs that one line names; the latest ones."""


def log_failed_by_crashes(
    log: StructuredLog, tracked_job: TrackedJob, name: TaskName, *, token: int
) -> None:
    """Log that a job has failed since a task of it is in a crash loop.

    Args:
        log: Receives one line, with the task's lost runs.
        tracked_job: The job.
        name: The task.
        token: Fencing token of the scheduler that decides it.
    """
    runs: list[dict[str, object]] = [
        {
            "run": lost.run_id,
            "worker": lost.incarnation.worker_id,
            "born_ms": lost.incarnation.born_ms,
            "cause": lost.cause.value,
            "blame": lost.blame.value,
            "is_certain": lost.is_certain,
            "is_received": lost.is_received,
            "is_witnessed": lost.is_witnessed,
            "ran_s": lost.ran_s,
            "noted_by": lost.noted_by,
        }
        for lost in tracked_job.progress.lost_runs(tracked_job.job, name)
    ]
    _log(log, tracked_job, name, "crash-loop", runs, token)


def log_failed_by_ends(
    log: StructuredLog, tracked_job: TrackedJob, name: TaskName, *, token: int
) -> None:
    """Log that a job has failed since a task of it has failed too often.

    Args:
        log: Receives one line, with the task's failed runs. Where a run was is only known of runs
            whose ends this scheduler has read.
        tracked_job: The job.
        name: The task.
        token: Fencing token of the scheduler that decides it.
    """
    runs: list[dict[str, object]] = []
    for run_id in tracked_job.progress.failed_runs(tracked_job.job, name)[-MAX_LOGGED_RUNS:]:
        end = tracked_job.failed_ends.get(run_id)
        if end is None:
            runs.append({"run": run_id, "worker": None})
            continue
        runs.append(
            {
                "run": run_id,
                "task": list(end.name[1:]),
                "worker": end.incarnation.worker_id,
                "born_ms": end.incarnation.born_ms,
                "end": end.number,
                "noted_by": token,
            }
        )
    _log(log, tracked_job, name, "failed-runs", runs, token)


def _log(
    log: StructuredLog,
    tracked_job: TrackedJob,
    name: TaskName,
    reason: str,
    runs: list[dict[str, object]],
    token: int,
) -> None:
    log.line(
        "job-failed",
        id=tracked_job.job.job_id,
        task=list(name[1:]),
        reason=reason,
        most_attempts=tracked_job.job.policy.most_attempts,
        is_inherited=tracked_job.is_inherited,
        runs=runs,
        token=token,
    )
