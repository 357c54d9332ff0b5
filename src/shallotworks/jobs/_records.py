"""Encodes jobs and their progress as records of the store."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from pydantic import TypeAdapter

from ._crashes import Blame, LossCause, LostRun
from ._incarnation import Incarnation
from ._progress import JobProgress, JobState
from ._spec import Job

__all__ = ["JobKeys", "decode_job", "decode_progress", "encode_job", "encode_progress"]

JOBS_PREFIX = "shallotworks/work/"
JOB_SUFFIX = ".job"
PROGRESS_SUFFIX = ".progress"

_JOB_ADAPTER = TypeAdapter(Job)


@dataclass(frozen=True, slots=True, kw_only=True)
class JobKeys:
    """The keys of one service's jobs.

    A job's immutable record and its progress are created in one commit. Both have the same prefix,
    so that one watch reports both in order.
    """

    service: str

    @property
    def prefix(self) -> str:
        """Prefix of all keys of the service's jobs."""
        return f"{JOBS_PREFIX}{self.service}/"

    @property
    def marker_key(self) -> str:
        """Marker key, which exists while the service has a scheduler; it sorts before all jobs."""
        return f"{self.prefix}!scheduler"

    def job(self, job_id: str) -> str:
        """Key of a job's immutable record."""
        return f"{self.prefix}{job_id}{JOB_SUFFIX}"

    def progress(self, job_id: str) -> str:
        """Key of a job's progress."""
        return f"{self.prefix}{job_id}{PROGRESS_SUFFIX}"

    def pending_counts(self) -> str:
        """Key of the record that counts, for each queue, the jobs that have not begun."""
        return f"shallotworks/pending/{self.service}"

    def parse(self, key: str) -> tuple[str, bool]:
        """Return the job id of a key, and whether the key is that of the job's progress."""
        name = key.removeprefix(self.prefix)
        if name.endswith(PROGRESS_SUFFIX):
            return name.removesuffix(PROGRESS_SUFFIX), True
        return name.removesuffix(JOB_SUFFIX), False


def encode_job(job: Job) -> bytes:
    """Encode a job as its immutable record."""
    return _JOB_ADAPTER.dump_json(job, exclude_defaults=True)


def decode_job(record: bytes) -> Job:
    """Decode a job's immutable record.

    Raises:
        ValueError: This release can't read the record.
    """
    return _JOB_ADAPTER.validate_json(record)


def encode_progress(progress: JobProgress) -> bytes:
    """Encode a job's progress; equal progress gives equal bytes."""
    record: dict[str, Any] = {"queue": progress.queue, "state": progress.state.value}
    if progress.team:
        record["team"] = progress.team
    if progress.done:
        record["done"] = [[*key, f"{bits:x}"] for key, bits in sorted(progress.done.items())]
    if progress.failures:
        record["failures"] = [[*key, runs] for key, runs in sorted(progress.failures.items())]
    if progress.lost:
        record["lost"] = [
            [
                *key,
                [
                    [
                        lost_run.run_id,
                        lost_run.incarnation.worker_id,
                        lost_run.blame.value,
                        lost_run.is_certain,
                        lost_run.incarnation.born_ms,
                        lost_run.is_received,
                        lost_run.cause.value,
                        lost_run.noted_by,
                        lost_run.is_witnessed,
                        lost_run.ran_s,
                    ]
                    for lost_run in runs
                ],
            ]
            for key, runs in sorted(progress.lost.items())
        ]
    if progress.ended_s:
        record["ended_s"] = round(progress.ended_s, 3)
    return json.dumps(record, separators=(",", ":")).encode()


def decode_progress(record: bytes) -> JobProgress:
    """Decode the record of a job's progress.

    Raises:
        ValueError: The record can't be read.
    """
    try:
        fields = json.loads(record)
        return JobProgress(
            queue=fields["queue"],
            state=JobState(fields["state"]),
            done={(row[0], row[1]): int(row[2], 16) for row in fields.get("done", ())},
            failures={
                (row[0], row[1], row[2]): tuple(row[3]) for row in fields.get("failures", ())
            },
            lost={
                (row[0], row[1], row[2]): tuple(_decode_lost_run(run) for run in row[3])
                for row in fields.get("lost", ())
            },
            ended_s=fields.get("ended_s", 0.0),
            team=fields.get("team", ""),
        )
    except (KeyError, IndexError, TypeError) as error:
        raise ValueError(f"progress record can't be decoded: {error!r}") from error


def _decode_lost_run(fields: list[Any]) -> LostRun:
    """Decode a lost run, of which earlier releases wrote the first four or six fields."""
    return LostRun(
        run_id=fields[0],
        incarnation=Incarnation(
            worker_id=fields[1], born_ms=fields[4] if len(fields) > 4 else None
        ),
        blame=Blame(fields[2]),
        is_certain=fields[3],
        is_received=fields[5] if len(fields) > 5 else True,
        cause=LossCause(fields[6]) if len(fields) > 6 else LossCause.UNKNOWN,
        noted_by=fields[7] if len(fields) > 7 else 0,
        is_witnessed=fields[8] if len(fields) > 8 else False,
        ran_s=fields[9] if len(fields) > 9 else 0.0,
    )
