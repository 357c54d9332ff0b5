"""What a keeper of machines works with."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from shallotworks.logs import StructuredLog
from shallotworks.store import Store

from ._machine_records import MachineRecords
from ._protocols import Machines, MaintenanceSchedule

__all__ = ["MachineControllerDependencies"]


@dataclass(frozen=True, slots=True, kw_only=True)
class MachineControllerDependencies:
    """What a keeper works with.

    Args:
        machines: The machines.
        maintenance_schedule: The waves that operators ask for.
        machine_records: What schedulers say.
        standby: Returns the services whose machines are off and not paid for.
        store: The store.
        clock: Seconds, counting suspended time.
        wall_clock: Time of day in seconds since 1970.
        log: Decisions.
        turns_apart_s: Orders of two holders for a machine must be this far apart: they must not
            take turns on it. Source: the platform's settings.
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
