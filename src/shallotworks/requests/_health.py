"""Outlier ejection: targets are ejected by the outcomes of attempts and restored by probes."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

from shallotworks.metrics import Metrics
from shallotworks.timeline import EventKind, Subject, Timeline

from ._limits import DispatchLimits
from ._messages import AttemptOutcome
from ._targets import TargetState

__all__ = ["PoolHealth"]

NON_IDEMPOTENT_PROBE_DELAY_S = 30.0
"""Time that a due probe is reserved for idempotent requests before any request may probe."""
SELF_CLEARED_BELOW_PART = 0.5
MAX_PAUSE_DOUBLINGS = 6
MAX_PROBE_DOUBLINGS = 6

_FAILURE_OUTCOMES = frozenset(
    {
        AttemptOutcome.TARGET_ERROR,
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.BROKEN,
        AttemptOutcome.TIMED_OUT,
    }
)


class PoolHealth:
    """Outlier ejection for the targets of one pool.

    A target that fails every request immediately always has free slots and so attracts most of the
    pool's requests: the pool fails most requests although only one of many targets is broken. Load
    can't distinguish such a target from an idle one; the outcomes of attempts can.

    Args:
        pool: Name of the pool, for timeline events.
        limits: Thresholds, pauses, probe intervals and the largest ejected part of the pool.
        metrics: Counts ejections.
        timeline: Records ejections.
        rng: Source of jitter.
        on_change: Called with each target whose ejection or pause has changed.

    Attributes:
        ejected: Targets that serve only probes, by name.
        suspects_self: Whether nearly all targets are failing, so that none is ejected.
    """

    __slots__ = (
        "_by_data_centre",
        "_limits",
        "_metrics",
        "_on_change",
        "_pool",
        "_rng",
        "_timeline",
        "ejected",
        "suspects_self",
    )

    def __init__(
        self,
        *,
        pool: str,
        limits: DispatchLimits,
        metrics: Metrics,
        timeline: Timeline,
        rng: random.Random,
        on_change: Callable[[TargetState], None],
    ) -> None:
        self._pool = pool
        self._limits = limits
        self._metrics = metrics
        self._timeline = timeline
        self._rng = rng
        self._on_change = on_change
        self._by_data_centre: dict[str, _DataCentreCounts] = {}
        self.ejected: dict[str, TargetState] = {}
        self.suspects_self = False

    def record_outcome(self, target: TargetState, outcome: AttemptOutcome, *, now_s: float) -> None:
        """Update a target from the outcome of one attempt."""
        if outcome is AttemptOutcome.ANSWERED:
            self._on_success(target, now_s)
        elif outcome in _FAILURE_OUTCOMES:
            self._on_failure(target, now_s)
        elif outcome is AttemptOutcome.REFUSED:
            self._on_refusal(target, now_s)

    def probe_due(self, *, idempotent: bool, now_s: float) -> TargetState | None:
        """Return an ejected target that this request may probe now, if any."""
        for target in self.ejected.values():
            due_s = (
                target.probe_at_s
                if idempotent
                else target.probe_at_s + NON_IDEMPOTENT_PROBE_DELAY_S
            )
            if due_s <= now_s and not target.probing and target.in_flight < target.own_slots:
                return target
        return None

    def add(self, target: TargetState) -> None:
        """Add a target that became usable."""
        self._by_data_centre.setdefault(target.instance.data_centre, _DataCentreCounts()).size += 1

    def remove(self, target: TargetState) -> None:
        """Remove a target that is no longer usable and reset its outcomes."""
        self._set_failing(target, False)
        self._counts_of(target).size -= 1
        self.ejected.pop(target.instance.name, None)
        target.reset()

    def _on_success(self, target: TargetState, now_s: float) -> None:
        target.failures = 0
        target.refusals = 0
        if target.failing:
            self._set_failing(target, False)
            self._update_self_suspicion(now_s)
        if target.ejected and target.probing:
            self._restore(target, now_s, "probe answered")

    def _on_failure(self, target: TargetState, now_s: float) -> None:
        target.failures += 1
        if target.ejected:
            self._schedule_probe(target, now_s, failed=target.probing)
        elif target.failures >= self._limits.failures_to_eject:
            self._mark_failing(target, now_s)

    def _on_refusal(self, target: TargetState, now_s: float) -> None:
        # A target refuses requests to stay within its slots, so a refusal only pauses it briefly;
        # it counts as failing after many refusals without an answer in between. Refusals that
        # arrive during a pause belong to requests sent before it and count as one.
        if now_s < target.paused_until_s:
            return
        target.refusals += 1
        doublings = min(target.refusals - 1, MAX_PAUSE_DOUBLINGS)
        longest_s = self._limits.refusal_pause_s * 2**doublings
        target.paused_until_s = now_s + self._rng.uniform(longest_s / 2, longest_s)
        self._on_change(target)
        if target.ejected:
            self._schedule_probe(target, now_s, failed=target.probing)
        elif target.refusals >= self._limits.refusals_to_eject:
            self._mark_failing(target, now_s)

    def _mark_failing(self, target: TargetState, now_s: float) -> None:
        self._set_failing(target, True)
        self._update_self_suspicion(now_s)
        if not self.suspects_self and self._may_eject():
            self._eject(target, now_s)

    def _eject(self, target: TargetState, now_s: float) -> None:
        target.ejected = True
        target.probes_failed = 0
        self.ejected[target.instance.name] = target
        self._schedule_probe(target, now_s, failed=False)
        self._on_change(target)
        self._metrics.count("targets.ejected")
        self._record(EventKind.TARGET_EJECTED, target.instance.name, "failed in a row")

    def _restore(self, target: TargetState, ramp_start_s: float, why: str) -> None:
        target.ejected = False
        target.failures = 0
        target.refusals = 0
        target.ramp_start_s = ramp_start_s
        del self.ejected[target.instance.name]
        self._on_change(target)
        self._metrics.count("targets.restored")
        self._record(EventKind.TARGET_RESTORED, target.instance.name, why)

    def _schedule_probe(self, target: TargetState, now_s: float, *, failed: bool) -> None:
        if failed:
            target.probes_failed += 1
        doublings = min(target.probes_failed, MAX_PROBE_DOUBLINGS)
        wait_s = min(self._limits.probe_after_s * 2**doublings, self._limits.probe_after_max_s)
        target.probe_at_s = now_s + self._rng.uniform(wait_s / 2, wait_s)

    def _set_failing(self, target: TargetState, failing: bool) -> None:
        self._counts_of(target).failing += int(failing) - int(target.failing)
        target.failing = failing

    def _counts_of(self, target: TargetState) -> _DataCentreCounts:
        return self._by_data_centre[target.instance.data_centre]

    def _may_eject(self) -> bool:
        representative = self._representative_data_centres()
        size = sum(self._by_data_centre[name].size for name in representative)
        ejected = sum(
            1 for target in self.ejected.values() if target.instance.data_centre in representative
        )
        allowed = max(1, int(size * self._limits.max_ejected_part)) if size > 1 else 0
        return ejected < allowed

    def _representative_data_centres(self) -> Collection[str]:
        """Return the data centres that count for the ejection limit and the self-suspicion.

        A data centre in which all targets are failing is probably unreachable from here rather than
        broken. It neither counts against the part of the pool that may be ejected nor makes this
        process suspect itself, as long as targets elsewhere are not failing.
        """
        seen = [
            name for name, counts in self._by_data_centre.items() if counts.failing < counts.size
        ]
        return seen or self._by_data_centre.keys()

    def _update_self_suspicion(self, now_s: float) -> None:
        """Suspect this process while nearly all targets are failing.

        The cause may be this process's own network link or memory. Ejecting the targets would then
        refuse requests that could be served and hide the cause, so all targets stay in use. The
        suspicion ends when less than `SELF_CLEARED_BELOW_PART` of the targets are failing.
        """
        representative = self._representative_data_centres()
        size = sum(self._by_data_centre[name].size for name in representative)
        failing = sum(self._by_data_centre[name].failing for name in representative)
        if not self.suspects_self:
            if size > 1 and failing >= self._limits.suspect_self_part * size:
                self._suspect_self(now_s)
        elif failing < SELF_CLEARED_BELOW_PART * size:
            self.suspects_self = False
            self._metrics.count("targets.self-cleared")
            self._record(EventKind.TARGET_RESTORED, "", "no longer suspects this process")

    def _suspect_self(self, now_s: float) -> None:
        self.suspects_self = True
        self._metrics.count("targets.self-suspected")
        self._record(EventKind.TARGET_EJECTED, "", "nearly all look bad: suspects this process")
        for target in list(self.ejected.values()):
            self._restore(target, now_s - self._limits.slow_start_s, "suspects this process")

    def _record(self, kind: EventKind, instance: str, detail: str) -> None:
        detail = f"pool {self._pool}: {detail}"
        self._timeline.record(kind, subject=Subject(instance=instance), detail=detail)


class _DataCentreCounts:
    """Numbers of usable and of failing targets in one data centre."""

    __slots__ = ("failing", "size")

    def __init__(self) -> None:
        self.size = 0
        self.failing = 0
