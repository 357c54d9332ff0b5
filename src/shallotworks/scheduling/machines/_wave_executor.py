"""Advances maintenance waves, within the limit of machines that each allows down at once."""

from __future__ import annotations

import math

from returns.result import Success

from shallotworks.jobs import Incarnation
from shallotworks.store import Commit, Committed, Condition, Conflicted, HeldLease, Write

from .._protocols import Machine, MachineOrderStatus, MachineState, MaintenanceWave
from ._machine_controller_dependencies import MachineControllerDependencies
from ._machine_order_dispatcher import MachineOrderDispatcher
from ._wave import WaveRecord, wave_key

__all__ = ["WaveExecutor"]

LIST_STALENESS_S = 1.0
"""A machine list read this long after an order was obeyed shows the effect of the order."""
REPEAT_ORDER_AFTER_S = 4.0
"""An order is repeated if the machine still has its old worker this long after the order was
obeyed. This is twice the time that maintenance takes."""
ORDER_RETRY_S = 0.5
"""Minimum time between orders for one machine while none is known to be obeyed."""
ABSENCE_TIMEOUT_S = 20.0
"""A machine counts as removed if it has not been listed for this long and the wave's time is over.
A machine that lost power is not listed either, for 8 s in the users' workloads. A wave that is
reported as completed too early would omit such a machine, while a late wave costs little."""
SLOT_DURATION_S = 4.0
"""Time for which one machine occupies a slot: 1.5 s until its worker is drained, 2 s of maintenance
(source: the platform's settings), and the time until its return is seen."""
YIELD_TIME_FACTOR = 1.5
"""A wave proceeds during a burst of demand once its remaining time is less than this many times the
time that its remaining machines take with all slots in use."""
DRAINED_AHEAD_PER_SLOT = 2
"""Workers drained in advance for each slot of a wave."""


class WaveExecutor:
    """Advances maintenance waves during one epoch of the controller.

    A machine counts against its wave's limit from before its order until a new worker is seen on
    it. The slot is stored before the order is given, so that a predecessor's late order counts too.
    A machine has a slot in one wave at a time, so that each wave knows its own maintenance.

    Args:
        lease: The controller's lease.
        dependencies: Collaborators, clocks and settings.
        orders: Gives the orders for machines.
    """

    __slots__ = (
        "_absent_since_s",
        "_begun_at_s",
        "_completed",
        "_dependencies",
        "_lease",
        "_ordered_at_s",
        "_orders",
        "_slots",
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
        self._completed: dict[int, frozenset[str]] = {}
        """Completed waves, each with the machines that it was completed for."""
        self._absent_since_s: dict[str, float] = {}
        """Machines that are not listed, with the time since when."""
        self._begun_at_s: dict[tuple[int, str], float] = {}
        """Wave and machine of each maintenance that is known to have begun, with the time: an order
        was obeyed, or the machine was seen in maintenance while only this wave had a slot for it.
        """
        self._slots: dict[int, frozenset[str]] = {}
        """Machines that may have a slot, by wave, for each wave whose record was read."""
        self._ordered_at_s: dict[str, float] = {}
        """Time of the latest order for each machine."""

    def open_waves(self) -> list[MaintenanceWave]:
        """Return the waves that are not completed."""
        return [
            one
            for one in self._dependencies.maintenance_schedule.waves()
            if not self._is_completed(one)
        ]

    def _is_completed(self, wave: MaintenanceWave) -> bool:
        completed_for = self._completed.get(wave.wave)
        return completed_for is not None and completed_for.issuperset(wave.machines)

    async def advance(
        self, wave: MaintenanceWave, machines: dict[str, Machine]
    ) -> WaveRecord | None:
        """Advance a wave as far as possible now.

        Args:
            wave: The wave.
            machines: All machines by name.

        Returns:
            The progress of the wave; ``None`` if it was completed before or if reading or writing
            its record failed.
        """
        loaded = await self._load(wave)
        if loaded is None:
            return None
        record, revision = loaded
        is_reopened = record.is_completed and _has_unmaintained(wave, record, machines)
        if is_reopened:
            record.first_s = self._dependencies.wall_clock()
        elif record.is_completed:
            self._completed[wave.wave] = frozenset(wave.machines)
            return None
        self._slots[wave.wave] = frozenset(record.down)
        for name in record.begun:
            self._note_begun(wave, name)
        is_changed = self._release_slots(wave, record, machines)
        is_finished = self._is_finished(wave, record, machines)
        if is_changed or is_finished or is_reopened:
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
        """Store which machines have begun, so that a successor does not drain them again."""
        begun = [name for name in record.down if (wave.wave, name) in self._begun_at_s]
        if begun != record.begun:
            record.begun = begun
            await self._save(wave, record, revision)

    def _release_slots(
        self, wave: MaintenanceWave, record: WaveRecord, machines: dict[str, Machine]
    ) -> bool:
        """Release the slots of machines that are done or that the wave no longer names.

        Returns:
            Whether the record changed.
        """
        is_changed = False
        slots_of_others = self._slots_of_others(wave) if record.down else set()
        for name, old_worker in list(record.down.items()):
            machine = machines.get(name)
            is_down = machine is not None and machine.state is MachineState.MAINTENANCE
            if is_down and name not in slots_of_others:
                self._note_begun(wave, name)
            if machine is None or machine.state is not MachineState.UP:
                continue
            is_done = self._has_had_maintenance(wave, machine, old_worker)
            if not is_done and name in wave.machines:
                continue
            del record.down[name]
            record.begun = [one for one in record.begun if one != name]
            is_changed = True
            if is_done:
                record.done.append(name)
                self._dependencies.log.line("upkeep-done", machine=name, wave=wave.wave)
        return is_changed

    def _note_begun(self, wave: MaintenanceWave, name: str) -> None:
        self._begun_at_s.setdefault((wave.wave, name), self._dependencies.clock())

    def _slots_of_others(self, wave: MaintenanceWave) -> set[str]:
        """Return the machines that may have a slot in another open wave.

        These are all machines of a wave whose record was not read yet.
        """
        return {
            name
            for other in self.open_waves()
            if other.wave != wave.wave
            for name in self._slots.get(other.wave, other.machines)
        }

    def _has_had_maintenance(
        self, wave: MaintenanceWave, machine: Machine, old_worker: str
    ) -> bool:
        """Whether the wave's maintenance of a machine that is up is over.

        The worker may have a new id or start again under the old one. That alone does not prove
        maintenance. If an order was refused and the machine's worker crashed and was replaced, the
        wave would be reported as completed although the machine had no maintenance. A machine that
        is off has no worker before or after its maintenance. Maintenance takes it down at once, so
        if a list that was read `LIST_STALENESS_S` later shows it up, its maintenance is over.
        """
        begun_s = self._begun_at_s.get((wave.wave, machine.name))
        if begun_s is None:
            return False
        if self._dependencies.clock() - begun_s < LIST_STALENESS_S:
            return False
        if not machine.worker_id:
            return not old_worker
        return not _may_be_on(machine, old_worker)

    def _is_finished(
        self, wave: MaintenanceWave, record: WaveRecord, machines: dict[str, Machine]
    ) -> bool:
        names = {*wave.machines, *record.down}
        for name in names:
            if name in machines:
                self._absent_since_s.pop(name, None)
            else:
                self._absent_since_s.setdefault(name, self._dependencies.clock())
        return all(name in record.done or self._has_left(wave, record, name) for name in names)

    def _has_left(self, wave: MaintenanceWave, record: WaveRecord, name: str) -> bool:
        absent_s = self._dependencies.clock() - self._absent_since_s.get(name, math.inf)
        is_past_end = self._dependencies.wall_clock() >= record.first_s + wave.duration_s
        return absent_s >= ABSENCE_TIMEOUT_S and is_past_end

    def _remaining(
        self, wave: MaintenanceWave, record: WaveRecord, machines: dict[str, Machine]
    ) -> list[Machine]:
        """Return the machines that may start next: up, not done, and without a slot in any wave.

        The list is empty while the wave yields to demand, so that no worker is drained and no
        machine is taken down for it.
        """
        if self._must_yield(wave, record):
            return []
        slots_of_others = self._slots_of_others(wave)
        return [
            machines[name]
            for name in wave.machines
            if name in machines
            and name not in record.done
            and name not in record.down
            and machines[name].state is MachineState.UP
            and name not in slots_of_others
        ]

    def _must_yield(self, wave: MaintenanceWave, record: WaveRecord) -> bool:
        """Whether a wave has to wait because a queue lacks machines and there is time left.

        A wave and a burst of demand may begin in the same second. Without yielding, six machines
        were down at once, for 2 s each, during a burst that lacked 19. The wave had 26 s, but 14 of
        its 15 machines were maintained during the burst. Demand is checked in each round, so the
        wave proceeds between bursts, and during them if its time runs short.
        """
        if not any(
            demand.lacking for demand in self._dependencies.machine_records.demands.values()
        ):
            return False
        remaining = sum(name not in record.done for name in wave.machines)
        rounds = math.ceil(remaining / max(1, wave.max_at_once))
        ends_s = record.first_s + wave.duration_s
        return (
            ends_s - self._dependencies.wall_clock() > rounds * SLOT_DURATION_S * YIELD_TIME_FACTOR
        )

    def reserved_machines(self, wave: MaintenanceWave, record: WaveRecord) -> set[str]:
        """Return the machines that may not be lent because of a wave.

        A machine that is lent has its maintenance later, in another pool. A wave that yields to
        demand reserves only the machines that are down for it. When it reserved all of them, five
        or more machines were idle for 4 s during a burst that lacked 63.
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
        """Return the workers to drain now: those being drained first, then those already free.

        Args:
            wave: The wave.
            record: The progress of the wave.
            machines: All machines by name.
            draining: Workers that are being drained.
        """
        remaining = [one for one in self._remaining(wave, record, machines) if one.worker_id]
        free = {
            worker
            for demand in self._dependencies.machine_records.demands.values()
            for worker in demand.free
        }
        remaining.sort(key=lambda one: (one.worker_id not in draining, one.worker_id not in free))
        chosen = [
            *remaining[: wave.max_at_once * DRAINED_AHEAD_PER_SLOT],
            *self._unconfirmed(wave, record, machines),
        ]
        return {one.worker_id for one in chosen if one.worker_id}

    def _unconfirmed(
        self, wave: MaintenanceWave, record: WaveRecord, machines: dict[str, Machine]
    ) -> list[Machine]:
        """Return the machines with a slot that are up and whose maintenance may not have begun."""
        now_s = self._dependencies.clock()
        up = [
            (machines[name], old_worker)
            for name, old_worker in record.down.items()
            if name in machines and machines[name].state is MachineState.UP
        ]
        return [
            machine
            for machine, old_worker in up
            if (wave.wave, machine.name) not in self._begun_at_s
            or (
                _may_be_on(machine, old_worker)
                and now_s - self._begun_at_s[wave.wave, machine.name] >= REPEAT_ORDER_AFTER_S
            )
        ]

    async def _start_ready(
        self, wave: MaintenanceWave, record: WaveRecord, revision: int, machines: dict[str, Machine]
    ) -> int:
        """Take slots and order maintenance; return the revision of the record."""
        taken = sum(not self._has_left(wave, record, name) for name in record.down)
        slots = max(0, wave.max_at_once - taken)
        remaining = self._remaining(wave, record, machines)
        free = [machine for machine in remaining if self._orders.is_reported_free(machine)]
        for machine in await self._orders.prepare(free[:slots]):
            if not await self._orders.confirm_free(machine):
                continue
            record.down[machine.name] = machine.incarnation.encode()
            saved = await self._save(wave, record, revision)
            if saved is None:
                break
            revision = saved
            await self._order(wave, machine, is_first=True)
        return revision

    async def _repeat_unconfirmed(
        self, wave: MaintenanceWave, record: WaveRecord, machines: dict[str, Machine]
    ) -> None:
        """Repeat orders that were refused or not answered; a repeated order does no harm."""
        now_s = self._dependencies.clock()
        to_repeat = [
            machine
            for machine in self._unconfirmed(wave, record, machines)
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
            self._begun_at_s[wave.wave, machine.name] = self._dependencies.clock()

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
        """Store a wave's record and its status; return the new revision, or ``None`` on failure."""
        key = wave_key(wave.wave)
        self._slots[wave.wave] = frozenset(record.down)
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
                self._lease.mark_lost("its key was deleted or belongs to another holder")
            return None
        committed: Committed = result
        return committed.revision


def _has_unmaintained(
    wave: MaintenanceWave, record: WaveRecord, machines: dict[str, Machine]
) -> bool:
    """Whether a listed machine lacks its maintenance, as if the wave was requested for others."""
    return any(name in machines and name not in record.done for name in wave.machines)


def _may_be_on(machine: Machine, old_worker: str) -> bool:
    """Whether the worker that a wave's record names may still be on its machine.

    Where the record does not say which incarnation it was, as one of an earlier release, one that
    is known counts as a later one.
    """
    old = Incarnation.decode(old_worker)
    if old.born_ms is None and machine.born_ms is not None:
        return False
    return machine.incarnation.may_be(old)
