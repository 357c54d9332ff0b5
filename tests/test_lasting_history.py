"""Lasting tasks keep the rules through drawn histories with a full pool.

More seeds and longer histories are run by hand: ``python -m tests.lasting_history 1 50``.
"""

import unittest

from tests.lasting_history import run_history

SEEDS = (1,)
DURATION_S = 40.0


class LastingHistoryTests(unittest.TestCase):
    def test_lasting_tasks_are_back_in_time(self) -> None:
        """A lasting task is not restarted in time, runs twice, or is stopped beyond its budget.

        Workers leave, are lost or are cut off, the store is away and schedulers change, while short
        jobs fill the pool and the configuration changes.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = run_history(seed, duration_s=DURATION_S)
                self.assertEqual([], history.all_violations())
                self.assertGreater(history.configuration_changes, 100)
                self.assertGreater(history.disruptions, 0)
                self.assertGreater(history.fleet.started, 500)


if __name__ == "__main__":
    unittest.main()
