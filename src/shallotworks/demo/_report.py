"""The table at the end of the demo, computed from the records of callers and workers."""

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
    """Outcomes of all requests, and the cost of the plan.

    Args:
        sent: Requests sent, repeats with the same idempotency key included.
        answered: Complete answers to the caller's own request.
        refused: Requests that were refused without being run.
        violations: Violations of the guarantees to callers.
        late_work: Requests that a worker started after it was drained.
        measures: The plan's three measures.
        took_s: Duration of the plan.
        interactive_p50_s: Median latency of interactive requests.
        interactive_p99_s: 99th percentile of this latency.
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
        """Whether there was no violation, no late work, and at least one answer."""
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
    """Compute the report from the outcomes that callers observed and the runs of workers."""
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
    table = Table(title="Results")
    table.add_column("measure")
    table.add_column("value", justify="right")
    rows = [
        ("requests sent", f"{report.sent}"),
        ("complete answers to the right caller", f"{report.answered}"),
        ("refused without being run", f"{report.refused}"),
        ("lost (must be 0)", f"{report.violations.lost}"),
        ("doubled (must be 0)", f"{report.violations.doubled}"),
        ("aborted in flight (must be 0)", f"{report.violations.cut_off}"),
        ("run although answered as not run (must be 0)", f"{report.violations.falsely_refused}"),
        ("outcome unknown (must be 0 here)", f"{report.violations.unknown}"),
        ("incomplete or to the wrong caller (must be 0)", f"{report.violations.foreign}"),
        ("started at a worker after it was drained (must be 0)", f"{report.late_work}"),
        (
            "latency of interactive requests, median",
            f"{report.interactive_p50_s * MS_PER_S:.0f} ms",
        ),
        ("latency of interactive requests, p99", f"{report.interactive_p99_s * MS_PER_S:.0f} ms"),
        ("plan: buffer cost", f"{report.measures.buffer_slots} slots"),
        ("plan: roll-out time, expected", f"{report.measures.roll_out_s:.0f} s"),
        ("plan: roll-out time, actual", f"{report.took_s:.1f} s"),
        ("plan: moves, expected", f"{report.measures.moves:g}"),
        ("timeline", timeline_path),
    ]
    for name, value in rows:
        table.add_row(name, value)
    console.print(table)
