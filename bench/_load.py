"""A closed-loop load generator: each thread sends one request after the other."""

from __future__ import annotations

import argparse
import json
import socket
import threading
import time
from dataclasses import asdict, dataclass

__all__ = ["LoadResult", "run_load"]


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadResult:
    """Result of one run of the load.

    Args:
        requests: Number of answers with status 200.
        errors: Number of requests without such an answer.
        per_s: Answers per second.
        p50_ms: Median latency.
        p99_ms: 99th percentile of the latency.
        longest_ms: Largest latency.
    """

    requests: int
    errors: int
    per_s: float
    p50_ms: float
    p99_ms: float
    longest_ms: float


def run_load(*, port: int, callers: int, seconds: float) -> LoadResult:
    """Send requests to a local port for a time, with one thread per caller.

    The callers use raw sockets to keep their own cost low.
    """
    request = (
        b"GET /empty HTTP/1.1\r\nHost: bench\r\nShallot-Service: bench\r\n"
        b"Shallot-Request-Id: x\r\nShallot-Attempt: 1\r\n\r\n"
    )
    stop_at_s = time.monotonic() + seconds
    durations: list[list[float]] = [[] for _ in range(callers)]
    errors = [0] * callers

    def call(number: int) -> None:
        connection: socket.socket | None = None
        while time.monotonic() < stop_at_s:
            started_s = time.monotonic()
            try:
                if connection is None:
                    connection = socket.create_connection(("127.0.0.1", port), timeout=10)
                    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.sendall(request)
                is_complete, stays_open = _read_answer(connection)
            except OSError:
                is_complete, stays_open = False, False
            if not is_complete:
                errors[number] += 1
            else:
                durations[number].append(time.monotonic() - started_s)
            if not stays_open and connection is not None:
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    threads = [threading.Thread(target=call, args=(number,)) for number in range(callers)]
    began_s = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed_s = time.monotonic() - began_s
    times = sorted(duration for caller_durations in durations for duration in caller_durations)
    return LoadResult(
        requests=len(times),
        errors=sum(errors),
        per_s=len(times) / elapsed_s,
        p50_ms=_quantile_ms(times, 0.5),
        p99_ms=_quantile_ms(times, 0.99),
        longest_ms=_quantile_ms(times, 1.0),
    )


def _read_answer(connection: socket.socket) -> tuple[bool, bool]:
    """Read one answer; return whether it is a complete 200, and whether the connection persists."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return False, False
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    lower = head.lower()
    length = 0
    for line in lower.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        chunk = connection.recv(65536)
        if not chunk:
            return False, False
        body += chunk
    return head.startswith(b"HTTP/1.1 200"), b"connection: close" not in lower


def _quantile_ms(times: list[float], quantile: float) -> float:
    if not times:
        return 0.0
    return times[min(len(times) - 1, int(quantile * len(times)))] * 1000


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("port", type=int)
    parser.add_argument("callers", type=int)
    parser.add_argument("seconds", type=float)
    arguments = parser.parse_args()
    outcome = run_load(port=arguments.port, callers=arguments.callers, seconds=arguments.seconds)
    print(json.dumps(asdict(outcome)))
