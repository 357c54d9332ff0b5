"""The record of one run: its faults with their times, and the violations that were found."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass

RECOVERY_S = 3.0
"""Guarantees with a time bound hold again this long after the end of a fault."""
ALL_INSTANCES = "*"
LAG_SAMPLE_INTERVAL_S = 0.05
MAX_LAG_SAMPLES = 60
"""Samples of the last 3 s."""


@dataclass(slots=True, kw_only=True)
class FaultRecord:
    """A fault that is or was in force.

    Args:
        kind: Name of the fault.
        instance: Name of the affected instance, or ``ALL_INSTANCES``.
        began_s: Start, on the monotonic clock.
        ended_s: End, on the monotonic clock; infinite while the fault is in force.
    """

    kind: str
    instance: str
    began_s: float
    ended_s: float = float("inf")


class FaultLog:
    """Collects the faults and the violations of one run."""

    def __init__(self) -> None:
        self._lags: deque[float] = deque(maxlen=MAX_LAG_SAMPLES)
        self.began_s = time.monotonic()
        self.faults: list[FaultRecord] = []
        self.violations: list[str] = []

    async def sample_lag(self) -> None:
        """Measure the lag of the soak's own event loop until cancelled."""
        while True:
            due_s = time.monotonic() + LAG_SAMPLE_INTERVAL_S
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
            self._lags.append(time.monotonic() - due_s)

    def max_lag_s(self) -> float:
        """Return the largest lag of the soak's own event loop among the newest samples.

        Callers and proxies run on this loop, so the times that they measure include its lag.
        """
        return max(self._lags, default=0.0)

    def begin(self, kind: str, instance: str) -> FaultRecord:
        """Record the start of a fault."""
        fault = FaultRecord(kind=kind, instance=instance, began_s=time.monotonic())
        self.faults.append(fault)
        return fault

    def end(self, fault: FaultRecord) -> None:
        """Record the end of a fault."""
        fault.ended_s = time.monotonic()

    def record_violation(self, text: str) -> None:
        """Record a violation with the time since the start of the run."""
        self.violations.append(f"{time.monotonic() - self.began_s:.2f} s: {text}")

    def is_fault_free(self, instance: str, *, since_s: float, ignored_kind: str = "stop") -> bool:
        """Return whether no fault has affected an instance since a time.

        Args:
            instance: Name of the instance.
            since_s: Start of the period, on the monotonic clock; a fault that ended less than
                ``RECOVERY_S`` earlier counts too.
            ignored_kind: Kind of fault that doesn't count; by default the planned stop, which
                is announced to the process.
        """
        return not any(
            fault.kind != ignored_kind
            and fault.instance in (instance, ALL_INSTANCES)
            and fault.ended_s > since_s - RECOVERY_S
            for fault in self.faults
        )

    def timeline(self) -> list[str]:
        """Return one line of text for each fault."""
        return [
            f"{fault.began_s - self.began_s:6.2f} to {fault.ended_s - self.began_s:6.2f} s  "
            f"{fault.kind} {fault.instance}"
            for fault in self.faults
        ]
