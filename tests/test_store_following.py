"""Tests of `shallotworks.store`: prefix watchers and held leases."""

import asyncio
import random
import unittest

from parameterized import parameterized
from returns.result import Result, Success

from shallotworks.errors import Failure
from shallotworks.standins import FaultInjectingStore, RecordFaults, RecordStore
from shallotworks.store import Changes, Item, Page, PrefixWatcher
from tests.held_leases import acquire, try_acquire
from tests.scheduling_fakes import quiet_log
from tests.virtual_clock import run_scenario

NOTIFIED_WITHIN_S = 1.2
"""A watch without a wait times out after 0.65 s and is sent again at most 0.4 s later."""


class Listener:
    """Records what a watcher reports."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.notifications: list[str] = []

    def on_write(self, item: Item) -> None:
        self.values[item.key] = item.value
        self.notifications.append(f"{item.key}={item.value.decode()}")

    def on_delete(self, key: str, revision: int) -> None:
        del self.values[key]
        self.notifications.append(f"{key} gone")


class PrefixWatcherTests(unittest.TestCase):
    def test_follows_writes_and_deletions(self) -> None:
        """Each change under the prefix, and no other, is reported once and in order."""

        async def scenario() -> None:
            store, listener, watcher = _watcher()
            store.put("a/1", b"x")
            store.put("b/1", b"x")
            task = asyncio.create_task(watcher.run())
            await watcher.synced.wait()
            store.put("a/2", b"y")
            await asyncio.sleep(0.5)
            store.delete("a/1")
            await asyncio.sleep(0.5)
            self.assertEqual(["a/1=x", "a/2=y", "a/1 gone"], listener.notifications)
            task.cancel()

        run_scenario(scenario())

    def test_reads_more_keys_than_fit_in_a_page(self) -> None:
        """All pages under the prefix are read."""

        async def scenario() -> None:
            store, listener, watcher = _watcher()
            for number in range(1203):
                store.put(f"a/{number:05d}", b"x")
            task = asyncio.create_task(watcher.run())
            await watcher.synced.wait()
            self.assertEqual(1203, len(listener.values))
            task.cancel()

        run_scenario(scenario())

    def test_changes_during_an_outage_are_reported_soon_after_it(self) -> None:
        """Guards against leases that nobody takes over for 2 s after a store outage.

        A watch sent just before the recovery had to time out first; it may wait 1 s at the store.
        """

        async def scenario() -> None:
            store, listener, _ = _watcher()
            view = FaultInjectingStore(store=store)
            watcher = PrefixWatcher(store=view, prefix="a/", listener=listener, log=quiet_log())
            following = asyncio.create_task(watcher.run())
            await asyncio.sleep(1.0)
            for outage_s in (3.0, 3.3, 3.6, 3.9, 4.2, 4.5):
                view.faults.is_silent = True
                await asyncio.sleep(outage_s)
                key = f"a/{outage_s}"
                store.put(key, b"")
                view.faults.is_silent = False
                await asyncio.sleep(NOTIFIED_WITHIN_S)
                self.assertIn(key, listener.values)
            following.cancel()

        run_scenario(scenario())

    def test_rereads_all_keys_when_history_is_compacted(self) -> None:
        """Guards against a configuration that never comes into force.

        A watch skipped a write and a deletion that the store compacted while it was unreachable.
        """

        async def scenario() -> None:
            store, listener, watcher = _watcher()
            store.put("a/1", b"x")
            task = asyncio.create_task(watcher.run())
            await watcher.synced.wait()
            watcher_view = watcher._store
            assert isinstance(watcher_view, FaultInjectingStore)
            watcher_view.faults.is_down = True
            await asyncio.sleep(1.2)
            store.delete("a/1")
            store.put("a/2", b"y")
            store.compact_history()
            watcher_view.faults.is_down = False
            await asyncio.sleep(2)
            self.assertEqual({"a/2": b"y"}, listener.values)
            task.cancel()

        run_scenario(scenario())


class HighChurnStore:
    """A store whose keys change continuously and whose answers hold a limited number of events."""

    CHANGES_PER_S = 1_500
    MAX_EVENTS_PER_ANSWER = 500
    ANSWER_LATENCY_S = 0.004
    KEYS = 1_500

    @property
    def revision(self) -> int:
        """The current revision of the store."""
        return 1 + int(asyncio.get_running_loop().time() * self.CHANGES_PER_S)

    async def read_page(self, prefix: str, *, after: str = "") -> Result[Page, Failure]:
        """Return an empty page."""
        return Success(Page(items=(), has_more=False, revision=self.revision))

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Result[Changes, Failure]:
        """Return the first changes after a revision."""
        await asyncio.sleep(self.ANSWER_LATENCY_S)
        until = min(self.revision, after_revision + self.MAX_EVENTS_PER_ANSWER)
        events = tuple(
            Item(key=f"a/{one % self.KEYS}", value=b"", revision=one, created=1)
            for one in range(after_revision + 1, until + 1)
        )
        return Success(Changes(events=events, revision=until))


class WatchLagTests(unittest.TestCase):
    def test_a_watcher_keeps_up_with_changes_that_exceed_one_answer(self) -> None:
        """Guards against new tasks for a worker 5 s after it announced that it leaves.

        1,500 workers write about once a second; the watcher paused 0.4 s after each partial answer.
        """

        async def scenario() -> None:
            store, listener = HighChurnStore(), Listener()
            latest = 0

            def on_write(item: Item) -> None:
                nonlocal latest
                latest = max(latest, item.revision)

            listener.on_write = on_write  # type: ignore[method-assign]
            watcher = PrefixWatcher(
                store=store,  # type: ignore[arg-type]
                prefix="a/",
                listener=listener,
                log=quiet_log(),
                pause_s=0.4,
            )
            task = asyncio.create_task(watcher.run())
            await asyncio.sleep(10.0)
            self.assertLess(store.revision - latest, store.CHANGES_PER_S)
            task.cancel()

        run_scenario(scenario())


class HeldLeaseTests(unittest.TestCase):
    def test_one_holder_at_a_time_with_increasing_tokens(self) -> None:
        """A second acquisition fails until the key is released, and then gets a higher token."""

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            view = FaultInjectingStore(store=store)
            first = await acquire(view)
            self.assertIsNone(await try_acquire(view))
            await first.release()
            second = await acquire(view)
            self.assertGreater(second.token, first.token)

        run_scenario(scenario())

    @parameterized.expand([("down", {"is_down": True}), ("silent", {"is_silent": True})])
    def test_lease_is_invalid_after_the_grace_period(
        self, _name: str, faults: dict[str, bool]
    ) -> None:
        """Guards against two active schedulers after one was cut off from the store.

        A holder may act in an outage, but only for the grace period that its successor expects.
        """

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            view = FaultInjectingStore(store=store)
            lease = await acquire(view, key="key", marker_key="mark")
            renewal = asyncio.create_task(lease.renew_until_lost())
            await asyncio.sleep(3)
            self.assertTrue(lease.is_valid)
            view.faults = RecordFaults(**faults)  # type: ignore[arg-type]
            await asyncio.sleep(2.5)
            self.assertTrue(lease.is_valid)
            for _ in range(30):
                await asyncio.sleep(2.0 if lease.is_valid else 0.1)
                self.assertFalse(lease.is_valid)
            view.faults = RecordFaults()
            await asyncio.sleep(1.5)
            self.assertFalse(lease.is_valid)
            self.assertTrue(lease.lost_event.is_set())
            renewal.cancel()

        run_scenario(scenario())

    @parameterized.expand([("kept", False, True), ("revoked", True, False)])
    def test_a_suspended_lease_resumes_if_its_key_still_exists(
        self, _name: str, is_revoked: bool, resumes: bool
    ) -> None:
        """Guards against seconds without orders after a store outage in which leases were paused.

        The holder gave up after its grace period, and its key blocked successors until it expired.
        """

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            view = FaultInjectingStore(store=store)
            lease = await acquire(view, key="key", marker_key="mark")
            renewal = asyncio.create_task(lease.renew_until_lost())
            await asyncio.sleep(1)
            view.faults.is_silent = True
            store.are_leases_paused = True
            await asyncio.sleep(6)
            self.assertFalse(lease.is_valid)
            self.assertFalse(lease.lost_event.is_set())
            if is_revoked:
                store.revoke("key")
            view.faults.is_silent = False
            await asyncio.sleep(1.2)
            store.are_leases_paused = False
            self.assertEqual(resumes, lease.is_valid)
            self.assertEqual(not resumes, lease.lost_event.is_set())
            renewal.cancel()

        run_scenario(scenario())

    def test_a_renewal_detects_an_expired_lease(self) -> None:
        """The lease counts as lost after the first renewal that finds it gone."""

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            lease = await acquire(FaultInjectingStore(store=store), key="key", marker_key="mark")
            renewal = asyncio.create_task(lease.renew_until_lost())
            store.revoke_lease(1)
            await asyncio.sleep(0.6)
            self.assertTrue(lease.lost_event.is_set())
            renewal.cancel()

        run_scenario(scenario())


def _watcher() -> tuple[RecordStore, Listener, PrefixWatcher]:
    store = RecordStore(rng=random.Random(1))
    listener = Listener()
    view = FaultInjectingStore(store=store)
    return (
        store,
        listener,
        PrefixWatcher(store=view, prefix="a/", listener=listener, log=quiet_log()),
    )


if __name__ == "__main__":
    unittest.main()
