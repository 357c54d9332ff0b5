"""Rules that bind two keys: each value is within its range, but they contradict each other."""

from __future__ import annotations

from collections.abc import Iterator

from ._problems import SettingProblem
from ._sections import Settings

__all__ = ["broken_relations"]


def broken_relations(settings: Settings) -> Iterator[SettingProblem]:
    """Return a fault for each pair of keys that contradict each other."""
    yield from _broken_times(settings)
    yield from _broken_parts(settings)
    yield from _shared_ports(settings)


def _broken_times(settings: Settings) -> Iterator[SettingProblem]:
    peers, requests = settings.peers, settings.requests
    if peers.suspect_after_s < 2 * peers.heartbeat_interval_s:
        yield _fault(
            "peers",
            "suspect_after_s",
            peers.suspect_after_s,
            f"at least twice heartbeat_interval_s ({peers.heartbeat_interval_s:g})",
        )
    if peers.remove_after_s <= peers.suspect_after_s:
        yield _fault(
            "peers",
            "remove_after_s",
            peers.remove_after_s,
            f"more than suspect_after_s ({peers.suspect_after_s:g})",
        )
    if requests.default_deadline_s > requests.max_deadline_s:
        yield _fault(
            "requests",
            "default_deadline_s",
            requests.default_deadline_s,
            f"at most max_deadline_s ({requests.max_deadline_s:g})",
        )
    if requests.connect_timeout_s > requests.attempt_timeout_s:
        yield _fault(
            "requests",
            "connect_timeout_s",
            requests.connect_timeout_s,
            f"at most attempt_timeout_s ({requests.attempt_timeout_s:g})",
        )


def _broken_parts(settings: Settings) -> Iterator[SettingProblem]:
    plans = settings.plans
    if plans.weight_buffer + plans.weight_rollout + plans.weight_moves <= 0:
        yield _fault(
            "plans", "weight_buffer", plans.weight_buffer, "one of the three weights is over 0"
        )


def _shared_ports(settings: Settings) -> Iterator[SettingProblem]:
    listeners = (
        ("callers", settings.callers.port),
        ("operators", settings.operators.port),
        ("peers", settings.peers.port),
    )
    holders: dict[int, str] = {}
    for section, port in listeners:
        if port and port in holders:
            yield _fault(
                section, "port", port, f"a port other than the one of [{holders[port]}], or 0"
            )
        holders.setdefault(port, section)


def _fault(section: str, key: str, value: float, allowed: str) -> SettingProblem:
    return SettingProblem(
        section=section,
        key=key,
        value=f"{value:g}",
        problem="contradicts another key",
        allowed=allowed,
    )
