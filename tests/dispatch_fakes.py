"""A small fleet, requests and a virtual clock, for tests and benchmarks of dispatch."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import TypeVar

import looptime
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Condition, DataCentre, FleetState, Instance, Pool, Service, Team
from shallotworks.metrics import Metrics
from shallotworks.requests import (
    AttemptOutcome,
    DispatchLimits,
    Grant,
    PoolDispatcher,
    Request,
    RequestClass,
    TargetSelector,
)
from shallotworks.timeline import Timeline

INTERACTIVE = RequestClass.INTERACTIVE
LONG_RUNNING = RequestClass.LONG_RUNNING
_Value = TypeVar("_Value")


def run_on_virtual_clock(main: Callable[[], Awaitable[_Value]]) -> _Value:
    """Run a coroutine on an event loop whose clock jumps to the next timer."""
    # No other threads or sockets are involved, so the clock may jump without idle loop iterations.
    with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(noop_cycles=0)) as runner:
        return runner.run(_awaited(main))


async def _awaited(main: Callable[[], Awaitable[_Value]]) -> _Value:
    return await main()


class SettableConfig:
    """A `ConfigView` whose state the test sets."""

    def __init__(self, state: FleetState) -> None:
        self._state = state

    def state(self) -> FleetState:
        return self._state

    def staleness_s(self) -> float:
        return 0.0

    async def wait_for(self, revision: int) -> FleetState:
        raise NotImplementedError

    def put(self, **records: object) -> None:
        """Put records by name and increment the revision."""
        changed = {key: {**getattr(self._state, key), **value} for key, value in records.items()}
        self._state = replace(self._state, revision=self._state.revision + 1, **changed)

    def set_instances(self, names: list[str], **facts: object) -> None:
        """Change fields of some instances."""
        known = self._state.instances
        self.put(instances={name: replace(known[name], **facts) for name in names})

    def cordon(self, *names: str) -> None:
        """Cordon some instances."""
        self.set_instances(list(names), condition=Condition.CORDONED)


def make_instances(
    count: int, *, slots: int = 8, data_centre: str = "here", pool: str = "pool", prefix: str = "w"
) -> dict[str, Instance]:
    """Return instances of one pool by name."""
    return {
        f"{prefix}{number}": Instance(
            name=f"{prefix}{number}",
            data_centre=data_centre,
            rack="r",
            pool=pool,
            address=f"127.0.0.1:{9000 + number}",
            slots=slots,
        )
        for number in range(count)
    }


def make_fleet(
    members: dict[str, Instance],
    *,
    shares: dict[str, float] | None = None,
    quotas: dict[str, int] | None = None,
) -> FleetState:
    """Return a fleet of one data centre with pools, services and teams."""
    pools = {entry.pool for entry in members.values()} | {"pool"}
    shares = shares or {"trace": 1.0}
    return FleetState(
        revision=1,
        data_centres={"here": DataCentre(name="here", region="vest")},
        pools={name: Pool(name=name) for name in pools},
        services={
            name: Service(name=name, pool="pool", share=share, max_unavailable=1)
            for name, share in shares.items()
        },
        teams={name: Team(name=name, quota_slots=slots) for name, slots in (quotas or {}).items()},
        instances=members,
    )


@dataclass(slots=True, kw_only=True)
class DispatchHarness:
    """A dispatcher over a small fleet, with its configuration, metrics and timeline."""

    config: SettableConfig
    dispatcher: PoolDispatcher
    metrics: Metrics
    timeline: Timeline
    entries: list[int] = field(default_factory=lambda: [1])
    _next: int = 0

    def request(
        self,
        service: str = "trace",
        *,
        request_class: RequestClass = INTERACTIVE,
        within_s: float = 10.0,
        team: str = "",
        idempotent: bool = True,
    ) -> Request:
        """Return a new request."""
        self._next += 1
        return make_request(
            f"r{self._next}",
            service,
            request_class=request_class,
            deadline_s=asyncio.get_running_loop().time() + within_s,
            team=team,
            idempotent=idempotent,
        )

    def start(self, *args: str, **kwargs: object) -> "asyncio.Task[Result[Grant, Failure]]":
        """Request a slot for a new request in a separate task."""
        return self.ask(self.request(*args, **kwargs))  # type: ignore[arg-type]

    def ask(
        self, request: Request, tried: frozenset[str] = frozenset()
    ) -> "asyncio.Task[Result[Grant, Failure]]":
        """Request a slot for a request in a separate task."""
        return asyncio.create_task(self.dispatcher.acquire(request, tried=tried))

    async def grant(self, *args: str, **kwargs: object) -> Grant:
        """Return the grant for a new request; fails if it is refused."""
        return (await self.start(*args, **kwargs)).unwrap()

    async def attempt(self, outcome: AttemptOutcome, duration_s: float = 0.0) -> str:
        """Make one attempt with this outcome and return the instance that it used."""
        grant = await self.grant()
        self.dispatcher.release(grant, outcome, duration_s=duration_s)
        return grant.target.instance

    def done(self, grant: Grant, duration_s: float = 0.05) -> None:
        """Release a grant after an answer."""
        self.dispatcher.release(grant, AttemptOutcome.ANSWERED, duration_s=duration_s)


def make_request(
    request_id: str,
    service: str,
    *,
    request_class: RequestClass = INTERACTIVE,
    deadline_s: float = 10.0,
    team: str = "",
    idempotent: bool = True,
    key: str = "",
    body: bytes = b"",
) -> Request:
    """Return a request."""
    return Request(
        request_id=request_id,
        service=service,
        team=team,
        request_class=request_class,
        deadline_s=deadline_s,
        idempotent=idempotent,
        idempotency_key=key,
        method="POST",
        path="/",
        headers=(),
        body=body,
    )


def make_harness(
    state: FleetState,
    *,
    limits: DispatchLimits | None = None,
    seed: int = 1,
    selector: TargetSelector | None = None,
    entries: int = 1,
    rank: int = 0,
) -> DispatchHarness:
    """Return a dispatcher over a fleet."""
    config = SettableConfig(state)
    metrics = Metrics()
    timeline = Timeline(process="e1", wall_clock_s=lambda: 0.0, capacity=100_000)
    live = [entries]
    dispatcher = PoolDispatcher(
        config=config,
        data_centre="here",
        entry_count=lambda: live[0],
        entry_rank=lambda: rank,
        limits=limits or DispatchLimits(),
        metrics=metrics,
        timeline=timeline,
        rng=random.Random(seed),
        selector=selector,
    )
    return DispatchHarness(
        config=config, dispatcher=dispatcher, metrics=metrics, timeline=timeline, entries=live
    )


async def run_ready_tasks() -> None:
    """Let every ready task run without advancing the clock."""
    for _ in range(5):
        await asyncio.sleep(0)


def has_grant(task: "asyncio.Task[Result[Grant, Failure]]") -> bool:
    """Whether a task has finished with a grant."""
    return task.done() and isinstance(task.result(), Success)


def kind_of(task: "asyncio.Task[Result[Grant, Failure]]") -> ErrorKind:
    """Return the error kind with which a task has finished."""
    return task.result().failure().kind
