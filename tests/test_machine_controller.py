"""Tests of `shallotworks.scheduling.MachineController`: maintenance waves and pool moves."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from collections.abc import Callable

from parameterized import parameterized
from returns.result import Result, Success

from shallotworks.errors import Failure
from shallotworks.jobs import Incarnation
from shallotworks.metrics import Metrics
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
from shallotworks.scheduling.machines._machine_records import MachineControllerRecord
from shallotworks.standins import FaultInjectingStore, RecordStore
from shallotworks.store import HeldLease, PrefixWatcher
from tests.held_leases import acquire
from tests.scheduling_fakes import quiet_log
from tests.virtual_clock import run_scenario

MAINTENANCE_S = 2.0
MOVE_S = 1.5


class Platform:
    """Simulates maintenance and moves of machines, and counts how many are down at once."""

    def __init__(self, **pools: int) -> None:
        self.machines: dict[str, Machine] = {}
        self.orders: list[tuple[str, str, float]] = []
        self.maintained: list[tuple[int, str]] = []
        """Wave and machine of each maintenance that has begun."""
        self.down = 0
        self.max_down = 0
        self.requested_waves: tuple[MaintenanceWave, ...] = ()
        self.drop_answers = False
        self.on_order: Callable[[str], None] = lambda _machine: None
        self.busy: set[str] = set()
        """Machines that refuse orders for now."""
        self.unknown: set[str] = set()
        """Machines that the platform does not know for now."""
        self.keeps_ids = False
        """Whether a worker starts again under its id after maintenance, a move or a crash."""
        self._born_ms = 1_700_000_000_000
        self._last_worker_ids: dict[str, str] = {}
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
        if (wave, machine) not in self.maintained:
            if self.machines[machine].state is not MachineState.UP:
                return MachineOrderStatus.BUSY
            self.maintained.append((wave, machine))
            self.down += 1
            self.max_down = max(self.max_down, self.down)
            self._take_away(
                machine, self.machines[machine].pool, MachineState.MAINTENANCE, MAINTENANCE_S
            )
        self.orders.append(("upkeep", machine, now_s))
        return MachineOrderStatus.UNANSWERED if self.drop_answers else MachineOrderStatus.OBEYED

    async def move(self, machine: str, *, pool: str, token: int) -> MachineOrderStatus:
        now_s = asyncio.get_running_loop().time()
        self.on_order(machine)
        if machine in self.unknown:
            return MachineOrderStatus.MISFIT
        self.orders.append((f"move {pool}", machine, now_s))
        self._take_away(machine, pool, MachineState.MOVING, MOVE_S)
        return MachineOrderStatus.OBEYED

    def crash(self, name: str) -> None:
        """End the worker of a machine; a new worker replaces it at once."""
        self.machines[name] = self._restarted(name)

    def _restarted(self, name: str) -> Machine:
        """Return a machine that is up, with a worker that has just started."""
        machine = self.machines[name]
        earlier_id = machine.worker_id or self._last_worker_ids.get(name, "")
        if machine.pool == "spare":
            worker_id, born_ms = "", None
        elif self.keeps_ids:
            self._born_ms += 1
            worker_id, born_ms = earlier_id or self._new_worker_id(), self._born_ms
        else:
            worker_id, born_ms = self._new_worker_id(), None
        return Machine(
            name=name,
            pool=machine.pool,
            state=MachineState.UP,
            worker_id=worker_id,
            born_ms=born_ms,
        )

    def _take_away(self, name: str, pool: str, state: MachineState, for_s: float) -> None:
        self._last_worker_ids[name] = self.machines[name].worker_id
        self.machines[name] = Machine(name=name, pool=pool, state=state)
        asyncio.get_running_loop().call_later(for_s, self._bring_back, name, state)

    def _bring_back(self, name: str, state: MachineState) -> None:
        self.machines[name] = self._restarted(name)
        if state is MachineState.MAINTENANCE:
            self.down -= 1

    def waves(self) -> tuple[MaintenanceWave, ...]:
        return self.requested_waves

    def status_key(self, wave: int) -> str:
        return f"status/{wave}"

    def encode_status(self, is_completed: bool) -> bytes:
        return b"completed" if is_completed else b"running"


class MachineHarness:
    """A machine controller with its platform and store."""

    def __init__(self, **pools: int) -> None:
        self.platform = Platform(**pools)
        self.store = RecordStore(rng=random.Random(1))
        self.machine_records = MachineRecords(log=quiet_log())
        self.tasks: list[asyncio.Task[None]] = []
        self.controller: MachineController | None = None
        self.unannounced: list[str] = []
        """Machines that were ordered before the controller had named them in the store."""
        self.platform.on_order = self._check_announced
        self.has_standby = True
        self.log = quiet_log()
        self.metrics = Metrics()

    def _check_announced(self, machine: str) -> None:
        is_stored = MACHINES_PREFIX + "keeper" in self.store.items
        if not is_stored or machine not in (self.announced_machines() or ()):
            self.unannounced.append(machine)

    def store_predecessor_record(self, *ordered: str) -> None:
        """Store a predecessor's record that names the machines it ordered recently."""
        stored_record = MachineControllerRecord(ordered=tuple(ordered))
        self.store.put(MACHINES_PREFIX + "keeper", stored_record.encode())

    def announced_machines(self) -> tuple[str, ...] | None:
        """Return the machines that the controller's stored record names as ordered."""
        return MachineControllerRecord.decode(
            self.store.items[MACHINES_PREFIX + "keeper"].value
        ).ordered

    async def start(self, *, answer_s: float = 0.0) -> HeldLease:
        """Start a controller whose store answers with a delay of ``answer_s``."""
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
            standby=lambda: frozenset({"spare"} if self.has_standby else ()),
            store=view,
            clock=clock,
            wall_clock=clock,
            log=self.log,
            metrics=self.metrics,
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
        """Publish the demand of a service; ``free`` offers all of its workers."""
        workers = [
            one.worker_id
            for one in self.platform.machines.values()
            if one.pool == service and one.worker_id
        ]
        demand = PoolDemand(lacking=lacking, free=tuple(workers) if free else (), woke=woke)
        self.store.put(pool_demand_key(service), demand.encode())

    def moves(self) -> list[tuple[str, str, float]]:
        """Return the ordered moves."""
        return [order for order in self.platform.orders if order[0].startswith("move")]

    def size(self, pool: str) -> int:
        """Return the number of machines in a pool."""
        return sum(1 for one in self.platform.machines.values() if one.pool == pool)

    def stop(self) -> None:
        """Stop the controller."""
        for task in self.tasks:
            task.cancel()


def wave(machine_harness: MachineHarness, *, most: int) -> MaintenanceWave:
    """Return a wave of all machines."""
    return MaintenanceWave(
        wave=1, machines=tuple(machine_harness.platform.machines), duration_s=30, max_at_once=most
    )


class LargeFleetTests(unittest.TestCase):
    def test_a_burst_on_a_large_fleet_gets_its_machines_within_two_rounds(self) -> None:
        """Guards against late jobs at the start of a burst, as machines are ordered 16 at a time.

        A queue lacks 120 machines; 190 of 400 are idle or off, and each store call takes 0.1 s.
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
    @parameterized.expand([("new_ids", False), ("the_same_ids", True)])
    def test_a_wave_maintains_each_machine_once_within_its_limit(
        self, _name: str, keeps_ids: bool
    ) -> None:
        """Guards against a wave that never ends, since a worker returned under its earlier id."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=4, spare=2)
            machine_harness.platform.keeps_ids = keeps_ids
            for name in machine_harness.platform.machines:
                machine_harness.platform.crash(name)
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
        """Only offered machines are taken down; the scheduler learns which workers are due."""

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
        """Guards against a wave reported as completed although some machines were not maintained.

        A rack without power is not listed for 8 s, and its machines were treated as removed.
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
        """Once the wave's time is over, it completes without machines that are no longer listed."""

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

    def test_a_machine_that_returns_to_an_open_wave_is_maintained(self) -> None:
        """Guards against a wave reported as completed without a machine that was unlisted long."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2)
            platform = machine_harness.platform
            platform.busy = {"m0", "m1"}
            platform.requested_waves = (
                MaintenanceWave(wave=1, machines=("m0", "m1"), duration_s=5, max_at_once=2),
            )
            await machine_harness.start()
            for _ in range(20):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            away = platform.machines.pop("m0")
            for _ in range(150):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            platform.machines["m0"] = away
            platform.busy = set()
            for _ in range(60):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertEqual(b"completed", machine_harness.store.items["status/1"].value)
            self.assertEqual({(1, "m0"), (1, "m1")}, set(platform.maintained))
            machine_harness.stop()

        run_scenario(scenario())

    @parameterized.expand([("new_ids", False), ("the_same_ids", True)])
    def test_a_worker_crash_does_not_count_as_maintenance(
        self, _name: str, keeps_ids: bool
    ) -> None:
        """Guards against a wave reported as completed although a machine was not maintained.

        The machine refused its order; its worker crashed, and the new one looked like maintenance.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=3)
            machine_harness.platform.keeps_ids = keeps_ids
            for name in machine_harness.platform.machines:
                machine_harness.platform.crash(name)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            machine_harness.platform.busy = {"m0"}
            await machine_harness.start()
            for round_number in range(60):
                machine_harness.publish_demand("antenna", free=True)
                # The refused order holds a slot, so the new worker could pass for maintenance.
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
        """Guards against a task that runs twice, since its worker was wrongly reported as removed.

        No list shows the maintenance, so the order is repeated, which has no effect on the machine.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            machine_harness.platform.busy = {"m0"}
            await machine_harness.start()
            for _ in range(25):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            # The order was carried out without an answer, and ended before a list showed it.
            machine_harness.platform.crash("m0")
            machine_harness.platform.orders.append(("upkeep", "m0", 0.0))
            machine_harness.platform.maintained.append((1, "m0"))
            machine_harness.platform.busy = set()
            for _ in range(10):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertGreater(len(machine_harness.platform.orders), 1)
            self.assertEqual((), machine_harness.machine_records.controller.over)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_new_controller_does_not_repeat_maintenance_that_has_begun(self) -> None:
        """Guards against draining workers again for maintenance that their machines have had."""

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
        """Guards against a crash that counts as maintenance because of an earlier wave."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1)
            machine_harness.platform.requested_waves = (wave(machine_harness, most=1),)
            await machine_harness.start()
            for _ in range(50):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
            self.assertEqual(b"completed", machine_harness.store.items["status/1"].value)
            machine_harness.platform.busy = {"m0"}
            second = MaintenanceWave(wave=2, machines=("m0",), duration_s=30, max_at_once=1)
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

    @parameterized.expand(
        [
            ("each_order_answered", False, False),
            ("answers_lost", True, False),
            ("controller_replaced", False, True),
            ("answers_lost_and_controller_replaced", True, True),
        ]
    )
    def test_waves_that_share_a_machine_each_maintain_it(
        self, _name: str, drop_answers: bool, is_replaced: bool
    ) -> None:
        """Guards against a wave reported as completed after another wave's maintenance."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=5)
            platform = machine_harness.platform
            platform.drop_answers = drop_answers
            named = {1: ("m0", "m1", "m2"), 2: ("m0", "m3", "m4")}
            platform.requested_waves = tuple(
                MaintenanceWave(wave=wave, machines=machines, duration_s=60, max_at_once=1)
                for wave, machines in named.items()
            )
            lease = await machine_harness.start()
            may_replace = is_replaced
            unmaintained: dict[int, set[str]] = {}
            for _ in range(300):
                machine_harness.publish_demand("antenna", free=True)
                await asyncio.sleep(0.2)
                if may_replace and platform.maintained:
                    may_replace = False
                    lease.mark_lost("killed")
                    machine_harness.stop()
                    await lease.release()
                    lease = await machine_harness.start()
                for wave in named.keys() - unmaintained.keys():
                    if machine_harness.store.items[f"status/{wave}"].value == b"completed":
                        begun = {one for of, one in platform.maintained if of == wave}
                        unmaintained[wave] = set(named[wave]) - begun
            self.assertEqual({1: set(), 2: set()}, unmaintained)
            machine_harness.stop()

        run_scenario(scenario())

    @parameterized.expand([("the_same_controller", False), ("a_new_controller", True)])
    def test_a_wave_that_is_requested_anew_maintains_its_other_machines(
        self, _name: str, is_replaced: bool
    ) -> None:
        """Guards against a wave that stays completed when its number is used for other machines."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=3)
            platform = machine_harness.platform
            status = machine_harness.store.items

            async def request(*machines: str) -> None:
                platform.requested_waves = (
                    MaintenanceWave(wave=1, machines=machines, duration_s=30, max_at_once=1),
                )
                for _ in range(60):
                    machine_harness.publish_demand("antenna", free=True)
                    await asyncio.sleep(0.2)

            lease = await machine_harness.start()
            await request("m0", "m1")
            self.assertEqual(b"completed", status["status/1"].value)
            if is_replaced:
                lease.mark_lost("killed")
                machine_harness.stop()
                await lease.release()
                await machine_harness.start()
            await request("m1", "m2")
            self.assertEqual(b"completed", status["status/1"].value)
            self.assertEqual([(1, "m0"), (1, "m1"), (1, "m2")], platform.maintained)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_machine_that_a_wave_no_longer_names_has_no_slot(self) -> None:
        """Guards against waves that never end, for a machine that one of them no longer names."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2)
            platform = machine_harness.platform
            platform.busy = {"m0"}

            async def request(**waves: tuple[str, ...]) -> None:
                platform.requested_waves = tuple(
                    MaintenanceWave(wave=wave, machines=machines, duration_s=30, max_at_once=1)
                    for wave, machines in enumerate(waves.values(), start=1)
                )
                for _ in range(30):
                    machine_harness.publish_demand("antenna", free=True)
                    await asyncio.sleep(0.2)

            await machine_harness.start()
            await request(first=("m0", "m1"))
            self.assertEqual([], platform.maintained)
            await request(first=("m1",), second=("m0",))
            self.assertEqual(b"completed", machine_harness.store.items["status/1"].value)
            platform.busy = set()
            await request(first=("m1",), second=("m0",))
            self.assertEqual(b"completed", machine_harness.store.items["status/2"].value)
            self.assertEqual([(1, "m1"), (2, "m0")], platform.maintained)
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_refused_order_is_repeated_only_while_the_worker_is_offered(self) -> None:
        """Guards against lasting tasks that end with a machine whose offer was withdrawn.

        The order was refused at first and repeated without reading the demand again.
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
        """Guards against callers of a burst that wait while a wave takes their machines down.

        Maintenance of four machines, two at a time, takes 8 s; a wave of 30 s yields, one of 8 not.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=4, coverage=2)
            machines = tuple(name for name in machine_harness.platform.machines)[:4]
            maintenance_wave = MaintenanceWave(
                wave=1, machines=machines, duration_s=duration_s, max_at_once=2
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
        """Guards against more machines down than the wave allows, after a lost answer.

        The order was carried out; the slot stays taken until another worker runs on the machine.
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
        """Guards against orders of two holders for a machine within less than the minimum time."""

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
        """Guards against a 3 s wait for machines if the controller is replaced during a burst.

        The successor must delay only machines that its predecessor named in the store.
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
        """Guards against a 3 s wait for machines after a change of the controller.

        The machines were ordered in the previous burst, and the idle controller still named them.
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
        """Guards against alternating orders of two holders, the second unaware of the first's."""

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
        """Guards against orders of a controller that lost its lease and can't name the machine."""

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
        """Guards against maintenance that ends lasting tasks on a worker whose offer was withdrawn.

        The controller's copy of the demand is stale, so it reads the stored demand again.
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
        """Machines move to the lacking pool, from the standby pool first, and return afterwards."""

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

    def test_a_machine_that_was_unknown_is_lent_once_it_is_back(self) -> None:
        """Guards against machines that are never lent again, since they were away for a while."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2, coverage=1)
            platform = machine_harness.platform
            machine_harness.store_predecessor_record()
            platform.unknown = {"m0", "m1"}
            machine_harness.publish_demand("antenna", free=True)
            machine_harness.publish_demand("coverage", lacking=1)
            await machine_harness.start()
            await asyncio.sleep(2.0)
            away = {name: platform.machines.pop(name) for name in ("m0", "m1")}
            await asyncio.sleep(8.0)
            platform.machines |= away
            platform.unknown = set()
            await asyncio.sleep(2.0)
            self.assertEqual(1, len(machine_harness.moves()))
            machine_harness.stop()

        run_scenario(scenario())

    def test_machines_in_flight_count_towards_demand(self) -> None:
        """A demand that is published repeatedly is satisfied once."""

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
        """Guards against callers that wait since arrived machines still count as in flight.

        Two machines arrive; the scheduler counts them as its own and lacks two more.
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
        """Guards against a burst that waits seconds for idle machines while the store is slow.

        Before each order the lender's demand is read again, which takes 0.3 s here.
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
        """Guards against a burst that fails while the previous queue processes late jobs.

        A pool of one machine borrowed four, all busy; the next queue lacks three times its own.
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
        """Guards against a burst that waits 1.5 s longer because idle machines were just returned.

        The burst begins 1 s after the last one; machines return only if no queue lacks them.
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
        """Guards against tasks that wait 5 s for the lease of a removed worker to expire."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1, coverage=1)
            await machine_harness.start()
            machine_harness.publish_demand("coverage", free=True)
            machine_harness.publish_demand("antenna", lacking=1)
            await asyncio.sleep(4)
            over = machine_harness.machine_records.controller.over
            self.assertEqual((Incarnation(worker_id="w2"),), over)
            record = json.loads(machine_harness.store.items[MACHINES_PREFIX + "keeper"].value)
            self.assertEqual(["w2"], record["over"])
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_later_start_of_a_removed_worker_is_not_removed(self) -> None:
        """A worker that started again under its id in its new pool was taken for removed there."""

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=1, coverage=2)
            machine_harness.platform.keeps_ids = True
            for name in machine_harness.platform.machines:
                machine_harness.platform.crash(name)
            await machine_harness.start()
            machine_harness.publish_demand("coverage", free=True)
            machine_harness.publish_demand("antenna", lacking=1)
            await asyncio.sleep(6.0)
            (removed,) = machine_harness.machine_records.controller.over
            moved = next(
                one
                for one in machine_harness.platform.machines.values()
                if one.worker_id == removed.worker_id
            )
            self.assertEqual("antenna", moved.pool)
            self.assertTrue(moved.incarnation.is_later_than(removed))
            self.assertFalse(removed.is_same_or_later_than(moved.incarnation))
            machine_harness.stop()

        run_scenario(scenario())

    def test_a_new_controller_republishes_removals_of_its_predecessor(self) -> None:
        """Guards against jobs that stall for 10 s after scheduler and controller were both killed.

        The new controller did not name removed workers, so the scheduler waited for their leases.
        """

        async def scenario() -> None:
            machine_harness = MachineHarness(antenna=2, coverage=3)
            before = MachineControllerRecord(over=(Incarnation(worker_id="w0"),))
            machine_harness.store.put(MACHINES_PREFIX + "keeper", before.encode())
            await machine_harness.start()
            machine_harness.publish_demand("coverage", free=True)
            machine_harness.publish_demand("antenna", lacking=1)
            await asyncio.sleep(4.5)
            over = machine_harness.machine_records.controller.over
            self.assertEqual((Incarnation(worker_id="w0"), 2), (over[0], len(over)))
            await asyncio.sleep(16)
            machine_harness.publish_demand("antenna", lacking=3)
            await asyncio.sleep(1)
            over = machine_harness.machine_records.controller.over
            self.assertNotIn(Incarnation(worker_id="w0"), over)
            machine_harness.stop()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
