"""Tests of `shallotworks.scheduling.MachineController`: waves of upkeep and moves between pools."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from collections.abc import Callable

from parameterized import parameterized
from returns.result import Result, Success

from shallotworks.errors import Failure
from shallotworks.scheduling import (
    MACHINES_PREFIX,
    Machine,
    MachineController,
    MachineControllerDependencies,
    MachineOrderStatus,
    MachineRecords,
    MachineState,
    MaintenanceWave,
    PoolDemand,
    pool_demand_key,
)
from shallotworks.scheduling._machine_records import MachineControllerRecord
from shallotworks.standins import FaultInjectingStore, RecordStore
from shallotworks.store import HeldLease, PrefixWatcher
from tests.held_leases import acquire
from tests.scheduling_fakes import quiet_log
from tests.virtual_clock import run_scenario

MAINTENANCE_S = 2.0
MOVE_S = 1.5


class Platform:
    """Machines that go down for upkeep and move, and a judge of how many are down."""

    def __init__(self, **pools: int) -> None:
        self.machines: dict[str, Machine] = {}
        self.orders: list[tuple[str, str, float]] = []
        self.down = 0
        self.max_down = 0
        self.requested_waves: tuple[MaintenanceWave, ...] = ()
        self.drop_answers = False
        self.on_order: Callable[[str], None] = lambda _machine: None
        self.busy: set[str] = set()
        """Machines that take no order at present."""
        self._worker_count = 0
        for pool, count in pools.items():
            for _ in range(count):
                name = f"m{len(self.machines)}"
                worker = "" if pool == "spare" else self._new_worker_id()
                self.machines[name] = Machine(
                    name=name, pool=pool, state=MachineState.UP, worker_id=worker
                )

    def _new_worker_id(self) -> str:
        self._worker_count += 1
        return f"w{self._worker_count}"

    async def list(self) -> Result[tuple[Machine, ...], Failure]:
        return Success(tuple(self.machines.values()))

    async def start_maintenance(self, machine: str, *, wave: int, token: int) -> MachineOrderStatus:
        now_s = asyncio.get_running_loop().time()
        self.on_order(machine)
        if machine in self.busy:
            return MachineOrderStatus.BUSY
        known = ("upkeep", machine) in {order[:2] for order in self.orders}
        self.orders.append(("upkeep", machine, now_s))
        if not known:
            self.down += 1
            self.max_down = max(self.max_down, self.down)
            self._take_away(
                machine, self.machines[machine].pool, MachineState.MAINTENANCE, MAINTENANCE_S
            )
        return MachineOrderStatus.UNANSWERED if self.drop_answers else MachineOrderStatus.OBEYED

    async def move(self, machine: str, *, pool: str, token: int) -> MachineOrderStatus:
        now_s = asyncio.get_running_loop().time()
        self.on_order(machine)
        self.orders.append((f"move {pool}", machine, now_s))
        self._take_away(machine, pool, MachineState.MOVING, MOVE_S)
        return MachineOrderStatus.OBEYED

    def crash(self, name: str) -> None:
        """Let a machine's worker end; another one is on it at once."""
        pool = self.machines[name].pool
        self.machines[name] = Machine(
            name=name, pool=pool, state=MachineState.UP, worker_id=self._new_worker_id()
        )

    def _take_away(self, name: str, pool: str, state: MachineState, for_s: float) -> None:
        self.machines[name] = Machine(name=name, pool=pool, state=state)
        asyncio.get_running_loop().call_later(for_s, self._bring_back, name, state)

    def _bring_back(self, name: str, state: MachineState) -> None:
        pool = self.machines[name].pool
        worker = "" if pool == "spare" else self._new_worker_id()
        self.machines[name] = Machine(name=name, pool=pool, state=MachineState.UP, worker_id=worker)
        if state is MachineState.MAINTENANCE:
            self.down -= 1

    def waves(self) -> tuple[MaintenanceWave, ...]:
        return self.requested_waves

    def status_key(self, wave: int) -> str:
        return f"status/{wave}"

    def encode_status(self, is_completed: bool) -> bytes:
        return b"completed" if is_completed else b"running"


class MachineHarness:
    """A keeper with its platform and store."""

    def __init__(self, **pools: int) -> None:
        self.platform = Platform(**pools)
        self.store = RecordStore(rng=random.Random(1))
        self.machine_records = MachineRecords(log=quiet_log())
        self.tasks: list[asyncio.Task[None]] = []
        self.controller: MachineController | None = None
        self.unannounced: list[str] = []
        """Machines that were ordered before the keeper had named them in the store."""
        self.platform.on_order = self._check_announced

    def _check_announced(self, machine: str) -> None:
        is_stored = MACHINES_PREFIX + "keeper" in self.store.items
        if not is_stored or machine not in (self.announced_machines() or ()):
            self.unannounced.append(machine)

    def store_predecessor_record(self, *ordered: str) -> None:
        """Let an earlier keeper have ordered some machines of late, and no others."""
        stored_record = MachineControllerRecord(ordered=tuple(ordered))
        self.store.put(MACHINES_PREFIX + "keeper", stored_record.encode())

    def announced_machines(self) -> tuple[str, ...] | None:
        """Return the machines that the keeper's word in the store names as ordered."""
        return MachineControllerRecord.decode(
            self.store.items[MACHINES_PREFIX + "keeper"].value
        ).ordered

    async def start(self, *, answer_s: float = 0.0) -> HeldLease:
        """Start a keeper, whose store answers this much later."""
        view = FaultInjectingStore(store=self.store)
        clock = asyncio.get_running_loop().time
        lease = await acquire(view, key="keeper", marker_key="mark")
        view.faults.delay_s = answer_s
        watcher = PrefixWatcher(
            store=view, prefix=MACHINES_PREFIX, listener=self.machine_records, log=quiet_log()
        )
        dependencies = MachineControllerDependencies(
            machines=self.platform,
            maintenance_schedule=self.platform,
            machine_records=self.machine_records,
            standby=lambda: frozenset({"spare"}),
            store=view,
            clock=clock,
            wall_clock=clock,
            log=quiet_log(),
        )
        self.controller = MachineController(lease=lease, dependencies=dependencies)
        self.tasks = [
            asyncio.create_task(watcher.run()),
            asyncio.create_task(self.controller.run()),
        ]
        return lease

    def publish_demand(
        self, service: str, *, lacking: int = 0, free: bool = False, woke: int = 0
    ) -> None:
        """Let a service's scheduler tell its need; free means all of its workers."""
        workers = [
            one.worker_id
            for one in self.platform.machines.values()
            if one.pool == service and one.worker_id
        ]
        demand = PoolDemand(lacking=lacking, free=tuple(workers) if free else (), woke=woke)
        self.store.put(pool_demand_key(service), demand.encode())

    def moves(self) -> list[tuple[str, str, float]]:
        """Return the moves that were ordered."""
        return [order for order in self.platform.orders if order[0].startswith("move")]

    def size(self, pool: str) -> int:
        """Return a pool's machines."""
        return sum(1 for one in self.platform.machines.values() if one.pool == pool)

    def stop(self) -> None:
        """Stop the keeper."""
        for task in self.tasks:
            task.cancel()


def wave(machine_harness: MachineHarness, *, most: int) -> MaintenanceWave:
    """Return a wave of all machines."""
    return MaintenanceWave(
        wave=1, machines=tuple(machine_harness.platform.machines), duration_s=30, most_at_once=most
    )


class LargeFleetTests(unittest.TestCase):
    def test_a_burst_on_a_large_fleet_gets_its_machines_within_two_rounds(self) -> None:
        """A queue's first seconds are late, since its machines come sixteen at a time.

        A queue lacks 120 machines, and 190 of 400 are idle or off. They are all ordered within two
        rounds of the keeper, also where the store takes a tenth of a second for each call.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=30, sweeps=180, kept=100, spare=90)
            machine_harness.publish_demand("antenna", lacking=120)
            machine_harness.publish_demand("sweeps", free=True)
            machine_harness.store_predecessor_record()
            await machine_harness.start(answer_s=0.1)
            await asyncio.sleep(2.0)
            moved = [at_s for order, _, at_s in machine_harness.moves() if order == "move antenna"]
            self.assertGreaterEqual(len(moved), 120)
            self.assertLessEqual(moved[119] - moved[0], 1.2)
            self.assertEqual([], machine_harness.unannounced)
            machine_harness.stop()

        run_scenario(scenario())


class WaveTests(unittest.TestCase):
    def test_a_wave_maintains_each_machine_once_within_its_limit(self) -> None:
        """Free workers go down, machines that are off too; then the wave is completed."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=4, spare=2)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=2),)
            await machine_harness.start()
            for _ in range(150):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertEqual(2, machine_harness.platform.max_down)
            self.assertEqual(6, len({order[1] for order in machine_harness.platform.orders}))
            self.assertEqual(b"completed", machine_harness.store.items["status/1"].value)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_wave_waits_for_workers_with_lasting_tasks(self) -> None:
        """Nothing is taken down that its scheduler does not give; it is told what is due."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            await machine_harness.start()
            machine_harness.publish_demand("antenna")
            await asyncio.sleep(8)
            self.assertEqual([], machine_harness.platform.orders)
            self.assertTrue(machine_harness.machine_records.controller.due)
            self.assertEqual(b"running", machine_harness.store.items["status/1"].value)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_wave_waits_for_a_temporarily_unlisted_machine(self) -> None:
        """A wave told to be completed while machines of it never had their upkeep.

        A rack loses power in the middle of the wave, and its machines are not in the list until it
        is back, eight seconds later. They were taken for machines that had left.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=3)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            dark = machine_harness.platform.machines.pop("m2")
            await machine_harness.start()
            for _ in range(75):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertEqual(b"running", machine_harness.store.items["status/1"].value)
            machine_harness.platform.machines["m2"] = dark
            for _ in range(40):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertEqual(b"completed", machine_harness.store.items["status/1"].value)
            self.assertEqual(3, len({order[1] for order in machine_harness.platform.orders}))
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_wave_completes_without_a_removed_machine(self) -> None:
        """Once the wave's time is over it is completed without it."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            machine_harness.platform.machines.pop("m1")
            await machine_harness.start()
            for _ in range(200):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertEqual(b"completed", machine_harness.store.items["status/1"].value)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_worker_crash_does_not_count_as_maintenance(self) -> None:
        """A wave told to be completed, and a machine of it has not had its upkeep.

        A machine takes no order, since its worker is about to leave. Its slot is taken already; the
        worker crashes, and another one is seen on the machine, as after an upkeep.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=3)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            machine_harness.platform.busy = {"m0"}
            await machine_harness.start()
            for round_number in range(60):
                machine_harness.publish_demand("antenna", free=True)
                if round_number == 30:
                    machine_harness.platform.crash("m0")
                await asyncio.sleep(0.2)
            self.assertEqual(b"running", machine_harness.store.items["status/1"].value)
            machine_harness.platform.busy = set()
            for _ in range(80):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertEqual(b"completed", machine_harness.store.items["status/1"].value)
            self.assertEqual(3, len({order[1] for order in machine_harness.platform.orders}))
            self.assertEqual(1, machine_harness.platform.max_down)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_repeated_order_does_not_report_the_new_worker_as_removed(self) -> None:
        """A task that runs twice at once.

        A machine's order is not answered, its upkeep begins and ends while no list shows it, and
        the order that is given again is obeyed without effect. The worker on the machine lives on;
        its scheduler was told that it is over, and started its tasks again.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            machine_harness.platform.busy = {"m0"}
            await machine_harness.start()
            for _ in range(25):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            machine_harness.platform.crash("m0")
            machine_harness.platform.orders.append(("upkeep", "m0", 0.0))
            machine_harness.platform.busy = set()
            for _ in range(10):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertGreater(len(machine_harness.platform.orders), 1)
            self.assertEqual((), machine_harness.machine_records.controller.over)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_new_controller_does_not_repeat_maintenance_that_has_begun(self) -> None:
        """Workers emptied and asked for again, for an upkeep that their machines have had."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            first = await machine_harness.start()
            while not machine_harness.platform.orders:
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            await asyncio.sleep(0.1)
            name = machine_harness.platform.orders[0][1]
            first.mark_lost("killed")
            machine_harness.stop()
            await first.release()
            machine_harness.publish_demand("antenna")
            await asyncio.sleep(3.0)
            await machine_harness.start()
            await asyncio.sleep(3.4)
            worker = machine_harness.platform.machines[name].worker_id
            self.assertNotIn(worker, machine_harness.machine_records.controller.due)
            for _ in range(60):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertEqual(b"completed", machine_harness.store.items["status/1"].value)
            self.assertEqual(2, len(machine_harness.platform.orders))
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_second_wave_does_not_inherit_progress_of_the_first(self) -> None:
        """The same for a machine that has had its upkeep in an earlier wave."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            await machine_harness.start()
            for _ in range(50):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertEqual(b"completed", machine_harness.store.items["status/1"].value)
            machine_harness.platform.busy = {"m0"}
            second = MaintenanceWave(wave=2, machines=("m0",), duration_s=30, most_at_once=1)
            machine_harness.platform.requested_waves = (
                *machine_harness.platform.requested_waves,
                second,
            )
            for round_number in range(40):
                machine_harness.publish_demand("antenna", free=True)
                if round_number == 20:
                    machine_harness.platform.crash("m0")
                await asyncio.sleep(0.2)
            self.assertEqual(b"running", machine_harness.store.items["status/2"].value)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_refused_order_is_repeated_only_while_the_worker_is_offered(self) -> None:
        """Lasting tasks that end with a machine which its scheduler had taken back.

        The order was refused at first, and repeated without asking the scheduler again.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            machine_harness.platform.busy = {"m0", "m1"}
            await machine_harness.start()
            for _ in range(30):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            machine_harness.publish_demand("antenna")
            machine_harness.platform.busy = set()
            await asyncio.sleep(4)
            self.assertEqual([], machine_harness.platform.orders)
            self.assertTrue(machine_harness.machine_records.controller.due)
            machine_harness.stop()

        run_scenario(scenario())

    @parameterized.expand([("enough_time", 30.0, 0), ("little_time", 8.0, 2)])
    def test_a_wave_yields_to_a_burst_unless_its_time_runs_short(
        self, _name: str, duration_s: float, begun: int
    ) -> None:
        """Callers of a turn wait, as machines that their queue lacks are down for upkeep.

        Two machines at a time, four in all: eight seconds of upkeep, of the thirty that the wave
        has. It waits while a queue lacks machines, which may borrow those of the wave meanwhile,
        and goes on when the turn is over; a wave whose own time runs short goes on beside it.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=4, coverage=2)
            machines = tuple(name for name in machine_harness.platform.machines)[:4]
            maintenance_wave = MaintenanceWave(
                wave=1, machines=machines, duration_s=duration_s, most_at_once=2
            )
            machine_harness.platform.requested_waves = (maintenance_wave,)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("antenna", free=True)
            machine_harness.publish_demand("coverage", lacking=3)
            await machine_harness.start()
            await asyncio.sleep(1.5)
            maintenance_orders = [
                order for order in machine_harness.platform.orders if order[0] == "upkeep"
            ]
            self.assertEqual(begun, len(maintenance_orders))
            if not begun:
                self.assertEqual(2, len(machine_harness.moves()))
            for _ in range(60):
                machine_harness.publish_demand("antenna", free=True)
                machine_harness.publish_demand("coverage", free=True)
                await asyncio.sleep(0.2)
            self.assertEqual(b"completed", machine_harness.store.items["status/1"].value)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_lost_answer_does_not_free_the_slot(self) -> None:
        """More machines down than the wave allows, after an order without an answer.

        The order is carried out and its answer is lost. The machine's slot was taken before, and
        stays taken until another worker is seen on it.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=4)
            machine_harness.platform.drop_answers = True
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            await machine_harness.start()
            for _ in range(150):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertEqual(1, machine_harness.platform.max_down)
            self.assertEqual(b"completed", machine_harness.store.items["status/1"].value)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_new_controller_waits_before_its_first_order(self) -> None:
        """Two holders that take turns on a machine within the time that is allowed apart."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            machine_harness.publish_demand("antenna", free=True)
            begun_s = asyncio.get_running_loop().time()
            await machine_harness.start()
            await asyncio.sleep(6)
            self.assertGreater(machine_harness.platform.orders[0][2] - begun_s, 3.0)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_new_controller_orders_machines_without_recent_orders_at_once(self) -> None:
        """Callers waited three seconds for machines whenever the keeper changed in their turn.

        The keeper's instance is stopped as a queue's turn begins. Its successor let the time pass
        in which its predecessor may have ordered any machine; only those that it named in the
        store may have been ordered.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2, spare=3)
            machine_harness.store_predecessor_record("m2")
            begun_s = asyncio.get_running_loop().time()
            machine_harness.publish_demand("antenna", lacking=3)
            await machine_harness.start()
            await asyncio.sleep(4.0)
            moved_s = {name: at_s - begun_s for _, name, at_s in machine_harness.moves()}
            self.assertLess(moved_s["m3"], 0.5)
            self.assertLess(moved_s["m4"], 0.5)
            self.assertGreater(moved_s["m2"], 3.0)
            machine_harness.stop()

        run_scenario(scenario())

    def test_machines_ordered_long_ago_are_pruned_from_the_record(self) -> None:
        """A turn's machines stayed out of reach for three seconds after the keeper had changed.

        They were ordered in the turn before, and the keeper had had nothing to do since.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1, spare=2)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("antenna", lacking=2)
            await machine_harness.start()
            await asyncio.sleep(1.0)
            machine_harness.publish_demand("antenna")
            self.assertEqual(("m1", "m2"), machine_harness.announced_machines())
            await asyncio.sleep(5.0)
            self.assertEqual((), machine_harness.announced_machines())
            machine_harness.stop()

        run_scenario(scenario())

    @parameterized.expand([("move",), ("upkeep",)])
    def test_a_machine_is_named_in_the_store_before_it_is_ordered(self, order: str) -> None:
        """Two holders that take turns on a machine, since the second did not know of an order."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2, spare=2)
            if order == "upkeep":
                machine_harness.platform.requested_waves = (wave(machine_harness, most=2),)
                machine_harness.publish_demand("antenna", free=True)
            else:
                machine_harness.publish_demand("antenna", lacking=2)
            await machine_harness.start()
            await asyncio.sleep(5.0)
            self.assertTrue(machine_harness.platform.orders)
            self.assertEqual([], machine_harness.unannounced)
            machine_harness.stop()

        run_scenario(scenario())

    def test_no_order_is_given_when_the_store_rejects_its_announcement(self) -> None:
        """A keeper whose key is another's by now orders a machine that it can't name."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2, spare=2)
            machine_harness.store_predecessor_record()
            lease = await machine_harness.start()
            await asyncio.sleep(0.5)
            machine_harness.store.delete(lease.key)
            machine_harness.publish_demand("antenna", lacking=2)
            await asyncio.sleep(1.5)
            self.assertEqual([], machine_harness.moves())
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_withdrawn_offer_is_read_before_the_order(self) -> None:
        """Lasting tasks ended by upkeep on a worker that its scheduler had taken back.

        The keeper's copy of the scheduler's word is old; it reads the word once more.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            await machine_harness.start()
            machine_harness.publish_demand("antenna", free=True)
            await asyncio.sleep(1)
            machine_harness.tasks[0].cancel()
            await asyncio.sleep(0.1)
            machine_harness.publish_demand("antenna")
            await asyncio.sleep(6)
            self.assertEqual([], machine_harness.platform.orders)
            machine_harness.stop()

        run_scenario(scenario())


class MoveTests(unittest.TestCase):
    def test_a_burst_borrows_machines_and_returns_them(self) -> None:
        """Machines go where callers wait, from the standby pool first, and home afterwards."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2, coverage=3, spare=2)
            await machine_harness.start()
            machine_harness.publish_demand("antenna", lacking=4)
            machine_harness.publish_demand("coverage", free=True)
            await asyncio.sleep(4.5)
            self.assertEqual(6, machine_harness.size("antenna"))
            self.assertEqual(0, machine_harness.size("spare"))
            self.assertEqual(1, machine_harness.size("coverage"))
            await asyncio.sleep(2)
            machine_harness.publish_demand("coverage")
            machine_harness.publish_demand("antenna", free=True)
            await asyncio.sleep(5)
            sizes = {pool: machine_harness.size(pool) for pool in ("antenna", "coverage", "spare")}
            self.assertEqual({"antenna": 2, "coverage": 3, "spare": 2}, sizes)
            machine_harness.stop()

        run_scenario(scenario())

    def test_machines_in_flight_count_towards_demand(self) -> None:
        """A need that is told again and again is met once."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1, spare=5)
            await machine_harness.start()
            for _ in range(22):
                machine_harness.publish_demand("antenna", lacking=2)
                await asyncio.sleep(0.2)
            self.assertEqual(2, len(machine_harness.moves()))
            machine_harness.stop()

        run_scenario(scenario())

    def test_an_arrived_machine_is_not_counted_twice(self) -> None:
        """A turn's callers wait for machines, since those that came still count as on their way.

        Two machines are asked for and arrive; the scheduler counts them as its own, and says that
        it lacks two more.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1, spare=5)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("antenna", lacking=2)
            await machine_harness.start()
            await asyncio.sleep(MOVE_S)
            self.assertEqual(2, len(machine_harness.moves()))
            await asyncio.sleep(1.3)
            self.assertEqual(4, len(machine_harness.moves()))
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_slow_store_delays_all_moves_of_a_burst_only_once(self) -> None:
        """A turn waits for seconds for machines that are idle, while the store is slow.

        Before each order the lender's word is read once more, which takes 0.3 s here.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2, coverage=16)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("coverage", free=True)
            machine_harness.publish_demand("antenna", lacking=8)
            await machine_harness.start(answer_s=0.3)
            await asyncio.sleep(2.5)
            self.assertEqual(8, len(machine_harness.moves()))
            machine_harness.stop()

        run_scenario(scenario())

    def test_recalls_cover_all_machines_that_a_burst_lacks(self) -> None:
        """A turn is lost while the one before it works off jobs that are late anyway.

        A pool of one has borrowed four machines, all busy. The next queue has its own machines, and
        lacks three times as many; the borrower is asked to keep late work off all that it borrowed.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1, coverage=1, spare=4)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("antenna", lacking=4)
            await machine_harness.start()
            await asyncio.sleep(2.0)
            machine_harness.publish_demand("antenna")
            machine_harness.publish_demand("coverage", lacking=3)
            await asyncio.sleep(0.5)
            self.assertEqual({"antenna": 3}, machine_harness.machine_records.controller.recalls)
            machine_harness.publish_demand("antenna", lacking=9)
            machine_harness.publish_demand("coverage", lacking=9)
            await asyncio.sleep(0.5)
            self.assertEqual({"antenna": 4}, machine_harness.machine_records.controller.recalls)
            machine_harness.stop()

        run_scenario(scenario())

    def test_the_next_burst_borrows_idle_machines_directly(self) -> None:
        """A queue's turn waits 1.5 s longer, as the machines of the last one were just sent away.

        One queue's turn ends, and the next one's begins a second later. The machines that the
        first had borrowed go to the second straight, and home only when none asks for them.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1, coverage=1, spare=4)
            machine_harness.store_predecessor_record()
            machine_harness.publish_demand("antenna", lacking=4)
            await machine_harness.start()
            await asyncio.sleep(3.0)
            machine_harness.publish_demand("antenna", free=True)
            await asyncio.sleep(1.0)
            machine_harness.publish_demand("coverage", lacking=4)
            await asyncio.sleep(1.0)
            machine_harness.publish_demand("coverage")
            await asyncio.sleep(1.5)
            self.assertEqual(5, machine_harness.size("coverage"))
            self.assertEqual(8, len(machine_harness.moves()))
            machine_harness.publish_demand("coverage", free=True)
            await asyncio.sleep(5.0)
            self.assertEqual(4, machine_harness.size("spare"))
            machine_harness.stop()

        run_scenario(scenario())

    def test_removed_workers_are_published_at_once(self) -> None:
        """Tasks that wait five seconds for the lease of a worker that was taken away."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1, coverage=1)
            await machine_harness.start()
            machine_harness.publish_demand("coverage", free=True)
            machine_harness.publish_demand("antenna", lacking=1)
            await asyncio.sleep(4)
            self.assertEqual(("w2",), machine_harness.machine_records.controller.over)
            record = json.loads(machine_harness.store.items[MACHINES_PREFIX + "keeper"].value)
            self.assertEqual(["w2"], record["over"])
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_new_controller_republishes_removals_of_its_predecessor(self) -> None:
        """Jobs stand still for 10 s after a scheduler and the keeper were killed together.

        The new scheduler waits for the leases of workers that the last keeper has taken away; the
        new keeper's first word did not name them any more.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2, coverage=3)
            before = MachineControllerRecord(over=("w0",))
            machine_harness.store.put(MACHINES_PREFIX + "keeper", before.encode())
            await machine_harness.start()
            machine_harness.publish_demand("coverage", free=True)
            machine_harness.publish_demand("antenna", lacking=1)
            await asyncio.sleep(4.5)
            over = machine_harness.machine_records.controller.over
            self.assertEqual(("w0", 2), (over[0], len(over)))
            await asyncio.sleep(16)
            machine_harness.publish_demand("antenna", lacking=3)
            await asyncio.sleep(1)
            self.assertNotIn("w0", machine_harness.machine_records.controller.over)
            machine_harness.stop()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
