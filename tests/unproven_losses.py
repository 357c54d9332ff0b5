"""Ways in which runs are lost, or seem lost, without a task that crashes its worker."""

from __future__ import annotations

from collections.abc import Iterable

from shallotworks.jobs import (
    Job,
    JobProgress,
    JobState,
    TaskName,
    decode_progress,
    encode_progress,
)
from shallotworks.scheduling import (
    DecisionEngine,
    Run,
    RunningTask,
    RunPhase,
    SchedulerState,
    Worker,
)
from shallotworks.scheduling.workers._isolation import UNPROVEN_RETRY_S
from tests.scheduling_fakes import TOKEN, WALL_S, SchedulingHarness, job, quiet_log, step, view

JOB_ID = "j"
NAME = TaskName(JOB_ID, 0, 0, 0)
WORKERS = 8
LEASE_S = 5.0
LONG_S = 3600.0
ON_PROBATION_S = 0.1
"""A run of this age is on probation."""
BORN_MS = 1_700_000_000_000


class Epoch(SchedulingHarness):
    """One epoch of a scheduler with one job of one task, and the workers that it knows.

    Args:
        one: The job.
        earlier: The epoch whose stored progress this one reads; ``None`` for the first epoch.
        known: Workers that this epoch knows when it reads the job; by default all.
    """

    def __init__(
        self, one: Job, *, earlier: Epoch | None = None, known: Iterable[str] | None = None
    ) -> None:
        super().__init__()
        self.job = one
        self.token = TOKEN if earlier is None else earlier.token + 1
        self.scheduler_state = SchedulerState(service="antenna", token=self.token, log=quiet_log())
        self.decision_engine = DecisionEngine(scheduler_state=self.scheduler_state)
        self.born_ms = {f"w{n}": BORN_MS + n for n in range(WORKERS)}
        progress = JobProgress(queue=one.policy.queue)
        if earlier is not None:
            self.now_s, self.born_ms = earlier.now_s, dict(earlier.born_ms)
            progress = decode_progress(encode_progress(earlier.progress))
        for worker_id in self.born_ms if known is None else known:
            self.add_worker(worker_id)
        self.add_job(one, is_inherited=earlier is not None, progress=progress)
        self.progress = progress

    @property
    def state(self) -> JobState:
        """The job's state as this epoch would store it."""
        return self.progress.state

    @property
    def run(self) -> Run:
        """The present run of the task."""
        return self.scheduler_state.tracked_jobs[JOB_ID].runs[NAME]

    def losses(self) -> list[tuple[str, str, str, bool, bool]]:
        """Return blame, cause, worker, certainty and receipt of each recorded loss."""
        return [
            (
                one.blame.value,
                one.cause.value,
                one.incarnation.worker_id,
                one.is_certain,
                one.is_received,
            )
            for one in self.progress.lost_runs(self.job, NAME)
        ]

    def add_worker(self, worker_id: str) -> Worker:
        """Add a worker that answers, in its present incarnation."""
        return self.add(view(worker_id, born_ms=self.born_ms[worker_id]))

    def next_incarnation(self, worker_id: str) -> int:
        """Return when the next incarnation of a worker has started."""
        self.born_ms[worker_id] += 1000
        return self.born_ms[worker_id]

    def start(self, *, is_received: bool = True) -> Run:
        """Start the task, in isolation where it is a suspect; its worker reports the run.

        After many losses a start waits for `UNPROVEN_RETRY_S`.
        """
        if not self.start_orders() and not self.scheduler_state.tracked_jobs[JOB_ID].runs:
            self.now_s += UNPROVEN_RETRY_S
            for worker_id in self.scheduler_state.workers:
                self.report(worker_id)
            self.start_orders()
        run = self.run
        if is_received:
            self.report_running(run)
        return run

    def report_running(self, run: Run) -> None:
        """Let the worker of a run report that it goes on."""
        row = RunningTask(name=run.name, run_id=run.run_id, percent=100)
        self.report(run.worker_id, running=(row,))

    def resolve(self) -> None:
        """Resolve the job's uncertain losses, as before its next start."""
        tracked_job = self.scheduler_state.tracked_jobs[JOB_ID]
        self.scheduler_state.crashes.resolve(tracked_job, WALL_S)

    def close_connections(self, run: Run) -> None:
        """Let the worker of a run close its connections."""
        self.scheduler_state.crashes.note_connection_closed(
            self.worker(run.worker_id), self.now_s, WALL_S
        )

    def pass_probation(self, run: Run) -> None:
        """Let the worker of a run report it until its probation is over."""
        for _ in range(100):
            self.now_s += ON_PROBATION_S
            self.report_running(run)

    def restart_worker(self, worker_id: str) -> None:
        """Replace a worker by its next incarnation, which reports that nothing runs there."""
        later = view(worker_id, born_ms=self.next_incarnation(worker_id))
        self.restart(worker_id, later)
        self.report(worker_id)

    def cut_off(self, run: Run, *, is_listed: bool) -> None:
        """Let the lease of a run's worker expire, since it can't be reached."""
        worker = self.worker(run.worker_id)
        worker.lease_ends_s = self.now_s + LEASE_S
        worker.is_listed = is_listed
        self.now_s += LEASE_S + 1.0
        if is_listed:
            self.scheduler_state.expire_lease(worker, self.now_s, WALL_S)
        else:
            self.decide()

    def return_worker(self, worker_id: str) -> None:
        """Let a worker that was cut off answer again, in the same incarnation."""
        self.add_worker(worker_id)


def lasting_job() -> Job:
    """Return a job of one lasting task."""
    return job(JOB_ID, step(1, is_lasting=True))


def ending_job() -> Job:
    """Return a job of one task that ends, and that may have copies."""
    return job(JOB_ID, step(1, is_speculative=True))


def gang_job() -> Job:
    """Return a job of a gang of two, each of which fills a worker."""
    return job(JOB_ID, step(2, is_gang=True, cpu_millicores=4000))


def closed_silent_and_replaced(epoch: Epoch) -> Epoch:
    """Close a worker's connections, let its lease expire, and find it replaced."""
    run = epoch.start()
    epoch.now_s += ON_PROBATION_S
    epoch.close_connections(run)
    epoch.cut_off(run, is_listed=True)
    epoch.restart_worker(run.worker_id)
    return epoch


def started_again_twice(epoch: Epoch) -> Epoch:
    """Start a worker again twice before it has reported whether it received a start."""
    run = epoch.start(is_received=False)
    run.enter(RunPhase.UNANSWERED, epoch.now_s)
    worker_id = run.worker_id
    for _ in range(2):
        epoch.restart(worker_id, view(worker_id, born_ms=epoch.next_incarnation(worker_id)))
    run.enter(RunPhase.STOPPED, epoch.now_s)
    epoch.now_s += 1.0
    epoch.report(worker_id)
    return epoch


def resolved_by_two_schedulers(epoch: Epoch) -> Epoch:
    """Let two schedulers in turn find that the worker of an uncertain loss was replaced."""
    run = epoch.start()
    epoch.now_s += ON_PROBATION_S
    epoch.close_connections(run)
    epoch.next_incarnation(run.worker_id)
    first = Epoch(epoch.job, earlier=epoch)
    first.resolve()
    second = Epoch(epoch.job, earlier=first)
    second.resolve()
    return second


def gang_on_two_workers(epoch: Epoch) -> Epoch:
    """Cut the power of the two workers of a gang."""
    epoch.start_orders()
    runs = list(epoch.scheduler_state.tracked_jobs[JOB_ID].runs.values())
    for run in runs:
        epoch.report_running(run)
    epoch.now_s += ON_PROBATION_S
    for run in runs:
        epoch.close_connections(run)
    for run in runs:
        epoch.restart_worker(run.worker_id)
    return epoch


def cut_off_and_unlisted(epoch: Epoch) -> Epoch:
    """Cut a worker off right after a start; its entry is missing for the while."""
    run = epoch.start()
    epoch.cut_off(run, is_listed=False)
    epoch.return_worker(run.worker_id)
    return epoch


def start_lost_and_unlisted(epoch: Epoch) -> Epoch:
    """Cut a worker off before it receives the start; its entry is missing for the while."""
    run = epoch.start(is_received=False)
    run.enter(RunPhase.UNANSWERED, epoch.now_s)
    epoch.cut_off(run, is_listed=False)
    epoch.return_worker(run.worker_id)
    return epoch


def start_lost_and_replaced(epoch: Epoch) -> Epoch:
    """Send a start to a worker that is already gone, and that is then found to be replaced."""
    run = epoch.start(is_received=False)
    run.enter(RunPhase.UNANSWERED, epoch.now_s)
    epoch.scheduler_state.note_replaced(run.worker_id, epoch.now_s, WALL_S)
    epoch.next_incarnation(run.worker_id)
    epoch.scheduler_state.drop_replaced({})
    epoch.add_worker(run.worker_id)
    return epoch


def takeover_with_young_list(epoch: Epoch) -> Epoch:
    """Cut a worker off right after a start; a successor knows no worker yet when it decides."""
    run = epoch.start()
    epoch.cut_off(run, is_listed=True)
    successor = Epoch(epoch.job, earlier=epoch, known=())
    successor.decide()
    for worker_id in successor.born_ms:
        successor.add_worker(worker_id)
    return successor


def takeover_with_incomplete_list(epoch: Epoch) -> Epoch:
    """Cut a worker off right after a start; a successor's first list lacks this worker."""
    run = epoch.start()
    epoch.cut_off(run, is_listed=True)
    others = [worker_id for worker_id in epoch.born_ms if worker_id != run.worker_id]
    successor = Epoch(epoch.job, earlier=epoch, known=others)
    successor.decide()
    successor.store()
    successor.add_worker(run.worker_id)
    return successor


def copy_and_original_lost_at_once(epoch: Epoch) -> Epoch:
    """Cut the power of the two workers that run a task and its copy, both for some seconds."""
    original = epoch.start()
    step_of_run = epoch.scheduler_state.tracked_jobs[JOB_ID].steps[(0, 0)]
    other = next(
        one for one in epoch.scheduler_state.workers.values() if one.worker_id != original.worker_id
    )
    run_id = epoch.scheduler_state.next_run_id()
    copy = epoch.scheduler_state.new_copy(step_of_run, 0, other, run_id, epoch.now_s)
    epoch.report_running(copy)
    epoch.pass_probation(original)
    epoch.report_running(copy)
    for run in (original, copy):
        epoch.close_connections(run)
    for run in (original, copy):
        epoch.restart_worker(run.worker_id)
    return epoch


def reset_then_replaced(epoch: Epoch) -> Epoch:
    """Reset a connection right after a start; the worker answers, and crashes long after."""
    run = epoch.start()
    epoch.now_s += ON_PROBATION_S
    epoch.close_connections(run)
    epoch.pass_probation(run)
    epoch.now_s += LONG_S
    epoch.report_running(run)
    epoch.restart_worker(run.worker_id)
    return epoch


def reset_then_taken_over_then_replaced(epoch: Epoch) -> Epoch:
    """Reset a connection; a successor adopts the run, and its worker crashes long after."""
    run = epoch.start()
    epoch.now_s += ON_PROBATION_S
    epoch.close_connections(run)
    epoch.report_running(run)
    successor = Epoch(epoch.job, earlier=epoch)
    adopted = _adopt(successor, run)
    successor.pass_probation(adopted)
    successor.now_s += LONG_S
    successor.report_running(adopted)
    successor.restart_worker(adopted.worker_id)
    return successor


def adopted_then_reset_then_replaced(epoch: Epoch) -> Epoch:
    """Reset a connection right after a takeover; the worker crashes long after."""
    successor, adopted = _take_over_after_long(epoch)
    successor.now_s += ON_PROBATION_S
    successor.close_connections(adopted)
    successor.pass_probation(adopted)
    successor.now_s += LONG_S
    successor.report_running(adopted)
    successor.restart_worker(adopted.worker_id)
    return successor


def adopted_then_replaced(epoch: Epoch) -> Epoch:
    """Crash a worker right after a takeover, which adopts a run that has gone on for long."""
    successor, adopted = _take_over_after_long(epoch)
    successor.now_s += ON_PROBATION_S
    successor.restart_worker(adopted.worker_id)
    return successor


def adopted_then_cut_off(epoch: Epoch) -> Epoch:
    """Cut a worker off right after a takeover, which adopts a run that has gone on for long."""
    successor, adopted = _take_over_after_long(epoch)
    successor.cut_off(adopted, is_listed=False)
    successor.return_worker(adopted.worker_id)
    return successor


def drained_between_epochs(epoch: Epoch) -> Epoch:
    """Reset a connection right after a start; the worker is drained and back in the next epoch."""
    run = epoch.start()
    epoch.now_s += ON_PROBATION_S
    epoch.close_connections(run)
    epoch.report_running(run)
    epoch.next_incarnation(run.worker_id)
    return Epoch(epoch.job, earlier=epoch)


def power_cut_of_workers(epoch: Epoch) -> Epoch:
    """Cut the power of all workers at once right after a start; all are back at once."""
    run = epoch.start()
    epoch.now_s += ON_PROBATION_S
    epoch.report_running(run)
    for worker in list(epoch.scheduler_state.workers.values()):
        epoch.scheduler_state.crashes.note_connection_closed(worker, epoch.now_s, WALL_S)
    epoch.now_s += 3.0
    for worker_id in list(epoch.scheduler_state.workers):
        epoch.restart_worker(worker_id)
    return epoch


def silent_power_cut_of_workers(epoch: Epoch) -> Epoch:
    """Cut the power of all workers at once right after a start, which closes no connection."""
    epoch.start()
    epoch.now_s += 3.0
    for worker_id in list(epoch.scheduler_state.workers):
        epoch.restart_worker(worker_id)
    return epoch


def power_cut_of_all(epoch: Epoch) -> Epoch:
    """Cut the power of all workers and of the scheduler right after a start."""
    epoch.start()
    epoch.store()
    for worker_id in epoch.born_ms:
        epoch.next_incarnation(worker_id)
    successor = Epoch(epoch.job, earlier=epoch)
    # A recorded worker that has started again answers in its later incarnation.
    successor.scheduler_state.crashes.note_earlier_runs_lost()
    return successor


def power_cut_before_the_start_is_received(epoch: Epoch) -> Epoch:
    """Cut the power of all while the start of a task is stored, and not received yet."""
    epoch.start(is_received=False)
    epoch.store()
    for worker_id in epoch.born_ms:
        epoch.next_incarnation(worker_id)
    successor = Epoch(epoch.job, earlier=epoch)
    successor.scheduler_state.crashes.note_earlier_runs_lost()
    return successor


def _take_over_after_long(epoch: Epoch) -> tuple[Epoch, Run]:
    """Let a successor adopt a run that has gone on for long; return it and the adopted run."""
    run = epoch.start()
    epoch.pass_probation(run)
    epoch.now_s += LONG_S
    epoch.report_running(run)
    successor = Epoch(epoch.job, earlier=epoch)
    return successor, _adopt(successor, run)


def _adopt(successor: Epoch, run: Run) -> Run:
    """Let the worker of an earlier epoch's run report it, and return the adopted run."""
    successor.report_running(run)
    return successor.run
