"""State of each target of a pool in this process, and the groups of targets with free slots."""

from __future__ import annotations

import math

from shallotworks.fleet import Instance

from ._messages import Target

__all__ = ["TargetGroup", "TargetState"]

NEVER_S = -math.inf


class TargetState:
    """State of one target in this process; modified by its group, its pool and the pool's health.

    Attributes:
        instance: The configuration record.
        target: The target as included in a grant.
        group: The group that counts its slots.
        own_slots: Slots of the target that this process may use without borrowing.
        borrowed: Slots beyond its own that this process uses until the target refuses a request.
        may_borrow_from_s: Event loop time from which this process may borrow slots again.
        in_flight: Number of grants held at the target.
        usable: Whether the configuration and the platform's instance list allow new requests.
        ramp_start_s: Event loop time at which its slow start began.
        paused_until_s: Event loop time until which it serves nothing after a refusal.
        ejected: Whether it serves only probes.
        failing: Whether its last outcomes reached the ejection threshold, ejected or not.
        failures: Consecutive failures.
        refusals: Consecutive refusals.
        probe_at_s: Event loop time at which the next probe is due.
        probes_failed: Probes that failed since it was ejected.
        probing: Whether a probe is in flight.
        limit: Number of grants that may be held now.
        free: Number of further grants that may be issued now.
        free_index: Index in its group's list of free targets; -1 if it is not in the list.
    """

    __slots__ = (
        "borrowed",
        "ejected",
        "failing",
        "failures",
        "free",
        "free_index",
        "group",
        "in_flight",
        "instance",
        "limit",
        "may_borrow_from_s",
        "own_slots",
        "paused_until_s",
        "probe_at_s",
        "probes_failed",
        "probing",
        "ramp_start_s",
        "refusals",
        "target",
        "usable",
    )

    def __init__(self, *, instance: Instance, group: TargetGroup) -> None:
        self.group = group
        self.in_flight = 0
        self.own_slots = 0
        self.limit = 0
        self.free = 0
        self.free_index = -1
        self.usable = False
        self.set_instance(instance)
        self.reset()

    def set_instance(self, instance: Instance) -> None:
        """Set a new configuration record."""
        self.instance = instance
        self.target = Target(
            instance=instance.name,
            address=instance.address,
            data_centre=instance.data_centre,
        )

    def reset(self) -> None:
        """Reset all state that depends on the outcomes of attempts."""
        self.ramp_start_s = NEVER_S
        self.borrowed = 0
        self.may_borrow_from_s = NEVER_S
        self.paused_until_s = NEVER_S
        self.ejected = False
        self.failing = False
        self.failures = 0
        self.refusals = 0
        self.probe_at_s = math.inf
        self.probes_failed = 0
        self.probing = False

    def has_final_limit(self, now_s: float, *, slow_start_s: float) -> bool:
        """Whether its limit no longer changes with time."""
        return now_s >= self.paused_until_s and now_s >= self.ramp_start_s + slow_start_s

    def limit_at(self, now_s: float, *, slow_start_s: float) -> int:
        """Return how many grants may be held at `now_s`."""
        if not self.usable or self.ejected or now_s < self.paused_until_s:
            return 0
        age_s = now_s - self.ramp_start_s
        if age_s >= slow_start_s:
            return self.own_slots + self.borrowed
        return max(1, math.ceil(self.own_slots * age_s / slow_start_s))


class TargetGroup:
    """Targets of one pool in this data centre, or in all other data centres.

    Attributes:
        targets: All usable targets, by name.
        free_targets: Targets with a free slot, in no order.
        capacity: Sum of the targets' limits.
        free: Sum of the targets' free slots.
        borrowed: Sum of the slots borrowed beyond this process's own.
    """

    __slots__ = ("borrowed", "capacity", "free", "free_targets", "targets")

    def __init__(self) -> None:
        self.targets: dict[str, TargetState] = {}
        self.free_targets: list[TargetState] = []
        self.capacity = 0
        self.free = 0
        self.borrowed = 0

    @property
    def own_capacity(self) -> int:
        """The capacity without borrowed slots."""
        return self.capacity - self.borrowed

    def set_borrowed(self, target: TargetState, borrowed: int) -> None:
        """Set the number of slots borrowed at a target; its limit must then be updated."""
        self.borrowed += borrowed - target.borrowed
        target.borrowed = borrowed

    def set_limit(self, target: TargetState, limit: int) -> None:
        """Set the number of grants that may be held at a target."""
        self.capacity += limit - target.limit
        target.limit = limit
        self._recount(target)

    def count_grant(self, target: TargetState) -> None:
        """Add one grant to a target's count."""
        target.in_flight += 1
        self._recount(target)

    def discount_grant(self, target: TargetState) -> None:
        """Subtract one grant from a target's count."""
        target.in_flight -= 1
        self._recount(target)

    def all_ejected(self) -> bool:
        """Whether every target is ejected; stops at the first that is not."""
        return all(target.ejected for target in self.targets.values())

    def _recount(self, target: TargetState) -> None:
        # Constant time: the list is unordered, so the last entry can fill the gap of a removed one.
        free = max(0, target.limit - target.in_flight)
        self.free += free - target.free
        target.free = free
        if free and target.free_index < 0:
            target.free_index = len(self.free_targets)
            self.free_targets.append(target)
        elif not free and target.free_index >= 0:
            last = self.free_targets.pop()
            if last is not target:
                self.free_targets[target.free_index] = last
                last.free_index = target.free_index
            target.free_index = -1
