"""Tests of ejection, probing and target selection through `PoolDispatcher`."""

import asyncio
import unittest
from collections import Counter

from parameterized import parameterized

from shallotworks.requests import AttemptOutcome, DispatchLimits
from shallotworks.timeline import EventKind
from tests.dispatch_fakes import (
    DispatchHarness,
    has_grant,
    make_fleet,
    make_harness,
    make_instances,
    run_on_virtual_clock,
    run_ready_tasks,
)

OK = AttemptOutcome.ANSWERED
ERROR = AttemptOutcome.TARGET_ERROR


async def attempts(
    harness: DispatchHarness, count: int, failing: set[str], outcome: AttemptOutcome
) -> Counter:
    """Make attempts one after another, failing at some targets; count attempts per target."""
    seen: Counter[str] = Counter()
    for _ in range(count):
        grant = await harness.grant(within_s=1000)
        name = grant.target.instance
        seen[name] += 1
        harness.dispatcher.release(grant, outcome if name in failing else OK, duration_s=0.01)
    return seen


class EjectionTests(unittest.TestCase):
    @parameterized.expand([("error", ERROR), ("broken", AttemptOutcome.BROKEN)])
    def test_target_that_fails_fast_is_ejected(self, _name: str, outcome: object) -> None:
        """A target that fails at once always has free slots and would attract most requests.

        The target is ejected after three requests.
        """

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(8)))
            busy = [await harness.grant() for _ in range(40)]
            # For example, a worker that lost its disk answers with an error within a millisecond.
            seen = await attempts(harness, 200, {"w3"}, outcome)  # type: ignore[arg-type]
            self.assertEqual(seen["w3"], 3)
            self.assertEqual(harness.metrics.counters()["targets.ejected"], 1)
            for grant in busy:
                harness.done(grant)

        run_on_virtual_clock(scenario)

    def test_successful_probe_restores_an_ejected_target(self) -> None:
        """An ejected target gets single probes at growing intervals until one succeeds."""

        async def scenario() -> None:
            limits = DispatchLimits(probe_after_s=4.0, slow_start_s=8.0)
            harness = make_harness(make_fleet(make_instances(2)), limits=limits)
            await attempts(harness, 20, {"w0"}, ERROR)
            probes = []
            for second in range(60):
                await asyncio.sleep(1.0)
                seen = await attempts(harness, 5, {"w0"}, ERROR)
                probes += [second] * seen["w0"]
            self.assertGreaterEqual(len(probes), 3)
            self.assertLessEqual(len(probes), 6)
            await asyncio.sleep(120.0)
            await attempts(harness, 1, set(), OK)
            held = [await harness.grant() for _ in range(9)]
            self.assertEqual(Counter(g.target.instance for g in held)["w0"], 1)
            await asyncio.sleep(8.0)
            held += [await harness.grant() for _ in range(7)]
            self.assertEqual(Counter(g.target.instance for g in held)["w0"], 8)

        run_on_virtual_clock(scenario)

    def test_non_idempotent_requests_do_not_probe(self) -> None:
        """A non-idempotent request does not probe while an idempotent one may come instead."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(2)))
            await attempts(harness, 20, {"w0"}, ERROR)
            await asyncio.sleep(10.0)
            booking = await harness.grant(idempotent=False)
            self.assertEqual(booking.target.instance, "w1")
            self.assertEqual((await harness.grant()).target.instance, "w0")

        run_on_virtual_clock(scenario)

    def test_ejections_stay_within_the_maximum_part(self) -> None:
        """Of eight targets of which five fail, four are ejected and the fifth stays in service."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(8)))
            failing = {f"w{number}" for number in range(5)}
            await attempts(harness, 200, failing, ERROR)
            self.assertEqual(harness.metrics.counters()["targets.ejected"], 4)
            later = await attempts(harness, 400, failing, ERROR)
            self.assertLess(
                sum(later[name] for name in failing), 60, "it must not rank as least loaded"
            )
            held = [await harness.grant() for _ in range(32)]
            self.assertEqual(len({grant.target.instance for grant in held}), 4)

        run_on_virtual_clock(scenario)

    def test_no_ejection_when_nearly_all_targets_fail(self) -> None:
        """A fault of this process makes all targets look broken; ejecting them would leave none.

        The suspicion is recorded and ends when targets answer again.
        """

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(8)))
            everyone = set(make_instances(8))
            await attempts(harness, 200, everyone, AttemptOutcome.TIMED_OUT)
            held = [await harness.grant() for _ in range(64)]
            counters = harness.metrics.counters()
            self.assertEqual(counters["targets.self-suspected"], 1)
            self.assertEqual(counters["targets.ejected"], counters["targets.restored"])
            details = [event.detail for event in harness.timeline.events()]
            self.assertIn("pool pool: nearly all look bad: suspects this process", details)
            for grant in held:
                harness.done(grant)
            self.assertEqual(harness.metrics.counters()["targets.self-cleared"], 1)
            seen = await attempts(harness, 100, {"w3"}, ERROR)
            self.assertEqual(seen["w3"], 3)

        run_on_virtual_clock(scenario)

    def test_unreachable_data_centre_does_not_count_against_local_targets(self) -> None:
        """The ejected targets of an unreachable data centre don't use up the ejection limit.

        A local target that breaks meanwhile is still ejected.
        """

        async def scenario() -> None:
            # The local targets work, so this process is not the cause of the remote time-outs.
            members = make_instances(2, slots=2)
            far = make_instances(6, slots=2, data_centre="there", prefix="far")
            harness = make_harness(make_fleet(members | far))
            for _ in range(40):
                local = [await harness.grant() for _ in range(4)]
                remote = harness.start()
                await run_ready_tasks()
                if has_grant(remote):
                    grant = remote.result().unwrap()
                    harness.dispatcher.release(grant, AttemptOutcome.TIMED_OUT, duration_s=2.0)
                else:
                    remote.cancel()
                for held in local:
                    harness.done(held)
            await run_ready_tasks()
            self.assertEqual(harness.metrics.counters()["targets.ejected"], 6)
            seen = await attempts(harness, 50, {"w0"}, ERROR)
            self.assertEqual(seen["w0"], 3)

        run_on_virtual_clock(scenario)

    def test_refusal_pauses_a_target_without_ejecting_it(self) -> None:
        """Ejecting full targets for refusals would remove healthy slots under load.

        Only a target that refuses every time is ejected.
        """

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(2)))
            # A target refuses while entry instances of another data centre use all its slots.
            refused = AttemptOutcome.REFUSED
            seen = await attempts(harness, 50, {"w0"}, refused)
            self.assertEqual(seen["w0"], 1)
            await asyncio.sleep(0.05)
            await attempts(harness, 50, set(), OK)
            self.assertNotIn("targets.ejected", harness.metrics.counters())
            for _ in range(40):
                await asyncio.sleep(2.0)
                await attempts(harness, 5, {"w0"}, refused)
            self.assertEqual(harness.metrics.counters()["targets.ejected"], 1)

        run_on_virtual_clock(scenario)

    def test_replaced_machine_starts_without_the_old_ejection(self) -> None:
        """A different machine under an ejected target's name is not ejected."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(2)))
            await attempts(harness, 20, {"w0"}, ERROR)
            harness.config.set_instances(["w0"], address="127.0.0.1:1")
            seen = await attempts(harness, 40, set(), OK)
            self.assertGreater(seen["w0"], 5)

        run_on_virtual_clock(scenario)


class TargetSelectionTests(unittest.TestCase):
    def test_retry_waits_for_an_untried_target(self) -> None:
        """A retry that took the free target it already tried would fail again.

        The retry waits for another target, and other requests don't wait behind it.
        """

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(2, slots=1)))
            held = {(g := await harness.grant()).target.instance: g for _ in range(2)}
            retry = harness.ask(harness.request(within_s=5.0), tried=frozenset({"w0"}))
            other = harness.start()
            await run_ready_tasks()
            harness.done(held["w0"])
            await run_ready_tasks()
            self.assertFalse(retry.done())
            self.assertEqual(other.result().unwrap().target.instance, "w0")
            harness.done(held["w1"])
            await run_ready_tasks()
            self.assertEqual(retry.result().unwrap().target.instance, "w1")

        run_on_virtual_clock(scenario)

    def test_any_target_is_taken_when_all_were_tried(self) -> None:
        """A request that tried every target is still granted a slot."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(2)))
            task = harness.ask(harness.request(), tried=frozenset({"w0", "w1"}))
            await run_ready_tasks()
            self.assertTrue(has_grant(task))

        run_on_virtual_clock(scenario)

    def test_processes_spread_over_idle_targets(self) -> None:
        """Processes that don't see each other's load must not all choose the same idle target."""

        async def scenario() -> None:
            # If all processes broke ties in the same way, one target would get all requests while
            # the others idle. With six processes that don't see each other's load, that target
            # would then have 6 requests.
            seen: Counter[str] = Counter()
            for seed in range(60):
                harness = make_harness(make_fleet(make_instances(8)), seed=seed)
                seen[(await harness.grant()).target.instance] += 1
            self.assertLessEqual(max(seen.values()), 16)

        run_on_virtual_clock(scenario)

    def test_events_name_the_instance(self) -> None:
        """Timeline events of ejections name the instance."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(3)))
            await attempts(harness, 30, {"w1"}, ERROR)
            kinds = [
                (event.kind, event.subject.instance)
                for event in harness.timeline.events()
                if event.kind is EventKind.TARGET_EJECTED
            ]
            self.assertEqual(kinds, [(EventKind.TARGET_EJECTED, "w1")])

        run_on_virtual_clock(scenario)
