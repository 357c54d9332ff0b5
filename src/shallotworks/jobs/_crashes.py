"""Records runs lost in worker crashes, and decides when a task is suspect or crash looping."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, unique
from typing import NamedTuple

from ._incarnation import Incarnation

__all__ = ["Blame", "LossCause", "LostRun", "is_crash_looping", "is_suspect"]

MAX_EARLY_CRASHES = 2
"""A task is crash looping after this many crashes shortly after its starts, if it is the sole
suspect of its last crash. Here and below, crashes count after starts that workers received."""
MAX_CRASHES = 3
"""A task is crash looping after this many early crashes, whatever other runs may have caused them.
It is also crash looping after this many crashes of any kind, if it is the sole suspect of the
last."""
MAX_UNRECEIVED_CRASHES = 4
"""A task is crash looping after this many early crashes, even if workers confirmed none of its
starts. Such a start may have been sent to a worker that was already dead, so it counts for less."""
MIN_SUSPECT_CRASHES = 2
"""A task is a suspect after this many lost runs, even if each of them gets late blame."""


@unique
class Blame(Enum):
    """How likely it is that a run crashed its worker."""

    SOLE = "sole"
    """No other run on the worker was on probation."""
    SHARED = "shared"
    """Other runs on the worker were on probation too."""
    LATE = "late"
    """The run had passed its probation, or many workers were lost at the same moment."""


@unique
class LossCause(Enum):
    """What is known of how the worker of a run was lost."""

    UNKNOWN = "unknown"
    """Nothing: the start was recorded before it was sent, or an earlier release recorded it."""
    CONNECTIONS_CLOSED = "connections-closed"
    """The worker closed or refused connections."""
    SILENT = "silent"
    """The worker has not answered."""
    UNLISTED = "unlisted"
    """Discovery does not list the worker, which may only be unreachable."""
    REPLACED = "replaced"
    """Another incarnation answered in the worker's place."""


class LostRun(NamedTuple):
    """A run that was or may have been lost in a crash of its worker.

    Args:
        run_id: The run.
        incarnation: The incarnation of the worker that it ran on.
        blame: How likely it was the cause.
        is_certain: Whether the worker has crashed. Otherwise it may have crashed, or may still do
            so.
        is_received: Whether the worker is known to have received the start. Otherwise it may have
            been dead before.
        cause: How the worker was lost.
        noted_by: Fencing token of the scheduler that recorded this last; 0 if it is not known.
    """

    run_id: int
    incarnation: Incarnation
    blame: Blame
    is_certain: bool
    is_received: bool = True
    cause: LossCause = LossCause.UNKNOWN
    noted_by: int = 0


def is_crash_looping(lost: Sequence[LostRun]) -> bool:
    """Whether a task is in a crash loop, which fails its job: its runs keep crashing workers."""
    crashes = [one for one in lost if one.is_certain]
    received = [one.blame for one in crashes if one.is_received]
    early = [blame for blame in received if blame is not Blame.LATE]
    if received and received[-1] is Blame.SOLE and len(early) >= MAX_EARLY_CRASHES:
        return True
    if len(early) >= MAX_CRASHES or (len(received) >= MAX_CRASHES and received[-1] is Blame.SOLE):
        return True
    return sum(one.blame is not Blame.LATE for one in crashes) >= MAX_UNRECEIVED_CRASHES


def is_suspect(lost: Sequence[LostRun]) -> bool:
    """Whether a task has to be started in isolation."""
    return len(lost) >= MIN_SUSPECT_CRASHES or any(one.blame is not Blame.LATE for one in lost)
