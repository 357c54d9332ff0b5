"""Decides which service may have the part of a team's limit that one wide task or gang needs.

While the wants of all services exceed a limit, each has a part in proportion to them. A task may be
wider than the part of its service, or several services may each wait for one, so that the limit is
divided until none of them fits. Such a service claims what it needs in the team's record. One claim
at a time is granted in full, the oldest first, and the other services divide what it leaves.

A claim lapses after some time, whether its service could use it or not: it may wait for tasks that
run for long, or its scheduler may have ended. Then others have their turn, and it may be renewed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from shallotworks.jobs import Resources

__all__ = ["ShareClaim", "ShareClaims"]

CLAIM_HOLD_S = 2.0
"""A claim holds room back from other services for this long at most. A job that could run but has
nothing running for 3 s counts as lost. Source: the platform's rules."""
CLAIM_PAUSE_S = 1.0
"""A lapsed claim is renewed after this time, in which the other services are not held back."""


class ShareClaim(NamedTuple):
    """What a service needs of a team's limit to start a task that its part can't hold.

    Args:
        needed: The share with which the task, or the whole gang, could start.
        since: Revision of the team's record when the claim was made. The lowest comes first.
    """

    needed: Resources
    since: int


class ShareClaims:
    """The claims on one team's limit, as one service knows them."""

    __slots__ = ("_own", "_own_s", "_seen")

    def __init__(self) -> None:
        self._own: ShareClaim | None = None
        self._own_s = -1e9
        self._seen: dict[str, tuple[int, float]] = {}
        """When the present claim of another service was first seen, with its ``since``. It is timed
        by this service's clock alone, so that clocks of instances need not agree."""

    def renew(self, needed: Resources | None, *, revision: int, now_s: float) -> ShareClaim | None:
        """Return this service's claim, if it has one that hasn't lapsed.

        Args:
            needed: The share that it needs; ``None`` if all its tasks fit into its part.
            revision: Revision of the team's record.
            now_s: Time on the scheduler's clock in seconds.
        """
        if needed is None:
            self._own = None
            return None
        age_s = now_s - self._own_s
        if self._own is None or age_s > CLAIM_HOLD_S + CLAIM_PAUSE_S:
            self._own, self._own_s = ShareClaim(needed, revision), now_s
            return self._own
        self._own = self._own._replace(needed=needed)
        return self._own if age_s <= CLAIM_HOLD_S else None

    def first(
        self, claims: Mapping[str, ShareClaim], *, service: str, now_s: float
    ) -> tuple[str, ShareClaim] | None:
        """Return the service whose claim is to be granted now, with its claim.

        Args:
            claims: The claims by service, with this service's own one if it has one.
            service: This service.
            now_s: Time on the scheduler's clock in seconds.
        """
        self._seen = {
            name: self._first_seen(name, claim, now_s)
            for name, claim in claims.items()
            if name != service
        }
        valid = [
            (claim.since, name)
            for name, claim in claims.items()
            if name == service or now_s - self._seen[name][1] <= CLAIM_HOLD_S
        ]
        if not valid:
            return None
        _, name = min(valid)
        return name, claims[name]

    def _first_seen(self, name: str, claim: ShareClaim, now_s: float) -> tuple[int, float]:
        since, at_s = self._seen.get(name, (claim.since, now_s))
        return (since, at_s) if since == claim.since else (claim.since, now_s)
