"""Tests of orders and leases, on the stand-ins."""

import asyncio
import unittest

from tests.fleet_history import History
from tests.on_loop import run_story
from tests.scheduling_fakes import step


class SilentWorkerTests(unittest.TestCase):
    def test_tasks_of_a_worker_that_died_silently_run_again(self) -> None:
        """A job that never ends after a worker lost power.

        The worker runs a task and dies without a word. Each look at it is not answered, and might
        have extended its lease, so the task was held to be alive as long as looks were sent. It
        must run elsewhere once the lease that was surely granted has run out.
        """

        async def story() -> None:
            history = History(seed=1, workers=2, instances=1)
            history.fleet.work_s["0000000000000001"] = 3.0
            history.instances[0].start()
            await asyncio.sleep(1.0)
            await history.submit("0000000000000001", step(1))
            await asyncio.sleep(1.5)
            busy = next(one for one in history.fleet.workers.values() if one.names())
            busy.crash()
            await asyncio.sleep(8.0)
            others = [one for one in history.fleet.workers.values() if one is not busy]
            self.assertTrue(any(one.names() for one in others))
            await history.instances[0].kill()

        run_story(story())


if __name__ == "__main__":
    unittest.main()
