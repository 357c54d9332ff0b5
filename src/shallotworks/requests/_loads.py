"""What each service and team holds and waits for."""

from __future__ import annotations

from ._estimate import DurationEstimate
from ._queue import WaitQueue

__all__ = ["ClassLoad", "ServiceLoad", "TeamLoad"]

MIN_SHARE = 0.001
"""Weight of a service that is owed nothing, so that it is served when nobody else waits."""


class ClassLoad:
    """Requests of one service and class.

    Attributes:
        service: The service's load.
        interactive: Which class.
        queue: Those that wait and whose team has room.
        waiting: All that wait.
        in_flight: Those that hold a slot.
        estimate: How long they hold it.
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
        """Return what the service holds against its share; the least filled goes first.

        What its own long-running work holds does not count against a service's interactive work.
        """
        held = self.in_flight if self.interactive else self.service.in_flight
        return held / self.service.share


class ServiceLoad:
    """Requests of one service.

    Attributes:
        name: The service's name.
        pool: Name of the pool that serves it.
        share: Its share, never 0.
        interactive: Its interactive requests.
        long_running: Its long-running requests.
    """

    __slots__ = ("interactive", "long_running", "name", "pool", "share")

    def __init__(self, *, name: str, pool: str, share: float) -> None:
        self.name = name
        self.pool = pool
        self.set_share(share)
        self.interactive = ClassLoad(service=self, interactive=True)
        self.long_running = ClassLoad(service=self, interactive=False)

    def set_share(self, share: float) -> None:
        """Take the configured share."""
        self.share = max(share, MIN_SHARE)

    @property
    def in_flight(self) -> int:
        """Slots it holds."""
        return self.interactive.in_flight + self.long_running.in_flight

    def demand_per_share(self) -> float:
        """Return what it holds and waits for against its share; the most filled is shed first."""
        waiting = self.interactive.waiting + self.long_running.waiting
        return (self.in_flight + waiting) / self.share


class TeamLoad:
    """Requests of one team.

    Attributes:
        name: The team's name.
        quota: Slots it may hold through this process.
        held: Slots it holds.
        waiting: Requests that wait, parked or not.
        parked: Those that wait until the team holds less.
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
        """Whether it may hold another slot."""
        return self.held < self.quota

    def is_full(self, waiting_per_slot: int) -> bool:
        """Whether it holds its quota and as many wait as may."""
        return not self.has_room and self.waiting >= self.quota * waiting_per_slot
