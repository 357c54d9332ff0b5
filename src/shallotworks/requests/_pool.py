"""State of one pool in this process: its targets, their load, and the order of service."""

from __future__ import annotations

import math
import random

from shallotworks.fleet import Instance
from shallotworks.metrics import Metrics
from shallotworks.timeline import Timeline

from ._estimate import DurationEstimate, EwmaCount
from ._health import PoolHealth
from ._limits import DispatchLimits
from ._loads import ClassLoad, ServiceLoad
from ._messages import AttemptOutcome, Request
from ._target_selection import TargetSelector
from ._targets import TargetGroup, TargetState

__all__ = ["PoolState"]

_NO_INSTANCES: frozenset[str] = frozenset()


class PoolState:
    """The targets of one pool and the services they serve.

    Attributes:
        name: Name of the pool.
        local: Targets in this process's data centre.
        remote: Targets in other data centres.
        targets: All targets by name, including unusable ones.
        services: Load of its services by name.
        health: Ejects and restores the targets.
        interactive_hold: Estimate of how long interactive requests hold a slot.
        long_running_hold: Estimate of how long long-running requests hold a slot.
        interactive: Number of interactive requests that hold a slot.
        long_running_in_flight: Number of long-running requests that hold a slot.
        interactive_queued: Number of queued interactive requests, without parked ones.
        long_running_queued: Number of queued long-running requests, without parked ones.
        waiting: Number of all waiting requests, including parked ones.
        has_timer: Whether a check for slots that became free without a release is scheduled.
    """

    __slots__ = (
        "_limits",
        "_limits_to_update",
        "_rng",
        "_selector",
        "has_timer",
        "health",
        "interactive",
        "interactive_hold",
        "interactive_queued",
        "local",
        "long_running_hold",
        "long_running_in_flight",
        "long_running_queued",
        "name",
        "remote",
        "services",
        "targets",
        "waiting",
    )

    def __init__(
        self,
        *,
        name: str,
        limits: DispatchLimits,
        selector: TargetSelector,
        metrics: Metrics,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self.name = name
        self._limits = limits
        self._selector = selector
        self._rng = rng
        # A dict keeps the order, so the same events lead to the same choices on every run.
        self._limits_to_update: dict[TargetState, None] = {}
        self.local = TargetGroup()
        self.remote = TargetGroup()
        self.targets: dict[str, TargetState] = {}
        self.services: dict[str, ServiceLoad] = {}
        self.health = PoolHealth(
            pool=name,
            limits=limits,
            metrics=metrics,
            timeline=timeline,
            rng=rng,
            on_change=self._schedule_limit_update,
        )
        self.interactive_hold = DurationEstimate()
        self.long_running_hold = DurationEstimate()
        self.interactive = EwmaCount(time_constant_s=limits.interactive_mean_time_constant_s)
        self.long_running_in_flight = 0
        self.interactive_queued = 0
        self.long_running_queued = 0
        self.waiting = 0
        self.has_timer = False

    @property
    def has_targets(self) -> bool:
        """Whether any target may serve new requests, now or after a pause."""
        return bool(self.local.targets or self.remote.targets)

    @property
    def serving_group(self) -> TargetGroup:
        """The group that long-running work uses: local unless it is empty or all ejected."""
        if self.local.targets and not self.local.all_ejected():
            return self.local
        return self.remote

    def put(
        self, instance: Instance, *, local: bool, usable: bool, own_slots: int, ramp_start_s: float
    ) -> None:
        """Add a target or update it from its new configuration record.

        Args:
            instance: The configuration record.
            local: Whether the target is in this process's data centre.
            usable: Whether the target may serve new requests.
            own_slots: Slots of the target that this process may use without borrowing.
            ramp_start_s: Start of the slow start in event loop time, if the target becomes usable.
        """
        target = self.targets.get(instance.name)
        if target is None:
            group = self.local if local else self.remote
            target = TargetState(instance=instance, group=group)
            self.targets[instance.name] = target
        if target.instance.address != instance.address:
            # A different machine under the same name must not inherit the ejection state.
            self._set_usable(target, False, ramp_start_s)
        self._set_usable(target, usable, ramp_start_s)
        target.set_instance(instance)
        target.own_slots = own_slots
        self._schedule_limit_update(target)

    def remove(self, name: str) -> None:
        """Remove a target; grants at it can still be released.

        Requests in flight are not counted in a pool that the target moves to: a move follows a
        drain, and the target itself refuses requests beyond its slots.
        """
        target = self.targets.pop(name)
        self._set_usable(target, False, 0.0)

    def update_limits(self, now_s: float) -> None:
        """Update the limits of targets that change with time or whose health changed."""
        if not self._limits_to_update:
            return
        slow_start_s = self._limits.slow_start_s
        for target in list(self._limits_to_update):
            limit = target.limit_at(now_s, slow_start_s=slow_start_s)
            target.group.set_limit(target, limit)
            if target.has_final_limit(now_s, slow_start_s=slow_start_s):
                self._limits_to_update.pop(target, None)

    def count_queued(self, load: ClassLoad, amount: int) -> None:
        """Add to the number of queued requests of the load's class; may be negative."""
        if load.interactive:
            self.interactive_queued += amount
        else:
            self.long_running_queued += amount

    def may_start(self, load: ClassLoad, now_s: float) -> bool:
        """Whether the limits between the classes let a request of this load start now."""
        return load.interactive or self._long_running_may_start(now_s)

    def long_running_max(self, group: TargetGroup, now_s: float) -> int:
        """Return the maximum number of slots that long-running work may hold.

        If long-running work could take every slot that interactive work leaves free for an instant,
        it would hold it for long, and the next interactive arrivals would wait although the pool
        has enough slots; interactive waits would grow with the duration of long-running requests.
        The limit therefore reserves the mean number of interactive requests plus a multiple of
        their deviation, which is about the square root of the mean.
        """
        mean = self.interactive.mean(now_s)
        left = max(1.0, mean + self._limits.interactive_reserve_factor * math.sqrt(mean))
        return max(self.long_running_min(group), group.own_capacity - math.ceil(left))

    def long_running_min(self, group: TargetGroup) -> int:
        """Return the number of slots that long-running work may always hold."""
        return max(1, int(self._limits.long_running_min_part * group.own_capacity))

    def adjust_borrowing(
        self, target: TargetState, outcome: AttemptOutcome, *, now_s: float
    ) -> None:
        """Borrow slots that the other entry instances leave idle, until the target refuses one.

        When most callers connect to this process, its own slots are full and requests would be
        refused although the targets are idle. No process knows what the others need, but the target
        does: it refuses requests beyond its slots, as not run. Each released attempt therefore
        borrows one more slot while interactive requests are queued and the target is nearly full,
        and returns one when none is queued. A refusal returns all borrowed slots and pauses
        borrowing.
        """
        if outcome is AttemptOutcome.REFUSED:
            target.may_borrow_from_s = now_s + self._limits.borrow_pause_s * self._rng.uniform(
                0.5, 1.5
            )
            borrowed = 0
        elif not self.interactive_queued:
            borrowed = max(0, target.borrowed - 1)
        elif now_s >= target.may_borrow_from_s and target.in_flight >= target.limit - 1:
            borrowed = min(target.borrowed + 1, max(0, target.instance.slots - target.own_slots))
        else:
            return
        if borrowed != target.borrowed:
            target.group.set_borrowed(target, borrowed)
            self._schedule_limit_update(target)

    def place(
        self, request: Request, load: ClassLoad, *, tried: frozenset[str], now_s: float
    ) -> TargetState | None:
        """Return the target for a request that may start; ``None`` if no suitable one is free."""
        if self.health.ejected and not tried:
            probe = self.health.probe_due(idempotent=request.idempotent, now_s=now_s)
            if probe is not None:
                return probe
        if tried and self._all_tried(tried):
            tried = _NO_INSTANCES
        if not load.interactive:
            return self._selector.choose(self.serving_group.free_targets, tried=tried)
        target = None
        if self.local.free_targets:
            target = self._selector.choose(self.local.free_targets, tried=tried)
        if target is None and self.remote.free_targets:
            target = self._selector.choose(self.remote.free_targets, tried=tried)
        return target

    def next_load(self, now_s: float) -> ClassLoad | None:
        """Return the load whose first queued request starts next; ``None`` if none may start.

        Long-running work goes first while it holds less than its minimum, then interactive work,
        then long-running work up to its maximum. Within a class the service that holds the fewest
        slots relative to its share goes first, so that slots of an unused share return to their
        service as they become free.
        """
        if self.long_running_queued:
            group = self.serving_group
            below_min = self.long_running_in_flight < self.long_running_min(group)
            if below_min and group.free:
                return self._least_held_per_share(interactive=False)
        if self.interactive_queued:
            return self._least_held_per_share(interactive=True)
        if self.long_running_queued and self._long_running_may_start(now_s):
            return self._least_held_per_share(interactive=False)
        return None

    def _long_running_may_start(self, now_s: float) -> bool:
        group = self.serving_group
        return group.free > 0 and self.long_running_in_flight < self.long_running_max(group, now_s)

    def _schedule_limit_update(self, target: TargetState) -> None:
        self._limits_to_update[target] = None

    def _least_held_per_share(self, *, interactive: bool) -> ClassLoad | None:
        best: ClassLoad | None = None
        for service in self.services.values():
            load = service.interactive if interactive else service.long_running
            if load.queue.count and (best is None or load.held_per_share() < best.held_per_share()):
                best = load
        return best

    def _all_tried(self, tried: frozenset[str]) -> bool:
        # Few targets are tried per request, so this ends early in a large pool.
        return all(name in tried for name in self.local.targets) and all(
            name in tried for name in self.remote.targets
        )

    def _set_usable(self, target: TargetState, usable: bool, ramp_start_s: float) -> None:
        if usable == target.usable:
            return
        target.usable = usable
        name = target.instance.name
        if usable:
            target.ramp_start_s = ramp_start_s
            target.group.targets[name] = target
            self.health.add(target)
            self._schedule_limit_update(target)
        else:
            del target.group.targets[name]
            target.group.set_borrowed(target, 0)
            self.health.remove(target)
            self._limits_to_update.pop(target, None)
            target.group.set_limit(target, 0)
