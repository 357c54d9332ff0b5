"""Tests of steps that only workers which the advice service allows may run."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from shallotworks.jobs import JobState, Step
from shallotworks.platform._http import HttpAnswer
from shallotworks.platform._machines import PlatformAdvice
from tests.advice_fakes import PolicyAdvice, TicketCheckingWorkers
from tests.scheduling_fakes import policy, step, view
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

FINISH_S = 14.0
"""Time from the end of the traffic until every job must have ended. Source: the users' rules."""
ADVISED = policy(is_advised=True)
WORKER_MILLICORES = 4000

AdviceFaults = Callable[["AdvisedSimulation"], Awaitable[None]]


class AdvisedSimulation(SchedulingSimulation):
    """A simulation whose jobs need advice, with workers that check tickets."""

    def __init__(self, *, workers: int, allowed: int, seed: int = 1, **times_s: float) -> None:
        super().__init__(seed=seed, workers=0, fleet=TicketCheckingWorkers)
        self.names = [f"w{number:03}" for number in range(workers)]
        for name in self.names:
            self.fleet.add(view(name, service=SERVICE))
        self.advice = PolicyAdvice(
            fleet=self.fleet,  # type: ignore[arg-type]
            allowed=self.names[workers - allowed :],
            **times_s,
        )
        self._advice = self.advice
        for instance in self.instances:
            instance.advice = self.advice
            instance.start()

    async def hand_in(self, job_id: str, *steps: Step) -> None:
        """Submit a job that needs advice."""
        await self.submit(job_id, *steps, policy=ADVISED, accepted_s=self.instances[0].now_s())

    def open_jobs(self) -> list[str]:
        """Return the accepted jobs that are not completed."""
        return [one for one in self.accepted if self.state(one) is not JobState.COMPLETED]


async def no_fault(_simulation: AdvisedSimulation) -> None:
    """Change nothing."""


async def silent_service(simulation: AdvisedSimulation) -> None:
    """Let requests time out for some seconds."""
    simulation.advice.is_silent = True
    await asyncio.sleep(5.0)
    simulation.advice.is_silent = False


async def changed_answers(simulation: AdvisedSimulation) -> None:
    """Allow another worker once all have been refused."""
    simulation.advice.allowed.clear()
    await asyncio.sleep(5.0)
    simulation.advice.allowed.add(simulation.names[len(simulation.names) // 2])


async def restarted_workers(simulation: AdvisedSimulation) -> None:
    """Start the allowed workers again under their ids while requests are under way."""
    for _ in range(40):
        for worker_id in simulation.advice.allowed:
            simulation.fleet.restart(worker_id)
        await asyncio.sleep(0.05)


class AdvisedJobsTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("one_more_than_a_request", 13, 1, {}, no_fault),
            ("a_quarter_of_a_pool", 15, 3, {}, no_fault),
            ("one_of_hundreds", 300, 1, {}, no_fault),
            ("slow_service", 10, 1, {"period_s": 0.3}, no_fault),
            ("slow_service_on_a_large_pool", 100, 1, {"period_s": 0.06}, no_fault),
            ("short_tickets", 30, 2, {"valid_s": 0.3}, no_fault),
            ("silent_service", 30, 2, {}, silent_service),
            ("changed_answers", 30, 0, {}, changed_answers),
            ("restarted_workers", 30, 2, {}, restarted_workers),
        ]
    )
    def test_a_job_runs_on_the_last_workers_that_are_asked_about(
        self,
        _name: str,
        workers: int,
        allowed: int,
        times_s: dict[str, float],
        faults: AdviceFaults,
    ) -> None:
        """Guards against an accepted job that never starts, since some workers are never asked."""

        async def scenario() -> None:
            simulation = AdvisedSimulation(workers=workers, allowed=allowed, **times_s)
            await asyncio.sleep(3.0)
            under_way = asyncio.create_task(faults(simulation))
            await simulation.hand_in("j", step(3), step(1, after=(0,)))
            await asyncio.sleep(FINISH_S)
            await under_way
            self.assertEqual([], simulation.open_jobs())
            await simulation.kill()
            self.assertEqual([], simulation.violations())

        run_scenario(scenario())

    def test_many_jobs_ask_in_turn(self) -> None:
        """Guards against requests that time out because many are sent at once."""

        async def scenario() -> None:
            simulation = AdvisedSimulation(workers=60, allowed=6)
            await asyncio.sleep(3.0)
            for number in range(20):
                await simulation.hand_in(f"{number}", step(1))
            await asyncio.sleep(FINISH_S)
            self.assertEqual([], simulation.open_jobs())
            counts = (simulation.advice.rejected_calls, simulation.advice.timed_out_calls)
            self.assertEqual((0, 0), counts)
            await simulation.kill()

        run_scenario(scenario())

    def test_jobs_without_an_allowed_worker_do_not_keep_others_from_asking(self) -> None:
        """Guards against a job that waits because earlier ones ask again and again in vain."""

        async def scenario() -> None:
            simulation = AdvisedSimulation(workers=60, allowed=1)
            await asyncio.sleep(3.0)
            for number in range(40):
                simulation.advice.allowed_of_job[f"vain-{number}"] = set()
                await simulation.hand_in(f"vain-{number}", step(1))
            await asyncio.sleep(5.0)
            await simulation.hand_in("j", step(1))
            await asyncio.sleep(FINISH_S)
            self.assertIs(JobState.COMPLETED, simulation.state("j"))
            await simulation.kill()

        run_scenario(scenario())

    def test_steps_that_end_while_they_ask_do_not_keep_others_from_asking(self) -> None:
        """Guards against jobs that never ask, since requests of cancelled ones count for good."""

        async def scenario() -> None:
            simulation = AdvisedSimulation(workers=20, allowed=1, period_s=0.05)
            await asyncio.sleep(3.0)
            for number in range(8):
                await simulation.hand_in(f"cancelled-{number}", step(1))
                await asyncio.sleep(0.3)
                await simulation.cancel(f"cancelled-{number}")
            await simulation.hand_in("j", step(1))
            await asyncio.sleep(FINISH_S)
            self.assertIs(JobState.COMPLETED, simulation.state("j"))
            await simulation.kill()

        run_scenario(scenario())

    def test_a_gang_needs_more_workers_than_a_request_names(self) -> None:
        """Guards against a gang that never starts since each answer replaces the one before."""

        async def scenario() -> None:
            simulation = AdvisedSimulation(workers=40, allowed=30)
            await asyncio.sleep(3.0)
            simulation.fleet.cpu_millicores["j"] = WORKER_MILLICORES
            await simulation.hand_in("j", step(30, is_gang=True, cpu_millicores=WORKER_MILLICORES))
            await asyncio.sleep(FINISH_S)
            self.assertEqual([], simulation.open_jobs())
            await simulation.kill()

        run_scenario(scenario())

    def test_room_elsewhere_is_used_while_the_permitted_workers_are_full(self) -> None:
        """Guards against a job that waits for full workers, with a permit, beside idle ones."""

        async def scenario() -> None:
            simulation = AdvisedSimulation(workers=40, allowed=40, valid_s=60.0)
            await asyncio.sleep(3.0)
            simulation.fleet.cpu_millicores["j"] = WORKER_MILLICORES
            simulation.fleet.work_s["j"] = 8.0
            await simulation.hand_in("j", step(40, cpu_millicores=WORKER_MILLICORES))
            await asyncio.sleep(FINISH_S)
            self.assertEqual([], simulation.open_jobs())
            await simulation.kill()

        run_scenario(scenario())

    @parameterized.expand([(seed,) for seed in range(1, 9)])
    def test_drawn_histories(self, seed: int) -> None:
        """Guards against lost jobs and second runs where few of many workers are allowed."""

        async def scenario() -> None:
            rng = random.Random(seed)
            workers = rng.choice((14, 40, 150))
            simulation = AdvisedSimulation(
                workers=workers,
                allowed=rng.randint(1, 3),
                seed=seed,
                valid_s=rng.choice((0.5, 2.0, 10.0)),
            )
            await asyncio.sleep(3.0)
            for number in range(12):
                await simulation.hand_in(f"{number}", step(rng.randint(1, 3)))
                await asyncio.sleep(rng.uniform(0, 1.0))
                event = rng.choice(("none", "restart", "kill", "silence", "add"))
                if event == "restart":
                    simulation.fleet.restart(rng.choice(simulation.names))
                elif event == "kill" and (scheduler := simulation.scheduler()) is not None:
                    await simulation.replace(scheduler)
                elif event == "silence":
                    simulation.advice.is_silent = True
                    await asyncio.sleep(rng.uniform(0, 2.0))
                    simulation.advice.is_silent = False
                elif event == "add":
                    simulation.fleet.add(view(f"added-{number}", service=SERVICE))
                    simulation.advice.allowed.add(f"added-{number}")
            await asyncio.sleep(FINISH_S)
            await simulation.kill()
            self.assertEqual([], simulation.violations())

        run_scenario(scenario())


class PlatformAdviceTests(unittest.TestCase):
    def test_few_calls_are_under_way_at_once(self) -> None:
        """Guards against calls that time out while the service handles others of this instance."""

        async def scenario() -> int:
            client = CountingClient()
            advice = PlatformAdvice(client=client)  # type: ignore[arg-type]
            asked = (advice.request_permits((f"{number}", 0, 0), ("w",)) for number in range(40))
            await asyncio.gather(*asked)
            return client.most_at_once

        self.assertEqual(4, run_scenario(scenario()))


class CountingClient:
    """An HTTP client whose calls take a second, and which counts those at the same time."""

    def __init__(self) -> None:
        self._under_way = self.most_at_once = 0

    async def call(self, _method: str, _path: str, **_options: object) -> HttpAnswer:
        self._under_way += 1
        self.most_at_once = max(self.most_at_once, self._under_way)
        await asyncio.sleep(1.0)
        self._under_way -= 1
        return HttpAnswer(status=200, body={"allowed": []})


if __name__ == "__main__":
    unittest.main()
