"""Costs of plans, of planning, conducting and takeover, for both users and at the target size.

Planning time and memory are real. Waves run on a virtual clock, which jumps to the next timer, with
fakes of the targets and of the configuration log, the in-memory store stand-in and real leases.
"""

from __future__ import annotations

import asyncio
import functools
import gc
import itertools
import random
import statistics
import time
import timeit
import tracemalloc
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from returns.result import Failure as Err
from returns.result import Result
from tests.plan_fakes import ConductorHarness, fjellsending, make_fleet, run, tijera

from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import (
    AdvancePlan,
    Condition,
    FleetState,
    Instance,
    SetCondition,
    apply,
    precondition_digest,
)
from shallotworks.kv import LeaseCandidate
from shallotworks.node._plan_lease import StorePlanLease
from shallotworks.plans import (
    Alternative,
    ConductorPolicy,
    DisruptionModel,
    InPool,
    Intent,
    Maintain,
    Measures,
    NotMaintainedSince,
    Plan,
    Planner,
    PlannerWeights,
)
from shallotworks.plans._measures import measure, weighted_cost
from shallotworks.plans._supply import index_supply
from shallotworks.plans._targets import actions_of
from shallotworks.standins import MemoryStore

ROUNDS = 5
SEED = 7
TARGET_INSTANCES = 1_100
TARGET_POOLS = 305
TARGET_CENTRES = 22
MAINTAIN_ALL = Maintain(selection=NotMaintainedSince(before_s=1.0))
FJELLSENDING_WEIGHTS = PlannerWeights(buffer=0.7, roll_out=0.2, moves=0.1)
TIJERA_WEIGHTS = PlannerWeights(buffer=0.1, roll_out=0.8, moves=0.1, window_s=8 * 3600)
SMALL_CASES = 20
SMALL_INSTANCES = 6
KILL_COUNT = 40
GAP_TOLERANCE = 1e-9
TICK_INTERVAL_S = 0.001


@dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """A fleet, planned with the weights of one user."""

    name: str
    state: FleetState
    weights: PlannerWeights


class ProcessStore:
    """One process's access to the store, which fails once the process is killed."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.killed = False

    def __getattr__(self, name: str) -> Any:
        return self._unreachable if self.killed else getattr(self._store, name)

    async def _unreachable(self, *_: Any, **__: Any) -> Result[Any, Failure]:
        return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason="killed"))


class LeasedConductorHarness(ConductorHarness):
    """A conductor harness whose plan leases are real leases in the store stand-in."""

    def __init__(self, state: FleetState, *, ttl_s: float = 4.0, seed: int = SEED, **rest: Any):
        super().__init__(state, **rest)
        self.stores: dict[str, ProcessStore] = {}
        self.candidates: dict[str, LeaseCandidate] = {}
        self._ttl_s = ttl_s
        self._rng = random.Random(seed)

    def plan_lease_of(self, digest: str, name: str) -> StorePlanLease:
        """Return the lease of a plan for one process, with its own access to the store."""
        self.stores[name] = ProcessStore(self.store)
        self.candidates[name] = LeaseCandidate(
            store=self.stores[name],
            lease_name=f"plan/{digest}",
            holder=name,
            metrics=self.metrics,
            timeline=self.timeline,
            rng=self._rng,
            ttl_s=self._ttl_s,
        )
        return StorePlanLease(
            candidate=self.candidates[name], is_eligible=lambda: True, held_names=set()
        )

    async def crash(self, task: asyncio.Task[None], name: str) -> None:
        """Kill a conductor: cut its access to the store, then cancel its task."""
        self.stores[name].killed = True
        task.cancel()
        await asyncio.wait((task,))


def main() -> None:
    """Print a block for each kind of measurement."""
    for case in _cases():
        _print_planning(case)
    _print_apply()
    _print_loop_delay()
    _print_distance()
    _print_store_calls()
    _print_takeover()


def _cases() -> Iterator[Case]:
    yield Case(name="Fjellsending", state=fjellsending(), weights=FJELLSENDING_WEIGHTS)
    yield Case(name="Tijera de Plata", state=tijera(), weights=TIJERA_WEIGHTS)
    target = _target_fleet()
    yield Case(name="target, buffer first", state=target, weights=FJELLSENDING_WEIGHTS)
    yield Case(name="target, roll-out first", state=target, weights=TIJERA_WEIGHTS)


def _target_fleet() -> FleetState:
    """Return 1,100 instances in 22 data centres and 305 pools of 1 to 10, with budgets of one."""
    rng = random.Random(SEED)
    sizes = [1] * TARGET_POOLS
    while sum(sizes) < TARGET_INSTANCES:
        pool = rng.randrange(TARGET_POOLS)
        sizes[pool] += sizes[pool] < 10
    return make_fleet(
        centres=tuple(f"dc{number:02d}" for number in range(TARGET_CENTRES)),
        pools={f"pool{number:03d}": size for number, size in enumerate(sizes)},
    )


def _print_planning(case: Case) -> None:
    planner = Planner(weights=case.weights, model=DisruptionModel())
    times_s = []
    for _ in range(ROUNDS):
        gc.collect()
        started_s = time.perf_counter()
        plan = planner.plan(case.state, MAINTAIN_ALL, author="bench").unwrap()
        times_s.append(time.perf_counter() - started_s)
    tracemalloc.start()
    planner.plan(case.state, MAINTAIN_ALL, author="bench").unwrap()
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"{case.name}: {len(case.state.instances)} instances, {len(case.state.pools)} pools;"
        f" planning s {statistics.median(times_s):.3f} ({min(times_s):.3f} to {max(times_s):.3f}),"
        f" peak MB {peak_bytes / 1e6:.1f}, stored KB {len(plan.encode()) / 1e3:.0f}"
    )
    for alternative in plan.alternatives:
        _print_alternative(alternative)


def _print_alternative(alternative: Alternative) -> None:
    print(
        f"  {alternative.strategy.value:<30} cost {alternative.cost:8.2f}"
        f"  slots {alternative.measures.buffer_slots:5d}"
        f"  roll-out s {alternative.measures.roll_out_s:8.0f}"
        f"  moves {alternative.measures.moves:7.1f}"
        f"  waves {alternative.measures.waves:5d}  {alternative.verdict}"
    )


def _print_apply() -> None:
    """Print the time of two steps that each process does: a wave's cordon, and a plan's basis."""
    state = _target_fleet()
    names = tuple(next(state.instances_of(pool)).name for pool in state.pools)
    cordon = SetCondition(names=names, condition=Condition.CORDONED)
    applied_s = timeit.repeat(lambda: apply(state, cordon).unwrap(), number=1, repeat=ROUNDS)
    basis_s = timeit.repeat(
        lambda: precondition_digest(state, state.instances), number=1, repeat=ROUNDS
    )
    print(
        f"target: a cordon over {len(names)} pools applied, ms"
        f" {statistics.median(applied_s) * 1e3:.1f};"
        f" basis of a plan over everything, ms {statistics.median(basis_s) * 1e3:.1f}"
    )


def _print_loop_delay() -> None:
    """Print how long planning on a thread delays the event loop, which makes all decisions."""
    planner = Planner(weights=FJELLSENDING_WEIGHTS, model=DisruptionModel())
    state = _target_fleet()
    delays_s = [asyncio.run(_loop_delay_s(planner, state)) for _ in range(ROUNDS)]
    idle_s = [asyncio.run(_loop_delay_s(None, state)) for _ in range(ROUNDS)]
    print(
        f"longest delay of the loop while the target is planned on a thread, ms"
        f" {statistics.median(delays_s) * 1e3:.1f} (idle {statistics.median(idle_s) * 1e3:.1f})"
    )


async def _loop_delay_s(planner: Planner | None, state: FleetState) -> float:
    def work() -> None:
        if planner is None:
            time.sleep(1.0)
        else:
            planner.plan(state, MAINTAIN_ALL, author="bench").unwrap()

    planning = asyncio.ensure_future(asyncio.to_thread(work))
    longest_s = 0.0
    while not planning.done():
        started_s = time.perf_counter()
        await asyncio.sleep(TICK_INTERVAL_S)
        longest_s = max(longest_s, time.perf_counter() - started_s - TICK_INTERVAL_S)
    return longest_s


def _print_distance() -> None:
    """Compare the planner with exhaustive search over all ordered partitions into waves."""
    rng = random.Random(SEED)
    for name, weights in (
        ("buffer first", FJELLSENDING_WEIGHTS),
        ("roll-out first", TIJERA_WEIGHTS),
    ):
        for keeps_one, rule in ((False, "budgets alone"), (True, "and one left per data centre")):
            gaps = [_relative_gap(rng, weights, keeps_one=keeps_one) for _ in range(SMALL_CASES)]
            exact = sum(gap < GAP_TOLERANCE for gap in gaps)
            print(
                f"distance from optimum, {name}, {rule}: {SMALL_CASES} fleets of"
                f" {SMALL_INSTANCES} instances, exhaustive search: {exact} at the optimum,"
                f" mean {statistics.mean(gaps):.2%}, worst {max(gaps):.2%}"
            )


def _relative_gap(rng: random.Random, weights: PlannerWeights, *, keeps_one: bool) -> float:
    sizes = [1, 1, 1]
    while sum(sizes) < SMALL_INSTANCES:
        sizes[rng.randrange(3)] += 1
    pools = {f"p{number}": size for number, size in enumerate(sizes)}
    state = make_fleet(centres=("x", "y"), pools=pools, budget=rng.randint(1, 2), per_rack=2)
    plan = Planner(weights=weights, model=DisruptionModel()).plan(
        state, MAINTAIN_ALL, author="bench"
    )
    chosen = plan.unwrap().measures
    all_measures = list(_all_measures(state, keeps_one=keeps_one))
    best = Measures(
        buffer_slots=min(measures.buffer_slots for measures in all_measures),
        roll_out_s=min(measures.roll_out_s for measures in all_measures),
        moves=min(measures.moves for measures in all_measures),
        waves=min(measures.waves for measures in all_measures),
    )
    least = min(weighted_cost(measures, best=best, weights=weights) for measures in all_measures)
    return weighted_cost(chosen, best=best, weights=weights) / least - 1


def _all_measures(state: FleetState, *, keeps_one: bool) -> Iterator[Measures]:
    supply = index_supply(state)
    actions = actions_of(MAINTAIN_ALL)
    for waves in _ordered_partitions(list(state.instances.values())):
        if all(_is_within_budgets(wave, state, keeps_one=keeps_one) for wave in waves):
            yield measure(waves, actions=actions, supply=supply, model=DisruptionModel())


def _ordered_partitions(entries: list[Instance]) -> Iterator[list[list[Instance]]]:
    if not entries:
        yield []
        return
    for size in range(1, len(entries) + 1):
        for first in itertools.combinations(entries, size):
            rest = [entry for entry in entries if entry not in first]
            for others in _ordered_partitions(rest):
                yield [list(first), *others]


def _is_within_budgets(wave: list[Instance], state: FleetState, *, keeps_one: bool) -> bool:
    pools = Counter(entry.pool for entry in wave)
    if any(taken > state.disruption_budget(pool) for pool, taken in pools.items()):
        return False
    if not keeps_one:
        return True
    present = Counter((entry.pool, entry.data_centre) for entry in state.instances.values())
    places = Counter((entry.pool, entry.data_centre) for entry in wave)
    return all(present[place] == 1 or taken < present[place] for place, taken in places.items())


def _print_store_calls() -> None:
    for name, state, weights in (
        ("Fjellsending", fjellsending(), FJELLSENDING_WEIGHTS),
        ("Tijera de Plata", tijera(), TIJERA_WEIGHTS),
    ):
        run(functools.partial(_store_calls, name, state, weights))


async def _store_calls(name: str, state: FleetState, weights: PlannerWeights) -> None:
    harness = LeasedConductorHarness(
        state, weights=weights, policy=ConductorPolicy(), reboot_s=300.0
    )
    harness.start_conductor()
    plan = await _propose_and_confirm(harness, MAINTAIN_ALL)
    calls_before = sum(harness.store.calls.values())
    writes_before = len(harness.config.history)
    started_s = asyncio.get_running_loop().time()
    await harness.wait_until_ended(plan.digest)
    elapsed_s = asyncio.get_running_loop().time() - started_s
    writes = len(harness.config.history) - writes_before
    changes = [change for change, _ in harness.config.history[writes_before:]]
    conditions = sum(isinstance(change, SetCondition) for change in changes)
    progress = sum(isinstance(change, AdvancePlan) for change in changes)
    lease_calls = sum(harness.store.calls.values()) - calls_before
    waves = len(plan.waves)
    print(
        f"{name}: {waves} waves in {elapsed_s:.0f} s (planned {plan.measures.roll_out_s:.0f});"
        f" changes per wave {writes / waves:.1f} ({conditions / waves:.1f} conditions,"
        f" {progress / waves:.1f} progress), lease and plan calls per wave"
        f" {lease_calls / waves:.1f}, per minute {lease_calls / elapsed_s * 60:.1f}"
    )
    await harness.stop()


def _print_takeover() -> None:
    for ttl_s in (3.0, 4.0, 10.0):
        pauses_s: list[float] = []
        for kill in range(KILL_COUNT):
            run(functools.partial(_takeover, kill, ttl_s, pauses_s))
        print(
            f"pause of a wave when its conductor is killed, lease of {ttl_s:.0f} s,"
            f" {KILL_COUNT} kills,"
            f" 3 candidates: median s {statistics.median(pauses_s):.1f},"
            f" longest {max(pauses_s):.1f}"
        )


async def _takeover(kill: int, ttl_s: float, pauses_s: list[float]) -> None:
    harness = LeasedConductorHarness(
        fjellsending(), policy=ConductorPolicy(), ttl_s=ttl_s, seed=kill
    )
    tasks = [harness.start_conductor() for _ in range(3)]
    plan = await _propose_and_confirm(harness, Maintain(selection=InPool(pool="archive")))
    await asyncio.sleep(20.0 + kill * 1.7)
    holder = next(name for name, held in harness.candidates.items() if held.is_held())
    token = max(_tokens(harness))
    await harness.crash(tasks[int(holder.rsplit("-", 1)[1])], holder)
    killed_s = asyncio.get_running_loop().time()
    while max(_tokens(harness)) == token:
        await asyncio.sleep(0.05)
    pauses_s.append(asyncio.get_running_loop().time() - killed_s)
    await harness.wait_until_ended(plan.digest)
    await harness.stop()


def _tokens(harness: ConductorHarness) -> set[int]:
    changes = (change for change, _ in harness.config.history)
    return {change.fencing_token for change in changes if isinstance(change, AdvancePlan)}


async def _propose_and_confirm(harness: ConductorHarness, intent: Intent) -> Plan:
    plan = (await harness.plan_registry.propose(intent, author="bench")).unwrap()
    (await harness.plan_registry.confirm(plan.digest, operator="bench")).unwrap()
    return plan
