"""Sound jobs whose runs are lost, or seem lost, although no task of them crashes a worker.

Such a job must not be shown as failed, however often that happens.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable

from parameterized import parameterized

from shallotworks.jobs import JobState
from tests import unproven_losses as ways
from tests.unproven_losses import Epoch

LOSSES = 6
"""Losses of the task's worker, none of which the task caused."""

REPEATED_WAYS = (
    (ways.cut_off_and_unlisted, (True, False)),
    (ways.start_lost_and_unlisted, (True, False)),
    (ways.start_lost_and_replaced, (True, False)),
    (ways.takeover_with_young_list, (True, False)),
    (ways.takeover_with_incomplete_list, (True, False)),
    (ways.reset_then_replaced, (True,)),
    (ways.reset_then_taken_over_then_replaced, (True,)),
    (ways.adopted_then_reset_then_replaced, (True,)),
    (ways.adopted_then_replaced, (True,)),
    (ways.adopted_then_cut_off, (True,)),
    (ways.drained_between_epochs, (True, False)),
    (ways.power_cut_of_workers, (True, False)),
    (ways.silent_power_cut_of_workers, (True, False)),
    (ways.power_cut_of_all, (True, False)),
    (ways.power_cut_before_the_start_is_received, (True, False)),
)
"""Each way with the kinds of jobs that it concerns: lasting ones, ending ones, or both."""

MIXED_WAYS = (
    ("reset_then_power_cut", True, (ways.reset_then_replaced, ways.power_cut_of_workers)),
    ("reset_then_cut_off", True, (ways.reset_then_replaced, ways.cut_off_and_unlisted)),
    ("reset_then_power_cut_of_all", True, (ways.reset_then_replaced, ways.power_cut_of_all)),
    (
        "copies_then_power_cut",
        False,
        (ways.copy_and_original_lost_at_once, ways.power_cut_of_workers),
    ),
)
"""Ways of which the first is taken once and the second for all other losses."""


class LossWithoutProofTests(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{lose.__name__}_{'lasting' if is_lasting else 'ending'}", is_lasting, lose)
            for lose, kinds in REPEATED_WAYS
            for is_lasting in kinds
        ]
    )
    def test_a_way_that_repeats_fails_no_job(
        self, _name: str, is_lasting: bool, lose: Callable[[Epoch], Epoch]
    ) -> None:
        """Guards against a job shown as failed although no task of it crashed a worker (LOST)."""
        self._check(is_lasting, [lose] * LOSSES)

    @parameterized.expand(MIXED_WAYS)
    def test_two_ways_together_fail_no_job(
        self, _name: str, is_lasting: bool, two: tuple[Callable[[Epoch], Epoch], ...]
    ) -> None:
        """Guards against a job shown as failed for losses of which each has another cause."""
        first, other = two
        self._check(is_lasting, [first, *[other] * (LOSSES - 1)])

    def _check(self, is_lasting: bool, losses: list[Callable[[Epoch], Epoch]]) -> None:
        epoch = Epoch(ways.lasting_job() if is_lasting else ways.ending_job())
        for number, lose in enumerate(losses, 1):
            epoch = lose(epoch)
            epoch.now_s += 1.0
            epoch.decide()
            self.assertIsNot(JobState.FAILED, epoch.state, f"loss {number}: {epoch.losses()}")


if __name__ == "__main__":
    unittest.main()
