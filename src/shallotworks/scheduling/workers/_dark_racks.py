"""Tells silent workers, and racks that have just fallen silent; no network calls."""

from __future__ import annotations

from collections import defaultdict

from shallotworks.logs import StructuredLog

from .._model import Worker

__all__ = ["SILENT_S", "DarkRacks", "is_silent"]

SILENT_S = 1.5
"""A worker with runs reports at least once a second; after this time without a report it is
silent."""
DARK_WITHIN_S = 1.0
"""Workers of a dark rack were heard last within this time of each other."""
MIN_DARK_WORKERS = 3
MIN_DARK_RATIO = 1 / 3
"""At least this ratio of a rack's workers, and `MIN_DARK_WORKERS`, are silent if it is dark."""
RACK_AVOID_S = 5.0
"""A rack is avoided for this long after it last was dark."""

_Rack = tuple[str, str]
"""A data centre and a rack in it."""


class DarkRacks:
    """Keeps `Worker.rack_avoid_until_s` of all workers of a service.

    Args:
        workers: The service's workers by id.
        log: Receives a line when a rack is found dark.
    """

    __slots__ = ("_avoid_until_s", "_log", "_workers")

    def __init__(self, *, workers: dict[str, Worker], log: StructuredLog) -> None:
        self._workers = workers
        self._log = log
        self._avoid_until_s: dict[_Rack, float] = {}

    def review(self, now_s: float) -> None:
        """Look for dark racks."""
        silent: dict[_Rack, list[float]] = defaultdict(list)
        for worker in self._workers.values():
            if worker.view.rack and is_silent(worker, now_s):
                silent[_rack_of(worker)].append(worker.last_seen_s)
        for rack, seen_s in silent.items():
            self._judge(rack, sorted(seen_s), now_s)
        self._avoid_until_s = {
            rack: until_s for rack, until_s in self._avoid_until_s.items() if until_s > now_s
        }
        if self._avoid_until_s:
            for worker in self._workers.values():
                worker.rack_avoid_until_s = self._avoid_until_s.get(_rack_of(worker), 0.0)

    def _judge(self, rack: _Rack, seen_s: list[float], now_s: float) -> None:
        if len(seen_s) < MIN_DARK_WORKERS:
            return
        workers = sum(1 for worker in self._workers.values() if _rack_of(worker) == rack)
        together = max(
            sum(1 for other_s in seen_s if since_s <= other_s <= since_s + DARK_WITHIN_S)
            for since_s in seen_s
        )
        if together < max(MIN_DARK_WORKERS, workers * MIN_DARK_RATIO):
            return
        if rack not in self._avoid_until_s:
            self._log.line(
                "rack-dark",
                data_centre=rack[0],
                rack=rack[1],
                silent=together,
                workers=workers,
                for_s=RACK_AVOID_S,
            )
        self._avoid_until_s[rack] = now_s + RACK_AVOID_S


def _rack_of(worker: Worker) -> _Rack:
    return (worker.view.data_centre, worker.view.rack)


def is_silent(worker: Worker, now_s: float) -> bool:
    """Whether a worker with runs has reported nothing for too long since it has had them."""
    if not worker.runs or now_s - worker.reported_s <= SILENT_S:
        return False
    since_s = min(run.since_s for run in worker.runs.values())
    return now_s - max(worker.last_seen_s, since_s) > SILENT_S
