"""Structured log lines on standard output, bounded and never waited for."""

from ._lines import LogLines

__all__ = ["LogLines"]
