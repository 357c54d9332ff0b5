"""Formats the timeline in the Chrome trace-event format, for a trace viewer."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from ._events import Event, Subject

__all__ = ["to_chrome_trace"]

MICROSECONDS_PER_S = 1_000_000
LANES = ("process", "requests", "plans", "instances")


@dataclass(frozen=True, slots=True, kw_only=True)
class _TraceEvent:
    """One event of the trace-event format.

    Args:
        ph: Phase: ``i`` for an instant, ``b`` and ``e`` for the begin and end of a span, ``M`` for
            metadata that names a process or lane.
        name: Label of the event.
        cat: Category; together with the id it pairs the begin and end of a span.
        ts: Time in microseconds.
        pid: Number of the process.
        tid: Number of the lane within the process.
        id: Pairs the begin and end of a span; empty for other events.
        s: Scope of an instant; ``t`` limits it to its lane.
        args: Details that the viewer shows when the event is selected.
    """

    ph: Literal["i", "b", "e", "M"]
    name: str
    cat: str = "shallotworks"
    ts: float = 0.0
    pid: int
    tid: int = 0
    id: str = ""
    s: Literal["t"] = "t"
    args: dict[str, str | int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Trace:
    """A complete trace file."""

    trace_events: Annotated[tuple[_TraceEvent, ...], Field(serialization_alias="traceEvents")]
    display_time_unit: Annotated[str, Field(serialization_alias="displayTimeUnit")] = "ms"


def to_chrome_trace(events: Iterable[Event]) -> bytes:
    """Return the events as a JSON file in the trace-event format.

    Each process becomes a process in the viewer, with lanes for the process itself, requests,
    plans and instances. An event with a duration becomes a span that ends at the time when the
    event was recorded. Spans are of the asynchronous kind, because requests overlap.
    """
    events = tuple(events)
    numbers = {name: index for index, name in enumerate(sorted({e.process for e in events}), 1)}
    entries: list[_TraceEvent] = []
    for process, pid in numbers.items():
        entries.extend(_name_events(process, pid))
    for event in events:
        entries.extend(_trace_events(event, pid=numbers[event.process]))
    return _TRACE_ADAPTER.dump_json(_Trace(trace_events=tuple(entries)), by_alias=True)


def _name_events(process: str, pid: int) -> Iterator[_TraceEvent]:
    yield _TraceEvent(ph="M", name="process_name", pid=pid, args={"name": process})
    for tid, lane in enumerate(LANES):
        yield _TraceEvent(ph="M", name="thread_name", pid=pid, tid=tid, args={"name": lane})


def _trace_events(event: Event, *, pid: int) -> Iterator[_TraceEvent]:
    end = event.at_s * MICROSECONDS_PER_S
    tid = LANES.index(_lane(event.subject))
    args = _event_args(event)
    if not event.duration_s:
        yield _TraceEvent(ph="i", name=event.kind.value, ts=end, pid=pid, tid=tid, args=args)
        return
    begin = end - event.duration_s * MICROSECONDS_PER_S
    span = f"{event.process}/{event.sequence}"
    for phase, at in (("b", begin), ("e", end)):
        yield _TraceEvent(
            ph="b" if phase == "b" else "e",
            name=event.kind.value,
            ts=at,
            pid=pid,
            tid=tid,
            id=span,
            args=args,
        )


def _lane(subject: Subject) -> str:
    if subject.request:
        return "requests"
    if subject.plan:
        return "plans"
    if subject.instance:
        return "instances"
    return "process"


def _event_args(event: Event) -> dict[str, str | int]:
    subject = event.subject
    named: dict[str, str | int] = {
        "sequence": event.sequence,
        "request": subject.request,
        "plan": subject.plan,
        "instance": subject.instance,
        "service": subject.service,
        "detail": event.detail,
    }
    return {name: value for name, value in named.items() if value != ""}


_TRACE_ADAPTER = TypeAdapter(_Trace)
