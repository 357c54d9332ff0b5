"""Compares what callers have seen with what workers have run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from ._callers import Ledger
from ._worker import WorkerStandIn

__all__ = ["Violations", "count_violations"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Violations:
    """How often a promise to callers was broken.

    Source: the brief, "What must always hold".

    Args:
        lost: Runs at a worker whose answer no caller has.
        doubled: Runs of a non-idempotent request after its first.
        cut_off: Requests that a stop of a worker ended in flight.
        foreign: Answers that were not whole, or not to the caller's own request.
        untrue: Requests that a caller was told were not run, and that ran.
        unknown: Requests whose caller was told that the outcome is unknown, or nothing at all.
    """

    lost: int
    doubled: int
    cut_off: int
    foreign: int
    untrue: int
    unknown: int


def count_violations(ledger: Ledger, workers: Sequence[WorkerStandIn]) -> Violations:
    """Count broken promises; to be called when no request is under way any more."""
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
    # A worker counts what it has run twice itself; a key run at two workers shows only here. The
    # id of an idempotent request may be run at several: that is a retry.
    keys_at_several = sum(1 for key in ledger.keys if worker_counts[key] > 1)
    return Violations(
        lost=len(runs.keys() - ledger.answered_runs),
        doubled=doubled + keys_at_several,
        cut_off=cut_off,
        foreign=ledger.foreign,
        untrue=len(runs.keys() & ledger.refused_runs),
        unknown=ledger.unknown.total(),
    )
