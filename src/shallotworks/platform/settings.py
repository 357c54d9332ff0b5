"""Decoding of the settings that the users' platform provides for each process."""

from __future__ import annotations

import math
import os
import tomllib
from dataclasses import dataclass
from typing import Any

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure

__all__ = ["SETTINGS_VARIABLE", "Bounds", "PlatformSettings", "load_platform_settings"]

SETTINGS_VARIABLE = "SHALLOTWORKS_SETTINGS"


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits that the users set, converted to seconds.

    Args:
        stop_grace_s: Time between the signal to stop and the forced end of the process.
        longest_lease_s: Longest lease that a worker grants.
        final_state_told_s: Time for which a job's final state is reported.
        turns_apart_s: Minimum time between orders of two lease holders for one machine.
        revocation_s: Time after which a revoked API key must not be admitted by any instance, in
            touch with the store or not; infinite if only instances in touch have to refuse it.
    """

    stop_grace_s: float
    longest_lease_s: float
    final_state_told_s: float
    turns_apart_s: float
    revocation_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Settings of one process.

    Args:
        instance: Name of this entry instance.
        ip: IP address of the instance.
        data_centre: Data centre of the instance.
        callers_address: Listening address for callers.
        ready_address: Listening address for the platform's readiness checks.
        store_address: Address of the platform's store.
        machines_address: Address of the platform's machine API.
        advice_address: Address of the advice service; empty if there is none.
        smallest_ttl_s: Shortest lease that the store grants.
        cores: Processor capacity that this process may use, in cores.
        link_mbps: Bandwidth of the instance's network link.
        are_keys_required: Whether calls on queues that aren't public need an API key.
        bounds: Limits that the users set.
    """

    instance: str
    ip: str
    data_centre: str
    callers_address: str
    ready_address: str
    store_address: str
    machines_address: str
    advice_address: str
    smallest_ttl_s: float
    cores: float
    link_mbps: float
    are_keys_required: bool
    bounds: Bounds


def load_platform_settings(path: str | None = None) -> Result[PlatformSettings, Failure]:
    """Read and decode the settings file.

    Args:
        path: The file; by default the one that the environment names.

    Returns:
        The settings, or ``INVALID_SETTINGS`` with the reason.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        return Err(_invalid(f"{SETTINGS_VARIABLE} names no file"))
    try:
        with open(path, "rb") as file:
            return Success(_decode(tomllib.load(file)))
    except KeyError as error:
        return Err(_invalid(f"{path}: {error} is missing"))
    except (OSError, ValueError, TypeError) as error:
        return Err(_invalid(f"{path}: {error}"))


def _decode(table: dict[str, Any]) -> PlatformSettings:
    listen = table["listen"]
    store = table["platform"]
    limits = table.get("limits", {})
    return PlatformSettings(
        instance=str(table["nodeName"]),
        ip=str(table["ip"]),
        data_centre=str(table["zone"]),
        callers_address=str(listen["front"]),
        ready_address=str(listen["ready"]),
        store_address=str(store["address"]),
        machines_address=str(table.get("cloudApi", {}).get("address", "")),
        advice_address=str(table.get("advice", "")),
        smallest_ttl_s=float(store.get("minTtlMs", 1000)) / 1000,
        # In this file "cores" is the speed of the one shared core, not a number of cores.
        cores=float(limits.get("cpuShare", 1)) * float(limits.get("cores", 1)),
        link_mbps=float(limits.get("linkMbps", 1000)),
        are_keys_required="tenants" in table.get("contracts", ()),
        bounds=_decode_bounds(table.get("bounds", {})),
    )


def _decode_bounds(table: dict[str, Any]) -> Bounds:
    return Bounds(
        stop_grace_s=float(table.get("graceS", 6)),
        longest_lease_s=float(table.get("maxHoldMs", 6000)) / 1000,
        final_state_told_s=float(table.get("status_s", 120)),
        # "leaseMs" is no lease: it is the minimum time between orders of two lease holders.
        turns_apart_s=float(table.get("leaseMs", 3000)) / 1000,
        revocation_s=(
            float(table.get("revokeMs", 5000)) / 1000 if table.get("strictRevoke") else math.inf
        ),
    )


def _invalid(reason: str) -> Failure:
    return Failure(kind=ErrorKind.INVALID_SETTINGS, reason=reason)
