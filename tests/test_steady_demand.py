"""Tests of steady requests for machines, on drawn loads and on single moments."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from itertools import pairwise

from parameterized import parameterized

from shallotworks.scheduling.machines._demand import (
    Arrival,
    DemandLimits,
    forecast_demand_cores,
    present_demand_cores,
    shows_rate,
)
from shallotworks.scheduling.machines._steady_demand import SteadyDemand, SteadyDemandLimits

CORES = 64
TASK_S = 0.85
JOB_CORE_S = 67.0
BACKLOG_S = 0.8
TRAVEL_S = 2.0
TICK_S = 0.1
LIMITS = DemandLimits()


class FluidPool:
    """A pool that works off drawn arrivals; each machine comes `TRAVEL_S` after it was ordered."""

    def __init__(self, *, machines: int, is_steady: bool, seed: int) -> None:
        self.machines = machines
        self.steady = SteadyDemand(limits=SteadyDemandLimits()) if is_steady else None
        self.rng = random.Random(seed)
        self.arrivals: list[Arrival] = []
        self.backlog_core_s = 0.0
        self.travelling: list[float] = []
        self.requests: list[tuple[float, int, int]] = []
        """Time, machines lacking, and machines wanted in all, of each request."""

    def add(self, at_s: float, core_s: float) -> None:
        """Add a job."""
        self.arrivals.append((at_s, core_s))
        self.backlog_core_s += core_s

    def tick(self, now_s: float, rate: float, *, is_stalled: bool = False) -> None:
        """Let a tenth of a second pass, and publish unless the process is stalled."""
        for part in range(20):
            if self.rng.random() < rate * TICK_S / 20:
                self.add(now_s - TICK_S * (1 - part / 20), JOB_CORE_S * self.rng.uniform(0.3, 1.7))
        arrived = sum(1 for at_s in self.travelling if at_s <= now_s)
        self.travelling = [at_s for at_s in self.travelling if at_s > now_s]
        self.machines += arrived
        self.backlog_core_s = max(0.0, self.backlog_core_s - self.machines * CORES * TICK_S)
        if is_stalled:
            return
        lacking = self.lacking(now_s)
        self.requests.append((now_s, lacking, lacking + self.machines))
        self.travelling += [now_s + TRAVEL_S] * max(0, lacking - len(self.travelling))

    def lacking(self, now_s: float) -> int:
        """Return the request of a moment as `PoolSizer` computes it."""
        cores = self.machines * CORES
        running = min(self.backlog_core_s / TASK_S, cores)
        waiting_core_s = max(0.0, self.backlog_core_s - cores * TASK_S)
        arriving = forecast_demand_cores(self.arrivals, wall_s=now_s, limits=LIMITS)
        if not shows_rate(self.arrivals, wall_s=now_s, limits=LIMITS):
            arriving = min(arriving, running)
        lacking = 0
        if waiting_core_s or arriving > cores:
            wanted = waiting_core_s / BACKLOG_S + arriving
            lacking = int(max(0, min(-(-(wanted - cores) // CORES), 4 * self.machines)))
        if self.steady is None:
            return lacking
        present = present_demand_cores(self.arrivals, wall_s=now_s, limits=LIMITS)
        return self.steady.update(
            lacking=lacking,
            available=self.machines,
            load_cores=present + running + waiting_core_s / TASK_S,
            now_s=now_s,
        )


def changes_of_direction(values: list[int]) -> int:
    """Return how often a sequence turns from growing to shrinking, or back."""
    signs = [1 if later > one else -1 for one, later in pairwise(values) if later != one]
    return sum(1 for one, later in pairwise(signs) if one != later)


def step(now_s: float) -> float:
    """Return a rate that rises at once to its height, and ends at once."""
    return 55.0 if 3.0 <= now_s < 8.0 else 2.5


def ramp(now_s: float) -> float:
    """Return a rate that grows for 5 s, and declines for as long."""
    return 2.5 + max(0.0, min((now_s - 3.0) * 11, (13.0 - now_s) * 11))


def steady_load(now_s: float) -> float:
    """Return a rate that a pool of 20 machines just serves."""
    return 18.0


def two_turns(now_s: float) -> float:
    """Return two turns with a pause between them."""
    return step(now_s) + (52.5 if 14.0 <= now_s < 19.0 else 0.0)


def play(
    rate: Callable[[float], float],
    *,
    length_s: float,
    seed: int,
    is_steady: bool = True,
    returned_at_s: float | None = None,
) -> FluidPool:
    """Return a pool after a load; at ``returned_at_s`` it gives back the machines that it got."""
    pool = FluidPool(machines=20, is_steady=is_steady, seed=seed)
    for number in range(int(length_s / TICK_S)):
        if returned_at_s is not None and number == int(returned_at_s / TICK_S):
            pool.machines = 20
        pool.tick(number * TICK_S, rate(number * TICK_S))
    return pool


def wanted_machines(pool: FluidPool, after_s: float, until_s: float) -> list[int]:
    """Return the machines that a pool wanted in all, at each request of some time."""
    return [wanted for at_s, _, wanted in pool.requests if after_s <= at_s < until_s]


class DrawnLoadTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("step", step, 0.0, 12.0),
            ("ramp", ramp, 0.0, 16.0),
            ("second_turn", two_turns, 12.1, 24.0),
        ]
    )
    def test_the_machines_wanted_change_direction_at_most_twice(
        self, _name: str, rate: Callable[[float], float], after_s: float, until_s: float
    ) -> None:
        """Guards against requests that are taken back and made again while machines travel."""
        for seed in range(20):
            pool = play(rate, length_s=until_s, seed=seed, returned_at_s=after_s or None)
            wanted = wanted_machines(pool, after_s, until_s)
            self.assertLessEqual(changes_of_direction(wanted), 2, f"seed {seed}: {wanted}")

    def test_chance_in_a_steady_load_changes_the_request_less_often(self) -> None:
        """Requests that chance makes on a pool which just serves its load are rarely taken back."""
        for seed in range(20):
            changes = [
                changes_of_direction(
                    wanted_machines(
                        play(steady_load, length_s=12.0, seed=seed, is_steady=is_steady), 0.0, 12.0
                    )
                )
                for is_steady in (True, False)
            ]
            self.assertLessEqual(changes[0], min(4, changes[1]), f"seed {seed}")

    @parameterized.expand([("step", step, 12.0), ("ramp", ramp, 16.0)])
    def test_no_machine_is_requested_later_than_without_the_hold(
        self, _name: str, rate: Callable[[float], float], length_s: float
    ) -> None:
        """Guards against callers that wait because a steady request rises late."""
        for seed in range(20):
            held = play(rate, length_s=length_s, seed=seed)
            swinging = play(rate, length_s=length_s, seed=seed, is_steady=False)
            self.assertGreaterEqual(held.machines, swinging.machines)
            self.assertLessEqual(held.backlog_core_s, swinging.backlog_core_s)

    def test_a_turns_machines_are_requested_within_half_a_second(self) -> None:
        """Guards against late jobs in a turn's first seconds: a step from 2.5 to 55 jobs/s."""
        needed = 55 * JOB_CORE_S / CORES
        for seed in range(20):
            pool = play(step, length_s=3.6, seed=seed)
            self.assertGreaterEqual(pool.requests[-1][2], 0.9 * needed, f"seed {seed}")

    def test_a_stalled_process_requests_for_the_load_that_it_finds(self) -> None:
        """Guards against requests from before a stall; the turn ends while the process stalls."""
        pool = FluidPool(machines=20, is_steady=True, seed=1)
        for number in range(130):
            now_s = number * TICK_S
            pool.tick(now_s, step(now_s), is_stalled=4.0 <= now_s < 12.0)
        self.assertEqual([0], sorted({lacking for at_s, lacking, _ in pool.requests if at_s > 12}))


class HoldTests(unittest.TestCase):
    def setUp(self) -> None:
        limits = SteadyDemandLimits(hold_s=2.5, fallen_fraction=0.5)
        self.steady = SteadyDemand(limits=limits)
        self.request(lacking=30, available=20, now_s=10.0)

    def request(
        self, *, lacking: int, available: int, now_s: float, load_cores: float = 1000.0
    ) -> int:
        """Return what the pool requests."""
        return self.steady.update(
            lacking=lacking, available=available, load_cores=load_cores, now_s=now_s
        )

    @parameterized.expand(
        [
            ("a_moment_without_waiting_tasks", 0, 20, 1000.0, 11.0, 30),
            ("a_moment_with_fewer", 9, 20, 1000.0, 11.0, 30),
            ("more_are_lacking", 40, 20, 1000.0, 11.0, 40),
            ("some_have_come", 0, 38, 1000.0, 11.0, 12),
            ("all_have_come", 0, 50, 1000.0, 11.0, 0),
            ("more_came_than_requested", 0, 60, 1000.0, 11.0, 0),
            ("the_time_to_come_has_passed", 0, 20, 1000.0, 12.6, 0),
            ("the_load_has_fallen", 0, 20, 499.0, 11.0, 0),
            ("the_load_has_fallen_a_little", 0, 20, 501.0, 11.0, 30),
            ("machines_left_a_pool_that_lacks_none", 0, 15, 1000.0, 11.0, 30),
            ("machines_were_lost_while_the_pool_lacks", 5, 15, 1000.0, 11.0, 35),
        ]
    )
    def test_a_request_holds_until_its_machines_can_have_come(
        self,
        _name: str,
        lacking: int,
        available: int,
        load_cores: float,
        now_s: float,
        expected: int,
    ) -> None:
        """Guards against machines that are ordered late since a moment's swing hid the need."""
        requested = self.request(
            lacking=lacking, available=available, load_cores=load_cores, now_s=now_s
        )
        self.assertEqual(expected, requested)

    def test_a_later_smaller_request_holds_after_the_larger_one(self) -> None:
        """Guards against a gap between the end of one request and the next swing."""
        self.request(lacking=20, available=20, now_s=12.0)
        self.assertEqual(20, self.request(lacking=0, available=20, now_s=13.0))
        self.assertEqual(0, self.request(lacking=0, available=20, now_s=14.6))


if __name__ == "__main__":
    unittest.main()
