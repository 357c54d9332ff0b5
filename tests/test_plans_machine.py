"""Random histories of operators, conductors, instance failures and store faults on plans."""

import asyncio
from collections.abc import Awaitable
from typing import Any

import looptime
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Success

from shallotworks.fleet import (
    AdvancePlan,
    Change,
    Condition,
    ConfirmPlan,
    FleetState,
    Instance,
    MoveInstance,
    PlanState,
    SetCondition,
    SetHealth,
)
from shallotworks.plans import (
    ConductorPolicy,
    Drain,
    InPool,
    InRack,
    Intent,
    Maintain,
    Move,
    Named,
    Return,
)
from shallotworks.standins import StoreFaults
from tests.plan_fakes import ConductorHarness, make_fleet

POOLS = ("a", "b", "c")
NAMES = tuple(f"{pool}-{number}" for pool in POOLS for number in range(4))
SELECTIONS = st.one_of(
    st.builds(Named, names=st.lists(st.sampled_from(NAMES), min_size=1, max_size=3).map(tuple)),
    st.builds(InPool, pool=st.sampled_from(POOLS)),
    st.builds(InRack, data_centre=st.just("x"), rack=st.sampled_from(("r0", "r1"))),
)
INTENTS: st.SearchStrategy[Intent] = st.one_of(
    st.builds(Drain, selection=SELECTIONS),
    st.builds(Return, selection=SELECTIONS),
    st.builds(Maintain, selection=SELECTIONS),
    st.builds(
        Move,
        from_pool=st.sampled_from(POOLS),
        to_pool=st.sampled_from(POOLS),
        count=st.integers(1, 2),
    ),
)
OPERATORS = st.sampled_from(("kari", "ola"))
PLAN_TIMEOUT_S = 600.0
LEASE_TAKEOVER_S = 5.5
"""Time within which a paused conductor's lease expires and another conductor acquires it."""
POLICY = ConductorPolicy(
    drain_timeout_s=30.0,
    return_timeout_s=30.0,
    final_return_timeout_s=5.0,
    settle_s=2.0,
    poll_s=0.5,
)


class PlansMachine(RuleBasedStateMachine):
    """Two operators, several conductors and injected faults, in random order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.harness = ConductorHarness(
            make_fleet(centres=("x", "y"), pools=dict.fromkeys(POOLS, 4), budget=2),
            policy=POLICY,
            reboot_s=8.0,
        )
        self.proposed: list[str] = []
        self.confirmed: set[str] = set()
        self.tokens: dict[str, int] = {}
        self.ended: dict[str, PlanState] = {}
        self.violations: list[str] = []
        self.harness.config.checks.append(self.check_change)
        self.watch_reboots()

    def wait(self, work: Awaitable[Any]) -> Any:
        return self.loop.run_until_complete(work)

    def state(self) -> FleetState:
        return self.harness.config.state()

    @initialize()
    def start(self) -> None:
        self.start_conductor()

    @rule(intent=INTENTS, operator=OPERATORS)
    def propose(self, intent: Intent, operator: str) -> None:
        result = self.wait(self.harness.plan_registry.propose(intent, author=operator))
        if isinstance(result, Success):
            self.proposed.append(result.unwrap().digest)

    @rule(index=st.integers(0, 9), operator=OPERATORS)
    def confirm(self, index: int, operator: str) -> None:
        if self.proposed:
            digest = self.proposed[-1 - index % len(self.proposed)]
            self.wait(self.harness.plan_registry.confirm(digest, operator=operator))

    @rule(index=st.integers(0, 9), operator=OPERATORS)
    def cancel(self, index: int, operator: str) -> None:
        if self.proposed:
            digest = self.proposed[-1 - index % len(self.proposed)]
            self.wait(self.harness.plan_registry.cancel(digest, operator=operator))

    @rule(intent=INTENTS, operator=OPERATORS)
    def propose_and_confirm(self, intent: Intent, operator: str) -> None:
        self.propose(intent, operator)
        self.confirm(0, operator)

    @rule(action=st.sampled_from(("start", "kill", "pause")), index=st.integers(0, 2))
    def change_conductors(self, action: str, index: int) -> None:
        alive = [task for task in self.harness.tasks if not task.done()]
        if action == "start" and len(alive) < 3:
            self.start_conductor()
        elif action == "kill" and len(alive) > 1:
            self.wait(self.harness.kill(alive[index % len(alive)]))
        elif action == "pause":
            self.loop.call_soon(self.harness.pause, alive[index % len(alive)])
            self.start_conductor()
            self.wait(asyncio.sleep(LEASE_TAKEOVER_S))

    def start_conductor(self) -> None:
        self.loop.call_soon(self.harness.start_conductor)
        self.wait(asyncio.sleep(0.1))

    @rule(
        name=st.sampled_from(NAMES),
        action=st.sampled_from(("failed", "works", "dead", "alive", "busy", "idle")),
    )
    def change_instance(self, name: str, action: str) -> None:
        targets = self.harness.targets
        match action:
            case "failed" | "works":
                change = SetHealth(names=(name,), healthy=action == "works")
                self.wait(self.harness.config.propose(change, author="peer"))
            case "dead":
                targets.dead.add(name)
            case "alive":
                targets.dead.discard(name)
            case "busy" | "idle":
                targets.work[name] = int(action == "busy")

    @rule(down=st.sampled_from((False, False, True)), lost=st.integers(0, 3))
    def change_store(self, down: bool, lost: int) -> None:
        self.harness.config.down = down
        self.harness.config.lost_answers = lost
        self.harness.store.set_faults(StoreFaults(down=down))

    @rule(duration_s=st.sampled_from((0.5, 3.0, 12.0, 90.0)))
    def advance_time(self, duration_s: float) -> None:
        self.wait(asyncio.sleep(duration_s))

    @rule(duration_s=st.sampled_from((5.0, 20.0, 60.0)))
    def advance_wave(self, duration_s: float) -> None:
        self.wait(asyncio.sleep(duration_s))

    @invariant()
    def check_fleet_invariants(self) -> None:
        assert not self.violations, self.violations
        state = self.state()
        assert sorted(state.instances) == sorted(NAMES)
        assert sum(len(list(state.instances_of(pool))) for pool in POOLS) == len(NAMES)
        for digest, ended in self.ended.items():
            assert state.plans[digest].state is ended, "an ended plan changed its state"
        assert self.confirmed <= state.plans.keys(), "a confirmed plan is missing"

    def teardown(self) -> None:
        """After every fault is cleared, each confirmed plan ends."""
        try:
            self.clear_faults()
            for digest in sorted(self.confirmed):
                self.wait_until_ended(digest)
                self.check_end(digest)
                self.return_leftover_cordons()
            self.check_fleet_invariants()
        finally:
            self.wait(self.harness.stop())
            self.loop.close()

    def clear_faults(self) -> None:
        self.change_store(down=False, lost=0)
        self.harness.targets.dead.clear()
        self.harness.targets.work.clear()
        failed = tuple(name for name in NAMES if not self.state().instances[name].healthy)
        change = SetHealth(names=failed, healthy=True)
        self.wait(self.harness.config.propose(change, author="peer"))
        self.return_leftover_cordons()
        self.start_conductor()

    def return_leftover_cordons(self) -> None:
        """Reactivate instances that ended drains left cordoned; they block other plans' budgets."""
        state = self.state()
        left = tuple(
            name
            for name, entry in state.instances.items()
            if entry.condition is Condition.CORDONED and not state.open_plan_holding((name,))
        )
        change = SetCondition(names=left, condition=Condition.ACTIVE)
        self.wait(self.harness.config.propose(change, author="clear-faults"))

    def wait_until_ended(self, digest: str) -> None:
        """Wait for a plan to end; cancel it if it is blocked, as drains can block each other."""
        try:
            self.wait(self.harness.wait_until_ended(digest, timeout_s=PLAN_TIMEOUT_S))
        except TimeoutError:
            state = self.state()
            pools = {state.instances[name].pool for name in state.plans[digest].instances}
            full = [p for p in pools if state.unavailable_in(p) >= state.disruption_budget(p)]
            assert full, f"plan {digest} makes no progress although budget is left"
            self.wait(self.harness.plan_registry.cancel(digest, operator="kari"))
            self.wait(self.harness.wait_until_ended(digest, timeout_s=PLAN_TIMEOUT_S))

    def check_end(self, digest: str) -> None:
        state = self.state()
        if state.plans[digest].state is PlanState.CANCELLED:
            left = [e.name for e in state.instances.values() if e.held_by == digest]
            outcome = state.plans[digest].outcome
            assert all(name in outcome for name in left), (left, outcome)

    def check_change(self, before: FleetState, change: Change, after: FleetState) -> None:
        """Check one accepted change; the next check of the invariants reports a violation."""
        match change:
            case ConfirmPlan():
                self.confirmed.add(change.digest)
            case SetCondition() | MoveInstance() | AdvancePlan():
                digest = change.digest if isinstance(change, AdvancePlan) else change.plan
                if not digest:
                    author = self.harness.config.history[-1][1]
                    self.expect(author == "clear-faults", f"change without a plan: {change}")
                    return
                self.expect(digest in self.confirmed, f"change of an unconfirmed plan: {change}")
                self.expect(
                    change.fencing_token >= self.tokens.get(digest, 0),
                    f"change with a stale fencing token: {change}",
                )
                self.tokens[digest] = change.fencing_token
        if isinstance(change, SetCondition) and change.condition is Condition.CORDONED:
            for pool in {after.instances[name].pool for name in change.names}:
                out = after.unavailable_in(pool)
                more = out > before.unavailable_in(pool)
                self.expect(
                    not more or out <= after.disruption_budget(pool),
                    f"change exceeds the disruption budget: {change}",
                )
        for record in after.plans.values():
            if not record.state.is_open:
                self.ended.setdefault(record.digest, record.state)
        for name, entry in after.instances.items():
            moved = entry.pool != before.instances[name].pool
            self.expect(
                not moved or isinstance(change, MoveInstance),
                f"instance moved by another kind of change: {change}",
            )
            grew = entry.maintained_at_s >= before.instances[name].maintained_at_s
            self.expect(grew, f"maintenance time was set back: {name}")

    def watch_reboots(self) -> None:
        """Check that each reboot is confirmed, cordoned by its plan and without work in flight."""
        targets = self.harness.targets
        real_reboot = targets.reboot

        async def checked(instance: Instance, *, reboot_id: str, fencing_token: int) -> Any:
            before = len(targets.reboots)
            busy = targets.work.get(instance.name, 0)
            result = await real_reboot(instance, reboot_id=reboot_id, fencing_token=fencing_token)
            if len(targets.reboots) > before:
                held_by = self.state().instances[instance.name].held_by
                self.expect(reboot_id in self.confirmed, "reboot of an unconfirmed plan")
                self.expect(
                    held_by == reboot_id,
                    f"reboot of {instance.name}, which the plan has not cordoned",
                )
                self.expect(busy == 0, f"reboot of {instance.name} with work in flight")
            return result

        targets.reboot = checked  # type: ignore[method-assign]

    def expect(self, passed: bool, message: str) -> None:
        if not passed:
            self.violations.append(message)


PlansTests = PlansMachine.TestCase
PlansTests.settings = settings(max_examples=60, stateful_step_count=50, deadline=None)
