"""Tests of `shallotworks.plans`: execution of confirmed plans while components fail."""

import asyncio
import unittest
from dataclasses import replace

from parameterized import parameterized
from returns.result import Success

from shallotworks.errors import ErrorKind
from shallotworks.fleet import Condition, FleetState, PlanState, PutService, SetCondition, SetHealth
from shallotworks.plans import (
    ConductorPolicy,
    Drain,
    InPool,
    InRack,
    Maintain,
    MaintenanceWindow,
    Move,
    Named,
)
from tests.plan_fakes import ConductorHarness, fjellsending, propose_and_confirm, run, tijera

ARCHIVE = Maintain(selection=InPool(pool="archive"))
ARCHIVE_NAMES = [f"archive-{number}" for number in range(8)]


class ConductorTakeoverTests(unittest.TestCase):
    @parameterized.expand([(f"{at_s}s", at_s) for at_s in (0.1, 1.0, 3.2, 4.0, 15.0, 24.0, 70.0)])
    def test_another_conductor_continues_the_plan(self, _name: str, at_s: float) -> None:
        """When the conducting process crashes, another one acquires the lease within 10 s.

        The other one continues from the stored state: no wave stops, no target reboots twice.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            first = harness.start_conductor()
            harness.start_conductor()
            digest = await propose_and_confirm(harness, ARCHIVE)
            await asyncio.sleep(at_s)
            await harness.kill(first)
            token = harness.lease.token
            await asyncio.sleep(10)
            self.assertGreater(harness.lease.token, token)
            state = await harness.wait_until_ended(digest)
            self.assertIs(state.plans[digest].state, PlanState.DONE)
            self.assertEqual(sorted(harness.targets.reboots), ARCHIVE_NAMES)
            await harness.stop()

        run(scenario)

    def test_a_conductor_paused_past_its_lease_is_fenced(self) -> None:
        """A conductor whose clock was paused with it writes again after another took over.

        Its outdated fencing token is refused by the log, so only the new conductor acts.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            first = harness.start_conductor()
            digest = await propose_and_confirm(harness, ARCHIVE)
            await asyncio.sleep(10)
            harness.pause(first)
            await asyncio.sleep(harness.lease.ttl_s)
            harness.start_conductor()
            await asyncio.sleep(3)
            history_length = len(harness.config.history)
            state = await harness.wait_until_ended(digest)
            self.assertIs(state.plans[digest].state, PlanState.DONE)
            authors = {author for _, author in harness.config.history[history_length:]}
            self.assertEqual(authors, {"entry-1"})
            self.assertEqual(sorted(harness.targets.reboots), ARCHIVE_NAMES)
            self.assertGreater(harness.metrics.counters()["plans.duties_lost"], 0)
            self.assertFalse(first.done())
            await harness.stop()

        run(scenario)


class StoreFaultTests(unittest.TestCase):
    def test_nothing_is_cordoned_while_the_store_is_down(self) -> None:
        """The store is down for ten minutes, so no permit can be taken for a further cordon.

        Cordoned instances finish their reboot; when the store is back, the plan completes.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.start_conductor()
            digest = await propose_and_confirm(harness, ARCHIVE)
            await asyncio.sleep(10)
            harness.config.down = True
            revision = harness.config.state().revision
            reboots = len(harness.targets.reboots)
            await asyncio.sleep(600)
            self.assertEqual(harness.config.state().revision, revision)
            self.assertLessEqual(len(harness.targets.reboots), reboots + 2)
            harness.config.down = False
            state = await harness.wait_until_ended(digest)
            self.assertIs(state.plans[digest].state, PlanState.DONE)
            await harness.stop()

        run(scenario)

    def test_a_write_with_a_lost_answer_is_repeated(self) -> None:
        """The store applies writes whose answers are lost, so their outcome is unknown.

        The conductor repeats each idempotent write, and no target is rebooted twice.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.start_conductor()
            digest = await propose_and_confirm(harness, ARCHIVE)
            harness.config.lost_answers = 12
            state = await harness.wait_until_ended(digest)
            self.assertIs(state.plans[digest].state, PlanState.DONE)
            self.assertEqual(sorted(harness.targets.reboots), ARCHIVE_NAMES)
            await harness.stop()

        run(scenario)


class BudgetTests(unittest.TestCase):
    def test_unplanned_failures_spend_the_budget_first(self) -> None:
        """Two instances of the pool fail before its maintenance and use up the budget of two.

        A wave that started anyway would make three or four unavailable; it waits for a recovery.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.start_conductor()
            digest = await propose_and_confirm(harness, ARCHIVE)
            down = SetHealth(names=("archive-6", "archive-7"), healthy=False)
            await harness.config.propose(down, author="peer")
            await asyncio.sleep(1200)
            self.assertLessEqual(len(harness.targets.reboots), 2)
            up = SetHealth(names=("archive-6", "archive-7"), healthy=True)
            await harness.config.propose(up, author="peer")
            state = await harness.wait_until_ended(digest)
            self.assertIs(state.plans[digest].state, PlanState.DONE)
            await harness.stop()

        run(scenario)

    def test_two_plans_never_overspend_together(self) -> None:
        """Two plans over halves of one pool run together; each alone fits the budget.

        Both take their permits from the same log, so together they never exceed it.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.config.checks.append(lambda before, change, after: self._check_budget(after))
            harness.start_conductor()
            halves = [Named(names=tuple(ARCHIVE_NAMES[start::2])) for start in (0, 1)]
            digests = [
                await propose_and_confirm(harness, Maintain(selection=half), operator)
                for half, operator in zip(halves, ("kari", "ola"), strict=True)
            ]
            for digest in digests:
                state = await harness.wait_until_ended(digest)
                self.assertIs(state.plans[digest].state, PlanState.DONE)
            await harness.stop()

        run(scenario)

    def _check_budget(self, state: FleetState) -> None:
        self.assertLessEqual(state.unavailable_in("archive"), state.disruption_budget("archive"))


class TargetFaultTests(unittest.TestCase):
    def test_a_target_that_never_empties_is_returned(self) -> None:
        """A request that never ends must neither be interrupted nor block the maintenance.

        After the drain timeout its target is returned without a reboot, and the outcome names it.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.targets.work["archive-3"] = 1
            harness.start_conductor()
            digest = await propose_and_confirm(harness, ARCHIVE)
            state = await harness.wait_until_ended(digest)
            record = state.plans[digest]
            self.assertIs(record.state, PlanState.FAILED)
            self.assertIn("7 of 8 instances done: archive-3 never emptied", record.outcome)
            self.assertNotIn("archive-3", harness.targets.reboots)
            self.assertTrue(state.instances["archive-3"].available)
            await harness.stop()

        run(scenario)

    def test_work_that_arrives_after_the_drain_is_not_cut_off(self) -> None:
        """A partitioned entry instance sends a request to a target that has just been drained.

        The target refuses to reboot with work in flight, and the drain starts over.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.start_conductor()
            refused = []
            real_reboot = harness.targets.reboot

            async def reboot_after_late_work(instance, *, reboot_id, fencing_token):  # type: ignore
                if not refused:
                    refused.append(instance.name)
                    harness.targets.work[instance.name] = 1
                    asyncio.get_running_loop().call_later(9, harness.targets.work.clear)
                return await real_reboot(instance, reboot_id=reboot_id, fencing_token=fencing_token)

            harness.targets.reboot = reboot_after_late_work  # type: ignore[method-assign]
            digest = await propose_and_confirm(harness, ARCHIVE)
            state = await harness.wait_until_ended(digest)
            self.assertIs(state.plans[digest].state, PlanState.DONE)
            self.assertEqual(sorted(harness.targets.reboots), ARCHIVE_NAMES)
            await harness.stop()

        run(scenario)

    @parameterized.expand([("dead", "did not come back"), ("replaced", "another machine")])
    def test_a_target_that_does_not_come_back_stays_cordoned(
        self, fault: str, message: str
    ) -> None:
        """After the reboot a target never answers, or another machine answers under its name.

        The target might fail requests or be too small for them, so it stays cordoned.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.change_instance("archive-0", incarnation="first")
            harness.start_conductor()
            digest = await propose_and_confirm(harness, ARCHIVE)
            while "archive-0" not in harness.targets.reboots:
                await asyncio.sleep(0.1)
            if fault == "dead":
                harness.targets.dead.add("archive-0")
            else:
                harness.targets.incarnations["archive-0"] = "second"
            state = await harness.wait_until_ended(digest)
            record = state.plans[digest]
            self.assertIs(record.state, PlanState.FAILED)
            self.assertIn(message, record.outcome)
            self.assertIn("7 of 8 instances done", record.outcome)
            self.assertIs(state.instances["archive-0"].condition, Condition.CORDONED)
            self.assertFalse(state.instances["archive-0"].healthy)
            await harness.stop()

        run(scenario)

    def test_the_plan_pauses_when_too_many_do_not_come_back(self) -> None:
        """A faulty image keeps rebooted targets from coming back; the plan must not lose all.

        The plan pauses after two failed instances, and continues when they answer again.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.start_conductor()
            digest = await propose_and_confirm(harness, ARCHIVE)
            while len(harness.targets.reboots) < 2:
                await asyncio.sleep(0.1)
            harness.targets.dead.update(harness.targets.reboots)
            await asyncio.sleep(3600)
            self.assertEqual(len(harness.targets.reboots), 2)
            self.assertTrue(harness.config.state().plans[digest].state.is_open)
            harness.targets.dead.clear()
            state = await harness.wait_until_ended(digest)
            self.assertIs(state.plans[digest].state, PlanState.DONE)
            await harness.stop()

        run(scenario)


class CancelTests(unittest.TestCase):
    @parameterized.expand([("at once", 0.0), ("draining", 4.0), ("rebooting", 15.0)])
    def test_a_cancelled_maintenance_is_rolled_back(self, _name: str, at_s: float) -> None:
        """An operator cancels during a wave, and no further instance may be rebooted.

        Every cordoned instance is returned, after its reboot if that has begun.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.start_conductor()
            harness.targets.work["archive-1"] = 1
            digest = await propose_and_confirm(harness, ARCHIVE)
            await asyncio.sleep(at_s)
            (await harness.plan_registry.cancel(digest[:8], operator="ola")).unwrap()
            state = await harness.wait_until_ended(digest)
            self.assertIs(state.plans[digest].state, PlanState.CANCELLED)
            self.assertTrue(all(entry.available for entry in state.instances.values()))
            self.assertLessEqual(len(harness.targets.reboots), 2)
            await harness.stop()

        run(scenario)

    def test_a_cancelled_move_is_reverted(self) -> None:
        """A move is cancelled while an instance is in the new pool and still cordoned.

        The instance must not remain in that pool: it is moved back and returned.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.start_conductor()
            names = ("archive-0", "archive-1")
            intent = Move(from_pool="archive", to_pool="coverage", names=names)
            digest = await propose_and_confirm(harness, intent)
            while harness.config.state().instances["archive-0"].pool != "coverage":
                harness.targets.dead.update(names if harness.targets.work else ())
                await asyncio.sleep(0.01)
            (await harness.plan_registry.cancel(digest, operator="kari")).unwrap()
            state = await harness.wait_until_ended(digest)
            self.assertEqual({state.instances[name].pool for name in names}, {"archive"})
            self.assertTrue(all(state.instances[name].available for name in names))
            await harness.stop()

        run(scenario)


class MoveAndWindowTests(unittest.TestCase):
    def test_moved_instances_end_active_in_the_new_pool(self) -> None:
        """Three moved instances are in the new pool and available when the plan is done."""

        async def scenario() -> None:
            harness = ConductorHarness(tijera())
            harness.start_conductor()
            intent = Move(from_pool="supplies", to_pool="booking", count=3)
            digest = await propose_and_confirm(harness, intent)
            state = await harness.wait_until_ended(digest)
            self.assertIs(state.plans[digest].state, PlanState.DONE)
            self.assertEqual(len(list(state.instances_of("booking"))), 9)
            self.assertTrue(all(entry.available for entry in state.instances_of("booking")))
            await harness.stop()

        run(scenario)

    def test_no_wave_starts_that_does_not_fit_into_the_window(self) -> None:
        """A plan is confirmed while the salons are open, until 20:00.

        A wave then would take capacity from clients; the plan waits for the maintenance window.
        """

        async def scenario() -> None:
            window = MaintenanceWindow(opens_s=20 * 3600, closes_s=6 * 3600)
            harness = ConductorHarness(tijera(), policy=ConductorPolicy(window=window))
            harness.start_conductor()
            digest = await propose_and_confirm(
                harness, Drain(selection=Named(names=("booking-0",)))
            )
            change_checks = harness.config.checks
            cordoned_left_s: list[float] = []
            change_checks.append(
                lambda before, change, after: (
                    cordoned_left_s.append(window.left_s(harness.wall_clock_s()))
                    if isinstance(change, SetCondition)
                    else None
                )
            )
            await harness.wait_until_ended(digest, timeout_s=86_400)
            self.assertEqual(len(cordoned_left_s), 1)
            self.assertGreater(cordoned_left_s[0], 0)
            await harness.stop()

        run(scenario)


class OperatorTests(unittest.TestCase):
    def test_a_conflicting_confirmation_names_the_earlier_plan(self) -> None:
        """Two operators propose a drain and a maintenance of one rack; the first confirmed wins.

        The refusal names the earlier plan, its operator, its time and its expected duration.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            rack = InRack(data_centre="bergen", rack="r0")
            drain = (
                await harness.plan_registry.propose(Drain(selection=rack), author="kari")
            ).unwrap()
            maintain = (
                await harness.plan_registry.propose(Maintain(selection=rack), author="ola")
            ).unwrap()
            (await harness.plan_registry.confirm(drain.digest, operator="kari")).unwrap()
            refused = (
                await harness.plan_registry.confirm(maintain.digest, operator="ola")
            ).failure()
            self.assertIs(refused.kind, ErrorKind.CONFLICT)
            for part in (drain.short_digest, "confirmed by kari at 2027-01-15", "to end in 1 min"):
                self.assertIn(part, refused.reason)

        run(scenario)

    def test_a_stale_plan_is_refused_with_a_fresh_proposal(self) -> None:
        """The pool's budget is cut after the proposal, so its waves of two would now exceed it.

        The confirmation is refused and names a fresh proposal, which can be confirmed.
        """

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            plan = (await harness.plan_registry.propose(ARCHIVE, author="kari")).unwrap()
            unrelated = SetHealth(names=("coverage-0",), healthy=False)
            await harness.config.propose(unrelated, author="peer")
            service = harness.config.state().services["archive"]
            cut = PutService(service=replace(service, max_unavailable=1))
            await harness.config.propose(cut, author="ola")
            refused = (await harness.plan_registry.confirm(plan.digest, operator="kari")).failure()
            self.assertIs(refused.kind, ErrorKind.STALE_PLAN)
            fresh = refused.reason.rsplit("plan ", 1)[1]
            self.assertIsInstance(
                await harness.plan_registry.confirm(fresh, operator="kari"), Success
            )

        run(scenario)

    def test_an_unrelated_change_keeps_a_proposal_valid(self) -> None:
        """A change outside of the plan's pools doesn't block its confirmation, nor a second one."""

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            plan = (await harness.plan_registry.propose(ARCHIVE, author="kari")).unwrap()
            unrelated = SetHealth(names=("coverage-0",), healthy=False)
            await harness.config.propose(unrelated, author="peer")
            confirmed_plan = await harness.plan_registry.confirm(plan.digest, operator="kari")
            self.assertIsInstance(confirmed_plan, Success)
            again = await harness.plan_registry.confirm(plan.digest, operator="kari")
            self.assertEqual(again, confirmed_plan)

        run(scenario)
