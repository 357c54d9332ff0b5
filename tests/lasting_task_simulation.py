"""Simulates lasting tasks on the stand-ins under faults, and checks invariants throughout.

Instances, service schedulers, leader electors, their watchers and the list of workers are the
product's own; the store, the workers and the machine controller are stand-ins. Workers register in
the store as the platform's do, so that instances learn of them late or not at all while the store
is down.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Coroutine, Iterator
from dataclasses import replace
from typing import Any

from shallotworks.jobs import (
    Job,
    JobKeys,
    JobRequestHandler,
    JobState,
    Step,
    TaskName,
    decode_progress,
)
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.platform._workers import REGISTRY_PREFIX, WorkerRegistry
from shallotworks.scheduling import (
    MACHINES_PREFIX,
    EndedTask,
    EndKind,
    LeaseHolder,
    MachineRecords,
    OrderStatus,
    OrderTimes,
    PoolDemand,
    SchedulerDependencies,
    ServiceScheduler,
    pool_demand_key,
)
from shallotworks.scheduling.machines._machine_controller_ledger import REMOVED_WORKERS_PUBLISHED_S
from shallotworks.scheduling.machines._machine_records import (
    MachineControllerRecord,
    machine_controller_key,
)
from shallotworks.standins import (
    OrderFaults,
    RecordFaults,
    RecordStore,
    TaskWorker,
    TaskWorkers,
)
from shallotworks.store import HeldLease, PrefixWatcher
from tests.scheduling_fakes import policy, quiet_log, step, view
from tests.scheduling_simulation import SERVICE, AllowAllAdvice, Instance

__all__ = ["RESTART_DEADLINE_S", "LastingTaskSimulation", "lasting_step"]

RESTART_DEADLINE_S = 10.0
"""A lasting task with room for it runs again within this time after the last fault. Source: the
users' rules: instances are connected again 3 s after a fault, a task counts as missed only after
4 s without a fault, and it may be missed for 3 s."""
MISSED_AFTER_S = 3.0
"""A task counts as missed after this time; one that was stopped to be moved is back sooner.
Source: the users' rules."""
AWAY_AFTER_S = 4.5
"""A task that has not served for this long counts as unavailable.
Source: the platform's settings."""
MAX_TASK_LEASE_S = 6.0
"""The longest lease of a run. If a run lapses later than this after the last fault, the fault is
not the cause."""
CANCEL_DEADLINE_S = 8.0
"""Without faults a cancelled task stops within this time: 3 s until the cancellation is known,
and 5 s for a stop."""
DRAIN_S = 2.0
"""A worker goes on serving for this time after the store has stored that it is draining."""
REGISTRATION_TTL_S = 3.0
"""A worker that sends nothing stays listed for this time."""
MAX_REREGISTRATION_S = 2.0
"""Workers whose registration was lost in an outage of the store register again within this time
after it."""
REPLACEMENT_DELAY_S = 1.5
"""A new worker starts this long after an earlier one crashed or was removed."""
SAMPLE_INTERVAL_S = 0.2
LEASE_EXPIRY_WAIT_S = 7.0
"""Leases that nobody extends have run out this long after a fault."""
CONTROLLER_ROUND_S = 0.02
"""Pause between two reads of the offers. The machine controller reads them a tenth as often.
The simulation reads more often, since a round of the controller may begin at any time and must not
find a wrong offer then."""
EVACUATION_TIMEOUT_S = 20.0
"""The machine controller gives up a worker that is not offered within this time."""
LENDING_TIMEOUT_S = 2.0
"""The machine controller gives up lending if no worker is offered within this time."""
MAX_SUBMIT_ATTEMPTS = 40


def lasting_step(count: int, **changes: object) -> Step:
    """Return a step of lasting tasks of one core each, with a disruption budget of one task."""
    given: dict[str, object] = {"is_lasting": True, "may_miss": 1}
    return step(count, **(given | changes))


class RecordingLog(StructuredLog):
    """Records an instance's log lines with the simulated time.

    Args:
        process: The instance.
        lines: List to which the lines of all instances are appended.
    """

    __slots__ = ("_all_lines", "_instance")

    def __init__(self, *, process: str, lines: list[str]) -> None:
        super().__init__(process=process, write=len)
        self._instance = process
        self._all_lines = lines

    def line(self, event: str, **fields: object) -> None:
        """Record a line."""
        now_s = asyncio.get_running_loop().time()
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._all_lines.append(f"{now_s:8.3f} {self._instance} {event} {text}")


class LastingInstance(Instance):
    """An instance that reads the workers and the machine controller's record from the store.

    Args:
        name: Its name.
        store: The store.
        faults: Faults of the store that all instances meet.
        fleet: The workers.
        isolated: Workers that no instance can reach.
        log: Log of its decisions.
    """

    def __init__(
        self,
        *,
        name: str,
        store: RecordStore,
        faults: RecordFaults,
        fleet: TaskWorkers,
        isolated: set[str],
        log: StructuredLog,
    ) -> None:
        super().__init__(name=name, store=store, fleet=fleet)
        self.store.faults = faults
        self.orders.faults = OrderFaults(unreachable_worker_ids=isolated)
        self.elector._log = log
        self._log = log
        self._registry = WorkerRegistry(log=quiet_log())
        self._machine_records = MachineRecords(log=log)
        self._are_watchers_started = False
        self.epoch_starts_s: list[float] = []

    async def kill(self) -> None:
        """End at once, without a handover."""
        self.store.faults = RecordFaults()
        self.orders.faults = OrderFaults()
        await super().kill()

    async def stop(self) -> None:
        """End as after a stop signal: leases are handed over."""
        with contextlib.suppress(TimeoutError):
            await self.elector.stop()
        await self.kill()

    async def _run_epoch(self, service: str, lease: HeldLease) -> None:
        self.epoch_starts_s.append(self.now_s())
        self._start_watchers()
        service_scheduler = ServiceScheduler(
            service=service, lease=lease, dependencies=self._dependencies()
        )
        self.service_schedulers.append(service_scheduler)
        await service_scheduler.run()

    def _dependencies(self) -> SchedulerDependencies:
        return SchedulerDependencies(
            store=self.store,
            orders=self.orders,
            directory=self._registry,
            advice=AllowAllAdvice(),
            machine_records=self._machine_records,
            clock=self.now_s,
            wall_clock=self.now_s,
            times=OrderTimes(),
            log=self._log,
            metrics=Metrics(),
        )

    def _start_watchers(self) -> None:
        """Start the watchers of the workers and the machine controller at the first epoch."""
        if self._are_watchers_started:
            return
        self._are_watchers_started = True
        workers, machines = (
            PrefixWatcher(
                store=self.store,
                prefix=prefix,
                listener=listener,
                log=quiet_log(),
                on_answer=on_answer,
                clock=self.now_s,
            )
            for prefix, listener, on_answer in (
                (REGISTRY_PREFIX, self._registry, self._note_workers_answer),
                (MACHINES_PREFIX, self._machine_records, None),
            )
        )
        for work in (workers.run(), machines.run(), self._note_synced(workers)):
            self._tasks.add(asyncio.create_task(work))

    def _note_workers_answer(self, sent_s: float) -> None:
        """Handle an answer to the watcher of the workers."""

    async def _note_synced(self, workers: PrefixWatcher) -> None:
        await workers.synced.wait()
        self._registry.is_synced = True


class LastingWorkers(TaskWorkers):
    """Workers that also check each step's disruption budget.

    Args:
        rng: Random generator for durations and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.stable_from_s = 0.0
        self.isolated: set[str] = set()
        """Workers that nobody can reach, while their tasks run on."""
        self._steps: dict[TaskName, tuple[int, frozenset[TaskName]]] = {}
        self._last_serving_s: dict[TaskName, float] = {}
        self._disrupted: set[TaskName] = set()

    def add_step(self, names: frozenset[TaskName], may_miss: int) -> None:
        """Check the disruption budget of a step from now on."""
        now_s = asyncio.get_running_loop().time()
        for name in names:
            self._steps[name] = (may_miss, names - {name})
            self._last_serving_s[name] = now_s

    def note_serving(self) -> None:
        """Record which tasks serve."""
        now_s = asyncio.get_running_loop().time()
        for worker in self.workers.values():
            if worker.is_alive:
                worker.end_due_runs()
                for name in worker.serving_tasks():
                    self._last_serving_s[name] = now_s
                    self._disrupted.discard(name)

    def check_stop(self, worker: TaskWorker, name: TaskName) -> None:
        """Check that a stop stays within the disruption budget of the task's step."""
        is_sound = worker.view.worker_id not in self.isolated and not worker.view.is_draining
        if is_sound and name in worker.serving_tasks():
            self._check_disruption(name, "stopped")

    def note_end(self, end: EndedTask) -> None:
        """Check a lease that lapses without a fault as if it were a stop."""
        super().note_end(end)
        now_s = asyncio.get_running_loop().time()
        if end.kind is EndKind.LAPSED and now_s > self.stable_from_s + MAX_TASK_LEASE_S:
            self._check_disruption(end.name, "left to lapse")

    def take_away(self, worker: TaskWorker) -> None:
        """Remove a worker that its scheduler offered, on which no lasting task may run."""
        now_s = asyncio.get_running_loop().time()
        for name in worker.serving_tasks():
            self.violations.append(
                f"{now_s:.3f} {name} serves on an offered worker that is taken away"
            )
            self._check_disruption(name, "taken away")
        worker.crash()

    def _check_disruption(self, name: TaskName, how: str) -> None:
        if name.job_id in self.cancelled:
            return
        self.note_serving()
        now_s = asyncio.get_running_loop().time()
        may_miss, others = self._steps.get(name, (0, frozenset()))
        away = [
            other
            for other in others
            if other in self._disrupted or now_s - self._last_serving_s[other] >= AWAY_AFTER_S
        ]
        self._disrupted.add(name)
        if may_miss and len(away) >= may_miss:
            self.violations.append(f"{now_s:.3f} {name} is {how} while {away} are away")


class LastingTaskSimulation:
    """A store, workers, instances and lasting jobs, whose invariants are checked throughout.

    Args:
        seed: Seed of the random generator.
        workers: Number of workers.
        instances: Number of instances.
    """

    instance_type: type[LastingInstance] = LastingInstance
    store_type: type[RecordStore] = RecordStore
    fleet_type: type[LastingWorkers] = LastingWorkers

    def __init__(self, *, seed: int = 1, workers: int = 6, instances: int = 3) -> None:
        self.rng = random.Random(seed)
        self.store = self.store_type(rng=self.rng)
        self.fleet = self.fleet_type(rng=self.rng)
        self.instances: list[LastingInstance] = []
        self._all_instances: list[LastingInstance] = []
        self.lines: list[str] = []
        self.violations: list[str] = []
        self._last_missed_s = 0.0
        self._faults = RecordFaults()
        self._is_store_up = asyncio.Event()
        self._is_store_up.set()
        self._outage_lock = asyncio.Lock()
        self._open_faults = 0
        self._last_fault_ended_s = 0.0
        self._accepted: dict[str, Job] = {}
        self._cancelled_s: dict[str, float] = {}
        self._missing_since_s: dict[TaskName, float] = {}
        self._reported: set[str] = set()
        self._due: frozenset[str] = frozenset()
        self._taken_away_s: dict[str, float] = {}
        self._instances_made = 0
        self._tasks: set[asyncio.Task[None]] = set()
        for _ in range(workers):
            self.add_worker()
        self._initial_instances = instances

    # ---- start, end and faults

    def start(self) -> None:
        """Start the instances and the checks."""
        for _ in range(self._initial_instances):
            self.add_instance()
        self._tasks.add(asyncio.create_task(self._monitor()))

    async def close(self) -> None:
        """Stop everything."""
        for instance in self.instances:
            await instance.kill()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @contextlib.contextmanager
    def fault_period(self) -> Iterator[None]:
        """Mark a fault: missed tasks are measured from the end of this fault, or of a later one."""
        self._open_faults += 1
        self.fleet.stable_from_s = float("inf")
        try:
            yield
        finally:
            self._open_faults -= 1
            self._last_fault_ended_s = _now_s()
            if not self._open_faults:
                self.fleet.stable_from_s = self._last_fault_ended_s

    @property
    def recovered_after_s(self) -> float:
        """Seconds from the end of the last fault until no task with room was missed."""
        return max(0.0, self._last_missed_s - self._last_fault_ended_s)

    async def wait_recovered(self, longest_s: float) -> None:
        """Wait until leases have run out, and then until no task is missed.

        Args:
            longest_s: Longest wait for missed tasks.
        """
        give_up_s = _now_s() + longest_s
        await asyncio.sleep(LEASE_EXPIRY_WAIT_S)
        while self._missing_since_s and _now_s() < give_up_s:
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _in_background(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.add(asyncio.create_task(work))

    # ---- callers

    async def submit(self, job_id: str, *steps: Step) -> None:
        """Submit a lasting job to random instances until it is accepted."""
        job = self._make_job(job_id, steps)
        self.fleet.lasting.add(job_id)
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            job_handler = await self._any_job_handler()
            answer = await job_handler.submit(job, deadline_s=_now_s() + 1.5)
            if answer.status.value == "accepted":
                self._accepted[job_id] = job
                for number, task_step in enumerate(steps):
                    self.fleet.add_step(
                        frozenset(_names_of(job_id, number, task_step)), task_step.may_miss
                    )
                return
            await asyncio.sleep(0.3)

    def _make_job(self, job_id: str, steps: tuple[Step, ...]) -> Job:
        return Job(job_id=job_id, policy=policy(service=SERVICE), spec="x", steps=steps)

    async def cancel(self, job_id: str) -> None:
        """Cancel a job at random instances until that is acknowledged."""
        if job_id not in self._accepted or job_id in self._cancelled_s:
            return
        self._cancelled_s[job_id] = float("inf")
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            job_handler = await self._any_job_handler()
            answer = await job_handler.cancel(
                policy(service=SERVICE), job_id, deadline_s=_now_s() + 1.5
            )
            if answer.status.value == "accepted":
                self._cancelled_s[job_id] = _now_s()
                self.fleet.cancelled[job_id] = _now_s()
                return
            await asyncio.sleep(0.3)

    async def _any_job_handler(self) -> JobRequestHandler:
        while not self.instances:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        return self.rng.choice(self.instances).job_handler

    # ---- instances

    def add_instance(self) -> None:
        """Start another instance."""
        self._instances_made += 1
        name = f"n{self._instances_made}"
        instance = self.instance_type(
            name=name,
            store=self.store,
            faults=self._faults,
            fleet=self.fleet,
            isolated=self.fleet.isolated,
            log=RecordingLog(process=name, lines=self.lines),
        )
        self.instances.append(instance)
        self._all_instances.append(instance)
        instance.start()

    def scheduler(self) -> LastingInstance | None:
        """Return the instance that holds the service's lease."""
        item = self.store.items.get(f"shallotworks/duty/scheduler/{SERVICE}")
        holder = LeaseHolder.decode(item.value).instance if item else ""
        holders = [instance for instance in self.instances if instance.name == holder]
        return holders[0] if holders else None

    async def kill_scheduler(self) -> None:
        """Kill the instance that schedules; another instance replaces it."""
        await self._replace(self.scheduler(), is_planned=False)

    async def stop_scheduler(self) -> None:
        """Stop the instance that schedules, as planned work does; another instance replaces it."""
        await self._replace(self.scheduler(), is_planned=True)

    async def _replace(self, instance: LastingInstance | None, *, is_planned: bool) -> None:
        with self.fault_period():
            if instance is None:
                return
            self.instances.remove(instance)
            self.add_instance()
            self._record_event("killed" if not is_planned else "stopped", instance.name)
            await (instance.stop() if is_planned else instance.kill())

    async def kill_all(self, *, restart_s: float) -> None:
        """Kill all instances at once; start as many again after ``restart_s``."""
        with self.fault_period():
            self._record_event("killed", "all instances")
            killed, self.instances = self.instances, []
            await asyncio.gather(*(instance.kill() for instance in killed))
            await asyncio.sleep(restart_s)
            for _ in killed:
                self.add_instance()
        self._record_event("started", "all instances")

    async def isolate_scheduler(self, for_s: float) -> None:
        """Isolate the instance that schedules from the store for a while."""
        instance = self.scheduler()
        if instance is None:
            return
        with self.fault_period():
            self._record_event("isolated from the store", instance.name)
            instance.store.faults = RecordFaults(is_silent=True)
            await asyncio.sleep(for_s)
            if instance in self.instances:
                instance.store.faults = self._faults

    def epochs_begun_after(self, at_s: float) -> int:
        """Return how many epochs began after a point in time."""
        begins = (
            begun_s for instance in self._all_instances for begun_s in instance.epoch_starts_s
        )
        return sum(1 for begun_s in begins if begun_s > at_s)

    # ---- the store

    async def store_outage(
        self,
        for_s: float,
        *,
        is_silent: bool = False,
        are_leases_paused: bool = False,
        are_entries_lost: bool = False,
    ) -> None:
        """Make the store unavailable for a while, after any outage that is in progress.

        Args:
            for_s: Duration of the outage.
            is_silent: Calls get no answer; else they are refused.
            are_leases_paused: Leases do not run out during the outage.
            are_entries_lost: Registrations of workers run out, and come back after the outage.
        """
        async with self._outage_lock:
            with self.fault_period():
                self._record_event("down", "the store")
                self._is_store_up.clear()
                self._faults.is_silent, self._faults.is_down = is_silent, not is_silent
                if are_leases_paused:
                    self.store.pause_leases()
                await asyncio.sleep(for_s)
                if are_leases_paused:
                    self.store.resume_leases()
                if are_entries_lost:
                    self._lose_entries()
                self._faults.is_silent = self._faults.is_down = False
                self._is_store_up.set()
            self._record_event("up", "the store")

    async def wait_store_up(self) -> None:
        """Wait until the store is available."""
        await self._is_store_up.wait()

    def _lose_entries(self) -> None:
        for key in [key for key in self.store.items if key.startswith(REGISTRY_PREFIX)]:
            self.store.delete(key)
            worker = self.fleet.workers[key.removeprefix(REGISTRY_PREFIX)]
            if worker.is_alive:
                back_s = self.rng.uniform(0.1, MAX_REREGISTRATION_S)
                self._in_background(self._register_later(worker, back_s))

    async def _register_later(self, worker: TaskWorker, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self._is_store_up.wait()
        if worker.is_alive:
            self.register(worker)

    def revoke_keys(self) -> None:
        """Revoke all leased keys."""
        with self.fault_period():
            self._record_event("revoked", "keys")
            self.store.revoke("shallotworks/")

    # ---- workers

    def add_worker(self, *, address: str = "") -> TaskWorker:
        """Add a worker and register it."""
        worker_id = f"w{len(self.fleet.workers)}"
        address = address or f"127.0.0.1:{len(self.fleet.workers) + 1}"
        worker = self.fleet.add(view(worker_id, service=SERVICE, address=address))
        self.register(worker)
        return worker

    def count_available_workers(self) -> int:
        """Return the number of live workers that are not draining."""
        workers = self.fleet.workers.values()
        return sum(1 for worker in workers if worker.is_alive and not worker.view.is_draining)

    def crash_worker(self, worker_id: str) -> None:
        """Crash a worker; its registration expires later, also while the store is down."""
        with self.fault_period():
            self._record_event("crashes", worker_id)
            self.fleet.workers[worker_id].crash()
            self._in_background(self._unregister_later(worker_id, REGISTRATION_TTL_S))

    async def retire_worker(
        self, worker_id: str, *, absence: OrderStatus = OrderStatus.UNSENT
    ) -> None:
        """Drain a worker and end it.

        Args:
            worker_id: The worker.
            absence: Outcome of later calls to its address: no connection, or no answer.
        """
        with self.fault_period():
            await self._is_store_up.wait()
            worker = self.fleet.workers[worker_id]
            if not worker.is_alive:
                return
            self._record_event("drains", worker_id)
            worker.view = replace(worker.view, is_draining=True)
            self.register(worker)
            await asyncio.sleep(DRAIN_S + self.rng.uniform(0, 0.5))
            self._record_event("leaves", worker_id)
            worker.crash()
            self.fleet.outcomes_when_absent[worker_id] = absence
        await self._is_store_up.wait()
        self._unregister(worker_id)

    async def replace_worker(self, worker_id: str) -> None:
        """Crash a worker; another incarnation answers at its address a while later."""
        with self.fault_period():
            self.crash_worker(worker_id)
            await asyncio.sleep(REPLACEMENT_DELAY_S)
            await self._is_store_up.wait()
            self.add_worker(address=self.fleet.workers[worker_id].view.address)
            self.fleet.outcomes_when_absent[worker_id] = OrderStatus.GONE

    def fail_task(self, worker_id: str) -> None:
        """Make a task of a worker fail by itself."""
        with self.fault_period():
            worker = self.fleet.workers[worker_id]
            for name in sorted(worker.names())[:1]:
                self._record_event("fails", str(name))
                worker.fail(name)

    async def isolate_worker(self, worker_id: str, for_s: float) -> None:
        """Make a worker unreachable for a while; it stays listed, and its tasks run on."""
        with self.fault_period():
            self._record_event("silent", worker_id)
            self.fleet.isolated.add(worker_id)
            await asyncio.sleep(for_s)
            self.fleet.isolated.discard(worker_id)
        self._record_event("reachable again", worker_id)

    async def maintain_worker(self, worker_id: str) -> None:
        """Drain a worker as the machine controller does, and remove it once it is offered."""
        await self._is_store_up.wait()
        self._record_event("due for maintenance", worker_id)
        self._due |= {worker_id}
        self._publish_controller_record()
        give_up_s = _now_s() + EVACUATION_TIMEOUT_S
        while _now_s() < give_up_s and self.fleet.workers[worker_id].is_alive:
            await asyncio.sleep(CONTROLLER_ROUND_S)
            if worker_id in self.offered():
                self._in_background(self._take_away(worker_id, is_back=True))
                break
        self._due -= {worker_id}
        await self._is_store_up.wait()
        self._publish_controller_record()

    async def lend_worker(self) -> None:
        """Move an idle offered worker to another pool, as the machine controller does."""
        give_up_s = _now_s() + LENDING_TIMEOUT_S
        while _now_s() < give_up_s:
            lendable = [
                worker_id for worker_id in self.offered() if self.fleet.workers[worker_id].is_alive
            ]
            if lendable:
                await self._take_away(lendable[0], is_back=False)
                return
            await asyncio.sleep(CONTROLLER_ROUND_S)

    async def _take_away(self, worker_id: str, *, is_back: bool) -> None:
        with self.fault_period():
            self._record_event("taken away", worker_id)
            worker = self.fleet.workers[worker_id]
            self.fleet.take_away(worker)
            self._taken_away_s[worker_id] = _now_s()
            self.fleet.outcomes_when_absent[worker_id] = OrderStatus.UNSENT
            self._publish_controller_record()
            await asyncio.sleep(REPLACEMENT_DELAY_S)
            await self._is_store_up.wait()
            self._unregister(worker_id)
            if is_back:
                self.add_worker(address=worker.view.address)

    def offered(self) -> tuple[str, ...]:
        """Return the offered workers, read just before an order as the machine controller does."""
        item = self.store.items.get(pool_demand_key(SERVICE))
        if item is None or not self._is_store_up.is_set():
            return ()
        return PoolDemand.decode(item.value).free

    def is_worker_cordoned(self, worker_id: str) -> bool:
        """Return whether the scheduler starts nothing on a worker because it is offered."""
        scheduler = self.scheduler()
        if scheduler is None:
            return False
        worker = scheduler.service_schedulers[-1].scheduler_state.workers.get(worker_id)
        return worker is not None and worker.is_cordoned

    def _publish_controller_record(self) -> None:
        over = (
            self.fleet.workers[worker_id].view.incarnation
            for worker_id, at_s in self._taken_away_s.items()
            if _now_s() - at_s < REMOVED_WORKERS_PUBLISHED_S
        )
        record = MachineControllerRecord(due=self._due, over=tuple(over))
        self.store.put(machine_controller_key(), record.encode())

    def register(self, worker: TaskWorker) -> None:
        """Write a worker's registration as the platform's workers do."""
        worker_view = worker.view
        entry = {
            "service": worker_view.service,
            "address": worker_view.address,
            "zone": "z1",
            "version": "1.0",
            "slots": 4,
            "state": "draining" if worker_view.is_draining else "ready",
            "coldRemainingMs": 0,
            "seqNo": self.store.revision,
            "born": worker_view.born_ms,
            "capacity": {
                "cpu": worker_view.cpu_millicores,
                "memMb": worker_view.memory_mb,
                "gpu": worker_view.gpus,
            },
            "labels": ["plain", "r1"],
        }
        self.store.put(REGISTRY_PREFIX + worker.view.worker_id, json.dumps(entry).encode())

    def _unregister(self, worker_id: str) -> None:
        if REGISTRY_PREFIX + worker_id in self.store.items:
            self.store.delete(REGISTRY_PREFIX + worker_id)

    def lose_entry(self, worker_id: str) -> None:
        """Remove a worker's registration, as when the worker is cut off from the store."""
        with self.fault_period():
            self._record_event("loses its entry", worker_id)
            self._unregister(worker_id)

    async def _unregister_later(self, worker_id: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self._unregister(worker_id)

    # ---- checks

    async def _monitor(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.fleet.note_serving()
            running = {
                name
                for worker in self.fleet.workers.values()
                if worker.is_alive
                for name in worker.names()
            }
            for name, task_step in self._expected_tasks():
                self._check_task(name, task_step, is_running=name in running)
            for name in running:
                self._check_cancelled(name)

    def _expected_tasks(self) -> Iterator[tuple[TaskName, Step]]:
        for job_id, job in self._accepted.items():
            if job_id in self._cancelled_s:
                continue
            for number, task_step in enumerate(job.steps):
                for name in _names_of(job_id, number, task_step):
                    yield name, task_step

    def _check_task(self, name: TaskName, task_step: Step, *, is_running: bool) -> None:
        now_s = _now_s()
        if is_running:
            self._missing_since_s.pop(name, None)
            return
        if not self._can_be_placed(name, task_step):
            self._missing_since_s[name] = now_s
            return
        missing_since_s = self._missing_since_s.setdefault(name, now_s)
        if now_s - missing_since_s >= MISSED_AFTER_S:
            self._last_missed_s = now_s
        since_s = max(missing_since_s, self._last_fault_ended_s)
        if not self._open_faults and now_s - since_s > RESTART_DEADLINE_S:
            self._report(f"{name} has no run", f"{since_s:.3f}")

    def _check_cancelled(self, name: TaskName) -> None:
        since_s = max(self._cancelled_s.get(name.job_id, float("inf")), self._last_fault_ended_s)
        if not self._open_faults and _now_s() - since_s > CANCEL_DEADLINE_S:
            self._report(f"{name} runs on although its job is cancelled", f"{since_s:.3f}")

    def _can_be_placed(self, name: TaskName, task_step: Step) -> bool:
        return any(
            worker.is_alive
            and REGISTRY_PREFIX + worker_id in self.store.items
            and worker_id not in self.fleet.isolated
            and not worker.view.is_draining
            and self._free_millicores(worker) >= task_step.cpu_millicores
            and _siblings(worker, name) < (task_step.most_per_worker or task_step.count)
            for worker_id, worker in self.fleet.workers.items()
        )

    def _free_millicores(self, worker: TaskWorker) -> int:
        used_millicores = sum(self.fleet.cpu_millicores_of(name) for name in worker.names())
        return worker.view.cpu_millicores - used_millicores

    def _report(self, violation: str, since: str) -> None:
        text = f"{violation} since {since}"
        if text not in self._reported:
            self._reported.add(text)
            self.violations.append(f"{_now_s():.3f} {text}")

    def _record_event(self, event: str, subject: str) -> None:
        self.lines.append(f"{_now_s():8.3f} scenario {subject} {event}")

    def all_violations(self) -> list[str]:
        """Return all violations, including jobs whose stored state is wrong at the end."""
        found = [*self.violations, *self.fleet.violations]
        for job_id in self._accepted:
            item = self.store.items.get(JobKeys(service=SERVICE).progress(job_id))
            state = decode_progress(item.value).state if item is not None else None
            is_cancelled = job_id in self._cancelled_s
            if state is not (JobState.CANCELLED if is_cancelled else JobState.RUNNING):
                found.append(f"job {job_id} is {state} at the end")
        return found


def _names_of(job_id: str, number: int, task_step: Step) -> list[TaskName]:
    return [TaskName(job_id, 0, number, index) for index in range(task_step.count)]


def _siblings(worker: TaskWorker, name: TaskName) -> int:
    """Return how many tasks of a task's step run on a worker."""
    return sum(1 for other in worker.names() if other[:3] == name[:3])


def _now_s() -> float:
    return asyncio.get_running_loop().time()
