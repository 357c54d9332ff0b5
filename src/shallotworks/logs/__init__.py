"""Structured log lines on standard output, bounded and never waited for."""

from ._structured_log import StructuredLog

__all__ = ["StructuredLog"]
