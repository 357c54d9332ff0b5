"""Formats untrusted text and times for a terminal."""

from __future__ import annotations

from datetime import UTC, datetime

__all__ = ["one_line", "format_time"]


def one_line(text: str) -> str:
    """Return text with line breaks and terminal control characters replaced by question marks.

    Names and reasons come from other machines and may contain control characters.
    """
    return "".join(character if character.isprintable() else "?" for character in text)


def format_time(at_s: float) -> str:
    """Return a Unix time as a readable date and time in UTC."""
    return datetime.fromtimestamp(at_s, UTC).strftime("%Y-%m-%d %H:%M:%S")
