"""Tests of `shallotworks.plans`: choices and refusals of the planner."""

import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from shallotworks.errors import ErrorKind
from shallotworks.fleet import Condition, FleetState
from shallotworks.plans import (
    DisruptionModel,
    Drain,
    InDataCentre,
    InPool,
    InRack,
    Intent,
    Maintain,
    Move,
    Named,
    NotMaintainedSince,
    Plan,
    Planner,
    PlannerWeights,
    Return,
    Strategy,
    decode_intent,
    encode_intent,
)
from tests.plan_fakes import fjellsending, make_fleet, tijera

MAINTAIN_ALL = Maintain(selection=NotMaintainedSince(before_s=1.0))
LOW_BUFFER_WEIGHTS = PlannerWeights(buffer=0.7, roll_out=0.2, moves=0.1)
SHORT_WINDOW_WEIGHTS = PlannerWeights(buffer=0.1, roll_out=0.8, moves=0.1, window_s=8 * 3600)
PLANNER = Planner(weights=LOW_BUFFER_WEIGHTS, model=DisruptionModel())


def replace_instances(state: FleetState, names: tuple[str, ...], **fields: object) -> FleetState:
    changed = {name: replace(state.instances[name], **fields) for name in names}  # type: ignore
    return replace(state, instances={**state.instances, **changed})


def make_plan(state: FleetState, intent: Intent, planner: Planner = PLANNER) -> Plan:
    return planner.plan(state, intent, author="kari").unwrap()


class ChoiceTests(unittest.TestCase):
    def test_weights_decide_between_buffer_and_time(self) -> None:
        """A high weight on the buffer gives narrow waves, one on the roll-out time wide ones."""
        low_buffer = make_plan(fjellsending(), MAINTAIN_ALL)
        short_window = make_plan(
            tijera(), MAINTAIN_ALL, Planner(weights=SHORT_WINDOW_WEIGHTS, model=DisruptionModel())
        )
        self.assertLessEqual(low_buffer.measures.buffer_slots, 16)
        self.assertLess(short_window.measures.roll_out_s, 1800)
        for plan in (low_buffer, short_window):
            expected = Counter(entry.strategy for entry in plan.alternatives)
            self.assertEqual(expected, Counter(Strategy))
            self.assertEqual(plan.alternatives[0].verdict, "chosen")

    def test_equal_input_gives_an_equal_plan(self) -> None:
        """Equal input gives an equal digest, and a plan is unchanged by encoding and decoding."""
        plan = make_plan(fjellsending(), MAINTAIN_ALL)
        self.assertEqual(make_plan(fjellsending(), MAINTAIN_ALL).digest, plan.digest)
        self.assertEqual(Plan.decode(plan.encode()), plan)

    def test_a_plan_gives_the_capacity_left_if_one_more_rack_fails(self) -> None:
        """Bergen's 80 slots less a rack of 32 leave 48, of which its next full rack holds 32."""
        plan = make_plan(fjellsending(), Drain(selection=InRack(data_centre="bergen", rack="r0")))
        (left,) = plan.capacity
        self.assertEqual((left.slots, left.slots_left), (80, 48))
        self.assertEqual(left.slots_left_if_rack_fails, 16)

    def test_failed_targets_take_no_permit(self) -> None:
        """A failed instance is in the first wave, although failures have spent the budget."""
        state = replace_instances(fjellsending(), ("archive-0", "archive-1"), healthy=False)
        plan = make_plan(state, Maintain(selection=InPool(pool="archive")))
        self.assertIn("archive-0", plan.waves[0].instances)
        self.assertIn("waves wait until that is less", plan.notes[0])

    def test_an_operators_own_cordon_is_kept(self) -> None:
        """A cordoned instance is not maintained, since the return would remove its cordon."""
        state = replace_instances(fjellsending(), ("archive-0",), condition=Condition.CORDONED)
        plan = make_plan(state, Maintain(selection=InPool(pool="archive")))
        self.assertEqual([entry.instance for entry in plan.skipped], ["archive-0"])
        self.assertNotIn("archive-0", plan.instances)
        back = make_plan(state, Return(selection=InPool(pool="archive")))
        self.assertEqual(back.instances, ("archive-0",))


class RefusalTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("pool", Drain(selection=InPool(pool="archive")), "allows 1", "drain 1"),
            ("centre", Drain(selection=InDataCentre(data_centre="odda")), "allows 1", "drain 5"),
            ("empty", Move(from_pool="archive", to_pool="coverage", count=8), "empty", "move 7"),
            ("many", Move(from_pool="archive", to_pool="coverage", count=9), "has 8", "move 7"),
        ]
    )
    def test_an_unsatisfiable_intent_is_refused_with_the_nearest_plan(
        self, _name: str, intent: Intent, expected: str, nearest: str
    ) -> None:
        """The refusal names the limiting service or pool, and a smaller plan is available."""
        state = fjellsending(budget=1)
        failure = PLANNER.plan(state, intent, author="kari").failure()
        self.assertIs(failure.kind, ErrorKind.UNSATISFIABLE)
        self.assertIn(expected, failure.reason)
        plan = PLANNER.plan_satisfiable_part(state, intent, author="kari")
        assert plan is not None
        self.assertEqual(f"{plan.intent.kind} {len(plan.instances)}", nearest)

    @parameterized.expand(
        [
            ("pool", Maintain(selection=InPool(pool="none")), ErrorKind.NOT_FOUND),
            ("rack", Drain(selection=InRack(data_centre="odda", rack="r9")), ErrorKind.NOT_FOUND),
            ("name", Drain(selection=Named(names=("none",))), ErrorKind.NOT_FOUND),
            (
                "stray",
                Move(from_pool="archive", to_pool="coverage", names=("spare-parts-0",)),
                ErrorKind.CONFLICT,
            ),
            (
                "same",
                Move(from_pool="archive", to_pool="archive", count=1),
                ErrorKind.INVALID_REQUEST,
            ),
        ]
    )
    def test_an_invalid_intent_is_refused(
        self, _name: str, intent: Intent, kind: ErrorKind
    ) -> None:
        """An unknown name, a move from a wrong pool and a move within a pool are refused."""
        self.assertEqual(decode_intent(encode_intent(intent)), intent)
        self.assertIs(PLANNER.plan(fjellsending(), intent, author="kari").failure().kind, kind)

    def test_a_drain_blocked_by_failures_is_refused_as_budget_spent(self) -> None:
        """A drain within its budget that failed instances block is refused as ``BUDGET_SPENT``."""
        state = replace_instances(fjellsending(), ("archive-0",), healthy=False)
        intent = Drain(selection=Named(names=("archive-1", "archive-2")))
        failure = PLANNER.plan(state, intent, author="kari").failure()
        self.assertIs(failure.kind, ErrorKind.BUDGET_SPENT)

    def test_a_short_window_offers_the_waves_that_fit(self) -> None:
        """A window that is too short is refused; a plan for the instances that fit is offered."""
        weights = replace(SHORT_WINDOW_WEIGHTS, window_s=700.0)
        planner = Planner(weights=weights, model=DisruptionModel())
        failure = planner.plan(tijera(), MAINTAIN_ALL, author="kari").failure()
        self.assertIs(failure.kind, ErrorKind.UNSATISFIABLE)
        nearest = planner.plan_satisfiable_part(tijera(), MAINTAIN_ALL, author="kari")
        assert nearest is not None
        self.assertEqual(len(nearest.instances), 10)
        self.assertLessEqual(nearest.measures.roll_out_s, 700.0)

    def test_a_service_without_budget_is_never_disturbed(self) -> None:
        """A budget of 0 is unsatisfiable: a wave that waited for a permit would wait forever."""
        state = make_fleet(centres=("bergen",), pools={"spare-parts": 4}, budget=0)
        failure = PLANNER.plan(state, MAINTAIN_ALL, author="kari").failure()
        self.assertIs(failure.kind, ErrorKind.UNSATISFIABLE)
        self.assertIn("spare-parts allows no instance", failure.reason)


class WaveTests(unittest.TestCase):
    @given(
        sizes=st.lists(st.integers(1, 7), min_size=1, max_size=6),
        budget=st.integers(1, 3),
        buffer=st.floats(0, 1),
        failed=st.sets(st.integers(0, 5)),
    )
    def test_every_wave_respects_every_budget(
        self, sizes: list[int], budget: int, buffer: float, failed: set[int]
    ) -> None:
        """With any weights, each instance is in one wave and no wave exceeds a budget."""
        pools = {f"p{number}": size for number, size in enumerate(sizes)}
        state = make_fleet(centres=("x", "y"), pools=pools, budget=budget)
        out = tuple(f"p{number}-0" for number in failed if f"p{number}" in pools)
        state = replace_instances(state, out, healthy=False)
        weights = PlannerWeights(buffer=buffer, roll_out=1 - buffer, moves=0.1)
        plan = make_plan(state, MAINTAIN_ALL, Planner(weights=weights, model=DisruptionModel()))
        names = [name for wave in plan.waves for name in wave.instances]
        self.assertEqual(sorted(names), sorted(state.instances))
        for wave in plan.waves:
            for use in wave.spends:
                self.assertLessEqual(use.instances, max(1, use.budget - use.unavailable))
