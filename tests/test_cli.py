"""Tests of `shallotworks.cli`: whole sessions against the real API with a fake backend."""

import json
import re
import shutil
import signal
import socket
import sys
import tempfile
import threading
import types
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized
from returns.result import Failure as Err

from shallotworks.cli import _observe_commands, _process_commands, _propose_commands
from shallotworks.cli._client import OperatorsClient
from shallotworks.cli._failures import make_error
from shallotworks.cli._main import _app
from shallotworks.cli._plan_commands import plan_app
from shallotworks.errors import ErrorKind, attributes_of
from shallotworks.operators import ChangesView
from shallotworks.plans import (
    Drain,
    InDataCentre,
    InPool,
    InRack,
    Intent,
    Maintain,
    Move,
    Named,
    NotMaintainedSince,
    Return,
)
from shallotworks.settings import Settings
from shallotworks.timeline import EventKind, Subject
from tests.cli_sessions import CommandResult, run_command, transcript
from tests.fake_backend import NOW_S, ServedBackend
from tests.golden_files import assert_golden

EXAMPLES = Path(__file__).parent.parent / "examples"
FLEET = EXAMPLES / "fjellsending" / "fleet.json"
PLAN = "000000000001"
CLOSED_PORT = 1
FUZZ_WORDS = (
    *("status", "instances", "pools", "services", "apply", "changes", "plan", "timeline"),
    *("metrics", "check-settings", "propose", "list", "show", "confirm", "cancel", "diff"),
    *("drain", "return", "maintain", "move", "rack", "pool", "older-than", "instance"),
    *("--json", "--address", "--data-centre", "--count", "--limit", "--token-file", "--help"),
    *("0", "-1", "nan", "1e999", "/dev/null", "127.0.0.1:1", "000000000001"),
)
WEEK_S = 7 * 24 * 3600


def unused_port() -> int:
    """Return a port that no process listens on."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


class SessionCase(unittest.TestCase):
    def setUp(self) -> None:
        self.served = ServedBackend(self)
        self.environment = {
            "SHALLOTWORKS_ADDRESS": self.served.address,
            "SHALLOTWORKS_TOKEN_FILE": self.served.token_file,
            "SHALLOTWORKS_OPERATOR": "kari",
        }
        for module in (_observe_commands, _propose_commands):
            clock = mock.patch.object(module, "_wall_clock_s", lambda: NOW_S)
            clock.start()
            self.addCleanup(clock.stop)

    def run_against_backend(self, command: str | list[str]) -> CommandResult:
        """Run one command against the served backend."""
        return run_command(command, self.environment)

    def session(self, name: str, commands: list[str], hidden: dict[str, str] | None = None) -> None:
        """Run a session and compare its transcript with the golden file."""
        replacements = {
            self.served.address: "ADDRESS",
            str(FLEET): "fleet.json",
            str(Path(self.served.token_file).parent): "FOLDER",
            **(hidden or {}),
        }
        assert_golden(self, name, transcript(commands, self.environment, hidden=replacements))


class GoldenSessionTests(SessionCase):
    def test_drain_rack_session(self) -> None:
        """A whole session: apply a fleet, propose, show, confirm and cancel a plan."""
        self.session(
            "session-drain.txt",
            [
                f"apply {FLEET}",
                "status",
                "pools",
                "services",
                "instances --pool fault-traces",
                "plan propose drain rack bergen-r1 --data-centre bergen",
                "plan list",
                f"plan confirm {PLAN}",
                f"plan show {PLAN}",
                f"plan cancel {PLAN}",
                "plan propose drain pool fault-traces --operator ola",
                f"plan diff {PLAN} 000000000002",
                "plan list",
                "changes --limit 3",
                "timeline",
                "metrics",
            ],
        )

    def test_error_session(self) -> None:
        """Each error is one line with its kind and has the exit code of that kind."""
        folder = Path(self.served.token_file).parent
        (folder / "wrong").write_text("let-me-on")
        (folder / "half.json").write_text(
            '[{"kind": "put-pool", "pool": {"name": "a"}}, {"kind": "remove-pool", "name": "b"}]'
        )
        (folder / "not.json").write_text("{")
        unreachable_address = f"127.0.0.1:{unused_port()}"
        self.served.backend.stale = True
        self.session(
            "session-errors.txt",
            [
                f"status --address {unreachable_address}",
                f"status --json --address {unreachable_address}",
                "status --address here:80",
                f"status --token-file {folder}/none",
                f"status --token-file {folder}/wrong",
                f"apply {folder}/none.json",
                f"apply {folder}/not.json",
                f"apply {folder}/half.json",
                f"apply --json {folder}/half.json",
                "plan show 0000",
                "plan show ../../status",
                "plan propose drain pool fault-traces --operator 'k d'",
                "plan propose drain pool fault-traces --operator kåri",
                "plan propose drain pool fault-traces",
                f"plan confirm {PLAN}",
                "plan propose move a b",
                "plan propose drain rack r1",
                "metrics --json --text",
                "timeline --kind sung",
                "reboot everything",
            ],
            hidden={unreachable_address: "DEAD"},
        )

    def test_invalid_settings_session(self) -> None:
        """Every problem of a settings file is reported on a line of its own."""
        path = Path(self.served.token_file).parent / "wrong.ini"
        path.write_text(
            "[instance]\nname = a b\nregion = vestland\n[callers]\nport = 99999\nprot = 1\n"
            "[operators]\ntoken_file = none\n[peers]\nkey_file = operators.token\n"
            "seeds = 10.1.1.1:8082, bergen:8082\n[platform]\naddress = 10.1.0.10\n[job]\na = 1\n"
        )
        self.session("session-settings.txt", [f"check-settings {path}", f"serve --settings {path}"])


class JsonTests(SessionCase):
    @parameterized.expand(
        [
            ("status", "status --json"),
            ("instances", "instances --json"),
            ("pools", "pools --json"),
            ("services", "services --json"),
            ("apply", f"apply --json {FLEET}"),
            ("changes", "changes --json"),
            ("propose", "plan propose maintain pool archive --json"),
            ("plans", "plan list --json"),
            ("metrics", "metrics --json"),
            ("timeline", "timeline --format json"),
            ("trace", "timeline --format chrome"),
        ]
    )
    def test_one_document(self, _name: str, command: str) -> None:
        """JSON output is exactly one document."""
        result = self.run_against_backend(command)
        self.assertEqual((result.exit_code, result.errors), (0, ""))
        json.loads(result.output)


class IntentTests(SessionCase):
    @parameterized.expand(
        [
            ("drain instance a b", Drain(selection=Named(names=("a", "b")))),
            ("drain rack r --data-centre d", Drain(selection=InRack(data_centre="d", rack="r"))),
            ("drain pool p", Drain(selection=InPool(pool="p"))),
            ("drain data-centre d", Drain(selection=InDataCentre(data_centre="d"))),
            ("return instance a", Return(selection=Named(names=("a",)))),
            ("return rack r --data-centre d", Return(selection=InRack(data_centre="d", rack="r"))),
            ("maintain pool p", Maintain(selection=InPool(pool="p"))),
            (
                "maintain older-than 5",
                Maintain(selection=NotMaintainedSince(before_s=NOW_S - 5 * WEEK_S)),
            ),
            ("move p q --count 3", Move(from_pool="p", to_pool="q", count=3)),
            (
                "move p q --instance a --instance b",
                Move(from_pool="p", to_pool="q", names=("a", "b")),
            ),
        ]
    )
    def test_command_becomes_intent(self, command: str, intent: Intent) -> None:
        """Each propose command sends the matching typed intent to the backend."""
        result = self.run_against_backend(f"plan propose {command}")
        self.assertEqual(result.exit_code, 0, result.errors)
        (plan,) = self.served.backend.stored.values()
        self.assertEqual((plan.intent, plan.author), (intent, "kari"))


class TimelineTests(SessionCase):
    def test_prints_events_of_reachable_instances(self) -> None:
        """An unreachable instance must not prevent the timeline of the others from being printed.

        The error and the exit code show that a part is missing.
        """
        other = ServedBackend(self)
        other.token_file = self.served.token_file
        self.served.timeline.record(EventKind.STARTED, subject=Subject(), detail="here")
        other.timeline.record(EventKind.STORE_DOWN, subject=Subject(), detail="there")
        unreachable_address = f"127.0.0.1:{unused_port()}"
        addresses = " ".join(
            f"--address {address}"
            for address in (self.served.address, unreachable_address, other.address)
        )
        result = self.run_against_backend(f"timeline {addresses}")
        self.assertEqual(result.exit_code, attributes_of(ErrorKind.UNREACHABLE).exit_code)
        self.assertIn(f"unreachable: no instance answers at {unreachable_address}", result.errors)
        self.assertEqual(len(result.errors.splitlines()), 1)
        self.assertIn("here", result.output)
        self.assertIn("there", result.output)

    def test_all_queries_peers_of_first_address(self) -> None:
        """With --all, peers are queried too, at the default port if they announce none."""
        port = self.served.address.rpartition(":")[2]
        queried: list[str] = []

        def fetch_page(address: str, token_file: str, query: dict[str, str]) -> object:
            queried.append(address)
            return Err(make_error(ErrorKind.UNREACHABLE, "not asked in a test"))

        with mock.patch.object(_observe_commands, "_fetch_page", fetch_page):
            self.run_against_backend("timeline --all")
        self.assertEqual(set(queried), {self.served.address, f"10.1.1.12:{port}"})

    def test_filters_select_events(self) -> None:
        """Only events that match the filters are shown."""
        for request in ("r1", "r2"):
            self.served.timeline.record(EventKind.SENT, subject=Subject(request=request))
        self.served.timeline.record(EventKind.ANSWERED, subject=Subject(request="r1"))
        result = self.run_against_backend("timeline --request r1 --kind answered --format json")
        (event,) = json.loads(result.output)
        self.assertEqual((event["kind"], event["subject"]["request"]), ("answered", "r1"))


class LostResponseTests(unittest.TestCase):
    """Guards against reporting a change as not made although it may have been accepted.

    The operator would then make it twice. Only a failed connection shows that it was not made.
    """

    def client(self, serve: Callable[[socket.socket], object]) -> OperatorsClient:
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)

        def serve_one() -> None:
            connection, _ = server.accept()
            with connection:
                # The call is read completely, because closing a connection with unread bytes
                # resets it.
                call = b""
                while not call.endswith(b"[]" if call.startswith(b"POST") else b"\r\n\r\n"):
                    call += connection.recv(65_536)
                serve(connection)

        thread = threading.Thread(target=serve_one, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        client = OperatorsClient(address=address, token="t", operator="o", answer_timeout_s=0.2)
        self.addCleanup(client.close)
        return client

    @parameterized.expand(
        [
            ("closed", b"", ErrorKind.OUTCOME_UNKNOWN),
            ("cut", b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", ErrorKind.OUTCOME_UNKNOWN),
            ("no_http", b"220 mail\r\n", ErrorKind.OUTCOME_UNKNOWN),
            ("not_json", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", ErrorKind.PROTOCOL),
            ("odd_error", b"HTTP/1.1 502 X\r\nContent-Length: 2\r\n\r\nhi", ErrorKind.PROTOCOL),
            (
                "cut_off",
                b"HTTP/1.1 408 X\r\nContent-Length: 0\r\n\r\n",
                ErrorKind.DEADLINE_EXCEEDED,
            ),
        ]
    )
    def test_change_with_invalid_response(self, _name: str, answer: bytes, kind: ErrorKind) -> None:
        """A change that was sent counts as not made only if the instance says so."""
        client = self.client(lambda connection: connection.sendall(answer))
        error = client.post("/changes", ChangesView, b"[]").failure()
        self.assertEqual((error.kind, error.ran), (kind.value, attributes_of(kind).ran.value))

    def test_change_without_response(self) -> None:
        """The outcome of a change is unknown if the instance doesn't respond in time."""
        client = self.client(lambda connection: connection.recv(1))
        error = client.post("/changes", ChangesView, b"[]").failure()
        self.assertEqual(error.kind, ErrorKind.OUTCOME_UNKNOWN.value)
        self.assertIn("timed out", error.reason)
        client.close()

    def test_read_without_response(self) -> None:
        """A read without a response changed nothing and may be retried."""
        error = self.client(lambda connection: None).get("/changes", ChangesView).failure()
        self.assertEqual(error.kind, ErrorKind.UNREACHABLE.value)


class ProcessCommandTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = Path(folder.name) / "bergen.ini"
        shutil.copy(EXAMPLES / "fjellsending" / "bergen.ini", self.settings)
        (Path(folder.name) / "secrets").mkdir()
        (Path(folder.name) / "secrets" / "operators.token").write_text("t")
        (Path(folder.name) / "secrets" / "peers.key").write_text("k" * 32)

    def replace_module(self, name: str, **functions: Callable[..., object]) -> None:
        """Replace a module that the command imports by a fake one."""
        module = types.ModuleType(name)
        for function, body in functions.items():
            setattr(module, function, body)
        patch = mock.patch.dict(sys.modules, {name: module})
        patch.start()
        self.addCleanup(patch.stop)

    def test_check_settings(self) -> None:
        """Valid settings are reported as valid."""
        result = run_command(["check-settings", str(self.settings)], {})
        self.assertEqual((result.exit_code, result.errors), (0, ""))
        self.assertIn("bergen-entry-1 are right", result.output)

    def test_serve(self) -> None:
        """The instance receives the validated settings, and the command exits with its code."""
        served: list[Settings] = []

        def serve(settings: Settings) -> int:
            served.append(settings)
            return 13

        self.replace_module("shallotworks.node", serve=serve)
        with mock.patch.object(_process_commands, "_start_log") as start_log:
            result = run_command(["serve", "--settings", str(self.settings)], {})
        self.assertEqual(result.exit_code, 13)
        self.assertEqual(served[0].instance.name, "bergen-entry-1")
        start_log.assert_called_once_with(0)

    def test_unhandled_exception_prints_one_line(self) -> None:
        """An unhandled exception is printed as one line and exits with the internal code."""
        self.enterContext(mock.patch.object(_process_commands, "_start_log"))

        def run_demo() -> int:
            raise RuntimeError("broken\nin two")

        self.replace_module("shallotworks.demo", run_demo=run_demo)
        result = run_command("demo", {})
        self.assertEqual(result.exit_code, attributes_of(ErrorKind.INTERNAL).exit_code)
        self.assertEqual(result.errors, "internal: RuntimeError: broken?in two\n")

    def test_demo(self) -> None:
        """The command exits with the code of the demo."""
        self.enterContext(mock.patch.object(_process_commands, "_start_log"))
        self.replace_module("shallotworks.demo", run_demo=lambda: 1)
        self.assertEqual(run_command("demo", {}).exit_code, 1)

    @parameterized.expand(
        [
            ("platform", "standin platform --port 0 --lag-s 2", "platform listens at 127.0.0.1:1"),
            ("worker", "standin worker --name w --slots 2", "worker w listens at 127.0.0.1:1"),
        ]
    )
    def test_standin(self, _name: str, command: str, label: str) -> None:
        """A stand-in prints its address, runs until a signal arrives and is then stopped."""
        standin = mock.Mock(address="127.0.0.1:1")
        start = mock.Mock(return_value=standin)
        self.replace_module("shallotworks.standins", serve_platform=start, serve_worker=start)
        with (
            mock.patch.object(signal, "sigwait") as wait,
            mock.patch.object(signal, "pthread_sigmask"),
        ):
            result = run_command(command, {})
        self.assertEqual((result.exit_code, result.output), (0, f"{label}\n"))
        wait.assert_called_once()
        standin.stop.assert_called_once_with()

    @parameterized.expand([("bash",), ("zsh",), ("fish",)])
    def test_completion(self, shell: str) -> None:
        """The completion script of each shell is printed on request."""
        environment = {"_SHALLOTWORKS_COMPLETE": f"source_{shell}"}
        result = run_command([], environment)
        self.assertEqual(result.exit_code, 0)
        self.assertIn("shallotworks", result.output)

    def test_completes_partial_word(self) -> None:
        """A partial word of a command is completed without a call to an instance."""
        environment = {
            "_SHALLOTWORKS_COMPLETE": "complete_bash",
            "COMP_WORDS": "shallotworks plan propose dr",
            "COMP_CWORD": "3",
        }
        self.assertEqual(run_command([], environment).output, "drain\n")


class CommandFuzzTests(unittest.TestCase):
    @given(st.lists(st.one_of(st.sampled_from(FUZZ_WORDS), st.text(max_size=5)), max_size=7))
    def test_any_command_exits_with_known_code(self, words: list[str]) -> None:
        """Guards against arguments that cause a traceback or an unexpected exit code."""
        environment = {"SHALLOTWORKS_ADDRESS": f"127.0.0.1:{CLOSED_PORT}"}
        result = run_command(words, environment)
        known = {attributes_of(kind).exit_code for kind in ErrorKind}
        self.assertIn(
            result.exit_code, {0, 1, *known} - {attributes_of(ErrorKind.INTERNAL).exit_code}
        )
        self.assertNotIn("Traceback", result.errors)


class DocumentationTests(unittest.TestCase):
    """Guards against a command-line page that differs from the program."""

    page = (Path(__file__).parent.parent / "docs" / "operators" / "command-line.md").read_text()

    def test_every_command_is_documented(self) -> None:
        """The page documents every command, and no command that doesn't exist."""
        documented = set(re.findall(r"^\| `([a-z][a-z-]*)", self.page, re.MULTILINE))
        known = {command.name for command in _app.registered_commands}
        known |= {group.name for group in _app.registered_groups}
        kinds = {kind.value for kind in ErrorKind}
        self.assertEqual(known, documented - kinds)
        for action in plan_app.registered_commands:
            self.assertIn(f"`plan {action.name}", self.page)

    def test_documented_exit_codes_match_attributes(self) -> None:
        """The documented exit codes equal those of the error kinds."""
        rows = re.findall(r"^\| (\d+) \| (`[^|]+`) \|", self.page, re.MULTILINE)
        documented = {
            (int(code), name) for code, names in rows for name in re.findall("`(.+?)`", names)
        }
        self.assertEqual(
            documented, {(attributes_of(kind).exit_code, kind.value) for kind in ErrorKind}
        )
