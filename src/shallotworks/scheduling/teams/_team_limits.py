"""Keeps what a team's tasks use over all services within the team's limit; no network calls.

Each team has one record with a share of its limit for each service. The shares add up to the limit
at most. A scheduler changes its own service's share only, by compare-and-swap on the whole record,
and starts a task only if everything that may run for the team on its service fits into the share.
So no start waits for the store, a scheduler that can't reach the store goes on with the share that
it has, and a successor inherits the share together with the tasks that may still run on it.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from shallotworks.jobs import Resources, Team

from ._team_rooms import UNLIMITED, TeamRooms

if TYPE_CHECKING:
    # The state itself holds what the teams may start.
    from .._scheduler_state import SchedulerState

__all__ = ["TEAM_RECORDS_PREFIX", "ShareWrite", "TeamLimits", "TeamShare"]

TEAM_RECORDS_PREFIX = "shallotworks/teams/"
SPARE_RATIO = 0.5
"""Part of what no service wants that a share holds beyond what its service wants, so that most
tasks of the next seconds start without a change of the share."""
SIGNAL_RATIO = 0.05
"""A change of the wanted share by this part of the limit is published while the share is short."""
TIDY_RATIO = 0.2
"""A wanted share that was published and is no longer wanted by this part of the limit is
corrected."""
TIDY_INTERVAL_S = 1.0
YIELD_INTERVAL_S = 0.2
CHURN_RATIO = 0.25
"""Part of the tasks that run for which the next ones count as wanted on a pool without room."""
NOTHING = Resources()


class TeamShare(NamedTuple):
    """One service's share of a team's limit.

    Args:
        granted: What the team's tasks may use on the service.
        wanted: What they would use there now.
    """

    granted: Resources = NOTHING
    wanted: Resources = NOTHING


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareWrite:
    """A change of this service's share in a team's record.

    Args:
        team: The team.
        share: The new share.
        revision: The revision of the record that it is based on; 0 if there is none.
        value: The new record.
    """

    team: str
    share: TeamShare
    revision: int
    value: bytes


class _TeamRecord:
    """A team's record as last read, and the writes of which the outcome is open."""

    __slots__ = ("inherited", "pending", "revision", "shares", "written_s")

    def __init__(self) -> None:
        self.shares: dict[str, TeamShare] = {}
        self.revision = 0
        self.pending: list[tuple[int, Resources]] = []
        """Revision that a write requires, and the share that it grants."""
        self.inherited: Resources | None = None
        """The service's share when this epoch first read the record."""
        self.written_s = -1e9


class TeamLimits:
    """The teams' limits on one service during one epoch of its scheduler.

    Args:
        service: The service.
        scheduler_state: The known jobs, workers and runs.
        team_of: Returns a team by its name as the configuration has it now; ``None`` if it has none
            of the name, so that no limit holds.
    """

    __slots__ = ("_records", "_scheduler_state", "_service", "_team_of", "is_synced")

    def __init__(
        self,
        *,
        service: str,
        scheduler_state: SchedulerState,
        team_of: Callable[[str], Team | None],
    ) -> None:
        self._service = service
        self._scheduler_state = scheduler_state
        self._team_of = team_of
        self._records: dict[str, _TeamRecord] = {}
        self.is_synced = False
        """Whether all records were read, so that a missing one means that no share is granted."""

    # ---- records

    def apply_record(self, team: str, value: bytes, revision: int) -> None:
        """Take over a team's record as the store has it.

        Raises:
            ValueError: The record can't be decoded.
        """
        record = self._records.setdefault(team, _TeamRecord())
        if revision <= record.revision:
            return
        record.shares = _decode(value)
        record.revision = revision
        # A write that requires an earlier revision can't be carried out any more.
        record.pending = [row for row in record.pending if row[0] >= revision]
        if record.inherited is None:
            record.inherited = self._own(record).granted

    def note_sent(self, write: ShareWrite, now_s: float) -> None:
        """Record that a change of a share is sent; until its outcome is known, both may hold."""
        record = self._records[write.team]
        record.pending.append((write.revision, write.share.granted))
        record.written_s = now_s
        if record.inherited is None:
            record.inherited = NOTHING

    def note_refused(self, write: ShareWrite) -> None:
        """Record that a change of a share certainly was not carried out."""
        pending = self._records[write.team].pending
        if (write.revision, write.share.granted) in pending:
            pending.remove((write.revision, write.share.granted))

    def _own(self, record: _TeamRecord) -> TeamShare:
        return record.shares.get(self._service, TeamShare())

    def _others(self, record: _TeamRecord) -> list[TeamShare]:
        return [share for service, share in record.shares.items() if service != self._service]

    # ---- starts

    def rooms(self) -> TeamRooms:
        """Return what each team with a limit may still start."""
        teams = self._limited_teams()
        if not teams:
            return TeamRooms()
        used = self._used(teams)
        return TeamRooms({name: self._room(team, used[name]) for name, team in teams.items()})

    def _room(self, team: Team, used: Resources) -> Resources:
        granted = self._granted(team)
        return Resources(
            *(
                may - has if most else UNLIMITED
                for most, may, has in zip(team.limit, granted, used, strict=True)
            )
        )

    def _granted(self, team: Team) -> Resources:
        """Return what certainly is this service's share.

        After a limit was lowered, the shares may add up to more until each service has given up
        its part. Only what the others leave of the new limit counts meanwhile.
        """
        record = self._records.get(team.name)
        if record is None or not self.is_synced:
            return NOTHING
        granted = self._own(record).granted
        for _, pending in record.pending:
            granted = granted.at_most(pending)
        others = self._others(record)
        if _are_short(team, others):
            # The part that is to be given up becomes free as tasks end.
            granted = granted.at_most(_fair_share(team.limit, self._own(record).wanted, others))
        return granted.at_most(team.limit.minus(_total(share.granted for share in others)))

    def _limited_teams(self) -> dict[str, Team]:
        names = {tracked.job.team for tracked in self._scheduler_state.tracked_jobs.values()}
        names.update(self._records)
        teams = (self._team_of(name) for name in names if name)
        return {team.name: team for team in teams if team is not None and any(team.limit)}

    def _used(self, teams: Iterable[str]) -> dict[str, Resources]:
        """Return what may run for each team on this service.

        Until all workers of earlier epochs have answered, all that an earlier scheduler may have
        started counts as running: its whole share.
        """
        state = self._scheduler_state
        adopted = dict.fromkeys(teams, NOTHING)
        started = dict.fromkeys(teams, NOTHING)
        for worker in state.workers.values():
            for run in worker.runs.values():
                if run.team in started:
                    sums = started if state.has_started(run) else adopted
                    sums[run.team] = sums[run.team].plus(Resources.of(run.step))
        if state.pending_recovery:
            for name in adopted:
                record = self._records.get(name)
                if record is not None and record.inherited is not None:
                    adopted[name] = adopted[name].at_least(record.inherited)
        return {name: adopted[name].plus(started[name]) for name in adopted}

    # ---- shares

    def due_writes(self, now_s: float) -> list[ShareWrite]:
        """Return the changes of shares that are due, at most one a team."""
        teams = self._limited_teams() if self.is_synced else {}
        if not teams:
            return []
        used = self._used(teams)
        wanted = self._wanted(teams, used)
        writes = []
        for name, team in teams.items():
            record = self._records.setdefault(name, _TeamRecord())
            write = self._due_write(team, record, used[name], wanted[name], now_s)
            if write is not None:
                writes.append(write)
        return writes

    def _wanted(self, teams: Iterable[str], used: dict[str, Resources]) -> dict[str, Resources]:
        """Return what each team would use here: what runs, and what waits and finds room soon."""
        state = self._scheduler_state
        waiting = dict.fromkeys(teams, NOTHING)
        for tracked in state.tracked_jobs.values():
            if tracked.job.team in waiting:
                demand = _total(
                    Resources.of(step.step, len(step.waiting)) for step in tracked.steps.values()
                )
                waiting[tracked.job.team] = waiting[tracked.job.team].plus(demand)
        free = _total(
            Resources(
                worker.view.cpu_millicores - worker.cpu_used,
                worker.view.memory_mb - worker.memory_used,
                worker.view.gpus - worker.gpus_used,
            ).at_least(NOTHING)
            for worker in state.workers.values()
            if worker.is_listed and not worker.view.is_draining
        )
        return {
            name: used[name].plus(
                demand.at_most(free.plus(Resources(*(int(n * CHURN_RATIO) for n in used[name]))))
            )
            for name, demand in waiting.items()
        }

    def _due_write(
        self, team: Team, record: _TeamRecord, used: Resources, wanted: Resources, now_s: float
    ) -> ShareWrite | None:
        own, others = self._own(record), self._others(record)
        wanted = wanted.at_most(team.limit.at_least(used))
        target = _target(team.limit, used=used, wanted=wanted, others=others)
        is_short = _exceeds(team, wanted, own.granted)
        may_grow = is_short and _exceeds(team, target, own.granted)
        must_signal = is_short and _exceeds(team, wanted, own.wanted, SIGNAL_RATIO)
        is_over = _exceeds(team, own.granted, target)
        must_yield = is_over and _are_short(team, others)
        must_tidy = _exceeds(team, own.wanted, wanted, TIDY_RATIO)
        age_s = now_s - record.written_s
        if not (
            may_grow
            or ((must_signal or must_yield) and age_s >= YIELD_INTERVAL_S)
            or (must_tidy and age_s >= TIDY_INTERVAL_S)
        ):
            return None
        # A share that its service no longer wants is kept until another service is short.
        granted = target if may_grow or must_yield else own.granted
        share = TeamShare(granted=granted, wanted=wanted)
        if share == own:
            return None
        return ShareWrite(
            team=team.name,
            share=share,
            revision=record.revision,
            value=_encode(record.shares | {self._service: share}),
        )

    def fields(self) -> list[dict[str, object]]:
        """Return the teams that use or want something here, as fields of a log line."""
        teams = self._limited_teams()
        used = self._used(teams)
        wanted = self._wanted(teams, used)
        return [
            {
                "team": name,
                "limit": list(team.limit),
                "granted": list(self._granted(team)),
                "used": list(used[name]),
                "wanted": list(wanted[name]),
            }
            for name, team in teams.items()
            if any(wanted[name])
        ]


def _target(
    limit: Resources, *, used: Resources, wanted: Resources, others: list[TeamShare]
) -> Resources:
    """Return the share that a service should have: at most what the others leave, or what runs."""
    left = limit.minus(_total(share.granted for share in others))
    return _fair_share(limit, wanted, others).at_most(left).at_least(used)


def _fair_share(limit: Resources, wanted: Resources, others: list[TeamShare]) -> Resources:
    """Return a service's part of the limit.

    If all wants fit into the limit, each service has what it wants and a part of the rest.
    Otherwise the limit is divided in proportion to the wants.
    """
    others_wanted = _total(share.wanted for share in others)
    amounts = []
    for most, want, others_want in zip(limit, wanted, others_wanted, strict=True):
        total = want + others_want
        if total <= most:
            amounts.append(want + int((most - total) * SPARE_RATIO / (len(others) + 1)))
        else:
            amounts.append(most * want // total)
    return Resources(*amounts)


def _exceeds(team: Team, left: Resources, right: Resources, ratio: float = 0.0) -> bool:
    """Whether an amount exceeds another by more than a part of the limit, if there is one."""
    return any(
        most and mine - its > most * ratio
        for mine, its, most in zip(left, right, team.limit, strict=True)
    )


def _are_short(team: Team, shares: list[TeamShare]) -> bool:
    return any(_exceeds(team, share.wanted, share.granted) for share in shares)


def _total(amounts: Iterable[Resources]) -> Resources:
    total = NOTHING
    for amount in amounts:
        total = total.plus(amount)
    return total


def _encode(shares: dict[str, TeamShare]) -> bytes:
    rows = {service: [share.granted, share.wanted] for service, share in sorted(shares.items())}
    return json.dumps(rows, separators=(",", ":")).encode()


def _decode(value: bytes) -> dict[str, TeamShare]:
    try:
        return {
            str(service): TeamShare(Resources(*row[0]), Resources(*row[1]))
            for service, row in json.loads(value).items()
        }
    except (AttributeError, LookupError, TypeError) as error:
        raise ValueError(f"team record can't be decoded: {error!r}") from error
