"""Text and times from elsewhere, safe to print."""

from __future__ import annotations

from datetime import UTC, datetime

__all__ = ["one_line", "format_time"]


def one_line(text: str) -> str:
    """Return text without what would break a line or drive the reader's terminal.

    Names and reasons come from other machines, which may hold control characters.
    """
    return "".join(character if character.isprintable() else "?" for character in text)


def format_time(at_s: float) -> str:
    """Return a Unix time for people, in UTC."""
    return datetime.fromtimestamp(at_s, UTC).strftime("%Y-%m-%d %H:%M:%S")
