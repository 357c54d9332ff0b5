"""Records runs lost in worker crashes, and decides when a task is suspect or crash looping."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, unique
from typing import NamedTuple

from ._incarnation import Incarnation

__all__ = ["Blame", "LossCause", "LostRun", "is_crash_looping", "is_suspect"]

MIN_PROOFS_BY_CRASHES = {4: 3, 5: 2}
"""Proven crashes that show a crash loop, by the least number of all crashes of the task's runs. Two
proofs suffice where the retry budget leaves no start for a third one. Source: the users' rules."""
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
    """The run had passed its probation, many workers were lost at the same moment, or a worker
    outlived a later run of the task."""


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
        is_witnessed: Whether the scheduler that started the run had heard of the worker just
            before, and saw it go within the probation of the run, but not all workers with it.
        ran_s: Seconds from the start until the worker was last heard of; 0 if that is not known.
    """

    run_id: int
    incarnation: Incarnation
    blame: Blame
    is_certain: bool
    is_received: bool = True
    cause: LossCause = LossCause.UNKNOWN
    noted_by: int = 0
    is_witnessed: bool = False
    ran_s: float = 0.0

    @property
    def is_proof(self) -> bool:
        """Whether the run is proven to have been the only suspect of a certain crash.

        That a worker is silent or not listed is no proof of a crash: it may be cut off.
        """
        return (
            self.is_certain
            and self.is_witnessed
            and self.blame is Blame.SOLE
            and self.cause is LossCause.REPLACED
        )


def is_crash_looping(lost: Sequence[LostRun]) -> bool:
    """Whether a task is in a crash loop, which fails its job for good: its runs crash workers.

    Only proven crashes show that. Workers that crash by themselves, leave or are cut off lose the
    runs of sound tasks as well.
    """
    crashes = sum(one.is_certain for one in lost)
    proofs = sum(one.is_proof for one in lost)
    return any(
        crashes >= least_crashes and proofs >= least_proofs
        for least_crashes, least_proofs in MIN_PROOFS_BY_CRASHES.items()
    )


def is_suspect(lost: Sequence[LostRun]) -> bool:
    """Whether a task has to be started in isolation."""
    return len(lost) >= MIN_SUSPECT_CRASHES or any(one.blame is not Blame.LATE for one in lost)
