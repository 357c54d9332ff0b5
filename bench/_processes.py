"""Starts and ends the processes of a measurement; each ends when its standard input is closed."""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from bench._load import LoadResult

__all__ = ["Process", "load", "process", "serving"]

END_TIMEOUT_S = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Process:
    """A process that a measurement has started.

    Args:
        pid: Its process id.
        port: The port that it listens on.
    """

    pid: int
    port: int

    def processor_s(self) -> float:
        """Return the user and system time that all its threads have used so far."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Return its resident memory, or 0 if the kernel doesn't report it."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0


@contextlib.contextmanager
def process(*arguments: str) -> Iterator[Process]:
    """Run ``python -m ARGUMENTS``, which must print its port first, until the block ends."""
    with subprocess.Popen(
        [sys.executable, "-m", *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as started:
        assert started.stdin is not None
        assert started.stdout is not None
        try:
            yield Process(pid=started.pid, port=int(started.stdout.readline()))
        finally:
            started.stdin.close()
            started.wait(timeout=END_TIMEOUT_S)


@contextlib.contextmanager
def serving(*arguments: str) -> Iterator[int]:
    """Run ``python -m ARGUMENTS`` until the block ends; yield the port that it prints first."""
    with process(*arguments) as started:
        yield started.port


def load(*, port: int, callers: int, seconds: float) -> LoadResult:
    """Run the load generator in a separate process, so that it shares no interpreter lock."""
    arguments = [sys.executable, "-m", "bench._load", str(port), str(callers), str(seconds)]
    completed = subprocess.run(arguments, check=True, capture_output=True, text=True)
    return LoadResult(**json.loads(completed.stdout))
