"""Formats the timeline as a table for people."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime

from ._events import Event, Subject

__all__ = ["to_text"]

HEADINGS = ("time (UTC)", "process", "event", "about", "took", "detail")
SHORT_DIGEST_CHARACTERS = 12
MILLISECONDS_PER_S = 1_000


def to_text(events: Iterable[Event]) -> str:
    """Return a table with a line of headings and one line for each event."""
    rows = [HEADINGS, *(_format_row(event) for event in events)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEADINGS))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )
    return "\n".join(lines) + "\n"


def _format_row(event: Event) -> tuple[str, ...]:
    return (
        _format_time(event.at_s),
        event.process,
        event.kind.value,
        _format_subject(event.subject),
        f"{event.duration_s * MILLISECONDS_PER_S:.1f} ms" if event.duration_s else "",
        _one_line(event.detail),
    )


def _format_time(at_s: float) -> str:
    moment = datetime.fromtimestamp(at_s, UTC)
    return moment.strftime("%m-%d %H:%M:%S.") + f"{moment.microsecond // 1_000:03}"


def _format_subject(subject: Subject) -> str:
    parts = (
        ("request", subject.request),
        ("plan", subject.plan[:SHORT_DIGEST_CHARACTERS]),
        ("instance", subject.instance),
        ("service", subject.service),
    )
    return " ".join(f"{name} {_one_line(value)}" for name, value in parts if value)


def _one_line(text: str) -> str:
    # Request ids and details come from other systems. A control character in them could break the
    # table or control the reader's terminal.
    return "".join(character if character.isprintable() else "?" for character in text)
