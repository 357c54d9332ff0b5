"""Views of the instance and the fleet: the JSON response bodies of the operators' API."""

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
    """The state of a peer as one instance observes it."""

    UP = "up"
    SUSPECT = "suspect"
    DOWN = "down"


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerView:
    """One peer of an instance.

    Args:
        name: The peer's name.
        address: ``ip:port`` of the peer's port for other instances.
        data_centre: The peer's data centre.
        state: The peer's state as this instance observes it.
        revision: The peer's configuration revision.
        silent_s: Time since the last message from the peer.
        operators_address: ``ip:port`` of the peer's operators' port; empty if unknown.
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
    """The status of one instance.

    Args:
        process: Name of the instance.
        version: Version of the program.
        data_centre: Data centre of the instance.
        region: Region of that data centre.
        uptime_s: Time since the instance started.
        stopping: Whether the instance is stopping and accepts no new work.
        revision: The configuration revision that the instance currently uses.
        config_age_s: Time since this revision was last known to be the newest; ``None`` if it
            never was.
        store_up: Whether the platform's key-value service answered the last call.
        store_fault: What is wrong with the configuration in that service; empty if nothing is.
        requests_queued: Requests waiting for a slot.
        requests_in_flight: Requests sent to a target and not yet answered.
        duties: Names of the roles for which this instance holds the lease.
        peers: The instance's peers, by name.
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
    """One pool with its capacity and disruption budget.

    Args:
        name: Name of the pool.
        services: Names of the services that the pool serves.
        instances: Number of instances in the pool.
        available: Number of available instances.
        slots: Total slots of the available instances.
        budget: Number of instances that may be unavailable at the same time.
    """

    name: str
    services: tuple[str, ...]
    instances: int
    available: int
    slots: int
    budget: int

    @property
    def budget_left(self) -> int:
        """Number of instances that may still become unavailable; negative if overspent."""
        return self.budget - (self.instances - self.available)


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolsView:
    """All pools at one revision, by name."""

    revision: int
    pools: tuple[PoolView, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceView:
    """One service and the availability of its pool.

    Args:
        service: The service as configured.
        available: Number of available instances in its pool.
        unavailable: Number of unavailable instances in its pool.
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
    """The accepted changes, in the order of the request."""

    accepted: tuple[Accepted, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RestoredView:
    """The revision that the platform's key-value service holds after a restore."""

    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryView:
    """Accepted changes with their authors and times, oldest first."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanView:
    """One plan and its progress.

    Args:
        plan: The plan.
        record: Record of the confirmed plan; ``None`` for a proposal.
        progress: Progress of the confirmed plan; ``None`` for a proposal.
    """

    plan: Plan
    record: PlanRecord | None = None
    progress: Progress | None = None

    @property
    def stage(self) -> str:
        """The stage of the plan: ``proposed``, or the state of its record."""
        return self.record.state.value if self.record is not None else "proposed"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlansView:
    """Proposals and confirmed plans."""

    plans: tuple[PlanView, ...]


def plan_view(plan: Plan, record: PlanRecord | None, state: FleetState) -> PlanView:
    """Return the view of one plan in a fleet state."""
    progress = progress_of(plan, record, state) if record is not None else None
    return PlanView(plan=plan, record=record, progress=progress)


def pool_views(state: FleetState) -> tuple[PoolView, ...]:
    """Return the views of all pools in a fleet state, by name."""
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
            budget=state.disruption_budget(name),
        )
        for name in sorted(state.pools)
    )


def service_views(state: FleetState) -> tuple[ServiceView, ...]:
    """Return the views of all services in a fleet state, by name."""
    members = _members(state)
    views = []
    for _, service in sorted(state.services.items()):
        available = sum(1 for entry in members[service.pool] if entry.available)
        unavailable = len(members[service.pool]) - available
        views.append(ServiceView(service=service, available=available, unavailable=unavailable))
    return tuple(views)


def _members(state: FleetState) -> Mapping[str, list[Instance]]:
    """Return the instances of each pool, collected in one pass over all instances."""
    members: dict[str, list[Instance]] = defaultdict(list)
    for entry in state.instances.values():
        members[entry.pool].append(entry)
    return members
