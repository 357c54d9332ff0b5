"""What a process knows of each target of a pool, and which of them have a free slot."""

from __future__ import annotations

import math

from shallotworks.fleet import Instance

from ._messages import Target

__all__ = ["TargetGroup", "TargetState"]

NEVER_S = -math.inf


class TargetState:
    """One target as this process sees it; changed by its group, its pool and their health.

    Attributes:
        instance: The configured record.
        target: The same as a grant carries it.
        group: The group it is counted in.
        own_slots: This process's part of the target's slots.
        borrowed: Slots beyond its part that it uses until the target refuses one.
        may_borrow_from_s: From when it may borrow again.
        in_flight: Grants held at it.
        usable: Whether the configuration and the platform's list let it take new work.
        ramp_start_s: Since when its slots grow to their full number.
        paused_until_s: Until when it takes nothing, after a refusal.
        ejected: Whether it takes nothing but probes.
        failing: Whether its last outcomes speak against it, ejected or not.
        failures: Failures in a row.
        refusals: Refusals in a row.
        probe_at_s: When the next probe is due.
        probes_failed: Probes failed since it was ejected.
        probing: Whether a probe is in flight.
        limit: Grants it may hold now.
        free: Grants it may take now.
        free_index: Where it stands in its group's list of free targets; -1 for nowhere.
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
        """Take a new configured record."""
        self.instance = instance
        self.target = Target(
            instance=instance.name,
            address=instance.address,
            data_centre=instance.data_centre,
        )

    def reset(self) -> None:
        """Forget all outcomes, as of a target never met."""
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
        """Whether its limit no longer changes as time passes."""
        return now_s >= self.paused_until_s and now_s >= self.ramp_start_s + slow_start_s

    def limit_at(self, now_s: float, *, slow_start_s: float) -> int:
        """Return how many grants it may hold at a time."""
        if not self.usable or self.ejected or now_s < self.paused_until_s:
            return 0
        age_s = now_s - self.ramp_start_s
        if age_s >= slow_start_s:
            return self.own_slots + self.borrowed
        return max(1, math.ceil(self.own_slots * age_s / slow_start_s))


class TargetGroup:
    """Targets of one pool that are ranked alike: those of this data centre, or all others.

    Attributes:
        targets: All usable ones, by name.
        free_targets: Those with a free slot, in no order.
        capacity: Sum of their limits.
        free: Sum of their free slots.
        borrowed: Sum of the slots they lend beyond this process's part.
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
        """Sum of this process's parts of their slots."""
        return self.capacity - self.borrowed

    def set_borrowed(self, target: TargetState, borrowed: int) -> None:
        """Change how many slots a target lends; its limit is to be set anew."""
        self.borrowed += borrowed - target.borrowed
        target.borrowed = borrowed

    def set_limit(self, target: TargetState, limit: int) -> None:
        """Change how many grants a target may hold."""
        self.capacity += limit - target.limit
        target.limit = limit
        self._recount(target)

    def count_grant(self, target: TargetState) -> None:
        """Count one more grant."""
        target.in_flight += 1
        self._recount(target)

    def discount_grant(self, target: TargetState) -> None:
        """Count one grant less."""
        target.in_flight -= 1
        self._recount(target)

    def all_ejected(self) -> bool:
        """Whether no target here takes anything but probes; stops at the first that does."""
        return all(target.ejected for target in self.targets.values())

    def _recount(self, target: TargetState) -> None:
        # Constant time: the list is unordered, so that the last entry can fill a gap.
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
