"""Commands that start an instance, a stand-in or the demo, and the command to check settings."""

from __future__ import annotations

import importlib
import signal
import sys
from collections.abc import Callable
from typing import Annotated, Any

import typer
from absl import flags, logging
from returns.result import Failure as Err

from shallotworks.errors import attributes_of
from shallotworks.settings import Settings, SettingsProblems, load_settings

from ._output import print_text
from ._printable import one_line

__all__ = ["add_process_commands"]

PLATFORM_SETTINGS_SUFFIX = ".toml"
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

HostOption = Annotated[str, typer.Option(help="IP address to listen on.")]
PortOption = Annotated[int, typer.Option(help="Port; 0 for any free one.", min=0, max=65535)]

_standin_app = typer.Typer(
    help="Start a stand-in, for development and tests only.", no_args_is_help=True
)


def add_process_commands(app: typer.Typer) -> None:
    """Add the commands to the application."""
    app.command("serve")(_serve)
    app.command("check-settings")(_check_settings)
    app.command("demo")(_demo)
    app.add_typer(_standin_app, name="standin")


def _serve(
    settings: Annotated[str, typer.Option("--settings", help="The settings file.")],
) -> None:
    """Run one instance until it receives a signal to stop."""
    loaded = _load(settings)
    _start_log(loaded.log.verbosity)
    # Imported on demand, so that commands such as `status` don't load the code of an instance.
    node = _import("shallotworks.node")
    raise typer.Exit(node.serve(loaded))


def _start_log(verbosity: int) -> None:
    # absl warns on every start if its flags are not parsed. The verbosity comes from the settings
    # instead, so the flags are marked as parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)


def _check_settings(
    file: Annotated[str, typer.Argument(help="The settings file.")],
) -> None:
    """Check a settings file completely and report every problem in it.

    For a TOML settings file of the users' platform, check the parts that an instance needs.
    """
    if file.endswith(PLATFORM_SETTINGS_SUFFIX):
        _check_platform_settings(file)
        return
    loaded = _load(file)
    print_text(f"{file}: settings of {loaded.instance.name} are right\n")


def _check_platform_settings(file: str) -> None:
    checked = _import("shallotworks.platform").load_platform_settings(file)
    if isinstance(checked, Err):
        print(one_line(str(checked.failure())), file=sys.stderr)
        raise typer.Exit(attributes_of(checked.failure().kind).exit_code)
    print_text(f"{file}: settings of {checked.unwrap().instance} are right\n")


def _load(file: str) -> Settings:
    loaded = load_settings(file)
    if isinstance(loaded, Err):
        _print_problems(loaded.failure())
        raise typer.Exit(attributes_of(loaded.failure().kind).exit_code)
    return loaded.unwrap()


def _print_problems(invalid: SettingsProblems) -> None:
    count = len(invalid.problems)
    head = f"{invalid.kind.value}: {invalid.path} has {count} problem{'s' if count > 1 else ''}"
    print(one_line(head), file=sys.stderr)
    for problem in invalid.problems:
        print(f"  {one_line(str(problem))}", file=sys.stderr)


def _demo() -> None:
    """Run a small fleet in this process, drain one rack and count the outcomes of requests."""
    _start_log(logging.WARNING)
    raise typer.Exit(_import("shallotworks.demo").run_demo())


@_standin_app.command("platform")
def _platform(
    host: HostOption = "127.0.0.1",
    port: PortOption = 7000,
    lag_s: Annotated[float, typer.Option(help="Lag of the instance list.", min=0)] = 0.0,
) -> None:
    """Stand in for the platform's key-value service and instance list."""
    standins = _import("shallotworks.standins")
    _run_until_stopped(
        "platform", lambda: standins.serve_platform(host=host, port=port, lag_s=lag_s)
    )


@_standin_app.command("worker")
def _worker(
    name: Annotated[str, typer.Option(help="The instance's name.")] = "worker",
    host: HostOption = "127.0.0.1",
    port: PortOption = 9000,
    slots: Annotated[int, typer.Option(help="Requests it runs at once.", min=1)] = 8,
) -> None:
    """Stand in for a worker instance."""
    standins = _import("shallotworks.standins")
    _run_until_stopped(
        f"worker {name}",
        lambda: standins.serve_worker(name=name, host=host, port=port, slots=slots),
    )


def _run_until_stopped(label: str, start: Callable[[], Any]) -> None:
    # The signals are blocked before any thread starts, because threads inherit the mask. A signal
    # delivered to a thread that doesn't block it would end the process at once.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    standin = start()
    print_text(f"{label} listens at {standin.address}\n")
    sys.stdout.flush()
    signal.sigwait(STOP_SIGNALS)
    standin.stop()


def _import(name: str) -> Any:
    return importlib.import_module(name)
