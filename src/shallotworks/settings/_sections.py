"""The settings as the program reads them: one class for each section of the file."""

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
    """Which instance this is.

    Args:
        name: Unique over the fleet.
        data_centre: Where it stands.
        region: The region of that data centre.
    """

    name: str
    data_centre: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallersSettings:
    """The callers' port.

    Args:
        host: IP number to listen on.
        port: TCP port; 0 for any free one.
        threads: Threads that serve callers, one request each.
        long_running_part: Part of the threads that long-running requests may hold, waiting ones
            included; above it they are refused, so that interactive ones find a thread.
        body_limit_bytes: Largest body taken.
        header_timeout_s: Time in which a caller must have sent its request.
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
        host: IP number to listen on.
        port: TCP port; 0 for any free one.
        threads: Threads that serve operators.
        token_file: Path of the file that holds the bearer token.
    """

    host: str = "127.0.0.1"
    port: int = 8081
    threads: int = 8
    token_file: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PeersSettings:
    """The port between instances, and when a silent peer is given up.

    Args:
        host: IP number to listen on, and at which peers reach this instance.
        port: TCP port; 0 for any free one.
        key_file: Path of the file that holds the key which all instances share.
        seeds: ``ip:port`` of the instances to greet first.
        heartbeat_interval_s: Time between two heartbeats to one peer.
        suspect_after_s: Silence after which a peer is suspect.
        remove_after_s: Silence after which a peer is removed.
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
    """The platform's services.

    Args:
        address: ``ip:port`` of the key-value service.
        instance_list_address: ``ip:port`` of the instance list; the same address by default.
        timeout_s: Time after which a call is given up.
        calls_per_s: Calls that this instance makes at the most.
    """

    address: str
    instance_list_address: str = ""
    timeout_s: float = 2.0
    calls_per_s: float = 20.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestsSettings:
    """The path of a request.

    Args:
        connect_timeout_s: Time in which a target must accept a connection.
        attempt_timeout_s: Time in which one attempt must be answered.
        default_deadline_s: Time that a request has where the caller names none.
        max_deadline_s: Longest time that a caller may name.
        waiting_per_slot: Requests that may wait per usable slot of a pool.
        retry_part: Retries as a part of first attempts, 0 to 1.
        eject_part_max: Part of a service's targets that may be ejected at once, 0 to 1.
        interactive_reserve_factor: Slots that long-running work leaves to interactive work beyond
            those that it holds on average, as a multiple of the square root of that average.
        long_running_min_part: Part of the slots that long-running work always gets, 0 to 1.
        idle_connection_age_s: Idle time after which a connection to a target is not used again.
        once_window_s: Time for which an idempotency key is remembered.
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
    """How plans are chosen and carried out.

    Args:
        weight_buffer: Weight of the spare capacity held back.
        weight_rollout: Weight of the time that a plan takes.
        weight_moves: Weight of relocated jobs and instances.
        lease_ttl_s: Time after which a silent conductor is replaced.
        drain_timeout_s: Time in which an instance must have no request in flight.
        reboot_timeout_s: Time in which a rebooted instance must answer again.
        settle_s: Time that a returned instance gets to take up its load before the next wave.
        window_opens: Start of the daily maintenance window, ``HH:MM`` in UTC; the same as its end
            for any time.
        window_closes: End of that window, which may lie after midnight.
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
    """The time line.

    Args:
        capacity: Events kept; the oldest are dropped.
    """

    capacity: int = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """The log, and the end of the process.

    Args:
        verbosity: Verbosity of absl: -3 (fatal only) to 1 (debug).
        stop_timeout_s: Time that requests in flight have after a signal to stop.
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
