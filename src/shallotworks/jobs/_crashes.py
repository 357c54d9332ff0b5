"""Runs that were lost when their worker crashed, and when a task has lost too many."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, unique
from typing import NamedTuple

__all__ = ["Blame", "LostRun", "is_crash_looping", "is_suspect"]

MAX_EARLY_CRASHES = 2
"""Crashes shortly after a task's starts, the last with it as sole suspect, that fail its job ..."""
MAX_CRASHES = 3
"""... or of all crashes this many; or this many early ones, whoever else may have caused them."""
MIN_SUSPECT_CRASHES = 2
"""Other crashes of a task's workers after which it is a suspect."""


@unique
class Blame(Enum):
    """How likely a run has crashed its worker."""

    SOLE = "sole"
    """No other run on the worker was as young."""
    SHARED = "shared"
    """Others were as young."""
    LATE = "late"
    """It had run for a while, or many workers were lost at that moment."""


class LostRun(NamedTuple):
    """A run that was lost with its worker, or may have been.

    Args:
        run_id: The run.
        worker_id: Where it ran.
        blame: How likely it was the cause.
        is_certain: The worker has crashed; else it may have, or may yet.
    """

    run_id: int
    worker_id: str
    blame: Blame
    is_certain: bool


def is_crash_looping(lost: Sequence[LostRun]) -> bool:
    """Whether a task is given up for the crashes of its runs."""
    crashes = [one.blame for one in lost if one.is_certain]
    early = [blame for blame in crashes if blame is not Blame.LATE]
    if crashes and crashes[-1] is Blame.SOLE and len(early) >= MAX_EARLY_CRASHES:
        return True
    return len(early) >= MAX_CRASHES or (len(crashes) >= MAX_CRASHES and crashes[-1] is Blame.SOLE)


def is_suspect(lost: Sequence[LostRun]) -> bool:
    """Whether a task is to be started in isolation."""
    return len(lost) >= MIN_SUSPECT_CRASHES or any(one.blame is not Blame.LATE for one in lost)
