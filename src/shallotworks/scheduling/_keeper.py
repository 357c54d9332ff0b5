"""The keeper of machines: waves of upkeep, and moves of machines between pools.

One holder at a time gives all orders for machines: two holders must not take turns on a machine.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Success

from shallotworks.logs import LogLines
from shallotworks.store import Commit, Committed, Condition, Conflicted, Holder, Store, Write

from ._machine_book import KeeperWord, MachineBook, PoolNeed, keeper_key, need_key
from ._protocols import DutyEnding, Machine, Machines, MachineState, Upkeep, UpkeepBook
from ._wave import WaveRecord, wave_key

__all__ = ["KeeperParts", "MachineKeeper"]

ROUND_S = 0.2
"""Between looks at the machines: a machine is down for 2 s, and moves within 1.5 s."""
TURNS_APART_S = 3.2
"""A new holder waits this long before its first order: two holders must not take turns within 3 s
(source: the platform's settings), and a margin for clocks."""
LIST_LAG_S = 1.0
"""A list of machines read this long after an obeyed order shows what it brought about."""
REPEAT_S = 4.0
"""An obeyed order is repeated when its machine still seems untouched after this, twice the time
that upkeep takes."""
ABSENT_ROUNDS = 10
"""Readings of the list without a machine after which it counts as taken away."""
MOVE_S = 3.0
"""A move counts as on its way for this long: 1.5 s, and the time until the worker is in use."""
MOVES_A_ROUND = 16
KEPT_PART = 0.5
"""Part of its home size that a pool keeps while it is idle: its own callers' next turn begins with
that, while the borrower is still busy with its last one. Lending all of it left a queue with a
seventh of what it was owed in its turn (a day of the users' with large jobs before it)."""
MOST_OVER = 100
"""Workers that were taken away are told of until as many later ones were."""
HOME_KEY = "shallotworks/home-sizes"
AHEAD = 2
"""Machines that are emptied ahead of a wave's free slots, for each slot."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KeeperParts:
    """What a keeper works with.

    Args:
        machines: The machines.
        upkeep: The waves that operators ask for.
        book: What schedulers say.
        standby: Returns the services whose machines are off and not paid for.
        store: The store.
        clock: Seconds, counting suspended time.
        wall_clock: Time of day in seconds since 1970.
        log: Decisions.
    """

    machines: Machines
    upkeep: UpkeepBook
    book: MachineBook
    standby: Callable[[], frozenset[str]]
    store: Store
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    log: LogLines


class MachineKeeper:
    """One term of the keeper.

    A machine counts against its wave's limit from before its order until a new worker is seen on
    it: the slot is taken in the store first, so that a predecessor's late order is counted too.

    Args:
        holder: The keeper's key; its token fences each order.
        parts: What it works with.
    """

    __slots__ = (
        "_absent",
        "_begun_s",
        "_completed",
        "_holder",
        "_home",
        "_misfits",
        "_moving",
        "_obeyed",
        "_over",
        "_parts",
        "_told",
    )

    def __init__(self, *, holder: Holder, parts: KeeperParts) -> None:
        self._holder = holder
        self._parts = parts
        self._begun_s = parts.clock()
        self._completed: set[int] = set()
        self._absent: dict[str, int] = {}
        self._obeyed: dict[str, float] = {}
        """Machines whose upkeep order was obeyed, with the time."""
        self._moving: dict[str, tuple[str, float]] = {}
        """Machines on their way to a service, with the time of the order."""
        self._misfits: set[tuple[str, str]] = set()
        """Machines and pools that don't go together."""
        self._told = KeeperWord()
        self._over: deque[str] = deque(maxlen=MOST_OVER)
        self._home: dict[str, int] | None = None

    async def run(self) -> None:
        """Keep machines until the key is lost."""
        keep = asyncio.create_task(self._holder.keep())
        try:
            while not self._holder.lost.is_set():
                if self._holder.may_act and self._has_work():
                    await self._round()
                await asyncio.sleep(ROUND_S)
        finally:
            keep.cancel()

    def _has_work(self) -> bool:
        needs = self._parts.book.needs.values()
        return bool(self._open_waves()) or any(need.lacking or need.free for need in needs)

    def _open_waves(self) -> list[Upkeep]:
        return [one for one in self._parts.upkeep.waves() if one.wave not in self._completed]

    async def _round(self) -> None:
        listed = await self._parts.machines.list()
        if not isinstance(listed, Success):
            self._parts.log.line("machines-not-listed", reason=str(listed.failure()))
            return
        machines = {one.name: one for one in listed.unwrap()}
        due: set[str] = set()
        in_waves: set[str] = set()
        for wave in self._open_waves():
            record = await self._advance(wave, machines)
            if record is not None:
                in_waves.update(set(wave.machines) - set(record.done))
                due.update(self._next_due(wave, record, machines))
        await self._tell(frozenset(due), await self._recalls(machines))
        if self._parts.clock() - self._begun_s >= TURNS_APART_S:
            await self._move_some(machines, in_waves)

    # ---- waves

    async def _advance(self, wave: Upkeep, machines: dict[str, Machine]) -> WaveRecord | None:
        loaded = await self._load(wave)
        if loaded is None:
            return None
        record, revision = loaded
        if record.is_completed:
            self._completed.add(wave.wave)
            return None
        is_changed = self._settle(wave, record, machines)
        is_whole = self._is_whole(wave, record, machines)
        if is_changed or is_whole:
            record.is_completed = is_whole
            saved = await self._save(wave, record, revision)
            if saved is None:
                return None
            revision = saved
        if self._parts.clock() - self._begun_s >= TURNS_APART_S:
            await self._repeat_unanswered(wave, record, machines)
            await self._take_down(wave, record, revision, machines)
        return record

    def _settle(self, wave: Upkeep, record: WaveRecord, machines: dict[str, Machine]) -> bool:
        """Give back the slots of machines that are back; return whether the record changed."""
        is_changed = False
        for name, old_worker in list(record.down.items()):
            machine = machines.get(name)
            is_gone = machine is None and self._absent.get(name, 0) >= ABSENT_ROUNDS
            if is_gone or (machine is not None and self._is_back(machine, old_worker)):
                del record.down[name]
                record.done.append(name)
                is_changed = True
                self._parts.log.line("upkeep-done", machine=name, wave=wave.wave, is_gone=is_gone)
        return is_changed

    def _is_back(self, machine: Machine, old_worker: str) -> bool:
        """Whether a machine has had its upkeep: another worker is on it.

        One that is off has no worker before or after. An order that was obeyed takes it down at
        once, so that one which is up in a list read later has been down meanwhile, or before.
        """
        if machine.state is not MachineState.UP:
            return False
        if old_worker or machine.worker_id:
            return machine.worker_id not in ("", old_worker)
        obeyed_s = self._obeyed.get(machine.name)
        return obeyed_s is not None and self._parts.clock() - obeyed_s >= LIST_LAG_S

    def _is_whole(self, wave: Upkeep, record: WaveRecord, machines: dict[str, Machine]) -> bool:
        for name in wave.machines:
            if name in machines:
                self._absent.pop(name, None)
            else:
                self._absent[name] = self._absent.get(name, 0) + 1
        return not record.down and all(
            name in record.done or self._absent.get(name, 0) >= ABSENT_ROUNDS
            for name in wave.machines
        )

    def _left(
        self, wave: Upkeep, record: WaveRecord, machines: dict[str, Machine]
    ) -> list[Machine]:
        """Return the machines whose turn may come: up, neither done nor down for it."""
        return [
            machines[name]
            for name in wave.machines
            if name in machines
            and name not in record.done
            and name not in record.down
            and machines[name].state is MachineState.UP
        ]

    def _next_due(self, wave: Upkeep, record: WaveRecord, machines: dict[str, Machine]) -> set[str]:
        """Return the workers to be emptied now: those that are free already go first."""
        left = [one for one in self._left(wave, record, machines) if one.worker_id]
        free = {worker for need in self._parts.book.needs.values() for worker in need.free}
        earlier = self._told.due
        left.sort(key=lambda one: (one.worker_id not in earlier, one.worker_id not in free))
        return {one.worker_id for one in left[: wave.most_at_once * AHEAD]}

    async def _take_down(
        self, wave: Upkeep, record: WaveRecord, revision: int, machines: dict[str, Machine]
    ) -> None:
        slots = wave.most_at_once - len(record.down)
        for machine in self._left(wave, record, machines):
            if slots <= 0:
                return
            if not await self._may_take(machine):
                continue
            record.down[machine.name] = machine.worker_id
            saved = await self._save(wave, record, revision)
            if saved is None:
                return
            revision = saved
            slots -= 1
            await self._order_upkeep(wave, machine)

    async def _may_take(self, machine: Machine) -> bool:
        """Whether the machine's scheduler has nothing on it that must stay.

        The failure: a machine is taken that its scheduler has taken back, and lasting tasks end.
        So its word is read from the store once more, just before the order.
        """
        if not machine.worker_id:
            return True
        need = self._parts.book.needs.get(machine.pool)
        if need is None or machine.worker_id not in need.free:
            return False
        outcome = await self._parts.store.get(need_key(machine.pool))
        if not isinstance(outcome, Success):
            return False
        item = outcome.unwrap()
        return item is not None and machine.worker_id in PoolNeed.decode(item.value).free

    async def _repeat_unanswered(
        self, wave: Upkeep, record: WaveRecord, machines: dict[str, Machine]
    ) -> None:
        for name, old_worker in record.down.items():
            machine = machines.get(name)
            if machine is None:
                continue
            obeyed_s = self._obeyed.get(name, -REPEAT_S)
            is_untouched = machine.state is MachineState.UP and machine.worker_id == old_worker
            if is_untouched and self._parts.clock() - obeyed_s >= REPEAT_S:
                await self._order_upkeep(wave, machine)

    async def _order_upkeep(self, wave: Upkeep, machine: Machine) -> None:
        if not self._holder.may_act:
            return
        ending = await self._parts.machines.upkeep(
            machine.name, wave=wave.wave, token=self._holder.token
        )
        self._note_order("upkeep", machine, ending, wave=wave.wave)
        if ending is DutyEnding.OBEYED:
            self._obeyed[machine.name] = self._parts.clock()
            await self._note_over(machine)

    def _note_order(
        self, order: str, machine: Machine, ending: DutyEnding, **inputs: object
    ) -> None:
        self._parts.log.line(
            "machine-ordered",
            order=order,
            machine=machine.name,
            worker=machine.worker_id,
            pool=machine.pool,
            token=self._holder.token,
            outcome=ending.value,
            **inputs,
        )
        if ending is DutyEnding.FENCED:
            self._holder.lose(f"a later holder has given orders for {machine.name}")

    # ---- moves

    async def _move_some(self, machines: dict[str, Machine], in_waves: set[str]) -> None:
        """Move machines to services that lack them, and what they can do without back again."""
        now_s = self._parts.clock()
        for name, (_, ordered_s) in list(self._moving.items()):
            if now_s - ordered_s >= MOVE_S:
                del self._moving[name]
        home = await self._home_sizes(machines)
        if home is None:
            return
        sizes = self._sizes(machines)
        idle, resting = self._sources(machines, in_waves)
        moves = 0
        for service in self._takers():
            source = self._pick(resting, service) or self._pick_lent(idle, service, home, sizes)
            if source is None or moves >= MOVES_A_ROUND:
                break
            moves += await self._move(source, service)
            sizes[source.pool] -= 1
            sizes[service] = sizes.get(service, 0) + 1
        await self._send_back(idle, home, sizes)

    async def _send_back(
        self, idle: list[Machine], home: dict[str, int], sizes: dict[str, int]
    ) -> None:
        """Send what a service has beyond its home size to where machines are missing."""
        standby = self._parts.standby()
        moves = 0
        for machine in idle:
            if moves >= MOVES_A_ROUND or sizes[machine.pool] <= home.get(machine.pool, 0):
                continue
            short = [one for one in home if one not in standby and sizes.get(one, 0) < home[one]]
            target = max(short, key=lambda one: home[one] - sizes.get(one, 0), default=None)
            target = target or min(standby, default=None)
            if target is None:
                return
            moves += await self._move(machine, target)
            sizes[machine.pool] -= 1
            sizes[target] = sizes.get(target, 0) + 1

    async def _recalls(self, machines: dict[str, Machine]) -> dict[str, int]:
        """Return how many borrowed machines each service is asked to give back."""
        home = await self._home_sizes(machines)
        if home is None:
            return {}
        sizes = self._sizes(machines)
        wanted = sum(
            max(0, min(need.lacking, home.get(service, 0) - sizes.get(service, 0)))
            for service, need in self._parts.book.needs.items()
        )
        recalls: dict[str, int] = {}
        for service in sorted(self._parts.book.needs):
            borrowed = sizes.get(service, 0) - home.get(service, 0)
            if service not in self._parts.standby() and borrowed > 0 and wanted > 0:
                recalls[service] = min(borrowed, wanted)
                wanted -= recalls[service]
        return recalls

    async def _home_sizes(self, machines: dict[str, Machine]) -> dict[str, int] | None:
        """Return the machines of each pool as they were when the first keeper saw them.

        The operators shaped the pools; what is lent goes back, so that they keep their shape.
        """
        if self._home is not None:
            return self._home
        outcome = await self._parts.store.get(HOME_KEY)
        if not isinstance(outcome, Success):
            return None
        item = outcome.unwrap()
        if item is None:
            sizes = self._sizes(machines)
            value = json.dumps(sizes).encode()
            saved = await self._parts.store.commit(
                Commit(
                    conditions=(self._holder.condition, Condition(key=HOME_KEY, revision=0)),
                    writes=(Write(key=HOME_KEY, value=value),),
                )
            )
            is_saved = isinstance(saved, Success) and isinstance(saved.unwrap(), Committed)
            self._home = sizes if is_saved else None
        else:
            self._home = json.loads(item.value)
        return self._home

    def _sizes(self, machines: dict[str, Machine]) -> dict[str, int]:
        sizes: dict[str, int] = {}
        for machine in machines.values():
            pool = self._moving.get(machine.name, (machine.pool, 0.0))[0]
            sizes[pool] = sizes.get(pool, 0) + 1
        return sizes

    def _sources(
        self, machines: dict[str, Machine], in_waves: set[str]
    ) -> tuple[list[Machine], list[Machine]]:
        """Return machines that schedulers offer, and those in standby pools."""
        idle: list[Machine] = []
        resting: list[Machine] = []
        needs = self._parts.book.needs
        standby = self._parts.standby()
        for machine in machines.values():
            if machine.state is not MachineState.UP or machine.name in self._moving:
                continue
            if machine.pool in standby:
                resting.append(machine)
            elif machine.name not in in_waves and machine.worker_id:
                need = needs.get(machine.pool)
                if need is not None and machine.worker_id in need.free:
                    idle.append(machine)
        # Machines that are due for upkeep go to work last: they would soon be taken away again.
        resting.sort(key=lambda one: one.name in in_waves)
        return idle, resting

    def _takers(self) -> list[str]:
        """Return the services that lack machines, once for each, by turns."""
        coming: dict[str, int] = {}
        for service, _ in self._moving.values():
            coming[service] = coming.get(service, 0) + 1
        takers: list[tuple[int, str]] = []
        for service, need in self._parts.book.needs.items():
            takers.extend((turn, service) for turn in range(need.lacking - coming.get(service, 0)))
        return [service for _, service in sorted(takers)]

    def _pick_lent(
        self, idle: list[Machine], service: str, home: dict[str, int], sizes: dict[str, int]
    ) -> Machine | None:
        """Return an idle machine of a service that can lend one."""
        lendable = [one for one in idle if sizes[one.pool] > home.get(one.pool, 0) * KEPT_PART]
        lendable.sort(key=lambda one: home.get(one.pool, 0) - sizes[one.pool])
        picked = self._pick(lendable, service)
        if picked is not None:
            idle.remove(picked)
        return picked

    def _pick(self, sources: list[Machine], service: str) -> Machine | None:
        for machine in sources:
            if machine.pool != service and (machine.name, service) not in self._misfits:
                sources.remove(machine)
                return machine
        return None

    async def _move(self, machine: Machine, service: str) -> int:
        """Move a machine; return the orders that were sent."""
        if not self._holder.may_act or (machine.name, service) in self._misfits:
            return 0
        is_standby = machine.pool in self._parts.standby()
        if not is_standby and not await self._may_take(machine):
            return 0
        ending = await self._parts.machines.move(
            machine.name, pool=service, token=self._holder.token
        )
        self._note_order("move", machine, ending, to=service)
        if ending in (DutyEnding.OBEYED, DutyEnding.UNANSWERED):
            self._moving[machine.name] = (service, self._parts.clock())
        if ending is DutyEnding.OBEYED:
            await self._note_over(machine)
        if ending is DutyEnding.MISFIT:
            self._misfits.add((machine.name, service))
        return 1

    # ---- records

    async def _tell(self, due: frozenset[str], recalls: dict[str, int]) -> None:
        word = KeeperWord(due=due, over=tuple(self._over), recalls=recalls)
        if word == self._told:
            return
        outcome = await self._parts.store.commit(
            Commit(
                conditions=(self._holder.condition,),
                writes=(Write(key=keeper_key(), value=word.encode()),),
            )
        )
        if isinstance(outcome, Success) and isinstance(outcome.unwrap(), Committed):
            self._told = word

    async def _note_over(self, machine: Machine) -> None:
        """Tell at once that a worker was taken away.

        The failure: tasks that ran there wait until the worker's lease has surely run out, five
        seconds, since a silent worker may be alive.
        """
        if machine.worker_id:
            self._over.append(machine.worker_id)
            await self._tell(self._told.due - {machine.worker_id}, self._told.recalls)

    async def _load(self, wave: Upkeep) -> tuple[WaveRecord, int] | None:
        outcome = await self._parts.store.get(wave_key(wave.wave))
        if not isinstance(outcome, Success):
            return None
        item = outcome.unwrap()
        if item is not None:
            return WaveRecord.decode(item.value), item.revision
        record = WaveRecord(first_s=self._parts.wall_clock())
        revision = await self._save(wave, record, 0)
        return (record, revision) if revision is not None else None

    async def _save(self, wave: Upkeep, record: WaveRecord, revision: int) -> int | None:
        """Store a wave's record and tell its state; ``None`` where that failed."""
        key = wave_key(wave.wave)
        outcome = await self._parts.store.commit(
            Commit(
                conditions=(self._holder.condition, Condition(key=key, revision=revision)),
                writes=(
                    Write(key=key, value=record.encode()),
                    Write(
                        key=self._parts.upkeep.status_key(wave.wave),
                        value=self._parts.upkeep.encode_status(record.is_completed),
                    ),
                ),
            )
        )
        if not isinstance(outcome, Success):
            self._parts.log.line("wave-not-stored", wave=wave.wave, reason=str(outcome.failure()))
            return None
        result = outcome.unwrap()
        if isinstance(result, Conflicted):
            current = {item.key: item.revision for item in result.current}
            if current.get(self._holder.key) != self._holder.token:
                self._holder.lose("its key is gone or another's")
            return None
        committed: Committed = result
        return committed.revision
