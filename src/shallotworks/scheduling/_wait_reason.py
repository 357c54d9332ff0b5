"""Why a task waits."""

from __future__ import annotations

from enum import Enum, unique

__all__ = ["WaitReason"]


@unique
class WaitReason(Enum):
    """Why a task waits: what keeps its step back, or what speaks against a worker.

    From `UNLISTED` to `CORDONED` they stand in the order in which a worker is checked, so that a
    later one means that a worker came closer to running the task: `CORDONED` is a worker that has
    room and lacks nothing else.
    """

    RECOVERY = "recovery"
    """An earlier term may still run it, on workers that this term has not seen yet."""
    UNLISTED = "no-worker-listed"
    UNREACHED = "no-worker-reached"
    """None of the listed workers has answered this term, or since its lease ran out."""
    DRAINING = "draining"
    LABEL = "label"
    PERMIT = "no-permit"
    """The advice service has not allowed such a worker, or was not asked yet."""
    ROOM = "no-room"
    SPREAD = "spread-limit"
    """As many tasks of the step run there as may."""
    YIELDING = "yielding"
    """Late work keeps off workers that are to go back to their lenders."""
    QUARANTINED = "quarantined"
    """The worker is kept for a task that may crash it."""
    PAUSED = "paused"
    """An order to the worker failed a moment ago."""
    CLOSED_TO_LASTING = "closed-to-lasting"
    """The worker was offered and taken back: an order to take it away may still come."""
    CORDONED = "cordoned"
    """The worker is offered to be taken away, or is being emptied."""
    SUSPECT = "suspect"
    """Runs of its job were lost with crashed workers: its suspects are started in isolation."""
    REFUSED = "refused"
    """A worker refused the last start as invalid; the next one waits, each time for longer."""
    GANG = "gang"
    """A worker may run one of its members, which start together: some of them are still being
    stopped, or there is not room for all."""
    READY = "ready"
    """A worker may run it, and the next decision starts it, unless the term may not act."""
    NOT_EXAMINED = "not-examined"
    """Too many kinds of steps wait to look into each."""
