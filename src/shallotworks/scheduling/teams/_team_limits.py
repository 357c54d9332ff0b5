"""Keeps what a team's tasks use over all services within the team's limit; no network calls.

Each team has one record with a share of its limit for each service. The shares add up to the limit
at most. A scheduler changes its own service's share only, by compare-and-swap on the whole record,
and starts a task only if everything that may run for the team on its service fits into the share.
So no start waits for the store, a scheduler that can't reach the store goes on with the share that
it has, and a successor inherits the share together with the tasks that may still run on it.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from shallotworks.jobs import Resources, Team

from ._share_claims import ShareClaim, ShareClaims
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
        wanted: What they would use there now, without tasks that the service's part can't hold.
        claim: What one of those tasks needs.
    """

    granted: Resources = NOTHING
    wanted: Resources = NOTHING
    claim: ShareClaim | None = None


class _Usage(NamedTuple):
    """What may run for a team on this service, and how much of that doesn't end by itself."""

    used: Resources = NOTHING
    lasting: Resources = NOTHING


class _Demand(NamedTuple):
    """Waiting tasks that start alike.

    Args:
        start: What the fewest of them that may start request.
        total: What all of them request.
    """

    start: Resources
    total: Resources


class _Want(NamedTuple):
    """What a team would use on this service now, and the share with which a wide task fits."""

    wanted: Resources
    needed: Resources | None


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

    __slots__ = ("claims", "first", "inherited", "pending", "revision", "shares", "written_s")

    def __init__(self) -> None:
        self.shares: dict[str, TeamShare] = {}
        self.revision = 0
        self.pending: list[tuple[int, Resources]] = []
        """Revision that a write requires, and the share that it grants."""
        self.inherited: Resources | None = None
        """The service's share when this epoch first read the record."""
        self.written_s = -1e9
        self.claims = ShareClaims()
        self.first: tuple[str, ShareClaim] | None = None
        """The claim that was to be granted at the last review, and its service."""


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

    def _others(self, record: _TeamRecord) -> dict[str, TeamShare]:
        return {name: share for name, share in record.shares.items() if name != self._service}

    # ---- starts

    def rooms(self) -> TeamRooms:
        """Return what each team with a limit may still start."""
        teams = self._limited_teams()
        if not teams:
            return TeamRooms()
        usage = self._usage(teams)
        return TeamRooms({name: self._room(team, usage[name].used) for name, team in teams.items()})

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
        if self._are_others_short(team, record):
            # The part that is to be given up becomes free as tasks end.
            granted = granted.at_most(self._part(team, record, self._own(record).wanted))
        others = self._others(record).values()
        return granted.at_most(team.limit.minus(_total(share.granted for share in others)))

    def _are_others_short(self, team: Team, record: _TeamRecord) -> bool:
        """Whether another service wants more than it has, or has a claim that isn't met."""
        if any(_exceeds(team, one.wanted, one.granted) for one in self._others(record).values()):
            return True
        if record.first is None or record.first[0] == self._service:
            return False
        name, claim = record.first
        return _exceeds(team, claim.needed, record.shares.get(name, TeamShare()).granted)

    def _part(self, team: Team, record: _TeamRecord, wanted: Resources) -> Resources:
        """Return this service's part of the limit, beside the claim that is to be granted."""
        others = self._others(record)
        if record.first is None:
            return _fair_share(team.limit, wanted, others.values())
        name, claim = record.first
        if name == self._service:
            return claim.needed.at_least(_fair_share(team.limit, wanted, others.values()))
        others.pop(name, None)
        left = team.limit.minus(claim.needed).at_least(NOTHING)
        return _fair_share(left, wanted, others.values())

    def _limited_teams(self) -> dict[str, Team]:
        names = {tracked.job.team for tracked in self._scheduler_state.tracked_jobs.values()}
        names.update(self._records)
        teams = (self._team_of(name) for name in names if name)
        return {team.name: team for team in teams if team is not None and any(team.limit)}

    def _usage(self, teams: Iterable[str]) -> dict[str, _Usage]:
        """Return what may run for each team on this service.

        Until all workers of earlier epochs have answered, all that an earlier scheduler may have
        started counts as running: its whole share.
        """
        state = self._scheduler_state
        adopted = dict.fromkeys(teams, NOTHING)
        started = dict.fromkeys(teams, NOTHING)
        lasting = dict.fromkeys(teams, NOTHING)
        for worker in state.workers.values():
            for run in worker.runs.values():
                if run.team in started:
                    sums = started if state.has_started(run) else adopted
                    sums[run.team] = sums[run.team].plus(Resources.of(run.step))
                    if run.step.is_lasting:
                        lasting[run.team] = lasting[run.team].plus(Resources.of(run.step))
        if state.pending_recovery:
            for name in adopted:
                record = self._records.get(name)
                if record is not None and record.inherited is not None:
                    adopted[name] = adopted[name].at_least(record.inherited)
        return {name: _Usage(adopted[name].plus(started[name]), lasting[name]) for name in adopted}

    # ---- shares

    def due_writes(self, now_s: float) -> list[ShareWrite]:
        """Return the changes of shares that are due, at most one a team, the oldest share first."""
        teams = self._limited_teams() if self.is_synced else {}
        if not teams:
            return []
        usage = self._usage(teams)
        wants = self._wants(teams, usage)
        writes = []
        for name, team in sorted(teams.items(), key=lambda row: self._record(row[0]).written_s):
            write = self._due_write(team, self._record(name), usage[name].used, wants[name], now_s)
            if write is not None:
                writes.append(write)
        return writes

    def _record(self, team: str) -> _TeamRecord:
        return self._records.setdefault(team, _TeamRecord())

    def _wants(self, teams: dict[str, Team], usage: dict[str, _Usage]) -> dict[str, _Want]:
        """Return what each team would use here: what runs, and what waits and finds room soon."""
        state = self._scheduler_state
        demands: dict[str, dict[Resources, _Demand]] = {name: {} for name in teams}
        for tracked in state.tracked_jobs.values():
            if tracked.job.team in demands:
                by_start = demands[tracked.job.team]
                for step in tracked.steps.values():
                    if step.waiting:
                        start = Resources.of_smallest_start(step.step)
                        total = Resources.of(step.step, len(step.waiting))
                        before = by_start.get(start, _Demand(start, NOTHING))
                        by_start[start] = _Demand(start, before.total.plus(total))
        free = [
            Resources(
                worker.view.cpu_millicores - worker.cpu_used,
                worker.view.memory_mb - worker.memory_used,
                worker.view.gpus - worker.gpus_used,
            ).at_least(NOTHING)
            for worker in state.workers.values()
            if worker.is_listed and not worker.view.is_draining
        ]
        total_free = _total(free)
        return {
            name: self._want(team, usage[name], list(demands[name].values()), total_free)
            for name, team in teams.items()
        }

    def _want(self, team: Team, usage: _Usage, demands: list[_Demand], free: Resources) -> _Want:
        """Return a team's want, in which tasks that the resulting part can't hold don't count.

        What they would use can't be used, so that other services would be held back in vain.
        """
        others = self._others(self._record(team.name)).values()
        used = usage.used
        soon = free.plus(Resources(*(int(n * CHURN_RATIO) for n in used)))
        fitting, wide = demands, list[_Demand]()
        while True:
            demand = _total(one.total for one in fitting)
            wanted = used.plus(demand.at_most(soon)).at_most(team.limit.at_least(used))
            part = _fair_share(team.limit, wanted, others)
            tried, fitting = fitting, []
            for one in tried:
                is_wide = _exceeds(team, usage.lasting.plus(one.start), part)
                (wide if is_wide else fitting).append(one)
            if len(fitting) == len(tried):
                break
        needed = [
            used.plus(one.start)
            for one in wide
            if one.start.is_within(free) and not _exceeds(team, used.plus(one.start), team.limit)
        ]
        return _Want(wanted, min(needed, key=lambda one: _ratio(team, one), default=None))

    def _due_write(
        self, team: Team, record: _TeamRecord, used: Resources, want: _Want, now_s: float
    ) -> ShareWrite | None:
        own, others = self._own(record), self._others(record)
        wanted = want.wanted
        claim = record.claims.renew(want.needed, revision=record.revision, now_s=now_s)
        claims = {name: share.claim for name, share in others.items() if share.claim is not None}
        if claim is not None:
            claims[self._service] = claim
        record.first = record.claims.first(claims, service=self._service, now_s=now_s)
        part = self._part(team, record, wanted)
        target = _target(team.limit, part, used=used, others=others.values())
        is_first = record.first is not None and record.first[0] == self._service
        is_short = _exceeds(team, wanted, own.granted) or is_first
        may_grow = is_short and _exceeds(team, target, own.granted)
        must_signal = is_short and _exceeds(team, wanted, own.wanted, SIGNAL_RATIO)
        must_signal = must_signal or _is_news(team, claim, own.claim)
        is_over = _exceeds(team, own.granted, target)
        must_yield = is_over and self._are_others_short(team, record)
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
        share = TeamShare(granted=granted, wanted=wanted, claim=claim)
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
        usage = self._usage(teams)
        wants = self._wants(teams, usage)
        return [
            {
                "team": name,
                "limit": list(team.limit),
                "granted": list(self._granted(team)),
                "used": list(usage[name].used),
                "wanted": list(wants[name].wanted),
                "needed": wants[name].needed,
                "first_claim": self._record(name).first,
            }
            for name, team in teams.items()
            if any(wants[name].wanted) or wants[name].needed is not None
        ]


def _target(
    limit: Resources,
    part: Resources,
    *,
    used: Resources,
    others: Collection[TeamShare],
) -> Resources:
    """Return the share that a service should have: at most what the others leave, or what runs."""
    left = limit.minus(_total(share.granted for share in others))
    return part.at_most(left).at_least(used)


def _fair_share(limit: Resources, wanted: Resources, others: Collection[TeamShare]) -> Resources:
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


def _ratio(team: Team, amount: Resources) -> float:
    """Return the largest part of a limit that an amount takes."""
    return max(mine / most for mine, most in zip(amount, team.limit, strict=True) if most)


def _is_news(team: Team, claim: ShareClaim | None, published: ShareClaim | None) -> bool:
    """Whether other services have to know of a claim, or of its end."""
    if claim is None or published is None:
        return claim is not published
    return claim.since != published.since or _exceeds(team, claim.needed, published.needed)


def _total(amounts: Iterable[Resources]) -> Resources:
    total = NOTHING
    for amount in amounts:
        total = total.plus(amount)
    return total


def _encode(shares: dict[str, TeamShare]) -> bytes:
    rows = {
        service: [share.granted, share.wanted, *(share.claim or ())]
        for service, share in sorted(shares.items())
    }
    return json.dumps(rows, separators=(",", ":")).encode()


def _decode(value: bytes) -> dict[str, TeamShare]:
    try:
        return {
            str(service): TeamShare(Resources(*row[0]), Resources(*row[1]), _decode_claim(row))
            for service, row in json.loads(value).items()
        }
    except (AttributeError, LookupError, TypeError) as error:
        raise ValueError(f"team record can't be decoded: {error!r}") from error


def _decode_claim(row: list[Any]) -> ShareClaim | None:
    """Return the claim of a row, which earlier releases write without one."""
    return ShareClaim(Resources(*row[2]), int(row[3])) if len(row) > 3 else None
