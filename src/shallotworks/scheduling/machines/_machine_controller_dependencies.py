"""Collaborators of the machine controller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.store import Store

from .._protocols import Machines, MaintenanceSchedule
from ._machine_records import MachineRecords

__all__ = ["MachineControllerDependencies"]


@dataclass(frozen=True, slots=True, kw_only=True)
class MachineControllerDependencies:
    """Collaborators, clocks and settings of the machine controller.

    Args:
        machines: Lists the platform's machines and carries out orders for them.
        maintenance_schedule: The maintenance waves that operators requested.
        machine_records: The watched records, with each scheduler's pool demand.
        standby: Returns the standby pools, whose machines are off and not paid for.
        store: The store.
        clock: Seconds, including time during which the host is suspended.
        wall_clock: Time of day in seconds since 1970.
        log: Receives orders and failures.
        metrics: Counts machines that pools keep idle or return.
        turns_apart_s: Minimum time between orders of two lease holders for one machine, so that
            their orders don't alternate. Source: the platform's settings.
    """

    machines: Machines
    maintenance_schedule: MaintenanceSchedule
    machine_records: MachineRecords
    standby: Callable[[], frozenset[str]]
    store: Store
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    log: StructuredLog
    turns_apart_s: float = 3.0
    metrics: Metrics = field(default_factory=Metrics)
