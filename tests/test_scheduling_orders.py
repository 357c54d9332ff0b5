"""Tests of orders to workers and of workers' leases, on the stand-ins."""

import asyncio
import unittest

from shallotworks.jobs import JobState
from shallotworks.scheduling import OrderOutcome, OrderStatus, StartOrder, WorkerView
from tests.scheduling_fakes import step
from tests.scheduling_simulation import SchedulingSimulation
from tests.virtual_clock import run_scenario

REFUSED_JOB_ID = "00000000000000aa"


class SilentWorkerTests(unittest.TestCase):
    def test_tasks_of_a_worker_that_died_silently_run_again(self) -> None:
        """A job never ended after its worker lost power, as unanswered polls may extend its lease.

        The task must run elsewhere once the last lease that was certainly granted has expired.
        """

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=2, instances=1)
            simulation.fleet.work_s["0000000000000001"] = 3.0
            simulation.instances[0].start()
            await asyncio.sleep(1.0)
            await simulation.submit("0000000000000001", step(1))
            await asyncio.sleep(1.5)
            busy_worker = next(one for one in simulation.fleet.workers.values() if one.names())
            busy_worker.crash()
            await asyncio.sleep(8.0)
            others = [one for one in simulation.fleet.workers.values() if one is not busy_worker]
            self.assertTrue(any(one.names() for one in others))
            await simulation.instances[0].kill()

        run_scenario(scenario())


class RefusedStartTests(unittest.TestCase):
    def test_an_invalid_start_is_retried_with_growing_pauses(self) -> None:
        """A job that no worker accepts was sent to each one every second, and paused them all."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=1, instances=1)
            orders = simulation.instances[0].orders
            start, attempts_s = orders.start, []

            async def refuse_start(
                worker: WorkerView, order: StartOrder, **arguments: int
            ) -> OrderOutcome:
                if order.run.name.job_id != REFUSED_JOB_ID:
                    return await start(worker, order, **arguments)
                attempts_s.append(asyncio.get_running_loop().time())
                return OrderOutcome(status=OrderStatus.INVALID, detail="status 400")

            orders.start = refuse_start  # type: ignore[method-assign]
            simulation.instances[0].start()
            await asyncio.sleep(1.0)
            await simulation.submit(REFUSED_JOB_ID, step(1))
            valid_job_ids = [f"{number:016x}" for number in range(1, 6)]
            for job_id in valid_job_ids:
                simulation.fleet.work_s[job_id] = 0.3
                await simulation.submit(job_id, step(1, cpu_millicores=4000))
                await asyncio.sleep(0.8)
                self.assertIs(JobState.COMPLETED, simulation.state(job_id))
            await asyncio.sleep(16.0)
            self.assertLessEqual(len(attempts_s), 5)
            await simulation.instances[0].kill()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
