"""Lasting tasks run again soon after a second outage of the store, while configurations change."""

import asyncio
import itertools
import json
import unittest

from parameterized import parameterized

from shallotworks.metrics import Metrics
from shallotworks.platform._configuration import (
    CONFIGURATION_KEY,
    OPERATORS_PREFIX,
    Configuration,
    OperatorRecords,
)
from shallotworks.scheduling import OrderTimes
from shallotworks.scheduling._model import MAX_CLOCK_SKEW_RATIO
from shallotworks.store import PrefixWatcher
from tests.lasting_task_simulation import LastingInstance, LastingTaskSimulation, lasting_step
from tests.scheduling_fakes import quiet_log
from tests.scheduling_simulation import SERVICE
from tests.virtual_clock import run_scenario

JOB = "00000000000000a1"
TASKS = 3
SETTLE_S = 6.0
FIRST_OUTAGES_S = (5.8, 7.0)
"""Both end all epochs; tasks run on through the first one, and lapse in the second."""
LEAVE_AFTER_FIRST_OUTAGE_S = 2.5
BETWEEN_OUTAGES_S = 12.2
SECOND_OUTAGE_S = 10.1
LEAVE_AFTER_SECOND_OUTAGE_S = 3.0
MAX_MISSED_S = 4.0
"""Longest time without all tasks from the store's return on: instances bid within 2 s, and the one
that wins polls all workers at once. The users' rules allow 9 s: 3 s until the store counts as
stable, and 6 s from then on."""
OBSERVATION_S = 15.0
CHANGE_INTERVAL_S = 2.0
SAMPLE_S = 0.05
SEEDS = (1, 2, 3)

VARIANTS = (
    ("silent", True, False),
    ("silent_entries_lost", True, True),
    ("refusing", False, False),
    ("refusing_entries_lost", False, True),
)


def encode_configuration(version: int, services: tuple[str, ...] = (SERVICE,)) -> bytes:
    """Return a configuration; every second one has another route and another timeout."""
    routes = [
        {
            "name": f"sweeps{number}",
            "host": "h",
            "prefix": f"/q{number}/",
            "service": SERVICE,
            "timeoutMs": 2000 + 100 * (version % 5),
        }
        for number in range(1 + version % 2)
    ]
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [{"name": name, "standby": False} for name in services],
        }
    ).encode()


def follow_configuration(instance: LastingInstance) -> asyncio.Task[None]:
    """Let an instance bid for the services of the configuration in the store."""

    def apply(configuration: Configuration) -> None:
        instance.elector.set_services(set(configuration.services))

    watcher = PrefixWatcher(
        store=instance.store,
        prefix=OPERATORS_PREFIX,
        listener=OperatorRecords(on_configuration=apply, log=quiet_log(), metrics=Metrics()),
        log=quiet_log(),
    )
    return asyncio.create_task(watcher.run())


class SecondOutageScenario:
    """Two outages of the store that end all epochs, and workers that leave after each.

    Args:
        seed: Seed of the simulation.
        is_silent: The store gives no answer during the outages; else it refuses calls.
        are_entries_lost: Workers register again after each outage.
        first_outage_s: Duration of the first outage.
    """

    def __init__(
        self, *, seed: int, is_silent: bool, are_entries_lost: bool, first_outage_s: float
    ) -> None:
        self.simulation = LastingTaskSimulation(seed=seed, workers=7, instances=4)
        self._first_outage_s = first_outage_s
        self._outage = {"is_silent": is_silent, "are_entries_lost": are_entries_lost}
        self._tasks: list[asyncio.Task[None]] = []
        self.missed_s = 0.0
        """Longest time without all tasks, from the end of the second outage on."""
        self.longest_run_s: list[float] = []
        """How long the last task ran on after each outage began."""

    async def run(self) -> None:
        """Run the scenario to its end."""
        simulation = self.simulation
        simulation.start()
        self._tasks += [follow_configuration(one) for one in simulation.instances]
        self._tasks.append(asyncio.create_task(self._change_configuration()))
        await simulation.submit(JOB, lasting_step(TASKS))
        await asyncio.sleep(SETTLE_S)
        await self._outage_for(self._first_outage_s)
        await asyncio.sleep(LEAVE_AFTER_FIRST_OUTAGE_S)
        leaving = self._worker(is_used=True)
        self._tasks.append(asyncio.create_task(simulation.retire_worker(leaving)))
        await asyncio.sleep(BETWEEN_OUTAGES_S - LEAVE_AFTER_FIRST_OUTAGE_S)
        await self._outage_for(SECOND_OUTAGE_S)
        self._tasks.append(asyncio.create_task(self._retire_idle_later()))
        await self._measure(OBSERVATION_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await simulation.close()

    async def _retire_idle_later(self) -> None:
        await asyncio.sleep(LEAVE_AFTER_SECOND_OUTAGE_S)
        await self.simulation.retire_worker(self._worker(is_used=False))

    async def _outage_for(self, for_s: float) -> None:
        began_s = asyncio.get_running_loop().time()
        outage = asyncio.create_task(self.simulation.store_outage(for_s, **self._outage))
        last_s = began_s
        while not outage.done():
            await asyncio.sleep(SAMPLE_S)
            if self._count_running():
                last_s = asyncio.get_running_loop().time()
        self.longest_run_s.append(last_s - began_s)

    async def _measure(self, for_s: float) -> None:
        for _ in range(int(for_s / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            self.missed_s += SAMPLE_S * (self._count_running() < TASKS)

    def _count_running(self) -> int:
        alive = [one for one in self.simulation.fleet.workers.values() if one.is_alive]
        for worker in alive:
            worker.end_due_runs()
        return sum(len(worker.names()) for worker in alive)

    def _worker(self, *, is_used: bool) -> str:
        for worker_id, worker in self.simulation.fleet.workers.items():
            if worker.is_alive and not worker.view.is_draining and bool(worker.names()) == is_used:
                return worker_id
        raise LookupError("no such worker")

    async def _change_configuration(self) -> None:
        version = 1
        while True:
            await self.simulation.wait_store_up()
            version += 3
            self.simulation.store.put(CONFIGURATION_KEY, encode_configuration(version))
            await asyncio.sleep(CHANGE_INTERVAL_S)


class SecondOutageTests(unittest.TestCase):
    @parameterized.expand(VARIANTS)
    def test_tasks_run_again(self, _name: str, is_silent: bool, are_entries_lost: bool) -> None:
        """Lasting tasks did not run for 15 s after a second outage, though workers were idle.

        A worker had left between the outages, and another one left after the second.
        """
        # Nothing outlives the last renewal of the scheduler's lease by more than this.
        horizon_s = OrderTimes().lease_horizon_s * (1 + MAX_CLOCK_SKEW_RATIO) + 2 * SAMPLE_S
        for seed, first_outage_s in itertools.product(SEEDS, FIRST_OUTAGES_S):
            with self.subTest(seed=seed, first_outage_s=first_outage_s):
                scenario = SecondOutageScenario(
                    seed=seed,
                    is_silent=is_silent,
                    are_entries_lost=are_entries_lost,
                    first_outage_s=first_outage_s,
                )
                run_scenario(scenario.run())
                self.assertLess(max(scenario.longest_run_s), horizon_s)
                self.assertLessEqual(scenario.missed_s, MAX_MISSED_S)
                self.assertEqual([], scenario.simulation.all_violations())


if __name__ == "__main__":
    unittest.main()
