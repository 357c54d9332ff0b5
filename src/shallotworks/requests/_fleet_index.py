"""Index of the current configuration for dispatch."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass

from shallotworks.config import ConfigView
from shallotworks.fleet import FleetState, Instance, Service

from ._limits import DispatchLimits
from ._loads import ServiceLoad, TeamLoad
from ._pool import PoolState

__all__ = ["UNRANKED", "FleetIndex"]

NO_REVISION = -1
ENTRY_COUNT_REFRESH_S = 0.25
UNRANKED = -1
"""Rank of an entry instance that does not know its rank; it takes no part of the remainder."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _SlotDivision:
    """Division of each target's slots among the entry instances of a data centre.

    Each entry instance has an equal number of slots, at least one. The remainder goes to some of
    them by rank, starting at a different rank for each target. The entry instances exchange no
    messages for this, so the division also holds during a network partition. While they disagree on
    how many of them are live, the target itself refuses requests beyond its slots.
    """

    entries: int
    rank: int

    def slots_of(self, instance: Instance) -> int:
        even, left_over = divmod(instance.slots, self.entries)
        if self.rank == UNRANKED:
            return max(1, even)
        turn = (self.rank + zlib.crc32(instance.name.encode())) % self.entries
        return max(1, even + int(turn < left_over))


class FleetIndex:
    """Pools, services and teams by name, updated when the configuration changes.

    Args:
        config: This process's copy of the configuration.
        data_centre: Data centre of this process.
        entry_count: Returns the number of entry instances that serve this data centre, including
            this one.
        entry_rank: Returns the rank of this entry instance among them, from 0; all of them agree on
            the ranks.
        limits: Contains the duration of a slow start.
        new_pool: Creates the state of a pool.

    Attributes:
        pools: Pools that contain an instance or serve a service, by name.
        services: Load of each service, by name.
        teams: Load of each team, by name.
    """

    __slots__ = (
        "_config",
        "_data_centre",
        "_division",
        "_entry_count",
        "_entry_rank",
        "_indexed_instances",
        "_leaving",
        "_leaving_changed",
        "_limits",
        "_new_pool",
        "_refresh_division_at_s",
        "_revision",
        "pools",
        "services",
        "teams",
    )

    def __init__(
        self,
        *,
        config: ConfigView,
        data_centre: str,
        entry_count: Callable[[], int],
        entry_rank: Callable[[], int],
        limits: DispatchLimits,
        new_pool: Callable[[str], PoolState],
    ) -> None:
        self._config = config
        self._data_centre = data_centre
        self._entry_count = entry_count
        self._entry_rank = entry_rank
        self._limits = limits
        self._new_pool = new_pool
        self._division = _SlotDivision(entries=0, rank=0)
        self._refresh_division_at_s = 0.0
        self._revision = NO_REVISION
        self._leaving_changed = False
        self._leaving: frozenset[str] = frozenset()
        self._indexed_instances: dict[str, Instance] = {}
        self.pools: dict[str, PoolState] = {}
        self.services: dict[str, ServiceLoad] = {}
        self.teams: dict[str, TeamLoad] = {}

    def set_leaving_instances(self, names: frozenset[str]) -> None:
        """Set the names of the instances that the platform will remove soon."""
        self._leaving_changed = self._leaving_changed or names != self._leaving
        self._leaving = names

    def refresh(self, now_s: float) -> bool:
        """Apply the current configuration and return whether anything may have changed."""
        state = self._config.state()
        division = self._current_division(now_s)
        division_changed = division != self._division
        if state.revision == self._revision and not division_changed and not self._leaving_changed:
            return False
        # Targets in the first configuration count as warm; later ones get a slow start.
        is_first = self._revision == NO_REVISION
        ramp_start_s = now_s - self._limits.slow_start_s if is_first else now_s
        update_all = self._leaving_changed or division_changed
        self._revision = state.revision
        self._division = division
        self._leaving_changed = False
        self._sync_services(state)
        self._sync_instances(state, ramp_start_s, update_all)
        self._sync_teams(state)
        self._drop_empty_pools()
        return True

    def _current_division(self, now_s: float) -> _SlotDivision:
        """Return the division, computed anew every `ENTRY_COUNT_REFRESH_S` seconds at most."""
        if now_s < self._refresh_division_at_s:
            return self._division
        self._refresh_division_at_s = now_s + ENTRY_COUNT_REFRESH_S
        return _SlotDivision(entries=max(1, self._entry_count()), rank=self._entry_rank())

    def _sync_services(self, state: FleetState) -> None:
        for name in [name for name in self.services if name not in state.services]:
            self._remove_service(name)
        for name, service in state.services.items():
            load = self.services.get(name)
            if load is not None and load.pool != service.pool:
                self._remove_service(name)
                load = None
            if load is None:
                self._add_service(service)
            else:
                load.set_share(service.share)

    def _add_service(self, service: Service) -> None:
        load = ServiceLoad(name=service.name, pool=service.pool, share=service.share)
        self.services[service.name] = load
        self._pool(service.pool).services[service.name] = load

    def _remove_service(self, name: str) -> None:
        load = self.services.pop(name)
        del self.pools[load.pool].services[name]

    def _sync_instances(self, state: FleetState, ramp_start_s: float, update_all: bool) -> None:
        for name in [name for name in self._indexed_instances if name not in state.instances]:
            self.pools[self._indexed_instances.pop(name).pool].remove(name)
        for name, record in state.instances.items():
            known = self._indexed_instances.get(name)
            if known is record and not update_all:
                continue
            if known is not None and _moved(known, record):
                self.pools[known.pool].remove(name)
            self._indexed_instances[name] = record
            self._put_instance(state, record, ramp_start_s)

    def _put_instance(self, state: FleetState, record: Instance, ramp_start_s: float) -> None:
        self._pool(record.pool).put(
            record,
            local=record.data_centre == self._data_centre,
            usable=record.available and record.name not in self._leaving,
            own_slots=self._division.slots_of(record),
            ramp_start_s=ramp_start_s,
        )

    def _sync_teams(self, state: FleetState) -> None:
        quota_divisor = self._division.entries * max(1, len(state.data_centres))
        for name in [name for name in self.teams if name not in state.teams]:
            del self.teams[name]
        for name, team in state.teams.items():
            quota = max(min(1, team.quota_slots), team.quota_slots // quota_divisor)
            load = self.teams.get(name)
            if load is None:
                self.teams[name] = TeamLoad(name=name, quota=quota)
            else:
                load.quota = quota

    def _pool(self, name: str) -> PoolState:
        pool = self.pools.get(name)
        if pool is None:
            pool = self._new_pool(name)
            self.pools[name] = pool
        return pool

    def _drop_empty_pools(self) -> None:
        empty = [name for name, pool in self.pools.items() if not pool.targets]
        for name in empty:
            if not self.pools[name].services:
                del self.pools[name]


def _moved(known: Instance, record: Instance) -> bool:
    return known.pool != record.pool or known.data_centre != record.data_centre
