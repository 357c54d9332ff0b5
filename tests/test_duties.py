"""Tests of leases that are handed over to the instances that carry them better."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from parameterized import parameterized

from shallotworks.scheduling.duties import LeaderElector, LeaseHolder, SuccessionClaim
from shallotworks.scheduling.duties._held_claim import HeldClaim
from shallotworks.standins import FaultInjectingStore
from shallotworks.store import HeldLease
from tests.duty_fleet import CLAIMS_PREFIX, PREFIX, DutyFleet, DutyInstance
from tests.held_leases import try_acquire
from tests.virtual_clock import run_scenario

WEAK, STRONG = 0.2, 1.0
WEAK_EPOCH_S = 3.0
"""A weak holder gives way within this time from its epoch's begin."""
CLAIM_ENDS_S = 3.2
"""A claim that nobody withdraws ends within this time."""
PLAIN_BIDS_S = 1.5
"""All instances bid for a free key, although another has claimed it, within this time."""
EXPIRED_LEASE_S = 2.6
"""The key of a holder that died is free, and acquired by another instance, within this time."""
STOPS_IN_TURN_S = 2.0
RESTART_S = 1.4
"""Time between the end of an instance that restarts and its new start."""


def run_fleet(scenario: Callable[[DutyFleet], Awaitable[None]], *services: str) -> DutyFleet:
    """Run a scenario of a fleet on a virtual clock."""

    async def run() -> DutyFleet:
        fleet = DutyFleet(*services)
        await scenario(fleet)
        await fleet.close()
        return fleet

    return run_scenario(run())


async def start_with_weak_holder(fleet: DutyFleet, *strong: str) -> None:
    """Let a weak instance acquire all leases, then start strong ones that may claim them."""
    fleet.start("weak", WEAK)
    await fleet.wait_for(lambda: fleet.holders()["weak"] == len(fleet.services), 8.0)
    for name in strong:
        fleet.start(name)


class HandoverTests(unittest.TestCase):
    def test_a_weak_holder_gives_way_to_a_strong_instance(self) -> None:
        """A weak instance kept a lease from 5 s until 36 s, since it bid first after a fault."""

        async def scenario(fleet: DutyFleet) -> None:
            holder = fleet.start("s0")
            fleet.start("weak", WEAK)
            fleet.start("s1")
            others = [fleet.instances["s0"], fleet.instances["s1"]]
            await fleet.wait_for(lambda: fleet.holder() in ("s0", "s1"), 2.0)
            await asyncio.sleep(5.0)
            for instance in others:
                instance.store.faults.is_down = True
            await fleet.wait_for(lambda: fleet.holder() == "weak", 5.0)
            for instance in others:
                instance.store.faults.is_down = False
            self.assertIsNotNone(holder)
            await fleet.wait_for(lambda: fleet.holder() in ("s0", "s1"), WEAK_EPOCH_S)

        run_fleet(scenario)

    def test_a_handover_leaves_hardly_a_gap(self) -> None:
        """Tasks waited for a second at a hand-over, since the claimant bid as all others do."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            await fleet.wait_for(lambda: fleet.holder() == "strong", 8.0)
            await asyncio.sleep(1.0)
            self.assertLess(fleet.longest_gap_s(), 0.05)
            self.assertFalse(fleet.is_claimed())
            self.assertTrue(LeaseHolder.decode(fleet.values[fleet.epochs[-1].token]).is_successor)
            self.assertEqual(1, fleet.instances["weak"].count("succession-agreed"))
            self.assertEqual(1, fleet.instances["strong"].count("succession-claimed"))

        run_fleet(scenario)

    def test_a_claimant_with_slow_calls_bids_before_all_others(self) -> None:
        """A lease that was handed over went to another instance, or back to its weak holder."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "claimant", "s1", "s2")
            for name in ("s1", "s2"):
                await fleet.instances[name].kill()
            fleet.instances["claimant"].store.faults.delay_s = 0.3
            await fleet.wait_for(fleet.is_claimed, 8.0)
            for name in ("s1", "s2"):
                fleet.start(name)
            await fleet.wait_for(lambda: fleet.holder() not in (None, "weak"), 3.0)
            self.assertEqual("claimant", fleet.holder())

        run_fleet(scenario)

    def test_equal_instances_pass_nothing_back_and_forth(self) -> None:
        """Leases changed hands again and again among instances of which none is better."""

        async def scenario(fleet: DutyFleet) -> None:
            for number in range(3):
                fleet.start(f"n{number}")
            await asyncio.sleep(60.0)

        fleet = run_fleet(scenario, "a", "b", "c", "d", "e", "f", "keeper")
        moved = [epoch for epoch in fleet.epochs if epoch.ended_s and epoch.ended_s < 60.0]
        self.assertLessEqual(len(moved), 2)
        self.assertEqual(len(moved), fleet.count("succession-claimed"))

    def test_unequal_instances_pass_nothing_back_and_forth(self) -> None:
        """Leases changed hands again and again among instances of drawn strengths."""
        for seed in range(6):
            rng = random.Random(seed)

            async def scenario(fleet: DutyFleet, rng: random.Random = rng) -> None:
                for number in range(5):
                    fleet.start(f"n{number}", rng.choice((0.2, 0.5, 0.7, 1.0)))
                    await asyncio.sleep(rng.uniform(0.0, 3.0))
                await asyncio.sleep(60.0)
                settled = len(fleet.epochs)
                await asyncio.sleep(60.0)
                self.assertEqual(settled, len(fleet.epochs))

            with self.subTest(seed=seed):
                fleet = run_fleet(scenario, "a", "b", "c", "d", "e", "f", "g", "h")
                self.assertLessEqual(fleet.count("succession-agreed"), 12)

    def test_one_of_two_claimants_succeeds(self) -> None:
        """A lease that two instances claimed went to a third one, or to none."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "s0", "s1")
            await fleet.wait_for(lambda: fleet.holder() in ("s0", "s1"), 8.0)
            await asyncio.sleep(10.0)
            self.assertEqual(1, fleet.count("succession-claimed"))
            self.assertEqual(2, len(fleet.epochs))

        with mock.patch("shallotworks.scheduling.duties._leader_elector.BID_SPREAD_S", 0.0):
            run_fleet(scenario)

    def test_a_crowded_holder_hands_one_lease_to_an_idle_instance(self) -> None:
        """An instance carried two leases for minutes while another one as strong carried none."""

        async def scenario(fleet: DutyFleet) -> None:
            fleet.start("n0")
            await fleet.wait_for(lambda: fleet.holders()["n0"] == 2, 3.0)
            fleet.start("n1")
            fleet.start("n2")
            await asyncio.sleep(30.0)
            self.assertEqual([1, 1], sorted(fleet.holders().values()))
            self.assertEqual(3, len(fleet.epochs))

        run_fleet(scenario, "a", "b")

    def test_a_busy_holder_keeps_its_leases_from_an_instance_that_is_no_stronger(self) -> None:
        """In a queue's turn 197 tasks waited for a new scheduler, though the old one kept up."""

        async def scenario(fleet: DutyFleet) -> None:
            crowded = fleet.start("n0")
            await fleet.wait_for(lambda: fleet.holders()["n0"] == 2, 3.0)
            crowded.is_busy = True
            fleet.start("n1")
            await asyncio.sleep(30.0)
            self.assertEqual(2, fleet.holders()["n0"])
            self.assertGreaterEqual(crowded.count("succession-refused"), 1)
            crowded.is_busy = False
            await asyncio.sleep(25.0)
            self.assertEqual(1, fleet.holders()["n0"])

        run_fleet(scenario, "a", "b")

    def test_a_busy_weak_holder_gives_way_all_the_same(self) -> None:
        """A weak instance kept a lease through its queue's turn, as tasks were waiting there."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            fleet.instances["weak"].is_busy = True
            await fleet.wait_for(lambda: fleet.holder() == "strong", 8.0)

        run_fleet(scenario)

    @parameterized.expand([("too little", 0.5, "first"), ("enough", 0.2, "strong")])
    def test_the_machine_controller_moves_only_from_a_far_weaker_instance(
        self, _: str, strength: float, expected: str
    ) -> None:
        """Machines stood still for 3 s each time the controller moved to a better instance."""

        async def scenario(fleet: DutyFleet) -> None:
            fleet.start("first", strength)
            await fleet.wait_for(lambda: fleet.holder("keeper") == "first", 3.0)
            fleet.start("strong")
            await asyncio.sleep(20.0)
            self.assertEqual(expected, fleet.holder("keeper"))

        run_fleet(scenario, "keeper")

    def test_an_instance_with_nothing_to_claim_makes_no_further_calls(self) -> None:
        """Each idle instance paid for store calls, only to learn whether it may claim something."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong", "idle")
            await asyncio.sleep(20.0)
            names = ["weak", "strong", "idle"]
            names.remove(fleet.holder() or "")
            for name in names:
                fleet.instances[name].store.calls.clear()
            await asyncio.sleep(30.0)
            for name in names:
                calls = fleet.instances[name].store.calls
                self.assertEqual({"watch"}, set(calls))
                self.assertLessEqual(calls["watch"], 31)

        run_fleet(scenario)


class FailureTests(unittest.TestCase):
    """What holds if something happens halfway; one test for each row of the design's table."""

    def test_the_claimant_dies(self) -> None:
        """A lease stayed free for as long as the claim of a dead claimant existed."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            await fleet.wait_for(fleet.is_claimed, 8.0)
            await fleet.instances["strong"].kill()
            await fleet.wait_for(lambda: fleet.holder() is None, 1.0)
            await fleet.wait_for(lambda: fleet.holder() == "weak", PLAIN_BIDS_S + 1.0)
            await fleet.wait_for(lambda: not fleet.is_claimed(), CLAIM_ENDS_S)

        run_fleet(scenario)

    def test_the_holder_dies_after_the_claim(self) -> None:
        """After the holder's death a weak instance was first, although a strong one waited."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            for number in range(4):
                fleet.start(f"weak{number}", WEAK)
            with mock.patch.object(LeaderElector, "_answer_claim"):
                await fleet.wait_for(fleet.is_claimed, 8.0)
                await fleet.instances["weak"].kill()
            await fleet.wait_for(lambda: fleet.holder() == "strong", EXPIRED_LEASE_S)

        run_fleet(scenario)

    @parameterized.expand([("leases run out", False), ("leases are paused", True)])
    def test_the_store_is_away(self, _: str, are_leases_paused: bool) -> None:
        """A claim was made or answered without the store, so that two instances decided."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            await asyncio.sleep(3.0)
            fleet.store.are_leases_paused = are_leases_paused
            for instance in fleet.instances.values():
                instance.store.faults.is_down = True
            await asyncio.sleep(6.0)
            self.assertEqual(0, fleet.count("succession-claimed"))
            self.assertEqual(0, fleet.count("succession-agreed"))
            self.assertEqual(0, fleet.instances["strong"].store.calls["grant"])
            for instance in fleet.instances.values():
                instance.store.faults.is_down = False
            fleet.store.are_leases_paused = False
            await fleet.wait_for(lambda: fleet.holder() == "strong", 6.0)

        run_fleet(scenario)

    def test_the_answer_to_a_claim_is_lost(self) -> None:
        """A lease that was handed over stayed free, as the claimant didn't know of its claim."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            strong = fleet.instances["strong"]
            strong.store.faults.lost_ratio = 1.0
            await fleet.wait_for(fleet.is_claimed, 8.0)
            strong.store.faults.lost_ratio = 0.0
            await fleet.wait_for(lambda: fleet.holder() is None, 1.0)
            await fleet.wait_for(lambda: fleet.holder() is not None, PLAIN_BIDS_S + 1.0)
            await fleet.wait_for(lambda: not fleet.is_claimed(), CLAIM_ENDS_S)
            await fleet.wait_for(lambda: fleet.holder() == "strong", 2 * CLAIM_ENDS_S + 20.0)

        run_fleet(scenario)

    def test_a_late_claim_is_carried_out_seconds_later(self) -> None:
        """A claim that the store carried out late ended an epoch that it did not concern."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            strong = fleet.instances["strong"]
            strong.store.faults.late_ratio = 1.0
            strong.store.faults.late_delay_s = 1.5
            await fleet.wait_for(lambda: strong.store.calls["commit"] > 0, 8.0)
            fleet.store.revoke(PREFIX + "a")
            await fleet.wait_for(lambda: fleet.holder() == "weak", EXPIRED_LEASE_S)
            later = fleet.store.items[PREFIX + "a"].revision
            await asyncio.sleep(1.9)
            self.assertEqual(later, fleet.store.items[PREFIX + "a"].revision)
            self.assertFalse(fleet.is_claimed())

        run_fleet(scenario)

    def test_a_claim_to_an_earlier_epoch_is_ignored(self) -> None:
        """A holder ended its epoch for a claim that was meant for the epoch before."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet)
            token = fleet.store.items[PREFIX + "a"].revision
            claim = SuccessionClaim(instance="x", strength=1.0, lease_count=0, token=token - 1)
            fleet.store.put(CLAIMS_PREFIX + "a", claim.encode())
            await asyncio.sleep(5.0)
            self.assertEqual(token, fleet.store.items[PREFIX + "a"].revision)
            self.assertEqual(1, fleet.instances["weak"].count("succession-refused"))

        run_fleet(scenario)

    def test_two_claims_at_once_take_one_of_two_leases(self) -> None:
        """A crowded holder answered two claims with both of its leases, and had none left."""

        async def scenario(fleet: DutyFleet) -> None:
            fleet.start("n0")
            await fleet.wait_for(lambda: fleet.holders()["n0"] == 2, 3.0)
            for service in sorted(fleet.services):
                token = fleet.store.items[PREFIX + service].revision
                claim = SuccessionClaim(instance="x", strength=1.0, lease_count=0, token=token)
                fleet.store.put(CLAIMS_PREFIX + service, claim.encode())
            await asyncio.sleep(0.3)
            self.assertEqual(1, fleet.holders()["n0"])

        run_fleet(scenario, "a", "b")

    def test_an_instance_claims_one_lease_at_a_time(self) -> None:
        """An idle instance claimed all leases of a weak one at once, and was the crowded one."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            with mock.patch.object(LeaderElector, "_answer_claim"):
                for _ in range(2000):
                    self.assertLessEqual(sum(map(fleet.is_claimed, fleet.services)), 1)
                    await asyncio.sleep(0.004)
            self.assertGreaterEqual(fleet.count("succession-claimed"), 2)

        run_fleet(scenario, "a", "b", "c")

    def test_a_claim_is_no_lease(self) -> None:
        """The key of a claim counted as a lease that its claimant holds."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            with mock.patch.object(LeaderElector, "_answer_claim"):
                await fleet.wait_for(fleet.is_claimed, 8.0)
                await asyncio.sleep(0.1)
            for instance in fleet.instances.values():
                self.assertEqual({"a"}, set(instance.elector._holder_tokens))
                self.assertEqual({"a"}, set(instance.elector._succession._epochs))

        run_fleet(scenario)

    @parameterized.expand([("another epoch", 1, 0.0), ("answer lost", 0, 1.0)])
    def test_a_claim_that_fails_leaves_no_key(
        self, _: str, token_offset: int, lost_ratio: float
    ) -> None:
        """A claim to an epoch that had ended kept others from bidding, or was left behind."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet)
            store = FaultInjectingStore(store=fleet.store)
            store.faults.lost_ratio = lost_ratio
            token = fleet.store.items[PREFIX + "a"].revision + token_offset
            claim = SuccessionClaim(instance="x", strength=0.2, lease_count=0, token=token)
            created = await HeldClaim.create(
                store=store,
                key=CLAIMS_PREFIX + "a",
                held_key=PREFIX + "a",
                claim=claim,
                min_ttl_s=1.0,
            )
            self.assertIsNone(created)
            self.assertFalse(fleet.is_claimed())

        run_fleet(scenario)

    @parameterized.expand([("no JSON", b"x"), ("another type", b"[1]"), ("a field", b"{}")])
    def test_a_claim_that_cannot_be_read_changes_nothing(self, _: str, value: bytes) -> None:
        """A foreign key among the claims ended the watch of the leases, or was taken for one."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet)
            fleet.store.put(CLAIMS_PREFIX + "a", value)
            await asyncio.sleep(1.0)
            fleet.store.delete(CLAIMS_PREFIX + "a")
            await asyncio.sleep(1.0)
            self.assertEqual(1, len(fleet.epochs))
            self.assertIsNone(fleet.epochs[0].ended_s)

        run_fleet(scenario)

    def test_the_holder_stops_by_itself(self) -> None:
        """A claimed lease went to a weak instance, since its holder stopped by itself."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            for number in range(4):
                fleet.start(f"weak{number}", WEAK)
            await fleet.wait_for(fleet.is_claimed, 8.0)
            await fleet.instances["weak"].stop()
            await fleet.wait_for(lambda: fleet.holder() == "strong", 1.0)
            await asyncio.sleep(3.0)
            self.assertEqual(2, len(fleet.epochs))

        run_fleet(scenario)

    def test_the_claimant_stops(self) -> None:
        """A stopping claimant acquired the lease that it was just to give back."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            strong = fleet.instances["strong"]
            await fleet.wait_for(fleet.is_claimed, 8.0)
            await strong.stop()
            await fleet.wait_for(lambda: fleet.holder() == "weak", PLAIN_BIDS_S + 1.0)
            self.assertNotIn("strong", [epoch.instance for epoch in fleet.epochs])

        run_fleet(scenario)

    def test_a_silent_holder_is_not_claimed_from_again_and_again(self) -> None:
        """A holder of an earlier release, or a busy one, was claimed from every few seconds."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "s0", "s1")
            with mock.patch.object(LeaderElector, "_answer_claim"):
                await asyncio.sleep(20.0)
            self.assertEqual("weak", fleet.holder())
            self.assertEqual(1, fleet.count("succession-claimed"))
            self.assertEqual(1, fleet.count("succession-unanswered"))

        run_fleet(scenario)

    @parameterized.expand(
        [
            ("one service", 1, 0, False),
            ("three services", 3, 0, False),
            ("more services than instances", 6, 0, False),
            ("a strong instance before weak ones", 3, 4, True),
        ]
    )
    def test_all_instances_restart_in_turn(
        self, _: str, services: int, weak: int, has_claims: bool
    ) -> None:
        """A claimed lease changed hands twice, since its claimant was the next to be stopped."""

        async def scenario(fleet: DutyFleet) -> None:
            names = [f"n{number}" for number in range(5)]
            strengths = dict(zip(names, [STRONG] * (5 - weak) + [WEAK] * weak, strict=True))
            for name in names:
                fleet.start(name, strengths[name])
            await asyncio.sleep(12.0)
            first_token = fleet.store.revision
            clock = asyncio.get_running_loop().time
            stops_s: dict[str, float] = {}
            for name in names:
                stops_s[name] = clock()
                stopping: DutyInstance = fleet.instances[name]
                await stopping.stop()
                await asyncio.sleep(RESTART_S)
                fleet.start(name, strengths[name])
                await asyncio.sleep(STOPS_IN_TURN_S - (clock() - stops_s[name]))
            epochs = [epoch for epoch in fleet.epochs if epoch.token > first_token]
            for epoch in epochs:
                claimed = LeaseHolder.decode(fleet.values[epoch.token]).is_successor
                left_s = stops_s[epoch.instance] - epoch.began_s
                self.assertFalse(claimed and 0.0 <= left_s < STOPS_IN_TURN_S, epoch)
            await asyncio.sleep(20.0)
            self.assertLessEqual(max(fleet.holders().values()), 3)
            claims = [LeaseHolder.decode(fleet.values[one.token]).is_successor for one in epochs]
            self.assertEqual(has_claims, any(claims))

        run_fleet(scenario, *(f"s{number}" for number in range(services)))


class MixedReleaseTests(unittest.TestCase):
    def test_a_holder_of_an_earlier_release_is_never_challenged(self) -> None:
        """Claims to a holder that doesn't know them cost store calls and never had an effect."""

        async def scenario(fleet: DutyFleet) -> None:
            store = fleet.start("store-of-earlier", WEAK).store
            await fleet.instances["store-of-earlier"].kill()
            store.faults.is_down = False
            await asyncio.sleep(3.0)
            lease = await try_acquire(store, key=PREFIX + "a", marker_key="mark/a")
            assert lease is not None
            renewal = asyncio.create_task(lease.renew_until_lost())
            fleet.start("strong")
            await asyncio.sleep(30.0)
            self.assertEqual("n0", fleet.holder())
            self.assertEqual(0, fleet.count("succession-claimed"))
            renewal.cancel()

        run_fleet(scenario)

    def test_an_instance_of_an_earlier_release_bids_before_the_claimant(self) -> None:
        """Two instances decided at once, as one of them didn't wait for the claimant."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            store = fleet.instances["strong"].store
            await fleet.wait_for(fleet.is_claimed, 8.0)
            leases: list[HeldLease] = []
            while not leases:
                # The bid of an earlier release, which takes a claim for the key of a service.
                lease = await try_acquire(store, key=PREFIX + "a", marker_key="mark/a")
                leases.extend([lease] if lease is not None else [])
                if fleet.holder() == "strong":
                    break
            renewals = [asyncio.create_task(lease.renew_until_lost()) for lease in leases]
            await asyncio.sleep(10.0)
            open_epochs = [epoch for epoch in fleet.epochs if epoch.ended_s is None]
            self.assertEqual(1, len(open_epochs) + len(leases))
            for renewal in renewals:
                renewal.cancel()

        run_fleet(scenario)

    @parameterized.expand(
        [
            ("a plain name", b"edge-1"),
            ("a name of digits", b"17"),
            ("JSON without a strength", b'{"instance": "edge-1"}'),
            ("no text", b"\xff"),
        ]
    )
    def test_a_value_without_a_strength_names_a_holder_of_unknown_strength(
        self, _: str, value: bytes
    ) -> None:
        """A value of an earlier release ended the watch of the leases, or counted as weak."""
        self.assertIsNone(LeaseHolder.decode(value).strength)

    def test_an_earlier_release_and_this_one_tell_the_same_instance(self) -> None:
        """The leases of one instance were counted as those of two."""
        written = LeaseHolder(instance="edge-1", strength=0.5, is_successor=True)
        self.assertEqual(written, LeaseHolder.decode(written.encode()))
        self.assertEqual("edge-1", LeaseHolder.decode(b"edge-1").instance)


class FencingTests(unittest.TestCase):
    def test_each_epoch_has_a_higher_token_than_the_one_before(self) -> None:
        """A successor by claim had a token that workers refuse, or its predecessor's."""

        async def scenario(fleet: DutyFleet) -> None:
            await start_with_weak_holder(fleet, "strong")
            await fleet.wait_for(lambda: fleet.holder() == "strong", 8.0)
            item = fleet.store.items[PREFIX + "a"]
            self.assertEqual(item.created, fleet.epochs[-1].token)
            self.assertGreater(fleet.epochs[-1].token, fleet.epochs[-2].token)

        run_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
