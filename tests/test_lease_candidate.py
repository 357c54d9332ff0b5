"""Tests of `shallotworks.kv.LeaseCandidate`."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

import looptime

from shallotworks.kv import KeyValueStore, LeaseCandidate
from shallotworks.metrics import Metrics
from shallotworks.standins import MemoryStore, StoreFaults
from shallotworks.timeline import EventKind, Timeline

TTL_S = 12.0


def run(main: Callable[[], Awaitable[None]]) -> None:
    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(main())
    finally:
        loop.close()


class LeaseCandidateTests(unittest.TestCase):
    def candidate(self, store: KeyValueStore, name: str) -> LeaseCandidate:
        self.timeline = Timeline(process=name, wall_clock_s=lambda: 0.0)
        return LeaseCandidate(
            store=store,
            lease_name="plan/1",
            holder=name,
            metrics=Metrics(),
            timeline=self.timeline,
            rng=random.Random(name),
            ttl_s=TTL_S,
        )

    def test_one_of_many_holds_and_keeps_it(self) -> None:
        """Of five candidates the same one holds the lease all the time, by renewing it."""

        async def main() -> None:
            store = MemoryStore()
            candidates = [self.candidate(store, f"e{n}") for n in range(5)]
            tasks = [asyncio.create_task(each.run()) for each in candidates]
            await asyncio.sleep(1)
            holder = [each for each in candidates if each.is_held()]
            for _ in range(100):
                await asyncio.sleep(1)
                self.assertEqual([each for each in candidates if each.is_held()], holder)
            # After its first read a candidate reads at most once per half time to live.
            self.assertLessEqual(store.calls["get"], 5 + 5 * 100 / (TTL_S / 2))
            await stop(tasks)

        run(main)

    def test_ranked_candidates_poll_as_often_as_a_few(self) -> None:
        """22 candidates whose pauses grow with their rank poll no more often than five alike."""

        async def main() -> None:
            store = MemoryStore()
            candidates = [self.candidate(store, f"e{n}") for n in range(22)]
            tasks = [
                asyncio.create_task(each.run(pause_factor=lambda rank=rank: 1.0 + rank))
                for rank, each in enumerate(candidates)
            ]
            await asyncio.sleep(10)
            before = store.calls["get"]
            await asyncio.sleep(1000)
            self.assertEqual(sum(each.is_held() for each in candidates), 1)
            alike = 5 * 1000 / (TTL_S * 0.75)
            self.assertLessEqual(store.calls["get"] - before, alike)
            await stop(tasks)

        run(main)

    def test_stopped_holder_revokes_its_lease(self) -> None:
        """A holder that stops revokes its lease; the next one need not wait for its expiry."""

        async def main() -> None:
            store = MemoryStore()
            first, second = self.candidate(store, "e1"), self.candidate(store, "e2")
            task = asyncio.create_task(first.run())
            held = await first.wait_until_held()
            await stop([task])
            self.assertFalse(first.is_held())
            task = asyncio.create_task(second.run())
            taken = await second.wait_until_held()
            self.assertGreater(taken.fencing_token, held.fencing_token)
            await stop([task])

        run(main)

    def test_holder_paused_past_its_lease_no_longer_holds_it(self) -> None:
        """A holder that its host paused past its lease does not hold it when it resumes.

        Otherwise a conductor would go on to reboot an instance after another took over its plan.
        """

        async def main() -> None:
            store = MemoryStore()
            seen_by_first = PausableStore(store)
            first, second = self.candidate(seen_by_first, "e1"), self.candidate(store, "e2")
            tasks = [asyncio.create_task(first.run())]
            old = await first.wait_until_held()
            seen_by_first.paused = True
            await asyncio.sleep(TTL_S * 0.79)
            tasks.append(asyncio.create_task(second.run()))
            new = await second.wait_until_held()
            self.assertFalse(first.is_held())
            self.assertIsNone(first.lease_record())
            self.assertGreater(new.fencing_token, old.fencing_token)
            await stop(tasks)

        run(main)

    def test_store_down_for_longer_than_the_lease(self) -> None:
        """A holder stops acting before its lease expires while the store is down for a minute.

        The holder can't renew the lease, and acquires a new one when the store is back.
        """

        async def main() -> None:
            store = MemoryStore()
            holder = self.candidate(store, "e1")
            task = asyncio.create_task(holder.run())
            old = await holder.wait_until_held()
            store.set_faults(StoreFaults(down=True))
            await asyncio.sleep(TTL_S * 0.81)
            self.assertFalse(holder.is_held())
            await asyncio.sleep(60)
            store.set_faults(StoreFaults())
            new = await holder.wait_until_held()
            self.assertGreater(new.fencing_token, old.fencing_token)
            await stop([task])
            kinds = [event.kind for event in self.timeline.events()]
            taken, lost = EventKind.LEASE_TAKEN, EventKind.LEASE_LOST
            self.assertEqual(kinds, [taken, lost, taken, lost])

        run(main)

    def test_lost_answer_of_the_key_creation(self) -> None:
        """A candidate recognises its own key when the answer to the key's creation was lost."""

        async def main() -> None:
            store = MemoryStore()
            holder = self.candidate(store, "e1")
            task = asyncio.create_task(holder.run())
            while not store.calls["grant_lease"]:
                await asyncio.sleep(0.01)
            store.set_faults(StoreFaults(lost_answers=1))
            held = await holder.wait_until_held()
            self.assertEqual(held.holder, "e1")
            self.assertEqual(store.calls["create"], 1)
            await stop([task])

        run(main)


class PausableStore:
    """A store through which a process that is paused sends no renewals."""

    def __init__(self, store: MemoryStore) -> None:
        self.paused = False
        self._store = store

    def __getattr__(self, name: str) -> object:
        return getattr(self._store, name)

    async def renew_lease(self, lease_id: str) -> object:
        if self.paused:
            await asyncio.Event().wait()
        return await self._store.renew_lease(lease_id)


async def stop(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
