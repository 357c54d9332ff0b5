"""Commands that show the timeline and the metrics of processes."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import typer
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind
from shallotworks.metrics import MetricsSnapshot, to_exposition
from shallotworks.operators import ErrorBody, PeerView, StatusView
from shallotworks.timeline import (
    Event,
    EventKind,
    TimelinePage,
    encode_events,
    estimate_clock_offset_s,
    merge,
    to_chrome_trace,
    to_text,
)

from ._failures import exit_code_of, make_error
from ._options import (
    DEFAULT_ADDRESS,
    AddressesOption,
    AddressOption,
    JsonOption,
    TokenFileOption,
    open_client,
)
from ._output import exit_with_error, print_error, print_outcome, print_table, print_text

__all__ = ["add_observe_commands"]

MAX_CONCURRENT_FETCHES = 16

_wall_clock_s: Callable[[], float] = time.time


class TimelineFormat(Enum):
    """Output formats of the timeline."""

    TEXT = "text"
    JSON = "json"
    CHROME = "chrome"


@dataclass(frozen=True, slots=True, kw_only=True)
class _FetchedPage:
    """The timeline page of one process and the offset of its clock."""

    page: TimelinePage
    clock_offset_s: float


def add_observe_commands(app: typer.Typer) -> None:
    """Add the commands to the application."""
    app.command("timeline")(_timeline)
    app.command("metrics")(_metrics)


def _timeline(
    address: AddressesOption = [DEFAULT_ADDRESS],  # noqa: B006 (the default is never modified)
    include_peers: Annotated[
        bool, typer.Option("--all", help="Also query the peers of the first address.")
    ] = False,
    request: Annotated[str, typer.Option(help="Only events of this request id.")] = "",
    plan: Annotated[str, typer.Option(help="Only events of plans with this digest prefix.")] = "",
    instance: Annotated[str, typer.Option(help="Only events of this instance.")] = "",
    kind: Annotated[
        list[EventKind] | None, typer.Option(help="Only events of this kind; may be repeated.")
    ] = None,
    limit: Annotated[
        int, typer.Option(help="Most events per instance; keeps the newest.", min=1)
    ] = 10_000,
    output: Annotated[
        TimelineFormat, typer.Option("--format", help="Text, JSON, or a trace for a viewer.")
    ] = TimelineFormat.TEXT,
    token_file: TokenFileOption = "",
) -> None:
    """Show the events of instances, merged into one timeline."""
    query = {
        "request": request,
        "plan": plan,
        "instance": instance,
        "kind": ",".join(entry.value for entry in kind or ()),
        "limit": str(limit),
    }
    addresses = _add_peer_addresses(address, token_file) if include_peers else tuple(address)
    with ThreadPoolExecutor(max_workers=MAX_CONCURRENT_FETCHES) as threads:
        outcomes = list(
            threads.map(lambda queried: _fetch_page(queried, token_file, query), addresses)
        )
    pages = [outcome.unwrap() for outcome in outcomes if isinstance(outcome, Success)]
    errors = [outcome.failure() for outcome in outcomes if isinstance(outcome, Err)]
    for error in errors:
        print_error(error)
    if pages:
        _print_events(pages, output)
    if errors:
        # The fetched pages are printed, but the exit code shows that others are missing.
        raise typer.Exit(exit_code_of(errors[0]))


def _add_peer_addresses(addresses: list[str], token_file: str) -> tuple[str, ...]:
    client = open_client(address=addresses[0], token_file=token_file)
    status = client.bind(lambda opened: opened.get("/status", StatusView))
    if isinstance(status, Err):
        exit_with_error(status.failure(), as_json=False)
    port = addresses[0].rpartition(":")[2]
    peers = [_operators_address(peer, port) for peer in status.unwrap().peers]
    return tuple(dict.fromkeys([*addresses, *peers]))


def _operators_address(peer: PeerView, default_port: str) -> str:
    """Return the address of a peer's operators' port.

    If the peer announces none, it is the peer's host with the port of the first address.
    """
    if peer.operators_address:
        return peer.operators_address
    host = peer.address.rpartition(":")[0]
    return f"{host}:{default_port}"


def _fetch_page(
    address: str, token_file: str, query: dict[str, str]
) -> Result[_FetchedPage, ErrorBody]:
    client = open_client(address=address, token_file=token_file)
    if isinstance(client, Err):
        return client
    requested_at_s = _wall_clock_s()
    page = client.unwrap().get("/timeline", TimelinePage, query)
    responded_at_s = _wall_clock_s()
    client.unwrap().close()
    return page.map(
        lambda found: _FetchedPage(
            page=found,
            clock_offset_s=estimate_clock_offset_s(
                requested_at_s=requested_at_s,
                responded_at_s=responded_at_s,
                remote_now_s=found.now_s,
            ),
        )
    )


def _print_events(fetched: list[_FetchedPage], output: TimelineFormat) -> None:
    all_events: list[Event] = [event for entry in fetched for event in entry.page.events]
    offsets_s = {entry.page.process: entry.clock_offset_s for entry in fetched}
    events = merge(all_events, clock_offsets_s=offsets_s)
    if output is TimelineFormat.JSON:
        print_text(encode_events(events).decode() + "\n")
    elif output is TimelineFormat.CHROME:
        print_text(to_chrome_trace(events).decode() + "\n")
    else:
        print_text(to_text(events))
        _print_dropped(fetched)


def _print_dropped(fetched: list[_FetchedPage]) -> None:
    for entry in fetched:
        if entry.page.dropped:
            message = f"{entry.page.process} has dropped its first {entry.page.dropped} events"
            print_text(message + "\n")


def _metrics(
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    as_json: JsonOption = False,
    text: Annotated[bool, typer.Option("--text", help="Print the text exposition format.")] = False,
) -> None:
    """Show counters and latencies of one instance."""
    if as_json and text:
        reason = "--json and --text exclude each other"
        exit_with_error(make_error(ErrorKind.INVALID_REQUEST, reason), as_json=True)
    client = open_client(address=address, token_file=token_file)
    answer = client.bind(lambda opened: opened.get("/metrics", MetricsSnapshot))
    print_outcome(answer, as_json=as_json, show=_show_exposition if text else _show_metrics)


def _show_exposition(snapshot: MetricsSnapshot) -> None:
    print_text(to_exposition(snapshot))


def _show_metrics(snapshot: MetricsSnapshot) -> None:
    print_table(("counter", "count"), snapshot.counters.items())
    print_text("\n")
    print_table(
        ("latency", "count", "mean ms", "p50 ms", "p90 ms", "p99 ms", "max ms"),
        (
            (
                name,
                latency.count,
                _ms(latency.mean_s),
                _ms(latency.p50_s),
                _ms(latency.p90_s),
                _ms(latency.p99_s),
                _ms(latency.max_s),
            )
            for name, latency in snapshot.latencies.items()
        ),
    )


def _ms(duration_s: float) -> float:
    return round(duration_s * 1_000, 2)
