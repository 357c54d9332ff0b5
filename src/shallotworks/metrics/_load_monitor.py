"""How much of its processor a process uses, and how late its event loop runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from shallotworks.logs import StructuredLog

from ._metrics import Metrics

__all__ = ["LoadMonitor"]

SAMPLE_S = 0.1
WINDOW_SAMPLES = 10
"""Use and lateness are judged over the last second."""
SATURATED_PART = 0.9
RELIEVED_PART = 0.7
"""Below it a saturated process counts as relieved; lower, so that one at the edge says so once."""
LATE_S = 0.1
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
        "_latenesses_s",
        "_log",
        "_metrics",
        "_processor_clock",
        "_uses",
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
        self._latenesses_s: list[float] = []
        self._uses: list[float] = []

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began_s, used_s = loop.time(), self._processor_clock()
            await asyncio.sleep(SAMPLE_S)
            passed_s = loop.time() - began_s
            spent_s = self._processor_clock() - used_s
            self._sample(passed_s - SAMPLE_S, spent_s, spent_s / passed_s / self._cores)

    def _sample(self, late_s: float, spent_s: float, use: float) -> None:
        self._metrics.observe_s("process.loop-late", late_s)
        self._metrics.count("process.processor_us", round(spent_s * 1e6))
        self._latenesses_s = [*self._latenesses_s, late_s][-WINDOW_SAMPLES:]
        self._uses = [*self._uses, use][-WINDOW_SAMPLES:]
        if len(self._uses) == WINDOW_SAMPLES:
            self._judge()

    def _judge(self) -> None:
        late_s = sum(self._latenesses_s) / WINDOW_SAMPLES
        use = sum(self._uses) / WINDOW_SAMPLES
        limit = RELIEVED_PART if self._is_saturated else SATURATED_PART
        is_saturated = use >= limit or late_s >= LATE_S
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
