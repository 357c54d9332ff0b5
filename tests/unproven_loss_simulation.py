"""Simulation of one sound job whose workers and schedulers are lost, cut off or reset."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from enum import Enum, unique

from shallotworks.jobs import JobKeys, JobState, TaskName, decode_progress
from shallotworks.scheduling import OrderStatus
from shallotworks.standins import TaskWorker, TaskWorkers
from tests.scheduling_fakes import step
from tests.scheduling_simulation import SchedulingSimulation

__all__ = ["LossSimulation", "Takeover"]

JOB_ID = "00000000000000aa"
WATCHED = TaskName(JOB_ID, 0, 0, 0)
WORKERS = 8
INSTANCES = 3
MAX_START_WAIT_S = 60.0
OUTAGE_S = 2.0
"""Time from a power cut until the workers are listed again."""
LEASE_OUT_S = 8.0
"""Time in which the lease of a worker that is cut off has certainly expired."""
CUT_OFF_S = 30.0
LONG_S = 20.0
ADOPTION_POLL_S = 0.01
MAX_ADOPTION_S = 20.0


@unique
class Takeover(Enum):
    """How the scheduler is replaced beside a loss."""

    NONE = "none"
    STOPPED = "stopped"
    KILLED = "killed"


class WatchedWorkers(TaskWorkers):
    """Workers that tell on which of them one task starts.

    Args:
        rng: Random generator for durations and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.starts: asyncio.Queue[TaskWorker] = asyncio.Queue()
        self.resets_after_start_s = 0.0
        """Time for which a worker closes connections after it has started the watched task."""

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        """Check a start, and note the worker if the task is the watched one."""
        super().check_start(worker, name)
        if name != WATCHED:
            return
        self.starts.put_nowait(worker)
        if self.resets_after_start_s:
            worker_id = worker.view.worker_id
            self.outcomes_when_absent[worker_id] = OrderStatus.UNSENT
            asyncio.get_running_loop().call_later(
                self.resets_after_start_s, self.outcomes_when_absent.pop, worker_id, None
            )

    def cut_power(self, *, is_silent: bool) -> None:
        """Crash all workers at once; connections are closed, or hang if ``is_silent``."""
        for worker_id, worker in self.workers.items():
            worker.crash()
            if not is_silent:
                self.outcomes_when_absent[worker_id] = OrderStatus.UNSENT
            worker.wake_polls()

    def restore_power(self) -> None:
        """Start all workers again under their ids."""
        for worker_id, worker in list(self.workers.items()):
            if not worker.is_alive:
                self.outcomes_when_absent.pop(worker_id, None)
                self.add(worker.view)


class LossSimulation(SchedulingSimulation):
    """A job of some tasks, which crash no worker, on workers and instances that are lost.

    Args:
        seed: Seed of all random choices.
        tasks: Number of tasks.
        is_lasting: Whether the tasks last.
        task_s: Duration of a task that ends.
        delay_s: Time from the start of the first task to a loss, or from its adoption.
        takeover: How the scheduler is replaced beside a loss.
    """

    fleet: WatchedWorkers

    def __init__(
        self,
        *,
        seed: int,
        is_lasting: bool,
        delay_s: float,
        tasks: int = 3,
        task_s: float = 4.0,
        takeover: Takeover = Takeover.NONE,
    ) -> None:
        super().__init__(seed=seed, workers=WORKERS, instances=INSTANCES, fleet=WatchedWorkers)
        self.tasks = tasks
        self.is_lasting = is_lasting
        self.task_s = task_s
        self.delay_s = delay_s
        self.takeover = takeover
        self._cut_off_until_s: dict[str, float] = {}

    async def begin(self) -> None:
        """Start the instances, and submit the job."""
        for instance in self.instances:
            instance.start()
        await asyncio.sleep(1.0)
        if self.is_lasting:
            self.fleet.lasting.add(JOB_ID)
        self.fleet.work_s[JOB_ID] = self.task_s
        await self.submit(
            JOB_ID, step(self.tasks, is_lasting=self.is_lasting, estimated_s=self.task_s)
        )

    async def next_start(self) -> TaskWorker | None:
        """Return the worker that starts the first task next; ``None`` if none does in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_START_WAIT_S):
                while True:
                    worker = await self.fleet.starts.get()
                    if worker.is_alive:
                        return worker
        return None

    # ---- losses, each of the worker that has started the first task

    async def cut_power_of_all(self, _worker: TaskWorker) -> None:
        """Crash all workers and end all instances at once; all start again."""
        await asyncio.sleep(self.delay_s)
        self.fleet.cut_power(is_silent=True)
        for instance in list(self.instances):
            await self.replace(instance)
        await self._restore_power()

    async def cut_power_of_all_after_a_reset(self, worker: TaskWorker) -> None:
        """Cut the power of all; only before the first time a connection is reset."""
        if self.fleet.resets_after_start_s:
            self.fleet.resets_after_start_s = 0.0
            await asyncio.sleep(1.0)
        await self.cut_power_of_all(worker)

    async def cut_power_of_workers(self, _worker: TaskWorker) -> None:
        """Crash all workers at once, which closes their connections; all start again."""
        await asyncio.sleep(self.delay_s)
        self.fleet.cut_power(is_silent=False)
        await self._restore_power()

    async def cut_power_of_workers_silently(self, _worker: TaskWorker) -> None:
        """Crash all workers at once, which closes no connection; all start again."""
        await asyncio.sleep(self.delay_s)
        self.fleet.cut_power(is_silent=True)
        await self._restore_power()

    async def cut_worker_off(self, worker: TaskWorker) -> None:
        """Cut a worker off, which stays listed; the scheduler is replaced once its lease is out."""
        await asyncio.sleep(self.delay_s)
        self._cut_off([worker], is_listed=True)
        await self._replace_after_lease()

    async def cut_worker_off_and_unlist(self, worker: TaskWorker) -> None:
        """Cut a worker off and remove its entry; replace the scheduler once its lease is out."""
        await asyncio.sleep(self.delay_s)
        self._cut_off([worker], is_listed=False)
        await self._replace_after_lease()

    async def cut_all_workers_off(self, _worker: TaskWorker) -> None:
        """Cut all workers off, which stay listed, until after the scheduler is replaced."""
        await asyncio.sleep(self.delay_s)
        workers = list(self.fleet.workers.values())
        self._cut_off(workers, is_listed=True)
        await asyncio.sleep(LONG_S)
        await self._replace_scheduler()
        await asyncio.sleep(OUTAGE_S)
        for worker in workers:
            self._reconnect(worker.view.worker_id)

    async def crash_long_after_a_reset(self, worker: TaskWorker) -> None:
        """Crash a worker that had reset a connection; replace the scheduler in between."""
        await asyncio.sleep(self.delay_s)
        await self._replace_scheduler()
        await asyncio.sleep(LONG_S)
        self.fleet.restart(worker.view.worker_id)

    async def crash_after_adoption(self, worker: TaskWorker) -> None:
        """Crash a worker right after a new scheduler has adopted a run that had lasted."""
        await asyncio.sleep(LONG_S)
        await self._replace_scheduler()
        await self._adoption()
        await asyncio.sleep(self.delay_s)
        self.fleet.restart(worker.view.worker_id)

    async def cut_off_after_adoption(self, worker: TaskWorker) -> None:
        """Cut a worker off right after a new scheduler has adopted a run that had lasted."""
        await asyncio.sleep(LONG_S)
        await self._replace_scheduler()
        await self._adoption()
        await asyncio.sleep(self.delay_s)
        self._cut_off([worker], is_listed=False)

    async def _restore_power(self) -> None:
        await asyncio.sleep(OUTAGE_S)
        self.fleet.restore_power()

    async def _replace_after_lease(self) -> None:
        if self.takeover is not Takeover.NONE:
            await asyncio.sleep(LEASE_OUT_S)
            await self._replace_scheduler()

    async def _replace_scheduler(self) -> None:
        holder = self.scheduler()
        if holder is None or self.takeover is Takeover.NONE:
            return
        if self.takeover is Takeover.STOPPED:
            with contextlib.suppress(TimeoutError):
                await holder.elector.stop()
        await self.replace(holder)
        for instance in self.instances:
            instance.orders.faults.unreachable_worker_ids |= self._cut_off_until_s.keys()

    async def _adoption(self) -> None:
        """Wait until the present scheduler knows a run of the first task."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MAX_ADOPTION_S
        while loop.time() < until_s and not self._is_adopted():
            await asyncio.sleep(ADOPTION_POLL_S)

    def _is_adopted(self) -> bool:
        holder = self.scheduler()
        if holder is None or not holder.service_schedulers:
            return False
        workers = holder.service_schedulers[-1].scheduler_state.workers.values()
        return any(run.name == WATCHED for worker in workers for run in worker.runs.values())

    def _cut_off(self, workers: list[TaskWorker], *, is_listed: bool) -> None:
        loop = asyncio.get_running_loop()
        for worker in workers:
            worker_id = worker.view.worker_id
            self._cut_off_until_s[worker_id] = loop.time() + CUT_OFF_S
            for instance in self.instances:
                instance.orders.faults.unreachable_worker_ids.add(worker_id)
            if not is_listed:
                self.fleet.unlisted.add(worker_id)
            loop.call_later(CUT_OFF_S, self._reconnect_if_due, worker_id)

    def _reconnect_if_due(self, worker_id: str) -> None:
        until_s = self._cut_off_until_s.get(worker_id, math.inf)
        if asyncio.get_running_loop().time() >= until_s:
            self._reconnect(worker_id)

    def _reconnect(self, worker_id: str) -> None:
        self._cut_off_until_s.pop(worker_id, None)
        self.fleet.unlisted.discard(worker_id)
        for instance in self.instances:
            instance.orders.faults.unreachable_worker_ids.discard(worker_id)

    # ---- outcome

    @property
    def is_failed(self) -> bool:
        """Whether the job is shown as failed."""
        return self.state(JOB_ID) is JobState.FAILED

    def problems(self) -> list[str]:
        """Return why the job isn't as it should be at the end: running, or completed."""
        state = self.state(JOB_ID)
        alive = [worker for worker in self.fleet.workers.values() if worker.is_alive]
        running = {name for worker in alive for name in worker.names()}
        if state is (JobState.RUNNING if self.is_lasting else JobState.COMPLETED) and (
            not self.is_lasting or len(running) == self.tasks
        ):
            return []
        return [f"{state}, {len(running)} of {self.tasks} tasks run", *self._losses()]

    def _losses(self) -> list[str]:
        item = self.store.items[JobKeys(service=self.service).progress(JOB_ID)]
        return [
            f"task {key[2]}: {one.blame.value} {one.cause.value} {one.incarnation.worker_id}"
            f" certain={one.is_certain} received={one.is_received}"
            for key, runs in sorted(decode_progress(item.value).lost.items())
            for one in runs
        ]
