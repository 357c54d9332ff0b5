"""Faults that the worker stand-in can be told to show."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

__all__ = ["WorkerFault", "WorkerFaults"]


@unique
class WorkerFault(Enum):
    """What goes wrong at a worker."""

    NONE = "none"
    FAIL_ALL = "fail-all"
    """Fails every request at once, and so looks least loaded."""
    LATE = "late"
    """Answers after ``delay_s`` more."""
    PARTIAL = "partial"
    """Sends half of the answer, then closes the connection."""
    FOREIGN = "foreign"
    """Answers with the id of another request."""
    SILENT = "silent"
    """Never answers on connections that are open now; new ones work."""
    REFUSE = "refuse"
    """Says of every request that it was not run, which is true."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerFaults:
    """The fault in force.

    Args:
        fault: Which one.
        delay_s: For ``LATE``.
    """

    fault: WorkerFault = WorkerFault.NONE
    delay_s: float = 0.0
