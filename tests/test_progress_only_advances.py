"""Drawn histories that check each write of a job's progress against the one before it."""

from __future__ import annotations

import asyncio
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import decode_progress
from shallotworks.standins import RecordStore
from shallotworks.store import Write
from tests.scheduling_simulation import SchedulingSimulation
from tests.virtual_clock import run_scenario


class ProgressCheckingStore(RecordStore):
    """A store that records each write which takes back what an earlier one says of a job."""

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.setbacks: list[str] = []

    def _write(self, write: Write, revision: int | None = None) -> None:
        earlier = self.items.get(write.key)
        if write.key.endswith(".progress") and earlier is not None:
            self._compare(write.key, earlier.value, write.value)
        super()._write(write, revision)

    def _compare(self, key: str, earlier: bytes, later: bytes) -> None:
        before, after = decode_progress(earlier), decode_progress(later)
        if any(bits & ~after.done.get(name, 0) for name, bits in before.done.items()):
            self.setbacks.append(f"{key}: a task is no longer done")
        if any(
            not set(runs) <= set(after.failures.get(name, ()))
            for name, runs in before.failures.items()
        ):
            self.setbacks.append(f"{key}: a failed run is no longer counted")


class ProgressTests(unittest.TestCase):
    @parameterized.expand([(seed,) for seed in range(10)])
    def test_no_scheduler_writes_over_what_it_has_not_read(self, seed: int) -> None:
        """Guards against a successor whose list of jobs is older than the store."""

        async def scenario() -> None:
            rng = random.Random(seed)
            store = ProgressCheckingStore(rng=rng)
            simulation = SchedulingSimulation(seed=seed, workers=4, instances=3, store=store)
            for instance in simulation.instances:
                instance.start()
            await asyncio.sleep(1.0)
            traffic = asyncio.create_task(simulation.run_jobs(60, 16.0))
            for _ in range(5):
                await asyncio.sleep(rng.uniform(0.5, 2.5))
                holder = simulation.scheduler()
                if holder is None:
                    continue
                holder.store.faults.late_ratio = rng.choice([0.4, 1.0])
                holder.store.faults.lost_ratio = rng.choice([0.0, 0.4])
                holder.store.faults.late_delay_s = rng.uniform(2.0, 4.0)
                await asyncio.sleep(rng.uniform(0.2, 1.0))
                await simulation.replace(holder)
                for worker_id in list(simulation.fleet.workers):
                    # What ended there is known from late writes only.
                    simulation.fleet.restart(worker_id)
            await traffic
            await asyncio.sleep(20.0)
            self.assertEqual([], store.setbacks)
            self.assertEqual([], simulation.violations())
            await simulation.kill()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
