"""Derives the limits of each component from the settings."""

from __future__ import annotations

from datetime import timedelta

from shallotworks.callers import RequestLimits
from shallotworks.kv import PlatformLimits
from shallotworks.peers import PeerTiming
from shallotworks.plans import ConductorPolicy, DisruptionModel, MaintenanceWindow, PlannerWeights
from shallotworks.requests import DispatchLimits, IdempotencyLimits, RetryLimits, TargetClientLimits
from shallotworks.settings import Settings

__all__ = [
    "conductor_policy",
    "dispatch_limits",
    "disruption_model",
    "target_client_limits",
    "max_long_running_requests",
    "idempotency_limits",
    "peer_timing",
    "planner_weights",
    "platform_limits",
    "request_limits",
    "retry_limits",
]


def request_limits(settings: Settings) -> RequestLimits:
    """Return the bounds on a caller's request."""
    return RequestLimits(
        body_limit_bytes=settings.callers.body_limit_bytes,
        default_deadline_s=settings.requests.default_deadline_s,
        max_deadline_s=settings.requests.max_deadline_s,
    )


def max_long_running_requests(settings: Settings) -> int:
    """Return how many long-running requests this instance accepts at once."""
    return max(1, int(settings.callers.threads * settings.callers.long_running_part))


def target_client_limits(settings: Settings) -> TargetClientLimits:
    """Return the timeouts of one attempt at a target."""
    return TargetClientLimits(
        connect_timeout_s=settings.requests.connect_timeout_s,
        attempt_timeout_s=settings.requests.attempt_timeout_s,
        idle_connection_age_s=settings.requests.idle_connection_age_s,
    )


def dispatch_limits(settings: Settings) -> DispatchLimits:
    """Return the limits of the dispatcher."""
    return DispatchLimits(
        long_running_min_part=settings.requests.long_running_min_part,
        interactive_reserve_factor=settings.requests.interactive_reserve_factor,
        waiting_per_slot=settings.requests.waiting_per_slot,
        max_ejected_part=settings.requests.eject_part_max,
    )


def retry_limits(settings: Settings) -> RetryLimits:
    """Return the retry budget."""
    return RetryLimits(retry_ratio=settings.requests.retry_part)


def idempotency_limits(settings: Settings) -> IdempotencyLimits:
    """Return how long idempotency keys are kept and how long a lease takes new records."""
    window_s = settings.requests.once_window_s
    return IdempotencyLimits(window_s=window_s, lease_every_s=min(3_600.0, window_s))


def platform_limits(settings: Settings) -> PlatformLimits:
    """Return the limits of this instance's calls to the platform."""
    return PlatformLimits(
        attempt_timeout_s=settings.platform.timeout_s,
        deadline_s=3 * settings.platform.timeout_s,
        rate_per_s=settings.platform.calls_per_s,
        burst=max(1, round(2 * settings.platform.calls_per_s)),
    )


def peer_timing(settings: Settings) -> PeerTiming:
    """Return the intervals and timeouts of the peer network."""
    peers = settings.peers
    return PeerTiming(
        mesh_interval_s=peers.heartbeat_interval_s,
        relay_interval_s=2 * peers.heartbeat_interval_s,
        suspect_after_s=peers.suspect_after_s,
        remove_after_s=peers.remove_after_s,
        settle_s=min(PeerTiming().settle_s, peers.suspect_after_s),
    )


def planner_weights(settings: Settings) -> PlannerWeights:
    """Return the weights of the planner's cost function."""
    window = _window(settings)
    return PlannerWeights(
        buffer=settings.plans.weight_buffer,
        roll_out=settings.plans.weight_rollout,
        moves=settings.plans.weight_moves,
        window_s=window.length_s if window is not None else 0.0,
    )


def disruption_model(settings: Settings) -> DisruptionModel:
    """Return the expected duration of a step."""
    return DisruptionModel(return_s=settings.plans.settle_s)


def conductor_policy(settings: Settings) -> ConductorPolicy:
    """Return the timeouts of a conductor and its maintenance window."""
    return ConductorPolicy(
        drain_timeout_s=settings.plans.drain_timeout_s,
        return_timeout_s=settings.plans.reboot_timeout_s,
        settle_s=settings.plans.settle_s,
        window=_window(settings),
    )


def _window(settings: Settings) -> MaintenanceWindow | None:
    plans = settings.plans
    if plans.window_opens == plans.window_closes:
        return None
    return MaintenanceWindow(
        opens_s=_seconds_after_midnight(plans.window_opens),
        closes_s=_seconds_after_midnight(plans.window_closes),
    )


def _seconds_after_midnight(time_of_day: str) -> float:
    hours, minutes = (int(part) for part in time_of_day.split(":"))
    return timedelta(hours=hours, minutes=minutes).total_seconds()
