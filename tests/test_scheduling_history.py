"""Histories of schedulers through faults, judged by what workers and callers see.

Each scenario is a promise to users: nothing runs twice at once or again, nothing starts before
its turn or after its cancelling, what was accepted is completed, what is completed was done.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from tests.fleet_history import History
from tests.virtual_clock import run_scenario

SEEDS = range(1, 9)
JOBS = 25
OVER_S = 12.0
AFTER_S = 26.0

Trouble = Callable[[History], Awaitable[None]]


async def killed_scheduler(history: History) -> None:
    for _ in range(2):
        await asyncio.sleep(history.rng.uniform(2, 5))
        scheduler = history.scheduler()
        if scheduler is not None:
            await history.replace(scheduler)


async def all_killed(history: History) -> None:
    await asyncio.sleep(history.rng.uniform(3, 6))
    for instance in list(history.instances):
        await history.replace(instance)


async def scheduler_cut_from_store(history: History) -> None:
    await asyncio.sleep(history.rng.uniform(2, 5))
    scheduler = history.scheduler()
    if scheduler is None:
        return
    scheduler.view.faults.is_silent = True
    await asyncio.sleep(5.5)
    scheduler.view.faults.is_silent = False


async def scheduler_cut_and_successor_blind(history: History) -> None:
    await asyncio.sleep(history.rng.uniform(2, 5))
    scheduler = history.scheduler()
    if scheduler is None:
        return
    scheduler.view.faults.is_down = True
    for other in history.instances:
        if other is not scheduler:
            other.orders.faults.cut = {"w0", "w1"}
    await asyncio.sleep(6)
    scheduler.view.faults.is_down = False
    for other in history.instances:
        other.orders.faults.cut = set()


async def store_down(history: History) -> None:
    await asyncio.sleep(history.rng.uniform(2, 5))
    history.store.are_leases_paused = history.rng.random() < 0.5
    for instance in history.instances:
        instance.view.faults.is_down = True
    await asyncio.sleep(4.5)
    for instance in history.instances:
        instance.view.faults.is_down = False
    history.store.are_leases_paused = False


async def lost_and_late_commits(history: History) -> None:
    for instance in history.instances:
        instance.view.faults.lost_part = 0.1
        instance.view.faults.late_part = 0.1
    await asyncio.sleep(8)
    for instance in history.instances:
        instance.view.faults.lost_part = 0.0
        instance.view.faults.late_part = 0.0


async def late_orders(history: History) -> None:
    for instance in history.instances:
        instance.orders.faults.late_part = 0.1
        instance.orders.faults.lost_part = 0.1
        instance.orders.faults.late_s = history.rng.uniform(1, 8)
    await killed_scheduler(history)


async def keys_revoked(history: History) -> None:
    for _ in range(3):
        await asyncio.sleep(history.rng.uniform(1, 3))
        history.store.revoke("shallotworks/")


async def history_forgotten(history: History) -> None:
    for _ in range(4):
        await asyncio.sleep(history.rng.uniform(0.5, 2))
        history.store.compact_history()


async def workers_crash_and_are_cut(history: History) -> None:
    await asyncio.sleep(history.rng.uniform(2, 4))
    history.fleet.workers["w0"].crash()
    for instance in history.instances:
        instance.orders.faults.cut = {"w1"}
    await asyncio.sleep(5.5)
    for instance in history.instances:
        instance.orders.faults.cut = set()


TROUBLES: tuple[Trouble, ...] = (
    killed_scheduler,
    all_killed,
    scheduler_cut_from_store,
    scheduler_cut_and_successor_blind,
    store_down,
    lost_and_late_commits,
    late_orders,
    keys_revoked,
    history_forgotten,
    workers_crash_and_are_cut,
)


def play(seed: int, trouble: Trouble | None) -> History:
    """Play one history on a clock of its own."""

    async def scenario() -> History:
        history = History(seed=seed)
        for instance in history.instances:
            instance.start()
        await asyncio.sleep(1.0)
        troubles = [trouble(history)] if trouble is not None else []
        await asyncio.gather(history.run_jobs(JOBS, OVER_S), *troubles)
        await asyncio.sleep(AFTER_S)
        for instance in history.instances:
            await instance.kill()
        return history

    return run_scenario(scenario())


class HistoryTests(unittest.TestCase):
    @parameterized.expand([(one.__name__, one) for one in TROUBLES])
    def test_promises_hold(self, _name: str, trouble: Trouble) -> None:
        """Through each trouble, for a fixed set of seeds, nothing breaks."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = play(seed, trouble)
                self.assertEqual([], history.violations())
                self.assertGreater(len(history.accepted), JOBS // 2)
                self.assertGreater(history.fleet.started, JOBS)


if __name__ == "__main__":
    unittest.main()
