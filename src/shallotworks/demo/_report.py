"""The table at the end of the demo, counted at the workers."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from rich.console import Console
from rich.table import Table

from shallotworks.plans import Measures
from shallotworks.standins import WorkerStandIn

from ._callers import Ledger

__all__ = ["Report", "make_report", "print_report"]

MS_PER_S = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What became of all requests, and what the plan cost.

    Args:
        sent: Requests sent, repeats under the same key included.
        answered: Whole answers to the caller's own request.
        refused: Refusals as not run.
        lost: Runs at a worker whose answer no caller has.
        doubled: Runs of a non-idempotent request after its first.
        cut_off: Requests that a stop ended in flight.
        foreign: Answers that were not to the caller's own request.
        late_work: Requests that a drained worker began after it was drained.
        measures: The plan's three measures.
        took_s: How long the plan took.
        interactive_p50_s: Median time of interactive answers.
        interactive_p99_s: 99th percentile.
    """

    sent: int
    answered: int
    refused: int
    lost: int
    doubled: int
    cut_off: int
    foreign: int
    late_work: int
    measures: Measures
    took_s: float
    interactive_p50_s: float
    interactive_p99_s: float

    @property
    def promises_kept(self) -> bool:
        """Whether nothing was lost, doubled, cut off or given to the wrong caller."""
        broken = self.lost + self.doubled + self.cut_off + self.foreign + self.late_work
        return broken == 0 and self.answered > 0


def make_report(
    *,
    ledger: Ledger,
    workers: Iterable[WorkerStandIn],
    late_work: int,
    measures: Measures,
    took_s: float,
) -> Report:
    """Compare what callers have seen with what workers have run."""
    runs: Counter[str] = Counter()
    doubled = 0
    cut_off = 0
    for worker in workers:
        runs.update(worker.runs_by_key())
        counts = worker.status().counts
        doubled += counts.doubled
        cut_off += counts.cut_off
    # A worker counts as doubled what it has run twice itself; a key run at two workers shows here.
    keys_at_two = sum(
        1
        for key, count in runs.items()
        if count > 1 and sum(key in worker.runs_by_key() for worker in workers) > 1
    )
    quantiles = statistics.quantiles(ledger.latencies_s or [0.0, 0.0], n=100)
    return Report(
        sent=sum(ledger.sent.values()),
        answered=sum(ledger.answered.values()),
        refused=sum(ledger.refused.values()),
        lost=len(runs.keys() - ledger.answered_runs) + ledger.unknown,
        doubled=doubled + keys_at_two,
        cut_off=cut_off,
        foreign=ledger.foreign,
        late_work=late_work,
        measures=measures,
        took_s=took_s,
        interactive_p50_s=quantiles[49],
        interactive_p99_s=quantiles[98],
    )


def print_report(report: Report, *, console: Console, timeline_path: str) -> None:
    """Print the table."""
    table = Table(title="What became of it")
    table.add_column("measure")
    table.add_column("value", justify="right")
    rows = [
        ("requests sent", f"{report.sent}"),
        ("answered whole, each to its own caller", f"{report.answered}"),
        ("refused, and not run", f"{report.refused}"),
        ("lost (must be 0)", f"{report.lost}"),
        ("doubled (must be 0)", f"{report.doubled}"),
        ("cut off (must be 0)", f"{report.cut_off}"),
        ("given to the wrong caller (must be 0)", f"{report.foreign}"),
        ("begun at a worker after it was drained (must be 0)", f"{report.late_work}"),
        ("interactive answers, median", f"{report.interactive_p50_s * MS_PER_S:.0f} ms"),
        ("interactive answers, p99", f"{report.interactive_p99_s * MS_PER_S:.0f} ms"),
        ("plan: buffer cost", f"{report.measures.buffer_slots} slots"),
        ("plan: roll-out time, expected", f"{report.measures.roll_out_s:.0f} s"),
        ("plan: roll-out time, taken", f"{report.took_s:.1f} s"),
        ("plan: moves, expected", f"{report.measures.moves:g}"),
        ("time line", timeline_path),
    ]
    for name, value in rows:
        table.add_row(name, value)
    console.print(table)
