"""Decodes and validates the jobs that callers submit."""

from __future__ import annotations

import json
from typing import Any

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.jobs import Job, QueuePolicy, Repeats, Step, job_problems

from ._fields import DECODE_ERRORS, json_integer, json_string

__all__ = ["decode_submission", "is_job_id"]

JOB_ID_LENGTH = 16
_HEXADECIMAL = frozenset("0123456789abcdefABCDEF")


def is_job_id(text: str) -> bool:
    """Return whether a string from a caller is a valid job id."""
    return len(text) == JOB_ID_LENGTH and all(char in _HEXADECIMAL for char in text)


def decode_submission(
    body: bytes, *, job_id: str, policy: QueuePolicy, accepted_s: float, team: str = ""
) -> Result[Job, Failure]:
    """Decode and validate a job.

    Args:
        body: JSON as the caller sent it.
        job_id: Id of the job.
        policy: Policy of the job's queue.
        accepted_s: Time of acceptance in seconds since 1970.
        team: The team that submits it; empty for a public queue.

    Returns:
        The job, or ``INVALID_REQUEST`` with everything that is wrong with it.
    """
    try:
        table = json.loads(body)
        job = Job(
            job_id=job_id,
            policy=policy,
            spec=json_string(table.get("spec", "")),
            steps=tuple(_decode_step(row) for row in table["steps"]),
            repeats=_decode_repeats(table),
            accepted_s=accepted_s,
            team=team,
        )
        problems = "; ".join(job_problems(job))
    except DECODE_ERRORS as error:
        problems = f"the body is not a job: {error!r}"
    if problems:
        return Err(Failure(kind=ErrorKind.INVALID_REQUEST, reason=problems[:500]))
    return Success(job)


def _decode_step(row: dict[str, Any]) -> Step:
    return Step(
        count=json_integer(row.get("count", 0)),
        cpu_millicores=json_integer(row.get("cpu", 0)),
        memory_mb=json_integer(row.get("memMb", 0)),
        gpus=json_integer(row.get("gpu", 0)),
        estimated_s=float(row.get("estimatedMs", 0)) / 1000,
        after=tuple(json_integer(number) for number in row.get("after", ())),
        is_checkpointed=bool(row.get("checkpointing", False)),
        is_gang=bool(row.get("gang", False)),
        is_one_rack=bool(row.get("sameRack", False)),
        label=json_string(row.get("requiredLabel", "")),
        # On the wire, "affinity" is the rack that holds the step's data.
        near_rack=json_string(row.get("affinity", "")),
        # On the wire, "antiAffinity" is the maximum number of the step's tasks on one worker.
        most_per_worker=json_integer(row.get("antiAffinity", 0)),
        is_speculative=bool(row.get("speculative", False)),
        is_lasting=bool(row.get("longRunning", False)),
        image=json_string(row.get("image", "")),
        target_s=float(row.get("targetMs", 0)) / 1000,
        is_filler=bool(row.get("fills", False)),
        may_miss=json_integer(row.get("mayMiss", 0)),
    )


def _decode_repeats(table: dict[str, Any]) -> Repeats | None:
    count = json_integer(table.get("repeatCount", 0))
    if count == 0:
        return None
    return Repeats(
        first_s=float(table.get("firstRunMs", 0)) / 1000,
        interval_s=float(table.get("intervalMs", 0)) / 1000,
        count=count,
    )
