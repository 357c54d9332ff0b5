"""The table of routes, from which both the server and the OpenAPI document are built."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from returns.result import Result

from shallotworks.errors import ErrorKind
from shallotworks.fleet import Change
from shallotworks.metrics import MetricsSnapshot
from shallotworks.plans import Intent
from shallotworks.timeline import TimelinePage

from ._calls import ApiResponse, Call, Refusal
from ._fleet_handlers import FleetHandlers
from ._plan_handlers import PlanHandlers
from ._process_handlers import ProcessHandlers
from ._views import (
    ChangesView,
    DataCentresView,
    HistoryView,
    InstancesView,
    PlansView,
    PlanView,
    PoolsView,
    RestoredView,
    ServicesView,
    StatusView,
    TeamsView,
)

__all__ = ["Handler", "Handlers", "Match", "Route", "build_routes", "find_route"]

Handler = Callable[[Call], Result[ApiResponse, Refusal]]

PREFIX = "/v1"
_STORE_ERRORS = (ErrorKind.STORE_UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN)
_DIGEST_PATTERN = re.compile(r"[A-Za-z0-9]{1,128}", re.ASCII)


@dataclass(frozen=True, slots=True, kw_only=True)
class Handlers:
    """The handlers of one server."""

    fleet: FleetHandlers
    plans: PlanHandlers
    process: ProcessHandlers


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One operation of the API.

    Args:
        method: HTTP method; a ``POST`` may change something and must name its operator.
        path: Path below `PREFIX`, with ``{digest}`` for a plan's digest.
        summary: Summary for the OpenAPI document, one sentence.
        handler: Handles the call.
        answer: Type of the JSON response; ``None`` if the response has no declared type.
        body: Type of the JSON request body; ``None`` if the route takes no body.
        query: Query parameters and their descriptions.
        errors: Error kinds that the route may return besides the common ones.
    """

    method: str
    path: str
    summary: str
    handler: Handler
    answer: Any = None
    body: Any = None
    query: Mapping[str, str] = field(default_factory=dict)
    errors: tuple[ErrorKind, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Match:
    """A matched route and its path arguments."""

    route: Route
    arguments: Mapping[str, str]


def build_routes(handlers: Handlers) -> tuple[Route, ...]:
    """Return all routes of the API."""
    return (
        *_process_routes(handlers.process),
        *_fleet_routes(handlers.fleet),
        *_plan_routes(handlers.plans),
    )


def find_route(routes: tuple[Route, ...], *, method: str, path: str) -> Match | tuple[str, ...]:
    """Return the matching route, or the methods that the path allows; none for an unknown path."""
    methods = []
    for route in routes:
        arguments = _match(route.path, path)
        if arguments is None:
            continue
        if route.method == method:
            return Match(route=route, arguments=arguments)
        methods.append(route.method)
    return tuple(methods)


def _match(pattern: str, path: str) -> Mapping[str, str] | None:
    expected = (PREFIX + pattern).split("/")
    parts = path.split("/")
    if len(expected) != len(parts):
        return None
    arguments = {}
    for name, part in zip(expected, parts, strict=True):
        if name.startswith("{"):
            if not _DIGEST_PATTERN.fullmatch(part):
                return None
            arguments[name[1:-1]] = part
        elif name != part:
            return None
    return arguments


def _process_routes(handlers: ProcessHandlers) -> tuple[Route, ...]:
    return (
        Route(
            method="GET",
            path="/status",
            summary="How this instance is doing.",
            handler=handlers.status,
            answer=StatusView,
        ),
        Route(
            method="GET",
            path="/timeline",
            summary="Events of this process, oldest first.",
            handler=handlers.timeline,
            answer=TimelinePage,
            query={
                "request": "Only events of this request id.",
                "plan": "Only events of the plan whose digest begins so.",
                "instance": "Only events of this instance.",
                "kind": "Only events of these kinds, separated by commas.",
                "limit": "Only the newest so many.",
            },
        ),
        Route(
            method="GET",
            path="/metrics",
            summary="Counters and latencies of this process.",
            handler=handlers.metrics,
            answer=MetricsSnapshot,
            query={"format": "`json`, or `text` for the text exposition format."},
        ),
        Route(
            method="GET",
            path="/openapi.json",
            summary="This description.",
            handler=handlers.describe,
        ),
    )


def _fleet_routes(handlers: FleetHandlers) -> tuple[Route, ...]:
    return (
        Route(
            method="GET",
            path="/instances",
            summary="Worker instances, by name.",
            handler=handlers.instances,
            answer=InstancesView,
            query={
                "pool": "Only those of this pool.",
                "data_centre": "Only those of this data centre.",
            },
        ),
        Route(
            method="GET",
            path="/pools",
            summary="Pools with their availability budgets, by name.",
            handler=handlers.pools,
            answer=PoolsView,
        ),
        Route(
            method="GET",
            path="/services",
            summary="Services, by name.",
            handler=handlers.services,
            answer=ServicesView,
        ),
        Route(
            method="GET",
            path="/teams",
            summary="Teams with their quotas, by name.",
            handler=handlers.teams,
            answer=TeamsView,
        ),
        Route(
            method="GET",
            path="/data-centres",
            summary="Data centres, by name.",
            handler=handlers.data_centres,
            answer=DataCentresView,
        ),
        Route(
            method="GET",
            path="/changes",
            summary="Accepted changes with author and time, oldest first.",
            handler=handlers.history,
            answer=HistoryView,
            query={
                "after": "Only those after this revision.",
                "limit": "At most so many.",
            },
            errors=(ErrorKind.NOT_FOUND,),
        ),
        Route(
            method="POST",
            path="/store/restore",
            summary="Write the state held here into a store that came back empty or older.",
            handler=handlers.restore,
            answer=RestoredView,
            errors=(ErrorKind.CONFLICT, ErrorKind.STORE_REGRESSED, *_STORE_ERRORS),
        ),
        Route(
            method="POST",
            path="/changes",
            summary="Propose one change or a list; stops at the first that is refused.",
            handler=handlers.change,
            answer=ChangesView,
            body=Change | list[Change],
            errors=(
                ErrorKind.NOT_FOUND,
                ErrorKind.CONFLICT,
                ErrorKind.BUDGET_SPENT,
                *_STORE_ERRORS,
            ),
        ),
    )


def _plan_routes(handlers: PlanHandlers) -> tuple[Route, ...]:
    return (
        Route(
            method="GET",
            path="/plans",
            summary="Proposals and confirmed plans, by base revision.",
            handler=handlers.list_all,
            answer=PlansView,
            errors=(ErrorKind.STORE_UNAVAILABLE,),
        ),
        Route(
            method="POST",
            path="/plans",
            summary="Propose a plan for an intent; nothing acts on it before it is confirmed.",
            handler=handlers.propose,
            answer=PlanView,
            body=Intent,
            errors=(
                ErrorKind.NOT_FOUND,
                ErrorKind.UNSATISFIABLE,
                ErrorKind.BUDGET_SPENT,
                *_STORE_ERRORS,
            ),
        ),
        Route(
            method="GET",
            path="/plans/{digest}",
            summary="One plan.",
            handler=handlers.show,
            answer=PlanView,
            errors=(ErrorKind.NOT_FOUND, ErrorKind.STORE_UNAVAILABLE),
        ),
        Route(
            method="POST",
            path="/plans/{digest}/confirm",
            summary="Confirm a proposal; where it is stale, the reason names a new one.",
            handler=handlers.confirm,
            answer=PlanView,
            errors=(ErrorKind.NOT_FOUND, ErrorKind.STALE_PLAN, ErrorKind.CONFLICT, *_STORE_ERRORS),
        ),
        Route(
            method="POST",
            path="/plans/{digest}/cancel",
            summary="Cancel a confirmed plan; what it cordoned comes back.",
            handler=handlers.cancel,
            answer=PlanView,
            errors=(ErrorKind.NOT_FOUND, ErrorKind.CONFLICT, *_STORE_ERRORS),
        ),
    )
