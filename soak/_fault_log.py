"""What a run has seen: faults with their times, and broken promises."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass

RECOVERY_S = 3.0
"""After a fault, promises with a time bound hold again this much later."""
ALL_INSTANCES = "*"
LAG_SAMPLE_INTERVAL_S = 0.05
MAX_LAG_SAMPLES = 60
"""Measurements of the last 3 s."""


@dataclass(slots=True, kw_only=True)
class FaultRecord:
    """A fault that is or was in force.

    Args:
        kind: Which.
        instance: An instance's name, or ``ALL_INSTANCES``.
        began_s: Since when, on the steady clock.
        ended_s: Until when.
    """

    kind: str
    instance: str
    began_s: float
    ended_s: float = float("inf")


class FaultLog:
    """Collects faults and violations of one run."""

    def __init__(self) -> None:
        self._lags: deque[float] = deque(maxlen=MAX_LAG_SAMPLES)
        self.began_s = time.monotonic()
        self.faults: list[FaultRecord] = []
        self.violations: list[str] = []

    async def sample_lag(self) -> None:
        """Measure how late the soak's own loop is, until cancelled."""
        while True:
            due_s = time.monotonic() + LAG_SAMPLE_INTERVAL_S
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
            self._lags.append(time.monotonic() - due_s)

    def max_lag_s(self) -> float:
        """Return how late the soak's own loop was at the worst within the last seconds.

        Callers and proxies run on it, so that what they measure contains it.
        """
        return max(self._lags, default=0.0)

    def begin(self, kind: str, instance: str) -> FaultRecord:
        """Note that a fault begins."""
        fault = FaultRecord(kind=kind, instance=instance, began_s=time.monotonic())
        self.faults.append(fault)
        return fault

    def end(self, fault: FaultRecord) -> None:
        """Note that it has ended."""
        fault.ended_s = time.monotonic()

    def record_violation(self, text: str) -> None:
        """Note a broken promise."""
        self.violations.append(f"{time.monotonic() - self.began_s:.2f} s: {text}")

    def is_fault_free(self, instance: str, *, since_s: float, ignored_kind: str = "stop") -> bool:
        """Whether nothing but one kind of planned work has touched an instance of late.

        Args:
            instance: The instance.
            since_s: From when on; the time in which a fault still tells is taken off.
            ignored_kind: The kind that doesn't count: a stop is announced.
        """
        return not any(
            fault.kind != ignored_kind
            and fault.instance in (instance, ALL_INSTANCES)
            and fault.ended_s > since_s - RECOVERY_S
            for fault in self.faults
        )

    def timeline(self) -> list[str]:
        """Return the faults as lines."""
        return [
            f"{fault.began_s - self.began_s:6.2f} to {fault.ended_s - self.began_s:6.2f} s  "
            f"{fault.kind} {fault.instance}"
            for fault in self.faults
        ]
