"""Harness, jobs and reports for scheduling tests, without a network and on a manual clock."""

from __future__ import annotations

import zlib

from shallotworks.jobs import Job, JobProgress, QueuePolicy, Step, TaskName
from shallotworks.logs import StructuredLog
from shallotworks.scheduling import (
    DecisionEngine,
    EndedTask,
    EndKind,
    RunningTask,
    RunPhase,
    SchedulerState,
    StartOrder,
    StoredProgress,
    Worker,
    WorkerReport,
    WorkerView,
)

TOKEN = 7
WALL_S = 1_000_000.0
UNEXPIRING_LEASE_END_S = 1e9


def quiet_log() -> StructuredLog:
    """Return a log that writes nothing."""
    return StructuredLog(process="test", write=len)


def policy(**changes: object) -> QueuePolicy:
    """Return the policy of a queue."""
    given: dict[str, object] = {"queue": "sweeps", "service": "antenna", "most_attempts": 2}
    return QueuePolicy(**(given | changes))  # type: ignore[arg-type]


def job(job_id: str, *steps: Step, **changes: object) -> Job:
    """Return a job with the given steps."""
    given: dict[str, object] = {"policy": policy(), "spec": "x", "accepted_s": WALL_S}
    return Job(job_id=job_id, steps=steps, **(given | changes))  # type: ignore[arg-type]


def step(count: int, **changes: object) -> Step:
    """Return a step whose tasks take one core for one second."""
    given: dict[str, object] = {"cpu_millicores": 1000, "memory_mb": 100, "estimated_s": 1.0}
    return Step(count=count, **(given | changes))  # type: ignore[arg-type]


def view(worker_id: str, **changes: object) -> WorkerView:
    """Return the discovery entry of a worker with four cores.

    Each has an address of its own, which a worker that starts again under another id keeps.
    """
    port = 1 + zlib.crc32(worker_id.rstrip("+").encode()) % 60_000
    given: dict[str, object] = {
        "service": "antenna",
        "address": f"127.0.0.1:{port}",
        "cpu_millicores": 4000,
        "memory_mb": 4000,
    }
    return WorkerView(worker_id=worker_id, **(given | changes))  # type: ignore[arg-type]


class SchedulingHarness:
    """A scheduler state with its decision engine, and a clock that tests advance."""

    def __init__(self, *workers: WorkerView) -> None:
        self.scheduler_state = SchedulerState(service="antenna", token=TOKEN, log=quiet_log())
        self.decision_engine = DecisionEngine(scheduler_state=self.scheduler_state)
        self.now_s = 100.0
        self.ends: dict[str, int] = {}
        for one in workers:
            self.add(one)

    def add(self, one: WorkerView) -> Worker:
        """Add a worker that has reported and runs nothing."""
        self.scheduler_state.update_worker(one)
        worker = self.worker(one.worker_id)
        worker.lease_ends_s = UNEXPIRING_LEASE_END_S
        self.report(one.worker_id)
        return worker

    def restart(self, worker_id: str, later: WorkerView) -> Worker:
        """Replace a worker by a later start of it, which has not reported."""
        self.ends.pop(worker_id, None)
        return self.scheduler_state.note_restarted(
            self.worker(worker_id),
            later,
            now_s=self.now_s,
            wall_s=WALL_S,
            runs_end_s=UNEXPIRING_LEASE_END_S,
        )

    def worker(self, worker_id: str) -> Worker:
        """Return a worker."""
        return self.scheduler_state.workers[worker_id]

    def add_job(
        self,
        one: Job,
        *,
        is_inherited: bool = False,
        progress: JobProgress | None = None,
        wall_s: float = WALL_S,
    ) -> None:
        """Add a job as the scheduler does when it reads it at the given time of day."""
        self.scheduler_state.add_job(
            one,
            progress or JobProgress(queue=one.policy.queue),
            revision=1,
            is_inherited=is_inherited,
            wall_s=wall_s,
        )

    def decide(self) -> list[object]:
        """Return all decisions at the present time."""
        wall_s = WALL_S + self.now_s - 100.0
        return list(self.decision_engine.decide(now_s=self.now_s, wall_s=wall_s))

    def start_orders(self) -> list[StartOrder]:
        """Return the start orders at the present time.

        A start in isolation waits until it is stored and its worker has answered a poll. The
        harness does both at once.
        """
        decisions = self.decide()
        kept = [one for one in self.scheduler_state.workers.values() if one.isolated_runs]
        if kept:
            self.store()
            for worker in kept:
                self.report(worker.worker_id, running=_rows(worker))
            decisions += self.decide()
        return [order for order in decisions if isinstance(order, StartOrder)]

    def store(self) -> None:
        """Store the progress of all jobs."""
        for entry in self.scheduler_state.unstored_jobs():
            stored = StoredProgress(
                job_id=entry.job.job_id, changes=entry.changes, revision=entry.revision + 1
            )
            self.scheduler_state.note_stored(stored)

    def report(
        self,
        worker_id: str,
        *,
        running: tuple[RunningTask, ...] = (),
        ended: tuple[tuple[TaskName, int, EndKind], ...] = (),
        sent_s: float | None = None,
    ) -> None:
        """Let a worker answer a poll."""
        rows = []
        for name, run_id, kind in ended:
            self.ends[worker_id] = self.ends.get(worker_id, 0) + 1
            number = self.ends[worker_id]
            rows.append(EndedTask(number=number, name=name, run_id=run_id, kind=kind))
        self.scheduler_state.apply_report(
            self.worker(worker_id),
            WorkerReport(clock_ms=1000, running=running, ended=tuple(rows)),
            order_token=self.worker(worker_id).order_token,
            sent_s=self.now_s if sent_s is None else sent_s,
            now_s=self.now_s,
            wall_s=WALL_S,
        )


def _rows(worker: Worker) -> tuple[RunningTask, ...]:
    """Return the running tasks of a worker as it reports them."""
    return tuple(
        RunningTask(name=run.name, run_id=run.run_id, percent=run.percent)
        for run in worker.runs.values()
        if run.phase is RunPhase.RUNNING
    )
