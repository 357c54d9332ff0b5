"""Histories of concurrent requests, and a checker for the guarantees that callers rely on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, unique

from shallotworks.errors import Ran
from shallotworks.standins import WorkerRun


@unique
class AnswerKind(Enum):
    """Kind of answer that a caller received."""

    WHOLE = "whole"
    """The target's complete answer: status 200, in the stand-in's format."""
    TARGET_FAULT = "target-fault"
    """The target's own answer that it failed, status 500."""
    MALFORMED = "malformed"
    """An answer passed on as the target's that no target sends."""
    ERROR = "error"
    """An error of this system."""
    NOTHING = "nothing"
    """The connection ended without an answer."""


@unique
class Rule(Enum):
    """Guarantees that must always hold towards callers."""

    WHOLE = "an answer is complete"
    OWN = "an answer is to the caller's own request"
    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    NOT_RUN = "a request that is reported as not run was not run"
    FROM_A_RUN = "an answer comes from a run that began before it"
    REPORTED = "the caller of a request that ran gets its answer, or that the outcome is unknown"
    SAME_ANSWER = "all requests with the same key get the same answer"
    FINAL_ANSWER = "every request gets a final answer"


@dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """One request of one caller, from its invocation to its completion.

    Args:
        caller: Number of the caller.
        request_id: Id in the answer's header; empty if there is none.
        key: Idempotency key; empty for none.
        idempotent: Whether the request was marked as idempotent.
        digest: Digest of the body that was sent.
        began_at_s: Time of the invocation, by `time.monotonic`.
        ended_at_s: Time of the completion, by `time.monotonic`.
        answer: Kind of the answer.
        ran: Whether the request ran, according to the answer.
        answered_id: Request id in the body of the target's answer.
        answered_digest: Digest of the request's body in the body of the target's answer.
        error: Kind of the error; empty for an answer of the target.
    """

    caller: int
    request_id: str
    key: str
    idempotent: bool
    digest: str
    began_at_s: float
    ended_at_s: float
    answer: AnswerKind
    ran: Ran
    answered_id: str = ""
    answered_digest: str = ""
    error: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """One broken guarantee."""

    rule: Rule
    detail: str


def find_violations(operations: Sequence[Operation], runs: Sequence[WorkerRun]) -> list[Violation]:
    """Return every violation in a history in which all requests and runs have ended.

    Args:
        operations: The callers' requests and their answers.
        runs: The runs on the workers.
    """
    runs_of: dict[str, list[WorkerRun]] = defaultdict(list)
    for run in runs:
        runs_of[run.request_id].append(run)
    ids_of_key: dict[str, set[str]] = defaultdict(set)
    for operation in operations:
        ids_of_key[operation.key].add(operation.request_id)
    violations = [
        violation
        for operation in operations
        for violation in _check_operation(operation, runs_of, ids_of_key[operation.key])
    ]
    return [
        *violations,
        *_repeated_runs(runs),
        *_unreported_runs(operations, runs),
        *_differing_answers(operations),
    ]


def _check_operation(
    operation: Operation, runs_of: dict[str, list[WorkerRun]], ids_of_key: set[str]
) -> Iterator[Violation]:
    """Check the guarantees that need one operation and the runs."""
    if operation.answer is AnswerKind.NOTHING:
        yield Violation(rule=Rule.FINAL_ANSWER, detail=str(operation))
    if operation.answer is AnswerKind.MALFORMED:
        yield Violation(rule=Rule.WHOLE, detail=str(operation))
    if operation.answer is AnswerKind.WHOLE:
        # A repeat with the same key receives the answer of the first run, with that request's id.
        own_ids = ids_of_key if operation.key else {operation.request_id}
        own = operation.answered_id in own_ids and operation.answered_digest == operation.digest
        if not own:
            yield Violation(rule=Rule.OWN, detail=str(operation))
        runs = runs_of.get(operation.answered_id, [])
        if not any(run.began_at_s <= operation.ended_at_s for run in runs):
            yield Violation(rule=Rule.FROM_A_RUN, detail=str(operation))
    if operation.ran is Ran.NO and operation.request_id in runs_of:
        yield Violation(rule=Rule.NOT_RUN, detail=f"{operation}: {runs_of[operation.request_id]}")


def _repeated_runs(runs: Sequence[WorkerRun]) -> Iterator[Violation]:
    known: dict[str, list[WorkerRun]] = defaultdict(list)
    for run in runs:
        if not run.idempotent:
            known[f"key {run.key}" if run.key else f"request {run.request_id}"].append(run)
    for name, same in known.items():
        if len(same) > 1:
            yield Violation(rule=Rule.AT_MOST_ONCE, detail=f"{name}: {same}")


def _unreported_runs(
    operations: Sequence[Operation], runs: Sequence[WorkerRun]
) -> Iterator[Violation]:
    """Find runs whose callers got an answer that nothing ran, or whose requests are unknown."""
    by_id = {operation.request_id: operation for operation in operations}
    # A caller that received no answer has no request id; its key links the run to it.
    unanswered_keys = {
        operation.key for operation in operations if operation.answer is AnswerKind.NOTHING
    }
    for run in runs:
        operation = by_id.get(run.request_id)
        is_reported = (
            run.key in unanswered_keys if operation is None else operation.ran is not Ran.NO
        )
        if not is_reported:
            yield Violation(rule=Rule.REPORTED, detail=f"{run}: {operation}")


def _differing_answers(operations: Sequence[Operation]) -> Iterator[Violation]:
    answers: dict[str, set[tuple[AnswerKind, str, str]]] = defaultdict(set)
    for operation in operations:
        if operation.key and operation.answer in (AnswerKind.WHOLE, AnswerKind.TARGET_FAULT):
            answers[operation.key].add(
                (operation.answer, operation.answered_id, operation.answered_digest)
            )
    for key, several in answers.items():
        if len(several) > 1:
            yield Violation(rule=Rule.SAME_ANSWER, detail=f"key {key}: {sorted(map(str, several))}")
