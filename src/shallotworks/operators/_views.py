"""What operators are shown; the JSON bodies of the operators' API."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique

from shallotworks.config import Accepted, Entry
from shallotworks.fleet import (
    DataCentre,
    FleetState,
    Instance,
    PlanRecord,
    Service,
    Team,
)
from shallotworks.plans import Plan, Progress, progress_of

__all__ = [
    "ChangesView",
    "DataCentresView",
    "HistoryView",
    "InstancesView",
    "PeerState",
    "PeerView",
    "PlanView",
    "PlansView",
    "PoolView",
    "PoolsView",
    "RestoredView",
    "ServiceView",
    "ServicesView",
    "StatusView",
    "TeamsView",
    "plan_view",
    "pool_views",
    "service_views",
]


@unique
class PeerState(Enum):
    """How an instance sees one of its peers."""

    UP = "up"
    SUSPECT = "suspect"
    DOWN = "down"


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerView:
    """One peer of an instance.

    Args:
        name: The peer's name.
        address: ``ip:port`` of its peers' port.
        data_centre: Where it stands.
        state: How it is seen.
        revision: The configuration revision that it holds.
        silent_s: Time since it was last heard.
        operators_address: ``ip:port`` of its operators' port; empty where it is not known.
    """

    name: str
    address: str
    data_centre: str
    state: PeerState
    revision: int
    silent_s: float
    operators_address: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusView:
    """How one instance is doing.

    Args:
        process: Name of the instance.
        version: Version of the program.
        data_centre: Where it stands.
        region: The region of that data centre.
        uptime_s: Time since it started.
        stopping: Whether it takes no new work any more.
        revision: The configuration revision in force here.
        config_age_s: Time since that was last known to be the newest; ``None`` for never.
        store_up: Whether the platform's key-value service answered the last call.
        store_fault: What is wrong with the configuration in that service; empty for nothing.
        requests_queued: Requests waiting for a slot.
        requests_in_flight: Requests at a target.
        duties: Names of the duties that this instance holds by lease.
        peers: Its peers, by name.
    """

    process: str
    version: str
    data_centre: str
    region: str
    uptime_s: float
    stopping: bool
    revision: int
    config_age_s: float | None
    store_up: bool
    store_fault: str = ""
    requests_queued: int
    requests_in_flight: int
    duties: tuple[str, ...] = ()
    peers: tuple[PeerView, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class InstancesView:
    """Worker instances at one revision, by name."""

    revision: int
    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolView:
    """One pool and what stands in it.

    Args:
        name: The pool.
        services: Names of the services it serves.
        instances: How many instances it has.
        available: How many of them count as serving.
        slots: Slots of the available ones.
        budget: How many may be unavailable at once.
    """

    name: str
    services: tuple[str, ...]
    instances: int
    available: int
    slots: int
    budget: int

    @property
    def budget_left(self) -> int:
        """How many more instances may become unavailable; negative where it is overspent."""
        return self.budget - (self.instances - self.available)


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolsView:
    """All pools at one revision, by name."""

    revision: int
    pools: tuple[PoolView, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceView:
    """One service and how its pool stands.

    Args:
        service: As configured.
        available: Instances of its pool that count as serving.
        unavailable: Instances of its pool that don't.
    """

    service: Service
    available: int
    unavailable: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicesView:
    """All services at one revision, by name."""

    revision: int
    services: tuple[ServiceView, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamsView:
    """All teams at one revision, by name."""

    revision: int
    teams: tuple[Team, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class DataCentresView:
    """All data centres at one revision, by name."""

    revision: int
    data_centres: tuple[DataCentre, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangesView:
    """Changes that were accepted, in the order given."""

    accepted: tuple[Accepted, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RestoredView:
    """The revision that the platform's service holds again."""

    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryView:
    """Accepted changes with author and time, oldest first."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanView:
    """One plan, and how far it has come.

    Args:
        plan: The plan.
        record: What was confirmed; ``None`` for a proposal.
        progress: How far it has come; ``None`` for a proposal.
    """

    plan: Plan
    record: PlanRecord | None = None
    progress: Progress | None = None

    @property
    def stage(self) -> str:
        """Where it stands: ``proposed``, or the state of its record."""
        return self.record.state.value if self.record is not None else "proposed"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlansView:
    """Proposals and confirmed plans."""

    plans: tuple[PlanView, ...]


def plan_view(plan: Plan, record: PlanRecord | None, state: FleetState) -> PlanView:
    """Return one plan as it stands in this state."""
    progress = progress_of(plan, record, state) if record is not None else None
    return PlanView(plan=plan, record=record, progress=progress)


def pool_views(state: FleetState) -> tuple[PoolView, ...]:
    """Return all pools as they stand in this state, by name."""
    members = _members(state)
    services: dict[str, list[str]] = defaultdict(list)
    for service in state.services.values():
        services[service.pool].append(service.name)
    return tuple(
        PoolView(
            name=name,
            services=tuple(sorted(services[name])),
            instances=len(members[name]),
            available=sum(1 for entry in members[name] if entry.available),
            slots=sum(entry.slots for entry in members[name] if entry.available),
            budget=state.budget_of(name),
        )
        for name in sorted(state.pools)
    )


def service_views(state: FleetState) -> tuple[ServiceView, ...]:
    """Return all services as they stand in this state, by name."""
    members = _members(state)
    views = []
    for _, service in sorted(state.services.items()):
        available = sum(1 for entry in members[service.pool] if entry.available)
        unavailable = len(members[service.pool]) - available
        views.append(ServiceView(service=service, available=available, unavailable=unavailable))
    return tuple(views)


def _members(state: FleetState) -> Mapping[str, list[Instance]]:
    """Return the instances of each pool, from one walk over all of them."""
    members: dict[str, list[Instance]] = defaultdict(list)
    for entry in state.instances.values():
        members[entry.pool].append(entry)
    return members
