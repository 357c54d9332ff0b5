"""Structured log lines on standard output, through a bounded buffer that never blocks."""

from ._structured_log import StructuredLog

__all__ = ["StructuredLog"]
