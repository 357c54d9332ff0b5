"""Supply of each pool in one state, indexed once so that planning takes linear time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from shallotworks.fleet import FleetState, Instance, Service

__all__ = ["PoolSupply", "RackKey", "Supply", "index_supply"]

RackKey = tuple[str, str]
"""Data centre and rack, because a rack's name is unique within its data centre only."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolSupply:
    """Supply of one pool.

    Args:
        name: Name of the pool.
        services: The services of the pool.
        members: The instances of the pool.
        budget: Number of instances that may be unavailable at the same time.
        unavailable: Number of instances that are unavailable now.
    """

    name: str
    services: tuple[Service, ...]
    members: tuple[Instance, ...]
    budget: int
    unavailable: int

    @property
    def free(self) -> int:
        """Number of instances that may become unavailable now; never negative."""
        return max(0, self.budget - self.unavailable)

    @property
    def tightest(self) -> str:
        """Name of the service with the smallest budget; empty without services."""
        least = min(self.services, key=lambda e: (e.max_unavailable, e.name), default=None)
        return least.name if least else ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Supply:
    """Supply of all pools, and available slots of all racks.

    Args:
        pools: Supply of each pool, by name.
        rack_slots: Number of available slots of each rack.
    """

    pools: dict[str, PoolSupply]
    rack_slots: dict[RackKey, int]


def index_supply(state: FleetState) -> Supply:
    """Return the supply in a state."""
    members: dict[str, list[Instance]] = {name: [] for name in state.pools}
    services: dict[str, list[Service]] = {name: [] for name in state.pools}
    for entry in state.instances.values():
        members.setdefault(entry.pool, []).append(entry)
    for service in state.services.values():
        services.setdefault(service.pool, []).append(service)
    return Supply(
        pools={name: _pool_supply(name, members[name], services.get(name, [])) for name in members},
        rack_slots=_rack_slots(state.instances.values()),
    )


def _pool_supply(name: str, members: list[Instance], services: list[Service]) -> PoolSupply:
    return PoolSupply(
        name=name,
        services=tuple(services),
        members=tuple(members),
        budget=min((entry.max_unavailable for entry in services), default=len(members)),
        unavailable=sum(1 for entry in members if not entry.available),
    )


def _rack_slots(instances: Iterable[Instance]) -> dict[RackKey, int]:
    slots: dict[RackKey, int] = {}
    for entry in instances:
        key = (entry.data_centre, entry.rack)
        slots[key] = slots.get(key, 0) + (entry.slots if entry.available else 0)
    return slots
