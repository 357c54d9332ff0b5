"""What the advice service has answered about a step, and which workers to ask about next."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from shallotworks.jobs import Incarnation

from ._wait_reason import WaitReason

if TYPE_CHECKING:
    # A request for advice names the advice that it is for, and workers hold orders.
    from ._model import Worker

__all__ = ["AdviceRequestSize", "StepAdvice"]

FIRST_REQUEST_WORKERS = 12
"""Workers named in the first request of a step. The service takes time for each of them."""
MAX_WORKERS_PER_REQUEST = 100
"""Most workers that a request may name. Source: the platform's protocol."""
QUICK_ANSWER_S = 1.0
"""After a request answered within this time, one may name twice as many workers. Its answer
then takes at most twice as long, which is less than the timeout of a request."""
TICKET_RETRY_INTERVAL_S = 1.0
"""An allowed worker is asked about again no sooner than this after its last answer."""
REFUSAL_RETRY_INTERVAL_S = 3.0
"""A worker that was not allowed is asked about again after this time, in case that the policy of
the queue has changed."""
UNANSWERED_RETRY_INTERVAL_S = 1.0
"""Nothing is asked for a step for this long after a request without an answer."""


class AdviceRequestSize:
    """How many workers a request may name so that the advice service answers it in time.

    The service takes some time for each worker, which differs by deployment and load.
    """

    __slots__ = ("most",)

    def __init__(self) -> None:
        self.most = MAX_WORKERS_PER_REQUEST

    def note_answered(self, took_s: float) -> None:
        """Allow larger requests after one that was answered soon."""
        if took_s <= QUICK_ANSWER_S:
            self.most = min(MAX_WORKERS_PER_REQUEST, self.most * 2)

    def note_unanswered(self, asked: int) -> None:
        """Allow only smaller requests than one without an answer."""
        self.most = max(1, min(self.most, asked // 2))


@dataclass(slots=True, kw_only=True)
class _Answer:
    """The latest answer about one incarnation of a worker.

    Args:
        ticket: The ticket; empty if the worker is not allowed.
        answered_s: When the answer arrived, on the scheduler's clock in seconds.
        valid_until_s: When the ticket expires, on the same clock.
    """

    ticket: str
    answered_s: float
    valid_until_s: float


class StepAdvice:
    """The advice on one step: the answers so far, by incarnation, and the request under way."""

    __slots__ = (
        "_answers",
        "_has_others_to_ask",
        "_not_before_s",
        "_request_workers",
        "asked_s",
        "is_asking",
    )

    def __init__(self) -> None:
        self._answers: dict[Incarnation, _Answer] = {}
        self._request_workers = FIRST_REQUEST_WORKERS
        self._not_before_s = -1e9
        self.asked_s = -1e9
        """When the last request was sent, on the scheduler's clock in seconds."""
        self.is_asking = False
        """Whether a request is under way."""
        self._has_others_to_ask = True
        """Whether the last request left out workers that had not been refused."""

    def permitted(self, now_s: float) -> frozenset[Incarnation]:
        """Return the workers for which a ticket is valid."""
        return frozenset(
            worker for worker, answer in self._answers.items() if _is_valid(answer, now_s)
        )

    def ticket(self, worker: Incarnation) -> str:
        """Return the last ticket for a worker; empty if there is none."""
        answer = self._answers.get(worker)
        return answer.ticket if answer is not None else ""

    @property
    def is_in_vain(self) -> bool:
        """Whether all workers were refused, so that a request can only repeat what was asked."""
        is_any_allowed = any(answer.ticket for answer in self._answers.values())
        return not self._has_others_to_ask and not is_any_allowed

    def is_refused(self, worker: Incarnation) -> bool:
        """Whether the last answer about a worker did not allow it."""
        answer = self._answers.get(worker)
        return answer is not None and not answer.ticket

    def counts(self) -> dict[str, int]:
        """Return how many workers are allowed and not allowed by the answers, for a log line."""
        allowed = sum(1 for answer in self._answers.values() if answer.ticket)
        return {"known_allowed": allowed, "known_refused": len(self._answers) - allowed}

    # ---- requests

    def due_request(
        self, workers: Iterable[tuple[Worker, WaitReason | None]], *, most: int, now_s: float
    ) -> tuple[Incarnation, ...]:
        """Return the workers to ask about now, the best first; empty if none are due.

        Workers that could start a task come first, and among these the ones that were allowed
        before, then those that were never asked about. Refused workers have their turn again when
        no other is due, the one with the oldest answer first, so that no request repeats the same
        workers while others are left.

        Args:
            workers: The workers for which a permit could be of use, each with the reason why it
                would not start a task now even so.
            most: Largest number of workers that the service answers for in time.
            now_s: Time on the scheduler's clock in seconds.
        """
        if self.is_asking or now_s < self._not_before_s:
            return ()
        due: list[tuple[tuple[float, ...], Incarnation]] = []
        answers: dict[Incarnation, _Answer] = {}
        for worker, reason in workers:
            one = worker.incarnation
            answer = self._answers.get(one)
            if answer is not None:
                answers[one] = answer
            is_full = reason is WaitReason.ROOM
            if _is_due(answer, now_s, is_full=is_full):
                load = worker.cpu_used / max(1, worker.view.cpu_millicores)
                due.append(((is_full, reason is not None, *_rank(answer), load), one))
        if due:
            # What is known of incarnations that have ended is of no use any more.
            self._answers = answers
        due.sort(key=lambda row: row[0])
        named = [one for _, one in due if not self.is_refused(one)]
        count = min(self._request_workers, most)
        self._has_others_to_ask = len(named) > count
        return tuple((named or [one for _, one in due])[:count])

    def note_asked(self, now_s: float) -> None:
        """Record that a request is sent."""
        self.is_asking = True
        self.asked_s = now_s

    def note_answered(
        self, asked: Iterable[Incarnation], tickets: Mapping[str, str], valid_s: float, now_s: float
    ) -> None:
        """Record an answer.

        Args:
            asked: The workers that the request named.
            tickets: Tickets by the ids of those that are allowed.
            valid_s: How long the tickets are valid, in seconds.
            now_s: Time on the scheduler's clock in seconds.
        """
        self.is_asking = False
        for worker in asked:
            ticket = tickets.get(worker.worker_id, "")
            self._answers[worker] = _Answer(
                ticket=ticket, answered_s=now_s, valid_until_s=now_s + valid_s
            )
        self._request_workers *= 2

    def note_unanswered(self, now_s: float) -> None:
        """Record that a request had no valid answer."""
        self.is_asking = False
        self._not_before_s = now_s + UNANSWERED_RETRY_INTERVAL_S

    def note_ticket_refused(self, worker: Incarnation) -> None:
        """Record that a worker refused its ticket, which is not used again."""
        answer = self._answers.get(worker)
        if answer is not None:
            answer.valid_until_s = -1e9


def _is_valid(answer: _Answer, now_s: float) -> bool:
    return bool(answer.ticket) and now_s < answer.valid_until_s


def _is_due(answer: _Answer | None, now_s: float, *, is_full: bool) -> bool:
    """Whether a request about a worker may bring something new.

    A ticket is renewed also while its worker is full. Otherwise the room that becomes free there
    would be given to another step before the ticket arrives.
    """
    if answer is None:
        return True
    if answer.ticket:
        is_late = now_s - answer.answered_s >= TICKET_RETRY_INTERVAL_S
        return is_late and not _is_valid(answer, now_s)
    return not is_full and now_s - answer.answered_s >= REFUSAL_RETRY_INTERVAL_S


def _rank(answer: _Answer | None) -> tuple[bool, float]:
    """Return a sort key: allowed workers come first, and the oldest of the refusals."""
    if answer is None:
        return (True, 0.0)
    return (not answer.ticket, 0.0 if answer.ticket else answer.answered_s)
