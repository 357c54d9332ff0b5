"""Entry instances of two releases that schedule one service in turn during an upgrade."""

import asyncio
import unittest
from unittest import mock

from shallotworks.jobs import JobState
from shallotworks.scheduling._epoch_numbers import NUMBERS_PER_EPOCH, EpochNumbers
from tests.scheduling_fakes import step
from tests.scheduling_simulation import SchedulingSimulation
from tests.virtual_clock import run_scenario

EARLIER_JOB, LATER_JOB = "0" * 16, "1" * 16


class EarlierReleaseNumbers(EpochNumbers):
    """Numbers of the release before, whose orders carry the epoch's fencing token itself."""

    def next_order_token(self) -> int:
        return self.before_first // NUMBERS_PER_EPOCH


class UpgradeTests(unittest.TestCase):
    def test_an_earlier_release_takes_a_service_over(self) -> None:
        """Guards against a service that stands still, as workers fence the earlier release."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=2, instances=1)
            (present,) = simulation.instances
            present.start()
            await asyncio.sleep(1.0)
            await simulation.submit(EARLIER_JOB, step(2, estimated_s=0.8))
            await asyncio.sleep(5.0)
            self.assertIs(JobState.COMPLETED, simulation.state(EARLIER_JOB))
            with mock.patch(
                "shallotworks.scheduling._scheduler_state.EpochNumbers", EarlierReleaseNumbers
            ):
                await simulation.replace(present)
                await simulation.submit(LATER_JOB, step(2, estimated_s=0.8))
                await asyncio.sleep(30.0)
                self.assertIs(JobState.COMPLETED, simulation.state(LATER_JOB))
            await simulation.kill()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
