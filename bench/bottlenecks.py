"""What binds in a played day, told from the logs of all its processes.

Reads what a play printed with the logs of all processes, and prints for each service, second by
second, its machines and its waiting work, beside what was asked for, ordered and on its way; then
where the time of its jobs went, summed up over the day. ``python -m bench.bottlenecks FILE``.
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
"""A machine that was ordered is listed as a worker after about this long."""
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
"""A job whose first task started later than this after its acceptance counts as one that waited."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One line of a process's log.

    Args:
        at_s: Since the start of traffic.
        process: Who wrote it.
        name: Which kind of event.
        fields: All that it says.
    """

    at_s: float
    process: str
    name: str
    fields: dict[str, Any]


def read_events(lines: Iterable[str]) -> Iterator[Event]:
    """Yield the events of a play's output; lines that hold none are passed over."""
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
        service: Whose scheduler ran it.
        accepted_s: When it was first accepted.
        started_s: When its first task was started.
        unsuccessful_ends: Ends of runs other than done.
    """

    service: str = ""
    accepted_s: float | None = None
    started_s: float | None = None
    unsuccessful_ends: Counter[str] = field(default_factory=Counter)


class DayLog:
    """Gathers the events of a day.

    Args:
        events: The events, in order of time.
    """

    __slots__ = (
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
        """The most machines that a service lacked and offered in a second."""
        self.moves: list[tuple[float, str, str]] = []
        """Time, from which pool, to which."""
        self.epochs: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.jobs: dict[str, JobTimes] = defaultdict(JobTimes)
        self._lease_suspensions: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        """For each duty's key when it began to rest, and when it no longer did."""
        self._saturated: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        """For each process when it had no processor left, and when it had again."""
        readers = {
            "pool-state": self._read_state,
            "need-told": self._read_demand,
            "machine-ordered": self._read_order,
            "term-begun": self._read_epoch,
            "job-submit": self._read_submit,
            "run-started": self._read_start,
            "run-ended": self._read_end,
            "duty-rests": self._read_lease_suspension,
            "duty-resumed": self._read_lease_suspension,
            "duty-lost": self._read_lease_suspension,
            "process-saturated": self._read_load,
            "process-relieved": self._read_load,
        }
        for event in events:
            reader = readers.get(event.name)
            if reader is not None:
                reader(event)

    @property
    def services(self) -> list[str]:
        """All services that a scheduler spoke of."""
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

    def _read_start(self, event: Event) -> None:
        job = self.jobs[event.fields["id"]]
        job.service = self._services.get(event.fields["token"], "")
        if job.started_s is None and event.fields["outcome"] == "obeyed":
            job.started_s = event.at_s

    def _read_end(self, event: Event) -> None:
        if event.fields["how"] != "done":
            self.jobs[event.fields["id"]].unsuccessful_ends[event.fields["how"]] += 1

    def _read_lease_suspension(self, event: Event) -> None:
        key = event.fields["key"]
        self._lease_suspensions[key].append((event.at_s, event.name == "duty-rests"))

    def _read_load(self, event: Event) -> None:
        self._saturated[event.process].append((event.at_s, event.name == "process-saturated"))

    def rows(self, service: str) -> Iterator[tuple[object, ...]]:
        """Yield a row for each second of a service; see `HEADINGS`."""
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
        """Return what kept a service's tasks waiting in a second; empty where nothing did.

        A scheduler that may not act lacks the store, one that may not touch earlier jobs waits for
        recovery, one whose process is saturated lacks dispatch, whatever it says of its machines.
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
        """Return the seconds of its machines, idle ones and ones with lasting tasks."""
        states = [event.fields for (name, _), event in self._states.items() if name == service]
        return {
            name: sum(state[name] for state in states)
            for name in ("workers", "idle", "with_lasting")
        }


def _last_state(changes: list[tuple[float, bool]], at_s: float) -> bool:
    """Return the last state before a moment."""
    return next((state for began_s, state in reversed(changes) if began_s < at_s), False)


def print_day(log: DayLog, out: TextIO) -> None:
    """Print a day's tables: each service's seconds, then its jobs."""
    for service in log.services:
        _print_service(log, service, out)
    _print_jobs(log, out)


def _print_service(log: DayLog, service: str, out: TextIO) -> None:
    seconds = log.machine_seconds(service)
    moves_in = sum(1 for _, _, target in log.moves if target == service)
    print(f"\n{service}: machine-seconds {seconds}, moved in {moves_in}", file=out)
    print("".join(f"{name:>12}" for name in HEADINGS), file=out)
    for row in log.rows(service):
        print("".join(f"{value!s:>12}" for value in row), file=out)


def _print_jobs(log: DayLog, out: TextIO) -> None:
    print("\njobs by service: accepted, waited, runs that did not end well", file=out)
    by_service: dict[str, list[JobTimes]] = defaultdict(list)
    for job in log.jobs.values():
        if job.accepted_s is not None:
            by_service[job.service].append(job)
    for service, jobs in sorted(by_service.items()):
        waits_s = [
            job.started_s - job.accepted_s
            for job in jobs
            if job.started_s is not None and job.accepted_s is not None
        ]
        waited = [wait_s for wait_s in waits_s if wait_s > MIN_COUNTED_WAIT_S]
        ends: Counter[str] = Counter()
        for job in jobs:
            ends.update(job.unsuccessful_ends)
        print(
            f"{service or '(never started)'}: {len(jobs)} jobs, {len(waited)} waited "
            f"{sum(waited):.0f} s, longest {max(waits_s, default=0):.1f} s, {dict(ends)}",
            file=out,
        )


def main(paths: Sequence[str] = ()) -> None:
    """Print the tables of each file; without any, what to name."""
    if not paths:
        print("name the output of a played day: python -m bench.bottlenecks FILE")
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            log = DayLog(events=read_events(lines))
        print(path)
        print_day(log, sys.stdout)


if __name__ == "__main__":
    main(sys.argv[1:])
