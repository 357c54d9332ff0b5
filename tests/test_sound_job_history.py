"""Sound jobs are not given up through drawn histories of lost workers and schedulers.

More seeds are run by hand: ``python -m tests.sound_job_history 1 50``.
"""

import unittest

from parameterized import parameterized

from shallotworks.jobs import JobState
from tests.sound_job_history import run_history

SEEDS = (
    ("store_outages_and_lost_answers", 1),
    ("power_cut_and_lost_answers", 4),
    ("store_outages", 34),
    ("power_cut", 46),
    ("failed_after_losses_before_an_outage", 14),
    ("failed_after_three_losses", 17),
    ("crashed_workers_that_are_not_back", 6),
    ("last_in_line_after_one_crash", 23),
    ("gang_last_in_line_after_one_crash", 49),
)
"""Histories of which the last five have shown a fault."""


class SoundJobHistoryTests(unittest.TestCase):
    @parameterized.expand(SEEDS)
    def test_no_sound_job_is_failed(self, _name: str, seed: int) -> None:
        """Guards against sound jobs that are failed or wait without end, and endless crashes."""
        history = run_history(seed)
        self.assertEqual([], history.all_violations())
        self.assertIn(JobState.COMPLETED, history.states.values())
        self.assertTrue(history.fleet.crashes)
        self.assertTrue(history.fleet.failed_runs)
        self.assertGreater(history.disruptions, 5)


if __name__ == "__main__":
    unittest.main()
