"""Slowing fillers where they disturb tasks that serve."""

from __future__ import annotations

from collections.abc import Iterator

from ._model import PaceOrder, RunPhase, Worker

__all__ = ["pace_orders"]

SLOW_DOWN_RATIO = 0.85
"""Part of its target from which a serving task's tail slows the fillers beside it."""
SPEED_UP_RATIO = 0.6
"""Part of the target below which fillers may go faster again."""
SLOW_DOWN_FACTOR = 0.5
SPEED_UP_STEP_PERCENT = 10
MIN_PACE_INTERVAL_S = 0.6
"""Between changes: the tail is measured over half a second, and a change takes 0.1 s."""
MIN_PACE_PERCENT = 5
"""Below it a filler stands still."""


def pace_orders(worker: Worker, now_s: float) -> Iterator[PaceOrder]:
    """Yield what a worker's latest report asks for: halve quickly, raise slowly.

    The failure: fillers that work on beside a task whose tail is over its target. A tail over the
    target stops them at once; near it they are halved, so that most of the time none is stopped.
    """
    fillers = [
        run for run in worker.runs.values() if run.step.is_filler and run.phase is RunPhase.RUNNING
    ]
    if not fillers:
        return
    ratio = _worst_latency_ratio(worker)
    for run in fillers:
        percent = _next_percent(run.pace_percent, ratio)
        if percent == run.pace_percent or now_s - run.paced_s < MIN_PACE_INTERVAL_S:
            continue
        yield PaceOrder(run=run, percent=percent)


def _worst_latency_ratio(worker: Worker) -> float:
    return max(
        (
            run.figure / 1000 / run.step.target_s
            for run in worker.runs.values()
            if run.step.target_s > 0 and run.is_serving
        ),
        default=0.0,
    )


def _next_percent(percent: int, ratio: float) -> int:
    if ratio >= 1.0:
        return 0
    if ratio >= SLOW_DOWN_RATIO:
        lower = int(percent * SLOW_DOWN_FACTOR)
        return lower if lower >= MIN_PACE_PERCENT else 0
    if ratio < SPEED_UP_RATIO:
        return min(100, percent + SPEED_UP_STEP_PERCENT)
    return percent
