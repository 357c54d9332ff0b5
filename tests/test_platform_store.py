"""Tests of the platform store's client over HTTP."""

import asyncio
import json
import random
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized
from returns.result import Success

from shallotworks.errors import ErrorKind
from shallotworks.metrics import Metrics
from shallotworks.platform._http import HttpClient, HttpNoAnswer
from shallotworks.platform._store import PlatformStore
from shallotworks.standins import FaultInjectingStore, RecordStore, StoreServer
from shallotworks.store import Commit, Committed, Condition, Conflicted, Deletion, Item, Write

Scenario = Callable[[StoreServer, PlatformStore], Awaitable[None]]
PUT_COMMIT = Commit(writes=(Write(key="a/1", value=b"\x00x"),))


def run(scenario: Scenario) -> None:
    """Run a scenario with a store server and a client."""

    async def run_with_server() -> None:
        server = StoreServer(view=FaultInjectingStore(store=RecordStore(rng=random.Random(1))))
        await server.listener.start()
        client = HttpClient(address=server.listener.address)
        try:
            await scenario(server, PlatformStore(client=client, metrics=Metrics()))
        finally:
            await client.close()
            await server.listener.stop()

    asyncio.run(run_with_server())


class CallTests(unittest.TestCase):
    def test_write_and_read(self) -> None:
        """Guards against changed bytes or revisions of a stored value."""

        async def scenario(server: StoreServer, store: PlatformStore) -> None:
            self.assertIsNone((await store.get("a/1")).unwrap())
            committed = (await store.commit(PUT_COMMIT)).unwrap()
            assert isinstance(committed, Committed)
            item = (await store.get("a/1")).unwrap()
            assert item is not None
            self.assertEqual((b"\x00x", committed.revision), (item.value, item.revision))

        run(scenario)

    def test_pages(self) -> None:
        """Guards against missing or repeated keys at the boundary of two pages."""

        async def scenario(server: StoreServer, store: PlatformStore) -> None:
            for number in range(510):
                server.store.put(f"a/{number:04d}", b"")
            first = (await store.read_page("a/")).unwrap()
            self.assertTrue(first.has_more)
            second = (await store.read_page("a/", after=first.items[-1].key)).unwrap()
            self.assertEqual((500, 10), (len(first.items), len(second.items)))
            self.assertFalse(second.has_more)

        run(scenario)

    def test_watch(self) -> None:
        """Guards against missing changes after a revision, and an unreported lost history."""

        async def scenario(server: StoreServer, store: PlatformStore) -> None:
            server.store.put("a/1", b"x")
            revision = server.store.revision
            server.store.put("a/2", b"y")
            server.store.delete("a/1")
            changes = (await store.watch("a/", after_revision=revision, wait_s=0.1)).unwrap()
            self.assertEqual([Item, Deletion], [type(event) for event in changes.events])
            server.store.compact_history()
            lost = (await store.watch("a/", after_revision=revision, wait_s=0.1)).unwrap()
            self.assertTrue(lost.is_history_lost)

        run(scenario)

    def test_conflict_returns_current_items(self) -> None:
        """Guards against a conflict that lists keys that do not exist."""

        async def scenario(server: StoreServer, store: PlatformStore) -> None:
            server.store.put("a/1", b"x")
            conditions = tuple(Condition(key=key, revision=5) for key in ("a/1", "a/2"))
            outcome = (await store.commit(Commit(conditions=conditions))).unwrap()
            assert isinstance(outcome, Conflicted)
            self.assertEqual(["a/1"], [item.key for item in outcome.current])

        run(scenario)

    def test_leases(self) -> None:
        """Guards against keys that outlive their lease, and an ended lease reported wrongly."""

        async def scenario(server: StoreServer, store: PlatformStore) -> None:
            lease = (await store.grant_lease(ttl_s=5.0)).unwrap()
            write = Write(key="a/1", value=b"", lease_id=lease)
            await store.commit(Commit(writes=(write,)))
            self.assertIsInstance(await store.renew_lease(lease), Success)
            await store.revoke_lease(lease)
            self.assertIsNone((await store.get("a/1")).unwrap())
            self.assertIs(ErrorKind.LEASE_LOST, (await store.renew_lease(lease)).failure().kind)
            late = await store.commit(Commit(writes=(write,)))
            self.assertIs(ErrorKind.LEASE_LOST, late.failure().kind)

        run(scenario)


class FaultTests(unittest.TestCase):
    @parameterized.expand([(status,) for status in (429, 503)])
    def test_refused_commit_was_not_applied(self, status: int) -> None:
        """Guards against reporting a refused commit as one that may have been applied."""

        async def scenario(server: StoreServer, store: PlatformStore) -> None:
            server.status = status
            kind = (await store.commit(PUT_COMMIT)).failure().kind
            self.assertIs(ErrorKind.STORE_UNAVAILABLE, kind)

        run(scenario)

    def test_lost_answer_of_a_commit_is_outcome_unknown(self) -> None:
        """Guards against reporting a commit without an answer as certainly not applied."""

        async def scenario(server: StoreServer, store: PlatformStore) -> None:
            server.withholds_answers = True
            self.assertIs(
                ErrorKind.OUTCOME_UNKNOWN, (await store.commit(PUT_COMMIT)).failure().kind
            )
            self.assertIn("a/1", server.store.items)
            self.assertIs(ErrorKind.STORE_UNAVAILABLE, (await store.get("a/1")).failure().kind)
            self.assertTrue(store.is_unavailable)
            server.withholds_answers = False
            self.assertIsInstance(await store.get("a/1"), Success)
            self.assertFalse(store.is_unavailable)

        run(scenario)

    def test_commit_without_connection_was_not_applied(self) -> None:
        """Guards against reporting a commit as possibly applied though no connection was opened."""

        async def scenario(server: StoreServer, store: PlatformStore) -> None:
            await server.listener.stop()
            kind = (await store.commit(PUT_COMMIT)).failure().kind
            self.assertIs(ErrorKind.STORE_UNAVAILABLE, kind)
            await server.listener.start()

        run(scenario)


CHUNK_COUNT = 12
CHUNK_INTERVAL_S = 0.1


class SlowLinkTests(unittest.TestCase):
    def test_slow_page_is_read(self) -> None:
        """Guards against a scheduler on a slow link that never reads its jobs.

        The client abandoned each page at a fixed timeout while bytes arrived, and read it again.
        """
        # A page of 1 MB takes 1.8 s on a link of 5 Mbit/s, and the timeout was 0.8 s.
        page = json.dumps({"items": [], "hasMore": False, "atRev": 7, "padding": "x" * 1200})

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(page)}\r\n\r\n"
            writer.write(head.encode())
            part = -(-len(page) // CHUNK_COUNT)
            for start in range(0, len(page), part):
                await asyncio.sleep(CHUNK_INTERVAL_S)
                writer.write(page[start : start + part].encode())
            writer.close()

        async def scenario() -> None:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            client = HttpClient(address=f"{host}:{port}")
            read = await PlatformStore(client=client, metrics=Metrics()).read_page("a/")
            self.assertEqual(7, read.unwrap().revision)
            await client.close()
            server.close()

        asyncio.run(scenario())

    def test_close_ends_a_call_in_progress(self) -> None:
        """Guards against an error at the stop, when a client is closed during a call."""

        async def scenario() -> None:
            writers: list[asyncio.StreamWriter] = []
            server = await asyncio.start_server(
                lambda _reader, writer: writers.append(writer), "127.0.0.1", 0
            )
            host, port = server.sockets[0].getsockname()
            client = HttpClient(address=f"{host}:{port}")
            call = asyncio.create_task(client.call("GET", "/", timeout_s=5.0))
            await asyncio.sleep(0.05)
            await client.close()
            self.assertIsInstance(await call, HttpNoAnswer)
            for writer in writers:
                writer.close()
            server.close()
            await server.wait_closed()

        asyncio.run(scenario())


if __name__ == "__main__":
    unittest.main()
