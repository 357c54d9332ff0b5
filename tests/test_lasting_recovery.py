"""Lasting tasks run again soon after each fault, never twice at once, within disruption budgets.

A lasting task that has room must run again within `RESTART_DEADLINE_S` of the last fault. A
violation names the simulated time; `LastingTaskSimulation.lines` holds the log lines of the
instances.
"""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from shallotworks.scheduling import OrderStatus
from tests.lasting_task_simulation import RESTART_DEADLINE_S, LastingTaskSimulation, lasting_step
from tests.virtual_clock import run_scenario

SETTLE_S = 4.0
"""Time after which jobs run, also on workers that were offered and withdrawn, and idle workers
are offered."""
PRIOR_FAULT_LEAD_S = 7.0
"""All watchers know by then that a worker which left this long before a fault has ended."""
OBSERVATION_S = RESTART_DEADLINE_S + 3.0
"""Time for which a simulation is observed after its last fault."""
JOB = "00000000000000a1"
SECOND_JOB = "00000000000000a2"
SPREAD_JOB = "00000000000000a3"
SEEDS = range(1, 21)
REGRESSION_SEEDS = (33, 139, 163)
"""Seeds with which tasks of a silent or drained worker did not run for over 10 s. While their
leases ran out the pool offered its idle workers, which then accepted no lasting task for 3 s."""
FAULTS_PER_MIX = 6
MAX_PAUSE_S = 4.0

FaultScenario = Callable[[LastingTaskSimulation], Awaitable[None]]


def run_fault_scenario(
    fault: FaultScenario, *, seed: int = 1, before: FaultScenario | None = None
) -> LastingTaskSimulation:
    """Run one scenario: two jobs that run, a fault, and a period for the recovery.

    Args:
        fault: Causes the fault; returns when the fault is over.
        seed: Seed of the simulation's random generator.
        before: Causes an earlier fault, `PRIOR_FAULT_LEAD_S` before ``fault``.
    """

    async def scenario() -> LastingTaskSimulation:
        simulation = LastingTaskSimulation(seed=seed)
        simulation.start()
        await simulation.submit(JOB, lasting_step(3))
        await simulation.submit(SECOND_JOB, lasting_step(2), lasting_step(2, most_per_worker=1))
        await asyncio.sleep(SETTLE_S)
        if before is not None:
            await before(simulation)
            await asyncio.sleep(PRIOR_FAULT_LEAD_S)
        await fault(simulation)
        await simulation.wait_recovered(OBSERVATION_S)
        await simulation.close()
        return simulation

    return run_scenario(scenario())


def used_worker(simulation: LastingTaskSimulation) -> str:
    """Return the first live worker that runs a task, or the first live one if none does."""
    alive = [(key, one) for key, one in simulation.fleet.workers.items() if one.is_alive]
    used = [worker_id for worker_id, worker in alive if worker.names()]
    return (used or [worker_id for worker_id, _ in alive])[0]


async def a_worker_leaves(simulation: LastingTaskSimulation) -> None:
    await simulation.retire_worker(used_worker(simulation))


async def a_worker_crashes(simulation: LastingTaskSimulation) -> None:
    simulation.crash_worker(used_worker(simulation))


async def a_worker_leaves_unanswering(simulation: LastingTaskSimulation) -> None:
    await simulation.retire_worker(used_worker(simulation), absence=OrderStatus.UNANSWERED)


def together(first: FaultScenario, second: FaultScenario, *, after_s: float) -> FaultScenario:
    """Return a fault that causes two others, the second one ``after_s`` seconds later."""

    async def both(simulation: LastingTaskSimulation) -> None:
        async def later() -> None:
            await asyncio.sleep(after_s)
            await second(simulation)

        await asyncio.gather(first(simulation), later())

    return both


class ScenarioTests(unittest.TestCase):
    def assert_recovered(self, simulation: LastingTaskSimulation) -> None:
        """Assert that no rule was violated, and that all tasks ran soon after the last fault."""
        self.assertEqual([], simulation.all_violations())
        self.assertGreater(simulation.fleet.started, 0)
        self.assertLessEqual(simulation.recovered_after_s, RESTART_DEADLINE_S)


# ---- all instances at once


async def all_killed(simulation: LastingTaskSimulation) -> None:
    await simulation.kill_all(restart_s=1.0)


async def all_killed_for_longer(simulation: LastingTaskSimulation) -> None:
    await simulation.kill_all(restart_s=3.0)


async def all_killed_twice(simulation: LastingTaskSimulation) -> None:
    await simulation.kill_all(restart_s=1.0)
    await asyncio.sleep(2.5)
    await simulation.kill_all(restart_s=1.0)


class AllKilledTests(ScenarioTests):
    @parameterized.expand(
        [
            ("alone", all_killed, None),
            ("a_worker_left_earlier", all_killed, a_worker_leaves),
            ("a_worker_left_and_nothing_answers_there", all_killed, a_worker_leaves_unanswering),
            (
                "a_worker_leaves_meanwhile",
                together(a_worker_leaves, all_killed_for_longer, after_s=0.5),
                None,
            ),
            (
                "a_worker_crashes_with_them",
                together(a_worker_crashes, all_killed, after_s=0.0),
                None,
            ),
            ("twice", all_killed_twice, None),
            ("twice_a_worker_left_earlier", all_killed_twice, a_worker_leaves),
        ]
    )
    def test_tasks_run_again(
        self, _name: str, fault: FaultScenario, before: FaultScenario | None
    ) -> None:
        """Tasks do not run again after all instances were killed at once and started again.

        Without a handover, the next scheduler waits for a recorded worker that has left.
        """
        self.assert_recovered(run_fault_scenario(fault, before=before))


# ---- repeated changes of the scheduler

SCHEDULER_CHANGES = 4


def killed_in_turn(interval_s: float) -> FaultScenario:
    async def fault(simulation: LastingTaskSimulation) -> None:
        for _ in range(SCHEDULER_CHANGES):
            await simulation.kill_scheduler()
            await asyncio.sleep(interval_s)

    return fault


def stopped_in_turn(interval_s: float) -> FaultScenario:
    async def fault(simulation: LastingTaskSimulation) -> None:
        for _ in range(SCHEDULER_CHANGES):
            await simulation.stop_scheduler()
            await asyncio.sleep(interval_s)

    return fault


def leases_revoked(interval_s: float) -> FaultScenario:
    async def fault(simulation: LastingTaskSimulation) -> None:
        for _ in range(SCHEDULER_CHANGES):
            simulation.revoke_keys()
            await asyncio.sleep(interval_s)

    return fault


KINDS_OF_CHANGE = (
    ("killed", killed_in_turn),
    ("stopped", stopped_in_turn),
    ("revoked", leases_revoked),
)
CHANGE_INTERVALS_S = (1.0, 2.0, 3.0)


class RepeatedTakeoverTests(ScenarioTests):
    @parameterized.expand([(name, make) for name, make in KINDS_OF_CHANGE])
    def test_tasks_run_again(self, _name: str, make: Callable[[float], FaultScenario]) -> None:
        """Tasks do not run while their scheduler changes every one to three seconds, and after it.

        Each successor starts its wait for the workers that it has not reached from the beginning.
        """
        for interval_s in CHANGE_INTERVALS_S:
            fault = make(interval_s)
            scenarios: tuple[tuple[str, FaultScenario], ...] = (
                ("all workers stay", fault),
                ("a worker leaves", together(a_worker_leaves, fault, after_s=0.2)),
                ("a worker crashes", together(fault, a_worker_crashes, after_s=0.6)),
            )
            for case, scenario in scenarios:
                with self.subTest(interval_s=interval_s, case=case):
                    self.assert_recovered(run_fault_scenario(scenario))


# ---- outages of the store


def outage(
    for_s: float,
    *,
    is_silent: bool,
    are_leases_paused: bool,
    are_entries_lost: bool = False,
) -> FaultScenario:
    async def fault(simulation: LastingTaskSimulation) -> None:
        await simulation.store_outage(
            for_s,
            is_silent=is_silent,
            are_leases_paused=are_leases_paused,
            are_entries_lost=are_entries_lost,
        )

    return fault


def followed_by_leaving(fault: FaultScenario) -> FaultScenario:
    """Return a fault after which a worker leaves 0.5 s later."""

    async def both(simulation: LastingTaskSimulation) -> None:
        worker_id = used_worker(simulation)
        await fault(simulation)
        await asyncio.sleep(0.5)
        await simulation.retire_worker(worker_id)

    return both


OUTAGES_S = (4.5, 6.0, 9.0)
LEASES = (("run_out", False), ("paused", True))
ANSWERS = (("refusing", False), ("silent", True))


class OutageTests(ScenarioTests):
    @parameterized.expand(
        [
            (f"{leases}_{answers}", are_paused, is_silent)
            for leases, are_paused in LEASES
            for answers, is_silent in ANSWERS
        ]
    )
    def test_tasks_run_again(self, _name: str, are_paused: bool, is_silent: bool) -> None:
        """Tasks do not run after an outage of the store, although workers are idle.

        The next epoch waits for a worker that left, or ends on a late report of an old deletion.
        """
        for for_s in OUTAGES_S:
            fault = outage(for_s, is_silent=is_silent, are_leases_paused=are_paused)
            scenarios: tuple[tuple[str, FaultScenario, FaultScenario | None], ...] = (
                ("all workers stay", fault, None),
                ("a worker left", fault, a_worker_leaves),
                ("a worker leaves during it", together(a_worker_leaves, fault, after_s=0.2), None),
                ("a worker leaves after it", followed_by_leaving(fault), None),
            )
            for case, scenario, before in scenarios:
                with self.subTest(for_s=for_s, case=case):
                    self.assert_recovered(run_fault_scenario(scenario, before=before))

    def test_worker_registrations_that_were_lost(self) -> None:
        """Tasks do not run after an outage in which the registrations of all workers ran out.

        Workers register again one by one within 2 s, so that a new epoch sees none at first.
        """
        for for_s in (OUTAGES_S[0], OUTAGES_S[-1]):
            fault = outage(for_s, is_silent=False, are_leases_paused=False, are_entries_lost=True)
            for case, before in (("all workers stay", None), ("a worker left", a_worker_leaves)):
                with self.subTest(for_s=for_s, case=case):
                    self.assert_recovered(run_fault_scenario(fault, before=before))

    @parameterized.expand([(name, is_silent) for name, is_silent in ANSWERS])
    def test_one_epoch_begins(self, _name: str, is_silent: bool) -> None:
        """An epoch ends 0.1 s after it began, and the next one has to recover all state again.

        The elector takes a late report that its earlier key was deleted as one about its new key.
        """
        for for_s in OUTAGES_S:
            for case, before in (("all workers stay", None), ("a worker left", a_worker_leaves)):
                with self.subTest(for_s=for_s, case=case):
                    up_s: list[float] = []

                    async def fault(
                        simulation: LastingTaskSimulation,
                        for_s: float = for_s,
                        up_s: list[float] = up_s,
                    ) -> None:
                        await simulation.store_outage(for_s, is_silent=is_silent)
                        up_s.append(asyncio.get_running_loop().time())

                    simulation = run_fault_scenario(fault, before=before)
                    self.assertLessEqual(simulation.epochs_begun_after(up_s[0]), 1)

    def test_an_offer_that_is_withdrawn_during_an_outage(self) -> None:
        """A task ends because its worker is removed just after the store is back.

        The store goes down before a withdrawn offer is stored, and still lists the worker as free.
        """

        async def fault(simulation: LastingTaskSimulation) -> None:
            await simulation.submit(SPREAD_JOB, lasting_step(5, most_per_worker=1))
            await asyncio.sleep(SETTLE_S)
            (idle,) = simulation.offered()
            lost = used_worker(simulation)
            simulation.crash_worker(lost)
            simulation.fleet.outcomes_when_absent[lost] = OrderStatus.GONE
            # Only the idle worker has room for the lost worker's task, so that its offer is
            # withdrawn. The task starts there 3 s later; the controller, which reads the offers
            # just before its order, must not remove the worker when the store is back.
            while simulation.is_worker_cordoned(idle):
                await asyncio.sleep(0.001)
            await simulation.store_outage(3.6, is_silent=True)
            await simulation.lend_worker()

        self.assert_recovered(run_fault_scenario(fault))

    def test_a_second_outage_after_a_worker_left(self) -> None:
        """A lasting job has no task for 14 s after the second of two outages.

        The epoch between them recorded a worker that left, for which the next epoch waits.
        """

        async def fault(simulation: LastingTaskSimulation) -> None:
            # All epochs end in the first outage and tasks lapse; a new epoch records all workers.
            await simulation.store_outage(5.8)
            await asyncio.sleep(2.5)
            await a_worker_leaves(simulation)
            await asyncio.sleep(7.5)
            # The new epoch ends without a handover in the second outage; tasks lapse again.
            await simulation.store_outage(10.1, is_silent=True)

        self.assert_recovered(run_fault_scenario(fault))


# ---- faults of workers


async def a_worker_is_replaced(simulation: LastingTaskSimulation) -> None:
    await simulation.replace_worker(used_worker(simulation))


async def a_worker_is_isolated_briefly(simulation: LastingTaskSimulation) -> None:
    await simulation.isolate_worker(used_worker(simulation), 2.5)


async def a_worker_is_isolated_for_long(simulation: LastingTaskSimulation) -> None:
    await simulation.isolate_worker(used_worker(simulation), 9.0)


async def a_worker_is_taken_away(simulation: LastingTaskSimulation) -> None:
    await simulation.maintain_worker(used_worker(simulation))


async def a_worker_is_lent(simulation: LastingTaskSimulation) -> None:
    await simulation.lend_worker()


async def a_task_fails(simulation: LastingTaskSimulation) -> None:
    simulation.fail_task(used_worker(simulation))


async def another_is_taken_away(simulation: LastingTaskSimulation) -> None:
    first = used_worker(simulation)
    await simulation.maintain_worker(next(one for one in simulation.fleet.workers if one != first))


async def two_are_taken_away(simulation: LastingTaskSimulation) -> None:
    await together(a_worker_is_taken_away, another_is_taken_away, after_s=0.1)(simulation)


WORKER_FAULTS: tuple[FaultScenario, ...] = (
    a_worker_crashes,
    a_worker_is_replaced,
    a_worker_is_isolated_briefly,
    a_worker_is_isolated_for_long,
    a_task_fails,
    a_worker_is_lent,
    a_worker_is_taken_away,
    two_are_taken_away,
)


async def no_fault(_simulation: LastingTaskSimulation) -> None:
    return None


async def scheduler_isolated(simulation: LastingTaskSimulation) -> None:
    await simulation.isolate_scheduler(5.5)


CONCURRENT_FAULTS: tuple[tuple[str, FaultScenario], ...] = (
    ("no other fault", no_fault),
    ("schedulers killed", killed_in_turn(1.0)),
    ("schedulers stopped", stopped_in_turn(1.0)),
    ("scheduler isolated", scheduler_isolated),
    ("all killed", all_killed),
    ("store down", outage(6.0, is_silent=False, are_leases_paused=False)),
)


class WorkerTests(ScenarioTests):
    @parameterized.expand([(one.__name__, one) for one in WORKER_FAULTS])
    def test_tasks_run_again(self, _name: str, fault: FaultScenario) -> None:
        """A task does not run, or runs twice, after a fault of its worker.

        At the same time schedulers are killed, stopped or isolated, or the store is down.
        """
        for case, other in CONCURRENT_FAULTS:
            with self.subTest(case=case):
                self.assert_recovered(run_fault_scenario(together(fault, other, after_s=0.7)))


# ---- random faults

WEIGHTED_FAULTS: tuple[tuple[int, FaultScenario], ...] = (
    (3, LastingTaskSimulation.kill_scheduler),
    (2, LastingTaskSimulation.stop_scheduler),
    (1, scheduler_isolated),
    (1, all_killed),
    (1, outage(4.5, is_silent=True, are_leases_paused=False)),
    (1, outage(6.0, is_silent=False, are_leases_paused=True)),
    (1, outage(6.0, is_silent=False, are_leases_paused=False, are_entries_lost=True)),
    (1, outage(9.0, is_silent=False, are_leases_paused=False)),
    (2, a_worker_leaves),
    (1, a_worker_leaves_unanswering),
    (2, a_worker_crashes),
    (2, a_worker_is_replaced),
    (1, a_worker_is_isolated_briefly),
    (1, a_worker_is_isolated_for_long),
    (2, a_task_fails),
    (2, a_worker_is_lent),
    (2, a_worker_is_taken_away),
)
"""Faults of a random mix, and how often each is drawn."""


MIN_WORKERS = 4
"""Workers are added while fewer than this are available, so that the tasks have room."""


async def random_faults(simulation: LastingTaskSimulation) -> None:
    """Cause random faults, some of them at once, and submit and cancel a job meanwhile."""
    rng = random.Random(simulation.rng.random())
    weights = [weight for weight, _ in WEIGHTED_FAULTS]
    running: list[Awaitable[None]] = [simulation.submit("00000000000000b1", lasting_step(2))]
    for _ in range(FAULTS_PER_MIX):
        _, fault = rng.choices(WEIGHTED_FAULTS, weights)[0]
        running.append(asyncio.ensure_future(fault(simulation)))
        await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))
        if rng.random() < 0.1:
            running.append(simulation.cancel(SECOND_JOB))
        while simulation.count_available_workers() < MIN_WORKERS:
            simulation.add_worker()
    await asyncio.gather(*running)


class RandomFaultTests(ScenarioTests):
    def test_tasks_run_again(self) -> None:
        """A lasting task does not run, or runs twice, after several faults that overlap.

        Each seed draws its own order of faults of the store, the instances and the workers.
        """
        for seed in (*SEEDS, *REGRESSION_SEEDS):
            with self.subTest(seed=seed):
                self.assert_recovered(run_fault_scenario(random_faults, seed=seed))


if __name__ == "__main__":
    unittest.main()
