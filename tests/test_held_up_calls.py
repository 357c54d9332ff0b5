"""Calls that are held up in the network until their worker has started again under its id."""

import asyncio
import random
import unittest

from shallotworks.jobs import TaskName
from shallotworks.scheduling import (
    EndedTask,
    OrderOutcome,
    OrderStatus,
    StartOrder,
    WorkerView,
)
from shallotworks.standins import TaskWorkers
from tests.scheduling_fakes import step
from tests.scheduling_simulation import Instance, SchedulingSimulation
from tests.virtual_clock import run_scenario

EARLIER_JOB, LATER_JOB = "0" * 16, "1" * 16
CALL_TIMEOUT_S = 0.8
TASK_MILLICORES = 3_000


class HeldUpPolls(TaskWorkers):
    """Workers that receive a held-up poll, as late as at the end of a run on a later start."""

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.held_up: dict[str, tuple[int, int]] = {}
        """Token and acknowledged number of one poll for each worker, by its id."""
        self.restarted_ids: set[str] = set()

    def note_end(self, end: EndedTask) -> None:
        super().note_end(end)
        for worker_id in self.restarted_ids & self.held_up.keys():
            if any(one.number == end.number for one in self.workers[worker_id]._ended):
                token, acknowledged = self.held_up.pop(worker_id)
                self.workers[worker_id].poll(token, acknowledged, None)


def hold_up_acknowledging_polls(instance: Instance, fleet: HeldUpPolls) -> None:
    """Hold up the first poll of each worker that acknowledges ends."""
    poll = instance.orders.poll

    async def holding(worker: WorkerView, **arguments: object) -> OrderOutcome:
        acknowledged, token = arguments["acknowledged"], arguments["token"]
        assert isinstance(acknowledged, int) and isinstance(token, int)
        if acknowledged and worker.worker_id not in fleet.held_up:
            fleet.held_up[worker.worker_id] = (token, acknowledged)
            await asyncio.sleep(CALL_TIMEOUT_S)
            return OrderOutcome(status=OrderStatus.UNANSWERED)
        return await poll(worker, **arguments)  # type: ignore[arg-type]

    instance.orders.poll = holding  # type: ignore[method-assign]


class HeldUpCallTests(unittest.TestCase):
    def test_an_acknowledging_poll_reaches_a_later_start_of_its_worker(self) -> None:
        """Guards against a second run of a task whose end a held-up poll made forgotten."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=2, instances=1, fleet=HeldUpPolls)
            fleet = simulation.fleet
            assert isinstance(fleet, HeldUpPolls)
            hold_up_acknowledging_polls(simulation.instances[0], fleet)
            simulation.instances[0].start()
            await asyncio.sleep(1.0)
            await simulation.submit(EARLIER_JOB, step(6, estimated_s=0.8))
            while not fleet.held_up:
                await asyncio.sleep(0.01)
            for worker_id in list(fleet.workers):
                fleet.restart(worker_id)
                fleet.restarted_ids.add(worker_id)
            await simulation.submit(LATER_JOB, step(6, estimated_s=0.8))
            await asyncio.sleep(16.0)
            self.assertEqual([], simulation.violations())
            await simulation.instances[0].kill()

        run_scenario(scenario())

    def test_a_start_of_an_ended_scheduler_reaches_a_later_start_of_its_worker(self) -> None:
        """Guards against a second run of a task beside one that its successor has started."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=2, instances=2)
            fleet, held_up = simulation.fleet, []
            name = TaskName(EARLIER_JOB, 0, 0, 0)
            fleet.cpu_millicores[name] = TASK_MILLICORES
            fleet.work_s[EARLIER_JOB] = 12.0
            for instance in simulation.instances:
                instance.start()
            await asyncio.sleep(1.0)
            first = simulation.scheduler()
            assert first is not None

            async def holding(
                worker: WorkerView, order: StartOrder, *, token: int, lease_until_ms: int
            ) -> OrderOutcome:
                held_up.append((worker.worker_id, order, token, lease_until_ms))
                await asyncio.sleep(CALL_TIMEOUT_S)
                return OrderOutcome(status=OrderStatus.UNANSWERED)

            first.orders.start = holding  # type: ignore[method-assign]
            await simulation.submit(
                EARLIER_JOB, step(1, cpu_millicores=TASK_MILLICORES, estimated_s=12.0)
            )
            while not held_up:
                await asyncio.sleep(0.01)
            worker_id, order, token, lease_until_ms = held_up[0]
            # The successor finds no room there, so that it starts the task on the other worker.
            fleet.workers[worker_id].resize(TASK_MILLICORES - 1)
            await simulation.replace(first)
            while not any(name in one.names() for one in fleet.workers.values()):
                await asyncio.sleep(0.1)
            fleet.workers[worker_id].resize(2 * TASK_MILLICORES)
            later = fleet.restart(worker_id)
            # Its clock counts anew, so that the deadline of the order has not passed there.
            later._clock_offset_s = -asyncio.get_running_loop().time()
            later.start(order, token, lease_until_ms, is_late=True)
            await asyncio.sleep(2.0)
            running = [key for key, one in fleet.workers.items() if name in one.names()]
            self.assertEqual(1, len(running), running)
            self.assertEqual([], fleet.violations)
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
