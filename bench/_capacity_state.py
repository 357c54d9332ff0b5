"""Memory and time that the configuration takes, by the size of the fleet."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from shallotworks.config import Entry, Snapshot
from shallotworks.config._window import EntryWindow
from shallotworks.fleet import (
    Condition,
    DataCentre,
    FleetState,
    Instance,
    Pool,
    Service,
    SetCondition,
    Team,
    apply,
)
from shallotworks.metrics import Metrics
from shallotworks.plans import (
    DisruptionModel,
    InDataCentre,
    Maintain,
    NotMaintainedSince,
    Planner,
    PlannerWeights,
)
from shallotworks.requests import (
    AttemptOutcome,
    DispatchLimits,
    PoolDispatcher,
    Request,
    RequestClass,
)
from shallotworks.timeline import EventKind, Subject, Timeline

__all__ = ["StateCost", "WindowCost", "make_fleet", "state_cost", "timeline_bytes", "window_cost"]

INSTANCES_PER_POOL = 1_100 / 305
INSTANCES_PER_TEAM = 1_100 / 78
INSTANCES_PER_DATA_CENTRE = 50
INSTANCES_PER_RACK = 4
ROUNDS = 30
REQUEST_COUNT = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class StateCost:
    """Costs of the state of a fleet of one size.

    Args:
        instances: Number of worker instances.
        pools: Number of pools, each with one service.
        memory_bytes: Memory of the state after it was decoded from a snapshot.
        snapshot_bytes: Size of the encoded snapshot.
        encode_s: Time to encode a snapshot.
        decode_s: Time to decode a snapshot.
        apply_s: Time to apply one cordon.
        entry_s: Time to encode and decode one log entry.
        plan_s: Time to plan the maintenance of one data centre.
        plan_all_s: Time to plan the maintenance of all instances.
        dispatch_s: Time to admit one request, select its target and record its outcome.
    """

    instances: int
    pools: int
    memory_bytes: int
    snapshot_bytes: int
    encode_s: float
    decode_s: float
    apply_s: float
    entry_s: float
    plan_s: float
    plan_all_s: float
    dispatch_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WindowCost:
    """Costs of the window of the newest log entries.

    Args:
        entries: Number of entries in the window.
        memory_bytes: Memory of the whole window.
        entry_bytes: Mean size of an encoded entry.
    """

    entries: int
    memory_bytes: int
    entry_bytes: float


def timeline_bytes(events: int) -> int:
    """Return the memory of a full time line with that many events."""

    def build() -> Timeline:
        timeline = Timeline(process="bench", wall_clock_s=time.time, capacity=events)
        for number in range(events):
            subject = Subject(request=f"{number:024x}", instance="worker", service="service")
            timeline.record(EventKind.ANSWERED, subject=subject, detail="ok", duration_s=0.01)
        return timeline

    return _memory_of(build)


def make_fleet(instances: int) -> FleetState:
    """Return a fleet of that many instances, with pools and teams in the target's proportions."""
    pools = [f"pool-{number}" for number in range(round(instances / INSTANCES_PER_POOL))]
    data_centres = [f"dc{number}" for number in range(-(-instances // INSTANCES_PER_DATA_CENTRE))]
    teams = [f"team-{number}" for number in range(round(instances / INSTANCES_PER_TEAM))]
    members = {}
    for number in range(instances):
        name = f"worker-{instances}-{number:05}"
        members[name] = Instance(
            name=name,
            data_centre=data_centres[number // INSTANCES_PER_DATA_CENTRE],
            rack=f"rack-{number // INSTANCES_PER_RACK}",
            pool=pools[number % len(pools)],
            address=f"10.{number // 250}.0.{number % 250}:8080",
            slots=8,
            processors=64,
            memory_bytes=256 << 30,
        )
    return FleetState(
        revision=1,
        data_centres={name: DataCentre(name=name, region="r") for name in data_centres},
        pools={name: Pool(name=name) for name in pools},
        services={
            f"service-{name}": Service(
                name=f"service-{name}", pool=name, share=1, max_unavailable=1
            )
            for name in pools
        },
        teams={name: Team(name=name, quota_slots=100) for name in teams},
        instances=members,
    )


def state_cost(instances: int) -> StateCost:
    """Measure the costs of a fleet of that many instances."""
    state = make_fleet(instances)
    Snapshot.decode(Snapshot(state=FleetState(), last_change_id="c").encode())
    encoded = Snapshot(state=state, last_change_id="c").encode()
    first = next(iter(state.instances))
    cordon = SetCondition(names=(first,), condition=Condition.CORDONED)
    entry = _make_entry(2, cordon)
    planner = Planner(weights=PlannerWeights(), model=DisruptionModel())
    maintain_data_centre = Maintain(selection=InDataCentre(data_centre="dc0"))
    maintain_all = Maintain(selection=NotMaintainedSince(before_s=1.0))
    return StateCost(
        instances=instances,
        pools=len(state.pools),
        memory_bytes=_memory_of(lambda: Snapshot.decode(encoded)),
        snapshot_bytes=len(encoded),
        encode_s=_min_time_s(lambda: Snapshot(state=state, last_change_id="c").encode()),
        decode_s=_min_time_s(lambda: Snapshot.decode(encoded)),
        apply_s=_min_time_s(lambda: apply(state, cordon).unwrap()),
        entry_s=_min_time_s(lambda: Entry.decode(entry.encode())),
        plan_s=_min_time_s(
            lambda: planner.plan(state, maintain_data_centre, author="bench").unwrap(), rounds=5
        ),
        plan_all_s=_min_time_s(
            lambda: planner.plan(state, maintain_all, author="bench").unwrap(), rounds=2
        ),
        dispatch_s=min(asyncio.run(_dispatch_s(state)) for _ in range(5)),
    )


def window_cost(entries: int) -> WindowCost:
    """Measure a window of that many entries, decoded as entries from peers are."""
    encoded = [
        _make_entry(
            number + 1,
            SetCondition(names=(f"worker-{entries}-{number:05}",), condition=Condition.CORDONED),
        ).encode()
        for number in range(entries)
    ]

    def build() -> EntryWindow:
        window = EntryWindow()
        for data in encoded:
            window.append(Entry.decode(data))
        return window

    return WindowCost(
        entries=entries,
        memory_bytes=_memory_of(build),
        entry_bytes=sum(map(len, encoded)) / entries,
    )


def _make_entry(revision: int, change: Any) -> Entry:
    change_id = f"{revision:024x}"
    return Entry(revision=revision, change_id=change_id, author="kari", at_s=1.5, change=change)


def _memory_of(build: Callable[[], object]) -> int:
    """Return the memory of a new object whose strings are decoded for the first time.

    The decoder caches short strings, so a second decoding would not count their memory.
    """
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


def _min_time_s(function: Callable[[], object], *, rounds: int = ROUNDS) -> float:
    """Return the shortest time of several rounds, the one least disturbed by other processes."""
    best_s = float("inf")
    for _ in range(rounds):
        started_s = time.perf_counter()
        function()
        best_s = min(best_s, time.perf_counter() - started_s)
    return best_s


class _FixedConfig:
    def __init__(self, state: FleetState) -> None:
        self._state = state

    def state(self) -> FleetState:
        return self._state

    def staleness_s(self) -> float:
        return 0.0

    async def wait_for(self, revision: int) -> FleetState:
        raise NotImplementedError(revision)


async def _dispatch_s(state: FleetState) -> float:
    dispatcher = PoolDispatcher(
        config=_FixedConfig(state),
        data_centre="dc0",
        entry_count=lambda: 1,
        limits=DispatchLimits(),
        metrics=Metrics(),
        timeline=Timeline(process="bench", wall_clock_s=time.time),
        rng=Random(1),
    )
    services = sorted(state.services)
    deadline_s = asyncio.get_running_loop().time() + 600
    started_s = time.perf_counter()
    for number in range(REQUEST_COUNT):
        request = Request(
            request_id=f"r{number}",
            service=services[number % min(len(services), 20)],
            team="",
            request_class=RequestClass.INTERACTIVE,
            deadline_s=deadline_s,
            idempotent=True,
            idempotency_key="",
            method="GET",
            path="/",
            headers=(),
            body=b"",
        )
        grant = (await dispatcher.acquire(request, tried=frozenset())).unwrap()
        dispatcher.release(grant, AttemptOutcome.ANSWERED, duration_s=0.01)
    return (time.perf_counter() - started_s) / REQUEST_COUNT
