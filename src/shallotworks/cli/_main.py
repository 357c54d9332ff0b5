"""The entry point of the console script."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from typing import Annotated

import typer
from absl import logging

from shallotworks import __version__
from shallotworks.errors import ErrorKind, Failure, ShallotworksError, attributes_of

from ._fleet_commands import add_fleet_commands
from ._observe_commands import add_observe_commands
from ._output import print_text
from ._plan_commands import plan_app
from ._printable import one_line
from ._process_commands import add_process_commands

__all__ = ["main", "run"]

EXIT_INTERRUPTED = 130
EXIT_BROKEN_PIPE = 141


def main() -> None:
    """Run the command line of this process and exit with its code."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code; an exception is printed without a traceback."""
    try:
        code = _run_command(arguments)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe. Standard output is redirected so that the interpreter does
        # not fail at exit when it flushes the rest of the buffer.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_BROKEN_PIPE
    return code


def _run_command(arguments: Sequence[str]) -> int:
    try:
        _app(args=list(arguments), prog_name="shallotworks")
    except SystemExit as exit_request:
        return _exit_code_of(exit_request)
    except ShallotworksError as error:
        return _print_failure(error.failure)
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        raise
    except Exception as error:
        logging.debug("command raised an unhandled exception", exc_info=True)
        reason = f"{type(error).__name__}: {error}"
        return _print_failure(Failure(kind=ErrorKind.INTERNAL, reason=reason))
    return 0


def _exit_code_of(exit_request: SystemExit) -> int:
    if exit_request.code is None:
        return 0
    return exit_request.code if isinstance(exit_request.code, int) else 1


def _print_failure(failure: Failure) -> int:
    print(one_line(str(failure)), file=sys.stderr)
    return attributes_of(failure.kind).exit_code


def _print_version(requested: bool) -> None:
    if requested:
        print_text(f"shallotworks {__version__}\n")
        raise typer.Exit


def _options(
    _version: Annotated[
        bool,
        typer.Option(
            "--version", callback=_print_version, is_eager=True, help="Print the version."
        ),
    ] = False,
) -> None:
    """Fleet capacity and maintenance for many small edge sites."""


_app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    callback=_options,
)
add_process_commands(_app)
add_fleet_commands(_app)
_app.add_typer(plan_app, name="plan")
add_observe_commands(_app)
