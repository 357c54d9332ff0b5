"""Drawn histories of lasting tasks: a full pool, a configuration that changes, and disruptions.

``python -m tests.lasting_history FIRST COUNT [SECONDS]`` runs the seeds from ``FIRST`` on by hand.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from typing import Any

from shallotworks.jobs import Job, Step, TaskName, Team
from shallotworks.metrics import Metrics
from shallotworks.platform._configuration import (
    CONFIGURATION_KEY,
    OPERATORS_PREFIX,
    Configuration,
    OperatorRecords,
)
from shallotworks.platform._daemon import MAX_WORKER_LIST_AGE_S
from shallotworks.platform._workers import REGISTRY_PREFIX
from shallotworks.scheduling import OrderStatus, SchedulerDependencies
from shallotworks.standins import TaskWorker
from shallotworks.store import PrefixWatcher
from tests.lasting_task_simulation import (
    DRAIN_S,
    MAX_REREGISTRATION_S,
    LastingInstance,
    LastingTaskSimulation,
    lasting_step,
)
from tests.scheduling_fakes import quiet_log, step
from tests.scheduling_simulation import SERVICE
from tests.virtual_clock import run_scenario

__all__ = ["LastingHistory", "run_history"]

CONTACT_S = 3.0
"""A disruption lasts until this time after its end. Source: the users' rules."""
CALM_BEFORE_S = 4.0
"""Calm time that has to precede the time in which a task is missed. Source: the users' rules."""
BACK_WITHIN_S = 6.0
"""A lasting task is owed from this time after its last run on. Source: the users' rules."""
GRANTED_S = 3.0
"""A task that is owed may be missed for this time. Source: the users' rules."""
PLACES_NEEDED = 2
"""There is capacity for a task if it has room twice over. Source: the users' rules."""
WORKERS = 8
INSTANCES = 3
HOST = "history"
QUEUE = "sweeps"
OTHER_SERVICES = ("masts", "tower")
TEAMS = ("red", "blue")
OWNER = "owner"
"""The team of the lasting jobs, whose tasks no limit holds back."""
TASKS_PER_S = (4.0, 14.0, 26.0)
"""The pool has 32 cores, of which lasting tasks use 8 to 16; a short task uses one for 0.84 s."""
ENTRY_EXPIRY_S = (3.0, 4.5)
"""An entry expires after three heartbeats of 1.5 s of silence; the last one may be 1.5 s old when a
worker falls silent."""
SOON_S = (0.0, 0.5)
LATE_S = (3.0, 12.0)
"""Times for which a draining worker serves longer than it has to."""
CALM_S = (7.0, 14.0)
"""Pause between disruptions; the rule on lasting tasks holds in the last part of a long one."""
END_S = 15.0


class ConfiguredInstance(LastingInstance):
    """An instance that takes services, teams and guarded services from the configuration."""

    def __init__(self, **given: Any) -> None:
        super().__init__(**given)
        self.operator_records = OperatorRecords(
            on_configuration=self._on_configuration, log=quiet_log(), metrics=Metrics()
        )
        self._workers_answered_s = float("-inf")

    def start(self) -> None:
        """Start reading the configuration and trying to acquire leases."""
        operators = PrefixWatcher(
            store=self.store,
            prefix=OPERATORS_PREFIX,
            listener=self.operator_records,
            log=quiet_log(),
            clock=self.now_s,
        )
        for work in (self.elector.run(), operators.run()):
            self._tasks.add(asyncio.create_task(work))

    def _dependencies(self) -> SchedulerDependencies:
        return replace(
            super()._dependencies(),
            team_of=self._configured_team,
            is_capacity_known=self._is_capacity_known,
        )

    def _note_workers_answer(self, sent_s: float) -> None:
        self._workers_answered_s = self.now_s()

    def _on_configuration(self, configuration: Configuration) -> None:
        self.elector.set_services(set(configuration.services))

    def _configured_team(self, name: str) -> Team | None:
        configuration = self.operator_records.configuration
        return configuration.teams.get(name) if configuration is not None else None

    def _is_capacity_known(self, service: str) -> bool:
        configuration = self.operator_records.configuration
        is_guarded = configuration is not None and service in configuration.guarded
        return is_guarded or self.now_s() - self._workers_answered_s < MAX_WORKER_LIST_AGE_S


class LastingHistory(LastingTaskSimulation):
    """A drawn history whose lasting tasks are checked as the users' rules are written.

    Planned leaves and changes of the configuration are no disruptions. A violation of the rule
    begins with ``LOST``. One that begins with ``LATE`` is of a stricter statement: while the store
    and the instances are calm, a task is back `BACK_WITHIN_S` after its last run, or after the
    beginning of a later disruption of a worker.

    Args:
        seed: Seed of all draws.
    """

    instance_type = ConfiguredInstance

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed, workers=WORKERS, instances=INSTANCES)
        self.configuration_changes = 0
        self.disruptions = 0
        self.short_jobs = 0
        self._draws = random.Random(seed)
        self._cut_from_store: set[str] = set()
        self._leaving: set[str] = set()
        self._open_core_faults = 0
        self._last_core_fault_ended_s = 0.0
        self._last_worker_fault_began_s = 0.0
        self._no_place_s: dict[TaskName, float] = {}
        self._policies: dict[str, dict[str, object]] = {}
        self._publish_configuration()

    async def run(self, duration_s: float) -> None:
        """Run the history, and wait until its last disruptions are over and checked."""
        self.start()
        for number in range(self._draws.randint(3, 5)):
            await self.submit(f"a{number:015x}", *self._draw_lasting_steps())
        for work in (
            self._change_configuration(),
            self._run_short_jobs(),
            self._retire_workers(),
            self._replace_workers(),
        ):
            self._in_background(work)
        ends_s = _now_s() + duration_s
        while _now_s() < ends_s:
            await asyncio.sleep(self._draws.uniform(*CALM_S))
            await self._disrupt()
        await asyncio.sleep(END_S)
        await self.close()

    def _draw_lasting_steps(self) -> list[Step]:
        return [
            lasting_step(
                self._draws.randint(1, 3),
                may_miss=self._draws.choice((0, 1, 1, 2)),
                most_per_worker=self._draws.choice((0, 0, 1, 2)),
            )
            for _ in range(self._draws.randint(1, 2))
        ]

    # ---- the configuration

    def _publish_configuration(self) -> None:
        """Write a new version: one queue, the services, the teams or the guards have changed."""
        draws = self._draws
        self.configuration_changes += 1
        services = [SERVICE, *(name for name in OTHER_SERVICES if draws.random() < 0.5)]
        self._policies[draws.choice((SERVICE, *OTHER_SERVICES))] = {
            "priority": draws.randint(0, 3),
            "maxAttempts": draws.randint(1, 4),
            "stretch": draws.uniform(1.0, 4.0),
            "targetLatencyMs": draws.randint(200, 3000),
            "timeoutMs": draws.randint(1500, 4000),
        }
        body = {
            "version": self.configuration_changes,
            "routes": [
                {"name": QUEUE, "host": HOST, "prefix": f"/{name}", "service": name}
                | self._policies.get(name, {})
                for name in services
            ],
            "services": [
                {"name": name, "admissionControl": draws.random() < 0.5} for name in services
            ],
            "tenants": [
                {"name": OWNER, "weight": draws.randint(1, 5)},
                *(
                    {
                        "name": name,
                        "weight": draws.randint(1, 5),
                        "maxCount": {"cpu": draws.choice((0, 8, 24)) * 1000},
                    }
                    for name in TEAMS
                    if draws.random() < 0.9
                ),
            ],
        }
        self.store.put(CONFIGURATION_KEY, json.dumps(body).encode())

    async def _change_configuration(self) -> None:
        while True:
            await asyncio.sleep(self._draws.uniform(0.1, 0.6))
            await self._is_store_up.wait()
            self._publish_configuration()

    # ---- callers

    def _make_job(self, job_id: str, steps: tuple[Step, ...]) -> Job:
        return replace(super()._make_job(job_id, steps), accepted_s=_now_s(), team=OWNER)

    async def _run_short_jobs(self) -> None:
        tasks_per_s, changes_s = max(TASKS_PER_S), _now_s() + self._draws.uniform(5.0, 20.0)
        while True:
            if _now_s() >= changes_s:
                tasks_per_s = self._draws.choice(TASKS_PER_S)
                changes_s = _now_s() + self._draws.uniform(5.0, 20.0)
            count = self._draws.randint(1, 8)
            self._in_background(self._submit_short_job(count))
            await asyncio.sleep(count / tasks_per_s)

    async def _submit_short_job(self, count: int) -> None:
        """Submit a job to an instance under the configuration that the instance knows."""
        self.short_jobs += 1
        job_id = f"{self.short_jobs:016x}"
        instance = self._draws.choice(self.instances)
        assert isinstance(instance, ConfiguredInstance)
        configuration = instance.operator_records.configuration
        queue = configuration.queue_for(HOST, f"/{SERVICE}") if configuration else None
        if queue is not None:
            job = Job(
                job_id=job_id,
                policy=queue.policy,
                spec="x",
                steps=(step(count, estimated_s=0.8),),
                accepted_s=_now_s(),
                team=self._draws.choice(TEAMS),
            )
            await instance.job_handler.submit(job, deadline_s=_now_s() + queue.timeout_s)

    # ---- planned work on workers

    async def _retire_workers(self) -> None:
        while True:
            await asyncio.sleep(self._draws.uniform(2.0, 9.0))
            self._in_background(self._retire(self._draws.choice((SOON_S, LATE_S))))

    async def _retire(self, lingers_s: tuple[float, float]) -> None:
        """Drain a worker and end it some time after the store has stored that it is draining."""
        worker = self._draw_worker(is_sound=True)
        if worker is None:
            return
        worker_id = worker.view.worker_id
        self._leaving.add(worker_id)
        await self._until_registrable(worker_id)
        if not worker.is_alive:
            return
        self._record_event("drains", worker_id)
        worker.view = replace(worker.view, is_draining=True)
        self.register(worker)
        await asyncio.sleep(DRAIN_S + self._draws.uniform(*lingers_s))
        if not worker.is_alive:
            return
        self._record_event("leaves", worker_id)
        self._end(worker, is_refusing=self._draws.random() < 0.7)
        if worker_id in self._cut_from_store or not self._is_store_up.is_set():
            self._expire_entry(worker_id)
        else:
            self._unregister(worker_id)

    async def _replace_workers(self) -> None:
        """Add a worker where one has left or is leaving, so that the tasks have room."""
        while True:
            await asyncio.sleep(self._draws.uniform(0.3, 1.5))
            await self._is_store_up.wait()
            if len(self._sound_workers()) < WORKERS:
                self.add_worker()

    def _sound_workers(self) -> list[TaskWorker]:
        return [
            worker
            for worker_id, worker in self.fleet.workers.items()
            if worker.is_alive
            and worker_id not in self._leaving
            and worker_id not in self.fleet.isolated
            and worker_id not in self._cut_from_store
        ]

    def _draw_worker(self, *, is_sound: bool = False) -> TaskWorker | None:
        """Return a live worker, mostly one that runs a lasting task.

        Args:
            is_sound: Whether only workers are drawn that stay and that nothing disrupts.
        """
        alive = [worker for worker in self.fleet.workers.values() if worker.is_alive]
        is_any = not is_sound and self._draws.random() < 0.3
        drawn_from = alive if is_any else self._sound_workers()
        used = [
            worker
            for worker in drawn_from
            if any(name.job_id in self.fleet.lasting for name in worker.names())
        ]
        chosen_from = used if used and self._draws.random() < 0.8 else drawn_from
        return self._draws.choice(chosen_from) if chosen_from else None

    def _end(self, worker: TaskWorker, *, is_refusing: bool) -> None:
        """End a worker; later connections to it are refused, or nothing answers."""
        worker.crash()
        if is_refusing:
            self.fleet.outcomes_when_absent[worker.view.worker_id] = OrderStatus.REFUSED

    def _expire_entry(self, worker_id: str) -> None:
        self._in_background(self._unregister_later(worker_id, self._draws.uniform(*ENTRY_EXPIRY_S)))

    async def _unregister_later(self, worker_id: str, after_s: float) -> None:
        """Let the entry of a worker expire, while the store is down or some time after it is up."""
        await asyncio.sleep(after_s)
        if not self._is_store_up.is_set() and self._draws.random() < 0.5:
            await self._is_store_up.wait()
            await asyncio.sleep(self._draws.uniform(0.0, after_s))
        self._unregister(worker_id)

    async def _until_registrable(self, worker_id: str) -> None:
        while worker_id in self._cut_from_store or not self._is_store_up.is_set():
            await asyncio.sleep(0.1)

    async def _register_later(self, worker: TaskWorker, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self._until_registrable(worker.view.worker_id)
        if worker.is_alive:
            self.register(worker)

    # ---- disruptions

    async def _disrupt(self) -> None:
        """Cause up to four disruptions that may overlap, and wait for their end."""
        running = []
        for _ in range(self._draws.choice((1, 1, 2, 3, 4))):
            self.disruptions += 1
            _, disruption = self._draws.choices(DISRUPTIONS, [one for one, _ in DISRUPTIONS])[0]
            running.append(asyncio.create_task(disruption(self)))
            await asyncio.sleep(self._draws.choice((0.0, 0.3, 1.0, 4.0)) * self._draws.random())
        await asyncio.gather(*running)

    async def lose_worker(self) -> None:
        """End a worker at once, without a word."""
        worker = self._draw_worker()
        if worker is not None:
            with self._worker_fault():
                self._lose(worker)

    async def replace_lost_worker(self) -> None:
        """End a worker at once; one with another id answers at its address a while later."""
        worker = self._draw_worker()
        if worker is None:
            return
        with self._worker_fault():
            self._lose(worker)
            await asyncio.sleep(self._draws.uniform(1.0, 4.0))
            await self._is_store_up.wait()
            self.add_worker(address=worker.view.address)
            self.fleet.outcomes_when_absent[worker.view.worker_id] = OrderStatus.GONE

    def _lose(self, worker: TaskWorker) -> None:
        worker_id = worker.view.worker_id
        is_refusing = self._draws.random() < 0.5
        self._record_event("is lost, refusing" if is_refusing else "is lost, silent", worker_id)
        self._end(worker, is_refusing=is_refusing)
        self._expire_entry(worker_id)

    async def cut_worker(self) -> None:
        """Cut a worker off from the instances, while it runs on and stays listed."""
        worker = self._draw_worker()
        if worker is None or worker.view.worker_id in self.fleet.isolated:
            return
        worker_id = worker.view.worker_id
        with self._worker_fault():
            self._record_event("silent", worker_id)
            self.fleet.isolated.add(worker_id)
            await asyncio.sleep(self._draws.uniform(1.0, 9.0))
            self.fleet.isolated.discard(worker_id)
        self._record_event("reachable again", worker_id)

    async def cut_worker_from_store(self) -> None:
        """Cut a worker off from the store alone; its entry expires, and it answers and runs on."""
        worker = self._draw_worker()
        if worker is None or worker.view.worker_id in self._cut_from_store:
            return
        worker_id = worker.view.worker_id
        with self._worker_fault():
            self._record_event("cut off from the store", worker_id)
            self._cut_from_store.add(worker_id)
            for_s, expiry_s = self._draws.uniform(2.0, 12.0), self._draws.uniform(*ENTRY_EXPIRY_S)
            await asyncio.sleep(min(for_s, expiry_s))
            if for_s > expiry_s:
                self._unregister(worker_id)
                await asyncio.sleep(for_s - expiry_s)
            self._cut_from_store.discard(worker_id)
        self._record_event("reaches the store again", worker_id)
        await self._register_later(worker, self._draws.uniform(0.1, MAX_REREGISTRATION_S))

    async def lose_store(self) -> None:
        """Make the store unavailable, with leases paused or running out, and entries lost or not.

        In a part of the cases a worker that has just been listed as draining leaves meanwhile.
        """
        if self._draws.random() < 0.5:
            self._in_background(self._retire(SOON_S))
            await asyncio.sleep(self._draws.uniform(0.0, DRAIN_S))
        are_leases_paused = self._draws.random() < 0.4
        await self.store_outage(
            self._draws.uniform(1.0, 10.0),
            is_silent=self._draws.random() < 0.5,
            are_leases_paused=are_leases_paused,
            are_entries_lost=not are_leases_paused and self._draws.random() < 0.5,
        )

    async def cut_scheduler(self) -> None:
        """Cut the scheduler off from the store."""
        await self.isolate_scheduler(self._draws.uniform(1.0, 7.0))

    @contextlib.contextmanager
    def fault_period(self) -> Iterator[None]:
        """Mark a disruption of the store or of an instance."""
        self._open_core_faults += 1
        try:
            with super().fault_period():
                yield
        finally:
            self._open_core_faults -= 1
            self._last_core_fault_ended_s = _now_s()

    def _worker_fault(self) -> contextlib.AbstractContextManager[None]:
        self._last_worker_fault_began_s = _now_s()
        return super().fault_period()

    # ---- checks

    def _check_task(self, name: TaskName, task_step: Step, *, is_running: bool) -> None:
        now_s = _now_s()
        if self._count_places(name, task_step) < PLACES_NEEDED:
            self._no_place_s[name] = now_s
        if is_running:
            self._missing_since_s.pop(name, None)
            return
        since_s = self._missing_since_s.setdefault(name, now_s)
        if now_s - self._no_place_s.get(name, 0.0) < GRANTED_S:
            return
        if (
            not self._open_faults
            and now_s - self._last_fault_ended_s >= CONTACT_S + CALM_BEFORE_S + GRANTED_S
            and now_s - since_s >= BACK_WITHIN_S + GRANTED_S
        ):
            self._report(f"LOST {name} has no run", f"{since_s:.3f}")
        # A start that a worker lost may have taken effect, and is waited for from then on.
        owed_from_s = max(since_s, self._last_worker_fault_began_s) + BACK_WITHIN_S
        if (
            not self._open_core_faults
            and since_s - self._last_core_fault_ended_s >= CONTACT_S + CALM_BEFORE_S
            and now_s > owed_from_s
        ):
            self._report(f"LATE {name} has no run", f"{since_s:.3f}")

    def _count_places(self, name: TaskName, task_step: Step) -> int:
        """Return for how many tasks like this one there is room beside the lasting tasks.

        Room that short tasks use counts, since a task that lasts is owed however full the service
        is.
        """
        return sum(
            self._places_on(worker, name, task_step)
            for worker in self._sound_workers()
            if REGISTRY_PREFIX + worker.view.worker_id in self.store.items
        )

    def _places_on(self, worker: TaskWorker, name: TaskName, task_step: Step) -> int:
        lasting = [other for other in worker.names() if other.job_id in self.fleet.lasting]
        used_millicores = sum(self.fleet.cpu_millicores_of(other) for other in lasting)
        free_millicores = worker.view.cpu_millicores - used_millicores
        siblings = sum(1 for other in lasting if other[:3] == name[:3])
        most = task_step.most_per_worker or PLACES_NEEDED + siblings
        return max(0, min(free_millicores // task_step.cpu_millicores, most - siblings))


DISRUPTIONS: tuple[tuple[int, Callable[[LastingHistory], Awaitable[None]]], ...] = (
    (3, LastingHistory.lose_worker),
    (2, LastingHistory.replace_lost_worker),
    (2, LastingHistory.cut_worker),
    (3, LastingHistory.cut_worker_from_store),
    (3, LastingHistory.lose_store),
    (1, LastingHistory.kill_scheduler),
    (1, LastingHistory.stop_scheduler),
    (1, LastingHistory.cut_scheduler),
)
"""Disruptions, and how often each is drawn."""


def run_history(seed: int, *, duration_s: float) -> LastingHistory:
    """Run one history on a virtual clock of its own."""

    async def scenario() -> LastingHistory:
        history = LastingHistory(seed=seed)
        await history.run(duration_s)
        return history

    return run_scenario(scenario())


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def main(first: int, count: int, duration_s: float = 120.0) -> int:
    """Run histories, print their violations and return how many had any."""
    failed = 0
    for seed in range(first, first + count):
        history = run_history(seed, duration_s=duration_s)
        violations = history.all_violations()
        failed += bool(violations)
        print(
            f"seed {seed}: {history.configuration_changes} configurations, "
            f"{history.disruptions} disruptions, {history.fleet.started} starts, "
            f"{len(violations)} violations",
            *violations,
            sep="\n    ",
            flush=True,
        )
    print(f"{failed} of {count} seeds failed")
    return failed


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), *map(float, sys.argv[3:4])) > 0)
