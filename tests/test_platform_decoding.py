"""Tests of what the adapter reads: settings, operators' records, workers' entries and answers."""

import contextlib
import io
import json
import tempfile
import unittest

from parameterized import parameterized
from returns.result import Success

from shallotworks.cli._main import run as run_command
from shallotworks.errors import ErrorKind
from shallotworks.platform import load_platform_settings
from shallotworks.platform._configuration import Configuration, OperatorRecords
from shallotworks.platform._http import HttpAnswer
from shallotworks.platform._workers import WorkerRegistry, _decode_outcome
from shallotworks.scheduling import EndKind, OrderStatus
from shallotworks.store import Item
from tests.scheduling_fakes import quiet_log

SETTINGS = """
nodeName = "edge-1"
ip = "10.1.0.9"
zone = "hall"
unknownField = 3
[listen]
front = "10.1.0.9:1"
ready = "10.1.0.9:2"
[platform]
address = "10.2.0.1:3"
[bounds]
maxHoldMs = 6000
"""


class SettingsTests(unittest.TestCase):
    def test_sound_settings(self) -> None:
        """Unknown fields are ignored, missing bounds have defaults."""
        read = self._load(SETTINGS)
        assert isinstance(read, Success)
        settings = read.unwrap()
        self.assertEqual(("edge-1", "hall"), (settings.instance, settings.data_centre))
        self.assertEqual(6.0, settings.bounds.longest_lease_s)

    @parameterized.expand(
        [
            ("no table", SETTINGS.replace("[platform]", "[other]"), "platform"),
            ("no field", SETTINGS.replace("front", "back"), "front"),
            ("no settings", "x = [", "Invalid"),
            ("odd figure", SETTINGS.replace("6000", '"soon"'), "soon"),
        ]
    )
    def test_faults_are_named(self, _name: str, text: str, expected: str) -> None:
        """With the file and what is wrong in it."""
        failure = self._load(text).failure()
        self.assertIs(ErrorKind.INVALID_SETTINGS, failure.kind)
        self.assertIn(expected, failure.reason)

    def test_no_file(self) -> None:
        """The variable that should name it is told."""
        self.assertIn("SHALLOTWORKS_SETTINGS", load_platform_settings("").failure().reason)

    @parameterized.expand([("sound", SETTINGS, True), ("unsound", "x = 1", False)])
    def test_the_command_line_checks_them(self, _name: str, text: str, is_right: bool) -> None:
        """`shallotworks check-settings` takes the platform's file too."""
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            with (
                contextlib.redirect_stdout(io.StringIO()),
                contextlib.redirect_stderr(io.StringIO()),
            ):
                found = run_command(["check-settings", file.name])
        self.assertEqual(is_right, found == 0)

    def _load(self, text: str):  # type: ignore[no-untyped-def]
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            return load_platform_settings(file.name)


class OperatorsTests(unittest.TestCase):
    def test_an_older_configuration_never_comes_back(self) -> None:
        """A route that callers use is gone again, in one process.

        The store is read anew while another reading is under way, and the older version is told
        last. What is in force must stay.
        """
        taken: list[Configuration] = []
        book = OperatorRecords(on_configuration=taken.append, log=quiet_log())
        for version in (2, 7, 3, 7):
            book.on_write(self._item("op/config", _configuration(version)))
        self.assertEqual([2, 7], [one.version for one in taken])

    def test_what_can_not_be_read_changes_nothing(self) -> None:
        """The configuration in force stays."""
        book = OperatorRecords(on_configuration=lambda _: None, log=quiet_log())
        book.on_write(self._item("op/config", _configuration(2)))
        book.on_write(self._item("op/config", {"version": 3}))
        book.on_delete("op/config", 9)
        assert book.configuration is not None
        self.assertEqual(2, book.configuration.version)

    def test_waves(self) -> None:
        """As operators write them."""
        book = OperatorRecords(on_configuration=lambda _: None, log=quiet_log())
        record = {"wave": 4, "machines": ["m1"], "durationS": 20, "maxCount": 2}
        book.on_write(self._item("op/wave/4", record))
        self.assertEqual(
            [(4, ("m1",), 20.0, 2)],
            [(one.wave, one.machines, one.duration_s, one.most_at_once) for one in book.waves()],
        )
        book.on_delete("op/wave/4", 9)
        self.assertEqual((), book.waves())

    @staticmethod
    def _item(key: str, record: object) -> Item:
        return Item(key=key, value=json.dumps(record).encode(), revision=1, created=1)


class WorkerTests(unittest.TestCase):
    def test_entries(self) -> None:
        """Room, rack and state of a worker; what can't be read is left out."""
        registry = WorkerRegistry(log=quiet_log())
        entry = {
            "service": "s",
            "address": "10.0.0.1:1",
            "zone": "hall",
            "version": "v1",
            "slots": 8,
            "state": "draining",
            "coldRemainingMs": 0,
            "seqNo": 4,
            "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
            "labels": ["a", "r1-3"],
        }
        registry.on_write(_entry("i-1", entry))
        registry.on_write(_entry("i-2", {"service": "s"}))
        view = registry.workers_of("s")["i-1"]
        self.assertEqual(("r1-3", 16000, True), (view.rack, view.cpu_millicores, view.is_draining))
        self.assertEqual(1, len(registry.workers_of("s")))
        registry.on_delete("servers/i-1", 9)
        self.assertEqual({}, registry.workers_of("s"))

    @parameterized.expand(
        [
            (200, "", OrderStatus.OBEYED),
            (400, "", OrderStatus.INVALID),
            (409, "fence", OrderStatus.FENCED),
            (409, "old", OrderStatus.STALE_RUN),
            (409, "late", OrderStatus.TOO_LATE),
            (409, "room", OrderStatus.NO_ROOM),
            (409, "ticket", OrderStatus.NO_TICKET),
            (421, "", OrderStatus.GONE),
            (429, "", OrderStatus.UNHEALTHY),
            (503, "", OrderStatus.UNHEALTHY),
            (500, "", OrderStatus.UNANSWERED),
        ]
    )
    def test_endings(self, status: int, reason: str, expected: OrderStatus) -> None:
        """Each answer says whether the order was carried out."""
        answer = HttpAnswer(status=status, body={"clockMs": 5, "reason": reason})
        self.assertIs(expected, _decode_outcome(answer, is_poll=False).status)

    def test_reports(self) -> None:
        """What runs, with and without the last figure, and what has ended."""
        name = "5c0e7a21d94b36f8.2.1.17"
        body = {
            "clockMs": 9,
            "running": [[name, 2, "c", 41], [name, 3, "", 100, 55]],
            "ended": [[58, name, 1, "lapsed", ""]],
        }
        report = _decode_outcome(HttpAnswer(status=200, body=body), is_poll=True).report
        assert report is not None
        self.assertEqual([(41, 0), (100, 55)], [(r.percent, r.figure) for r in report.running])
        self.assertEqual((2, 1, 17), report.running[0].name[1:])
        self.assertIs(EndKind.LAPSED, report.ended[0].kind)


def _configuration(version: int) -> dict[str, object]:
    return {"version": version, "routes": [], "services": []}


def _entry(worker_id: str, record: object) -> Item:
    value = json.dumps(record).encode()
    return Item(key=f"servers/{worker_id}", value=value, revision=1, created=1)


if __name__ == "__main__":
    unittest.main()
