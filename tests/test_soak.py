"""A short run of the soak: real processes and injected faults, checked by callers and workers.

Long runs are started manually (``python -m soak``). This one checks in CI that jobs are served
through a kill, a stop and a failing store, and that the soak itself works.
"""

import asyncio
import pathlib
import tempfile
import unittest

from soak._run import RunPlan, run_soak

SEED = 1


class SoakTests(unittest.TestCase):
    def test_short_run_has_no_violations(self) -> None:
        """Jobs are accepted and end without violations, with the faults of a fixed seed."""
        plan = RunPlan(seed=SEED, jobs=25, fault_period_s=8.0, settle_s=60.0)
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(run_soak(plan, folder=pathlib.Path(folder)))
        self.assertEqual((), result.violations, result.timeline)
        self.assertGreater(result.accepted, 10)
        self.assertGreater(result.starts, result.accepted)


if __name__ == "__main__":
    unittest.main()
