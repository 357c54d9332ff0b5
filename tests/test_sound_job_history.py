"""Sound jobs are not given up through drawn histories of lost workers and schedulers.

More seeds are run by hand: ``python -m tests.sound_job_history 1 50``.
"""

import unittest

from parameterized import parameterized

from shallotworks.jobs import JobState
from tests.sound_job_history import run_history

SEEDS = (3, 6, 28, 46, 48)


class SoundJobHistoryTests(unittest.TestCase):
    @parameterized.expand([(f"seed_{seed}", seed) for seed in SEEDS])
    def test_no_sound_job_is_failed(self, _name: str, seed: int) -> None:
        """Guards against sound jobs that are shown as failed or never end (LOST)."""
        history = run_history(seed)
        self.assertEqual([], history.all_violations())
        self.assertIn(JobState.COMPLETED, history.states.values())
        self.assertTrue(history.fleet.crashes)
        self.assertTrue(history.fleet.failed_runs)
        self.assertGreater(history.disruptions, 5)


if __name__ == "__main__":
    unittest.main()
