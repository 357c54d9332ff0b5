"""A short run of the soak: real processes, faults from outside, judged by callers and workers.

The long runs are played by hand (``python -m soak``); this one shows in CI that the whole path
serves through a kill, a stop and a store that fails, and that the soak itself works.
"""

import asyncio
import pathlib
import tempfile
import unittest

from soak._run import RunPlan, run_soak

SEED = 1


class SoakTests(unittest.TestCase):
    def test_a_short_run_keeps_the_promises(self) -> None:
        """Jobs are accepted and end, and nothing breaks, through faults drawn by a fixed seed."""
        plan = RunPlan(seed=SEED, jobs=25, fault_period_s=8.0, settle_s=60.0)
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(run_soak(plan, folder=pathlib.Path(folder)))
        self.assertEqual((), result.violations, result.timeline)
        self.assertGreater(result.accepted, 10)
        self.assertGreater(result.starts, result.accepted)


if __name__ == "__main__":
    unittest.main()
