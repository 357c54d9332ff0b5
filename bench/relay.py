"""One entry instance against the bare relay and the target alone, the same load in the same run."""

from __future__ import annotations

import statistics
import time
from pathlib import Path

from bench._load import LoadResult
from bench._processes import load, process, serving

CALLERS = 24
SECONDS = 5.0
ROUNDS = 5
GOAL_THROUGHPUT = 0.75
GOAL_P99 = 1.3
IDLE_S = 3.0


def main() -> None:
    """Print medians over the rounds, ratios, the time to serving and the memory when idle."""
    with serving("bench._bare", "target") as target, serving("bench._entry", "platform") as store:
        bare_of = ("bench._bare", "relay", "--target-port", str(target))
        ours_of = (
            "bench._entry",
            "serve",
            "--platform-port",
            str(store),
            "--target-port",
            str(target),
        )
        with serving(*bare_of) as bare, serving(*ours_of) as ours:
            ports = {"target alone": target, "bare relay": bare, "entry instance": ours}
            results = _rounds(ports)
        started_s = time.monotonic()
        with process(*ours_of) as (pid, _):
            to_serving_s = time.monotonic() - started_s
            time.sleep(IDLE_S)
            idle_bytes = _resident_bytes(pid)
    _print(results)
    print(f"start to serving {to_serving_s:.2f} s; idle {idle_bytes / 1024**2:.0f} MB resident")


def _rounds(ports: dict[str, int]) -> dict[str, list[LoadResult]]:
    results: dict[str, list[LoadResult]] = {name: [] for name in ports}
    for _ in range(ROUNDS):
        for name, port in ports.items():
            results[name].append(load(port=port, callers=CALLERS, seconds=SECONDS))
    return results


def _print(results: dict[str, list[LoadResult]]) -> None:
    print(f"{CALLERS} callers, medians of {ROUNDS} rounds of {SECONDS:g} s")
    print("what              per s   p50 ms   p99 ms  longest ms  errors")
    for name, rounds in results.items():
        print(
            f"{name:15s}  {_median(rounds, 'per_s'):6.0f}  {_median(rounds, 'p50_ms'):7.1f}"
            f"  {_median(rounds, 'p99_ms'):7.1f}  {_median(rounds, 'longest_ms'):10.0f}"
            f"  {sum(entry.errors for entry in rounds):6d}"
        )
    ours, bare = results["entry instance"], results["bare relay"]
    throughput = _median(ours, "per_s") / _median(bare, "per_s")
    p99 = _median(ours, "p99_ms") / _median(bare, "p99_ms")
    print(
        f"throughput {throughput:.2f} of the bare relay (goal {GOAL_THROUGHPUT}),"
        f" p99 {p99:.2f} times (goal {GOAL_P99})"
    )


def _median(rounds: list[LoadResult], name: str) -> float:
    return statistics.median(getattr(entry, name) for entry in rounds)


def _resident_bytes(pid: int) -> int:
    """Return what the kernel says is resident of one process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0
