"""Tests of `shallotworks.settings`: a file gives settings or all of its problems at once."""

import shutil
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized
from returns.result import Failure as Err
from returns.result import Success

from shallotworks.errors import ErrorKind
from shallotworks.settings import (
    SettingProblem,
    Settings,
    load_settings,
    parse_settings,
    read_secret,
)
from shallotworks.settings._keys import RULES, default_of

EXAMPLES = Path(__file__).parent.parent / "examples"
MINIMAL = {
    "instance": {"name": "bergen-entry-1", "data_centre": "bergen", "region": "vestland"},
    "operators": {"token_file": "operators.token"},
    "peers": {"key_file": "peers.key"},
    "platform": {"address": "127.0.0.1:7000"},
}


def _settings_text(changed: dict[str, dict[str, str | None]]) -> str:
    """Return the minimal file with some keys changed; ``None`` omits a key."""
    lines = []
    for section in sorted({*MINIMAL, *changed}):
        lines.append(f"[{section}]")
        keys = {**MINIMAL.get(section, {}), **changed.get(section, {})}
        lines.extend(f"{key} = {value}" for key, value in keys.items() if value is not None)
    return "\n".join(lines) + "\n"


class SettingsTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "operators.token").write_text("let-me-in\n")
        (self.folder / "peers.key").write_text("k" * 32 + "\n")
        (self.folder / "empty").write_text("\n")

    def problems(self, text: str) -> tuple[SettingProblem, ...]:
        outcome = parse_settings(text, path=str(self.folder / "a.ini"))
        self.assertIsInstance(outcome, Err)
        return outcome.failure().problems

    def test_minimal_file_has_defaults(self) -> None:
        """A file with only the required keys gives defaults, with relative paths resolved."""
        settings = parse_settings(_settings_text({}), path=str(self.folder / "a.ini")).unwrap()
        self.assertEqual(settings.callers.port, 8080)
        self.assertEqual(settings.platform.instance_list_address, "127.0.0.1:7000")
        self.assertEqual(read_secret(settings.operators.token_file), Success(b"let-me-in"))

    @parameterized.expand(
        [
            ("letters", "callers", "port", "http", "from 0 to 65535"),
            ("too_large", "callers", "port", "65536", "from 0 to 65535"),
            ("underscore", "callers", "port", "80_80", "from 0 to 65535"),
            ("other_digits", "callers", "port", "٨٠", "from 0 to 65535"),
            ("host_name", "callers", "host", "localhost", "an IP address"),
            ("any_host", "peers", "host", "0.0.0.0", "other instances reach"),
            ("not_a_number", "requests", "retry_part", "nan", "from 0 to 1"),
            ("exponent", "requests", "retry_part", "1e-1", "from 0 to 1"),
            ("no_port", "platform", "address", "127.0.0.1", "ip:port"),
            ("bare_ipv6", "platform", "address", "::1:80", "ip:port"),
            ("one_bad_seed", "peers", "seeds", "127.0.0.1:1, here:2", "ip:port"),
            ("seed_twice", "peers", "seeds", "127.0.0.1:1,127.0.0.1:1", "ip:port"),
            ("no_such_file", "operators", "token_file", "none", "readable file"),
            ("empty_token", "operators", "token_file", "empty", "a secret"),
            ("folder", "operators", "token_file", ".", "readable file"),
            ("short_key", "peers", "key_file", "operators.token", "32 bytes"),
            ("empty_name", "instance", "name", "", "letters"),
            ("spaced_name", "instance", "name", "a b", "letters"),
            ("missing_name", "instance", "name", None, "letters"),
            ("unknown_key", "callers", "prot", "8080", "port, threads"),
            ("unknown_section", "caller", "", None, "[callers]"),
            ("deadline_over_max", "requests", "default_deadline_s", "4000", "max_deadline_s"),
            ("suspects_at_once", "peers", "suspect_after_s", "1.5", "heartbeat_interval_s"),
            ("removes_first", "peers", "remove_after_s", "3", "suspect_after_s"),
            ("port_taken", "operators", "port", "8080", "[callers]"),
        ]
    )
    def test_problem_is_reported(
        self, _name: str, section: str, key: str, value: str | None, allowed: str
    ) -> None:
        """An invalid, missing or unknown key is reported with its value and the allowed ones."""
        (problem,) = self.problems(_settings_text({section: {key: value} if key else {}}))
        self.assertEqual((problem.section, problem.key), (section, key))
        self.assertEqual(problem.value, value)
        self.assertIn(allowed, problem.allowed)

    def test_all_problems_are_reported_together(self) -> None:
        """Problems in three sections are reported together under one error kind."""
        text = _settings_text(
            {"callers": {"port": "x"}, "log": {"verbose": "1"}, "platform": {"address": None}}
        )
        outcome = parse_settings(text, path=str(self.folder / "a.ini"))
        problems = outcome.failure()
        self.assertEqual(len(problems.problems), 3)
        self.assertIs(problems.kind, ErrorKind.INVALID_SETTINGS)
        self.assertIn("[callers] port = 'x': not a whole number", problems.failure().reason)

    @parameterized.expand(
        [
            ("no_section", "port = 1\n"),
            ("key_twice", _settings_text({}) + "[log]\nverbosity = 0\nverbosity = 1\n"),
            ("section_twice", _settings_text({}) + "[peers]\n"),
            ("no_value", _settings_text({}) + "[log]\nverbosity\n"),
        ]
    )
    def test_invalid_ini_text(self, _name: str, text: str) -> None:
        """Text that isn't valid INI is one problem of the file, with the line named."""
        (problem,) = self.problems(text)
        self.assertEqual((problem.section, problem.key), ("", ""))
        self.assertRegex(problem.problem, r"line|section headers")

    @parameterized.expand(
        [("absent", None), ("binary", b"\xff\xfe[a]"), ("huge", b"#" * 1_100_000)]
    )
    def test_unreadable_file(self, _name: str, data: bytes | None) -> None:
        """A file that can't be read as text is reported as a problem, not as an exception."""
        path = self.folder / "b.ini"
        if data is not None:
            path.write_bytes(data)
        self.assertEqual(len(load_settings(str(path)).failure().problems), 1)

    @parameterized.expand([(path.stem, path) for path in sorted(EXAMPLES.glob("*/*.ini"))])
    def test_examples_are_valid(self, _name: str, path: Path) -> None:
        """Every example is valid once its two secrets exist, and it contains every key."""
        copy = self.folder / path.name
        shutil.copy(path, copy)
        (self.folder / "secrets").mkdir()
        (self.folder / "operators.token").rename(self.folder / "secrets" / "operators.token")
        (self.folder / "peers.key").rename(self.folder / "secrets" / "peers.key")
        settings = load_settings(str(copy)).unwrap()
        self.assertEqual(settings.instance.data_centre, path.stem)
        for key in (key for keys in RULES.values() for key in keys):
            self.assertIn(f"\n{key} = ", path.read_text())

    def test_table_matches_classes(self) -> None:
        """Every key is a field of its section's class, and its default is allowed."""
        settings = parse_settings(_settings_text({}), path=str(self.folder / "a.ini")).unwrap()
        for section, rules in RULES.items():
            self.assertEqual(set(rules), set(getattr(settings, section).__slots__))
            for key, rule in rules.items():
                default = default_of(section, key)
                if isinstance(default, int | float):
                    self.assertIsInstance(rule.parse(f"{default}", folder=self.folder), Success)


_LINES = st.lists(
    st.one_of(
        st.sampled_from([f"[{section}]" for section in RULES]),
        st.builds(
            "{}{}{}".format,
            st.sampled_from([key for keys in RULES.values() for key in keys]),
            st.sampled_from([" = ", ":", ""]),
            st.one_of(st.integers().map(str), st.floats().map(str), st.text(max_size=20)),
        ),
        st.text(max_size=30),
    ),
    max_size=30,
)


class FuzzTests(unittest.TestCase):
    @given(_LINES)
    def test_any_text_gives_settings_or_problems(self, lines: list[str]) -> None:
        """Guards against file contents that raise an exception instead of giving problems."""
        outcome = parse_settings("\n".join(lines), path="a.ini")
        if isinstance(outcome, Success):
            self.assertIsInstance(outcome.unwrap(), Settings)
        else:
            self.assertTrue(outcome.failure().problems)

    @given(st.sampled_from([(s, k) for s, keys in RULES.items() for k in keys]), st.text())
    def test_any_value_is_parsed_or_rejected(
        self, section_and_key: tuple[str, str], text: str
    ) -> None:
        """Guards against values that make a rule raise an exception."""
        parsed = RULES[section_and_key[0]][section_and_key[1]].parse(
            text, folder=Path("/nonexistent")
        )
        self.assertIsInstance(parsed, Success | Err)
