"""Tests of `shallotworks.requests.PoolDispatcher`: admission, order, shares, quotas, shedding."""

import asyncio
import unittest
from collections import Counter

from shallotworks.errors import ErrorKind
from shallotworks.requests import AttemptOutcome, DispatchLimits
from tests.dispatch_fakes import (
    LONG_RUNNING,
    has_grant,
    kind_of,
    make_fleet,
    make_harness,
    make_instances,
    run_on_virtual_clock,
    run_ready_tasks,
)


class AdmissionTests(unittest.TestCase):
    def test_grants_no_more_than_the_slots(self) -> None:
        """A request beyond the slots waits until another one is released."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(2, slots=2)))
            grants = [await harness.grant() for _ in range(4)]
            self.assertEqual(Counter(g.target.instance for g in grants), {"w0": 2, "w1": 2})
            fifth = harness.start()
            await run_ready_tasks()
            self.assertFalse(fifth.done())
            harness.done(grants[0])
            harness.done(grants[0])
            await run_ready_tasks()
            self.assertTrue(has_grant(fifth))
            self.assertEqual(harness.dispatcher.in_flight, 4)
            self.assertEqual(harness.metrics.counters()["dispatch.released-twice"], 1)

        run_on_virtual_clock(scenario)

    def test_entries_divide_the_slots_exactly(self) -> None:
        """Entry instances that agree on their ranks use all slots together and none twice."""

        async def scenario() -> None:
            held: Counter[str] = Counter()
            for rank in range(3):
                harness = make_harness(make_fleet(make_instances(5)), entries=3, rank=rank)
                tasks = [harness.start() for _ in range(40)]
                await run_ready_tasks()
                held.update(t.result().unwrap().target.instance for t in tasks if has_grant(t))
            self.assertEqual(held, {f"w{number}": 8 for number in range(5)})

        run_on_virtual_clock(scenario)

    def test_idle_slots_of_other_entry_instances_are_borrowed(self) -> None:
        """Requests are not refused while slots of other entry instances are idle.

        Borrowed slots are returned when the target refuses a request.
        """

        async def scenario() -> None:
            # The load balancer's connections all end at this one of the two entry instances.
            harness = make_harness(make_fleet(make_instances(1)), entries=2, rank=0)
            tasks = [harness.start(within_s=1000) for _ in range(64)]
            await run_ready_tasks()
            seen = []
            for outcome in [AttemptOutcome.ANSWERED] * 4 + [AttemptOutcome.REFUSED]:
                seen.append(len(_granted_tasks(tasks)))
                for task in _granted_tasks(tasks):
                    tasks.remove(task)
                    harness.dispatcher.release(task.result().unwrap(), outcome, duration_s=0.0)
                await run_ready_tasks()
            await asyncio.sleep(0.3)
            seen.append(len(_granted_tasks(tasks)))
            self.assertEqual((seen[0], max(seen), seen[-1]), (4, 8, 4))

        run_on_virtual_clock(scenario)

    def test_unknown_names_are_refused(self) -> None:
        """An unknown service or team is NOT_FOUND; a service without targets is NO_TARGET."""

        async def scenario() -> None:
            harness = make_harness(make_fleet({}))
            tasks = [harness.start("none"), harness.start(team="x"), harness.start()]
            await asyncio.wait(tasks)
            kinds = [kind_of(task) for task in tasks]
            wanted = [ErrorKind.NOT_FOUND, ErrorKind.NOT_FOUND, ErrorKind.NO_TARGET]
            self.assertEqual(kinds, wanted)

        run_on_virtual_clock(scenario)

    def test_stopping_instance_admits_only_waiting_requests_and_retries(self) -> None:
        """A stopping dispatcher refuses new requests but not waiting ones or retries."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(1, slots=1)))
            first = await harness.grant()
            waiting = harness.start()
            await run_ready_tasks()
            harness.dispatcher.stop_admitting()
            late = harness.start()
            retry = harness.ask(harness.request(), tried=frozenset({"w9"}))
            await run_ready_tasks()
            self.assertIs(kind_of(late), ErrorKind.STOPPING)
            harness.done(first)
            await run_ready_tasks()
            self.assertTrue(has_grant(waiting))
            harness.dispatcher.refuse_waiting()
            await run_ready_tasks()
            self.assertIs(kind_of(retry), ErrorKind.STOPPING)

        run_on_virtual_clock(scenario)


class ClassTests(unittest.TestCase):
    def test_free_slot_goes_to_interactive_work_first(self) -> None:
        """Long-running requests that waited longer don't delay an interactive one."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(1, slots=4)))
            grants = [await harness.grant(request_class=LONG_RUNNING) for _ in range(3)]
            grants.append(await harness.grant())
            slow = harness.start(request_class=LONG_RUNNING)
            quick = harness.start()
            await run_ready_tasks()
            harness.done(grants[0])
            await run_ready_tasks()
            self.assertTrue(has_grant(quick))
            self.assertFalse(slow.done())

        run_on_virtual_clock(scenario)

    def test_long_running_work_leaves_a_slot_to_interactive_work(self) -> None:
        """Long-running work must not take the last slot from an interactive request."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(2)))
            tasks = [harness.start(request_class=LONG_RUNNING) for _ in range(30)]
            await run_ready_tasks()
            self.assertEqual(sum(map(has_grant, tasks)), 15)
            self.assertTrue(has_grant(await _wait_done(harness.start())))

        run_on_virtual_clock(scenario)

    def test_long_running_work_keeps_its_minimum_of_slots(self) -> None:
        """Long-running work must not starve under a flood of interactive requests."""

        async def scenario() -> None:
            # Interactive requests may fill all slots for a whole evening. Without a minimum,
            # nightly work would start too late to end before the morning.
            limits = DispatchLimits(long_running_min_part=0.25, waiting_min=10_000)
            harness = make_harness(make_fleet(make_instances(1)), limits=limits)
            flood = [harness.start(within_s=1000) for _ in range(200)]
            nightly = [harness.start(request_class=LONG_RUNNING, within_s=1000) for _ in range(20)]
            answered = 0
            for _ in range(30):
                await run_ready_tasks()
                running = [t for t in flood + nightly if has_grant(t)]
                self.assertLessEqual(sum(t in nightly for t in running), 2)
                for task in running:
                    harness.done(task.result().unwrap())
                    answered += task in nightly
                    (nightly if task in nightly else flood).remove(task)
            self.assertEqual(answered, 20)

        run_on_virtual_clock(scenario)


class ShareTests(unittest.TestCase):
    def test_unused_share_is_used_by_others_and_returned(self) -> None:
        """A service uses slots of an unused share, and they return as slots become free."""

        async def scenario() -> None:
            harness = make_harness(
                make_fleet(make_instances(1), shares={"trace": 0.75, "parts": 0.25})
            )
            lent = [await harness.grant("parts") for _ in range(8)]
            tasks = [harness.start(name) for name in ("parts", "trace") for _ in range(8)]
            for grant in lent:
                harness.done(grant)
                await run_ready_tasks()
            names = Counter(
                "parts" if task in tasks[:8] else "trace" for task in _granted_tasks(tasks)
            )
            self.assertEqual(names, {"trace": 6, "parts": 2})

        run_on_virtual_clock(scenario)

    def test_team_quota(self) -> None:
        """A team holds at most its quota, queues a bounded number and is then refused."""

        async def scenario() -> None:
            limits = DispatchLimits(team_waiting_per_slot=2)
            harness = make_harness(
                make_fleet(make_instances(1), quotas={"crew": 2, "none": 0}), limits=limits
            )
            tasks = [harness.start(team="crew") for _ in range(7)]
            other = harness.start()
            await run_ready_tasks()
            self.assertEqual([has_grant(task) for task in tasks[:3]], [True, True, False])
            self.assertIs(kind_of(tasks[6]), ErrorKind.OVER_QUOTA)
            self.assertTrue(has_grant(other))
            harness.done(tasks[0].result().unwrap())
            await run_ready_tasks()
            self.assertEqual([has_grant(task) for task in tasks[2:4]], [True, False])
            self.assertIs(
                kind_of(await _wait_done(harness.start(team="none"))), ErrorKind.OVER_QUOTA
            )

        run_on_virtual_clock(scenario)

    def test_team_quota_when_slots_free_at_once(self) -> None:
        """Requests queued while their team was below its quota start only within the quota."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(1, slots=4), quotas={"crew": 1}))
            held = [await harness.grant() for _ in range(4)]
            tasks = [harness.start(team="crew", within_s=30) for _ in range(3)]
            await run_ready_tasks()
            for grant in held:
                harness.done(grant)
            await run_ready_tasks()
            self.assertEqual(sum(map(has_grant, tasks)), 1)
            harness.done(tasks[0].result().unwrap())
            await run_ready_tasks()
            self.assertEqual(sum(map(has_grant, tasks)), 2)

        run_on_virtual_clock(scenario)


class OverloadTests(unittest.TestCase):
    def test_long_running_then_over_share_requests_are_shed_first(self) -> None:
        """Overload must not shed whichever request arrives last.

        Long-running requests go first, then those of the service most over its share.
        """

        async def scenario() -> None:
            limits = DispatchLimits(waiting_min=4, waiting_per_slot=0)
            state = make_fleet(make_instances(1, slots=2), shares={"trace": 0.5, "parts": 0.5})
            harness = make_harness(state, limits=limits)
            for _ in range(2):
                await harness.grant("parts")
            archive = [harness.start("trace", request_class=LONG_RUNNING) for _ in range(2)]
            greedy = [harness.start("parts") for _ in range(4)]
            await run_ready_tasks()
            self.assertEqual([kind_of(task) for task in archive], [ErrorKind.OVERLOADED] * 2)
            self.assertFalse(any(task.done() for task in greedy))
            modest = harness.start("trace")
            await run_ready_tasks()
            self.assertIs(kind_of(greedy[3]), ErrorKind.OVERLOADED)
            self.assertFalse(modest.done())
            more = harness.start("parts")
            await run_ready_tasks()
            self.assertIs(kind_of(more), ErrorKind.OVERLOADED)
            self.assertGreater(more.result().failure().retry_after_s, 0)

        run_on_virtual_clock(scenario)

    def test_waiting_limit_holds_over_all_pools(self) -> None:
        """No more than `waiting_max` requests wait in one process, whatever each pool allows."""

        async def scenario() -> None:
            harness = make_harness(
                make_fleet(make_instances(1, slots=1)), limits=DispatchLimits(waiting_max=5)
            )
            tasks = [harness.start() for _ in range(10)]
            await run_ready_tasks()
            self.assertEqual(harness.dispatcher.waiting, 5)
            self.assertIs(kind_of(tasks[9]), ErrorKind.OVERLOADED)

        run_on_virtual_clock(scenario)

    def test_requests_that_would_miss_their_deadline_are_refused_on_arrival(self) -> None:
        """A request that would miss its deadline is refused on arrival, not at the deadline."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(1, slots=1)))
            for _ in range(20):
                harness.done(await harness.grant(), duration_s=1.0)
            held = await harness.grant()
            tasks = [harness.start(within_s=3.0) for _ in range(5)]
            await run_ready_tasks()
            refused = [task for task in tasks if task.done()]
            self.assertEqual(len(refused), 4)
            self.assertIs(kind_of(refused[0]), ErrorKind.OVERLOADED)
            await asyncio.sleep(2.9)
            self.assertIs(kind_of(tasks[0]), ErrorKind.DEADLINE_EXCEEDED)
            harness.done(held)

        run_on_virtual_clock(scenario)

    def test_short_deadline_may_wait_a_part_of_it(self) -> None:
        """A deadline below the usual duration alone is no reason to refuse a request."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(8)))
            for _ in range(20):
                harness.done(await harness.grant(), duration_s=1.0)
            held = [await harness.grant() for _ in range(64)]
            waiting = harness.start(within_s=0.9)
            await asyncio.sleep(0.1)
            harness.done(held[0])
            await run_ready_tasks()
            self.assertTrue(has_grant(waiting))
            await asyncio.sleep(10.0)
            self.assertNotIn("dispatch.refused.deadline-exceeded", harness.metrics.counters())

        run_on_virtual_clock(scenario)

    def test_wrong_duration_estimates_are_corrected(self) -> None:
        """Estimates that are far too long must not refuse requests while slots become free."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(1, slots=1)))
            harness.done(await harness.grant(), duration_s=1000.0)
            for _ in range(200):
                harness.done(await harness.grant(within_s=1.0), duration_s=0.01)
            held = await harness.grant()
            waiting = harness.start(within_s=1.0)
            await run_ready_tasks()
            harness.done(held)
            await run_ready_tasks()
            self.assertTrue(has_grant(waiting))

        run_on_virtual_clock(scenario)


class CancelTests(unittest.TestCase):
    def test_burst_of_cancellations_frees_the_queue(self) -> None:
        """Queue entries left by thousands of cancellations must not delay the next request."""

        async def scenario() -> None:
            limits = DispatchLimits(waiting_min=10_000)
            harness = make_harness(make_fleet(make_instances(1, slots=2)), limits=limits)
            held = [await harness.grant(), await harness.grant()]
            requests = [harness.request(request_class=LONG_RUNNING) for _ in range(5_000)]
            tasks = [harness.ask(request) for request in requests]
            await run_ready_tasks()
            last = harness.start()
            await run_ready_tasks()
            cancelled = [harness.dispatcher.cancel(request.request_id) for request in requests]
            self.assertTrue(all(cancelled))
            self.assertFalse(harness.dispatcher.cancel(requests[0].request_id))
            await run_ready_tasks()
            self.assertEqual({kind_of(task) for task in tasks}, {ErrorKind.CANCELLED})
            self.assertEqual(harness.dispatcher.waiting, 1)
            harness.done(held[0])
            await run_ready_tasks()
            self.assertTrue(has_grant(last))

        run_on_virtual_clock(scenario)

    def test_grant_of_a_cancelled_task_is_released(self) -> None:
        """A task cancelled between its grant and its resumption must not leak the slot."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(1, slots=1)))
            first = await harness.grant()
            unlucky, queued, next_one = harness.start(), harness.start(), harness.start()
            await run_ready_tasks()
            queued.cancel()
            harness.done(first)
            unlucky.cancel()
            await run_ready_tasks()
            self.assertTrue(unlucky.cancelled() and queued.cancelled())
            self.assertTrue(has_grant(next_one))
            self.assertEqual((harness.dispatcher.in_flight, harness.dispatcher.waiting), (1, 0))

        run_on_virtual_clock(scenario)


class LeavingTests(unittest.TestCase):
    def test_cordoned_and_leaving_targets_get_nothing_new(self) -> None:
        """Targets that are cordoned or about to leave get no new requests."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(3)))
            running = [await harness.grant() for _ in range(6)]
            harness.config.cordon("w0")
            harness.dispatcher.set_leaving_instances(frozenset({"w1"}))
            names = {(await harness.grant()).target.instance for _ in range(6)}
            self.assertEqual(names, {"w2"})
            for grant in running:
                harness.done(grant)
            more = [await harness.grant() for _ in range(2)]
            self.assertEqual({grant.target.instance for grant in more}, {"w2"})

        run_on_virtual_clock(scenario)

    def test_last_target_leaves_while_requests_wait(self) -> None:
        """Waiting requests are refused when the last target is gone, not at their deadline."""

        async def scenario() -> None:
            harness = make_harness(make_fleet(make_instances(1, slots=1)))
            await harness.grant()
            waiting = harness.start(within_s=1000)
            await run_ready_tasks()
            harness.config.cordon("w0")
            await asyncio.sleep(0.2)
            self.assertIs(kind_of(waiting), ErrorKind.NO_TARGET)

        run_on_virtual_clock(scenario)

    def test_returning_target_starts_slowly(self) -> None:
        """A target that returns gets its slots gradually over the slow start."""

        async def scenario() -> None:
            limits = DispatchLimits(slow_start_s=8.0)
            harness = make_harness(make_fleet(make_instances(1)), limits=limits)
            harness.config.set_instances(["w0"], healthy=False)
            self.assertIs(kind_of(await _wait_done(harness.start())), ErrorKind.NO_TARGET)
            harness.config.set_instances(["w0"], healthy=True)
            tasks = [harness.start(within_s=100) for _ in range(9)]
            await run_ready_tasks()
            self.assertEqual(sum(map(has_grant, tasks)), 1)
            await asyncio.sleep(1.05)
            late = harness.start(within_s=200)
            await run_ready_tasks()
            self.assertEqual((has_grant(late), sum(map(has_grant, tasks))), (False, 2))
            await asyncio.sleep(2.95)
            self.assertEqual(sum(map(has_grant, tasks)), 4)
            await asyncio.sleep(5.0)
            self.assertEqual(sum(map(has_grant, tasks)), 8)

        run_on_virtual_clock(scenario)

    def test_interactive_work_spills_over_to_other_data_centres(self) -> None:
        """Without a free local slot, interactive requests use other data centres.

        Long-running requests wait as long as a local target serves.
        """

        async def scenario() -> None:
            members = make_instances(1, slots=2)
            members |= make_instances(1, slots=2, data_centre="there", prefix="far")
            harness = make_harness(make_fleet(members))
            grants = [await harness.grant() for _ in range(4)]
            names = [grant.target.instance for grant in grants]
            self.assertEqual(names, ["w0", "w0", "far0", "far0"])
            slow = harness.start(request_class=LONG_RUNNING)
            harness.done(grants[3])
            await run_ready_tasks()
            self.assertFalse(slow.done())
            harness.config.cordon("w0")
            harness.done(grants[2])
            await run_ready_tasks()
            self.assertEqual(slow.result().unwrap().target.instance, "far0")

        run_on_virtual_clock(scenario)


async def _wait_done(task: asyncio.Task) -> asyncio.Task:
    await asyncio.wait([task])
    return task


def _granted_tasks(tasks: list[asyncio.Task]) -> list[asyncio.Task]:
    return [task for task in tasks if has_grant(task)]
