"""Reports what pools keep idle and what they return, for operators."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import Enum

from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics

__all__ = ["IdleReason", "PoolReport"]

MAX_REPORTED_INTERVAL_S = 1.0
"""Idle time between two rounds that are further apart is counted as this long."""


class IdleReason(Enum):
    """Why an idle machine stays in its pool or leaves it."""

    KEPT = "kept"
    """The pool keeps this many machines for its next turn."""
    LACKING = "lacking"
    """The pool lacks machines."""
    RECENTLY_USED = "recently-used"
    """The machine has not been idle for long enough, or there is no standby pool."""
    UNDERSIZED_POOL = "undersized-pool"
    """A borrowed machine returns to a pool that misses machines."""
    BEYOND_HOME = "beyond-home"
    """A borrowed machine goes to the standby pool."""
    BETWEEN_TURNS = "between-turns"
    """A machine of the pool's home size goes to the standby pool."""


class PoolReport:
    """Counts and logs the decisions on idle machines.

    Args:
        log: Receives a line for each pool and reason, in a round that returns machines.
        metrics: Counts idle machine-milliseconds by reason and pool, and returned machines.
    """

    __slots__ = ("_idle_at_s", "_log", "_metrics")

    def __init__(self, *, log: StructuredLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._idle_at_s: float | None = None

    def count_idle(self, machines: Iterable[tuple[str, IdleReason]], now_s: float) -> None:
        """Count the idle time since the last round for machines, given by pool and reason."""
        last_s = now_s if self._idle_at_s is None else self._idle_at_s
        self._idle_at_s = now_s
        interval_ms = int(min(now_s - last_s, MAX_REPORTED_INTERVAL_S) * 1000)
        for (pool, reason), count in Counter(machines).items():
            self._metrics.count(f"pools.idle-ms.{reason.value}.{pool}", count * interval_ms)

    def report_returns(
        self,
        machines: Iterable[tuple[str, str, IdleReason]],
        home_sizes: dict[str, int],
        sizes: dict[str, int],
    ) -> None:
        """Log and count machines that are returned, given by pool, target and reason."""
        for (pool, target, reason), count in sorted(
            Counter(machines).items(), key=lambda row: (row[0][0], row[0][1])
        ):
            self._metrics.count(f"pools.returned.{reason.value}.{pool}", count)
            self._log.line(
                "machines-returned",
                pool=pool,
                to=target,
                reason=reason.value,
                machines=count,
                left=sizes.get(pool, 0),
                home_size=home_sizes.get(pool, 0),
            )
