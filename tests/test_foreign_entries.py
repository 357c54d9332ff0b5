"""Tests of invalid entries and records that another program writes into the store.

They guard against accepted jobs of all services whose tasks never start: one entry with a list in
place of an object, or a string as capacity, raised an unexpected error in the task that watches the
workers' entries. The task ended without a log line, and the scheduler read no entry again. They
also guard against an unknown state that was read as draining, and against a worker that stayed in
use with its earlier entry after its entry became unreadable.
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
from shallotworks.standins._http_listener import HttpListener, json_response
from shallotworks.store import Item, PrefixWatcher
from tests.scheduling_fakes import quiet_log, step
from tests.scheduling_simulation import SERVICE, SchedulingSimulation
from tests.virtual_clock import run_scenario

FUZZ_ENTRIES = 600
FUZZ_SEED = 20
SETTLE_S = 2.0
"""Time within which a changed entry certainly reaches the scheduler."""
WATCH_TIMEOUT_S = 2.0
MAX_CALLS = 5
"""Limit of a client's calls with the same answer to each; more indicate an endless loop."""
NESTING_LEVELS = 200_000
"""Levels of nesting that exceed every decoder's limit."""

VALID_ENTRY: dict[str, Any] = {
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
"""An entry as a worker writes it."""


def changed(**fields: object) -> bytes:
    """Return a valid entry with some fields changed."""
    return json.dumps(VALID_ENTRY | fields).encode()


def without(name: str) -> bytes:
    """Return a valid entry without one field."""
    return json.dumps({key: value for key, value in VALID_ENTRY.items() if key != name}).encode()


def with_capacity(**fields: object) -> bytes:
    """Return a valid entry with parts of its capacity changed."""
    return changed(capacity=VALID_ENTRY["capacity"] | fields)


def without_capacity_field(name: str) -> bytes:
    """Return a valid entry without one part of its capacity."""
    return changed(
        capacity={key: value for key, value in VALID_ENTRY["capacity"].items() if key != name}
    )


STRING_FIELDS = ("service", "address", "zone", "version", "state")
INTEGER_FIELDS = ("slots", "seqNo")
NON_STRINGS: tuple[Any, ...] = (None, True, 7, 1.5, [], ["s"], {}, {"s": 1})
NON_INTEGERS: tuple[Any, ...] = (None, True, 1.5, "8", [], [8], {})
NON_OBJECTS: tuple[Any, ...] = (None, False, 16000, 1.5, "16000", [], [16000, 32768, 0])
INVALID_LABELS: tuple[Any, ...] = (
    None,
    True,
    3,
    "a,r1-3",
    {},
    [1, 2],
    ["a", None],
    [["a", "r1-3"]],
)

INVALID_ENTRIES: list[tuple[str, bytes, str, str]] = [
    *((f"no {name}", without(name), "missing", name) for name in VALID_ENTRY if name != "clockMs"),
    *(
        (f"no {name} in capacity", without_capacity_field(name), "missing", f"capacity.{name}")
        for name in VALID_ENTRY["capacity"]
    ),
    *(
        (f"{n}={v!r}", changed(**{n: v}), "wrong-type", n)
        for n in STRING_FIELDS
        for v in NON_STRINGS
    ),
    *(
        (f"{n}={v!r}", changed(**{n: v}), "wrong-type", n)
        for n in INTEGER_FIELDS
        for v in NON_INTEGERS
    ),
    *((f"capacity={v!r}", changed(capacity=v), "wrong-type", "capacity") for v in NON_OBJECTS),
    *(
        (f"capacity.{n}={v!r}", with_capacity(**{n: v}), "wrong-type", f"capacity.{n}")
        for n in VALID_ENTRY["capacity"]
        for v in NON_INTEGERS
    ),
    *((f"labels={v!r}", changed(labels=v), "wrong-type", "labels") for v in INVALID_LABELS),
    *(
        (f"cold={v!r}", changed(coldRemainingMs=v), "wrong-type", "coldRemainingMs")
        for v in (None, True, "0", [], {})
    ),
    *(
        (f"capacity.{n}={v!r}", with_capacity(**{n: v}), "out-of-range", f"capacity.{n}")
        for n in VALID_ENTRY["capacity"]
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
    ("deep lists", b"[" * NESTING_LEVELS + b"]" * NESTING_LEVELS, "not-json", ""),
    ("deep tables", b'{"a":' * NESTING_LEVELS + b"1" + b"}" * NESTING_LEVELS, "not-json", ""),
    ("null", b"null", "wrong-type", ""),
    ("a number", b"17", "wrong-type", ""),
    ("a text", b'"ready"', "wrong-type", ""),
    ("a list", b"[]", "wrong-type", ""),
    ("a list of entries", b"[" + changed() + b"]", "wrong-type", ""),
]

INVALID_IDS = ("", " ", "i 1", "i-1\r\nX: y", "i-1/i-2", "i-\u00fc", "i-\x00")


class RegistryHarness:
    """A registry with two workers besides the one under test, and the lines that it logs."""

    def __init__(self) -> None:
        self._written: list[bytes] = []
        self._log = StructuredLog(process="test", write=self._append)
        self._revision = 0
        self.registry = WorkerRegistry(log=self._log)
        self.write("i-1", changed(address="10.0.0.2:1"))
        self.write("i-3", changed(address="10.0.0.3:1"))

    def _append(self, data: bytes) -> int:
        self._written.append(data)
        return len(data)

    def write(self, worker_id: str, value: bytes) -> None:
        """Apply a written entry to the registry."""
        self._revision += 1
        self.registry.on_write(
            Item(key=f"servers/{worker_id}", value=value, revision=self._revision, created=1)
        )

    @property
    def ids(self) -> set[str]:
        """Ids of the service's listed workers."""
        return set(self.registry.workers_of("s"))

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return the logged lines of one event."""
        self._log.flush()
        lines = [json.loads(line) for line in b"".join(self._written).splitlines()]
        return [line for line in lines if line["event"] == event]


class InvalidEntryTests(unittest.TestCase):
    @parameterized.expand(INVALID_ENTRIES)
    def test_invalid_entry_removes_only_its_worker(
        self, _name: str, value: bytes, fault: str, field_name: str
    ) -> None:
        """Guards against using a worker with an invalid entry, new or known, or removing others."""
        harness = RegistryHarness()
        harness.write("i-2", value)
        self.assertEqual({"i-1", "i-3"}, harness.ids)
        harness.write("i-2", changed())
        self.assertEqual({"i-1", "i-2", "i-3"}, harness.ids)
        version = harness.registry.version
        harness.write("i-2", value)
        self.assertEqual({"i-1", "i-3"}, harness.ids)
        self.assertGreater(harness.registry.version, version)
        self.assertEqual(
            [("i-2", fault, field_name, False), ("i-2", fault, field_name, True)],
            [
                (line["worker"], line["fault"], line["field"], line["was_listed"])
                for line in harness.lines("worker-unreadable")
            ],
        )

    @parameterized.expand([(repr(key), key) for key in INVALID_IDS])
    def test_invalid_worker_id(self, _name: str, worker_id: str) -> None:
        """Guards against listing a worker whose id is invalid in the header of an order."""
        harness = RegistryHarness()
        harness.write(worker_id, changed())
        self.assertEqual({"i-1", "i-3"}, harness.ids)
        self.assertEqual(["bad-id"], [line["fault"] for line in harness.lines("worker-unreadable")])

    @parameterized.expand([("elsewhere",), ("S",), ("s ",), ("s\ud800",)])
    def test_entry_of_an_unknown_service(self, service: str) -> None:
        """Guards against listing a worker under its earlier service after a change of service."""
        harness = RegistryHarness()
        harness.write("i-2", changed())
        harness.write("i-2", changed(service=service))
        self.assertEqual({"i-1", "i-3"}, harness.ids)

    @parameterized.expand(
        [
            ("fields that nobody knows", changed(color="red", more={"deep": [1]}), False),
            ("a host's name", changed(address="worker-7.hall.example:8080"), False),
            ("IPv6", changed(address="[fd00::7]:8080"), False),
            ("part of a millisecond", changed(coldRemainingMs=0.5), False),
            ("further labels", changed(labels=["a", "r1-3", "ssd"]), False),
            ("no room", with_capacity(cpu=0, memMb=0), False),
            ("draining", changed(state="draining", remainingMs=900), True),
        ]
    )
    def test_valid_variants(self, _name: str, value: bytes, is_draining: bool) -> None:
        """Guards against rejecting entries that the platform's documentation allows."""
        harness = RegistryHarness()
        harness.write("i-2", value)
        self.assertIn("i-2", harness.ids)
        self.assertIs(is_draining, harness.registry.workers_of("s")["i-2"].is_draining)
        self.assertEqual([], harness.lines("worker-unreadable"))

    def test_duplicate_address_removes_no_worker(self) -> None:
        """Guards against unlisting a worker because another entry has the same address.

        Only the worker at that address can tell which of the two entries is right.
        """
        harness = RegistryHarness()
        harness.write("i-2", changed(address="10.0.0.2:1"))
        self.assertEqual({"i-1", "i-2", "i-3"}, harness.ids)


class EntryChangeTests(unittest.TestCase):
    def test_entry_becomes_invalid_and_valid_again(self) -> None:
        """Guards against using a worker while its entry is invalid, or later with old values."""
        harness = RegistryHarness()
        harness.write("i-2", changed())
        harness.write("i-2", changed(state="paused"))
        self.assertNotIn("i-2", harness.ids)
        version = harness.registry.version
        harness.write("i-2", with_capacity(cpu=8000))
        self.assertEqual(8000, harness.registry.workers_of("s")["i-2"].cpu_millicores)
        self.assertGreater(harness.registry.version, version)
        listed = [line for line in harness.lines("worker-listed") if line["worker"] == "i-2"]
        self.assertEqual(2, len(listed))

    def test_repeated_fault_is_logged_once(self) -> None:
        """Guards against a log that grows with each rewrite of an entry with the same problem."""
        harness = RegistryHarness()
        version = harness.registry.version
        # The bytes differ in each write, as when a worker rewrites its entry, but not the fault.
        for number in range(1000):
            harness.write("i-2", changed(state=f"state-{number}", seqNo=number))
        self.assertEqual(1, len(harness.lines("worker-unreadable")))
        self.assertEqual(version, harness.registry.version)
        harness.write("i-2", without("address"))
        self.assertEqual(2, len(harness.lines("worker-unreadable")))

    def test_fault_after_a_deletion_is_logged_again(self) -> None:
        """Guards against logging the deletion of an unlisted worker, or omitting a new problem."""
        harness = RegistryHarness()
        harness.write("i-2", b"x")
        version = harness.registry.version
        harness.registry.on_delete("servers/i-2", 99)
        self.assertEqual(version, harness.registry.version)
        self.assertEqual([], harness.lines("worker-unlisted"))
        harness.write("i-2", b"x")
        self.assertEqual(2, len(harness.lines("worker-unreadable")))


class FuzzTests(unittest.TestCase):
    def test_random_entries_raise_no_error(self) -> None:
        """Guards against random bytes or fields that raise an error or list an invalid worker."""
        rng = random.Random(FUZZ_SEED)
        harness = RegistryHarness()
        for number in range(FUZZ_ENTRIES):
            harness.write("i-2", corrupt(rng))
            self.assertLessEqual({"i-1", "i-3"}, harness.ids, number)
            for view in harness.registry.workers_of("s").values():
                self.assertIs(int, type(view.cpu_millicores))
                self.assertIs(int, type(view.memory_mb))
                self.assertIs(int, type(view.gpus))
                self.assertTrue(all(type(label) is str for label in view.labels))
                self.assertRegex(view.address, r"\A[0-9A-Za-z.\[\]:-]+:[0-9]+\Z")
        harness.write("i-2", changed())
        self.assertEqual({"i-1", "i-2", "i-3"}, harness.ids)


VALUES: tuple[Any, ...] = (
    *(None, True, False, 0, -1, 7, 1.5, -0.0, 1e308, 10**30, "", "s", "ready", "\x00", "\ud800"),
    *([], {}, [[]], {"": None}, ["a", 1], {"cpu": "1"}, float("nan"), float("-inf")),
)


def corrupt(rng: random.Random) -> bytes:
    """Return a valid entry with some fields removed, changed or wrapped, or some bytes changed."""
    entry = json.loads(json.dumps(VALID_ENTRY))
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


# ---- entries read through the store


@dataclass(slots=True)
class RawStore:
    """Serves given rows without checks; each watch is answered with one event."""

    items: list[Any]
    events: list[Any] = field(default_factory=list)
    sent_events: int = 0

    async def handle(self, request: Any) -> Any:
        if request.path == "/v1/kv-range":
            return json_response({"items": self.items, "hasMore": False, "atRev": 10})
        if self.sent_events < len(self.events):
            self.sent_events += 1
            return json_response(
                {"events": [self.events[self.sent_events - 1]], "atRev": 10 + self.sent_events}
            )
        await asyncio.sleep(0.02)
        return json_response({"events": [], "atRev": 10 + self.sent_events})


def row(worker_id: str, value: object, revision: int) -> dict[str, Any]:
    return {"key": f"servers/{worker_id}", "value": value, "revision": revision}


def encoded(value: bytes) -> str:
    return base64.b64encode(value).decode()


INVALID_VALUES: list[tuple[str, Any]] = [
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


class StoredValueTests(unittest.TestCase):
    """Guard against one undecodable value that repeatedly fails a page with all its keys."""

    @parameterized.expand(INVALID_VALUES)
    def test_invalid_value_affects_no_other_key(self, _name: str, value: object) -> None:
        """Guards against losing other keys of a page, or a change between valid and invalid."""
        valid = encoded(changed())
        store = RawStore(
            items=[row("i-1", valid, 1), row("i-2", value, 2), row("i-3", valid, 3)],
            events=[
                row("i-1", value, 11),
                row("i-4", valid, 12),
                row("i-2", valid, 13),
                {"key": "servers/i-3", "revision": 14, "deleted": True},
                row("i-1", valid, 15),
            ],
        )
        listed_ids = self._listed_after_each_change(store)
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
            listed_ids,
        )

    def test_missing_value(self) -> None:
        """Guards against a row without a value that fails the page."""
        row_without_value = {"key": "servers/i-2", "revision": 2}
        store = RawStore(items=[row("i-1", encoded(changed()), 1), row_without_value])
        self.assertEqual([{"i-1"}], self._listed_after_each_change(store))

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
    def test_malformed_answer_is_a_failure(self, _name: str, items: Any) -> None:
        """Guards against accepting a malformed answer of the store, which must be read again."""

        async def scenario(store: PlatformStore) -> None:
            read = await store.read_page("servers/")
            self.assertIs(ErrorKind.STORE_UNAVAILABLE, read.failure().kind)

        asyncio.run(_run_with_store(RawStore(items=items).handle, scenario))

    def test_deeply_nested_answer_is_a_failure(self) -> None:
        """Guards against an unexpected error that ends the watcher."""

        async def handle(_request: Any) -> Any:
            answer = json_response({})
            answer.body = b"[" * NESTING_LEVELS
            return answer

        async def scenario(store: PlatformStore) -> None:
            read = await store.read_page("servers/")
            self.assertIs(ErrorKind.STORE_UNAVAILABLE, read.failure().kind)

        asyncio.run(_run_with_store(handle, scenario))

    def _listed_after_each_change(self, raw: RawStore) -> list[set[str]]:
        """Return the set of listed workers after each change."""
        recorder = RecordingListener()

        async def scenario(store: PlatformStore) -> None:
            watcher = PrefixWatcher(
                store=store, prefix="servers/", listener=recorder, log=quiet_log()
            )
            task = asyncio.create_task(watcher.run())
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                while raw.sent_events < len(raw.events) or not watcher.synced.is_set():
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            self.assertFalse(task.done())
            task.cancel()

        asyncio.run(_run_with_store(raw.handle, scenario))
        return recorder.listed_ids


class RecordingListener:
    """A registry that records which workers are listed after each write or deletion."""

    def __init__(self) -> None:
        self.listed_ids: list[set[str]] = []
        self._registry = WorkerRegistry(log=quiet_log())

    def on_write(self, item: Item) -> None:
        self._registry.on_write(item)
        self._note()

    def on_delete(self, key: str, revision: int) -> None:
        self._registry.on_delete(key, revision)
        self._note()

    def _note(self) -> None:
        ids = set(self._registry.workers_of("s"))
        if not self.listed_ids or self.listed_ids[-1] != ids:
            self.listed_ids.append(ids)


async def _run_with_store(
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
    """Raises an error for one key."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def on_write(self, item: Item) -> None:
        if item.key == "a/2":
            raise AttributeError(item.key)
        self.events.append(item.key)

    def on_delete(self, key: str, revision: int) -> None:
        if key == "a/2":
            raise AttributeError(key)
        self.events.append(f"{key} gone")


class PrefixWatcherTests(unittest.TestCase):
    def test_continues_after_a_listener_error(self) -> None:
        """Guards against a watcher that reads no record any more after its listener failed on one.

        Its task ended with the listener's error, which the starter of the task did not check.
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
            self.assertEqual(["a/1", "a/3", "a/3 gone", "a/4"], listener.events)
            self.assertFalse(task.done())
            task.cancel()

        run_scenario(scenario())


# ---- workers that run tasks


class RunningWorkerTests(unittest.TestCase):
    @parameterized.expand([("unreadable", b"\xff"), ("unknown state", changed(state="paused"))])
    def test_tasks_continue_and_no_new_task_starts(self, _name: str, value: bytes) -> None:
        """Guards against moving or duplicating a task when its worker's entry becomes invalid.

        The worker is unlisted: it is polled and its lease extended, but it gets no new task.
        """

        async def scenario(fleet: RegisteredFleet) -> None:
            busy_id = await fleet.run_long_task(14.0)
            fleet.write(busy_id, value)
            await asyncio.sleep(SETTLE_S)
            self.assertFalse(fleet.scheduler_state.workers[busy_id].is_listed)
            for number in range(1, 9):
                await fleet.simulation.submit(f"{number:016x}", step(2))
                await asyncio.sleep(0.5)
                self.assertEqual(1, len(fleet.scheduler_state.workers[busy_id].runs))
            await asyncio.sleep(16.0)
            self.assertEqual(1 + 8 * 2, fleet.simulation.fleet.started)
            self.assertEqual([], fleet.simulation.violations())

        run_scenario(RegisteredFleet().run_with_workers(scenario))

    @parameterized.expand([("while it runs a task", 4.0), ("when it has let go of it", 24.0)])
    def test_worker_is_used_again_after_a_valid_entry(
        self, _name: str, invalid_for_s: float
    ) -> None:
        """Guards against a task that waits forever beside a worker whose entry is valid again.

        The scheduler drops an unlisted worker without runs, and must treat it as a new one later.
        """

        async def scenario(fleet: RegisteredFleet) -> None:
            affected_id = await fleet.run_long_task(14.0)
            fleet.write(affected_id, b"\xff")
            await asyncio.sleep(invalid_for_s)
            fleet.register(affected_id)
            await asyncio.sleep(SETTLE_S)
            self.assertIn(affected_id, fleet.scheduler_state.workers)
            self.assertTrue(fleet.scheduler_state.workers[affected_id].is_listed)

        run_scenario(RegisteredFleet().run_with_workers(scenario))


class RegisteredFleet:
    """One scheduler and two workers, whose entries it reads from the store."""

    def __init__(self) -> None:
        self.simulation = SchedulingSimulation(seed=3, workers=2, instances=1)
        self._registry = WorkerRegistry(log=quiet_log())
        self._registry.is_synced = True
        self._instance = self.simulation.instances[0]
        self._instance.directory = self._registry

    async def run_with_workers(
        self, scenario: Callable[[RegisteredFleet], Awaitable[None]]
    ) -> None:
        """Run a scenario once both workers are known."""
        watcher = PrefixWatcher(
            store=FaultInjectingStore(store=self.simulation.store),
            prefix="servers/",
            listener=self._registry,
            log=quiet_log(),
        )
        watcher_task = asyncio.create_task(watcher.run())
        for worker_id in self.simulation.fleet.workers:
            self.register(worker_id)
        self._instance.start()
        await asyncio.sleep(SETTLE_S)
        await scenario(self)
        await self._instance.kill()
        watcher_task.cancel()

    @property
    def scheduler_state(self) -> SchedulerState:
        """State of the scheduler."""
        return self._instance.service_schedulers[-1].scheduler_state

    def write(self, worker_id: str, value: bytes) -> None:
        """Write an entry."""
        self.simulation.store.put(f"servers/{worker_id}", value)

    def register(self, worker_id: str) -> None:
        """Write the entry that the worker itself writes."""
        room = {"cpu": 4000, "memMb": 4000, "gpu": 0}
        self.write(worker_id, changed(service=SERVICE, address="127.0.0.1:1", capacity=room))

    async def run_long_task(self, length_s: float) -> str:
        """Start a task and return the worker that runs it."""
        job_id = "0" * 16
        self.simulation.fleet.work_s[job_id] = length_s
        await self.simulation.submit(job_id, step(1, estimated_s=length_s, is_checkpointed=True))
        await asyncio.sleep(SETTLE_S)
        (busy_id,) = (
            key for key, worker in self.simulation.fleet.workers.items() if worker.names()
        )
        return busy_id


# ---- answers and records of other programs

TASK = "5c0e7a21d94b36f8.0.1.17"

INVALID_ANSWERS: list[tuple[str, dict[str, Any]]] = [
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
    """Guard against an invalid answer that ends the epochs of a scheduler and its successors."""

    @parameterized.expand(INVALID_ANSWERS)
    def test_invalid_answer_is_rejected(self, _name: str, fields: dict[str, Any]) -> None:
        """Guards against using a part of an invalid answer."""
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
    def test_status_is_valid_without_a_clock(self, status: int, order_status: OrderStatus) -> None:
        """Guards against losing an order's outcome because the answer's clock is invalid."""
        answer = HttpAnswer(status=status, body={"clockMs": [], "reason": "fence"})
        outcome = _decode_outcome(answer, is_poll=False)
        self.assertEqual((order_status, 0), (outcome.status, outcome.clock_ms))


class MachineListTests(unittest.TestCase):
    """Guard against an invalid row that ends the machine controller.

    No maintenance is started then, and no pool gets machines.
    """

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
    def test_invalid_rows(
        self, _name: str, fields: dict[str, Any], name: str | None, state: MachineState | None
    ) -> None:
        """Guards against using a machine with an invalid row, or dropping it as gone."""
        valid = {"machine": "m1", "pool": "s", "state": "up", "id": "i-1"}
        rows = [valid, valid | {"machine": "m2"} | fields, None, [], valid | {"machine": "m3"}]
        listed = self._list({"machines": rows}).unwrap()
        states = {machine.name: machine.state for machine in listed}
        expected = {"m1": MachineState.UP, "m3": MachineState.UP}
        if name is not None and state is not None:
            expected[name] = state
        self.assertEqual(expected, states)

    @parameterized.expand(
        [
            ("nothing", {}),
            ("null", {"machines": None}),
            ("text", {"machines": "m1"}),
            ("table", {"machines": {"m1": 1}}),
            ("token", {"machines": [], "nextToken": {"a": 1}}),
        ]
    )
    def test_invalid_list(self, _name: str, body: dict[str, Any]) -> None:
        """Guards against using an invalid list, which must be read again."""
        self.assertIsInstance(self._list(body), Failure)

    @staticmethod
    def _list(body: dict[str, Any]) -> Any:
        client = FixedAnswerClient(body)
        return asyncio.run(PlatformMachines(client=client, instance="e").list())  # type: ignore[arg-type]


class FixedAnswerClient:
    """Returns the same answer to each call."""

    def __init__(self, body: dict[str, Any]) -> None:
        self._body = body
        self._calls = 0

    async def call(self, *_: object, **__: object) -> HttpAnswer:
        self._calls += 1
        if self._calls > MAX_CALLS:
            raise AssertionError("the call is repeated without end")
        return HttpAnswer(status=200, body=self._body)


class AdviceTests(unittest.TestCase):
    """Guard against a step that waits forever because its request for advice raised an error."""

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
    def test_invalid_advice(self, _name: str, body: dict[str, Any]) -> None:
        """Guards against using invalid advice, which must be requested again."""
        self.assertIsInstance(self._ask(body), Failure)

    def test_valid_advice(self) -> None:
        """Guards against misreading tickets or their validity."""
        permits = self._ask({"allowed": [["i-1", "t"]], "validMs": 500})
        assert isinstance(permits, Success)
        self.assertEqual(({"i-1": "t"}, 0.5), (permits.unwrap().tickets, permits.unwrap().valid_s))

    @staticmethod
    def _ask(body: dict[str, Any]) -> Any:
        advice = PlatformAdvice(client=FixedAnswerClient(body))  # type: ignore[arg-type]
        return asyncio.run(advice.request_permits(("a", 0, 0), ("i-1",)))


CONFIGURATION: dict[str, Any] = {"version": 2, "routes": [], "services": []}


class OperatorRecordsTests(unittest.TestCase):
    """Guard against an unreadable operators' record that ends all instances at once."""

    @parameterized.expand(
        [
            ("list", "op/config", b"[]"),
            ("null", "op/config", b"null"),
            ("no text", "op/config", b"\xff"),
            ("deep", "op/config", b"[" * NESTING_LEVELS),
            ("limits", "op/config", json.dumps(CONFIGURATION | {"limits": []}).encode()),
            ("version", "op/config", json.dumps(CONFIGURATION | {"version": 1e400}).encode()),
            ("route", "op/config", json.dumps(CONFIGURATION | {"routes": [["x"]]}).encode()),
            ("wave list", "op/wave/1", b"[]"),
            ("wave endless", "op/wave/1", b'{"wave":1e400,"machines":[],"durationS":1}'),
            ("wave without number", "op/wave/x", b"{}"),
        ]
    )
    def test_invalid_record_is_ignored(self, _name: str, key: str, value: bytes) -> None:
        """Guards against an invalid record that has an effect when it is written or deleted."""
        operator_records = OperatorRecords(
            on_configuration=lambda _: None, log=quiet_log(), metrics=Metrics()
        )
        valid = json.dumps(CONFIGURATION).encode()
        operator_records.on_write(Item(key="op/config", value=valid, revision=1, created=1))
        operator_records.on_write(Item(key=key, value=value, revision=2, created=1))
        operator_records.on_delete(key, 99)
        assert operator_records.configuration is not None
        self.assertEqual(
            (2, ()), (operator_records.configuration.version, operator_records.waves())
        )


if __name__ == "__main__":
    unittest.main()
