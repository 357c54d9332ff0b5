"""Limits of dispatch and retries."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["DispatchLimits", "RetryLimits"]


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchLimits:
    """Limits of one process for admission, queues, target selection and ejection.

    Args:
        long_running_min_part: Part of the usable slots that long-running work may always hold, at
            least one slot, regardless of how much interactive work waits.
        interactive_reserve_factor: Slots that long-running work leaves free for interactive
            work beyond the mean number of interactive slots, as a multiple of the square root
            of that mean. Mean and reserve together are at least one slot.
        interactive_mean_time_constant_s: Time constant of that exponentially weighted mean.
        waiting_per_slot: Requests that may wait per usable slot of a pool.
        waiting_min: Requests that may wait at a pool, however few slots it has.
        waiting_max: Requests that may wait in this process, over all pools.
        team_waiting_per_slot: Requests of a team that may wait per slot of its quota.
        min_wait_part: Part of its remaining time that a request may always wait, regardless of the
            estimated wait.
        slow_start_s: Time over which a returning target's slots grow to their full number.
        failures_to_eject: Consecutive failures after which a target is ejected.
        refusals_to_eject: Consecutive refusals after which a target is ejected.
        borrow_pause_s: Mean time for which a target that refused a request lends no slots beyond
            this process's own; jittered by half.
        refusal_pause_s: Longest first pause after a refusal; doubles with each further refusal.
        max_ejected_part: Largest part of a pool that may be ejected at once.
        suspect_self_part: Part of a pool's targets that must be failing for this process to suspect
            that it is at fault itself.
        probe_after_s: Longest time from an ejection to the first probe; doubles with each failed
            probe.
        probe_after_max_s: Longest time between probes.
        waiting_check_interval_s: How often a pool with waiting requests checks for slots
            that became free without a release, such as after a pause or during a slow start.
    """

    long_running_min_part: float = 0.05
    interactive_reserve_factor: float = 0.35
    interactive_mean_time_constant_s: float = 5.0
    waiting_per_slot: int = 16
    waiting_min: int = 64
    waiting_max: int = 100_000
    team_waiting_per_slot: int = 4
    min_wait_part: float = 0.25
    slow_start_s: float = 10.0
    failures_to_eject: int = 3
    refusals_to_eject: int = 10
    borrow_pause_s: float = 1.0
    refusal_pause_s: float = 0.02
    max_ejected_part: float = 0.5
    suspect_self_part: float = 0.8
    probe_after_s: float = 5.0
    probe_after_max_s: float = 120.0
    waiting_check_interval_s: float = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimits:
    """Retry budget and backoff of a service.

    Args:
        max_attempts: Maximum number of attempts of one request, the first included.
        retry_ratio: Retries that each first attempt adds to the budget.
        min_retries_per_s: Retries per second added to the budget regardless of first attempts.
        burst: Maximum number of retries in the budget.
        backoff_base_s: Longest delay before the second attempt; doubles with each further attempt.
        backoff_max_s: Longest delay before any attempt.
    """

    max_attempts: int = 4
    retry_ratio: float = 0.1
    min_retries_per_s: float = 0.2
    burst: float = 5.0
    backoff_base_s: float = 0.025
    backoff_max_s: float = 1.0
