"""Tests of the HTTP clients of `shallotworks.kv` against the platform stand-in."""

import asyncio
import random
import time
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized
from returns.result import Failure as Err
from returns.result import Result

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import (
    HttpInstanceList,
    HttpKeyValueStore,
    KeyValueStore,
    ListedInstance,
    PlatformLimits,
)
from shallotworks.metrics import Metrics
from shallotworks.standins import MemoryStore, PlatformStandIn, StoreFaults
from shallotworks.timeline import EventKind, Timeline

SHORT_LIMITS = PlatformLimits(
    attempt_timeout_s=0.3, deadline_s=1.2, watch_grace_s=0.3, rate_per_s=500
)
CLOSED_ADDRESS = "127.0.0.1:9"

Main = Callable[[KeyValueStore], Awaitable[None]]


async def session(store: KeyValueStore) -> list[object]:
    """Make each kind of call, and provoke each refusal that callers rely on."""
    answers: list[object] = [await store.get("a")]
    answers.append(await store.create("a/1", b"\x00\xff"))
    answers.append(await store.create("a/1", b"again"))
    answers.append(await store.compare_and_swap("a/1", b"two", version=1))
    answers.append(await store.compare_and_swap("a/1", b"three", version=1))
    answers.append(await store.create("a/2", b""))
    answers.append(await store.list("a/", after_key="a/1", limit=5))
    answers.append(await store.watch("a/", after_version=2, wait_s=1))
    answers.append(await store.watch("b/", after_version=3, wait_s=0.01))
    answers.append(await store.delete("a/2", version=9))
    answers.append(await store.delete("a/2", version=3))
    answers.append(await store.watch("a/", after_version=3, wait_s=1))
    answers.append(await store.watch("a/", after_version=99, wait_s=1))
    answers.append(await store.create("big", b"x" * 1_000_001))
    lease = (await store.grant_lease(ttl_s=60)).unwrap()
    answers.append(lease)
    answers.append(await store.create("duty", b"me", lease_id=lease.lease_id))
    answers.append(await store.renew_lease(lease.lease_id))
    answers.append(await store.revoke_lease(lease.lease_id))
    answers.append(await store.renew_lease(lease.lease_id))
    answers.append(await store.create("duty", b"me", lease_id=lease.lease_id))
    answers.append(await store.get("duty"))
    return [_comparable(entry) for entry in answers]


def _comparable(entry: object) -> object:
    # Only the kinds of failures are compared: their reasons differ between the two stores.
    return entry.failure().kind if isinstance(entry, Err) else entry


def kind_of(outcome: Result[object, Failure]) -> ErrorKind:
    return outcome.failure().kind


class SameBehaviourTests(unittest.TestCase):
    def test_http_and_memory_answer_alike(self) -> None:
        """The HTTP client and the in-memory store answer the same calls alike."""
        standin = PlatformStandIn(threads=4, watch_threads=2)
        standin.start()
        self.addCleanup(standin.stop)

        async def over_http() -> list[object]:
            timeline = Timeline(process="t", wall_clock_s=time.time)
            store = HttpKeyValueStore(
                address=standin.address, metrics=Metrics(), timeline=timeline, limits=SHORT_LIMITS
            )
            try:
                return await session(store)
            finally:
                store.close()

        expected = asyncio.run(session(MemoryStore()))
        self.assertEqual(asyncio.run(over_http()), expected)
        self.assertIn(ErrorKind.LEASE_LOST, expected)
        self.assertIn(ErrorKind.TOO_LARGE, expected)


class ClientTests(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = Metrics()
        self.timeline = Timeline(process="t", wall_clock_s=time.time)
        self.standin = PlatformStandIn(threads=8, watch_threads=2)
        self.standin.start()
        self.addCleanup(self.standin.stop)

    def with_store(
        self, main: Main, *, limits: PlatformLimits = SHORT_LIMITS, address: str = ""
    ) -> None:
        async def run() -> None:
            store = HttpKeyValueStore(
                address=address or self.standin.address,
                metrics=self.metrics,
                timeline=self.timeline,
                limits=limits,
                rng=random.Random(1),
            )
            try:
                await main(store)
            finally:
                store.close()

        asyncio.run(run())

    def count(self, name: str) -> int:
        return self.metrics.counters().get(f"store.{name}", 0)

    def test_lost_answer_is_unknown_and_not_retried(self) -> None:
        """A write whose connection ends before the answer is unknown, and is sent once.

        If it took effect, a second attempt would conflict with the first.
        """

        async def main(store: KeyValueStore) -> None:
            self.standin.set_faults(StoreFaults(lost_answers=1))
            self.assertEqual(kind_of(await store.create("a", b"v")), ErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual((await store.get("a")).unwrap().value, b"v")

        self.with_store(main)
        self.assertEqual(self.standin.calls()["create"], 1)

    @parameterized.expand([("refused", CLOSED_ADDRESS), ("503", "")])
    def test_write_without_effect_is_store_unavailable(self, _name: str, address: str) -> None:
        """A refused connection or a 503 means that the write took no effect."""

        async def main(store: KeyValueStore) -> None:
            self.standin.set_faults(StoreFaults(down=True))
            outcome = await store.create("a", b"v")
            self.assertEqual(kind_of(outcome), ErrorKind.STORE_UNAVAILABLE)

        self.with_store(main, address=address)

    def test_read_from_a_hung_store_ends_by_its_deadline(self) -> None:
        """A read from a store that does not answer in time ends by its deadline."""

        async def main(store: KeyValueStore) -> None:
            self.standin.set_faults(StoreFaults(delay_s=3))
            started_s = asyncio.get_running_loop().time()
            self.assertEqual(kind_of(await store.get("a")), ErrorKind.STORE_UNAVAILABLE)
            took_s = asyncio.get_running_loop().time() - started_s
            self.assertLess(took_s, SHORT_LIMITS.deadline_s)

        self.with_store(main)

    def test_a_slow_store_that_answers_is_used(self) -> None:
        """The timeout grows for a store that answers every call, but later than the timeout.

        With a fixed timeout no change or watch would succeed, and the store would count as down.
        """

        async def main(store: KeyValueStore) -> None:
            self.standin.set_faults(StoreFaults(delay_s=0.4))
            await store.get("a")
            version = (await store.create("a", b"v")).unwrap()
            watched = await store.watch("a", after_version=0, wait_s=0.1)
            self.assertEqual(watched.unwrap().version, version)

        self.with_store(main)
        self.assertEqual(self.count("outages"), 0)

    def test_silent_connections_cost_one_time_out(self) -> None:
        """When a firewall drops its state of all connections, one read times out; its retry works.

        Unless all idle connections are dropped together, each of them costs another timeout.
        """

        async def main(store: KeyValueStore) -> None:
            await asyncio.gather(*(store.get(f"k{n}") for n in range(6)))
            self.standin.silence_connections()
            self.assertEqual((await store.get("a")).unwrap(), None)
            for number in range(6):
                self.assertEqual((await store.get(f"k{number}")).unwrap(), None)

        self.with_store(main)
        self.assertEqual(self.count("retries"), 1)
        self.assertEqual(self.count("connections-dropped"), 1)
        self.assertEqual(self.count("outages"), 0)

    def test_watch_on_a_silent_connection_times_out(self) -> None:
        """A watch on a connection that stops carrying data times out soon after its own wait."""

        async def main(store: KeyValueStore) -> None:
            first = await store.watch("a", after_version=0, wait_s=0.01)
            self.assertEqual(first.unwrap().items, ())
            self.standin.silence_connections()
            silent = await store.watch("a", after_version=0, wait_s=0.1)
            self.assertEqual(kind_of(silent), ErrorKind.STORE_UNAVAILABLE)
            again = await store.watch("a", after_version=0, wait_s=0.1)
            self.assertEqual(again.unwrap().items, ())

        self.with_store(main)

    def test_circuit_breaker_limits_calls_to_a_store_that_is_down(self) -> None:
        """While many callers retry on a store that is down, three calls fail, then one per pause.

        The first success closes the breaker, and the timeline shows both ends of the outage.
        """

        async def main(store: KeyValueStore) -> None:
            self.standin.set_faults(StoreFaults(down=True))
            for _ in range(200):
                outcome = await store.create("a", b"v")
                self.assertEqual(kind_of(outcome), ErrorKind.STORE_UNAVAILABLE)
            self.assertLessEqual(self.standin.calls()["create"], 4)
            self.standin.set_faults(StoreFaults())
            while True:
                outcome = await store.create("a", b"v")
                if not isinstance(outcome, Err):
                    break
                await asyncio.sleep(outcome.failure().retry_after_s or 0.01)

        self.with_store(main)
        kinds = [event.kind for event in self.timeline.events()]
        self.assertEqual(kinds, [EventKind.STORE_DOWN, EventKind.STORE_UP])
        self.assertEqual(self.count("outages"), 1)

    def test_calls_keep_to_the_budget(self) -> None:
        """Calls beyond the burst wait for the rate limit; the renewal of a lease does not."""
        limits = PlatformLimits(rate_per_s=20, burst=2)

        async def main(store: KeyValueStore) -> None:
            loop = asyncio.get_running_loop()
            lease = (await store.grant_lease(ttl_s=60)).unwrap()
            started_s = loop.time()
            reads = [asyncio.create_task(store.get("a")) for _ in range(6)]
            await asyncio.sleep(0)
            (await store.renew_lease(lease.lease_id)).unwrap()
            self.assertFalse(all(task.done() for task in reads))
            await asyncio.gather(*reads)
            self.assertGreater(loop.time() - started_s, 4 / 20)

        self.with_store(main, limits=limits)
        self.assertGreaterEqual(self.count("delayed.budget"), 4)

    def test_list_of_instances(self) -> None:
        """The list is returned as the platform has it; a platform that is down is reported."""
        entry = ListedInstance(name="e1", address="127.0.0.1:1", leaving=True, incarnation="2")
        self.standin.set_instances((entry,))

        async def main() -> None:
            listed = HttpInstanceList(
                address=self.standin.address,
                metrics=self.metrics,
                timeline=self.timeline,
                limits=SHORT_LIMITS,
            )
            try:
                self.assertEqual((await listed.read()).unwrap(), (entry,))
                self.standin.set_faults(StoreFaults(down=True))
                self.assertEqual(kind_of(await listed.read()), ErrorKind.STORE_UNAVAILABLE)
            finally:
                listed.close()

        asyncio.run(main())
