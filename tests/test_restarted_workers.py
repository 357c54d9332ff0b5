"""Simulations of workers that start again under their ids.

Two failures are guarded against: a task that is started again although a run of it was done and
that end was acknowledged, and a step that never starts, since the ends that open it are not read.
"""

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from shallotworks.jobs import (
    Blame,
    Incarnation,
    JobProgress,
    JobState,
    LostRun,
    TaskName,
    decode_progress,
    encode_progress,
)
from shallotworks.scheduling import (
    ActiveWorkersRecord,
    EndKind,
    MachineControllerRecord,
    Run,
    RunningTask,
    RunPhase,
    StartOrder,
    StopOrder,
    WorkerView,
)
from shallotworks.standins import TaskWorker, TaskWorkers
from tests.scheduling_fakes import UNEXPIRING_LEASE_END_S, SchedulingHarness, job, step, view
from tests.scheduling_simulation import SchedulingSimulation
from tests.virtual_clock import run_scenario

RANDOM_SEEDS = range(1, 13)
RANDOM_FAULTS = [(0.0, False), (0.2, False), (0.2, True)]
"""Share of lost answers to orders, and whether schedulers are killed too."""
RANDOM_RESTARTS = 12
MIN_CRASHES_TO_FAIL = 2
"""A job may fail once this many workers have crashed under one of its tasks."""
EARLIER_JOB = "0" * 16
LATER_JOB = "1" * 16


class CountingWorkers(TaskWorkers):
    """Workers that count how many of them started again while they ran a task."""

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.crashed_under: Counter[TaskName] = Counter()

    def restart(self, worker_id: str) -> TaskWorker:
        self.crashed_under.update(self.workers[worker_id].names())
        return super().restart(worker_id)

    def most_crashes(self, job_id: str) -> int:
        """Return how many workers started again under one of a job's tasks."""
        return max(
            (n for name, n in self.crashed_under.items() if name.job_id == job_id), default=0
        )


class StaleDirectory:
    """Lists workers as they were when the directory was made, as while the store is away."""

    is_synced = True
    version = 1

    def __init__(self, *, fleet: TaskWorkers) -> None:
        self._views = {one: worker.view for one, worker in fleet.workers.items()}

    def workers_of(self, service: str) -> dict[str, WorkerView]:
        return {one: view for one, view in self._views.items() if view.service == service}


async def restart_at_once(simulation: SchedulingSimulation) -> None:
    """Start each worker again under its id; discovery shows it at once."""
    for worker_id in list(simulation.fleet.workers):
        simulation.fleet.restart(worker_id)


async def restart_beside_dead_scheduler(simulation: SchedulingSimulation) -> None:
    """Start each worker again while no scheduler runs."""
    holder = simulation.scheduler()
    assert holder is not None
    await simulation.replace(holder)
    await restart_at_once(simulation)


async def run_earlier_job(simulation: SchedulingSimulation) -> None:
    """Run a job until the ends of its tasks are acknowledged."""
    for instance in simulation.instances:
        instance.start()
    await asyncio.sleep(1.0)
    await simulation.submit(EARLIER_JOB, step(6, estimated_s=0.8))
    await asyncio.sleep(6.0)


class LaggingDirectory:
    """Lists workers as they were some seconds ago, as while the store is away for a while."""

    is_synced = True

    def __init__(self, *, fleet: TaskWorkers) -> None:
        self._fleet = fleet
        self._stale: StaleDirectory | None = None

    @property
    def version(self) -> int:
        return hash((self._stale is None, self._fleet.version if self._stale is None else 0))

    def workers_of(self, service: str) -> dict[str, WorkerView]:
        return (self._stale or self._fleet).workers_of(service)

    def freeze(self) -> None:
        self._stale = StaleDirectory(fleet=self._fleet)

    def catch_up(self) -> None:
        self._stale = None


async def restart_at_random(
    simulation: SchedulingSimulation, directories: list[LaggingDirectory], *, kills: bool
) -> None:
    """Restart workers at random moments, also while discovery is stale or the scheduler dies."""
    rng = simulation.rng
    for _ in range(RANDOM_RESTARTS):
        await asyncio.sleep(rng.uniform(0.1, 1.2))
        lagging = rng.choice(directories)
        if rng.random() < 0.5:
            lagging.freeze()
            asyncio.get_running_loop().call_later(rng.uniform(0.5, 4.0), lagging.catch_up)
        if kills and rng.random() < 0.25:
            holder = simulation.scheduler()
            if holder is not None:
                await simulation.replace(holder)
        simulation.fleet.restart(rng.choice(list(simulation.fleet.workers)))


class RestartedWorkerTests(unittest.TestCase):
    @parameterized.expand(
        [(seed, lost, kills) for seed in RANDOM_SEEDS for lost, kills in RANDOM_FAULTS]
    )
    def test_random_restarts_break_no_promise(self, seed: int, lost: float, kills: bool) -> None:
        """A task ran twice or never ended, since an order or an answer was of another start."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(
                seed=seed, workers=5, instances=3, fleet=CountingWorkers
            )
            directories = []
            for instance in simulation.instances:
                instance.directory = LaggingDirectory(fleet=simulation.fleet)
                directories.append(instance.directory)
                instance.orders.faults.lost_ratio = lost
                instance.start()
            await asyncio.sleep(1.0)
            await asyncio.gather(
                simulation.run_jobs(40, 10.0),
                restart_at_random(simulation, directories, kills=kills),
            )
            await asyncio.sleep(30.0)
            for job_id in list(simulation.accepted):
                if simulation.state(job_id) is JobState.FAILED:
                    # A refused start whose answer is lost may have run, and counts as a crash.
                    crashes = simulation.fleet.most_crashes(job_id) + bool(lost)
                    self.assertGreaterEqual(crashes, MIN_CRASHES_TO_FAIL, job_id)
                    del simulation.accepted[job_id]
            self.assertEqual([], simulation.violations())
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())

    @parameterized.expand(
        [
            ("that_discovery_shows", False, restart_at_once),
            ("that_discovery_does_not_show", True, restart_at_once),
            ("beside_a_dead_scheduler", False, restart_beside_dead_scheduler),
        ]
    )
    def test_ends_of_a_new_start_are_read(
        self, _name: str, is_stale: bool, restart: Callable[[SchedulingSimulation], Awaitable[None]]
    ) -> None:
        """Ends of a worker that started again under its id were acknowledged before being read."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=2, instances=2)
            if is_stale:
                for instance in simulation.instances:
                    instance.directory = StaleDirectory(fleet=simulation.fleet)
            await run_earlier_job(simulation)
            await restart(simulation)
            steps = (step(2, estimated_s=0.8), step(1, after=(0,), estimated_s=0.8))
            await simulation.submit(LATER_JOB, *steps)
            await asyncio.sleep(16.0)
            self.assertEqual([], simulation.violations())
            self.assertIs(JobState.COMPLETED, simulation.state(LATER_JOB))
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())


class LaterStartTests(unittest.TestCase):
    """What a scheduler's state keeps of a worker that starts again under its id."""

    def setUp(self) -> None:
        self.harness = SchedulingHarness(view("a", born_ms=1))

    def start_run(self) -> Run:
        """Start the one task of a job on the worker, without an answer."""
        self.harness.add_job(job("j", step(1)))
        (order,) = self.harness.start_orders()
        return order.run

    def test_what_the_earlier_start_reported_is_forgotten(self) -> None:
        """Ends of a later start were skipped, or acknowledged, by the count of the earlier one."""
        run = self.start_run()
        self.harness.report("a", ended=((run.name, run.run_id, EndKind.DONE),))
        self.harness.store()
        self.assertEqual(1, self.harness.worker("a").end_to_acknowledge)
        earlier = self.harness.worker("a")
        earlier.is_cordoned, earlier.lasting_allowed_from_s = True, 7.0
        later = self.harness.restart("a", view("a", born_ms=2))
        self.assertEqual(
            (0, 0, 0, False, {}),
            (
                later.end_to_acknowledge,
                later.highest_seen_end,
                later.clock_ms,
                later.is_fenced,
                later.runs,
            ),
        )
        # The scheduler's own decisions on the worker stand.
        self.assertEqual((True, 7.0), (later.is_cordoned, later.lasting_allowed_from_s))

    def test_an_end_is_acknowledged_once_and_after_an_answer(self) -> None:
        """A poll repeated an acknowledgement, and met a later start of the worker."""
        run = self.start_run()
        self.harness.report("a", ended=((run.name, run.run_id, EndKind.DONE),))
        worker = self.harness.worker("a")
        self.assertEqual(0, worker.end_to_acknowledge)
        self.harness.store()
        self.assertEqual(1, worker.end_to_acknowledge)
        worker.has_answered_last_poll = False
        self.assertEqual(0, worker.end_to_acknowledge)
        worker.has_answered_last_poll, worker.acknowledged = True, 1
        self.assertEqual(0, worker.end_to_acknowledge)

    def test_a_confirmed_run_is_lost_at_once(self) -> None:
        """A task waited for a lease to expire, though its worker had started again."""
        run = self.start_run()
        self.harness.report("a", running=(RunningTask(name=run.name, run_id=run.run_id),))
        self.harness.restart("a", view("a", born_ms=2))
        self.harness.report("a")
        (order,) = self.harness.start_orders()
        self.assertEqual((run.name, True), (order.run.name, order.run.run_id > run.run_id))

    @parameterized.expand([(RunPhase.STARTING,), (RunPhase.UNANSWERED,)])
    def test_an_unconfirmed_run_may_be_on_the_later_start(self, phase: RunPhase) -> None:
        """A task was started elsewhere while a later start of its worker ran it."""
        run = self.start_run()
        run.enter(phase, self.harness.now_s)
        self.harness.restart("a", view("a", born_ms=2))
        self.assertEqual([], self.harness.start_orders())
        self.harness.now_s += 0.1
        self.harness.report("a", running=(RunningTask(name=run.name, run_id=run.run_id),))
        self.assertIs(RunPhase.RUNNING, run.phase)
        self.assertEqual(2, run.incarnation.born_ms)
        self.assertFalse(self.harness.scheduler_state.tracked_jobs["j"].progress.lost)

    def test_an_unconfirmed_run_is_stopped_before_its_task_starts_again(self) -> None:
        """A delayed start order was carried out after the task had started elsewhere."""
        run = self.start_run()
        run.enter(RunPhase.UNANSWERED, self.harness.now_s)
        self.harness.restart("a", view("a", born_ms=2))
        self.harness.now_s += 0.1
        self.harness.report("a")
        orders = self.harness.decide()
        self.assertEqual([run], [one.run for one in orders if isinstance(one, StopOrder)])
        self.assertFalse([one for one in orders if isinstance(one, StartOrder)])
        run.enter(RunPhase.STOPPED, self.harness.now_s)
        self.harness.now_s += 0.1
        self.harness.report("a")
        (order,) = self.harness.start_orders()
        self.assertEqual(run.name, order.run.name)

    def test_an_entry_of_an_earlier_start_changes_nothing(self) -> None:
        """A late entry of the earlier start made the later one look like it."""
        self.harness.restart("a", view("a", born_ms=2))
        self.harness.scheduler_state.update_worker(view("a", born_ms=1, is_draining=True))
        worker = self.harness.worker("a")
        self.assertEqual((2, False), (worker.view.born_ms, worker.view.is_draining))

    @parameterized.expand(
        [
            ("as_expected", 11_000, True),
            ("two_percent_slow", 10_800, True),
            ("report_was_late", 11_900, True),
            ("counts_anew", 200, False),
            ("counts_anew_from_a_higher_number", 900_000, False),
        ]
    )
    def test_clock_of_an_answer(self, _name: str, clock_ms: int, is_plausible: bool) -> None:
        """A start that a later start of the worker had carried out was taken for confirmed."""
        worker = self.harness.worker("a")
        worker.clock_ms, worker.clock_at_s = 1_000, 100.0
        self.assertIs(
            is_plausible, worker.is_plausible_clock(clock_ms, sent_s=109.999, now_s=110.0)
        )

    def test_recovery_waits_for_the_later_start(self) -> None:
        """An earlier scheduler's task ran on the later start, and was started again elsewhere."""
        state = self.harness.scheduler_state
        state.pending_recovery["a"] = self.harness.now_s + 1.0
        self.harness.restart("a", view("a", born_ms=2))
        self.assertEqual({"a": UNEXPIRING_LEASE_END_S}, state.pending_recovery)
        self.harness.report("a")
        self.assertEqual({}, state.pending_recovery)


class EarlierRecordTests(unittest.TestCase):
    """Records that releases wrote which did not know when a worker had started."""

    def test_records_without_a_start_are_read(self) -> None:
        """A record of the release before ended a duty of this one."""
        workers = ActiveWorkersRecord.decode(b'{"a": {"address": "x:1", "left_s": null}}')
        self.assertIsNone(workers["a"].born_ms)
        record = MachineControllerRecord.decode(b'{"due": [], "over": ["a"]}')
        self.assertEqual((Incarnation(worker_id="a"),), record.over)
        row = b'{"queue": "q", "state": "running", "lost": [[0, 0, 0, [[5, "a", "sole", true]]]]}'
        (lost,) = decode_progress(row).lost[(0, 0, 0)]
        self.assertEqual(Incarnation(worker_id="a"), lost.incarnation)

    @parameterized.expand([(None,), (1_700_000_000_001,)])
    def test_a_start_is_read_as_it_was_written(self, born_ms: int | None) -> None:
        """A record named another start than the one it was written for."""
        incarnation = Incarnation(worker_id="i-1@b", born_ms=born_ms)
        self.assertEqual(incarnation, Incarnation.decode(incarnation.encode()))
        record = MachineControllerRecord(over=(incarnation,))
        self.assertEqual(record, MachineControllerRecord.decode(record.encode()))
        lost = LostRun(run_id=1, incarnation=incarnation, blame=Blame.LATE, is_certain=True)
        progress = JobProgress(queue="q", lost={(0, 0, 0): (lost,)})
        self.assertEqual(progress.lost, decode_progress(encode_progress(progress)).lost)
