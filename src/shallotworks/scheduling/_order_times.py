"""Times of orders and of the leases under which workers run tasks."""

from __future__ import annotations

from dataclasses import dataclass

from ._model import MAX_CLOCK_SKEW_RATIO

__all__ = ["LEASE_END_MARGIN_S", "OrderTimes"]

LEASE_END_MARGIN_S = 0.2
LEASE_S = 5.0
"""A lasting task runs again within 6 s of its last run, also if nothing but the end of its lease
shows that its worker is lost. Source: the users' rules."""
GRANTED_LEASE_RATIO = 5 / 6
"""Part of the longest lease that workers grant for which a task is leased at most."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderTimes:
    """Times of orders and leases, in seconds.

    Args:
        lease_s: All runs on a worker end this long after the last order that extended its lease.
            This is long enough for a successor to take over after a crash (2.5 s) and for an outage
            of the store, and short enough that tasks on an unreachable worker run again soon.
        poll_wait_s: How long the worker holds a poll open until a run ends.
        answer_s: Time for the answer to an order or poll, beyond the poll's own wait. Workers
            answer in milliseconds.
        idle_poll_s: Interval between polls of a worker without runs, which read its clock.
        earlier_lease_s: Longest lease that a scheduler of an earlier release may have granted,
            which did not record it.
        full_lease_s: Leases are granted in full for this long after the last confirmed renewal of
            the scheduler's own lease; later ones are cut so that none ends after the last full one.
            It spans three renewals, and bounds how long a successor waits for a worker that it
            can't reach.
    """

    lease_s: float = LEASE_S
    earlier_lease_s: float = LEASE_S
    poll_wait_s: float = 1.0
    answer_s: float = 0.8
    idle_poll_s: float = 10.0
    full_lease_s: float = 1.5

    @classmethod
    def within(cls, longest_lease_s: float) -> OrderTimes:
        """Return the times where workers grant leases of at most ``longest_lease_s`` seconds."""
        earlier_lease_s = longest_lease_s * GRANTED_LEASE_RATIO
        return cls(lease_s=min(LEASE_S, earlier_lease_s), earlier_lease_s=earlier_lease_s)

    @property
    def answer_overdue_s(self) -> float:
        """A worker that has not answered a poll for this long gets no extension of its lease."""
        return self.poll_wait_s + self.answer_s

    @property
    def lease_horizon_s(self) -> float:
        """All runs end this long after the last confirmed renewal of the scheduler's own lease."""
        return self.lease_s + self.full_lease_s

    @property
    def recovery_s(self) -> float:
        """Time after which all runs of earlier epochs have ended on a worker that has not answered.

        The last renewal of an earlier epoch's lease was confirmed before this epoch's lease was
        acquired. The margin allows for slow clocks of workers, which are extrapolated from answers
        that may be as old as the interval between polls.
        """
        return self.recovery_after_s(self.lease_s)

    def recovery_after_s(self, lease_s: float) -> float:
        """Return the same time where earlier epochs have granted leases of ``lease_s`` seconds."""
        return self.lease_out_s(lease_s + self.full_lease_s)

    def lease_out_s(self, lease_s: float) -> float:
        """Return the time after which a lease of ``lease_s`` seconds has certainly expired."""
        return lease_s + self._skew_s(lease_s) + LEASE_END_MARGIN_S

    def _skew_s(self, lease_s: float) -> float:
        return MAX_CLOCK_SKEW_RATIO * (lease_s + self.idle_poll_s + self.answer_overdue_s)
