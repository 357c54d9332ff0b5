"""Workers and the machines that they run on.

They follow the sections "Running tasks", "Machines" and "Service discovery" of PROTOCOL.md. A
worker refuses what does not fit (`admissionControl`). Each start, end and acknowledgement is
recorded.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from .advice import Advice
from .record import Record
from .store import Store

__all__ = ["Fleet", "Start", "Worker"]

HEARTBEAT_S = 1.5
MAX_HOLD_S = 6.0
STOP_S = 0.2
MIGRATE_S = 1.5
STARTUP_S = 0.3
"""Time after which a task that lasts is at work."""
CPU_MILLICORES = 64_000
MEMORY_MB = 262_144
CAPACITY = {"cpu": CPU_MILLICORES, "memMb": MEMORY_MB, "gpu": 0}
MACHINES_PER_RACK = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """A run that a worker has begun on an order.

    Args:
        task: Name of the task.
        run_id: The run.
        worker_id: The worker.
        service: The worker's service.
        spec: Text that was sent with the order.
        begun_s: When it began, in seconds of the record.
    """

    task: str
    run_id: int
    worker_id: str
    service: str
    spec: str
    begun_s: float


@dataclass(slots=True, kw_only=True)
class _Run:
    start: Start
    cpu_millicores: int
    memory_mb: int
    begun_at_s: float
    work_s: float
    how: str
    stops_at_s: float = float("inf")

    def percent(self, now_s: float) -> int:
        """Return the progress; a task that lasts is at 100 once it is at work."""
        if self.work_s == float("inf"):
            return 100 if now_s - self.begun_at_s >= STARTUP_S else 0
        return min(99, int(100 * (now_s - self.begun_at_s) / self.work_s))


@dataclass(slots=True, kw_only=True)
class Task:
    """How a task behaves, and what it needs.

    Args:
        cpu_millicores: Processor that it needs.
        memory_mb: Memory that it needs.
        work_s: How long it runs.
        how: How it ends.
    """

    cpu_millicores: int = 1_000
    memory_mb: int = 100
    work_s: float = 1.0
    how: str = "done"


class Worker:
    """One life of a worker.

    Args:
        fleet: All workers.
        worker_id: Its id.
        machine: The machine that it runs on.
        service: Its service.
        address: Where it listens, as ``ip:port``.
    """

    def __init__(
        self, *, fleet: Fleet, worker_id: str, machine: str, service: str, address: str
    ) -> None:
        self.worker_id = worker_id
        self.machine = machine
        self.service = service
        self.address = address
        self.is_unhealthy = False
        """Whether it refuses each start with 503 and does nothing."""
        self._fleet = fleet
        self._token = 0
        self._lease_ends_at_s = 0.0
        self.lapses_s: list[float] = []
        """When its lease has lapsed, in seconds of the record."""
        self._began_at_s = _now_s() - 100.0
        self._runs: dict[tuple[str, int], _Run] = {}
        self._highest_run_ids: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._sequence = 0

    @property
    def clock_ms(self) -> int:
        """The worker's own steady clock."""
        return int((_now_s() - self._began_at_s) * 1000)

    @property
    def free_millicores(self) -> int:
        """Processor that no run uses."""
        return CPU_MILLICORES - sum(run.cpu_millicores for run in self._runs.values())

    @property
    def running(self) -> list[str]:
        """Names of the running tasks."""
        return [task for task, _ in self._runs]

    def entry(self) -> dict[str, Any]:
        """Return the entry under which it registers itself."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "hall-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "clockMs": self.clock_ms,
            "seqNo": self._sequence,
            "capacity": CAPACITY,
            "labels": _labels(self.machine),
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call."""
        if request.headers.get("Shallotworks-Expect-Instance", "") != self.worker_id:
            return web.Response(status=421)
        body = await request.json()
        self.end_due()
        if self.is_unhealthy and request.path == "/v1/run-start":
            self._fleet.record.line("start-refused", task=body["task"], at=self.worker_id, by=503)
            return web.Response(status=503)
        if body["fencingToken"] < self._token:
            return self._refuse("fence")
        self._token = body["fencingToken"]
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        if request.path == "/v1/hold":
            return await self._hold(body)
        return self._answer({})

    def lose_runs(self) -> list[str]:
        """End all runs without an end on a list, as the worker itself ends."""
        lost = self.running
        for run in self._runs.values():
            self._fleet.lost_s[run.start] = self._fleet.record.now_s()
        self._runs.clear()
        return lost

    def end_due(self) -> None:
        """End the runs that are complete, stopped or without a lease."""
        now_s = _now_s()
        for run in list(self._runs.values()):
            ends = [
                (run.begun_at_s + run.work_s, run.how),
                (run.stops_at_s, "stopped"),
                (self._lease_ends_at_s, "lapsed"),
            ]
            at_s, how = min(ends, key=lambda end: end[0])
            if at_s <= now_s:
                self._end(run, how)

    def _end(self, run: _Run, how: str) -> None:
        task, run_id = run.start.task, run.start.run_id
        del self._runs[(task, run_id)]
        self._highest_run_ids[task] = max(run_id, self._highest_run_ids.get(task, 0))
        self._end_count += 1
        self._ended.append([self._end_count, task, run_id, how, ""])
        self._fleet.note_end(run.start, how)

    def _start(self, body: dict[str, Any]) -> web.Response:
        task, run_id = body["task"], body["runId"]
        if (task, run_id) in self._runs:
            return self._answer({})
        if body["expiresMs"] <= self.clock_ms:
            return self._refuse("late")
        self._extend_lease(body["expiresMs"])
        if run_id <= self._highest_run_ids.get(task, 0):
            return self._refuse("old")
        advice = self._fleet.advice
        if advice is not None and not advice.is_valid(body.get("ticket", ""), task, self.worker_id):
            return self._refuse("ticket")
        need = self._fleet.task_of(task)
        cpu_millicores = sum(run.cpu_millicores for run in self._runs.values())
        memory_mb = sum(run.memory_mb for run in self._runs.values())
        if (
            cpu_millicores + need.cpu_millicores > CPU_MILLICORES
            or memory_mb + need.memory_mb > MEMORY_MB
        ):
            return self._refuse("room")
        start = Start(
            task=task,
            run_id=run_id,
            worker_id=self.worker_id,
            service=self.service,
            spec=body["spec"],
            begun_s=self._fleet.record.now_s(),
        )
        self._runs[(task, run_id)] = _Run(
            start=start,
            cpu_millicores=need.cpu_millicores,
            memory_mb=need.memory_mb,
            begun_at_s=_now_s(),
            work_s=need.work_s,
            how=need.how,
        )
        self._fleet.note_start(start)
        return self._answer({})

    def _stop(self, body: dict[str, Any]) -> web.Response:
        task, run_id = body["task"], body["runId"]
        self._highest_run_ids[task] = max(run_id, self._highest_run_ids.get(task, 0))
        run = self._runs.get((task, run_id))
        if run is not None:
            run.stops_at_s = min(run.stops_at_s, _now_s() + STOP_S)
        return self._answer({})

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        for end in [end for end in self._ended if end[0] <= body["lastSeen"]]:
            self._ended.remove(end)
            self._fleet.note_acknowledged(self, end)
        if "expiresMs" in body:
            self._extend_lease(body["expiresMs"])
        ends_at_s = _now_s() + body.get("waitMs", 0) / 1000
        while not self._ended and _now_s() < ends_at_s:
            await asyncio.sleep(0.01)
            self.end_due()
        now_s = _now_s()
        running = [
            [run.start.task, run.start.run_id, "", run.percent(now_s), run.cpu_millicores]
            for run in self._runs.values()
        ]
        return self._answer({"running": running, "ended": self._ended[:500]})

    def _extend_lease(self, expires_ms: int) -> None:
        if 0 < self._lease_ends_at_s < _now_s():
            ago_s = _now_s() - self._lease_ends_at_s
            self.lapses_s.append(self._fleet.record.now_s() - ago_s)
        ends_at_s = min(self._began_at_s + expires_ms / 1000, _now_s() + MAX_HOLD_S)
        self._lease_ends_at_s = max(self._lease_ends_at_s, ends_at_s)

    def _answer(self, body: dict[str, Any], status: int = 200) -> web.Response:
        text = json.dumps({"clockMs": self.clock_ms} | body)
        return web.Response(status=status, text=text, content_type="application/json")

    def _refuse(self, reason: str) -> web.Response:
        return self._answer({"reason": reason}, status=409)


@dataclass(slots=True, kw_only=True)
class _Machine:
    name: str
    pool: str
    state: str = "down"
    worker: Worker | None = None
    runner: web.ServerRunner | None = None
    address: str = ""
    expiries: list[asyncio.TimerHandle] = field(default_factory=list)


class Fleet:
    """All machines with their workers, and the platform's API for the machines.

    Args:
        store: The store in which workers register.
        record: Receives each start, end and acknowledgement.
        host: Loopback address that all listen on.
        task_of: Returns how a task behaves, by its name.
    """

    def __init__(
        self, *, store: Store, record: Record, host: str, task_of: Callable[[str], Task]
    ) -> None:
        self.record = record
        self.task_of = task_of
        self.address = ""
        self.starts: list[Start] = []
        self.ends: list[tuple[Start, str, float]] = []
        """Each run that is on a list of ends, with how it ended and when, in seconds of the
        record."""
        self.lost_s: dict[Start, float] = {}
        """When runs were lost with their worker, in seconds of the record."""
        self.acknowledged: dict[tuple[str, int], tuple[Worker, float]] = {}
        self.advice: Advice | None = None
        """Issues the tickets without which no start is accepted; ``None`` if none is needed."""
        self._store = store
        self._host = host
        self._machines: dict[str, _Machine] = {}
        self._worker_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._api = web.ServerRunner(web.Server(self._handle_machines), shutdown_timeout=0.1)

    async def start(self, pools: dict[str, int]) -> None:
        """Start the API and, for each service, this many machines."""
        await self._api.setup()
        await web.TCPSite(self._api, self._host, 0).start()
        self.address = "{}:{}".format(*self._api.addresses[0][:2])
        for pool, count in pools.items():
            await self.add(pool, count)
        self._spawn(self._heartbeat())

    async def add(self, pool: str, count: int) -> list[Worker]:
        """Add machines to a service; return their workers."""
        added = []
        for _ in range(count):
            name = f"m-{len(self._machines) + 1}"
            self._machines[name] = machine = _Machine(name=name, pool=pool)
            added.append(await self._start_worker(machine))
        return added

    async def stop(self) -> None:
        """Stop all workers and the API."""
        for task in list(self._tasks):
            task.cancel()
        for machine in self._machines.values():
            if machine.runner is not None:
                await machine.runner.cleanup()
        await self._api.cleanup()

    def workers(self, service: str) -> list[Worker]:
        """Return the workers of a service that are up."""
        found = (machine.worker for machine in self._machines.values())
        return [worker for worker in found if worker is not None and worker.service == service]

    def crash(self, worker: Worker, *, down_s: float) -> None:
        """Crash a worker; its machine has a new one, with a new id, ``down_s`` later."""
        machine = self._machines[worker.machine]
        if machine.worker is worker:
            self._spawn(self._replace(machine, "down", down_s, is_crash=True))

    # ---- notes

    def note_start(self, start: Start) -> None:
        """Note a run that has begun."""
        self.starts.append(start)
        self.record.line("run", task=start.task, run=start.run_id, at=start.worker_id)

    def note_end(self, start: Start, how: str) -> None:
        """Note a run that is on the list of ends."""
        self.ends.append((start, how, self.record.now_s()))
        self.record.line("end", task=start.task, run=start.run_id, at=start.worker_id, how=how)

    def note_acknowledged(self, worker: Worker, end: list[Any]) -> None:
        """Note an end that was acknowledged."""
        self.acknowledged[(end[1], end[2])] = (worker, self.record.now_s())
        self.record.line("end-acknowledged", task=end[1], run=end[2], at=worker.worker_id)

    def is_taken_note_of(self, start: Start, ended_s: float) -> bool:
        """Whether a run's end was acknowledged, without a lapse of the lease in between."""
        noted = self.acknowledged.get((start.task, start.run_id))
        if noted is None:
            return False
        worker, at_s = noted
        return not any(ended_s <= lapse_s <= at_s for lapse_s in worker.lapses_s)

    # ---- lives of workers

    async def _start_worker(self, machine: _Machine) -> Worker:
        self._worker_count += 1
        runner = web.ServerRunner(
            web.Server(lambda request: worker.handle(request)), shutdown_timeout=0.0
        )
        await runner.setup()
        await web.TCPSite(runner, self._host, 0).start()
        worker = Worker(
            fleet=self,
            worker_id=f"w-{self._worker_count}",
            machine=machine.name,
            service=machine.pool,
            address="{}:{}".format(*runner.addresses[0][:2]),
        )
        machine.runner, machine.worker, machine.state = runner, worker, "up"
        self._store.put(f"servers/{worker.worker_id}", worker.entry())
        self.record.line("worker-up", id=worker.worker_id, service=worker.service)
        return worker

    async def _replace(
        self, machine: _Machine, state: str, down_s: float, *, is_crash: bool
    ) -> None:
        worker, runner = machine.worker, machine.runner
        if worker is None or runner is None:
            return
        machine.worker, machine.runner, machine.state = None, None, state
        lost = worker.lose_runs()
        self.record.line("worker-down", id=worker.worker_id, why=state, lost=",".join(lost) or "-")
        await runner.cleanup()
        key, loop = f"servers/{worker.worker_id}", asyncio.get_running_loop()
        if is_crash:
            loop.call_later(3 * HEARTBEAT_S, self._store.delete, key)
        else:
            self._store.delete(key)
        await asyncio.sleep(down_s)
        await self._start_worker(machine)

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for machine in self._machines.values():
                if machine.worker is not None:
                    machine.worker.end_due()
                    key = f"servers/{machine.worker.worker_id}"
                    self._store.put(key, machine.worker.entry())

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- the machine API

    async def _handle_machines(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/v1/machines":
            rows = [
                {
                    "machine": one.name,
                    "pool": one.pool,
                    "state": one.state,
                    "zone": "hall-1",
                    "labels": _labels(one.name),
                    "capacity": CAPACITY,
                }
                | ({"id": one.worker.worker_id} if one.worker is not None else {})
                for one in self._machines.values()
            ]
            return _json({"machines": rows, "nextToken": None})
        body = await request.json()
        machine, pool = self._machines.get(body["machine"]), body.get("pool", "")
        if machine is None or not pool:
            return _json({}, 400)
        if machine.pool == pool:
            return _json({})
        if machine.state != "up":
            return _json({"reason": "busy"}, 409)
        self.record.line("machine-move", machine=machine.name, to=pool)
        machine.pool = pool
        self._spawn(self._replace(machine, "moving", MIGRATE_S, is_crash=False))
        return _json({})


def _labels(machine: str) -> list[str]:
    """Return a machine's kind and its rack."""
    return ["a", f"r1-{int(machine.removeprefix('m-')) // MACHINES_PER_RACK}"]


def _json(body: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(status=status, text=json.dumps(body), content_type="application/json")


def _now_s() -> float:
    return asyncio.get_running_loop().time()
