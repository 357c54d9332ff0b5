"""Tests of `shallotworks.plans`: confirmed plans are carried out, whatever fails meanwhile."""

import asyncio
import unittest

from shallotworks.fleet import Condition, PlanState
from shallotworks.plans import Drain, InPool, InRack, Maintain
from tests.fakes_plans import World, confirmed, fjellsending, run


class EndToEndTests(unittest.TestCase):
    def test_a_rack_is_drained_after_confirmation_only(self) -> None:
        """Nothing changes on a proposal; confirmed, the rack ends up cordoned and empty."""

        async def scenario() -> None:
            world = World(fjellsending())
            world.start_conductor()
            rack = InRack(data_centre="bergen", rack="r0")
            plan = (await world.proposals.propose(Drain(selection=rack), author="kari")).unwrap()
            await asyncio.sleep(60)
            self.assertEqual(world.config.history, [])
            world.targets.work["fault-trace-0"] = 3
            (await world.proposals.confirm(plan.digest, operator="kari")).unwrap()
            await asyncio.sleep(30)
            self.assertTrue(world.config.state().plans[plan.digest].state.is_open)
            world.targets.work.clear()
            state = await world.until_ended(plan.digest)
            self.assertIs(state.plans[plan.digest].state, PlanState.DONE)
            for name in plan.instances:
                self.assertIs(state.instances[name].condition, Condition.CORDONED)
            await world.stop()

        run(scenario)

    def test_a_pool_is_maintained_and_comes_back(self) -> None:
        """Every instance is rebooted once, returned, and its maintenance is on record."""

        async def scenario() -> None:
            world = World(fjellsending())
            world.start_conductor()
            digest = await confirmed(world, Maintain(selection=InPool(pool="archive")))
            state = await world.until_ended(digest)
            self.assertIs(state.plans[digest].state, PlanState.DONE)
            self.assertEqual(sorted(world.targets.reboots), [f"archive-{n}" for n in range(8)])
            for entry in state.instances_of("archive"):
                self.assertTrue(entry.available)
                self.assertGreater(entry.maintained_at_s, 0)
            await world.stop()

        run(scenario)
