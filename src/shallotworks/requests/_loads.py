"""Requests in flight and waiting, per service and team."""

from __future__ import annotations

from ._estimate import DurationEstimate
from ._queue import WaitQueue

__all__ = ["ClassLoad", "ServiceLoad", "TeamLoad"]

MIN_SHARE = 0.001
"""Lowest share used, so that a service with share 0 is served when no other service waits."""


class ClassLoad:
    """Requests of one service and class.

    Attributes:
        service: The service's load.
        interactive: Whether the class is interactive; otherwise it is long-running.
        queue: Waiting requests whose team is below its quota.
        waiting: Number of all waiting requests.
        in_flight: Number of requests that hold a slot.
        estimate: Estimate of how long a request holds its slot.
    """

    __slots__ = ("estimate", "in_flight", "interactive", "queue", "service", "waiting")

    def __init__(self, *, service: ServiceLoad, interactive: bool) -> None:
        self.service = service
        self.interactive = interactive
        self.queue = WaitQueue()
        self.waiting = 0
        self.in_flight = 0
        self.estimate = DurationEstimate()

    def held_per_share(self) -> float:
        """Return the held slots divided by the share; the load with the lowest value goes first.

        For interactive work only the interactive slots of the service count, so a service's own
        long-running work does not delay its interactive work.
        """
        held = self.in_flight if self.interactive else self.service.in_flight
        return held / self.service.share


class ServiceLoad:
    """Requests of one service.

    Attributes:
        name: Name of the service.
        pool: Name of the pool that serves it.
        share: Share of the service, at least `MIN_SHARE`.
        interactive: Load of its interactive requests.
        long_running: Load of its long-running requests.
    """

    __slots__ = ("interactive", "long_running", "name", "pool", "share")

    def __init__(self, *, name: str, pool: str, share: float) -> None:
        self.name = name
        self.pool = pool
        self.set_share(share)
        self.interactive = ClassLoad(service=self, interactive=True)
        self.long_running = ClassLoad(service=self, interactive=False)

    def set_share(self, share: float) -> None:
        """Set the configured share."""
        self.share = max(share, MIN_SHARE)

    @property
    def in_flight(self) -> int:
        """Number of slots that the service holds."""
        return self.interactive.in_flight + self.long_running.in_flight

    def demand_per_share(self) -> float:
        """Return slots held and waited for, divided by the share; the highest is shed first."""
        waiting = self.interactive.waiting + self.long_running.waiting
        return (self.in_flight + waiting) / self.share


class TeamLoad:
    """Requests of one team.

    Attributes:
        name: Name of the team.
        quota: Slots that the team may hold through this process.
        held: Slots that the team holds.
        waiting: Number of waiting requests, parked ones included.
        parked: Requests that wait until the team is below its quota again.
    """

    __slots__ = ("held", "name", "parked", "quota", "waiting")

    def __init__(self, *, name: str, quota: int) -> None:
        self.name = name
        self.quota = quota
        self.held = 0
        self.waiting = 0
        self.parked = WaitQueue()

    @property
    def has_room(self) -> bool:
        """Whether the team is below its quota."""
        return self.held < self.quota

    def is_full(self, waiting_per_slot: int) -> bool:
        """Whether the team has used its quota and its queue is full."""
        return not self.has_room and self.waiting >= self.quota * waiting_per_slot
