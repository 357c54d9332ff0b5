"""Tests of late writes and lost answers of the store, on the stand-ins."""

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
"""Longer than the delay after which the stand-in carries out an unanswered write."""
EXPIRY_WAIT_S = 20.0
RESTART_LIMIT_S = 10.0
OUTAGE_S = 6.0
REWRITE_DELAY_S = 1.5
"""A scheduler's call in flight times out after 0.8 s; the next demand is written 0.2 s later."""


class _AnswerLosingStore(FaultInjectingStore):
    """A store that carries out an instance's calls while its answers to the instance are lost."""

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
    """Return a store, its client, and a stored record of two workers."""
    store = RecordStore(rng=random.Random(1))
    store_client = FaultInjectingStore(store=store)
    lease = await acquire(store_client)
    asyncio.get_running_loop().create_task(lease.renew_until_lost())
    record = ActiveWorkersRecord(service=SERVICE, lease=lease, store=store_client, log=quiet_log())
    await record.read()
    assert await record.update(lambda: {"one": WORKER_ONE, "two": WORKER_TWO})
    return store, store_client, record


class ActiveWorkersRecordTests(unittest.TestCase):
    def test_a_late_write_does_not_remove_a_worker_that_was_recorded_again(self) -> None:
        """A task ran twice at once, since a late write removed its worker from the stored record.

        The worker was listed again, and the record seemed unchanged, so it was not written again.
        """

        async def scenario() -> None:
            store, store_client, record = await _make_record()
            store_client.faults.late_ratio = 1.0
            self.assertFalse(await record.update(lambda: {"one": WORKER_ONE}))
            store_client.faults.late_ratio = 0.0
            self.assertTrue(await record.update(lambda: {"one": WORKER_ONE, "two": WORKER_TWO}))
            self.assertTrue(record.is_recorded("two"))
            await asyncio.sleep(LATE_WRITE_S)
            stored = ActiveWorkersRecord.decode(store.items[active_workers_key(SERVICE)].value)
            self.assertIn("two", stored)

        run_scenario(scenario())

    def test_a_task_on_a_worker_that_was_recorded_again_does_not_run_twice(self) -> None:
        """A successor started a task on the only recorded worker while another ran it.

        A late write had removed the other worker, whose lease was valid and which was reachable.
        """

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=3, workers=2, instances=2)
            simulation.fleet.lasting.add(JOB_ID)
            for instance in simulation.instances:
                instance.start()
            await asyncio.sleep(2.0)
            scheduler = simulation.scheduler()
            assert scheduler is not None
            scheduler.store.faults.late_ratio = 1.0
            scheduler.store.faults.late_delay_s = LATE_WRITE_S
            simulation.fleet.unlisted.add("w1")
            await asyncio.sleep(0.5)
            scheduler.store.faults.late_ratio = 0.0
            simulation.fleet.unlisted.clear()
            await asyncio.sleep(2.0)
            # The only task fits on no worker but the one that is listed again.
            simulation.fleet.workers["w0"].view = view("w0", service=SERVICE, cpu_millicores=100)
            simulation.fleet.view_change_count += 1
            await asyncio.sleep(0.5)
            await simulation.submit(JOB_ID, step(1, is_lasting=True))
            await asyncio.sleep(LATE_WRITE_S)
            self.assertIn(TASK_NAME, simulation.fleet.workers["w1"].names())
            simulation.fleet.workers["w0"].view = view("w0", service=SERVICE)
            simulation.fleet.view_change_count += 1
            await simulation.replace(scheduler)
            await asyncio.sleep(10.0)
            self.assertEqual([], simulation.fleet.violations)
            for instance in simulation.instances:
                await instance.kill()

        run_scenario(scenario())

    def test_no_task_starts_on_a_worker_that_is_being_removed(self) -> None:
        """A task ran twice at once, since it was started on a worker being removed from the record.

        The scheduler was killed after the write, and its successor did not know of the worker.
        """

        async def scenario() -> None:
            _, store_client, record = await _make_record()
            store_client.faults.delay_s = 0.2
            # The worker's entry says that it is draining; the scheduler has not read that yet.
            removal = asyncio.create_task(record.update(lambda: {"one": WORKER_ONE}))
            await asyncio.sleep(0.1)
            self.assertFalse(record.is_recorded("two"))
            self.assertTrue(record.is_recorded("one"))
            await removal

        run_scenario(scenario())


class LeaseRenewalTests(unittest.TestCase):
    def test_a_lease_whose_holder_gets_no_answers_goes_to_another(self) -> None:
        """A service stopped for as long as one instance got no answers from the store.

        The store carried out its calls, so the suspended scheduler went on renewing its lease.
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
        """A machine with a lasting task was moved, since its offer came after its withdrawal.

        The store had not answered the write of the offer, and carried it out late.
        """

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=1, instances=1)
            simulation.instances[0].start()
            await asyncio.sleep(2.0)
            service_scheduler = simulation.instances[0].service_schedulers[-1]
            token = service_scheduler.scheduler_state.token
            faults = simulation.instances[0].store.faults
            simulation.fleet.lasting.add(JOB_ID)
            await simulation.submit(JOB_ID, step(1, is_lasting=True))
            await asyncio.sleep(1.0)
            faults.late_ratio = 1.0
            offer = PoolDemand(token=token, free=("w0",))
            self.assertFalse(await service_scheduler._publish_demand(offer))
            faults.late_ratio = 0.0
            self.assertTrue(await service_scheduler._publish_demand(PoolDemand(token=token)))
            await asyncio.sleep(LATE_WRITE_S)
            stored = PoolDemand.decode(simulation.store.items[pool_demand_key(SERVICE)].value)
            self.assertEqual((), stored.free)
            await simulation.instances[0].kill()

        run_scenario(scenario())


class MachineControllerOutageTests(unittest.TestCase):
    async def _suspend_controller(self, machine_harness: MachineHarness, lease: HeldLease) -> None:
        """Make the store unavailable until the controller is suspended, with leases paused."""
        machine_harness.store.are_leases_paused = True
        lease._store.faults.is_silent = True
        await asyncio.sleep(OUTAGE_S)
        self.assertFalse(lease.is_valid)
        lease._store.faults.is_silent = False

    def test_a_resumed_controller_takes_no_machine_that_was_offered_before_the_outage(self) -> None:
        """A machine with tasks was moved on an offer that its scheduler had withdrawn in an outage.

        A resumed controller acted at once, before the scheduler's call in flight had timed out.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=4, radar=2, spare=0)
            lease = await machine_harness.start()
            machine_harness.publish_demand("antenna", free=True)
            await asyncio.sleep(5.0)
            # Unlike a new controller, a resumed one gave orders in its first round.
            await self._suspend_controller(machine_harness, lease)
            # The pool that lacks machines writes its demand first.
            machine_harness.publish_demand("radar", lacking=1)
            await asyncio.sleep(REWRITE_DELAY_S)
            machine_harness.publish_demand("antenna")
            await asyncio.sleep(5.0)
            self.assertTrue(lease.is_valid)
            self.assertEqual([], machine_harness.moves())
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_resumed_controller_acts_on_records_from_after_the_outage(self) -> None:
        """A burst of jobs in an outage got no machines for three seconds after the outage.

        Standby machines and pools with new records are usable before all older calls time out.
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
            self.assertFalse({"m0", "m1", "m2", "m3"} & taken, "offered before the outage")
            self.assertTrue({"m9", "m10"} <= taken, "standby machines")
            self.assertTrue(
                {"m6", "m7", "m8"} & taken, "a pool with a record from after the outage"
            )
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_record_that_was_written_without_an_answer_is_replaced(self) -> None:
        """A worker stayed drained after its maintenance, since the due record was not replaced.

        The new record equalled the last acknowledged one, so the controller did not write it.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2)
            lease = await machine_harness.start()
            faults = lease._store.faults
            controller = machine_harness.controller
            assert controller is not None
            faults.lost_ratio = 1.0
            await controller._ledger.publish(frozenset({"w"}), {})
            faults.lost_ratio = 0.0
            await controller._ledger.publish(frozenset(), {})
            stored = MachineControllerRecord.decode(
                machine_harness.store.items[machine_controller_key()].value
            )
            self.assertEqual(frozenset(), stored.due)
            machine_harness.stop()

        run_scenario(scenario())


class LeaseExpiryTests(unittest.TestCase):
    def test_runs_of_a_worker_that_died_after_a_late_order_are_restarted(self) -> None:
        """A lasting task never ran again, since its worker's lease never expired in the scheduler.

        The worker answered that an order was too late, counted as unreached, and then was lost.
        """
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1, is_lasting=True)))
        (order,) = harness.start_orders()
        harness.worker("a").lease_ends_s = harness.now_s + 5.0
        order.run.enter(order.run.phase.RUNNING, harness.now_s)
        harness.add(view("b"))
        # `OrderDispatcher` clears the flag when a worker answers that an order came too late. The
        # leases of a worker without the flag did not expire, so that its task counted as running.
        harness.worker("a").is_fenced = False
        harness.scheduler_state.mark_unlisted("a")
        harness.now_s += RESTART_LIMIT_S
        self.assertEqual(["b"], [one.run.worker_id for one in harness.start_orders()])


if __name__ == "__main__":
    unittest.main()
