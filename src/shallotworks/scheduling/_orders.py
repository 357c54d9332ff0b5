"""Orders to workers, requests for advice, and the outcomes of orders."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from shallotworks.jobs import Incarnation

from ._reports import WorkerReport
from ._runs import Run
from ._step_advice import StepAdvice

__all__ = [
    "AdviceRequest",
    "OrderOutcome",
    "OrderStatus",
    "PaceOrder",
    "StartOrder",
    "StopOrder",
]


@unique
class OrderStatus(Enum):
    """Outcome of an order to a worker."""

    OBEYED = "obeyed"
    FENCED = "fenced"
    """The worker has seen an order of a later scheduler."""
    GONE = "gone"
    """Another incarnation answered, so this one and all its runs have ended."""
    NO_ROOM = "no-room"
    STALE_RUN = "stale-run"
    """The worker has seen this run or a later one stop or end."""
    TOO_LATE = "too-late"
    """The deadline of the order had passed on the worker's clock."""
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    """The worker did not carry out the order."""
    INVALID = "invalid"
    UNSENT = "unsent"
    """No connection to the intended incarnation was established, so no worker has received the
    order."""
    REFUSED = "refused"
    """Nobody listens at the worker's address, so no worker has received the order."""
    UNANSWERED = "unanswered"
    """The order may have been carried out, or may still be until its deadline has passed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderOutcome:
    """Outcome of one order.

    Args:
        status: The status of the order.
        clock_ms: The worker's clock if it answered, otherwise 0.
        report: The answer to a poll.
        detail: The message of the worker or of the connection.
        born_ms: When the incarnation that answered had started, in milliseconds since 1970;
            ``None`` if it did not say so.
    """

    status: OrderStatus
    clock_ms: int = 0
    report: WorkerReport | None = None
    detail: str = ""
    born_ms: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Order to start a run.

    Args:
        run: The run, which may be looked for on a later incarnation while the order is under way.
        incarnation: The only incarnation that may carry the order out.
        spec: The job specification as the caller wrote it.
        checkpoint: The checkpoint to resume from; empty to start from the beginning.
        ticket: Permit of the advice service; empty if none is needed.
    """

    run: Run
    incarnation: Incarnation
    spec: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """Order to stop a run.

    Args:
        run: The run.
        incarnation: The only incarnation that may carry the order out.
    """

    run: Run
    incarnation: Incarnation


@dataclass(frozen=True, slots=True, kw_only=True)
class AdviceRequest:
    """Request to the advice service: which workers may run a step.

    Args:
        step: The step, identified by its job, occurrence and number.
        workers: The incarnations to ask about, the best first. The answer holds for them alone.
        advice: Receives the answer, also if the step has ended meanwhile.
    """

    step: tuple[str, int, int]
    workers: tuple[Incarnation, ...]
    advice: StepAdvice


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceOrder:
    """Order to run a filler at a percentage of its full speed.

    Args:
        run: The run.
        incarnation: The only incarnation that may carry the order out.
        percent: The speed.
    """

    run: Run
    incarnation: Incarnation
    percent: int
