"""A job through schedulers in turn, whose workers list ends that an oracle counts."""

from __future__ import annotations

from shallotworks.jobs import (
    Incarnation,
    Job,
    JobProgress,
    JobState,
    TaskName,
    decode_progress,
    encode_progress,
)
from shallotworks.scheduling import (
    DecisionEngine,
    EndedTask,
    EndKind,
    Run,
    RunningTask,
    SchedulerState,
    StoredProgress,
    WorkerReport,
    WorkerView,
)
from tests.scheduling_fakes import (
    TOKEN,
    UNEXPIRING_LEASE_END_S,
    WALL_S,
    SchedulingHarness,
    quiet_log,
    view,
)

JOB_ID = "00000000000000aa"
WORKER_IDS = ("a", "b", "c")
FIRST_BORN_MS = 1_700_000_000_000
ENDS_PER_ANSWER = 500
"""Source: the platform's protocol."""
PROBATION_OVER_S = 20.0
"""A run that its worker has survived for longer is not blamed for the worker's end."""

AttemptKey = tuple[int, int, int]
"""The occurrence, the step, and the number of a task or 0 for a gang."""


def attempt_key(one: Job, name: TaskName) -> AttemptKey:
    """Return what an end is an attempt of."""
    number = 0 if one.steps[name.step].is_gang else name.number
    return (name.occurrence, name.step, number)


class ListingWorker:
    """One incarnation of a worker as it is, whatever schedulers know of it."""

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.running: list[tuple[TaskName, int]] = []
        self.ended: list[EndedTask] = []
        self._end_count = 0

    def end(self, name: TaskName, run_id: int, kind: EndKind) -> None:
        """List an end."""
        if (name, run_id) in self.running:
            self.running.remove((name, run_id))
        self._end_count += 1
        number = self._end_count
        self.ended.append(EndedTask(number=number, name=name, run_id=run_id, kind=kind))


class AttemptHistory:
    """One job through schedulers in turn, workers that list ends, and a count of failed runs.

    Args:
        one: The job.
        is_born_stated: Whether workers state when they started.
    """

    def __init__(self, one: Job, *, is_born_stated: bool = True) -> None:
        self.job = one
        self.is_born_stated = is_born_stated
        self.record = encode_progress(JobProgress(queue=one.policy.queue))
        self.failed_runs: dict[AttemptKey, set[tuple[Incarnation, int]]] = {}
        self._start_count = 0
        self._token = TOKEN
        self.workers = {worker_id: self._begin(worker_id) for worker_id in WORKER_IDS}
        self.harness = self._make_harness(is_inherited=False)

    def _begin(self, worker_id: str) -> ListingWorker:
        self._start_count += 1
        born_ms = FIRST_BORN_MS + self._start_count if self.is_born_stated else None
        return ListingWorker(Incarnation(worker_id=worker_id, born_ms=born_ms))

    def _view(self, worker_id: str) -> WorkerView:
        return view(worker_id, born_ms=self.workers[worker_id].incarnation.born_ms)

    def _make_harness(self, *, is_inherited: bool) -> SchedulingHarness:
        harness = SchedulingHarness()
        harness.scheduler_state = SchedulerState(
            service="antenna", token=self._token, log=quiet_log()
        )
        harness.decision_engine = DecisionEngine(scheduler_state=harness.scheduler_state)
        harness.add_job(self.job, is_inherited=is_inherited, progress=decode_progress(self.record))
        for worker_id in WORKER_IDS:
            harness.scheduler_state.update_worker(self._view(worker_id))
            harness.worker(worker_id).lease_ends_s = UNEXPIRING_LEASE_END_S
        self.harness = harness
        for worker_id in WORKER_IDS:
            self.report(worker_id)
        return harness

    @property
    def state(self) -> SchedulerState:
        """The state of the present scheduler."""
        return self.harness.scheduler_state

    @property
    def progress(self) -> JobProgress:
        """The job's progress as the present scheduler knows it."""
        tracked_job = self.state.tracked_jobs.get(self.job.job_id)
        return tracked_job.progress if tracked_job is not None else decode_progress(self.record)

    @property
    def most_failed(self) -> int:
        """The largest number of runs of one task, or one gang, that workers listed as failed."""
        return max((len(runs) for runs in self.failed_runs.values()), default=0)

    # ---- what workers do

    def end(self, worker_id: str, name: TaskName, run_id: int, kind: EndKind) -> None:
        """Let a run end on a worker, and count it if it failed."""
        worker = self.workers[worker_id]
        worker.end(name, run_id, kind)
        if kind is EndKind.FAILED and name.job_id == self.job.job_id:
            runs = self.failed_runs.setdefault(attempt_key(self.job, name), set())
            is_gang = self.job.steps[name.step].is_gang
            # The members of a gang run on several workers, and are one run.
            where = Incarnation(worker_id="") if is_gang else worker.incarnation
            runs.add((where, run_id))

    def end_run(self, run: Run, kind: EndKind, *, is_reported: bool = True) -> None:
        """Let a run end on its worker, which reports it at once."""
        self.end(run.worker_id, run.name, run.run_id, kind)
        if is_reported:
            self.report(run.worker_id)

    def restart(self, worker_id: str) -> None:
        """Start a worker again under its id, after all that ran there has passed its probation."""
        for other in WORKER_IDS:
            self.report(other)
        self.harness.now_s += PROBATION_OVER_S
        for other in WORKER_IDS:
            self.report(other)
        self.workers[worker_id] = self._begin(worker_id)
        if self.is_born_stated:
            self.harness.restart(worker_id, self._view(worker_id))

    # ---- what schedulers do

    def start(self) -> list[Run]:
        """Start what may be started, and let the workers report it as running."""
        runs = [order.run for order in self.harness.start_orders()]
        for run in runs:
            self._carry_out(run)
        return runs

    def start_copy(self, run: Run, worker_id: str) -> Run:
        """Start a second run of a task."""
        state = self.state
        tracked_step = state.open_step(run.name)
        assert tracked_step is not None
        worker, run_id = self.harness.worker(worker_id), state.next_run_id()
        copy = state.new_copy(tracked_step, run.name.number, worker, run_id, self.harness.now_s)
        self._carry_out(copy)
        return copy

    def _carry_out(self, run: Run) -> None:
        self.workers[run.worker_id].running.append((run.name, run.run_id))
        self.harness.now_s += 0.01
        self.report(run.worker_id)

    def report(self, worker_id: str, *, ends_per_answer: int = ENDS_PER_ANSWER) -> None:
        """Let the scheduler read a worker's report."""
        worker, known = self.workers[worker_id], self.harness.worker(worker_id)
        ended = tuple(worker.ended[:ends_per_answer])
        self.state.apply_report(
            known,
            WorkerReport(
                clock_ms=1000,
                running=tuple(RunningTask(name=name, run_id=run) for name, run in worker.running),
                ended=ended,
                has_more_ends=len(ended) >= ends_per_answer,
            ),
            order_token=known.order_token,
            sent_s=self.harness.now_s,
            now_s=self.harness.now_s,
            wall_s=WALL_S,
        )

    def acknowledge(self, worker_id: str) -> None:
        """Let the scheduler acknowledge the ends that it may."""
        known, worker = self.harness.worker(worker_id), self.workers[worker_id]
        up_to = known.end_to_acknowledge
        worker.ended = [end for end in worker.ended if end.number > up_to]
        known.acknowledged = max(known.acknowledged, up_to)

    def store(self) -> None:
        """Store the job's progress."""
        tracked_job = self.state.tracked_jobs.get(self.job.job_id)
        if tracked_job is None:
            return
        self.record = encode_progress(tracked_job.progress)
        self.state.note_stored(
            StoredProgress(
                job_id=self.job.job_id,
                changes=tracked_job.changes,
                revision=tracked_job.revision + 1,
            )
        )

    def take_over(self) -> None:
        """Let another scheduler begin, which knows what is stored and what workers report."""
        self._token += 1
        self.harness = self._make_harness(is_inherited=True)

    # ---- checks

    def violations(self) -> list[str]:
        """Return what is counted or shown without an end that a worker has listed."""
        found = []
        for progress in (self.progress, decode_progress(self.record)):
            for key, run_ids in progress.failures.items():
                listed = {run_id for _, run_id in self.failed_runs.get(key, ())}
                found += [f"{key}: run {run_id}" for run_id in run_ids if run_id not in listed]
            is_failed = progress.state is JobState.FAILED
            if is_failed and self.most_failed < self.job.policy.most_attempts:
                found.append(f"failed after {self.most_failed} failed runs")
        return found


def fail_next(history: AttemptHistory) -> Run:
    """Let the first task that may be started fail, and its worker report it."""
    run = history.start()[0]
    history.end_run(run, EndKind.FAILED)
    return run
