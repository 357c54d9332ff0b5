"""Reports by team what is used, what waits and who sends more than its weight; no network calls."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics

from ._team_weights import TeamWeights

if TYPE_CHECKING:
    from .._scheduler_state import SchedulerState

__all__ = ["MAX_NAMED_TEAMS", "TeamMonitor"]

MAX_NAMED_TEAMS = 8
"""Teams that are named in metrics and in a log line; the others are added up."""
REST = "(rest)"
NO_TEAM = "(none)"
MS_PER_S = 1000


@dataclass(slots=True, kw_only=True)
class _TeamRow:
    """A team on one service, or several teams added up.

    Args:
        share: Its use as a multiple of its share by weight.
        used_millicores: Processor that its runs use.
        waiting: Tasks that wait.
        beyond: Waiting tasks of jobs beyond its weight.
        oldest_wait_s: Time since the acceptance of its oldest job with waiting tasks, in seconds.
    """

    share: float = 0.0
    used_millicores: int = 0
    waiting: int = 0
    beyond: int = 0
    oldest_wait_s: float = 0.0

    def add(self, other: _TeamRow) -> None:
        """Add another team; the shares are added too, the oldest wait is that of both."""
        self.share += other.share
        self.used_millicores += other.used_millicores
        self.waiting += other.waiting
        self.beyond += other.beyond
        self.oldest_wait_s = max(self.oldest_wait_s, other.oldest_wait_s)

    def fields(self, team: str) -> dict[str, object]:
        """Return the row as fields of a log line."""
        return {
            "team": team,
            "share": round(self.share, 2),
            "used": self.used_millicores,
            "waiting": self.waiting,
            "beyond": self.beyond,
            "oldest_s": round(self.oldest_wait_s, 1),
        }


class TeamMonitor:
    """Observes the teams of one service while its scheduler is active.

    Metrics are counters of amounts times milliseconds, as those of `WaitMonitor`. Of all teams seen
    in the epoch the largest by weight have metrics of their own.

    Args:
        scheduler_state: The known jobs, runs and workers.
        weights: The weights, which judge the jobs.
        metrics: Receives the amounts by team.
        log: Receives a line for each team that begins or ceases to send more than its weight, and
            one with the largest teams while tasks of several teams wait.
    """

    __slots__ = (
        "_last_beyond",
        "_last_report_s",
        "_log",
        "_metrics",
        "_over",
        "_scheduler_state",
        "_weights",
    )

    def __init__(
        self,
        *,
        scheduler_state: SchedulerState,
        weights: TeamWeights,
        metrics: Metrics,
        log: StructuredLog,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._weights = weights
        self._metrics = metrics
        self._log = log
        self._last_beyond: Counter[str] = Counter()
        self._over: dict[str, int] = {}
        """Teams that send more than their weight, with the jobs beyond it when they began."""
        self._last_report_s: float | None = None

    def report(self, *, now_s: float, wall_s: float) -> None:
        """Update the metrics, and log what has changed.

        Args:
            now_s: The scheduler's clock in seconds.
            wall_s: Time of day in seconds since 1970.
        """
        last_s, self._last_report_s = self._last_report_s, now_s
        self._report_floods()
        shares = dict(self._weights.shares())
        if not shares:
            return
        rows = self._rows(shares, wall_s)
        if last_s is not None:
            self._count(rows, round((now_s - last_s) * MS_PER_S))
        if sum(1 for row in rows.values() if row.waiting) > 1:
            self._log_line("team-weights", teams=[*self._largest(rows)])

    def _report_floods(self) -> None:
        """Log each team that has begun or ceased to send more than its weight."""
        beyond = self._weights.beyond_jobs
        for team in [*beyond]:
            before = self._last_beyond[team]
            if beyond[team] > before and team not in self._over:
                self._over[team] = before
                weight = self._weights.weight_of(team)
                self._log_line(
                    "team-over-weight", team=team, weight=weight, beyond=beyond[team] - before
                )
            elif beyond[team] == before and team in self._over:
                jobs = beyond[team] - self._over.pop(team)
                self._log_line("team-within-weight", team=team, beyond=jobs)
        self._last_beyond = Counter(beyond)

    def _rows(self, shares: dict[str, float], wall_s: float) -> dict[str, _TeamRow]:
        state = self._scheduler_state
        rows = {
            team: _TeamRow(share=share, used_millicores=state.team_use.of(team).cpu_millicores)
            for team, share in shares.items()
        }
        for step in state.open_steps():
            tracked_job = step.tracked_job
            row = rows.setdefault(tracked_job.job.team, _TeamRow())
            row.waiting += len(step.waiting)
            row.beyond += len(step.waiting) * tracked_job.is_beyond_weight
            waited_s = wall_s - tracked_job.job.due_s(step.occurrence)
            row.oldest_wait_s = max(row.oldest_wait_s, waited_s)
        return rows

    def _largest(self, rows: dict[str, _TeamRow]) -> Iterator[dict[str, object]]:
        """Yield the teams with most use and most waiting tasks, and the others added up."""
        names = sorted(rows, key=lambda team: (-rows[team].share, -rows[team].waiting, team))
        names.sort(key=lambda team: not rows[team].beyond)
        yield from (rows[name].fields(name or NO_TEAM) for name in names[:MAX_NAMED_TEAMS])
        rest = _TeamRow()
        for name in names[MAX_NAMED_TEAMS:]:
            rest.add(rows[name])
        if names[MAX_NAMED_TEAMS:]:
            yield rest.fields(REST)

    def _count(self, rows: dict[str, _TeamRow], passed_ms: int) -> None:
        named = self._weights.largest_teams(MAX_NAMED_TEAMS)
        by_name: dict[str, _TeamRow] = {}
        for team, row in rows.items():
            name = team if team in named else REST
            by_name.setdefault(name, _TeamRow()).add(row)
        service = self._scheduler_state.service
        for name, row in by_name.items():
            amounts = {
                "share_permille": round(row.share * 1000),
                "used_millicore": row.used_millicores,
                "waiting_task": row.waiting,
                "beyond_weight_task": row.beyond,
                "oldest_wait": round(row.oldest_wait_s * MS_PER_S),
            }
            for what, amount in amounts.items():
                if amount:
                    self._metrics.count(
                        f"scheduler.team_{what}_ms.{service}.{name}", amount * passed_ms
                    )

    def _log_line(self, event: str, **fields: object) -> None:
        state = self._scheduler_state
        self._log.line(event, service=state.service, token=state.token, **fields)
