"""What each team may still start in one decision."""

from __future__ import annotations

import sys

from shallotworks.jobs import Resources

__all__ = ["UNLIMITED", "TeamRooms"]

UNLIMITED = sys.maxsize
"""Room for a resource on which a team has no limit."""


class TeamRooms:
    """What each team may still start in one decision.

    Args:
        rooms: Remaining resources by team; teams without a limit are missing.
    """

    __slots__ = ("_rooms", "refused")

    def __init__(self, rooms: dict[str, Resources] | None = None) -> None:
        self._rooms = rooms or {}
        self.refused: set[str] = set()
        """Teams of which a task was held back."""

    def has_room(self, team: str, resources: Resources) -> bool:
        """Whether a team may start tasks that use these resources; notes a refusal."""
        room = self._rooms.get(team)
        if room is None or resources.is_within(room):
            return True
        self.refused.add(team)
        return False

    def take(self, team: str, resources: Resources) -> None:
        """Use a part of a team's room."""
        room = self._rooms.get(team)
        if room is not None:
            self._rooms[team] = room.minus(resources)
