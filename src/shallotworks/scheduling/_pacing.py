"""Slows filler tasks down when they disturb tasks that serve users on the same worker."""

from __future__ import annotations

from collections.abc import Iterator

from ._model import PaceOrder, RunPhase, Worker

__all__ = ["pace_orders"]

SLOW_DOWN_RATIO = 0.85
"""Ratio of a serving task's tail latency to its target from which fillers are slowed down."""
SPEED_UP_RATIO = 0.6
"""Ratio of the tail latency to the target below which fillers are sped up again."""
SLOW_DOWN_FACTOR = 0.5
SPEED_UP_STEP_PERCENT = 10
MIN_PACE_INTERVAL_S = 0.6
"""Minimum time between two changes of a filler's pace. The tail latency is measured over half a
second, and a change takes effect after 0.1 s."""
MIN_PACE_PERCENT = 5
"""A filler whose pace would fall below this is stopped."""


def pace_orders(worker: Worker, now_s: float) -> Iterator[PaceOrder]:
    """Yield the pace orders that follow from a worker's latest report.

    Fillers must not keep working beside a task whose tail latency exceeds its target. Above the
    target they are stopped at once. Near the target their pace is halved, so that a full stop is
    rarely necessary. The pace is raised again in small steps.
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
        yield PaceOrder(run=run, incarnation=run.incarnation, percent=percent)


def _worst_latency_ratio(worker: Worker) -> float:
    return max(
        (
            run.measurement / 1000 / run.step.target_s
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
