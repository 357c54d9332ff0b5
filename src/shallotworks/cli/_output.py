"""Output of the commands: tables for people, one JSON document for programs."""

from __future__ import annotations

import io
import sys
from collections.abc import Callable, Iterable
from typing import Any, NoReturn, TypeVar

import typer
from pydantic import TypeAdapter
from returns.result import Result, Success
from rich.console import Console
from rich.table import Table
from rich.text import Text

from shallotworks.errors import Advice
from shallotworks.operators import ErrorBody

from ._failures import exit_code_of
from ._printable import one_line

__all__ = [
    "exit_with_error",
    "print_outcome",
    "print_json",
    "print_table",
    "print_text",
    "print_error",
]

PIPE_WIDTH_COLUMNS = 250
"""Width of a table that isn't printed to a terminal; wide enough that no line is truncated."""

_Answer = TypeVar("_Answer")


def print_outcome(
    outcome: Result[_Answer, ErrorBody], *, as_json: bool, show: Callable[[_Answer], None]
) -> None:
    """Print a response, or print the error and exit with its code."""
    if not isinstance(outcome, Success):
        exit_with_error(outcome.failure(), as_json=as_json)
    answer = outcome.unwrap()
    if as_json:
        print_json(answer)
    else:
        show(answer)


def exit_with_error(error: ErrorBody, *, as_json: bool) -> NoReturn:
    """Print an error, as the JSON document if ``as_json`` is set, and exit with its code."""
    if as_json:
        print_json(error)
    else:
        print_error(error)
    raise typer.Exit(exit_code_of(error))


def print_error(error: ErrorBody) -> None:
    """Print an error as one line on standard error."""
    message = f"{error.kind}: {error.reason}"
    if error.retry_after_s is not None:
        message += f" (try again in {error.retry_after_s:g} s)"
    elif error.advice == Advice.LATER.value:
        message += " (try again later)"
    if error.accepted:
        count, last = len(error.accepted), error.accepted[-1].revision
        message += f" (accepted before it: {count}, up to revision {last})"
    print(one_line(message), file=sys.stderr)


def print_json(value: object) -> None:
    """Print one JSON document."""
    adapter: TypeAdapter[Any] = TypeAdapter(type(value))
    print_text(adapter.dump_json(value, indent=2).decode() + "\n")


def print_text(text: str) -> None:
    """Print text unchanged."""
    sys.stdout.write(text)


def print_table(headings: tuple[str, ...], rows: Iterable[tuple[object, ...]]) -> None:
    """Print a table; columns of numbers are right-aligned."""
    rows = tuple(rows)
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column, heading in enumerate(headings):
        numbers = bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        table.add_column(heading, justify="right" if numbers else "left", no_wrap=True)
    for row in rows:
        table.add_row(*(Text(one_line(_format_cell(cell))) for cell in row))
    _print_rich(table)


def _print_rich(table: Table) -> None:
    if sys.stdout.isatty():
        Console(file=sys.stdout, highlight=False).print(table)
        return
    console = Console(file=io.StringIO(), width=PIPE_WIDTH_COLUMNS, highlight=False)
    with console.capture() as captured:
        console.print(table)
    for line in captured.get().splitlines():
        print_text(line.rstrip() + "\n")


def _format_cell(cell: object) -> str:
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:g}"
    return str(cell)
