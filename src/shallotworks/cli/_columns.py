"""Rows of text in columns, safe to print."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from datetime import UTC, datetime

__all__ = ["in_columns", "one_line", "time_told"]


def in_columns(headings: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> Iterator[str]:
    """Return a line of headings and one line for each row."""
    lines = [headings, *(tuple(one_line(cell) for cell in row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        yield "  ".join(cells).rstrip()


def one_line(text: str) -> str:
    """Return text without what would break a line or drive the reader's terminal.

    Names and reasons come from other machines, which may hold control characters.
    """
    return "".join(character if character.isprintable() else "?" for character in text)


def time_told(at_s: float) -> str:
    """Return a Unix time for people, in UTC."""
    return datetime.fromtimestamp(at_s, UTC).strftime("%Y-%m-%d %H:%M:%S")
