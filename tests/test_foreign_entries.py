"""Tests of entries and records that another writer has left where workers register themselves.

Scenario: jobs of every service are accepted, and no task of theirs starts any more. Somebody wrote
one entry beside those of the workers, with a list for a table or a text for its capacity. Decoding
it raised an error that nobody expected, the task that follows the entries ended without a word, and
the scheduler heard of no worker again. Less visible: a state that nobody knows was taken for a
worker that drains, and an entry that turned unreadable left the worker in use as it was before.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Success

from shallotworks.errors import ErrorKind
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.platform._configuration import OperatorRecords
from shallotworks.platform._http import HttpAnswer, HttpClient
from shallotworks.platform._machines import PlatformAdvice, PlatformMachines
from shallotworks.platform._store import PlatformStore
from shallotworks.platform._workers import WorkerRegistry, _decode_outcome
from shallotworks.scheduling import MachineState, OrderStatus, SchedulerState
from shallotworks.standins import FaultInjectingStore, RecordStore
from shallotworks.standins._http_listener import HttpListener, answer_json
from shallotworks.store import Item, PrefixWatcher
from tests.scheduling_fakes import quiet_log, step
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

FUZZ_ENTRIES = 600
FUZZ_SEED = 20
SETTLE_S = 2.0
"""Within this a change of an entry has surely reached the scheduler."""
FOLLOW_S = 2.0
MOST_CALLS = 5
"""Calls of a client that gets the same answer to each; more are an endless loop."""
DEEP = 200_000
"""Levels of nesting that no decoder follows."""

GOOD: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:8080",
    "zone": "hall",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "seqNo": 4,
}
"""A worker's own entry."""


def changed(**fields: object) -> bytes:
    """Return a good entry with some fields changed."""
    return json.dumps(GOOD | fields).encode()


def without(name: str) -> bytes:
    """Return a good entry that lacks a field."""
    return json.dumps({key: value for key, value in GOOD.items() if key != name}).encode()


def with_room(**fields: object) -> bytes:
    """Return a good entry with parts of its capacity changed."""
    return changed(capacity=GOOD["capacity"] | fields)


def without_room(name: str) -> bytes:
    """Return a good entry that lacks a part of its capacity."""
    return changed(capacity={key: one for key, one in GOOD["capacity"].items() if key != name})


TEXTS = ("service", "address", "zone", "version", "state")
WHOLES = ("slots", "seqNo")
NO_TEXT: tuple[Any, ...] = (None, True, 7, 1.5, [], ["s"], {}, {"s": 1})
NO_WHOLE: tuple[Any, ...] = (None, True, 1.5, "8", [], [8], {})
NO_TABLE: tuple[Any, ...] = (None, False, 16000, 1.5, "16000", [], [16000, 32768, 0])
NO_LABELS: tuple[Any, ...] = (None, True, 3, "a,r1-3", {}, [1, 2], ["a", None], [["a", "r1-3"]])

BAD_ENTRIES: list[tuple[str, bytes, str, str]] = [
    *((f"no {name}", without(name), "missing", name) for name in GOOD if name != "clockMs"),
    *(
        (f"no {name} in capacity", without_room(name), "missing", f"capacity.{name}")
        for name in GOOD["capacity"]
    ),
    *((f"{n}={v!r}", changed(**{n: v}), "wrong-type", n) for n in TEXTS for v in NO_TEXT),
    *((f"{n}={v!r}", changed(**{n: v}), "wrong-type", n) for n in WHOLES for v in NO_WHOLE),
    *((f"capacity={v!r}", changed(capacity=v), "wrong-type", "capacity") for v in NO_TABLE),
    *(
        (f"capacity.{n}={v!r}", with_room(**{n: v}), "wrong-type", f"capacity.{n}")
        for n in GOOD["capacity"]
        for v in NO_WHOLE
    ),
    *((f"labels={v!r}", changed(labels=v), "wrong-type", "labels") for v in NO_LABELS),
    *(
        (f"cold={v!r}", changed(coldRemainingMs=v), "wrong-type", "coldRemainingMs")
        for v in (None, True, "0", [], {})
    ),
    *(
        (f"capacity.{n}={v!r}", with_room(**{n: v}), "out-of-range", f"capacity.{n}")
        for n in GOOD["capacity"]
        for v in (-1, 10**12, 10**400)
    ),
    ("empty service", changed(service=""), "out-of-range", "service"),
    *(
        (f"state {state!r}", changed(state=state), "unknown-state", "state")
        for state in ("", "Ready", "READY", "ready ", "paused", "starting", "gone", "ready\x00")
    ),
    *(
        (f"address {address!r}", changed(address=address), "out-of-range", "address")
        for address in (
            "",
            "10.0.0.1",
            "10.0.0.1:",
            ":8080",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:-1",
            "10.0.0.1:http",
            "10.0.0.1:80 80",
            "10.0.0.1:٨٠",
            "10.0.0.1:8080/x",
            "user@10.0.0.1:8080",
            "10.0.0.1:8080\r\nX: y",
            "http://10.0.0.1:8080",
            "a" * 300 + ":80",
        )
    ),
    ("no bytes", b"", "not-json", ""),
    ("not JSON", b"service=s", "not-json", ""),
    ("cut short", changed()[:-9], "not-json", ""),
    ("two values", changed() + changed(), "not-json", ""),
    ("not UTF-8", b"\xff\xfe\x00\x80", "not-json", ""),
    ("Latin-1 within", changed(zone="Zürich").replace(b"\\u00fc", b"\xfc"), "not-json", ""),
    ("UTF-16", changed().decode().encode("utf-16"), "not-json", ""),
    ("a byte order mark", b"\xef\xbb\xbf" + changed(), "not-json", ""),
    ("no number", changed(slots=float("nan")), "not-json", ""),
    ("endless", changed(slots=float("inf")), "not-json", ""),
    ("too many digits", changed().replace(b"16000", b"9" * 5000), "not-json", ""),
    ("a field twice", changed()[:-1] + b',"state":"draining"}', "not-json", ""),
    ("deep lists", b"[" * DEEP + b"]" * DEEP, "not-json", ""),
    ("deep tables", b'{"a":' * DEEP + b"1" + b"}" * DEEP, "not-json", ""),
    ("null", b"null", "wrong-type", ""),
    ("a number", b"17", "wrong-type", ""),
    ("a text", b'"ready"', "wrong-type", ""),
    ("a list", b"[]", "wrong-type", ""),
    ("a list of entries", b"[" + changed() + b"]", "wrong-type", ""),
]

BAD_IDS = ("", " ", "i 1", "i-1\r\nX: y", "i-1/i-2", "i-\u00fc", "i-\x00")


class Registry:
    """A registry with two workers beside the one that a test is about, and the lines it logs."""

    def __init__(self) -> None:
        self._written: list[bytes] = []
        self._log = StructuredLog(process="test", write=self._take)
        self._revision = 0
        self.registry = WorkerRegistry(log=self._log)
        self.write("i-1", changed(address="10.0.0.2:1"))
        self.write("i-3", changed(address="10.0.0.3:1"))

    def _take(self, data: bytes) -> int:
        self._written.append(data)
        return len(data)

    def write(self, worker_id: str, value: bytes) -> None:
        """Let an entry be written."""
        self._revision += 1
        self.registry.on_write(
            Item(key=f"servers/{worker_id}", value=value, revision=self._revision, created=1)
        )

    @property
    def ids(self) -> set[str]:
        """The workers of the service that may be used."""
        return set(self.registry.workers_of("s"))

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of one event."""
        self._log.flush()
        lines = [json.loads(line) for line in b"".join(self._written).splitlines()]
        return [line for line in lines if line["event"] == event]


class BadEntryTests(unittest.TestCase):
    @parameterized.expand(BAD_ENTRIES)
    def test_names_no_worker_and_the_others_hold(
        self, _name: str, value: bytes, fault: str, field_name: str
    ) -> None:
        """Neither as a newcomer nor as a worker that was listed; one line says why."""
        at = Registry()
        at.write("i-2", value)
        self.assertEqual({"i-1", "i-3"}, at.ids)
        at.write("i-2", changed())
        self.assertEqual({"i-1", "i-2", "i-3"}, at.ids)
        version = at.registry.version
        at.write("i-2", value)
        self.assertEqual({"i-1", "i-3"}, at.ids)
        self.assertGreater(at.registry.version, version)
        self.assertEqual(
            [("i-2", fault, field_name, False), ("i-2", fault, field_name, True)],
            [
                (line["worker"], line["fault"], line["field"], line["was_listed"])
                for line in at.lines("worker-unreadable")
            ],
        )

    @parameterized.expand([(repr(one), one) for one in BAD_IDS])
    def test_an_id_that_no_worker_has(self, _name: str, worker_id: str) -> None:
        """A key that could not stand in an order's header names no worker."""
        at = Registry()
        at.write(worker_id, changed())
        self.assertEqual({"i-1", "i-3"}, at.ids)
        self.assertEqual(["bad-id"], [line["fault"] for line in at.lines("worker-unreadable")])

    @parameterized.expand([("elsewhere",), ("S",), ("s ",), ("s\ud800",)])
    def test_a_service_that_nobody_names(self, service: str) -> None:
        """It is in a pool that nobody schedules, and the worker that had the key in no other."""
        at = Registry()
        at.write("i-2", changed())
        at.write("i-2", changed(service=service))
        self.assertEqual({"i-1", "i-3"}, at.ids)

    @parameterized.expand(
        [
            ("fields that nobody knows", changed(color="red", more={"deep": [1]}), False),
            ("a host's name", changed(address="worker-7.hall.example:8080"), False),
            ("IPv6", changed(address="[fd00::7]:8080"), False),
            ("part of a millisecond", changed(coldRemainingMs=0.5), False),
            ("further labels", changed(labels=["a", "r1-3", "ssd"]), False),
            ("no room", with_room(cpu=0, memMb=0), False),
            ("draining", changed(state="draining", remainingMs=900), True),
        ]
    )
    def test_what_a_worker_may_write(self, _name: str, value: bytes, is_draining: bool) -> None:
        """Strictness ends where the page does."""
        at = Registry()
        at.write("i-2", value)
        self.assertIn("i-2", at.ids)
        self.assertIs(is_draining, at.registry.workers_of("s")["i-2"].is_draining)
        self.assertEqual([], at.lines("worker-unreadable"))

    def test_a_copy_under_another_id_takes_nothing_away(self) -> None:
        """Of two entries with one address only the worker itself can tell which holds."""
        at = Registry()
        at.write("i-2", changed(address="10.0.0.2:1"))
        self.assertEqual({"i-1", "i-2", "i-3"}, at.ids)


class ChangeTests(unittest.TestCase):
    def test_good_bad_and_good_again(self) -> None:
        """Used, not used, and used with what the newest entry says."""
        at = Registry()
        at.write("i-2", changed())
        at.write("i-2", changed(state="paused"))
        self.assertNotIn("i-2", at.ids)
        version = at.registry.version
        at.write("i-2", with_room(cpu=8000))
        self.assertEqual(8000, at.registry.workers_of("s")["i-2"].cpu_millicores)
        self.assertGreater(at.registry.version, version)
        listed = [line for line in at.lines("worker-listed") if line["worker"] == "i-2"]
        self.assertEqual(2, len(listed))

    def test_the_same_fault_again_is_not_logged_again(self) -> None:
        """The log grows without end while somebody writes the same bad entry again and again.

        The bytes differ from one write to the next, as a worker's own do, and the fault does not.
        """
        at = Registry()
        version = at.registry.version
        for number in range(1000):
            at.write("i-2", changed(state=f"state-{number}", seqNo=number))
        self.assertEqual(1, len(at.lines("worker-unreadable")))
        self.assertEqual(version, at.registry.version)
        at.write("i-2", without("address"))
        self.assertEqual(2, len(at.lines("worker-unreadable")))

    def test_after_its_deletion_it_is_news_again(self) -> None:
        """And a deletion of what named no worker changes nothing."""
        at = Registry()
        at.write("i-2", b"x")
        version = at.registry.version
        at.registry.on_delete("servers/i-2", 99)
        self.assertEqual(version, at.registry.version)
        self.assertEqual([], at.lines("worker-unlisted"))
        at.write("i-2", b"x")
        self.assertEqual(2, len(at.lines("worker-unreadable")))


class FuzzTests(unittest.TestCase):
    def test_nothing_raises(self) -> None:
        """Whatever stands in an entry: the others hold, and what is listed is whole."""
        rng = random.Random(FUZZ_SEED)
        at = Registry()
        for number in range(FUZZ_ENTRIES):
            at.write("i-2", spoil(rng))
            self.assertLessEqual({"i-1", "i-3"}, at.ids, number)
            for view in at.registry.workers_of("s").values():
                self.assertIs(int, type(view.cpu_millicores))
                self.assertIs(int, type(view.memory_mb))
                self.assertIs(int, type(view.gpus))
                self.assertTrue(all(type(label) is str for label in view.labels))
                self.assertRegex(view.address, r"\A[0-9A-Za-z.\[\]:-]+:[0-9]+\Z")
        at.write("i-2", changed())
        self.assertEqual({"i-1", "i-2", "i-3"}, at.ids)


VALUES: tuple[Any, ...] = (
    *(None, True, False, 0, -1, 7, 1.5, -0.0, 1e308, 10**30, "", "s", "ready", "\x00", "\ud800"),
    *([], {}, [[]], {"": None}, ["a", 1], {"cpu": "1"}, float("nan"), float("-inf")),
)


def spoil(rng: random.Random) -> bytes:
    """Return an entry with some fields dropped, changed or moved, or with some bytes changed."""
    entry = json.loads(json.dumps(GOOD))
    for _ in range(rng.randint(0, 3)):
        table = rng.choice([entry, entry.get("capacity")])
        if not isinstance(table, dict) or not table:
            continue
        name = rng.choice(list(table))
        if rng.random() < 0.3:
            del table[name]
        elif rng.random() < 0.2:
            table[name] = [table[name]]
        else:
            table[name] = rng.choice(VALUES)
    raw = bytearray(json.dumps(entry).encode())
    for _ in range(rng.choice([0, 0, 1, 2, 8])):
        raw[rng.randrange(len(raw))] = rng.randrange(256)
    return bytes(raw[: rng.randrange(len(raw))] if rng.random() < 0.1 else raw)


# ---- through the store


@dataclass(slots=True)
class RawStore:
    """Serves rows as they are given, right or wrong; each watch is answered with one event."""

    items: list[Any]
    events: list[Any] = field(default_factory=list)
    told: int = 0

    async def handle(self, request: Any) -> Any:
        if request.path == "/v1/kv-range":
            return answer_json({"items": self.items, "hasMore": False, "atRev": 10})
        if self.told < len(self.events):
            self.told += 1
            return answer_json({"events": [self.events[self.told - 1]], "atRev": 10 + self.told})
        await asyncio.sleep(0.02)
        return answer_json({"events": [], "atRev": 10 + self.told})


def row(worker_id: str, value: object, revision: int) -> dict[str, Any]:
    return {"key": f"servers/{worker_id}", "value": value, "revision": revision}


def encoded(value: bytes) -> str:
    return base64.b64encode(value).decode()


BAD_VALUES: list[tuple[str, Any]] = [
    ("empty", ""),
    ("not base64", "%%%%"),
    ("without its padding", encoded(changed()).rstrip("=")[:-1]),
    ("base64 among other signs", "*" + encoded(changed())),
    ("not ASCII", "é"),
    ("null", None),
    ("a number", 7),
    ("a list", [encoded(changed())]),
    ("a table", {}),
    ("not UTF-8", encoded(b"\xff\xfe")),
]


class StoreTests(unittest.TestCase):
    """One value that can't be decoded failed the whole page, again and again, for all its keys."""

    @parameterized.expand(BAD_VALUES)
    def test_the_other_keys_hold(self, _name: str, value: object) -> None:
        """In a page, and when a good entry turns bad and good again."""
        good = encoded(changed())
        store = RawStore(
            items=[row("i-1", good, 1), row("i-2", value, 2), row("i-3", good, 3)],
            events=[
                row("i-1", value, 11),
                row("i-4", good, 12),
                row("i-2", good, 13),
                {"key": "servers/i-3", "revision": 14, "deleted": True},
                row("i-1", good, 15),
            ],
        )
        seen = self._follow(store)
        self.assertEqual(
            [
                {"i-1"},
                {"i-1", "i-3"},
                {"i-3"},
                {"i-3", "i-4"},
                {"i-2", "i-3", "i-4"},
                {"i-2", "i-4"},
                {"i-1", "i-2", "i-4"},
            ],
            seen,
        )

    def test_a_row_without_a_value(self) -> None:
        """As one whose value can't be decoded."""
        bare = {"key": "servers/i-2", "revision": 2}
        store = RawStore(items=[row("i-1", encoded(changed()), 1), bare])
        self.assertEqual([{"i-1"}], self._follow(store))

    @parameterized.expand(
        [
            ("no table", [[]]),
            ("a text", ["x"]),
            ("no key", [{"value": "", "revision": 2}]),
            ("a key of another type", [{"key": 7, "value": "", "revision": 2}]),
            ("no revision", [{"key": "servers/i", "value": ""}]),
            ("a revision of another type", [{"key": "servers/i", "value": "", "revision": "2"}]),
            ("no list", "x"),
            ("null", None),
        ]
    )
    def test_an_answer_of_another_shape_is_a_failure(self, _name: str, items: Any) -> None:
        """What only the store itself writes: the call has failed, and may be tried again."""

        async def scenario(store: PlatformStore) -> None:
            read = await store.read_page("servers/")
            self.assertIs(ErrorKind.STORE_UNAVAILABLE, read.failure().kind)

        asyncio.run(_served(RawStore(items=items).handle, scenario))

    def test_an_answer_too_deep_to_decode_is_a_failure(self) -> None:
        """The follower ended on an error that nobody expected."""

        async def handle(_request: Any) -> Any:
            answer = answer_json({})
            answer.body = b"[" * DEEP
            return answer

        async def scenario(store: PlatformStore) -> None:
            read = await store.read_page("servers/")
            self.assertIs(ErrorKind.STORE_UNAVAILABLE, read.failure().kind)

        asyncio.run(_served(handle, scenario))

    def _follow(self, raw: RawStore) -> list[set[str]]:
        """Return the sets of workers that were listed one after another."""
        recorder = Recorder()

        async def scenario(store: PlatformStore) -> None:
            watcher = PrefixWatcher(
                store=store, prefix="servers/", listener=recorder, log=quiet_log()
            )
            task = asyncio.create_task(watcher.run())
            async with asyncio.timeout(FOLLOW_S):
                while raw.told < len(raw.events) or not watcher.synced.is_set():
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            self.assertFalse(task.done())
            task.cancel()

        asyncio.run(_served(raw.handle, scenario))
        return recorder.seen


class Recorder:
    """A registry that notes which workers are listed after each thing it hears."""

    def __init__(self) -> None:
        self.seen: list[set[str]] = []
        self._registry = WorkerRegistry(log=quiet_log())

    def on_write(self, item: Item) -> None:
        self._registry.on_write(item)
        self._note()

    def on_delete(self, key: str, revision: int) -> None:
        self._registry.on_delete(key, revision)
        self._note()

    def _note(self) -> None:
        ids = set(self._registry.workers_of("s"))
        if not self.seen or self.seen[-1] != ids:
            self.seen.append(ids)


async def _served(
    handle: Callable[[Any], Awaitable[Any]], scenario: Callable[[PlatformStore], Awaitable[None]]
) -> None:
    listener = HttpListener(handle=handle, host="127.0.0.1")
    await listener.start()
    client = HttpClient(address=listener.address)
    try:
        await scenario(PlatformStore(client=client, metrics=Metrics()))
    finally:
        await client.close()
        await listener.stop()


class FaultyListener:
    """Raises an error on one key."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def on_write(self, item: Item) -> None:
        if item.key == "a/2":
            raise AttributeError(item.key)
        self.told.append(item.key)

    def on_delete(self, key: str, revision: int) -> None:
        if key == "a/2":
            raise AttributeError(key)
        self.told.append(f"{key} gone")


class PrefixWatcherTests(unittest.TestCase):
    def test_goes_on_when_its_listener_fails_on_one_key(self) -> None:
        """No configuration, worker or job is heard of any more, after a fault on one record.

        The listener raises on a record; the task that follows the store ends with it, and whoever
        started that task does not look at it.
        """

        async def scenario() -> None:
            store, listener = RecordStore(rng=random.Random(1)), FaultyListener()
            for number in range(1, 4):
                store.put(f"a/{number}", b"")
            watcher = PrefixWatcher(
                store=FaultInjectingStore(store=store),
                prefix="a/",
                listener=listener,
                log=quiet_log(),
            )
            task = asyncio.create_task(watcher.run())
            await asyncio.sleep(1)
            for key in ("a/2", "a/3"):
                store.delete(key)
            store.put("a/4", b"")
            await asyncio.sleep(1)
            self.assertEqual(["a/1", "a/3", "a/3 gone", "a/4"], listener.told)
            self.assertFalse(task.done())
            task.cancel()

        run_scenario(scenario())


# ---- a worker that runs tasks


class RunningWorkerTests(unittest.TestCase):
    @parameterized.expand([("unreadable", b"\xff"), ("unknown state", changed(state="paused"))])
    def test_its_tasks_run_on_and_no_other_starts(self, _name: str, value: bytes) -> None:
        """A task runs twice at once, after the entry of the worker that runs it turned bad.

        Forgotten with its entry, the worker would run on under its lease while the task is started
        elsewhere; taken for draining, it would be emptied. It must be unlisted: looked at, its
        lease extended, its end counted, and nothing new started there.
        """

        async def scenario(fleet: RegisteredFleet) -> None:
            busy = await fleet.run_long_task(14.0)
            fleet.write(busy, value)
            await asyncio.sleep(SETTLE_S)
            self.assertFalse(fleet.scheduler_state.workers[busy].is_listed)
            for number in range(1, 9):
                await fleet.simulation.submit(f"{number:016x}", step(2))
                await asyncio.sleep(0.5)
                self.assertEqual(1, len(fleet.scheduler_state.workers[busy].runs))
            await asyncio.sleep(16.0)
            self.assertEqual(1 + 8 * 2, fleet.simulation.fleet.started)
            self.assertEqual([], fleet.simulation.violations())

        run_scenario(RegisteredFleet().play(scenario))

    @parameterized.expand([("while it runs a task", 4.0), ("when it has let go of it", 24.0)])
    def test_it_is_used_again_when_its_entry_is_good_again(
        self, _name: str, bad_for_s: float
    ) -> None:
        """A task waits for ever beside a worker with room for it.

        The worker's entry was bad for a while. Once nothing runs there, the scheduler lets go of a
        worker that is not listed; its entry turns good again, and the worker must be used as any
        newcomer is.
        """

        async def scenario(fleet: RegisteredFleet) -> None:
            spoilt = await fleet.run_long_task(14.0)
            fleet.write(spoilt, b"\xff")
            await asyncio.sleep(bad_for_s)
            fleet.register(spoilt)
            await asyncio.sleep(SETTLE_S)
            self.assertIn(spoilt, fleet.scheduler_state.workers)
            self.assertTrue(fleet.scheduler_state.workers[spoilt].is_listed)

        run_scenario(RegisteredFleet().play(scenario))


class RegisteredFleet:
    """One scheduler and two workers that it hears of by their entries in the store."""

    def __init__(self) -> None:
        self.simulation = SchedulingSimulation(seed=3, workers=2, instances=1)
        self._registry = WorkerRegistry(log=quiet_log())
        self._registry.is_synced = True
        self._instance = self.simulation.instances[0]
        self._instance.directory = self._registry

    async def play(self, scenario: Callable[[RegisteredFleet], Awaitable[None]]) -> None:
        """Play a scenario once both workers are known."""
        watcher = PrefixWatcher(
            store=FaultInjectingStore(store=self.simulation.store),
            prefix="servers/",
            listener=self._registry,
            log=quiet_log(),
        )
        follower = asyncio.create_task(watcher.run())
        for worker_id in self.simulation.fleet.workers:
            self.register(worker_id)
        self._instance.start()
        await asyncio.sleep(SETTLE_S)
        await scenario(self)
        await self._instance.kill()
        follower.cancel()

    @property
    def scheduler_state(self) -> SchedulerState:
        """What the scheduler knows."""
        return self._instance.service_schedulers[-1].scheduler_state

    def write(self, worker_id: str, value: bytes) -> None:
        """Write an entry."""
        self.simulation.store.put(f"servers/{worker_id}", value)

    def register(self, worker_id: str) -> None:
        """Write the entry that the worker itself writes."""
        room = {"cpu": 4000, "memMb": 4000, "gpu": 0}
        self.write(worker_id, changed(service=SERVICE, address="127.0.0.1:1", capacity=room))

    async def run_long_task(self, length_s: float) -> str:
        """Have a task run; return the worker that runs it."""
        job_id = "0" * 16
        self.simulation.fleet.work_s[job_id] = length_s
        await self.simulation.submit(job_id, step(1, estimated_s=length_s, is_checkpointed=True))
        await asyncio.sleep(SETTLE_S)
        (busy,) = (key for key, one in self.simulation.fleet.workers.items() if one.names())
        return busy


# ---- what else others write

TASK = "5c0e7a21d94b36f8.0.1.17"

BAD_ANSWERS: list[tuple[str, dict[str, Any]]] = [
    ("clock null", {"clockMs": None}),
    ("clock text", {"clockMs": "7"}),
    ("clock list", {"clockMs": []}),
    ("clock endless", {"clockMs": float("inf")}),
    ("running null", {"running": None}),
    ("running table", {"running": {"a": 1}}),
    ("running text", {"running": "ab"}),
    ("row null", {"running": [None]}),
    ("row short", {"running": [[TASK]]}),
    ("name no text", {"running": [[7, 1, "", 1]]}),
    ("name short", {"running": [["a.0", 1, "", 1]]}),
    ("name not whole", {"running": [["a.0.x.1", 1, "", 1]]}),
    ("run no number", {"running": [[TASK, "1", "", 1]]}),
    ("run true", {"running": [[TASK, True, "", 1]]}),
    ("checkpoint list", {"running": [[TASK, 1, ["c"], 1]]}),
    ("percent null", {"running": [[TASK, 1, "", None]]}),
    ("percent endless", {"running": [[TASK, 1, "", float("inf")]]}),
    ("figure text", {"running": [[TASK, 1, "", 1, "x"]]}),
    ("ended number", {"ended": 7}),
    ("end short", {"ended": [[1, TASK, 1]]}),
    ("end without number", {"ended": [[None, TASK, 1, "done", ""]]}),
    ("end of another kind", {"ended": [[1, TASK, 1, "gone", ""]]}),
    ("end of no kind", {"ended": [[1, TASK, 1, ["done"], ""]]}),
]


class WorkerAnswerTests(unittest.TestCase):
    """An answer that can't be read ended the scheduler's term, and its successors' after it."""

    @parameterized.expand(BAD_ANSWERS)
    def test_an_answer_that_can_not_be_read(self, _name: str, fields: dict[str, Any]) -> None:
        """It tells nothing."""
        body = {"clockMs": 5, "running": [], "ended": []} | fields
        outcome = _decode_outcome(HttpAnswer(status=200, body=body), is_poll=True)
        self.assertIsNone(outcome.report)
        self.assertIs(OrderStatus.INVALID, outcome.status)

    @parameterized.expand(
        [
            (200, OrderStatus.OBEYED),
            (409, OrderStatus.FENCED),
            (421, OrderStatus.GONE),
            (503, OrderStatus.UNHEALTHY),
        ]
    )
    def test_an_ending_holds_without_a_clock(self, status: int, order_status: OrderStatus) -> None:
        """The status alone says what became of an order."""
        answer = HttpAnswer(status=status, body={"clockMs": [], "reason": "fence"})
        outcome = _decode_outcome(answer, is_poll=False)
        self.assertEqual((order_status, 0), (outcome.status, outcome.clock_ms))


class MachineTests(unittest.TestCase):
    """A row that can't be read ended the keeper: no upkeep is begun, and no pool gets machines."""

    @parameterized.expand(
        [
            ("state unknown", {"state": "asleep"}, "m2", MachineState.DOWN),
            ("state missing", {"state": None}, "m2", MachineState.DOWN),
            ("state list", {"state": ["up"]}, "m2", MachineState.DOWN),
            ("pool missing", {"pool": None}, "m2", MachineState.DOWN),
            ("worker of another type", {"id": 7}, "m2", MachineState.DOWN),
            ("no name", {"machine": None}, None, None),
        ]
    )
    def test_rows(
        self, _name: str, fields: dict[str, Any], name: str | None, state: MachineState | None
    ) -> None:
        """The machine stays on the list, where one that is missing counts as gone; none uses it."""
        good = {"machine": "m1", "pool": "s", "state": "up", "id": "i-1"}
        rows = [good, good | {"machine": "m2"} | fields, None, [], good | {"machine": "m3"}]
        listed = self._list({"machines": rows}).unwrap()
        found = {one.name: one.state for one in listed}
        expected = {"m1": MachineState.UP, "m3": MachineState.UP}
        if name is not None and state is not None:
            expected[name] = state
        self.assertEqual(expected, found)

    @parameterized.expand(
        [
            ("nothing", {}),
            ("null", {"machines": None}),
            ("text", {"machines": "m1"}),
            ("table", {"machines": {"m1": 1}}),
            ("token", {"machines": [], "nextToken": {"a": 1}}),
        ]
    )
    def test_no_list(self, _name: str, body: dict[str, Any]) -> None:
        """The list was not read; it is asked for again."""
        self.assertIsInstance(self._list(body), Failure)

    @staticmethod
    def _list(body: dict[str, Any]) -> Any:
        client = OneAnswer(body)
        return asyncio.run(PlatformMachines(client=client, instance="e").list())  # type: ignore[arg-type]


class OneAnswer:
    """Answers each call alike."""

    def __init__(self, body: dict[str, Any]) -> None:
        self._body = body
        self._calls = 0

    async def call(self, *_: object, **__: object) -> HttpAnswer:
        self._calls += 1
        if self._calls > MOST_CALLS:
            raise AssertionError("asked for ever")
        return HttpAnswer(status=200, body=self._body)


class AdviceTests(unittest.TestCase):
    """A step waits for ever: the question about it ended on an error, and no other is asked."""

    @parameterized.expand(
        [
            ("null", {"allowed": None, "validMs": 9}),
            ("number", {"allowed": 7, "validMs": 9}),
            ("short row", {"allowed": [["i-1"]], "validMs": 9}),
            ("row null", {"allowed": [None], "validMs": 9}),
            ("ticket number", {"allowed": [["i-1", 7]], "validMs": 9}),
            ("valid list", {"allowed": [], "validMs": []}),
            ("valid text", {"allowed": [], "validMs": "x"}),
            ("valid no number", {"allowed": [], "validMs": float("nan")}),
            ("valid endless", {"allowed": [], "validMs": float("inf")}),
            ("valid negative", {"allowed": [], "validMs": -1}),
        ]
    )
    def test_no_advice(self, _name: str, body: dict[str, Any]) -> None:
        """It is asked for again."""
        self.assertIsInstance(self._ask(body), Failure)

    def test_advice(self) -> None:
        """The tickets, and for how long they hold."""
        permits = self._ask({"allowed": [["i-1", "t"]], "validMs": 500})
        assert isinstance(permits, Success)
        self.assertEqual(({"i-1": "t"}, 0.5), (permits.unwrap().tickets, permits.unwrap().valid_s))

    @staticmethod
    def _ask(body: dict[str, Any]) -> Any:
        advice = PlatformAdvice(client=OneAnswer(body))  # type: ignore[arg-type]
        return asyncio.run(advice.ask(("a", 0, 0), ("i-1",)))


CONFIGURATION: dict[str, Any] = {"version": 2, "routes": [], "services": []}


class OperatorsTests(unittest.TestCase):
    """A record of the operators that can't be read ended the process, on each instance at once."""

    @parameterized.expand(
        [
            ("list", "op/config", b"[]"),
            ("null", "op/config", b"null"),
            ("no text", "op/config", b"\xff"),
            ("deep", "op/config", b"[" * DEEP),
            ("limits", "op/config", json.dumps(CONFIGURATION | {"limits": []}).encode()),
            ("version", "op/config", json.dumps(CONFIGURATION | {"version": 1e400}).encode()),
            ("route", "op/config", json.dumps(CONFIGURATION | {"routes": [["x"]]}).encode()),
            ("wave list", "op/wave/1", b"[]"),
            ("wave endless", "op/wave/1", b'{"wave":1e400,"machines":[],"durationS":1}'),
            ("wave without number", "op/wave/x", b"{}"),
        ]
    )
    def test_changes_nothing(self, _name: str, key: str, value: bytes) -> None:
        """Neither when it is written nor when it is deleted."""
        book = OperatorRecords(on_configuration=lambda _: None, log=quiet_log())
        good = json.dumps(CONFIGURATION).encode()
        book.on_write(Item(key="op/config", value=good, revision=1, created=1))
        book.on_write(Item(key=key, value=value, revision=2, created=1))
        book.on_delete(key, 99)
        assert book.configuration is not None
        self.assertEqual((2, ()), (book.configuration.version, book.waves()))


if __name__ == "__main__":
    unittest.main()
