"""Tests of failures within a turn: of the controller, of orders, lists and schedulers."""

from __future__ import annotations

import asyncio
import unittest

from parameterized import parameterized
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.scheduling import Machine, MachineOrderStatus, PoolSizer
from tests.scheduling_fakes import WALL_S, job, step
from tests.test_machine_controller import MOVE_S, MachineHarness
from tests.test_pool_returns import workers_of
from tests.test_pool_sizing import LIMITS, SizingHarness
from tests.virtual_clock import run_scenario


class ControllerReplacedTests(unittest.TestCase):
    def test_moves_of_a_dead_controller_count_for_its_successor(self) -> None:
        """Guards against a turn that gets its machines twice, which other queues then lack."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=10, spare=60)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("antenna", lacking=20)
            lease = await machine_harness.start()
            await asyncio.sleep(0.8)
            self.assertEqual(20, len(machine_harness.moves()))
            lease.mark_lost("killed")
            machine_harness.stop()
            await lease.release()
            await asyncio.sleep(0.4)
            await machine_harness.start()
            await asyncio.sleep(MOVE_S - 0.7)
            self.assertEqual(20, len(machine_harness.moves()))
            machine_harness.publish_demand("antenna")
            await asyncio.sleep(6)
            self.assertEqual(20, len(machine_harness.moves()))
            self.assertEqual(30, machine_harness.size("antenna"))
            machine_harness.stop()

        run_scenario(scenario())


class FailingPlatform:
    """Fails a controller's calls to the platform for some time, instead of passing them on."""

    def __init__(self, machine_harness: MachineHarness, *, until_s: float) -> None:
        self.platform = machine_harness.platform
        self.until_s = until_s
        self.attempts: list[tuple[float, str]] = []
        self.status = MachineOrderStatus.REFUSED
        self._move = self.platform.move
        self._list = self.platform.list
        self._listed: tuple[Machine, ...] = tuple(self.platform.machines.values())

    @property
    def is_failing(self) -> bool:
        """Whether calls fail at this moment."""
        return asyncio.get_running_loop().time() < self.until_s

    async def move(self, machine: str, *, pool: str, token: int) -> MachineOrderStatus:
        """Fail an order with `status`."""
        self.attempts.append((asyncio.get_running_loop().time(), machine))
        return self.status if self.is_failing else await self._move(machine, pool=pool, token=token)

    async def list_nothing(self) -> Result[tuple[Machine, ...], Failure]:
        """Fail to list the machines."""
        if not self.is_failing:
            return await self._list()
        return Err(Failure(kind=ErrorKind.UNREACHABLE, reason="machines: 503"))

    async def list_of_before(self) -> Result[tuple[Machine, ...], Failure]:
        """List the machines as they were at first."""
        return Success(self._listed) if self.is_failing else await self._list()


class OrderTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("refused_by_429", MachineOrderStatus.REFUSED, 0.1, 0.7),
            ("unanswered", MachineOrderStatus.UNANSWERED, 3.8, 4.6),
        ]
    )
    def test_an_order_that_failed_is_given_again(
        self, _name: str, status: MachineOrderStatus, after_s: float, before_s: float
    ) -> None:
        """Guards against a turn without machines, and against two machines for one request."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=10, spare=8)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("antenna", lacking=5)
            failing = FailingPlatform(machine_harness, until_s=0.5)
            failing.status = status
            machine_harness.platform.move = failing.move  # type: ignore[method-assign]
            await machine_harness.start()
            for _ in range(80):
                at_work = len(workers_of(machine_harness, "antenna"))
                machine_harness.publish_demand("antenna", lacking=max(0, 15 - at_work))
                await asyncio.sleep(0.1)
            first_s = failing.attempts[0][0]
            again = [at_s - first_s for at_s, _ in failing.attempts if at_s > first_s + 0.01]
            self.assertTrue(after_s <= min(again) <= before_s, again)
            self.assertEqual(15, machine_harness.size("antenna"))
            machine_harness.stop()

        run_scenario(scenario())


class ListTests(unittest.TestCase):
    def test_nothing_is_ordered_by_a_list_that_cant_be_read(self) -> None:
        """Guards against orders for machines whose state is unknown."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=10, spare=8)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("antenna", lacking=5)
            failing = FailingPlatform(machine_harness, until_s=2.0)
            machine_harness.platform.list = failing.list_nothing  # type: ignore[method-assign]
            await machine_harness.start()
            await asyncio.sleep(1.9)
            self.assertEqual([], machine_harness.moves())
            await asyncio.sleep(0.6)
            self.assertEqual(5, len(machine_harness.moves()))
            machine_harness.stop()

        run_scenario(scenario())

    def test_an_old_list_orders_no_machine_twice(self) -> None:
        """Guards against further orders while the list shows the machines where they were."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=10, spare=20)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("antenna", lacking=5)
            failing = FailingPlatform(machine_harness, until_s=3.5)
            machine_harness.platform.list = failing.list_of_before  # type: ignore[method-assign]
            await machine_harness.start()
            await asyncio.sleep(3.4)
            self.assertEqual(5, len(machine_harness.moves()))
            machine_harness.stop()

        run_scenario(scenario())


class DataCentreTests(unittest.TestCase):
    def test_a_pool_requests_machines_for_those_that_are_cut_off(self) -> None:
        """Guards against a turn that fails while half of its pool is in a cut-off data centre."""
        harness = SizingHarness(*(f"w{number}" for number in range(6)))
        for number in range(8):
            harness.add_arrival(f"j{number}", at_s=number * 0.1, count=6)
        before = harness.assess(after_s=0.75).lacking
        for number in range(3):
            harness.worker(f"w{number}").is_listed = False
        self.assertEqual(before + 3, harness.assess(after_s=0.75).lacking)


class SchedulerReplacedTests(unittest.TestCase):
    def test_a_new_scheduler_requests_machines_for_the_jobs_that_it_reads(self) -> None:
        """Guards against a turn without machines after its scheduler was replaced."""
        harness = SizingHarness("a", "b")
        for number in range(8):
            inherited = job(f"j{number}", step(4), accepted_s=WALL_S)
            harness.add_job(inherited, is_inherited=True)
        sizer = PoolSizer(scheduler_state=harness.scheduler_state, limits=LIMITS)
        demand = sizer.assess(frozenset(), now_s=harness.now_s, wall_s=WALL_S)
        self.assertGreaterEqual(demand.lacking, (32 - 8) // 4)
        self.assertEqual(harness.scheduler_state.token, demand.token)


if __name__ == "__main__":
    unittest.main()
