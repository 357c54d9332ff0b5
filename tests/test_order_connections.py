"""Orders over sockets to a worker that starts again under its id at the same address."""

from __future__ import annotations

import asyncio
import contextlib
import random
import unittest
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from typing import Any, TypeVar
from unittest import mock

from parameterized import parameterized

from shallotworks.jobs import Step, TaskName
from shallotworks.platform._workers import PlatformOrders
from shallotworks.scheduling import (
    OrderOutcome,
    OrderStatus,
    PaceOrder,
    Run,
    RunPhase,
    StartOrder,
    StopOrder,
    WorkerView,
)
from shallotworks.standins import (
    FaultInjectingOrders,
    OrderFaults,
    TaskWorker,
    TaskWorkers,
    WorkerServer,
)
from tests.scheduling_fakes import step, view
from tests.scheduling_simulation import Instance, SchedulingSimulation

WORKER_ID = "w0"
TOKEN = 7_000_001
POLL_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 0.7
WAIT_TIMEOUT_S = 30.0
TASK_MILLICORES = 3_000
LEASE_MS = 10**12
"""Lies ahead on the clock of every incarnation, as a deadline does on a clock that begins anew."""
ENDED_JOB, ORDERED_JOB = "0" * 16, "1" * 16
DRAWN_SEEDS = range(1, 9)
DRAWN_ORDERS = 12


class CountingServer(WorkerServer):
    """A worker's server that keeps the path of each request."""

    paths: list[str]

    async def _handle(self, request: Any) -> Any:
        self.paths.append(request.path)
        return await super()._handle(request)


class Network:
    """Forwards connections to a worker, and holds up those that are opened while `hold` applies.

    A connection that is held up reaches whichever process listens when it is let through.
    """

    def __init__(self) -> None:
        self.target = ""
        self.held_up = asyncio.Event()
        """Set once a connection is held up."""
        self._let_through = asyncio.Event()
        self._is_holding = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening, and end all connections."""
        self._server.close()
        await self.end_connections()

    async def end_connections(self) -> None:
        """End all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def hold(self) -> None:
        """Hold up the connections that are opened from now on."""
        self._is_holding = True

    def forward_new(self) -> None:
        """Forward the connections that are opened from now on; held-up ones stay so."""
        self._is_holding = False

    def let_through(self) -> None:
        """Forward all connections."""
        self.forward_new()
        self._let_through.set()
        self._let_through = asyncio.Event()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # Not at the end of the task, which may be cancelled before it begins.
        task.add_done_callback(lambda _: writer.transport.abort())

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_writer: asyncio.StreamWriter | None = None
        try:
            if self._is_holding:
                self.held_up.set()
                await self._let_through.wait()
            host, port = self.target.split(":")
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            async with asyncio.TaskGroup() as group:
                group.create_task(_pump(reader, target_writer))
                group.create_task(_pump(target_reader, writer))
        except OSError:
            pass  # Nothing listens there at present.
        finally:
            if target_writer is not None:
                target_writer.transport.abort()


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    writer.transport.abort()


class Machine:
    """A machine on which one incarnation of a worker after another serves at one address."""

    def __init__(self, *, fleet: TaskWorkers, worker_id: str = WORKER_ID) -> None:
        self.fleet = fleet
        self.worker_id = worker_id
        self.network = Network()
        self.paths: list[str] = []
        """Paths of all requests that a worker received."""
        self._orders = FaultInjectingOrders(fleet=self.fleet)
        self._server: WorkerServer | None = None

    @property
    def worker(self) -> TaskWorker:
        """The present incarnation."""
        return self.fleet.workers[self.worker_id]

    async def start(self) -> WorkerView:
        """Serve the first incarnation, and return its entry."""
        self.worker.view = replace(self.worker.view, address=await self.network.start())
        await self._serve(0)
        return self.worker.view

    async def restart(self) -> WorkerView:
        """Start the worker again under its id, at the port that it had; return its entry."""
        assert self._server is not None
        self.worker.crash()
        # The event loop leaves connections unclosed that it accepts while their listener is closed.
        await asyncio.sleep(0.01)
        await self._server.listener.stop()
        later = self.fleet.restart(self.worker_id)
        # Its clock counts anew, so that the deadlines of orders to the earlier one lie ahead.
        later._clock_offset_s = -asyncio.get_running_loop().time()
        await self._serve(int(self.network.target.split(":")[1]))
        return self.worker.view

    async def _serve(self, port: int) -> None:
        self._server = CountingServer(orders=self._orders, view=self.worker.view, port=port)
        self._server.paths = self.paths
        self.network.target = await self._server.listener.start()

    async def stop(self) -> None:
        """Close all connections."""
        assert self._server is not None
        await self.network.stop()
        await self._server.listener.stop()

    def run(self, run_id: int, *, of: WorkerView, job_id: str = ORDERED_JOB) -> Run:
        """Return a run that an order for an incarnation names."""
        return Run(
            name=TaskName(job_id, 0, 0, run_id),
            run_id=run_id,
            step=Step(count=1),
            incarnation=of.incarnation,
            phase=RunPhase.STARTING,
            since_s=0.0,
        )

    def end_a_run(self) -> None:
        """Let the present incarnation run a task that ends at once."""
        worker = self.worker
        order = make_start(self.run(1, of=worker.view, job_id=ENDED_JOB))
        worker.start(order, TOKEN, LEASE_MS)
        worker.end_due_runs()

    def state(self) -> tuple[object, ...]:
        """Return all that an order may change on the present incarnation."""
        worker = self.worker
        return (
            worker.names(),
            worker.acknowledged_count,
            worker._lease_ends_at_s,
            dict(worker._highest_run_ids),
        )


def make_start(run: Run) -> StartOrder:
    """Return an order to start a run on the incarnation that it is on."""
    return StartOrder(run=run, incarnation=run.incarnation, spec="x")


_Value = TypeVar("_Value")
Send = Callable[[PlatformOrders, WorkerView, Run], Awaitable[OrderOutcome]]


async def start(orders: PlatformOrders, worker: WorkerView, run: Run) -> OrderOutcome:
    return await orders.start(worker, make_start(run), token=TOKEN, lease_until_ms=LEASE_MS)


async def stop(orders: PlatformOrders, worker: WorkerView, run: Run) -> OrderOutcome:
    return await orders.stop(worker, StopOrder(run=run, incarnation=run.incarnation), token=TOKEN)


async def pace(orders: PlatformOrders, worker: WorkerView, run: Run) -> OrderOutcome:
    order = PaceOrder(run=run, incarnation=run.incarnation, percent=50)
    return await orders.pace(worker, order, token=TOKEN)


async def poll(
    orders: PlatformOrders,
    worker: WorkerView,
    *,
    acknowledged: int = 0,
    lease_until_ms: int | None = None,
    wait_s: float = 0.0,
) -> OrderOutcome:
    return await orders.poll(
        worker,
        token=TOKEN,
        acknowledged=acknowledged,
        lease_until_ms=lease_until_ms,
        wait_s=wait_s,
        timeout_s=wait_s + POLL_TIMEOUT_S,
    )


async def acknowledge(orders: PlatformOrders, worker: WorkerView, _run: Run) -> OrderOutcome:
    return await poll(orders, worker, acknowledged=1)


async def grant_lease(orders: PlatformOrders, worker: WorkerView, _run: Run) -> OrderOutcome:
    return await poll(orders, worker, lease_until_ms=LEASE_MS)


ORDERS: list[tuple[str, Send]] = [
    ("start", start),
    ("stop", stop),
    ("pace", pace),
    ("acknowledging_poll", acknowledge),
    ("lease", grant_lease),
]
PATHS = {start: "/v1/run-start", stop: "/v1/run-stop", pace: "/v1/pace"}


async def until(condition: Callable[[], _Value | None]) -> _Value:
    """Return the first true value of a condition."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not (value := condition()):
            await asyncio.sleep(0.01)
    return value


def run_on_machine(
    scenario: Callable[[Machine, PlatformOrders, WorkerView], Coroutine[Any, Any, None]],
) -> None:
    async def run() -> None:
        fleet, orders = TaskWorkers(rng=random.Random(1)), PlatformOrders()
        fleet.work_s |= {ENDED_JOB: 0.0, ORDERED_JOB: 60.0}
        fleet.add(view(WORKER_ID))
        machine = Machine(fleet=fleet)
        worker = await machine.start()
        try:
            await scenario(machine, orders, worker)
        finally:
            await orders.close()
            await machine.stop()
            await asyncio.sleep(0.05)  # Aborted connections are closed in the next cycles.

    asyncio.run(run())


class LostWorkerTests(unittest.TestCase):
    """A worker for which nobody listens is told apart from one that may be alive."""

    @parameterized.expand(ORDERS)
    def test_order_to_an_address_where_nobody_listens(self, _name: str, send: Send) -> None:
        """Guards against waiting for the lease of a worker at whose address nobody listens."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            await poll(orders, worker)
            await machine.network.stop()
            await asyncio.sleep(0.05)
            outcome = await send(orders, worker, machine.run(9, of=worker))
            self.assertIs(OrderStatus.REFUSED, outcome.status, outcome)

        run_on_machine(scenario)

    @parameterized.expand(ORDERS)
    def test_order_on_a_connection_that_hangs(self, _name: str, send: Send) -> None:
        """Guards against ending a live worker to which connections hang."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            machine.network.hold()
            outcome = await send(orders, worker, machine.run(9, of=worker))
            self.assertIs(OrderStatus.UNSENT, outcome.status, outcome)

        run_on_machine(scenario)

    def test_poll_whose_connection_ends(self) -> None:
        """Guards against ending a live worker whose open connections are reset."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            await poll(orders, worker)
            waiting = asyncio.create_task(poll(orders, worker, wait_s=1.0))
            await asyncio.sleep(0.05)
            await machine.network.end_connections()
            self.assertIs(OrderStatus.UNANSWERED, (await waiting).status)
            self.assertIs(OrderStatus.OBEYED, (await poll(orders, worker)).status)

        run_on_machine(scenario)


class LaterIncarnationTests(unittest.TestCase):
    """An order for one incarnation must have no effect on a later one at the same address."""

    def assert_withheld(
        self, machine: Machine, send: Send, outcome: OrderOutcome, before: tuple[object, ...]
    ) -> None:
        self.assertEqual(before, machine.state())
        self.assertEqual(machine.worker.view.born_ms, outcome.born_ms)
        if send in PATHS:
            self.assertNotIn(PATHS[send], machine.paths)
            self.assertIs(OrderStatus.UNSENT, outcome.status)
            return
        assert outcome.report is not None, outcome
        self.assertEqual([1], [end.number for end in outcome.report.ended])

    @parameterized.expand([(name, send, restarts) for name, send in ORDERS for restarts in (1, 2)])
    def test_order_after_a_restart(self, _name: str, send: Send, restarts: int) -> None:
        """Guards against an order that a later incarnation carries out over a new connection."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            self.assertEqual(worker.born_ms, (await poll(orders, worker)).born_ms)
            for _ in range(restarts):
                await machine.restart()
            machine.end_a_run()
            before = machine.state()
            outcome = await send(orders, worker, machine.run(9, of=worker))
            self.assert_withheld(machine, send, outcome, before)

        run_on_machine(scenario)

    @parameterized.expand(ORDERS)
    def test_order_on_a_connection_that_is_held_up(self, _name: str, send: Send) -> None:
        """Guards against an order whose new connection is held up until its worker has ended."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            # A waiting poll occupies the open connection.
            waiting = asyncio.create_task(poll(orders, worker, wait_s=1.0))
            await asyncio.sleep(0.05)
            machine.network.hold()
            sending = asyncio.create_task(send(orders, worker, machine.run(9, of=worker)))
            await machine.network.held_up.wait()
            await machine.restart()
            machine.end_a_run()
            before = machine.state()
            machine.network.let_through()
            self.assert_withheld(machine, send, await sending, before)
            await waiting

        # The order must not time out before the worker has started again.
        with (
            mock.patch("shallotworks.platform._workers.ORDER_TIMEOUT_S", WAIT_TIMEOUT_S),
            mock.patch(f"{__name__}.POLL_TIMEOUT_S", WAIT_TIMEOUT_S),
        ):
            run_on_machine(scenario)

    @parameterized.expand(ORDERS)
    def test_order_whose_handshake_is_held_up(self, _name: str, send: Send) -> None:
        """Guards against an order that is, or counts as, sent before its worker has answered."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            machine.network.hold()
            outcome = await send(orders, worker, machine.run(9, of=worker))
            self.assertIs(OrderStatus.UNSENT, outcome.status)
            await machine.restart()
            machine.end_a_run()
            before = machine.state()
            machine.network.let_through()
            await asyncio.sleep(0.2)
            self.assertEqual(before, machine.state())

        run_on_machine(scenario)

    @parameterized.expand([(seed,) for seed in DRAWN_SEEDS])
    def test_drawn_orders_and_restarts(self, seed: int) -> None:
        """Guards against a run on another incarnation than the one that its order was for."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            rng = random.Random(seed)
            schedulers = [orders, PlatformOrders()]
            views, sent, sending = [worker], {}, []
            for number in range(1, DRAWN_ORDERS + 1):
                draw = rng.random()
                if draw < 0.3:
                    views.append(await machine.restart())
                elif draw < 0.5:
                    machine.network.hold()
                elif draw < 0.7:
                    machine.network.let_through()
                # An earlier scheduler knows an earlier incarnation only.
                known = rng.choice(views[-3:])
                run = machine.run(number, of=known)
                sent[run.name] = known.born_ms
                sender, send = rng.choice(schedulers), rng.choice([start, start, grant_lease])
                sending.append(asyncio.create_task(send(sender, known, run)))
                await asyncio.sleep(rng.choice([0.0, 0.0, 0.05, 0.2]))
                present = machine.worker
                for name in present.names():
                    self.assertEqual(present.view.born_ms, sent[name])
            machine.network.let_through()
            await asyncio.gather(*sending)
            present = machine.worker
            for name in present.names():
                self.assertEqual(present.view.born_ms, sent[name])
            await schedulers[1].close()

        run_on_machine(scenario)


class SocketOrders(PlatformOrders):
    """Orders over sockets of an instance of the simulation, which can be killed."""

    def __init__(self) -> None:
        super().__init__()
        self.faults = OrderFaults()


class SocketSimulation(SchedulingSimulation):
    """A simulation whose instances send their orders over sockets."""

    def __init__(self, **arguments: Any) -> None:
        self._socket_orders: list[SocketOrders] = []
        super().__init__(**arguments)

    def _make_instance(self, number: int) -> Instance:
        instance = super()._make_instance(number)
        instance.orders = orders = SocketOrders()  # type: ignore[assignment]
        self._socket_orders.append(orders)
        return instance

    async def kill(self) -> None:
        """End all instances, and close the connections of all that there were."""
        await super().kill()
        for orders in self._socket_orders:
            await orders.close()


class EndedSchedulerTests(unittest.TestCase):
    def test_start_of_an_ended_scheduler_is_held_up(self) -> None:
        """Guards against a second run of a task beside one that its successor has started."""

        async def scenario() -> None:
            simulation = SocketSimulation(seed=1, workers=2, instances=2)
            fleet, name = simulation.fleet, TaskName(ORDERED_JOB, 0, 0, 0)
            fleet.cpu_millicores[name] = TASK_MILLICORES
            fleet.work_s[ORDERED_JOB] = 60.0
            machines = [Machine(fleet=fleet, worker_id=one) for one in fleet.workers]
            for machine in machines:
                await machine.start()
            for instance in simulation.instances:
                instance.start()
            first = await until(simulation.scheduler)
            await asyncio.sleep(1.0)
            for machine in machines:
                machine.network.hold()
                await machine.network.end_connections()
            await simulation.submit(
                ORDERED_JOB, step(1, cpu_millicores=TASK_MILLICORES, estimated_s=60.0)
            )
            held_up = await until(
                lambda: next((one for one in machines if one.network.held_up.is_set()), None)
            )
            # Until the start is sent, or the scheduler gives it up.
            await asyncio.sleep(ORDER_TIMEOUT_S)
            # The successor finds no room there, so that it starts the task on the other worker.
            held_up.worker.resize(TASK_MILLICORES - 1)
            for machine in machines:
                machine.network.forward_new()
            await simulation.replace(first)
            await until(lambda: any(name in one.names() for one in fleet.workers.values()))
            held_up.worker.resize(2 * TASK_MILLICORES)
            await held_up.restart()
            held_up.network.let_through()
            await asyncio.sleep(1.0)
            running = [key for key, one in fleet.workers.items() if name in one.names()]
            self.assertEqual(1, len(running), running)
            self.assertEqual([], fleet.violations)
            await simulation.kill()
            for machine in machines:
                await machine.stop()
            await asyncio.sleep(0.05)

        asyncio.run(scenario())


class SameIncarnationTests(unittest.TestCase):
    """Orders for the incarnation that is there are carried out."""

    def test_orders_over_new_and_open_connections(self) -> None:
        """Guards against orders that the intended incarnation never receives."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            outcomes = await asyncio.gather(
                *(start(orders, worker, machine.run(number, of=worker)) for number in range(1, 5))
            )
            self.assertEqual([OrderStatus.OBEYED] * 4, [one.status for one in outcomes])
            self.assertEqual(4, len(machine.worker.names()))
            machine.paths.clear()
            outcome = await stop(orders, worker, machine.run(1, of=worker))
            self.assertIs(OrderStatus.OBEYED, outcome.status)
            # The connection has identified its worker, so that no poll precedes the order.
            self.assertEqual(["/v1/run-stop"], machine.paths)

        run_on_machine(scenario)

    def test_a_poll_identifies_the_connection(self) -> None:
        """Guards against a call that is sent twice after each poll."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            await poll(orders, worker)
            await start(orders, worker, machine.run(1, of=worker))
            self.assertEqual(["/v1/hold", "/v1/run-start"], machine.paths)

        run_on_machine(scenario)

    def test_orders_to_the_later_incarnation_after_a_restart(self) -> None:
        """Guards against a worker that receives no order any more since it has started again."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            await start(orders, worker, machine.run(1, of=worker))
            later = await machine.restart()
            await start(orders, worker, machine.run(2, of=worker))
            outcome = await start(orders, later, machine.run(3, of=later))
            self.assertIs(OrderStatus.OBEYED, outcome.status)
            self.assertEqual({machine.run(3, of=later).name}, machine.worker.names())

        run_on_machine(scenario)

    def test_nothing_is_added_where_no_start_is_stated(self) -> None:
        """Guards against a call more for each connection where incarnations can't be told apart."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            unknown = replace(worker, born_ms=None)
            await start(orders, unknown, machine.run(1, of=unknown))
            self.assertEqual(["/v1/run-start"], machine.paths)

        run_on_machine(scenario)

    def test_refused_identification(self) -> None:
        """Guards against a lost lease that goes unnoticed, as the order itself is withheld."""

        async def scenario(machine: Machine, orders: PlatformOrders, worker: WorkerView) -> None:
            machine.worker.poll(TOKEN + 1, 0, None)
            outcome = await start(orders, worker, machine.run(1, of=worker))
            self.assertIs(OrderStatus.FENCED, outcome.status)
            another = replace(worker, worker_id="w1")
            outcome = await start(orders, another, machine.run(2, of=another))
            self.assertIs(OrderStatus.GONE, outcome.status)

        run_on_machine(scenario)


if __name__ == "__main__":
    unittest.main()
