"""Tests of `shallotworks.standins.MemoryStore`: the guarantees of a store, and injected faults."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import looptime
from parameterized import parameterized
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import ListedInstance
from shallotworks.standins import MemoryInstanceList, MemoryStore, StoreFaults


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run on a loop with a virtual clock, which advances to the next timer."""
    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(main())
    finally:
        loop.close()


def kind_of(outcome: Result[object, Failure]) -> ErrorKind:
    return outcome.failure().kind


class MemoryStoreTests(unittest.TestCase):
    def test_writes_need_the_version_they_saw(self) -> None:
        """Create refuses an existing key; compare-and-swap and delete refuse another version."""

        async def main() -> None:
            store = MemoryStore()
            first = (await store.create("a", b"1")).unwrap()
            self.assertEqual(kind_of(await store.create("a", b"2")), ErrorKind.CONFLICT)
            second = (await store.compare_and_swap("a", b"2", version=first)).unwrap()
            self.assertGreater(second, first)
            self.assertEqual(
                kind_of(await store.compare_and_swap("a", b"3", version=first)), ErrorKind.CONFLICT
            )
            self.assertEqual(kind_of(await store.delete("a", version=first)), ErrorKind.CONFLICT)
            self.assertEqual((await store.get("a")).unwrap().value, b"2")
            self.assertEqual(await store.delete("a", version=second), Success(None))
            self.assertEqual(await store.get("a"), Success(None))

        run(main)

    def test_every_watch_sees_a_write(self) -> None:
        """All watches on the prefix return the write; one on another prefix times out empty."""

        async def main() -> None:
            store = MemoryStore()
            waits = [store.watch("x/", after_version=0, wait_s=5) for _ in range(3)]
            tasks = [asyncio.create_task(wait) for wait in waits]
            other = asyncio.create_task(store.watch("y/", after_version=0, wait_s=5))
            await asyncio.sleep(1)
            version = (await store.create("x/1", b"v")).unwrap()
            for result in await asyncio.gather(*tasks):
                self.assertEqual([item.key for item in result.unwrap().items], ["x/1"])
                self.assertEqual(result.unwrap().version, version)
            self.assertEqual((await other).unwrap().items, ())

        run(main)

    def test_expired_lease_deletes_its_keys(self) -> None:
        """A lease that is not renewed expires with its keys, and a watch reports their deletion."""

        async def main() -> None:
            store = MemoryStore()
            lease = (await store.grant_lease(ttl_s=9)).unwrap()
            made = (await store.create("duty", b"me", lease_id=lease.lease_id)).unwrap()
            await asyncio.sleep(6)
            self.assertEqual(await store.renew_lease(lease.lease_id), Success(None))
            watched = (await store.watch("duty", after_version=made, wait_s=60)).unwrap()
            self.assertEqual(watched.deleted, ("duty",))
            self.assertEqual(asyncio.get_running_loop().time(), 15)
            self.assertEqual(kind_of(await store.renew_lease(lease.lease_id)), ErrorKind.LEASE_LOST)
            later = (await store.grant_lease(ttl_s=9)).unwrap()
            self.assertGreater(later.fencing_token, lease.fencing_token)

        run(main)

    @parameterized.expand(
        [
            ("down", StoreFaults(down=True), ErrorKind.STORE_UNAVAILABLE, None),
            ("lost", StoreFaults(lost_answers=1), ErrorKind.OUTCOME_UNKNOWN, b"v"),
        ]
    )
    def test_a_failed_write(
        self, _name: str, faults: StoreFaults, kind: ErrorKind, kept: bytes | None
    ) -> None:
        """A write to a store that is down has no effect; one with a lost answer takes effect."""

        async def main() -> None:
            store = MemoryStore()
            store.set_faults(faults)
            self.assertEqual(kind_of(await store.create("a", b"v")), kind)
            store.set_faults(StoreFaults())
            item = (await store.get("a")).unwrap()
            self.assertEqual(item.value if item is not None else None, kept)

        run(main)

    def test_older_stale_and_empty(self) -> None:
        """A stale store returns old values; one rolled back or wiped has lost writes."""

        async def main() -> None:
            store = MemoryStore()
            first = (await store.create("a", b"1")).unwrap()
            store.set_faults(StoreFaults(stale=True))
            await store.compare_and_swap("a", b"2", version=first)
            self.assertEqual((await store.get("a")).unwrap().value, b"1")
            store.set_faults(StoreFaults())
            self.assertEqual((await store.get("a")).unwrap().value, b"2")
            store.roll_back_to(first)
            self.assertEqual((await store.get("a")).unwrap().value, b"1")
            store.wipe()
            self.assertEqual(await store.get("a"), Success(None))
            watched = (await store.watch("a", after_version=first, wait_s=60)).unwrap()
            self.assertEqual(watched.version, 0)

        run(main)


class MemoryInstanceListTests(unittest.TestCase):
    def test_a_change_shows_after_the_lag(self) -> None:
        """A read returns the list as it was one lag earlier."""

        async def main() -> None:
            entry = ListedInstance(name="e1", address="127.0.0.1:1", leaving=False, incarnation="1")
            listed = MemoryInstanceList(lag_s=30)
            listed.replace_all((entry,))
            self.assertEqual(await listed.read(), Success(()))
            await asyncio.sleep(30)
            self.assertEqual(await listed.read(), Success((entry,)))

        run(main)
