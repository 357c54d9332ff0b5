"""Tests of `PoolRebalancer`: which idle machines go to the standby pool between turns."""

from __future__ import annotations

import asyncio
import io
import json
import unittest
from typing import Any

from parameterized import parameterized

from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.scheduling import PoolDemand, pool_demand_key
from tests.test_machine_controller import MOVE_S, MachineHarness
from tests.virtual_clock import run_scenario

IDLE_S = 40.0
"""Long enough for a pool that has had no turn to return its idle machines."""


def publish_offer(machine_harness: MachineHarness, service: str, workers: list[str]) -> None:
    """Publish a demand that offers some workers."""
    demand = PoolDemand(free=tuple(workers))
    machine_harness.store.put(pool_demand_key(service), demand.encode())


def workers_of(machine_harness: MachineHarness, service: str) -> list[str]:
    """Return the workers of a pool."""
    machines = machine_harness.platform.machines.values()
    return [one.worker_id for one in machines if one.pool == service and one.worker_id]


def written_log() -> tuple[StructuredLog, io.BytesIO]:
    """Return a log, and what it writes when it is flushed."""
    written = io.BytesIO()
    return StructuredLog(process="test", write=written.write), written


def events(written: io.BytesIO, name: str) -> list[dict[str, Any]]:
    """Return the lines of one event."""
    lines = [json.loads(line) for line in written.getvalue().splitlines()]
    return [line for line in lines if line["event"] == name]


class HomeMachinesTests(unittest.TestCase):
    @parameterized.expand([("large", 40, 20), ("at_the_floor", 16, 16), ("small", 8, 8)])
    def test_idle_machines_of_a_large_pool_go_to_standby(
        self, _name: str, home_size: int, kept: int
    ) -> None:
        """Guards against paying for the whole pool of a queue between its turns."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=home_size, spare=2)
            machine_harness.publish_demand("antenna", free=True)
            await machine_harness.start()
            await asyncio.sleep(IDLE_S)
            self.assertEqual(kept, machine_harness.size("antenna"))
            self.assertEqual(home_size - kept, len(machine_harness.moves()))
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_pool_returns_its_machines_soon_after_its_turn(self) -> None:
        """Guards against paying for idle machines once the queue's turn is over."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=40, spare=20)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("antenna", lacking=10)
            await machine_harness.start()
            await asyncio.sleep(3.0)
            machine_harness.publish_demand("antenna", free=True)
            await asyncio.sleep(5.0)
            self.assertEqual(20, machine_harness.size("antenna"))
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_pool_before_its_first_turn_keeps_its_machines_for_longer(self) -> None:
        """Guards against a first turn that begins with half of its pool."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=40, spare=20)
            machine_harness.publish_demand("antenna", free=True)
            await machine_harness.start()
            await asyncio.sleep(25.0)
            self.assertEqual(40, machine_harness.size("antenna"))
            machine_harness.stop()

        run_scenario(scenario())

    def test_idle_machines_stay_where_there_is_no_standby_pool(self) -> None:
        """Machines stay in their pools where the configuration has no standby service."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=40, coverage=40)
            machine_harness.has_standby = False
            machine_harness.publish_demand("antenna", free=True)
            machine_harness.publish_demand("coverage", free=True)
            await machine_harness.start()
            await asyncio.sleep(IDLE_S)
            self.assertEqual([], machine_harness.moves())
            machine_harness.stop()

        run_scenario(scenario())

    def test_machines_that_are_not_offered_stay(self) -> None:
        """Guards against lasting tasks that end because their machine went to standby.

        30 of 40 workers run lasting tasks and are not offered.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=40, spare=2)
            offered = workers_of(machine_harness, "antenna")[:10]
            publish_offer(machine_harness, "antenna", offered)
            await machine_harness.start()
            await asyncio.sleep(IDLE_S)
            self.assertEqual(30, machine_harness.size("antenna"))
            self.assertEqual(set(), set(offered) & set(workers_of(machine_harness, "antenna")))
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_pool_below_its_home_size_is_refilled_by_its_demand_only(self) -> None:
        """Guards against machines that go back and forth between a pool and the standby pool."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=40, coverage=20, spare=2)
            machine_harness.publish_demand("antenna", free=True)
            await machine_harness.start()
            await asyncio.sleep(IDLE_S)
            self.assertEqual(20, machine_harness.size("antenna"))
            machine_harness.publish_demand("coverage", lacking=12)
            await asyncio.sleep(3)
            machine_harness.publish_demand("coverage", free=True)
            await asyncio.sleep(8)
            self.assertEqual(20, machine_harness.size("antenna"))
            self.assertEqual(16, machine_harness.size("coverage"))
            machine_harness.publish_demand("antenna", lacking=15)
            await asyncio.sleep(MOVE_S)
            self.assertEqual(35, machine_harness.size("antenna"))
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_pool_that_lacks_machines_returns_none(self) -> None:
        """Guards against a machine that goes to standby and comes back within its travel time."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=40, spare=0)
            offered = tuple(workers_of(machine_harness, "antenna")[:10])
            demand = PoolDemand(lacking=5, free=offered)
            machine_harness.store.put(pool_demand_key("antenna"), demand.encode())
            await machine_harness.start()
            await asyncio.sleep(8)
            self.assertEqual([], machine_harness.moves())
            machine_harness.stop()

        run_scenario(scenario())


class ReportTests(unittest.TestCase):
    def test_returns_are_logged_once_and_idle_machines_are_counted(self) -> None:
        """Operators see what went to standby and why, and what stands idle in the pools."""

        async def scenario() -> None:
            log, written = written_log()
            metrics = Metrics()
            machine_harness = MachineHarness(antenna=40, spare=2)
            machine_harness.log, machine_harness.metrics = log, metrics
            machine_harness.publish_demand("antenna", free=True)
            await machine_harness.start()
            await asyncio.sleep(IDLE_S)
            log.flush()
            returned = events(written, "machines-returned")
            self.assertEqual(20, sum(line["machines"] for line in returned))
            self.assertEqual({"between-turns"}, {line["reason"] for line in returned})
            self.assertEqual(20, returned[-1]["left"])
            self.assertLessEqual(len(returned), 2)
            counters = metrics.counters()
            self.assertEqual(20, counters["pools.returned.between-turns.antenna"])
            self.assertGreater(counters["pools.idle-ms.kept.antenna"], 20 * 5000)
            machine_harness.stop()

        run_scenario(scenario())

    def test_orders_that_are_held_back_are_logged_once_a_second(self) -> None:
        """Guards against seconds without orders that no line of the log explains."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2, spare=3)
            machine_harness.log, written = written_log()
            machine_harness.publish_demand("antenna", lacking=3)
            await machine_harness.start()
            await asyncio.sleep(4.0)
            machine_harness.log.flush()
            held_back = events(written, "orders-held-back")
            self.assertIn(len(held_back), (3, 4))
            self.assertEqual(3, held_back[0]["machines"])
            machine_harness.stop()

        run_scenario(scenario())


class HeldRequestTests(unittest.TestCase):
    def test_a_request_that_holds_is_ordered_once(self) -> None:
        """Guards against machines ordered twice: on their way, and arrived but not yet counted.

        The scheduler wants 30 machines in all and counts each 0.4 s after its arrival.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=10, spare=60)
            machine_harness.store_predecessor_record()
            await machine_harness.start()
            counted = [10] * 5
            for _ in range(60):
                machine_harness.publish_demand("antenna", lacking=max(0, 30 - counted[-5]))
                await asyncio.sleep(0.1)
                counted.append(len(workers_of(machine_harness, "antenna")))
            self.assertEqual(20, len(machine_harness.moves()))
            self.assertEqual(30, machine_harness.size("antenna"))
            machine_harness.stop()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
