"""Fakes for the tests of plans: a configuration log in memory, targets and a plan lease."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar

import looptime
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.config import Accepted
from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import (
    Change,
    DataCentre,
    FleetState,
    Instance,
    Pool,
    Service,
    apply,
)
from shallotworks.metrics import Metrics
from shallotworks.plans import (
    Conductor,
    ConductorDependencies,
    ConductorPolicy,
    DisruptionModel,
    Intent,
    PlanLease,
    Planner,
    PlannerWeights,
    PlanRegistry,
    ProbeReport,
)
from shallotworks.standins import MemoryStore
from shallotworks.timeline import Timeline

_Value = TypeVar("_Value")
WALL_CLOCK_START_S = 1_800_000_000.0


async def run_inline(work: Callable[[], _Value]) -> _Value:
    """Run work on the event loop, whose simulated clock does not advance meanwhile."""
    return work()


class FakeConfig:
    """`ConfigLog` and `ConfigView` in memory, based on `fleet.apply`, with injected faults."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._changed = asyncio.Event()
        self.down = False
        self.lost_answers = 0
        self.history: list[tuple[Change, str]] = []
        self.checks: list[Callable[[FleetState, Change, FleetState], None]] = []

    def state(self) -> FleetState:
        return self._state

    def staleness_s(self) -> float:
        return 0.0

    async def wait_for(self, revision: int) -> FleetState:
        while self._state.revision < revision:
            await self._changed.wait()
        return self._state

    async def propose(self, change: Change, *, author: str) -> Result[Accepted, Failure]:
        await asyncio.sleep(0.005)
        if self.down:
            return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason="down"))
        result = apply(self._state, change)
        if not isinstance(result, Success):
            return Err(result.failure())
        before, self._state = self._state, result.unwrap()
        self.history.append((change, author))
        for check in self.checks:
            check(before, change, self._state)
        self._changed.set()
        self._changed = asyncio.Event()
        if self.lost_answers:
            self.lost_answers -= 1
            return Err(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason="the answer was lost"))
        return Success(Accepted(revision=self._state.revision, change_id=str(len(self.history))))


class FakeTargets:
    """`TargetControl` of targets with a given number of requests and a fixed reboot time."""

    def __init__(self, *, reboot_s: float = 20.0) -> None:
        self.reboot_s = reboot_s
        self.work: dict[str, int] = {}
        self.dead: set[str] = set()
        self.incarnations: dict[str, str] = {}
        self.reboots: list[str] = []
        self._rebooted: dict[str, str] = {}
        self._back_at_s: dict[str, float] = {}

    def _is_reachable(self, name: str) -> bool:
        now_s = asyncio.get_running_loop().time()
        return name not in self.dead and now_s >= self._back_at_s.get(name, 0.0)

    async def in_flight(self, instance: Instance) -> Result[int, Failure]:
        if not self._is_reachable(instance.name):
            return _unreachable(instance.name)
        return Success(self.work.get(instance.name, 0))

    async def checkpoint_jobs(self, instance: Instance) -> Result[int, Failure]:
        return Success(0)

    async def reboot(
        self, instance: Instance, *, reboot_id: str, fencing_token: int
    ) -> Result[None, Failure]:
        if instance.name in self.dead:
            return _unreachable(instance.name)
        if self._rebooted.get(instance.name) == reboot_id:
            return Success(None)
        if self.work.get(instance.name, 0):
            return Err(Failure(kind=ErrorKind.CONFLICT, reason="work in flight"))
        self.reboots.append(instance.name)
        self._rebooted[instance.name] = reboot_id
        self._back_at_s[instance.name] = asyncio.get_running_loop().time() + self.reboot_s
        return Success(None)

    async def probe(self, instance: Instance) -> Result[ProbeReport, Failure]:
        if not self._is_reachable(instance.name):
            return _unreachable(instance.name)
        return Success(
            ProbeReport(
                incarnation=self.incarnations.get(instance.name, "first"),
                reboot_id=self._rebooted.get(instance.name, ""),
            )
        )


class FakeLease:
    """A lease that the plan leases of several conductors compete for."""

    def __init__(self, *, ttl_s: float = 4.0) -> None:
        self.ttl_s = ttl_s
        self.token = 0
        self.holder: FakePlanLease | None = None
        self.expires_at_s = 0.0


class FakePlanLease:
    """`PlanLease` on a `FakeLease`, renewed until its process is paused or killed."""

    def __init__(self, lease: FakeLease, owner: str) -> None:
        self._lease = lease
        self.owner = owner
        self.paused = False
        self.assumes_held = False
        """Whether the process assumes that it holds the lease, even if it expired in a pause."""

    async def acquire(self) -> int:
        while self._lease.holder is not None and not self._is_expired():
            await asyncio.sleep(1.0)
        self._lease.holder = self
        self._lease.token += 1
        self.assumes_held = True
        return self._lease.token

    def is_held(self) -> bool:
        return self.assumes_held or self._lease.holder is self

    async def release(self) -> None:
        self.assumes_held = False
        if self._lease.holder is self and not self.paused:
            self._lease.holder = None

    def pause(self) -> None:
        """Stop renewing, as a paused or killed process does."""
        self.paused = True
        self._lease.expires_at_s = asyncio.get_running_loop().time() + self._lease.ttl_s

    def _is_expired(self) -> bool:
        holder = self._lease.holder
        now_s = asyncio.get_running_loop().time()
        return holder is not None and holder.paused and now_s >= self._lease.expires_at_s


class ConductorHarness:
    """A fleet with its log, its targets and the conductors that a test starts."""

    def __init__(
        self,
        state: FleetState,
        *,
        weights: PlannerWeights | None = None,
        policy: ConductorPolicy | None = None,
        reboot_s: float = 20.0,
    ) -> None:
        self.config = FakeConfig(state)
        self.targets = FakeTargets(reboot_s=reboot_s)
        self.store = MemoryStore()
        self.leases: dict[str, FakeLease] = {}
        self.metrics = Metrics()
        self.timeline = Timeline(process="test", wall_clock_s=self.wall_clock_s)
        self.policy = policy or ConductorPolicy(drain_timeout_s=120.0, return_timeout_s=120.0)
        self.tasks: list[asyncio.Task[None]] = []
        self.plan_registry = PlanRegistry(
            view=self.config,
            log=self.config,
            store=self.store,
            planner=Planner(weights=weights or PlannerWeights(), model=DisruptionModel()),
            wall_clock_s=self.wall_clock_s,
            timeline=self.timeline,
            metrics=self.metrics,
            run_off_loop=run_inline,
        )

    def wall_clock_s(self) -> float:
        return WALL_CLOCK_START_S + asyncio.get_running_loop().time()

    def lowest_acknowledged_revision(self) -> int:
        return self.config.state().revision

    def start_conductor(self) -> asyncio.Task[None]:
        """Start another conductor, as on another entry instance."""
        name = f"entry-{len(self.tasks)}"
        conductor = Conductor(
            name=name,
            plan_leases=lambda digest: self.plan_lease_of(digest, name),
            log=self.config,
            store=self.store,
            dependencies=ConductorDependencies(
                view=self.config,
                control=self.targets,
                acknowledgements=self,
                policy=self.policy,
                wall_clock_s=self.wall_clock_s,
                timeline=self.timeline,
                metrics=self.metrics,
            ),
        )
        task = asyncio.ensure_future(conductor.run())
        self.tasks.append(task)
        return task

    def plan_lease_of(self, digest: str, name: str) -> PlanLease:
        """Return the lease of a plan for one process."""
        return FakePlanLease(self.leases.setdefault(digest, FakeLease()), name)

    @property
    def lease(self) -> FakeLease:
        """The lease of the only plan."""
        (lease,) = self.leases.values()
        return lease

    def pause(self, task: asyncio.Task[None]) -> None:
        """Let a conductor's leases expire while it still assumes that it holds them."""
        name = f"entry-{self.tasks.index(task)}"
        for lease in self.leases.values():
            if lease.holder is not None and lease.holder.owner == name:
                lease.holder.pause()

    async def kill(self, task: asyncio.Task[None]) -> None:
        """Stop a conductor like a crash, without releasing its leases."""
        self.pause(task)
        task.cancel()
        await asyncio.wait((task,))

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def wait_until_ended(self, digest: str, *, timeout_s: float = 36_000.0) -> FleetState:
        async with asyncio.timeout(timeout_s):
            while self.config.state().plans[digest].state.is_open:
                await self.config.wait_for(self.config.state().revision + 1)
        return self.config.state()

    def change_instance(self, name: str, **fields: object) -> None:
        """Change fields of an instance directly in the state, without a change in the log."""
        state = self.config.state()
        entry = replace(state.instances[name], **fields)  # type: ignore[arg-type]
        self.config._state = replace(state, instances={**state.instances, name: entry})


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario on an event loop whose simulated clock jumps to the next timer."""
    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


async def propose_and_confirm(
    harness: ConductorHarness, intent: Intent, operator: str = "kari"
) -> str:
    """Propose and confirm an intent; return the digest of the plan."""
    plan = (await harness.plan_registry.propose(intent, author=operator)).unwrap()
    (await harness.plan_registry.confirm(plan.digest, operator=operator)).unwrap()
    return plan.digest


def make_fleet(
    *,
    centres: tuple[str, ...],
    pools: dict[str, int],
    budget: int = 1,
    region: str = "vest",
    per_rack: int = 4,
) -> FleetState:
    """Return a fleet whose pools are spread over the data centres, in racks of ``per_rack``."""
    instances: dict[str, Instance] = {}
    placed_by_centre = dict.fromkeys(centres, 0)
    number = 0
    for pool, size in pools.items():
        for index in range(size):
            centre = centres[number % len(centres)]
            name = f"{pool}-{index}"
            instances[name] = Instance(
                name=name,
                data_centre=centre,
                rack=f"r{placed_by_centre[centre] // per_rack}",
                pool=pool,
                address=f"127.0.0.1:{20_000 + number}",
                slots=8,
            )
            placed_by_centre[centre] += 1
            number += 1
    return FleetState(
        revision=100,
        data_centres={name: DataCentre(name=name, region=region) for name in centres},
        pools={name: Pool(name=name) for name in pools},
        services={
            name: Service(name=name, pool=name, share=1.0, max_unavailable=budget) for name in pools
        },
        instances=instances,
    )


def fjellsending(*, budget: int = 2) -> FleetState:
    """Return the fleet of Fjellsending: four data centres, five pools of eight instances."""
    services = ("fault-trace", "antenna-sweep", "spare-parts", "archive", "coverage")
    return make_fleet(
        centres=("bergen", "forde", "odda", "voss"), pools=dict.fromkeys(services, 8), budget=budget
    )


def tijera() -> FleetState:
    """Return the fleet of Tijera de Plata: three data centres, five pools of six instances."""
    services = ("booking", "walk-in", "day-sheet", "commissions", "supplies")
    return make_fleet(
        centres=("leon", "puebla", "queretaro"),
        pools=dict.fromkeys(services, 6),
        budget=2,
        region="centro",
    )


def _unreachable(name: str) -> Result[_Value, Failure]:
    return Err(Failure(kind=ErrorKind.UNREACHABLE, reason=f"{name} does not answer"))
