"""Tests of what late writes and lost answers leave behind; on the stand-ins."""

import asyncio
import random
import unittest

from returns.result import Failure as Err
from returns.result import Result

from shallotworks.errors import ErrorKind, Failure
from shallotworks.jobs import TaskName
from shallotworks.scheduling import (
    ActiveWorker,
    ActiveWorkersRecord,
    MachineControllerRecord,
    PoolDemand,
    active_workers_key,
    machine_controller_key,
    pool_demand_key,
)
from shallotworks.standins import FaultInjectingStore, RecordStore
from shallotworks.store import HeldLease, Item
from tests.held_leases import acquire
from tests.scheduling_fakes import SchedulingHarness, job, quiet_log, step, view
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.test_machine_controller import MachineHarness
from tests.virtual_clock import run_scenario

JOB_ID = "00000000000000ab"
TASK_NAME = TaskName(JOB_ID, 0, 0, 0)
WORKER_ONE, WORKER_TWO = ActiveWorker(address="a:1"), ActiveWorker(address="b:1")
LATE_WRITE_S = 4.0
"""Longer than the stand-in takes to carry out what it did not answer."""
EXPIRY_WAIT_S = 20.0
RESTART_LIMIT_S = 10.0
OUTAGE_S = 6.0
REWRITE_DELAY_S = 1.5
"""A scheduler's call in flight times out after 0.8 s, and it writes its next need 0.2 s later."""


class _AnswerLosingStore(FaultInjectingStore):
    """A store that carries out what one instance asks, and whose answers to it are lost."""

    loses_answers = False

    async def get(self, key: str) -> Result[Item | None, Failure]:
        outcome = await super().get(key)
        return await self._lose_answer() if self.loses_answers else outcome

    async def renew_lease(self, lease_id: int) -> Result[None, Failure]:
        outcome = await super().renew_lease(lease_id)
        return await self._lose_answer() if self.loses_answers else outcome

    async def _lose_answer(self) -> Err[Failure]:
        await asyncio.sleep(self._timeout_s)
        return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason="the answer was lost"))


async def _make_record() -> tuple[RecordStore, FaultInjectingStore, ActiveWorkersRecord]:
    """Return a store in which the record names two workers."""
    store = RecordStore(rng=random.Random(1))
    store_client = FaultInjectingStore(store=store)
    lease = await acquire(store_client)
    asyncio.get_running_loop().create_task(lease.renew_until_lost())
    record = ActiveWorkersRecord(service=SERVICE, lease=lease, store=store_client, log=quiet_log())
    await record.read()
    assert await record.keep(lambda: {"one": WORKER_ONE, "two": WORKER_TWO})
    return store, store_client, record


class ActiveWorkersRecordTests(unittest.TestCase):
    def test_a_late_write_does_not_remove_a_worker_that_was_recorded_again(self) -> None:
        """Two runs of one task at once, one on a worker that the successor has never heard of.

        After an outage a worker's entry was gone, and it was taken out of the record; the store
        did not answer. Its entry came back, so that the record seemed to stand as wanted: nothing
        was written, and a task was started there. Then the store carried out the first write.
        """

        async def scenario() -> None:
            store, store_client, record = await _make_record()
            store_client.faults.late_part = 1.0
            self.assertFalse(await record.keep(lambda: {"one": WORKER_ONE}))
            store_client.faults.late_part = 0.0
            self.assertTrue(await record.keep(lambda: {"one": WORKER_ONE, "two": WORKER_TWO}))
            self.assertTrue(record.may_use("two"))
            await asyncio.sleep(LATE_WRITE_S)
            stored = ActiveWorkersRecord.decode(store.items[active_workers_key(SERVICE)].value)
            self.assertIn("two", stored)

        run_scenario(scenario())

    def test_a_task_on_a_worker_that_was_recorded_again_does_not_run_twice(self) -> None:
        """The scenario before, played to its end: all workers can be reached all the while.

        The process that had scheduled was killed; its successor had one worker to see, saw it and
        started the task there, while the other one ran it under a lease that was still good.
        """

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=3, workers=2, instances=2)
            simulation.fleet.lasting.add(JOB_ID)
            for instance in simulation.instances:
                instance.start()
            await asyncio.sleep(2.0)
            scheduler = simulation.scheduler()
            assert scheduler is not None
            scheduler.view.faults.late_part = 1.0
            scheduler.view.faults.late_s = LATE_WRITE_S
            simulation.fleet.unlisted.add("w1")
            await asyncio.sleep(0.5)
            scheduler.view.faults.late_part = 0.0
            simulation.fleet.unlisted.clear()
            await asyncio.sleep(2.0)
            # Its only task fits on the worker that came back alone.
            simulation.fleet.workers["w0"].view = view("w0", service=SERVICE, cpu_millicores=100)
            simulation.fleet.changes += 1
            await asyncio.sleep(0.5)
            await simulation.submit(JOB_ID, step(1, is_lasting=True))
            await asyncio.sleep(LATE_WRITE_S)
            self.assertIn(TASK_NAME, simulation.fleet.workers["w1"].names())
            simulation.fleet.workers["w0"].view = view("w0", service=SERVICE)
            simulation.fleet.changes += 1
            await simulation.replace(scheduler)
            await asyncio.sleep(10.0)
            self.assertEqual([], simulation.fleet.violations)
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())

    def test_no_task_starts_on_a_worker_that_is_being_removed(self) -> None:
        """Two runs of one task at once, one on a worker that the successor has never heard of.

        A worker was being taken out of the record, since its entry said that it drains; the board
        had not heard of that. A task was started there before the store answered, and the process
        that had just written was killed.
        """

        async def scenario() -> None:
            _, store_client, record = await _make_record()
            store_client.faults.delay_s = 0.2
            taken_out = asyncio.create_task(record.keep(lambda: {"one": WORKER_ONE}))
            await asyncio.sleep(0.1)
            self.assertFalse(record.may_use("two"))
            self.assertTrue(record.may_use("one"))
            await taken_out

        run_scenario(scenario())


class LeaseRenewalTests(unittest.TestCase):
    def test_a_lease_whose_holder_gets_no_answers_goes_to_another(self) -> None:
        """A service stood still for as long as one instance got no answers from the store.

        Its calls were carried out all the while. It rested and renewed the key with each try, so
        that nobody else could win it.
        """

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            losing_store = _AnswerLosingStore(store=store)
            lease = await acquire(losing_store)
            renewal = asyncio.create_task(lease.renew_until_lost())
            await asyncio.sleep(1.0)
            losing_store.loses_answers = True
            await asyncio.sleep(EXPIRY_WAIT_S)
            store.expire()
            self.assertFalse(lease.is_valid)
            await acquire(FaultInjectingStore(store=store))
            renewal.cancel()

        run_scenario(scenario())


class PoolDemandTests(unittest.TestCase):
    def test_an_offer_written_late_does_not_outlive_its_withdrawal(self) -> None:
        """A machine was taken away under a lasting task, on the word of its own scheduler.

        The scheduler offered an idle worker, and the store did not answer. A task came, the offer
        was taken back and that was stored; then the store carried out the first write. The keeper
        reads the store's word before it takes a machine.
        """

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=1, instances=1)
            simulation.instances[0].start()
            await asyncio.sleep(2.0)
            service_scheduler = simulation.instances[0].service_schedulers[-1]
            token = service_scheduler.scheduler_state.token
            faults = simulation.instances[0].view.faults
            simulation.fleet.lasting.add(JOB_ID)
            await simulation.submit(JOB_ID, step(1, is_lasting=True))
            await asyncio.sleep(1.0)
            faults.late_part = 1.0
            offer = PoolDemand(token=token, free=("w0",))
            self.assertFalse(await service_scheduler._publish_demand(offer))
            faults.late_part = 0.0
            self.assertTrue(await service_scheduler._publish_demand(PoolDemand(token=token)))
            await asyncio.sleep(LATE_WRITE_S)
            stored = PoolDemand.decode(simulation.store.items[pool_demand_key(SERVICE)].value)
            self.assertEqual((), stored.free)
            await simulation.instances[0].kill()

        run_scenario(scenario())


class MachineControllerOutageTests(unittest.TestCase):
    async def _suspend_controller(self, machine_harness: MachineHarness, lease: HeldLease) -> None:
        """Keep the store away for so long that the keeper rests, while leases stand still."""
        machine_harness.store.are_leases_paused = True
        lease._store.faults.is_silent = True
        await asyncio.sleep(OUTAGE_S)
        self.assertFalse(lease.is_valid)
        lease._store.faults.is_silent = False

    def test_a_resumed_controller_takes_no_machine_that_was_offered_before_the_outage(self) -> None:
        """A machine was taken away under tasks that its scheduler had started in an outage.

        The scheduler took its offer back while the store was away, and could not say so; its call
        in flight had to time out before it wrote again. The keeper had rested, and gave orders
        with its first look, which a new keeper does not.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=4, radar=2, spare=0)
            lease = await machine_harness.start()
            machine_harness.publish_demand("antenna", free=True)
            await asyncio.sleep(5.0)
            await self._suspend_controller(machine_harness, lease)
            # What lacks machines has written first.
            machine_harness.publish_demand("radar", lacking=1)
            await asyncio.sleep(REWRITE_DELAY_S)
            machine_harness.publish_demand("antenna")
            await asyncio.sleep(5.0)
            self.assertTrue(lease.is_valid)
            self.assertEqual([], machine_harness.moves())
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_resumed_controller_acts_on_records_from_after_the_outage(self) -> None:
        """A turn that began in an outage got no machines for three seconds after it.

        The keeper had rested and left all machines alone until every call from before had surely
        timed out, though machines that were off had nothing to lose, and schedulers had spoken
        again. What it has not heard of since, it still leaves alone.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=4, radar=2, sonar=3, spare=2)
            lease = await machine_harness.start()
            machine_harness.publish_demand("antenna", free=True)
            machine_harness.publish_demand("sonar", free=True)
            await asyncio.sleep(5.0)
            await self._suspend_controller(machine_harness, lease)
            machine_harness.publish_demand("radar", lacking=8, woke=1)
            machine_harness.publish_demand("sonar", free=True, woke=1)
            await asyncio.sleep(2.0)
            self.assertTrue(lease.is_valid)
            taken = {machine for _, machine, _ in machine_harness.moves()}
            self.assertFalse({"m0", "m1", "m2", "m3"} & taken, "a word from before the outage")
            self.assertTrue({"m9", "m10"} <= taken, "machines that are off")
            self.assertTrue({"m6", "m7", "m8"} & taken, "a pool that has spoken again")
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_record_that_was_written_without_an_answer_is_replaced(self) -> None:
        """A worker was emptied for good, though its upkeep was over.

        The keeper said that the worker was due, and the store did not answer; when it was not due
        any more, that was what the keeper had been answered last, and nothing was written.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2)
            lease = await machine_harness.start()
            faults = lease._store.faults
            controller = machine_harness.controller
            assert controller is not None
            faults.lost_part = 1.0
            await controller._record.publish(frozenset({"w"}), {})
            faults.lost_part = 0.0
            await controller._record.publish(frozenset(), {})
            stored = MachineControllerRecord.decode(
                machine_harness.store.items[machine_controller_key()].value
            )
            self.assertEqual(frozenset(), stored.due)
            machine_harness.stop()

        run_scenario(scenario())


class LeaseExpiryTests(unittest.TestCase):
    def test_runs_of_a_worker_that_died_after_a_late_order_are_restarted(self) -> None:
        """A lasting task never ran again until its scheduler was replaced.

        A worker that ran it answered the start of another task that the order's time was over; so
        it counted as unreached, and was lost before the next look. Only reached workers' leases
        run out on the board, so that the task counted as running for ever.
        """
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1, is_lasting=True)))
        (order,) = harness.start_orders()
        harness.worker("a").lease_ends_s = harness.now_s + 5.0
        order.run.enter(order.run.phase.RUNNING, harness.now_s)
        harness.add(view("b"))
        # What `OrderDispatcher` does when an order came too late.
        harness.worker("a").is_fenced = False
        harness.scheduler_state.mark_unlisted("a")
        harness.now_s += RESTART_LIMIT_S
        self.assertEqual(["b"], [one.run.worker_id for one in harness.start_orders()])


if __name__ == "__main__":
    unittest.main()
