"""Compares dispatch with simple baselines: ``python -m bench dispatch``.

Times are simulated on a virtual clock, except for the cost per call at the end.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from tests.dispatch_fakes import (
    make_fleet,
    make_harness,
    make_instances,
    make_request,
    run_on_virtual_clock,
)

from bench._dispatch_baselines import (
    FirstComeFirstServed,
    LeastInFlight,
    RandomChoice,
    UnlimitedRetry,
)
from bench._dispatch_load import Entry, FakeTarget, Load, Tally, offer
from shallotworks.fleet import FleetState, Service
from shallotworks.metrics import Metrics
from shallotworks.requests import (
    AttemptOutcome,
    BudgetedRetryPolicy,
    DispatchLimits,
    RequestClass,
    RetryLimits,
    TargetSelector,
)

SEEDS = (1, 2, 3, 4, 5)
WORKERS = 8
SLOTS = 8
ENTRIES = 2
CAPACITY = WORKERS * SLOTS
INTERACTIVE_WORK_S = 0.05
INTERACTIVE_WITHIN_S = 1.0
LONG_RUNNING_WORK_S = 1.0
LONG_RUNNING_WITHIN_S = 600.0
INTERACTIVE_LOAD = 0.3
WARM_UP_S = 10.0
END_S = 40.0
PROBES_START_S = 2.4
GOODPUT_WARM_UP_S = 3.0
GOODPUT_END_S = 9.0
UNLIMITED = 1_000_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Setup:
    """One variant of dispatch.

    Args:
        name: Label in the tables.
        first_come: Whether to use the baseline that serves in order of arrival.
        selector: Makes the target selector; ``None`` for the default.
        limits: Limits of the dispatcher.
        budget: Whether retries have a budget.
        entries: Number of entry instances.
        divided_by: Number of entry instances that the slots are divided among; 0 for ``entries``.
    """

    name: str
    first_come: bool = False
    selector: Callable[[random.Random], TargetSelector] | None = None
    limits: DispatchLimits = DispatchLimits()  # noqa: RUF009
    budget: bool = True
    entries: int = ENTRIES
    divided_by: int = 0


SHALLOTWORKS = Setup(name="shallotworks")
FIRST_COME = Setup(name="first come first served", first_come=True)
RANDOM = Setup(name="random choice", selector=RandomChoice)
LEAST_IN_FLIGHT = Setup(name="least in flight", selector=lambda _rng: LeastInFlight())
NO_EJECTION_LIMITS = DispatchLimits(failures_to_eject=UNLIMITED, refusals_to_eject=UNLIMITED)
NO_EJECTION = Setup(name="no ejection", limits=NO_EJECTION_LIMITS)
NO_BUDGET = Setup(name="no retry budget", budget=False)
NO_EJECTION_NO_BUDGET = Setup(
    name="no ejection, no retry budget", limits=NO_EJECTION_LIMITS, budget=False
)


class PoolSimulation:
    """The targets of one pool and their entry instances, for one seed."""

    def __init__(self, setup: Setup, seed: int, *, slots: int = SLOTS) -> None:
        self.rng = random.Random(seed)
        members = make_instances(WORKERS, slots=slots)
        self.targets = {name: FakeTarget(instance=entry) for name, entry in members.items()}
        self.entries = [self._entry(setup, seed, rank) for rank in range(setup.entries)]

    def _entry(self, setup: Setup, seed: int, rank: int) -> Entry:
        rng = random.Random(f"{setup.name}{seed}-{rank}")
        members = {name: entry.instance for name, entry in self.targets.items()}
        retry = UnlimitedRetry()
        if setup.budget:
            retry = BudgetedRetryPolicy(limits=RetryLimits(), metrics=Metrics(), rng=rng)
        if setup.first_come:
            dispatcher = FirstComeFirstServed(
                members=members, entry_count=lambda: setup.entries, rng=rng
            )
            return Entry(dispatcher=dispatcher, retry=retry)
        harness = make_harness(
            make_fleet(members),
            limits=setup.limits,
            seed=seed * 100 + rank,
            selector=setup.selector(rng) if setup.selector else None,
            entries=setup.divided_by or setup.entries,
            rank=rank,
        )
        return Entry(dispatcher=harness.dispatcher, retry=retry)

    async def offer(
        self, *loads: Load, from_s: float = WARM_UP_S, until_s: float = END_S
    ) -> list[Tally]:
        """Offer several streams concurrently; return the tally of each."""
        return await asyncio.gather(
            *(
                offer(
                    load,
                    self.entries,
                    self.targets,
                    rng=random.Random(self.rng.random()),
                    from_s=from_s,
                    until_s=until_s,
                )
                for load in loads
            )
        )


def interactive(part: float) -> Load:
    """Return an interactive load that needs ``part`` times the slots of all targets."""
    return Load(
        request_class=RequestClass.INTERACTIVE,
        per_s=part * CAPACITY / INTERACTIVE_WORK_S,
        mean_work_s=INTERACTIVE_WORK_S,
        within_s=INTERACTIVE_WITHIN_S,
    )


def long_running(part: float) -> Load:
    """Return a long-running load that needs ``part`` times the slots of all targets."""
    return Load(
        request_class=RequestClass.LONG_RUNNING,
        per_s=part * CAPACITY / LONG_RUNNING_WORK_S,
        mean_work_s=LONG_RUNNING_WORK_S,
        within_s=LONG_RUNNING_WITHIN_S,
    )


def medians(measure: Callable[[int], Awaitable[list[float]]]) -> list[float]:
    """Return the median of each figure over the seeds."""
    rows = [run_on_virtual_clock(lambda seed=seed: measure(seed)) for seed in SEEDS]
    return [sorted(column)[len(column) // 2] for column in zip(*rows, strict=True)]


def classes() -> None:
    """Print interactive latency and long-running throughput at 3 times the capacity offered."""
    print(f"\nclasses: interactive fills {INTERACTIVE_LOAD} of the slots, long-running offers 3.0")
    print(f"{'':30}{'p50 ms':>9}{'p99 ms':>9}{'refused':>9}{'long part of rest':>19}")
    for setup in (SHALLOTWORKS, FIRST_COME):
        for offered in (0.0, 3.0):

            async def measure(seed: int, setup: Setup = setup, offered: float = offered) -> list:
                simulation = PoolSimulation(setup, seed)
                loads = [interactive(INTERACTIVE_LOAD)]
                if offered:
                    loads.append(long_running(offered))
                tallies = await simulation.offer(*loads)
                first = tallies[0]
                rest = CAPACITY * (END_S - WARM_UP_S) - first.work_s
                used = tallies[1].work_s / rest if offered else 0.0
                refused = (first.refused + first.late + first.failed) / first.offered
                return [first.quantile_ms(0.5), first.quantile_ms(0.99), refused, used]

            row = medians(measure)
            name = f"{setup.name}, {'loaded' if offered else 'unloaded'}"
            print(f"{name:34}{row[0]:5.1f}{row[1]:9.1f}{row[2]:9.4f}{row[3]:19.3f}")


def goodput() -> None:
    """Print the rate of answers within the deadline at 0.8 to 5 times the capacity."""
    print("\ngoodput: interactive only, answers within the deadline, part of the capacity")
    parts = (0.8, 1.0, 2.0, 5.0)
    print(f"{'':30}" + "".join(f"{part:>9}" for part in parts) + f"{'p99 at 5':>12}")
    for setup in (SHALLOTWORKS, FIRST_COME):
        figures, p99 = [], 0.0
        for part in parts:

            async def measure(seed: int, setup: Setup = setup, part: float = part) -> list:
                simulation = PoolSimulation(setup, seed)
                (tally,) = await simulation.offer(
                    interactive(part), from_s=GOODPUT_WARM_UP_S, until_s=GOODPUT_END_S
                )
                per_s = tally.answered / (GOODPUT_END_S - GOODPUT_WARM_UP_S)
                return [per_s * INTERACTIVE_WORK_S / CAPACITY, tally.quantile_ms(0.99)]

            row = medians(measure)
            figures.append(row[0])
            p99 = row[1]
        print(f"{setup.name:30}" + "".join(f"{f:9.3f}" for f in figures) + f"{p99:10.0f}ms")


def retries() -> None:
    """Print attempts per request and failed requests while a third of the targets fail quickly."""
    print("\nretries: a third of the targets fail quickly, load 0.5, after 10 s")
    print(f"{'':34}{'attempts/request':>17}{'failed':>9}{'p99 ms':>9}")
    for setup in (SHALLOTWORKS, NO_EJECTION, NO_BUDGET, NO_EJECTION_NO_BUDGET):

        async def measure(seed: int, setup: Setup = setup) -> list:
            simulation = PoolSimulation(setup, seed)
            failing = list(simulation.targets.values())[: round(WORKERS / 3)]

            def fail() -> None:
                for target in failing:
                    target.fails = True

            asyncio.get_running_loop().call_at(WARM_UP_S, fail)
            (tally,) = await simulation.offer(interactive(0.5))
            failed = (tally.failed + tally.refused + tally.late) / tally.offered
            return [tally.attempts / tally.offered, failed, tally.quantile_ms(0.99)]

        row = medians(measure)
        print(f"{setup.name:34}{row[0]:17.3f}{row[1]:9.4f}{row[2]:9.1f}")


def ejection() -> None:
    """Print the time from a target's fault to its last attempt before probes, and failures."""
    print("\nejection: one target of 8 becomes faulty after 10 s, load 0.5")
    print(f"{'':34}{'last attempt before probes':>26}{'attempts, 30 s':>15}{'failed':>9}")
    for fault in ("fails", "silent"):
        for setup in (SHALLOTWORKS, NO_EJECTION):

            async def measure(seed: int, setup: Setup = setup, fault: str = fault) -> list:
                simulation = PoolSimulation(setup, seed)
                faulty = simulation.targets["w0"]
                asyncio.get_running_loop().call_at(WARM_UP_S, setattr, faulty, fault, True)
                seen = {}

                def record_last_attempt() -> None:
                    seen["last"] = faulty.last_attempt_s - WARM_UP_S

                asyncio.get_running_loop().call_at(WARM_UP_S + PROBES_START_S, record_last_attempt)
                (tally,) = await simulation.offer(interactive(0.5))
                failed = (tally.failed + tally.refused + tally.late) / tally.offered
                return [seen["last"], faulty.attempts_while_faulty, failed]

            row = medians(measure)
            name = f"{setup.name}, {fault}"
            print(f"{name:34}{row[0]:25.3f}s{row[1]:15.0f}{row[2]:9.4f}")


def herding() -> None:
    """Print how many attempts targets refuse when each process knows only its own load."""
    print("\nchoice: load 0.7, slots not divided among the entries, so that targets must refuse")
    print(f"{'':34}{'entries':>8}{'refused attempts':>18}{'p99 ms':>9}")
    for entries in (2, 6):
        for setup in (SHALLOTWORKS, LEAST_IN_FLIGHT, RANDOM):
            undivided = replace(setup, entries=entries, divided_by=1)

            async def measure(seed: int, setup: Setup = undivided) -> list:
                simulation = PoolSimulation(setup, seed)
                (tally,) = await simulation.offer(interactive(0.7), until_s=20.0)
                refusals = sum(target.refusals for target in simulation.targets.values())
                return [refusals / tally.attempts, tally.quantile_ms(0.99)]

            row = medians(measure)
            print(f"{setup.name:34}{entries:8}{row[0]:18.4f}{row[1]:9.1f}")


def division() -> None:
    """Compare slots divided among the entry instances with limits that only targets enforce."""
    print("\ndivision: interactive load, evenly over 2 entries or all at one")
    print(
        f"{'':34}{'load':>6}{'at':>6}{'answered in time':>18}{'refused attempts':>18}{'p99 ms':>9}"
    )
    for name, divided_by in (("divided", ENTRIES), ("limits at the target", 1)):
        for part, entry in ((0.6, None), (0.6, 0), (2.0, None)):
            setup = replace(SHALLOTWORKS, divided_by=divided_by)

            async def measure(
                seed: int, setup: Setup = setup, part: float = part, entry: int | None = entry
            ) -> list:
                simulation = PoolSimulation(setup, seed)
                load = replace(interactive(part), entry=entry)
                (tally,) = await simulation.offer(
                    load, from_s=GOODPUT_WARM_UP_S, until_s=GOODPUT_END_S
                )
                refusals = sum(target.refusals for target in simulation.targets.values())
                offered_s = (
                    part * CAPACITY / INTERACTIVE_WORK_S * (GOODPUT_END_S - GOODPUT_WARM_UP_S)
                )
                good = tally.answered / offered_s
                return [good, refusals / max(1, tally.attempts), tally.quantile_ms(0.99)]

            row = medians(measure)
            where = "one" if entry is not None else "both"
            print(f"{name:34}{part:6}{where:>6}{row[0]:18.3f}{row[1]:18.4f}{row[2]:9.1f}")


def cost() -> None:
    """Print the real time of one acquire and release, for a small fleet and the target size."""
    print("\ncost: real time per acquire and release, one process")
    for name, state in (
        ("40 workers, 5 pools", small_fleet()),
        ("1,100 workers, 305 pools", target_fleet()),
    ):
        row = [asyncio.run(_acquire_cost_s(state, seed)) for seed in SEEDS]
        print(f"{name:34}{sorted(row)[len(row) // 2] * 1e6:9.1f} us")
    for waiting in (1_000, 10_000):
        rows = [asyncio.run(_queue_costs_s(waiting)) for _ in SEEDS]
        enter, cancel = (sorted(column)[len(rows) // 2] * 1e6 for column in zip(*rows, strict=True))
        print(f"{waiting:6} waiting: {enter:.1f} us to enter the queue, {cancel:.1f} us to cancel")


async def _acquire_cost_s(state: FleetState, seed: int) -> float:
    harness = make_harness(state, seed=seed)
    rng = random.Random(seed)
    services = list(state.services)
    deadline_s = asyncio.get_running_loop().time() + 1000
    requests = [
        make_request(f"r{number}", rng.choice(services), deadline_s=deadline_s)
        for number in range(20_000)
    ]
    await harness.dispatcher.acquire(requests[0], tried=frozenset())
    started_s = time.perf_counter()
    for request in requests[1:]:
        grant = (await harness.dispatcher.acquire(request, tried=frozenset())).unwrap()
        harness.dispatcher.release(grant, AttemptOutcome.ANSWERED, duration_s=0.01)
    return (time.perf_counter() - started_s) / (len(requests) - 1)


async def _queue_costs_s(waiting: int) -> tuple[float, float]:
    harness = make_harness(
        make_fleet(make_instances(1)), limits=DispatchLimits(waiting_min=UNLIMITED)
    )
    for _ in range(8):
        await harness.grant(within_s=1000)
    requests = [harness.request(within_s=1000) for _ in range(waiting)]
    started_s = time.perf_counter()
    tasks = [harness.ask(request) for request in requests]
    await asyncio.sleep(0)
    entered_s = time.perf_counter()
    for request in requests:
        harness.dispatcher.cancel(request.request_id)
    cancelled_s = time.perf_counter()
    await asyncio.gather(*tasks)
    return (entered_s - started_s) / waiting, (cancelled_s - entered_s) / waiting


def small_fleet() -> FleetState:
    """Return a fleet of five services with eight workers each."""
    return _make_fleet(pools=5, workers=40)


def target_fleet() -> FleetState:
    """Return a fleet of the target size."""
    return _make_fleet(pools=305, workers=1100)


def _make_fleet(*, pools: int, workers: int) -> FleetState:
    members = {}
    for number in range(workers):
        members.update(make_instances(1, pool=f"p{number % pools}", prefix=f"w{number}-"))
    state = make_fleet(members)
    services = {
        f"s{number}": Service(name=f"s{number}", pool=f"p{number}", share=1.0, max_unavailable=1)
        for number in range(pools)
    }
    return replace(state, services=services)


def main() -> None:
    """Print every table."""
    print(f"dispatch: medians over seeds {SEEDS}; {WORKERS} workers of {SLOTS} slots")
    for part in (classes, goodput, retries, ejection, herding, division, cost):
        started_s = time.perf_counter()
        part()
        print(f"  ({time.perf_counter() - started_s:.0f} s)")


if __name__ == "__main__":
    main()
