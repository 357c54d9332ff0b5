"""Lasting tasks of a worker that has left are back in time, and none starts where it may still run.

A live worker behind a partition may refuse connections and lose its entry.
"""

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from shallotworks.jobs import TaskName
from shallotworks.platform._workers import REGISTRY_PREFIX
from shallotworks.scheduling import OrderStatus
from shallotworks.standins import TaskWorker
from tests.lasting_task_simulation import LastingTaskSimulation, lasting_step
from tests.virtual_clock import run_scenario

JOB = "00000000000000a1"
SETTLE_S = 4.0
BACK_WITHIN_S = 6.0
"""A lasting task runs again within this time after its last run. Source: the users' rules."""
WATCHED_S = 10.0
"""Longer than a lease and its margin."""
BRIEF_S = 0.1
"""Shorter than the pause between two polls."""

Scenario = Callable[[LastingTaskSimulation, TaskWorker], Awaitable[None]]


class DepartingOutcomes(dict[str, OrderStatus]):
    """Outcomes at one worker that leaves: its poll is closed, then calls are refused, then hang.

    Args:
        worker_id: The worker.
        refuses_s: For how long its address refuses connections once the poll is closed.
    """

    def __init__(self, *, worker_id: str, refuses_s: float) -> None:
        super().__init__({worker_id: OrderStatus.UNANSWERED})
        self._refuses_s = refuses_s
        self._closed_s = 0.0
        self.is_poll_closed = asyncio.Event()

    def get(self, key: str, default: object = None) -> OrderStatus | None:  # type: ignore[override]
        if key not in self:
            return None
        if not self.is_poll_closed.is_set():
            self.is_poll_closed.set()
            self._closed_s = _now_s()
            return OrderStatus.UNANSWERED
        return OrderStatus.REFUSED if _now_s() < self._closed_s + self._refuses_s else None


async def _refused_at_an_address_of_another_program(
    simulation: LastingTaskSimulation, worker: TaskWorker
) -> None:
    worker_id = worker.view.worker_id
    key = REGISTRY_PREFIX + worker_id
    entry = json.loads(simulation.store.items[key].value)
    simulation.store.put(key, json.dumps(entry | {"address": "127.0.0.1:9"}).encode())
    simulation.fleet.outcomes_when_absent[worker_id] = OrderStatus.REFUSED
    await asyncio.sleep(1.5)


async def _refused_elsewhere_then_unlisted(
    simulation: LastingTaskSimulation, worker: TaskWorker
) -> None:
    await _refused_at_an_address_of_another_program(simulation, worker)
    simulation.lose_entry(worker.view.worker_id)


async def _refused_elsewhere_then_cut_off(
    simulation: LastingTaskSimulation, worker: TaskWorker
) -> None:
    await _refused_at_an_address_of_another_program(simulation, worker)
    simulation.fleet.isolated.add(worker.view.worker_id)
    del simulation.fleet.outcomes_when_absent[worker.view.worker_id]
    simulation.register(worker)
    await asyncio.sleep(1.0)
    simulation.lose_entry(worker.view.worker_id)


async def _refused_then_unlisted(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    _end(simulation, worker, OrderStatus.REFUSED)
    await asyncio.sleep(0.3)
    simulation.lose_entry(worker.view.worker_id)


async def _unlisted_then_refused(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    simulation.lose_entry(worker.view.worker_id)
    await asyncio.sleep(0.3)
    _end(simulation, worker, OrderStatus.REFUSED)


async def _refused_briefly(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    simulation.lose_entry(worker.view.worker_id)
    outcomes = DepartingOutcomes(worker_id=worker.view.worker_id, refuses_s=BRIEF_S)
    simulation.fleet.outcomes_when_absent = outcomes
    worker.crash()
    async with asyncio.timeout(WATCHED_S):
        await outcomes.is_poll_closed.wait()


async def _unlisted_but_answering(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    simulation.lose_entry(worker.view.worker_id)


async def _refused_before_it_answered(
    simulation: LastingTaskSimulation, worker: TaskWorker
) -> None:
    simulation.fleet.outcomes_when_absent[worker.view.worker_id] = OrderStatus.REFUSED
    await asyncio.sleep(2.0)
    del simulation.fleet.outcomes_when_absent[worker.view.worker_id]
    await asyncio.sleep(2.0)
    simulation.lose_entry(worker.view.worker_id)


async def _unlisted_and_hanging(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    simulation.lose_entry(worker.view.worker_id)
    simulation.fleet.isolated.add(worker.view.worker_id)


async def _listed_and_refused(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    simulation.fleet.outcomes_when_absent[worker.view.worker_id] = OrderStatus.REFUSED


async def _refused_and_then_unlisted(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    await _listed_and_refused(simulation, worker)
    await asyncio.sleep(0.5)
    simulation.lose_entry(worker.view.worker_id)


async def _unlisted_and_then_refused(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    simulation.lose_entry(worker.view.worker_id)
    await asyncio.sleep(0.5)
    await _listed_and_refused(simulation, worker)


async def _unlisted_and_reset(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    simulation.lose_entry(worker.view.worker_id)
    simulation.fleet.outcomes_when_absent[worker.view.worker_id] = OrderStatus.UNANSWERED


async def _unlisted_without_connection(
    simulation: LastingTaskSimulation, worker: TaskWorker
) -> None:
    simulation.lose_entry(worker.view.worker_id)
    simulation.fleet.outcomes_when_absent[worker.view.worker_id] = OrderStatus.UNSENT


async def _unreadable_and_refused(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    simulation.store.put(REGISTRY_PREFIX + worker.view.worker_id, b"{}")
    simulation.fleet.outcomes_when_absent[worker.view.worker_id] = OrderStatus.REFUSED


async def _refused_then_unreadable(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    simulation.fleet.outcomes_when_absent[worker.view.worker_id] = OrderStatus.REFUSED
    await asyncio.sleep(2.0)
    simulation.store.put(REGISTRY_PREFIX + worker.view.worker_id, b"{}")


async def _unlisted_then_unreadable_and_refused(
    simulation: LastingTaskSimulation, worker: TaskWorker
) -> None:
    simulation.lose_entry(worker.view.worker_id)
    await asyncio.sleep(0.5)
    await _unreadable_and_refused(simulation, worker)


async def _listed_again_and_refused(simulation: LastingTaskSimulation, worker: TaskWorker) -> None:
    simulation.lose_entry(worker.view.worker_id)
    await asyncio.sleep(0.5)
    simulation.register(worker)
    await asyncio.sleep(0.5)
    await _listed_and_refused(simulation, worker)


class DepartedWorkerTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("refused_then_unlisted", _refused_then_unlisted),
            ("unlisted_then_refused", _unlisted_then_refused),
            ("refused_briefly", _refused_briefly),
        ]
    )
    def test_tasks_are_back_in_time(self, _name: str, leave: Scenario) -> None:
        """A task waits for longer than the lease of a worker that has left."""

        async def scenario() -> None:
            simulation, worker = await _start()
            names = worker.names()
            await leave(simulation, worker)
            await asyncio.sleep(BACK_WITHIN_S)
            self.assertLessEqual(names, _running_elsewhere(simulation, worker))
            await asyncio.sleep(WATCHED_S)
            self.assertEqual([], simulation.fleet.violations)
            await simulation.close()

        run_scenario(scenario())

    def test_a_successor_waits_for_a_worker_that_refuses_connections(self) -> None:
        """Tasks ran twice after a takeover beside a partition that refused connections.

        The worker that the record named was alive behind it, and had lost its entry.
        """

        async def scenario() -> None:
            simulation, worker = await _start()
            names = worker.names()
            killing = asyncio.create_task(simulation.kill_scheduler())
            simulation.fleet.outcomes_when_absent[worker.view.worker_id] = OrderStatus.REFUSED
            await killing
            await asyncio.sleep(1.0)
            simulation.lose_entry(worker.view.worker_id)
            await asyncio.sleep(2 * WATCHED_S)
            self.assertEqual([], simulation.fleet.violations)
            self.assertLessEqual(names, _running_elsewhere(simulation, worker))
            await simulation.close()

        run_scenario(scenario())

    @parameterized.expand(
        [
            ("unlisted_but_answering", _unlisted_but_answering, True),
            ("refused_before_it_answered", _refused_before_it_answered, True),
            ("unlisted_and_hanging", _unlisted_and_hanging, False),
            ("listed_and_refused", _listed_and_refused, False),
            ("unlisted_and_reset", _unlisted_and_reset, False),
            ("unlisted_without_connection", _unlisted_without_connection, False),
            ("unreadable_and_refused", _unreadable_and_refused, False),
            ("refused_then_unreadable", _refused_then_unreadable, False),
            (
                "unlisted_then_unreadable_and_refused",
                _unlisted_then_unreadable_and_refused,
                False,
            ),
            ("listed_again_and_refused", _listed_again_and_refused, False),
            ("refused_and_then_unlisted", _refused_and_then_unlisted, False),
            ("unlisted_and_then_refused", _unlisted_and_then_refused, False),
            ("refused_elsewhere_then_unlisted", _refused_elsewhere_then_unlisted, False),
            ("refused_elsewhere_then_cut_off", _refused_elsewhere_then_cut_off, False),
        ]
    )
    def test_a_worker_that_may_run_is_waited_for(
        self, _name: str, cut_off: Scenario, answers: bool
    ) -> None:
        """Guards against a second run of a task beside the first one, on a worker that is cut off.

        The worker is alive, and its tasks run until their lease is out.
        """

        async def scenario() -> None:
            simulation, worker = await _start()
            names = worker.names()
            await cut_off(simulation, worker)
            await asyncio.sleep(WATCHED_S)
            self.assertEqual([], simulation.fleet.violations)
            ended = _running_elsewhere(simulation, worker) & names
            self.assertEqual(set() if answers else names, ended)
            await simulation.close()

        run_scenario(scenario())


async def _start() -> tuple[LastingTaskSimulation, TaskWorker]:
    """Return a simulation in which lasting tasks run, and a worker that runs some of them."""
    simulation = LastingTaskSimulation(seed=1, workers=4)
    simulation.start()
    await simulation.submit(JOB, lasting_step(2))
    await asyncio.sleep(SETTLE_S)
    return simulation, next(one for one in simulation.fleet.workers.values() if one.names())


def _end(simulation: LastingTaskSimulation, worker: TaskWorker, absence: OrderStatus) -> None:
    simulation.fleet.outcomes_when_absent[worker.view.worker_id] = absence
    worker.crash()
    worker.wake_polls()


def _running_elsewhere(simulation: LastingTaskSimulation, worker: TaskWorker) -> set[TaskName]:
    others = [one for one in simulation.fleet.workers.values() if one is not worker]
    return {name for one in others if one.is_alive for name in one.names()}


def _now_s() -> float:
    return asyncio.get_running_loop().time()


if __name__ == "__main__":
    unittest.main()
