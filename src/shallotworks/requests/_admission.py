"""Which requests may wait, for how long, and which of them is shed when too many do."""

from __future__ import annotations

import math

from ._limits import DispatchLimits
from ._loads import ClassLoad
from ._pool import PoolState

__all__ = ["expected_wait_s", "load_to_shed", "max_wait_s", "max_waiting_requests"]


def max_waiting_requests(pool: PoolState, limits: DispatchLimits) -> int:
    """Return how many requests may wait at a pool."""
    slots = pool.local.capacity + pool.remote.capacity
    return max(limits.waiting_min, limits.waiting_per_slot * slots)


def max_wait_s(load: ClassLoad, *, remaining_s: float, limits: DispatchLimits) -> float:
    """Return how long a request may wait and still be answered in time.

    Args:
        load: Its service and class.
        remaining_s: Time until its deadline.
        limits: Holds the part that it may always wait, so that an estimate that is far off can't
            refuse everything and thereby never be corrected.
    """
    return max(remaining_s - load.estimate.slow_s, remaining_s * limits.min_wait_part)


def expected_wait_s(pool: PoolState, load: ClassLoad) -> float:
    """Return how long one more request would wait, judged by how fast slots come free.

    Returns:
        Seconds; 0 where nothing has been observed yet.
    """
    rate = pool.long_running_hold.per_second(pool.long_running_in_flight)
    if load.interactive:
        rate += pool.interactive_hold.per_second(pool.interactive.count)
    if not rate:
        return 0.0
    shares = load.service.share
    for service in pool.services.values():
        other = service.interactive if load.interactive else service.long_running
        if other is not load and other.waiting:
            shares += service.share
    return (load.waiting + 1) * shares / (load.service.share * rate)


def load_to_shed(pool: PoolState, arriving: ClassLoad) -> ClassLoad:
    """Return whose last request is refused when one too many arrives; may be the arriving one's.

    Long-running requests go before interactive ones, then those of the service that holds and
    waits for highest against its share.
    """
    interactive = arriving.interactive and not any(
        service.long_running.queue.count for service in pool.services.values()
    )
    victim: ClassLoad | None = arriving if arriving.interactive == interactive else None
    highest = arriving.service.demand_per_share() if victim else -math.inf
    for service in pool.services.values():
        load = service.interactive if interactive else service.long_running
        if load.queue.count and service.demand_per_share() > highest:
            victim, highest = load, service.demand_per_share()
    return victim or arriving
