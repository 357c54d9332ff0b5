"""Machines and pools: how many machines a pool needs, who lends them, and maintenance waves.

`PoolSizer` computes a pool's demand in its scheduler, `DemandPublisher` publishes it there, and
`MachineController` orders the machines; they meet in the records of `MachineRecords`. This package
starts no task and speaks to no worker.
"""

from ._demand import DemandLimits, forecast_demand_cores
from ._demand_publisher import DemandPublisher
from ._machine_controller import MachineController
from ._machine_controller_dependencies import MachineControllerDependencies
from ._machine_records import (
    MACHINES_PREFIX,
    MachineControllerRecord,
    MachineRecords,
    PoolDemand,
    machine_controller_key,
    pool_demand_key,
)
from ._sizing import PoolSizer, SizingLimits
from ._wave import WaveRecord, wave_key

__all__ = [
    "DemandLimits",
    "DemandPublisher",
    "MACHINES_PREFIX",
    "MachineController",
    "MachineControllerDependencies",
    "MachineControllerRecord",
    "MachineRecords",
    "PoolDemand",
    "PoolSizer",
    "SizingLimits",
    "WaveRecord",
    "forecast_demand_cores",
    "machine_controller_key",
    "pool_demand_key",
    "wave_key",
]
