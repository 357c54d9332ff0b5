"""Simulation of several instances that schedule one service on the stand-ins."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from returns.result import Result, Success

from shallotworks.errors import Failure
from shallotworks.jobs import (
    Job,
    JobKeys,
    JobRequestHandler,
    JobState,
    QueuePolicy,
    Step,
    TaskName,
    Team,
    decode_progress,
)
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.scheduling import (
    AdviceService,
    LeaderElector,
    LeaseHolder,
    MachineRecords,
    OrderTimes,
    Permits,
    SchedulerDependencies,
    ServiceScheduler,
    WorkerDirectory,
)
from shallotworks.standins import (
    FaultInjectingOrders,
    FaultInjectingStore,
    OrderFaults,
    RecordStore,
    TaskWorkers,
)
from shallotworks.store import HeldLease, LeaseTiming
from tests.scheduling_fakes import policy, quiet_log, step, view

SERVICE = "antenna"
DEFAULT_POLICY = policy(service=SERVICE)


class AllowAllAdvice:
    """An advice service that allows all workers."""

    async def request_permits(
        self, step: tuple[str, int, int], worker_ids: tuple[str, ...]
    ) -> Result[Permits, Failure]:
        return Success(Permits(tickets=dict.fromkeys(worker_ids, "t"), valid_s=60.0))


class Instance:
    """An entry instance, which can be killed and cut off from the store and from workers."""

    def __init__(
        self,
        *,
        name: str,
        store: RecordStore,
        fleet: TaskWorkers,
        service: str = SERVICE,
        team_of: Callable[[str], Team | None] = lambda _name: None,
        strength: float = 1.0,
        log: StructuredLog | None = None,
        advice: AdviceService | None = None,
    ) -> None:
        self.name = name
        self.advice = advice or AllowAllAdvice()
        self._log = log or quiet_log()
        self._service = service
        self._team_of = team_of
        self.store = FaultInjectingStore(store=store)
        self.orders = FaultInjectingOrders(fleet=fleet, faults=OrderFaults())
        self.service_schedulers: list[ServiceScheduler] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._fleet = fleet
        self.may_be_given_up: Callable[[str], bool] = lambda _service: False
        self.directory: WorkerDirectory = fleet
        """Lists workers; a scenario may replace it before the instance starts."""
        self.job_handler = JobRequestHandler(
            store=self.store, metrics=Metrics(), log=quiet_log(), wall_clock=self.now_s
        )
        self.elector = LeaderElector(
            store=self.store,
            key_prefix="shallotworks/duty/scheduler/",
            marker_key_of=lambda service: JobKeys(service=service).marker_key,
            instance=name,
            run_epoch=self._run_epoch,
            clock=self.now_s,
            timing=LeaseTiming(),
            log=self._log,
            strength=strength,
        )

    @staticmethod
    def now_s() -> float:
        return asyncio.get_running_loop().time()

    def start(self) -> None:
        """Start trying to acquire the service's lease."""
        self._tasks.add(asyncio.create_task(self.elector.run()))
        self.elector.set_services({self._service})

    async def kill(self) -> None:
        """End the instance at once, without releasing or reporting anything."""
        self.store.faults.is_down = True
        self.orders.faults.unreachable_worker_ids = set(self._fleet.workers)
        for task in (*self._tasks, *self.elector._bid_tasks.values()):
            task.cancel()
        await asyncio.gather(
            *self._tasks, *self.elector._bid_tasks.values(), return_exceptions=True
        )

    async def _run_epoch(self, service: str, lease: HeldLease) -> None:
        dependencies = SchedulerDependencies(
            store=self.store,
            orders=self.orders,
            directory=self.directory,
            advice=self.advice,
            machine_records=MachineRecords(log=quiet_log()),
            clock=self.now_s,
            wall_clock=self.now_s,
            times=OrderTimes(),
            log=self._log,
            metrics=Metrics(),
            team_of=self._team_of,
            may_be_given_up=self.may_be_given_up,
        )
        service_scheduler = ServiceScheduler(
            service=service, lease=lease, dependencies=dependencies
        )
        self.service_schedulers.append(service_scheduler)
        await service_scheduler.run()


class SchedulingSimulation:
    """A store, workers, instances and callers, whose invariants are checked at the end.

    Args:
        seed: Seed of all random choices.
        workers: Number of workers.
        instances: Number of instances.
        fleet: Type of the workers, for scenarios in which they check or do more.
        service: The service.
        store: The store; by default one of its own.
        team_of: Returns a team by its name; by default there are none.
        advice: The advice service; by default it allows all workers.
    """

    def __init__(
        self,
        *,
        seed: int,
        workers: int = 4,
        instances: int = 3,
        fleet: type[TaskWorkers] = TaskWorkers,
        service: str = SERVICE,
        store: RecordStore | None = None,
        team_of: Callable[[str], Team | None] = lambda _name: None,
        advice: AdviceService | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.service = service
        self._advice = advice
        self._team_of = team_of
        self.store = store or RecordStore(rng=self.rng)
        self.fleet = fleet(rng=self.rng)
        for number in range(workers):
            self.fleet.add(view(f"w{number}", service=service))
        self.instances = [self._make_instance(number) for number in range(instances)]
        self.accepted: dict[str, Job] = {}
        self.refused: set[str] = set()
        self._instance_count = instances

    def _make_instance(
        self, number: int, *, strength: float = 1.0, log: StructuredLog | None = None
    ) -> Instance:
        return Instance(
            name=f"n{number}",
            store=self.store,
            fleet=self.fleet,
            service=self.service,
            team_of=self._team_of,
            strength=strength,
            log=log,
            advice=self._advice,
        )

    def add(self, *, strength: float, log: StructuredLog | None = None) -> Instance:
        """Start one more instance, of a strength from 0 to 1."""
        self._instance_count += 1
        instance = self._make_instance(self._instance_count, strength=strength, log=log)
        self.instances.append(instance)
        instance.start()
        return instance

    async def run_jobs(self, count: int, over_s: float) -> None:
        """Submit jobs at drawn moments within ``over_s`` seconds."""
        await asyncio.gather(*(self._submit_drawn_job(number, over_s) for number in range(count)))

    async def _submit_drawn_job(self, number: int, over_s: float) -> None:
        await asyncio.sleep(self.rng.uniform(0, over_s))
        job_id = f"{number:016x}"
        steps = [step(self.rng.randint(1, 3), estimated_s=0.8)]
        if self.rng.random() < 0.5:
            steps.append(step(self.rng.randint(1, 2), after=(0,), estimated_s=0.8))
        await self.submit(job_id, *steps)
        if job_id in self.accepted and self.rng.random() < 0.1:
            await asyncio.sleep(self.rng.uniform(0, 1.0))
            await self.cancel(job_id)

    async def submit(
        self,
        job_id: str,
        *steps: Step,
        policy: QueuePolicy = DEFAULT_POLICY,
        team: str = "",
        accepted_s: float = 0.0,
    ) -> None:
        """Submit a job to drawn instances until one accepts it, at most 20 times."""
        submitted_job = Job(
            job_id=job_id,
            policy=policy,
            spec="x",
            steps=steps,
            team=team,
            accepted_s=accepted_s,
        )
        for number, later in enumerate(steps):
            for index in range(later.count):
                self.fleet.task_dependencies[TaskName(job_id, 0, number, index)] = tuple(
                    TaskName(job_id, 0, before, other)
                    for before in later.after
                    for other in range(steps[before].count)
                )
        for _ in range(20):
            instance = self.rng.choice(self.instances)
            answer = await instance.job_handler.submit(
                submitted_job, deadline_s=instance.now_s() + 1.5
            )
            if answer.status.value == "accepted":
                self.accepted[job_id] = submitted_job
                return
            await asyncio.sleep(0.3)

    async def cancel(self, job_id: str) -> None:
        """Cancel a job at drawn instances until one acknowledges it, at most 20 times."""
        for _ in range(20):
            instance = self.rng.choice(self.instances)
            answer = await instance.job_handler.cancel(
                policy(service=self.service), job_id, deadline_s=instance.now_s() + 1.5
            )
            if answer.status.value == "accepted":
                self.fleet.cancelled.setdefault(job_id, instance.now_s())
                return
            await asyncio.sleep(0.3)

    async def replace(self, instance: Instance) -> None:
        """Kill an instance and start another one."""
        self.instances.remove(instance)
        await instance.kill()
        self._instance_count += 1
        replacement = self._make_instance(self._instance_count)
        self.instances.append(replacement)
        replacement.start()

    async def run_through(self, *events: Awaitable[None], wind_down_s: float) -> None:
        """Start all instances, let the events take place at once, and end all after a while."""
        for instance in self.instances:
            instance.start()
        await asyncio.sleep(1.0)
        await asyncio.gather(*events)
        await asyncio.sleep(wind_down_s)
        await self.kill()

    async def kill(self) -> None:
        """End all instances at once."""
        for instance in self.instances:
            await instance.kill()

    def scheduler(self) -> Instance | None:
        """Return the instance that holds the service's lease."""
        item = self.store.items.get(f"shallotworks/duty/scheduler/{self.service}")
        if item is None:
            return None
        holder = LeaseHolder.decode(item.value)
        lease_holders = [
            instance for instance in self.instances if instance.name == holder.instance
        ]
        return lease_holders[0] if lease_holders else None

    def state(self, job_id: str) -> JobState | None:
        """Return a job's stored state."""
        item = self.store.items.get(JobKeys(service=self.service).progress(job_id))
        return decode_progress(item.value).state if item is not None else None

    def violations(self) -> list[str]:
        """Return descriptions of the invariants that were violated."""
        violations_found = list(self.fleet.violations)
        for job_id, submitted_job in self.accepted.items():
            state = self.state(job_id)
            if state not in (JobState.COMPLETED, JobState.CANCELLED):
                violations_found.append(f"job {job_id} is {state} at the end")
            names = [
                TaskName(job_id, 0, number, index)
                for number, job_step in enumerate(submitted_job.steps)
                for index in range(job_step.count)
            ]
            if state is JobState.COMPLETED and not all(
                name in self.fleet.done_tasks for name in names
            ):
                violations_found.append(f"job {job_id} is completed with tasks that are not done")
            if state is JobState.CANCELLED and job_id not in self.fleet.cancelled:
                violations_found.append(f"job {job_id} is cancelled without a request")
        return violations_found
