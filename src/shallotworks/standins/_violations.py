"""Compares the outcomes that callers observed with the runs of the workers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from ._callers import Ledger
from ._worker import WorkerStandIn

__all__ = ["Violations", "count_violations"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Violations:
    """Number of violations of each guarantee to callers.

    Source: the brief, "What must always hold".

    Args:
        lost: Requests that ran at a worker but whose answer reached no caller.
        doubled: Runs of a non-idempotent request after its first run.
        cut_off: Requests in flight that a reboot or crash of a worker aborted.
        foreign: Answers that were incomplete or not to the caller's own request.
        falsely_refused: Requests that ran although their caller was answered that they did not.
        unknown: Requests with an unknown outcome: answered as such, or without a complete answer.
    """

    lost: int
    doubled: int
    cut_off: int
    foreign: int
    falsely_refused: int
    unknown: int


def count_violations(ledger: Ledger, workers: Sequence[WorkerStandIn]) -> Violations:
    """Count violations; to be called when no request is in flight any more."""
    runs: Counter[str] = Counter()
    worker_counts: Counter[str] = Counter()
    doubled = 0
    cut_off = 0
    for worker in workers:
        own_runs = worker.runs_by_key()
        runs.update(own_runs)
        worker_counts.update(own_runs.keys())
        counts = worker.status().counts
        doubled += counts.doubled
        cut_off += counts.cut_off
    # Each worker counts repeated runs of its own; a key that ran at two workers is detected here.
    # The id of an idempotent request may run at several workers, because it may be retried.
    keys_at_several = sum(1 for key in ledger.keys if worker_counts[key] > 1)
    return Violations(
        lost=len(runs.keys() - ledger.answered_runs),
        doubled=doubled + keys_at_several,
        cut_off=cut_off,
        foreign=ledger.foreign,
        falsely_refused=len(runs.keys() & ledger.refused_runs),
        unknown=ledger.unknown.total(),
    )
