"""Runs that were lost when their worker crashed, and when a task has lost too many."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, unique
from typing import NamedTuple

__all__ = ["Blame", "LostRun", "is_crash_looping", "is_suspect"]

MOST_CRASHES = 2
"""Crashes of one task, the sole suspect of a later one, after which its job has failed."""
MOST_SHARED_CRASHES = 3
"""... or crashes shortly after its starts, whoever else may have caused them."""


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
    is_proven = Blame.SOLE in crashes[MOST_CRASHES - 1 :]
    return is_proven or len(early) >= MOST_SHARED_CRASHES


def is_suspect(lost: Sequence[LostRun]) -> bool:
    """Whether a task is to run apart from others until its worker has outlived its start."""
    return len(lost) >= MOST_CRASHES or any(one.blame is not Blame.LATE for one in lost)
