"""Monitors the processor use of a process and the lateness of its event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from shallotworks.logs import StructuredLog

from ._metrics import Metrics

__all__ = ["LoadMonitor"]

SAMPLE_INTERVAL_S = 0.1
WINDOW_SAMPLES = 10
"""Processor use and lateness are averaged over the last second."""
SATURATED_RATIO = 0.9
RELIEVED_RATIO = 0.7
"""A saturated process counts as relieved below this ratio. The gap to `SATURATED_RATIO` prevents
repeated log lines from a process whose use is close to the limit."""
SATURATED_LATENESS_S = 0.1
"""A mean lateness of the event loop that delays lease renewals and polls, whatever the use."""
RELIEVED_LATENESS_S = 0.05
"""A saturated process counts as relieved below this mean lateness."""
MAX_CREDIBLE_USE_RATIO = 1.1
"""A processor clock that reads more than this multiple of what the process may use tells nothing.
Where a platform slows a process down by stopping it, that clock may follow the time of day."""


class LoadMonitor:
    """Measures the load of a process and logs when it becomes saturated or is relieved.

    The failure: tasks wait in a queue while workers are idle, and nothing shows whether the
    scheduler lacks machines or processor time. The lateness of the event loop shows it on every
    platform; the processor clock shows it too, while its reading can be true.

    Args:
        cores: Number of processor cores that the process may use.
        metrics: Receives the lateness of the event loop and the processor time used.
        log: Receives one line for each change.
        processor_clock: Returns the processor time used so far, in seconds.
        held_leases: Returns the names of the leases that the process currently holds.
        clock: Seconds; by default the event loop's clock.
    """

    __slots__ = (
        "_clock",
        "_cores",
        "_held_leases",
        "_is_clock_doubt_logged",
        "_is_saturated",
        "_lateness_samples_s",
        "_log",
        "_metrics",
        "_processor_clock",
        "_use_samples",
    )

    def __init__(
        self,
        *,
        cores: float,
        metrics: Metrics,
        log: StructuredLog,
        processor_clock: Callable[[], float],
        held_leases: Callable[[], list[str]],
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock
        self._cores = cores
        self._metrics = metrics
        self._log = log
        self._processor_clock = processor_clock
        self._held_leases = held_leases
        self._is_saturated = False
        self._is_clock_doubt_logged = False
        self._lateness_samples_s: list[float] = []
        self._use_samples: list[float] = []

    @property
    def is_saturated(self) -> bool:
        """Whether the process is saturated."""
        return self._is_saturated

    async def run(self) -> None:
        """Measure until cancelled."""
        clock = self._clock or asyncio.get_running_loop().time
        while True:
            started_s, used_s = clock(), self._processor_clock()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            elapsed_s = clock() - started_s
            processor_s = self._processor_clock() - used_s
            self._sample(
                elapsed_s - SAMPLE_INTERVAL_S, processor_s, processor_s / elapsed_s / self._cores
            )

    def _sample(self, late_s: float, processor_s: float, use: float) -> None:
        self._metrics.observe_s("process.loop-late", late_s)
        self._metrics.count("process.processor_us", round(processor_s * 1e6))
        self._lateness_samples_s = [*self._lateness_samples_s, late_s][-WINDOW_SAMPLES:]
        self._use_samples = [*self._use_samples, use][-WINDOW_SAMPLES:]
        if len(self._use_samples) == WINDOW_SAMPLES:
            self._update_saturation()

    def _update_saturation(self) -> None:
        late_s = sum(self._lateness_samples_s) / WINDOW_SAMPLES
        use = sum(self._use_samples) / WINDOW_SAMPLES
        use_limit = RELIEVED_RATIO if self._is_saturated else SATURATED_RATIO
        late_limit_s = RELIEVED_LATENESS_S if self._is_saturated else SATURATED_LATENESS_S
        is_use_credible = use <= MAX_CREDIBLE_USE_RATIO
        if not is_use_credible:
            self._log_clock_doubt(use)
        is_saturated = (is_use_credible and use >= use_limit) or late_s >= late_limit_s
        if is_saturated == self._is_saturated:
            return
        self._is_saturated = is_saturated
        self._log.line(
            "process-saturated" if is_saturated else "process-relieved",
            used_part=round(use, 2) if is_use_credible else None,
            late_s=round(late_s, 3),
            cores=round(self._cores, 2),
            duties=self._held_leases(),
        )

    def _log_clock_doubt(self, use: float) -> None:
        if not self._is_clock_doubt_logged:
            self._is_clock_doubt_logged = True
            self._log.line(
                "processor-clock-unusable", used_part=round(use, 2), cores=round(self._cores, 2)
            )
