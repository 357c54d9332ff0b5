"""Cost of the configuration: applying changes, snapshots, loading, proposing and watching.

The store is the platform stand-in, which runs in a process of its own and is called over HTTP.
Figures that involve the store include its time.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time
import tracemalloc
import zlib
from collections.abc import Callable

import urllib3
from returns.result import Success

from bench._peer_nodes import Node, free_address, wait_linked
from bench._processes import serving
from shallotworks.config import Compactor, ConfigStore, Snapshot
from shallotworks.fleet import (
    Change,
    Condition,
    DataCentre,
    FleetState,
    Instance,
    MoveInstance,
    PlanRecord,
    PlanState,
    Pool,
    PutService,
    Service,
    SetCondition,
    SetHealth,
    Team,
    apply,
)
from shallotworks.kv import HttpKeyValueStore, PlatformLimits
from shallotworks.metrics import Metrics
from shallotworks.timeline import Timeline

SIZES = (275, 550, 1_100, 2_200)
INSTANCES_PER_POOL = 3.6
TARGET_INSTANCES = 1_100
ENDED_PLAN_COUNT = 200
INSTANCES_PER_PLAN = 4
APPLY_COUNT = 2_000
PROPOSAL_COUNT = 300
RACING_PROPOSERS = 4
WATCHER_COUNT = 8
PEER_COUNT = 9
UNTHROTTLED_LIMITS = PlatformLimits(rate_per_s=5_000, burst=5_000)


def main() -> None:
    """Print the figures."""
    _measure_state()
    with serving("bench._platform") as port:
        address = f"127.0.0.1:{port}"
        asyncio.run(_measure_log(address))


def make_fleet(instances: int) -> FleetState:
    """Return a fleet of that many instances, with its other records in the target's proportions."""
    rng = random.Random(instances)
    pools = round(instances / INSTANCES_PER_POOL)
    pool_names = [f"pool-{number:04d}" for number in range(pools)]
    centres = [f"centre-{number:02d}" for number in range(22)]
    names = [f"worker-{number:05d}" for number in range(instances)]
    plans = [_ended_plan(number, names, rng) for number in range(ENDED_PLAN_COUNT)]
    return FleetState(
        revision=6_000,
        data_centres={
            name: DataCentre(name=name, region=f"region-{number % 6}")
            for number, name in enumerate(centres)
        },
        pools={name: Pool(name=name) for name in pool_names},
        services={
            f"service-{number:04d}": Service(
                name=f"service-{number:04d}", pool=pool, share=0.5, max_unavailable=2
            )
            for number, pool in enumerate(pool_names)
        },
        teams={f"team-{n:02d}": Team(name=f"team-{n:02d}", quota_slots=100) for n in range(78)},
        instances={
            name: Instance(
                name=name,
                data_centre=centres[number % len(centres)],
                rack=f"rack-{number // 4:04d}",
                pool=pool_names[number % pools],
                address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080",
                slots=8,
                processors=64,
                memory_bytes=256 << 30,
                maintained_at_s=1.79e9 + rng.random() * 3e6,
            )
            for number, name in enumerate(names)
        },
        plans={plan.digest: plan for plan in plans},
    )


def _ended_plan(number: int, names: list[str], rng: random.Random) -> PlanRecord:
    return PlanRecord(
        digest=f"{rng.getrandbits(256):064x}",
        intent=f"drain rack rack-{number:04d}",
        confirmed_by="kari",
        confirmed_at_s=1.79e9 + number,
        base_revision=number,
        instances=tuple(rng.sample(names, INSTANCES_PER_PLAN)),
        state=PlanState.DONE,
        fencing_token=number,
        steps_done=INSTANCES_PER_PLAN,
        ended_at_s=1.79e9 + number + 600,
        outcome="all steps done",
    )


def _measure_state() -> None:
    print("instances  pools  apply us: condition  health  service  move   JSON kB  packed kB")
    print("                  encode ms  pack ms  decode ms  memory kB")
    for instances in SIZES:
        state = make_fleet(instances)
        snapshot = Snapshot(state=state, last_change_id="0" * 24)
        encoded = snapshot.encode()
        packed = zlib.compress(encoded, 6)
        costs = [_apply_us(state, change) for change in _changes(state)]
        print(
            f"{instances:9d}  {len(state.pools):5d}"
            f"            {costs[0]:9.1f} {costs[1]:7.1f}  {costs[2]:7.1f}  {costs[3]:4.1f}"
            f"  {len(encoded) / 1e3:8.0f}  {len(packed) / 1e3:9.0f}"
        )
        print(
            f"                  {_median_ms(snapshot.encode):9.1f}"
            f"  {_median_ms(lambda data=encoded: zlib.compress(data, 6)):7.1f}"
            f"  {_median_ms(lambda data=encoded: Snapshot.decode(data)):9.1f}"
            f"  {_memory_kb(encoded):9.0f}",
            flush=True,
        )


def _changes(state: FleetState) -> tuple[Change, ...]:
    name = "worker-00000"
    pool = state.instances[name].pool
    return (
        SetCondition(names=(name,), condition=Condition.CORDONED),
        SetHealth(names=(name,), healthy=False),
        PutService(service=Service(name="service-0000", pool=pool, share=0.4, max_unavailable=2)),
        MoveInstance(name=name, from_pool=pool, to_pool="pool-0001"),
    )


def _apply_us(state: FleetState, change: Change) -> float:
    if isinstance(change, MoveInstance):
        cordon = SetCondition(names=(change.name,), condition=Condition.CORDONED)
        state = apply(state, cordon).unwrap()
    assert isinstance(apply(state, change), Success)
    started_s = time.perf_counter()
    for _ in range(APPLY_COUNT):
        apply(state, change)
    return (time.perf_counter() - started_s) / APPLY_COUNT * 1e6


def _median_ms(function: Callable[[], object]) -> float:
    times_s = []
    for _ in range(7):
        started_s = time.perf_counter()
        function()
        times_s.append(time.perf_counter() - started_s)
    return statistics.median(times_s) * 1e3


def _memory_kb(encoded: bytes) -> float:
    tracemalloc.start()
    snapshot = Snapshot.decode(encoded)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del snapshot
    return size / 1e3


async def _measure_log(address: str) -> None:
    stores: list[HttpKeyValueStore] = []

    def process(name: str) -> ConfigStore:
        metrics = Metrics()
        timeline = Timeline(process=name, wall_clock_s=time.time)
        store = HttpKeyValueStore(
            address=address, metrics=metrics, timeline=timeline, limits=UNTHROTTLED_LIMITS
        )
        stores.append(store)
        return ConfigStore(
            store=store,
            metrics=metrics,
            timeline=timeline,
            wall_clock_s=time.time,
            rng=random.Random(name),
        )

    try:
        author = process("author")
        await _publish(author, stores[0])
        await _measure_load(process("newcomer"), address)
        await _measure_propose(author, address)
        await _measure_propose_with_peers(stores[0], address)
        await _measure_race(
            [process(f"racer-{number}") for number in range(RACING_PROPOSERS)], address
        )
        await _measure_watchers(
            author, [process(f"watcher-{n}") for n in range(WATCHER_COUNT)], address
        )
        await author.close()
    finally:
        for store in stores:
            store.close()


async def _publish(author: ConfigStore, store: HttpKeyValueStore) -> None:
    author.install_snapshot(Snapshot(state=make_fleet(TARGET_INSTANCES), last_change_id="0" * 24))
    compactor = Compactor(store=store, metrics=Metrics())
    started_s = time.perf_counter()
    (await compactor.compact(author.snapshot())).unwrap()
    print(
        f"snapshot of {TARGET_INSTANCES} written: {(time.perf_counter() - started_s) * 1e3:.0f} ms"
    )
    (await author.load()).unwrap()


async def _measure_load(new_replica: ConfigStore, address: str) -> None:
    before = _calls(address)
    started_s = time.perf_counter()
    revision = (await new_replica.load()).unwrap()
    elapsed_ms = (time.perf_counter() - started_s) * 1e3
    print(
        f"process loads revision {revision}: {elapsed_ms:.0f} ms, {_calls(address) - before} calls"
    )


async def _measure_propose(author: ConfigStore, address: str) -> None:
    before = _calls(address)
    times_ms = []
    for number in range(PROPOSAL_COUNT):
        started_s = time.perf_counter()
        (await author.propose(_toggle(number), author="bench")).unwrap()
        times_ms.append((time.perf_counter() - started_s) * 1e3)
    calls = (_calls(address) - before) / PROPOSAL_COUNT
    print(f"propose, alone: {_format_quantiles(times_ms)}, {calls:.2f} calls a change")


async def _measure_propose_with_peers(store: HttpKeyValueStore, address: str) -> None:
    """Measure changes at one of several processes that ask each other around each write."""
    addresses = tuple(free_address() for _ in range(PEER_COUNT))
    nodes = [
        Node(name=f"node-{n}", address=own, data_centre="a", seeds=addresses, store=store)
        for n, own in enumerate(addresses)
    ]
    for node in nodes:
        await node.peers.start()
    await wait_linked(nodes, lambda _: PEER_COUNT - 1)
    (await nodes[0].config.load()).unwrap()
    sent_bytes = nodes[0].peers.status().sent_bytes
    print(f"with {PEER_COUNT - 1} peers, ", end="")
    await _measure_propose(nodes[0].config, address)
    sent_bytes = nodes[0].peers.status().sent_bytes - sent_bytes
    print(f"  sent to them: {sent_bytes / PROPOSAL_COUNT:.0f} bytes a change, entries included")
    for node in nodes:
        await node.peers.stop()
        await node.config.close()


async def _measure_race(racers: list[ConfigStore], address: str) -> None:
    for racer in racers:
        (await racer.load()).unwrap()
    before = _calls(address)
    times_ms: list[float] = []

    async def propose_some(racer: ConfigStore, offset: int) -> None:
        for number in range(PROPOSAL_COUNT // RACING_PROPOSERS):
            started_s = time.perf_counter()
            change = _toggle(offset + number * RACING_PROPOSERS)
            (await racer.propose(change, author="bench")).unwrap()
            times_ms.append((time.perf_counter() - started_s) * 1e3)

    await asyncio.gather(*(propose_some(racer, n) for n, racer in enumerate(racers)))
    calls = (_calls(address) - before) / len(times_ms)
    print(
        f"propose, {RACING_PROPOSERS} at once: {_format_quantiles(times_ms)},"
        f" {calls:.2f} calls a change"
    )


async def _measure_watchers(author: ConfigStore, watchers: list[ConfigStore], address: str) -> None:
    (await author.load()).unwrap()
    tasks = [asyncio.create_task(store.run_watch(should_watch=lambda: True)) for store in watchers]
    for watcher in watchers:
        await watcher.wait_for(author.revision())
    await asyncio.sleep(0.2)
    before = _calls(address)
    times_ms = []
    for number in range(PROPOSAL_COUNT // 3):
        accepted = (await author.propose(_toggle(number), author="bench")).unwrap()
        started_s = time.perf_counter()
        await asyncio.gather(*(watcher.wait_for(accepted.revision) for watcher in watchers))
        times_ms.append((time.perf_counter() - started_s) * 1e3)
    calls = (_calls(address) - before) / len(times_ms)
    print(
        f"accepted to in force at the last of {WATCHER_COUNT} watchers:"
        f" {_format_quantiles(times_ms)},"
        f" {calls:.2f} calls a change"
    )
    before, started_s = _calls(address), time.perf_counter()
    await asyncio.sleep(20)
    rate = (_calls(address) - before) / (time.perf_counter() - started_s) / WATCHER_COUNT
    print(f"an idle watcher: {rate:.2f} calls/s")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _toggle(number: int) -> Change:
    return SetHealth(names=(f"worker-{number % 1_000:05d}",), healthy=number % 2 == 0)


def _calls(address: str) -> int:
    answer = urllib3.request("GET", f"http://{address}/admin/v1/calls")
    return sum(answer.json()["calls"].values())


def _format_quantiles(times_ms: list[float]) -> str:
    ordered = sorted(times_ms)
    return (
        f"p50 {statistics.median(ordered):.1f} ms, p99 {ordered[int(len(ordered) * 0.99)]:.1f} ms"
    )
