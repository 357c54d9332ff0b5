"""Fake targets and callers on a virtual clock, to measure dispatch under load and faults."""

import asyncio
import random
from dataclasses import dataclass, field

from returns.result import Success
from tests.dispatch_fakes import make_request

from shallotworks.fleet import Instance
from shallotworks.requests import AttemptOutcome, Dispatcher, Request, RequestClass, RetryPolicy

__all__ = ["Entry", "FakeTarget", "Load", "Tally", "offer"]

FAST_FAILURE_S = 0.001
WORK_SIGMA = 0.5
ATTEMPT_TIMEOUT_S = 2.0


@dataclass(slots=True, kw_only=True)
class FakeTarget:
    """A target with slots that answers after the request's work time, fails, or stays silent."""

    instance: Instance
    fails: bool = False
    silent: bool = False
    in_flight: int = 0
    refusals: int = 0
    attempts_while_faulty: int = 0
    last_attempt_s: float = 0.0

    async def attempt(self, work_s: float) -> AttemptOutcome:
        self.last_attempt_s = asyncio.get_running_loop().time()
        self.attempts_while_faulty += int(self.fails or self.silent)
        if self.in_flight >= self.instance.slots:
            self.refusals += 1
            return AttemptOutcome.REFUSED
        self.in_flight += 1
        try:
            return await self._run(work_s)
        finally:
            self.in_flight -= 1

    async def _run(self, work_s: float) -> AttemptOutcome:
        if self.silent:
            await asyncio.sleep(ATTEMPT_TIMEOUT_S)
            return AttemptOutcome.TIMED_OUT
        if self.fails:
            await asyncio.sleep(FAST_FAILURE_S)
            return AttemptOutcome.TARGET_ERROR
        await asyncio.sleep(work_s)
        return AttemptOutcome.ANSWERED


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """A stream of requests with Poisson arrivals and log-normal work times.

    Args:
        request_class: Class of the requests.
        per_s: Mean arrival rate.
        mean_work_s: Mean work time of a request.
        within_s: Time from arrival to deadline.
        service: Service that is requested.
        entry: Index of the entry instance that gets all requests; ``None`` for a random one each.
    """

    request_class: RequestClass
    per_s: float
    mean_work_s: float
    within_s: float
    service: str = "trace"
    entry: int | None = None


@dataclass(slots=True, kw_only=True)
class Tally:
    """Outcomes of the requests of one stream after the warm-up."""

    offered: int = 0
    attempts: int = 0
    refused: int = 0
    late: int = 0
    failed: int = 0
    answered: int = 0
    latencies_s: list[float] = field(default_factory=list)
    work_s: float = 0.0

    def quantile_ms(self, quantile: float) -> float:
        ordered = sorted(self.latencies_s)
        if not ordered:
            return float("nan")
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] * 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """The period in which work and answers count, regardless of the arrival of the request."""

    tally: Tally
    from_s: float
    until_s: float

    def add_work(self, started_s: float, ended_s: float) -> None:
        """Add the part of an attempt's duration that lies in the period."""
        inside_s = min(ended_s, self.until_s) - max(started_s, self.from_s)
        self.tally.work_s += max(0.0, inside_s)

    def add_answer(self, at_s: float) -> None:
        """Count an answer before its deadline if it came in the period.

        Requests that are queued at the start or the end of the period then don't distort the count.
        """
        self.tally.answered += int(self.from_s <= at_s <= self.until_s)


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One entry instance: its dispatcher and its retry policy."""

    dispatcher: Dispatcher
    retry: RetryPolicy


async def offer(
    load: Load,
    entries: list[Entry],
    targets: dict[str, FakeTarget],
    *,
    rng: random.Random,
    from_s: float,
    until_s: float,
) -> Tally:
    """Offer one stream until ``until_s``; count the requests that arrive from ``from_s`` on."""
    tally = Tally()
    loop = asyncio.get_running_loop()
    running: set[asyncio.Task] = set()
    number = 0
    at_s = loop.time()
    while True:
        at_s += rng.expovariate(load.per_s)
        if at_s >= until_s:
            break
        if at_s > loop.time():
            await asyncio.sleep(at_s - loop.time())
        number += 1
        request = make_request(
            f"{load.service}-{load.request_class.value}-{id(tally)}-{number}",
            load.service,
            request_class=load.request_class,
            deadline_s=at_s + load.within_s,
        )
        median_s = load.mean_work_s / 2.718281828 ** (WORK_SIGMA**2 / 2)
        work_s = median_s * rng.lognormvariate(0.0, WORK_SIGMA)
        entry = entries[load.entry] if load.entry is not None else rng.choice(entries)
        counted_tally = tally if at_s >= from_s else Tally()
        window = Window(tally=tally, from_s=from_s, until_s=until_s)
        task = asyncio.create_task(_request(entry, request, work_s, targets, counted_tally, window))
        running.add(task)
        task.add_done_callback(running.discard)
    for task in running:
        task.cancel()
    return tally


async def _request(
    entry: Entry,
    request: Request,
    work_s: float,
    targets: dict[str, FakeTarget],
    tally: Tally,
    window: "Window",
) -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    tally.offered += 1
    entry.retry.count_first_attempt(request)
    attempts = 0
    tried: frozenset[str] = frozenset()
    while True:
        grant = await entry.dispatcher.acquire(request, tried=tried)
        if not isinstance(grant, Success):
            tally.refused += 1
            return
        granted = grant.unwrap()
        attempts += 1
        tally.attempts += 1
        sent_s = loop.time()
        outcome = AttemptOutcome.ABANDONED
        try:
            outcome = await targets[granted.target.instance].attempt(work_s)
        finally:
            window.add_work(sent_s, loop.time())
            entry.dispatcher.release(granted, outcome, duration_s=loop.time() - sent_s)
        if outcome is AttemptOutcome.ANSWERED:
            if loop.time() > request.deadline_s:
                tally.late += 1
            else:
                tally.latencies_s.append(loop.time() - started_s)
                window.add_answer(loop.time())
            return
        delay_s = entry.retry.next_delay_s(request, attempts=attempts, outcome=outcome)
        if delay_s is None:
            tally.failed += 1
            return
        tried |= {granted.target.instance}
        await asyncio.sleep(delay_s)
