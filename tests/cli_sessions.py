"""Runs commands in this process and records their output as a transcript."""

from __future__ import annotations

import io
import os
import shlex
from collections.abc import Mapping, Sequence
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import dataclass
from unittest import mock

from shallotworks.cli import run

COLUMNS = "100"


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandResult:
    """The output and exit code of one command."""

    output: str
    errors: str
    exit_code: int


def run_command(command: str | Sequence[str], environment: Mapping[str, str]) -> CommandResult:
    """Run one command with these variables; all others of shallotworks are unset."""
    arguments = shlex.split(command) if isinstance(command, str) else command
    output = io.TextIOWrapper(io.BytesIO(), encoding="utf-8", write_through=True)
    errors = io.StringIO()
    inherited = {name: value for name, value in os.environ.items() if "SHALLOTWORKS" not in name}
    variables = {**inherited, "COLUMNS": COLUMNS, **environment}
    with (
        mock.patch.dict(os.environ, variables, clear=True),
        redirect_stdout(output),
        redirect_stderr(errors),
    ):
        exit_code = run(arguments)
    written = output.buffer.getvalue().decode()  # type: ignore[attr-defined]
    return CommandResult(output=written, errors=errors.getvalue(), exit_code=exit_code)


def transcript(
    commands: Sequence[str], environment: Mapping[str, str], *, hidden: Mapping[str, str]
) -> str:
    """Return the transcript of a session.

    Args:
        commands: The commands, without the name of the program.
        environment: Environment variables.
        hidden: Values that differ between runs, with their placeholders.
    """
    lines = []
    for command in commands:
        result = run_command(command, environment)
        lines.append(f"$ shallotworks {command}\n{result.output}")
        lines.extend(f"! {line}\n" for line in result.errors.splitlines())
        lines.append(f"[exit {result.exit_code}]\n\n")
    text = "".join(lines)
    for value, placeholder in hidden.items():
        text = text.replace(value, placeholder)
    return text
