"""Faults that can be injected into the worker stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

__all__ = ["WorkerFault", "WorkerFaults"]


@unique
class WorkerFault(Enum):
    """Kind of fault of a worker."""

    NONE = "none"
    FAIL_ALL = "fail-all"
    """Fails every request immediately, so that the worker appears to be the least loaded."""
    LATE = "late"
    """Delays every answer by ``delay_s``."""
    PARTIAL = "partial"
    """Sends half of the body, then closes the connection."""
    FOREIGN = "foreign"
    """Answers with the request id of another request."""
    SILENT = "silent"
    """Never answers on connections from client ports seen so far; new connections work."""
    REFUSE = "refuse"
    """Refuses every request without running it, and answers that it was not run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerFaults:
    """The active fault of a worker.

    Args:
        fault: Kind of the fault.
        delay_s: Additional delay of each answer for ``LATE``.
    """

    fault: WorkerFault = WorkerFault.NONE
    delay_s: float = 0.0
