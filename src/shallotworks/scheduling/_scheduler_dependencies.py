"""Services and settings that the scheduler of a service uses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from shallotworks.jobs import Team
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.store import Store

from ._order_times import OrderTimes
from ._protocols import AdviceService, WorkerDirectory, WorkerOrders
from .machines import MachineRecords

__all__ = ["SchedulerDependencies"]


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulerDependencies:
    """Services and settings that a scheduler uses.

    Args:
        store: The store.
        orders: Sends orders to workers.
        directory: Lists workers.
        advice: Says which workers may run a step.
        machine_records: Says which workers the machine controller drains, and which it has removed.
        clock: Seconds, counting suspended time.
        wall_clock: Time of day in seconds since 1970.
        times: Times of orders.
        log: Receives the decisions and the state of the pool.
        metrics: Counters and latencies.
        final_state_told_s: A job's final state is reported for this long. Source: the platform's
            settings.
        team_of: Returns a team by its name as the configuration has it now; ``None`` if it has none
            of the name.
        is_capacity_known: Whether the capacities of a service's workers are known well enough to
            start tasks there.
        may_be_given_up: Whether a service left the configuration long enough ago to end once it has
            no jobs. See `ServiceRoster`.
    """

    store: Store
    orders: WorkerOrders
    directory: WorkerDirectory
    advice: AdviceService
    machine_records: MachineRecords
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    times: OrderTimes
    log: StructuredLog
    metrics: Metrics
    final_state_told_s: float = 120.0
    team_of: Callable[[str], Team | None] = lambda _name: None
    is_capacity_known: Callable[[str], bool] = lambda _service: True
    may_be_given_up: Callable[[str], bool] = lambda _service: False
