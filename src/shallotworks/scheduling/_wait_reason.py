"""Names the reasons why a task waits."""

from __future__ import annotations

from enum import Enum, unique

__all__ = ["WaitReason"]


@unique
class WaitReason(Enum):
    """Why a task waits: what restricts its step, or why a worker is rejected for it.

    The members from `UNLISTED` to `CORDONED` are in the order in which a worker is checked. A later
    member means that a worker came closer to running the task: a worker rejected as `CORDONED` has
    room and meets all other conditions.
    """

    RECOVERY = "recovery"
    """A run of an earlier epoch may still be active on workers that have not answered this
    scheduler yet."""
    UNLISTED = "no-worker-listed"
    """No worker is listed by discovery."""
    UNREACHED = "no-worker-reached"
    """None of the listed workers has answered this scheduler, or none since its lease expired."""
    DRAINING = "draining"
    """The worker is draining."""
    LABEL = "label"
    """The worker lacks the label that the step demands."""
    PERMIT = "no-permit"
    """The advice service has not permitted the worker, or has not been asked yet."""
    ROOM = "no-room"
    """The worker has too little free capacity."""
    SPREAD = "spread-limit"
    """The worker runs as many tasks of the step as allowed."""
    YIELDING = "yielding"
    """The job can't meet its objective, and the worker is to return to its lender."""
    QUARANTINED = "quarantined"
    """The worker is reserved for a task that may crash it."""
    PAUSED = "paused"
    """An order to the worker or a poll of it failed recently."""
    CLOSED_TO_LASTING = "closed-to-lasting"
    """The worker was offered for removal and the offer was withdrawn; the order to remove it may
    still arrive."""
    CORDONED = "cordoned"
    """The worker is offered for removal, or is being evacuated."""
    SUSPECT = "suspect"
    """Runs of the job were lost with crashed workers, so its suspects are started in isolation."""
    REFUSED = "refused"
    """A worker refused the last start as invalid. The next start is delayed, longer after each
    refusal."""
    TEAM_LIMIT = "team-limit"
    """The team of the job has no room left in its share of its limit on this service."""
    TEAM_SHARE = "team-share"
    """All room is in use, and others come first: the job is beyond what its team's weight covers,
    or the team has its share."""
    GANG = "gang"
    """A worker may run a member of the gang, but members start together: some are still being
    stopped, or there is not enough room for all."""
    READY = "ready"
    """A worker may run the task, and the next decision starts it, if the scheduler may act."""
    NOT_EXAMINED = "not-examined"
    """Too many kinds of steps wait for each of them to be examined."""
