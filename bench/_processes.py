"""Starts and ends the processes that a measurement needs; each ends when its input is closed."""

from __future__ import annotations

import contextlib
import json
import subprocess
import sys
from collections.abc import Iterator

from bench._load import LoadResult

__all__ = ["load", "process", "serving"]

END_TIMEOUT_S = 20


@contextlib.contextmanager
def process(*arguments: str) -> Iterator[tuple[int, int]]:
    """Run ``python -m ARGUMENTS`` and give its process id and the port that it prints first."""
    with subprocess.Popen(
        [sys.executable, "-m", *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as started:
        assert started.stdin is not None
        assert started.stdout is not None
        try:
            yield started.pid, int(started.stdout.readline())
        finally:
            started.stdin.close()
            started.wait(timeout=END_TIMEOUT_S)


@contextlib.contextmanager
def serving(*arguments: str) -> Iterator[int]:
    """Run ``python -m ARGUMENTS`` and give the port that it prints first."""
    with process(*arguments) as (_, port):
        yield port


def load(*, port: int, callers: int, seconds: float) -> LoadResult:
    """Drive one load from a process of its own, so that it shares no interpreter."""
    arguments = [sys.executable, "-m", "bench._load", str(port), str(callers), str(seconds)]
    done = subprocess.run(arguments, check=True, capture_output=True, text=True)
    return LoadResult(**json.loads(done.stdout))
