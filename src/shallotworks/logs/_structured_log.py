"""A structured log: one JSON object per line, written by a task from a bounded buffer.

absl's logging writes in the calling thread and blocks on a full pipe. Lines that explain a failed
request occur hundreds of times a second, so they are buffered instead. Bugs of the program are
still logged through absl.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import deque
from collections.abc import Callable

from shallotworks.json_codec import dump_json

__all__ = ["StructuredLog"]

MAX_BUFFERED_LINES = 4_000
"""About 1 MB, or 10 s of log lines under the heaviest load."""
MAX_UNWRITTEN_BYTES = 1_000_000
"""Limit on bytes that the reader hasn't accepted yet. While it is reached, further lines stay in
the buffer of lines."""
FLUSH_INTERVAL_S = 0.1
STANDARD_OUTPUT_FD = 1


class StructuredLog:
    """Writes structured log lines; if the reader is too slow, lines are dropped and counted.

    Args:
        process: Name of the process, included in each line.
        write: Writes bytes and returns the number written; raises `BlockingIOError` if the reader
            accepts none.
    """

    __slots__ = ("_dropped", "_lines", "_process", "_unwritten", "_write")

    def __init__(self, *, process: str, write: Callable[[bytes], int] | None = None) -> None:
        self._process = process
        self._write = write or _to_standard_output
        self._lines: deque[str] = deque()
        self._unwritten = b""
        self._dropped = 0

    def line(self, event: str, **fields: object) -> None:
        """Append one line to the buffer.

        Args:
            event: Name of the event, in lower-case words joined by hyphens.
            fields: Ids, inputs with their age or version, and the outcome.
        """
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        record = {"at_s": round(time.time(), 4), "process": self._process, "event": event, **fields}
        self._lines.append(dump_json(record).decode())

    async def run(self) -> None:
        """Flush the buffer periodically until cancelled; call `flush` once more afterwards."""
        if self._write is _to_standard_output:
            os.set_blocking(STANDARD_OUTPUT_FD, False)
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write as much as the reader accepts without blocking."""
        if self._dropped and len(self._lines) < MAX_BUFFERED_LINES:
            dropped, self._dropped = self._dropped, 0
            self.line("log-lines-dropped", count=dropped)
        if self._lines and len(self._unwritten) < MAX_UNWRITTEN_BYTES:
            self._unwritten += ("\n".join(self._lines) + "\n").encode()
            self._lines.clear()
        while self._unwritten:
            try:
                written_bytes = self._write(self._unwritten)
            except BlockingIOError:
                return
            self._unwritten = self._unwritten[written_bytes:]


def _to_standard_output(data: bytes) -> int:
    return os.write(STANDARD_OUTPUT_FD, data)
