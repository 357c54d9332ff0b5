"""Commands that show and change the fleet."""

from __future__ import annotations

import sys
from typing import Annotated

import typer
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind
from shallotworks.operators import (
    ChangesView,
    ErrorBody,
    HistoryView,
    InstancesView,
    PoolsView,
    RestoredView,
    ServicesView,
    StatusView,
)

from ._client import OperatorsClient
from ._failures import make_error
from ._options import (
    DEFAULT_ADDRESS,
    AddressOption,
    JsonOption,
    OperatorOption,
    TokenFileOption,
    open_client,
)
from ._output import print_outcome, print_table, print_text
from ._printable import format_time

__all__ = ["add_fleet_commands"]

STANDARD_INPUT = "-"


def add_fleet_commands(app: typer.Typer) -> None:
    """Add the commands to the application."""
    app.command("status")(_status)
    app.command("instances")(_instances)
    app.command("pools")(_pools)
    app.command("services")(_services)
    app.command("apply")(_apply)
    app.command("changes")(_changes)
    app.command("restore-store")(_restore_store)


def _status(
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show the status of one instance and the peer states that it observes."""
    client = open_client(address=address, token_file=token_file)
    answer = client.bind(lambda opened: opened.get("/status", StatusView))
    print_outcome(answer, as_json=as_json, show=_show_status)


def _show_status(status: StatusView) -> None:
    lines = (
        ("instance", status.process),
        ("version", status.version),
        ("data centre", f"{status.data_centre}, region {status.region}"),
        ("state", "stopping" if status.stopping else "serving"),
        ("up for", f"{status.uptime_s:.0f} s"),
        ("revision", f"{status.revision}, {_format_config_age(status.config_age_s)}"),
        ("store", ("up" if status.store_up else "down") + _format_store_fault(status.store_fault)),
        ("requests", f"{status.requests_in_flight} in flight, {status.requests_queued} queued"),
        ("duties", ", ".join(status.duties) or "none"),
    )
    for name, value in lines:
        print_text(f"{name:<12} {value}\n")
    print_text("\n")
    print_table(
        ("peer", "address", "data centre", "state", "revision", "silent s"),
        (
            (
                peer.name,
                peer.address,
                peer.data_centre,
                peer.state.value,
                peer.revision,
                round(peer.silent_s, 1),
            )
            for peer in status.peers
        ),
    )


def _instances(
    pool: Annotated[str, typer.Option(help="Only instances of this pool.")] = "",
    data_centre: Annotated[str, typer.Option(help="Only instances of this data centre.")] = "",
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    as_json: JsonOption = False,
) -> None:
    """List worker instances."""
    query = {"pool": pool, "data_centre": data_centre}
    client = open_client(address=address, token_file=token_file)
    answer = client.bind(lambda opened: opened.get("/instances", InstancesView, query))
    print_outcome(answer, as_json=as_json, show=_show_instances)


def _show_instances(view: InstancesView) -> None:
    print_table(
        (
            "instance",
            "pool",
            "data centre",
            "rack",
            "address",
            "slots",
            "wanted",
            "working",
            "plan",
        ),
        (
            (
                entry.name,
                entry.pool,
                entry.data_centre,
                entry.rack,
                entry.address,
                entry.slots,
                entry.condition.value,
                entry.healthy,
                entry.held_by[:12],
            )
            for entry in view.instances
        ),
    )


def _pools(
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    as_json: JsonOption = False,
) -> None:
    """List pools with their availability budgets."""
    client = open_client(address=address, token_file=token_file)
    answer = client.bind(lambda opened: opened.get("/pools", PoolsView))
    print_outcome(answer, as_json=as_json, show=_show_pools)


def _show_pools(view: PoolsView) -> None:
    print_table(
        ("pool", "services", "instances", "available", "slots", "budget", "budget left"),
        (
            (
                entry.name,
                ", ".join(entry.services),
                entry.instances,
                entry.available,
                entry.slots,
                entry.budget,
                entry.budget_left,
            )
            for entry in view.pools
        ),
    )


def _services(
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    as_json: JsonOption = False,
) -> None:
    """List services with their shares and budgets."""
    client = open_client(address=address, token_file=token_file)
    answer = client.bind(lambda opened: opened.get("/services", ServicesView))
    print_outcome(answer, as_json=as_json, show=_show_services)


def _show_services(view: ServicesView) -> None:
    print_table(
        ("service", "pool", "share", "budget", "available", "unavailable"),
        (
            (
                entry.service.name,
                entry.service.pool,
                entry.service.share,
                entry.service.max_unavailable,
                entry.available,
                entry.unavailable,
            )
            for entry in view.services
        ),
    )


def _apply(
    file: Annotated[str, typer.Argument(help="JSON file of one change or a list; - for stdin.")],
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Apply changes in order, and stop at the first that is refused."""
    client = open_client(address=address, token_file=token_file, operator=operator)
    answer = client.bind(
        lambda opened: _read_file(file).bind(
            lambda body: opened.post("/changes", ChangesView, body)
        )
    )
    print_outcome(answer, as_json=as_json, show=_show_accepted)


def _restore_store(
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Write one instance's configuration to a store that was restored empty or outdated."""
    client = open_client(address=address, token_file=token_file, operator=operator)
    answer = client.bind(lambda opened: opened.post("/store/restore", RestoredView, b""))
    print_outcome(answer, as_json=as_json, show=_show_restored)


def _show_restored(view: RestoredView) -> None:
    print_text(f"the store holds revision {view.revision} again\n")


def _read_file(file: str) -> Result[bytes, ErrorBody]:
    try:
        if file == STANDARD_INPUT:
            return Success(sys.stdin.buffer.read())
        with open(file, "rb") as opened:
            return Success(opened.read())
    except OSError as error:
        reason = f"the file {file} can't be read ({error.strerror})"
        return Err(make_error(ErrorKind.INVALID_REQUEST, reason))


def _show_accepted(view: ChangesView) -> None:
    count = len(view.accepted)
    if not count:
        print_text("nothing to change\n")
        return
    revision = view.accepted[-1].revision
    print_text(f"{count} change{'s' if count > 1 else ''} accepted, up to revision {revision}\n")


def _changes(
    after: Annotated[
        int | None,
        typer.Option(help="Only changes after this revision; the newest by default.", min=0),
    ] = None,
    limit: Annotated[int, typer.Option(help="Most changes to list.", min=1, max=1000)] = 100,
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    as_json: JsonOption = False,
) -> None:
    """List accepted changes with their authors and times."""
    client = open_client(address=address, token_file=token_file)
    answer = client.bind(lambda opened: _read_changes(opened, after, limit))
    print_outcome(answer, as_json=as_json, show=_show_history)


def _read_changes(
    client: OperatorsClient, after: int | None, limit: int
) -> Result[HistoryView, ErrorBody]:
    if after is None:
        status = client.get("/status", StatusView)
        if isinstance(status, Err):
            return status
        after = max(0, status.unwrap().revision - limit)
    return client.get("/changes", HistoryView, {"after": str(after), "limit": str(limit)})


def _show_history(view: HistoryView) -> None:
    print_table(
        ("revision", "by", "change", "time (UTC)"),
        (
            (entry.revision, entry.author, entry.change.kind, format_time(entry.at_s))
            for entry in view.entries
        ),
    )


def _format_store_fault(store_fault: str) -> str:
    return f", {store_fault}" if store_fault else ""


def _format_config_age(config_age_s: float | None) -> str:
    if config_age_s is None:
        return "never known to be the newest"
    return f"known to be the newest {config_age_s:.1f} s ago"
