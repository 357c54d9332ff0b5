"""A scheduler reckons with the longer leases that one of an earlier release has granted."""

import asyncio
import json
import unittest
from unittest import mock

from parameterized import parameterized

from shallotworks.scheduling import OrderTimes
from shallotworks.scheduling._active_workers import ActiveWorkersRecord
from shallotworks.standins import _task_workers
from tests import lasting_task_simulation
from tests.lasting_task_simulation import LastingTaskSimulation, lasting_step
from tests.virtual_clock import run_scenario

JOB = "00000000000000a1"
SETTLE_S = 4.0
LONGEST_LEASE_S = 10.0
EARLIER_LEASE_S = 25 / 3
OBSERVATION_S = 14.0


class EarlierReleaseTests(unittest.TestCase):
    @parameterized.expand([("stopped",), ("killed",), ("answered",)])
    def test_no_task_runs_twice_beside_a_longer_lease(self, end: str) -> None:
        """A task runs twice after an upgrade, beside a worker that is cut off under a longer lease.

        The successor waits for the leases that it grants itself.
        """
        epochs: list[OrderTimes] = []

        def times() -> OrderTimes:
            is_first = not epochs
            earlier = OrderTimes(lease_s=EARLIER_LEASE_S)
            epochs.append(earlier if is_first else OrderTimes.within(LONGEST_LEASE_S))
            return epochs[-1]

        with (
            mock.patch.object(lasting_task_simulation, "OrderTimes", times),
            mock.patch.object(_task_workers, "MAX_LEASE_S", LONGEST_LEASE_S),
        ):
            self.assertEqual([], run_scenario(_violations(end)))

    def test_an_earlier_record_counts_as_one_of_the_longest_leases(self) -> None:
        """A record that says nothing of its leases counts as one of this release."""
        row = {"address": "127.0.0.1:1", "left_s": None}
        active = ActiveWorkersRecord.decode(json.dumps({"a": row}).encode())
        self.assertIsNone(active["a"].lease_s)
        times = OrderTimes.within(LONGEST_LEASE_S)
        self.assertAlmostEqual(EARLIER_LEASE_S, times.earlier_lease_s)
        self.assertGreater(times.recovery_after_s(times.earlier_lease_s), LONGEST_LEASE_S)


async def _violations(end: str) -> list[str]:
    simulation = LastingTaskSimulation(seed=1, workers=4)
    simulation.start()
    await simulation.submit(JOB, lasting_step(2))
    await asyncio.sleep(SETTLE_S)
    worker_id = next(key for key, one in simulation.fleet.workers.items() if one.names())
    if end != "answered":
        simulation.fleet.isolated.add(worker_id)
    await (simulation.stop_scheduler() if end == "stopped" else simulation.kill_scheduler())
    if end == "answered":
        while not any(" recovery-over " in line for line in simulation.lines):
            await asyncio.sleep(0.01)
        simulation.fleet.isolated.add(worker_id)
    await asyncio.sleep(OBSERVATION_S)
    await simulation.close()
    return list(simulation.fleet.violations)


if __name__ == "__main__":
    unittest.main()
