"""Admission control: queue limits, wait bounds and the choice of the request to shed."""

from __future__ import annotations

import math

from ._limits import DispatchLimits
from ._loads import ClassLoad
from ._pool import PoolState

__all__ = ["expected_wait_s", "load_to_shed", "max_wait_s", "max_waiting_requests"]


def max_waiting_requests(pool: PoolState, limits: DispatchLimits) -> int:
    """Return the maximum number of requests that may wait at a pool."""
    slots = pool.local.capacity + pool.remote.capacity
    return max(limits.waiting_min, limits.waiting_per_slot * slots)


def max_wait_s(load: ClassLoad, *, remaining_s: float, limits: DispatchLimits) -> float:
    """Return how long a request may wait, in seconds, and still be answered by its deadline.

    Args:
        load: Service and class of the request.
        remaining_s: Time until its deadline.
        limits: Contains the part of the remaining time that a request may always wait. Without it a
            wrong estimate could refuse every request and, with no answer to observe, never be
            corrected.
    """
    return max(remaining_s - load.estimate.slow_s, remaining_s * limits.min_wait_part)


def expected_wait_s(pool: PoolState, load: ClassLoad) -> float:
    """Return the expected wait of one more request, from the rate at which slots become free.

    Returns:
        Seconds; 0 if no request has been observed yet.
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
    """Return the load whose last request is shed when the queue is full.

    This may be the load of the arriving request. Long-running requests are shed before interactive
    ones, and within a class those of the service with the most requests in flight and waiting
    relative to its share.
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
