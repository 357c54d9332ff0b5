"""Tests of the active workers record, and of how long a successor waits for recorded workers."""

import asyncio
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import JobProgress, TaskName
from shallotworks.metrics import Metrics
from shallotworks.scheduling import (
    ActiveWorker,
    ActiveWorkersRecord,
    EndKind,
    MachineRecords,
    OrderDispatcher,
    OrderTimes,
    Run,
    RunPhase,
    SchedulerState,
    StartOrder,
    active_workers_key,
)
from shallotworks.scheduling._scheduler_state import StoredProgress
from shallotworks.scheduling._worker_tracker import WorkerTracker
from shallotworks.standins import (
    FaultInjectingOrders,
    FaultInjectingStore,
    RecordStore,
    TaskWorkers,
)
from shallotworks.store import LeaseTiming
from tests.held_leases import acquire
from tests.lasting_task_simulation import RESTART_DEADLINE_S
from tests.scheduling_fakes import SchedulingHarness, job, quiet_log, step, view
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

JOB_ID = "00000000000000ab"
NAME = TaskName(JOB_ID, 0, 0, 0)
START_S = 5.0
LONG_LEASE = LeaseTiming(ttl_s=60.0)


def _recorded_workers(simulation: SchedulingSimulation) -> set[str]:
    item = simulation.store.items.get(active_workers_key(SERVICE))
    return set(ActiveWorkersRecord.decode(item.value)) if item is not None else set()


async def _make_running_simulation(*, workers: int, instances: int) -> SchedulingSimulation:
    """Return a simulation in which one lasting task runs."""
    simulation = SchedulingSimulation(seed=3, workers=workers, instances=instances)
    simulation.fleet.lasting.add(JOB_ID)
    for instance in simulation.instances:
        instance.start()
    await asyncio.sleep(1.0)
    await simulation.submit(JOB_ID, step(1, is_lasting=True))
    await asyncio.sleep(START_S)
    return simulation


async def _kill_instances(simulation: SchedulingSimulation) -> None:
    for instance in simulation.instances:
        await instance.kill()


async def _measure_restart_s(simulation: SchedulingSimulation) -> float:
    """Return the time that passes until the task runs on a worker that is alive."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while loop.time() - started_s < 30.0:
        for worker in simulation.fleet.workers.values():
            if worker.is_alive:
                worker.end_due_runs()
                if NAME in worker.names():
                    return loop.time() - started_s
        await asyncio.sleep(0.05)
    return loop.time() - started_s


class RecordContentsTests(unittest.TestCase):
    def test_workers_that_can_run_nothing_are_removed_from_the_record(self) -> None:
        """A successor waits for crashed or drained workers that are still in the record.

        Earlier jobs are then held back for as long as the leases of a lost worker last.
        """

        async def scenario() -> None:
            simulation = await _make_running_simulation(workers=4, instances=1)
            busy = next(one for one in simulation.fleet.workers.values() if one.names())
            crashed, drained, kept = (
                one for one in simulation.fleet.workers.values() if one is not busy
            )
            self.assertEqual(set(simulation.fleet.workers), _recorded_workers(simulation))
            crashed.crash()
            # A drained worker is removed early, since it may leave while there is no scheduler.
            drained.view = view(drained.view.worker_id, service=SERVICE, is_draining=True)
            simulation.fleet.view_change_count += 1
            await asyncio.sleep(2.5)
            self.assertEqual(
                {busy.view.worker_id, kept.view.worker_id}, _recorded_workers(simulation)
            )
            drained.view = view(drained.view.worker_id, service=SERVICE)
            simulation.fleet.view_change_count += 1
            await asyncio.sleep(0.5)
            self.assertIn(drained.view.worker_id, _recorded_workers(simulation))
            await _kill_instances(simulation)

        run_scenario(scenario())

    def test_a_write_carried_out_late_removes_no_worker(self) -> None:
        """A late write removes a worker on which a task was started meanwhile.

        The successor does not know that worker, and runs the task a second time elsewhere.
        """

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            store_view = FaultInjectingStore(store=store)
            lease = await acquire(store_view, timing=LONG_LEASE)
            record = ActiveWorkersRecord(
                service=SERVICE, lease=lease, store=store_view, log=quiet_log()
            )
            await record.read()
            one, two = ActiveWorker(address="a:1"), ActiveWorker(address="b:1")
            store_view.faults.late_ratio = 1.0
            self.assertFalse(await record.update(lambda: {"one": one}))
            store_view.faults.late_ratio = 0.0
            self.assertTrue(await record.update(lambda: {"one": one, "two": two}))
            await asyncio.sleep(4.0)
            item = store.items[active_workers_key(SERVICE)]
            self.assertEqual({"one": one, "two": two}, ActiveWorkersRecord.decode(item.value))
            self.assertFalse(lease.lost_event.is_set())

        run_scenario(scenario())

    def test_a_write_that_conflicts_with_its_own_earlier_one_is_retried(self) -> None:
        """A worker is recorded although an earlier write was carried out without an answer."""

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            store_view = FaultInjectingStore(store=store)
            lease = await acquire(store_view, timing=LONG_LEASE)
            record = ActiveWorkersRecord(
                service=SERVICE, lease=lease, store=store_view, log=quiet_log()
            )
            store_view.faults.lost_ratio = 1.0
            self.assertFalse(await record.update(lambda: {"one": ActiveWorker(address="a:1")}))
            store_view.faults.lost_ratio = 0.0
            self.assertFalse(record.is_recorded("one"))
            both = {"one": ActiveWorker(address="a:1"), "two": ActiveWorker(address="b:1")}
            self.assertTrue(await record.update(lambda: both))
            self.assertTrue(record.is_recorded("two"))
            self.assertFalse(lease.lost_event.is_set())

        run_scenario(scenario())

    def test_a_record_that_can_not_be_read_holds_earlier_jobs_back(self) -> None:
        """A scheduler that can't read which workers its predecessor used waits for their leases."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=4, workers=1, instances=1)
            simulation.fleet.lasting.add(JOB_ID)
            await simulation.submit(JOB_ID, step(1, is_lasting=True))
            simulation.store.put(active_workers_key(SERVICE), b'{"w0": "127.0.0.1:1"}')
            simulation.instances[0].start()
            restart_s = await _measure_restart_s(simulation)
            self.assertGreater(restart_s, OrderTimes().recovery_s)
            self.assertLess(restart_s, RESTART_DEADLINE_S)
            await asyncio.sleep(2.0)
            self.assertEqual({"w0"}, _recorded_workers(simulation))
            await _kill_instances(simulation)

        run_scenario(scenario())


class HandOverTests(unittest.TestCase):
    def test_a_worker_with_an_end_that_is_not_stored_stays_recorded(self) -> None:
        """A task runs twice: its end is known to a scheduler that stops before it stores the end.

        The worker still reports the end, so the successor must poll it before it starts the task.
        """

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            store = RecordStore(rng=random.Random(1))
            lease = await acquire(FaultInjectingStore(store=store), timing=LONG_LEASE)
            record = ActiveWorkersRecord(
                service=SERVICE,
                lease=lease,
                store=FaultInjectingStore(store=store),
                log=quiet_log(),
            )
            harness = SchedulingHarness(view("ended"), view("idle"))
            workers = WorkerTracker(
                scheduler_state=harness.scheduler_state,
                record=record,
                directory=TaskWorkers(rng=random.Random(1)),
                machine_records=MachineRecords(log=quiet_log()),
                clock=loop.time,
                wall_clock=loop.time,
                times=OrderTimes(),
            )
            harness.add_job(job(JOB_ID, step(1)))
            (order,) = harness.start_orders()
            self.assertEqual("ended", order.run.worker_id)
            # The end arrives just after another one was stored, and waits for the next commit. A
            # record without the worker would let the successor start the task again at once.
            harness.report("ended", ended=((NAME, order.run.run_id, EndKind.DONE),))
            await workers.hand_over()
            self.assertEqual({"ended"}, set(record.active_workers))
            (dirty,) = harness.scheduler_state.unstored_jobs()
            stored = StoredProgress(job_id=JOB_ID, changes=dirty.changes, revision=2)
            harness.scheduler_state.note_stored(stored)
            await workers.hand_over()
            self.assertEqual(set(), set(record.active_workers))

        run_scenario(scenario())

    def test_a_scheduler_that_is_stopped_stores_all_progress(self) -> None:
        """A scheduler stops between two commits of progress, and releases its lease.

        Its successor waits for workers on which nothing runs, or runs ended tasks again.
        """

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=5, workers=8, instances=1)
            job_ids = [f"{number:016x}" for number in range(1, 9)]
            for number, job_id in enumerate(job_ids):
                simulation.fleet.work_s[job_id] = 1.0 + 0.01 * number
            (scheduler,) = simulation.instances
            scheduler.start()
            await asyncio.sleep(1.0)
            whole_worker = step(1, cpu_millicores=4000)
            await asyncio.gather(*(simulation.submit(one, whole_worker) for one in job_ids))
            scheduler_state = scheduler.service_schedulers[-1].scheduler_state
            while len(simulation.fleet.done_tasks) < 2 or not scheduler_state.unstored_jobs():
                await asyncio.sleep(0.001)
            # The store is so slow that the lease would be released before an unawaited commit ends.
            scheduler.store.faults.delay_s = 0.05
            await scheduler.elector.stop()
            self.assertEqual([], scheduler_state.unstored_jobs())
            await _kill_instances(simulation)

        run_scenario(scenario())


class LeaseTests(unittest.TestCase):
    @parameterized.expand([("recorded", True), ("not recorded", False)])
    def test_only_a_recorded_worker_is_given_leases(self, _name: str, is_recorded: bool) -> None:
        """A task runs twice after two schedulers were lost one after the other.

        The second extended a worker's leases, and the record still gave the first one's end time.
        """

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            fleet = TaskWorkers(rng=random.Random(1))
            fleet.lasting.add(JOB_ID)
            worker = fleet.add(view("w0", service=SERVICE))
            one = job(JOB_ID, step(1, is_lasting=True))
            scheduler_state = SchedulerState(service=SERVICE, token=9, log=quiet_log())
            progress = JobProgress(queue="sweeps")
            scheduler_state.add_job(
                one, progress, revision=1, is_inherited=True, wall_s=loop.time()
            )
            scheduler_state.update_worker(worker.view)
            run = Run(
                name=NAME,
                run_id=1,
                step=one.steps[0],
                incarnation=worker.view.incarnation,
                phase=RunPhase.STARTING,
                since_s=loop.time(),
            )
            # An earlier epoch started this run. The first scheduler never reached the worker and
            # recorded how long its leases might last; the second one reached the worker, and is
            # lost before it can record that.
            order = StartOrder(run=run, incarnation=run.incarnation, spec="x")
            worker.start(order, 8, worker.clock_ms + 3000)
            lease = await acquire(FaultInjectingStore(store=RecordStore(rng=random.Random(1))))
            order_dispatcher = OrderDispatcher(
                scheduler_state=scheduler_state,
                lease=lease,
                orders=FaultInjectingOrders(fleet=fleet),
                clock=loop.time,
                wall_clock=loop.time,
                times=OrderTimes(),
                is_recorded=lambda _: is_recorded,
                log=quiet_log(),
                metrics=Metrics(),
                on_progress=lambda: None,
            )
            renewal = asyncio.create_task(lease.renew_until_lost())
            order_dispatcher.sync_workers()
            await asyncio.sleep(4.0)
            worker.end_due_runs()
            self.assertEqual(is_recorded, NAME in worker.names())
            order_dispatcher.close()
            renewal.cancel()

        run_scenario(scenario())


class RecoveryWaitTests(unittest.TestCase):
    def test_a_task_runs_again_in_time_after_its_worker_and_scheduler_are_lost(self) -> None:
        """A lasting task did not run for 13 s after its scheduler and its worker were lost at once.

        The successor waits for the longest leases that a living predecessor could have granted.
        """

        async def scenario() -> None:
            simulation = await _make_running_simulation(workers=2, instances=2)
            busy = next(one for one in simulation.fleet.workers.values() if one.names())
            scheduler = simulation.scheduler()
            assert scheduler is not None
            busy.crash()
            await simulation.replace(scheduler)
            self.assertLess(await _measure_restart_s(simulation), RESTART_DEADLINE_S)
            self.assertEqual([], simulation.fleet.violations)
            await _kill_instances(simulation)

        run_scenario(scenario())

    def test_successive_schedulers_wait_once(self) -> None:
        """A lasting task does not run for as long as instances are stopped one after another.

        Each successor started its wait for the same lost worker from the beginning.
        """

        async def scenario() -> None:
            simulation = await _make_running_simulation(workers=2, instances=5)
            busy = next(one for one in simulation.fleet.workers.values() if one.names())
            scheduler = simulation.scheduler()
            assert scheduler is not None
            busy.crash()
            await simulation.replace(scheduler)
            restart = asyncio.create_task(_measure_restart_s(simulation))
            await asyncio.sleep(2.5)
            for _ in range(4):
                await asyncio.sleep(2.0)
                scheduler = simulation.scheduler()
                if scheduler is not None:
                    await scheduler.elector.stop()
                    simulation.instances.remove(scheduler)
            self.assertLess(await restart, RESTART_DEADLINE_S + 2.0)
            self.assertEqual([], simulation.fleet.violations)
            await _kill_instances(simulation)

        run_scenario(scenario())

    def test_no_task_outlives_the_recovery_time(self) -> None:
        """A task runs twice, since a successor that reaches no worker did not wait long enough.

        A scheduler without an answer of the store extends leases until its grace period ends.
        """
        times = OrderTimes()

        async def scenario() -> float:
            simulation = await _make_running_simulation(workers=1, instances=1)
            scheduler = simulation.instances[0]
            # The last renewal of the lease may have been confirmed just before this.
            scheduler.store.faults.is_down = True
            started_s = asyncio.get_running_loop().time()
            (worker,) = simulation.fleet.workers.values()
            while worker.names():
                worker.end_due_runs()
                await asyncio.sleep(0.02)
            await _kill_instances(simulation)
            return asyncio.get_running_loop().time() - started_s

        run_s = run_scenario(scenario())
        self.assertLess(run_s, times.recovery_s)
        self.assertGreater(run_s, times.recovery_s - 1.5)


if __name__ == "__main__":
    unittest.main()
