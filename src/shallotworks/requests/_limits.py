"""Limits of dispatch and retries, with the values that the design notes measured."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["DispatchLimits", "RetryLimits"]


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchLimits:
    """What one process allows itself on the way to its targets.

    Args:
        long_running_min_part: Part of the usable slots that long-running work may always hold,
            at least one slot, however much interactive work waits.
        reserve_factor: Slots that long-running work leaves to interactive work beyond those that
            this holds on average, as a multiple of the square root of the average; at least one.
        interactive_mean_time_constant_s: Time over which that average is taken.
        waiting_per_slot: Requests that may wait per usable slot of a pool.
        waiting_min: Requests that may wait at a pool, however few slots it has.
        waiting_max: Requests that may wait in this process, over all pools.
        team_waiting_per_slot: Requests of a team that may wait per slot of its quota.
        min_wait_part: Part of its time that a request may always wait, whatever is estimated.
        slow_start_s: Time over which a returning target is given its full slots.
        failures_to_eject: Failures in a row after which a target is ejected.
        refusals_to_eject: Refusals in a row after which a target is ejected.
        borrow_pause_s: How long no slot beyond this process's part is used at a target that has
            refused one.
        refusal_pause_s: Longest first pause after a refusal; doubles with each further one.
        max_ejected_part: Part of a pool that may be ejected at once.
        suspect_self_part: Part of a pool that must look bad for this process to suspect itself.
        probe_after_s: Time after an ejection until the first probe; doubles with each failure.
        probe_after_max_s: Longest time between probes.
        waiting_check_interval_s: How often a pool with waiting requests checks for slots
            that became free without a release, such as after a pause or during a slow start.
    """

    long_running_min_part: float = 0.05
    reserve_factor: float = 0.35
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
    """What retries may add to a service's load.

    Args:
        max_attempts: Attempts of one request, the first included.
        retry_ratio: Retries as a part of first attempts.
        min_retries_per_s: Retries per second that a service has, however little it is asked.
        burst: Retries that can be saved up.
        backoff_base_s: Longest wait before the second attempt; doubles with each further one.
        backoff_max_s: Longest wait before any attempt.
    """

    max_attempts: int = 4
    retry_ratio: float = 0.1
    min_retries_per_s: float = 0.2
    burst: float = 5.0
    backoff_base_s: float = 0.025
    backoff_max_s: float = 1.0
