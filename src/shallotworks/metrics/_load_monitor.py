"""How much of its processor a process uses, and how late its event loop runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from shallotworks.logs import StructuredLog

from ._metrics import Metrics

__all__ = ["LoadMonitor"]

SAMPLE_INTERVAL_S = 0.1
WINDOW_SAMPLES = 10
"""Use and lateness are judged over the last second."""
SATURATED_RATIO = 0.9
RELIEVED_RATIO = 0.7
"""Below it a saturated process counts as relieved; lower, so that one at the edge says so once."""
SATURATED_LATENESS_S = 0.1
"""A loop that is late by this on average holds up renewals and looks, whatever its use."""


class LoadMonitor:
    """Measures the load of a process, and says when it saturates and when it no longer does.

    What it answers: a queue waits beside idle workers, and nothing shows whether its scheduler
    lacks machines or processor.

    Args:
        cores: Processor that the process may use.
        metrics: Gets the loop's lateness, and the processor time used.
        log: One line for each change.
        processor_clock: Processor time used so far, in seconds.
        duties: Names what the process does at the moment.
    """

    __slots__ = (
        "_cores",
        "_duties",
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
        duties: Callable[[], list[str]],
    ) -> None:
        self._cores = cores
        self._metrics = metrics
        self._log = log
        self._processor_clock = processor_clock
        self._duties = duties
        self._is_saturated = False
        self._lateness_samples_s: list[float] = []
        self._use_samples: list[float] = []

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            started_s, used_s = loop.time(), self._processor_clock()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            elapsed_s = loop.time() - started_s
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
        is_saturated = use >= use_limit or late_s >= SATURATED_LATENESS_S
        if is_saturated == self._is_saturated:
            return
        self._is_saturated = is_saturated
        self._log.line(
            "process-saturated" if is_saturated else "process-relieved",
            used_part=round(use, 2),
            late_s=round(late_s, 3),
            cores=round(self._cores, 2),
            duties=self._duties(),
        )
