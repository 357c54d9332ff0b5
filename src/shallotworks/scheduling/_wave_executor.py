"""Taking waves of upkeep forward, a machine at a time."""

from __future__ import annotations

import math

from returns.result import Success

from shallotworks.store import Commit, Committed, Condition, Conflicted, HeldLease, Write

from ._machine_controller_dependencies import MachineControllerDependencies
from ._machine_order_dispatcher import MachineOrderDispatcher
from ._protocols import Machine, MachineOrderStatus, MachineState, MaintenanceWave
from ._wave import WaveRecord, wave_key

__all__ = ["WaveExecutor"]

LIST_STALENESS_S = 1.0
"""A list of machines read this long after an obeyed order shows what it brought about."""
REPEAT_ORDER_AFTER_S = 4.0
"""An order is repeated when its machine still seems untouched this long after it was obeyed, twice
the time that upkeep takes."""
ORDER_RETRY_S = 0.5
"""Between orders for one machine while none is known to be obeyed."""
ABSENCE_TIMEOUT_S = 20.0
"""A machine that is not listed for this long, when the wave's time is over too, has left. One that
lost power is not listed either, for 8 s in the users' days; told too early that it is completed, a
wave would leave it out, and a late wave costs little."""
SLOT_DURATION_S = 4.0
"""An upkeep keeps its slot for this long: 1.5 s until its worker is empty, 2 s of upkeep (source:
the platform's settings), and the time until it is seen to be back."""
YIELD_TIME_FACTOR = 1.5
"""A wave goes on beside a queue's turn when less than this many times the time that its machines
take, with all slots in use, is left of its own."""
DRAINED_AHEAD_PER_SLOT = 2
"""Machines that are emptied ahead of a wave's free slots, for each slot."""


class WaveExecutor:
    """Takes waves forward during one term of the keeper.

    A machine counts against its wave's limit from before its order until a new worker is seen on
    it: the slot is taken in the store first, so that a predecessor's late order is counted too.

    Args:
        lease: The keeper's key.
        dependencies: What it works with.
        orders: Gives orders.
    """

    __slots__ = (
        "_absent_since_s",
        "_begun_at_s",
        "_completed",
        "_dependencies",
        "_lease",
        "_ordered_at_s",
        "_orders",
    )

    def __init__(
        self,
        *,
        lease: HeldLease,
        dependencies: MachineControllerDependencies,
        orders: MachineOrderDispatcher,
    ) -> None:
        self._lease = lease
        self._dependencies = dependencies
        self._orders = orders
        self._completed: set[int] = set()
        self._absent_since_s: dict[str, float] = {}
        """Machines that are not listed, since when."""
        self._begun_at_s: dict[str, float] = {}
        """Machines whose upkeep has surely begun, since when: an order was obeyed, or the machine
        was seen in its upkeep while it had a slot."""
        self._ordered_at_s: dict[str, float] = {}
        """Machines with the time of the latest order."""

    def open_waves(self) -> list[MaintenanceWave]:
        """Return the waves that are not completed."""
        return [
            one
            for one in self._dependencies.maintenance_schedule.waves()
            if one.wave not in self._completed
        ]

    async def advance(
        self, wave: MaintenanceWave, machines: dict[str, Machine]
    ) -> WaveRecord | None:
        """Take a wave as far as it goes now.

        Args:
            wave: The wave.
            machines: All machines by name.

        Returns:
            What has become of it; ``None`` where it is completed or the store did not answer.
        """
        loaded = await self._load(wave)
        if loaded is None:
            return None
        record, revision = loaded
        if record.is_completed:
            self._completed.add(wave.wave)
            return None
        for name in record.begun:
            self._begun_at_s.setdefault(name, self._dependencies.clock())
        is_changed = self._release_slots(wave, record, machines)
        is_finished = self._is_finished(wave, record, machines)
        if is_changed or is_finished:
            record.is_completed = is_finished
            saved = await self._save(wave, record, revision)
            if saved is None:
                return None
            revision = saved
        await self._repeat_unconfirmed(wave, record, machines)
        revision = await self._start_ready(wave, record, revision, machines)
        await self._store_begun(wave, record, revision)
        return record

    async def _store_begun(self, wave: MaintenanceWave, record: WaveRecord, revision: int) -> None:
        """Store which upkeeps have begun: a successor would have their machines emptied again."""
        begun = [name for name in record.down if name in self._begun_at_s]
        if begun != record.begun:
            record.begun = begun
            await self._save(wave, record, revision)

    def _release_slots(
        self, wave: MaintenanceWave, record: WaveRecord, machines: dict[str, Machine]
    ) -> bool:
        """Give back the slots of machines that are back; return whether the record changed."""
        is_changed = False
        for name, old_worker in list(record.down.items()):
            machine = machines.get(name)
            if machine is not None and machine.state is MachineState.MAINTENANCE:
                self._begun_at_s.setdefault(name, self._dependencies.clock())
            is_gone = machine is None and self._has_left(wave, record, name)
            if is_gone or (machine is not None and self._has_had_maintenance(machine, old_worker)):
                del record.down[name]
                record.begun = [one for one in record.begun if one != name]
                record.done.append(name)
                is_changed = True
                self._dependencies.log.line(
                    "upkeep-done", machine=name, wave=wave.wave, is_gone=is_gone
                )
        return is_changed

    def _has_had_maintenance(self, machine: Machine, old_worker: str) -> bool:
        """Whether a machine has had its upkeep: it surely began, and another worker is on it.

        The failure: a wave told to be completed without a machine whose order was refused and whose
        worker crashed then, since another worker was on it too. One that is off has no worker
        before or after; an upkeep takes it down at once, so that one which is up in a list read
        later has been down meanwhile, or before.
        """
        begun_s = self._begun_at_s.get(machine.name)
        if begun_s is None or machine.state is not MachineState.UP:
            return False
        if self._dependencies.clock() - begun_s < LIST_STALENESS_S:
            return False
        return not (old_worker or machine.worker_id) or machine.worker_id not in ("", old_worker)

    def _is_finished(
        self, wave: MaintenanceWave, record: WaveRecord, machines: dict[str, Machine]
    ) -> bool:
        for name in wave.machines:
            if name in machines:
                self._absent_since_s.pop(name, None)
            else:
                self._absent_since_s.setdefault(name, self._dependencies.clock())
        return not record.down and all(
            name in record.done or self._has_left(wave, record, name) for name in wave.machines
        )

    def _has_left(self, wave: MaintenanceWave, record: WaveRecord, name: str) -> bool:
        absent_s = self._dependencies.clock() - self._absent_since_s.get(name, math.inf)
        is_past_end = self._dependencies.wall_clock() >= record.first_s + wave.duration_s
        return absent_s >= ABSENCE_TIMEOUT_S and is_past_end

    def _remaining(
        self, wave: MaintenanceWave, record: WaveRecord, machines: dict[str, Machine]
    ) -> list[Machine]:
        """Return the machines whose turn may come: up, neither done nor down for it.

        None while the wave yields: neither is one emptied for it, nor does one go down.
        """
        if self._must_yield(wave, record):
            return []
        return [
            machines[name]
            for name in wave.machines
            if name in machines
            and name not in record.done
            and name not in record.down
            and machines[name].state is MachineState.UP
        ]

    def _must_yield(self, wave: MaintenanceWave, record: WaveRecord) -> bool:
        """Whether a wave can wait while a queue lacks machines.

        The load: the operators' wave and a queue's turn begin in the same second. Six machines at
        once were down for 2 s each, of the 19 that the turn lacked; the wave had 26 s, and 14 of
        its 15 upkeeps fell into the turn. What lacks machines is asked each time, so that the wave
        goes on between turns, and beside them when its own time runs short.
        """
        if not any(
            demand.lacking for demand in self._dependencies.machine_records.demands.values()
        ):
            return False
        remaining = len(wave.machines) - len(record.done)
        rounds = math.ceil(remaining / max(1, wave.most_at_once))
        ends_s = record.first_s + wave.duration_s
        return (
            ends_s - self._dependencies.wall_clock() > rounds * SLOT_DURATION_S * YIELD_TIME_FACTOR
        )

    def reserved_machines(self, wave: MaintenanceWave, record: WaveRecord) -> set[str]:
        """Return the machines that a wave keeps from being lent.

        One that is lent has its upkeep later, in another pool. While a wave waits it keeps no more
        than those that are down: five and more stood idle for 4 s beside a turn that lacked 63.
        """
        if self._must_yield(wave, record):
            return set(record.down)
        return set(wave.machines) - set(record.done)

    def workers_to_drain(
        self,
        wave: MaintenanceWave,
        record: WaveRecord,
        machines: dict[str, Machine],
        draining: frozenset[str],
    ) -> set[str]:
        """Return the workers to be emptied now: those that are free already go first.

        Args:
            wave: The wave.
            record: What has become of it.
            machines: All machines by name.
            draining: Workers that are being emptied.
        """
        remaining = [one for one in self._remaining(wave, record, machines) if one.worker_id]
        free = {
            worker
            for demand in self._dependencies.machine_records.demands.values()
            for worker in demand.free
        }
        remaining.sort(key=lambda one: (one.worker_id not in draining, one.worker_id not in free))
        chosen = [
            *remaining[: wave.most_at_once * DRAINED_AHEAD_PER_SLOT],
            *self._unconfirmed(record, machines),
        ]
        return {one.worker_id for one in chosen if one.worker_id}

    def _unconfirmed(self, record: WaveRecord, machines: dict[str, Machine]) -> list[Machine]:
        """Return the machines with a slot that are up and whose upkeep may not have begun."""
        now_s = self._dependencies.clock()
        up = [
            (machines[name], old_worker)
            for name, old_worker in record.down.items()
            if name in machines and machines[name].state is MachineState.UP
        ]
        return [
            machine
            for machine, old_worker in up
            if machine.name not in self._begun_at_s
            or (
                machine.worker_id == old_worker
                and now_s - self._begun_at_s[machine.name] >= REPEAT_ORDER_AFTER_S
            )
        ]

    async def _start_ready(
        self, wave: MaintenanceWave, record: WaveRecord, revision: int, machines: dict[str, Machine]
    ) -> int:
        """Take slots and order upkeeps; return the revision of the record."""
        slots = max(0, wave.most_at_once - len(record.down))
        remaining = self._remaining(wave, record, machines)
        free = [machine for machine in remaining if self._orders.is_reported_free(machine)]
        for machine in await self._orders.prepare(free[:slots]):
            if not await self._orders.confirm_free(machine):
                continue
            record.down[machine.name] = machine.worker_id
            # What is known of it belongs to an earlier wave.
            self._begun_at_s.pop(machine.name, None)
            saved = await self._save(wave, record, revision)
            if saved is None:
                break
            revision = saved
            await self._order(wave, machine, is_first=True)
        return revision

    async def _repeat_unconfirmed(
        self, wave: MaintenanceWave, record: WaveRecord, machines: dict[str, Machine]
    ) -> None:
        """Give orders again that were refused or not answered; a second one does no harm."""
        now_s = self._dependencies.clock()
        to_repeat = [
            machine
            for machine in self._unconfirmed(record, machines)
            if now_s - self._ordered_at_s.get(machine.name, -ORDER_RETRY_S) >= ORDER_RETRY_S
            and self._orders.is_reported_free(machine)
        ]
        for machine in await self._orders.prepare(to_repeat):
            if await self._orders.confirm_free(machine):
                await self._order(wave, machine, is_first=False)

    async def _order(self, wave: MaintenanceWave, machine: Machine, *, is_first: bool) -> None:
        self._ordered_at_s[machine.name] = self._dependencies.clock()
        status = await self._orders.start_maintenance(machine, wave.wave, is_first=is_first)
        if status is MachineOrderStatus.OBEYED:
            self._begun_at_s[machine.name] = self._dependencies.clock()

    async def _load(self, wave: MaintenanceWave) -> tuple[WaveRecord, int] | None:
        outcome = await self._dependencies.store.get(wave_key(wave.wave))
        if not isinstance(outcome, Success):
            return None
        item = outcome.unwrap()
        if item is not None:
            return WaveRecord.decode(item.value), item.revision
        record = WaveRecord(first_s=self._dependencies.wall_clock())
        revision = await self._save(wave, record, 0)
        return (record, revision) if revision is not None else None

    async def _save(self, wave: MaintenanceWave, record: WaveRecord, revision: int) -> int | None:
        """Store a wave's record and tell its state; ``None`` where that failed."""
        key = wave_key(wave.wave)
        outcome = await self._dependencies.store.commit(
            Commit(
                conditions=(self._lease.condition, Condition(key=key, revision=revision)),
                writes=(
                    Write(key=key, value=record.encode()),
                    Write(
                        key=self._dependencies.maintenance_schedule.status_key(wave.wave),
                        value=self._dependencies.maintenance_schedule.encode_status(
                            record.is_completed
                        ),
                    ),
                ),
            )
        )
        if not isinstance(outcome, Success):
            self._dependencies.log.line(
                "wave-not-stored", wave=wave.wave, reason=str(outcome.failure())
            )
            return None
        result = outcome.unwrap()
        if isinstance(result, Conflicted):
            current = {item.key: item.revision for item in result.current}
            if current.get(self._lease.key) != self._lease.token:
                self._lease.mark_lost("its key is gone or another's")
            return None
        committed: Committed = result
        return committed.revision
