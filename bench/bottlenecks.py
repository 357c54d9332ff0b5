"""Finds the bottlenecks of a simulated day in the logs of all its processes.

``python -m bench.bottlenecks FILE`` reads the output of a simulated day, which contains these logs.
For each service and second it prints the machines, the waiting work, and the machines that were
requested, ordered and about to arrive; then for each service how long its jobs waited and which of
their runs didn't succeed; then for each team what it sent, how much of it was beyond its weight,
and how long its jobs waited.
"""

from __future__ import annotations

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

__all__ = ["DayLog", "Event", "print_day", "read_events"]

MACHINE_ARRIVAL_S = 2.2
"""Approximate time from the order of a machine until it is listed as a worker."""
STATE_FIELDS = (
    "workers",
    "with_lasting",
    "idle",
    "cores",
    "cores_used",
    "waiting_core_s",
    "tasks_hopeless",
    "unseen_workers",
)
HEADINGS = (
    "second",
    "workers",
    "lasting",
    "idle",
    "cores",
    "used",
    "wait core-s",
    "hopeless",
    "unseen",
    "accepted",
    "lacking",
    "offered",
    "in",
    "out",
    "coming",
    "holder",
    "binds",
)
SCHEDULER_LEASE_PREFIX = "shallotworks/duty/scheduler/"
MIN_COUNTED_WAIT_S = 0.5
"""A job counts as one that waited if its first task started later than this after acceptance."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One line of a process's log.

    Args:
        at_s: Time since the start of traffic.
        process: Name of the process that logged it.
        name: Name of the event.
        fields: All fields of the line, including the name.
    """

    at_s: float
    process: str
    name: str
    fields: dict[str, Any]


def read_events(lines: Iterable[str]) -> Iterator[Event]:
    """Yield the events in the output of a simulated day; skip lines without a valid event."""
    for line in lines:
        head, brace, body = line.partition("{")
        words = head.split()
        if not brace or len(words) != 2:
            continue
        try:
            at_s = float(words[0])
            fields = json.loads(brace + body)
        except ValueError:
            continue
        name = fields.get("event")
        if isinstance(name, str):
            yield Event(at_s=at_s, process=words[1], name=name, fields=fields)


@dataclass(slots=True, kw_only=True)
class JobTimes:
    """Times of one job, in seconds since the start of traffic.

    Args:
        service: Service whose scheduler started it; empty if unknown.
        team: Team that sent it; empty for none.
        accepted_s: Time of its first acceptance.
        started_s: Time of the first start of a task.
        unsuccessful_ends: Number of runs that ended other than done, by the kind of end.
    """

    service: str = ""
    team: str = ""
    accepted_s: float | None = None
    started_s: float | None = None
    unsuccessful_ends: Counter[str] = field(default_factory=Counter)

    @property
    def wait_s(self) -> float | None:
        """Time from acceptance to the first start; ``None`` if there was none."""
        if self.started_s is None or self.accepted_s is None:
            return None
        return self.started_s - self.accepted_s


class DayLog:
    """Collects the events of a simulated day.

    Args:
        events: The events in order of time.
    """

    __slots__ = (
        "_beyond",
        "_floods",
        "_lease_suspensions",
        "_saturated",
        "_services",
        "_states",
        "demands",
        "epochs",
        "jobs",
        "moves",
    )

    def __init__(self, *, events: Iterable[Event]) -> None:
        self._services: dict[int, str] = {}
        self._states: dict[tuple[str, int], Event] = {}
        self.demands: dict[tuple[str, int], tuple[int, int]] = {}
        """The largest numbers of machines that a service lacked and offered, by second."""
        self.moves: list[tuple[float, str, str]] = []
        """Time, old pool and new pool of each move of a machine."""
        self.epochs: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.jobs: dict[str, JobTimes] = defaultdict(JobTimes)
        self._beyond: Counter[str] = Counter()
        """Jobs beyond its weight in floods that have ended, by team."""
        self._floods: dict[tuple[str, str], int] = {}
        """Jobs beyond the weight at the beginning of floods that go on, by service and team."""
        self._lease_suspensions: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        """For each lease key the times at which it was suspended (true) or no longer so (false)."""
        self._saturated: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        """For each process the times at which it was saturated (true) or relieved (false)."""
        readers = {
            "pool-state": self._read_state,
            "demand-published": self._read_demand,
            "machine-ordered": self._read_order,
            "epoch-begun": self._read_epoch,
            "job-submit": self._read_submit,
            "run-started": self._read_start,
            "run-ended": self._read_end,
            "team-over-weight": self._read_over_weight,
            "team-within-weight": self._read_within_weight,
            "duty-rests": self._read_lease_suspension,
            "duty-resumed": self._read_lease_suspension,
            "lease-lost": self._read_lease_suspension,
            "process-saturated": self._read_load,
            "process-relieved": self._read_load,
        }
        for event in events:
            reader = readers.get(event.name)
            if reader is not None:
                reader(event)

    @property
    def services(self) -> list[str]:
        """All services for which a scheduler logged the state of its pool."""
        return sorted({service for service, _ in self._states})

    def _read_state(self, event: Event) -> None:
        self._states[(event.fields["service"], int(event.at_s // 1))] = event

    def _read_demand(self, event: Event) -> None:
        key = (event.fields["service"], int(event.at_s // 1))
        lacking, free = self.demands.get(key, (0, 0))
        fields = event.fields
        self.demands[key] = (max(lacking, fields["lacking"]), max(free, fields["free"]))

    def _read_order(self, event: Event) -> None:
        if event.fields["order"] == "move" and event.fields["outcome"] == "obeyed":
            self.moves.append((event.at_s, event.fields["pool"], event.fields["to"]))

    def _read_epoch(self, event: Event) -> None:
        self._services[event.fields["token"]] = event.fields["service"]
        self.epochs[event.fields["service"]].append((event.at_s, event.process))

    def _read_submit(self, event: Event) -> None:
        job = self.jobs[event.fields["id"]]
        if event.fields["outcome"] == "accepted" and job.accepted_s is None:
            job.accepted_s = event.at_s
            job.team = event.fields.get("team", "")

    def _read_start(self, event: Event) -> None:
        job = self.jobs[event.fields["id"]]
        job.service = self._services.get(event.fields["token"], "")
        if job.started_s is None and event.fields["outcome"] == "obeyed":
            job.started_s = event.at_s

    def _read_end(self, event: Event) -> None:
        if event.fields["how"] != "done":
            self.jobs[event.fields["id"]].unsuccessful_ends[event.fields["how"]] += 1

    def _read_over_weight(self, event: Event) -> None:
        key = (event.fields["service"], event.fields["team"])
        self._floods[key] = event.fields["beyond"]

    def _read_within_weight(self, event: Event) -> None:
        self._floods.pop((event.fields["service"], event.fields["team"]), None)
        self._beyond[event.fields["team"]] += event.fields["beyond"]

    def beyond_weight(self, team: str) -> int:
        """Return how many jobs of a team were beyond its weight, as far as it was logged."""
        open_floods = (jobs for (_, name), jobs in self._floods.items() if name == team)
        return self._beyond[team] + sum(open_floods)

    def _read_lease_suspension(self, event: Event) -> None:
        key = event.fields["key"]
        self._lease_suspensions[key].append((event.at_s, event.name == "duty-rests"))

    def _read_load(self, event: Event) -> None:
        self._saturated[event.process].append((event.at_s, event.name == "process-saturated"))

    def rows(self, service: str) -> Iterator[tuple[object, ...]]:
        """Yield a row for each second of a service, with the columns of `HEADINGS`."""
        seconds = sorted(second for name, second in self._states if name == service)
        accepted = Counter(
            int(job.accepted_s // 1)
            for job in self.jobs.values()
            if job.service == service and job.accepted_s is not None
        )
        for second in seconds:
            state = self._states[(service, second)].fields
            lacking, offered = self.demands.get((service, second), ("", ""))
            within = [row for row in self.moves if second <= row[0] < second + 1]
            arriving = sum(
                1
                for at_s, _, target in self.moves
                if target == service and at_s < second + 1 <= at_s + MACHINE_ARRIVAL_S
            )
            yield (
                second,
                *(state[name] for name in STATE_FIELDS),
                accepted[second] or "",
                lacking,
                offered,
                sum(1 for row in within if row[2] == service) or "",
                sum(1 for row in within if row[1] == service) or "",
                arriving or "",
                self._holder_process(service, second + 1),
                self._bottleneck(service, second),
            )

    def _bottleneck(self, service: str, second: int) -> str:
        """Return what kept a service's tasks waiting in a second; empty if nothing did.

        The causes take precedence in this order, whatever demand for machines was logged: "store"
        if the lease of the scheduler is suspended, "recovery" if it can't yet act on tasks of
        earlier jobs, "dispatch" if its process is saturated.
        """
        if _last_state(self._lease_suspensions[SCHEDULER_LEASE_PREFIX + service], second + 1):
            return "store"
        if self._states[(service, second)].fields.get("tasks_recovering", 0):
            return "recovery"
        if _last_state(self._saturated[self._holder_process(service, second + 1)], second + 1):
            return "dispatch"
        lacking, _ = self.demands.get((service, second), (0, 0))
        return "machines" if lacking else ""

    def _holder_process(self, service: str, at_s: float) -> str:
        before = [process for begun_s, process in self.epochs[service] if begun_s < at_s]
        return before[-1] if before else ""

    def machine_seconds(self, service: str) -> dict[str, int]:
        """Return a service's machine-seconds: all, idle ones, and ones with lasting tasks."""
        states = [event.fields for (name, _), event in self._states.items() if name == service]
        return {
            name: sum(state[name] for state in states)
            for name in ("workers", "idle", "with_lasting")
        }


def _last_state(changes: list[tuple[float, bool]], at_s: float) -> bool:
    """Return the last state before a time; false if there is none."""
    return next((state for began_s, state in reversed(changes) if began_s < at_s), False)


def print_day(log: DayLog, out: TextIO) -> None:
    """Print the tables of a day: the seconds of each service, then its jobs, then the teams."""
    for service in log.services:
        _print_service(log, service, out)
    _print_jobs(log, out)
    _print_teams(log, out)


def _print_service(log: DayLog, service: str, out: TextIO) -> None:
    seconds = log.machine_seconds(service)
    moves_in = sum(1 for _, _, target in log.moves if target == service)
    print(f"\n{service}: machine-seconds {seconds}, moved in {moves_in}", file=out)
    print("".join(f"{name:>12}" for name in HEADINGS), file=out)
    for row in log.rows(service):
        print("".join(f"{value!s:>12}" for value in row), file=out)


def _print_jobs(log: DayLog, out: TextIO) -> None:
    print("\njobs by service: accepted, waited, runs that did not end with done", file=out)
    by_service: dict[str, list[JobTimes]] = defaultdict(list)
    for job in log.jobs.values():
        if job.accepted_s is not None:
            by_service[job.service].append(job)
    for service, jobs in sorted(by_service.items()):
        waits_s = [job.wait_s for job in jobs if job.wait_s is not None]
        waited = [wait_s for wait_s in waits_s if wait_s > MIN_COUNTED_WAIT_S]
        ends: Counter[str] = Counter()
        for job in jobs:
            ends.update(job.unsuccessful_ends)
        print(
            f"{service or '(never started)'}: {len(jobs)} jobs, {len(waited)} waited "
            f"{sum(waited):.0f} s, longest {max(waits_s, default=0):.1f} s, {dict(ends)}",
            file=out,
        )


def _print_teams(log: DayLog, out: TextIO) -> None:
    by_team: dict[str, list[JobTimes]] = defaultdict(list)
    for job in log.jobs.values():
        if job.accepted_s is not None and job.team:
            by_team[job.team].append(job)
    if not by_team:
        return
    print("\nteams:", file=out)
    for team, jobs in sorted(by_team.items(), key=lambda row: -len(row[1])):
        waits_s = [job.wait_s for job in jobs if job.wait_s is not None]
        waited = [wait_s for wait_s in waits_s if wait_s > MIN_COUNTED_WAIT_S]
        print(
            f"{team}: {len(jobs)} sent, {log.beyond_weight(team)} beyond weight, "
            f"{len(waited)} waited {sum(waited):.0f} s, longest {max(waits_s, default=0):.1f} s, "
            f"{len(jobs) - len(waits_s)} never started",
            file=out,
        )


def main(paths: Sequence[str] = ()) -> None:
    """Print the tables of each file, or the usage if there is none."""
    if not paths:
        print("usage: python -m bench.bottlenecks FILE, the output of a simulated day")
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            log = DayLog(events=read_events(lines))
        print(path)
        print_day(log, sys.stdout)


if __name__ == "__main__":
    main(sys.argv[1:])
