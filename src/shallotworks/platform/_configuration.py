"""Decodes and watches operators' records in the store: the configuration and maintenance waves."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from shallotworks.jobs import QueuePolicy, Resources, Team
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.scheduling import MaintenanceWave
from shallotworks.store import Item

from ._api_keys import ApiKeys
from ._fields import DECODE_ERRORS, json_integer, json_number, json_object, json_string

__all__ = ["OPERATORS_PREFIX", "Configuration", "OperatorRecords", "Queue"]

OPERATORS_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
WAVES_PREFIX = "op/wave/"
DEFAULT_MAX_BODY_BYTES = 262_144
MAX_NAMES_LOGGED = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """Route under which callers submit jobs of one kind.

    Args:
        host: Host of the requests, in lower case.
        prefix: Prefix of the requests' paths.
        timeout_s: Longest time for an answer.
        policy: Policy under which the queue's jobs run.
        is_public: Whether calls need no API key.
    """

    host: str
    prefix: str
    timeout_s: float
    policy: QueuePolicy
    is_public: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the configuration.

    Args:
        version: Number that rises with each change.
        queues: Queues of each host, longest prefix first.
        services: Names of all services.
        standby: Services whose machines are switched off and not paid for.
        guarded: Services whose workers refuse tasks beyond their capacity.
        max_body_bytes: Longest body of a request.
        idle_timeout_s: Time after which callers' idle connections are closed.
        teams: The teams by name.
        api_keys: The keys of the teams.
    """

    version: int
    queues: dict[str, tuple[Queue, ...]]
    services: frozenset[str]
    standby: frozenset[str]
    guarded: frozenset[str]
    max_body_bytes: int
    idle_timeout_s: float
    teams: dict[str, Team]
    api_keys: ApiKeys

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching prefix; ``None`` if no queue matches."""
        for queue in self.queues.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


class OperatorRecords:
    """Holds operators' records; implements `MaintenanceSchedule` and `WatchListener`.

    Only a configuration with a higher version replaces the current one. The failure: an older
    version replaced a newer one in the same process and removed a route that callers already used.

    Args:
        on_configuration: Called with each newer configuration.
        log: Receives a line for each newer configuration, each wave and each unreadable record.
        metrics: Counts unreadable records.
    """

    __slots__ = (
        "_log",
        "_metrics",
        "_on_configuration",
        "_waves",
        "configuration",
        "is_configuration_readable",
    )

    def __init__(
        self,
        *,
        on_configuration: Callable[[Configuration], None],
        log: StructuredLog,
        metrics: Metrics,
    ) -> None:
        self._on_configuration = on_configuration
        self._log = log
        self._metrics = metrics
        self._waves: dict[int, MaintenanceWave] = {}
        self.configuration: Configuration | None = None
        self.is_configuration_readable = False
        """Whether the latest record of the configuration that was read could be decoded."""

    def on_write(self, item: Item) -> None:
        """Apply a record that an operator wrote; log it if it can't be decoded."""
        try:
            if item.key == CONFIGURATION_KEY:
                self.is_configuration_readable = False
                self._apply_if_newer(decode_configuration(json.loads(item.value)), item.revision)
            elif item.key.startswith(WAVES_PREFIX):
                wave = _decode_wave(json.loads(item.value))
                self._waves[wave.wave] = wave
                self._log.line("wave-requested", wave=wave.wave, machines=len(wave.machines))
        except DECODE_ERRORS as error:
            self._metrics.count("operators.unreadable")
            self._log.line("operators-record-unreadable", key=item.key, reason=repr(error))

    def on_delete(self, key: str, revision: int) -> None:
        """Remove a deleted wave; a deleted configuration stays in force."""
        wave = key.removeprefix(WAVES_PREFIX)
        # No wave was stored under a key without a wave number.
        if key.startswith(WAVES_PREFIX) and wave.isdecimal():
            self._waves.pop(int(wave), None)

    def waves(self) -> tuple[MaintenanceWave, ...]:
        """Return all waves."""
        return tuple(self._waves.values())

    def status_key(self, wave: int) -> str:
        """Return the key under which a wave's state is published."""
        return f"status/wave/{wave}"

    def encode_status(self, is_completed: bool) -> bytes:
        """Return a wave's state in the format that operators read."""
        return json.dumps({"state": "completed" if is_completed else "running"}).encode()

    def _apply_if_newer(self, configuration: Configuration, revision: int) -> None:
        self.is_configuration_readable = True
        earlier = self.configuration
        if earlier is not None and configuration.version <= earlier.version:
            return
        self.configuration = configuration
        self._log.line(
            "configuration-in-force",
            version=configuration.version,
            revision=revision,
            queues=sum(len(queues) for queues in configuration.queues.values()),
            teams=len(configuration.teams),
            **_describe_changes(earlier, configuration),
        )
        self._on_configuration(configuration)


def _describe_changes(earlier: Configuration | None, later: Configuration) -> dict[str, object]:
    """Return what a version changes of queues and services, as fields of a log line.

    Queues that go to another service and services that come or go end epochs and hide jobs, so that
    they are told apart from changed time limits.
    """
    if earlier is None:
        return {}
    before, after = _queues_by_name(earlier), _queues_by_name(later)
    kept = [(before[name], after[name]) for name in sorted(before.keys() & after.keys())]
    return {
        "queues_added": sorted(after.keys() - before.keys())[:MAX_NAMES_LOGGED],
        "queues_removed": sorted(before.keys() - after.keys())[:MAX_NAMES_LOGGED],
        "queues_rerouted": [
            [new.policy.queue, old.policy.service, new.policy.service]
            for old, new in kept
            if old.policy.service != new.policy.service
        ][:MAX_NAMES_LOGGED],
        "queues_changed": sum(old != new for old, new in kept),
        "services_added": sorted(later.services - earlier.services)[:MAX_NAMES_LOGGED],
        "services_removed": sorted(earlier.services - later.services)[:MAX_NAMES_LOGGED],
        "standby_changed": sorted(later.standby ^ earlier.standby)[:MAX_NAMES_LOGGED],
    }


def _queues_by_name(configuration: Configuration) -> dict[str, Queue]:
    return {
        queue.policy.queue: queue for queues in configuration.queues.values() for queue in queues
    }


def decode_configuration(body: dict[str, Any]) -> Configuration:
    """Decode a configuration.

    Raises:
        DECODE_ERRORS: A field is missing or has another type.
    """
    by_host: dict[str, list[Queue]] = {}
    for row in body["routes"]:
        queue = _decode_queue(row)
        by_host.setdefault(queue.host, []).append(queue)
    limits = json_object(body.get("limits", {}))
    tenants = [json_object(row) for row in body.get("tenants") or ()]
    return Configuration(
        version=int(body["version"]),
        queues={
            host: tuple(sorted(queues, key=lambda queue: -len(queue.prefix)))
            for host, queues in by_host.items()
        },
        services=frozenset(str(row["name"]) for row in body["services"]),
        standby=frozenset(str(row["name"]) for row in body["services"] if row.get("standby")),
        guarded=frozenset(
            str(row["name"]) for row in body["services"] if row.get("admissionControl")
        ),
        max_body_bytes=int(limits.get("maxBodyBytes", DEFAULT_MAX_BODY_BYTES)),
        idle_timeout_s=float(limits.get("idleTimeoutMs", 15_000)) / 1000,
        teams={team.name: team for team in map(_decode_team, tenants)},
        api_keys=ApiKeys(
            (json_string(row["name"]), json_string(key))
            for row in tenants
            for key in row.get("apiKeys") or ()
        ),
    )


def _decode_team(row: dict[str, Any]) -> Team:
    most = json_object(row.get("maxCount") or {})
    return Team(
        name=json_string(row["name"]),
        weight=json_number(row.get("weight", 1)),
        limit=Resources(
            cpu_millicores=json_integer(most.get("cpu", 0)),
            memory_mb=json_integer(most.get("memMb", 0)),
            gpus=json_integer(most.get("gpu", 0)),
        ),
    )


def _decode_queue(row: dict[str, Any]) -> Queue:
    host, prefix = str(row["host"]).lower(), str(row["prefix"])
    return Queue(
        host=host,
        prefix=prefix,
        timeout_s=float(row.get("timeoutMs", 3000)) / 1000,
        policy=QueuePolicy(
            queue=str(row["name"]),
            service=str(row["service"]),
            priority=int(row.get("priority", 0)),
            most_attempts=max(1, int(row.get("maxAttempts", 1))),
            stretch=float(row.get("stretch", 1.0)),
            target_latency_s=float(row.get("targetLatencyMs", 0)) / 1000,
            is_advised=bool(row.get("advice")),
            address=host + prefix,
        ),
        is_public=bool(row.get("public", False)),
    )


def _decode_wave(body: dict[str, Any]) -> MaintenanceWave:
    return MaintenanceWave(
        wave=int(body["wave"]),
        machines=tuple(str(name) for name in body["machines"]),
        duration_s=float(body["durationS"]),
        max_at_once=max(1, int(body["maxCount"])),
    )
