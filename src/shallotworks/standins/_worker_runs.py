"""The runs of a worker stand-in, which tests compare with the answers that callers got."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["RunLog", "WorkerRun", "make_run"]


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRun:
    """One run of a request at one worker.

    Args:
        worker: Name of the worker instance.
        request_id: Id of the request.
        attempt: Number of the attempt that was run.
        key: The caller's idempotency key; empty if there is none.
        idempotent: Whether the request may safely run more than once.
        began_at_s: Time at which the run began, by `time.monotonic`.
    """

    worker: str
    request_id: str
    attempt: str
    key: str
    idempotent: bool
    began_at_s: float


def make_run(worker: str, run_id: str, environ: Mapping[str, Any]) -> WorkerRun:
    """Return a run that begins now.

    Args:
        worker: Name of the worker instance.
        run_id: Request id and attempt, separated by a slash.
        environ: The WSGI environment of the request.
    """
    request_id, _, attempt = run_id.partition("/")
    is_safe = environ["REQUEST_METHOD"] == "GET"
    return WorkerRun(
        worker=worker,
        request_id=request_id,
        attempt=attempt,
        key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        idempotent=environ.get("HTTP_SHALLOT_IDEMPOTENT", "yes" if is_safe else "no") == "yes",
        began_at_s=time.monotonic(),
    )


class RunLog:
    """The runs of one worker in the order of their start; the owner's lock must be held."""

    __slots__ = ("_counts_by_key", "_runs")

    def __init__(self) -> None:
        self._runs: list[WorkerRun] = []
        self._counts_by_key: Counter[str] = Counter()

    def add(self, run: WorkerRun) -> bool:
        """Add a run; return whether it repeats a non-idempotent request."""
        self._runs.append(run)
        request_key = run.key or run.request_id
        self._counts_by_key[request_key] += 1
        return not run.idempotent and self._counts_by_key[request_key] > 1

    def all(self) -> tuple[WorkerRun, ...]:
        """Return every run."""
        return tuple(self._runs)

    def by_key(self) -> Counter[str]:
        """Return the number of runs of each request, by idempotency key or else by request id."""
        return Counter(self._counts_by_key)
