"""Waves of upkeep: each machine of a service's pool in time, without breaking a budget."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Success

from shallotworks.logs import LogLines
from shallotworks.store import Commit, Committed, Condition, Conflicted, Holder, Store, Write

from ._board import ServiceBoard
from ._decisions import Decider
from ._model import Worker
from ._protocols import DutyEnding, Machine, Machines, MachineState, Upkeep, UpkeepBook

__all__ = ["UpkeepRunner", "WaveRecord"]

ROUND_S = 0.25
"""Between looks at the machines while a wave runs: a machine is down for 2 s."""
IDLE_ROUND_S = 0.5
PATIENCE_S = 2.0
"""Tasks that end get this long on a machine that is due: four of five last less."""
HURRY_PATIENCE_S = 0.5
"""... and this long where the wave would else be late."""
SECONDS_A_MACHINE = 4.5
"""A machine's upkeep with its evacuation, for judging whether a wave is late."""
TURNS_APART_S = 3.2
"""A new holder waits this long before its first order for a machine: two holders must not take
turns within 3 s (source: the platform's settings), and a margin for clocks."""
LIST_LAG_S = 1.0
"""A list of machines read this long after an obeyed order shows what it brought about."""
REPEAT_S = 4.0
"""An obeyed order is repeated when its machine still seems untouched after this, twice the time
that upkeep takes."""
ABSENT_ROUNDS = 8
"""Readings of the list without a machine after which it counts as taken away."""


@dataclass(slots=True, kw_only=True)
class WaveRecord:
    """What has become of a wave; kept in the store, changed by compare-and-swap.

    Args:
        down: Machines that may be down for it, each with the worker that was on it.
        done: Machines that have had it.
        first_s: Time of day at which it was first seen.
        is_completed: Whether that was told.
    """

    down: dict[str, str] = field(default_factory=dict)
    done: list[str] = field(default_factory=list)
    first_s: float = 0.0
    is_completed: bool = False

    def encode(self) -> bytes:
        """Return the record's bytes."""
        return json.dumps(
            {
                "down": self.down,
                "done": self.done,
                "first_s": self.first_s,
                "is_completed": self.is_completed,
            }
        ).encode()

    @classmethod
    def decode(cls, value: bytes) -> WaveRecord:
        """Return the record of some bytes."""
        return cls(**json.loads(value))


class UpkeepRunner:
    """Takes the machines of one service's pool through the waves that operators ask for.

    A machine counts against the wave's limit from before its order until a new worker is seen on
    it: the slot is taken in the store first, so that the schedulers of several services, and a
    predecessor's late order, never exceed it together.

    Args:
        board: The service's board.
        decider: Judges budgets.
        holder: The service's key; its token is the machine's fencing token too.
        machines: The machines.
        book: The waves.
        store: The store.
        clock: Seconds, counting suspended time.
        wall_clock: Time of day.
        wake: Called when a decision may have become possible.
        log: Decisions.
    """

    __slots__ = (
        "_absent",
        "_begun_s",
        "_board",
        "_book",
        "_clock",
        "_completed",
        "_cordoned",
        "_decider",
        "_holder",
        "_log",
        "_machines",
        "_obeyed",
        "_store",
        "_wake",
        "_wall_clock",
    )

    def __init__(
        self,
        *,
        board: ServiceBoard,
        decider: Decider,
        holder: Holder,
        machines: Machines,
        book: UpkeepBook,
        store: Store,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        wake: Callable[[], None],
        log: LogLines,
    ) -> None:
        self._board = board
        self._decider = decider
        self._holder = holder
        self._machines = machines
        self._book = book
        self._store = store
        self._clock = clock
        self._wall_clock = wall_clock
        self._wake = wake
        self._log = log
        self._begun_s = clock()
        self._completed: set[int] = set()
        self._cordoned: dict[str, float] = {}
        """Workers that are being emptied, with the time at which that began."""
        self._absent: dict[str, int] = {}
        self._obeyed: dict[str, float] = {}
        """Machines whose order was obeyed, with the time."""

    async def run(self) -> None:
        """Work on waves until cancelled."""
        while True:
            waves = [wave for wave in self._book.waves() if wave.wave not in self._completed]
            if not waves or not self._holder.may_act:
                await asyncio.sleep(IDLE_ROUND_S)
                continue
            listed = await self._machines.list()
            if isinstance(listed, Success):
                for wave in waves:
                    await self._advance(wave, {one.name: one for one in listed.unwrap()})
            await asyncio.sleep(ROUND_S)

    async def _advance(self, wave: Upkeep, machines: dict[str, Machine]) -> None:
        loaded = await self._load(wave)
        if loaded is None:
            return
        record, revision = loaded
        if record.is_completed:
            self._completed.add(wave.wave)
            return
        changed = self._settle(wave, record, machines)
        if changed or self._is_whole(wave, record, machines):
            record.is_completed = self._is_whole(wave, record, machines)
            saved = await self._save(wave, record, revision)
            if saved is None:
                return
            revision = saved
        await self._take_down(wave, record, revision, machines)

    def _settle(self, wave: Upkeep, record: WaveRecord, machines: dict[str, Machine]) -> bool:
        """Give back the slots of machines that are back; return whether the record changed."""
        changed = False
        for name, old_worker in list(record.down.items()):
            machine = machines.get(name)
            if machine is None or not self._is_ours(machine):
                continue
            if self._is_back(machine, old_worker):
                del record.down[name]
                record.done.append(name)
                changed = True
                self._log.line("upkeep-done", machine=name, wave=wave.wave)
        return changed

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
        return obeyed_s is not None and self._clock() - obeyed_s >= LIST_LAG_S

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

    def _is_ours(self, machine: Machine) -> bool:
        return machine.pool == self._board.service

    async def _take_down(
        self, wave: Upkeep, record: WaveRecord, revision: int, machines: dict[str, Machine]
    ) -> None:
        if self._clock() - self._begun_s < TURNS_APART_S:
            return
        await self._repeat_unanswered(wave, record, machines)
        due = [
            machines[name]
            for name in wave.machines
            if name in machines
            and name not in record.done
            and name not in record.down
            and machines[name].state is MachineState.UP
            and self._is_ours(machines[name])
        ]
        is_hurried = self._is_late(wave, record)
        free = wave.most_at_once - len(record.down)
        self._empty_some(due, most=max(1, wave.most_at_once))
        for machine in due:
            if free <= 0:
                return
            if not self._is_empty(machine, is_hurried):
                continue
            record.down[machine.name] = machine.worker_id
            saved = await self._save(wave, record, revision)
            if saved is None:
                return
            revision = saved
            free -= 1
            await self._order(wave, machine)

    def _is_late(self, wave: Upkeep, record: WaveRecord) -> bool:
        left_s = record.first_s + wave.duration_s - self._wall_clock()
        rounds = (len(wave.machines) - len(record.done)) / max(1, wave.most_at_once)
        return rounds * SECONDS_A_MACHINE > left_s

    def _empty_some(self, due: list[Machine], *, most: int) -> None:
        """Cordon the next machines, those with the least on them first, and move what lasts."""
        for worker_id in list(self._cordoned):
            if worker_id not in self._board.workers:
                del self._cordoned[worker_id]
        workers = [self._board.workers.get(machine.worker_id) for machine in due]
        candidates = [worker for worker in workers if worker is not None]
        candidates.sort(key=_burden)
        for worker in candidates:
            if worker.worker_id in self._cordoned:
                continue
            if len(self._cordoned) >= most:
                break
            self._cordoned[worker.worker_id] = self._clock()
            worker.is_cordoned = True
            self._log.line("worker-cordoned", worker=worker.worker_id, runs=len(worker.runs))
        for worker_id in self._cordoned:
            self._decider.evacuate(self._board.workers[worker_id])
        self._wake()

    def _is_empty(self, machine: Machine, is_hurried: bool) -> bool:
        worker = self._board.workers.get(machine.worker_id)
        if worker is None:
            # No worker of ours is known on it, so nothing of ours runs there.
            return not machine.worker_id
        since_s = self._cordoned.get(worker.worker_id)
        if since_s is None:
            return False
        if any(run.step.is_lasting for run in worker.runs.values()):
            return False
        patience_s = HURRY_PATIENCE_S if is_hurried else PATIENCE_S
        return not worker.runs or self._clock() - since_s >= patience_s

    async def _repeat_unanswered(
        self, wave: Upkeep, record: WaveRecord, machines: dict[str, Machine]
    ) -> None:
        for name, old_worker in record.down.items():
            machine = machines.get(name)
            if machine is None or not self._is_ours(machine):
                continue
            obeyed_s = self._obeyed.get(name, -REPEAT_S)
            is_untouched = machine.state is MachineState.UP and machine.worker_id == old_worker
            if is_untouched and self._clock() - obeyed_s >= REPEAT_S:
                await self._order(wave, machine)

    async def _order(self, wave: Upkeep, machine: Machine) -> None:
        if not self._holder.may_act:
            return
        ending = await self._machines.upkeep(machine.name, wave=wave.wave, token=self._holder.token)
        self._log.line(
            "upkeep-ordered",
            machine=machine.name,
            worker=machine.worker_id,
            wave=wave.wave,
            token=self._holder.token,
            outcome=ending.value,
        )
        if ending is DutyEnding.OBEYED:
            self._obeyed[machine.name] = self._clock()
            self._board.worker_over(machine.worker_id, "upkeep", self._clock())
            self._wake()
        elif ending is DutyEnding.FENCED:
            self._holder.lose(f"a later holder has given orders for {machine.name}")

    # ---- the record

    async def _load(self, wave: Upkeep) -> tuple[WaveRecord, int] | None:
        outcome = await self._store.get(_key(wave))
        if not isinstance(outcome, Success):
            return None
        item = outcome.unwrap()
        if item is not None:
            return WaveRecord.decode(item.value), item.revision
        record = WaveRecord(first_s=self._wall_clock())
        revision = await self._save(wave, record, 0)
        return (record, revision) if revision is not None else None

    async def _save(self, wave: Upkeep, record: WaveRecord, revision: int) -> int | None:
        outcome = await self._store.commit(
            Commit(
                conditions=(self._holder.condition, Condition(key=_key(wave), revision=revision)),
                writes=(
                    Write(key=_key(wave), value=record.encode()),
                    Write(
                        key=self._book.status_key(wave.wave),
                        value=self._book.encode_status(record.is_completed),
                    ),
                ),
            )
        )
        if not isinstance(outcome, Success):
            return None
        result = outcome.unwrap()
        if isinstance(result, Conflicted):
            current = {item.key: item.revision for item in result.current}
            if current.get(self._holder.key) != self._holder.token:
                self._holder.lose("its key is gone or another's")
            return None
        assert isinstance(result, Committed)
        return result.revision


def _burden(worker: Worker) -> tuple[int, int]:
    lasting = sum(1 for run in worker.runs.values() if run.step.is_lasting)
    return (lasting, worker.cpu_used)


def _key(wave: Upkeep) -> str:
    return f"shallotworks/wave/{wave.wave}"
