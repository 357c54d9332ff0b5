"""Tells the loss of a single worker from that of several at once; no network calls.

A worker that goes shortly after the start of a run may have been crashed by it, or have lost power
together with others. Which of these it was shows once others have been asked.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from shallotworks.jobs import Incarnation

from .._model import Run, Worker

__all__ = ["LossWitness"]

MAX_ASKED_WORKERS = 12
"""Workers that are asked after the loss of one, those of its rack first."""
MAX_CLOSED_APART_S = 0.1
MIN_CLOSED_TOGETHER = 2
"""If this many others close their connections within `MAX_CLOSED_APART_S` of a worker, they are
lost together. A single one may crash at the same moment in a series of crashes."""
MAX_SILENT_APART_S = 2.5
"""Workers that are found silent within this time of each other are lost together."""
MIN_QUIET_S = 6.0
"""If no other worker can be asked, a worker was lost alone if no loss without an explanation was
seen for this long."""
MAX_LOSSES_KEPT = 64


class _OtherLoss(NamedTuple):
    """The loss of a worker that had no isolated run, which would explain it."""

    at_s: float
    incarnation: Incarnation
    is_silent: bool


@dataclass(slots=True, kw_only=True)
class _Loss:
    """A worker that may have crashed under a run.

    Args:
        at_s: When the loss was noticed, on the scheduler's clock in seconds.
        is_silent: Whether the worker has closed no connection.
        runs: The runs that may have crashed it.
        asked: The workers that had answered before, and have neither answered nor gone since.
        is_witnessed: Whether one of them has answered.
    """

    at_s: float
    is_silent: bool
    runs: list[Run]
    asked: set[Incarnation]
    is_witnessed: bool = False

    def is_among(self, others: Iterable[_OtherLoss]) -> bool:
        """Whether the worker was lost together with some of the others."""
        longest_s = MAX_SILENT_APART_S if self.is_silent else MAX_CLOSED_APART_S
        least = 1 if self.is_silent else MIN_CLOSED_TOGETHER
        started_s = min(run.since_s for run in self.runs)
        near = {
            other.incarnation
            for other in others
            if other.is_silent is self.is_silent
            and abs(self.at_s - other.at_s) <= longest_s
            and other.at_s >= started_s
        }
        return len(near) >= least


class LossWitness:
    """Asks other workers after the loss of one.

    Args:
        workers: The service's workers by id.
    """

    __slots__ = ("_losses", "_other_ends", "_other_losses", "_workers")

    def __init__(self, *, workers: dict[str, Worker]) -> None:
        self._workers = workers
        self._losses: dict[Incarnation, _Loss] = {}
        self._other_losses: deque[_OtherLoss] = deque(maxlen=MAX_LOSSES_KEPT)
        self._other_ends: deque[tuple[float, str]] = deque(maxlen=MAX_LOSSES_KEPT)
        """Times of ends of workers that no isolated run explains, and their ids."""

    def note_loss(
        self, worker: Worker, runs: list[Run], now_s: float, *, is_silent: bool
    ) -> list[Run]:
        """Record that a worker may have crashed under runs.

        Returns:
            The runs, if it is known at once that the worker was lost alone.
        """
        asked = self._workers_to_ask(worker)
        loss = _Loss(at_s=now_s, is_silent=is_silent, runs=runs, asked=asked)
        if loss.is_among(self._losses_of_others(worker.worker_id)):
            return []
        self._losses = {
            incarnation: earlier
            for incarnation, earlier in self._losses.items()
            if now_s - earlier.at_s < MIN_QUIET_S
        }
        self._losses[worker.incarnation] = loss
        return self._witness_if_none_is_left(worker.worker_id, loss)

    def _workers_to_ask(self, lost: Worker) -> set[Incarnation]:
        known = [
            other
            for other in self._workers.values()
            if other is not lost
            and other.first_reported_s <= lost.last_seen_s
            and other.has_answered_last_poll
        ]
        known.sort(key=lambda other: other.view.rack != lost.view.rack)
        return {other.incarnation for other in known[:MAX_ASKED_WORKERS]}

    def _witness_if_none_is_left(self, worker_id: str, loss: _Loss) -> list[Run]:
        """Take a worker for lost alone if no other can be asked, and no loss is unexplained."""
        if loss.asked or loss.is_witnessed:
            return []
        losses = (other.at_s for other in self._losses_of_others(worker_id))
        ends = (at_s for at_s, other_id in self._other_ends if other_id != worker_id)
        latest_s = max((*losses, *ends), default=-math.inf)
        loss.is_witnessed = loss.at_s - latest_s > MIN_QUIET_S
        return loss.runs if loss.is_witnessed else []

    def _losses_of_others(self, worker_id: str) -> list[_OtherLoss]:
        return [one for one in self._other_losses if one.incarnation.worker_id != worker_id]

    def note_explained_loss(self, worker: Worker) -> list[Run]:
        """Record the loss of a worker with isolated runs, which can't be asked any more.

        Returns:
            Runs whose worker counts as lost alone now.
        """
        witnessed: list[Run] = []
        for incarnation, loss in self._losses.items():
            if worker.incarnation in loss.asked:
                loss.asked.discard(worker.incarnation)
                witnessed += self._witness_if_none_is_left(incarnation.worker_id, loss)
        return witnessed

    def note_other_loss(self, worker: Worker, now_s: float, *, is_silent: bool) -> list[Run]:
        """Record the loss of a worker without isolated runs.

        Returns:
            Runs whose worker was lost together with it, so that they may not be to blame.
        """
        self._other_losses.append(_OtherLoss(now_s, worker.incarnation, is_silent))
        spoiled: list[Run] = []
        for incarnation, loss in list(self._losses.items()):
            loss.asked.discard(worker.incarnation)
            if incarnation != worker.incarnation and loss.is_among(
                self._losses_of_others(incarnation.worker_id)
            ):
                spoiled += loss.runs
                del self._losses[incarnation]
        return spoiled

    def note_other_end(self, worker: Worker, now_s: float) -> None:
        """Record that a worker without isolated runs has ended, and not as planned."""
        self._other_ends.append((now_s, worker.worker_id))

    def note_report(self, worker: Worker, sent_s: float) -> list[Run]:
        """Record an answer to a poll, of a worker that lives.

        Args:
            worker: The worker.
            sent_s: When the poll was sent, on the scheduler's clock in seconds.

        Returns:
            Runs whose worker was not lost with all others.
        """
        witnessed: list[Run] = []
        for loss in self._losses.values():
            if worker.incarnation in loss.asked and sent_s > loss.at_s:
                loss.asked.discard(worker.incarnation)
                if not loss.is_witnessed:
                    loss.is_witnessed = True
                    witnessed += loss.runs
        return witnessed

    def is_asked(self, worker: Worker) -> bool:
        """Whether a worker is to be polled because of the loss of another one."""
        return any(worker.incarnation in loss.asked for loss in self._losses.values())

    def forget(self, worker: Worker) -> None:
        """Forget the loss of a worker that has answered, or has left as planned."""
        self._losses.pop(worker.incarnation, None)
