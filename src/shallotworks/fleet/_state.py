"""State of the fleet at one revision."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from ._records import DataCentre, Instance, PlanRecord, Pool, Service, Team

__all__ = ["FleetState"]


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetState:
    """All records of the fleet at one revision; immutable.

    Args:
        revision: Number of changes applied so far.
        data_centres: By name.
        pools: By name.
        services: By name.
        teams: By name.
        instances: By name.
        plans: Confirmed plans by digest: all open ones and the most recently ended ones.
    """

    revision: int = 0
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    instances: dict[str, Instance] = field(default_factory=dict)
    plans: dict[str, PlanRecord] = field(default_factory=dict)

    def instances_of(self, pool: str) -> Iterator[Instance]:
        """Return the instances of one pool."""
        return (entry for entry in self.instances.values() if entry.pool == pool)

    def services_of(self, pool: str) -> Iterator[Service]:
        """Return the services that one pool serves."""
        return (entry for entry in self.services.values() if entry.pool == pool)

    def unavailable_in(self, pool: str) -> int:
        """Return the number of instances of a pool that are cordoned or failed."""
        return sum(1 for entry in self.instances_of(pool) if not entry.available)

    def disruption_budget(self, pool: str) -> int:
        """Return the number of instances of a pool that may be unavailable at the same time.

        This is the smallest budget of the pool's services. In a pool without services every
        instance may be unavailable.
        """
        budgets = [entry.max_unavailable for entry in self.services_of(pool)]
        if budgets:
            return min(budgets)
        return sum(1 for _ in self.instances_of(pool))

    def unavailable_by_pool(self) -> Counter[str]:
        """Return `unavailable_in` of every pool, computed in one pass over the instances."""
        return Counter(entry.pool for entry in self.instances.values() if not entry.available)

    def budgets_by_pool(self) -> dict[str, int]:
        """Return `disruption_budget` of every pool in one pass over services and instances."""
        budgets: dict[str, int] = {}
        for service in self.services.values():
            least = budgets.get(service.pool, service.max_unavailable)
            budgets[service.pool] = min(least, service.max_unavailable)
        sizes = Counter(entry.pool for entry in self.instances.values())
        return {name: budgets.get(name, sizes[name]) for name in self.pools}

    def open_plan_holding(self, names: tuple[str, ...]) -> PlanRecord | None:
        """Return an open plan that holds any of these instances, or ``None``."""
        wanted = frozenset(names)
        for plan in self.plans.values():
            if plan.state.is_open and not wanted.isdisjoint(plan.instances):
                return plan
        return None
