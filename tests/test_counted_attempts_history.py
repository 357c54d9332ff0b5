"""Drawn histories that check each stored verdict against the ends that workers have listed."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from shallotworks.jobs import Job, JobKeys, JobState, TaskName, decode_progress
from shallotworks.scheduling import EndedTask, EndKind
from shallotworks.standins import RecordFaults, RecordStore, TaskWorkers
from shallotworks.store import Write
from tests.attempt_history import ENDS_PER_ANSWER, AttemptKey, attempt_key
from tests.scheduling_fakes import policy, step
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

SEEDS = range(1, 5)
JOBS = 24
SUBMIT_PERIOD_S = 15.0
WIND_DOWN_S = 30.0
WORK_S = 3.0
SURVIVED_S = 2.0
"""Runs of this age are not blamed for the end of their worker."""


class CountingWorkers(TaskWorkers):
    """Workers some of whose runs fail, with gangs whose members end together.

    Args:
        rng: Draws durations of runs and which of them fail.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.fail_ratio = 0.4
        self.jobs: dict[str, Job] = {}
        self.failed_runs: dict[tuple[str, AttemptKey], set[int]] = {}
        """Numbers of the runs that workers have listed as failed."""

    def make_run(self, name: TaskName, run_id: int) -> object:  # type: ignore[override]
        """Return a run that fails at times."""
        run = super().make_run(name, run_id)
        run.fails = self.rng.random() < self.fail_ratio
        return run

    def note_end(self, end: EndedTask) -> None:
        """Count a run that has failed, and end the other members of a gang."""
        super().note_end(end)
        one_job = self.jobs[end.name.job_id]
        if end.kind is EndKind.FAILED:
            key = (end.name.job_id, attempt_key(one_job, end.name))
            self.failed_runs.setdefault(key, set()).add(end.run_id)
        if one_job.steps[end.name.step].is_gang and end.kind in (EndKind.DONE, EndKind.FAILED):
            # A worker ends its due runs one after the other, and must not lose one meanwhile.
            asyncio.get_running_loop().call_soon(self._end_other_members, end)

    def _end_other_members(self, end: EndedTask) -> None:
        broken = self.rng.choice((EndKind.BROKEN, EndKind.FAILED))
        kind = EndKind.DONE if end.kind is EndKind.DONE else broken
        for worker in self.workers.values():
            for (name, run_id), run in list(worker._runs.items()):
                is_member = (name.job_id, run_id) == (end.name.job_id, end.run_id)
                if is_member:
                    worker._end_run(run, kind)
                    worker.wake_polls()

    def most_failed(self, job_id: str) -> int:
        """Return the largest number of failed runs of one task, or one gang, of a job."""
        return max(
            (len(runs) for key, runs in self.failed_runs.items() if key[0] == job_id), default=0
        )


class VerdictStore(RecordStore):
    """A store that checks each write of a job's progress against what workers have listed."""

    fleet: CountingWorkers

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.unfounded: list[str] = []

    def _write(self, write: Write, revision: int | None = None) -> None:
        super()._write(write, revision)
        job_id, is_progress = JobKeys(service=SERVICE).parse(write.key)
        if not is_progress:
            return
        progress = decode_progress(write.value)
        for key, run_ids in progress.failures.items():
            listed = self.fleet.failed_runs.get((job_id, key), set())
            self.unfounded += [f"{job_id} {key}: run {one}" for one in set(run_ids) - listed]
        if progress.state is JobState.FAILED:
            failed, most = self.fleet.most_failed(job_id), self.fleet.jobs[job_id].policy
            if failed < most.most_attempts:
                self.unfounded.append(f"{job_id}: failed after {failed} failed runs")


class AttemptSimulation(SchedulingSimulation):
    """Jobs of plain tasks, gangs and tasks with copies, whose runs fail at times."""

    fleet: CountingWorkers
    store: VerdictStore

    def __init__(self, *, seed: int) -> None:
        super().__init__(
            seed=seed,
            workers=8,
            fleet=CountingWorkers,
            store=VerdictStore(rng=random.Random(seed)),
        )
        self.store.fleet = self.fleet
        self.fleet.ends_per_answer = self.rng.choice((2, 5, ENDS_PER_ANSWER))

    async def submit_drawn(self, number: int) -> None:
        """Submit a job at a drawn moment."""
        job_id = f"{number:016x}"
        steps = [
            step(self.rng.randint(1, 3), estimated_s=WORK_S / 6, is_speculative=True),
            step(self.rng.randint(2, 3), estimated_s=WORK_S, is_gang=True),
            step(self.rng.randint(1, 3), estimated_s=WORK_S),
        ]
        chosen = tuple(self.rng.sample(steps, 2))
        attempts = policy(
            service=SERVICE, most_attempts=self.rng.randint(1, 4), target_latency_s=1000.0
        )
        self.fleet.work_s[job_id] = WORK_S
        self.fleet.jobs[job_id] = Job(job_id=job_id, policy=attempts, spec="x", steps=chosen)
        await asyncio.sleep(self.rng.uniform(0, SUBMIT_PERIOD_S))
        await self.submit(job_id, *chosen, policy=attempts)

    async def restart_survivor(self) -> None:
        """Start a worker again all of whose runs have gone on for a while."""
        for _ in range(100):
            now_s = asyncio.get_running_loop().time()
            survivors = [
                worker_id
                for worker_id, worker in self.fleet.workers.items()
                if all(now_s - run.began_at_s > SURVIVED_S for run in worker._runs.values())
            ]
            if survivors:
                self.fleet.restart(self.rng.choice(survivors))
                return
            await asyncio.sleep(0.05)


Fault = Callable[[AttemptSimulation], Awaitable[None]]


async def schedulers_are_killed(simulation: AttemptSimulation) -> None:
    for _ in range(4):
        await asyncio.sleep(simulation.rng.uniform(1, 4))
        scheduler = simulation.scheduler()
        if scheduler is not None:
            await simulation.replace(scheduler)


async def workers_start_again_under_their_ids(simulation: AttemptSimulation) -> None:
    for _ in range(5):
        await asyncio.sleep(simulation.rng.uniform(1, 4))
        await simulation.restart_survivor()


async def workers_start_again_beside_killed_schedulers(simulation: AttemptSimulation) -> None:
    await asyncio.gather(
        schedulers_are_killed(simulation), workers_start_again_under_their_ids(simulation)
    )


async def schedulers_are_cut_from_the_store(simulation: AttemptSimulation) -> None:
    for _ in range(2):
        await asyncio.sleep(simulation.rng.uniform(1, 4))
        scheduler = simulation.scheduler()
        if scheduler is not None:
            scheduler.store.faults.is_silent = True
            await asyncio.sleep(5.5)
            scheduler.store.faults.is_silent = False


async def writes_are_late_and_answers_lost(simulation: AttemptSimulation) -> None:
    for instance in simulation.instances:
        instance.store.faults.lost_ratio = instance.store.faults.late_ratio = 0.15
        instance.orders.faults.lost_ratio = instance.orders.faults.late_ratio = 0.05
    await schedulers_are_killed(simulation)
    for instance in simulation.instances:
        instance.store.faults = RecordFaults()


FAULTS: tuple[Fault, ...] = (
    schedulers_are_killed,
    workers_start_again_under_their_ids,
    workers_start_again_beside_killed_schedulers,
    schedulers_are_cut_from_the_store,
    writes_are_late_and_answers_lost,
)


def run_history(seed: int, fault: Fault) -> AttemptSimulation:
    """Run one history on a virtual clock of its own."""

    async def scenario() -> AttemptSimulation:
        simulation = AttemptSimulation(seed=seed)
        jobs = (simulation.submit_drawn(number) for number in range(JOBS))
        await simulation.run_through(*jobs, fault(simulation), wind_down_s=WIND_DOWN_S)
        return simulation

    return run_scenario(scenario())


class AttemptHistoryTests(unittest.TestCase):
    @parameterized.expand([(one.__name__, one) for one in FAULTS])
    def test_stored_verdicts_rest_on_listed_ends(self, _name: str, fault: Fault) -> None:
        """Guards against a failed job without as many failed runs as its queue allows."""
        states: list[JobState | None] = []
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = run_history(seed, fault)
                self.assertEqual([], simulation.store.unfounded)
                states += [simulation.state(job_id) for job_id in simulation.accepted]
        self.assertIn(JobState.FAILED, states)
        self.assertIn(JobState.COMPLETED, states)


if __name__ == "__main__":
    unittest.main()
