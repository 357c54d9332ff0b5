"""Sound jobs whose runs are lost, or seem lost, although no task of them crashes a worker.

Such a job must not be shown as failed, however often that happens.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from parameterized import parameterized

from shallotworks.jobs import JobState
from shallotworks.standins import TaskWorker
from tests import unproven_losses as ways
from tests.unproven_loss_simulation import LossSimulation, Takeover
from tests.unproven_losses import Epoch
from tests.virtual_clock import run_scenario

LOSSES = 6
"""Losses of the task's worker, none of which the task caused."""

REPEATED_WAYS = (
    (ways.cut_off_and_unlisted, (True, False)),
    (ways.start_lost_and_unlisted, (True, False)),
    (ways.start_lost_and_replaced, (True, False)),
    (ways.takeover_with_young_list, (True, False)),
    (ways.takeover_with_incomplete_list, (True, False)),
    (ways.reset_then_replaced, (True,)),
    (ways.reset_then_taken_over_then_replaced, (True,)),
    (ways.adopted_then_reset_then_replaced, (True,)),
    (ways.adopted_then_replaced, (True,)),
    (ways.adopted_then_cut_off, (True,)),
    (ways.drained_between_epochs, (True, False)),
    (ways.power_cut_of_workers, (True, False)),
    (ways.silent_power_cut_of_workers, (True, False)),
    (ways.power_cut_of_all, (True, False)),
    (ways.power_cut_before_the_start_is_received, (True, False)),
)
"""Each way with the kinds of jobs that it concerns: lasting ones, ending ones, or both."""

MIXED_WAYS = (
    ("reset_then_power_cut", True, (ways.reset_then_replaced, ways.power_cut_of_workers)),
    ("reset_then_cut_off", True, (ways.reset_then_replaced, ways.cut_off_and_unlisted)),
    ("reset_then_power_cut_of_all", True, (ways.reset_then_replaced, ways.power_cut_of_all)),
    (
        "copies_then_power_cut",
        False,
        (ways.copy_and_original_lost_at_once, ways.power_cut_of_workers),
    ),
)
"""Ways of which the first is taken once and the second for all other losses."""

ON_PROBATION_S = 0.1
LATER_S = 1.0
RESET_S = 0.3
LONG_TASK_S = 20.0
"""Longer than the lease of a worker that is cut off."""
SETTLED_S = 90.0
"""Time for the workers that are cut off to be back, and for all tasks to run or to end."""
DRAWN_SEEDS = range(1, 13)
DRAWN_LOSSES = 10

Lose = Callable[[LossSimulation, TaskWorker], Awaitable[None]]
TAKEOVERS = (Takeover.STOPPED, Takeover.KILLED)
SIMULATED_LOSSES: tuple[tuple[Lose, bool, float, Takeover, dict[str, Any]], ...] = (
    *(
        (lose, is_lasting, delay_s, Takeover.NONE, {})
        for lose in (
            LossSimulation.cut_power_of_all,
            LossSimulation.cut_power_of_workers,
            LossSimulation.cut_power_of_workers_silently,
        )
        for is_lasting in (True, False)
        for delay_s in (ON_PROBATION_S, LATER_S)
    ),
    *(
        (LossSimulation.cut_power_of_all_after_a_reset, is_lasting, ON_PROBATION_S, how, {})
        for is_lasting in (True, False)
        for how in (Takeover.NONE,)
    ),
    *(
        (lose, is_lasting, ON_PROBATION_S, how, {"task_s": LONG_TASK_S})
        for lose in (LossSimulation.cut_worker_off, LossSimulation.cut_worker_off_and_unlist)
        for is_lasting in (True, False)
        for how in Takeover
    ),
    *(
        (LossSimulation.cut_all_workers_off, True, ON_PROBATION_S, how, {"tasks": 1})
        for how in Takeover
    ),
    *((LossSimulation.crash_long_after_a_reset, True, RESET_S, how, {}) for how in Takeover),
    *(
        (lose, True, ON_PROBATION_S, how, {})
        for lose in (LossSimulation.crash_after_adoption, LossSimulation.cut_off_after_adoption)
        for how in TAKEOVERS
    ),
)
"""How the worker is lost, whether the tasks last, time to the loss in seconds, and takeovers."""


class LossWithoutProofTests(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{lose.__name__}_{'lasting' if is_lasting else 'ending'}", is_lasting, lose)
            for lose, kinds in REPEATED_WAYS
            for is_lasting in kinds
        ]
    )
    def test_a_way_that_repeats_fails_no_job(
        self, _name: str, is_lasting: bool, lose: Callable[[Epoch], Epoch]
    ) -> None:
        """Guards against a job shown as failed although no task of it crashed a worker (LOST)."""
        self._check(is_lasting, [lose] * LOSSES)

    @parameterized.expand(MIXED_WAYS)
    def test_two_ways_together_fail_no_job(
        self, _name: str, is_lasting: bool, two: tuple[Callable[[Epoch], Epoch], ...]
    ) -> None:
        """Guards against a job shown as failed for losses of which each has another cause."""
        first, other = two
        self._check(is_lasting, [first, *[other] * (LOSSES - 1)])

    def _check(self, is_lasting: bool, losses: list[Callable[[Epoch], Epoch]]) -> None:
        epoch = Epoch(ways.lasting_job() if is_lasting else ways.ending_job())
        for number, lose in enumerate(losses, 1):
            epoch = lose(epoch)
            epoch.now_s += 1.0
            epoch.decide()
            self.assertIsNot(JobState.FAILED, epoch.state, f"loss {number}: {epoch.losses()}")


class CountedOnceTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("closed_silent_and_replaced", ways.closed_silent_and_replaced),
            ("started_again_twice", ways.started_again_twice),
            ("resolved_by_two_schedulers", ways.resolved_by_two_schedulers),
            ("gang_on_two_workers", ways.gang_on_two_workers),
        ]
    )
    def test_one_event_is_one_loss(self, name: str, lose: Callable[[Epoch], Epoch]) -> None:
        """Guards against a job shown as failed since one event counts as several crashes."""
        one = ways.gang_job() if name.startswith("gang") else ways.ending_job()
        epoch = lose(Epoch(one))
        epoch.now_s += 1.0
        epoch.decide()
        certain = [is_certain for *_, is_certain, _received in epoch.losses() if is_certain]
        self.assertEqual(1, len(certain), epoch.losses())


class SimulatedLossTests(unittest.TestCase):
    @parameterized.expand(
        [
            (
                f"{lose.__name__}_{'lasting' if is_lasting else 'ending'}_{delay_s}s"
                f"_{how.value}",
                lose,
                is_lasting,
                delay_s,
                how,
                more,
            )
            for lose, is_lasting, delay_s, how, more in SIMULATED_LOSSES
        ]
    )
    def test_a_job_that_is_hit_repeatedly_is_not_failed(
        self,
        _name: str,
        lose: Lose,
        is_lasting: bool,
        delay_s: float,
        how: Takeover,
        more: dict[str, Any],
    ) -> None:
        """Guards against a job shown as failed, or not run again, after losses it didn't cause."""
        simulation_of = {"is_lasting": is_lasting, "delay_s": delay_s, "takeover": how} | more

        async def scenario() -> None:
            one = LossSimulation(seed=1, **simulation_of)
            if "reset" in lose.__name__:
                one.fleet.resets_after_start_s = RESET_S
            await self._play(one, [lose] * LOSSES)

        run_scenario(scenario())

    @parameterized.expand([(seed, lasts) for seed in DRAWN_SEEDS for lasts in (True, False)])
    def test_a_job_with_drawn_losses_is_not_failed(self, seed: int, is_lasting: bool) -> None:
        """Guards against a job shown as failed after losses of many kinds that it didn't cause."""
        rng = random.Random(seed)
        kinds = {lose for lose, lasts, *_ in SIMULATED_LOSSES if lasts is is_lasting}
        losses = rng.choices(sorted(kinds, key=lambda lose: lose.__name__), k=DRAWN_LOSSES)

        async def scenario() -> None:
            one = LossSimulation(seed=seed, is_lasting=is_lasting, delay_s=0.0, task_s=LONG_TASK_S)
            one.fleet.resets_after_start_s = rng.choice((0.0, RESET_S))
            await self._play(one, losses, rng)

        run_scenario(scenario())

    async def _play(
        self, one: LossSimulation, losses: list[Lose], rng: random.Random | None = None
    ) -> None:
        await one.begin()
        taken = 0
        for lose in losses:
            worker = await one.next_start()
            if worker is None or one.is_failed:
                break
            taken += 1
            if rng is not None:
                one.delay_s = rng.choice((ON_PROBATION_S, LATER_S, 2.0 * LATER_S))
                one.takeover = rng.choice(list(Takeover))
            await lose(one, worker)
        one.fleet.resets_after_start_s = 0.0
        await asyncio.sleep(SETTLED_S)
        problems = [*one.problems(), *one.fleet.violations]
        await one.kill()
        self.assertEqual([], problems)
        if one.is_lasting:
            self.assertEqual(len(losses), taken)


if __name__ == "__main__":
    unittest.main()
