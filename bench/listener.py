"""Finds the cause of latencies of one second: cheroot's backlog, its keep-alive limit, or both.

Each variant serves the same load. Besides latencies, the table has the kernel's counts of
connections dropped because of a full backlog, and of retransmitted SYNs.
"""

from __future__ import annotations

import argparse
import itertools
import statistics
import sys
import threading
from pathlib import Path

from cheroot import wsgi

from bench._bare import THREADS, target
from bench._load import LoadResult
from bench._processes import load, serving

CALLER_COUNT = 24
ROUND_S = 4.0
ROUNDS = 3
NETSTAT = Path("/proc/net/netstat")
BACKLOG_SIZES = (5, 512)
KEEP_ALIVE_LIMITS = (10, 1_000)


def main() -> None:
    """Print a row of medians over the rounds for each variant."""
    print("backlog  kept alive   per s   p50 ms   p99 ms  longest ms  drops  SYNs again")
    for backlog, kept in itertools.product(BACKLOG_SIZES, KEEP_ALIVE_LIMITS):
        rounds = [_round(backlog, kept) for _ in range(ROUNDS)]
        results = [result for result, _, _ in rounds]
        print(
            f"{backlog:7d}  {kept:10d}  {_median(results, 'per_s'):6.0f}"
            f"  {_median(results, 'p50_ms'):7.1f}  {_median(results, 'p99_ms'):7.1f}"
            f"  {_median(results, 'longest_ms'):10.0f}"
            f"  {statistics.median(drops for _, drops, _ in rounds):5.0f}"
            f"  {statistics.median(again for _, _, again in rounds):10.0f}",
            flush=True,
        )


def _round(backlog: int, kept: int) -> tuple[LoadResult, int, int]:
    with serving("bench.listener", "--backlog", str(backlog), "--kept", str(kept)) as port:
        before = _kernel_counts()
        result = load(port=port, callers=CALLER_COUNT, seconds=ROUND_S)
        after = _kernel_counts()
    return result, after[0] - before[0], after[1] - before[1]


def _kernel_counts() -> tuple[int, int]:
    """Return the kernel's counts of listen drops and of retransmitted SYNs."""
    lines = [line.split() for line in NETSTAT.read_text().splitlines()]
    names = dict(zip(lines[0], lines[1], strict=True))
    return int(names["ListenDrops"]), int(names["TCPSynRetrans"])


def _median(results: list[LoadResult], name: str) -> float:
    return statistics.median(getattr(result, name) for result in results)


def _serve(backlog: int, kept: int) -> None:
    server = wsgi.Server(("127.0.0.1", 0), target, numthreads=THREADS, request_queue_size=backlog)
    server.keep_alive_conn_limit = kept
    server.prepare()
    print(server.bind_addr[1], flush=True)
    threading.Thread(target=server.serve, daemon=True).start()
    sys.stdin.read()
    server.stop()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--backlog", type=int, required=True)
    parser.add_argument("--kept", type=int, required=True)
    given = parser.parse_args()
    _serve(given.backlog, given.kept)
