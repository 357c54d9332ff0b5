"""What a worker stand-in has run, kept so that tests can compare it with what callers were told."""

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
        worker: The instance.
        request_id: The request.
        attempt: Number of the attempt that was run.
        key: The caller's idempotency key; empty for none.
        idempotent: Whether running the request twice does no harm.
        began_at_s: When the run began, by `time.monotonic`.
    """

    worker: str
    request_id: str
    attempt: str
    key: str
    idempotent: bool
    began_at_s: float


def make_run(worker: str, run_id: str, environ: Mapping[str, Any]) -> WorkerRun:
    """Return the run that begins now.

    Args:
        worker: The instance.
        run_id: Request id and attempt, with a slash between.
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
    """The runs of one worker, in the order in which they began; its owner holds a lock."""

    __slots__ = ("_counts_by_key", "_runs")

    def __init__(self) -> None:
        self._runs: list[WorkerRun] = []
        self._counts_by_key: Counter[str] = Counter()

    def add(self, run: WorkerRun) -> bool:
        """Note a run that begins; says whether a non-idempotent request runs again by it."""
        self._runs.append(run)
        request_key = run.key or run.request_id
        self._counts_by_key[request_key] += 1
        return not run.idempotent and self._counts_by_key[request_key] > 1

    def all(self) -> tuple[WorkerRun, ...]:
        """Return every run."""
        return tuple(self._runs)

    def by_key(self) -> Counter[str]:
        """Return how often each request was run, by idempotency key or else by request id."""
        return Counter(self._counts_by_key)
