"""Property tests of one idempotency key under random faults of the store and the processes."""

import asyncio
import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from shallotworks.metrics import Metrics
from shallotworks.requests import Claim, IdempotencyLimits, Response, StoreIdempotencyGuard
from shallotworks.standins import MemoryStore, StoreFaults
from tests.dispatch_fakes import make_request, run_on_virtual_clock

PROCESSES = 3
WHICH = st.integers(0, PROCESSES - 1)
FAULTS = [
    {},
    {"down": True},
    {"lost_answers": 1},
    {"lost_answers": 2, "delay_s": 0.4},
    {"delay_s": 8.0},
    {"stale": True},
    {"stale": True, "lost_answers": 1},
]
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("claim"), WHICH, st.sampled_from([False, False, False, True])),
        st.tuples(st.just("hang_up"), st.integers(0, 3)),
        st.tuples(
            st.just("end"),
            st.sampled_from(["complete_claim", "release_claim", "mark_outcome_unknown"]),
        ),
        st.tuples(st.just("reconcile"), WHICH),
        st.tuples(st.just("replace"), WHICH),
        st.tuples(st.just("faults"), st.sampled_from(FAULTS)),
        st.tuples(st.just("wait"), st.sampled_from([0.0, 0.3, 2.0, 60.0])),
    ),
    min_size=10,
    max_size=60,
)


class KeyHistory:
    """Runs drawn steps against one key and checks that its request runs at most once."""

    def __init__(self, case: unittest.TestCase) -> None:
        self.case = case
        self.store = MemoryStore()
        self.numbers = itertools.count(1)
        self.live: set[str] = set()
        self.names = [""] * PROCESSES
        self.guards = [self.process(which) for which in range(PROCESSES)]
        self.claiming: list[tuple[StoreIdempotencyGuard, asyncio.Task]] = []
        self.holder: tuple[StoreIdempotencyGuard, Claim] | None = None
        self.ran = False
        self.answer: Response | None = None
        self.background: list[asyncio.Task] = []

    def process(self, which: int) -> StoreIdempotencyGuard:
        name = self.names[which] = f"e{next(self.numbers)}"
        self.live.add(name)
        return StoreIdempotencyGuard(
            store=self.store,
            process=name,
            is_live=self.live.__contains__,
            new_id=lambda: f"id-{next(self.numbers)}",
            limits=IdempotencyLimits(),
            metrics=Metrics(),
        )

    async def run(self, steps: list[tuple]) -> None:
        for step in steps:
            if step[0] == "wait":
                await asyncio.sleep(step[1])
            else:
                getattr(self, step[0])(*step[1:])
            for _ in range(4):
                await asyncio.sleep(0)
            self.collect()
        for task in self.background + [task for _, task in self.claiming]:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)

    def claim(self, which: int, other_key: bool) -> None:
        deadline_s = asyncio.get_running_loop().time() + 5.0
        key = f"k{next(self.numbers)}" if other_key else "k"
        request = make_request("r", "parts", key=key, idempotent=False, deadline_s=deadline_s)
        task = asyncio.create_task(self.guards[which].claim(request))
        if other_key:
            self.background.append(task)
        else:
            self.claiming.append((self.guards[which], task))

    def hang_up(self, number: int) -> None:
        if self.claiming:
            self.claiming[number % len(self.claiming)][1].cancel()

    def end(self, how: str) -> None:
        if self.holder is None:
            return
        guard, claim = self.holder
        self.holder = None
        if how == "complete_claim":
            self.ran = True
            self.answer = Response(status=200, headers=(), body=str(next(self.numbers)).encode())
            self.run_in_background(guard.complete_claim(claim, self.answer))
        elif how == "release_claim":
            self.run_in_background(guard.release_claim(claim))
        else:
            self.ran = True
            self.run_in_background(guard.mark_outcome_unknown(claim))

    def reconcile(self, which: int) -> None:
        self.run_in_background(self.guards[which].reconcile())

    def replace(self, which: int) -> None:
        """Replace a crashed process; a request that it was running may have run."""
        self.live.discard(self.names[which])
        if self.holder is not None and self.holder[0] is self.guards[which]:
            self.ran = True
            self.holder = None
        for guard, task in self.claiming:
            if guard is self.guards[which]:
                task.cancel()
        self.guards[which] = self.process(which)

    def faults(self, faults: dict) -> None:
        self.store.set_faults(StoreFaults(**faults))

    def run_in_background(self, work: object) -> None:
        self.background.append(asyncio.create_task(work))  # type: ignore[arg-type]

    def collect(self) -> None:
        done = [entry for entry in self.claiming if entry[1].done()]
        self.claiming = [entry for entry in self.claiming if not entry[1].done()]
        for guard, task in done:
            if not task.cancelled():
                self.check_claim(guard, task)

    def check_claim(self, guard: StoreIdempotencyGuard, task: asyncio.Task) -> None:
        outcome = task.result()
        if not isinstance(outcome, Success):
            return
        claim = outcome.unwrap()
        if claim.stored is not None:
            self.case.assertEqual(claim.stored, self.answer, "not the first run's answer")
            return
        self.case.assertFalse(self.ran, "a key that has run was claimed again")
        self.case.assertIsNone(self.holder, "two processes hold the key at once")
        self.holder = (guard, claim)


class KeyHistoryTests(unittest.TestCase):
    @settings(max_examples=300)
    @given(steps=STEPS)
    def test_any_history(self, steps: list[tuple]) -> None:
        """A key has one holder at a time, runs at most once, and repeats get its answer.

        Callers hang up, processes crash, and the store is down, slow, stale or loses answers.
        """

        async def scenario() -> None:
            await KeyHistory(self).run(steps)

        run_on_virtual_clock(scenario)
