"""Tests of what pools keep between turns, and when their idle machines go to the standby pool."""

import unittest

from parameterized import parameterized

from shallotworks.scheduling.machines._pool_reserve import PoolReserve, ReserveLimits

LIMITS = ReserveLimits(
    min_kept_machines=16,
    kept_home_fraction=0.5,
    idle_s=2.0,
    idle_after_turn_s=1.0,
    turn_home_fraction=0.25,
    after_turn_s=10.0,
)


class KeptMachinesTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("empty", 0, True, 0),
            ("small", 8, True, 8),
            ("at_the_floor", 16, True, 16),
            ("just_above_the_floor", 20, True, 16),
            ("large", 40, True, 20),
            ("large_odd", 43, True, 22),
            ("without_standby", 40, False, 40),
        ]
    )
    def test_a_large_pool_keeps_a_fraction_and_a_small_one_all(
        self, _name: str, home_size: int, has_standby: bool, expected: int
    ) -> None:
        """Guards against small pools that begin their turn with a machine or two."""
        reserve = PoolReserve(limits=LIMITS)
        self.assertEqual(expected, reserve.kept_machines(home_size, has_standby=has_standby))


class IdleTimeTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("no_turn_yet", None, 20.0, 2.0),
            ("turn_just_ended", 9, 22.0, 1.0),
            ("turn_long_over", 9, 31.0, 2.0),
            ("a_few_machines_are_no_turn", 8, 22.0, 2.0),
        ]
    )
    def test_a_pool_gives_back_sooner_after_its_own_turn(
        self, _name: str, lacking: int | None, now_s: float, expected_s: float
    ) -> None:
        """A pool that has not had its turn lately keeps idle machines for longer."""
        reserve = PoolReserve(limits=LIMITS)
        if lacking is not None:
            reserve.note_demands({"antenna": lacking}, {"antenna": 36}, 20.0)
        reserve.note_demands({"antenna": 0}, {"antenna": 36}, 21.0)
        self.assertEqual(expected_s, reserve.idle_before_standby_s("antenna", now_s))


if __name__ == "__main__":
    unittest.main()
