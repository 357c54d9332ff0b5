"""Tells losses of single workers from those of all; no network calls.

A worker that goes shortly after the start of a run may have been crashed by it, or have lost power
together with all others. Which of these it was shows once another one has answered.
"""

from __future__ import annotations

from typing import NamedTuple

from shallotworks.jobs import Incarnation

from .._model import Run, Worker

__all__ = ["LossWitness"]


class _Loss(NamedTuple):
    """A worker that may have crashed under a run.

    Args:
        at_s: When the loss was noticed, on the scheduler's clock in seconds.
        runs: The runs that may have crashed it.
        others: The workers that had answered before the lost one was last heard of.
    """

    at_s: float
    runs: list[Run]
    others: frozenset[Incarnation]


class LossWitness:
    """Awaits an answer of another worker after the loss of one.

    Args:
        workers: The service's workers by id.
    """

    __slots__ = ("_has_known_others", "_losses", "_workers")

    def __init__(self, *, workers: dict[str, Worker]) -> None:
        self._workers = workers
        self._losses: dict[Incarnation, _Loss] = {}
        self._has_known_others = False
        """Whether several workers have answered at the same time. In a pool of one worker no other
        can show that it lives."""

    def note_loss(self, worker: Worker, runs: list[Run], now_s: float) -> list[Run]:
        """Record that a worker may have crashed under runs; return these if there is no other."""
        others = frozenset(
            other.incarnation
            for other in self._workers.values()
            if other is not worker and other.first_reported_s <= worker.last_seen_s
        )
        if not self._has_known_others:
            return runs
        if others:
            self._losses[worker.incarnation] = _Loss(now_s, runs, others)
        return []

    def note_report(self, worker: Worker, sent_s: float) -> list[Run]:
        """Record an answer to a poll; return runs whose worker was not lost with all others.

        Args:
            worker: The worker.
            sent_s: When the poll was sent, on the scheduler's clock in seconds.
        """
        if not self._has_known_others:
            answering = [one for one in self._workers.values() if one.has_answered_last_poll]
            self._has_known_others = len(answering) > 1
        witnessed: list[Run] = []
        for incarnation, loss in list(self._losses.items()):
            if worker.incarnation in loss.others and sent_s > loss.at_s:
                witnessed += loss.runs
                del self._losses[incarnation]
        return witnessed

    def is_awaited(self, worker: Worker) -> bool:
        """Whether an answer of a worker would show that another one was not lost with all."""
        return any(worker.incarnation in loss.others for loss in self._losses.values())

    def forget(self, worker: Worker) -> None:
        """Forget the loss of a worker that has answered or has certainly ended."""
        self._losses.pop(worker.incarnation, None)
