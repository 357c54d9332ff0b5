"""Drawn histories of jobs whose workers and schedulers are lost, and of jobs that crash workers.

``python -m tests.sound_job_history FIRST COUNT`` runs the seeds from ``FIRST`` on by hand.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from typing import Any

from shallotworks.jobs import Job, JobKeys, JobProgress, JobState, Step, TaskName, decode_progress
from shallotworks.platform._configuration import CONFIGURATION_KEY
from shallotworks.scheduling import (
    EndedTask,
    EndKind,
    OrderOutcome,
    OrderStatus,
    StartOrder,
    StopOrder,
    WorkerView,
)
from shallotworks.standins import (
    CrashingWorkers,
    FaultInjectingOrders,
    RecordStore,
    TaskWorker,
)
from shallotworks.store import Write
from tests.lasting_history import (
    BACK_WITHIN_S,
    CONTACT_S,
    GRANTED_S,
    HOST,
    LATE_S,
    QUEUE,
    SOON_S,
    ConfiguredInstance,
    LastingHistory,
)
from tests.lasting_task_simulation import LastingWorkers, lasting_step
from tests.scheduling_fakes import policy, step
from tests.scheduling_simulation import SERVICE
from tests.test_copies_history import CheckedWorkers
from tests.virtual_clock import run_scenario

__all__ = ["SoundJobHistory", "run_history"]

FINISH_S = 14.0
"""From this time after the end of the last drawn fault on, a sound job must not have nothing
running for `GRANTED_S`, whatever deadly tasks crash. Source: the users' rules, which ask for jobs
this long after the end of the traffic (LOST)."""
LAST_END_S = 60.0
"""Time after that within which each sound job ends: many times the length of any of them."""
SAMPLE_S = 0.1
LOST_ANSWERS = 0.1
"""Part of the orders and of the writes to the store whose answers are lost in histories
with lost answers."""
JOBS = 40
LAST_JOBS = 10
"""Jobs that are submitted beside the last faults, so that a power cut meets young runs."""
LAST_JOBS_OVER_S = 1.0
DURATION_S = 30.0
ALWAYS = 99
CRASH_DELAYS_S = (0.0, 0.0, 0.3)
"""Times from a start until a deadly task crashes its worker, beside that of the stand-in."""
LATE_CRASH_DELAY_S = 1.0
"""The same of some tasks in histories with late crashes."""
TRAITS = (("core faults", 0.7), ("power cut", 0.4), ("late crashes", 0.25), ("lost answers", 0.3))
"""What a history has beside faults of workers, and the chance of each."""
DEADLY_TASK_S = 2.5
"""Length of the tasks of a job with a deadly one, so that it runs until it crashes its worker."""
UNLUCKY_DELAYS_S = (0.02, 0.1, 0.1, 0.3, 0.5, 1.0)
MAX_UNLUCKY_STARTS = 3
"""A sound task loses no more workers in a row by design: after three crashes and two more starts
the retry budget of the users' rules ends (BUDGET)."""
TRACED_EVENTS = ("crash-blamed", "job-failed", "run-lost", "suspect-cleared", "run-ended")


class SoundJobWorkers(CheckedWorkers, CrashingWorkers, LastingWorkers):
    """Workers that run jobs of all kinds, and count what may make a job ``failed``.

    Args:
        rng: Random generator for durations and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.is_calm: Callable[[], bool] = bool
        """Whether no scheduler was replaced and the store was available for a while."""
        self.on_start: Callable[[TaskWorker, TaskName], None] = lambda _worker, _name: None
        self.lose: Callable[[TaskWorker], None] = lambda _worker: None
        self.crash_delays_s: dict[TaskName, float] = {}
        self.gangs: set[tuple[str, int]] = set()
        """Steps that are gangs, by job and number."""
        self.failures_left: Counter[TaskName] = Counter()
        """Number of the next runs of each task that end as failed."""
        self.failed_runs: defaultdict[TaskName, set[int]] = defaultdict(set)
        """Runs that ended as failed; those of a gang by its first task."""
        self.ended_under: Counter[TaskName] = Counter()
        """Number of workers that ended while they ran each task."""
        self.resets: dict[str, asyncio.Event] = {}
        """Set when the connections to a worker are reset, by its id."""

    def check_start(self, worker: TaskWorker, name: TaskName) -> None:
        """Check a start; one of a deadly task counts only while the core is calm."""
        if name in self.crashing and not self.is_calm():
            self.start_counts[name] -= 1
        super().check_start(worker, name)
        self.on_start(worker, name)

    def make_run(self, name: TaskName, run_id: int) -> Any:
        """Return a run; only tasks that may have copies are slow on a slow worker."""
        if name.job_id not in self.speculative:
            self._starting_on = ""
        run: Any = super().make_run(name, run_id)
        if name[::2] in self.gangs:
            run.work_s = self.work_s[name.job_id]
        if self.failures_left[name]:
            self.failures_left[name] -= 1
            run.fails = True
        return run

    def note_end(self, end: EndedTask) -> None:
        """Count a failed run, and end the other members of a gang."""
        super().note_end(end)
        if end.kind is EndKind.FAILED:
            self.failed_runs[self.counted_name(end.name)].add(end.run_id)
        if end.name[::2] in self.gangs and end.kind not in (EndKind.DONE, EndKind.BROKEN):
            asyncio.get_running_loop().call_soon(self._break_gang, end.name, end.run_id)

    def note_worker_ended(self, worker: TaskWorker) -> None:
        """Count the runs that end with their worker; gangs end with each of their members."""
        self.ended_under.update(worker.names())
        for name, run_id in list(worker._runs):
            if name[::2] in self.gangs:
                asyncio.get_running_loop().call_soon(self._break_gang, name, run_id)

    def _break_gang(self, member: TaskName, run_id: int) -> None:
        for worker in self.workers.values():
            for (name, other_id), run in list(worker._runs.items()):
                if name[:3] == member[:3] and other_id == run_id:
                    worker._end_run(run, EndKind.BROKEN)
            worker.wake_polls()

    def counted_name(self, name: TaskName) -> TaskName:
        """Return the task by which the ends of a task are counted."""
        return name._replace(number=0) if name[::2] in self.gangs else name

    def _crash_running_worker(self, worker: TaskWorker, name: TaskName) -> None:
        delay_s = self.crash_delays_s.get(name, 0.0)
        asyncio.get_running_loop().call_later(delay_s, self._crash_if_running, worker, name)

    def _crash_if_running(self, worker: TaskWorker, name: TaskName) -> None:
        if name in worker.names():
            super()._crash_running_worker(worker, name)

    def crash(self, worker: TaskWorker) -> None:
        """Crash a worker."""
        self.lose(worker)

    def reset(self, worker_id: str) -> None:
        """Reset the connections to a worker."""
        self.resets.pop(worker_id, asyncio.Event()).set()


class ResettableOrders(FaultInjectingOrders):
    """Orders over connections that can be reset while the worker lives.

    Args:
        fleet: The workers.
        given: Further arguments of `FaultInjectingOrders`.
    """

    _fleet: SoundJobWorkers

    async def poll(self, worker: WorkerView, **given: Any) -> OrderOutcome:
        """Poll a worker; unanswered at once when its connections are reset."""
        return await self._until_reset(worker, super().poll(worker, **given), is_poll=True)

    async def start(self, worker: WorkerView, order: StartOrder, **given: Any) -> OrderOutcome:
        """Start a run; it may be carried out although its connection is reset."""
        return await self._until_reset(worker, super().start(worker, order, **given))

    async def stop(self, worker: WorkerView, order: StopOrder, **given: Any) -> OrderOutcome:
        """Stop a run; that may be carried out although its connection is reset."""
        return await self._until_reset(worker, super().stop(worker, order, **given))

    async def _until_reset(
        self,
        worker: WorkerView,
        call: Coroutine[Any, Any, OrderOutcome],
        *,
        is_poll: bool = False,
    ) -> OrderOutcome:
        answered = asyncio.ensure_future(call)
        reset = self._fleet.resets.setdefault(worker.worker_id, asyncio.Event())
        is_reset = asyncio.ensure_future(reset.wait())
        try:
            await asyncio.wait((answered, is_reset), return_when=asyncio.FIRST_COMPLETED)
            if answered.done():
                return answered.result()
            return OrderOutcome(status=OrderStatus.UNANSWERED)
        finally:
            is_reset.cancel()
            if is_poll:
                answered.cancel()


class ResettableInstance(ConfiguredInstance):
    """An instance whose connections to workers can be reset."""

    def __init__(self, **given: Any) -> None:
        super().__init__(**given)
        self.orders = ResettableOrders(fleet=given["fleet"], faults=self.orders.faults)


class WatchedStore(RecordStore):
    """A store that reports each progress of a job that is written."""

    on_progress: Callable[[str, JobProgress], None]

    def _write(self, write: Write, revision: int | None = None) -> None:
        super()._write(write, revision)
        keys = JobKeys(service=SERVICE)
        if write.key.startswith(keys.prefix):
            job_id, is_progress = keys.parse(write.key)
            if is_progress:
                self.on_progress(job_id, decode_progress(write.value))


class SoundJobHistory(LastingHistory):
    """A drawn history that checks each stored state of a job, and that sound jobs end.

    A job must not be ``failed`` unless a task of it has ended ``failed`` as often as its queue's
    ``maxAttempts`` says, or has crashed a worker. `LastingHistory` checks that lasting tasks are
    back in time as the users' rules are written; its stricter statement (``LATE``) isn't made
    here, since a task that has lost its workers may be isolated first.

    Args:
        seed: Seed of all draws.
    """

    instance_type = ResettableInstance
    store_type = WatchedStore
    fleet_type = SoundJobWorkers
    store: WatchedStore
    fleet: SoundJobWorkers

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed)
        self.store.on_progress = self._check_progress
        self.fleet.is_calm = self._is_core_calm
        self.fleet.on_start = self._note_start
        self.fleet.lose = self._crash_by_task
        self.jobs: dict[str, Job] = {}
        self.states: dict[str, JobState] = {}
        self._next_workers: deque[TaskWorker] = deque()
        """Workers that the next disruptions meet; for others a worker is drawn."""
        self._open_drawn_faults = 0
        self._last_drawn_fault_ended_s = 0.0
        self._unlucky: dict[TaskName, list[tuple[float, Disruption]]] = {}
        """When and how each of the next starts of a task loses its worker."""
        self.traits = [trait for trait, chance in TRAITS if self._draws.random() < chance]
        self._lost_answers = LOST_ANSWERS * ("lost answers" in self.traits)
        self._crash_delays_s = CRASH_DELAYS_S + (LATE_CRASH_DELAY_S,) * (
            "late crashes" in self.traits
        )

    async def run(self, duration_s: float) -> None:
        """Run the history, and check the jobs from `FINISH_S` after the last drawn fault on."""
        self._faults.lost_ratio = self._lost_answers
        self.start()
        self._in_background(self._replace_workers())
        submitted = [self._submit_drawn_jobs(range(JOBS), duration_s)]
        ends_s = _now_s() + duration_s
        while _now_s() < ends_s:
            await asyncio.sleep(self._draws.uniform(0.5, 5.0))
            await self._disrupt()
        submitted.append(self._submit_drawn_jobs(range(JOBS, JOBS + LAST_JOBS), LAST_JOBS_OVER_S))
        for _ in range(self._draws.randint(1, 2) * ("power cut" in self.traits)):
            await asyncio.sleep(self._draws.uniform(0.3, 8.0))
            await self._cut_power()
        await asyncio.gather(*submitted)
        self._faults.lost_ratio = self._lost_answers = 0.0
        for instance in self.instances:
            instance.orders.faults.lost_ratio = 0.0
        while self._open_drawn_faults or _now_s() - self._last_drawn_fault_ended_s < FINISH_S:
            await asyncio.sleep(SAMPLE_S)
        await self._check_end()
        await self.close()

    def _publish_configuration(self) -> None:
        """Write a configuration with one service."""
        body = {
            "version": 1,
            "routes": [{"name": QUEUE, "host": HOST, "prefix": "/", "service": SERVICE}],
            "services": [{"name": SERVICE, "admissionControl": True}],
        }
        self.store.put(CONFIGURATION_KEY, json.dumps(body).encode())

    def add_instance(self) -> None:
        """Start another instance, whose orders may lose their answers."""
        super().add_instance()
        self.instances[-1].orders.faults.lost_ratio = self._lost_answers

    # ---- jobs

    def _submit_drawn_jobs(self, numbers: range, over_s: float) -> asyncio.Future[list[None]]:
        return asyncio.gather(*(self._submit_drawn(f"{one:016x}", over_s) for one in numbers))

    async def _submit_drawn(self, job_id: str, over_s: float) -> None:
        draws = self._draws
        at_s, trait = draws.uniform(0.0, over_s), draws.random()
        job = self.jobs[job_id] = self._draw_job(job_id)
        names = [name for one in self._names(job) for name in one]
        name = draws.choice(names)
        if trait < 0.12:
            self.fleet.crashing.add(name)
            self.fleet.crash_delays_s[name] = draws.choice(self._crash_delays_s)
            self.fleet.work_s[job_id] = DEADLY_TASK_S
        elif trait < 0.23:
            self.fleet.failures_left[name] = draws.choice((1, 1, 2, ALWAYS))
        elif trait < 0.60:
            self._unlucky[name] = [
                (draws.choice(UNLUCKY_DELAYS_S), draws.choice(UNLUCKY))
                for _ in range(draws.randint(1, MAX_UNLUCKY_STARTS))
            ]
        await asyncio.sleep(at_s)
        while job_id not in self._accepted:
            handler = await self._any_job_handler()
            answer = await handler.submit(job, deadline_s=_now_s() + 1.5)
            if answer.status.value == "accepted":
                self._accepted[job_id] = job
            else:
                await asyncio.sleep(0.3)

    def _draw_job(self, job_id: str) -> Job:
        draws = self._draws
        self.fleet.work_s[job_id] = length_s = draws.uniform(0.3, 1.5)
        kind = draws.choice(("plain", "plain", "lasting", "gang", "copies"))
        steps = [step(draws.randint(1, 4), estimated_s=length_s)]
        if kind == "lasting":
            self.fleet.lasting.add(job_id)
            steps = [lasting_step(draws.randint(1, 2), may_miss=0)]
        elif kind == "gang":
            self.fleet.gangs.add((job_id, 0))
            steps = [step(draws.randint(2, 3), estimated_s=length_s, is_gang=True)]
        elif kind == "copies":
            self.fleet.work_s[job_id] = length_s / 2
            self.fleet.speculative.add(job_id)
            steps = [step(draws.randint(2, 4), estimated_s=length_s / 2, is_speculative=True)]
        elif draws.random() < 0.5:
            steps.append(step(draws.randint(1, 2), estimated_s=length_s, after=(0,)))
        return Job(
            job_id=job_id,
            policy=policy(service=SERVICE, most_attempts=draws.randint(1, 3)),
            spec="x",
            steps=tuple(steps),
        )

    @staticmethod
    def _names(job: Job) -> Iterator[list[TaskName]]:
        for number, one in enumerate(job.steps):
            yield [TaskName(job.job_id, 0, number, index) for index in range(one.count)]

    def _note_start(self, worker: TaskWorker, name: TaskName) -> None:
        self._record_event(f"starts id={name.job_id} task={list(name[1:])}", worker.view.worker_id)
        if self._unlucky.get(name):
            delay_s, disruption = self._unlucky[name].pop(0)
            asyncio.get_running_loop().call_later(delay_s, self._disrupt_worker, worker, disruption)

    # ---- faults

    def _disrupt_worker(self, worker: TaskWorker, disruption: Disruption) -> None:
        if worker.is_alive:
            self._next_workers.append(worker)
            self._in_background(disruption(self))

    async def _disrupt(self) -> None:
        """Cause up to three disruptions that may overlap."""
        for _ in range(self._draws.choice((1, 1, 2, 3))):
            self.disruptions += 1
            kinds = WORKER_DISRUPTIONS + CORE_DISRUPTIONS * ("core faults" in self.traits)
            self._in_background(self._draws.choice(kinds)(self))
            await asyncio.sleep(self._draws.choice((0.0, 0.05, 0.3, 2.0)) * self._draws.random())

    def _draw_worker(self, *, is_sound: bool = False) -> TaskWorker | None:
        while self._next_workers:
            worker = self._next_workers.popleft()
            if worker.is_alive:
                return worker
        return super()._draw_worker(is_sound=is_sound)

    async def crash_drawn_worker(self) -> None:
        """Crash a worker, which starts again or not."""
        worker = self._draw_worker()
        if worker is not None:
            self._crash(worker)

    def _crash(self, worker: TaskWorker) -> None:
        self._lose(worker)
        self._in_background(self._return(worker, self._worker_fault()))

    def _crash_by_task(self, worker: TaskWorker) -> None:
        self._lose(worker)
        self._in_background(self._return(worker, super()._worker_fault()))

    @contextlib.contextmanager
    def _drawn_fault(self, fault: contextlib.AbstractContextManager[None]) -> Iterator[None]:
        self._open_drawn_faults += 1
        try:
            with fault:
                yield
        finally:
            self._open_drawn_faults -= 1
            self._last_drawn_fault_ended_s = _now_s()

    def fault_period(self) -> contextlib.AbstractContextManager[None]:
        """Mark a drawn fault of the store or of an instance."""
        return self._drawn_fault(super().fault_period())

    def _worker_fault(self) -> contextlib.AbstractContextManager[None]:
        return self._drawn_fault(super()._worker_fault())

    async def _return(
        self, worker: TaskWorker, fault: contextlib.AbstractContextManager[None]
    ) -> None:
        """Start a worker again under its id or another one, or not at all."""
        worker_id = worker.view.worker_id
        with fault:
            is_back, keeps_id = self._draws.random() < 0.8, self._draws.random() < 0.4
            await asyncio.sleep(self._draws.uniform(0.2, 6.0))
            await self._until_registrable(worker_id)
            if not is_back:
                return
            if not keeps_id:
                self.add_worker(address=worker.view.address)
                self.fleet.outcomes_when_absent[worker_id] = OrderStatus.GONE
                return
            self.fleet.outcomes_when_absent.pop(worker_id, None)
            self._leaving.discard(worker_id)
            self.register(self.fleet.add(replace(worker.view, is_draining=False)))
        self._record_event("is back under its id", worker_id)

    def _end(self, worker: TaskWorker, *, is_refusing: bool) -> None:
        self.fleet.note_worker_ended(worker)
        super()._end(worker, is_refusing=is_refusing)
        if is_refusing:
            self.fleet.reset(worker.view.worker_id)

    async def _unregister_later(self, worker_id: str, after_s: float) -> None:
        """Let the entry of a worker expire, unless the worker has started again under its id."""
        worker = self.fleet.workers[worker_id]
        await asyncio.sleep(after_s)
        if self.fleet.workers[worker_id] is worker:
            self._unregister(worker_id)

    async def leave_without_drain(self) -> None:
        """Remove a worker's entry at the moment at which it ends."""
        worker = self._draw_worker()
        if worker is not None:
            with self._worker_fault():
                self._record_event("leaves without a drain", worker.view.worker_id)
                self._unregister(worker.view.worker_id)
                self._end(worker, is_refusing=self._draws.random() < 0.7)

    async def retire(self) -> None:
        """Drain a worker and end it."""
        with self._worker_fault():
            await self._retire(self._draws.choice((SOON_S, LATE_S)))

    async def reset_connections(self) -> None:
        """Reset the connections to a worker that lives on, up to three times in turn."""
        worker = self._draw_worker()
        if worker is None:
            return
        with self._worker_fault():
            for _ in range(self._draws.randint(1, 3)):
                self._record_event("connections are reset", worker.view.worker_id)
                self.fleet.reset(worker.view.worker_id)
                await asyncio.sleep(self._draws.uniform(0.0, 1.0))

    async def fail_drawn_task(self) -> None:
        """End a lasting task as failed."""
        worker = self._draw_worker()
        names = worker.names() if worker is not None else ()
        for name in sorted(names):
            if worker is not None and name.job_id in self.fleet.lasting:
                worker.fail(name)
                return

    async def _cut_power(self) -> None:
        """Crash all instances and all workers at the same moment; all start again."""
        self._record_event("is cut", "the power")
        for worker in list(self.fleet.workers.values()):
            if worker.is_alive:
                self._crash(worker)
        if self._draws.random() < 0.5:
            self._in_background(
                self.store_outage(
                    self._draws.uniform(1.0, 6.0), are_leases_paused=self._draws.random() < 0.5
                )
            )
        await self.kill_all(restart_s=self._draws.uniform(0.3, 5.0))

    # ---- checks

    def _is_core_calm(self) -> bool:
        ended_s = self._last_core_fault_ended_s
        return not self._open_core_faults and _now_s() - ended_s >= CONTACT_S

    def _check_progress(self, job_id: str, progress: JobProgress) -> None:
        """Check a state that was stored."""
        job, state, earlier = self.jobs[job_id], progress.state, self.states.get(job_id)
        self.states[job_id] = state
        if state is earlier:
            return
        if earlier is not None and earlier.is_final:
            self._violate(f"LOST job {job_id} was {earlier.value} and is {state.value}")
        if state is JobState.FAILED and not self._may_be_failed(job):
            ended_under = max(
                self.fleet.ended_under[name] for names in self._names(job) for name in names
            )
            self._violate(
                f"LOST job {job_id} is failed without cause; {ended_under} workers ended under a "
                "task"
            )
        if state is JobState.CANCELLED or (state is JobState.COMPLETED and not self._is_done(job)):
            self._violate(f"MIXED job {job_id} is {state.value} without cause")

    def _violate(self, violation: str) -> None:
        self.violations.append(f"{_now_s():.3f} {violation}")

    def _may_be_failed(self, job: Job) -> bool:
        return any(
            self.fleet.crashes[name]
            or len(self.fleet.failed_runs[self.fleet.counted_name(name)])
            >= job.policy.most_attempts
            for names in self._names(job)
            for name in names
        )

    def _is_done(self, job: Job) -> bool:
        return all(
            (any if job_step.is_gang else all)(name in self.fleet.done_tasks for name in names)
            for job_step, names in zip(job.steps, self._names(job), strict=True)
        )

    def is_deadly(self, job_id: str) -> bool:
        """Whether a task of a job crashes its workers."""
        return any(name.job_id == job_id for name in self.fleet.crashing)

    def _check_task(self, name: TaskName, task_step: Step, *, is_running: bool) -> None:
        is_open = not self.states[name.job_id].is_final
        if is_open and task_step.is_lasting and not self.is_deadly(name.job_id):
            super()._check_task(name, task_step, is_running=is_running)

    async def _check_end(self) -> None:
        """Check that sound jobs have ended or are worked on, and that all end in time."""
        idle, since_s = self._idle_jobs(), _now_s()
        while idle and _now_s() - since_s < GRANTED_S:
            await asyncio.sleep(SAMPLE_S)
            idle &= self._idle_jobs()
        for job_id in sorted(idle):
            self._violate(
                f"LOST job {job_id} has nothing running {FINISH_S} s after the last fault"
            )
        while self._is_any_open() and _now_s() - since_s < LAST_END_S:
            await asyncio.sleep(SAMPLE_S)
        for job_id in sorted(self._open_jobs()):
            self._violate(f"LOST job {job_id} is {self.states[job_id].value} at the end")
        for name, missing_since_s in self._missing_since_s.items():
            if (
                _now_s() - missing_since_s > BACK_WITHIN_S + GRANTED_S
                and not self.states[name.job_id].is_final
            ):
                self._violate(f"LOST {name} has no run at the end since {missing_since_s:.3f}")

    def _is_any_open(self) -> bool:
        """Whether a sound job or one with a deadly task has not ended."""
        return bool(self._open_jobs()) or any(
            self.is_deadly(job_id) and not self.states[job_id].is_final for job_id in self._accepted
        )

    def _idle_jobs(self) -> set[str]:
        """Return the sound jobs that are owed work and have nothing running.

        They are owed it while less than half of the capacity is in use.
        """
        running = self._running_tasks()
        workers = [worker for worker in self.fleet.workers.values() if worker.is_alive]
        used = sum(self.fleet.cpu_millicores_of(name) for name in running)
        is_full = 2 * used >= sum(worker.view.cpu_millicores for worker in workers)
        return set() if is_full else self._open_jobs() - {name.job_id for name in running}

    def _open_jobs(self) -> set[str]:
        """Return the sound jobs whose tasks end and that have not ended."""
        return {
            job_id
            for job_id in self._accepted.keys() - self.fleet.lasting
            if not self.is_deadly(job_id) and not self.states[job_id].is_final
        }

    def _running_tasks(self) -> set[TaskName]:
        workers = [worker for worker in self.fleet.workers.values() if worker.is_alive]
        return set[TaskName]().union(*(worker.names() for worker in workers))

    def all_violations(self) -> list[str]:
        """Return all violations."""
        return [*(one for one in self.violations if " LATE " not in one), *self.fleet.violations]

    def trace(self, job_id: str) -> list[str]:
        """Return the lines on a job, and what happened to its workers, the store and instances."""
        own = [
            line
            for line in self.lines
            if job_id in line and ("scenario" in line or line.split()[2] in TRACED_EVENTS)
        ]
        workers = {line.split()[2] for line in own if "scenario" in line}
        return [
            line
            for line in self.lines
            if line in own
            or (
                " scenario " in line
                and " starts " not in line
                and (line.split()[2] in workers or line.split()[2] not in self.fleet.workers)
            )
        ]


Disruption = Callable[[SoundJobHistory], Coroutine[Any, Any, None]]

UNLUCKY: tuple[Disruption, ...] = (
    SoundJobHistory.crash_drawn_worker,
    SoundJobHistory.crash_drawn_worker,
    SoundJobHistory.cut_worker,
    SoundJobHistory.cut_worker_from_store,
    SoundJobHistory.leave_without_drain,
    SoundJobHistory.retire,
    SoundJobHistory.reset_connections,
)
"""Disruptions of the worker of a task shortly after its start."""
WORKER_DISRUPTIONS: tuple[Disruption, ...] = (*UNLUCKY, SoundJobHistory.fail_drawn_task)
CORE_DISRUPTIONS: tuple[Disruption, ...] = (
    SoundJobHistory.lose_store,
    SoundJobHistory.kill_scheduler,
    SoundJobHistory.stop_scheduler,
    SoundJobHistory.cut_scheduler,
)


def run_history(seed: int, *, duration_s: float = DURATION_S) -> SoundJobHistory:
    """Run one history on a virtual clock of its own."""

    async def scenario() -> SoundJobHistory:
        history = SoundJobHistory(seed=seed)
        await history.run(duration_s)
        return history

    return run_scenario(scenario())


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def main(first: int, count: int) -> int:
    """Run histories, print their violations with traces, and return how many had any."""
    failed = 0
    for seed in range(first, first + count):
        history = run_history(seed)
        violations = history.all_violations()
        failed += bool(violations)
        states = Counter(state.value for state in history.states.values())
        print(
            f"seed {seed} ({', '.join(history.traits)}): {dict(sorted(states.items()))}, "
            f"{history.disruptions} disruptions, {history.fleet.started} starts, "
            f"{len(violations)} violations",
            *violations,
            sep="\n    ",
            flush=True,
        )
        for job_id in sorted(
            one for one in history.jobs if any(one in text for text in violations)
        ):
            print(f"  {history.jobs[job_id]}", *history.trace(job_id), sep="\n        ")
    print(f"{failed} of {count} seeds failed")
    return failed


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])) > 0)
