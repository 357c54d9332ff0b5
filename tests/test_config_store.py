"""Tests of `shallotworks.config.ConfigStore` on one shared log, with faults of the store."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

import looptime
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.config import Compactor, ConfigStore, Entry, HeldRevision
from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Pool, PutPool, RemovePool
from shallotworks.kv import KeyValueStore
from shallotworks.metrics import Metrics
from shallotworks.standins import MemoryStore, StoreFaults
from shallotworks.timeline import EventKind, Timeline


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run on a loop with a virtual clock, and cancel the tasks that are still running."""

    async def run_and_end() -> None:
        try:
            await main()
        finally:
            left = asyncio.all_tasks() - {asyncio.current_task()}
            for task in left:
                task.cancel()
            await asyncio.gather(*left, return_exceptions=True)

    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(run_and_end())
    finally:
        loop.close()


def make_process(
    store: KeyValueStore, name: str, *, every: int = 500, kept: int = 2000
) -> ConfigStore:
    metrics = Metrics()
    return ConfigStore(
        store=store,
        metrics=metrics,
        timeline=Timeline(process=name, wall_clock_s=lambda: 0.0),
        wall_clock_s=lambda: 0.0,
        rng=random.Random(name),
        compactor=Compactor(
            store=store, metrics=metrics, every_revisions=every, kept_revisions=kept
        ),
    )


def put_pool(name: str) -> PutPool:
    return PutPool(pool=Pool(name=name))


async def put_pools(config: ConfigStore, *names: str) -> None:
    for name in names:
        (await config.propose(put_pool(name), author="kari")).unwrap()


def kind_of(outcome: Result[object, Failure]) -> ErrorKind:
    return outcome.failure().kind


async def watch_always(config: ConfigStore) -> None:
    await config.run_watch(should_watch=lambda: True)


class StoreLink:
    """One process's connection to a store, which can be cut while others still reach the store."""

    def __init__(self, store: MemoryStore) -> None:
        self.is_cut = False
        self._store = store

    def __getattr__(self, name: str) -> Callable[..., Awaitable[object]]:
        async def call(*arguments: object, **options: object) -> object:
            if self.is_cut:
                return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason="the link is cut"))
            return await getattr(self._store, name)(*arguments, **options)

        return call

    async def cut_after_write(self) -> None:
        """Cut the link after the first write has arrived and before its answer is read."""
        while not self._store.calls["create"]:
            await asyncio.sleep(0)
        self.is_cut = True
        await asyncio.sleep(1)


class StandInPeers:
    """Peers that answer with the revisions of the given processes, in one round trip."""

    def __init__(self, *processes: ConfigStore) -> None:
        self.processes = list(processes)
        self.questions = 0

    async def held_revisions(self) -> tuple[HeldRevision, ...]:
        self.questions += 1
        await asyncio.sleep(0.001)
        return tuple(
            HeldRevision(revision=one.revision(), change_id=one.snapshot().last_change_id)
            for one in self.processes
        )


class LosingFirstCreate(MemoryStore):
    """A store that the first write does not reach; its answer is missing, too."""

    async def create(self, key: str, value: bytes, *, lease_id: str = "") -> Result[int, Failure]:
        if self.calls["create"]:
            return await super().create(key, value, lease_id=lease_id)
        self.calls["create"] += 1
        await asyncio.sleep(0.1)
        return Err(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason="the connection was lost"))


def lost_entry() -> Entry:
    """Return the entry of a revision that the store has lost."""
    return Entry(revision=1, change_id="lost", author="ola", at_s=0.0, change=put_pool("a"))


class PeerSurveyTests(unittest.TestCase):
    """A store has lost revisions that some processes have read and others never heard of."""

    def test_a_revision_that_only_a_peer_has_read_is_not_written_anew(self) -> None:
        """Guards against two values of a revision that the store lost after one process read it."""

        async def main() -> None:
            store = MemoryStore()
            author, reader = make_process(store, "e1"), make_process(store, "e2")
            other = make_process(store, "e3")
            await put_pools(author, "a")
            await reader.load()
            store.roll_back_to(0)
            other.connect_peers(StandInPeers(reader))
            outcome = await other.propose(put_pool("b"), author="kari")
            self.assertIs(ErrorKind.STORE_REGRESSED, kind_of(outcome))
            self.assertEqual((), (await store.list("config/log/")).unwrap())
            self.assertEqual((0, 1), (other.revision(), reader.revision()))

        run(main)

    def test_a_change_is_not_accepted_if_a_peer_has_read_another_meanwhile(self) -> None:
        """Guards against accepting a change of a revision that a peer holds with another one."""

        async def main() -> None:
            store = MemoryStore()
            author, other = make_process(store, "e1"), make_process(store, "e2")
            peers = StandInPeers(author)
            other.connect_peers(peers)
            proposing = asyncio.create_task(other.propose(put_pool("b"), author="kari"))
            while not store.calls["create"]:
                await asyncio.sleep(0.0001)
            author.append_entries((lost_entry(),))
            outcome = await proposing
            self.assertIs(ErrorKind.OUTCOME_UNKNOWN, kind_of(outcome))

        run(main)

    def test_a_write_without_an_answer_is_not_repeated_over_what_a_peer_has_read(self) -> None:
        """Guards against two values of a revision by the second attempt of a write."""

        async def main() -> None:
            store = LosingFirstCreate()
            author, other = make_process(store, "e1"), make_process(store, "e2")
            other.connect_peers(StandInPeers(author))
            proposing = asyncio.create_task(other.propose(put_pool("b"), author="kari"))
            while not store.calls["create"]:
                await asyncio.sleep(0.0001)
            author.append_entries((lost_entry(),))
            self.assertIs(ErrorKind.OUTCOME_UNKNOWN, kind_of(await proposing))
            self.assertEqual((), (await store.list("config/log/")).unwrap())

        run(main)

    def test_peers_that_agree_cost_no_call_of_the_store(self) -> None:
        """A change takes two calls and two questions; what a peer is ahead by is read first."""

        async def main() -> None:
            store = MemoryStore()
            author, other = make_process(store, "e1"), make_process(store, "e2")
            peers = StandInPeers(author)
            await put_pools(author, "z")
            await other.load()
            other.connect_peers(peers)
            store.calls.clear()
            await put_pools(other, "a")
            self.assertEqual(({"create": 1, "list": 1}, 2), (store.calls, peers.questions))
            await author.load()
            await put_pools(author, "b")
            await put_pools(other, "c")
            self.assertEqual(4, other.revision())

        run(main)


class ProposeTests(unittest.TestCase):
    def test_a_change_costs_two_calls(self) -> None:
        """An accepted change is in the state and the history, and takes one write and one read."""

        async def main() -> None:
            store = MemoryStore()
            config = make_process(store, "e1")
            await config.load()
            await put_pools(config, "a")
            store.calls.clear()
            await put_pools(config, "b", "c")
            self.assertEqual(store.calls, {"create": 2, "list": 2})
            self.assertEqual(config.revision(), 3)
            self.assertEqual(set(config.state().pools), {"a", "b", "c"})
            self.assertEqual([entry.author for entry in config.history(limit=9)], ["kari"] * 3)

        run(main)

    def test_a_refused_change_is_not_written(self) -> None:
        """An invalid change is refused after a read of the newest revision, and not written."""

        async def main() -> None:
            store = MemoryStore()
            first, second = make_process(store, "e1"), make_process(store, "e2")
            await put_pools(first, "a")
            refused = await second.propose(RemovePool(name="b"), author="ola")
            self.assertEqual(kind_of(refused), ErrorKind.NOT_FOUND)
            # The read before the refusal also brought the first process's pool.
            (await second.propose(RemovePool(name="a"), author="ola")).unwrap()
            self.assertEqual(store.calls["create"], 2)

        run(main)

    def test_a_race_has_one_winner_per_revision(self) -> None:
        """Of six processes that remove the same pool at once, one writes the entry.

        All pass the local check; the losers read the entry, check again and report the pool gone.
        """

        async def main() -> None:
            store = MemoryStore()
            processes = [make_process(store, f"e{n}") for n in range(6)]
            await put_pools(processes[0], "a")
            for config in processes:
                await config.load()
            outcomes = await asyncio.gather(
                *(config.propose(RemovePool(name="a"), author="x") for config in processes)
            )
            won = [outcome for outcome in outcomes if isinstance(outcome, Success)]
            lost = {kind_of(outcome) for outcome in outcomes if outcome not in won}
            self.assertEqual((len(won), lost), (1, {ErrorKind.NOT_FOUND}))
            self.assertEqual((await processes[5].load()).unwrap(), 2)

        run(main)

    def test_a_loser_is_not_starved(self) -> None:
        """A process that loses races is not starved by one that writes change after change.

        If it delayed after its read and not before, it would lose races for over a second.
        """

        async def main() -> None:
            store = MemoryStore()
            store.set_faults(StoreFaults(delay_s=0.002))
            processes = [make_process(store, f"e{number}") for number in range(4)]

            async def propose_on(config: ConfigStore) -> float:
                longest_s = 0.0
                for number in range(75):
                    started_s = asyncio.get_running_loop().time()
                    await put_pools(config, f"p{number}")
                    longest_s = max(longest_s, asyncio.get_running_loop().time() - started_s)
                return longest_s

            longest_s = await asyncio.gather(*(propose_on(config) for config in processes))
            self.assertLess(max(longest_s), 0.5)

        run(main)

    def test_a_lost_answer_is_resolved(self) -> None:
        """A write whose answer is lost is found by its change id and counts once.

        A second proposal would take another revision, and a reported refusal would be false.
        """

        async def main() -> None:
            store = MemoryStore()
            config = make_process(store, "e1")
            store.set_faults(StoreFaults(lost_answers=1))
            accepted = (await config.propose(put_pool("a"), author="kari")).unwrap()
            self.assertEqual((accepted.revision, config.revision()), (1, 1))
            self.assertEqual(store.calls["create"], 1)

        run(main)

    def test_store_down_before_and_after_the_write(self) -> None:
        """A change is refused if the store is down before the write, and unknown if after it."""

        async def main() -> None:
            store = MemoryStore()
            config, other = make_process(store, "e1"), make_process(store, "e2")
            store.set_faults(StoreFaults(down=True))
            refused = await config.propose(put_pool("a"), author="kari")
            self.assertEqual(kind_of(refused), ErrorKind.STORE_UNAVAILABLE)
            store.set_faults(StoreFaults())
            proposing = asyncio.create_task(config.propose(put_pool("b"), author="kari"))
            while not store.version:
                await asyncio.sleep(0)
            store.set_faults(StoreFaults(down=True))
            self.assertEqual(kind_of(await proposing), ErrorKind.OUTCOME_UNKNOWN)
            store.set_faults(StoreFaults())
            await other.load()
            self.assertEqual(set(other.state().pools), {"b"})

        run(main)

    def test_unknown_outcome_is_resolved_after_a_snapshot(self) -> None:
        """A written change is not written again after a snapshot has passed its revision.

        A peer's snapshot has the change but not its entry, so that only the stored log shows it.
        """

        async def main() -> None:
            store = MemoryStore()
            link = StoreLink(store)
            config, other = make_process(link, "e1"), make_process(store, "e2")
            proposing = asyncio.create_task(config.propose(put_pool("a"), author="kari"))
            await link.cut_after_write()
            await other.load()
            await put_pools(other, "b", "c")
            config.install_snapshot(other.snapshot())
            link.is_cut = False
            self.assertEqual((await proposing).unwrap().revision, 1)
            self.assertEqual((await other.load()).unwrap(), 3)

        run(main)

    def test_unknown_outcome_stays_unknown_after_the_entry_is_deleted(self) -> None:
        """The outcome stays unknown if the entry is deleted before it can be read back.

        Accepted and refused could both be wrong, since no entry shows whose change it was.
        """

        async def main() -> None:
            store = MemoryStore()
            link = StoreLink(store)
            config, other = make_process(link, "e1"), make_process(store, "e2", every=10, kept=5)
            proposing = asyncio.create_task(config.propose(put_pool("a"), author="kari"))
            await link.cut_after_write()
            await other.load()
            await put_pools(other, *(f"p{number}" for number in range(30)))
            await asyncio.sleep(0.1)
            config.install_snapshot(other.snapshot())
            link.is_cut = False
            self.assertEqual(kind_of(await proposing), ErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual((await other.load()).unwrap(), 31)

        run(main)

    def test_process_cut_off_past_the_deleted_entries_reads_before_it_writes(self) -> None:
        """A process that was cut off overnight does not create the key of a deleted entry again.

        Without a read first, its change would look accepted and be in force nowhere else.
        """

        async def main() -> None:
            store = MemoryStore()
            author, cut_off = make_process(store, "e1", every=10, kept=5), make_process(store, "e2")
            await put_pools(author, "a")
            await cut_off.load()
            await put_pools(author, *(f"p{number}" for number in range(30)))
            await asyncio.sleep(9 * 3600)
            accepted = (await cut_off.propose(put_pool("b"), author="ola")).unwrap()
            self.assertEqual(accepted.revision, 32)
            self.assertEqual((await author.load()).unwrap(), 32)

        run(main)


class FollowTests(unittest.TestCase):
    def test_a_watcher_sees_changes_and_costs_little(self) -> None:
        """A watcher sees a change at once; without changes it makes one call every 4 s."""

        async def main() -> None:
            store = MemoryStore()
            author, watcher = make_process(store, "e1"), make_process(store, "e2")
            task = asyncio.create_task(watch_always(watcher))
            await asyncio.sleep(100)
            self.assertLessEqual(store.calls["watch"], 27)
            await put_pools(author, *(f"p{n}" for n in range(30)))
            async with asyncio.timeout(1):
                state = await watcher.wait_for(30)
            self.assertEqual(state, author.state())
            self.assertLess(watcher.staleness_s(), 1)
            task.cancel()

        run(main)

    def test_entries_past_the_watched_block_are_seen(self) -> None:
        """A watcher continues past the thousandth revision while old entries are deleted."""

        async def main() -> None:
            store = MemoryStore()
            author = make_process(store, "e1", every=100, kept=50)
            watcher = make_process(store, "e2")
            task = asyncio.create_task(watch_always(watcher))
            for number in range(1_030):
                await put_pools(author, f"p{number % 7}")
                if number % 50 == 0:
                    await asyncio.sleep(1)
            async with asyncio.timeout(5):
                await watcher.wait_for(1_030)
            # Deletions do not wake the watcher: it makes about one watch per change, not two.
            self.assertLess(store.calls["watch"], 1_100)
            task.cancel()

        run(main)

    def test_a_new_process_loads_snapshot_and_log(self) -> None:
        """The log stays bounded, and a new process loads the same state with at most four calls."""

        async def main() -> None:
            store = MemoryStore()
            author = make_process(store, "e1", every=20, kept=30)
            await put_pools(author, *(f"p{number}" for number in range(150)))
            await asyncio.sleep(1)
            logged = (await store.list("config/log/")).unwrap()
            self.assertLessEqual(len(logged), 30 + 20)
            store.calls.clear()
            new_process = make_process(store, "e2")
            self.assertEqual((await new_process.load()).unwrap(), 150)
            self.assertEqual(new_process.state(), author.state())
            self.assertLessEqual(store.calls.total(), 4)

        run(main)

    def test_peers_pass_entries_and_snapshots(self) -> None:
        """Entries are applied in order only; a snapshot covers a gap that is too large."""

        async def main() -> None:
            store = MemoryStore()
            author, peer = make_process(store, "e1"), make_process(store, "e2")
            await put_pools(author, "a", "b", "c")
            entries = author.entries_after(0, limit=9)
            self.assertEqual(peer.append_entries(entries[1:]), 0)
            self.assertEqual(peer.append_entries(entries[:2]), 2)
            self.assertEqual(peer.install_snapshot(author.snapshot()), 3)
            self.assertIsNone(peer.entries_after(1, limit=9))
            self.assertEqual(peer.install_snapshot(make_process(store, "e3").snapshot()), 3)

        run(main)


class RegressionTests(unittest.TestCase):
    """The store is restored after an outage without writes that it had accepted."""

    def test_older_or_empty_store_is_reported_and_not_written(self) -> None:
        """A store restored from an old backup or set up empty is neither applied nor written.

        Applying it would revert cordons and moves; writing to it would fork the history.
        """

        async def main() -> None:
            for version in (0, 2):
                store = MemoryStore()
                config = make_process(store, "e1")
                await put_pools(config, "a", "b", "c")
                task = asyncio.create_task(watch_always(config))
                await asyncio.sleep(1)
                if version:
                    store.roll_back_to(version)
                else:
                    store.wipe()
                await asyncio.sleep(10)
                refused = await config.propose(put_pool("d"), author="kari")
                self.assertEqual(kind_of(refused), ErrorKind.STORE_REGRESSED)
                self.assertEqual(config.revision(), 3)
                self.assertGreater(config.staleness_s(), 5)
                kinds = [event.kind for event in config._timeline.events()]
                self.assertEqual(kinds.count(EventKind.STORE_REGRESSED), 1)
                self.assertEqual(store.calls["create"], 3)
                # An operator restores the store from this process, and a new one loads everything.
                self.assertEqual((await config.restore_store()).unwrap(), 3)
                await put_pools(config, "e")
                new_process = make_process(store, "e2")
                self.assertEqual((await new_process.load()).unwrap(), 4)
                self.assertEqual(new_process.state(), config.state())
                task.cancel()

        run(main)

    def test_lagging_process_knows_the_newest_revision_from_its_peers(self) -> None:
        """A process at revision 1 does not write to a store that was rolled back to revision 1.

        The store looks correct to it, but its peers' heartbeats have reported revision 2.
        """

        async def main() -> None:
            store = MemoryStore()
            author, lagging = make_process(store, "e1"), make_process(store, "e2")
            await put_pools(author, "a")
            await lagging.load()
            await put_pools(author, "b")
            lagging.confirm_newest(2)
            store.roll_back_to(1)
            refused = await lagging.propose(put_pool("c"), author="kari")
            self.assertEqual(kind_of(refused), ErrorKind.STORE_REGRESSED)
            self.assertEqual(store.calls["create"], 2)

        run(main)

    def test_older_store_with_an_older_snapshot_is_reported(self) -> None:
        """A store restored with an older snapshot is not mistaken for one that was compacted."""

        async def main() -> None:
            store = MemoryStore()
            config = make_process(store, "e1", every=2, kept=1)
            await put_pools(config, "a", "b", "c")
            await asyncio.sleep(1)
            older_version = store.version
            await put_pools(config, "d", "e", "f")
            await asyncio.sleep(1)
            store.roll_back_to(older_version)
            self.assertEqual(kind_of(await config.load()), ErrorKind.STORE_REGRESSED)
            self.assertEqual((await config.restore_store()).unwrap(), 6)
            new_process = make_process(store, "e2")
            self.assertEqual((await new_process.load()).unwrap(), 6)

        run(main)

    def test_snapshot_with_a_lost_part_is_skipped_and_rewritten(self) -> None:
        """A snapshot that lost a part is skipped if the log is complete, and can be rewritten.

        A store that loses its last writes during a snapshot keeps a pointer that names lost parts.
        """

        async def main() -> None:
            store = MemoryStore()
            config = make_process(store, "e1", every=5)
            await put_pools(config, "a", "b", "c", "d", "e")
            await asyncio.sleep(1)
            parts = (await store.list("config/snapshot/")).unwrap()
            await store.delete(parts[0].key, version=parts[0].version)
            new_process = make_process(store, "e2")
            self.assertEqual((await new_process.load()).unwrap(), 5)
            entry = (await store.list("config/log/")).unwrap()[0]
            await store.delete(entry.key, version=entry.version)
            lost = make_process(store, "e3")
            self.assertEqual(kind_of(await lost.load()), ErrorKind.STORE_REGRESSED)
            self.assertEqual((await config.restore_store()).unwrap(), 5)
            self.assertEqual((await lost.load()).unwrap(), 5)

        run(main)

    def test_stale_reads_are_a_temporary_fault(self) -> None:
        """Stale reads after a failover are reported as a fault, which a fresh read clears."""

        async def main() -> None:
            store = MemoryStore()
            config = make_process(store, "e1")
            await put_pools(config, "a")
            store.set_faults(StoreFaults(stale=True))
            outcome = await config.propose(put_pool("b"), author="kari")
            self.assertEqual(kind_of(outcome), ErrorKind.OUTCOME_UNKNOWN)
            store.set_faults(StoreFaults())
            await put_pools(config, "c")
            self.assertEqual(set(config.state().pools), {"a", "b", "c"})
            self.assertIsNone(config.fault())

        run(main)

    def test_another_history_is_refused(self) -> None:
        """An entry with another change id at a known revision is reported and not applied."""

        async def main() -> None:
            config = make_process(MemoryStore(), "e1")
            other = make_process(MemoryStore(), "e2")
            await put_pools(config, "a", "b")
            await put_pools(other, "x", "y", "z")
            self.assertEqual(config.append_entries(other.entries_after(0, limit=9)), 2)
            self.assertEqual(set(config.state().pools), {"a", "b"})
            self.assertEqual(config._metrics.counters()["config.contradictions"], 1)

        run(main)
