"""The settings classes, one for each section of the file."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = [
    "CallersSettings",
    "InstanceSettings",
    "LogSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlansSettings",
    "PlatformSettings",
    "RequestsSettings",
    "Settings",
    "TimelineSettings",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSettings:
    """The identity of the instance.

    Args:
        name: Name of the instance, unique in the fleet.
        data_centre: Data centre of the instance.
        region: Region of that data centre.
    """

    name: str
    data_centre: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallersSettings:
    """The callers' port.

    Args:
        host: IP address to listen on.
        port: TCP port; 0 for any free one.
        threads: Number of threads that serve callers; each serves one request at a time.
        long_running_part: Fraction of the threads that long-running requests may occupy, including
            those that wait, 0 to 1. Further long-running requests are refused, so that threads
            remain for interactive requests.
        body_limit_bytes: Largest accepted request body.
        header_timeout_s: Time within which a caller must have sent its request.
    """

    host: str = "127.0.0.1"
    port: int = 8080
    threads: int = 64
    long_running_part: float = 0.5
    body_limit_bytes: int = 1_048_576
    header_timeout_s: float = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorsSettings:
    """The operators' port.

    Args:
        host: IP address to listen on.
        port: TCP port; 0 for any free one.
        threads: Number of threads that serve operators.
        token_file: Path of the file that contains the bearer token.
    """

    host: str = "127.0.0.1"
    port: int = 8081
    threads: int = 8
    token_file: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PeersSettings:
    """The port between instances, and the timeouts of the failure detector.

    Args:
        host: IP address to listen on, and at which peers reach this instance.
        port: TCP port, at least 1.
        key_file: Path of the file that contains the key shared by all instances.
        seeds: ``ip:port`` of the instances to contact first.
        heartbeat_interval_s: Interval between two heartbeats to one peer.
        suspect_after_s: Time without a message after which a peer is suspect.
        remove_after_s: Time without a message after which a peer is removed.
    """

    host: str = "127.0.0.1"
    port: int = 8082
    key_file: str
    seeds: tuple[str, ...] = ()
    heartbeat_interval_s: float = 1.5
    suspect_after_s: float = 4.5
    remove_after_s: float = 9.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """The services of the platform.

    Args:
        address: ``ip:port`` of the key-value service.
        instance_list_address: ``ip:port`` of the instance list; by default that of the key-value
            service.
        timeout_s: Timeout of a call.
        calls_per_s: Rate limit of this instance's calls.
    """

    address: str
    instance_list_address: str = ""
    timeout_s: float = 2.0
    calls_per_s: float = 20.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestsSettings:
    """Admission, dispatch and retries of requests.

    Args:
        connect_timeout_s: Time within which a target must accept a connection.
        attempt_timeout_s: Time within which a target must answer one attempt.
        default_deadline_s: Deadline of a request whose caller sets none.
        max_deadline_s: Longest deadline that a caller may set.
        waiting_per_slot: Requests that may wait per usable slot of a pool.
        retry_part: Retry budget as a fraction of first attempts, 0 to 1.
        eject_part_max: Largest fraction of a service's targets that may be ejected at once, 0 to 1.
        interactive_reserve_factor: Slots that long-running work leaves free for interactive work
            beyond those that interactive work holds on average, as a multiple of the square root
            of that average.
        long_running_min_part: Fraction of the slots that long-running work always gets, 0 to 1.
        idle_connection_age_s: Idle time after which a connection to a target is not reused.
        once_window_s: Time for which an idempotency key is stored.
    """

    connect_timeout_s: float = 1.0
    attempt_timeout_s: float = 10.0
    default_deadline_s: float = 30.0
    max_deadline_s: float = 3600.0
    waiting_per_slot: int = 16
    retry_part: float = 0.1
    eject_part_max: float = 0.5
    interactive_reserve_factor: float = 0.35
    long_running_min_part: float = 0.1
    idle_connection_age_s: float = 30.0
    once_window_s: float = 3600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlansSettings:
    """Selection and execution of plans.

    Args:
        weight_buffer: Weight of the slots that a plan keeps out of service at the same time.
        weight_rollout: Weight of the duration of a plan.
        weight_moves: Weight of the jobs and instances that a plan relocates.
        lease_ttl_s: Time to live of a conductor's lease, after which another instance takes over.
        drain_timeout_s: Time within which a drained instance must have no request in flight.
        reboot_timeout_s: Time within which a rebooted instance must answer again.
        settle_s: Time for a returned instance to take up its load before the next wave.
        window_opens: Start of the daily maintenance window, ``HH:MM`` in UTC; equal to its end if
            maintenance is allowed at any time.
        window_closes: End of that window; may be after midnight.
    """

    weight_buffer: float = 1.0
    weight_rollout: float = 1.0
    weight_moves: float = 1.0
    lease_ttl_s: float = 4.0
    drain_timeout_s: float = 300.0
    reboot_timeout_s: float = 600.0
    settle_s: float = 5.0
    window_opens: str = "00:00"
    window_closes: str = "00:00"


@dataclass(frozen=True, slots=True, kw_only=True)
class TimelineSettings:
    """The timeline.

    Args:
        capacity: Maximum number of retained events; the oldest are dropped first.
    """

    capacity: int = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """The log and the shutdown of the process.

    Args:
        verbosity: Verbosity of absl, from -3 (fatal only) to 1 (debug).
        stop_timeout_s: Time for requests in flight to finish after a signal to stop.
    """

    verbosity: int = 0
    stop_timeout_s: float = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of one instance, one attribute for each section of the file."""

    instance: InstanceSettings
    callers: CallersSettings = field(default_factory=CallersSettings)
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    requests: RequestsSettings = field(default_factory=RequestsSettings)
    plans: PlansSettings = field(default_factory=PlansSettings)
    timeline: TimelineSettings = field(default_factory=TimelineSettings)
    log: LogSettings = field(default_factory=LogSettings)
