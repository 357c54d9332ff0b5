"""Tests of what pools keep between turns, and when their idle machines go to the standby pool."""

import unittest

from parameterized import parameterized

from shallotworks.scheduling.machines._pool_reserve import PoolReserve, ReserveLimits

LIMITS = ReserveLimits(
    min_kept_machines=16,
    kept_home_fraction=0.5,
    borrowed_idle_s=2.0,
    idle_after_turn_s=1.0,
    idle_before_turn_s=30.0,
    turn_home_fraction=0.25,
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
            ("no_turn_yet", 0, False, 30.0),
            ("a_few_machines_are_no_turn", 8, False, 30.0),
            ("after_a_turn", 9, False, 1.0),
            ("borrowed_before_a_turn", 0, True, 2.0),
            ("borrowed_after_a_turn", 9, True, 2.0),
        ]
    )
    def test_a_pool_gives_back_sooner_after_its_own_turn(
        self, _name: str, lacking: int, is_borrowed: bool, expected_s: float
    ) -> None:
        """Guards against a first turn that begins with half of its pool."""
        reserve = PoolReserve(limits=LIMITS)
        reserve.note_demands({"antenna": lacking}, {"antenna": 36})
        reserve.note_demands({"antenna": 0}, {"antenna": 36})
        idle_s = reserve.idle_before_standby_s("antenna", is_borrowed=is_borrowed)
        self.assertEqual(expected_s, idle_s)


if __name__ == "__main__":
    unittest.main()
