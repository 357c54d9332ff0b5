"""Digest of the preconditions of a plan."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from ._records import Instance
from ._state import FleetState

__all__ = ["precondition_digest"]


def precondition_digest(state: FleetState, instances: Iterable[str]) -> str:
    """Return a digest of the preconditions of a plan over these instances.

    The digest covers every pool that one of the instances is in: the budgets of its services, its
    members, and which of those are unavailable. Other changes to the fleet do not alter it.

    Args:
        state: The state.
        instances: Names of the plan's instances; a name without an instance is hashed as missing.
    """
    names = frozenset(instances)
    pools = {state.instances[name].pool for name in names if name in state.instances}
    members = (entry for entry in state.instances.values() if entry.pool in pools)
    digest = hashlib.sha256()
    for line in sorted(_instance_line(entry) for entry in members):
        digest.update(line.encode())
    for line in sorted(f"missing {name}\n" for name in names if name not in state.instances):
        digest.update(line.encode())
    for line in _budget_lines(state, pools):
        digest.update(line.encode())
    return digest.hexdigest()


def _instance_line(entry: Instance) -> str:
    return (
        f"{entry.name}|{entry.pool}|{entry.data_centre}|{entry.rack}|{entry.slots}"
        f"|{entry.condition.value}|{entry.healthy}\n"
    )


def _budget_lines(state: FleetState, pools: set[str]) -> list[str]:
    return sorted(
        f"{entry.pool}|{entry.name}|{entry.max_unavailable}\n"
        for entry in state.services.values()
        if entry.pool in pools
    )
