"""Tests of who gets machines when two queues are short at once, on a computed load."""

from __future__ import annotations

import asyncio
import unittest

from parameterized import parameterized

from tests.test_machine_controller import MachineHarness
from tests.virtual_clock import run_scenario

TURN_S = 5.0
ARRIVAL_S = 2.0
IN_TIME_S = 0.6
TICK_S = 0.05


def shares_in_turn(lacking: tuple[int, int], available: int) -> tuple[int, int]:
    """Return shares that are given in turn, until a queue lacks none: what the controller does."""
    first = min(lacking[0], max(available - lacking[1], -(-available // 2)))
    return first, min(lacking[1], available - first)


def shares_by_lack(lacking: tuple[int, int], available: int) -> tuple[int, int]:
    """Return shares in proportion to what each queue lacks."""
    first = min(lacking[0], round(available * lacking[0] / sum(lacking)))
    return first, min(lacking[1], available - first)


def work_in_time(home: int, lacking: int, granted: int) -> float:
    """Return the machine-seconds of a turn's work that begin in time; late work goes last."""
    waiting: list[list[float]] = []
    in_time, now_s = 0.0, 0.0
    while now_s < TURN_S + IN_TIME_S:
        if now_s < TURN_S:
            waiting.append([now_s, (home + lacking) * TICK_S])
        capacity = (home + (granted if now_s >= ARRIVAL_S else 0)) * TICK_S
        for entry in [one for one in waiting if now_s - one[0] <= IN_TIME_S]:
            used = min(capacity, entry[1])
            entry[1] -= used
            capacity -= used
            in_time += used
        now_s += TICK_S
    return in_time


class SharesTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("large_and_small", (40, 10), 20),
            ("both_large", (60, 20), 28),
            ("equal", (60, 60), 28),
            ("small_one_nearly_served", (30, 5), 28),
        ]
    )
    def test_shares_by_lack_bring_no_more_work_in_time(
        self, _name: str, lacking: tuple[int, int], available: int
    ) -> None:
        """Shares in turn serve the smaller queue better, at no loss over both queues."""
        in_turn, by_lack = (
            sum(work_in_time(20, one, got) for one, got in zip(lacking, granted, strict=True))
            for granted in (shares_in_turn(lacking, available), shares_by_lack(lacking, available))
        )
        self.assertLessEqual(by_lack / in_turn, 1.02)

    def test_machines_are_given_in_turn(self) -> None:
        """Guards against a queue that gets nothing while another one lacks many machines."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=20, coverage=20, spare=20)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("antenna", lacking=40)
            machine_harness.publish_demand("coverage", lacking=10)
            await machine_harness.start()
            await asyncio.sleep(1.0)
            pools = [order for order, _, _ in machine_harness.moves()]
            self.assertEqual((10, 10), (pools.count("move antenna"), pools.count("move coverage")))
            machine_harness.stop()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
