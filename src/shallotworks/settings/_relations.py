"""Checks for keys whose values are within their ranges but contradict each other."""

from __future__ import annotations

from collections.abc import Iterator

from ._problems import SettingProblem
from ._sections import Settings

__all__ = ["find_contradictions"]


def find_contradictions(settings: Settings) -> Iterator[SettingProblem]:
    """Yield a problem for each contradiction between keys."""
    yield from _contradicting_times(settings)
    yield from _contradicting_weights(settings)
    yield from _shared_ports(settings)


def _contradicting_times(settings: Settings) -> Iterator[SettingProblem]:
    peers, requests = settings.peers, settings.requests
    if peers.suspect_after_s < 2 * peers.heartbeat_interval_s:
        yield _contradiction(
            "peers",
            "suspect_after_s",
            peers.suspect_after_s,
            f"at least twice heartbeat_interval_s ({peers.heartbeat_interval_s:g})",
        )
    if peers.remove_after_s <= peers.suspect_after_s:
        yield _contradiction(
            "peers",
            "remove_after_s",
            peers.remove_after_s,
            f"more than suspect_after_s ({peers.suspect_after_s:g})",
        )
    if requests.default_deadline_s > requests.max_deadline_s:
        yield _contradiction(
            "requests",
            "default_deadline_s",
            requests.default_deadline_s,
            f"at most max_deadline_s ({requests.max_deadline_s:g})",
        )
    if requests.connect_timeout_s > requests.attempt_timeout_s:
        yield _contradiction(
            "requests",
            "connect_timeout_s",
            requests.connect_timeout_s,
            f"at most attempt_timeout_s ({requests.attempt_timeout_s:g})",
        )


def _contradicting_weights(settings: Settings) -> Iterator[SettingProblem]:
    plans = settings.plans
    if plans.weight_buffer + plans.weight_rollout + plans.weight_moves <= 0:
        yield _contradiction(
            "plans",
            "weight_buffer",
            plans.weight_buffer,
            "at least one of the three weights above 0",
        )


def _shared_ports(settings: Settings) -> Iterator[SettingProblem]:
    listeners = (
        ("callers", settings.callers.port),
        ("operators", settings.operators.port),
        ("peers", settings.peers.port),
    )
    sections_by_port: dict[int, str] = {}
    for section, port in listeners:
        if port and port in sections_by_port:
            yield _contradiction(
                section,
                "port",
                port,
                f"a port other than the one of [{sections_by_port[port]}], or 0",
            )
        sections_by_port.setdefault(port, section)


def _contradiction(section: str, key: str, value: float, allowed: str) -> SettingProblem:
    return SettingProblem(
        section=section,
        key=key,
        value=f"{value:g}",
        problem="contradicts another key",
        allowed=allowed,
    )
