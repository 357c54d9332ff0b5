"""One JSON object a line, written by a task of its own from a bounded buffer.

absl's logging writes in the calling thread and blocks on a full pipe; lines that explain a failed
request come at hundreds a second, so they have a buffer. Faults of the program still go to absl.
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
"""Lines that wait to be written: about 1 MB, 10 s of the heaviest load measured."""
MAX_UNWRITTEN_BYTES = 1_000_000
"""Bytes handed to a reader that does not take them; the buffer of lines fills behind them."""
FLUSH_INTERVAL_S = 0.1
STANDARD_OUTPUT_FD = 1


class StructuredLog:
    """Writes structured lines; when the reader is too slow, lines are dropped and counted.

    Args:
        process: Name of the process, on each line.
        write: Takes bytes and returns how many it took; raises `BlockingIOError` when full.
    """

    __slots__ = ("_dropped", "_lines", "_process", "_unwritten", "_write")

    def __init__(self, *, process: str, write: Callable[[bytes], int] | None = None) -> None:
        self._process = process
        self._write = write or _to_standard_output
        self._lines: deque[str] = deque()
        self._unwritten = b""
        self._dropped = 0

    def line(self, event: str, **fields: object) -> None:
        """Write one line.

        Args:
            event: What was decided or learnt, in lower case words joined by hyphens.
            fields: Ids, inputs, their age or version, and the outcome.
        """
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        record = {"at_s": round(time.time(), 4), "process": self._process, "event": event, **fields}
        self._lines.append(dump_json(record).decode())

    async def run(self) -> None:
        """Write what was logged, until cancelled; call `flush` once more afterwards."""
        if self._write is _to_standard_output:
            os.set_blocking(STANDARD_OUTPUT_FD, False)
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes without waiting."""
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
