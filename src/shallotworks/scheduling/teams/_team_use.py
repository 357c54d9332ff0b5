"""What each team's runs use on one service."""

from __future__ import annotations

from collections.abc import Iterator

from shallotworks.jobs import Resources, Step

__all__ = ["TeamUse"]


class TeamUse:
    """Running sums of what the runs of each team use; jobs without a team are the team ``""``."""

    __slots__ = ("_sums",)

    def __init__(self) -> None:
        self._sums: dict[str, list[int]] = {}
        """Runs, processor in millicores, memory in MB and GPUs, by team."""

    def add(self, team: str, step: Step) -> None:
        """Count one run of a step."""
        self._change(team, step, 1)

    def remove(self, team: str, step: Step) -> None:
        """Count one run of a step no longer."""
        self._change(team, step, -1)

    def of(self, team: str) -> Resources:
        """Return what the runs of a team use."""
        sums = self._sums.get(team)
        return Resources(*sums[1:]) if sums is not None else Resources()

    def teams(self) -> Iterator[str]:
        """Yield the teams that have runs."""
        return iter(self._sums)

    def _change(self, team: str, step: Step, sign: int) -> None:
        sums = self._sums.setdefault(team, [0, 0, 0, 0])
        sums[0] += sign
        if not step.is_filler:
            # A filler uses only processor time that others leave.
            sums[1] += sign * step.cpu_millicores
        sums[2] += sign * step.memory_mb
        sums[3] += sign * step.gpus
        if not sums[0]:
            del self._sums[team]
