"""Cost of the time line and the metrics at the target size, and loop delay from reading them."""

from __future__ import annotations

import asyncio
import secrets
import statistics
import threading
import time
import tracemalloc
from collections.abc import Callable

from shallotworks.metrics import Metrics, summarise
from shallotworks.timeline import EventFilter, EventKind, Subject, Timeline

ROUNDS = 5
EVENT_COUNT = 20_000
OBSERVATION_COUNT = 100_000
LATENCY_COUNT = 610
"""Two request classes for the service of each of 305 pools."""
TICK_INTERVAL_S = 0.001


def main() -> None:
    """Print a line for each figure, with the median over the rounds."""
    _print("event of the time line, bytes", _event_bytes)
    _print("recording an event, us", _record_us)
    _print("reading a full time line, ms", _page_ms)
    _print("counting, us", _count_us)
    _print("observing a duration, us", _observe_us)
    _print(f"copying {LATENCY_COUNT} latencies on the loop, ms", _freeze_ms)
    _print(f"summarising {LATENCY_COUNT} latencies off the loop, ms", _summarise_ms)
    _print("longest delay of an idle loop, ms", lambda: _loop_delay_ms(lambda: time.sleep(0.15)))
    frozen = _filled_metrics().freeze()
    _print(
        "longest delay of the loop during that summary, ms",
        lambda: _loop_delay_ms(lambda: summarise(frozen, process="a")),
    )


def _print(name: str, measure: Callable[[], float]) -> None:
    values = [measure() for _ in range(ROUNDS)]
    print(f"{name:<52} {statistics.median(values):9.2f}  ({min(values):.2f} to {max(values):.2f})")


def _timeline() -> Timeline:
    return Timeline(process="bergen-entry-1", wall_clock_s=time.time, capacity=EVENT_COUNT)


def _fill(timeline: Timeline) -> None:
    for attempt in range(EVENT_COUNT):
        subject = Subject(
            request=secrets.token_hex(12), instance="bergen-w01", service="fault-traces"
        )
        timeline.record(
            EventKind.SENT, subject=subject, detail=f"attempt {attempt}", duration_s=0.1 + attempt
        )


def _event_bytes() -> float:
    timeline = _timeline()
    tracemalloc.start()
    _fill(timeline)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / EVENT_COUNT


def _record_us() -> float:
    timeline = _timeline()
    subject = Subject(request="r")
    began_s = time.perf_counter()
    for _ in range(EVENT_COUNT):
        timeline.record(EventKind.SENT, subject=subject)
    return (time.perf_counter() - began_s) / EVENT_COUNT * 1e6


def _page_ms() -> float:
    timeline = _timeline()
    _fill(timeline)
    began_s = time.perf_counter()
    timeline.page(EventFilter()).encode()
    return (time.perf_counter() - began_s) * 1e3


def _count_us() -> float:
    metrics = Metrics()
    began_s = time.perf_counter()
    for _ in range(OBSERVATION_COUNT):
        metrics.count("requests.refused.over-quota")
    return (time.perf_counter() - began_s) / OBSERVATION_COUNT * 1e6


def _observe_us() -> float:
    metrics = Metrics()
    began_s = time.perf_counter()
    for index in range(OBSERVATION_COUNT):
        metrics.observe_s("latency.interactive.trace", 0.001 * (index % 997))
    return (time.perf_counter() - began_s) / OBSERVATION_COUNT * 1e6


def _filled_metrics() -> Metrics:
    metrics = Metrics()
    for number in range(LATENCY_COUNT):
        for index in range(50):
            metrics.observe_s(f"latency.interactive.service-{number}", 0.001 * (index + 1))
    return metrics


def _freeze_ms() -> float:
    metrics = _filled_metrics()
    began_s = time.perf_counter()
    metrics.freeze()
    return (time.perf_counter() - began_s) * 1e3


def _summarise_ms() -> float:
    frozen = _filled_metrics().freeze()
    began_s = time.perf_counter()
    summarise(frozen, process="a")
    return (time.perf_counter() - began_s) * 1e3


def _loop_delay_ms(work: Callable[[], object]) -> float:
    """Return the longest delay of a periodic timer on the event loop while a thread works."""
    return asyncio.run(_ticking(work)) * 1e3


async def _ticking(work: Callable[[], object]) -> float:
    loop = asyncio.get_running_loop()
    thread = threading.Thread(target=work)
    thread.start()
    longest_s = 0.0
    while thread.is_alive():
        due_s = loop.time() + TICK_INTERVAL_S
        await asyncio.sleep(TICK_INTERVAL_S)
        longest_s = max(longest_s, loop.time() - due_s)
    thread.join()
    return longest_s
