"""Encodes jobs and their progress as records of the store."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from pydantic import TypeAdapter

from ._crashes import Blame, LossCause, LostRun
from ._incarnation import Incarnation
from ._occurrences import OccurrenceRanges
from ._progress import MAX_LOST_RUNS, JobProgress, JobState
from ._spec import Job

__all__ = [
    "PENDING_PREFIX",
    "Acceptance",
    "JobKeys",
    "acceptance_key",
    "decode_job",
    "decode_progress",
    "encode_job",
    "encode_progress",
    "pending_count_key",
]

JOBS_PREFIX = "shallotworks/work/"
ACCEPTANCES_PREFIX = "shallotworks/ids/"
PENDING_PREFIX = "shallotworks/pending/"
"""Prefix of the records that count the jobs which have not begun; the service follows it. A service
with such a record may have accepted jobs, whether the configuration has it or not."""
ACCEPTANCE_SUFFIX = ".acceptance"
JOB_SUFFIX = ".job"
PROGRESS_SUFFIX = ".progress"
MAX_PROGRESS_BYTES = 524_288
"""Half of the longest value that the store takes. Source: the platform's settings."""
MAX_LISTED_ENDED_BYTES = 8_192
"""Ended occurrences are listed with their tasks up to this size, as earlier releases read them, and
as ranges beyond it."""
ENDED_ROW = "ended"

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
        return PENDING_PREFIX + self.service

    def parse(self, key: str) -> tuple[str, bool]:
        """Return the job id of a key, and whether the key is that of the job's progress."""
        name = key.removeprefix(self.prefix)
        if name.endswith(PROGRESS_SUFFIX):
            return name.removesuffix(PROGRESS_SUFFIX), True
        return name.removesuffix(JOB_SUFFIX), False


def acceptance_key(job_id: str) -> str:
    """Key of the record that names the service under which a job was accepted."""
    return f"{ACCEPTANCES_PREFIX}{job_id}{ACCEPTANCE_SUFFIX}"


def pending_count_key(address: str) -> str:
    """Key in the record of pending counts for the jobs that were submitted under an address."""
    return f"@{address}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Acceptance:
    """Where a job was accepted, which never changes.

    The record is created and deleted in one commit with the job's progress. Without it a job could
    not be found once a version of the configuration sends its path to another service, and a
    repeated submission would run it a second time.

    Args:
        service: The service whose workers run the job.
    """

    service: str

    def encode(self) -> bytes:
        """Encode the record."""
        return json.dumps({"service": self.service}).encode()

    @classmethod
    def decode(cls, record: bytes) -> Acceptance:
        """Decode the record.

        Raises:
            ValueError: The record can't be read.
        """
        try:
            return cls(service=str(json.loads(record)["service"]))
        except (KeyError, TypeError) as error:
            raise ValueError(f"acceptance record can't be decoded: {error!r}") from error


def encode_job(job: Job) -> bytes:
    """Encode a job as its immutable record."""
    return _JOB_ADAPTER.dump_json(job, exclude_defaults=True)


def decode_job(record: bytes) -> Job:
    """Decode a job's immutable record.

    Raises:
        ValueError: This release can't read the record.
    """
    return _JOB_ADAPTER.validate_json(record)


def encode_progress(progress: JobProgress, job: Job | None = None) -> bytes:
    """Encode a job's progress; equal progress gives equal bytes.

    A record that would be too long for the store leaves out the earliest lost runs of each task.

    Args:
        progress: The progress.
        job: The job, if it is known. Few ended occurrences are then stored as earlier releases read
            them.
    """
    for most_lost_runs in (MAX_LOST_RUNS, MAX_LOST_RUNS // 2, 1, 0):
        record = json.dumps(
            _progress_fields(progress, job, most_lost_runs), separators=(",", ":")
        ).encode()
        if len(record) <= MAX_PROGRESS_BYTES:
            break
    return record


def _progress_fields(progress: JobProgress, job: Job | None, most_lost_runs: int) -> dict[str, Any]:
    record: dict[str, Any] = {"queue": progress.queue, "state": progress.state.value}
    if progress.team:
        record["team"] = progress.team
    if progress.address:
        record["address"] = progress.address
    done = [[*key, f"{bits:x}"] for key, bits in sorted(progress.done.items())]
    if progress.ended:
        done = _ended_rows(progress.ended, job) + done
    if done:
        record["done"] = done
    if progress.failures:
        record["failures"] = [[*key, runs] for key, runs in sorted(progress.failures.items())]
    if progress.lost and most_lost_runs:
        record["lost"] = [
            [*key, [_encode_lost_run(run) for run in runs[-most_lost_runs:]]]
            for key, runs in sorted(progress.lost.items())
        ]
    if progress.ended_s:
        record["ended_s"] = round(progress.ended_s, 3)
    return record


def _ended_rows(ended: OccurrenceRanges, job: Job | None) -> list[list[Any]]:
    """Return the rows for ended occurrences: one for each step of each, or one with all ranges.

    A release that does not know the ranges finds the latter row unreadable. If it skipped the row,
    it would run these occurrences again.
    """
    if job is not None:
        masks = [f"{(1 << step.count) - 1:x}" for step in job.steps]
        row_bytes = sum(len(mask) + len(str(job.occurrences)) for mask in masks)
        if ended.count * row_bytes <= MAX_LISTED_ENDED_BYTES:
            return [
                [occurrence, step, mask]
                for first, last in ended.ranges()
                for occurrence in range(first, last + 1)
                for step, mask in enumerate(masks)
            ]
    return [[ENDED_ROW, ended.ranges()]]


def _encode_lost_run(run: LostRun) -> list[Any]:
    return [
        run.run_id,
        run.incarnation.worker_id,
        run.blame.value,
        run.is_certain,
        run.incarnation.born_ms,
        run.is_received,
        run.cause.value,
        run.noted_by,
        run.is_witnessed,
        run.ran_s,
    ]


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
            done={
                (row[0], row[1]): int(row[2], 16)
                for row in fields.get("done", ())
                if row[0] != ENDED_ROW
            },
            ended=OccurrenceRanges(
                (first, last)
                for row in fields.get("done", ())
                if row[0] == ENDED_ROW
                for first, last in row[1]
            ),
            failures={
                (row[0], row[1], row[2]): tuple(row[3]) for row in fields.get("failures", ())
            },
            lost={
                (row[0], row[1], row[2]): tuple(_decode_lost_run(run) for run in row[3])
                for row in fields.get("lost", ())
            },
            ended_s=fields.get("ended_s", 0.0),
            team=fields.get("team", ""),
            address=fields.get("address", ""),
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
