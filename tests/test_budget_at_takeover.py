"""Tests of the disruption budget of lasting tasks while a service's scheduler is replaced.

Schedulers, the machine controller and their records are the real ones; workers, machines and the
store are stand-ins on a virtual clock. Whenever an order for a task or for a machine ends a serving
task, a checker counts how many other tasks of its step are not serving.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import unittest

from returns.result import Result, Success

from shallotworks.errors import Failure
from shallotworks.jobs import Job, JobKeys, JobRequestHandler, TaskName
from shallotworks.metrics import Metrics
from shallotworks.scheduling import (
    MACHINES_PREFIX,
    EndedTask,
    EndKind,
    Machine,
    MachineController,
    MachineControllerDependencies,
    MachineOrderStatus,
    MachineRecords,
    MachineState,
    MaintenanceWave,
    OrderTimes,
    PoolDemand,
    Run,
    SchedulerDependencies,
    ServiceScheduler,
    pool_demand_key,
)
from shallotworks.scheduling.machines._machine_records import (
    MachineControllerRecord,
    machine_controller_key,
)
from shallotworks.standins import (
    FaultInjectingOrders,
    FaultInjectingStore,
    OrderFaults,
    RecordStore,
    TaskWorkers,
)
from shallotworks.store import HeldLease, PrefixWatcher
from tests.held_leases import acquire
from tests.scheduling_fakes import policy, quiet_log, step, view
from tests.scheduling_simulation import AllowAllAdvice
from tests.virtual_clock import run_scenario

SERVICE = "antenna"
BORROWER = "coverage"
JOB = "00000000000000aa"
MAINTENANCE_S = 2.0
MOVE_S = 1.5
CONTROLLER_START_DELAY_S = 3.2


def now_s() -> float:
    """Return the loop's clock."""
    return asyncio.get_running_loop().time()


class DisruptionBudgetChecker:
    """Checks at each end of a lasting task how many other tasks of its step are not serving.

    Args:
        fleet: The workers.
        names: The tasks of the step.
        may_miss: How many of the tasks may be out of service at once.
    """

    def __init__(self, *, fleet: TaskWorkers, names: list[TaskName], may_miss: int) -> None:
        self._fleet = fleet
        self._names = names
        self._may_miss = may_miss
        self.violations: list[str] = []

    def serving_tasks(self) -> set[TaskName]:
        """Return the tasks that serve."""
        serving = set()
        for worker in self._fleet.workers.values():
            if worker.is_alive:
                worker.end_due_runs()
                runs = worker._runs.values()
                serving.update(run.name for run in runs if run.percent(now_s()) >= 100)
        return serving

    def check_order(self, names: set[TaskName], how: str) -> None:
        """Check the serving tasks that one order ends at the same moment."""
        serving = self.serving_tasks()
        for name in sorted(names):
            not_serving = [other for other in self._names if other not in serving and other != name]
            if name in self._names and len(not_serving) >= self._may_miss:
                self.violations.append(
                    f"{now_s():.3f} {how} ends {name[3]}, {len(not_serving)} are not serving"
                )
            serving.discard(name)


class CheckedWorkers(TaskWorkers):
    """Workers whose runs that end by a stop are checked against the disruption budget."""

    budget: DisruptionBudgetChecker | None = None

    def note_end(self, end: EndedTask) -> None:
        """Record an end of a run."""
        super().note_end(end)
        if self.budget is not None and end.kind is EndKind.STOPPED:
            self.budget.check_order({end.name}, "a stop")


class SchedulerHandle:
    """A running service scheduler, with its lease and its access to the store and to workers."""

    def __init__(
        self,
        *,
        service_scheduler: ServiceScheduler,
        lease: HeldLease,
        store: FaultInjectingStore,
        orders: FaultInjectingOrders,
    ) -> None:
        self.service_scheduler = service_scheduler
        self.lease = lease
        self.store = store
        self.orders = orders
        self.tasks: list[asyncio.Task[None]] = []

    def cut_from_store(self) -> None:
        """Leave all further calls to the store unanswered."""
        self.store.faults.is_silent = True


class TakeoverHarness:
    """A service with lasting tasks, its machines, the machine controller and the schedulers.

    Implements `Machines` and `MaintenanceSchedule`. The name of a machine is ``m`` and the name of
    its first worker.
    """

    def __init__(self, *workers: str, **step_fields: int) -> None:
        rng = random.Random(1)
        self.store = RecordStore(rng=rng)
        self.fleet = CheckedWorkers(rng=rng)
        self.machines: dict[str, Machine] = {}
        self.ended_by_machine_orders: list[str] = []
        """Serving tasks that orders for machines ended; no scheduler may offer their workers."""
        self.order_delay_s = 0.0
        """Delay in seconds until an order for a machine is carried out."""
        self.requested_waves: tuple[MaintenanceWave, ...] = ()
        for name in workers:
            self._add("m" + name, name, SERVICE)
        count = step_fields.pop("count")
        self.job = Job(
            job_id=JOB,
            policy=policy(service=SERVICE),
            spec="x",
            steps=(step(count, is_lasting=True, **step_fields),),
        )
        self.fleet.lasting.add(JOB)
        self.fleet.cpu_millicores[JOB] = self.job.steps[0].cpu_millicores
        names = [TaskName(JOB, 0, 0, index) for index in range(count)]
        self.budget = DisruptionBudgetChecker(
            fleet=self.fleet, names=names, may_miss=self.job.steps[0].may_miss
        )
        self.fleet.budget = self.budget
        self.controller_records = MachineRecords(log=quiet_log())
        self._tasks: list[asyncio.Task[None]] = []

    def _add(self, machine: str, worker: str, pool: str) -> None:
        self.fleet.add(view(worker, service=pool))
        self.machines[machine] = Machine(
            name=machine, pool=pool, state=MachineState.UP, worker_id=worker
        )

    # ---- machines and waves

    async def list(self) -> Result[tuple[Machine, ...], Failure]:
        return Success(tuple(self.machines.values()))

    async def start_maintenance(self, machine: str, *, wave: int, token: int) -> MachineOrderStatus:
        return await self._end_worker(
            machine, MachineState.MAINTENANCE, self.machines[machine].pool, MAINTENANCE_S
        )

    async def move(self, machine: str, *, pool: str, token: int) -> MachineOrderStatus:
        return await self._end_worker(machine, MachineState.MOVING, pool, MOVE_S)

    async def _end_worker(
        self, machine: str, state: MachineState, pool: str, for_s: float
    ) -> MachineOrderStatus:
        await asyncio.sleep(self.order_delay_s)
        if self.machines[machine].state is not MachineState.UP:
            return MachineOrderStatus.BUSY
        worker = self.fleet.workers[self.machines[machine].worker_id]
        ended_tasks = self.budget.serving_tasks() & worker.names()
        self.ended_by_machine_orders += [
            f"{now_s():.3f} {state.value} ends {name[3]}" for name in sorted(ended_tasks)
        ]
        self.budget.check_order(ended_tasks, state.value)
        worker.crash()
        self.machines[machine] = Machine(name=machine, pool=pool, state=state)
        next_worker_id = f"{worker.view.worker_id}+"
        asyncio.get_running_loop().call_later(for_s, self._add, machine, next_worker_id, pool)
        return MachineOrderStatus.OBEYED

    def waves(self) -> tuple[MaintenanceWave, ...]:
        return self.requested_waves

    def status_key(self, wave: int) -> str:
        return f"status/{wave}"

    def encode_status(self, is_completed: bool) -> bytes:
        return b""

    def request_wave(self, *machines: str) -> None:
        """Request a wave that may take down all its machines at once."""
        self.requested_waves = (
            MaintenanceWave(wave=1, machines=machines, duration_s=30, max_at_once=len(machines)),
        )

    def publish_due_workers(self, *workers: str) -> None:
        """Write the machine controller's record of the workers that are to be drained."""
        self.store.put(
            machine_controller_key(), MachineControllerRecord(due=frozenset(workers)).encode()
        )

    def drain(self, *workers: str) -> None:
        """Mark workers as draining."""
        for worker in workers:
            task_worker = self.fleet.workers[worker]
            task_worker.view = dataclasses.replace(task_worker.view, is_draining=True)
        # The version of the worker list depends on the workers that are not listed.
        self.fleet.unlisted.add("none")

    def publish_shortfall(self, count: int) -> None:
        """Write a demand record of another service that lacks machines."""
        self.store.put(pool_demand_key(BORROWER), PoolDemand(lacking=count).encode())

    # ---- controller and schedulers

    async def start_controller(self) -> None:
        """Start a machine controller, and wait until it may give its first order."""
        store = FaultInjectingStore(store=self.store)
        lease = await acquire(store, key="keeper", marker_key="keeper-mark")
        dependencies = MachineControllerDependencies(
            machines=self,
            maintenance_schedule=self,
            machine_records=self.controller_records,
            standby=frozenset,
            store=store,
            clock=now_s,
            wall_clock=now_s,
            log=quiet_log(),
        )
        watcher = PrefixWatcher(
            store=store, prefix=MACHINES_PREFIX, listener=self.controller_records, log=quiet_log()
        )
        controller = MachineController(lease=lease, dependencies=dependencies)
        self._tasks += [asyncio.create_task(watcher.run()), asyncio.create_task(controller.run())]
        await asyncio.sleep(CONTROLLER_START_DELAY_S + 0.1)

    async def start_scheduler(
        self, *, unreachable_worker_ids: set[str] | None = None
    ) -> SchedulerHandle:
        """Start a scheduler of the service.

        Args:
            unreachable_worker_ids: Workers that the scheduler can't reach.
        """
        store = FaultInjectingStore(store=self.store)
        orders = FaultInjectingOrders(
            fleet=self.fleet,
            faults=OrderFaults(unreachable_worker_ids=unreachable_worker_ids or set()),
        )
        marker_key = JobKeys(service=SERVICE).marker_key
        lease = await acquire(
            store, key=f"shallotworks/duty/scheduler/{SERVICE}", marker_key=marker_key
        )
        machine_records = MachineRecords(log=quiet_log())
        watcher = PrefixWatcher(
            store=store, prefix=MACHINES_PREFIX, listener=machine_records, log=quiet_log()
        )
        dependencies = SchedulerDependencies(
            store=store,
            orders=orders,
            directory=self.fleet,
            advice=AllowAllAdvice(),
            machine_records=machine_records,
            clock=now_s,
            wall_clock=now_s,
            times=OrderTimes(),
            log=quiet_log(),
            metrics=Metrics(),
        )
        watching = asyncio.create_task(watcher.run())
        await watcher.synced.wait()
        service_scheduler = ServiceScheduler(
            service=SERVICE, lease=lease, dependencies=dependencies
        )
        handle = SchedulerHandle(
            service_scheduler=service_scheduler, lease=lease, store=store, orders=orders
        )
        handle.tasks = [watching, asyncio.create_task(service_scheduler.run())]
        self._tasks += handle.tasks
        return handle

    def revoke(self) -> None:
        """Delete the scheduler's keys in the store."""
        self.store.revoke("shallotworks/duty/scheduler/")
        self.store.revoke(JobKeys(service=SERVICE).marker_key)

    async def kill(self, handle: SchedulerHandle) -> None:
        """Kill a scheduler, which releases nothing itself, and delete its keys."""
        handle.store.faults.is_down = True
        for task in handle.tasks:
            task.cancel()
        await asyncio.gather(*handle.tasks, return_exceptions=True)
        self.revoke()

    async def submit(self) -> None:
        """Submit the lasting job."""
        job_handler = JobRequestHandler(
            store=FaultInjectingStore(store=self.store),
            metrics=Metrics(),
            log=quiet_log(),
            wall_clock=now_s,
        )
        answer = await job_handler.submit(self.job, deadline_s=now_s() + 2)
        assert answer.status.value == "accepted"

    async def close(self) -> None:
        """Cancel all tasks of the harness."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class UnansweredWorkerTests(unittest.TestCase):
    """A successor reads from a record which workers there are before it knows what they run."""

    def test_a_wave_takes_no_worker_that_has_not_answered_the_successor(self) -> None:
        """A wave took down all tasks of a step after a successor offered workers it had not polled.

        Recorded workers seem idle until their first polls are answered, a tenth of a second later.
        """

        async def scenario(wait_s: float) -> list[str]:
            harness = TakeoverHarness(
                "w0", "w1", "w2", "w3", count=3, may_miss=1, cpu_millicores=3000
            )
            first = await harness.start_scheduler()
            await harness.submit()
            await harness.start_controller()
            busy_worker_ids = {run.worker_id for run in _runs(first)}
            harness.request_wave(*("m" + worker for worker in sorted(busy_worker_ids)))
            while not harness.controller_records.controller.due:
                await asyncio.sleep(0.005)
            # The successor withdrew its offer when the polls were answered, but the controller had
            # ordered the maintenance by then.
            await harness.kill(first)
            await asyncio.sleep(wait_s)
            await harness.start_scheduler()
            await asyncio.sleep(1.0)
            await harness.close()
            return harness.ended_by_machine_orders

        for part in range(8):
            with self.subTest(successor_begins_after_s=part * 0.025):
                self.assertEqual([], run_scenario(scenario(part * 0.025)))

    def test_a_worker_that_the_successor_cannot_reach_is_not_lent(self) -> None:
        """Two of three serving tasks were ended when a successor offered unreachable workers.

        The successor knew of no runs on them, so they counted as idle and were moved away.
        """

        async def scenario() -> list[str]:
            harness = TakeoverHarness(
                "w0", "w1", "w2", "w3", count=3, may_miss=1, cpu_millicores=3000
            )
            first = await harness.start_scheduler()
            await harness.submit()
            await harness.start_controller()
            busy_worker_ids = sorted({run.worker_id for run in _runs(first)})
            await harness.kill(first)
            harness.publish_shortfall(2)
            await harness.start_scheduler(unreachable_worker_ids=set(busy_worker_ids[:2]))
            await asyncio.sleep(2.0)
            await harness.close()
            return harness.ended_by_machine_orders

        self.assertEqual([], run_scenario(scenario()))


class AdoptedRunTests(unittest.TestCase):
    def test_a_run_that_the_predecessor_has_just_stopped_counts_as_not_serving(self) -> None:
        """Two of three tasks were stopped when a successor counted a just stopped one as serving.

        A worker lists a stopped task at 100 percent for 0.2 s more, in which a successor began.
        """

        async def scenario(wait_s: float) -> list[str]:
            harness = TakeoverHarness(
                "w0", "w1", "w2", "w3", count=3, may_miss=1, cpu_millicores=3000
            )
            first = await harness.start_scheduler()
            await harness.submit()
            await asyncio.sleep(2.0)
            # No machine controller runs here, since its orders have tests of their own. Schedulers
            # iterate over the due workers in the order of a set, which differs between processes
            # but is the same for both schedulers here.
            due = sorted({run.worker_id for run in _runs(first)})
            last = list(frozenset(due))[-1]
            harness.publish_due_workers(last)
            while not any(run.is_stop_requested for run in _runs(first)):
                await asyncio.sleep(0.005)
            harness.publish_due_workers(*due)
            first.cut_from_store()
            harness.revoke()
            await asyncio.sleep(wait_s)
            await harness.start_scheduler()
            await asyncio.sleep(3.0)
            await harness.close()
            return harness.budget.violations

        for part in range(8):
            with self.subTest(successor_begins_after_s=part * 0.025):
                self.assertEqual([], run_scenario(scenario(part * 0.025)))


class EarlierOfferTests(unittest.TestCase):
    """The store may still have an offer of a worker that the scheduler has withdrawn."""

    def test_no_lasting_task_starts_on_a_worker_that_the_predecessor_offered(self) -> None:
        """A machine order ended a task that a successor had started on an offered worker.

        Lasting tasks avoid an offered worker for 3 s, but a successor did not know of the offer.
        """

        async def scenario() -> list[str]:
            harness = TakeoverHarness("w0", "w1", "w2", count=2, may_miss=1, cpu_millicores=3000)
            first = await harness.start_scheduler()
            await harness.start_controller()
            # The order to move the idle worker is in flight while the scheduler is replaced.
            harness.order_delay_s = 0.7
            harness.publish_shortfall(1)
            await asyncio.sleep(0.25)
            await harness.kill(first)
            await harness.submit()
            await harness.start_scheduler()
            await asyncio.sleep(1.5)
            await harness.close()
            return harness.ended_by_machine_orders

        self.assertEqual([], run_scenario(scenario()))

    def test_no_lasting_task_starts_on_a_worker_that_the_store_still_offers(self) -> None:
        """A machine order ended a task on a worker whose offer a cut off scheduler can't withdraw.

        Lasting tasks avoid the worker for 3 s, but a scheduler may act for 4 s without the store.
        """

        async def scenario() -> list[str]:
            harness = TakeoverHarness(
                "w0", "w1", "w2", "w3", "w4", count=3, may_miss=1, cpu_millicores=3000
            )
            first = await harness.start_scheduler()
            await harness.submit()
            await harness.start_controller()
            first.cut_from_store()
            # The task of the drained worker is started on an offered one 3 s later. The next
            # scheduler of the service begins late, so the controller still reads the offer.
            harness.drain(min(run.worker_id for run in _runs(first)))
            await asyncio.sleep(3.75)
            harness.publish_shortfall(2)
            await asyncio.sleep(1.0)
            await harness.close()
            return harness.ended_by_machine_orders

        self.assertEqual([], run_scenario(scenario()))

    def test_an_offer_that_the_store_writes_late_does_not_outlive_its_withdrawal(self) -> None:
        """A machine order ended a task whose worker was offered by a write that came 2.5 s late.

        The scheduler had withdrawn the offer by then, and did not write its last demand again.
        """

        async def scenario() -> list[str]:
            harness = TakeoverHarness("w0", "w1", "w2", count=2, may_miss=1, cpu_millicores=3000)
            first = await harness.start_scheduler()
            await harness.submit()
            await asyncio.sleep(0.2)
            first.store.faults.late_delay_s = 2.5
            first.store.faults.late_ratio = 1.0
            await asyncio.sleep(0.6)
            first.store.faults.late_ratio = 0.0
            await asyncio.sleep(0.8)
            harness.drain(min(run.worker_id for run in _runs(first)))
            await harness.start_controller()
            await asyncio.sleep(0.6)
            harness.publish_shortfall(1)
            await asyncio.sleep(1.0)
            await harness.close()
            return harness.ended_by_machine_orders

        self.assertEqual([], run_scenario(scenario()))

    def test_an_offer_that_was_written_without_an_answer_is_withdrawn(self) -> None:
        """A machine order ended a task whose worker was offered by a write without an answer.

        The new demand equalled the last acknowledged one, so the scheduler wrote no withdrawal.
        """

        async def scenario() -> tuple[list[str], int]:
            harness = TakeoverHarness("w0", "w1", "w2", count=2, may_miss=1, cpu_millicores=3000)
            first = await harness.start_scheduler()
            await harness.submit()
            await asyncio.sleep(0.2)
            first.store.faults.lost_ratio = 1.0
            await asyncio.sleep(0.6)
            first.store.faults.lost_ratio = 0.0
            harness.drain(min(run.worker_id for run in _runs(first)))
            await harness.start_controller()
            await asyncio.sleep(1.0)
            harness.publish_shortfall(1)
            await asyncio.sleep(1.0)
            serving_tasks = len(harness.budget.serving_tasks())
            await harness.close()
            return harness.ended_by_machine_orders, serving_tasks

        self.assertEqual(([], 2), run_scenario(scenario()))


def _runs(handle: SchedulerHandle) -> list[Run]:
    return [
        run
        for worker in handle.service_scheduler.scheduler_state.workers.values()
        for run in worker.runs.values()
    ]


if __name__ == "__main__":
    unittest.main()
