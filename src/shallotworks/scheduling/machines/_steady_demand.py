"""Keeps a pool's request for machines steady for as long as a machine needs to come.

What a pool lacks at a moment swings with the order in which jobs start, machines arrive and tasks
end. A machine that was ordered for one moment arrives two seconds later, so a request that is taken
back in the next moment only delays the machines. This module performs no network calls.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

__all__ = ["SteadyDemand", "SteadyDemandLimits"]


@dataclass(frozen=True, slots=True, kw_only=True)
class SteadyDemandLimits:
    """Limits for holding a request.

    Args:
        hold_s: A request holds for this many seconds: the time that a machine needs from its order
            until its worker counts in the pool.
        fallen_fraction: A request is taken back once the load is below this fraction of the load
            for which it was made.
    """

    hold_s: float = 2.5
    fallen_fraction: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class _Request:
    """What a pool wanted at a moment.

    Args:
        at_s: The moment, on the scheduler's clock.
        wanted: Machines that the pool wanted in all.
        load_cores: Cores that arriving, waiting and running tasks demanded.
    """

    at_s: float
    wanted: int
    load_cores: float


class SteadyDemand:
    """The machines that one pool requests, during one epoch of its scheduler.

    A request names how many machines the pool wants in all. Machines that were ordered, are on
    their way, or have arrived and don't count yet thus stay part of it. The machine controller
    subtracts those on their way.

    Args:
        limits: Limits for holding a request.
    """

    __slots__ = ("_available", "_limits", "_requests")

    def __init__(self, *, limits: SteadyDemandLimits) -> None:
        self._limits = limits
        self._available = 0
        self._requests: deque[_Request] = deque()
        """Requests that still hold, each for fewer machines than the one before it."""

    def update(self, *, lacking: int, available: int, load_cores: float, now_s: float) -> int:
        """Return how many machines the pool lacks, counting requests that still hold.

        Args:
            lacking: Machines that the pool lacks at this moment, on top of the available ones.
            available: Machines of the pool that can be used and aren't being drained.
            load_cores: Cores that arriving, waiting and running tasks demand.
            now_s: Time on the scheduler's clock, in seconds.
        """
        self._drop_ended(load_cores, now_s)
        left = max(0, self._available - available) if lacking == 0 else 0
        self._available = available
        if left:
            # A machine that leaves a pool that lacks none, such as a lent one, is not replaced.
            self._requests = deque(
                replace(request, wanted=request.wanted - left) for request in self._requests
            )
        if lacking > 0:
            request = _Request(at_s=now_s, wanted=available + lacking, load_cores=load_cores)
            while self._requests and self._requests[-1].wanted <= request.wanted:
                self._requests.pop()
            self._requests.append(request)
        held = self._requests[0].wanted - available if self._requests else 0
        return max(0, lacking, held)

    def _drop_ended(self, load_cores: float, now_s: float) -> None:
        self._requests = deque(
            request
            for request in self._requests
            if now_s - request.at_s < self._limits.hold_s
            and load_cores >= request.load_cores * self._limits.fallen_fraction
        )
