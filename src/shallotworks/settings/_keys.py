"""The table of keys: section, key and rule; the defaults stand in the classes of `_sections`."""

from __future__ import annotations

from dataclasses import MISSING, fields
from typing import Any

from ._rules import (
    LARGEST_PORT,
    AddressListRule,
    AddressRule,
    DecimalRule,
    HostRule,
    NameRule,
    Rule,
    SecretFileRule,
    TimeOfDayRule,
    WholeRule,
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
KEY_BYTES_LEAST = 32

_PORT = WholeRule(least=0, most=LARGEST_PORT)
_THREADS = WholeRule(least=1, most=512)
_PART = DecimalRule(least=0, most=1)
_WEIGHT = DecimalRule(least=0, most=1_000)
_SHORT_S = DecimalRule(least=0.01, most=60)
_LONG_S = DecimalRule(least=0.1, most=DAY_S)

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
        "long_running_part": _PART,
        "body_limit_bytes": WholeRule(least=1, most=64 * 1024 * 1024),
        "header_timeout_s": _SHORT_S,
    },
    "operators": {
        "host": HostRule(),
        "port": _PORT,
        "threads": _THREADS,
        "token_file": SecretFileRule(least_bytes=1, sent_in_header=True),
    },
    "peers": {
        "host": HostRule(reachable=True),
        "port": WholeRule(least=1, most=LARGEST_PORT),
        "key_file": SecretFileRule(least_bytes=KEY_BYTES_LEAST),
        "seeds": AddressListRule(),
        "heartbeat_interval_s": _SHORT_S,
        "suspect_after_s": _LONG_S,
        "remove_after_s": _LONG_S,
    },
    "platform": {
        "address": AddressRule(),
        "instance_list_address": AddressRule(optional=True),
        "timeout_s": _SHORT_S,
        "calls_per_s": DecimalRule(least=0.1, most=10_000),
    },
    "requests": {
        "connect_timeout_s": _SHORT_S,
        "attempt_timeout_s": _LONG_S,
        "default_deadline_s": _LONG_S,
        "max_deadline_s": _LONG_S,
        "waiting_per_slot": WholeRule(least=0, most=1_000),
        "retry_part": _PART,
        "eject_part_max": _PART,
        "interactive_reserve_factor": DecimalRule(least=0, most=10),
        "long_running_min_part": _PART,
        "idle_connection_age_s": _LONG_S,
        "once_window_s": DecimalRule(least=1, most=7 * DAY_S),
    },
    "plans": {
        "weight_buffer": _WEIGHT,
        "weight_rollout": _WEIGHT,
        "weight_moves": _WEIGHT,
        "lease_ttl_s": DecimalRule(least=0.5, most=600),
        "drain_timeout_s": _LONG_S,
        "reboot_timeout_s": _LONG_S,
        "settle_s": DecimalRule(least=0, most=3_600),
        "window_opens": TimeOfDayRule(),
        "window_closes": TimeOfDayRule(),
    },
    "timeline": {
        "capacity": WholeRule(least=1, most=1_000_000),
    },
    "log": {
        "verbosity": WholeRule(least=-3, most=1),
        "stop_timeout_s": _LONG_S,
    },
}


def default_of(section: str, key: str) -> Any:
    """Return the default of a key; ``dataclasses.MISSING`` where it must be written."""
    for entry in fields(SECTIONS[section]):
        if entry.name == key:
            return entry.default
    return MISSING
