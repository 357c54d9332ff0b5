"""Compares an entry instance with a minimal relay and the target alone, under the same load."""

from __future__ import annotations

import statistics
import time
from dataclasses import dataclass

from bench._load import LoadResult
from bench._processes import Process, load, process, serving

CALLER_COUNT = 24
ROUND_S = 5.0
ROUNDS = 5
GOAL_THROUGHPUT_RATIO = 0.75
GOAL_P99_RATIO = 1.3
IDLE_S = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Round:
    """One round of load on one process.

    Args:
        load: Result that the callers measured.
        processor_ms: Processor time of the process per request; more reliable than latencies on a
            shared machine.
    """

    load: LoadResult
    processor_ms: float


def main() -> None:
    """Print medians over the rounds, ratios to the goals, the start time and the idle memory."""
    with process("bench._bare", "target") as target, serving("bench._entry", "platform") as store:
        bare_arguments = ("bench._bare", "relay", "--target-port", str(target.port))
        entry_arguments = (
            "bench._entry",
            "serve",
            "--platform-port",
            str(store),
            "--target-port",
            str(target.port),
        )
        with process(*bare_arguments) as bare, process(*entry_arguments) as ours:
            results = _rounds({"target alone": target, "bare relay": bare, "entry instance": ours})
        started_s = time.monotonic()
        with process(*entry_arguments) as idle:
            to_serving_s = time.monotonic() - started_s
            time.sleep(IDLE_S)
            idle_bytes = idle.resident_bytes()
    _print(results)
    print(f"start to serving {to_serving_s:.2f} s; idle {idle_bytes / 1024**2:.0f} MB resident")


def _rounds(processes: dict[str, Process]) -> dict[str, list[Round]]:
    rounds: dict[str, list[Round]] = {name: [] for name in processes}
    for _ in range(ROUNDS):
        for name, measured in processes.items():
            before_s = measured.processor_s()
            result = load(port=measured.port, callers=CALLER_COUNT, seconds=ROUND_S)
            used_s = measured.processor_s() - before_s
            rounds[name].append(Round(load=result, processor_ms=used_s / result.requests * 1000))
    return rounds


def _print(results: dict[str, list[Round]]) -> None:
    print(f"{CALLER_COUNT} callers, medians of {ROUNDS} rounds of {ROUND_S:g} s")
    print("what              per s   p50 ms   p99 ms  longest ms  errors  processor ms each")
    for name, rounds in results.items():
        print(
            f"{name:15s}  {_median(rounds, 'per_s'):6.0f}  {_median(rounds, 'p50_ms'):7.1f}"
            f"  {_median(rounds, 'p99_ms'):7.1f}  {_median(rounds, 'longest_ms'):10.0f}"
            f"  {sum(entry.load.errors for entry in rounds):6d}"
            f"  {statistics.median(entry.processor_ms for entry in rounds):17.2f}"
        )
    ours, bare = results["entry instance"], results["bare relay"]
    throughput = _median(ours, "per_s") / _median(bare, "per_s")
    p99 = _median(ours, "p99_ms") / _median(bare, "p99_ms")
    print(
        f"throughput {throughput:.2f} of the bare relay (goal {GOAL_THROUGHPUT_RATIO}),"
        f" p99 {p99:.2f} times (goal {GOAL_P99_RATIO})"
    )


def _median(rounds: list[Round], name: str) -> float:
    return statistics.median(getattr(entry.load, name) for entry in rounds)
