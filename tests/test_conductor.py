"""Tests of `shallotworks.plans`: execution of confirmed plans, and pruning of proposals."""

import asyncio
import unittest

from shallotworks.errors import ErrorKind
from shallotworks.fleet import Condition, PlanState, SetHealth
from shallotworks.plans import Drain, InPool, InRack, Maintain, Named, Return
from tests.plan_fakes import ConductorHarness, fjellsending, propose_and_confirm, run


class EndToEndTests(unittest.TestCase):
    def test_a_rack_is_drained_after_confirmation_only(self) -> None:
        """A proposal changes nothing; once it is confirmed, the rack is cordoned and drained."""

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.start_conductor()
            rack = InRack(data_centre="bergen", rack="r0")
            plan = (
                await harness.plan_registry.propose(Drain(selection=rack), author="kari")
            ).unwrap()
            await asyncio.sleep(60)
            self.assertEqual(harness.config.history, [])
            harness.targets.work["fault-trace-0"] = 3
            (await harness.plan_registry.confirm(plan.digest, operator="kari")).unwrap()
            await asyncio.sleep(30)
            self.assertTrue(harness.config.state().plans[plan.digest].state.is_open)
            harness.targets.work.clear()
            state = await harness.wait_until_ended(plan.digest)
            self.assertIs(state.plans[plan.digest].state, PlanState.DONE)
            for name in plan.instances:
                self.assertIs(state.instances[name].condition, Condition.CORDONED)
            await harness.stop()

        run(scenario)

    def test_a_maintained_pool_is_returned(self) -> None:
        """Every instance is rebooted once and returned, and its time of maintenance is recorded."""

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.start_conductor()
            digest = await propose_and_confirm(harness, Maintain(selection=InPool(pool="archive")))
            state = await harness.wait_until_ended(digest)
            self.assertIs(state.plans[digest].state, PlanState.DONE)
            self.assertEqual(sorted(harness.targets.reboots), [f"archive-{n}" for n in range(8)])
            for entry in state.instances_of("archive"):
                self.assertTrue(entry.available)
                self.assertGreater(entry.maintained_at_s, 0)
            await harness.stop()

        run(scenario)

    def test_a_drained_instance_is_returned_and_works_again(self) -> None:
        """A return probes the instance, removes its cordon and records it as healthy again."""

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            harness.start_conductor()
            one = Named(names=("archive-0",))
            await harness.wait_until_ended(await propose_and_confirm(harness, Drain(selection=one)))
            failed = SetHealth(names=one.names, healthy=False)
            await harness.config.propose(failed, author="peer")
            state = await harness.wait_until_ended(
                await propose_and_confirm(harness, Return(selection=one))
            )
            self.assertTrue(state.instances["archive-0"].available)
            await harness.stop()

        run(scenario)


class ProposalTests(unittest.TestCase):
    def test_only_old_proposals_are_pruned(self) -> None:
        """Pruning deletes an old unconfirmed proposal and keeps a confirmed plan."""

        async def scenario() -> None:
            harness = ConductorHarness(fjellsending())
            kept = await propose_and_confirm(harness, Drain(selection=Named(names=("archive-0",))))
            intent = Drain(selection=Named(names=("coverage-0",)))
            old = (await harness.plan_registry.propose(intent, author="kari")).unwrap().digest
            for healthy in (False, True):
                change = SetHealth(names=("coverage-5",), healthy=healthy)
                await harness.config.propose(change, author="peer")
            self.assertEqual((await harness.plan_registry.prune(kept_revisions=5)).unwrap(), 0)
            self.assertEqual((await harness.plan_registry.prune(kept_revisions=1)).unwrap(), 1)
            listed = (await harness.plan_registry.list()).unwrap()
            self.assertEqual([entry.plan.digest for entry in listed], [kept])
            refused = (await harness.plan_registry.show(old)).failure()
            self.assertIs(refused.kind, ErrorKind.NOT_FOUND)

        run(scenario)
