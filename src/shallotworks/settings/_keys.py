"""The table of sections, keys and rules; the classes in `_sections` define the defaults."""

from __future__ import annotations

from dataclasses import MISSING, fields
from typing import Any

from ._rules import (
    MAX_PORT,
    AddressListRule,
    AddressRule,
    DecimalRule,
    HostRule,
    NameRule,
    Rule,
    SecretFileRule,
    TimeOfDayRule,
    WholeNumberRule,
)
from ._sections import (
    CallersSettings,
    InstanceSettings,
    LogSettings,
    OperatorsSettings,
    PeersSettings,
    PlansSettings,
    PlatformSettings,
    RequestsSettings,
    TimelineSettings,
)

__all__ = ["RULES", "SECTIONS", "default_of"]

DAY_S = 86_400
MIN_KEY_BYTES = 32

_PORT = WholeNumberRule(minimum=0, maximum=MAX_PORT)
_THREADS = WholeNumberRule(minimum=1, maximum=512)
_RATIO = DecimalRule(minimum=0, maximum=1)
_WEIGHT = DecimalRule(minimum=0, maximum=1_000)
_SHORT_DURATION_S = DecimalRule(minimum=0.01, maximum=60)
_LONG_DURATION_S = DecimalRule(minimum=0.1, maximum=DAY_S)

SECTIONS: dict[str, type[Any]] = {
    "instance": InstanceSettings,
    "callers": CallersSettings,
    "operators": OperatorsSettings,
    "peers": PeersSettings,
    "platform": PlatformSettings,
    "requests": RequestsSettings,
    "plans": PlansSettings,
    "timeline": TimelineSettings,
    "log": LogSettings,
}

RULES: dict[str, dict[str, Rule]] = {
    "instance": {
        "name": NameRule(),
        "data_centre": NameRule(),
        "region": NameRule(),
    },
    "callers": {
        "host": HostRule(),
        "port": _PORT,
        "threads": _THREADS,
        "long_running_part": _RATIO,
        "body_limit_bytes": WholeNumberRule(minimum=1, maximum=64 * 1024 * 1024),
        "header_timeout_s": _SHORT_DURATION_S,
    },
    "operators": {
        "host": HostRule(),
        "port": _PORT,
        "threads": _THREADS,
        "token_file": SecretFileRule(min_bytes=1, sent_in_header=True),
    },
    "peers": {
        "host": HostRule(reachable=True),
        "port": WholeNumberRule(minimum=1, maximum=MAX_PORT),
        "key_file": SecretFileRule(min_bytes=MIN_KEY_BYTES),
        "seeds": AddressListRule(),
        "heartbeat_interval_s": _SHORT_DURATION_S,
        "suspect_after_s": _LONG_DURATION_S,
        "remove_after_s": _LONG_DURATION_S,
    },
    "platform": {
        "address": AddressRule(),
        "instance_list_address": AddressRule(optional=True),
        "timeout_s": _SHORT_DURATION_S,
        "calls_per_s": DecimalRule(minimum=0.1, maximum=10_000),
    },
    "requests": {
        "connect_timeout_s": _SHORT_DURATION_S,
        "attempt_timeout_s": _LONG_DURATION_S,
        "default_deadline_s": _LONG_DURATION_S,
        "max_deadline_s": _LONG_DURATION_S,
        "waiting_per_slot": WholeNumberRule(minimum=0, maximum=1_000),
        "retry_part": _RATIO,
        "eject_part_max": _RATIO,
        "interactive_reserve_factor": DecimalRule(minimum=0, maximum=10),
        "long_running_min_part": _RATIO,
        "idle_connection_age_s": _LONG_DURATION_S,
        "once_window_s": DecimalRule(minimum=1, maximum=7 * DAY_S),
    },
    "plans": {
        "weight_buffer": _WEIGHT,
        "weight_rollout": _WEIGHT,
        "weight_moves": _WEIGHT,
        "lease_ttl_s": DecimalRule(minimum=0.5, maximum=600),
        "drain_timeout_s": _LONG_DURATION_S,
        "reboot_timeout_s": _LONG_DURATION_S,
        "settle_s": DecimalRule(minimum=0, maximum=3_600),
        "window_opens": TimeOfDayRule(),
        "window_closes": TimeOfDayRule(),
    },
    "timeline": {
        "capacity": WholeNumberRule(minimum=1, maximum=1_000_000),
    },
    "log": {
        "verbosity": WholeNumberRule(minimum=-3, maximum=1),
        "stop_timeout_s": _LONG_DURATION_S,
    },
}


def default_of(section: str, key: str) -> Any:
    """Return the default of a key; ``dataclasses.MISSING`` if the key is required."""
    for entry in fields(SECTIONS[section]):
        if entry.name == key:
            return entry.default
    return MISSING
