"""Jobs, which callers submit to be run as tasks on workers, and their progress.

`JobRequestHandler` answers callers; an accepted job is stored. The scheduling package runs the
tasks and writes progress. This package never communicates with workers.
"""

from ._crashes import Blame, LossCause, LostRun, is_crash_looping, is_suspect
from ._incarnation import Incarnation
from ._progress import JobProgress, JobState
from ._records import (
    PENDING_PREFIX,
    JobKeys,
    acceptance_key,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
    pending_count_key,
)
from ._request_handler import JobRequestHandler, JobRequestStatus, JobResponse
from ._retry_after import retry_after_s
from ._spec import MAX_TASKS, Job, QueuePolicy, Repeats, Step, TaskName, job_problems
from ._team import Resources, Team

__all__ = [
    "Blame",
    "Incarnation",
    "JobResponse",
    "JobRequestStatus",
    "Job",
    "JobRequestHandler",
    "JobKeys",
    "JobProgress",
    "JobState",
    "LossCause",
    "LostRun",
    "MAX_TASKS",
    "PENDING_PREFIX",
    "QueuePolicy",
    "Repeats",
    "Resources",
    "Step",
    "TaskName",
    "Team",
    "acceptance_key",
    "decode_job",
    "decode_progress",
    "encode_job",
    "encode_progress",
    "job_problems",
    "is_crash_looping",
    "is_suspect",
    "pending_count_key",
    "retry_after_s",
]
