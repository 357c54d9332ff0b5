"""Forecasts the cores that arriving jobs of a service will demand once a new machine could serve.

Demand comes in bursts. For some seconds the demand of a queue grows every second, and a machine
arrives about two seconds after it was requested. A pool that is sized for the demand measured so
far is therefore too small until the peak of the burst is over. This module performs no network
calls.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from .._tracked_jobs import Arrival

__all__ = ["Arrival", "DemandLimits", "forecast_demand_cores"]


@dataclass(frozen=True, slots=True, kw_only=True)
class DemandLimits:
    """Limits of the demand forecast.

    Args:
        window_s: Length of the measurement window in seconds. A shorter window follows the start of
            a burst sooner, but reacts more to single large jobs.
        min_onset_s: If several jobs have arrived after a quiet period, demand is also measured over
            the time since the first of them, once that time is at least this many seconds, and the
            larger result counts. Jobs that arrive at one moment show no rate.
        min_onset_jobs: Number of jobs that must have arrived after the first one for that
            measurement. Fewer jobs may arrive close together by chance.
        min_growth_jobs: Minimum number of jobs within a window for growth to be extrapolated.
        forecast_s: Time in seconds over which growth is extrapolated. A machine takes about two
            seconds to arrive, and the middle of the window is half a second ago.
        max_growth_ratio: Upper bound of the extrapolated growth as a ratio of the present demand,
            since no growth continues without limit.
    """

    window_s: float = 1.0
    min_onset_s: float = 0.3
    min_onset_jobs: int = 3
    min_growth_jobs: int = 10
    forecast_s: float = 2.5
    max_growth_ratio: float = 1.0


def forecast_demand_cores(
    arrivals: Sequence[Arrival], *, wall_s: float, limits: DemandLimits
) -> float:
    """Return the cores that arriving jobs will demand once new machines could be available.

    Args:
        arrivals: Arrivals in order of time, the latest last.
        wall_s: Time of day in seconds since 1970.
        limits: Limits of the forecast.
    """
    recent = _arrivals_between(arrivals, wall_s - limits.window_s, wall_s)
    earlier = _arrivals_between(arrivals, wall_s - 2 * limits.window_s, wall_s - limits.window_s)
    now_cores = _arrival_cores(recent, wall_s, limits)
    return now_cores * (1 + _growth_ratio(len(recent), len(earlier), limits))


def _arrivals_between(arrivals: Sequence[Arrival], after_s: float, until_s: float) -> list[Arrival]:
    return [row for row in arrivals if after_s < row[0] <= until_s]


def _arrival_cores(recent: list[Arrival], wall_s: float, limits: DemandLimits) -> float:
    """Return the core-seconds that arrived per second in the recent past.

    At the start of a burst the window also contains quiet time, and shows less than half of the
    demand of the burst. The jobs that followed the first one of the window show that demand. The
    first one is omitted, because the interval before it is not known.
    """
    window_cores = sum(core_s for _, core_s in recent) / limits.window_s
    since_s = wall_s - recent[0][0] if recent else 0.0
    if len(recent) <= limits.min_onset_jobs or since_s < limits.min_onset_s:
        return window_cores
    return max(window_cores, sum(core_s for _, core_s in recent[1:]) / since_s)


def _growth_ratio(jobs: int, earlier_jobs: int, limits: DemandLimits) -> float:
    """Return the expected growth until new machines could serve, relative to present demand.

    Half of the variation that chance can cause is subtracted. The difference between two counts of
    a steady queue is about as large as the square root of their sum.
    """
    growth = jobs - earlier_jobs - math.sqrt(jobs + earlier_jobs) / 2
    if growth <= 0 or jobs < limits.min_growth_jobs:
        return 0.0
    return min(limits.max_growth_ratio, growth / jobs * limits.forecast_s / limits.window_s)
