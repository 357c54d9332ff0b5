"""The table at the end of the demo, counted at the workers."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import astuple, dataclass

from rich.console import Console
from rich.table import Table

from shallotworks.plans import Measures
from shallotworks.standins import Ledger, Violations, WorkerStandIn, count_violations

__all__ = ["Report", "make_report", "print_report"]

MS_PER_S = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What became of all requests, and what the plan cost.

    Args:
        sent: Requests sent, repeats under the same key included.
        answered: Whole answers to the caller's own request.
        refused: Refusals as not run.
        violations: Broken promises, counted at the workers.
        late_work: Requests that a drained worker began after it was drained.
        measures: The plan's three measures.
        took_s: How long the plan took.
        interactive_p50_s: Median time of interactive answers.
        interactive_p99_s: 99th percentile.
    """

    sent: int
    answered: int
    refused: int
    violations: Violations
    late_work: int
    measures: Measures
    took_s: float
    interactive_p50_s: float
    interactive_p99_s: float

    @property
    def has_no_violations(self) -> bool:
        """Whether nothing was lost, doubled, cut off or given to the wrong caller."""
        broken = sum(astuple(self.violations)) + self.late_work
        return broken == 0 and self.answered > 0


def make_report(
    *,
    ledger: Ledger,
    workers: Sequence[WorkerStandIn],
    late_work: int,
    measures: Measures,
    took_s: float,
) -> Report:
    """Compare what callers have seen with what workers have run."""
    violations = count_violations(ledger, workers)
    quantiles = statistics.quantiles(ledger.latencies_s or [0.0, 0.0], n=100)
    return Report(
        sent=sum(ledger.sent.values()),
        answered=sum(ledger.answered.values()),
        refused=sum(ledger.refused.values()),
        violations=violations,
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
        ("lost (must be 0)", f"{report.violations.lost}"),
        ("doubled (must be 0)", f"{report.violations.doubled}"),
        ("cut off (must be 0)", f"{report.violations.cut_off}"),
        ("told as not run, and run (must be 0)", f"{report.violations.untrue}"),
        ("outcome unknown (must be 0 here)", f"{report.violations.unknown}"),
        ("given to the wrong caller (must be 0)", f"{report.violations.foreign}"),
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
