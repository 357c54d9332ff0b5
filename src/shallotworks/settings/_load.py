"""Loads and validates an INI file; returns the settings or every problem in the file."""

from __future__ import annotations

import configparser
from collections.abc import Iterator
from dataclasses import MISSING, replace
from pathlib import Path
from typing import Any

from returns.result import Failure as Err
from returns.result import Result, Success

from ._keys import RULES, SECTIONS, default_of
from ._problems import SettingProblem, SettingsProblems
from ._relations import find_contradictions
from ._sections import Settings

__all__ = ["load_settings", "parse_settings"]

MAX_FILE_BYTES = 1_048_576
MAX_SHOWN_VALUE_CHARACTERS = 200

_Values = dict[str, dict[str, Any]]


class _Parser(configparser.ConfigParser):
    """Parses the INI dialect: no interpolation, no default section, case-sensitive keys."""

    def __init__(self) -> None:
        super().__init__(interpolation=None, default_section="")

    def optionxform(self, optionstr: str) -> str:
        return optionstr


def load_settings(path: str) -> Result[Settings, SettingsProblems]:
    """Read and check a settings file.

    Args:
        path: Path of the INI file; relative paths in the file start from its folder.

    Returns:
        The settings, or all problems at once.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        text = data.decode("utf-8")
    except OSError as error:
        return _refuse_file(path, f"the file can't be read ({error.strerror})")
    except UnicodeDecodeError:
        return _refuse_file(path, "the file is not UTF-8 text")
    except ValueError:
        return _refuse_file(path, "this is not a path")
    if len(data) > MAX_FILE_BYTES:
        return _refuse_file(path, f"the file holds more than {MAX_FILE_BYTES} bytes")
    return parse_settings(text, path=path)


def parse_settings(text: str, *, path: str) -> Result[Settings, SettingsProblems]:
    """Validate the text of a settings file.

    Args:
        text: The INI text.
        path: Path of the file, for messages and relative paths.

    Returns:
        The settings, or all problems at once.
    """
    parser = _Parser()
    try:
        parser.read_string(text, source=path)
    except configparser.Error as error:
        return _refuse_file(path, " ".join(str(error).split()))
    problems = list(_unknown_entries(parser))
    values: _Values = {}
    folder = Path(path).parent
    for section in SECTIONS:
        values[section] = {}
        for key in RULES[section]:
            outcome = _read_key(parser, section, key, folder)
            if isinstance(outcome, SettingProblem):
                problems.append(outcome)
            else:
                values[section][key] = outcome.unwrap()
    if not problems:
        settings = _build(values)
        problems.extend(find_contradictions(settings))
    if problems:
        return Err(SettingsProblems(path=path, problems=tuple(problems)))
    return Success(settings)


def _refuse_file(path: str, problem: str) -> Result[Settings, SettingsProblems]:
    file_problem = SettingProblem(
        section="",
        key="",
        value=None,
        problem=problem,
        allowed="an INI file with the sections " + ", ".join(f"[{name}]" for name in SECTIONS),
    )
    return Err(SettingsProblems(path=path, problems=(file_problem,)))


def _unknown_entries(parser: _Parser) -> Iterator[SettingProblem]:
    for section in parser.sections():
        if section not in SECTIONS:
            yield SettingProblem(
                section=section,
                key="",
                value=None,
                problem="unknown section",
                allowed=", ".join(f"[{name}]" for name in SECTIONS),
            )
            continue
        for key, value in parser.items(section):
            if key not in RULES[section]:
                yield SettingProblem(
                    section=section,
                    key=key,
                    value=_truncate(value),
                    problem="unknown key",
                    allowed=", ".join(RULES[section]),
                )


def _read_key(
    parser: _Parser, section: str, key: str, folder: Path
) -> Result[Any, str] | SettingProblem:
    rule = RULES[section][key]
    text = parser.get(section, key, fallback=None)
    if text is None:
        default = default_of(section, key)
        if default is not MISSING:
            return Success(default)
        problem = "missing"
    else:
        parsed = rule.parse(text, folder=folder)
        if isinstance(parsed, Success):
            return parsed
        problem = parsed.failure()
    return SettingProblem(
        section=section,
        key=key,
        value=None if text is None else _truncate(text),
        problem=problem,
        allowed=rule.allowed,
    )


def _truncate(value: str) -> str:
    if len(value) <= MAX_SHOWN_VALUE_CHARACTERS:
        return value
    return value[:MAX_SHOWN_VALUE_CHARACTERS] + "..."


def _build(values: _Values) -> Settings:
    sections = {name: kind(**values[name]) for name, kind in SECTIONS.items()}
    settings = Settings(**sections)
    platform = settings.platform
    if not platform.instance_list_address:
        platform = replace(platform, instance_list_address=platform.address)
    return replace(settings, platform=platform)
