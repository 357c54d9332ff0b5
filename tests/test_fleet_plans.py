"""Tests of `shallotworks.fleet`: changes around plans that the log refuses."""

import unittest
from dataclasses import replace

from parameterized import parameterized
from returns.result import Success

from shallotworks.errors import ErrorKind
from shallotworks.fleet import (
    AdvancePlan,
    Change,
    Condition,
    ConfirmPlan,
    FinishPlan,
    FleetState,
    MoveInstance,
    PlanState,
    PutInstance,
    PutService,
    RemoveInstance,
    RemovePool,
    SetCondition,
    SetHealth,
    apply,
    precondition_digest,
)
from tests.plan_fakes import fjellsending

NAMES = ("archive-0", "archive-1")
CONFIRM = ConfirmPlan(
    digest="p1",
    intent="drain two",
    confirmed_by="kari",
    confirmed_at_s=1.0,
    base_revision=100,
    instances=NAMES,
)


def apply_all(state: FleetState, *changes: Change) -> FleetState:
    for change in changes:
        state = apply(state, change).unwrap()
    return state


def cordon(*names: str, plan: str = "", token: int = 0) -> SetCondition:
    return SetCondition(names=names, condition=Condition.CORDONED, plan=plan, fencing_token=token)


def finish(state: PlanState, token: int = 0) -> FinishPlan:
    return FinishPlan(digest="p1", state=state, outcome="", at_s=2.0, fencing_token=token)


class RefusedTests(unittest.TestCase):
    advance = AdvancePlan(digest="p1", fencing_token=5, steps_done=0)

    @parameterized.expand(
        [
            ("old token", [CONFIRM, advance], cordon(*NAMES, plan="p1", token=4), "LEASE_LOST"),
            ("foreign instance", [CONFIRM], cordon("archive-2", plan="p1"), "CONFLICT"),
            ("held by a plan", [CONFIRM], cordon("archive-0"), "CONFLICT"),
            ("held, removed", [CONFIRM], RemoveInstance(name="archive-0"), "CONFLICT"),
            ("unconfirmed", [], cordon("archive-0", plan="p1"), "CONFLICT"),
            ("cancelled", [CONFIRM, finish(PlanState.CANCELLING)], cordon(*NAMES, plan="p1"),
             "CONFLICT"),
            ("over budget", [], cordon("archive-0", "archive-1", "archive-2"), "BUDGET_SPENT"),
            ("failures first", [SetHealth(names=("archive-7",), healthy=False)], cordon(*NAMES),
             "BUDGET_SPENT"),
            ("confirmed twice", [CONFIRM], replace(CONFIRM, digest="p2"), "CONFLICT"),
            ("stale", [], replace(CONFIRM, basis="other"), "STALE_PLAN"),
            ("done, not cancelled", [CONFIRM, finish(PlanState.CANCELLING)],
             finish(PlanState.DONE), "CONFLICT"),
            ("back to running", [CONFIRM], finish(PlanState.RUNNING), "INVALID_REQUEST"),
            ("moved uncordoned", [], MoveInstance(name="archive-0", from_pool="archive",
             to_pool="coverage"), "CONFLICT"),
            ("moved from elsewhere", [cordon("archive-0")], MoveInstance(name="archive-0",
             from_pool="coverage", to_pool="archive"), "CONFLICT"),
            ("pool in use", [], RemovePool(name="archive"), "CONFLICT"),
        ]
    )  # fmt: skip
    def test_the_log_refuses(
        self, _name: str, before: list[Change], change: Change, kind: str
    ) -> None:
        """Every rule is checked when a change is applied, so it holds in every process."""
        state = apply_all(fjellsending(), *before)
        self.assertIs(apply(state, change).failure().kind, ErrorKind[kind])


class RepeatedPutTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("pool", {"pool": "coverage"}),
            ("condition", {"condition": Condition.ACTIVE}),
            ("health", {"healthy": True}),
            ("holder", {"held_by": ""}),
            ("maintenance", {"maintained_at_s": 0.0}),
        ]
    )
    def test_a_repeated_put_keeps_what_other_changes_set(
        self, _name: str, claimed: dict[str, object]
    ) -> None:
        """A script puts an outdated description of an instance that a plan moved and maintains.

        If this reverted the plan, the instance would be in two pools or get work during its reboot.
        """
        down = SetHealth(names=("archive-0",), healthy=False)
        activate = SetCondition(
            names=("archive-0",), condition=Condition.ACTIVE, maintained_at_s=9.0
        )
        state = apply_all(fjellsending(), activate, CONFIRM, cordon("archive-0", plan="p1"), down)
        known = state.instances["archive-0"]
        repeated = replace(known, slots=known.slots + 1, **claimed)
        self.assertNotEqual(replace(repeated, slots=known.slots), known)
        after_put = apply_all(state, PutInstance(instance=repeated)).instances["archive-0"]
        self.assertEqual(after_put, replace(known, slots=known.slots + 1))


class PlanRecordTests(unittest.TestCase):
    def test_an_ended_plan_keeps_no_list_of_instances(self) -> None:
        """The lists of instances of 200 ended plans would exceed the size of one stored value."""
        state = apply_all(fjellsending(), CONFIRM, finish(PlanState.DONE))
        self.assertEqual(state.plans["p1"].instances, ())
        self.assertIsInstance(apply(state, replace(CONFIRM, digest="p2")), Success)

    @parameterized.expand(
        [
            ("health in the pool", SetHealth(names=("archive-5",), healthy=False), True),
            ("cordon in the pool", cordon("archive-5"), True),
            ("health elsewhere", SetHealth(names=("coverage-5",), healthy=False), False),
        ]
    )
    def test_the_basis_covers_the_preconditions_of_a_plan(
        self, _name: str, change: Change, differs: bool
    ) -> None:
        """A change within the plan's pools changes the basis, other changes do not."""
        state = fjellsending()
        changed = precondition_digest(apply_all(state, change), NAMES) != precondition_digest(
            state, NAMES
        )
        self.assertEqual(changed, differs)

    def test_a_budget_is_part_of_the_basis(self) -> None:
        """The basis changes if a service's budget is cut between proposal and confirmation."""
        state = fjellsending()
        cut = replace(state.services["archive"], max_unavailable=1)
        self.assertNotEqual(
            precondition_digest(apply_all(state, PutService(service=cut)), NAMES),
            precondition_digest(state, NAMES),
        )
