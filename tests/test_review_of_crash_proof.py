"""Tests of what proves that a task crashes its workers, and of what such tasks cost others."""

import asyncio
import contextlib
import unittest
from collections.abc import Callable, Iterable
from typing import NamedTuple
from unittest.mock import patch

from parameterized import parameterized

from shallotworks.jobs import (
    Job,
    JobState,
    LossCause,
    TaskName,
    decode_progress,
    encode_progress,
)
from shallotworks.scheduling import EndKind, Run, RunningTask, RunPhase
from tests.returning_workers import ReturningWorkers
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, step, view
from tests.scheduling_simulation import SchedulingSimulation
from tests.unproven_losses import (
    JOB_ID,
    LONG_S,
    ON_PROBATION_S,
    WORKERS,
    Epoch,
    ending_job,
    gang_job,
)
from tests.virtual_clock import run_scenario

MAX_STARTS = 5
"""A task that crashes its workers may be started this often. Source: the users' rules."""
ROUNDS = 6
SIMULATED_S = 60.0
QUIET_S = 5.0
WORK_S = 5.0
KILLED_AFTER_S = 0.02
"""Time from a crash to that of the scheduler."""


def answer(epoch: Epoch, *, but: Iterable[str] = ()) -> None:
    """Let all workers answer a poll, but some."""
    for worker_id in epoch.scheduler_state.workers:
        if worker_id not in but:
            report_runs(epoch, worker_id)


def report_runs(harness: SchedulingHarness, worker_id: str) -> None:
    """Let a worker report all its runs whose starts it has received."""
    runs = [
        run
        for run in harness.worker(worker_id).runs.values()
        if run.phase not in (RunPhase.RESERVED, RunPhase.STARTING)
    ]
    rows = tuple(RunningTask(name=run.name, run_id=run.run_id) for run in runs)
    harness.report(worker_id, running=rows)


def others(epoch: Epoch, run: Run, count: int) -> list[str]:
    """Return some workers on which a run is not."""
    return sorted(set(epoch.scheduler_state.workers) - {run.worker_id})[:count]


def lost_with_a_neighbour(epoch: Epoch) -> Epoch:
    """Cut the power of two workers at the same moment, one of which has just started a run."""
    run = epoch.start()
    epoch.now_s += ON_PROBATION_S
    lost = [run.worker_id, *others(epoch, run, 1)]
    for worker_id in lost:
        epoch.scheduler_state.crashes.note_connection_closed(
            epoch.worker(worker_id), epoch.now_s, WALL_S
        )
    epoch.now_s += ON_PROBATION_S
    answer(epoch, but=lost)
    for worker_id in lost:
        epoch.restart_worker(worker_id)
    return epoch


def lost_with_half_of_the_pool(epoch: Epoch) -> Epoch:
    """Cut the power of half of the workers, which closes no connection."""
    run = epoch.start()
    epoch.now_s += ON_PROBATION_S
    lost = [run.worker_id, *others(epoch, run, 3)]
    for worker_id in lost:
        epoch.scheduler_state.crashes.note_worker_silent(
            epoch.worker(worker_id), epoch.now_s, WALL_S
        )
    epoch.now_s += ON_PROBATION_S
    answer(epoch, but=lost)
    epoch.now_s += 3.0
    for worker_id in lost:
        epoch.restart_worker(worker_id)
    return epoch


def reset_survived_and_restarted_between_epochs(epoch: Epoch) -> Epoch:
    """Reset a connection while the store is away; worker and scheduler end long after."""
    run = epoch.start()
    epoch.now_s += ON_PROBATION_S
    epoch.close_connections(run)
    epoch.now_s += ON_PROBATION_S
    answer(epoch, but=[run.worker_id])
    # The store has the loss, but nothing of what follows.
    stored = decode_progress(encode_progress(epoch.progress))
    epoch.pass_probation(run)
    epoch.now_s += LONG_S
    epoch.report_running(run)
    epoch.next_incarnation(run.worker_id)
    epoch.progress = stored
    successor = Epoch(epoch.job, earlier=epoch)
    successor.resolve()
    return successor


def worn_by_late_losses(epoch: Epoch) -> Epoch:
    """Crash a worker an hour after the start, four times, and then two 3 s after the start."""
    for lived_s in (LONG_S, LONG_S, LONG_S, LONG_S, 3.0, 3.0):
        run = epoch.start()
        if lived_s == LONG_S:
            epoch.pass_probation(run)
            epoch.now_s += LONG_S
            answer(epoch)
        else:
            crash_time_s = epoch.now_s + lived_s
            while epoch.now_s < crash_time_s:
                epoch.now_s += ON_PROBATION_S
                answer(epoch)
        epoch.close_connections(run)
        epoch.now_s += ON_PROBATION_S
        answer(epoch, but=[run.worker_id])
        epoch.restart_worker(run.worker_id)
        if epoch.state is JobState.FAILED:
            break
    return epoch


def gang_that_was_outlived_before(epoch: Epoch) -> Epoch:
    """Let all workers of a gang outlive it, then crash one of them right after the next start."""
    for lived_s in (LONG_S, ON_PROBATION_S):
        runs = start_gang(epoch)
        for run in runs:
            for _ in range(100 if lived_s == LONG_S else 1):
                epoch.now_s += ON_PROBATION_S if run is runs[0] else 0.0
                answer(epoch)
        crash_member(epoch, runs)
        if epoch.state is JobState.FAILED:
            break
    return epoch


def start_gang(epoch: Epoch) -> list[Run]:
    """Start a gang, whose workers confirm that, and return its runs in order of their members."""
    epoch.start_orders()
    runs = epoch.scheduler_state.tracked_jobs[JOB_ID].runs
    for _, run in sorted(runs.items()):
        epoch.report_running(run)
    return [run for _, run in sorted(runs.items())]


def crash_member(epoch: Epoch, runs: list[Run], *, doubted: Run | None = None) -> None:
    """Crash the worker of a gang's first member; another one may be in doubt for a moment."""
    run = runs[0]
    if doubted is not None:
        epoch.scheduler_state.crashes.note_worker_silent(
            epoch.worker(doubted.worker_id), epoch.now_s, WALL_S
        )
    epoch.close_connections(run)
    epoch.now_s += ON_PROBATION_S
    answer(epoch, but=[run.worker_id])
    epoch.restart_worker(run.worker_id)
    epoch.decide()
    for other in runs[1:]:
        epoch.report(other.worker_id, ended=((other.name, other.run_id, EndKind.STOPPED),))


class SoundJobTests(unittest.TestCase):
    @parameterized.expand(
        [
            (lost.__name__, lost, make)
            for lost, make in (
                (lost_with_a_neighbour, ending_job),
                (lost_with_half_of_the_pool, ending_job),
                (reset_survived_and_restarted_between_epochs, ending_job),
                (worn_by_late_losses, ending_job),
                (gang_that_was_outlived_before, gang_job),
            )
        ]
    )
    def test_a_sound_job_is_never_failed(
        self, _name: str, lose: Callable[[Epoch], Epoch], make: Callable[[], Job]
    ) -> None:
        """Guards against failing a sound job for losses that other workers or runs explain."""
        epoch = Epoch(make())
        for _ in range(ROUNDS):
            epoch = lose(epoch)
            self.assertIsNot(JobState.FAILED, epoch.state, epoch.losses())


def crash_after(lived_s: float) -> Callable[[Epoch, Run], Epoch]:
    """Return a crash some time after the start, which closes the worker's connections."""

    def crash(epoch: Epoch, run: Run) -> Epoch:
        ends_s = epoch.now_s + lived_s
        while epoch.now_s < ends_s - ON_PROBATION_S:
            epoch.now_s += ON_PROBATION_S
            answer(epoch)
        epoch.now_s = ends_s
        epoch.close_connections(run)
        epoch.now_s += ON_PROBATION_S
        answer(epoch, but=[run.worker_id])
        epoch.restart_worker(run.worker_id)
        return epoch

    return crash


def crash_silently_before_the_start_is_answered(epoch: Epoch, run: Run) -> Epoch:
    """Crash a worker that closes no connection, while all others answer."""
    run.enter(RunPhase.UNANSWERED, epoch.now_s)
    epoch.now_s += 0.5
    epoch.scheduler_state.crashes.note_worker_silent(
        epoch.worker(run.worker_id), epoch.now_s, WALL_S
    )
    epoch.now_s += ON_PROBATION_S
    answer(epoch, but=[run.worker_id])
    epoch.scheduler_state.note_replaced(run.worker_id, epoch.now_s, WALL_S)
    epoch.next_incarnation(run.worker_id)
    epoch.scheduler_state.drop_replaced({})
    epoch.add_worker(run.worker_id)
    return epoch


def crash_as_the_last_one_of_a_pool(epoch: Epoch, run: Run) -> Epoch:
    """Crash a worker after all others have left as planned."""
    for worker_id in set(epoch.scheduler_state.workers) - {run.worker_id}:
        epoch.scheduler_state.note_worker_ended(
            worker_id, "taken away", epoch.now_s, WALL_S, is_planned=True
        )
    return crash_after(0.1)(epoch, run)


def crash_and_be_back_first(epoch: Epoch, run: Run) -> Epoch:
    """Crash a worker that is back before another one has answered a later poll."""
    epoch.now_s += ON_PROBATION_S
    sent_s = epoch.now_s
    epoch.close_connections(run)
    epoch.now_s += 0.5
    for worker_id in set(epoch.scheduler_state.workers) - {run.worker_id}:
        epoch.report(worker_id, sent_s=sent_s - ON_PROBATION_S)
    epoch.restart_worker(run.worker_id)
    return epoch


class Loops(NamedTuple):
    """A simulation of tasks that crash each worker that starts them.

    Args:
        workers: Number of workers, on each of which one task fits.
        loops: Number of such tasks, each of a job of its own.
        lived_s: Time from a start to the crash.
        away_s: Time from a crash until the worker is back.
        is_silent: Whether a crashed worker's connections hang.
        keeps_ids: Whether a worker is back under its id.
        is_scheduler_killed: Whether each crash is followed by one of the scheduler.
    """

    workers: int = 6
    loops: int = 1
    lived_s: float = 0.01
    away_s: float = 3.3
    is_silent: bool = False
    keeps_ids: bool = False
    is_scheduler_killed: bool = False

    def count_starts(self) -> list[int]:
        """Return how often each task was started."""
        counts: list[int] = []
        with (
            patch("shallotworks.standins._crashing_workers.CRASH_DELAY_S", self.lived_s),
            patch("tests.returning_workers.RESTART_DELAY_S", self.away_s),
        ):
            run_scenario(self._run(counts))
        return counts

    async def _run(self, counts: list[int]) -> None:
        one = SchedulingSimulation(seed=1, workers=self.workers, fleet=ReturningWorkers)
        one.fleet.is_silent, one.fleet.keeps_ids = self.is_silent, self.keeps_ids
        names = [TaskName(f"{number:016x}", 0, 0, 0) for number in range(1, self.loops + 1)]
        one.fleet.crashing.update(names)
        for instance in one.instances:
            instance.start()
        await asyncio.sleep(1.0)
        for name in names:
            one.fleet.work_s[name.job_id] = WORK_S
            await one.submit(name.job_id, step(1, estimated_s=WORK_S, cpu_millicores=4000))
        ends_s = asyncio.get_running_loop().time() + SIMULATED_S
        while asyncio.get_running_loop().time() < ends_s:
            one.fleet.crashed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(QUIET_S):
                    await one.fleet.crashed.wait()
                scheduler = one.scheduler()
                if self.is_scheduler_killed and scheduler is not None:
                    await asyncio.sleep(KILLED_AFTER_S)
                    await one.replace(scheduler)
        counts += [one.fleet.start_counts[name] for name in names]
        await one.kill()


class CrashLoopTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("after_0.1_s", crash_after(0.1)),
            ("after_0.4_s", crash_after(0.4)),
            ("after_0.9_s", crash_after(0.9)),
            ("after_1.9_s", crash_after(1.9)),
            ("after_3_s", crash_after(3.0)),
            ("silent_unanswered", crash_silently_before_the_start_is_answered),
            ("back_first", crash_and_be_back_first),
            ("last_of_a_pool", crash_as_the_last_one_of_a_pool),
        ]
    )
    def test_a_task_that_crashes_its_workers_is_given_up(
        self, _name: str, crash: Callable[[Epoch, Run], Epoch]
    ) -> None:
        """Guards against a sixth start of a task that crashes each worker that starts it."""
        epoch = Epoch(ending_job())
        is_received = crash is not crash_silently_before_the_start_is_answered
        for _ in range(MAX_STARTS):
            if epoch.state is JobState.FAILED:
                return
            epoch = crash(epoch, epoch.start(is_received=is_received))
        self.assertIs(JobState.FAILED, epoch.state, epoch.losses())

    @parameterized.expand([("alone", False), ("beside_a_slow_answer", True)])
    def test_a_gang_that_crashes_a_worker_is_given_up(self, _name: str, is_doubted: bool) -> None:
        """Guards against a sixth start of a gang, of which another worker answers late."""
        epoch = Epoch(gang_job())
        for _ in range(MAX_STARTS):
            if epoch.state is JobState.FAILED:
                return
            runs = start_gang(epoch)
            epoch.now_s += ON_PROBATION_S
            crash_member(epoch, runs, doubted=runs[1] if is_doubted else None)
        self.assertIs(JobState.FAILED, epoch.state, epoch.losses())

    @parameterized.expand(
        [
            ("alone", Loops()),
            ("in_a_pool_of_one", Loops(workers=1)),
            ("on_all_of_two", Loops(workers=2, loops=2)),
            ("on_all_of_two_under_their_ids", Loops(workers=2, loops=2, keeps_ids=True)),
            ("on_all_of_two_silent", Loops(workers=2, loops=2, is_silent=True)),
            ("on_all_of_four", Loops(workers=4, loops=4)),
            ("on_four_of_six", Loops(workers=6, loops=4)),
            ("after_1.5_s", Loops(lived_s=1.5)),
            ("after_2_s", Loops(lived_s=2.0)),
            ("after_3_s", Loops(lived_s=3.0)),
            ("back_after_5_s", Loops(away_s=5.0)),
            ("back_after_7_s", Loops(away_s=7.0)),
            ("with_its_scheduler", Loops(is_scheduler_killed=True)),
            ("silent_with_its_scheduler", Loops(is_scheduler_killed=True, is_silent=True)),
        ]
    )
    def test_no_task_is_started_a_sixth_time(self, _name: str, loops: Loops) -> None:
        """Guards against starting tasks that crash each worker beyond the users' limit."""
        self.assertLessEqual(max(loops.count_starts()), MAX_STARTS)


class WaitTests(unittest.TestCase):
    def test_a_job_with_one_proven_crash_is_not_passed_by_later_jobs_for_ever(self) -> None:
        """Guards against starving a sound job whose worker crashed once right after its start."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("j", step(1)))
        (order,) = harness.start_orders()
        order.run.enter(RunPhase.RUNNING, harness.now_s)
        lost_id = order.run.worker_id
        harness.now_s += ON_PROBATION_S
        harness.scheduler_state.crashes.note_connection_closed(
            harness.worker(lost_id), harness.now_s, WALL_S
        )
        harness.now_s += ON_PROBATION_S
        harness.report(next(iter({"a", "b"} - {lost_id})))
        for number in range(60):
            for later in range(2):
                harness.add_job(
                    job(f"n{number}.{later}", step(4), accepted_s=WALL_S + number),
                    wall_s=WALL_S + number,
                )
            if number == 0:
                harness.scheduler_state.note_replaced(lost_id, harness.now_s, WALL_S)
                harness.scheduler_state.drop_replaced({})
                harness.add(view(lost_id))
                runs = harness.scheduler_state.tracked_jobs["j"].progress.lost
                self.assertTrue(all(one.cause is LossCause.REPLACED for (one,) in runs.values()))
            orders = harness.start_orders()
            if any(one.run.name == TaskName("j", 0, 0, 0) for one in orders):
                return
            harness.now_s += 1.0
            for worker_id in ("a", "b"):
                harness.report(
                    worker_id,
                    ended=tuple(
                        (run.name, run.run_id, EndKind.DONE)
                        for run in harness.worker(worker_id).runs.values()
                        if run.phase is not RunPhase.RESERVED
                    ),
                )
        self.fail("not started within 60 s")

    @parameterized.expand([("never_lost", 0), ("lost_late_four_times", 4)])
    def test_a_sound_gang_leaves_room_beside_it(self, _name: str, losses: int) -> None:
        """Guards against closing all workers to other jobs because a gang runs on each."""
        epoch = Epoch(job(JOB_ID, step(WORKERS, is_gang=True, most_per_worker=1)))
        for _ in range(losses):
            runs = start_gang(epoch)
            epoch.now_s += LONG_S
            answer(epoch)
            crash_member(epoch, runs)
        start_gang(epoch)
        epoch.add_job(job("k", step(1)))
        epoch.now_s += 1.0
        answer(epoch)
        started = [order.run.name.job_id for order in epoch.start_orders()]
        self.assertEqual(["k"], started)


if __name__ == "__main__":
    unittest.main()
