"""Tests of the adapter's decoding: settings, operators' records, workers' entries and answers."""

import contextlib
import io
import json
import tempfile
import unittest

from parameterized import parameterized
from returns.result import Success

from shallotworks.cli._main import run as run_command
from shallotworks.errors import ErrorKind
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
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
    def test_valid_settings(self) -> None:
        """Guards against rejecting unknown fields, and against missing bounds without a default."""
        loaded = self._load(SETTINGS)
        assert isinstance(loaded, Success)
        settings = loaded.unwrap()
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
    def test_invalid_settings_are_reported(self, _name: str, text: str, expected: str) -> None:
        """Guards against an error that names neither the file nor the invalid field."""
        failure = self._load(text).failure()
        self.assertIs(ErrorKind.INVALID_SETTINGS, failure.kind)
        self.assertIn(expected, failure.reason)

    def test_missing_settings_file(self) -> None:
        """Guards against an error that does not name the environment variable of the file."""
        self.assertIn("SHALLOTWORKS_SETTINGS", load_platform_settings("").failure().reason)

    @parameterized.expand([("sound", SETTINGS, True), ("unsound", "x = 1", False)])
    def test_check_settings_command(self, _name: str, text: str, is_valid: bool) -> None:
        """Guards against `shallotworks check-settings` rejecting the platform's settings file."""
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            with (
                contextlib.redirect_stdout(io.StringIO()),
                contextlib.redirect_stderr(io.StringIO()),
            ):
                exit_code = run_command(["check-settings", file.name])
        self.assertEqual(is_valid, exit_code == 0)

    def _load(self, text: str):  # type: ignore[no-untyped-def]
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            return load_platform_settings(file.name)


class OperatorRecordsTests(unittest.TestCase):
    def test_older_configuration_is_ignored(self) -> None:
        """Guards against removing a route that callers use.

        Two overlapping reads of the store deliver the older configuration last.
        """
        applied: list[Configuration] = []
        operator_records = OperatorRecords(
            on_configuration=applied.append, log=quiet_log(), metrics=Metrics()
        )
        for version in (2, 7, 3, 7):
            operator_records.on_write(self._item("op/config", _configuration(version)))
        self.assertEqual([2, 7], [configuration.version for configuration in applied])

    def test_unreadable_configuration_is_ignored(self) -> None:
        """Guards against an unreadable or deleted record replacing the configuration in force."""
        operator_records = OperatorRecords(
            on_configuration=lambda _: None, log=quiet_log(), metrics=Metrics()
        )
        operator_records.on_write(self._item("op/config", _configuration(2)))
        operator_records.on_write(self._item("op/config", {"version": 3}))
        operator_records.on_delete("op/config", 9)
        assert operator_records.configuration is not None
        self.assertEqual(2, operator_records.configuration.version)

    def test_maintenance_waves(self) -> None:
        """Guards against misreading a maintenance wave, and against keeping a deleted one."""
        operator_records = OperatorRecords(
            on_configuration=lambda _: None, log=quiet_log(), metrics=Metrics()
        )
        record = {"wave": 4, "machines": ["m1"], "durationS": 20, "maxCount": 2}
        operator_records.on_write(self._item("op/wave/4", record))
        self.assertEqual(
            [(4, ("m1",), 20.0, 2)],
            [
                (wave.wave, wave.machines, wave.duration_s, wave.max_at_once)
                for wave in operator_records.waves()
            ],
        )
        operator_records.on_delete("op/wave/4", 9)
        self.assertEqual((), operator_records.waves())

    @staticmethod
    def _item(key: str, record: object) -> Item:
        return Item(key=key, value=json.dumps(record).encode(), revision=1, created=1)


class IncarnationDecodingTests(unittest.TestCase):
    """Entries and lists of runs of workers that start again under their ids."""

    @parameterized.expand(
        [
            ("missing", {}, "missing"),
            ("null", {"born": None}, "wrong-type"),
            ("true", {"born": True}, "wrong-type"),
            ("text", {"born": "1700000000000"}, "wrong-type"),
            ("fraction", {"born": 1.7e12}, "wrong-type"),
            ("negative", {"born": -1}, "out-of-range"),
            ("earlier than known", {"born": 1_699_999_999_999}, "superseded"),
        ]
    )
    def test_entry_with_an_invalid_start(
        self, _name: str, fields: dict[str, object], fault: str
    ) -> None:
        """An entry that does not name its incarnation was taken for the present one."""
        written = io.BytesIO()
        log = StructuredLog(process="test", write=written.write)
        registry = WorkerRegistry(log=log)
        registry.on_write(_entry("i-1", _ENTRY | {"born": 1_700_000_000_000}))
        registry.on_write(_entry("i-1", _ENTRY | {"state": "draining"} | fields))
        registry.on_write(_entry("i-2", _ENTRY | {"born": 1_700_000_000_000}))
        views = registry.workers_of("s")
        self.assertIn("i-2", views)
        self.assertEqual(fault == "superseded", "i-1" in views)
        self.assertFalse(any(view.is_draining for view in views.values()))
        log.flush()
        self.assertIn(f'"fault":"{fault}"', written.getvalue().decode())

    def test_workers_without_a_start_are_dropped_once_one_states_it(self) -> None:
        """A worker without the field was used beside workers that state it."""
        registry = WorkerRegistry(log=quiet_log())
        registry.on_write(_entry("i-1", _ENTRY))
        self.assertEqual({"i-1"}, set(registry.workers_of("s")))
        registry.on_write(_entry("i-2", _ENTRY | {"born": 1_700_000_000_000}))
        self.assertEqual({"i-2"}, set(registry.workers_of("s")))

    def test_a_new_start_changes_the_list(self) -> None:
        """A restart that only the new field shows left the list as it was."""
        registry = WorkerRegistry(log=quiet_log())
        registry.on_write(_entry("i-1", _ENTRY | {"born": 1_700_000_000_000}))
        version = registry.version
        registry.on_write(_entry("i-1", _ENTRY | {"born": 1_700_000_000_001, "seqNo": 1}))
        self.assertEqual(1_700_000_000_001, registry.workers_of("s")["i-1"].born_ms)
        self.assertNotEqual(version, registry.version)

    @parameterized.expand(
        [
            (None, {}, OrderStatus.OBEYED, None),
            (None, {"born": 5}, OrderStatus.OBEYED, 5),
            (5, {"born": 5}, OrderStatus.OBEYED, 5),
            (5, {"born": 6}, OrderStatus.OBEYED, 6),
            (5, {"born": 4}, OrderStatus.INVALID, None),
            (5, {"born": "5"}, OrderStatus.INVALID, None),
            (5, {}, OrderStatus.INVALID, None),
        ]
    )
    def test_start_stated_with_lists_of_runs(
        self,
        known_born_ms: int | None,
        fields: dict[str, object],
        status: OrderStatus,
        born_ms: int | None,
    ) -> None:
        """Lists of runs that don't name their incarnation were taken for the known one's."""
        body = {"clockMs": 7, "running": [], "ended": []} | fields
        answer = HttpAnswer(status=200, body=body)
        outcome = _decode_outcome(answer, True, known_born_ms=known_born_ms)
        self.assertEqual((status, born_ms), (outcome.status, outcome.born_ms))


class WorkerDecodingTests(unittest.TestCase):
    def test_worker_entries(self) -> None:
        """Guards against misreading a worker's fields, and against listing an invalid entry."""
        registry = WorkerRegistry(log=quiet_log())
        registry.on_write(_entry("i-1", _ENTRY | {"state": "draining"}))
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
    def test_order_outcomes(self, status: int, reason: str, expected: OrderStatus) -> None:
        """Guards against misreading whether a worker executed an order."""
        answer = HttpAnswer(status=status, body={"clockMs": 5, "reason": reason})
        self.assertIs(expected, _decode_outcome(answer, is_poll=False).status)

    def test_worker_reports(self) -> None:
        """Guards against misreading ended runs, or active ones with or without a last figure."""
        name = "5c0e7a21d94b36f8.2.1.17"
        body = {
            "clockMs": 9,
            "running": [[name, 2, "c", 41], [name, 3, "", 100, 55]],
            "ended": [[58, name, 1, "lapsed", ""]],
        }
        report = _decode_outcome(HttpAnswer(status=200, body=body), is_poll=True).report
        assert report is not None
        self.assertEqual([(41, 0), (100, 55)], [(r.percent, r.measurement) for r in report.running])
        self.assertEqual((2, 1, 17), report.running[0].name[1:])
        self.assertIs(EndKind.LAPSED, report.ended[0].kind)


def _configuration(version: int) -> dict[str, object]:
    return {"version": version, "routes": [], "services": []}


_ENTRY: dict[str, object] = {
    "service": "s",
    "address": "10.0.0.1:1",
    "zone": "hall",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "seqNo": 4,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
}
"""An entry as a worker writes it, without its start."""


def _entry(worker_id: str, record: object) -> Item:
    value = json.dumps(record).encode()
    return Item(key=f"servers/{worker_id}", value=value, revision=1, created=1)


if __name__ == "__main__":
    unittest.main()
